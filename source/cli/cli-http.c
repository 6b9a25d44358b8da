#include "cli.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define RESPONSE_MAX (64UL * 1024 * 1024) /* bytes */
#define CONNECT_TIMEOUT_MS 2000L

struct transfer {
	CURL *easy;
	struct pb_buf response;
	struct curl_slist *headers;
};

void
pb_init_call(struct pb_cli_call *call, const char *address, const char *method,
    struct pb_str body, const char *fmt, ...)
{
	va_list ap;

	memset(call, 0, sizeof(*call));
	pb_copy_str(call->address, sizeof(call->address), address);
	call->method = method;
	call->body = body;
	va_start(ap, fmt);
	if (vasprintf(&call->path, fmt, ap) < 0)
		call->path = NULL;
	va_end(ap);
}

void
pb_clear_call(struct pb_cli_call *call)
{
	free(call->path);
	json_decref(call->json);
	memset(call, 0, sizeof(*call));
}

void
pb_escape_query(char *dst, size_t cap, const char *text)
{
	char *escaped = curl_easy_escape(NULL, text, 0);

	pb_copy_str(dst, cap, escaped != NULL ? escaped : "");
	curl_free(escaped);
}

static size_t
append_response(char *data, size_t size, size_t count, void *arg)
{
	struct pb_buf *response = arg;
	size_t len = size * count;

	if (response->len + len > RESPONSE_MAX ||
	    pb_append_buf(response, data, len) != PB_OK)
		return 0;
	return len;
}

static void
prepare_transfer(struct transfer *x, struct pb_cli_call *call, int64_t timeout)
{
	char url[1024];

	x->easy = curl_easy_init();
	if (x->easy == NULL || call->path == NULL)
		return;
	snprintf(url, sizeof(url), "http://%s%s", call->address, call->path);
	curl_easy_setopt(x->easy, CURLOPT_URL, url);
	curl_easy_setopt(x->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(x->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(x->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    x->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(
	    x->easy, CURLOPT_TIMEOUT_MS, (long)(timeout / PB_MSEC));
	curl_easy_setopt(x->easy, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(x->easy, CURLOPT_WRITEDATA, &x->response);
	curl_easy_setopt(x->easy, CURLOPT_PRIVATE, call);
	if (strcmp(call->method, "POST") != 0)
		return;
	x->headers = curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	curl_easy_setopt(
	    x->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body.len);
	curl_easy_setopt(x->easy, CURLOPT_POSTFIELDS,
	    call->body.data != NULL ? call->body.data : "");
}

static void
finish_transfer(struct transfer *x, struct pb_cli_call *call, CURLcode code)
{
	long status = 0;

	if (code != CURLE_OK) {
		pb_copy_str(
		    call->error, sizeof(call->error), curl_easy_strerror(code));
		return;
	}
	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	call->status = (int)status;
	call->json =
	    json_loadb(x->response.data != NULL ? x->response.data : "",
		x->response.len, 0, NULL);
}

static void
run_multi(CURLM *multi, struct pb_cli_call *calls, struct transfer *x)
{
	int running = 1, left;
	CURLMsg *msg;

	while (running > 0) {
		if (curl_multi_perform(multi, &running) != CURLM_OK)
			break;
		while ((msg = curl_multi_info_read(multi, &left)) != NULL) {
			char *call = NULL;

			if (msg->msg != CURLMSG_DONE)
				continue;
			curl_easy_getinfo(
			    msg->easy_handle, CURLINFO_PRIVATE, &call);
			finish_transfer(&x[(struct pb_cli_call *)call - calls],
			    (struct pb_cli_call *)call, msg->data.result);
		}
		if (running > 0)
			curl_multi_poll(multi, NULL, 0, 100, NULL);
	}
}

void
pb_make_calls(struct pb_cli *cli, struct pb_cli_call *calls, size_t count,
    int64_t timeout)
{
	struct transfer *x = calloc(count + 1, sizeof(*x));
	CURLM *multi = curl_multi_init();
	size_t i;

	(void)cli;
	for (i = 0; i < count; i++) {
		pb_copy_str(calls[i].error, sizeof(calls[i].error),
		    "the request was not sent");
		if (x == NULL || multi == NULL)
			continue;
		prepare_transfer(&x[i], &calls[i], timeout);
		if (x[i].easy != NULL)
			curl_multi_add_handle(multi, x[i].easy);
	}
	if (x != NULL && multi != NULL)
		run_multi(multi, calls, x);
	for (i = 0; x != NULL && i < count; i++) {
		if (x[i].easy != NULL) {
			curl_multi_remove_handle(multi, x[i].easy);
			curl_easy_cleanup(x[i].easy);
		}
		curl_slist_free_all(x[i].headers);
		pb_clear_buf(&x[i].response);
	}
	curl_multi_cleanup(multi);
	free(x);
}

static void
print_lines(FILE *file, const json_t *lines)
{
	const json_t *line;
	size_t i;

	json_array_foreach(lines, i, line)
	{
		if (json_is_string(line))
			fprintf(file, "%s\n", json_string_value(line));
	}
}

int
pb_check_call(struct pb_cli *cli, const struct pb_cli_call *call)
{
	const json_t *error = json_object_get(call->json, "error");
	const char *message = pb_json_text(error, "message");

	if (call->status == 200 && json_is_object(call->json))
		return PB_EXIT_OK;
	if (call->status == 0) {
		fprintf(cli->err, "poplarbeam: router %s: %s\n", call->address,
		    call->error);
		return PB_EXIT_UNAVAILABLE;
	}
	if (cli->json && json_is_object(call->json))
		pb_print_json(cli, call->json);
	print_lines(cli->err, json_object_get(error, "lines"));
	fprintf(cli->err, "poplarbeam: router %s: status %d: %s\n",
	    call->address, call->status,
	    *message != '\0' ? message : "no message");
	switch (call->status) {
	case 400:
	case 404:
		return PB_EXIT_USAGE;
	case 409:
		return PB_EXIT_CONFLICT;
	case 422:
		return PB_EXIT_INVALID;
	default:
		return PB_EXIT_UNAVAILABLE;
	}
}
