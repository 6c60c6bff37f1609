#include "stream.h"

#include <string.h>

#include "jread.h"
#include "textgen.h"

#define DATA "data: "

/* Starts on an answer whose tokens follow from the hash. */
void stream_init(struct stream *s, uint64_t hash)
{
	memset(s, 0, sizeof(*s));
	s->hash = hash;
}

/* Checks the text of one chunk against the next tokens that are due. */
void stream_text(struct stream *s, const char *text)
{
	char token[TEXTGEN_TOKEN_BYTES];

	while (*text) {
		textgen_write_token(s->hash, s->position, token);
		if (strncmp(text, token, strlen(token))) {
			s->wrong = true;
			return;
		}
		text += strlen(token);
		s->position++;
	}
}

static void take_error(struct stream *s, struct jread_node *error)
{
	jread_string_or(error, "code", "unknown", s->code, sizeof(s->code));
	s->not_run = jread_bool_or(error, "not_run", false);
}

static void take_object(struct stream *s, const char *json, size_t n)
{
	struct jread_errors faults;
	struct jread_node root, choices, choice, text;

	jread_errors_init(&faults);
	if (jread_parse(json, n, "chunk", &faults, &root) == 0) {
		if (jread_member(&root, "error", &text))
			take_error(s, &text);
		else if (jread_member(&root, "choices", &choices) &&
			 jread_item(&choices, 0, &choice) &&
			 jread_member(&choice, "text", &text))
			stream_text(s, json_object_get_string(text.value));
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
}

static void take_line(struct stream *s)
{
	const char *data = s->line + strlen(DATA);

	s->line[s->line_n] = '\0';
	if (strncmp(s->line, DATA, strlen(DATA)))
		return;
	if (strcmp(data, "[DONE]") == 0)
		s->done = true;
	else
		take_object(s, data, strlen(data));
}

/* Takes bytes of a stream of server-sent events as they arrive. */
void stream_bytes(struct stream *s, const char *bytes, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (bytes[i] == '\n') {
			take_line(s);
			s->line_n = 0;
		} else if (s->line_n < sizeof(s->line) - 1) {
			s->line[s->line_n++] = bytes[i];
		}
	}
}

void stream_error(struct stream *s, const char *body, size_t n)
{
	if (n)
		take_object(s, body, n);
}
