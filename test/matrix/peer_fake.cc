/* Stands in for the package peer: messages between daemons. */

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <vector>

#include "net.h"

extern "C" {
#include "peer.h"
}

using namespace matrix;

namespace
{

std::map<struct peer *, Process *> processes;

/* A message as bytes, opened by its receiver as it would be. */
std::string Seal(struct peer *p, uint32_t xid, const struct fig_call *call)
{
	uint8_t *bytes;
	size_t n;
	std::string s;

	if (wire_seal_call(&p->sealer, xid, call, &bytes, &n) < 0)
		return s;
	s.assign(reinterpret_cast<char *>(bytes), n);
	free(bytes);
	p->counters.sent++;
	p->counters.sent_bytes += n;
	return s;
}

std::string SealReply(struct peer *p, uint32_t xid,
		      const struct fig_reply *reply)
{
	uint8_t *bytes;
	size_t n;
	std::string s;

	if (wire_seal_reply(&p->sealer, xid, reply, &bytes, &n) < 0)
		return s;
	s.assign(reinterpret_cast<char *>(bytes), n);
	free(bytes);
	return s;
}

int Open(struct peer *p, const std::string &s, struct wire_opened *o)
{
	return wire_open(p->sealer.secret,
			 reinterpret_cast<const uint8_t *>(s.data()), s.size(),
			 o);
}

/* Runs fn at the peer of an address, if the way there is open. */
bool At(struct peer *from, const std::string &addr,
	std::function<void(struct peer *)> fn)
{
	auto it = TheNet().peers.find(addr);
	Process *source = processes[from];

	if (it == TheNet().peers.end() ||
	    !TheNet().Reachable(source->domain, processes[it->second]->domain))
		return false;
	struct peer *to = it->second;

	TheClock().AfterIn(processes[to], kNetUs, [to, fn] {
		if (processes.count(to))
			fn(to);
	});
	return true;
}

/* A call that waits for its reply; done is called exactly once. */
struct Pending {
	peer_reply_fn done;
	void *ctx;
	bool over = false;

	void Finish(int error, const struct fig_reply *reply)
	{
		if (!over) {
			over = true;
			done(ctx, error, reply);
		}
	}
};

std::map<struct peer *, std::vector<std::shared_ptr<Pending>>> pendings;

void Answer(struct peer *from, struct peer *to, const std::string &bytes,
	    const std::string &back, std::shared_ptr<Pending> q)
{
	struct fig_reply reply = {};
	struct wire_opened o;
	std::string s;

	if (Open(to, bytes, &o) < 0)
		return;
	reply.kind = o.call.kind;
	if (to->on_call(to->ctx, &o, &reply) == 0)
		s = SealReply(to, o.xid, &reply);
	xdr_free((xdrproc_t)xdr_fig_reply, &reply);
	wire_open_finish(&o);
	if (s.empty())
		return;
	At(to, back, [s, q](struct peer *p) {
		struct wire_opened r;

		if (Open(p, s, &r) < 0)
			return;
		q->Finish(0, &r.reply);
		wire_open_finish(&r);
	});
}

} // namespace

extern "C" {

int peer_init(struct peer *p, struct ev_loop *loop, const char *addr,
	      const char *host, const uint8_t secret[WIRE_SECRET_BYTES],
	      uint64_t boot, peer_call_fn handler, peer_message_fn receiver,
	      void *ctx)
{
	memset(p, 0, sizeof(*p));
	p->loop = loop;
	p->on_call = handler;
	p->on_message = receiver;
	p->ctx = ctx;
	memcpy(p->sealer.secret, secret, WIRE_SECRET_BYTES);
	snprintf(p->sealer.sender, sizeof(p->sealer.sender), "%s", host);
	p->sealer.boot = boot;
	processes[p] = loop->process;
	TheNet().peers[addr] = p;
	return 0;
}

void peer_finish(struct peer *p)
{
	auto &peers = TheNet().peers;
	auto waiting = std::move(pendings[p]);

	pendings.erase(p);
	for (auto &q : waiting)
		q->Finish(-EPIPE, nullptr);

	for (auto it = peers.begin(); it != peers.end();)
		it = it->second == p ? peers.erase(it) : std::next(it);
	processes.erase(p);
}

int peer_send(struct peer *p, const char *addr, const struct fig_call *call)
{
	std::string bytes = Seal(p, ++p->next_xid, call);
	Net &net = TheNet();
	int times = 1;

	if (net.lose_messages) {
		net.lose_messages--;
		times = 0;
	} else if (net.double_messages) {
		net.double_messages--;
		times = 2;
	}
	while (times--)
		At(p, addr, [bytes](struct peer *to) {
			struct wire_opened o;

			if (Open(to, bytes, &o) < 0)
				return;
			to->on_message(to->ctx, &o);
			wire_open_finish(&o);
		});
	return 0;
}

int peer_call(struct peer *p, const char *addr, const struct fig_call *call,
	      uint32_t timeout_ms, peer_reply_fn done, void *ctx)
{
	auto q = std::make_shared<Pending>();
	std::string bytes = Seal(p, ++p->next_xid, call);
	std::string back;

	for (auto &each : TheNet().peers)
		if (each.second == p)
			back = each.first;
	q->done = done;
	q->ctx = ctx;
	auto &all = pendings[p];
	all.erase(std::remove_if(all.begin(), all.end(),
				 [](auto &each) { return each->over; }),
		  all.end());
	all.push_back(q);
	At(p, addr, [p, bytes, back, q](struct peer *to) {
		Answer(p, to, bytes, back, q);
	});
	TheClock().AfterIn(processes[p], timeout_ms * kMsUs, [p, q] {
		if (processes.count(p))
			q->Finish(-ETIMEDOUT, nullptr);
	});
	return 0;
}
}
