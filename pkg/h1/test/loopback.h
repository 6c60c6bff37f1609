#ifndef FIGBEND_H1_LOOPBACK_H
#define FIGBEND_H1_LOOPBACK_H

#include <arpa/inet.h>
#include <stdint.h>
#include <sys/socket.h>

static inline struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in a = {};

	a.sin_family = AF_INET;
	a.sin_port = htons(port);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return a;
}

static inline uint16_t port_of(int fd)
{
	struct sockaddr_in a;
	socklen_t n = sizeof(a);

	getsockname(fd, (struct sockaddr *)&a, &n);
	return ntohs(a.sin_port);
}

#endif
