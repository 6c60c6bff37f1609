#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

/* Parses bytes as the settings of a host. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	struct jread_errors faults;
	struct settings s;
	char *text;

	text = strndup((const char *)data, n);
	if (!text)
		return 0;
	jread_errors_init(&faults);
	settings_parse(&s, text, strlen(text), "fuzz", &faults);
	jread_errors_free(&faults);
	free(text);
	return 0;
}
