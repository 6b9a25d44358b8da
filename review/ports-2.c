/* Prints so many free TCP ports of 127.0.0.1 in one line: ports-2 COUNT */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

int
main(int argc, char **argv)
{
	int i, count = argc > 1 ? atoi(argv[1]) : 1;

	for (i = 0; i < count; i++) {
		struct sockaddr_in addr = {.sin_family = AF_INET};
		socklen_t len = sizeof(addr);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (struct sockaddr *)&addr, len) != 0 ||
		    getsockname(fd, (struct sockaddr *)&addr, &len) != 0)
			return 2;
		printf("%s%d", i > 0 ? " " : "", ntohs(addr.sin_port));
	}
	printf("\n");
	return 0;
}
