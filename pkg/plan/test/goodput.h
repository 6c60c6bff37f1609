#ifndef FIGBEND_PLAN_TEST_GOODPUT_H
#define FIGBEND_PLAN_TEST_GOODPUT_H

#include <cstdint>
#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "admit.h"
#include "fairq.h"
#include "plan.h"
}

/*
 * Virtual time: entry hosts with the decisions of pkg/plan, pkg/admit and
 * pkg/fairq, or a baseline without reservation, before small fakes of prefill
 * and decode engines. Arrivals are the same for all policies of a seed.
 */
namespace goodput
{

constexpr int64_t MS = 1000, S = 1000 * MS;
constexpr int64_t HOP_US = 500; /* one way */
constexpr int64_t FIRST_TARGET_US = 1600 * MS, GAP_TARGET_US = 40 * MS;
constexpr int64_t WARM_UP_US = 20 * S; /* the engines fill */
constexpr int64_t KV_LIFE_US = 800 * MS;
constexpr int HOSTS = 8, PREFILLS = 2, DECODES = 10, SLOTS = 20, PIECES = 80;
constexpr int64_t PREFILL_US = 5 * MS, PREFILL_TOKEN_US = 20;
constexpr int64_t LINK_TOKEN_US = 5, STEP_US = 15 * MS, STEP_RUN_US = 1 * MS;
constexpr int OUTPUT_MIN = 20, OUTPUT_MAX = 280, BLOCKS = 64;
constexpr size_t CACHED_PREFIXES = 16;
constexpr int64_t EVENT_LAG_US = 200 * MS;

enum class Policy { PLANNED, ROUND_ROBIN, LEAST_LOADED };

/* Requests a second that the decode engines bear with full batches. */
inline double capacity()
{
	double run_s = (STEP_US + SLOTS * STEP_RUN_US) / 1e6 *
		       (OUTPUT_MIN + OUTPUT_MAX) / 2;

	return DECODES * SLOTS / run_s;
}

struct Outcome {
	/* Of what arrived after the warm-up, but for the prefills. */
	uint32_t offered = 0, finished = 0, in_target = 0, refused = 0;
	uint32_t prefills = 0, wasted = 0, over_slots = 0;
	double seconds = 0;

	double rate() const
	{
		return in_target / seconds;
	}
	double waste() const
	{
		return prefills ? (double)wasted / prefills : 0.;
	}
};

struct Job {
	std::string run;
	int host = 0;
	uint32_t prompt = 0, output = 0, made = 0, pieces = 0;
	uint64_t prefix = 0; /* 0: shares none */
	int64_t arrived_us = 0, due_us = 0, first_us = 0, last_us = 0;
	int64_t ordered_us = 0, exported_us = 0, kv_until_us = 0;
	uint32_t in_front = 0, work = 0, attempts = 0;
	uint32_t serial = 0;
	bool counted = false;
	int prefill = -1, decode = -1;
	struct fairq_item item = {};
};
using JobPtr = std::shared_ptr<Job>;

struct PrefillEngine {
	std::deque<JobPtr> queue;
	bool busy = false;
	uint32_t tokens = 0;
	int64_t link_free_us = 0;
	std::list<uint64_t> cache;
};

struct DecodeEngine {
	std::vector<JobPtr> batch;
	int used = 0;
	uint32_t pieces = 0;
	bool stepping = false;
};

struct Host {
	struct admit view = {};
	struct fairq queue = {};
	struct plan_prefix_index prefixes = {};
	struct plan_estimator speed[PREFILLS];
	std::deque<JobPtr> waiting;
	uint32_t turn = 0;
};

struct World {
	using Event = std::function<void()>;
	struct Due {
		int64_t at_us;
		uint64_t order;
		Event run;
		bool operator<(const Due &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us
						: order > o.order;
		}
	};

	Policy policy;
	std::mt19937_64 random; /* of arrivals, the same for all policies */
	std::mt19937_64 losses{1};
	double arrivals_s;
	int64_t now_us = 0, end_us;
	uint64_t order = 0;
	std::priority_queue<Due> due;
	std::vector<Host> hosts{HOSTS};
	std::vector<PrefillEngine> prefills{PREFILLS};
	std::vector<DecodeEngine> decodes{DECODES};
	std::vector<struct config_endpoint> declared{PREFILLS + DECODES};
	struct config_domain domain = {};
	struct config conf = {};
	struct admit owner = {}; /* the books, each of one admitting host */
	std::map<struct fairq_item *, JobPtr> queued;
	Outcome out;

	World(Policy p, int percent, uint64_t seed, int64_t duration_us)
	    : policy(p), random(seed), arrivals_s(capacity() * percent / 100),
	      end_us(duration_us)
	{
		declare();
		for (auto &h : hosts) {
			admit_init(&h.view);
			admit_configure(&h.view, &conf);
			fairq_init(&h.queue);
			plan_prefix_index_init(&h.prefixes);
			for (auto &s : h.speed)
				plan_estimator_init(&s);
		}
		open_books();
		at(next_arrival(), [this] { arrive(); });
		for (int h = 0; h < HOSTS; h++)
			at(h * MS, [=] { sweep(h); });
	}

	~World()
	{
		for (auto &h : hosts) {
			admit_finish(&h.view);
			fairq_finish(&h.queue);
		}
		admit_finish(&owner);
	}

	void declare()
	{
		strcpy(domain.name, "d");
		conf.domain = &domain;
		conf.domain_n = 1;
		conf.endpoint = declared.data();
		conf.endpoint_n = declared.size();
		for (size_t i = 0; i < declared.size(); i++) {
			struct config_endpoint &e = declared[i];
			bool prefill = i < PREFILLS;

			snprintf(e.name, 64, "%c%zu", prefill ? 'p' : 'd', i);
			strcpy(e.domain, "d");
			strcpy(e.serves, "m");
			e.role = prefill ? CONFIG_ROLE_PREFILL
					 : CONFIG_ROLE_DECODE;
			e.slots = SLOTS;
			e.pieces = PIECES;
		}
	}

	/* Engines that have run for a while: slow start is over. */
	void open_books()
	{
		struct admit_report r = {};

		admit_init(&owner);
		admit_configure(&owner, &conf);
		for (uint32_t i = 0; i < owner.n; i++) {
			struct admit_allocator *b =
				(struct admit_allocator *)calloc(1, sizeof(*b));

			admit_alloc_init(b, SLOTS, PIECES);
			owner.endpoint[i].alloc = b;
			b->state = ADMIT_ACTIVE;
			r.queried_us = 1;
			r.boot = 1;
			admit_alloc_apply_report(b, &r, 1);
			b->window = SLOTS;
		}
		at(S, [this] { report(); });
	}

	int64_t uniform(int64_t a, int64_t b)
	{
		return a + (int64_t)(random() % (uint64_t)(b - a + 1));
	}

	int64_t next_arrival()
	{
		std::exponential_distribution<double> d(arrivals_s);

		return 1 + (int64_t)(d(random) * 1e6);
	}

	void at(int64_t in_us, Event e)
	{
		due.push({now_us + in_us, order++, std::move(e)});
	}

	uint32_t prompt_length()
	{
		int64_t kind = uniform(1, 100);

		if (kind <= 80)
			return uniform(50, 2000);
		return kind <= 98 ? uniform(2000, 8000) : uniform(8000, 30000);
	}

	void arrive()
	{
		auto j = std::make_shared<Job>();

		if (now_us >= end_us)
			return;
		j->run = "r" + std::to_string(order);
		j->counted = now_us >= WARM_UP_US;
		out.offered += j->counted;
		j->host = uniform(0, HOSTS - 1);
		j->prompt = prompt_length();
		j->output = uniform(OUTPUT_MIN, OUTPUT_MAX);
		/* Half share a prefix; low numbers are the hot ones. */
		if (uniform(0, 1))
			j->prefix = 1 + uniform(0, uniform(0, 39));
		j->pieces = admit_tokens_to_pieces(j->prompt + OUTPUT_MAX);
		j->arrived_us = now_us;
		j->due_us = now_us + FIRST_TARGET_US;
		at(next_arrival(), [this] { arrive(); });
		if (policy == Policy::PLANNED)
			enqueue(j);
		else
			send_prefill(j);
	}

	/* Half of a prompt is the prefix that it shares. */
	uint32_t shared(const Job &j) const
	{
		return j.prefix ? j.prompt / 2 : 0;
	}

	/* The planned policy, as the daemon's controllers do it. */

	void enqueue(JobPtr j)
	{
		std::string account = "a" + std::to_string(j->prompt % 4);
		Host &h = hosts[j->host];

		j->item.cost_tokens = j->prompt + OUTPUT_MAX;
		j->item.deadline_us = j->due_us;
		j->item.owner = j.get();
		queued[&j->item] = j;
		fairq_push(&h.queue, account.c_str(), 1, &j->item);
		let_go(j->host);
	}

	void refuse(JobPtr j)
	{
		out.refused += j->counted;
	}

	enum plan_outcome plan(Job &j, struct plan_pair *pair)
	{
		Host &h = hosts[j.host];
		struct plan_prefill_candidate p[PREFILLS] = {};
		struct plan_decode_candidate d[DECODES] = {};
		struct plan_request job = {j.prompt, j.due_us, STEP_US, false};

		for (int i = 0; i < PREFILLS; i++) {
			struct admit_endpoint &e = h.view.endpoint[i];

			p[i].estimator = &h.speed[i];
			p[i].queued_tokens = e.queued_tokens;
			p[i].has_capacity = admit_has_capacity(&e, j.pieces);
			p[i].affinity = plan_affinity(j.prefix, e.name);
			if (j.prefix &&
			    plan_prefix_index_cached_tokens(&h.prefixes, e.name,
							    &j.prefix, 1))
				p[i].cached_tokens = shared(j);
		}
		for (int i = 0; i < DECODES; i++) {
			struct admit_endpoint &e =
				h.view.endpoint[PREFILLS + i];

			d[i] = {e.slots_used, e.slots,
				admit_has_capacity(&e, j.pieces)};
		}
		return plan_choose(&job, p, PREFILLS, d, DECODES, now_us, pair);
	}

	/* False: it has to wait for room. */
	bool start(JobPtr j)
	{
		Host &h = hosts[j->host];
		struct plan_pair pair = {};

		switch (plan(*j, &pair)) {
		case PLAN_REJECT:
			refuse(j);
			return true;
		case PLAN_WAIT:
			return false;
		case PLAN_CHOSEN:
			break;
		}
		j->prefill = pair.prefill_index;
		j->decode = pair.decode_index;
		j->work = pair.prefill_tokens;
		uint32_t max = pair.queue_max_tokens;
		admit_view_reserve(&h.view.endpoint[PREFILLS + j->decode],
				   j->pieces);
		at(HOP_US, [=] { ask_decode(j, max); });
		return true;
	}

	void let_go(int host)
	{
		Host &h = hosts[host];

		while (!h.waiting.empty()) {
			JobPtr j = h.waiting.front();

			if (!start(j))
				return;
			h.waiting.pop_front();
		}
		while (struct fairq_item *i = fairq_peek(&h.queue)) {
			JobPtr j = queued[i];

			if (!start(j))
				return;
			queued.erase(i);
			fairq_pop(&h.queue);
		}
	}

	void sweep(int host)
	{
		admit_tick(&hosts[host].view, now_us);
		let_go(host);
		if (now_us < end_us + 10 * S)
			at(20 * MS, [=] { sweep(host); });
	}

	enum admit_outcome ask(const JobPtr &j, int endpoint, uint32_t tokens,
			       uint32_t max)
	{
		struct admit_endpoint *e = &owner.endpoint[endpoint];
		struct admit_request a = {j->run.c_str(), j->serial, j->pieces,
					  tokens, max};
		enum admit_outcome o = admit_grant(&owner, e, &a, now_us);

		if (o == ADMIT_FULL || !admit_alloc_slots_free(e->alloc))
			admit_alloc_add_waiter(e->alloc,
					       std::to_string(j->host).c_str());
		j->in_front = admit_alloc_queued_tokens(e->alloc) - tokens;
		tell(j->host, endpoint);
		return o;
	}

	/* The room goes back with the answer. */
	void tell(int host, int endpoint)
	{
		struct admit_allocator *b = owner.endpoint[endpoint].alloc;
		uint32_t slots = admit_alloc_slots_free(b);
		uint32_t pieces = admit_alloc_pieces_free(b);
		uint32_t tokens = admit_alloc_queued_tokens(b);

		at(HOP_US, [=] {
			admit_view_update(&hosts[host].view.endpoint[endpoint],
					  slots, pieces, tokens, false, now_us);
		});
	}

	void release(const JobPtr &j, int endpoint, enum admit_end end)
	{
		uint32_t serial = j->serial;
		std::string run = j->run;
		int host = j->host;

		at(HOP_US, [=] {
			admit_alloc_release(owner.endpoint[endpoint].alloc,
					    run.c_str(), serial, end, now_us);
			tell(host, endpoint);
			at(HOP_US, [=] { let_go(host); });
			wake(endpoint);
		});
	}

	void wake(int endpoint)
	{
		char names[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES];
		uint32_t n = admit_alloc_pop_waiters(
			owner.endpoint[endpoint].alloc, names);

		for (uint32_t i = 0; i < n; i++) {
			int host = atoi(names[i]);

			tell(host, endpoint);
			at(HOP_US, [=] { let_go(host); });
		}
	}

	void ask_decode(JobPtr j, uint32_t max)
	{
		bool yes = ask(j, PREFILLS + j->decode, 0, 0) == ADMIT_GRANTED;

		at(HOP_US, [=] {
			if (yes)
				at(HOP_US, [=] { ask_prefill(j, max); });
			else
				wait(j);
		});
	}

	void ask_prefill(JobPtr j, uint32_t max)
	{
		bool yes = ask(j, j->prefill, j->work, max) == ADMIT_GRANTED;

		at(HOP_US, [=] {
			if (yes) {
				order_prefill(j);
				return;
			}
			release(j, PREFILLS + j->decode, ADMIT_END_UNUSED);
			wait(j);
		});
	}

	void wait(JobPtr j)
	{
		j->serial++;
		hosts[j->host].waiting.push_back(j);
	}

	void learn(const JobPtr &j)
	{
		Host &h = hosts[j->host];

		plan_estimator_observe_prefill(&h.speed[j->prefill],
					       j->in_front + j->work,
					       now_us - j->ordered_us);
		if (j->prefix)
			plan_prefix_index_add(&h.prefixes,
					      declared[j->prefill].name,
					      j->prefix);
	}

	/* Cache events reach all hosts late, and one in ten is lost. */
	void publish(int engine, uint64_t prefix, bool evicted)
	{
		for (int h = 0; h < HOSTS; h++) {
			if (losses() % 10 == 0)
				continue;
			at(EVENT_LAG_US + HOP_US, [=] {
				auto f = evicted ? plan_prefix_index_remove
						 : plan_prefix_index_add;
				f(&hosts[h].prefixes, declared[engine].name,
				  prefix);
			});
		}
	}

	void report()
	{
		for (uint32_t i = 0; i < owner.n; i++)
			report_one(i);
		if (now_us < end_us + 10 * S)
			at(S, [this] { report(); });
	}

	/* Runs are named by their first characters; a report never lags here. */
	void report_one(uint32_t i)
	{
		struct admit_report r = {};
		std::vector<std::string> runs;

		if (i < PREFILLS)
			for (auto &j : prefills[i].queue)
				runs.push_back(j->run);
		else
			for (auto &j : decodes[i - PREFILLS].batch)
				runs.push_back(j->run);
		std::vector<char> names(ADMIT_RUN_BYTES * (runs.size() + 1));
		for (auto &n : runs)
			strncpy(&names[ADMIT_RUN_BYTES * r.running_n++],
				n.c_str(), ADMIT_RUN_BYTES - 1);
		r.queried_us = now_us;
		r.boot = 1;
		r.slots_used = r.running_n;
		r.running = reinterpret_cast<const char(*)[ADMIT_RUN_BYTES]>(
			names.data());
		admit_alloc_apply_report(owner.endpoint[i].alloc, &r, now_us);
	}

	/* The baselines: no reservation, a queue at the prefill engine only. */

	void send_prefill(JobPtr j)
	{
		j->attempts++;
		j->prefill = hosts[j->host].turn++ % PREFILLS;
		if (policy == Policy::LEAST_LOADED)
			for (int i = 0; i < PREFILLS; i++)
				if (prefills[i].tokens <
				    prefills[j->prefill].tokens)
					j->prefill = i;
		order_prefill(j);
	}

	void choose_decode(JobPtr j)
	{
		j->decode = hosts[j->host].turn++ % DECODES;
		if (policy == Policy::LEAST_LOADED)
			for (int i = 0; i < DECODES; i++)
				if (decodes[i].used < decodes[j->decode].used)
					j->decode = i;
	}

	/* A KV result expired: once more, if the target can still be met. */
	void again(JobPtr j)
	{
		if (j->attempts < 4 && now_us < j->due_us)
			send_prefill(j);
	}

	/* The engines. */

	void order_prefill(JobPtr j)
	{
		j->ordered_us = now_us;
		at(HOP_US, [=] {
			PrefillEngine &p = prefills[j->prefill];

			p.queue.push_back(j);
			p.tokens += j->prompt;
			run_prefill(j->prefill);
		});
	}

	void run_prefill(int i)
	{
		PrefillEngine &p = prefills[i];

		if (p.busy || p.queue.empty())
			return;
		JobPtr j = p.queue.front();
		uint32_t work = j->prompt - use_cache(i, *j);
		p.busy = true;
		at(PREFILL_US + work * PREFILL_TOKEN_US,
		   [=] { prefilled(i, j); });
	}

	uint32_t use_cache(int i, const Job &j)
	{
		std::list<uint64_t> &c = prefills[i].cache;

		for (auto k = c.begin(); k != c.end(); k++)
			if (*k == j.prefix) {
				c.splice(c.begin(), c, k);
				return shared(j);
			}
		return 0;
	}

	void fill_cache(int i, const Job &j)
	{
		std::list<uint64_t> &c = prefills[i].cache;

		if (!j.prefix || use_cache(i, j))
			return;
		c.push_front(j.prefix);
		publish(i, j.prefix, false);
		if (c.size() <= CACHED_PREFIXES)
			return;
		publish(i, c.back(), true);
		c.pop_back();
	}

	void prefilled(int i, JobPtr j)
	{
		PrefillEngine &p = prefills[i];

		p.busy = false;
		p.queue.pop_front();
		p.tokens -= j->prompt;
		out.prefills++;
		fill_cache(i, *j);
		j->kv_until_us = now_us + KV_LIFE_US;
		run_prefill(i);
		at(HOP_US, [=] {
			if (policy == Policy::PLANNED)
				learn(j);
			else
				choose_decode(j);
			at(HOP_US, [=] { transfer(j); });
		});
	}

	/* A decode engine is ordered to import the KV result. */
	void transfer(JobPtr j)
	{
		DecodeEngine &d = decodes[j->decode];
		PrefillEngine &p = prefills[j->prefill];

		if (now_us > j->kv_until_us) {
			out.wasted++;
			if (policy == Policy::PLANNED)
				release(j, PREFILLS + j->decode,
					ADMIT_END_UNUSED);
			again(j);
			return;
		}
		if (d.used >= SLOTS || d.pieces + j->pieces > PIECES) {
			out.over_slots += policy == Policy::PLANNED;
			at(2 * HOP_US + 5 * MS, [=] {
				if (policy != Policy::PLANNED)
					choose_decode(j);
				transfer(j);
			});
			return;
		}
		d.used++;
		d.pieces += j->pieces;
		j->exported_us = now_us;
		if (p.link_free_us < now_us)
			p.link_free_us = now_us;
		p.link_free_us += j->prompt * LINK_TOKEN_US;
		at(p.link_free_us - now_us, [=] { transferred(j); });
	}

	void transferred(JobPtr j)
	{
		if (policy == Policy::PLANNED) {
			release(j, j->prefill, ADMIT_END_COMPLETE);
			plan_estimator_observe_transfer(
				&hosts[j->host].speed[j->prefill], j->prompt,
				now_us - j->exported_us);
		}
		at(2 * HOP_US, [=] {
			decodes[j->decode].batch.push_back(j);
			step(j->decode);
		});
	}

	void step(int i)
	{
		DecodeEngine &d = decodes[i];

		if (d.stepping || d.batch.empty())
			return;
		d.stepping = true;
		at(STEP_US + d.batch.size() * STEP_RUN_US, [=] { stepped(i); });
	}

	void stepped(int i)
	{
		DecodeEngine &d = decodes[i];
		std::vector<JobPtr> batch;

		d.stepping = false;
		batch.swap(d.batch);
		for (auto &j : batch) {
			j->last_us = now_us + HOP_US;
			if (!j->made++)
				j->first_us = j->last_us;
			if (j->made < j->output)
				d.batch.push_back(j);
			else
				finish(j);
		}
		step(i);
	}

	void finish(JobPtr j)
	{
		DecodeEngine &d = decodes[j->decode];
		int64_t gap_us = (j->last_us - j->first_us) / (j->made - 1);

		d.used--;
		d.pieces -= j->pieces;
		out.finished += j->counted;
		if (j->counted && j->first_us <= j->due_us &&
		    gap_us <= GAP_TARGET_US)
			out.in_target++;
		if (policy == Policy::PLANNED)
			release(j, PREFILLS + j->decode, ADMIT_END_COMPLETE);
	}

	Outcome play()
	{
		while (!due.empty()) {
			Due d = due.top();

			due.pop();
			now_us = d.at_us;
			d.run();
		}
		out.seconds = (end_us - WARM_UP_US) / 1e6;
		return out;
	}
};

inline Outcome play(Policy p, int percent, uint64_t seed, int64_t duration_us)
{
	World w(p, percent, seed, duration_us);

	return w.play();
}

} // namespace goodput

#endif
