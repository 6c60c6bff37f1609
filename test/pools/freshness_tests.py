"""Tests of what hosts know of the store when the hosts that read it are lost."""

import asyncio
import signal
import time

APPLY_S = 2  # config_apply_ms and drain_timeout_ms
CALM_S = 5  # until hosts leave the reading to others
OLD_KEY = "key-two"


async def find_readers(d, n):
    """Waits until n hosts hold reads of the store open, and the others do not: at the
    start of all, more may read for some seconds. Returns their indexes."""
    for _ in range(8):
        reads = [0] * len(d.hosts)
        for _ in range(20):
            await asyncio.sleep(0.1)
            for i, s in enumerate(d.host_stores):
                reads[i] += s.open_reads.get("keyed.op", 0) > 0
        # The first reader has moments without one.
        readers = [i for i, r in enumerate(reads) if r >= 10]
        if len(readers) == n and all(r >= 10 or r <= 1 for r in reads):
            return readers
    raise AssertionError(f"open reads of 20 looks: {reads}")


async def find_passive(d):
    """Returns the index of the host that leaves the store to the other two."""
    readers = await find_readers(d, 2)
    return (set(range(len(d.hosts))) - set(readers)).pop()


async def late_without_readers(d, lose):
    """Loses the hosts that read the store, changes the configuration and lets an
    endpoint leave. Returns how late the others still went by what was before: with the
    key that was withdrawn, by the old service, to the endpoint, in seconds."""
    d.accounts[0]["ApiKeys"] = [d.api_key, OLD_KEY]
    d.routes.append(d.route("moved", "idempotent", "plain", attempts=1))
    d.publish_config()
    old = await d.add_endpoint("plain", "a")
    leaving = await d.add_endpoint("other", "a")
    await d.add_endpoint("other", "b")
    await d.start()
    await d.wait_ready()
    await asyncio.sleep(CALM_S)
    readers = await find_readers(d, 6)
    others = sorted(set(range(len(d.hosts))) - set(readers))
    await lose(d, readers)
    d.accounts[0]["ApiKeys"] = [d.api_key]
    d.routes[-1]["Service"] = "other"
    d.publish_config()
    d.store.put_json("keyed.servers", leaving.name, leaving.entry("draining"))
    start = time.monotonic()
    late = {"key": 0, "service": 0, "endpoint": 0}
    while time.monotonic() - start < 2 * APPLY_S:
        for i in others:
            sent_s = time.monotonic() - start
            if (await d.request("moved", host=i, key=OLD_KEY))[1].status == 200:
                late["key"] = sent_s
            rid, r = await d.request("moved", host=i)
            assert r.status == 200, r.status
            if rid in old.executed:
                late["service"] = sent_s
            if rid in leaving.executed:
                late["endpoint"] = sent_s
        await asyncio.sleep(0.03)
    return late


async def assert_in_time(d, lose):
    late = await late_without_readers(d, lose)
    assert max(late.values()) <= APPLY_S, late


async def kill(d, readers):
    for i in readers:
        d.hosts[i].signal(signal.SIGKILL)


async def freeze(d, readers):
    for i in readers:
        d.hosts[i].signal(signal.SIGSTOP)


async def cut_from_store(d, readers):
    """Their connections go silent; they go on to talk to the other hosts."""
    for i in readers:
        d.host_stores[i].mode = "hang"


async def stop_in_turn(d, readers):
    for i in readers:
        d.hosts[i].signal(signal.SIGTERM)
        await asyncio.sleep(0.4)


# Guards against a host that believes in its readers for longer than a configuration may
# take: withdrawn keys and old routes work there, and calls reach endpoints that left.
async def test_a_host_whose_readers_are_killed_is_in_time(d):
    await assert_in_time(d, kill)


async def test_a_host_whose_readers_are_frozen_is_in_time(d):
    await assert_in_time(d, freeze)


async def test_a_host_whose_readers_are_cut_off_is_in_time(d):
    await assert_in_time(d, cut_from_store)


async def test_a_host_whose_readers_stop_in_turn_is_in_time(d):
    await assert_in_time(d, stop_in_turn)


for test in (test_a_host_whose_readers_are_killed_is_in_time,
             test_a_host_whose_readers_are_frozen_is_in_time,
             test_a_host_whose_readers_are_cut_off_is_in_time,
             test_a_host_whose_readers_stop_in_turn_is_in_time):
    test.hosts, test.domains = 7, ("a", "b", "c")
