#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include <civetweb.h>
#include <pthread.h>

#include "platform-store.h"

/*
 * HTTP surfaces of the platform stand-in: table service, object store,
 * instance list, and fault control.
 */

enum platform_surface {
	PLATFORM_TABLE,
	PLATFORM_OBJECTS,
	PLATFORM_INSTANCES,
	PLATFORM_SURFACES
};

struct platform_faults {
	int slow_ms; /* delay of every answer, after the effect */
	bool refuse; /* 503 to every call, without effect */
	int lose_answers; /* next writes that take effect without an answer */
};

/* Tokens for one kind of call; at most one second's worth is saved up. */
struct platform_bucket {
	double rate; /* calls a second */
	double tokens;
	int64_t filled_us;
};

struct platform_stats {
	uint64_t reads;
	uint64_t writes; /* rows and objects that were put or deleted */
	uint64_t conflicts;
	uint64_t limited; /* answered with 429 */
	uint64_t refused; /* answered with 503 */
	uint64_t lost; /* answers that were lost on purpose */
};

struct platform_server {
	pthread_mutex_t lock;
	struct platform_store store;
	struct platform_faults faults[PLATFORM_SURFACES];
	struct platform_bucket reads[PLATFORM_SURFACES];
	struct platform_bucket writes[PLATFORM_SURFACES];
	struct platform_stats stats;
	int lag_ms; /* until an edit of the instance list shows */
	struct mg_context *http;
};

/* Rates in calls a second, for the table and the object store each. */
void platform_init_server(
    struct platform_server *server, double reads, double writes);
/* ports: CivetWeb's form, "127.0.0.1:8001,127.0.0.1:8002". */
bool platform_start_server(
    struct platform_server *server, const char *ports, int threads);
void platform_stop_server(struct platform_server *server);

/* Request bodies above this are refused with 413. */
#define PLATFORM_BODY_MAX ((size_t)16 << 20)

/* Parses the request body; NULL when it is no JSON or too large. */
json_t *platform_read_json(struct mg_connection *conn);
/* Reads the whole body; malloc'ed and terminated, NULL when too large. */
char *platform_read_body(struct mg_connection *conn, size_t *len);
/* Sends a complete response and returns its status. */
int platform_send(struct mg_connection *conn, int status, const char *type,
    const char *body, size_t len);
/* Sends a JSON value, which it drops; returns the status. */
int platform_send_json(struct mg_connection *conn, int status, json_t *body);
int platform_send_error(
    struct mg_connection *conn, int status, const char *text);

/* Handlers under /control. */
int platform_handle_control(struct mg_connection *conn, void *arg);
int platform_handle_instances(struct mg_connection *conn, void *arg);

/* What a call may do; ends with the answer to give, or 0 to go on. */
int platform_admit(struct platform_server *server,
    enum platform_surface surface, struct platform_bucket *bucket, int cost);
/* Waits for slow_ms; call it without the lock, before the answer. */
void platform_delay(
    struct platform_server *server, enum platform_surface surface);

int64_t platform_now(void);

#endif
