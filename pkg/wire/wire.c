#include "wire.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define WINDOW_COUNTERS 1024
#define HEADER_MAX_BYTES 128
#define NEWER_FIELDS_MAX_BYTES 1024

/* The MAC covers every byte before it; it stands at the end of a message. */
static void compute_mac(const uint8_t secret[WIRE_SECRET_BYTES],
			const uint8_t *bytes, size_t n,
			uint8_t mac[FIG_MAC_BYTES])
{
	crypto_auth_hmacsha256_state st;

	crypto_auth_hmacsha256_init(&st, secret, WIRE_SECRET_BYTES);
	crypto_auth_hmacsha256_update(&st, bytes, n);
	crypto_auth_hmacsha256_final(&st, mac);
}

/* Encodes a value into memory that the caller frees. */
static int encode_body(xdrproc_t proc, void *value, char **body, u_int *n)
{
	u_int size = (u_int)xdr_sizeof(proc, value);
	XDR x;

	*body = malloc(size ? size : 1);
	if (!*body)
		return -ENOMEM;
	xdrmem_create(&x, *body, size, XDR_ENCODE);
	if (size == 0 || !proc(&x, value)) {
		free(*body);
		return -EMSGSIZE;
	}
	*n = xdr_getpos(&x);
	return 0;
}

static void fill_header(struct rpc_msg *m, enum wire_direction direction,
			uint32_t xid, u_int proc)
{
	memset(m, 0, sizeof(*m));
	m->rm_xid = xid;
	if (direction == WIRE_CALL) {
		m->rm_direction = CALL;
		m->rm_call.cb_rpcvers = RPC_MSG_VERSION;
		m->rm_call.cb_prog = FIGBEND_PROG;
		m->rm_call.cb_vers = FIGBEND_VERS;
		m->rm_call.cb_proc = proc;
		return;
	}
	m->rm_direction = REPLY;
	m->rm_reply.rp_stat = MSG_ACCEPTED;
	m->acpted_rply.ar_stat = SUCCESS;
	m->acpted_rply.ar_results.proc = (xdrproc_t)xdr_void;
}

static bool put_header(XDR *x, struct rpc_msg *m)
{
	if (m->rm_direction == CALL)
		return xdr_callmsg(x, m);
	return xdr_replymsg(x, m);
}

static int seal(struct wire_sealer *s, enum wire_direction direction,
		uint32_t xid, u_int proc, xdrproc_t body_proc, void *value,
		uint8_t **bytes, size_t *n)
{
	struct fig_sealed sealed = {.minor = WIRE_MINOR,
				    .sender = s->sender,
				    .boot = s->boot,
				    .counter = ++s->counter,
				    .sent_ms = s->sent_ms};
	struct rpc_msg header;
	u_int size;
	XDR x;
	int r;

	r = encode_body(body_proc, value, &sealed.body.body_val,
			&sealed.body.body_len);
	if (r < 0)
		return r;
	size = HEADER_MAX_BYTES +
	       (u_int)xdr_sizeof((xdrproc_t)xdr_fig_sealed, &sealed);
	*bytes = malloc(size);
	if (!*bytes) {
		r = -ENOMEM;
		goto out_body;
	}
	fill_header(&header, direction, xid, proc);
	xdrmem_create(&x, (char *)*bytes, size, XDR_ENCODE);
	if (!put_header(&x, &header) || !xdr_fig_sealed(&x, &sealed)) {
		free(*bytes);
		r = -EMSGSIZE;
		goto out_body;
	}
	*n = xdr_getpos(&x);
	compute_mac(s->secret, *bytes, *n - FIG_MAC_BYTES,
		    *bytes + *n - FIG_MAC_BYTES);
out_body:
	free(sealed.body.body_val);
	return r;
}

/*
 * Encodes and seals a call into memory that the caller frees. Returns 0,
 * -EMSGSIZE if a field is too long, or -ENOMEM.
 */
int wire_seal_call(struct wire_sealer *s, uint32_t xid,
		   const struct fig_call *call, uint8_t **bytes, size_t *n)
{
	return seal(s, WIRE_CALL, xid, (u_int)call->kind,
		    (xdrproc_t)xdr_fig_call, (void *)call, bytes, n);
}

/* Encodes and seals a reply, as wire_seal_call() does a call. */
int wire_seal_reply(struct wire_sealer *s, uint32_t xid,
		    const struct fig_reply *reply, uint8_t **bytes, size_t *n)
{
	return seal(s, WIRE_REPLY, xid, 0, (xdrproc_t)xdr_fig_reply,
		    (void *)reply, bytes, n);
}

/* Reads the RPC header. Returns 0, -EBADMSG, or -EPROTONOSUPPORT. */
static int open_header(XDR *x, struct wire_opened *out)
{
	char auth[2][MAX_AUTH_BYTES];
	struct rpc_msg m;
	int32_t *peek;
	uint32_t direction;

	memset(&m, 0, sizeof(m));
	peek = xdr_inline(x, 2 * BYTES_PER_XDR_UNIT);
	if (!peek)
		return -EBADMSG;
	direction = ntohl((uint32_t)peek[1]);
	xdr_setpos(x, 0);
	out->direction = direction == CALL ? WIRE_CALL : WIRE_REPLY;
	if (direction == CALL) {
		m.rm_call.cb_cred.oa_base = auth[0];
		m.rm_call.cb_verf.oa_base = auth[1];
	} else {
		m.acpted_rply.ar_verf.oa_base = auth[0];
		m.acpted_rply.ar_results.proc = (xdrproc_t)xdr_void;
	}
	if (direction == CALL ? !xdr_callmsg(x, &m) : !xdr_replymsg(x, &m))
		return -EBADMSG;
	out->xid = m.rm_xid;
	if (direction == CALL)
		return m.rm_call.cb_prog == FIGBEND_PROG &&
				       m.rm_call.cb_vers == FIGBEND_VERS
			       ? 0
			       : -EPROTONOSUPPORT;
	return m.rm_reply.rp_stat == MSG_ACCEPTED &&
			       m.acpted_rply.ar_stat == SUCCESS
		       ? 0
		       : -EPROTONOSUPPORT;
}

/* Decodes a body; of one by this version, every byte has to be used. */
static int decode_body(const struct fig_sealed *s, char *body, u_int n,
		       struct wire_opened *out)
{
	bool ok;
	XDR x;

	xdrmem_create(&x, body, n, XDR_DECODE);
	if (out->direction == WIRE_CALL)
		ok = xdr_fig_call(&x, &out->call);
	else
		ok = xdr_fig_reply(&x, &out->reply);
	if (ok && s->minor == WIRE_MINOR && xdr_getpos(&x) != n)
		ok = false;
	return ok ? 0 : -EBADMSG;
}

/*
 * Decodes the body. Bytes behind what is known are fields of a newer minor
 * version; fields that an older one did not have read as zero.
 */
static int open_body(const struct fig_sealed *s, struct wire_opened *out)
{
	u_int n = s->body.body_len;
	char *padded;
	int r;

	if (s->minor >= WIRE_MINOR)
		return decode_body(s, s->body.body_val, n, out);
	if (n < BYTES_PER_XDR_UNIT)
		return -EBADMSG;
	padded = calloc(1, n + NEWER_FIELDS_MAX_BYTES);
	if (!padded)
		return -ENOMEM;
	memcpy(padded, s->body.body_val, n);
	r = decode_body(s, padded, n + NEWER_FIELDS_MAX_BYTES, out);
	free(padded);
	return r;
}

static void copy_sender(const struct fig_sealed *s, struct wire_opened *out)
{
	snprintf(out->sender, sizeof(out->sender), "%s", s->sender);
	out->boot = s->boot;
	out->counter = s->counter;
	out->sent_ms = s->sent_ms;
}

static bool is_authentic(const uint8_t secret[WIRE_SECRET_BYTES],
			 const uint8_t *bytes, size_t n)
{
	uint8_t mac[FIG_MAC_BYTES];

	if (n < FIG_MAC_BYTES)
		return false;
	compute_mac(secret, bytes, n - FIG_MAC_BYTES, mac);
	return sodium_memcmp(mac, bytes + n - FIG_MAC_BYTES, sizeof(mac)) == 0;
}

/*
 * Opens a message. Returns 0, -EBADMSG if it is short or malformed,
 * -EPROTONOSUPPORT for another program or version, or -EACCES if the seal is
 * not by one who knows the secret. On success the caller finishes *out.
 */
int wire_open(const uint8_t secret[WIRE_SECRET_BYTES], const uint8_t *bytes,
	      size_t n, struct wire_opened *out)
{
	struct fig_sealed sealed;
	XDR x;
	int r;

	memset(out, 0, sizeof(*out));
	memset(&sealed, 0, sizeof(sealed));
	if (n > WIRE_MESSAGE_MAX)
		return -EBADMSG;
	xdrmem_create(&x, (char *)bytes, (u_int)n, XDR_DECODE);
	r = open_header(&x, out);
	if (r < 0)
		return r;
	if (!xdr_fig_sealed(&x, &sealed) || xdr_getpos(&x) != n)
		r = -EBADMSG;
	else if (!is_authentic(secret, bytes, n))
		r = -EACCES;
	else
		r = open_body(&sealed, out);
	if (r == 0)
		copy_sender(&sealed, out);
	xdr_free((xdrproc_t)xdr_fig_sealed, &sealed);
	if (r < 0)
		wire_open_finish(out);
	return r;
}

/* Frees what opening allocated. */
void wire_open_finish(struct wire_opened *o)
{
	if (o->call.kind)
		xdr_free((xdrproc_t)xdr_fig_call, &o->call);
	if (o->reply.kind)
		xdr_free((xdrproc_t)xdr_fig_reply, &o->reply);
	memset(o, 0, sizeof(*o));
}

static void window_forget(struct wire_window *w, uint64_t from, uint64_t to)
{
	uint64_t i;

	if (to - from >= WINDOW_COUNTERS) {
		memset(w->seen, 0, sizeof(w->seen));
		return;
	}
	for (i = from + 1; i <= to; i++)
		w->seen[i / 64 % 16] &= ~(1ULL << (i % 64));
}

/*
 * Tells whether a message is new: by a later start of the sender, or with a
 * counter not seen yet and not older than the window.
 */
bool wire_window_accept(struct wire_window *w, uint64_t boot, uint64_t counter)
{
	uint64_t bit = 1ULL << (counter % 64);
	uint64_t *word = &w->seen[counter / 64 % 16];

	if (boot < w->boot)
		return false;
	if (boot > w->boot) {
		memset(w, 0, sizeof(*w));
		w->boot = boot;
	}
	if (counter + WINDOW_COUNTERS <= w->highest)
		return false;
	if (counter > w->highest) {
		window_forget(w, w->highest, counter);
		w->highest = counter;
	}
	if (*word & bit)
		return false;
	*word |= bit;
	return true;
}
