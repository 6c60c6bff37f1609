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
 * A virtual clock and a network between numbered nodes: messages are delayed
 * and so reordered, lost, doubled, cut off between groups of nodes, and wait
 * while their receiver is paused. One seed gives one history.
 */
struct FakeLink {
	struct Faults {
		double loss = 0, twice = 0;
		int64_t delay_min_us = 300, delay_max_us = 1500;
		double late = 0; /* share that takes late_us more */
		int64_t late_us = 0;
	};
	using Action = std::function<void()>;

	explicit FakeLink(uint64_t seed) : random(seed)
	{
	}

	int64_t now_us = 0;
	std::mt19937_64 random;
	Faults faults;
	uint64_t sent = 0;

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

	int64_t number(int64_t low, int64_t high)
	{
		return std::uniform_int_distribution<int64_t>(low,
							      high)(random);
	}

	bool chance(double p)
	{
		return std::uniform_real_distribution<>(0, 1)(random) < p;
	}

	void cut(int a, int b, bool on)
	{
		auto pair = std::minmax(a, b);

		if (on)
			cuts_.insert(pair);
		else
			cuts_.erase(pair);
	}

	void pause(int node, int64_t until_us)
	{
		grow(node);
		paused_until_[node] = until_us;
	}

	bool paused(int node)
	{
		grow(node);
		return paused_until_[node] > now_us;
	}

	/* Groups are what can be cut off from each other. */
	void send(int from_group, int to_group, int to, Action deliver)
	{
		sent++;
		if (cuts_.count(std::minmax(from_group, to_group)) ||
		    chance(faults.loss))
			return;
		if (chance(faults.twice))
			arrive(to, deliver);
		arrive(to, std::move(deliver));
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

	void grow(int node)
	{
		if (paused_until_.size() <= (size_t)node)
			paused_until_.resize(node + 1);
	}

	void arrive(int to, Action deliver)
	{
		int64_t delay =
			number(faults.delay_min_us, faults.delay_max_us);

		if (chance(faults.late))
			delay += faults.late_us;
		at(now_us + delay, [this, to, deliver = std::move(deliver)] {
			handle(to, deliver);
		});
	}

	void handle(int to, const Action &deliver)
	{
		if (paused(to))
			at(paused_until_[to],
			   [this, to, deliver] { handle(to, deliver); });
		else
			deliver();
	}

	std::priority_queue<Item> queue_;
	uint64_t order_ = 0;
	std::set<std::pair<int, int>> cuts_;
	std::vector<int64_t> paused_until_;
};

#endif
