#include "poplarbeam/base.h"

#include <stdlib.h>
#include <string.h>

struct pb_context *
pb_new_context(struct pb_clock *clock, struct pb_log *log)
{
	struct pb_context *ctx = calloc(1, sizeof(*ctx));

	if (ctx == NULL)
		return NULL;
	ctx->clock = clock;
	ctx->log = log;
	return ctx;
}

void
pb_drop_context(struct pb_context *ctx)
{
	free(ctx);
}

int
pb_set_error(struct pb_context *ctx, enum pb_code code, const char *step,
    const char *peer, const char *fmt, ...)
{
	struct pb_error *e = &ctx->error;
	va_list ap;

	e->code = code;
	pb_copy_str(e->step, sizeof(e->step), step);
	pb_copy_str(e->peer, sizeof(e->peer), peer);
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return code;
}

const char *
pb_code_name(int code)
{
	switch (code) {
	case PB_OK:
		return "ok";
	case PB_UNCHANGED:
		return "unchanged";
	case PB_ENOMEM:
		return "no_memory";
	case PB_EINVAL:
		return "invalid";
	case PB_ENOENT:
		return "not_found";
	case PB_ECONFLICT:
		return "conflict";
	case PB_EBUSY:
		return "busy";
	case PB_EUNAVAIL:
		return "unavailable";
	case PB_EUNKNOWN:
		return "unknown";
	case PB_ETIMEDOUT:
		return "timeout";
	case PB_EPROTO:
		return "protocol";
	case PB_EABORTED:
		return "aborted";
	default:
		return "error";
	}
}
