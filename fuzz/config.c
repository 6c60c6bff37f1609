#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

/* An edit of valid text has to leave text that json-c can read. */
static void edit(const char *text)
{
	const char *path[] = {"accounts", "*", "keys", "k", NULL};
	struct json_object *o;
	char *out;

	if (config_edit(text, path, "withdrawn", "true", &out) < 0)
		return;
	o = json_tokener_parse(out);
	if (!o)
		abort();
	json_object_put(o);
	free(out);
}

/* Parses bytes as declarations, and folds them as a record of the log. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	struct jread_errors faults;
	struct config_state fold;
	struct config *c;
	char *text;

	text = strndup((const char *)data, n);
	if (!text)
		return 0;
	jread_errors_init(&faults);
	if (config_parse(text, strlen(text), "fuzz", &faults, &c) == 0) {
		edit(text);
		config_put(c);
	}
	jread_errors_free(&faults);
	config_state_init(&fold);
	config_state_apply(&fold, 1, text, strlen(text));
	config_state_finish(&fold);
	free(text);
	return 0;
}
