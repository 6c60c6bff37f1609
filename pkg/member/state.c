#include "member.h"

#include <string.h>

#include "jread.h"

/* Starts before the first record of the stream, with an empty epoch. */
void member_state_init(struct member_state *f, struct member_epoch *epoch)
{
	memset(f, 0, sizeof(*f));
	memset(epoch, 0, sizeof(*epoch));
	f->epoch = epoch;
	f->next_offset = 1;
}

/*
 * Tells the oldest offset that the log still has. If records expired before
 * they were folded, the epoch is kept but the fold is lost until a checkpoint
 * that stands, or a peer's, makes it whole.
 */
void member_state_set_log_start(struct member_state *f, uint64_t first)
{
	if (first <= f->next_offset)
		return;
	f->has_gap = true;
	f->next_offset = first;
	f->gap_end = first;
}

/*
 * Tells whether a state that holds up to an offset is the state now: no record
 * that may change it was seen from there on, nor may one have been missed.
 */
static bool stands(const struct member_state *f, uint64_t upto)
{
	return f->last_change < upto && (!f->has_gap || upto >= f->gap_end);
}

static struct member_host *find(struct member_epoch *e, const char *name)
{
	return (struct member_host *)member_find(e, name);
}

static void read_host(struct jread_node *at, struct member_host *h)
{
	memset(h, 0, sizeof(*h));
	jread_string(at, "host", h->name, sizeof(h->name));
	jread_string(at, "domain", h->domain, sizeof(h->domain));
	jread_string(at, "addr", h->addr, sizeof(h->addr));
	h->boot = (uint64_t)jread_int(at, "boot", 1, INT64_MAX);
}

/* Lets a host in, or a later start of it in the place of an earlier one. */
static enum member_outcome join(struct member_state *f, struct jread_node *root,
				uint64_t offset)
{
	struct member_epoch *e = f->epoch;
	struct member_host *at, h;

	read_host(root, &h);
	h.join_offset = offset;
	if (root->errors->n)
		return MEMBER_INVALID;
	at = find(e, h.name);
	if (at && at->boot >= h.boot)
		return MEMBER_UNCHANGED;
	if (!at && e->n == MEMBER_HOSTS_MAX)
		return MEMBER_INVALID;
	if (!at)
		at = &e->host[e->n++];
	*at = h;
	return MEMBER_CHANGED;
}

static enum member_outcome leave(struct member_state *f,
				 struct jread_node *root)
{
	char name[MEMBER_NAME_BYTES];
	struct member_host *h;
	uint64_t boot;

	jread_string(root, "host", name, sizeof(name));
	boot = (uint64_t)jread_int(root, "boot", 1, INT64_MAX);
	if (root->errors->n)
		return MEMBER_INVALID;
	h = find(f->epoch, name);
	if (!h || h->boot != boot || h->leaving)
		return MEMBER_UNCHANGED;
	h->leaving = true;
	return MEMBER_CHANGED;
}

static enum member_outcome remove_host(struct member_state *f,
				       struct jread_node *root)
{
	struct member_epoch *e = f->epoch;
	char name[MEMBER_NAME_BYTES];
	struct member_host *h;
	uint64_t joined;
	size_t after;

	jread_string(root, "host", name, sizeof(name));
	joined = (uint64_t)jread_int(root, "joined", 1, INT64_MAX);
	if (root->errors->n)
		return MEMBER_INVALID;
	h = find(e, name);
	if (!h || h->join_offset != joined)
		return MEMBER_UNCHANGED;
	after = (size_t)(&e->host[e->n] - (h + 1));
	memmove(h, h + 1, after * sizeof(*h));
	e->n--;
	return MEMBER_CHANGED;
}

static void read_hosts(struct jread_node *root, struct member_epoch *e)
{
	struct jread_node array, item;

	e->n = 0;
	if (!jread_require(root, "hosts", &array))
		return;
	while (e->n < MEMBER_HOSTS_MAX && jread_item(&array, e->n, &item)) {
		read_host(&item, &e->host[e->n]);
		e->host[e->n].join_offset =
			(uint64_t)jread_int(&item, "joined", 1, INT64_MAX);
		e->host[e->n].leaving = jread_bool_or(&item, "leaving", false);
		e->n++;
	}
}

/* Checks the hosts of a checkpoint before any of it is taken over. */
static bool hosts_are_valid(struct jread_node *root)
{
	struct jread_node array, item;
	struct member_host h;
	uint32_t i;

	if (!jread_require(root, "hosts", &array) ||
	    jread_count(&array) > MEMBER_HOSTS_MAX)
		return false;
	for (i = 0; jread_item(&array, i, &item); i++) {
		read_host(&item, &h);
		jread_int(&item, "joined", 1, INT64_MAX);
	}
	return root->errors->n == 0;
}

/* Makes a lost or older fold that of a checkpoint. */
static enum member_outcome take_over(struct member_state *f,
				     struct jread_node *root, uint64_t number,
				     uint64_t upto)
{
	bool is_new = number > f->epoch->number;

	if (number < f->epoch->number || !hosts_are_valid(root))
		return MEMBER_INVALID;
	f->has_gap = false;
	if (upto > f->next_offset)
		f->next_offset = upto;
	if (!is_new)
		return MEMBER_UNCHANGED;
	read_hosts(root, f->epoch);
	f->epoch->number = number;
	return MEMBER_CHANGED;
}

static enum member_outcome checkpoint(struct member_state *f,
				      struct jread_node *root, uint64_t offset)
{
	uint64_t number, upto;

	number = (uint64_t)jread_int(root, "number", 0, INT64_MAX);
	upto = (uint64_t)jread_int(root, "upto", 1, INT64_MAX);
	if (root->errors->n || upto > offset || number >= upto)
		return MEMBER_INVALID;
	if (!stands(f, upto))
		return MEMBER_UNCHANGED;
	if (!f->has_gap) {
		if (number != f->epoch->number)
			return MEMBER_INVALID;
		f->last_checkpoint = offset;
		return MEMBER_UNCHANGED;
	}
	f->last_checkpoint = offset;
	return take_over(f, root, number, upto);
}

static enum member_outcome apply(struct member_state *f,
				 struct jread_node *root, uint64_t offset)
{
	enum member_outcome outcome = MEMBER_INVALID;
	char kind[16];

	jread_string(root, "kind", kind, sizeof(kind));
	if (strcmp(kind, "checkpoint") == 0)
		return checkpoint(f, root, offset);
	f->last_change = offset;
	if (f->has_gap)
		return MEMBER_UNCHANGED;
	if (strcmp(kind, "join") == 0)
		outcome = join(f, root, offset);
	else if (strcmp(kind, "leave") == 0)
		outcome = leave(f, root);
	else if (strcmp(kind, "remove") == 0)
		outcome = remove_host(f, root);
	if (outcome == MEMBER_CHANGED)
		f->epoch->number = offset;
	return outcome;
}

/*
 * Folds the record at an offset. Records below the next offset were folded
 * before. A record that changes the hosts makes a new epoch whose number is the
 * offset; one that changes nothing, such as a duplicate, leaves the number.
 */
enum member_outcome member_state_apply(struct member_state *f, uint64_t offset,
				       const char *record, size_t n)
{
	enum member_outcome outcome = MEMBER_INVALID;
	struct jread_errors faults;
	struct jread_node root;

	if (offset < f->next_offset)
		return MEMBER_UNCHANGED;
	f->next_offset = offset + 1;
	jread_errors_init(&faults);
	if (jread_parse(record, n, "record", &faults, &root) == 0) {
		outcome = apply(f, &root, offset);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
	return outcome;
}

/*
 * Takes over the fold of a peer, which it wrote as a checkpoint. Numbers never
 * go back: a state that is behind this fold is left.
 */
enum member_outcome member_state_install(struct member_state *f,
					 const char *text, size_t n)
{
	enum member_outcome outcome = MEMBER_INVALID;
	struct jread_errors faults;
	uint64_t number, upto;
	struct jread_node root;

	jread_errors_init(&faults);
	if (jread_parse(text, n, "peer", &faults, &root) < 0)
		goto out;
	number = (uint64_t)jread_int(&root, "number", 0, INT64_MAX);
	upto = (uint64_t)jread_int(&root, "upto", 1, INT64_MAX);
	if (faults.n || number >= upto)
		outcome = MEMBER_INVALID;
	else if (!stands(f, upto) || (!f->has_gap && upto <= f->next_offset))
		outcome = MEMBER_UNCHANGED;
	else
		outcome = take_over(f, &root, number, upto);
	json_object_put(root.value);
out:
	jread_errors_free(&faults);
	return outcome;
}
