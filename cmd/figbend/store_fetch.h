#ifndef FIGBEND_STORE_FETCH_H
#define FIGBEND_STORE_FETCH_H

#include <stddef.h>

/*
 * Reads the newest configuration from the store at addr, as "IP:PORT", with
 * blocking calls that end after some seconds in all. Returns 0 with its text in
 * *text for the caller to free, -EINVAL if addr is no address, -ENOENT if the
 * store has no configuration, -ETIMEDOUT, -EFBIG if a response is too large,
 * -EPROTO if it has another status than 200, -EBADMSG if it cannot be read, or
 * another negative error number of the connection.
 */
int store_fetch_config(const char *addr, char **text, size_t *n);

#endif
