#ifndef FIGBEND_FAIRQ_HEAP_H
#define FIGBEND_FAIRQ_HEAP_H

#include "fairq.h"

/*
 * The two binary heaps of a queue, private to the package: flow_heap has the
 * flows with items by virtual time, deadline_heap all items by deadline. Each
 * member records its index, so that it can be moved and removed.
 */

/* Allocates space for one more flow and one more item. Returns 0 or -ENOMEM. */
int fairq_heap_reserve(struct fairq *q);
/* Adds the flow's weight to active_weight. Space must have been reserved. */
void fairq_flow_heap_push(struct fairq *q, struct fairq_flow *f);
/* Subtracts the flow's weight from active_weight. */
void fairq_flow_heap_remove(struct fairq *q, struct fairq_flow *f);
/* Restores the order after the virtual time of a flow in the heap changed. */
void fairq_flow_heap_update(struct fairq *q, struct fairq_flow *f);
/* Increments item_n. Space must have been reserved. */
void fairq_deadline_heap_push(struct fairq *q, struct fairq_item *i);
/* Decrements item_n. */
void fairq_deadline_heap_remove(struct fairq *q, struct fairq_item *i);

#endif
