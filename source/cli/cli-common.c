#include "cli.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CALL_TIMEOUT_US (5 * PB_SEC)
#define FILE_MAX (8UL * 1024 * 1024) /* bytes, as in the settings parser */

const char *
pb_json_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

int64_t
pb_json_int(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

void
pb_print_json(struct pb_cli *cli, json_t *object)
{
	json_dumpf(object, cli->out, JSON_INDENT(2));
	fputc('\n', cli->out);
}

void
pb_format_wall_time(char *dst, size_t cap, int64_t wall_us)
{
	time_t sec = (time_t)(wall_us / PB_SEC);
	char text[32];
	struct tm tm;

	if (gmtime_r(&sec, &tm) == NULL) {
		pb_copy_str(dst, cap, "-");
		return;
	}
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(dst, cap, "%s.%06dZ", text, (int)(wall_us % PB_SEC));
}

bool
pb_read_file(struct pb_cli *cli, const char *name, struct pb_buf *buf)
{
	FILE *file = fopen(name, "re");
	char block[4096];
	size_t len;
	bool good;

	if (file == NULL) {
		fprintf(
		    cli->err, "poplarbeam: %s: %s\n", name, strerror(errno));
		return false;
	}
	while ((len = fread(block, 1, sizeof(block), file)) > 0) {
		if (buf->len > FILE_MAX ||
		    pb_append_buf(buf, block, len) != PB_OK)
			break;
	}
	good = len == 0 && ferror(file) == 0;
	if (!good) {
		fprintf(cli->err,
		    "poplarbeam: %s: cannot be read or is too large\n", name);
	}
	fclose(file);
	return good;
}

int
pb_get_json(
    struct pb_cli *cli, const char *router, const char *path, json_t **json)
{
	struct pb_cli_call call;
	int code;

	*json = NULL;
	pb_init_call(&call, router, "GET", PB_STR_NONE, "%s", path);
	pb_make_calls(cli, &call, 1, CALL_TIMEOUT_US);
	code = pb_check_call(cli, &call);
	if (code == PB_EXIT_OK)
		*json = json_incref(call.json);
	pb_clear_call(&call);
	return code;
}

static bool
is_target(const json_t *router, bool live)
{
	const char *health = pb_json_text(router, "health");

	if (*pb_json_text(router, "admin") == '\0')
		return false;
	return !live || strcmp(health, "live") == 0 ||
	    strcmp(health, "suspect") == 0;
}

int
pb_list_targets(struct pb_cli *cli, const char *router, bool live,
    struct pb_targets *targets)
{
	json_t *status, *list, *item;
	bool self_listed = false;
	size_t i, n = 0;
	int code;

	memset(targets, 0, sizeof(*targets));
	code = pb_get_json(cli, router, "/admin/v1/status", &status);
	if (code != PB_EXIT_OK)
		return code;
	list = json_object_get(status, "routers");
	targets->calls =
	    calloc(json_array_size(list) + 1, sizeof(*targets->calls));
	if (targets->calls == NULL) {
		json_decref(status);
		return PB_EXIT_UNAVAILABLE;
	}
	json_array_foreach(list, i, item)
	{
		if (strcmp(pb_json_text(item, "id"),
			pb_json_text(status, "instance")) == 0)
			self_listed = true;
		if (is_target(item, live)) {
			pb_copy_str(targets->calls[n++].address,
			    sizeof(targets->calls[0].address),
			    pb_json_text(item, "admin"));
		}
	}
	if (!self_listed) {
		pb_copy_str(targets->calls[n++].address,
		    sizeof(targets->calls[0].address), router);
	}
	targets->count = n;
	json_decref(status);
	return PB_EXIT_OK;
}

void
pb_clear_targets(struct pb_targets *targets)
{
	size_t i;

	for (i = 0; i < targets->count; i++)
		pb_clear_call(&targets->calls[i]);
	free(targets->calls);
	memset(targets, 0, sizeof(*targets));
}
