#ifndef FIGBEND_LOAD_H
#define FIGBEND_LOAD_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "fetch.h"

/* Streamed requests to the entry hosts, each answer checked against textgen. */

#define TARGETS_MAX 16

struct load {
	struct ev_loop *loop;
	struct fetch fetch;
	const char *target[TARGETS_MAX];
	uint32_t target_n;
	const char *key;
	const char *model;
	uint32_t requests;
	uint32_t concurrency;
	uint32_t max_tokens;
	uint32_t tries_max;
	uint32_t started;
	uint32_t open;
	uint32_t whole;
	uint32_t wrong;
	uint32_t failed;
	uint32_t tried_again;
	uint64_t tokens;
};

void caller_start_next(struct load *l);

#endif
