#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "ctl.h"

#define APPEND_TIMEOUT_MS 5000
#define URL_BYTES 512
#define TRIES 20
#define TRY_AGAIN_MS 500
#define ID_BYTES 8

/* Returns 0, -EAGAIN if the log surely did not take it, or -EIO. */
static int append_record(const struct ctl_args *a, const char *record)
{
	struct ctl_answer answer;
	char url[URL_BYTES];
	int r = 0;

	snprintf(url, sizeof(url), "%s/log/config", a->platform_url);
	ctl_fetch("POST", url, record, strlen(record), APPEND_TIMEOUT_MS,
		  &answer);
	if (answer.error == -ECONNREFUSED || answer.status == 429)
		r = -EAGAIN;
	else if (answer.error || answer.status != 200)
		r = -EIO;
	free(answer.body);
	return r;
}

static uint64_t version_of(const struct config_state *f)
{
	return f->current ? f->current->version : 0;
}

static int stale(uint64_t version)
{
	fprintf(stderr, "figbendctl: stale: version %llu is in force\n",
		(unsigned long long)version);
	return CTL_STALE;
}

/* Says what became of a record that was found in the log. */
static int say(const struct ctl_found *found, uint64_t in_force)
{
	switch (found->outcome) {
	case CONFIG_ACCEPTED:
		printf("accepted: version %llu\n",
		       (unsigned long long)found->offset);
		if (in_force != found->offset)
			printf("version %llu came after it\n",
			       (unsigned long long)in_force);
		return CTL_OK;
	case CONFIG_STALE:
		return stale(in_force);
	case CONFIG_INVALID:
	case CONFIG_UNCHANGED:
	case CONFIG_UNDECIDED:
		break;
	}
	fprintf(stderr, "figbendctl: the change was not accepted\n");
	return CTL_FAILED;
}

/*
 * Appends a record until it is seen in the log, and says what became of it. A
 * second copy is stale to every host, so that a lost answer does no harm.
 */
static int append_until_seen(const struct ctl_args *a, const char *record,
			     struct ctl_found *found)
{
	struct config_state fold;
	bool in_doubt = false;
	int i, r, code;

	for (i = 0; i < TRIES; i++) {
		r = append_record(a, record);
		in_doubt = in_doubt || r != -EAGAIN;
		code = ctl_fold(a->platform_url, &fold, found);
		if (code == 0 && found->found)
			code = say(found, version_of(&fold));
		else
			code = -1;
		config_state_finish(&fold);
		if (code >= 0)
			return code;
		ctl_sleep_ms(TRY_AGAIN_MS);
	}
	if (in_doubt) {
		fprintf(stderr, "figbendctl: in doubt: the log gave no answer; "
				"run show to see\n");
		return CTL_IN_DOUBT;
	}
	fprintf(stderr, "figbendctl: the log takes no change now\n");
	return CTL_FAILED;
}

/* Appends what hosts that lost every version begin with. */
static int begin_anew(const struct ctl_args *a, const struct config_state *fold,
		      const char *text)
{
	struct config_state after;
	char *record;
	int r;

	record = config_record_checkpoint(fold->next_offset - 1,
					  fold->next_offset, a->by, text);
	r = append_record(a, record);
	free(record);
	if (r == -EAGAIN)
		return CTL_FAILED;
	r = CTL_IN_DOUBT;
	if (ctl_fold(a->platform_url, &after, NULL) == 0 && after.current &&
	    strcmp(after.current->text, text) == 0) {
		printf("accepted: version %llu\n",
		       (unsigned long long)version_of(&after));
		r = CTL_OK;
	}
	config_state_finish(&after);
	return r;
}

static int publish(const struct ctl_args *a, const struct config_state *fold,
		   uint64_t against, const char *text, struct ctl_found *found)
{
	uint8_t bytes[ID_BYTES];
	char id[2 * ID_BYTES + 1];
	char *record;
	int r;

	randombytes_buf(bytes, sizeof(bytes));
	config_key_hex(bytes, sizeof(bytes), id);
	record = config_record_change(against, a->by, id, text);
	if (!record)
		return CTL_FAILED;
	found->id = id;
	r = append_until_seen(a, record, found);
	free(record);
	found->id = NULL;
	return r;
}

/* Writes a file anew, whole or not at all. */
static int write_file(const char *path, const char *head, const char *text)
{
	char temporary[URL_BYTES];
	FILE *f;
	int r = 0;

	snprintf(temporary, sizeof(temporary), "%s.new", path);
	f = fopen(temporary, "w");
	if (!f)
		return -errno;
	if (fputs(head, f) < 0 || fputs(text, f) < 0)
		r = -EIO;
	if (fclose(f) || r < 0 || rename(temporary, path) < 0)
		r = -EIO;
	return r;
}

/* Notes the accepted version in the operators' file. */
static void update_file(const char *path, const char *text, uint64_t version,
			bool edited)
{
	char head[64] = "";

	if (ctl_version_line(text) >= 0)
		snprintf(head, sizeof(head), "// version %llu\n",
			 (unsigned long long)version);
	else if (!edited)
		return;
	if (write_file(path, head, ctl_body(text)) < 0)
		fprintf(stderr, "figbendctl: %s: cannot write\n", path);
}

/* Returns the account for which a key is valid, or NULL. */
static const struct config_account *valid_for(const struct config *c,
					      const char *id)
{
	const struct config_account *account;
	uint32_t i, j;

	for (i = 0; i < c->account_n; i++) {
		account = &c->account[i];
		for (j = 0; j < account->key_n; j++)
			if (!account->key[j].withdrawn &&
			    strcmp(account->key[j].id, id) == 0)
				return account;
	}
	return NULL;
}

static int check_keys(const struct config_account *old,
		      const struct config *new)
{
	const struct config_account *account;
	int r = CTL_OK;
	uint32_t i;

	for (i = 0; i < old->key_n; i++) {
		if (!old->key[i].withdrawn)
			continue;
		account = valid_for(new, old->key[i].id);
		if (!account)
			continue;
		fprintf(stderr,
			"figbendctl: accounts/%s/keys/%s: found a valid key, "
			"expected it withdrawn as in force; see --again\n",
			account->name, old->key[i].id);
		r = CTL_FAILED;
	}
	return r;
}

/* A key that was withdrawn comes back only if that is asked for. */
static int check_withdrawn(const struct ctl_args *a, const struct config *old,
			   const struct config *new)
{
	int r = CTL_OK;
	uint32_t i;

	for (i = 0; !a->again && old && i < old->account_n; i++)
		if (check_keys(&old->account[i], new) != CTL_OK)
			r = CTL_FAILED;
	return r;
}

/*
 * Checks a text, shows what it changes, and unless this is a trial publishes it
 * and says that it is accepted once the fold of the log has accepted it. path is
 * the operators' file that holds the text, or NULL; its version line is brought
 * up to date, and all of it where the text was edited. Returns the command's exit code.
 */
int ctl_publish(const struct ctl_args *a, const struct config_state *fold,
		const char *path, const char *text, bool edited)
{
	uint64_t against = version_of(fold);
	struct ctl_found found = {0};
	struct config *c;
	int r;

	if (ctl_parse(text, path ? path : "declarations", &c) < 0)
		return CTL_USAGE;
	if (a->against >= 0)
		against = (uint64_t)a->against;
	else if (ctl_version_line(text) >= 0 && !a->anew)
		against = (uint64_t)ctl_version_line(text);
	r = check_withdrawn(a, fold->current, c);
	config_put(c);
	if (r != CTL_OK)
		return r;
	if (against != version_of(fold))
		return stale(version_of(fold));
	ctl_print_diff(fold->current ? fold->current->text : "{}", text);
	if (a->dry_run)
		return CTL_OK;
	if (a->anew && fold->has_gap)
		return begin_anew(a, fold, text);
	r = publish(a, fold, against, text, &found);
	if (r == CTL_OK && path)
		update_file(path, text, found.offset, edited);
	return r;
}

/*
 * apply FILE: publishes a file made against the version that its first line or
 * --against names, or else against the one in force.
 */
int ctl_apply(const struct ctl_args *a)
{
	struct config_state fold;
	struct config *c;
	char *text;
	int r;

	if (a->word_n != 1 || ctl_load(a->word[0], &text, &c) < 0)
		return CTL_USAGE;
	config_put(c);
	r = ctl_in_force(a, &fold);
	if (r == CTL_OK)
		r = ctl_publish(a, &fold, a->word[0], text, false);
	config_state_finish(&fold);
	free(text);
	return r;
}
