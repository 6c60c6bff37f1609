#include "heap.h"

#include <errno.h>
#include <stdlib.h>

#define ROOM_FIRST 16

static int grow(void **array, uint32_t *room, uint32_t n)
{
	uint32_t more = *room ? 2 * *room : ROOM_FIRST;
	void *p;

	if (n < *room)
		return 0;
	p = realloc(*array, more * sizeof(void *));
	if (!p)
		return -ENOMEM;
	*array = p;
	*room = more;
	return 0;
}

/* Makes room for one more flow and item. Returns 0 or -ENOMEM. */
int fairq_heap_reserve(struct fairq *q)
{
	int r = grow((void **)&q->flow_heap, &q->flow_heap_capacity,
		     q->flow_heap_n);

	return r < 0 ? r
		     : grow((void **)&q->deadline_heap,
			    &q->deadline_heap_capacity, q->item_n);
}

static void put_flow(struct fairq *q, uint32_t at, struct fairq_flow *f)
{
	q->flow_heap[at] = f;
	f->heap_index = at;
}

/* Puts a flow where it belongs, starting from a free place. */
static void sift_flow(struct fairq *q, uint32_t at, struct fairq_flow *f)
{
	uint32_t up, child;

	for (; at > 0; at = up) {
		up = (at - 1) / 2;
		if (q->flow_heap[up]->virtual_time <= f->virtual_time)
			break;
		put_flow(q, at, q->flow_heap[up]);
	}
	for (;; at = child) {
		child = 2 * at + 1;
		if (child + 1 < q->flow_heap_n &&
		    q->flow_heap[child + 1]->virtual_time <
			    q->flow_heap[child]->virtual_time)
			child++;
		if (child >= q->flow_heap_n ||
		    q->flow_heap[child]->virtual_time >= f->virtual_time)
			break;
		put_flow(q, at, q->flow_heap[child]);
	}
	put_flow(q, at, f);
}

void fairq_flow_heap_push(struct fairq *q, struct fairq_flow *f)
{
	q->active_weight += f->weight;
	q->flow_heap_n++;
	put_flow(q, q->flow_heap_n - 1, f);
	sift_flow(q, q->flow_heap_n - 1, f);
}

void fairq_flow_heap_remove(struct fairq *q, struct fairq_flow *f)
{
	struct fairq_flow *last = q->flow_heap[--q->flow_heap_n];

	q->active_weight -= f->weight;
	if (last != f)
		sift_flow(q, f->heap_index, last);
}

/* The virtual time of a flow in the heap has changed. */
void fairq_flow_heap_update(struct fairq *q, struct fairq_flow *f)
{
	sift_flow(q, f->heap_index, f);
}

static void put_item(struct fairq *q, uint32_t at, struct fairq_item *i)
{
	q->deadline_heap[at] = i;
	i->heap_index = at;
}

/* As sift_flow(), for an item among the n of the queue. */
static void sift_item(struct fairq *q, uint32_t at, struct fairq_item *i)
{
	uint32_t up, child;

	for (; at > 0; at = up) {
		up = (at - 1) / 2;
		if (q->deadline_heap[up]->deadline_us <= i->deadline_us)
			break;
		put_item(q, at, q->deadline_heap[up]);
	}
	for (;; at = child) {
		child = 2 * at + 1;
		if (child + 1 < q->item_n &&
		    q->deadline_heap[child + 1]->deadline_us <
			    q->deadline_heap[child]->deadline_us)
			child++;
		if (child >= q->item_n ||
		    q->deadline_heap[child]->deadline_us >= i->deadline_us)
			break;
		put_item(q, at, q->deadline_heap[child]);
	}
	put_item(q, at, i);
}

void fairq_deadline_heap_push(struct fairq *q, struct fairq_item *i)
{
	q->item_n++;
	put_item(q, q->item_n - 1, i);
	sift_item(q, q->item_n - 1, i);
}

void fairq_deadline_heap_remove(struct fairq *q, struct fairq_item *i)
{
	struct fairq_item *last = q->deadline_heap[--q->item_n];

	if (last != i)
		sift_item(q, i->heap_index, last);
}
