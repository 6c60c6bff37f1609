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
 * Discrete event simulation of entry hosts in front of simple models of prefill
 * and decode engines. The planned policy runs the code of pkg/plan, pkg/admit
 * and pkg/fairq; the baselines reserve nothing. All policies get the same
 * arrivals if the seed is the same. Times are simulated, in microseconds.
 */
namespace goodput
{

constexpr int64_t MS = 1000, S = 1000 * MS;
constexpr int64_t NETWORK_DELAY_US = 500; /* one way */
constexpr int64_t FIRST_TOKEN_TARGET_US = 1600 * MS,
		  TOKEN_GAP_TARGET_US = 40 * MS;
constexpr int64_t WARMUP_US = 20 * S; /* not measured */
constexpr int64_t KV_TTL_US = 800 * MS;
constexpr int HOSTS = 8, PREFILLS = 2, DECODES = 10, SLOTS = 20;
constexpr int PIECES = 80; /* memory pieces of an endpoint */
constexpr int64_t PREFILL_BASE_US = 5 * MS, PREFILL_TOKEN_US = 20;
constexpr int64_t TRANSFER_TOKEN_US = 5, STEP_BASE_US = 15 * MS,
		  STEP_REQUEST_US = 1 * MS;
constexpr int OUTPUT_MIN = 20, OUTPUT_MAX = 280;
constexpr size_t CACHED_PREFIXES = 16; /* per prefill engine */
constexpr int64_t CACHE_EVENT_DELAY_US = 200 * MS;

enum class Policy { PLANNED, ROUND_ROBIN, LEAST_LOADED };

/* Requests per second that the decode engines finish with full batches. */
inline double capacity_per_s()
{
	double run_s = (STEP_BASE_US + SLOTS * STEP_REQUEST_US) / 1e6 *
		       (OUTPUT_MIN + OUTPUT_MAX) / 2;

	return DECODES * SLOTS / run_s;
}

struct Outcome {
	/* Requests that arrived after the warm-up. */
	uint32_t offered = 0, finished = 0, in_time = 0, rejected = 0;
	/* Prefills of all requests; wasted: the KV result expired. */
	uint32_t prefills = 0, wasted = 0;
	uint32_t over_capacity = 0; /* granted, but the engine was full */
	double seconds = 0;

	double goodput_per_s() const
	{
		return in_time / seconds;
	}
	double wasted_share() const
	{
		return prefills ? (double)wasted / prefills : 0.;
	}
};

struct Request {
	std::string id;
	int host = 0;
	uint32_t prompt_tokens = 0, output_tokens = 0, generated_tokens = 0,
		 pieces = 0;
	uint64_t prefix = 0; /* shared with others; 0 if none */
	int64_t deadline_us = 0, first_token_us = 0, last_token_us = 0;
	int64_t prefill_sent_us = 0, transfer_start_us = 0, kv_expiry_us = 0;
	uint32_t queued_tokens = 0; /* prefill work ahead, when granted */
	uint32_t prefill_tokens = 0, attempts = 0;
	uint32_t serial = 0;   /* of its grant requests */
	bool measured = false; /* arrived after the warm-up */
	int prefill = -1, decode = -1;
	struct fairq_item item = {};
};
using RequestPtr = std::shared_ptr<Request>;

struct PrefillEngine {
	std::deque<RequestPtr> queue;
	bool busy = false;
	uint32_t queued_tokens = 0;
	int64_t link_free_at_us = 0;
	std::list<uint64_t> cache; /* prefixes, most recently used first */
};

struct DecodeEngine {
	std::vector<RequestPtr> batch;
	int slots_used = 0;
	uint32_t pieces_used = 0;
	bool stepping = false;
};

struct Host {
	struct admit view = {};
	struct fairq queue = {};
	struct plan_prefix_index prefix_index = {};
	struct plan_estimator estimator[PREFILLS];
	std::deque<RequestPtr> waiting; /* were denied a grant; go first */
	uint32_t next_engine = 0;	/* of round robin */
};

struct Simulation {
	using Action = std::function<void()>;
	struct Event {
		int64_t at_us;
		uint64_t sequence;
		Action action;
		bool operator<(const Event &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us
						: sequence > o.sequence;
		}
	};

	Policy policy;
	std::mt19937_64 random; /* of arrivals, the same for all policies */
	std::mt19937_64 loss_random{1}; /* of lost cache events */
	double arrivals_per_s;
	int64_t now_us = 0, end_us;
	uint64_t sequence = 0; /* orders events of the same time */
	std::priority_queue<Event> events;
	std::vector<Host> hosts{HOSTS};
	std::vector<PrefillEngine> prefills{PREFILLS};
	std::vector<DecodeEngine> decodes{DECODES};
	std::vector<struct config_endpoint> endpoints{PREFILLS + DECODES};
	struct config_domain domain = {};
	struct config conf = {};
	struct admit owner = {}; /* the allocators of all endpoints */
	std::map<struct fairq_item *, RequestPtr> queued;
	Outcome out;

	Simulation(Policy p, int percent, uint64_t seed, int64_t duration_us)
	    : policy(p), random(seed),
	      arrivals_per_s(capacity_per_s() * percent / 100),
	      end_us(duration_us)
	{
		declare_endpoints();
		for (auto &h : hosts) {
			admit_init(&h.view);
			admit_configure(&h.view, &conf);
			fairq_init(&h.queue);
			plan_prefix_index_init(&h.prefix_index);
			for (auto &e : h.estimator)
				plan_estimator_init(&e);
		}
		init_allocators();
		schedule(next_arrival(), [this] { arrive(); });
		for (int h = 0; h < HOSTS; h++)
			schedule(h * MS, [=] { tick(h); });
	}

	~Simulation()
	{
		for (auto &h : hosts) {
			admit_finish(&h.view);
			fairq_finish(&h.queue);
		}
		admit_finish(&owner);
	}

	void declare_endpoints()
	{
		strcpy(domain.name, "d");
		conf.domain = &domain;
		conf.domain_n = 1;
		conf.endpoint = endpoints.data();
		conf.endpoint_n = endpoints.size();
		for (size_t i = 0; i < endpoints.size(); i++) {
			struct config_endpoint &e = endpoints[i];
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

	/* The engines have run for a while: their slow start is over. */
	void init_allocators()
	{
		struct admit_report report = {};

		admit_init(&owner);
		admit_configure(&owner, &conf);
		for (uint32_t i = 0; i < owner.n; i++) {
			struct admit_allocator *a =
				(struct admit_allocator *)calloc(1, sizeof(*a));

			admit_alloc_init(a, SLOTS, PIECES);
			owner.endpoint[i].alloc = a;
			a->state = ADMIT_ACTIVE;
			report.queried_us = 1;
			report.boot = 1;
			admit_alloc_apply_report(a, &report, 1);
			a->window = SLOTS;
		}
		schedule(S, [this] { report_loads(); });
	}

	int64_t uniform(int64_t a, int64_t b)
	{
		return a + (int64_t)(random() % (uint64_t)(b - a + 1));
	}

	int64_t next_arrival()
	{
		std::exponential_distribution<double> d(arrivals_per_s);

		return 1 + (int64_t)(d(random) * 1e6);
	}

	void schedule(int64_t delay_us, Action action)
	{
		events.push({now_us + delay_us, sequence++, std::move(action)});
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
		auto r = std::make_shared<Request>();

		if (now_us >= end_us)
			return;
		r->id = "r" + std::to_string(sequence);
		r->measured = now_us >= WARMUP_US;
		out.offered += r->measured;
		r->host = uniform(0, HOSTS - 1);
		r->prompt_tokens = prompt_length();
		r->output_tokens = uniform(OUTPUT_MIN, OUTPUT_MAX);
		/* Half share a prefix, mostly one of the low numbers. */
		if (uniform(0, 1))
			r->prefix = 1 + uniform(0, uniform(0, 39));
		r->pieces =
			admit_tokens_to_pieces(r->prompt_tokens + OUTPUT_MAX);
		r->deadline_us = now_us + FIRST_TOKEN_TARGET_US;
		schedule(next_arrival(), [this] { arrive(); });
		if (policy == Policy::PLANNED)
			enqueue(r);
		else
			start_unreserved(r);
	}

	/* The shared prefix is half of the prompt. */
	uint32_t shared_tokens(const Request &r) const
	{
		return r.prefix ? r.prompt_tokens / 2 : 0;
	}

	/* The planned policy, as in the controllers of cmd/figbend. */

	void enqueue(RequestPtr r)
	{
		std::string account =
			"a" + std::to_string(r->prompt_tokens % 4);
		Host &h = hosts[r->host];

		r->item.cost_tokens = r->prompt_tokens + OUTPUT_MAX;
		r->item.deadline_us = r->deadline_us;
		r->item.owner = r.get();
		queued[&r->item] = r;
		fairq_push(&h.queue, account.c_str(), 1, &r->item);
		dispatch(r->host);
	}

	void reject(RequestPtr r)
	{
		out.rejected += r->measured;
	}

	enum plan_outcome choose_pair(Request &r, struct plan_pair *pair)
	{
		Host &h = hosts[r.host];
		struct plan_prefill_candidate p[PREFILLS] = {};
		struct plan_decode_candidate d[DECODES] = {};
		struct plan_request request = {r.prompt_tokens, r.deadline_us,
					       STEP_BASE_US, false};

		for (int i = 0; i < PREFILLS; i++) {
			struct admit_endpoint &e = h.view.endpoint[i];

			p[i].estimator = &h.estimator[i];
			p[i].queued_tokens = e.queued_tokens;
			p[i].has_capacity = admit_has_capacity(&e, r.pieces);
			p[i].affinity = plan_affinity(r.prefix, e.name);
			if (r.prefix &&
			    plan_prefix_index_cached_tokens(
				    &h.prefix_index, e.name, &r.prefix, 1))
				p[i].cached_tokens = shared_tokens(r);
		}
		for (int i = 0; i < DECODES; i++) {
			struct admit_endpoint &e =
				h.view.endpoint[PREFILLS + i];

			d[i] = {e.slots_used, e.slots,
				admit_has_capacity(&e, r.pieces)};
		}
		return plan_choose(&request, p, PREFILLS, d, DECODES, now_us,
				   pair);
	}

	/* Returns false if the request has to wait for capacity. */
	bool try_start(RequestPtr r)
	{
		Host &h = hosts[r->host];
		struct plan_pair pair = {};

		switch (choose_pair(*r, &pair)) {
		case PLAN_REJECT:
			reject(r);
			return true;
		case PLAN_WAIT:
			return false;
		case PLAN_CHOSEN:
			break;
		}
		r->prefill = pair.prefill_index;
		r->decode = pair.decode_index;
		r->prefill_tokens = pair.prefill_tokens;
		uint32_t max = pair.queue_max_tokens;
		admit_view_reserve(&h.view.endpoint[PREFILLS + r->decode],
				   r->pieces);
		schedule(NETWORK_DELAY_US, [=] { reserve_decode(r, max); });
		return true;
	}

	void dispatch(int host)
	{
		Host &h = hosts[host];

		while (!h.waiting.empty()) {
			RequestPtr r = h.waiting.front();

			if (!try_start(r))
				return;
			h.waiting.pop_front();
		}
		while (struct fairq_item *i = fairq_peek(&h.queue)) {
			RequestPtr r = queued[i];

			if (!try_start(r))
				return;
			queued.erase(i);
			fairq_pop(&h.queue);
		}
	}

	void tick(int host)
	{
		admit_tick(&hosts[host].view, now_us);
		dispatch(host);
		if (now_us < end_us + 10 * S)
			schedule(20 * MS, [=] { tick(host); });
	}

	enum admit_outcome request_grant(const RequestPtr &r, int endpoint,
					 uint32_t tokens, uint32_t max)
	{
		struct admit_endpoint *e = &owner.endpoint[endpoint];
		struct admit_request request = {r->id.c_str(), r->serial,
						r->pieces, tokens, max};
		enum admit_outcome o = admit_grant(&owner, e, &request, now_us);

		if (o == ADMIT_FULL || !admit_alloc_slots_free(e->alloc))
			admit_alloc_add_waiter(e->alloc,
					       std::to_string(r->host).c_str());
		r->queued_tokens = admit_alloc_queued_tokens(e->alloc) - tokens;
		send_view(r->host, endpoint);
		return o;
	}

	/* The owner sends the free capacity along with each reply. */
	void send_view(int host, int endpoint)
	{
		struct admit_allocator *a = owner.endpoint[endpoint].alloc;
		uint32_t slots = admit_alloc_slots_free(a);
		uint32_t pieces = admit_alloc_pieces_free(a);
		uint32_t tokens = admit_alloc_queued_tokens(a);

		schedule(NETWORK_DELAY_US, [=] {
			admit_view_update(&hosts[host].view.endpoint[endpoint],
					  slots, pieces, tokens, false, now_us);
		});
	}

	void release(const RequestPtr &r, int endpoint, enum admit_end end)
	{
		uint32_t serial = r->serial;
		std::string id = r->id;
		int host = r->host;

		schedule(NETWORK_DELAY_US, [=] {
			admit_alloc_release(owner.endpoint[endpoint].alloc,
					    id.c_str(), serial, end, now_us);
			send_view(host, endpoint);
			schedule(NETWORK_DELAY_US, [=] { dispatch(host); });
			notify_waiters(endpoint);
		});
	}

	void notify_waiters(int endpoint)
	{
		char names[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES];
		uint32_t n = admit_alloc_pop_waiters(
			owner.endpoint[endpoint].alloc, names);

		for (uint32_t i = 0; i < n; i++) {
			int host = atoi(names[i]);

			send_view(host, endpoint);
			schedule(NETWORK_DELAY_US, [=] { dispatch(host); });
		}
	}

	void reserve_decode(RequestPtr r, uint32_t max)
	{
		bool granted = request_grant(r, PREFILLS + r->decode, 0, 0) ==
			       ADMIT_GRANTED;

		schedule(NETWORK_DELAY_US, [=] {
			if (granted)
				schedule(NETWORK_DELAY_US,
					 [=] { reserve_prefill(r, max); });
			else
				requeue(r);
		});
	}

	void reserve_prefill(RequestPtr r, uint32_t max)
	{
		bool granted = request_grant(r, r->prefill, r->prefill_tokens,
					     max) == ADMIT_GRANTED;

		schedule(NETWORK_DELAY_US, [=] {
			if (granted) {
				send_prefill(r);
				return;
			}
			release(r, PREFILLS + r->decode, ADMIT_END_UNUSED);
			requeue(r);
		});
	}

	void requeue(RequestPtr r)
	{
		r->serial++;
		hosts[r->host].waiting.push_back(r);
	}

	void observe_prefill(const RequestPtr &r)
	{
		Host &h = hosts[r->host];

		plan_estimator_observe_prefill(&h.estimator[r->prefill],
					       r->queued_tokens +
						       r->prefill_tokens,
					       now_us - r->prefill_sent_us);
		if (r->prefix)
			plan_prefix_index_add(&h.prefix_index,
					      endpoints[r->prefill].name,
					      r->prefix);
	}

	/* Cache events reach all hosts late, and one in ten is lost. */
	void publish_cache_event(int engine, uint64_t prefix, bool evicted)
	{
		for (int h = 0; h < HOSTS; h++) {
			if (loss_random() % 10 == 0)
				continue;
			schedule(CACHE_EVENT_DELAY_US + NETWORK_DELAY_US, [=] {
				auto f = evicted ? plan_prefix_index_remove
						 : plan_prefix_index_add;
				f(&hosts[h].prefix_index,
				  endpoints[engine].name, prefix);
			});
		}
	}

	void report_loads()
	{
		for (uint32_t i = 0; i < owner.n; i++)
			report_load(i);
		if (now_us < end_us + 10 * S)
			schedule(S, [this] { report_loads(); });
	}

	/*
	 * Reports the engine's present state, without a lag. Ids are truncated
	 * to ADMIT_RUN_BYTES - 1 characters.
	 */
	void report_load(uint32_t i)
	{
		struct admit_report report = {};
		std::vector<std::string> ids;

		if (i < PREFILLS)
			for (auto &r : prefills[i].queue)
				ids.push_back(r->id);
		else
			for (auto &r : decodes[i - PREFILLS].batch)
				ids.push_back(r->id);
		std::vector<char> names(ADMIT_RUN_BYTES * (ids.size() + 1));
		for (auto &id : ids)
			strncpy(&names[ADMIT_RUN_BYTES * report.running_n++],
				id.c_str(), ADMIT_RUN_BYTES - 1);
		report.queried_us = now_us;
		report.boot = 1;
		report.slots_used = report.running_n;
		report.running =
			reinterpret_cast<const char(*)[ADMIT_RUN_BYTES]>(
				names.data());
		admit_alloc_apply_report(owner.endpoint[i].alloc, &report,
					 now_us);
	}

	/* The baselines: no reservation, requests queue at the prefill engine. */

	void start_unreserved(RequestPtr r)
	{
		r->attempts++;
		r->prefill = hosts[r->host].next_engine++ % PREFILLS;
		if (policy == Policy::LEAST_LOADED)
			for (int i = 0; i < PREFILLS; i++)
				if (prefills[i].queued_tokens <
				    prefills[r->prefill].queued_tokens)
					r->prefill = i;
		send_prefill(r);
	}

	void choose_decode(RequestPtr r)
	{
		r->decode = hosts[r->host].next_engine++ % DECODES;
		if (policy == Policy::LEAST_LOADED)
			for (int i = 0; i < DECODES; i++)
				if (decodes[i].slots_used <
				    decodes[r->decode].slots_used)
					r->decode = i;
	}

	/* Starts over after a KV result expired, unless it is too late. */
	void retry(RequestPtr r)
	{
		if (r->attempts < 4 && now_us < r->deadline_us)
			start_unreserved(r);
	}

	/* The engines. */

	void send_prefill(RequestPtr r)
	{
		r->prefill_sent_us = now_us;
		schedule(NETWORK_DELAY_US, [=] {
			PrefillEngine &p = prefills[r->prefill];

			p.queue.push_back(r);
			p.queued_tokens += r->prompt_tokens;
			start_prefill(r->prefill);
		});
	}

	void start_prefill(int i)
	{
		PrefillEngine &p = prefills[i];

		if (p.busy || p.queue.empty())
			return;
		RequestPtr r = p.queue.front();
		uint32_t prefill_tokens = r->prompt_tokens - use_cache(i, *r);
		p.busy = true;
		schedule(PREFILL_BASE_US + prefill_tokens * PREFILL_TOKEN_US,
			 [=] { on_prefilled(i, r); });
	}

	uint32_t use_cache(int i, const Request &r)
	{
		std::list<uint64_t> &c = prefills[i].cache;

		for (auto k = c.begin(); k != c.end(); k++)
			if (*k == r.prefix) {
				c.splice(c.begin(), c, k);
				return shared_tokens(r);
			}
		return 0;
	}

	void fill_cache(int i, const Request &r)
	{
		std::list<uint64_t> &c = prefills[i].cache;

		if (!r.prefix || use_cache(i, r))
			return;
		c.push_front(r.prefix);
		publish_cache_event(i, r.prefix, false);
		if (c.size() <= CACHED_PREFIXES)
			return;
		publish_cache_event(i, c.back(), true);
		c.pop_back();
	}

	void on_prefilled(int i, RequestPtr r)
	{
		PrefillEngine &p = prefills[i];

		p.busy = false;
		p.queue.pop_front();
		p.queued_tokens -= r->prompt_tokens;
		out.prefills++;
		fill_cache(i, *r);
		r->kv_expiry_us = now_us + KV_TTL_US;
		start_prefill(i);
		schedule(NETWORK_DELAY_US, [=] {
			if (policy == Policy::PLANNED)
				observe_prefill(r);
			else
				choose_decode(r);
			schedule(NETWORK_DELAY_US, [=] { start_transfer(r); });
		});
	}

	/* The decode engine imports the KV result. */
	void start_transfer(RequestPtr r)
	{
		DecodeEngine &d = decodes[r->decode];
		PrefillEngine &p = prefills[r->prefill];

		if (now_us > r->kv_expiry_us) {
			out.wasted++;
			if (policy == Policy::PLANNED)
				release(r, PREFILLS + r->decode,
					ADMIT_END_UNUSED);
			retry(r);
			return;
		}
		if (d.slots_used >= SLOTS ||
		    d.pieces_used + r->pieces > PIECES) {
			out.over_capacity += policy == Policy::PLANNED;
			schedule(2 * NETWORK_DELAY_US + 5 * MS, [=] {
				if (policy != Policy::PLANNED)
					choose_decode(r);
				start_transfer(r);
			});
			return;
		}
		d.slots_used++;
		d.pieces_used += r->pieces;
		r->transfer_start_us = now_us;
		if (p.link_free_at_us < now_us)
			p.link_free_at_us = now_us;
		p.link_free_at_us += r->prompt_tokens * TRANSFER_TOKEN_US;
		schedule(p.link_free_at_us - now_us,
			 [=] { on_transferred(r); });
	}

	void on_transferred(RequestPtr r)
	{
		if (policy == Policy::PLANNED) {
			release(r, r->prefill, ADMIT_END_COMPLETE);
			plan_estimator_observe_transfer(
				&hosts[r->host].estimator[r->prefill],
				r->prompt_tokens,
				now_us - r->transfer_start_us);
		}
		schedule(2 * NETWORK_DELAY_US, [=] {
			decodes[r->decode].batch.push_back(r);
			start_step(r->decode);
		});
	}

	void start_step(int i)
	{
		DecodeEngine &d = decodes[i];

		if (d.stepping || d.batch.empty())
			return;
		d.stepping = true;
		schedule(STEP_BASE_US + d.batch.size() * STEP_REQUEST_US,
			 [=] { on_step(i); });
	}

	void on_step(int i)
	{
		DecodeEngine &d = decodes[i];
		std::vector<RequestPtr> batch;

		d.stepping = false;
		batch.swap(d.batch);
		for (auto &r : batch) {
			r->last_token_us = now_us + NETWORK_DELAY_US;
			if (!r->generated_tokens++)
				r->first_token_us = r->last_token_us;
			if (r->generated_tokens < r->output_tokens)
				d.batch.push_back(r);
			else
				on_finished(r);
		}
		start_step(i);
	}

	void on_finished(RequestPtr r)
	{
		DecodeEngine &d = decodes[r->decode];
		int64_t gap_us = (r->last_token_us - r->first_token_us) /
				 (r->generated_tokens - 1);

		d.slots_used--;
		d.pieces_used -= r->pieces;
		out.finished += r->measured;
		if (r->measured && r->first_token_us <= r->deadline_us &&
		    gap_us <= TOKEN_GAP_TARGET_US)
			out.in_time++;
		if (policy == Policy::PLANNED)
			release(r, PREFILLS + r->decode, ADMIT_END_COMPLETE);
	}

	Outcome run()
	{
		while (!events.empty()) {
			Event e = events.top();

			events.pop();
			now_us = e.at_us;
			e.action();
		}
		out.seconds = (end_us - WARMUP_US) / 1e6;
		return out;
	}
};

/* Simulates arrivals at percent of the decode engines' capacity. */
inline Outcome simulate(Policy p, int percent, uint64_t seed,
			int64_t duration_us)
{
	Simulation s(p, percent, seed, duration_us);

	return s.run();
}

} // namespace goodput

#endif
