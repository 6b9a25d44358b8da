/*
 * Stand-in for clients of the users' platform, for the cases in review/.
 *
 *   review-client ports N             prints the first of N free ports in a row
 *   review-client call PORT METHOD PATH [FILE]
 *                                     one call; FILE is its body; exit 0 for
 * 200 review-client status PORT PATH    prints the status of a GET, 0: none
 *   review-client play RECORD-FILE HOST KEY
 *                                     sends the requests of standard input
 *
 * Each line of a plan is:
 *   AT-MS CONNECTION PORT METHOD PATH ID LIMIT-MS LEAVE-MS BODY-BYTES
 * AT-MS counts from the start. Requests with the same CONNECTION use one kept
 * connection, one after the other; after its end a new one is opened. After
 * LEAVE-MS (0: never) or LIMIT-MS without a whole answer, the client closes the
 * connection. Status 503 isn't repeated.
 *
 * Each line of RECORD-FILE is: Unix milliseconds, "client", the id and an
 * event: sent (the last byte was sent), answer STATUS, left, broken (the
 * connection ended without a whole answer, AFTER-MS after its last byte) or
 * refused (no connection).
 */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LINES_MAX 4096

struct line {
	long at_ms;
	char conn[32];
	int port;
	char method[16];
	char path[128];
	char id[64];
	long limit_ms;
	long leave_ms;
	size_t body;
	int taken;
};

static struct line lines[LINES_MAX];
static int line_count;
static const char *host, *key;
static FILE *record;
static long long start_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static long long
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
note(const char *id, const char *event, long value)
{
	pthread_mutex_lock(&lock);
	fprintf(record, "%lld client %s %s %ld\n", now_ms(), id, event, value);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

static int
open_conn(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_port = htons((uint16_t)port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static int
send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return 0;
		data += n;
		len -= (size_t)n;
	}
	return 1;
}

/* An answer that is being read. */
struct answer {
	char *data;
	size_t len, cap;
	int status;
	int keep;
};

/* Returns 1 if the answer is whole, 0 if more must come. */
static int
is_whole(struct answer *a)
{
	char *end = NULL, *p;

	if (a->data != NULL)
		end = strstr(a->data, "\r\n\r\n");
	if (end == NULL)
		return 0;
	a->status = atoi(a->data + 9);
	p = strcasestr(a->data, "\r\nConnection: close");
	a->keep = p == NULL || p > end;
	p = strcasestr(a->data, "\r\nContent-Length:");
	if (p != NULL && p < end)
		return a->len >=
		    (size_t)(end + 4 - a->data) + (size_t)atol(p + 17);
	return a->len >= 5 && memcmp(a->data + a->len - 5, "0\r\n\r\n", 5) == 0;
}

/* Reads until the answer is whole: 1, the connection ends: 0, the time is over:
 * -1. */
static int
read_answer(int fd, struct answer *a, long long until)
{
	for (;;) {
		struct pollfd pfd = {fd, POLLIN, 0};
		long long left = until - now_ms();
		ssize_t n;

		if (is_whole(a))
			return 1;
		if (left <= 0 || poll(&pfd, 1, (int)left) == 0)
			return -1;
		if (a->len + 65536 > a->cap) {
			a->cap = a->cap * 2 + 131072;
			a->data = realloc(a->data, a->cap);
		}
		n = recv(fd, a->data + a->len, 65535, 0);
		if (n <= 0)
			return 0;
		a->len += (size_t)n;
		a->data[a->len] = '\0';
	}
}

static void
fill_body(char *body, size_t len, const char *id)
{
	size_t i, n = strlen(id);

	for (i = 0; i < len; i++)
		body[i] = i % (n + 1) < n ? id[i % (n + 1)] : ' ';
}

static int
send_request(int fd, const struct line *l, const char *body_text)
{
	char head[1024];
	char *body = calloc(1, l->body + 1);
	int ok;

	snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nX-Poplarbeam-Attempt-Id: %s\r\n"
	    "X-Poplarbeam-Deadline-Ms: %ld\r\nAuthorization: Bearer %s\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    l->method, l->path, host, l->id, l->limit_ms, key, l->body);
	if (body_text != NULL)
		memcpy(body, body_text, l->body);
	else
		/* Each request has a body of its own. */
		fill_body(body, l->body, l->id);
	ok = send_all(fd, head, strlen(head)) && send_all(fd, body, l->body);
	free(body);
	return ok;
}

/* Sends one request; returns the connection to use next, or -1. */
static int
play_line(int fd, struct line *l)
{
	long wait = l->leave_ms > 0 ? l->leave_ms : l->limit_ms;
	long long begun = now_ms(), sent;
	struct answer a = {0};
	int rc;

	if (fd < 0)
		fd = open_conn(l->port);
	if (fd < 0) {
		note(l->id, "refused", 0);
		return -1;
	}
	rc = send_request(fd, l, NULL);
	sent = now_ms();
	if (rc) {
		note(l->id, "sent", 0);
		rc = read_answer(fd, &a, begun + wait);
	}
	if (rc < 0)
		note(l->id, "left", (long)(now_ms() - sent));
	else if (rc == 0)
		note(l->id, "broken", (long)(now_ms() - sent));
	else
		note(l->id, "answer", a.status);
	free(a.data);
	if (rc != 1 || !a.keep) {
		close(fd);
		return -1;
	}
	return fd;
}

static void *
play_conn(void *arg)
{
	struct line *first = arg;
	int fd = -1, i;

	for (i = (int)(first - lines); i < line_count; i++) {
		struct line *l = &lines[i];
		long long left;

		if (strcmp(l->conn, first->conn) != 0)
			continue;
		left = start_ms + l->at_ms - now_ms();
		if (left > 0)
			usleep((useconds_t)left * 1000);
		fd = play_line(fd, l);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static int
play(void)
{
	static pthread_t threads[LINES_MAX];
	int i, k, n = 0;
	struct line *l = lines;

	while (line_count < LINES_MAX &&
	    scanf("%ld %31s %d %15s %127s %63s %ld %ld %zu", &l->at_ms, l->conn,
		&l->port, l->method, l->path, l->id, &l->limit_ms, &l->leave_ms,
		&l->body) == 9) {
		l++;
		line_count++;
	}
	start_ms = now_ms();
	for (i = 0; i < line_count; i++) {
		for (k = 0; k < i && strcmp(lines[k].conn, lines[i].conn) != 0;
		     k++)
			;
		if (k == i &&
		    pthread_create(&threads[n], NULL, play_conn, &lines[i]) ==
			0)
			n++;
	}
	for (i = 0; i < n; i++)
		pthread_join(threads[i], NULL);
	return 0;
}

static int
call(int port, const char *method, const char *path, const char *file)
{
	struct line l = {.limit_ms = 2000};
	struct answer a = {0};
	char *text = NULL;
	size_t len = 0;
	FILE *f = file != NULL ? fopen(file, "r") : NULL;
	int fd = open_conn(port);

	host = "control";
	key = "none";
	if (f != NULL) {
		text = malloc(1 << 20);
		len = fread(text, 1, 1 << 20, f);
		fclose(f);
	}
	snprintf(l.method, sizeof(l.method), "%s", method);
	snprintf(l.path, sizeof(l.path), "%s", path);
	snprintf(l.id, sizeof(l.id), "control");
	l.body = len;
	if (fd < 0 || !send_request(fd, &l, text) ||
	    read_answer(fd, &a, now_ms() + 2000) != 1)
		return 0;
	return a.status;
}

static int
find_ports(int n)
{
	int base, i, fds[512];

	srand((unsigned int)(getpid() ^ now_ms()));
	for (;;) {
		base = 12000 + rand() % 18000;
		for (i = 0; i < n && i < 512; i++) {
			struct sockaddr_in addr = {.sin_family = AF_INET};

			fds[i] = socket(AF_INET, SOCK_STREAM, 0);
			addr.sin_port = htons((uint16_t)(base + i));
			addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			if (bind(fds[i], (struct sockaddr *)&addr,
				sizeof(addr)) != 0)
				break;
		}
		if (i == n)
			break;
		while (i >= 0)
			close(fds[i--]);
	}
	printf("%d\n", base);
	return 0;
}

int
main(int argc, char **argv)
{
	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return find_ports(atoi(argv[2]));
	if (argc >= 5 && strcmp(argv[1], "call") == 0)
		return call(atoi(argv[2]), argv[3], argv[4], argv[5]) != 200;
	if (argc == 4 && strcmp(argv[1], "status") == 0)
		return printf("%d\n",
			   call(atoi(argv[2]), "GET", argv[3], NULL)) < 0;
	if (argc == 5 && strcmp(argv[1], "play") == 0) {
		record = fopen(argv[2], "a");
		host = argv[3];
		key = argv[4];
		return record == NULL || play();
	}
	fprintf(stderr, "usage: see the head of client.c\n");
	return 2;
}
