#ifndef FIGBEND_TEXTGEN_H
#define FIGBEND_TEXTGEN_H

#include <stddef.h>
#include <stdint.h>

/*
 * Deterministic output of the stand-in engine. The tokens are a function of
 * prompt and seed, their number also of max_tokens, so that a client can check
 * that a response is complete and belongs to its request. An output token is a
 * word of six letters and the space after it.
 */

#define TEXTGEN_TOKEN_BYTES 8 /* with the null byte */

/* Returns the hash of a prompt of n bytes that all output depends on. */
uint64_t textgen_hash(const char *prompt, size_t n, uint64_t seed);
/*
 * Returns the length of the output in tokens: from half of max_tokens to
 * max_tokens, and at least 1.
 */
uint32_t textgen_output_tokens(uint64_t hash, uint32_t max_tokens);
/* Writes the output token at a position, counted from 0, as a string. */
void textgen_write_token(uint64_t hash, uint32_t position,
			 char out[TEXTGEN_TOKEN_BYTES]);
/* Returns the length of a prompt in tokens, for 4 bytes a token. */
uint32_t textgen_prompt_tokens(size_t prompt_bytes);
/* Returns the number of tokens in output text. */
uint32_t textgen_count_tokens(const char *text);

#endif
