#include "namehash.h"

uint64_t namehash(const char *name)
{
	uint64_t h = 14695981039346656037ULL;

	for (; *name; name++)
		h = (h ^ (uint8_t)*name) * 1099511628211ULL;
	return h;
}

uint32_t namehash32(const char *name)
{
	uint64_t h = namehash(name);

	return (uint32_t)(h ^ h >> 32);
}
