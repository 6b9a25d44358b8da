#include "changes.h"
#include "gateway-follow.h"

#include <stdlib.h>
#include <string.h>

/*
 * A compressed list is sent for this long unless it changes. Cold instances
 * are taken for cold by at most this much longer.
 */
#define PACKED_AGE_MAX_US PB_SEC
#define LIST_MAX (16 << 20) /* bytes of an uncompressed list */
/* Maximum size of a poll with all its reports, in bytes. */
#define POLL_MAX                                                    \
	((LOAD_REPORTS_MAX + OUTCOMES_MAX) * 12 + STREAMS_MAX * 8 + \
	    CRASHES_MAX * 16 + 72)

static void
fill_entry(
    struct change_entry *e, const struct pb_instance_change *c, int64_t now)
{
	const struct pb_instance *inst = c->instance;

	memset(e, 0, sizeof(*e));
	e->id = (char *)c->id.data;
	e->gone = inst == NULL;
	e->service = inst != NULL ? (char *)inst->service : "";
	e->address = inst != NULL ? (char *)inst->address : "";
	e->domain = inst != NULL ? (char *)inst->domain : "";
	if (inst == NULL)
		return;
	e->slots = inst->slots;
	e->draining = inst->draining;
	e->started_ms = inst->started_ms;
	e->row_version = inst->row_version;
	if (now < inst->cold_until_us)
		e->cold_left_ms =
		    (u_int)((inst->cold_until_us - now) / PB_MSEC);
}

int
pb_fill_entries(struct pb_gateway *gw, uint64_t since, bool full,
    struct change_entry **entries, unsigned int *count)
{
	size_t i, n = pb_read_changes(gw->registry, since, full, NULL, 0);
	struct pb_instance_change *changes = calloc(n + 1, sizeof(*changes));

	*entries = calloc(n + 1, sizeof(**entries));
	if (changes == NULL || *entries == NULL) {
		free(changes);
		return PB_ENOMEM;
	}
	pb_read_changes(gw->registry, since, full, changes, n);
	for (i = 0; i < n; i++)
		fill_entry(&(*entries)[i], &changes[i], pb_now(gw->ctx));
	*count = (unsigned int)n;
	free(changes);
	return PB_OK;
}

static int
encode_message(xdrproc_t encode, void *message, struct pb_buf *buf)
{
	u_long size = xdr_sizeof(encode, message);
	char *data = malloc(size);
	XDR xdr;
	int rc = PB_ENOMEM;

	if (data == NULL)
		return rc;
	xdrmem_create(&xdr, data, (u_int)size, XDR_ENCODE);
	if (encode(&xdr, message))
		rc = pb_append_buf(buf, data, xdr_getpos(&xdr));
	xdr_destroy(&xdr);
	free(data);
	return rc;
}

int
pb_encode_answer(struct change_answer *answer, struct pb_buf *buf)
{
	return encode_message((xdrproc_t)xdr_change_answer, answer, buf);
}

static int
pack_list(struct pb_gateway *gw)
{
	struct change_list list = {0};
	struct pb_buf text = {0};
	int rc = pb_fill_entries(
	    gw, 0, true, &list.entries.entries_val, &list.entries.entries_len);

	gw->packed_list.len = 0;
	if (rc == PB_OK)
		rc = encode_message((xdrproc_t)xdr_change_list, &list, &text);
	if (rc == PB_OK)
		rc = pb_deflate(
		    &gw->packed_list, (struct pb_str){text.data, text.len});
	free(list.entries.entries_val);
	pb_clear_buf(&text);
	if (rc != PB_OK)
		gw->packed_list.len = 0;
	gw->packed_sequence = pb_registry_sequence(gw->registry);
	gw->packed_us = pb_now(gw->ctx);
	return rc;
}

int
pb_pack_list(struct pb_gateway *gw, struct pb_str *packed)
{
	int rc = PB_OK;

	if (gw->packed_list.len == 0 ||
	    gw->packed_sequence != pb_registry_sequence(gw->registry) ||
	    pb_now(gw->ctx) - gw->packed_us > PACKED_AGE_MAX_US)
		rc = pack_list(gw);
	*packed = (struct pb_str){gw->packed_list.data, gw->packed_list.len};
	return rc;
}

bool
pb_unpack_list(struct change_answer *answer)
{
	struct pb_str packed = {
	    answer->packed.packed_val, answer->packed.packed_len};
	struct change_list list = {0};
	struct pb_buf text = {0};
	XDR xdr;
	bool ok = false;

	if (packed.len == 0)
		return true;
	if (answer->entries.entries_len == 0 &&
	    pb_inflate(&text, packed, LIST_MAX) == PB_OK && text.len > 0) {
		xdrmem_create(&xdr, text.data, (u_int)text.len, XDR_DECODE);
		ok = xdr_change_list(&xdr, &list);
		xdr_destroy(&xdr);
	}
	pb_clear_buf(&text);
	if (!ok) {
		xdr_free((xdrproc_t)xdr_change_list, (char *)&list);
		return false;
	}
	free(answer->entries.entries_val);
	answer->entries.entries_val = list.entries.entries_val;
	answer->entries.entries_len = list.entries.entries_len;
	return true;
}

int
pb_append_poll(struct pb_gateway *gw, const char *address,
    struct change_question *question, int64_t reported_us, struct pb_buf *buf)
{
	struct load_report reports[LOAD_REPORTS_MAX];
	struct outcome_report outcomes[OUTCOMES_MAX];
	struct stream_report streams[STREAMS_MAX];
	struct crash_report crashes[CRASHES_MAX];
	struct change_question q = *question;
	char body[POLL_MAX];
	XDR xdr;
	u_int n = 0;
	int rc;

	q.routing_row = gw->routing_row;
	q.list_row = pb_list_version(gw->registry);
	q.routers_row = pb_routers_version(gw->registry);
	q.reports.reports_val = reports;
	pb_fill_load_reports(
	    gw, reported_us, true, reports, &q.reports.reports_len);
	q.outcomes.outcomes_val = outcomes;
	q.outcomes.outcomes_len = pb_fill_unsent_outcomes(gw, outcomes);
	q.crashes.crashes_val = crashes;
	q.crashes.crashes_len = pb_fill_crashes(gw, crashes);
	q.streams.streams_val = streams;
	q.streams.streams_len = pb_fill_streams(gw, false, NULL, streams);
	xdrmem_create(&xdr, body, sizeof(body), XDR_ENCODE);
	if (xdr_change_question(&xdr, &q))
		n = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	rc = pb_append_fmt(buf,
	    "POST " PB_CHANGES_PATH " HTTP/1.1\r\nHost: %s\r\n"
	    "Content-Length: %u\r\n\r\n",
	    address, n);
	return rc == PB_OK ? pb_append_buf(buf, body, n) : rc;
}
