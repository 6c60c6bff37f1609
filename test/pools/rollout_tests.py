"""Tests of rollouts, for pools_test.py: real processes and short orders."""

import asyncio
import json
import signal
import time

__all__ = ["test_completes_a_rollout_of_a_good_version",
           "test_completes_a_rollout_of_model_engines",
           "test_rolls_a_version_back_that_fails",
           "test_rolls_a_version_back_that_is_slow",
           "test_does_not_hold_back_the_only_version",
           "test_ignores_an_order_that_it_cannot_follow",
           "test_another_host_writes_once_the_writer_is_killed",
           "test_writes_the_state_once_the_store_is_back",
           "test_writes_the_state_again_after_a_restore",
           "test_a_host_that_wakes_follows_the_state_in_the_store",
           "test_a_host_that_starts_knows_the_state",
           "test_writes_a_state_again_that_was_refused",
           "test_follows_a_final_state_that_came_before_its_own",
           "test_a_late_response_to_a_write_is_not_for_the_next_order",
           "test_a_rolled_back_version_gets_nothing_under_the_next_order"]

DURATION_S = 7


async def start_rollout(d, version_kind="plain", settings=None):
    """Two old endpoints of the service and hosts with rollouts on."""
    d.publish_config()
    for h in d.hosts:
        h.change_settings(**(settings or {
            "rollout_share": 0.1, "rollout_slack": 50,
            "rollout_stop_ms": 4000}))
    await add_version(d, "v1", version_kind)
    await d.start()
    await d.wait_ready()
    # The old version counts as established after 2 s.
    await asyncio.sleep(2.2)


async def add_version(d, version, kind="plain", **more):
    if kind == "plain":
        return [await d.add_endpoint("plain", zone, version=version, **more)
                for zone in ("a", "b")]
    return [await d.add_endpoint("model", zone, stage, version=version, **more)
            for zone, stage in (("a", "prefill"), ("a", "decode"),
                                ("b", "decode"))]


def order(d, to, service="plain", duration_s=DURATION_S):
    d.store.put_json("keyed.op", f"rollout/{service}", {
        "Service": service, "To": to, "DurationS": duration_s})
    return time.monotonic()


def states(d, service="plain"):
    """Returns the records of the state, the oldest first."""
    return [json.loads(value) for key, value, _ in
            list(d.store.streams.get("keyed.status", []))
            if key == f"rollout/{service}"]


def final(d, service="plain"):
    rows = [s["State"] for s in states(d, service)]
    return [s for s in rows if s != "running"]


class Traffic:
    """Requests at a steady rate, by turns to the hosts that run."""

    def __init__(self, d, route="idempotent", per_s=80, others=None, **more):
        """others: a host that gets none."""
        self.d, self.route, self.per_s, self.more = d, route, per_s, more
        self.left_out = others
        self.sent, self.status, self.tasks = 0, [], set()
        self.end = False
        self.task = asyncio.ensure_future(self.run())

    async def one(self, host):
        try:
            _, r = await self.d.request(self.route, host=host, **self.more)
            self.status.append(r.status if r.complete else 0)
        except (OSError, asyncio.TimeoutError):
            self.status.append(-1)

    async def run(self):
        start = time.monotonic()
        while not self.end:
            hosts = [i for i, h in enumerate(self.d.hosts)
                     if h.process.returncode is None and i != self.left_out]
            task = asyncio.ensure_future(
                self.one(hosts[self.sent % len(hosts)]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            self.sent += 1
            await asyncio.sleep(max(
                0, start + self.sent / self.per_s - time.monotonic()))

    async def stop(self):
        self.end = True
        await self.task
        if self.tasks:
            await asyncio.wait(self.tasks)


async def until(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "not within the time"
        await asyncio.sleep(0.05)


def received(endpoints):
    return sum(len(e.received) for e in endpoints)


async def test_completes_a_rollout_of_a_good_version(d):
    """Guards against a good version that is not in use by the deadline, and
    against a state that operators read without its progress."""
    await start_rollout(d)
    old = list(d.endpoints)
    new = await add_version(d, "v2")
    # The order may arrive later than the entries.
    traffic = Traffic(d)
    await asyncio.sleep(0.5)
    assert received(new) == 0, "the version was not held back"
    ordered = order(d, "v2")
    base = traffic.sent
    await asyncio.sleep(0.6 * DURATION_S)
    share = received(new) / (traffic.sent - base)
    assert 0 < share < 0.12, share
    await until(lambda: final(d), DURATION_S)
    assert time.monotonic() - ordered < DURATION_S
    assert final(d) == ["completed"], states(d)
    assert states(d)[0] == {"State": "running", "To": "v2"}, states(d)
    rows = [k for k, _, _ in d.store.streams["keyed.status"]]
    for i, key in enumerate(rows):
        if key == "rollout/plain":
            assert rows[i + 1] == "rollout-progress/plain"
    await asyncio.sleep(0.3)
    n = received(old)
    await asyncio.sleep(1)
    assert received(old) == n, "requests at old endpoints after the end"
    await traffic.stop()
    assert set(traffic.status) == {200}, traffic.status


async def test_completes_a_rollout_of_model_engines(d):
    """Guards against a prefill at one version and a decode at the other."""
    await start_rollout(d, "model")
    new = await add_version(d, "v2", "model")
    order(d, "v2", "model")
    traffic = Traffic(d, "resumable", per_s=40, tokens=(200, 40))
    await until(lambda: final(d, "model"), DURATION_S + 1)
    await traffic.stop()
    assert final(d, "model") == ["completed"], states(d, "model")
    assert set(traffic.status) == {200}, traffic.status
    prefills = {e.addr: e.version for e in d.endpoints if e.stage == "prefill"}
    mixed = imported = 0
    for e in d.endpoints:
        for _, headers, _, _, _ in e.received:
            if "kv-source" not in headers:
                continue
            imported += 1
            addr = headers["kv-source"].split("/")[0]
            mixed += prefills[addr] != e.version
    assert imported > 50 and mixed == 0, (imported, mixed)
    assert received(new) > 0


async def expect_rollback(d, new, traffic):
    await until(lambda: final(d), DURATION_S)
    assert final(d) == ["rolled_back"], states(d)
    await asyncio.sleep(0.5)
    n = received(new)
    assert n <= 0.1 * traffic.sent + 50, (n, traffic.sent)
    await asyncio.sleep(1.5)
    assert received(new) == n, "requests at the version that was rolled back"


async def test_rolls_a_version_back_that_fails(d):
    """Guards against a version that gets requests although it fails them."""
    await start_rollout(d)
    new = await add_version(d, "v2")
    for e in new:
        e.fault = "error"
    order(d, "v2")
    traffic = Traffic(d)
    await expect_rollback(d, new, traffic)
    assert "cause=failures" in "".join(h.log() for h in d.hosts)
    await asyncio.sleep(DURATION_S - 3)
    assert final(d) == ["rolled_back"], states(d)
    await traffic.stop()


async def test_rolls_a_version_back_that_is_slow(d):
    await start_rollout(d)
    new = await add_version(d, "v2", work_s=0.08)
    order(d, "v2")
    traffic = Traffic(d)
    await expect_rollback(d, new, traffic)
    await traffic.stop()
    assert set(traffic.status) == {200}, traffic.status


async def test_does_not_hold_back_the_only_version(d):
    """Guards against 2 s without service when a release replaces all endpoints
    of a service without an order."""
    await start_rollout(d)
    old = list(d.endpoints)
    await add_version(d, "v2")
    for e in old:
        d.store.put("keyed.servers", e.name, None)
    await asyncio.sleep(0.3)
    for host in (0, 1):
        assert (await d.request("idempotent", host=host))[1].status == 200


async def test_ignores_an_order_that_it_cannot_follow(d):
    """Guards against a bad order that stops requests or that a state answers."""
    await start_rollout(d)
    new = await add_version(d, "v2")
    await asyncio.sleep(2.2)  # held back without an order
    d.store.put("keyed.op", "rollout/plain", b'{"Service":"plain","To":')
    d.store.put_json("keyed.op", "rollout/plain", {
        "Service": "plain", "To": "v2", "DurationS": 0})
    order(d, "v2", "nowhere")
    traffic = Traffic(d)
    await asyncio.sleep(1.5)
    await traffic.stop()
    assert set(traffic.status) == {200}, traffic.status
    assert received(new) > 0.2 * traffic.sent, received(new)
    assert not states(d) and not states(d, "nowhere")
    for h in d.hosts:
        assert h.log().count("event=rollout_rejected ") == 3, h.log()


def writers(d):
    return [i for i, s in enumerate(d.host_stores)
            if any(status == 200 and "rollout/plain" in keys
                   for _, status, keys in s.appends)]


async def test_another_host_writes_once_the_writer_is_killed(d):
    """Guards against a duty that ends with the host that had it."""
    await start_rollout(d)
    await add_version(d, "v2")
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: writers(d), 3)
    first = writers(d)[0]
    await asyncio.sleep(1)
    await d.hosts[first].kill()
    await until(lambda: final(d), DURATION_S)
    await traffic.stop()
    assert final(d) == ["completed"], states(d)
    assert len(writers(d)) > 1, writers(d)


test_another_host_writes_once_the_writer_is_killed.hosts = 3


async def test_writes_the_state_once_the_store_is_back(d):
    """Guards against a bad version that gets requests while the store is away,
    and against a final state that is never written."""
    await start_rollout(d)
    new = await add_version(d, "v2")
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: received(new) > 2, 3)
    for s in d.host_stores:
        s.mode = "refuse"
        for w in list(s.writers):
            w.transport.abort()
    for e in new:
        e.fault = "error"
    await asyncio.sleep(4)
    n = received(new)
    await asyncio.sleep(2)
    assert received(new) == n, "a bad version got requests without the store"
    assert not final(d)
    for s in d.host_stores:
        s.mode = "ok"
    await until(lambda: final(d), 5)
    await traffic.stop()
    assert final(d) == ["rolled_back"], states(d)


async def test_writes_the_state_again_after_a_restore(d):
    """Guards against a final state that is lost with the store's records, and
    against an order that starts anew since operators write it again."""
    d.store.era = 1
    await start_rollout(d)
    new = await add_version(d, "v2")
    copy = d.store.copy()
    for e in new:
        e.fault = "error"
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: final(d), DURATION_S)
    await asyncio.sleep(0.5)
    n = received(new)
    d.store.restore(copy, d.host_stores)
    assert not states(d)
    for e in d.endpoints:
        d.store.put_json("keyed.servers", e.name, e.entry())
    order(d, "v2")
    await until(lambda: final(d), 8)
    await asyncio.sleep(1)
    await traffic.stop()
    assert [s["State"] for s in states(d)] == ["rolled_back"], states(d)
    assert received(new) == n, "the rollout began again"


async def test_a_host_that_wakes_follows_the_state_in_the_store(d):
    """Guards against a second final state, by a host that slept through the
    first one and whose copy of the topic is old."""
    await start_rollout(d)
    new = await add_version(d, "v2")
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: writers(d), 3)
    sleeper = writers(d)[0]
    d.hosts[sleeper].signal(signal.SIGSTOP)
    await traffic.stop()
    for e in new:
        e.fault = "error"
    traffic = Traffic(d, others=sleeper)
    await until(lambda: final(d), DURATION_S)
    await asyncio.sleep(max(0, DURATION_S - 3))
    d.hosts[sleeper].signal(signal.SIGCONT)
    await asyncio.sleep(1)
    n = received(new)
    for _ in range(60):
        await d.request("idempotent", host=sleeper)
    await asyncio.sleep(1)
    await traffic.stop()
    assert final(d) == ["rolled_back"], states(d)
    assert received(new) == n, "the host that woke did not follow the state"


test_a_host_that_wakes_follows_the_state_in_the_store.hosts = 3


async def test_writes_a_state_again_that_was_refused(d):
    """Guards against a state that is lost since a host's record came first."""
    await start_rollout(d)
    await add_version(d, "v2")
    raced = []

    def race(topic, query, body):
        if "At" in query and len(raced) < 3:
            raced.append(query)
            d.store.put(topic, "a/h9", b"127.0.0.1:9")

    d.store.before_append = race
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: final(d), DURATION_S)
    await traffic.stop()
    refused = [status for s in d.host_stores for _, status, _ in s.appends
               if status == 412]
    # Hosts of higher rank write, too, while the first one is refused.
    assert len(refused) >= 3, (refused, raced)
    assert final(d) == ["completed"], states(d)


async def test_follows_a_final_state_that_came_before_its_own(d):
    """Guards against two final states, if another host judged otherwise and was
    faster."""
    await start_rollout(d)
    new = await add_version(d, "v2")
    raced = []

    def race(topic, query, body):
        if raced or b'"State":"completed"' not in body:
            return
        raced.append(query)
        rows = {key: value for key, value, _ in d.store.streams[topic]}
        progress = json.loads(rows["rollout-progress/plain"])
        d.store.put_json(topic, "rollout/plain",
                         {"State": "rolled_back", "To": "v2"})
        d.store.put_json(topic, "rollout-progress/plain",
                         {**progress, "Stage": "rolled_back"})

    d.store.before_append = race
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: final(d), DURATION_S)
    await asyncio.sleep(0.3)
    n = received(new)
    await asyncio.sleep(2)
    await traffic.stop()
    assert final(d) == ["rolled_back"], states(d)
    assert received(new) == n, "requests at a version that was rolled back"


async def test_a_host_that_starts_knows_the_state(d):
    """Guards against requests at a version that was rolled back, by a host that
    has just started and read endpoints before the order and the state."""
    await start_rollout(d)
    new = await add_version(d, "v2")
    for e in new:
        e.fault = "error"
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: final(d), DURATION_S)
    await traffic.stop()
    # Further records, so that the order is not on the first page.
    for i in range(12):
        d.store.put_json("keyed.op", f"other/{i}", {})
        d.store.put("keyed.status", f"a/x{i}", b"127.0.0.1:9")
    await asyncio.sleep(0.5)
    n = received(new)
    for _ in range(3):
        await d.hosts[1].kill()
        await d.hosts[1].start()
        await d.wait_ready()
        for _ in range(15):
            assert (await d.request("idempotent", host=1))[1].status == 200
    assert received(new) == n, received(new) - n


async def test_a_rolled_back_version_gets_nothing_under_the_next_order(d):
    """Guards against a version that was rolled back and counts as the present one
    once a further version is ordered, while its endpoints have not drained yet."""
    await start_rollout(d)
    bad = await add_version(d, "v2")
    for e in bad:
        e.fault = "error"
    order(d, "v2")
    traffic = Traffic(d)
    await until(lambda: final(d), DURATION_S)
    await asyncio.sleep(1)
    before = [len(e.executed) for e in bad]
    await add_version(d, "v3")
    order(d, "v3")
    await until(lambda: len(final(d)) > 1, DURATION_S + 1)
    await traffic.stop()
    assert states(d)[-1] == {"State": "completed", "To": "v3"}, states(d)
    assert [len(e.executed) for e in bad] == before


async def test_a_late_response_to_a_write_is_not_for_the_next_order(d):
    """Guards against an order that takes over the final state of the order
    before it, as the response to that write comes after the new order."""
    await start_rollout(d)
    bad = await add_version(d, "v2")
    for e in bad:
        e.fault = "error"
    order(d, "v2")
    traffic = Traffic(d)

    def slow_down(topic, query, body):
        if b'"State":"rolled_back"' in body:
            d.store.append_delay_s = 0.8

    d.store.before_append = slow_down
    await until(lambda: final(d), DURATION_S)
    for e in bad:
        d.store.put("keyed.servers", e.name, None)
    await add_version(d, "v3")
    order(d, "v3")
    await asyncio.sleep(1.2)
    d.store.before_append, d.store.append_delay_s = None, 0
    logs = "".join(h.log() for h in d.hosts)
    assert "event=rollout_stage service=plain to=v3 stage=rolled" not in logs
    await until(lambda: len(final(d)) > 1, DURATION_S)
    await traffic.stop()
    assert states(d)[-1] == {"State": "completed", "To": "v3"}, states(d)
