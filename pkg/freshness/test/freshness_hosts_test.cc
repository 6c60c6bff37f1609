#include <gtest/gtest.h>

#include "network.h"

extern "C" {
#include "freshness.h"
}

/*
 * Hosts that exchange the messages of pkg/relay, and a store with two streams, in
 * virtual time. Hosts decide by pkg/freshness who reads the store when, as
 * cmd/figbend/gateway/store_reader.c does.
 */
struct Hosts {
	struct Read {
		bool active = false, reissued = false, dead = false;
		uint64_t from = 0;
		int64_t wait_until_us = 0; /* of the store */
		int64_t response_us = 0;   /* 0 while the store waits */
		int64_t next_us = 0;	   /* after a failed read */
		bool failed = false;
	};
	struct Host {
		struct freshness f = {};
		Read read[FRESHNESS_STREAMS];
		bool cut_off = false;	/* does not reach the store */
		int64_t touched_us = 0; /* end of its last fault */
		int64_t next_check_us = 0;
	};
	/* A response of the store takes 4 ms, and 2 ms on each way. */
	static const int64_t RESPONSE_US = 8 * MS, FETCH_US = 15 * MS;
	/* A machine is in touch this long after its last fault. */
	static const int64_t CONTACT_US = 3 * S;
	Network net;
	int64_t bound_us;
	std::vector<std::unique_ptr<Host>> host;
	std::vector<int64_t> acked_us[FRESHNESS_STREAMS];
	/* Fetches of records in progress: when, who, stream, upto. */
	struct Fetch {
		int64_t at_us;
		Network::Node *to;
		int stream;
		uint64_t upto;
	};
	std::vector<Fetch> fetches;
	int64_t next_record_us = 0, record_interval_us;
	uint64_t calls = 0; /* that reached the store */
	size_t records_before = 0;
	int64_t worst_us = 0; /* longest time until a record was known */

	Hosts(uint32_t hosts, uint32_t domains, uint64_t seed,
	      int64_t record_interval_us, int64_t bound_us = 2 * S)
	    : net(hosts, domains, seed), bound_us(bound_us),
	      record_interval_us(record_interval_us)
	{
		for (uint32_t i = 0; i < hosts; i++)
			host.emplace_back(new Host);
		net.on_start = [this](Network::Node &n) {
			of(n).f = {};
			freshness_init(&of(n).f, this->bound_us, net.now_us);
			for (Read &r : of(n).read)
				r = Read();
		};
		net.after_message = [this](Network::Node &n,
					   struct relay_host *h) {
			told(n, h);
		};
		net.names.push_back("e");
		net.start_all();
		net.now_us = 1 * S;
		run(6 * S);
		calls = 0;
		records_before = acked_us[0].size();
		worst_us = 0;
	}
	Host &of(const Network::Node &n)
	{
		return *host[(size_t)atoi(n.addr.c_str())];
	}
	bool frozen(const Network::Node &n)
	{
		return net.now_us < n.frozen_until_us;
	}
	void told(Network::Node &n, struct relay_host *h)
	{
		for (int t = 0; t < FRESHNESS_STREAMS; t++) {
			if (h->next_position[t] > n.position[t])
				fetches.push_back({net.now_us + FETCH_US, &n, t,
						   h->next_position[t]});
			else if (h->as_of_us[t])
				freshness_set_told(&of(n).f, t, h->as_of_us[t]);
		}
	}
	void advance(Network::Node &n, int t, uint64_t position)
	{
		if (position <= n.position[t])
			return;
		n.position[t] = position;
		for (uint32_t i = 0; i < n.relay.n_hosts; i++) {
			struct relay_host *h = n.relay.host[i];

			if (h->next_position[t] <= position && h->as_of_us[t])
				freshness_set_told(&of(n).f, t, h->as_of_us[t]);
		}
	}
	bool is_passive(Network::Node &n)
	{
		if (net.now_us - n.relay.start_us < 3 * S &&
		    relay_has_seniors(&n.relay))
			return true;
		return !of(n).f.reads &&
		       (n.relay.mode == RELAY_MEMBER ||
			relay_has_reader(&n.relay, net.now_us));
	}
	/* Reads without a wait; nobody else hears that it reads. */
	bool asks(Network::Node &n)
	{
		return of(n).f.reads && n.relay.mode == RELAY_MEMBER;
	}
	void start_read(Network::Node &n, int t, bool waits)
	{
		Read &r = of(n).read[t];
		uint32_t wait_ms = freshness_wait_ms(
			relay_reader_rank(&n.relay, net.now_us),
			(double)(net.random() % 1000) / 1000);

		calls += !of(n).cut_off;
		r.active = true;
		r.dead = of(n).cut_off;
		r.from = n.position[t];
		r.response_us = 0;
		if (!waits || r.failed || asks(n))
			wait_ms = 0;
		r.wait_until_us = net.now_us + wait_ms * MS;
	}
	void step_read(Network::Node &n, int t)
	{
		Read &r = of(n).read[t];

		if (!r.active) {
			if (!is_passive(n) && net.now_us >= r.next_us)
				start_read(n, t, true);
			return;
		}
		if (net.now_us > r.wait_until_us + 800 * MS) { /* timed out */
			r.active = r.reissued = false;
			r.failed = true;
			r.next_us = net.now_us + 300 * MS;
			return;
		}
		if (r.dead)
			return;
		if (!r.response_us && (acked_us[t].size() > r.from ||
				       net.now_us >= r.wait_until_us))
			r.response_us = net.now_us + RESPONSE_US;
		if (!r.response_us || net.now_us < r.response_us)
			return;
		/* The process may have looked for input 0.1 s before. */
		freshness_set_read(&of(n).f, t,
				   net.now_us - RESPONSE_US / 2 -
					   (int64_t)(net.random() % 100000));
		r.active = r.reissued = r.failed = false;
		if (asks(n))
			r.next_us = net.now_us + FRESHNESS_ASK_MIN_MS * MS +
				    (int64_t)(net.random() % (200 * MS));
		advance(n, t, acked_us[t].size());
	}
	void check_age(Network::Node &n)
	{
		Host &h = of(n);
		uint32_t rank = relay_reader_rank(&n.relay, net.now_us);

		freshness_step(&h.f, (double)(net.random() % 1000) / 1000,
			       net.now_us);
		for (int t = 0; t < FRESHNESS_STREAMS; t++) {
			Read &r = h.read[t];

			if (!r.active || r.reissued || r.failed ||
			    !freshness_is_overdue(&h.f, t, rank, net.now_us))
				continue;
			start_read(n, t, false);
			r.reissued = true;
		}
	}
	void update_self(Network::Node &n)
	{
		bool failed = false, passive = false;

		for (Read &r : of(n).read) {
			failed = failed || r.failed;
			passive = passive || (!r.active && is_passive(n));
		}
		n.reader_state = failed	   ? FIG_TURNED_AWAY
				 : passive ? FIG_LEAVES_IT
					   : FIG_FOLLOWS;
		for (int t = 0; t < FRESHNESS_STREAMS; t++)
			n.as_of_us[t] = freshness_as_of_us(&of(n).f, t);
	}
	/* Notes how late hosts in touch know the records. */
	void check(Network::Node &n)
	{
		if (of(n).cut_off || net.now_us - of(n).touched_us < CONTACT_US)
			return;
		for (int t = 0; t < FRESHNESS_STREAMS; t++)
			if (n.position[t] < acked_us[t].size())
				worst_us = std::max(
					worst_us,
					net.now_us -
						acked_us[t][n.position[t]]);
	}
	/* Returns how many were acknowledged since the calls were last set to 0. */
	size_t records()
	{
		return acked_us[0].size() - records_before;
	}
	void acknowledge()
	{
		for (auto &a : acked_us)
			a.push_back(net.now_us);
		next_record_us =
			net.now_us + record_interval_us / 2 +
			(int64_t)(net.random() % (uint64_t)record_interval_us);
	}
	void step()
	{
		if (net.now_us >= next_record_us)
			acknowledge();
		for (size_t i = 0; i < fetches.size();) {
			Fetch f = fetches[i];

			if (net.now_us < f.at_us) {
				i++;
				continue;
			}
			if (f.to->up && !frozen(*f.to))
				advance(*f.to, f.stream, f.upto);
			fetches[i] = fetches.back();
			fetches.pop_back();
		}
		for (auto &p : net.node) {
			Network::Node &n = *p;

			if (!n.up || frozen(n)) {
				of(n).touched_us = net.now_us;
				continue;
			}
			if (net.now_us >= of(n).next_check_us) {
				of(n).next_check_us =
					net.now_us + FRESHNESS_CHECK_US;
				check_age(n);
			}
			for (int t = 0; t < FRESHNESS_STREAMS; t++)
				step_read(n, t);
			update_self(n);
			check(n);
		}
	}
	void run(int64_t for_us)
	{
		int64_t end_us = net.now_us + for_us;

		while (net.now_us < end_us) {
			net.run(1 * MS);
			step();
		}
	}
	/* Hosts that read the store, the first one first. */
	std::vector<Network::Node *> readers()
	{
		std::vector<Network::Node *> out;

		for (auto &n : net.node)
			if (n->up && n->reader_state == FIG_FOLLOWS)
				out.push_back(n.get());
		std::sort(out.begin(), out.end(),
			  [](Network::Node *a, Network::Node *b) {
				  return a->relay.id < b->relay.id;
			  });
		return out;
	}
	void cut(std::vector<Network::Node *> cut)
	{
		net.reaches = [cut](const Network::Node &x,
				    const Network::Node &y) {
			for (const Network::Node *n : cut)
				if (n == &x || n == &y)
					return false;
			return true;
		};
		for (Network::Node *n : cut)
			cut_from_store(*n);
	}
	void cut_from_store(Network::Node &n)
	{
		of(n).cut_off = true;
		for (Read &r : of(n).read)
			r.dead = true;
	}
};

/* Ways to lose all hosts that read the store. */
struct Loss {
	const char *name;
	std::function<void(Hosts &)> begin;
};

static const Loss losses[] = {
	{"killed",
	 [](Hosts &h) {
		 for (Network::Node *n : h.readers())
			 h.net.stop(*n);
	 }},
	{"killed, with nine in ten of the others",
	 [](Hosts &h) {
		 uint32_t i = 0;

		 for (Network::Node *n : h.readers())
			 h.net.stop(*n);
		 for (auto &n : h.net.node)
			 if (n->up && i++ % 10)
				 h.net.stop(*n);
	 }},
	{"frozen",
	 [](Hosts &h) {
		 for (Network::Node *n : h.readers())
			 n->frozen_until_us = h.net.now_us + 4 * S;
	 }},
	{"cut off", [](Hosts &h) { h.cut(h.readers()); }},
	{"cut off from the store",
	 [](Hosts &h) {
		 for (Network::Node *n : h.readers())
			 h.cut_from_store(*n);
	 }},
	{"stopped in turn",
	 [](Hosts &h) {
		 for (Network::Node *n : h.readers()) {
			 h.net.stop(*n);
			 h.run(400 * MS);
		 }
	 }},
	{"the first one killed, and the first one after it",
	 [](Hosts &h) {
		 h.net.stop(*h.readers().front());
		 h.run(700 * MS);
		 h.net.stop(*h.readers().front());
	 }},
	/* Connections go silent: for hosts in touch, that was before. */
	{"with dead connections",
	 [](Hosts &h) {
		 for (auto &p : h.host) {
			 for (Hosts::Read &r : p->read)
				 r.dead = true;
			 p->touched_us = h.net.now_us;
		 }
	 }},
};

/*
 * Guards against hosts that go by records which the store replaced more than the bound
 * before, as the hosts from which they get them are gone or say nothing new; and
 * against hosts that then all ask the store again and again. With
 * FIGBEND_FRESHNESS_ALL set, 300 hosts are simulated in all cases, by hand.
 */
TEST(FreshnessOfHosts, IsBoundedWhenAllReadersAreLost)
{
	const struct {
		uint32_t hosts, domains;
		int64_t bound_us;
	} sizes[] = {{7, 3, 2 * S},
		     {30, 3, 2 * S},
		     {300, 6, 2 * S},
		     {300, 6, 4 * S}};
	bool all = getenv("FIGBEND_FRESHNESS_ALL") != NULL;

	for (auto &size : sizes)
		for (const Loss &loss : losses)
			for (int64_t interval_us : {2 * S, 200 * MS}) {
				if (!all && size.hosts == 300 &&
				    (interval_us < S || size.bound_us > 2 * S))
					continue;
				Hosts h(size.hosts, size.domains, 7,
					interval_us, size.bound_us);

				loss.begin(h);
				h.run(20 * MS);
				h.acknowledge();
				h.run(6 * S);
				printf("%u hosts, bound %.0f s, readers %s, "
				       "records every %.1f s: known after "
				       "%.2f s at most, %.1f calls a second\n",
				       size.hosts, (double)size.bound_us / S,
				       loss.name, (double)interval_us / S,
				       (double)h.worst_us / S,
				       (double)h.calls / 6);
				EXPECT_LE(h.worst_us,
					  size.bound_us - FRESHNESS_APPLY_US)
					<< size.hosts << " hosts, readers "
					<< loss.name;
				if (interval_us < S)
					continue;
				/* Of the first reader, of two readers in each
				 * domain for each record, and three reads of
				 * each stream for each host. */
				EXPECT_LE(h.calls,
					  6 * 4 +
						  2 * 2 * size.domains *
							  h.records() +
						  3 * 2 * size.hosts)
					<< size.hosts << " hosts, readers "
					<< loss.name;
			}
}

/* Guards against calls to the store that grow with the number of hosts. */
TEST(FreshnessOfHosts, OfManyHostsNeedsNoMoreCalls)
{
	for (uint32_t hosts : {7u, 30u, 300u}) {
		Hosts h(hosts, hosts == 7 ? 3 : 6, 3, 1000 * S);

		h.run(10 * S);
		printf("%u hosts: %.2f calls a second\n", hosts,
		       (double)h.calls / 10);
		EXPECT_LE((double)h.calls / 10, 6) << hosts << " hosts";
	}
}
