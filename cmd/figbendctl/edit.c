#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* One value to set in the declarations. */
struct change {
	const char *path[5];
	const char *key;
	const char *value;
};

/*
 * Takes the text from the operators' file, where one is named, or else from what
 * is in force. The caller frees it. Returns an exit code.
 */
static int source(const char *path, const struct config_state *fold,
		  char **text)
{
	struct config *c;

	if (path) {
		if (ctl_load(path, text, &c) < 0)
			return CTL_USAGE;
		config_put(c);
		return CTL_OK;
	}
	if (!fold->current) {
		fprintf(stderr, "figbendctl: nothing is in force yet\n");
		return CTL_FAILED;
	}
	*text = strdup(ctl_body(fold->current->text));
	return *text ? CTL_OK : CTL_FAILED;
}

/* Makes the first change whose object is there, and publishes the text. */
static int change(const struct ctl_args *a, const char *path,
		  const struct change *c, size_t n, const char *name)
{
	struct config_state fold;
	char *edited = NULL;
	char *text = NULL;
	size_t i;
	int r;

	r = ctl_in_force(a, &fold);
	if (r == CTL_OK)
		r = source(path, &fold, &text);
	if (r != CTL_OK)
		goto out;
	for (i = 0; i < n && !edited; i++)
		if (config_edit(text, c[i].path, c[i].key, c[i].value,
				&edited) < 0)
			edited = NULL;
	if (edited) {
		r = ctl_publish(a, &fold, path, edited, true);
	} else {
		fprintf(stderr, "figbendctl: found no \"%s\"\n", name);
		r = CTL_USAGE;
	}
out:
	free(edited);
	free(text);
	config_state_finish(&fold);
	return r;
}

/* withdraw-key ID [FILE]: the key stops working on every host. */
int ctl_withdraw_key(const struct ctl_args *a)
{
	struct change c = {.key = "withdrawn", .value = "true"};

	if (a->word_n < 1 || a->word_n > 2)
		return CTL_USAGE;
	c.path[0] = "accounts";
	c.path[1] = "*";
	c.path[2] = "keys";
	c.path[3] = a->word[0];
	return change(a, a->word_n > 1 ? a->word[1] : NULL, &c, 1, a->word[0]);
}

static int set_service(const struct ctl_args *a, const char *state,
		       const char *leaving)
{
	struct change c[2] = {
		{.path = {"domains"}, .key = "state", .value = state},
		{.path = {"endpoints"}, .key = "leaving", .value = leaving},
	};

	if (a->word_n < 1 || a->word_n > 2)
		return CTL_USAGE;
	c[0].path[1] = a->word[0];
	c[1].path[1] = a->word[0];
	return change(a, a->word_n > 1 ? a->word[1] : NULL, c, 2, a->word[0]);
}

/* drain NAME [FILE]: a domain or an endpoint gets no new work. */
int ctl_drain(const struct ctl_args *a)
{
	return set_service(a, "\"withdrawn\"", "true");
}

/* return NAME [FILE]: a domain or an endpoint is in service again. */
int ctl_return(const struct ctl_args *a)
{
	return set_service(a, "\"in-service\"", "false");
}
