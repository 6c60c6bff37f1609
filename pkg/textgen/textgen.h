#ifndef FIGBEND_TEXTGEN_H
#define FIGBEND_TEXTGEN_H

#include <stddef.h>
#include <stdint.h>

/*
 * The stand-in engine's output as a function of prompt and seed, so that
 * whoever knows these can check that an answer is whole and its own. A token is
 * one word with the space behind it.
 */

#define TEXTGEN_TOKEN_BYTES 8

uint64_t textgen_hash(const char *prompt, size_t n, uint64_t seed);
uint32_t textgen_output_tokens(uint64_t hash, uint32_t max_tokens);
void textgen_write_token(uint64_t hash, uint32_t position,
			 char out[TEXTGEN_TOKEN_BYTES]);
uint32_t textgen_prompt_tokens(size_t prompt_bytes);
uint32_t textgen_count_tokens(const char *text);

#endif
