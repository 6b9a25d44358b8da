/*
 * Client for the scripts of the second review: sends one HTTP/1.1 request on a
 * new connection to 127.0.0.1 and prints what came back, in one line.
 *
 *   client-2 PORT METHOD PATH [-H FIELD]... [-d BODY | -f FILE] [-t MS] [-r KB]
 * [-p MS]
 *
 * With -r it reads so many KB of the answer a second, and with -p it pauses for
 * so long after the first few KB, both through a small receive buffer. The
 * client closes its connection after the answer, or after so many MS. The line
 * names the status (0: none), whether the answer was complete by its own
 * framing, its seal, the length of its body, the ids of its events, the time
 * that it took and the Unix time in ms at which the connection was closed.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define FIELDS_MAX 16384
/* Receive buffer and longest read of a client that reads slowly, in bytes. */
#define SLOW_BUFFER 16384
#define SLOW_STEP 4096

struct answer {
	char *data; /* NUL-terminated */
	size_t len, cap;
	char *body; /* in data; NULL: the head is not complete */
	int status;
	char seal[256];
	long length; /* -1: none */
	int chunked;
	int closed; /* the peer has ended the connection in order */
	char *text; /* the body without its chunk lines */
	size_t text_len;
	int complete;
};

static long long
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
read_head(struct answer *a)
{
	char *line, *rest, *head;
	char *end = strstr(a->data, "\r\n\r\n");

	if (end == NULL)
		return;
	a->body = end + 4;
	head = strndup(a->data, (size_t)(end - a->data));
	line = strtok_r(head, "\r\n", &rest);
	if (line != NULL)
		sscanf(line, "HTTP/1.1 %d", &a->status);
	while ((line = strtok_r(NULL, "\r\n", &rest)) != NULL) {
		char *value = strchr(line, ':');

		if (value == NULL)
			continue;
		*value++ = '\0';
		while (*value == ' ')
			value++;
		if (strcasecmp(line, "X-Poplarbeam-Response-Seal") == 0)
			snprintf(a->seal, sizeof(a->seal), "%s", value);
		else if (strcasecmp(line, "Content-Length") == 0)
			a->length = atol(value);
		else if (strcasecmp(line, "Transfer-Encoding") == 0)
			a->chunked = strcasecmp(value, "chunked") == 0;
	}
	free(head);
}

/* Copies the chunks received so far; complete if the last one is there. */
static void
read_chunks(struct answer *a)
{
	char *at = a->body, *end = a->data + a->len;

	a->text_len = 0;
	while (at < end) {
		char *line = strstr(at, "\r\n");
		size_t n;

		if (line == NULL)
			return;
		n = strtoul(at, NULL, 16);
		at = line + 2;
		if (n == 0) {
			a->complete = end - at >= 2;
			return;
		}
		if ((size_t)(end - at) < n + 2)
			return;
		memcpy(a->text + a->text_len, at, n);
		a->text_len += n;
		at += n + 2;
	}
}

static void
read_body(struct answer *a)
{
	if (a->body == NULL)
		return;
	free(a->text);
	a->text = calloc(1, a->len + 1);
	if (a->chunked) {
		read_chunks(a);
		return;
	}
	a->text_len = a->len - (size_t)(a->body - a->data);
	memcpy(a->text, a->body, a->text_len);
	a->complete =
	    a->length >= 0 ? a->text_len == (size_t)a->length : a->closed;
}

static void
receive(int fd, struct answer *a, long long end_ms, long rate, long pause)
{
	while (!a->complete && now_ms() < end_ms) {
		long long left = end_ms - now_ms();
		struct timeval tv = {left / 1000, left % 1000 * 1000 + 1};
		ssize_t n;

		if (a->len + 65536 > a->cap) {
			a->cap = a->cap * 2 + 131072;
			a->data = realloc(a->data, a->cap);
		}
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
		n = recv(fd, a->data + a->len,
		    rate > 0 || pause > 0 ? SLOW_STEP : 65535, 0);
		if (rate > 0 && n > 0)
			usleep((useconds_t)(n * 1000 / rate));
		if (n > 0)
			a->len += (size_t)n;
		a->data[a->len] = '\0';
		a->closed = n == 0;
		read_head(a);
		read_body(a);
		if (n <= 0)
			return;
		if (pause > 0 && a->len >= SLOW_STEP) {
			usleep((useconds_t)pause * 1000);
			pause = 0;
		}
	}
}

static void
print_events(const struct answer *a)
{
	const char *at = a->text != NULL ? a->text : "";
	const char *sep = "";

	printf(" events=");
	while ((at = strstr(at, "id: ")) != NULL) {
		at += 4;
		printf("%s%ld", sep, atol(at));
		sep = ",";
	}
}

int
main(int argc, char **argv)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct answer a = {.length = -1};
	char fields[FIELDS_MAX] = "", *body = NULL, *head;
	size_t used = 0, body_len = 0;
	long timeout = 20000, rate = 0, pause = 0;
	long long start = now_ms(), at;
	struct timespec wall;
	int fd = socket(AF_INET, SOCK_STREAM, 0), i, n;

	if (argc < 4 || argc % 2 != 0) {
		fprintf(stderr,
		    "usage: client-2 PORT METHOD PATH "
		    "[-H FIELD]... [-d BODY | -f FILE] [-t MS] "
		    "[-r KB] [-p MS]\n");
		return 2;
	}
	for (i = 4; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "-H") == 0) {
			used += (size_t)snprintf(fields + used,
			    sizeof(fields) - used, "%s\r\n", argv[i + 1]);
		} else if (strcmp(argv[i], "-t") == 0) {
			timeout = atol(argv[i + 1]);
		} else if (strcmp(argv[i], "-r") == 0 ||
		    strcmp(argv[i], "-p") == 0) {
			int size = SLOW_BUFFER;

			if (argv[i][1] == 'r')
				rate = atol(argv[i + 1]);
			else
				pause = atol(argv[i + 1]);
			setsockopt(
			    fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
		} else if (strcmp(argv[i], "-d") == 0) {
			body = strdup(argv[i + 1]);
			body_len = strlen(body);
		} else if (strcmp(argv[i], "-f") == 0) {
			FILE *f = fopen(argv[i + 1], "r");

			body = malloc(1 << 22);
			body_len = f != NULL ? fread(body, 1, 1 << 22, f) : 0;
			if (f != NULL)
				fclose(f);
		}
	}
	addr.sin_port = htons((uint16_t)atoi(argv[1]));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	head = malloc(sizeof(fields) + 4096 + body_len);
	n = snprintf(head, sizeof(fields) + 4096, "%s %s HTTP/1.1\r\n%s",
	    argv[2], argv[3], fields);
	if (strstr(fields, "Host:") == NULL)
		n += sprintf(head + n, "Host: 127.0.0.1\r\n");
	if (body != NULL)
		n += sprintf(head + n, "Content-Length: %zu\r\n", body_len);
	n += sprintf(head + n, "\r\n");
	if (body != NULL)
		memcpy(head + n, body, body_len);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    send(fd, head, (size_t)n + body_len, MSG_NOSIGNAL) > 0)
		receive(fd, &a, start + timeout, rate, pause);
	close(fd);
	clock_gettime(CLOCK_REALTIME, &wall);
	at = (long long)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
	printf("status=%d complete=%s seal=%s length=%zu", a.status,
	    a.complete ? "yes" : "no", a.seal[0] != '\0' ? a.seal : "none",
	    a.text_len);
	print_events(&a);
	printf(" ms=%lld at=%lld\n", now_ms() - start, at);
	return a.status == 0;
}
