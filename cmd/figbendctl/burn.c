#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"
#include "chart.h"
#include "ctl.h"

#define TIMEOUT_MS 5000
#define URL_BYTES 256
#define MERGED_MAX BURN_PAIRS_MAX

/* One pair of account and model, over all hosts that answered. */
struct merged {
	char account[BURN_NAME_BYTES];
	char model[BURN_NAME_BYTES];
	uint32_t objective_parts;
	struct burn_counts recent;
	struct burn_counts hour;
};

struct report {
	struct merged *pair;
	uint32_t n;
	struct chart chart;
	uint32_t hosts;
};

static struct merged *find(struct report *r, const char *account,
			   const char *model)
{
	struct merged *m;
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (strcmp(r->pair[i].account, account) == 0 &&
		    strcmp(r->pair[i].model, model) == 0)
			return &r->pair[i];
	if (r->n == MERGED_MAX)
		return NULL;
	m = &r->pair[r->n++];
	snprintf(m->account, sizeof(m->account), "%s", account);
	snprintf(m->model, sizeof(m->model), "%s", model);
	return m;
}

static void read_sum(struct jread_node *at, const char *key,
		     struct burn_counts *to)
{
	struct burn_counts from;
	struct jread_node o;
	uint32_t c;

	if (!jread_require(at, key, &o))
		return;
	for (c = 0; c < BURN_CAUSE_COUNT; c++)
		from.n[c] = (uint64_t)jread_int(&o, burn_cause_name(c), 0,
						INT64_MAX);
	burn_counts_add(to, &from);
}

static void take_pair(struct report *r, struct jread_node *at)
{
	char account[BURN_NAME_BYTES], model[BURN_NAME_BYTES];
	struct merged *m;

	jread_string(at, "account", account, sizeof(account));
	jread_string(at, "model", model, sizeof(model));
	m = find(r, account, model);
	if (!m)
		return;
	m->objective_parts =
		(uint32_t)jread_int(at, "objective_parts", 0, BURN_PPM);
	read_sum(at, "short", &m->recent);
	read_sum(at, "long", &m->hour);
}

static void take_slot(struct report *r, struct jread_node *at, uint32_t slot_s)
{
	struct chart_point p;

	p.at_s = jread_int(at, "at_s", 0, INT64_MAX) / slot_s * slot_s;
	p.good = (uint64_t)jread_int(at, "good", 0, INT64_MAX);
	p.bad = (uint64_t)jread_int(at, "bad", 0, INT64_MAX);
	chart_add(&r->chart, &p);
}

static bool take_host(struct report *r, const struct ctl_answer *a)
{
	struct jread_errors faults;
	struct jread_node root, array, item;
	uint32_t slot_s, i;
	bool ok;

	jread_errors_init(&faults);
	if (jread_parse(a->body, a->n, "burn", &faults, &root) == 0) {
		slot_s = (uint32_t)jread_int(&root, "slot_s", 1, 86400);
		r->chart.slot_s = slot_s ? slot_s : 1;
		if (jread_require(&root, "pairs", &array))
			for (i = 0; jread_item(&array, i, &item); i++)
				take_pair(r, &item);
		if (jread_require(&root, "timeline", &array))
			for (i = 0; jread_item(&array, i, &item); i++)
				take_slot(r, &item, r->chart.slot_s);
		json_object_put(root.value);
	}
	ok = faults.n == 0;
	jread_errors_free(&faults);
	r->hosts += ok;
	return ok;
}

static bool ask_host(struct report *r, const char *addr)
{
	struct ctl_answer answer;
	char url[URL_BYTES];
	bool ok = false;

	snprintf(url, sizeof(url), "http://%s/burn", addr);
	ctl_fetch("GET", url, NULL, 0, TIMEOUT_MS, &answer);
	if (!answer.error && answer.status == 200)
		ok = take_host(r, &answer);
	free(answer.body);
	if (!ok)
		fprintf(stderr,
			"figbendctl: %s does not answer; its part is "
			"left out\n",
			addr);
	return ok;
}

/* Asks every host of a list with commas. Returns how many did not answer. */
static uint32_t ask_all(struct report *r, const char *addrs)
{
	char addr[64];
	uint32_t missing = 0;
	size_t n;

	for (; *addrs; addrs += n + (addrs[n] == ',')) {
		n = strcspn(addrs, ",");
		snprintf(addr, sizeof(addr), "%.*s", (int)n, addrs);
		missing += n && !ask_host(r, addr);
	}
	return missing;
}

static void print_pair(const struct merged *m)
{
	uint32_t c;

	printf("%-20s %-12s %7llu %7.1f%% %7.2f %7.2f", m->account, m->model,
	       (unsigned long long)burn_counts_total(&m->hour),
	       100. * burn_remaining_budget(&m->hour, m->objective_parts),
	       burn_rate(&m->recent, m->objective_parts),
	       burn_rate(&m->hour, m->objective_parts));
	for (c = BURN_GOOD + 1; c < BURN_CAUSE_COUNT; c++)
		printf(" %8llu", (unsigned long long)m->hour.n[c]);
	printf("\n");
}

static void print_report(const struct report *r)
{
	uint32_t i;

	printf("%-20s %-12s %7s %8s %7s %7s", "account", "model", "1h", "left",
	       "rate5m", "rate1h");
	for (i = BURN_GOOD + 1; i < BURN_CAUSE_COUNT; i++)
		printf(" %8s", burn_cause_name(i));
	printf("\n");
	for (i = 0; i < r->n; i++)
		if (burn_counts_total(&r->pair[i].hour))
			print_pair(&r->pair[i]);
	printf("hosts %u\n", r->hosts);
}

/*
 * burn [FILE.svg]: prints error budget and burn of the hosts named by --admin,
 * several with commas between them, added up; draws them over time to the file.
 */
int ctl_burn(const struct ctl_args *a)
{
	struct report r = {.hosts = 0};
	int status = CTL_OK;

	if (!a->admin_addr) {
		fprintf(stderr, "figbendctl: --admin is needed\n");
		return CTL_USAGE;
	}
	r.pair = calloc(MERGED_MAX, sizeof(*r.pair));
	if (!r.pair)
		return CTL_FAILED;
	if (ask_all(&r, a->admin_addr))
		status = CTL_FAILED;
	print_report(&r);
	if (a->word_n && chart_write(&r.chart, a->word[0]) < 0) {
		fprintf(stderr, "figbendctl: cannot write %s\n", a->word[0]);
		status = CTL_FAILED;
	}
	free(r.pair);
	return status;
}
