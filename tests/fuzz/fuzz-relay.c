#include "../../source/relay/relay-parse.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fuzz target for the headers of a relayed request. The input consists of lines
 * "name:value". In a line that starts with a capital letter from A to P, the
 * letter stands for the header name with that index in names and the value
 * follows it directly. Guards against numbers that wrap around and against a
 * request id or target that alters the request at the upstream.
 */

#define TEXT_MAX 4096
#define DAY (INT64_C(86400) * PB_SEC)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char *const names[] = {"X-Pb-Request", "X-Pb-Service",
    "X-Pb-Account", "X-Pb-Method", "X-Pb-Target", "X-Pb-Cell", "X-Pb-Rank",
    "X-Pb-Chat", "X-Pb-Fingerprint", "X-Pb-Work", "X-Pb-Idempotent",
    "X-Pb-Wait-Ms", "X-Pb-Deadline-Ms", "X-Pb-Resume-Engine",
    "X-Pb-Resume-After", "X-Pb-Failed-Owner"};

static void
require(bool ok)
{
	if (!ok)
		abort();
}

static size_t
read_headers(char *text, struct pb_header *headers)
{
	char *line, *save = NULL, *colon;
	size_t n = 0;

	for (line = strtok_r(text, "\n", &save);
	     line != NULL && n < PB_CALL_HEADERS_MAX;
	     line = strtok_r(NULL, "\n", &save)) {
		colon = strchr(line, ':');
		if (*line >= 'A' && *line <= 'P') {
			headers[n].name = pb_str_from(names[*line - 'A']);
			colon = line;
		} else if (colon != NULL) {
			*colon = '\0';
			headers[n].name = pb_str_from(line);
		} else {
			continue;
		}
		headers[n++].value = pb_str_from(colon + 1);
	}
	return n;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	struct pb_request r;
	char text[TEXT_MAX];
	int64_t now;
	size_t n;

	require(ctx != NULL);
	size = size < sizeof(text) ? size : sizeof(text) - 1;
	memcpy(text, data, size);
	text[size] = '\0';
	n = read_headers(text, headers);
	memset(&r, 0, sizeof(r));
	now = pb_now(ctx);
	if (relay_parse_request(ctx, headers, n, &r)) {
		require(r.cell >= 0 && r.rank >= 0 && r.rank < PB_RANKS_MAX);
		require(r.wait_us >= 0 && r.wait_us <= DAY);
		require(
		    r.deadline_us >= now && r.deadline_us <= pb_now(ctx) + DAY);
		require(r.id[0] != '\0' && strpbrk(r.id, "/?# \r\n") == NULL);
		require(r.target[0] == '/' && pb_is_printable(r.target));
		require(pb_is_token(pb_str_from(r.method)));
	}
	pb_drop_context(ctx);
	return 0;
}
