#ifndef FIGBEND_SIM_NETWORK_H
#define FIGBEND_SIM_NETWORK_H

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

/*
 * Discrete-event simulation of a network between numbered nodes, with a virtual
 * clock. Messages are lost, duplicated, delayed and thereby reordered. Groups
 * of nodes can be partitioned from each other. Messages to a paused node wait
 * until it resumes. The same seed gives the same history.
 */
struct SimNetwork {
	struct Faults {
		double loss = 0, duplication = 0;
		int64_t delay_min_us = 300, delay_max_us = 1500;
		double late = 0; /* share of messages that take late_us more */
		int64_t late_us = 0;
	};
	using Action = std::function<void()>;

	explicit SimNetwork(uint64_t seed) : random(seed)
	{
	}

	int64_t now_us = 0;
	std::mt19937_64 random;
	Faults faults;
	uint64_t sent = 0; /* messages, lost ones included */

	void at(int64_t when_us, Action a)
	{
		queue_.push({when_us, order_++, std::move(a)});
	}

	void run(int64_t until_us)
	{
		while (!queue_.empty() && queue_.top().when_us <= until_us) {
			Item i = queue_.top();

			queue_.pop();
			now_us = i.when_us;
			i.action();
		}
		now_us = until_us;
	}

	int64_t uniform(int64_t low, int64_t high)
	{
		return std::uniform_int_distribution<int64_t>(low,
							      high)(random);
	}

	bool chance(double p)
	{
		return std::uniform_real_distribution<>(0, 1)(random) < p;
	}

	/* Starts or ends a partition between two groups. */
	void partition(int a, int b, bool on)
	{
		auto pair = std::minmax(a, b);

		if (on)
			partitions_.insert(pair);
		else
			partitions_.erase(pair);
	}

	void pause(int node, int64_t until_us)
	{
		add_node(node);
		paused_until_[node] = until_us;
	}

	bool paused(int node)
	{
		add_node(node);
		return paused_until_[node] > now_us;
	}

	/* Sends a message to node `to`, from a node of from_group. */
	void send(int from_group, int to_group, int to, Action deliver)
	{
		sent++;
		if (partitions_.count(std::minmax(from_group, to_group)) ||
		    chance(faults.loss))
			return;
		if (chance(faults.duplication))
			schedule(to, deliver);
		schedule(to, std::move(deliver));
	}

      private:
	struct Item {
		int64_t when_us;
		uint64_t order;
		Action action;

		bool operator<(const Item &o) const
		{
			return std::tie(o.when_us, o.order) <
			       std::tie(when_us, order);
		}
	};

	void add_node(int node)
	{
		if (paused_until_.size() <= (size_t)node)
			paused_until_.resize(node + 1);
	}

	void schedule(int to, Action deliver)
	{
		int64_t delay =
			uniform(faults.delay_min_us, faults.delay_max_us);

		if (chance(faults.late))
			delay += faults.late_us;
		at(now_us + delay, [this, to, deliver = std::move(deliver)] {
			deliver_to(to, deliver);
		});
	}

	void deliver_to(int to, const Action &deliver)
	{
		if (paused(to))
			at(paused_until_[to],
			   [this, to, deliver] { deliver_to(to, deliver); });
		else
			deliver();
	}

	std::priority_queue<Item> queue_;
	uint64_t order_ = 0;
	std::set<std::pair<int, int>> partitions_;
	std::vector<int64_t> paused_until_;
};

#endif
