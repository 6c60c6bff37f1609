#include <stdint.h>
#include <stdlib.h>

#include "member.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

/* Folds lines as records of the member stream, and takes them from a peer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	static struct member_epoch epoch;
	struct member_state state;
	uint64_t offset = 1;
	uint64_t number;
	size_t from, i;

	member_state_init(&state, &epoch);
	for (from = 0, i = 0; i <= n; i++) {
		if (i < n && data[i] != '\n')
			continue;
		number = epoch.number;
		member_state_apply(&state, offset++, (const char *)data + from,
				   i - from);
		member_state_install(&state, (const char *)data + from,
				     i - from);
		if (epoch.number < number || epoch.n > MEMBER_HOSTS_MAX)
			abort();
		from = i + 1;
	}
	return 0;
}
