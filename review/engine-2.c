/*
 * Stand-in for an engine of the platform, for the scripts of the second review.
 *
 *   engine-2 PORT ID RECORD [NAME=VALUE]...
 *
 * It serves one request at a time on each connection, on 127.0.0.1. It checks
 * X-Poplarbeam-Expect-Instance, echoes X-Poplarbeam-Attempt-Id and appends a
 * line to RECORD for each step of a request:
 *
 *   UNIX-MS ID STEP ATTEMPT-ID DETAIL
 *
 * A request whose path has the part "stream" is answered with a stream of
 * events, which starts after Last-Event-Id if the request has one. Any other
 * request is answered with a text that names the engine and the attempt.
 *
 * Settings, by name:
 *   events=N     events of a stream (40)
 *   gap=MS       time between two events (50)
 *   prefill=MS   time until the first event of a stream (150)
 *   work=MS      time until an answer that is no stream (30)
 *   size=BYTES   body of an answer that is no stream (800)
 *   split=MS     such a body is sent in two halves, so far apart (0)
 *   fault=NAME   what the heads of the answers with status 200 lack:
 *                none, unsealed (no seal), encoded (a Content-Encoding),
 *                unnamed (no X-Poplarbeam-Attempt-Id)
 *   share=N      the fault is in one of N answers (1)
 *   late=MS      reads nothing of a request for so long after it has come (0)
 *   rate=KB      reads so many KB of a request's body a second, through a small
 *                receive buffer (0: as fast as it comes)
 *   refuse=1     every request is refused: 503 with Not-Executed
 *   preempt=MS   one of pshare=N streams (8) is preempted: it is silent for so
 *                long before its event number pat=N (5), then goes on
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 32768
#define TEXT_MAX 256
/* Receive buffer of an engine that reads slowly. */
#define SLOW_BUFFER 32768
#define SLOW_STEP 16384 /* bytes read between two pauses */

struct settings {
	int events, gap, prefill, work, size, split, share, refuse;
	int preempt, pshare, pat, late, rate;
	char fault[32];
};

static struct settings settings = {
    40, 50, 150, 30, 800, 0, 1, 0, 0, 8, 5, 0, 0, "none"};
static const char *engine_id;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static atomic_int answers;
static atomic_int streams;

struct request {
	char method[16];
	char path[1024];
	char attempt[TEXT_MAX];
	char expected[TEXT_MAX];
	long last_event;
	size_t body_len;
};

static long long
unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
sleep_ms(int ms)
{
	struct timespec t = {ms / 1000, (ms % 1000) * 1000000L};

	nanosleep(&t, NULL);
}

static void
note(const struct request *req, const char *step, const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%lld %s %s %s ", unix_ms(), engine_id, step,
	    req->attempt[0] != '\0' ? req->attempt : "-");
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static int
send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		data += n;
		len -= (size_t)n;
	}
	return 0;
}

/* Waits; returns -1 as soon as the peer has closed the connection. */
static int
wait_ms(int fd, int ms)
{
	char byte;

	for (; ms > 0; ms -= 10) {
		if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
			return -1;
		sleep_ms(ms < 10 ? ms : 10);
	}
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ? -1 : 0;
}

static void
read_field(struct request *req, char *line)
{
	char *value = strchr(line, ':');

	if (value == NULL)
		return;
	*value++ = '\0';
	while (*value == ' ')
		value++;
	if (strcasecmp(line, "X-Poplarbeam-Attempt-Id") == 0)
		snprintf(req->attempt, TEXT_MAX, "%s", value);
	else if (strcasecmp(line, "X-Poplarbeam-Expect-Instance") == 0)
		snprintf(req->expected, TEXT_MAX, "%s", value);
	else if (strcasecmp(line, "Last-Event-Id") == 0)
		req->last_event = atol(value);
	else if (strcasecmp(line, "Content-Length") == 0)
		req->body_len = strtoul(value, NULL, 10);
}

/* Reads one request with its body; returns -1 at the end of the connection. */
static int
read_request(int fd, struct request *req)
{
	static const char end[] = "\r\n\r\n";
	char head[HEAD_MAX + 1], *line, *rest, *body;
	size_t len = 0, have, read_since = 0;

	memset(req, 0, sizeof(*req));
	if (recv(fd, head, 1, MSG_PEEK) <= 0)
		return -1;
	sleep_ms(settings.late);
	for (;;) {
		ssize_t n = recv(fd, head + len, HEAD_MAX - len, 0);

		if (n <= 0)
			return -1;
		len += (size_t)n;
		head[len] = '\0';
		body = strstr(head, end);
		if (body != NULL)
			break;
		if (len == HEAD_MAX)
			return -1;
	}
	*body = '\0';
	have = len - (size_t)(body + 4 - head);
	line = strtok_r(head, "\r\n", &rest);
	if (line == NULL ||
	    sscanf(line, "%15s %1023s", req->method, req->path) != 2)
		return -1;
	while ((line = strtok_r(NULL, "\r\n", &rest)) != NULL)
		read_field(req, line);
	if (settings.rate > 0)
		note(req, "head", "%s %s", req->method, req->path);
	while (have < req->body_len) {
		char part[4096];
		size_t want = req->body_len - have;
		ssize_t n = recv(
		    fd, part, want < sizeof(part) ? want : sizeof(part), 0);

		if (n <= 0) {
			note(req, "broken",
			    "after %zu of %zu bytes of the body", have,
			    req->body_len);
			return -1;
		}
		have += (size_t)n;
		read_since += (size_t)n;
		if (settings.rate > 0 && read_since >= SLOW_STEP) {
			sleep_ms((int)(read_since / (size_t)settings.rate));
			read_since = 0;
		}
	}
	return 0;
}

/* Returns true if this answer has the fault. */
static int
is_faulty(void)
{
	int n = atomic_fetch_add(&answers, 1);

	return strcmp(settings.fault, "none") != 0 &&
	    n % settings.share == settings.share / 2;
}

static int
send_head(int fd, const struct request *req, const char *fields)
{
	char head[2048], seal[TEXT_MAX] = "", name[TEXT_MAX + 64] = "";
	const char *encoding = "";
	int faulty = is_faulty();
	int n;

	snprintf(seal, sizeof(seal),
	    "X-Poplarbeam-Response-Seal: %s.%.100s\r\n", engine_id,
	    req->attempt);
	snprintf(name, sizeof(name), "X-Poplarbeam-Attempt-Id: %s\r\n",
	    req->attempt);
	if (faulty && strcmp(settings.fault, "unsealed") == 0)
		seal[0] = '\0';
	if (faulty && strcmp(settings.fault, "unnamed") == 0)
		name[0] = '\0';
	if (faulty && strcmp(settings.fault, "encoded") == 0)
		encoding = "Content-Encoding: gzip\r\n";
	note(req, "answer", "200 %s", faulty ? settings.fault : "sound");
	n = snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n%s%s%s%s\r\n",
	    name, seal, encoding, fields);
	return send_all(fd, head, (size_t)n);
}

static int
send_chunk(int fd, const char *text)
{
	char chunk[1024];
	int n =
	    snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(text), text);

	return send_all(fd, chunk, (size_t)n);
}

static int
send_stream(int fd, const struct request *req)
{
	/* A stream that goes on here is read in again already. */
	int preempted = settings.preempt > 0 && req->last_event == 0 &&
	    atomic_fetch_add(&streams, 1) % settings.pshare == 0;
	long k;

	note(req, "run", "stream after event %ld", req->last_event);
	if (wait_ms(fd, settings.prefill) != 0)
		goto cut;
	if (send_head(fd, req,
		"Content-Type: text/event-stream\r\n"
		"Transfer-Encoding: chunked\r\n") != 0)
		goto cut;
	for (k = req->last_event + 1; k <= settings.events; k++) {
		char event[TEXT_MAX * 2];

		if (preempted && k == settings.pat) {
			note(req, "preempted", "for %d ms", settings.preempt);
			if (wait_ms(fd, settings.preempt) != 0)
				goto cut;
		}
		snprintf(event, sizeof(event), "id: %ld\ndata: %s %s %ld\n\n",
		    k, engine_id, req->attempt, k);
		if (send_chunk(fd, event) != 0 ||
		    wait_ms(fd, settings.gap) != 0)
			goto cut;
	}
	if (send_all(fd, "0\r\n\r\n", 5) != 0)
		goto cut;
	note(req, "end", "stream, %d events", settings.events);
	return 0;
cut:
	note(req, "end", "connection closed by the caller");
	return -1;
}

static int
send_text(int fd, const struct request *req)
{
	char fields[TEXT_MAX], *body = malloc((size_t)settings.size + 1);
	int half = settings.split > 0 ? settings.size / 2 : settings.size;
	int rc = -1, i;

	if (body == NULL)
		return -1;
	for (i = 0; i < settings.size; i++)
		body[i] = (char)('a' + i % 26);
	note(req, "run", "%s", req->path);
	snprintf(fields, sizeof(fields),
	    "Content-Type: text/plain\r\nContent-Length: %d\r\n",
	    settings.size);
	if (wait_ms(fd, settings.work) == 0 &&
	    send_head(fd, req, fields) == 0 &&
	    send_all(fd, body, (size_t)half) == 0 &&
	    wait_ms(fd, settings.split) == 0 &&
	    send_all(fd, body + half, (size_t)(settings.size - half)) == 0)
		rc = 0;
	note(req, "end", rc == 0 ? "text" : "connection closed by the caller");
	free(body);
	return rc;
}

static int
refuse(int fd, const struct request *req, int status, const char *fields)
{
	char head[1024];
	int n = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Refused\r\nX-Poplarbeam-Attempt-Id: %s\r\n"
	    "%sContent-Length: 0\r\n\r\n",
	    status, req->attempt, fields);

	note(req, "refuse", "%d", status);
	return send_all(fd, head, (size_t)n);
}

static void *
serve(void *arg)
{
	int fd = (int)(long)arg;
	struct request req;
	int rc = 0;

	while (rc == 0 && read_request(fd, &req) == 0) {
		note(&req, "arrive", "%s %s", req.method, req.path);
		if (req.expected[0] != '\0' &&
		    strcmp(req.expected, engine_id) != 0)
			rc = refuse(
			    fd, &req, 421, "X-Poplarbeam-Not-Executed: 1\r\n");
		else if (settings.refuse)
			rc = refuse(
			    fd, &req, 503, "X-Poplarbeam-Not-Executed: 1\r\n");
		else if (strstr(req.path, "stream") != NULL)
			rc = send_stream(fd, &req);
		else
			rc = send_text(fd, &req);
	}
	close(fd);
	return NULL;
}

static int
read_setting(const char *text)
{
	static const struct {
		const char *name;
		int *value;
	} numbers[] = {{"events", &settings.events}, {"gap", &settings.gap},
	    {"prefill", &settings.prefill}, {"work", &settings.work},
	    {"size", &settings.size}, {"split", &settings.split},
	    {"share", &settings.share}, {"refuse", &settings.refuse},
	    {"preempt", &settings.preempt}, {"pshare", &settings.pshare},
	    {"pat", &settings.pat}, {"late", &settings.late},
	    {"rate", &settings.rate}};
	const char *value = strchr(text, '=');
	size_t i;

	if (value == NULL)
		return -1;
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		if (strncmp(text, numbers[i].name, (size_t)(value - text)) ==
			0 &&
		    strlen(numbers[i].name) == (size_t)(value - text)) {
			*numbers[i].value = atoi(value + 1);
			return 0;
		}
	}
	if (strncmp(text, "fault=", 6) != 0)
		return -1;
	snprintf(settings.fault, sizeof(settings.fault), "%s", value + 1);
	return 0;
}

int
main(int argc, char **argv)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int listener = socket(AF_INET, SOCK_STREAM, 0), one = 1, i;

	if (argc < 4) {
		fprintf(
		    stderr, "usage: engine-2 PORT ID RECORD [NAME=VALUE]...\n");
		return 2;
	}
	for (i = 4; i < argc; i++) {
		if (read_setting(argv[i]) != 0) {
			fprintf(stderr, "engine-2: unknown %s\n", argv[i]);
			return 2;
		}
	}
	signal(SIGPIPE, SIG_IGN);
	engine_id = argv[2];
	record = fopen(argv[3], "a");
	addr.sin_port = htons((uint16_t)atoi(argv[1]));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (settings.rate > 0) {
		int size = SLOW_BUFFER;

		setsockopt(
		    listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	}
	if (record == NULL ||
	    bind(listener, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(listener, 128) != 0) {
		perror("engine-2");
		return 2;
	}
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd < 0)
			continue;
		if (pthread_create(&thread, NULL, serve, (void *)(long)fd) == 0)
			pthread_detach(thread);
		else
			close(fd);
	}
}
