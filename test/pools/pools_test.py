#!/usr/bin/env python3
"""Hosts before a platform's pools, as real processes, against stand-ins.

usage: pools_test.py BINARY [NAME...]
"""

import asyncio
import os
import signal
import sys
import tempfile
import time

from deployment import CALLERS, METRICS, Deployment, read_response


async def small(d, hosts=True):
    """Two plain endpoints, a prefill and two decode endpoints."""
    d.configure()
    await d.add("plain", "a")
    await d.add("plain", "b")
    await d.add("model", "a", "prefill")
    await d.add("model", "a", "decode")
    await d.add("model", "b", "decode")
    await d.start()
    await d.until_ready()


def plain(d):
    return [e for e in d.endpoints if e.service == "plain"]


def ran(d, rid):
    return sum(e.ran.count(rid) for e in d.endpoints)


def events(rid, n):
    return b"".join(b"id: %d\ndata: %s %d\n\n" % (i, rid.encode(), i)
                    for i in range(1, n + 1))


async def test_passes_requests_through(d):
    await small(d)
    rid, r = await d.ask("once", body=b"x" * 50000, fields={
        "Tenant": "forged", "Kv-Hold": "forged", "Pin-Ms": "9",
        "Serving-Stage": "prefill", "Request-Priority": "0", "Other": "kept"})
    assert (r.status, r.body) == (200, f"answer to {rid}".encode()), r.status
    assert r.headers["instance-signature"].endswith(rid)
    _, headers, target, body, _ = [s for e in d.endpoints for s in e.seen
                                   if s[0] == rid][0]
    assert (target, body) == ("/once/1?q=2", b"x" * 50000)
    assert headers["tenant"] == "one" and headers["other"] == "kept"
    assert "api-key" not in headers and "kv-hold" not in headers
    assert "pin-ms" not in headers and "serving-stage" not in headers
    assert 0 < int(headers["deadline-ms"]) <= 5000
    assert headers["expected-instance"] in ("e0", "e1")
    rid, r = await d.ask("stream", tokens=(3000, 80))
    assert r.status == 200 and r.whole and r.body == events(rid, 10)


async def test_refuses_unknown_keys_and_routes(d):
    await small(d)
    assert (await d.ask("once", key="other"))[1].status == 401
    assert (await d.ask("nowhere"))[1].status == 404


async def test_answers_503_without_a_configuration(d):
    await d.start()
    await asyncio.sleep(0.3)
    rid, r = await d.ask("once")
    assert r.status == 503 and float(r.headers["retry-after"]) > 0
    assert await d.ready(d.hosts[0]) == 503


async def test_does_not_repeat_a_call_that_may_have_run(d):
    await small(d)
    for fault in ("reset", "cut", "nosign"):
        for e in plain(d):
            e.faults = [fault]
        rid, r = await d.ask("once")
        for e in plain(d):
            e.faults = []
        assert r.status == 502, (fault, r.status)
        assert ran(d, rid) == 1, fault


async def test_repeats_a_call_that_surely_did_not_run(d):
    await small(d)
    plain(d)[0].faults = ["shed"]
    plain(d)[1].faults = ["shed"]
    rid, r = await d.ask("once")
    assert r.status == 200 and ran(d, rid) == 1


async def test_repeats_an_idempotent_call(d):
    await small(d)
    for fault in ("reset", "cut", "nosign", "silent"):
        for e in plain(d):
            e.faults = []
        await asyncio.sleep(0.6)
        plain(d)[0].faults = [fault]
        plain(d)[1].faults = []
        for _ in range(4):
            rid, r = await d.ask("safe")
            assert r.status == 200, (fault, r.status)
            assert r.body == f"answer to {rid}".encode()


async def test_says_504_where_a_call_may_still_run(d):
    """REFUSED, opole trouble-1: its bytes were out when its time was over."""
    await small(d)
    for e in plain(d):
        e.faults = ["silent"]
    rid, r = await d.ask("once", deadline_ms=400)
    assert r.status == 504, r.status


async def test_never_mixes_answers(d):
    await small(d)
    for e in plain(d):
        e.faults = ["foreign", "extra", "foreign", "extra", None, "foreign"]
    for _ in range(16):
        rid, r = await d.ask("once")
        assert r.status == 200 and r.body == f"answer to {rid}".encode()


async def test_resumes_a_stream_after_its_last_whole_event(d):
    await small(d)
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["stop_in_event"]
    rid, r = await d.ask("resume", tokens=(3000, 160))
    assert r.status == 200 and r.whole, (r.status, r.body)
    assert r.body == events(rid, 20)
    first = [e for e in d.endpoints if e.stage == "decode" and rid in e.ran]
    assert len(first) == 2, "it went on elsewhere"


async def test_cuts_a_stream_that_may_not_go_on(d):
    await small(d)
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["stop_in_event"]
    rid, r = await d.ask("stream", tokens=(3000, 160))
    assert r.status == 200 and not r.whole
    assert r.body == events(rid, 3) and ran(d, rid) == 1


async def test_goes_on_when_a_prefill_result_is_gone(d):
    await small(d)
    d.endpoints[2].faults = ["handle_gone"]
    rid, r = await d.ask("stream", tokens=(3000, 80))
    assert r.status == 200 and r.body == events(rid, 10)
    whole = [s for e in d.endpoints[3:] for s in e.seen if s[0] == rid][-1]
    assert whole[1]["kv-fetch"] == d.endpoints[2].addr


async def test_ends_everything_when_the_caller_leaves(d):
    await small(d)
    for route, tokens in (("stream", (3000, 1200)), ("once", None)):
        for e in plain(d):
            e.faults = ["slow"]
        rid, raw = d.request_bytes(route, tokens=tokens)
        reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS)
        writer.write(raw)
        await asyncio.sleep(0.3)
        writer.transport.abort()
        await asyncio.sleep(0.5)
        # The stand-in of a plain service does not watch its connection.
        for e in d.endpoints[2:]:
            assert not e.running and not e.holds and not e.handles, e.name


async def test_gives_nothing_to_an_endpoint_that_leaves(d):
    await small(d)
    e = plain(d)[0]
    d.store.put_json("keyed.servers", e.name, e.entry("draining"))
    await asyncio.sleep(2)
    before = len(e.seen)
    for _ in range(10):
        assert (await d.ask("safe"))[1].status == 200
    assert len(e.seen) == before


async def test_holds_no_unreadable_entry_against_the_others(d):
    await small(d)
    d.store.put("keyed.servers", "e0", b"\xff{not json")
    d.store.put("keyed.servers", "ghost", b'{"Service":"plain"}')
    d.store.put_json("keyed.servers", "forged", {
        "Service": "plain", "Address": "999.1.1.1:1", "Zone": "a",
        "Slots": 6, "State": "ready"})
    await asyncio.sleep(1)
    before = len(d.endpoints[0].seen)
    for _ in range(5):
        assert (await d.ask("once"))[1].status == 200
    assert len(d.endpoints[0].seen) == before


async def test_takes_a_configuration_from_another_host(d):
    await small(d)
    d.ports[0].mode = "refuse"
    await asyncio.sleep(0.5)
    d.routes.append(d.route("added", "idempotent", "plain", 1))
    d.configure()
    await asyncio.sleep(2)
    assert (await d.ask("added"))[1].status == 200


async def test_misses_no_record_while_another_host_is_ahead(d):
    """CONFIG, opole trouble-1: records were numbered from a moved offset."""
    await small(d)
    d.ports[0].delay_s = 0.4
    for n in range(6):
        d.routes.append(d.route(f"added{n}", "idempotent", "plain", 1))
        d.configure()
        await asyncio.sleep(0.15)
    await asyncio.sleep(2)
    for n in range(6):
        assert (await d.ask(f"added{n}"))[1].status == 200, n


async def test_never_goes_back_to_an_older_version(d):
    await small(d)
    d.routes.append(d.route("added", "idempotent", "plain", 1))
    d.configure(10)
    await asyncio.sleep(0.5)
    removed = d.routes.pop()
    d.configure(5)
    await asyncio.sleep(1)
    assert (await d.ask(removed["Name"]))[1].status == 200


async def test_takes_a_new_snapshot_when_history_is_gone(d):
    await small(d)
    d.ports[0].mode = d.ports[1].mode = "down"
    for s in d.ports:
        for w in list(s.writers):
            w.transport.abort()
    d.routes.append(d.route("added", "idempotent", "plain", 1))
    d.configure()
    d.store.put_json("keyed.op", "other", {})
    d.store.forget_history("keyed.op")
    await asyncio.sleep(0.5)
    d.ports[0].mode = d.ports[1].mode = "ok"
    await asyncio.sleep(2.5)
    assert (await d.ask("added"))[1].status == 200


async def test_serves_on_while_the_store_is_away(d):
    await small(d)
    for p in d.ports:
        await p.stop()
    end = time.monotonic() + 4
    while time.monotonic() < end:
        assert (await d.ask("once"))[1].status == 200
        assert await d.ready(d.hosts[0]) == 200
        await asyncio.sleep(0.1)


async def test_serves_on_while_entries_lapse(d):
    await small(d)
    for p in d.ports:
        await p.stop()
    await asyncio.sleep(1)
    for e in d.endpoints:
        d.store.put("keyed.servers", e.name, None)
    for p in d.ports:
        await p.start()
    await asyncio.sleep(0.8)
    for e in d.endpoints:
        d.store.put_json("keyed.servers", e.name, e.entry())
    end = time.monotonic() + 3
    while time.monotonic() < end:
        assert (await d.ask("once"))[1].status == 200
        await asyncio.sleep(0.05)


async def test_withdraws_a_domain_and_takes_it_back(d):
    await small(d)
    d.store.put_json("keyed.op", "evacuate/a", {})
    await asyncio.sleep(1)
    before = len(d.endpoints[0].seen)
    for _ in range(10):
        assert (await d.ask("safe"))[1].status == 200
    assert len(d.endpoints[0].seen) == before
    d.store.put("keyed.op", "evacuate/a", None)
    await asyncio.sleep(1)
    for _ in range(20):
        await d.ask("safe")
    assert len(d.endpoints[0].seen) > before


async def test_keeps_an_account_within_its_limit_over_all_hosts(d):
    d.accounts[0].update(RatePerS=2000, Burst=2000)
    await small(d)
    await asyncio.sleep(1.5)
    start, sent, refused = time.monotonic(), 0, 0
    while time.monotonic() - start < 3:
        rs = await asyncio.gather(*(d.ask("once", host=i) for i in (0, 1)))
        sent += sum(r.status == 200 for _, r in rs)
        for _, r in rs:
            assert r.status in (200, 429)
            if r.status == 429:
                refused += 1
                assert float(r.headers["retry-after"]) > 0
    # 200 units a request; what passes between two messages comes on top.
    assert refused > 0
    assert 200 * sent <= (2000 * 3 + 2000) * 1.1 + 2000, sent
    assert 200 * sent >= 2000 * 3 * 0.8, sent


async def test_stops_without_cutting_a_request(d):
    await small(d)
    task = asyncio.ensure_future(d.ask("stream", tokens=(3000, 800)))
    await asyncio.sleep(0.5)
    d.hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    assert await d.ready(d.hosts[0]) == 503
    assert (await d.ask("once"))[1].status == 200, "still takes requests"
    rid, r = await task
    assert r.whole and r.body == events(rid, 100)
    assert await asyncio.wait_for(d.hosts[0].process.wait(), 7) == 0


async def test_refuses_what_comes_too_late_to_end(d):
    """LOST, opole trouble-2: a stream was taken 7.5 s after SIGTERM."""
    await small(d)
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS)
    hold = asyncio.ensure_future(d.ask("stream", tokens=(3000, 1600),
                                       timeout_s=10))
    await asyncio.sleep(0.2)
    d.hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(2.8)
    rid, raw = d.request_bytes("stream", tokens=(3000, 80))
    await asyncio.sleep(0.3)
    try:
        writer.write(raw)
        r = await asyncio.wait_for(read_response(reader), 2)
    except ConnectionError:
        r = None
    assert r is None or r.status in (0, 503)
    assert ran(d, rid) == 0
    await asyncio.wait([hold])


async def test_refuses_smuggled_requests(d):
    await small(d)
    hidden = b"GET /safe/hidden HTTP/1.1\r\nHost: x.example\r\n\r\n"
    for head in (b"Content-Length: 3\r\nContent-Length: 9\r\n",
                 b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                 b"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n",
                 b"Transfer-Encoding : chunked\r\n",
                 b"Content-Length: 5\nA: b\r\n"):
        reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS)
        writer.write(b"POST /safe/1 HTTP/1.1\r\nHost: x.example\r\n"
                     b"Attempt-Id: 1\r\n" + head + b"\r\n0\r\n\r\n" + hidden)
        r = await asyncio.wait_for(read_response(reader), 2)
        assert r.status in (400, 501), (head, r.status)
        assert await reader.read(100) == b""
        writer.close()
    assert not any(e.seen for e in plain(d))


def memory_kb(host, name):
    with open(f"/proc/{host.process.pid}/status") as f:
        return [int(x.split()[1]) for x in f if x.startswith(name)][0]


def is_sanitized(binary):
    with open(binary, "rb") as f:
        return b"__asan_init" in f.read()


async def test_bounds_memory_under_slow_large_bodies(d):
    await small(d)
    conns = []
    # The sanitizer's own memory is no part of the limit.
    start_kb = memory_kb(d.hosts[0], "VmRSS") \
        if is_sanitized(d.hosts[0].binary) else 0
    for _ in range(400):
        reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS)
        writer.write(b"POST /safe/1 HTTP/1.1\r\nHost: x.example\r\n"
                     b"Attempt-Id: 1\r\nContent-Length: 100000\r\n\r\n" +
                     b"x" * 99000)
        conns.append(writer)
    await asyncio.sleep(0.5)
    assert (await d.ask("safe"))[1].status in (200, 503)
    peak_kb = memory_kb(d.hosts[0], "VmHWM") - start_kb
    assert peak_kb < 110 * 1024, peak_kb
    for w in conns:
        w.transport.abort()
    await asyncio.sleep(0.2)
    assert (await d.ask("safe"))[1].status == 200


async def test_two_hosts_of_a_domain_read_for_the_others(d):
    """CONFIG, ogha-grown hunt-ec22-7: a large configuration came too late to
    hosts that waited for it from another host's slow link."""
    await small(d)
    await asyncio.sleep(2)
    before = [p.calls for p in d.ports]
    await asyncio.sleep(3)
    assert d.ports[2].calls - before[2] <= 1, "the third leaves it to them"
    assert sum(p.calls for p in d.ports) - sum(before) >= 2
    for n in range(1500):
        d.routes.append(d.route(f"added{n}", "idempotent", "plain", 1))
    d.configure()
    await asyncio.sleep(1.5)
    assert (await d.ask("added1499", host=2))[1].status == 200
    assert d.ports[2].calls > before[2], "read from the store"
    e = d.endpoints[0]
    d.store.put_json("keyed.servers", e.name, e.entry("draining"))
    await asyncio.sleep(1.5)
    seen = len(e.seen)
    for _ in range(10):
        assert (await d.ask("safe", host=2))[1].status == 200
    assert len(e.seen) == seen


test_two_hosts_of_a_domain_read_for_the_others.hosts = 3
test_two_hosts_of_a_domain_read_for_the_others.domains = ("a",)


async def test_stops_a_request_whose_crash_shows_late(d):
    """The entry was gone before the connection closed: not counted."""
    await small(d)
    for e in plain(d):
        e.entry_first = True
    await check_crashing_request(d)


async def test_stops_a_request_that_crashes_endpoints(d):
    """Its caller sends it again, to any host."""
    await small(d)
    await check_crashing_request(d)


async def check_crashing_request(d):
    statuses = []
    for n in range(6):
        statuses.append((await d.ask("safe", host=n % 2, body=b"poison"))[1]
                        .status)
        await asyncio.sleep(0.7)
    assert statuses[-3:] == [503, 503, 503], statuses
    runs = sum(len(e.ran) for e in plain(d))
    assert 3 <= runs <= 4, runs
    for n in range(4):
        assert (await d.ask("safe", host=n % 2))[1].status == 200


async def test_leaves_callers_to_others_when_cut_off(d):
    """ogha inc-1408: a domain that was cut off, with the only plain endpoint
    of its side gone, refused what other domains could serve."""
    await small(d)
    first, second = d.hosts
    await asyncio.sleep(0.5)
    second.signal(signal.SIGSTOP)
    await asyncio.sleep(1.5)
    assert (await d.ask("safe"))[1].status == 200
    assert await d.ready(first) == 200, "alone, and serves"
    for e in plain(d):
        await e.stop()
    await d.ask("safe")
    r = (await d.ask("safe"))[1]
    assert (r.status, r.headers.get("connection")) == (503, "close"), r.status
    assert await d.ready(first) == 503
    second.signal(signal.SIGCONT)
    await asyncio.sleep(0.6)
    assert await d.ready(first) == 200


async def one_decoder(d, **more):
    """A prefill and a decode endpoint; streams may wait for three seconds."""
    d.routes[2]["TargetLatencyMs"] = 3000
    d.configure()
    await d.add("model", "a", "prefill")
    e = await d.add("model", "a", "decode", **more)
    await d.start()
    await d.until_ready()
    await asyncio.sleep(0.3)  # a new process starts with an empty limit
    return e


async def test_gives_room_to_the_request_with_less_work(d):
    """A long stream that came first kept short ones waiting."""
    e = await one_decoder(d)
    asks = []
    for tokens in ((38000, 320), (37000, 800), (3000, 80)):
        asks.append(asyncio.ensure_future(d.ask("stream", tokens=tokens)))
        await asyncio.sleep(0.15)
    done = await asyncio.gather(*asks)
    first, large, small = [rid for rid, _ in done]
    assert [r.status for _, r in done] == [200, 200, 200]
    assert e.ran == [first, small, large], e.ran


async def test_counts_a_stream_that_outgrows_its_estimate(d):
    """Engines dropped streams for lack of memory, and read them in again."""
    e = await one_decoder(d, memory=90000, event_s=0.003)
    long = asyncio.ensure_future(d.ask(
        "stream", tokens=(30000, 8000), fields={"Length-Hint": "16"}))
    await asyncio.sleep(2)
    assert e.ran and not e.done
    rid, r = await d.ask("stream", tokens=(6000, 80))
    assert r.status == 200
    assert e.done == [(await long)[0], rid], "it had to wait for the memory"


async def test_serves_metrics(d):
    await small(d)
    await d.ask("safe")
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, METRICS)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    r = await asyncio.wait_for(read_response(reader), 2)
    writer.close()
    assert b"figbend_answered_total 1\n" in r.body
    assert b'figbend_answer_seconds_bucket{le="+Inf"} 1\n' in r.body


async def test_never_blocks_on_its_log(d):
    """Nobody reads the pipe that standard output is."""
    h = d.hosts[0]
    h.start = lambda: start_with_full_pipe(h)
    await small(d)
    for _ in range(600):
        assert (await d.ask("nowhere"))[1].status == 404
    assert (await d.ask("safe"))[1].status == 200


async def start_with_full_pipe(h):
    _, h.full_pipe = os.pipe()
    h.process = await asyncio.create_subprocess_exec(
        h.binary, "--pools", h.path, stdout=h.full_pipe)


async def run(binary, name, test):
    with tempfile.TemporaryDirectory() as tmp:
        d = Deployment(binary, tmp, getattr(test, "hosts", 2),
                       getattr(test, "domains", ("a", "b")))
        try:
            await asyncio.wait_for(test(d), 60)
            return None
        except Exception as e:  # reported with the hosts' logs
            logs = "".join(open(h.log).read()[-3000:] for h in d.hosts
                           if os.path.exists(h.log))
            return f"{type(e).__name__}: {e}\n{logs}"
        finally:
            await d.stop()


def main():
    binary, only = sys.argv[1], sys.argv[2:]
    tests = {k[5:]: v for k, v in globals().items() if k.startswith("test_")}
    failed = 0
    unknown = [name for name in only if name not in tests]
    if unknown:
        sys.exit(f"no such test: {' '.join(unknown)}")
    for name, test in tests.items():
        if only and name not in only:
            continue
        start = time.monotonic()
        error = asyncio.run(run(binary, name, test))
        failed += error is not None
        print(f"{'FAILED' if error else 'ok'} {name} "
              f"({time.monotonic() - start:.1f} s)", flush=True)
        if error:
            print(error)
    print(f"{len(only or tests) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
