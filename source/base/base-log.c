#include "poplarbeam/base.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LOG_TEXT_MAX 512 /* bytes of message text in one line */

struct pb_log {
	pthread_mutex_t lock;
	FILE *file;
	enum pb_log_level level;
	char instance[64];
	int lines_per_s; /* 0: no limit */
	int lines; /* written in the current second */
	int64_t second;
	int64_t dropped; /* lines dropped since the last one was written */
};

struct pb_log *
pb_new_log(FILE *file, enum pb_log_level level, const char *instance)
{
	struct pb_log *log = calloc(1, sizeof(*log));

	if (log == NULL)
		return NULL;
	pthread_mutex_init(&log->lock, NULL);
	log->file = file;
	log->level = level;
	pb_copy_str(log->instance, sizeof(log->instance), instance);
	return log;
}

void
pb_limit_log(struct pb_log *log, int lines_per_s)
{
	log->lines_per_s = lines_per_s;
}

/* Returns false if the line has to be dropped. */
static bool
admit_line(struct pb_log *log, int64_t now)
{
	struct pollfd pfd = {fileno(log->file), POLLOUT, 0};

	if (log->lines_per_s == 0)
		return true;
	if (now / PB_SEC != log->second) {
		log->second = now / PB_SEC;
		log->lines = 0;
	}
	if (log->lines >= log->lines_per_s || poll(&pfd, 1, 0) != 1) {
		log->dropped++;
		return false;
	}
	log->lines++;
	return true;
}

void
pb_drop_log(struct pb_log *log)
{
	if (log == NULL)
		return;
	pthread_mutex_destroy(&log->lock);
	free(log);
}

static const char *const level_names[] = {"debug", "info", "warn", "error"};

enum pb_log_level
pb_parse_log_level(const char *name)
{
	int i;

	for (i = 0; i < 4; i++) {
		if (strcmp(name, level_names[i]) == 0)
			return i;
	}
	return PB_INFO;
}

static void
write_json_string(FILE *file, const char *s)
{
	fputc('"', file);
	for (; *s != '\0'; s++) {
		unsigned char c = (unsigned char)*s;

		if (c == '"' || c == '\\')
			fprintf(file, "\\%c", c);
		else if (c < 0x20 || c == 0x7f)
			fprintf(file, "\\u%04x", c);
		else
			fputc(c, file);
	}
	fputc('"', file);
}

static void
write_field(FILE *file, const char *name, const char *value)
{
	if (value == NULL || *value == '\0')
		return;
	fprintf(file, ",\"%s\":", name);
	write_json_string(file, value);
}

void
pb_log(struct pb_context *ctx, enum pb_log_level level, const char *step,
    const char *peer, const char *request, const char *fmt, ...)
{
	struct pb_log *log = ctx->log;
	char text[LOG_TEXT_MAX], stamp[32];
	int64_t wall;
	time_t sec;
	struct tm tm;
	va_list ap;

	if (log == NULL || level < log->level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	wall = pb_wall_time(ctx);
	sec = (time_t)(wall / PB_SEC);
	gmtime_r(&sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);

	pthread_mutex_lock(&log->lock);
	if (!admit_line(log, pb_now(ctx))) {
		pthread_mutex_unlock(&log->lock);
		return;
	}
	fprintf(log->file, "{\"time\":\"%s.%06dZ\",\"level\":\"%s\"", stamp,
	    (int)(wall % PB_SEC), level_names[level]);
	write_field(log->file, "instance", log->instance);
	write_field(log->file, "step", step);
	write_field(log->file, "peer", peer);
	write_field(log->file, "request", request);
	write_field(log->file, "text", text);
	if (log->dropped > 0)
		fprintf(
		    log->file, ",\"dropped\":%lld", (long long)log->dropped);
	log->dropped = 0;
	fputs("}\n", log->file);
	fflush(log->file);
	pthread_mutex_unlock(&log->lock);
}

void
pb_log_error(
    struct pb_context *ctx, enum pb_log_level level, const char *request)
{
	struct pb_error *e = &ctx->error;

	pb_log(ctx, level, e->step, e->peer, request, "%s: %s",
	    pb_code_name(e->code), e->text);
}
