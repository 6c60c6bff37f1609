#include <stdint.h>
#include <stdlib.h>

#include "adapter.h"

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n);

static void take(void *ctx, const char *key, const char *value, size_t n,
		 uint64_t offset)
{
	char why[ADAPTER_REASON_BYTES];
	struct fleet_entry entry;

	if (value)
		adapter_read_endpoint(key, value, n, &entry, why);
}

static void read_head(const char *p, size_t n)
{
	size_t head = h1_head_end(p, n);
	struct call_head call;
	struct call_response answer;
	const char *why;
	struct h1_head h;

	if (!head || h1_parse_request(&h, p, head) < 0)
		return;
	adapter_read_call(&h, &call, &why);
	h.status = 503;
	adapter_read_response(&h, &answer);
	h1_head_finish(&h);
}

/* The first byte says what the rest is read as. */
int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	char why[ADAPTER_REASON_BYTES], last[RECORD_KEY_BYTES] = "";
	char handle[ADAPTER_HANDLE_BYTES];
	const char *text = (const char *)p + 1;
	uint64_t next, end;
	bool more;

	if (!n)
		return 0;
	switch (p[0] % 5) {
	case 0:
		directory_unref(adapter_read_directory(text, n - 1, why));
		break;
	case 1:
		adapter_read_records(text, n - 1, take, NULL, 0, &next, &end);
		break;
	case 2:
		adapter_read_snapshot(text, n - 1, take, NULL, &more, last,
				      sizeof(last), &next);
		break;
	case 3:
		read_head(text, n - 1);
		break;
	case 4:
		if (adapter_read_reservation(text, n - 1, handle) < 0 &&
		    *handle)
			abort();
		if (adapter_read_prefill(text, n - 1, handle) < 0 && *handle)
			abort();
		break;
	}
	return 0;
}
