#include "poplarbeam/events.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

static void
append_event(void *arg, const struct pb_event *e)
{
	char chat[20];

	snprintf(chat, sizeof(chat), "%016" PRIx64, e->chat);
	json_array_append_new(arg,
	    json_pack("{s:I,s:I,s:s,s:s,s:s,s:s,s:s}", "seq",
		(json_int_t)e->seq, "wall_us", (json_int_t)e->wall_us,
		"request", e->request, "chat", e->chat != 0 ? chat : "",
		"upstream", e->upstream, "step", e->step, "detail", e->detail));
}

int
pb_format_events(struct pb_context *ctx, struct pb_events *events,
    const struct pb_event_filter *filter, struct pb_buf *buf)
{
	json_t *list = json_array();
	char *text;
	int rc;

	if (list == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "events", NULL, "out of memory");
	pb_each_event(events, filter, append_event, list);
	text = json_dumps(list, JSON_COMPACT);
	rc = text != NULL ? pb_append_fmt(buf, "%s", text) : PB_ENOMEM;
	free(text);
	json_decref(list);
	return rc;
}
