#include "peer-wire.h"
#include "peer.h"

#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

/* Bytes reserved for the reply header and the length fields of the result. */
#define REPLY_OVERHEAD 128

struct call {
	struct pb_context *ctx;
	const struct pb_peer_ops *ops;
	void *arg;
	XDR args;
	struct rpc_msg reply;
	struct pb_buf *out;
};

/* Encodes the reply; size is the approximate size of its result in bytes. */
static bool
encode_reply(struct call *call, size_t size)
{
	struct pb_buf *out = call->out;
	size_t cap = size + REPLY_OVERHEAD;
	char *buf = malloc(cap);
	bool ok;
	XDR xdrs;

	if (buf == NULL)
		return false;
	xdrmem_create(&xdrs, buf, (u_int)cap, XDR_ENCODE);
	ok = xdr_replymsg(&xdrs, &call->reply) &&
	    pb_append_buf(out, buf, xdr_getpos(&xdrs)) == PB_OK;
	free(buf);
	return ok;
}

static bool
encode_result(struct call *call, xdrproc_t proc, void *result, size_t size)
{
	bool ok;

	call->reply.acpted_rply.ar_results.proc = proc;
	call->reply.acpted_rply.ar_results.where = result;
	ok = encode_reply(call, size);
	call->reply.acpted_rply.ar_results.where = NULL;
	return ok;
}

static bool
encode_version_mismatch(struct call *call)
{
	call->reply.acpted_rply.ar_stat = PROG_MISMATCH;
	call->reply.acpted_rply.ar_vers.low = POPLARBEAM_PEER_V1;
	call->reply.acpted_rply.ar_vers.high = POPLARBEAM_PEER_V1;
	return encode_reply(call, 0);
}

static bool
encode_status(struct call *call, enum accept_stat status)
{
	call->reply.acpted_rply.ar_stat = status;
	return encode_result(call, (xdrproc_t)xdr_void, NULL, 0);
}

static bool
handle_exchange(struct call *call)
{
	char in[PEER_DIGEST_MAX], out[PEER_DIGEST_MAX];
	peer_digest arg = {0, in}, result = {0, out};
	size_t len = 0;

	if (!xdr_peer_digest(&call->args, &arg))
		return encode_status(call, GARBAGE_ARGS);
	if (call->ops->exchange(call->ctx, call->arg, (uint8_t *)in,
		arg.peer_digest_len, (uint8_t *)out, sizeof(out),
		&len) != PB_OK)
		return false;
	result.peer_digest_len = (u_int)len;
	return encode_result(call, (xdrproc_t)xdr_peer_digest, &result, len);
}

static bool
handle_fetch_settings(struct call *call)
{
	struct pb_buf text = {0};
	peer_settings result = {0};
	uint64_t known, revision = 0;
	bool ok;
	int rc;

	if (!xdr_uint64_t(&call->args, &known))
		return encode_status(call, GARBAGE_ARGS);
	rc = call->ops->fetch_settings(
	    call->ctx, call->arg, known, &revision, &text);
	result.revision = revision;
	result.text.peer_text_val = text.data;
	result.text.peer_text_len = (u_int)text.len;
	if (rc != PB_OK || text.len > PEER_TEXT_MAX)
		ok = encode_status(call, SYSTEM_ERR);
	else
		ok = encode_result(
		    call, (xdrproc_t)xdr_peer_settings, &result, text.len);
	pb_clear_buf(&text);
	return ok;
}

static bool
handle_fetch_events(struct call *call)
{
	char filter[PEER_FILTER_MAX + 1] = "";
	char *arg = filter;
	struct pb_buf json = {0};
	peer_text result = {0};
	bool ok;

	if (!xdr_peer_filter(&call->args, &arg))
		return encode_status(call, GARBAGE_ARGS);
	if (call->ops->fetch_events(call->ctx, call->arg, filter, &json) !=
		PB_OK ||
	    json.len > PEER_TEXT_MAX) {
		ok = encode_status(call, SYSTEM_ERR);
	} else {
		result.peer_text_val = json.data;
		result.peer_text_len = (u_int)json.len;
		ok = encode_result(
		    call, (xdrproc_t)xdr_peer_text, &result, json.len);
	}
	pb_clear_buf(&json);
	return ok;
}

static bool
dispatch(struct call *call, const struct call_body *body, bool udp)
{
	if (body->cb_prog != POPLARBEAM_PEER)
		return encode_status(call, PROG_UNAVAIL);
	if (body->cb_vers != POPLARBEAM_PEER_V1)
		return encode_version_mismatch(call);
	if (body->cb_proc == NULLPROC)
		return encode_status(call, SUCCESS);
	if (udp && body->cb_proc == EXCHANGE)
		return handle_exchange(call);
	if (!udp && body->cb_proc == FETCH_SETTINGS)
		return handle_fetch_settings(call);
	if (!udp && body->cb_proc == FETCH_EVENTS)
		return handle_fetch_events(call);
	return encode_status(call, PROC_UNAVAIL);
}

bool
peer_handle_call(struct pb_context *ctx, const struct pb_peer_ops *ops,
    void *arg, bool udp, const char *in, size_t len, struct pb_buf *out)
{
	struct call call = {.ctx = ctx, .ops = ops, .arg = arg, .out = out};
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&call.args, (char *)in, (u_int)len, XDR_DECODE);
	if (!xdr_callmsg(&call.args, &msg))
		return false;
	call.reply.rm_xid = msg.rm_xid;
	call.reply.rm_direction = REPLY;
	call.reply.rm_reply.rp_stat = MSG_ACCEPTED;
	call.reply.acpted_rply.ar_stat = SUCCESS;
	return dispatch(&call, &msg.rm_call, udp);
}
