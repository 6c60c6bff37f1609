#ifndef FIGBEND_NAMEHASH_H
#define FIGBEND_NAMEHASH_H

#include <stdint.h>

/*
 * Hashes that stand for names in messages between hosts: 64-bit FNV-1a. At 64
 * bits a collision of two accounts or hosts is not to be expected; at 32 bits,
 * one of 1,000 endpoints has the odds of 1 in 8,600 and mixes two loads.
 */
uint64_t namehash(const char *name);
uint32_t namehash32(const char *name);

#endif
