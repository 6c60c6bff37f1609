#include "scenario.h"

#include <errno.h>
#include <string.h>

#define TOKENS_MAX 200000

static void read_lengths(struct jread_node *at, const char *key,
			 struct lengths *l)
{
	static const char *const keys[] = {"kind", "median", "sigma",
					   "min",  "max",    NULL};
	struct jread_node o;
	char kind[16];

	if (!jread_require(at, key, &o))
		return;
	jread_check_keys(&o, keys);
	jread_string(&o, "kind", kind, sizeof(kind));
	l->median = jread_double_or(&o, "median", 100, 1, TOKENS_MAX);
	l->sigma = jread_double_or(&o, "sigma", 0.5, 0, 5);
	l->min = (uint32_t)jread_int_or(&o, "min", 1, 1, TOKENS_MAX);
	l->max = (uint32_t)jread_int_or(&o, "max", TOKENS_MAX, l->min,
					TOKENS_MAX);
	if (strcmp(kind, "fixed") == 0)
		l->kind = LENGTHS_FIXED;
	else if (strcmp(kind, "uniform") == 0)
		l->kind = LENGTHS_UNIFORM;
	else if (strcmp(kind, "lognormal") == 0)
		l->kind = LENGTHS_LOGNORMAL;
	else
		jread_error_expected(&o, "a kind: fixed, uniform or lognormal");
}

static void read_phases(struct jread_node *at, struct scenario_account *a)
{
	struct jread_node array, item;
	struct phase *p;

	if (!jread_member(at, "phases", &array))
		return;
	while (a->phase_n < SCENARIO_PHASES_MAX &&
	       jread_item(&array, a->phase_n, &item)) {
		p = &a->phase[a->phase_n++];
		p->from_s = jread_double_or(&item, "from_s", 0, 0, 1e6);
		p->to_s = jread_double_or(&item, "to_s", 1e6, 0, 1e6);
		p->times = jread_double_or(&item, "times", 1, 0, 1000);
	}
}

static void read_arrivals(struct jread_node *at, struct scenario_account *a)
{
	char word[16];

	jread_string_or(at, "arrivals", "poisson", word, sizeof(word));
	if (strcmp(word, "poisson") == 0)
		a->arrivals = ARRIVALS_POISSON;
	else if (strcmp(word, "even") == 0)
		a->arrivals = ARRIVALS_EVEN;
	else
		jread_error_expected(at, "arrivals: poisson or even");
}

static void read_account(struct jread_node *at, struct scenario_account *a)
{
	static const char *const keys[] = {
		"name",		 "key",		  "model",
		"arrivals",	 "requests_s",	  "prompt_tokens",
		"output_tokens", "phases",	  "prefix_share",
		"prefixes",	 "prefix_tokens", "cancel_share",
		"rate_tokens_s", "burst_tokens",  NULL};

	jread_check_keys(at, keys);
	jread_string(at, "name", a->name, sizeof(a->name));
	jread_string_or(at, "key", "", a->key, sizeof(a->key));
	jread_string(at, "model", a->model, sizeof(a->model));
	read_arrivals(at, a);
	a->requests_s = jread_double_or(at, "requests_s", 1, 0.001, 1e6);
	read_lengths(at, "prompt_tokens", &a->prompt);
	read_lengths(at, "output_tokens", &a->output);
	a->prefix_share = jread_double_or(at, "prefix_share", 0, 0, 1);
	a->prefixes = (uint32_t)jread_int_or(at, "prefixes", 1, 1, 100000);
	a->prefix_tokens =
		(uint32_t)jread_int_or(at, "prefix_tokens", 0, 0, TOKENS_MAX);
	a->cancel_share = jread_double_or(at, "cancel_share", 0, 0, 1);
	a->rate_tokens_s =
		(uint64_t)jread_int_or(at, "rate_tokens_s", 0, 0, INT64_MAX);
	a->burst_tokens =
		(uint64_t)jread_int_or(at, "burst_tokens", 0, 0, INT64_MAX);
	read_phases(at, a);
}

static uint32_t read_addrs(struct jread_node *root, const char *key,
			   char (*out)[SCENARIO_ADDR_BYTES])
{
	struct jread_node array, item;
	uint32_t n = 0;
	const char *s;

	if (!jread_member(root, key, &array))
		return 0;
	while (n < SCENARIO_TARGETS_MAX && jread_item(&array, n, &item)) {
		s = json_object_get_string(item.value);
		strncpy(out[n], s ? s : "", SCENARIO_ADDR_BYTES - 1);
		n++;
	}
	return n;
}

static void read_whole(struct jread_node *root, struct scenario *s)
{
	struct jread_node array, item;

	jread_string(root, "name", s->name, sizeof(s->name));
	s->seed = (uint64_t)jread_int_or(root, "seed", 1, 0, INT64_MAX);
	s->duration_s = jread_double_or(root, "duration_s", 10, 0.1, 86400);
	s->warmup_s = jread_double_or(root, "warmup_s", 0, 0, 86400);
	s->first_token_ms =
		(uint32_t)jread_int_or(root, "first_token_ms", 1600, 1, 600000);
	s->token_gap_ms =
		(uint32_t)jread_int_or(root, "token_gap_ms", 40, 1, 60000);
	s->tries_max = (uint32_t)jread_int_or(root, "tries", 1, 1, 16);
	s->target_n = read_addrs(root, "targets", s->target);
	s->record_n = read_addrs(root, "records", s->record);
	if (!jread_require(root, "accounts", &array))
		return;
	while (s->account_n < SCENARIO_ACCOUNTS_MAX &&
	       jread_item(&array, s->account_n, &item))
		read_account(&item, &s->account[s->account_n++]);
}

/*
 * Reads a scenario from JSON with comments. Faults are added to the list.
 * "experiment" is left to the script that starts the processes. Returns 0 or
 * -EINVAL.
 */
int scenario_parse(struct scenario *s, const char *text, size_t n,
		   const char *name, struct jread_errors *faults)
{
	static const char *const keys[] = {
		"name",		  "seed",	  "duration_s", "warmup_s",
		"first_token_ms", "token_gap_ms", "tries",	"targets",
		"records",	  "accounts",	  "experiment", NULL};
	uint32_t before = faults->n;
	struct jread_node root;

	memset(s, 0, sizeof(*s));
	if (jread_parse(text, n, name, faults, &root) < 0)
		return -EINVAL;
	jread_check_keys(&root, keys);
	read_whole(&root, s);
	json_object_put(root.value);
	return faults->n == before ? 0 : -EINVAL;
}
