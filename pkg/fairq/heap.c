#include "heap.h"

#include <errno.h>
#include <stdlib.h>

#define INITIAL_CAPACITY 16

/* Doubles the capacity of an array if all n elements are in use. */
static int grow(void **array, uint32_t *capacity, uint32_t n)
{
	uint32_t larger = *capacity ? 2 * *capacity : INITIAL_CAPACITY;
	void *p;

	if (n < *capacity)
		return 0;
	p = realloc(*array, larger * sizeof(void *));
	if (!p)
		return -ENOMEM;
	*array = p;
	*capacity = larger;
	return 0;
}

int fairq_heap_reserve(struct fairq *q)
{
	int r = grow((void **)&q->flow_heap, &q->flow_heap_capacity,
		     q->flow_heap_n);

	return r < 0 ? r
		     : grow((void **)&q->deadline_heap,
			    &q->deadline_heap_capacity, q->item_n);
}

static void set_flow(struct fairq *q, uint32_t slot, struct fairq_flow *f)
{
	q->flow_heap[slot] = f;
	f->heap_index = slot;
}

/* Places a flow in heap order, starting from a free slot. */
static void sift_flow(struct fairq *q, uint32_t slot, struct fairq_flow *f)
{
	uint32_t parent, child;

	for (; slot > 0; slot = parent) {
		parent = (slot - 1) / 2;
		if (q->flow_heap[parent]->virtual_time <= f->virtual_time)
			break;
		set_flow(q, slot, q->flow_heap[parent]);
	}
	for (;; slot = child) {
		child = 2 * slot + 1;
		if (child + 1 < q->flow_heap_n &&
		    q->flow_heap[child + 1]->virtual_time <
			    q->flow_heap[child]->virtual_time)
			child++;
		if (child >= q->flow_heap_n ||
		    q->flow_heap[child]->virtual_time >= f->virtual_time)
			break;
		set_flow(q, slot, q->flow_heap[child]);
	}
	set_flow(q, slot, f);
}

void fairq_flow_heap_push(struct fairq *q, struct fairq_flow *f)
{
	q->active_weight += f->weight;
	q->flow_heap_n++;
	set_flow(q, q->flow_heap_n - 1, f);
	sift_flow(q, q->flow_heap_n - 1, f);
}

void fairq_flow_heap_remove(struct fairq *q, struct fairq_flow *f)
{
	struct fairq_flow *last = q->flow_heap[--q->flow_heap_n];

	q->active_weight -= f->weight;
	if (last != f)
		sift_flow(q, f->heap_index, last);
}

void fairq_flow_heap_update(struct fairq *q, struct fairq_flow *f)
{
	sift_flow(q, f->heap_index, f);
}

static void set_item(struct fairq *q, uint32_t slot, struct fairq_item *i)
{
	q->deadline_heap[slot] = i;
	i->heap_index = slot;
}

/* As sift_flow(), for the heap of the item_n items. */
static void sift_item(struct fairq *q, uint32_t slot, struct fairq_item *i)
{
	uint32_t parent, child;

	for (; slot > 0; slot = parent) {
		parent = (slot - 1) / 2;
		if (q->deadline_heap[parent]->deadline_us <= i->deadline_us)
			break;
		set_item(q, slot, q->deadline_heap[parent]);
	}
	for (;; slot = child) {
		child = 2 * slot + 1;
		if (child + 1 < q->item_n &&
		    q->deadline_heap[child + 1]->deadline_us <
			    q->deadline_heap[child]->deadline_us)
			child++;
		if (child >= q->item_n ||
		    q->deadline_heap[child]->deadline_us >= i->deadline_us)
			break;
		set_item(q, slot, q->deadline_heap[child]);
	}
	set_item(q, slot, i);
}

void fairq_deadline_heap_push(struct fairq *q, struct fairq_item *i)
{
	q->item_n++;
	set_item(q, q->item_n - 1, i);
	sift_item(q, q->item_n - 1, i);
}

void fairq_deadline_heap_remove(struct fairq *q, struct fairq_item *i)
{
	struct fairq_item *last = q->deadline_heap[--q->item_n];

	if (last != i)
		sift_item(q, i->heap_index, last);
}
