#ifndef FIGBEND_RELAY_PARTS_H
#define FIGBEND_RELAY_PARTS_H

#include "relay.h"

/* What the source files of this package offer each other. */

/* A host is a delegate for this long after a host of its domain reported to it,
 * and to others after it sent them rows. */
#define DELEGATE_US 2000000LL

/* table.c */

/* Returns the host with this id, or NULL. */
struct relay_host *relay_table_find(const struct relay *r, uint64_t id);
/* Adds a host of which only the id is known. Returns NULL without memory. */
struct relay_host *relay_table_add(struct relay *r, uint64_t id);
/* Returns a host, added if need be; NULL for this one or without memory. */
struct relay_host *relay_table_host(struct relay *r, const char *name);
/* Returns the domain with this name, added if need be, or NULL if too many. */
struct relay_domain *relay_table_domain(struct relay *r, const char *name);
/* Sets the domain of a host, which may have been unknown or wrong. */
void relay_table_set_domain(struct relay *r, struct relay_host *h,
			    const char *name);
/* Returns the sum of an endpoint, added if need be, or NULL. */
struct relay_load *relay_table_total(struct relay *r, uint32_t endpoint);
/* Replaces the load of a host by n rows, whose memory it takes over. */
void relay_table_set_load(struct relay *r, struct relay_host *h,
			  struct relay_load *load, uint32_t n,
			  uint32_t waiting);
/* Removes endpoints without load, once there are many. */
void relay_table_drop_idle(struct relay *r);
void relay_table_set_known(struct relay_host *h, bool known);
void relay_table_set_silent(struct relay *r, struct relay_host *h,
			    int64_t now_us);
/* A report of the host was made at at_us. */
void relay_table_set_heard(struct relay *r, struct relay_host *h,
			   int64_t at_us);
void relay_table_set_delegate(struct relay *r, struct relay_host *h,
			      bool delegate);
/* Removes a host from all lists and frees it. */
void relay_table_free(struct relay *r, struct relay_host *h);

/* relay.c */

/* Called first by each event. */
void relay_advance(struct relay *r, int64_t now_us);
void relay_choose_mode(struct relay *r, int64_t now_us);

#endif
