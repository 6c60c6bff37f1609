#ifndef FIGBEND_MEASURE_H
#define FIGBEND_MEASURE_H

#include <stdbool.h>
#include <stdint.h>

#include "scenario.h"

/* What became of each request, and the measures worked out of it. */

enum outcome {
	OUTCOME_OPEN,
	OUTCOME_WHOLE,
	OUTCOME_WRONG,	   /* not the answer that is due */
	OUTCOME_CUT,	   /* ended after some tokens */
	OUTCOME_REFUSED,   /* an error in place of an answer */
	OUTCOME_CANCELLED, /* by us, as planned */
	OUTCOME_LOST,	   /* the connection broke without an answer */
	OUTCOMES,
};

struct result {
	enum outcome outcome;
	bool over_rate; /* refused with status 429 */
	uint32_t tokens;
	uint32_t due_tokens;
	uint32_t tries;
	int64_t first_us; /* from the intended time of sending; 0: none */
	int64_t last_us;
	int64_t gap_max_us;
	int64_t late_us; /* between the intended and the real time */
};

struct quantiles {
	double p50_ms;
	double p95_ms;
	double p99_ms;
};

struct account_measure {
	uint32_t offered;
	uint32_t good; /* whole, within both targets */
	uint32_t refused;
	uint32_t refused_inside; /* over rate, though the ideal bucket admits */
	uint64_t tokens;
	uint64_t offered_tokens;
};

struct second_measure {
	uint32_t offered;
	uint32_t good;
};

struct measure {
	uint32_t offered;
	uint32_t outcome[OUTCOMES];
	uint32_t good;
	uint32_t moved; /* were sent again to another host */
	uint64_t tokens;
	struct quantiles first;
	struct quantiles gap;	  /* mean gap of a request */
	struct quantiles gap_max; /* largest gap of a request */
	double late_p99_ms;	  /* of the load tool itself */
	struct account_measure account[SCENARIO_ACCOUNTS_MAX];
	struct second_measure *second;
	uint32_t second_n;
	int64_t prefills; /* of the stand-in engines; -1: not known */
	int64_t prefills_wasted;
};

const char *outcome_name(enum outcome o);
bool result_is_good(const struct scenario *s, const struct result *r);
int measure_make(struct measure *m, const struct scenario *s,
		 const struct schedule *plan, const struct result *results);
void measure_finish(struct measure *m);
int measure_write(const struct measure *m, const struct scenario *s,
		  const char *path);
void measure_print(const struct measure *m, const struct scenario *s);
int measure_compare(const char *path_a, const char *path_b);

#endif
