#ifndef POPLARBEAM_ADAPTER_H
#define POPLARBEAM_ADAPTER_H

#include "poplarbeam/http.h"
#include "poplarbeam/registry.h"
#include "poplarbeam/routing.h"

/*
 * Interface between the gateway and the platform that it runs on: the names of
 * the HTTP fields, the requests to the platform's store and the decoding of the
 * data in the store. An adapter only translates; all decisions are made by the
 * gateway.
 */

/* Purpose of a header field in a caller's request. */
enum pb_request_field {
	PB_FIELD_FORWARD, /* forwarded unchanged */
	PB_FIELD_RESERVED, /* only routers set it; removed from callers */
	PB_FIELD_REQUEST_ID,
	PB_FIELD_TIME_LIMIT,
	PB_FIELD_CREDENTIAL,
	PB_FIELD_PROMPT,
	PB_FIELD_LAST_EVENT
};

/* Header fields that the router adds to a request to an upstream. */
struct pb_dispatch_fields {
	struct pb_str instance; /* id of the only instance that may run it */
	struct pb_str account; /* client account; empty: none */
	int64_t time_left_ms; /* until the deadline of the request */
	int priority;
	bool has_priority;
	/* Address to read the cached prompt prefix from, or empty. */
	struct pb_str prefix_holder;
	bool resumes; /* resumes a stream after last_event */
	int64_t last_event;
};

/* Data from the header section of an upstream's response. */
struct pb_response_info {
	/* Id of the request that it belongs to; empty: not given. */
	struct pb_str request_id;
	struct pb_str instance; /* id of the instance that sent it */
	bool sealed; /* has the digest field of an upstream */
	bool not_run; /* the upstream did not run the request */
	bool encoded; /* the body is not as the upstream sent it */
	bool leaving; /* the upstream will take no new requests */
	/* How long the upstream asks for no requests; 0: not given. */
	int64_t pause_us;
	bool pause_unreadable; /* given in an unknown format */
	bool has_load;
	bool load_unreadable; /* the load field has an unknown format */
	int running; /* requests */
	int waiting; /* requests */
	int slots; /* requests that can run at the same time */
};

#define PB_PROMPT_PARTS_MAX 64

/* One part of a prompt. Parts with the same id have the same text. */
struct pb_prompt_part {
	struct pb_str id;
	int64_t tokens;
};

struct pb_prompt {
	struct pb_prompt_part parts[PB_PROMPT_PARTS_MAX]; /* in order */
	size_t count;
};

enum pb_store_table {
	PB_STORE_OPERATOR, /* the operator's configuration */
	PB_STORE_INSTANCES, /* the upstreams, which register themselves */
	PB_STORE_ROUTERS /* the routers, one row each */
};

struct pb_store_row {
	struct pb_str key;
	/* Decoded; empty if the row was removed or its value is unreadable. */
	struct pb_str value;
	bool removed;
	bool unreadable; /* the value is missing or has another encoding */
	int64_t version; /* store version of the last change of the row */
};

struct pb_store_page {
	struct pb_store_row *rows;
	size_t count;
	int64_t version; /* store version at the time of the response */
	/* More rows follow: list after the last key, or watch again. */
	bool more;
};

struct pb_adapter_ops {
	enum pb_request_field (*classify_field)(struct pb_str name);
	/* Extracts the key; returns false if the value has none. */
	bool (*read_credential)(struct pb_str value, struct pb_str *key);
	/*
	 * Ignores parts beyond PB_PROMPT_PARTS_MAX; returns false if the value
	 * is malformed.
	 */
	bool (*read_prompt)(struct pb_str value, struct pb_prompt *prompt);
	int (*append_dispatch)(
	    struct pb_buf *buf, const struct pb_dispatch_fields *fields);
	void (*read_response)(
	    const struct pb_http_head *head, struct pb_response_info *info);

	/* Append a complete HTTP request to the store at host. */
	int (*append_list)(struct pb_buf *buf, const char *host,
	    enum pb_store_table table, struct pb_str after_key);
	int (*append_watch)(struct pb_buf *buf, const char *host,
	    enum pb_store_table table, int64_t since_version, int wait_ms);
	int (*append_put)(struct pb_buf *buf, const char *host,
	    enum pb_store_table table, struct pb_str key, struct pb_str value);
	int (*read_page)(struct pb_context *ctx, struct pb_arena *arena,
	    struct pb_str body, struct pb_store_page *page);
	/* True if this row of the operator's table has the configuration. */
	bool (*is_routing_key)(struct pb_str key);
	/*
	 * Returns true if a row with this key orders the evacuation of a
	 * failure domain while it exists, and sets domain, a part of key.
	 */
	bool (*read_evacuation)(struct pb_str key, struct pb_str *domain);
	/* Returns NULL and sets the context's error if value is malformed. */
	struct pb_routing *(*read_routing)(
	    struct pb_context *ctx, struct pb_str value);
	int (*read_instance)(struct pb_context *ctx, struct pb_arena *arena,
	    const struct pb_store_row *row, struct pb_instance_entry *entry);
	/* Path of the check whether this router accepts connections. */
	const char *ready_path;
};

#endif
