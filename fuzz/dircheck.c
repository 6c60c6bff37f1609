#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "dircheck.h"
#include "jread.h"

#define FINDINGS_MAX 64

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n);

static struct directory *load(const char *text, size_t n)
{
	struct jread_errors errors;
	struct directory *d;

	jread_errors_init(&errors);
	d = adapter_read_directory_all(text, n, &errors);
	if (!d == !errors.n)
		abort();
	jread_errors_free(&errors);
	return d;
}

/* Two configurations, separated by a zero byte; the second may be missing. */
int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	static struct dircheck_finding findings[FINDINGS_MAX];
	struct dircheck_list list = {findings, FINDINGS_MAX, 0, 0};
	const uint8_t *zero = n ? memchr(p, 0, n) : NULL;
	size_t first = zero ? (size_t)(zero - p) : n;
	struct directory *a = load((const char *)p, first), *b = NULL;

	if (zero)
		b = load((const char *)zero + 1, n - first - 1);
	if (a) {
		dircheck_check(a, &list);
		list.n = list.dropped = 0;
		dircheck_compare(a, a, &list);
		if (list.n && !list.dropped && a->n_routes <= 1 &&
		    a->n_services <= 1 && a->n_accounts <= 1)
			abort();
	}
	if (a && b)
		dircheck_compare(a, b, &list);
	directory_unref(a);
	directory_unref(b);
	return 0;
}
