#include "poplarbeam/base.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define UNIT_SCALE 0x1.0p-53 /* maps 53 random bits to [0, 1) */

uint64_t
pb_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t
pb_hash_cstr(const char *cstr, uint64_t seed)
{
	return pb_hash(cstr, strlen(cstr), seed);
}

uint64_t
pb_hash_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = {a, b};

	return pb_hash(pair, sizeof(pair), 0);
}

double
pb_rendezvous_score(uint64_t key, uint64_t node, double weight)
{
	uint64_t h = pb_hash_pair(key, node);
	double unit = ((double)(h >> 11) + 0.5) * UNIT_SCALE;

	return weight > 0 ? -weight / log(unit) : 0;
}

uint64_t
pb_next_random(struct pb_random *rnd)
{
	uint64_t z = (rnd->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

double
pb_next_uniform(struct pb_random *rnd)
{
	return (double)(pb_next_random(rnd) >> 11) * UNIT_SCALE;
}
