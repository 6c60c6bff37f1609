#include "relay.h"

#include "namehash.h"

/* A delegate hears all hosts of its domain within this time, and the delegates of
 * all domains that can be reached within the longer one. */
#define COMPLETE_US 1000000LL
#define COMPLETE_MAX_US 3000000LL
/* Digests of this age are no longer used. */
#define DIGEST_STALE_US 2000000LL
/* A host that is no delegate any more uses its rows until it has a digest, but
 * no longer than this. */
#define ROWS_GRACE_US 1500000LL
/* Reader states that are older than this are unknown. */
#define READER_STALE_US 2000000LL
/* A host counts for the rank of others for this long after its last message, which
 * is due every 0.1 to 0.7 s. */
#define RANK_STALE_US 1000000LL
/* Domains count as alive for this long after the last digest: while delegates
 * are replaced no digest arrives. */
#define DOMAINS_STALE_US 3000000LL

/*
 * A delegate needs rows of each domain that its last digest counts as alive.
 */
bool relay_is_complete(const struct relay *r, int64_t now_us)
{
	int64_t since_us = now_us - r->mode_us;
	uint32_t i;

	if (r->mode == RELAY_MEMBER || since_us < COMPLETE_US)
		return false;
	for (i = 0; i < r->n_domains && since_us < COMPLETE_MAX_US; i++)
		if (&r->domain[i] != r->own_domain &&
		    r->domain[i].digest_alive && !r->domain[i].alive)
			return false;
	return true;
}

static bool digest_is_fresh(const struct relay *r, int64_t now_us)
{
	return r->digest_us && now_us - r->digest_us < DIGEST_STALE_US;
}

bool relay_uses_digest(const struct relay *r, int64_t now_us)
{
	if (r->mode == RELAY_MEMBER)
		return digest_is_fresh(r, now_us) ||
		       now_us - r->mode_us > ROWS_GRACE_US;
	return r->mode == RELAY_DELEGATE && !relay_is_complete(r, now_us) &&
	       digest_is_fresh(r, now_us);
}

static const struct relay_load *find_load(const struct relay_load *load,
					  uint32_t n, uint32_t endpoint)
{
	uint32_t low = 0, high = n, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (load[mid].endpoint < endpoint)
			low = mid + 1;
		else
			high = mid;
	}
	return low < n && load[low].endpoint == endpoint ? &load[low] : 0;
}

void relay_get_load(const struct relay *r, uint32_t endpoint, int64_t now_us,
		    uint32_t *running, uint32_t *tokens)
{
	const struct relay_load *l = 0;

	if (!relay_uses_digest(r, now_us))
		l = find_load(r->total, r->n_totals, endpoint);
	else if (digest_is_fresh(r, now_us))
		l = find_load(r->digest_load, r->n_digest_loads, endpoint);
	*running = l ? l->running : 0;
	*tokens = l ? l->tokens : 0;
}

/*
 * Sums the hosts of all domains. Those of a domain from which this host hears
 * nothing are known from the last digest, however old: the domain or this host
 * may be cut off, and its hosts still use their part of the limits.
 */
uint32_t relay_known(const struct relay *r, int64_t now_us)
{
	bool digest = relay_uses_digest(r, now_us);
	uint32_t i, n = 1;

	for (i = 0; i < r->n_domains; i++) {
		const struct relay_domain *d = &r->domain[i];

		if ((!d->alive || digest) && d->digest_known > d->known)
			n += d->digest_known -
			     (d == r->own_domain && d->digest_known);
		else
			n += d->known;
	}
	return n;
}

uint32_t relay_living(const struct relay *r, int64_t now_us)
{
	bool digest = relay_uses_digest(r, now_us) &&
		      digest_is_fresh(r, now_us);
	uint32_t i, n = 1;

	for (i = 0; i < r->n_domains; i++) {
		const struct relay_domain *d = &r->domain[i];

		n += digest ? d->digest_alive -
				      (d == r->own_domain && d->digest_alive)
			    : d->alive;
	}
	return n;
}

uint32_t relay_rank(const struct relay *r, uint32_t *n)
{
	uint32_t rank = 0;

	while (rank < r->n_hosts && r->host[rank]->id < r->id)
		rank++;
	*n = r->n_hosts + 1;
	return rank;
}

/* The finalizer of MurmurHash3: ids that differ in few bits have unrelated ranks. */
static uint64_t mix(uint64_t x)
{
	x = (x ^ x >> 33) * 0xff51afd7ed558ccdULL;
	x = (x ^ x >> 33) * 0xc4ceb9fe1a85ec53ULL;
	return x ^ x >> 33;
}

uint32_t relay_rank_for(const struct relay *r, const char *task)
{
	uint64_t key = namehash(task), own = mix(r->id ^ key);
	uint32_t i, rank = 0;

	for (i = 0; i < r->n_hosts; i++) {
		const struct relay_host *h = r->host[i];

		if (r->mode == RELAY_MEMBER ? !h->known : !h->alive)
			continue;
		rank += mix(h->id ^ key) < own;
	}
	return rank;
}

uint32_t relay_waiting(const struct relay *r, int64_t now_us)
{
	if (!relay_uses_digest(r, now_us))
		return r->waiting;
	return digest_is_fresh(r, now_us) ? r->digest_waiting : 0;
}

bool relay_domain_is_alive(const struct relay *r, const struct relay_domain *d,
			   int64_t now_us)
{
	if (d->alive)
		return true;
	return relay_uses_digest(r, now_us) && r->digest_us &&
	       now_us - r->digest_us < DOMAINS_STALE_US && d->digest_alive;
}

int64_t relay_age_us(const struct relay *r, int64_t now_us)
{
	const struct relay_host *oldest = TAILQ_FIRST(&r->alive);

	if (relay_uses_digest(r, now_us))
		return r->digest_us ? now_us - r->digest_us +
					      r->digest_oldest_ms * 1000LL
				    : -1;
	return oldest ? now_us - oldest->heard_us : -1;
}

/* Rows are on their way for up to two intervals before a digest sums them up. */
int64_t relay_staleness_us(const struct relay *r, int64_t now_us)
{
	const struct relay_host *newest = TAILQ_LAST(&r->alive, relay_hosts);
	int64_t heard_us = newest ? newest->heard_us : r->start_us;

	if (relay_uses_digest(r, now_us))
		return now_us - (r->digest_us ? r->digest_us : r->start_us) +
		       RELAY_REPORT_US;
	return now_us - heard_us + RELAY_REPORT_US;
}

static bool reads_store(const struct relay_host *h, int64_t stale_us,
			int64_t now_us)
{
	return h->offsets_us && now_us - h->offsets_us < stale_us &&
	       h->reader_state == FIG_FOLLOWS;
}

/* A member leaves reading to the delegates that answer it. */
bool relay_has_reader(const struct relay *r, int64_t now_us)
{
	const struct relay_domain *d = r->own_domain;
	uint32_t i, before = 0;

	for (i = 0; i < d->n; i++) {
		if (!reads_store(d->host[i], READER_STALE_US, now_us))
			continue;
		if (r->mode == RELAY_MEMBER)
			return true;
		before += d->host[i]->id < r->id;
	}
	return before >= RELAY_DELEGATES;
}

bool relay_has_seniors(const struct relay *r)
{
	const struct relay_domain *d = r->own_domain;
	uint32_t i, n = 0;

	for (i = 0; i < d->n && d->host[i]->id < r->id; i++)
		n += !d->host[i]->down;
	return n >= RELAY_DELEGATES;
}

uint32_t relay_reader_rank(const struct relay *r, int64_t now_us)
{
	uint32_t i, rank = 0;

	for (i = 0; i < r->n_hosts && r->host[i]->id < r->id; i++)
		rank += reads_store(r->host[i], RANK_STALE_US, now_us);
	return rank;
}

/* A member hears delegates only; their digests tell of the others. */
uint32_t relay_living_in_domain(const struct relay *r, int64_t now_us)
{
	if (relay_uses_digest(r, now_us) && digest_is_fresh(r, now_us))
		return r->own_domain->digest_alive;
	return r->own_domain->alive + 1;
}
