/*
 * Prints so many free TCP ports of 127.0.0.1 in one line: ports-2 COUNT. They
 * are below the range from which the system takes ports for outgoing
 * connections, so that they stay free when a process is restarted.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FIRST 12000
#define LAST 31000

static int
is_free(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int rc;

	addr.sin_port = htons((unsigned short)port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rc = bind(fd, (struct sockaddr *)&addr, sizeof(addr));
	close(fd);
	return rc == 0;
}

int
main(int argc, char **argv)
{
	int left = argc > 1 ? atoi(argv[1]) : 1;
	int port;

	srand((unsigned int)(time(NULL) ^ getpid() * 7919));
	port = FIRST + rand() % (LAST - FIRST - 2000);
	for (; left > 0 && port < LAST; port++) {
		if (!is_free(port))
			continue;
		printf("%d%s", port, --left > 0 ? " " : "\n");
	}
	return left > 0 ? 2 : 0;
}
