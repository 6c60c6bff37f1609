#include "h1.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* A Content-Length of this many digits cannot overflow 64 bits. */
#define LENGTH_DIGITS_MAX 15

size_t h1_head_end(const char *p, size_t n)
{
	const char *end = memmem(p, n, "\r\n\r\n", 4);

	return end ? (size_t)(end - p) + 4 : 0;
}

/* Returns true for a character of a token (RFC 9110, section 5.6.2). */
static bool is_tchar(char c)
{
	return isalnum((unsigned char)c) ||
	       (c && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Methods and field names are tokens. */
static bool valid_token(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++)
		if (!is_tchar(*s))
			return false;
	return true;
}

/*
 * Rejects a bare CR or LF, which recipients read differently, and other control
 * characters except tab. Returns 0 or -EBADMSG.
 */
static int check_bytes(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (p[i] == '\r') {
			if (i + 1 >= n || p[i + 1] != '\n')
				return -EBADMSG;
			i++;
		} else if (((unsigned char)p[i] < ' ' && p[i] != '\t') ||
			   p[i] == 0x7f) {
			return -EBADMSG;
		}
	}
	return 0;
}

/*
 * Returns the line at *at without its CRLF and moves *at to the next one. The
 * text must contain another CRLF; a head ends with an empty line.
 */
static char *next_line(char **at)
{
	char *line = *at;
	char *end = strstr(line, "\r\n");

	*end = '\0';
	*at = end + 2;
	return line;
}

static char *trim(char *s)
{
	size_t n;

	while (*s == ' ' || *s == '\t')
		s++;
	n = strlen(s);
	while (n && (s[n - 1] == ' ' || s[n - 1] == '\t'))
		s[--n] = '\0';
	return s;
}

/* Parses the field lines and the empty line. Returns 0, -EBADMSG or -E2BIG. */
static int parse_field_lines(struct h1_head *h, char *at)
{
	char *line, *colon;

	for (line = next_line(&at); *line; line = next_line(&at)) {
		colon = strchr(line, ':');
		if (!colon)
			return -EBADMSG;
		if (h->n_fields == H1_FIELDS_MAX)
			return -E2BIG;
		*colon = '\0';
		if (!valid_token(line))
			return -EBADMSG;
		h->field[h->n_fields].name = line;
		h->field[h->n_fields++].value = trim(colon + 1);
	}
	return 0;
}

const char *h1_get_field(const struct h1_head *h, const char *name)
{
	uint32_t i;

	for (i = 0; i < h->n_fields; i++)
		if (strcasecmp(h->field[i].name, name) == 0)
			return h->field[i].value;
	return NULL;
}

static uint32_t count_fields(const struct h1_head *h, const char *name)
{
	uint32_t i, n = 0;

	for (i = 0; i < h->n_fields; i++)
		n += strcasecmp(h->field[i].name, name) == 0;
	return n;
}

/*
 * Returns true if a comma-separated list has the word as an element, in any
 * case. Parameters after a semicolon are ignored.
 */
static bool list_contains(const char *list, const char *word)
{
	size_t n = strlen(word);
	const char *p = list;

	while (p && *p) {
		while (*p == ' ' || *p == '\t' || *p == ',')
			p++;
		if (strncasecmp(p, word, n) == 0 &&
		    (!p[n] || strchr(" \t,;", p[n])))
			return true;
		p = strchr(p, ',');
	}
	return false;
}

static bool has_connection_option(const struct h1_head *h, const char *word)
{
	uint32_t i;

	for (i = 0; i < h->n_fields; i++)
		if (strcasecmp(h->field[i].name, "Connection") == 0 &&
		    list_contains(h->field[i].value, word))
			return true;
	return false;
}

/* Parses a length of decimal digits only. Returns 0 or -EBADMSG. */
static int parse_length(const char *s, uint64_t *out)
{
	size_t n = strspn(s, "0123456789");

	if (!n || s[n] || n > LENGTH_DIGITS_MAX)
		return -EBADMSG;
	*out = strtoull(s, NULL, 10);
	return 0;
}

/*
 * Sets the framing from Content-Length or Transfer-Encoding, or to the fallback
 * without them. Both together, or more than one of either, are rejected, since
 * recipients could disagree on where the body ends (request smuggling). Returns
 * 0, -EBADMSG, or -ENOTSUP for a coding other than chunked.
 */
static int set_framing(struct h1_head *h, enum h1_framing fallback)
{
	uint32_t lengths = count_fields(h, "Content-Length");
	uint32_t codings = count_fields(h, "Transfer-Encoding");

	h->framing = fallback;
	if (lengths + codings > 1)
		return -EBADMSG;
	if (codings) {
		if (h->minor_version == 0)
			return -EBADMSG;
		if (strcasecmp(h1_get_field(h, "Transfer-Encoding"), "chunked"))
			return -ENOTSUP;
		h->framing = H1_CHUNKED;
	} else if (lengths) {
		h->framing = H1_CONTENT_LENGTH;
		return parse_length(h1_get_field(h, "Content-Length"),
				    &h->length_bytes);
	}
	return 0;
}

/* Sets close and keep_alive_s (RFC 9112, section 9.3). */
static void set_persistence(struct h1_head *h)
{
	const char *keep = h1_get_field(h, "Keep-Alive");
	const char *timeout = keep ? strcasestr(keep, "timeout=") : NULL;

	h->close = has_connection_option(h, "close") ||
		   (h->minor_version == 0 &&
		    !has_connection_option(h, "keep-alive"));
	if (timeout)
		h->keep_alive_s = (uint32_t)strtoul(
			timeout + strlen("timeout="), NULL, 10);
}

/* Parses HTTP/1.0 or HTTP/1.1 at the start of s. Returns 0 or -EBADMSG. */
static int parse_version(struct h1_head *h, const char *s)
{
	if (strncmp(s, "HTTP/1.0", 8) == 0)
		h->minor_version = 0;
	else if (strncmp(s, "HTTP/1.1", 8) == 0)
		h->minor_version = 1;
	else
		return -EBADMSG;
	return 0;
}

/* Returns the length of the scheme of a target in absolute form, or 0. */
static size_t scheme_length(const char *target)
{
	if (strncasecmp(target, "http://", 7) == 0)
		return 7;
	return strncasecmp(target, "https://", 8) == 0 ? 8 : 0;
}

/*
 * Splits a target in absolute form into h->target, in origin form, and the
 * authority, without user information. Returns 0 or -EBADMSG.
 */
static int split_target(struct h1_head *h, char *target, const char **authority)
{
	static const char extra[] = "-._~%!$&'()*+,;=:[]";
	size_t scheme = scheme_length(target), n = 0;
	char *from = target + scheme;

	while (isalnum((unsigned char)from[n]) ||
	       (from[n] && strchr(extra, from[n])))
		n++;
	if (!scheme || !n || (from[n] && from[n] != '/' && from[n] != '?'))
		return -EBADMSG;
	h->target = from + n;
	/* Moving the authority to the front makes room for "/" and its end. */
	memmove(target, from, n);
	target[n] = '\0';
	*authority = target;
	if (from[n] != '/') {
		from[n - 1] = '/';
		h->target = from + n - 1;
	}
	return 0;
}

/*
 * Accepts a target in origin form, or in absolute form; then sets *authority.
 * Returns 0 or -EBADMSG.
 */
static int parse_request_line(struct h1_head *h, char *line,
			      const char **authority)
{
	char *target = strchr(line, ' ');
	char *version = target ? strchr(target + 1, ' ') : NULL;
	const char *p;

	if (!version)
		return -EBADMSG;
	*target++ = '\0';
	*version++ = '\0';
	for (p = target; *p; p++)
		if ((unsigned char)*p <= ' ' || (unsigned char)*p >= 0x7f)
			return -EBADMSG;
	if (!valid_token(line) || strlen(version) != 8)
		return -EBADMSG;
	h->method = line;
	h->target = target;
	if (*target != '/' && split_target(h, target, authority) < 0)
		return -EBADMSG;
	return parse_version(h, version);
}

/* Host is ignored beside a target in absolute form (RFC 9112, 3.2.2). */
static int set_host(struct h1_head *h, const char *authority)
{
	uint32_t i;

	for (i = 0; i < h->n_fields; i++)
		if (strcasecmp(h->field[i].name, "Host") == 0)
			break;
	if (i == H1_FIELDS_MAX)
		return -E2BIG;
	if (i == h->n_fields)
		h->field[h->n_fields++].name = "Host";
	h->field[i].value = authority;
	return 0;
}

/*
 * Clears h and sets its text to a checked copy of the head, which the parser
 * then splits into strings. Returns 0, -EBADMSG or -ENOMEM.
 */
static int copy_text(struct h1_head *h, const char *p, size_t n)
{
	memset(h, 0, sizeof(*h));
	if (check_bytes(p, n) < 0)
		return -EBADMSG;
	h->text = malloc(n + 1);
	if (!h->text)
		return -ENOMEM;
	memcpy(h->text, p, n);
	h->text[n] = '\0';
	return 0;
}

int h1_parse_request(struct h1_head *h, const char *p, size_t n)
{
	const char *authority = NULL;
	char *at;
	int r = copy_text(h, p, n);

	if (r < 0)
		return r;
	at = h->text;
	r = parse_request_line(h, next_line(&at), &authority);
	if (r == 0)
		r = parse_field_lines(h, at);
	if (r == 0 && (count_fields(h, "Host") > 1 ||
		       (h->minor_version == 1 && !h1_get_field(h, "Host"))))
		r = -EBADMSG;
	if (r == 0 && authority)
		r = set_host(h, authority);
	if (r == 0)
		r = set_framing(h, H1_NO_BODY);
	if (r < 0) {
		h1_head_finish(h);
		return r;
	}
	set_persistence(h);
	return 0;
}

static int parse_status_line(struct h1_head *h, const char *line)
{
	const char *text = line + strlen("HTTP/1.1 ");
	unsigned long status;
	char *end;

	if (parse_version(h, line) < 0 ||
	    strlen(line) < strlen("HTTP/1.1 200") ||
	    strcspn(line, " ") != strlen("HTTP/1.1"))
		return -EBADMSG;
	status = strtoul(text, &end, 10);
	if (end != text + 3 || (*end && *end != ' ') || status < 100 ||
	    status > 599)
		return -EBADMSG;
	h->status = (uint16_t)status;
	return 0;
}

int h1_parse_response(struct h1_head *h, const char *p, size_t n)
{
	char *at;
	int r = copy_text(h, p, n);

	if (r < 0)
		return r;
	at = h->text;
	r = parse_status_line(h, next_line(&at));
	if (r == 0)
		r = parse_field_lines(h, at);
	if (r == 0)
		r = set_framing(h, H1_UNTIL_CLOSE);
	if (r < 0) {
		h1_head_finish(h);
		return r;
	}
	if (h->status < 200 || h->status == 204 || h->status == 304)
		h->framing = H1_NO_BODY;
	set_persistence(h);
	return 0;
}

void h1_head_finish(struct h1_head *h)
{
	free(h->text);
	memset(h, 0, sizeof(*h));
}

bool h1_is_hop_by_hop(const struct h1_head *h, const char *name)
{
	static const char *const names[] = {
		"Connection",	     "Keep-Alive", "Proxy-Connection",
		"Transfer-Encoding", "TE",	   "Trailer",
		"Upgrade",	     "Expect",	   "Content-Length",
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcasecmp(name, names[i]) == 0)
			return true;
	return has_connection_option(h, name);
}

bool h1_is_head_request(const struct h1_head *h)
{
	return h->method && strcmp(h->method, "HEAD") == 0;
}
