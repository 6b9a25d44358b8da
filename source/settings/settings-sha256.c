#include "poplarbeam/settings.h"

#include <string.h>

#define BLOCK_LEN 64 /* bytes */

/* Fractional parts of the cube roots of the first 64 primes. */
static const uint32_t round_constants[64] = {0x428a2f98, 0x71374491, 0xb5c0fbcf,
    0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5, 0xd807aa98,
    0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7,
    0xc19bf174, 0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f,
    0x4a7484aa, 0x5cb0a9dc, 0x76f988da, 0x983e5152, 0xa831c66d, 0xb00327c8,
    0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967, 0x27b70a85,
    0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e,
    0x92722c85, 0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819,
    0xd6990624, 0xf40e3585, 0x106aa070, 0x19a4c116, 0x1e376c08, 0x2748774c,
    0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3, 0x748f82ee,
    0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7,
    0xc67178f2};

static uint32_t
rotate(uint32_t x, int n)
{
	return x >> n | x << (32 - n);
}

static void
add_block(uint32_t h[8], const uint8_t *p)
{
	uint32_t w[64], v[8];
	int i;

	for (i = 0; i < 16; i++) {
		w[i] = (uint32_t)p[4 * i] << 24 | (uint32_t)p[4 * i + 1] << 16 |
		    (uint32_t)p[4 * i + 2] << 8 | p[4 * i + 3];
	}
	for (; i < 64; i++) {
		uint32_t a = w[i - 15], b = w[i - 2];

		w[i] = w[i - 16] + w[i - 7] +
		    (rotate(a, 7) ^ rotate(a, 18) ^ a >> 3) +
		    (rotate(b, 17) ^ rotate(b, 19) ^ b >> 10);
	}
	memcpy(v, h, sizeof(v));
	for (i = 0; i < 64; i++) {
		uint32_t e = v[4], a = v[0];
		uint32_t t1 = v[7] +
		    (rotate(e, 6) ^ rotate(e, 11) ^ rotate(e, 25)) +
		    ((e & v[5]) ^ (~e & v[6])) + round_constants[i] + w[i];
		uint32_t t2 = (rotate(a, 2) ^ rotate(a, 13) ^ rotate(a, 22)) +
		    ((a & v[1]) ^ (a & v[2]) ^ (v[1] & v[2]));

		memmove(v + 1, v, 7 * sizeof(*v));
		v[4] += t1;
		v[0] = t1 + t2;
	}
	for (i = 0; i < 8; i++)
		h[i] += v[i];
}

void
pb_sha256(const void *data, size_t len, uint8_t out[PB_SHA256_LEN])
{
	/* Fractional parts of the square roots of the first 8 primes. */
	uint32_t h[8] = {0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a,
	    0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19};
	const uint8_t *p = data;
	uint8_t tail[2 * BLOCK_LEN] = {0};
	size_t rest = len % BLOCK_LEN, tail_len, i;
	uint64_t bits = (uint64_t)len * 8;

	for (i = 0; i + BLOCK_LEN <= len; i += BLOCK_LEN)
		add_block(h, p + i);
	if (rest > 0)
		memcpy(tail, p + len - rest, rest);
	tail[rest] = 0x80;
	tail_len = rest < BLOCK_LEN - 8 ? BLOCK_LEN : 2 * BLOCK_LEN;
	for (i = 0; i < 8; i++)
		tail[tail_len - 1 - i] = (uint8_t)(bits >> (8 * i));
	for (i = 0; i < tail_len; i += BLOCK_LEN)
		add_block(h, tail + i);
	for (i = 0; i < PB_SHA256_LEN; i++)
		out[i] = (uint8_t)(h[i / 4] >> (24 - 8 * (i % 4)));
}
