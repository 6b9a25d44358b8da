#include "platform-store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
platform_init_store(struct platform_store *store)
{
	memset(store, 0, sizeof(*store));
	store->instances = json_object();
	store->edits_tail = &store->edits;
}

static void
clear_rows(struct platform_rows *rows)
{
	size_t i;

	for (i = 0; i < rows->count; i++) {
		free(rows->items[i].key);
		json_decref(rows->items[i].value);
	}
	free(rows->items);
}

void
platform_clear_store(struct platform_store *store)
{
	struct platform_edit *e, *next;

	clear_rows(&store->rows);
	clear_rows(&store->objects);
	for (e = store->edits; e != NULL; e = next) {
		next = e->next;
		json_decref(e->entry);
		free(e);
	}
	json_decref(store->instances);
}

size_t
platform_seek_row(const struct platform_rows *rows, const char *key)
{
	size_t low = 0, high = rows->count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(rows->items[mid].key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const struct platform_row *
platform_find_row(const struct platform_rows *rows, const char *key)
{
	size_t i = platform_seek_row(rows, key);

	if (i < rows->count && strcmp(rows->items[i].key, key) == 0)
		return &rows->items[i];
	return NULL;
}

static bool
insert_row(struct platform_rows *rows, size_t i, const char *key)
{
	char *copy = strdup(key);

	if (rows->count == rows->cap) {
		size_t cap = rows->cap > 0 ? rows->cap * 2 : 64;
		struct platform_row *items =
		    realloc(rows->items, cap * sizeof(*items));

		if (items == NULL) {
			free(copy);
			return false;
		}
		rows->items = items;
		rows->cap = cap;
	}
	if (copy == NULL)
		return false;
	memmove(rows->items + i + 1, rows->items + i,
	    (rows->count - i) * sizeof(*rows->items));
	rows->items[i].key = copy;
	rows->items[i].version = 0;
	rows->items[i].value = NULL;
	rows->count++;
	return true;
}

bool
platform_put_row(struct platform_rows *rows, const char *key, uint64_t version,
    json_t *value)
{
	size_t i = platform_seek_row(rows, key);

	if (i == rows->count || strcmp(rows->items[i].key, key) != 0) {
		if (!insert_row(rows, i, key)) {
			json_decref(value);
			return false;
		}
	}
	json_decref(rows->items[i].value);
	rows->items[i].value = value;
	rows->items[i].version = version;
	return true;
}

void
platform_delete_row(struct platform_rows *rows, const char *key)
{
	size_t i = platform_seek_row(rows, key);

	if (i == rows->count || strcmp(rows->items[i].key, key) != 0)
		return;
	free(rows->items[i].key);
	json_decref(rows->items[i].value);
	rows->count--;
	memmove(rows->items + i, rows->items + i + 1,
	    (rows->count - i) * sizeof(*rows->items));
}

/* Returns true if name is absent or an array of objects that have a key and the
 * given member. */
static bool
check_array(const json_t *commit, const char *name, const char *member)
{
	const json_t *list = json_object_get(commit, name);
	const json_t *item;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return false;
	json_array_foreach(list, i, item)
	{
		const char *key =
		    json_string_value(json_object_get(item, "key"));

		if (key == NULL || *key == '\0' ||
		    json_object_get(item, member) == NULL)
			return false;
	}
	return true;
}

int
platform_commit_size(const json_t *commit)
{
	const json_t *deletes = json_object_get(commit, "deletes");
	const json_t *checks = json_object_get(commit, "checks");
	const json_t *item;
	size_t i;

	if (!json_is_object(commit) ||
	    !check_array(commit, "checks", "version") ||
	    !check_array(commit, "puts", "value") ||
	    (deletes != NULL && !json_is_array(deletes)))
		return -1;
	json_array_foreach(checks, i, item)
	{
		if (!json_is_integer(json_object_get(item, "version")))
			return -1;
	}
	json_array_foreach(deletes, i, item)
	{
		if (!json_is_string(item))
			return -1;
	}
	return (int)(json_array_size(json_object_get(commit, "puts")) +
	    json_array_size(deletes));
}

int
platform_apply_commit(struct platform_store *store, const json_t *commit,
    const char **conflict, uint64_t *version)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(commit, "checks"), i, item)
	{
		const char *key =
		    json_string_value(json_object_get(item, "key"));
		json_int_t want =
		    json_integer_value(json_object_get(item, "version"));
		const struct platform_row *row =
		    platform_find_row(&store->rows, key);
		uint64_t have = row != NULL ? row->version : 0;

		if (want < 0 || (uint64_t)want != have) {
			*conflict = key;
			*version = have;
			return 409;
		}
	}
	*version = ++store->version;
	json_array_foreach(json_object_get(commit, "puts"), i, item)
	{
		/* Aborts when memory runs out, because a partly applied commit
		 * must not become visible. */
		if (!platform_put_row(&store->rows,
			json_string_value(json_object_get(item, "key")),
			*version, json_incref(json_object_get(item, "value"))))
			abort();
	}
	json_array_foreach(json_object_get(commit, "deletes"), i, item)
	{
		platform_delete_row(&store->rows, json_string_value(item));
	}
	return 200;
}

bool
platform_edit_instance(struct platform_store *store, const char *id,
    json_t *entry, int64_t visible_us)
{
	struct platform_edit *edit = calloc(1, sizeof(*edit));

	if (edit == NULL || strlen(id) >= sizeof(edit->id)) {
		json_decref(entry);
		free(edit);
		return false;
	}
	snprintf(edit->id, sizeof(edit->id), "%s", id);
	edit->entry = entry;
	edit->visible_us = visible_us;
	*store->edits_tail = edit;
	store->edits_tail = &edit->next;
	return true;
}

json_t *
platform_list_instances(struct platform_store *store, int64_t now_us)
{
	struct platform_edit *edit;
	json_t *list = json_array(), *entry;
	const char *id;

	while ((edit = store->edits) != NULL && edit->visible_us <= now_us) {
		if (edit->entry != NULL)
			json_object_set_new(
			    store->instances, edit->id, edit->entry);
		else
			json_object_del(store->instances, edit->id);
		store->edits = edit->next;
		if (store->edits == NULL)
			store->edits_tail = &store->edits;
		free(edit);
	}
	json_object_foreach(store->instances, id, entry)
	{
		json_array_append(list, entry);
	}
	return json_pack("{s:o}", "instances", list);
}

bool
platform_load_store(struct platform_store *store, const char *path)
{
	json_error_t error;
	json_t *root = json_load_file(path, 0, &error), *item;
	bool ok = json_is_object(root);
	size_t i;

	if (!ok)
		fprintf(stderr, "%s:%d: %s\n", path, error.line, error.text);
	json_array_foreach(json_object_get(root, "instances"), i, item)
	{
		const char *id = json_string_value(json_object_get(item, "id"));

		ok = ok && id != NULL &&
		    platform_edit_instance(store, id, json_incref(item), 0);
	}
	json_array_foreach(json_object_get(root, "rows"), i, item)
	{
		const char *key =
		    json_string_value(json_object_get(item, "key"));
		json_t *value = json_object_get(item, "value");

		ok = ok && key != NULL && value != NULL &&
		    platform_put_row(&store->rows, key, ++store->version,
			json_incref(value));
	}
	json_decref(root);
	return ok;
}
