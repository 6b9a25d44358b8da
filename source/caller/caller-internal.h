#ifndef POPLARBEAM_CALLER_INTERNAL_H
#define POPLARBEAM_CALLER_INTERNAL_H

#include "poplarbeam/caller.h"
#include "poplarbeam/claim.h"
#include "poplarbeam/server.h"

struct pb_caller_server {
	struct pb_server *http;
	struct pb_owner *owner;
	struct pb_node *node;
};

/* State of a caller's request at its entry router. */
struct entry {
	struct pb_caller_server *server;
	struct pb_context *ctx;
	struct pb_arena *arena;
	struct pb_inbound_request *in;
	struct pb_settings *settings;
	const struct pb_service *service;
	const struct pb_account *account;
	struct pb_request req;
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	struct pb_buf body;
	const char *key; /* idempotency key; NULL when there is none */
	bool stream;
};

/* Error in a request that is reported to the caller. */
struct fault {
	int status; /* HTTP status */
	const char *code;
	char message[160];
};

/*
 * Head of a request without its connection. The strings of the headers are
 * terminated by NUL.
 */
struct caller_head {
	const char *method;
	const char *path;
	const char *query; /* NULL when there is none */
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	size_t header_count;
};

/*
 * Reads and validates the request and sets its client account, service, rank,
 * chat and work. Returns false and sets *fault when the request is invalid.
 */
bool entry_parse(struct entry *e, struct fault *fault);
/*
 * The parts of entry_parse that need no connection. entry_parse_head checks
 * what does not depend on the body. entry_parse_body checks the rest and
 * expects the body in e->body. The entry refers to strings of the head.
 */
bool entry_parse_head(
    struct entry *e, const struct caller_head *head, struct fault *fault);
bool entry_parse_body(
    struct entry *e, const struct caller_head *head, struct fault *fault);

/* How the response is forwarded to the caller. */
enum response_mode {
	RESPONSE_NONE, /* no response head arrived yet */
	RESPONSE_STREAM, /* server-sent events, forwarded one by one */
	RESPONSE_BUFFERED, /* buffered until it is complete */
	RESPONSE_PASS_THROUGH /* too large to buffer: forwarded as received */
};

/* Sink that forwards the response to the caller. */
struct caller_sink {
	struct pb_sink base;
	struct entry *entry;
	enum response_mode mode;
	struct pb_response response;
	struct pb_sse sse;
	struct pb_buf body;
	int status;
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	size_t header_count;
	char extra[160]; /* header lines that the router adds */
};

void caller_sink_init(struct caller_sink *sink, struct entry *entry);
/* Discards data of a failed attempt that was not forwarded. */
void caller_sink_reset(struct caller_sink *sink);
/*
 * Returns true if the response is complete. An event stream is complete after
 * its [DONE] event, any other response when it is complete by its framing.
 */
bool caller_sink_is_complete(
    const struct caller_sink *sink, bool framed_complete);
/*
 * Sends a buffered body and ends the response. Returns the value that the
 * handler must return.
 */
int caller_sink_finish(struct caller_sink *sink);
void caller_sink_clear(struct caller_sink *sink);

/* Values of "type" in JSON errors. */
enum error_type {
	ERROR_INVALID,
	ERROR_NOT_RUN,
	ERROR_IN_PROGRESS,
	ERROR_OUTCOME_UNKNOWN
};

/*
 * Returns the header line "Connection: close" while this instance is being
 * stopped, so that the caller does not send its next request on a connection
 * that is closed after the response. Returns an empty string otherwise.
 */
const char *entry_connection_header(const struct entry *e);

/*
 * Sends a response with a JSON error. retry_after_us 0: no Retry-After header.
 * Returns the value that the handler must return.
 */
int entry_send_error(struct entry *e, enum error_type type, int status,
    const char *code, const char *message, int64_t retry_after_us);

/*
 * Claims the idempotency key if there is one, runs the attempts and sends the
 * response. Returns the value that the handler must return.
 */
int entry_run(struct entry *e);
/* Outcome of all attempts of a request. */
struct entry_outcome {
	enum {
		ENTRY_COMPLETE,
		ENTRY_NOT_RUN,
		ENTRY_UNKNOWN,
		ENTRY_FAILED_AFTER_START, /* some bytes were forwarded */
		ENTRY_CALLER_GONE /* the caller disconnected */
	} kind;
	struct pb_run_result run; /* of the last attempt */
};

/*
 * Runs attempts until the request has an outcome. A buffered response remains
 * in sink until caller_sink_finish. claim and policy are NULL for a call
 * without an idempotency key.
 */
void entry_run_attempts(struct entry *e, struct caller_sink *sink,
    const struct pb_claim *claim, const struct pb_claim_policy *policy,
    struct entry_outcome *out);

#endif
