#include <argtable2.h>
#include <arpa/inet.h>
#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib/proxy-link.h"

/*
 * Proxy that forwards TCP and UDP from loopback ports to IPv4 targets and
 * injects faults into single links. The faults are set over HTTP.
 */

#define LINKS_MAX 256
#define POLL_MAX_MS 10 /* maximum delay until new faults take effect */
#define CONTROL_BODY_MAX 4096

static const char *const mode_names[PROXY_MODES] = {"pass", "cut", "cut_up",
    "cut_down", "refuse", "reset_after_bytes", "truncate_after_bytes", "delay"};

struct proxy {
	pthread_mutex_t lock;
	struct proxy_link *links;
	struct proxy_poll_set set;
};

static void
serve_once(struct proxy *proxy)
{
	struct proxy_poll_set *set = &proxy->set;
	struct proxy_link *link;
	int64_t wait_us;

	pthread_mutex_lock(&proxy->lock);
	set->count = 0;
	set->wake_us = proxy_now() + POLL_MAX_MS * PB_MSEC;
	for (link = proxy->links; link != NULL; link = link->next)
		(link->udp ? proxy_watch_udp : proxy_watch_tcp)(link, set);
	pthread_mutex_unlock(&proxy->lock);
	wait_us = set->wake_us - proxy_now();
	poll(set->fds, set->count,
	    wait_us > 0 ? (int)((wait_us + PB_MSEC - 1) / PB_MSEC) : 0);
	pthread_mutex_lock(&proxy->lock);
	for (link = proxy->links; link != NULL; link = link->next)
		(link->udp ? proxy_serve_udp : proxy_serve_tcp)(link, set);
	pthread_mutex_unlock(&proxy->lock);
}

static int
send_json(struct mg_connection *conn, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, mg_get_response_code_text(conn, status),
	    text != NULL ? strlen(text) : 0, text != NULL ? text : "");
	free(text);
	return status;
}

static json_t *
pack_stats(const struct proxy_link *link)
{
	const struct proxy_stats *s = &link->stats;

	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "mode",
	    mode_names[link->faults.mode], "connections",
	    (json_int_t)s->connections, "resets", (json_int_t)s->resets,
	    "truncations", (json_int_t)s->truncations, "delayed",
	    (json_int_t)s->delayed, "dropped", (json_int_t)s->dropped,
	    "duplicated", (json_int_t)s->duplicated, "reordered",
	    (json_int_t)s->reordered, "bytes_up", (json_int_t)s->bytes_up,
	    "bytes_down", (json_int_t)s->bytes_down);
}

static int
handle_stats(struct mg_connection *conn, void *arg)
{
	struct proxy *proxy = arg;
	struct proxy_link *link;
	json_t *body = json_object();

	pthread_mutex_lock(&proxy->lock);
	for (link = proxy->links; link != NULL; link = link->next)
		json_object_set_new(body, link->name, pack_stats(link));
	pthread_mutex_unlock(&proxy->lock);
	return send_json(conn, 200, body);
}

/*
 * Reads the faults from a JSON object; absent members become 0. Returns false
 * when the mode is missing or unknown.
 */
static bool
read_faults(const json_t *root, struct proxy_faults *f)
{
	const char *mode = json_string_value(json_object_get(root, "mode"));
	int i;

	memset(f, 0, sizeof(*f));
	for (i = 0; i < PROXY_MODES; i++)
		if (mode != NULL && strcmp(mode, mode_names[i]) == 0)
			break;
	if (i == PROXY_MODES)
		return false;
	f->mode = (enum proxy_mode)i;
	f->bytes = (uint64_t)json_integer_value(json_object_get(root, "bytes"));
	f->delay_ms =
	    (int)json_integer_value(json_object_get(root, "delay_ms"));
	f->count = (int)json_integer_value(json_object_get(root, "count"));
	f->drop = json_number_value(json_object_get(root, "drop"));
	f->duplicate = json_number_value(json_object_get(root, "duplicate"));
	f->reorder = json_number_value(json_object_get(root, "reorder"));
	return true;
}

static int
handle_link(struct mg_connection *conn, void *arg)
{
	struct proxy *proxy = arg;
	const char *name = mg_get_request_info(conn)->local_uri;
	char body[CONTROL_BODY_MAX];
	struct proxy_faults faults;
	struct proxy_link *link;
	int n = mg_read(conn, body, sizeof(body));
	json_t *root = json_loadb(body, n > 0 ? (size_t)n : 0, 0, NULL);
	bool ok = read_faults(root, &faults);

	json_decref(root);
	if (!ok)
		return send_json(conn, 400, json_object());
	name += strlen("/control/link/");
	pthread_mutex_lock(&proxy->lock);
	for (link = proxy->links; link != NULL; link = link->next)
		if (strcmp(link->name, name) == 0)
			break;
	if (link != NULL) {
		link->faults = faults;
		link->epoch++;
	}
	pthread_mutex_unlock(&proxy->lock);
	return send_json(conn, link != NULL ? 200 : 404, json_object());
}

/* Parses NAME=PORT:HOST:PORT and opens the link. */
static bool
add_link(struct proxy *proxy, const char *text, bool udp, uint64_t seed)
{
	struct proxy_link *link = calloc(1, sizeof(*link));
	char host[16];
	unsigned listen_port, port;
	int end = 0;

	if (link == NULL)
		return false;
	link->next = proxy->links;
	proxy->links = link;
	link->fd = -1;
	link->udp = udp;
	if (sscanf(text, "%47[^=/]=%u:%15[0-9.]:%u%n", link->name, &listen_port,
		host, &port, &end) != 4 ||
	    text[end] != '\0' || listen_port > 65535 || port > 65535 ||
	    inet_pton(AF_INET, host, &link->target.sin_addr) != 1)
		return false;
	link->rnd.state = pb_hash_cstr(link->name, seed);
	link->listen.sin_family = link->target.sin_family = AF_INET;
	link->listen.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	link->listen.sin_port = htons((uint16_t)listen_port);
	link->target.sin_port = htons((uint16_t)port);
	return proxy_open_link(link);
}

static volatile sig_atomic_t stopping;

static void
on_signal(int sig)
{
	(void)sig;
	stopping = 1;
}

static int
run_proxy(struct proxy *proxy, int port)
{
	struct mg_callbacks callbacks = {0};
	struct mg_context *http;
	char ports[32];
	const char *options[] = {
	    "listening_ports", ports, "num_threads", "4", NULL};

	snprintf(ports, sizeof(ports), "127.0.0.1:%d", port);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	http = mg_start(&callbacks, proxy, options);
	if (http == NULL) {
		fprintf(stderr, "pb-proxy: cannot listen on %s\n", ports);
		return 1;
	}
	mg_set_request_handler(http, "/control/stats$", handle_stats, proxy);
	mg_set_request_handler(http, "/control/link/", handle_link, proxy);
	printf("ready\n");
	fflush(stdout);
	while (!stopping)
		serve_once(proxy);
	mg_stop(http);
	return 0;
}

static int
open_links(struct proxy *proxy, const struct arg_str *tcp,
    const struct arg_str *udp, uint64_t seed)
{
	int i;

	for (i = 0; i < tcp->count + udp->count; i++) {
		bool is_udp = i >= tcp->count;
		const char *text =
		    is_udp ? udp->sval[i - tcp->count] : tcp->sval[i];

		if (!add_link(proxy, text, is_udp, seed)) {
			fprintf(
			    stderr, "pb-proxy: cannot open link %s\n", text);
			return 1;
		}
	}
	return 0;
}

static void
close_links(struct proxy *proxy)
{
	while (proxy->links != NULL) {
		struct proxy_link *next = proxy->links->next;

		proxy_close_tcp(proxy->links);
		proxy_close_udp(proxy->links);
		if (proxy->links->fd >= 0)
			close(proxy->links->fd);
		free(proxy->links);
		proxy->links = next;
	}
}

int
main(int argc, char **argv)
{
	struct arg_str *tcp = arg_strn("t", "tcp", "NAME=PORT:HOST:PORT", 0,
	    LINKS_MAX, "TCP link: loopback port and target");
	struct arg_str *udp = arg_strn("u", "udp", "NAME=PORT:HOST:PORT", 0,
	    LINKS_MAX, "UDP link: loopback port and target");
	struct arg_int *control = arg_int1("c", "control", "PORT",
	    "loopback port of the HTTP control interface");
	struct arg_int *seed =
	    arg_int0("s", "seed", "N", "seed of random faults, default 1");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {tcp, udp, control, seed, help, end};
	struct proxy *proxy = calloc(1, sizeof(*proxy));
	int errors, rc = 2;

	seed->ival[0] = 1;
	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("Usage: pb-proxy");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-32s %s\n");
		rc = 0;
	} else if (errors > 0 || proxy == NULL) {
		arg_print_errors(stderr, end, "pb-proxy");
	} else {
		pthread_mutex_init(&proxy->lock, NULL);
		rc = open_links(proxy, tcp, udp, (uint64_t)seed->ival[0]);
		if (rc == 0)
			rc = run_proxy(proxy, control->ival[0]);
		close_links(proxy);
		pthread_mutex_destroy(&proxy->lock);
	}
	free(proxy);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
