/*
 * Stand-in for a sound engine of the users' platform, for the cases in review/.
 *
 *   review-engine PORT ID SLOTS WORK-MS RECORD-FILE
 *
 * It listens on 127.0.0.1 and serves one request at a time on a connection.
 * SLOTS requests run at the same time; the others wait in its queue. A request
 * whose X-Poplarbeam-Deadline-Ms passes in the queue is rejected with status
 * 503 and X-Poplarbeam-Not-Executed. A request that expects another instance
 * gets status 421. Paths below /stream/ are answered with ten events. A request
 * whose path ends in /poison ends the process when it begins to run.
 *
 * Control calls of a test:
 *   GET /control/overload/WAIT-MS/RETRY-AFTER/FOR-MS  for the next FOR-MS
 *       milliseconds, a request is turned away after WAIT-MS in the queue, with
 *       status 503, X-Poplarbeam-Not-Executed and Retry-After
 *   GET /control/preempt/FOR-MS  the engine's memory has run out: the newer
 * half of the running streams is preempted and goes on after FOR-MS
 *       milliseconds; until then new requests get status 503 and
 *       X-Poplarbeam-Not-Executed
 *
 * Each line of RECORD-FILE is: Unix milliseconds, "engine", the engine's id, an
 * event (reached, turned-away, runs, preempted, ended) and the id of the
 * request.
 */
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define EVENTS 10

static const char *id;
static int slots, work_ms;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int running;
static long long overload_until;
static int overload_wait_ms;
static char overload_retry[32];
static long long preempt_until;
static long long last_stream; /* number of the newest stream */
static long long oldest_preempted; /* number of the oldest preempted stream */
static int streams; /* running */

static long long
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&ts, NULL);
}

static void
note(const char *event, const char *request)
{
	pthread_mutex_lock(&lock);
	fprintf(record, "%lld engine %s %s %s\n", now_ms(), id, event, request);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

struct request {
	char target[1024];
	char attempt[64];
	char expected[64];
	long long deadline; /* Unix milliseconds; 0: none */
	int last_event; /* the stream goes on after this event */
	size_t body_len;
};

static void
copy_value(char *out, size_t cap, const char *value, size_t len)
{
	while (len > 0 && (*value == ' ' || *value == '\t')) {
		value++;
		len--;
	}
	if (len >= cap)
		len = cap - 1;
	memcpy(out, value, len);
	out[len] = '\0';
}

static void
read_field(struct request *r, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t n = colon != NULL ? (size_t)(colon - line) : 0;
	char value[128];

	if (colon == NULL)
		return;
	copy_value(value, sizeof(value), colon + 1, len - n - 1);
	if (n == 23 && strncasecmp(line, "X-Poplarbeam-Attempt-Id", n) == 0)
		snprintf(r->attempt, sizeof(r->attempt), "%.63s", value);
	else if (n == 28 &&
	    strncasecmp(line, "X-Poplarbeam-Expect-Instance", n) == 0)
		snprintf(r->expected, sizeof(r->expected), "%.63s", value);
	else if (n == 24 &&
	    strncasecmp(line, "X-Poplarbeam-Deadline-Ms", n) == 0)
		r->deadline = now_ms() + atoll(value);
	else if (n == 13 && strncasecmp(line, "Last-Event-Id", n) == 0)
		r->last_event = atoi(value);
	else if (n == 14 && strncasecmp(line, "Content-Length", n) == 0)
		r->body_len = (size_t)atoll(value);
}

/* Reads a head and discards the body; returns 0 at the end of the connection.
 */
static int
read_request(int fd, struct request *r)
{
	static __thread char buf[HEAD_MAX];
	size_t len = 0, left;
	char *end = NULL, *line, *eol;

	memset(r, 0, sizeof(*r));
	while (end == NULL) {
		ssize_t n = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);

		if (n <= 0)
			return 0;
		len += (size_t)n;
		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
	}
	sscanf(buf, "%*s %1023s", r->target);
	for (line = strstr(buf, "\r\n") + 2; line < end + 2; line = eol + 2) {
		eol = strstr(line, "\r\n");
		read_field(r, line, (size_t)(eol - line));
	}
	left = (size_t)(buf + len - (end + 4));
	left = r->body_len > left ? r->body_len - left : 0;
	while (left > 0) {
		ssize_t n = recv(fd, buf, left < HEAD_MAX ? left : HEAD_MAX, 0);

		if (n <= 0)
			return 0;
		left -= (size_t)n;
	}
	return 1;
}

static int
send_text(int fd, const char *text)
{
	return send(fd, text, strlen(text), MSG_NOSIGNAL) ==
	    (ssize_t)strlen(text);
}

static int
answer(int fd, const struct request *r, int status, const char *fields,
    const char *body)
{
	char text[1024];
	int busy = running;

	snprintf(text, sizeof(text),
	    "HTTP/1.1 %d X\r\nX-Poplarbeam-Attempt-Id: %s\r\n"
	    "X-Poplarbeam-Instance-Id: %s\r\nX-Poplarbeam-Engine-Load: %d,0,%d\r\n"
	    "%sContent-Length: %zu\r\n\r\n%s",
	    status, r->attempt, id, busy, slots, fields, strlen(body), body);
	return send_text(fd, text);
}

static int
answer_stream(int fd, const struct request *r)
{
	char text[512], event[64];
	long long number, until;
	int i, preempted = 0;

	pthread_mutex_lock(&lock);
	number = ++last_stream;
	pthread_mutex_unlock(&lock);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Poplarbeam-Attempt-Id: %s\r\n"
	    "X-Poplarbeam-Instance-Id: %s\r\nX-Poplarbeam-Response-Seal: d.%s\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    r->attempt, id, r->attempt);
	if (!send_text(fd, text))
		return 0;
	for (i = r->last_event + 1; i <= EVENTS; i++) {
		pthread_mutex_lock(&lock);
		until = number >= oldest_preempted ? preempt_until : 0;
		pthread_mutex_unlock(&lock);
		if (now_ms() < until) {
			if (!preempted++)
				note("preempted", r->attempt);
			sleep_ms((int)(until - now_ms()));
		}
		snprintf(
		    event, sizeof(event), "id: %d\ndata: part %d\n\n", i, i);
		snprintf(
		    text, sizeof(text), "%zx\r\n%s\r\n", strlen(event), event);
		if (!send_text(fd, text))
			return 0;
		sleep_ms(work_ms);
	}
	return send_text(fd, "0\r\n\r\n");
}

static int
serve_control(int fd, const struct request *r)
{
	int wait_ms, for_ms;
	char retry[32];

	if (sscanf(r->target, "/control/preempt/%d", &for_ms) == 1) {
		pthread_mutex_lock(&lock);
		oldest_preempted = last_stream - streams / 2 + 1;
		preempt_until = now_ms() + for_ms;
		pthread_mutex_unlock(&lock);
		return answer(fd, r, 200, "", "");
	}
	if (sscanf(r->target, "/control/overload/%d/%31[^/]/%d", &wait_ms,
		retry, &for_ms) != 3)
		return answer(fd, r, 404, "", "");
	pthread_mutex_lock(&lock);
	overload_wait_ms = wait_ms;
	snprintf(overload_retry, sizeof(overload_retry), "%s", retry);
	overload_until = now_ms() + for_ms;
	pthread_mutex_unlock(&lock);
	return answer(fd, r, 200, "", "");
}

/* Waits for a slot; returns 0 if the request is rejected. */
static int
take_slot(const struct request *r)
{
	for (;;) {
		pthread_mutex_lock(&lock);
		if (running < slots) {
			running++;
			pthread_mutex_unlock(&lock);
			return 1;
		}
		pthread_mutex_unlock(&lock);
		if (r->deadline != 0 && now_ms() >= r->deadline)
			return 0;
		sleep_ms(1);
	}
}

static int
run_request(int fd, const struct request *r)
{
	char fields[256];
	int ok;

	note("runs", r->attempt);
	if (strstr(r->target, "/poison") != NULL) {
		note("crashed-by", r->attempt);
		_exit(1);
	}
	snprintf(fields, sizeof(fields), "X-Poplarbeam-Response-Seal: d.%s\r\n",
	    r->attempt);
	if (strncmp(r->target, "/stream/", 8) == 0) {
		pthread_mutex_lock(&lock);
		streams++;
		pthread_mutex_unlock(&lock);
		ok = answer_stream(fd, r);
		pthread_mutex_lock(&lock);
		streams--;
		pthread_mutex_unlock(&lock);
	} else {
		sleep_ms(work_ms);
		ok = answer(fd, r, 200, fields, "done");
	}
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
	note(ok ? "ended" : "ended-unread", r->attempt);
	return ok;
}

static int
serve(int fd, const struct request *r)
{
	char fields[256], retry[32];
	int overloaded, full, wait_ms;

	if (strncmp(r->target, "/control/", 9) == 0)
		return serve_control(fd, r);
	if (strcmp(r->target, "/health") == 0)
		return answer(fd, r, 200, "", "");
	if (r->expected[0] != '\0' && strcmp(r->expected, id) != 0)
		return answer(fd, r, 421, "", "");
	note("reached", r->attempt);
	pthread_mutex_lock(&lock);
	overloaded = now_ms() < overload_until;
	wait_ms = overload_wait_ms;
	snprintf(retry, sizeof(retry), "%s", overload_retry);
	pthread_mutex_unlock(&lock);
	if (overloaded) {
		sleep_ms(wait_ms);
		note("turned-away", r->attempt);
		snprintf(fields, sizeof(fields),
		    "X-Poplarbeam-Not-Executed: 1\r\nRetry-After: %s\r\n",
		    retry);
		return answer(fd, r, 503, fields, "");
	}
	pthread_mutex_lock(&lock);
	full = now_ms() < preempt_until;
	pthread_mutex_unlock(&lock);
	if (full || !take_slot(r)) {
		note("turned-away", r->attempt);
		return answer(
		    fd, r, 503, "X-Poplarbeam-Not-Executed: 1\r\n", "");
	}
	return run_request(fd, r);
}

static void *
serve_conn(void *arg)
{
	int fd = (int)(long)arg;
	struct request r;

	while (read_request(fd, &r) && serve(fd, &r))
		;
	close(fd);
	return NULL;
}

int
main(int argc, char **argv)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int one = 1, fd, listener;

	if (argc != 6) {
		fprintf(stderr,
		    "usage: review-engine PORT ID SLOTS WORK-MS "
		    "RECORD-FILE\n");
		return 2;
	}
	id = argv[2];
	slots = atoi(argv[3]);
	work_ms = atoi(argv[4]);
	record = fopen(argv[5], "a");
	listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	addr.sin_port = htons((uint16_t)atoi(argv[1]));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (record == NULL ||
	    bind(listener, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(listener, 512) != 0) {
		perror("review-engine");
		return 1;
	}
	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		pthread_t thread;

		if (pthread_create(
			&thread, NULL, serve_conn, (void *)(long)fd) == 0)
			pthread_detach(thread);
		else
			close(fd);
	}
	return 1;
}
