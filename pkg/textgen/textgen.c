#include "textgen.h"

#include <stdio.h>

#define PROMPT_TOKEN_BYTES 4

/* The finalizer of MurmurHash3. */
static uint64_t mix(uint64_t x)
{
	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	return x ^ x >> 33;
}

/* FNV-1a with a seed, and a final mix. */
uint64_t textgen_hash(const char *prompt, size_t n, uint64_t seed)
{
	uint64_t h = mix(seed + 1);
	size_t i;

	for (i = 0; i < n; i++)
		h = (h ^ (uint8_t)prompt[i]) * 1099511628211ULL;
	return mix(h);
}

uint32_t textgen_output_tokens(uint64_t hash, uint32_t max_tokens)
{
	uint32_t half = max_tokens / 2;
	uint32_t n = max_tokens - (uint32_t)(mix(hash) % (half + 1));

	return n ? n : 1;
}

void textgen_write_token(uint64_t hash, uint32_t position,
			 char out[TEXTGEN_TOKEN_BYTES])
{
	uint64_t h = mix(hash + position * 0x9e3779b97f4a7c15ULL);
	int i;

	for (i = 0; i < 6; i++) {
		out[i] = (char)('a' + h % 26);
		h /= 26;
	}
	out[6] = ' ';
	out[7] = '\0';
}

uint32_t textgen_prompt_tokens(size_t prompt_bytes)
{
	return (uint32_t)((prompt_bytes + PROMPT_TOKEN_BYTES - 1) /
			  PROMPT_TOKEN_BYTES);
}

uint32_t textgen_count_tokens(const char *text)
{
	uint32_t n = 0;

	for (; *text; text++)
		n += *text == ' ';
	return n;
}
