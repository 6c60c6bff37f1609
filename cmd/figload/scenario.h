#ifndef FIGBEND_SCENARIO_H
#define FIGBEND_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "jread.h"

/* An open-loop load as a file declares it, and the requests that follow. */

#define SCENARIO_NAME_BYTES 64
#define SCENARIO_KEY_BYTES 96
#define SCENARIO_ADDR_BYTES 64
#define SCENARIO_TARGETS_MAX 64
#define SCENARIO_ACCOUNTS_MAX 64
#define SCENARIO_PHASES_MAX 8
#define SCENARIO_NO_PREFIX UINT32_MAX
#define SCENARIO_NO_CANCEL UINT32_MAX

enum lengths_kind {
	LENGTHS_FIXED,
	LENGTHS_UNIFORM,
	LENGTHS_LOGNORMAL,
};

/* How long prompts or answers are, in tokens. */
struct lengths {
	enum lengths_kind kind;
	double median;
	double sigma; /* of the logarithm */
	uint32_t min;
	uint32_t max;
};

enum arrivals {
	ARRIVALS_POISSON,
	ARRIVALS_EVEN,
};

/* A time in which an account sends a multiple of its requests. */
struct phase {
	double from_s;
	double to_s;
	double times;
};

struct scenario_account {
	char name[SCENARIO_NAME_BYTES];
	char key[SCENARIO_KEY_BYTES];
	char model[SCENARIO_NAME_BYTES];
	enum arrivals arrivals;
	double requests_s;
	struct lengths prompt;
	struct lengths output;
	double prefix_share; /* of requests that begin with a shared prefix */
	uint32_t prefixes;
	uint32_t prefix_tokens;
	double cancel_share;
	uint64_t rate_tokens_s; /* as declared; 0: unlimited */
	uint64_t burst_tokens;
	struct phase phase[SCENARIO_PHASES_MAX];
	uint32_t phase_n;
};

struct scenario {
	char name[SCENARIO_NAME_BYTES];
	uint64_t seed;
	double duration_s;
	double warmup_s; /* not counted */
	uint32_t first_token_ms;
	uint32_t token_gap_ms;
	uint32_t tries_max;
	char target[SCENARIO_TARGETS_MAX][SCENARIO_ADDR_BYTES];
	uint32_t target_n;
	char record[SCENARIO_TARGETS_MAX][SCENARIO_ADDR_BYTES];
	char prefill[SCENARIO_TARGETS_MAX][SCENARIO_ADDR_BYTES];
	uint32_t prefill_n; /* with decode: straight to engines, no host */
	char decode[SCENARIO_TARGETS_MAX][SCENARIO_ADDR_BYTES];
	uint32_t decode_n;
	uint32_t record_n; /* admin addresses of stand-in engines */
	struct scenario_account account[SCENARIO_ACCOUNTS_MAX];
	uint32_t account_n;
};

/* One request to come. */
struct planned {
	int64_t at_us; /* since the start */
	uint32_t number;
	uint32_t account;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint32_t prefix;
	uint32_t cancel_after_tokens;
};

struct schedule {
	struct planned *planned;
	uint32_t n;
	uint32_t capacity;
};

int scenario_parse(struct scenario *s, const char *text, size_t n,
		   const char *name, struct jread_errors *faults);
int schedule_make(struct schedule *out, const struct scenario *s);
void schedule_finish(struct schedule *s);
/* Writes the prompt of a request: four bytes a token, and a zero byte. */
void schedule_prompt(const struct scenario *s, const struct planned *p,
		     char *out);

#endif
