/* Stands in for the package fetch: HTTP calls of the daemons to fake servers. */

#include <cerrno>
#include <cstring>
#include <vector>

#include "net.h"

extern "C" {
#include "fetch.h"
}

using matrix::kNetUs;
using matrix::TheClock;
using matrix::TheNet;

/* A call under way. It is freed when it is done or cancelled. */
struct fetch_transfer {
	struct fetch_call *owner;
	matrix::Process *process;
	matrix::Call exchange;
	std::string addr;
	fetch_bytes on_bytes;
	fetch_done on_done;
	void *ctx;
	uint32_t silence_ms;
	uint64_t silence; /* number of the silence timer that counts */
	bool sent;
};

namespace matrix
{

namespace
{

/* Idle connections of a process to an address. */
std::map<std::pair<Process *, std::string>, std::vector<uint64_t>> idle;
std::map<struct fetch_transfer *, uint64_t> alive;
uint64_t transfers;

/* Runs fn for a transfer that is still open, in its process. */
void Later(struct fetch_transfer *t, int64_t delay_us,
	   std::function<void(struct fetch_transfer *)> fn)
{
	uint64_t mine = alive[t];

	TheClock().AfterIn(t->process, delay_us, [t, mine, fn] {
		auto it = alive.find(t);

		if (it != alive.end() && it->second == mine)
			fn(t);
	});
}

void Close(struct fetch_transfer *t)
{
	t->owner->transfer = nullptr;
	alive.erase(t);
	if (t->exchange) {
		t->exchange->transfer = nullptr;
		t->exchange->server->open.erase(t->exchange);
	}
	delete t;
}

void Done(struct fetch_transfer *t, int error, unsigned int status,
	  const std::string &body)
{
	struct fetch_result r = {};
	fetch_done done = t->on_done;
	void *ctx = t->ctx;

	r.error = error;
	r.sent = t->sent;
	r.status = status;
	r.body = body.c_str();
	r.body_n = body.size();
	if (!error && t->exchange)
		idle[{t->process, t->addr}].push_back(t->exchange->connection);
	Close(t);
	done(ctx, &r);
}

/* Restarts the timer that ends a call which makes no progress. */
void WatchSilence(struct fetch_transfer *t)
{
	uint64_t mine = ++t->silence;

	if (!t->silence_ms)
		return;
	Later(t, t->silence_ms * kMsUs, [mine](struct fetch_transfer *u) {
		if (u->silence == mine)
			Done(u, -ETIMEDOUT, 0, "");
	});
}

/* Tells whether bytes of the server on this connection still arrive. */
bool Arrives(const Exchange &e)
{
	return e.connection >= e.server->silent_before &&
	       TheNet().Reachable(e.from->domain, *e.server);
}

/* Takes an idle connection, unless a fresh one is asked for. */
uint64_t TakeConnection(struct fetch_transfer *t, bool fresh, bool *is_new)
{
	auto &free = idle[{t->process, t->addr}];

	*is_new = fresh || free.empty();
	if (*is_new)
		return ++TheNet().connections;
	uint64_t c = free.back();

	free.pop_back();
	return c;
}

void Deliver(const Call &e)
{
	Server *s = e->server;

	if (!e->Open() || !Arrives(*e))
		return;
	if (s->down) {
		e->Break();
		return;
	}
	s->open.insert(e);
	s->saw_key |= (e->headers + e->body).find("fb_") != std::string::npos;
	s->Handle(e);
}

} // namespace

void Exchange::Answer(unsigned int status, const std::string &body)
{
	if (!transfer)
		return;
	Call self;

	for (auto &c : server->open)
		if (c.get() == this)
			self = c;
	Later(transfer, kNetUs, [=](struct fetch_transfer *t) {
		if (Arrives(*self))
			Done(t, 0, status, body);
	});
}

void Exchange::Stream(const std::string &bytes)
{
	if (!transfer)
		return;
	Later(transfer, kNetUs, [bytes](struct fetch_transfer *t) {
		if (!Arrives(*t->exchange))
			return;
		WatchSilence(t);
		t->on_bytes(t->ctx, bytes.data(), bytes.size());
	});
}

void Exchange::End()
{
	if (!transfer)
		return;
	Later(transfer, kNetUs, [](struct fetch_transfer *t) {
		if (Arrives(*t->exchange))
			Done(t, 0, 200, "");
	});
}

void Exchange::Break()
{
	if (!transfer)
		return;
	Later(transfer, kNetUs, [](struct fetch_transfer *t) {
		if (Arrives(*t->exchange))
			Done(t, -ECONNRESET, 0, "");
	});
}

Server::Server(std::string name, std::string domain, std::string addr)
    : name(std::move(name)), domain(std::move(domain)), addr(std::move(addr))
{
	TheNet().servers[this->addr] = this;
}

Server::~Server()
{
	TheNet().servers.erase(addr);
}

void Server::BreakAll()
{
	auto all = open;

	for (auto &c : all)
		c->Break();
}

bool Net::Reachable(const std::string &domain, const std::string &other) const
{
	return domain == other || !domains_cut;
}

bool Net::Reachable(const std::string &domain, const Server &s) const
{
	if (s.domain.empty())
		return !cut_from_platform.count(domain);
	return Reachable(domain, s.domain);
}

Net &TheNet()
{
	static Net net;

	return net;
}

} // namespace matrix

using namespace matrix;

extern "C" {

int fetch_init(struct fetch *f, struct ev_loop *loop, uint32_t connections)
{
	memset(f, 0, sizeof(*f));
	f->loop = loop;
	return 0;
}

void fetch_finish(struct fetch *f)
{
}

int fetch_start(struct fetch *f, struct fetch_call *c,
		const struct fetch_request *q)
{
	std::string url = q->url;
	size_t host = url.find("://") + 3;
	size_t slash = url.find('/', host);

	if (TheNet().fail_cancels && url.substr(slash) == "/cancel") {
		TheNet().fail_cancels--;
		return -ENOMEM;
	}
	auto t = new fetch_transfer();
	auto e = std::make_shared<Exchange>();
	bool is_new;

	t->owner = c;
	t->process = f->loop->process;
	t->addr = url.substr(host, slash - host);
	t->on_bytes = q->on_bytes;
	t->on_done = q->on_done;
	t->ctx = q->ctx;
	t->silence_ms = q->silence_ms;
	c->transfer = t;
	alive[t] = ++transfers;
	if (q->total_ms)
		Later(t, q->total_ms * kMsUs, [](struct fetch_transfer *u) {
			Done(u, -ETIMEDOUT, 0, "");
		});
	Server *s = TheNet().servers[t->addr];
	uint64_t connection = TakeConnection(t, q->fresh, &is_new);

	if (!s || (is_new && s->down)) {
		Later(t, kNetUs, [](struct fetch_transfer *u) {
			Done(u, -ECONNREFUSED, 0, "");
		});
		return 0;
	}
	if (is_new && !TheNet().Reachable(t->process->domain, *s)) {
		Later(t, q->connect_ms * kMsUs, [](struct fetch_transfer *u) {
			Done(u, -ETIMEDOUT, 0, "");
		});
		return 0;
	}
	t->sent = true;
	t->exchange = e;
	e->method = q->method;
	e->path = url.substr(slash);
	if (q->body)
		e->body.assign(q->body, q->body_n);
	for (const char *const *h = q->headers; h && *h; h++)
		e->headers += std::string(*h) + "\n";
	e->from = t->process;
	e->connection = connection;
	e->server = s;
	e->transfer = t;
	WatchSilence(t);
	TheClock().After(kNetUs, [e] { Deliver(e); });
	return 0;
}

void fetch_cancel(struct fetch_call *c)
{
	if (c->transfer)
		Close(c->transfer);
}
}
