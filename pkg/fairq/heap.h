#ifndef FIGBEND_FAIRQ_HEAP_H
#define FIGBEND_FAIRQ_HEAP_H

#include "fairq.h"

/* The two heaps of a queue: flows by virtual time, items by deadline. */

int fairq_heap_reserve(struct fairq *q);
void fairq_flow_heap_push(struct fairq *q, struct fairq_flow *f);
void fairq_flow_heap_remove(struct fairq *q, struct fairq_flow *f);
void fairq_flow_heap_update(struct fairq *q, struct fairq_flow *f);
void fairq_deadline_heap_push(struct fairq *q, struct fairq_item *i);
void fairq_deadline_heap_remove(struct fairq *q, struct fairq_item *i);

#endif
