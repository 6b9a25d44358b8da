#include "poplarbeam/settings.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

struct pb_settings *
pb_keep_settings(struct pb_settings *settings)
{
	__atomic_add_fetch(&settings->refs, 1, __ATOMIC_RELAXED);
	return settings;
}

void
pb_drop_settings(struct pb_context *ctx, struct pb_settings *settings)
{
	(void)ctx;
	if (settings == NULL)
		return;
	if (__atomic_sub_fetch(&settings->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	free(settings->services);
	free(settings->account_by_id);
	free(settings->accounts);
	free(settings);
}

const struct pb_service *
pb_find_service(const struct pb_settings *settings, const char *name)
{
	int i;

	for (i = 0; i < settings->service_count; i++) {
		if (strcmp(settings->services[i].name, name) == 0)
			return &settings->services[i];
	}
	return NULL;
}

const struct pb_service *
pb_find_service_by_path(const struct pb_settings *settings, const char *path)
{
	const struct pb_service *best = NULL;
	size_t best_len = 0;
	int i;

	for (i = 0; i < settings->service_count; i++) {
		const struct pb_service *v = &settings->services[i];
		size_t len = strlen(v->prefix);

		if (v->kind != PB_SERVICE_PLAIN || len <= best_len ||
		    strncmp(path, v->prefix, len) != 0)
			continue;
		/* "/booking" must not match "/bookings". */
		if (path[len] != '\0' && path[len] != '/' && path[len] != '?')
			continue;
		best = v;
		best_len = len;
	}
	return best;
}

/*
 * Returns the index of the first account with a key_hash of at least hash, or
 * account_count if there is none.
 */
static int
find_key_hash(const struct pb_settings *s, uint64_t hash)
{
	int low = 0, high = s->account_count;

	while (low < high) {
		int mid = low + (high - low) / 2;

		if (s->accounts[mid].key_hash < hash)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const struct pb_account *
pb_find_account_by_key(const struct pb_settings *settings, struct pb_str key)
{
	uint64_t hash = pb_hash(key.data, key.len, 0);
	uint8_t digest[PB_SHA256_LEN];
	int i;

	for (i = find_key_hash(settings, hash); i < settings->account_count &&
	     settings->accounts[i].key_hash == hash;
	     i++) {
		if (!settings->accounts[i].key_sha_only)
			return &settings->accounts[i];
	}
	crypto_hash_sha256(digest, (const unsigned char *)key.data, key.len);
	hash = pb_hash(digest, sizeof(digest), 0);
	for (i = find_key_hash(settings, hash); i < settings->account_count &&
	     settings->accounts[i].key_hash == hash;
	     i++) {
		const struct pb_account *a = &settings->accounts[i];

		if (a->key_sha_only &&
		    memcmp(a->key_sha, digest, sizeof(digest)) == 0)
			return a;
	}
	return NULL;
}

const struct pb_account *
pb_find_account_by_id(const struct pb_settings *settings, uint64_t id)
{
	int low = 0, high = settings->account_count;

	if (settings->account_by_id == NULL) {
		for (low = 0; low < high; low++) {
			if (settings->accounts[low].id == id)
				return &settings->accounts[low];
		}
		return NULL;
	}
	while (low < high) {
		int mid = low + (high - low) / 2;

		if (settings->account_by_id[mid]->id < id)
			low = mid + 1;
		else
			high = mid;
	}
	if (low == settings->account_count ||
	    settings->account_by_id[low]->id != id)
		return NULL;
	return settings->account_by_id[low];
}

const struct pb_account *
pb_find_account(const struct pb_settings *settings, const char *name)
{
	const struct pb_account *a =
	    pb_find_account_by_id(settings, pb_hash_cstr(name, 0));

	return a != NULL && strcmp(a->name, name) == 0 ? a : NULL;
}

int
pb_find_rank(const struct pb_settings *settings, const char *name)
{
	int i;

	for (i = 0; i < settings->rank_count; i++) {
		if (strcmp(settings->rank[i].name, name) == 0)
			return i;
	}
	return -1;
}
