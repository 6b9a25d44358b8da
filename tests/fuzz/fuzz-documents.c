#include "../../source/claim/claim-row.h"
#include "../../source/platform/platform-http.h"
#include "../../source/router/router-report.h"
#include "poplarbeam/boot.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fuzz target for the small documents that a router reads: its own settings
 * file, load reports, the list of instances and the rows of claims. The first
 * byte selects the kind of document. Guards against crashes, and against
 * accepted values that are out of range or contain characters that would end a
 * header line.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool ok)
{
	if (!ok)
		abort();
}

static bool
is_plain(const char *text)
{
	for (; *text != '\0'; text++)
		if (*text <= ' ' || *text > '~')
			return false;
	return true;
}

static void
check_boot_config(struct pb_context *ctx, struct pb_str text)
{
	struct pb_boot_config b;

	if (pb_parse_boot_config(ctx, "file", text, &b) != PB_OK)
		return;
	require(b.instance[0] != '\0' && is_plain(b.instance));
	require(is_plain(b.caller) && is_plain(b.region) && is_plain(b.table));
	require(b.caller_threads > 0 && b.peer_threads > 0);
}

static void
check_load_report(struct pb_str text)
{
	struct load_report r;

	if (!router_parse_report(text, &r))
		return;
	require(r.age_us >= 0 && r.age_us <= 86400 * PB_SEC);
	require(r.work <= UINT64_C(1000000000000));
	require(r.throttle >= 0 && r.throttle <= 1);
}

static void
check_instances(struct pb_context *ctx, struct pb_str text)
{
	struct pb_instance *list;
	size_t count, i;

	if (pb_parse_instances(ctx, "list", text, &list, &count) == PB_OK)
		for (i = 0; i < count; i++) {
			require(list[i].id[0] != '\0' && is_plain(list[i].id));
			require(is_plain(list[i].address));
			require(is_plain(list[i].peer));
		}
	free(list);
}

static void
check_claim_row(struct pb_str text)
{
	struct pb_claim_record rec;
	struct pb_buf buf = {0};

	require(pb_append_buf(&buf, text.data, text.len) == PB_OK);
	if (pb_decode_claim(&buf, &rec)) {
		require(rec.state <= PB_ROW_UNKNOWN && rec.wall_us >= 0);
		require(rec.state != PB_ROW_DONE ||
		    (rec.status >= 100 && rec.status <= 599));
		require(strpbrk(rec.content_type, "\r\n") == NULL);
		pb_clear_buf(&rec.answer);
	}
	pb_clear_buf(&buf);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	struct pb_str text;

	require(ctx != NULL);
	if (size > 0) {
		text = (struct pb_str){(const char *)data + 1, size - 1};
		switch (data[0] % 4) {
		case 0:
			check_boot_config(ctx, text);
			break;
		case 1:
			check_load_report(text);
			break;
		case 2:
			check_instances(ctx, text);
			break;
		default:
			check_claim_row(text);
			break;
		}
	}
	pb_drop_context(ctx);
	return 0;
}
