#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include <civetweb.h>
#include <pthread.h>

#include "platform-store.h"

/*
 * HTTP services of the platform stand-in: table service, object store,
 * instance list, and fault control.
 */

enum platform_service {
	PLATFORM_TABLE,
	PLATFORM_OBJECTS,
	PLATFORM_INSTANCES,
	PLATFORM_SERVICES
};

struct platform_faults {
	int slow_ms; /* delay of every response, after the call took effect */
	bool refuse; /* every call fails with 503 and has no effect */
	/* Number of next writes that take effect without a response. */
	int lose_answers;
};

/* Token bucket of one kind of call; holds at most the tokens of one second. */
struct platform_bucket {
	double rate; /* tokens per second */
	double tokens;
	int64_t filled_us; /* time of the last refill */
};

struct platform_stats {
	uint64_t reads;
	uint64_t writes; /* rows put or deleted, and objects put */
	uint64_t conflicts;
	uint64_t limited; /* answered with 429 */
	uint64_t refused; /* answered with 503 */
	uint64_t lost; /* responses dropped because of lose_answers */
};

struct platform_server {
	pthread_mutex_t lock;
	struct platform_store store;
	struct platform_faults faults[PLATFORM_SERVICES];
	struct platform_bucket reads[PLATFORM_SERVICES];
	struct platform_bucket writes[PLATFORM_SERVICES];
	struct platform_stats stats;
	int lag_ms; /* delay until an edit of the instance list is visible */
	struct mg_context *http;
};

/*
 * Initializes the server. The rates apply to the table service and the object
 * store separately: reads per second, and rows or objects written per second.
 */
void platform_init_server(
    struct platform_server *server, double reads, double writes);
/* ports: in the format of CivetWeb, "127.0.0.1:8001,127.0.0.1:8002". */
bool platform_start_server(
    struct platform_server *server, const char *ports, int threads);
void platform_stop_server(struct platform_server *server);

/* Buffer limit of a request body; a larger object is rejected with 413. */
#define PLATFORM_BODY_MAX ((size_t)16 << 20)

/* Parses the request body; returns NULL when it is not JSON or too large. */
json_t *platform_read_json(struct mg_connection *conn);
/*
 * Returns the request body in allocated memory, NUL-terminated; NULL when it is
 * too large or memory runs out.
 */
char *platform_read_body(struct mg_connection *conn, size_t *len);
/* Sends a complete response and returns its status. */
int platform_send(struct mg_connection *conn, int status, const char *type,
    const char *body, size_t len);
/* Sends a JSON value and releases it; returns the status. */
int platform_send_json(struct mg_connection *conn, int status, json_t *body);
int platform_send_error(
    struct mg_connection *conn, int status, const char *text);

/* Handles requests under /control. */
int platform_handle_control(struct mg_connection *conn, void *arg);
/* Handles requests under /instances/v1. */
int platform_handle_instances(struct mg_connection *conn, void *arg);

/*
 * Applies the refuse fault and the rate limit to a call of the given cost in
 * tokens. Returns 0 if the call may proceed, else the status of the response:
 * 503 or 429. The caller holds the lock.
 */
int platform_admit(struct platform_server *server,
    enum platform_service service, struct platform_bucket *bucket, int cost);
/* Sleeps for slow_ms; called without the lock, before the response is sent. */
void platform_delay(
    struct platform_server *server, enum platform_service service);

int64_t platform_now(void);

#endif
