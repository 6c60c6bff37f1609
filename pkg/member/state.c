#include "member.h"

#include <string.h>

#include "jread.h"

void member_state_init(struct member_state *s, struct member_epoch *epoch)
{
	memset(s, 0, sizeof(*s));
	memset(epoch, 0, sizeof(*epoch));
	s->epoch = epoch;
	s->next_offset = 1;
}

void member_state_set_log_start(struct member_state *s, uint64_t log_start)
{
	if (log_start <= s->next_offset)
		return;
	s->has_gap = true;
	s->next_offset = log_start;
	s->gap_end = log_start;
}

/*
 * Returns true if the result of the records below offset next is the latest
 * state: no change at next or later was read, and none can have expired unread.
 */
static bool is_latest(const struct member_state *s, uint64_t next)
{
	return s->last_change < next && (!s->has_gap || next >= s->gap_end);
}

static struct member_host *find_host(struct member_epoch *e, const char *name)
{
	return (struct member_host *)member_find(e, name);
}

static void parse_host(struct jread_node *at, struct member_host *h)
{
	memset(h, 0, sizeof(*h));
	jread_string(at, "host", h->name, sizeof(h->name));
	jread_string(at, "domain", h->domain, sizeof(h->domain));
	jread_string(at, "addr", h->addr, sizeof(h->addr));
	h->boot = (uint64_t)jread_int(at, "boot", 1, INT64_MAX);
}

/* Adds a host, or replaces an earlier start of it. */
static enum member_outcome apply_join(struct member_state *s,
				      struct jread_node *root, uint64_t offset)
{
	struct member_epoch *e = s->epoch;
	struct member_host *at, h;

	parse_host(root, &h);
	h.join_offset = offset;
	if (root->errors->n)
		return MEMBER_INVALID;
	at = find_host(e, h.name);
	if (at && at->boot >= h.boot)
		return MEMBER_UNCHANGED;
	if (!at && e->n == MEMBER_HOSTS_MAX)
		return MEMBER_INVALID;
	if (!at)
		at = &e->host[e->n++];
	*at = h;
	return MEMBER_CHANGED;
}

static enum member_outcome apply_leave(struct member_state *s,
				       struct jread_node *root)
{
	char name[MEMBER_NAME_BYTES];
	struct member_host *h;
	uint64_t boot;

	jread_string(root, "host", name, sizeof(name));
	boot = (uint64_t)jread_int(root, "boot", 1, INT64_MAX);
	if (root->errors->n)
		return MEMBER_INVALID;
	h = find_host(s->epoch, name);
	if (!h || h->boot != boot || h->leaving)
		return MEMBER_UNCHANGED;
	h->leaving = true;
	return MEMBER_CHANGED;
}

static enum member_outcome apply_remove(struct member_state *s,
					struct jread_node *root)
{
	struct member_epoch *e = s->epoch;
	char name[MEMBER_NAME_BYTES];
	struct member_host *h;
	uint64_t join_offset;
	size_t after;

	jread_string(root, "host", name, sizeof(name));
	join_offset = (uint64_t)jread_int(root, "joined", 1, INT64_MAX);
	if (root->errors->n)
		return MEMBER_INVALID;
	h = find_host(e, name);
	if (!h || h->join_offset != join_offset)
		return MEMBER_UNCHANGED;
	after = (size_t)(&e->host[e->n] - (h + 1));
	memmove(h, h + 1, after * sizeof(*h));
	e->n--;
	return MEMBER_CHANGED;
}

static void parse_hosts(struct jread_node *root, struct member_epoch *e)
{
	struct jread_node array, item;

	e->n = 0;
	if (!jread_require(root, "hosts", &array))
		return;
	while (e->n < MEMBER_HOSTS_MAX && jread_item(&array, e->n, &item)) {
		parse_host(&item, &e->host[e->n]);
		e->host[e->n].join_offset =
			(uint64_t)jread_int(&item, "joined", 1, INT64_MAX);
		e->host[e->n].leaving = jread_bool_or(&item, "leaving", false);
		e->n++;
	}
}

/* Checks all hosts of a checkpoint before the epoch is overwritten. */
static bool hosts_are_valid(struct jread_node *root)
{
	struct jread_node array, item;
	struct member_host h;
	uint32_t i;

	if (!jread_require(root, "hosts", &array) ||
	    jread_count(&array) > MEMBER_HOSTS_MAX)
		return false;
	for (i = 0; jread_item(&array, i, &item); i++) {
		parse_host(&item, &h);
		jread_int(&item, "joined", 1, INT64_MAX);
	}
	return root->errors->n == 0;
}

/*
 * Installs the state of a checkpoint: closes a gap, and replaces the epoch if
 * that of the checkpoint is newer.
 */
static enum member_outcome install(struct member_state *s,
				   struct jread_node *root, uint64_t number,
				   uint64_t next)
{
	bool is_new = number > s->epoch->number;

	if (number < s->epoch->number || !hosts_are_valid(root))
		return MEMBER_INVALID;
	s->has_gap = false;
	if (next > s->next_offset)
		s->next_offset = next;
	if (!is_new)
		return MEMBER_UNCHANGED;
	parse_hosts(root, s->epoch);
	s->epoch->number = number;
	return MEMBER_CHANGED;
}

/* Without a gap the checkpoint is only compared with the state. */
static enum member_outcome apply_checkpoint(struct member_state *s,
					    struct jread_node *root,
					    uint64_t offset)
{
	uint64_t number, next;

	number = (uint64_t)jread_int(root, "number", 0, INT64_MAX);
	next = (uint64_t)jread_int(root, "upto", 1, INT64_MAX);
	if (root->errors->n || next > offset || number >= next)
		return MEMBER_INVALID;
	if (!is_latest(s, next))
		return MEMBER_UNCHANGED;
	if (!s->has_gap) {
		if (number != s->epoch->number)
			return MEMBER_INVALID;
		s->last_checkpoint = offset;
		return MEMBER_UNCHANGED;
	}
	s->last_checkpoint = offset;
	return install(s, root, number, next);
}

/*
 * Any record other than a checkpoint counts as a change, even without effect,
 * so that a checkpoint from before it is not the latest state.
 */
static enum member_outcome
apply_record(struct member_state *s, struct jread_node *root, uint64_t offset)
{
	enum member_outcome outcome = MEMBER_INVALID;
	char kind[16];

	jread_string(root, "kind", kind, sizeof(kind));
	if (strcmp(kind, "checkpoint") == 0)
		return apply_checkpoint(s, root, offset);
	s->last_change = offset;
	if (s->has_gap)
		return MEMBER_UNCHANGED;
	if (strcmp(kind, "join") == 0)
		outcome = apply_join(s, root, offset);
	else if (strcmp(kind, "leave") == 0)
		outcome = apply_leave(s, root);
	else if (strcmp(kind, "remove") == 0)
		outcome = apply_remove(s, root);
	if (outcome == MEMBER_CHANGED)
		s->epoch->number = offset;
	return outcome;
}

enum member_outcome member_state_apply(struct member_state *s, uint64_t offset,
				       const char *record, size_t n)
{
	enum member_outcome outcome = MEMBER_INVALID;
	struct jread_errors errors;
	struct jread_node root;

	if (offset < s->next_offset)
		return MEMBER_UNCHANGED;
	s->next_offset = offset + 1;
	jread_errors_init(&errors);
	if (jread_parse(record, n, "record", &errors, &root) == 0) {
		outcome = apply_record(s, &root, offset);
		json_object_put(root.value);
	}
	jread_errors_free(&errors);
	return outcome;
}

enum member_outcome member_state_install(struct member_state *s,
					 const char *text, size_t n)
{
	enum member_outcome outcome = MEMBER_INVALID;
	struct jread_errors errors;
	uint64_t number, next;
	struct jread_node root;

	jread_errors_init(&errors);
	if (jread_parse(text, n, "peer", &errors, &root) < 0)
		goto out;
	number = (uint64_t)jread_int(&root, "number", 0, INT64_MAX);
	next = (uint64_t)jread_int(&root, "upto", 1, INT64_MAX);
	if (errors.n || number >= next)
		outcome = MEMBER_INVALID;
	else if (!is_latest(s, next) || (!s->has_gap && next <= s->next_offset))
		outcome = MEMBER_UNCHANGED;
	else
		outcome = install(s, &root, number, next);
	json_object_put(root.value);
out:
	jread_errors_free(&errors);
	return outcome;
}
