#!/usr/bin/env python3
"""Tests of figbend --pools: real processes against stand-ins of the platform.

usage: pools_test.py BINARY [NAME...]
       pools_test.py BINARY --part K/N

Without names all tests run that KNOWN-RED.txt does not list; with --part, each
N-th of them, from the K-th on.
"""

import asyncio
import base64
import hmac
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

from deployment import (CALLERS_PORT, METRICS_PORT, PEER_PORT, SECRET, Deployment,
                        read_response)
from early_answer_tests import *
from freshness_tests import *
from rollout_tests import *
from standins import odd_entries


async def start_small(d, hosts=True):
    """Two plain endpoints, a prefill and two decode endpoints."""
    d.publish_config()
    await d.add_endpoint("plain", "a")
    await d.add_endpoint("plain", "b")
    await d.add_endpoint("model", "a", "prefill")
    await d.add_endpoint("model", "a", "decode")
    await d.add_endpoint("model", "b", "decode")
    await d.start()
    await d.wait_ready()


def plain_endpoints(d):
    return [e for e in d.endpoints if e.service == "plain"]


def executions(d, rid):
    return sum(e.executed.count(rid) for e in d.endpoints)


def expected_events(rid, n):
    return b"".join(b"id: %d\ndata: %s %d\n\n" % (i, rid.encode(), i)
                    for i in range(1, n + 1))


async def test_forwards_requests(d):
    await start_small(d)
    rid, r = await d.request("non_idempotent", body=b"x" * 50000, fields={
        "Tenant": "forged", "Kv-Hold": "forged", "Pin-Ms": "9",
        "Serving-Stage": "prefill", "Request-Priority": "0", "Other": "kept"})
    assert (r.status, r.body) == (200, f"answer to {rid}".encode()), r.status
    assert r.headers["instance-signature"].endswith(rid)
    _, headers, target, body, _ = [m for e in d.endpoints for m in e.received
                                   if m[0] == rid][0]
    assert (target, body) == ("/non_idempotent/1?q=2", b"x" * 50000)
    assert headers["tenant"] == "one" and headers["other"] == "kept"
    assert "api-key" not in headers and "kv-hold" not in headers
    assert "pin-ms" not in headers and "serving-stage" not in headers
    assert 0 < int(headers["deadline-ms"]) <= 5000
    assert headers["expected-instance"] in ("e0", "e1")
    rid, r = await d.request("stream", tokens=(3000, 80))
    assert r.status == 200 and r.complete and r.body == expected_events(rid, 10)


# Guards against a HEAD request that waits until its deadline for content that does not
# come.
async def test_answers_a_head_request(d):
    await start_small(d)
    for e in plain_endpoints(d):
        e.faults = ["no_content"] * 2
    rid, raw = d.request_bytes("non_idempotent", body=b"")
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS_PORT)
    start = time.monotonic()
    # The second one finds out whether the first one left anything behind.
    for _ in range(2):
        writer.write(raw.replace(b"POST ", b"HEAD "))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)
        assert head.startswith(b"HTTP/1.1 200 "), head
        assert b"Instance-Signature: " in head, head
    assert time.monotonic() - start < 1
    writer.close()


async def test_refuses_unknown_keys_and_routes(d):
    await start_small(d)
    assert (await d.request("non_idempotent", key="other"))[1].status == 401
    assert (await d.request("nowhere"))[1].status == 404


async def test_responds_503_without_a_configuration(d):
    await d.start()
    await asyncio.sleep(0.3)
    rid, r = await d.request("non_idempotent")
    assert r.status == 503 and float(r.headers["retry-after"]) > 0
    assert await d.readiness(d.hosts[0]) == 503


async def test_does_not_retry_a_call_that_may_have_executed(d):
    await start_small(d)
    for fault in ("reset", "truncate", "unsigned"):
        for e in plain_endpoints(d):
            e.faults = [fault]
        rid, r = await d.request("non_idempotent")
        for e in plain_endpoints(d):
            e.faults = []
        assert r.status == 502, (fault, r.status)
        assert executions(d, rid) == 1, fault


async def test_retries_a_call_that_was_not_executed(d):
    await start_small(d)
    plain_endpoints(d)[0].faults = ["overloaded"]
    plain_endpoints(d)[1].faults = ["overloaded"]
    rid, r = await d.request("non_idempotent")
    assert r.status == 200 and executions(d, rid) == 1


async def test_retries_an_idempotent_call(d):
    await start_small(d)
    for fault in ("reset", "truncate", "unsigned", "hang"):
        for e in plain_endpoints(d):
            e.faults = []
        # The previous fault may have ejected an endpoint for 0.5 s.
        await asyncio.sleep(0.6)
        plain_endpoints(d)[0].faults = [fault]
        plain_endpoints(d)[1].faults = []
        for _ in range(4):
            rid, r = await d.request("idempotent")
            assert r.status == 200, (fault, r.status)
            assert r.body == f"answer to {rid}".encode()


async def test_responds_504_if_a_call_may_still_execute(d):
    """Guards against a 503, which permits a retry, when the deadline passes
    after the request was sent: the endpoint may still execute it."""
    await start_small(d)
    for e in plain_endpoints(d):
        e.faults = ["hang"]
    rid, r = await d.request("non_idempotent", deadline_ms=400)
    assert r.status == 504, r.status


async def test_never_returns_the_response_of_another_request(d):
    await start_small(d)
    for e in plain_endpoints(d):
        e.faults = ["wrong_id", "extra_response", "wrong_id", "extra_response",
                    None, "wrong_id"]
    for _ in range(16):
        rid, r = await d.request("non_idempotent")
        assert r.status == 200 and r.body == f"answer to {rid}".encode()


def check_not_executed_twice(d, rid, r):
    n = executions(d, rid)
    assert n <= 1, f"executed {n} times"
    assert r.status != 503 or not n, "refused, but executed"


async def test_does_not_take_an_old_refusal_for_an_answer(d):
    """Guards against a refusal that an endpoint writes once more on a kept
    connection: the request that is told so may be running."""
    await start_small(d)
    for anonymous in (False, True):
        for e in plain_endpoints(d):
            e.anonymous_refusals = anonymous
            e.faults = ["overloaded"] + ["old_refusal"] * 8
        for _ in range(8):
            check_not_executed_twice(d, *await d.request("non_idempotent"))


async def test_does_not_take_an_old_refusal_for_an_answer_of_an_engine(d):
    """The same where a reservation was refused, which has no request id."""
    await start_small(d)
    for e in decode_endpoints(d):
        e.holds_to_refuse = 1
        e.faults = ["old_refusal"] * 4
    for _ in range(4):
        check_not_executed_twice(
            d, *await d.request("stream", tokens=(3000, 80)))


# Bytes that would end a handle where a path, a header or a line ends.
WRONG_BYTES = [" ", "/", "?", "#", "%", "\r", "\n", "\t", "\x00", "\x7f", "\xe9"]


async def requests_beside(d, route, **more):
    """Sends a request beside calls, all of which must be answered."""
    calls = [d.request("non_idempotent") for _ in range(4)]
    await asyncio.gather(*calls[:2])
    (rid, r), *rest = await asyncio.gather(
        d.request(route, **more), *calls[2:])
    assert r.status == 200 and r.complete, r.status
    assert r.body == expected_events(rid, 10)
    assert all(answer.status == 200 for _, answer in rest)
    assert all(h.process.returncode is None for h in d.hosts)


# Guards against a process that ends, and all its requests with it, because of one
# wrong byte in the handle that a prefill endpoint responds with.
async def test_survives_a_wrong_byte_in_a_prefill_handle(d):
    await start_small(d)
    e = next(e for e in d.endpoints if e.stage == "prefill")
    for e.wrong_byte in WRONG_BYTES:
        e.faults = ["handle_spoiled"]
        await requests_beside(d, "stream", tokens=(3000, 80))
        # Three failures in a row eject it.
        await requests_beside(d, "stream", tokens=(3000, 80))
    assert not [m for e in decode_endpoints(d) for m in e.received
                if any(c in m[1].get("kv-source", "").partition("/")[2]
                       for c in WRONG_BYTES)]


# Guards against a reservation whose id cannot be read and is used nevertheless, in a
# header or in the path of a call that releases it.
async def test_does_not_use_a_reservation_with_a_wrong_byte(d):
    await start_small(d)
    for wrong in WRONG_BYTES:
        for e in decode_endpoints(d):
            e.wrong_byte, e.holds_to_spoil = wrong, 1
        await requests_beside(d, "stream", tokens=(3000, 80))
        for e in decode_endpoints(d):
            assert not [t for t in e.targets if "hold-drop" in t and
                        any(c in t.rpartition("/")[2] for c in WRONG_BYTES)]
            assert not [m for m in e.received
                        if any(c in m[1].get("kv-hold", "")
                               for c in WRONG_BYTES)]


async def test_ends_a_head_without_end_at_once(d):
    await start_small(d)
    for fault in ("endless_head", "endless_interim"):
        for route, status in (("idempotent", 200), ("non_idempotent", 502)):
            await asyncio.sleep(0.6)  # the longest first ejection
            for e in plain_endpoints(d):
                e.faults = [fault] if status == 502 else []
            plain_endpoints(d)[0].faults = [fault]
            start = time.monotonic()
            rid, r = await d.request(route)
            assert time.monotonic() - start < 1, fault
            assert r.status in (200, status), (fault, route, r.status)
            for e in plain_endpoints(d):
                e.faults = []


async def test_bounds_the_memory_of_bodies_without_end(d):
    """Twenty at once are bounded together."""
    await start_small_without_quarantine(d)
    start_kb = memory_kb(d.hosts[0], "VmRSS")
    for e in plain_endpoints(d):
        e.faults = ["endless_body"] * 100
    done = await asyncio.gather(*(
        d.request("non_idempotent", deadline_ms=2000) for _ in range(20)))
    assert {r.status for _, r in done} <= {502, 503, 504}, \
        [r.status for _, r in done]
    peak_kb = memory_kb(d.hosts[0], "VmHWM") - start_kb
    # A quarter of the host's memory is for responses. The sanitizer adds to each
    # allocation, and to those that it has freed.
    limit_kb = 110 * 1024 / 4 + 8192
    if is_sanitized(d.hosts[0].binary):
        limit_kb *= 2
    assert peak_kb < limit_kb, peak_kb
    for e in plain_endpoints(d):
        e.faults = []
    await asyncio.sleep(4.5)  # the longest ejection
    assert (await d.request("idempotent"))[1].status == 200


SMALL_HOST_MB = 88


async def start_small_without_quarantine(d):
    """The sanitizer keeps freed memory; where memory is measured, it must not count."""
    os.environ["ASAN_OPTIONS"] = "quarantine_size_mb=1"
    try:
        await start_small(d)
    finally:
        del os.environ["ASAN_OPTIONS"]


async def start_small_host(d):
    """One host as small as they come, before two engines with room for 200 streams."""
    d.hosts[0].change_settings(memory_mb=SMALL_HOST_MB)
    await start_small_without_quarantine(d)
    for e in decode_endpoints(d):
        e.slots = 400
    return memory_kb(d.hosts[0], "VmRSS")


def check_memory(d, start_kb):
    """A quarter of the host's memory is for responses. The sanitizer adds to each
    allocation, and to those that it has freed."""
    limit_kb = SMALL_HOST_MB * 1024 / 4 + 8192
    if is_sanitized(d.hosts[0].binary):
        limit_kb *= 2
    used_kb = memory_kb(d.hosts[0], "VmHWM") - start_kb
    assert used_kb < limit_kb, used_kb


# Guards against sound requests that fail since others' responses, which do not end, take
# all memory for responses.
async def test_answers_sound_requests_beside_bodies_that_do_not_end(d):
    start_kb = await start_small_host(d)
    stuck, sound = plain_endpoints(d)
    stuck.slots, stuck.faults = 400, ["stuck_body"] * 400
    sound.retry_after = "2"
    hanging = asyncio.gather(*(
        d.request("non_idempotent", deadline_ms=4000) for _ in range(200)))
    await asyncio.sleep(2.2)
    assert len(stuck.executed) > 100, "the rest was refused by the other one"
    sound.retry_after = None
    n = 0
    for _ in range(40):
        rid, r = await d.request("idempotent")
        n += rid not in stuck.executed
        assert r.status == 200 or rid in stuck.executed, r.status
    assert n > 10, n
    check_memory(d, start_kb)
    await hanging


test_answers_sound_requests_beside_bodies_that_do_not_end.hosts = 1


# Guards against a host that keeps what engines send without end in the steps beside a
# request: reservations, prefills, and releases of both.
async def test_bounds_the_memory_of_steps_without_end(d):
    start_kb = await start_small_host(d)
    for e in d.endpoints:
        e.endless_steps = e.stage is not None
    streams = asyncio.gather(*(
        d.request("stream", tokens=(10, 80), deadline_ms=4000)
        for _ in range(60)))
    for _ in range(20):
        assert (await d.request("non_idempotent"))[1].status == 200
        await asyncio.sleep(0.05)
    assert all(r.status in (200, 502, 503, 504) for _, r in await streams)
    assert sum(e.endless_sent for e in d.endpoints) > 20
    check_memory(d, start_kb)
    for e in d.endpoints:
        e.endless_steps = False
    await asyncio.sleep(4.5)  # the longest ejection
    assert (await d.request("stream", tokens=(10, 80)))[1].complete


test_bounds_the_memory_of_steps_without_end.hosts = 1


# The same for heads, of many calls at once.
async def test_bounds_the_memory_of_heads_that_do_not_end(d):
    start_kb = await start_small_host(d)
    for e in plain_endpoints(d):
        e.slots = 400
        e.faults = ["long_head"] * 400
    done = await asyncio.gather(*(
        d.request("non_idempotent", deadline_ms=3000) for _ in range(200)))
    assert {r.status for _, r in done} <= {502, 503, 504}
    check_memory(d, start_kb)


test_bounds_the_memory_of_heads_that_do_not_end.hosts = 1


# The same for what the store sends. Requests go on with what is known.
async def test_bounds_the_memory_of_store_responses_without_end(d):
    start_kb = await start_small_host(d)
    for s in d.host_stores:
        s.mode = "endless"
        for w in list(s.writers):
            w.transport.abort()
    for _ in range(40):
        assert (await d.request("idempotent"))[1].status == 200
        await asyncio.sleep(0.1)
    assert d.host_stores[0].calls > 3
    check_memory(d, start_kb)
    for s in d.host_stores:
        s.mode = "ok"
    d.routes.append(d.route("added", "idempotent", "plain", 1))
    d.publish_config()
    await wait_until_served(d, "added", 6)


test_bounds_the_memory_of_store_responses_without_end.hosts = 1


# Guards against a host that runs out of memory, since connections that callers keep hold
# the memory of the largest response that was sent on them.
async def test_kept_connections_hold_no_memory_of_responses(d):
    start_kb = await start_small_host(d)
    writers = []
    for e in plain_endpoints(d):
        e.faults = ["large"] * 100
    for _ in range(100):
        rid, raw = d.request_bytes("non_idempotent")
        reader, writer = await asyncio.open_connection(d.hosts[0].ip,
                                                       CALLERS_PORT)
        writers.append(writer)
        writer.write(raw)
        r = await read_response(reader)
        assert r.status == 200 and r.complete
        assert r.body == f"answer to {rid}".encode() * 35000
    check_memory(d, start_kb)
    for w in writers:
        w.close()


test_kept_connections_hold_no_memory_of_responses.hosts = 1


# Guards against a host that runs out of memory, since engines send events without end:
# what was received of an event was not counted among the responses.
async def test_bounds_the_memory_of_events_that_do_not_end(d):
    start_kb = await start_small_host(d)
    for e in decode_endpoints(d):
        e.faults = ["endless_event"] * 400
    done = await asyncio.gather(*(
        d.request("stream", tokens=(10, 8), deadline_ms=3000)
        for _ in range(200)))
    assert {r.status for _, r in done} <= {502, 503, 504}, \
        [r.status for _, r in done]
    check_memory(d, start_kb)


test_bounds_the_memory_of_events_that_do_not_end.hosts = 1


# The same for callers that do not read what engines send without end.
async def test_bounds_the_memory_of_events_that_are_not_read(d):
    start_kb = await start_small_host(d)
    for e in decode_endpoints(d):
        e.faults = ["endless_events"] * 400
    callers = []
    for _ in range(200):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        s.connect((d.hosts[0].ip, CALLERS_PORT))
        _, raw = d.request_bytes("stream", tokens=(10, 8), deadline_ms=3000)
        s.sendall(raw)
        callers.append(s)
    await asyncio.sleep(4)
    for s in callers:
        s.close()
    check_memory(d, start_kb)


test_bounds_the_memory_of_events_that_are_not_read.hosts = 1


async def test_resumes_a_stream_that_sends_only_comments(d):
    """Comments are not progress, however many arrive."""
    await start_small(d)
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["comments"]
    start = time.monotonic()
    rid, r = await d.request("resumable", tokens=(3000, 160))
    assert r.status == 200 and r.complete, (r.status, r.body)
    assert r.body.replace(b": k\n\n", b"") == expected_events(rid, 20)
    assert time.monotonic() - start < 3
    executed = [e for e in d.endpoints
                if e.stage == "decode" and rid in e.executed]
    assert len(executed) == 2, "not resumed at the other endpoint"


# Guards against more requests to a service than its retry budget allows: a prefill that
# an endpoint refuses counts like a request.
async def test_refused_prefills_use_the_retry_budget(d):
    d.hosts[0].change_settings(retry_ratio=0, retry_slack=9)
    await start_small(d)
    prefill = next(e for e in d.endpoints if e.stage == "prefill")
    prefill.faults = ["overloaded"] * 100
    for _ in range(30):
        rid, r = await d.request("stream", tokens=(3000, 80))
        assert r.status == 200 and r.complete, r.status
        await asyncio.sleep(0.05)
    # This host's part of the budget, of two.
    assert 0 < len(prefill.received) <= 5, len(prefill.received)


# Guards against streams that end as complete and lack the sound events that were read
# together with one whose id is wrong.
async def test_keeps_the_events_before_a_wrong_id(d):
    await start_small(d)
    for route, tokens in (("resumable", 160), ("stream", 80)):
        for e in decode_endpoints(d):
            e.faults = ["spoiled_id"]
        rid, r = await d.request(route, tokens=(3000, tokens))
        for e in decode_endpoints(d):
            e.faults = []
        assert r.status == 200, r.status
        if route == "resumable":
            assert r.complete and r.body == expected_events(rid, 20), r.body
            assert executions(d, rid) == 2
        else:
            assert not r.complete and r.body == expected_events(rid, 1), r.body
        await asyncio.sleep(0.6)  # the longest first ejection


# Guards against streams that end as complete and lack events, since an id that was too
# high was taken for the place at which to resume.
async def test_does_not_resume_after_a_wrong_id(d):
    await start_small(d)
    for route in ("resumable", "stream"):
        for e in decode_endpoints(d):
            e.spoiled_id = 9
            e.faults = ["spoiled_id"]
        rid, r = await d.request(route, tokens=(3000, 160))
        for e in decode_endpoints(d):
            e.faults = []
        assert r.status == 200 and not r.complete, r.body
        assert executions(d, rid) == 1
        await asyncio.sleep(0.6)  # the longest first ejection
    rid, r = await d.request("resumable", tokens=(3000, 160))
    assert r.complete and r.body == expected_events(rid, 20), r.body


async def check_silent_stream(d):
    """A stream is whole although each of its engines is silent for 1.6 s."""
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["silent"]
    rid, r = await d.request("resumable", tokens=(3000, 160))
    assert r.status == 200 and r.complete, (r.status, r.body)
    assert r.body == expected_events(rid, 20), r.body
    return rid


# Guards against streams that are cut because a sound engine sends nothing for a
# moment, and they may not move once more.
async def test_waits_for_a_silent_engine_after_the_last_attempt(d):
    await start_small(d)
    rid = await check_silent_stream(d)
    assert executions(d, rid) == 2, "did not move to the other endpoint"


# The same if there is no endpoint to move to.
async def test_waits_for_a_silent_engine_without_another_one(d):
    d.publish_config()
    await d.add_endpoint("model", "a", "decode")
    await d.start()
    await d.wait_ready()
    rid = await check_silent_stream(d)
    assert executions(d, rid) == 1


# The same if the retry budget is used up, as it is when many engines are silent.
async def test_waits_for_a_silent_engine_without_a_retry(d):
    for h in d.hosts:
        h.change_settings(retry_ratio=0, retry_slack=0)
    await start_small(d)
    rid = await check_silent_stream(d)
    assert executions(d, rid) == 1


async def check_patient_stream(d, silence_s):
    """Checks a stream whose caller waits 3.6 s for an event; returns its id."""
    route = d.route("patient", "streaming", "model", attempts=2,
                    resumable=True)
    d.routes.append({**route, "TargetLatencyMs": 900})
    await start_small(d)
    for e in d.endpoints:
        e.silence_s = silence_s
        if e.stage == "decode":
            e.faults = ["silent"]
            break
    while True:
        rid, raw = d.request_bytes("patient", tokens=(3000, 160))
        reader, writer = await asyncio.open_connection(d.hosts[0].ip,
                                                       CALLERS_PORT)
        times = [time.monotonic()]
        writer.write(raw)
        r = await read_response(
            reader, lambda _: times.append(time.monotonic()))
        writer.close()
        assert r.status == 200 and r.body == expected_events(rid, 20), r.body
        assert max(b - a for a, b in zip(times, times[1:])) < 3.6
        if not any(e.faults for e in d.endpoints):
            return rid


# Guards against prompts that are read again elsewhere because a sound engine was
# silent for less than its caller waits.
async def test_a_stream_stays_as_long_as_its_caller_waits(d):
    rid = await check_patient_stream(d, silence_s=1.6)
    assert executions(d, rid) == 1, "moved to the other endpoint"


# Guards against callers that leave before a stream whose engine is dead moves.
async def test_a_stream_moves_before_its_caller_leaves(d):
    rid = await check_patient_stream(d, silence_s=30)
    assert executions(d, rid) == 2, "did not move to the other endpoint"
# Guards against requests that are refused or time out because a sound plain endpoint
# is slow, and there is no other one.
async def test_waits_for_a_slow_plain_endpoint_without_another_one(d):
    d.publish_config()
    await d.add_endpoint("plain", "a", work_s=4)
    await d.start()
    await d.wait_ready()
    rid, r = await d.request("idempotent")
    assert r.status == 200, r.status
    assert executions(d, rid) == 1


# The same if the other one takes no requests for a while.
async def test_waits_for_a_slow_plain_endpoint_if_the_other_one_is_full(d):
    d.publish_config()
    full = await d.add_endpoint("plain", "a")
    slow = await d.add_endpoint("plain", "b", work_s=2.5)
    full.retry_after = "5"
    await d.start()
    await d.wait_ready()
    rid, r = await d.request("idempotent")
    assert r.status == 200, r.status
    assert full.call_times and slow.executed == [rid], slow.executed


# Guards against requests that fail although a retry is left: a connection that could
# not be opened used it up.
async def test_a_failed_connection_uses_up_no_retry(d):
    d.hosts[0].change_settings(retry_ratio=0, retry_slack=3)
    d.publish_config()
    first = await d.add_endpoint("plain", "a")
    second = await d.add_endpoint("plain", "b")
    await d.start()
    await d.wait_ready()
    await second.stop()
    first.faults = ["reset"]
    rid, r = await d.request("idempotent")
    assert r.status == 200, r.status
    assert executions(d, rid) == 2


test_a_failed_connection_uses_up_no_retry.hosts = 1
# Guards against streams that leave a silent engine, which would have gone on, and are
# cut since the others refuse them (soak, seed 501 with 40 hosts).
async def test_a_stream_that_left_a_silent_engine_is_whole_if_others_refuse(d):
    for h in d.hosts:
        h.change_settings(retry_ratio=0, retry_slack=8)
    await start_small(d)
    await d.add_endpoint("model", "a", "decode")
    await asyncio.sleep(0.5)
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["silent"]
    rid, raw = d.request_bytes("resumable", tokens=(3000, 160))
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS_PORT)
    writer.write(raw)
    while not executions(d, rid):
        await asyncio.sleep(0.02)
    for e in d.endpoints:
        if e.stage == "decode" and rid not in e.executed:
            e.faults, e.holds_to_refuse = ["overloaded"] * 2, 1
    r = await read_response(reader)
    writer.close()
    assert r.status == 200 and r.complete, (r.status, r.body)
    assert r.body == expected_events(rid, 20), r.body


async def test_passes_on_a_stream_of_a_comment(d):
    await start_small(d)
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["only_comment"]
    rid, r = await d.request("stream", tokens=(3000, 160))
    assert r.status == 200 and r.complete and r.body == b": k\n\n", r.body


async def test_resumes_a_stream_after_its_last_complete_event(d):
    await start_small(d)
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["truncate_event"]
    rid, r = await d.request("resumable", tokens=(3000, 160))
    assert r.status == 200 and r.complete, (r.status, r.body)
    assert r.body == expected_events(rid, 20)
    executed = [e for e in d.endpoints
                if e.stage == "decode" and rid in e.executed]
    assert len(executed) == 2, "not resumed at the other endpoint"


async def test_resumes_a_stream_without_length_or_chunks(d):
    """Such a stream ends with its connection; within an event it broke off."""
    await start_small(d)
    for fault in ("until_close", "until_close_truncate_event"):
        for e in decode_endpoints(d):
            e.faults = [fault]
        rid, r = await d.request("resumable", tokens=(3000, 80))
        assert (r.status, r.complete) == (200, True), (fault, r.status)
        assert r.body == expected_events(rid, 10), (fault, r.body)


async def test_a_stream_without_length_or_chunks_has_an_event(d):
    """Guards against an empty stream that seems complete: an engine that crashed
    before the first event closed the connection in order."""
    await start_small(d)
    for route, e in zip(("stream", "resumable"), decode_endpoints(d)):
        e.faults = ["until_close_no_event"]
        while e.faults:
            rid, r = await d.request(route, tokens=(3000, 80))
        if route == "resumable":
            assert (r.status, r.complete) == (200, True), r.status
            assert r.body == expected_events(rid, 10), r.body
        else:
            assert r.status == 502, (r.status, r.complete, r.body)
        await asyncio.sleep(1)  # ejections end


async def test_never_puts_an_error_into_a_stream(d):
    """Guards against an error of the next endpoint, after a stream broke off,
    that callers get as events, or as the end of a complete stream."""
    await start_small(d)
    for second in ("error", "half_head", "overloaded"):
        first, other = decode_endpoints(d)
        first.faults = other.faults = []
        rid, r = await d.request("resumable", tokens=(3000, 80))
        assert r.body == expected_events(rid, 10)
        for e in (first, other):
            e.faults = ["truncate_event"] + [second] * 4
        rid, r = await d.request("resumable", tokens=(3000, 80))
        assert r.status == 200, (second, r.status)
        assert r.body in (expected_events(rid, 3), expected_events(rid, 10)), \
            (second, r.body)
        assert not r.complete or r.body == expected_events(rid, 10), second
        await asyncio.sleep(1)  # ejections end


async def test_a_response_cut_in_its_head_is_no_success(d):
    """Guards against a response whose head broke off that callers get as 200."""
    await start_small(d)
    for route, tokens in (("non_idempotent", None), ("idempotent", None),
                          ("stream", (3000, 80)), ("resumable", (3000, 80))):
        for e in d.endpoints:
            e.faults = ["half_head"] * 4
        rid, r = await d.request(route, tokens=tokens)
        assert r.status in (0, 502, 503), (route, r.status)
        if r.status == 503:
            assert not executions(d, rid), route
        await asyncio.sleep(1)  # ejections end


async def test_closes_a_stream_that_is_not_resumable(d):
    await start_small(d)
    for e in d.endpoints:
        if e.stage == "decode":
            e.faults = ["truncate_event"]
    rid, r = await d.request("stream", tokens=(3000, 160))
    assert r.status == 200 and not r.complete
    assert r.body == expected_events(rid, 3) and executions(d, rid) == 1


async def test_serves_a_stream_whose_prefill_result_is_missing(d):
    await start_small(d)
    d.endpoints[2].faults = ["handle_missing"]
    rid, r = await d.request("stream", tokens=(3000, 80))
    assert r.status == 200 and r.body == expected_events(rid, 10)
    last = [m for e in d.endpoints[3:] for m in e.received if m[0] == rid][-1]
    assert last[1]["kv-fetch"] == d.endpoints[2].addr


async def test_releases_everything_when_the_caller_disconnects(d):
    await start_small(d)
    for route, tokens in (("stream", (3000, 1200)), ("non_idempotent", None)):
        for e in plain_endpoints(d):
            e.faults = ["slow"]
        rid, raw = d.request_bytes(route, tokens=tokens)
        reader, writer = await asyncio.open_connection(
            d.hosts[0].ip, CALLERS_PORT)
        writer.write(raw)
        await asyncio.sleep(0.3)
        writer.transport.abort()
        await asyncio.sleep(0.5)
        # The stand-in of a plain service does not notice disconnects.
        for e in d.endpoints[2:]:
            assert not e.running and not e.reservations and \
                not e.handles, e.name


async def test_releases_no_reservation_after_its_use(d):
    """Guards against calls for nothing: the decode request uses its reservation, so
    it is not released when the caller disconnects within the stream."""
    await start_small(d)
    for _ in range(3):
        _, raw = d.request_bytes("stream", tokens=(300, 800))
        reader, writer = await asyncio.open_connection(d.hosts[0].ip,
                                                       CALLERS_PORT)
        writer.write(raw)
        await reader.readuntil(b"id: 3\n")
        writer.transport.abort()
    await asyncio.sleep(0.5)
    assert sum(len(e.used) for e in d.endpoints if e.stage == "decode") >= 3
    for e in d.endpoints:
        assert not e.released_after_use, e.name


async def test_keeps_a_prefill_result_that_was_not_sent(d):
    """Guards against a prompt processed in vain, and its result left at the engine
    that processed it: the decode endpoint is gone when the prefill ends, so the next
    one gets the result."""
    d.publish_config()
    prefill = await d.add_endpoint("model", "a", "prefill", work_s=0.4)
    for domain in "ab":
        await d.add_endpoint("model", domain, "decode")
    await d.start()
    await d.wait_ready()
    request = asyncio.ensure_future(d.request("stream", tokens=(300, 80)))
    await asyncio.sleep(0.2)
    gone = [e for e in d.endpoints if e.reservations]
    assert len(gone) == 1, gone
    await gone[0].stop()
    rid, r = await request
    assert (r.status, r.complete) == (200, True), r.status
    received = [h for e in d.endpoints if e.stage == "decode"
                for _, h, _, _, _ in e.received]
    assert ["kv-source" in h for h in received] == [True], received
    await asyncio.sleep(0.3)
    assert not prefill.handles
    assert len(prefill.received) == 1


async def test_counts_a_wait_once(d):
    """Guards against a wait that is counted again when the request moves to another
    engine without waiting."""
    d.publish_config()
    await d.add_endpoint("model", "a", "prefill", work_s=0.3)
    for domain in "ab":
        await d.add_endpoint("model", domain, "decode")
    await d.start()
    await d.wait_ready()
    for e in decode_endpoints(d):
        e.holds_to_refuse = 1
    request = asyncio.ensure_future(d.request("resumable", tokens=(300, 80)))
    await asyncio.sleep(0.25)
    chosen = [e for e in decode_endpoints(d) if e.reservations]
    assert len(chosen) == 1, chosen
    chosen[0].faults = ["reset"]
    rid, r = await request
    assert (r.status, r.complete) == (200, True), r.status
    assert chosen[0].executed == [rid]
    body = await metrics_page(d, b"/metrics")
    assert "figbend_wait_seconds_count 1\n" in body, body


async def test_chooses_an_endpoint_that_restarted(d):
    """Guards against a restarted endpoint that is taken for the one that failed,
    since it has its address in memory."""
    await start_with_decoders(d, 1)
    e = decode_endpoints(d)[0]
    # The allocator keeps the first few that were freed.
    for n in range(12):
        e.started_ms += 1000
        d.store.put_json("keyed.servers", e.name, e.entry())
        await asyncio.sleep(0.25)
    for n in range(5):
        e.faults = ["reset"]
        request = asyncio.ensure_future(
            d.request("resumable", tokens=(300, 80)))
        await asyncio.sleep(0.15)
        e.started_ms += 1000
        d.store.put_json("keyed.servers", e.name, e.entry())
        rid, r = await request
        assert (r.status, r.complete) == (200, True), (n, r.status)


async def test_ejects_an_engine_whose_streams_end_within_an_event(d):
    """Guards against a stream that counts as a success and as a failure: its engine
    is then never ejected."""
    await start_with_decoders(d, 1)
    bad = decode_endpoints(d)[0]
    bad.faults = ["until_close_truncate_event"] * 10
    for n in range(3):
        rid, r = await d.request("stream", tokens=(300, 80))
        assert not r.complete, n
    assert len(bad.executed) == 3
    rid, r = await d.request("stream", tokens=(300, 80), deadline_ms=500)
    assert r.status == 503, r.status
    assert len(bad.executed) == 3, "not ejected"


async def test_sends_nothing_to_a_draining_endpoint(d):
    await start_small(d)
    e = plain_endpoints(d)[0]
    d.store.put_json("keyed.servers", e.name, e.entry("draining"))
    await asyncio.sleep(2)
    before = len(e.received)
    for _ in range(10):
        assert (await d.request("idempotent"))[1].status == 200
    assert len(e.received) == before


async def test_ignores_unreadable_entries(d):
    await start_small(d)
    d.store.put("keyed.servers", "e0", b"\xff{not json")
    d.store.put("keyed.servers", "ghost", b'{"Service":"plain"}')
    d.store.put_json("keyed.servers", "forged", {
        "Service": "plain", "Address": "999.1.1.1:1", "Zone": "a",
        "Slots": 6, "State": "ready"})
    await asyncio.sleep(1)
    before = len(d.endpoints[0].received)
    for _ in range(5):
        assert (await d.request("non_idempotent"))[1].status == 200
    assert len(d.endpoints[0].received) == before


# Guards against hosts that end, or no longer follow the list of endpoints, because
# another writer left an odd entry in it.
async def test_odd_entries_do_not_stop_a_host(d):
    await start_small(d)
    for key, value in odd_entries(d.endpoints[0].entry()):
        d.store.put("keyed.servers", key, value)
    late = await d.add_endpoint("plain", "a")
    leaving = d.endpoints[0]
    d.store.put_json("keyed.servers", leaving.name, leaving.entry("draining"))
    await asyncio.sleep(2)
    for h in d.hosts:
        assert (f"event=endpoint_leaves endpoint={leaving.name}" in h.log()
                ), f"{h.name} does not follow the list"
    for h in d.hosts[3:]:
        await h.kill()
        await h.start()
    await d.wait_ready()
    await asyncio.sleep(1)
    for e in d.endpoints:
        e.received.clear()
    for host in range(len(d.hosts)):
        for _ in range(10):
            rid, r = await d.request("idempotent", host=host)
            assert r.status == 200, r.status
    assert not leaving.received and late.received
    for h in d.hosts:
        assert h.process.returncode is None, f"{h.name} has ended"


test_odd_entries_do_not_stop_a_host.hosts = 6
test_odd_entries_do_not_stop_a_host.domains = ("a",)


# Guards against hosts that no longer follow the list of endpoints: keys count in a
# message, too, and another writer left many long ones.
async def test_follows_a_list_of_many_long_keys(d):
    await start_small(d)
    for i in range(5000):
        d.store.put("keyed.servers", f"{i:05}" + "k" * 250, b"{")
    leaving = d.endpoints[0]
    d.store.put_json("keyed.servers", leaving.name, leaving.entry("draining"))
    await asyncio.sleep(2)
    # The hosts may drop lines of their logs: there are too many.
    for host, h in enumerate(d.hosts):
        line = next(line for line in
                    (await metrics_page(d, b"/endpoints", host)).splitlines()
                    if line.startswith(f"endpoint={leaving.name} "))
        assert "usable=0" in line, f"{h.name} does not follow the list"


test_follows_a_list_of_many_long_keys.hosts = 6
test_follows_a_list_of_many_long_keys.domains = ("a",)
# Guards against hosts of many that know only a part of the others when they have
# just started, and whose readers do not send them what is new (soak, seed 500 with 40
# hosts).
async def test_a_configuration_right_after_many_hosts_started_is_in_force(d):
    await start_small(d)

    async def hosts_without(route):
        await asyncio.sleep(2)
        return [f"{h.name} {route}" for h in d.hosts if (await d.request(
            route, host=h.n - 1, key="unknown"))[1].status != 401]

    tasks = []
    for i in range(4):
        d.routes.append(d.route(f"added-{i}", "idempotent", "plain", attempts=2))
        d.publish_config()
        tasks.append(asyncio.ensure_future(hosts_without(f"added-{i}")))
        await asyncio.sleep(0.3)
    late = sum(await asyncio.gather(*tasks), [])
    assert not late, late


test_a_configuration_right_after_many_hosts_started_is_in_force.hosts = 40


async def test_gets_a_configuration_from_another_host(d):
    await start_small(d)
    d.host_stores[0].mode = "refuse"
    await asyncio.sleep(0.5)
    d.routes.append(d.route("added", "idempotent", "plain", 1))
    d.publish_config()
    await asyncio.sleep(2)
    assert (await d.request("added"))[1].status == 200


async def test_reads_every_record_while_another_host_is_ahead(d):
    """Guards against skipped records: the records in a response of the store
    were numbered from the reader's offset, which records from another host had
    advanced since the request."""
    await start_small(d)
    d.host_stores[0].delay_s = 0.4
    for n in range(6):
        d.routes.append(d.route(f"added{n}", "idempotent", "plain", 1))
        d.publish_config()
        await asyncio.sleep(0.15)
    await asyncio.sleep(2)
    for n in range(6):
        assert (await d.request(f"added{n}"))[1].status == 200, n


LARGE_ROUTES = 1600
# The users' large site: 354 hosts read 400 KB at 80 MB/s in 1.8 s, and a
# configuration has to be in force after 4 s.
READ_ALL_S = 1.8
IN_FORCE_S = 4


def add_many_routes(d):
    """The next configuration takes the store as long to send to all hosts as on
    the large site. Returns its size in bytes."""
    d.routes += [d.route(f"r-{n * 7919 % 100003:07d}", "idempotent", "plain", 1)
                 for n in range(LARGE_ROUTES)]
    size = len(json.dumps(d.routes))
    d.store.read_bytes_per_s = len(d.hosts) * size / READ_ALL_S
    return size


async def test_a_large_configuration_is_in_force_at_all_hosts_in_time(d):
    """Guards against hosts that take the store's rate from each other: reads that
    were given up, and sent again, kept it busy for good."""
    await start_small(d)
    await asyncio.sleep(5)  # until most hosts leave the reading to others
    before, size = d.store.bytes_read, add_many_routes(d)
    d.publish_config()
    for _ in range(IN_FORCE_S * 10):
        await asyncio.sleep(0.1)
        n = hosts_that_logged(d, "config_in_force", f"version={d.version} ")
        if n == len(d.hosts):
            break
    assert n == len(d.hosts), f"in force at {n} hosts"
    await asyncio.sleep(3)
    sent = (d.store.bytes_read - before) / size
    assert sent <= len(d.hosts) + 8, f"{sent:.1f} times the configuration"


test_a_large_configuration_is_in_force_at_all_hosts_in_time.hosts = 26


async def test_all_hosts_start_with_a_large_configuration(d):
    """The same when all hosts start, for the first time and after a loss of
    power."""
    add_many_routes(d)
    d.publish_config()
    await d.add_endpoint("plain", "a")
    await d.add_endpoint("plain", "b")
    await d.start()
    await d.wait_ready(RECOVERY_S)
    await asyncio.gather(*(h.kill() for h in d.hosts))
    await asyncio.gather(*(h.start() for h in d.hosts))
    await d.wait_ready(RECOVERY_S)


RECOVERY_S = 15
test_all_hosts_start_with_a_large_configuration.hosts = 26


async def test_few_hosts_try_a_store_that_is_down(d):
    """Guards against hosts that all ask a store in trouble, again and again: two of
    each domain, and of the others as many in turn, are enough."""
    await start_small(d)
    await asyncio.sleep(5)  # until most hosts leave the reading to others
    for s in d.host_stores:
        s.mode = "refuse"
        for w in list(s.writers):
            w.transport.abort()
    before = sum(s.calls for s in d.host_stores)
    await asyncio.sleep(OUTAGE_S)
    calls = sum(s.calls for s in d.host_stores) - before
    # 4 of each of two domains, three streams, a call a second each, and some
    # more at first.
    assert calls <= 4 * 2 * 3 * (OUTAGE_S + 3), calls
    for s in d.host_stores:
        s.mode = "ok"
    d.publish_config()
    for _ in range(IN_FORCE_S * 10):
        await asyncio.sleep(0.1)
        n = hosts_that_logged(d, "config_in_force", f"version={d.version} ")
        if n == len(d.hosts):
            break
    assert n == len(d.hosts), f"in force at {n} hosts"


OUTAGE_S = 6
test_few_hosts_try_a_store_that_is_down.hosts = 26


async def test_ignores_an_older_configuration(d):
    await start_small(d)
    d.routes.append(d.route("added", "idempotent", "plain", 1))
    d.publish_config(10)
    await asyncio.sleep(0.5)
    removed = d.routes.pop()
    d.publish_config(5)
    await asyncio.sleep(1)
    assert (await d.request(removed["Name"]))[1].status == 200


async def test_reads_a_snapshot_when_the_history_has_expired(d):
    await start_small(d)
    d.host_stores[0].mode = d.host_stores[1].mode = "hang"
    for s in d.host_stores:
        for w in list(s.writers):
            w.transport.abort()
    d.routes.append(d.route("added", "idempotent", "plain", 1))
    d.publish_config()
    d.store.put_json("keyed.op", "other", {})
    d.store.expire_history("keyed.op")
    await asyncio.sleep(0.5)
    d.host_stores[0].mode = d.host_stores[1].mode = "ok"
    await asyncio.sleep(2.5)
    assert (await d.request("added"))[1].status == 200


async def start_with_eras(d):
    d.store.era = 1
    await start_small(d)


def restore(d, copy):
    """The store comes back from the copy, older than what the hosts know."""
    d.store.restore(copy, d.host_stores)


async def serves(d, host, route):
    return (await d.request(route, host=host))[1].status == 200


async def wait_until_served(d, route, timeout_s=2):
    """Waits until all hosts serve the route, or fails."""
    end = time.monotonic() + timeout_s
    for host in range(len(d.hosts)):
        while not await serves(d, host, route):
            assert time.monotonic() < end, f"h{host + 1}: no {route}"
            await asyncio.sleep(0.05)


# Guards against a configuration that is never in force, since the store came back
# from an older copy and gave its offset out before.
async def test_a_configuration_after_a_restored_store_is_in_force(d):
    await start_with_eras(d)
    copy = d.store.copy()
    for route in ("second", "third"):
        d.routes.append(d.route(route, "idempotent", "plain", attempts=2))
        d.publish_config()
        await wait_until_served(d, route)
    restore(d, copy)
    d.publish_config(version=d.version)
    await asyncio.sleep(0.5)
    d.routes.append(d.route("fourth", "idempotent", "plain", attempts=2))
    d.publish_config()
    await wait_until_served(d, "fourth")
    log = "".join(h.log() for h in d.hosts)
    assert log.count("event=store_restored stream=0 era=2") == len(d.hosts)


test_a_configuration_after_a_restored_store_is_in_force.hosts = 5
test_a_configuration_after_a_restored_store_is_in_force.domains = ("a",)


# Guards against records that are skipped: a read from an offset which the restored
# store has given out again starts behind the first of them.
async def test_reads_every_record_of_a_restored_store(d):
    await start_with_eras(d)
    copy = d.store.copy()
    late = await d.add_endpoint("plain", "a")
    await asyncio.sleep(0.5)
    restore(d, copy)
    leaving = plain_endpoints(d)[0]
    leaving.draining = True
    d.store.put_json("keyed.servers", leaving.name, leaving.entry())
    d.store.put_json("keyed.servers", late.name, late.entry())
    await asyncio.sleep(1.5)
    n = len(leaving.received)
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert len(leaving.received) == n, "sent to an endpoint that leaves"
    assert late.received


# Guards against a return to what the copy has: an endpoint that has left, a domain
# that is in use, an older configuration.
async def test_an_older_copy_of_the_store_undoes_nothing(d):
    await start_with_eras(d)
    copy = d.store.copy()
    left, drained, kept = plain_endpoints(d) + [
        await d.add_endpoint("plain", "a")]
    d.store.put_json("keyed.servers", left.name, left.entry("draining",
                                                            Sequence=5))
    d.store.put_json("keyed.servers", drained.name,
                     drained.entry("draining", Sequence=5))
    d.routes.append(d.route("second", "idempotent", "plain", attempts=2))
    d.publish_config()
    d.store.put_json("keyed.op", "evacuate/b", {"Zone": "b"})
    await wait_until_served(d, "second")
    d.store.put("keyed.servers", left.name, None)
    await asyncio.sleep(1)
    for e in d.endpoints:
        e.received.clear()
    restore(d, copy)
    start = time.monotonic()
    while time.monotonic() - start < 4.5:
        if time.monotonic() - start > 2 and d.store.streams["keyed.op"][-1][
                0] == "config":
            d.store.put_json("keyed.servers", kept.name, kept.entry())
            d.publish_config(version=d.version)
            d.store.put_json("keyed.op", "evacuate/b", {"Zone": "b"})
        if time.monotonic() - start > 3.6:
            d.store.put("keyed.servers", left.name, None)
        assert await serves(d, 0, "second") and await serves(d, 1, "second")
        assert not left.received, "sent to an endpoint that has left"
        assert not drained.received, "sent to an endpoint that leaves"
        rid, r = await d.request("stream", tokens=(300, 8))
        assert r.status == 200
        assert not d.endpoints[4].received, "sent to a withdrawn domain"
        await asyncio.sleep(0.1)
    d.store.put("keyed.op", "evacuate/b", None)
    d.store.put_json("keyed.servers", drained.name,
                     drained.entry("ready", Sequence=6))
    await asyncio.sleep(1)
    for _ in range(20):
        assert await serves(d, 1, "idempotent")
    assert drained.received, "not used again"


async def check_unused(d, e):
    """Requests to all hosts succeed, and none reaches the endpoint."""
    before = len(e.received)
    for _ in range(10):
        for host in range(len(d.hosts)):
            assert await serves(d, host, "idempotent")
    assert len(e.received) == before, "sent to an endpoint that left"


# Guards against a return to an endpoint that leaves or has left, by a write of its
# entry that the store carries out late.
async def test_a_late_write_of_an_entry_undoes_nothing(d):
    await start_small(d)
    late = await d.add_endpoint("plain", "a")
    await asyncio.sleep(0.5)
    ready = late.entry()
    d.store.put_json("keyed.servers", late.name, late.entry("draining"))
    await asyncio.sleep(1)
    await check_unused(d, late)
    d.store.put_json("keyed.servers", late.name, ready)
    await asyncio.sleep(1)
    await check_unused(d, late)
    ready_again = late.entry()
    d.store.put_json("keyed.servers", late.name, late.entry("draining"))
    d.store.put("keyed.servers", late.name, None)
    await asyncio.sleep(1)
    d.store.put_json("keyed.servers", late.name, ready_again)
    await asyncio.sleep(1)
    await check_unused(d, late)
    assert "event=record_outdated stream=1 key=" + late.name in d.hosts[0].log()


# Guards against an endpoint that is never used, since the time of day at its machine
# went back and its entry looks older than that of its last start.
async def test_uses_an_entry_that_looks_older_and_stays(d):
    await start_small(d)
    e = await d.add_endpoint("plain", "a")
    await asyncio.sleep(0.5)
    d.store.put("keyed.servers", e.name, None)
    await asyncio.sleep(0.5)
    e.started_ms -= 60000
    d.store.put_json("keyed.servers", e.name, e.entry())
    await asyncio.sleep(6)
    for _ in range(20):
        assert await serves(d, 0, "idempotent") and await serves(
            d, 1, "idempotent")
    assert e.received, "not used"


# Guards against a return to an older entry, from the second of two older copies, at
# the time at which the entries of the first are no longer doubted (soak, seed 1).
async def test_a_store_restored_twice_undoes_nothing(d):
    await start_with_eras(d)
    for i in range(40):
        d.store.put("keyed.servers", f"x{i}", b"x" * 2000)
    copy = d.store.copy()
    leaving = plain_endpoints(d)[0]
    leaving.draining, leaving.sequence = True, 5
    d.store.put_json("keyed.servers", leaving.name, leaving.entry())
    await asyncio.sleep(1)
    restore(d, copy)
    await asyncio.sleep(0.3)
    d.store.put_json("keyed.servers", leaving.name, leaving.entry())
    await asyncio.sleep(4.3)
    leaving.received.clear()
    # The snapshot takes longer than the rest of the time.
    d.store.read_bytes_per_s = 120000
    restore(d, copy)
    for _ in range(30):
        assert await serves(d, 0, "idempotent") and await serves(
            d, 1, "idempotent")
        assert not leaving.received, "sent to an endpoint that leaves"
        await asyncio.sleep(0.05)


# Guards against hosts that start after the store came back and find no other: what
# the hosts themselves wrote is lost too.
async def test_hosts_write_their_records_again_to_a_restored_store(d):
    d.store.era = 1
    copy = d.store.copy()
    await start_small(d)
    assert len(d.store.streams["keyed.status"]) == 2
    restore(d, copy)
    d.publish_config()
    await asyncio.sleep(3.5)
    keys = {key for key, _, _ in d.store.streams["keyed.status"]}
    assert keys == {"a/h1", "b/h2"}, keys


# Guards against hosts that others take for present for ever: the store came back with
# the record that they deleted as they began to stop.
async def test_a_host_that_stops_deletes_its_record_again(d):
    await start_with_eras(d)
    copy = d.store.copy()
    plain_endpoints(d)[1].faults = ["slow"]
    running = asyncio.ensure_future(d.request("non_idempotent", host=1))
    await asyncio.sleep(0.3)
    d.hosts[1].signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    restore(d, copy)
    await asyncio.sleep(2.5)
    assert d.hosts[1].process.returncode is None
    last = {key: value for key, value, _ in d.store.streams["keyed.status"]}
    assert last["b/h2"] is None, last
    assert last["a/h1"], last
    running.cancel()


# Guards against endpoints that are used for ever, since the deletion of their entry
# or the entry itself was lost.
async def test_drops_endpoints_that_a_restored_store_does_not_have(d):
    await start_with_eras(d)
    copy = d.store.copy()
    lost = await d.add_endpoint("plain", "a")
    await asyncio.sleep(0.5)
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert lost.received
    restore(d, copy)
    await asyncio.sleep(1)
    n = len(lost.received)
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert len(lost.received) > n, "its entry may be written again"
    await asyncio.sleep(3)
    n = len(lost.received)
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert len(lost.received) == n, "its entry was not written again"


# Guards against endpoints that are dropped although they cannot write their entries
# again: the store is away once more, soon after it came back.
async def test_keeps_endpoints_while_a_restored_store_is_away_again(d):
    await start_with_eras(d)
    copy = d.store.copy()
    lost = await d.add_endpoint("plain", "a")
    await asyncio.sleep(0.5)
    restore(d, copy)
    await asyncio.sleep(0.7)
    for s in d.host_stores:
        s.mode = "refuse"
        for w in list(s.writers):
            w.transport.abort()
    await asyncio.sleep(4)
    assert "event=store_restored stream=1 era=2" in d.hosts[0].log()
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert lost.received, "its entry could not be written again"
    for s in d.host_stores:
        s.mode = "ok"
    await asyncio.sleep(5)
    lost.received.clear()
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert not lost.received, "its entry was not written again"


# Guards against endpoints that are used for ever: the store lost their entries while
# a host that starts read its first snapshot.
async def test_drops_what_the_store_loses_in_the_first_snapshot(d):
    d.store.era = 1
    d.publish_config()
    lost = await d.add_endpoint("plain", "a")
    for _ in range(6):
        await d.add_endpoint("plain", "b")
    copy = d.store.copy()
    copy["keyed.servers"] = [row for row in copy["keyed.servers"]
                             if row[0] != lost.name]
    store = d.host_stores[0]
    whole_snapshot = store.snapshot

    def lose_after_a_page(topic, after_key):
        page = whole_snapshot(topic, after_key)
        if topic == "keyed.servers":
            store.snapshot = whole_snapshot
            d.store.restore(copy, [])
        return page

    store.snapshot = lose_after_a_page
    await d.start()
    await d.wait_ready()
    assert d.store.era == 2
    await asyncio.sleep(4)
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert not lost.received, "the store has no entry of it"


test_drops_what_the_store_loses_in_the_first_snapshot.hosts = 1


# Guards against endpoints that are never used again: their entry came late to a
# restored store, and tells no later state than the one that is known.
async def test_uses_an_endpoint_whose_entry_comes_late_to_a_restored_store(d):
    await start_with_eras(d)
    copy = d.store.copy()
    late = await d.add_endpoint("plain", "a")
    await asyncio.sleep(0.5)
    restore(d, copy)
    await asyncio.sleep(6)
    late.received.clear()
    d.store.put_json("keyed.servers", late.name, late.entry())
    await asyncio.sleep(1)
    for _ in range(20):
        assert await serves(d, 0, "idempotent")
    assert late.received


# Guards against hosts that remove an endpoint at once when its entry expires as the
# store comes back, since they leave reading to others and saw no outage.
async def test_keeps_an_endpoint_that_expires_as_the_store_comes_back(d):
    await start_with_eras(d)
    copy = d.store.copy()
    restore(d, copy)
    await asyncio.sleep(0.7)
    e = d.endpoints[0]
    d.store.put("keyed.servers", e.name, None)
    await asyncio.sleep(0.7)
    d.store.put_json("keyed.servers", e.name, e.entry(Sequence=2))
    await asyncio.sleep(0.7)
    for h in d.hosts:
        assert f"event=endpoint_gone endpoint={e.name}" not in h.log(), h.name


test_keeps_an_endpoint_that_expires_as_the_store_comes_back.hosts = 6
test_keeps_an_endpoint_that_expires_as_the_store_comes_back.domains = ("a",)


async def test_serves_while_the_store_is_down(d):
    await start_small(d)
    for s in d.host_stores:
        await s.stop()
    end = time.monotonic() + 4
    while time.monotonic() < end:
        assert (await d.request("non_idempotent"))[1].status == 200
        assert await d.readiness(d.hosts[0]) == 200
        await asyncio.sleep(0.1)


async def test_serves_while_entries_are_missing(d):
    await start_small(d)
    for s in d.host_stores:
        await s.stop()
    await asyncio.sleep(1)
    for e in d.endpoints:
        d.store.put("keyed.servers", e.name, None)
    for s in d.host_stores:
        await s.start()
    await asyncio.sleep(0.8)
    for e in d.endpoints:
        d.store.put_json("keyed.servers", e.name, e.entry())
    end = time.monotonic() + 3
    while time.monotonic() < end:
        assert (await d.request("non_idempotent"))[1].status == 200
        await asyncio.sleep(0.05)


async def test_withdraws_and_restores_a_domain(d):
    await start_small(d)
    d.store.put_json("keyed.op", "evacuate/a", {})
    await asyncio.sleep(1)
    before = len(d.endpoints[0].received)
    for _ in range(10):
        assert (await d.request("idempotent"))[1].status == 200
    assert len(d.endpoints[0].received) == before
    d.store.put("keyed.op", "evacuate/a", None)
    await asyncio.sleep(1)
    for _ in range(20):
        await d.request("idempotent")
    assert len(d.endpoints[0].received) > before


async def test_limits_an_account_across_hosts(d):
    d.accounts[0].update(RatePerS=2000, Burst=2000)
    await start_small(d)
    await asyncio.sleep(1.5)
    start, accepted, refused = time.monotonic(), 0, 0
    while time.monotonic() - start < 3:
        pairs = await asyncio.gather(
            *(d.request("non_idempotent", host=i) for i in (0, 1)))
        accepted += sum(r.status == 200 for _, r in pairs)
        for _, r in pairs:
            assert r.status in (200, 429)
            if r.status == 429:
                refused += 1
                assert float(r.headers["retry-after"]) > 0
    # A request costs 200 tokens. Between two heartbeats, hosts may together
    # accept more than the limit.
    assert refused > 0
    assert 200 * accepted <= (2000 * 3 + 2000) * 1.1 + 2000, accepted
    assert 200 * accepted >= 2000 * 3 * 0.8, accepted


def modes(d):
    """Returns the last mode that each host logged, by its name."""
    out = {}
    for h in d.hosts:
        with open(h.log_path) as f:
            lines = [x for x in f if "event=relay " in x]
        out[h.name] = lines[-1].split("mode=")[1].split()[0] if lines else ""
    return out


async def test_many_hosts_know_each_other_through_delegates(d):
    """What one host admits counts at all others, also after the delegates of a
    domain were killed."""
    d.accounts[0].update({"RatePerS": 1000, "Burst": 8000})
    await start_small(d)
    await asyncio.sleep(9)  # the bucket fills up
    # On a busy machine a delegate that answers late is replaced for 2 s, so
    # there are more of them for a while.
    for _ in range(60):
        found = modes(d)
        if list(found.values()).count("member") >= 20:
            break
        await asyncio.sleep(0.5)
    assert list(found.values()).count("member") >= 20, found
    killed = [h for h in d.hosts[::2] if found[h.name] == "delegate"]
    for _ in range(2):
        statuses = []
        for n in (1, 3, 5, 7):  # two requests of 3,080 tokens are admitted
            statuses.append((await d.request("stream", host=n,
                                             tokens=(3000, 80)))[1].status)
            await asyncio.sleep(0.6)
        assert statuses.count(200) in (2, 3), statuses
        for h in killed:
            await h.kill()
        await asyncio.sleep(9)
    assert killed, found


test_many_hosts_know_each_other_through_delegates.hosts = 26


async def test_completes_requests_before_it_stops(d):
    await start_small(d)
    task = asyncio.ensure_future(d.request("stream", tokens=(3000, 800)))
    await asyncio.sleep(0.5)
    d.hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    assert await d.readiness(d.hosts[0]) == 503
    assert (await d.request("non_idempotent"))[1].status == 200, \
        "refused right after SIGTERM"
    rid, r = await task
    assert r.complete and r.body == expected_events(rid, 100)
    assert await asyncio.wait_for(d.hosts[0].process.wait(), 7) == 0


async def test_refuses_late_requests_while_it_stops(d):
    """Guards against an incomplete stream: it was accepted 7.5 s after SIGTERM,
    when the process had too little time to complete it."""
    await start_small(d)
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS_PORT)
    # Keeps the process from exiting before the late request.
    running = asyncio.ensure_future(
        d.request("stream", tokens=(3000, 1600), timeout_s=10))
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
    assert executions(d, rid) == 0
    await asyncio.wait([running])


async def start_with_targets(d, target_ms):
    """Routes of 20 s, on which a call is expected to take target_ms."""
    for r in d.routes:
        r["TimeoutMs"] = 20000
        r["TargetLatencyMs"] = target_ms
    await start_small(d)


async def connect(d, host=0):
    return await asyncio.open_connection(d.hosts[host].ip, CALLERS_PORT)


async def send_on(d, connection, route, **more):
    """Sends a request on a connection; returns its id and the response."""
    reader, writer = connection
    rid, raw = d.request_bytes(route, **more)
    writer.write(raw)
    return rid, await asyncio.wait_for(read_response(reader), 12)


# Guards against calls that get no answer because the host that took them late
# in its grace ends first.
async def test_answers_late_calls_before_it_ends(d):
    await start_with_targets(d, 500)
    for e in plain_endpoints(d):
        e.faults = ["hang"] * 4
    kept = [await connect(d) for _ in range(2)]
    stop = time.monotonic()
    d.hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(2.4)
    done = await asyncio.gather(
        send_on(d, kept[0], "non_idempotent", deadline_ms=20000),
        send_on(d, kept[1], "idempotent", deadline_ms=20000))
    statuses = [r.status for _, r in done]
    assert statuses == [504, 504], statuses
    assert await asyncio.wait_for(d.hosts[0].process.wait(), 3) == 0
    assert time.monotonic() - stop < 8


# The same for calls that the host took before its stop.
async def test_answers_running_calls_before_it_ends(d):
    await start_with_targets(d, 500)
    for e in plain_endpoints(d):
        e.faults = ["hang"]
    call = asyncio.ensure_future(
        d.request("non_idempotent", deadline_ms=20000, timeout_s=12))
    await asyncio.sleep(0.2)
    d.hosts[0].signal(signal.SIGTERM)
    _, r = await call
    assert r.status == 504, r.status


# Guards against calls that are passed on although they take longer than the
# host runs.
async def test_refuses_long_calls_late_in_the_grace(d):
    await start_with_targets(d, 4000)
    kept = [await connect(d) for _ in range(2)]
    d.hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(2.4)
    for e in plain_endpoints(d):
        e.work_s = 6
    rid, r = await send_on(d, kept[0], "non_idempotent", deadline_ms=20000)
    assert r.status == 503 and executions(d, rid) == 0, r.status
    assert 0 < float(r.headers["retry-after"]) < 0.5
    for e in plain_endpoints(d):
        e.work_s = 3
    _, r = await send_on(d, kept[1], "idempotent", deadline_ms=20000)
    assert r.status == 200, "a repeatable call still fits"


# Guards against calls that waited for capacity, and then are passed on although
# the host ends too soon.
async def test_refuses_waiting_calls_late_in_the_grace(d):
    await start_with_targets(d, 3000)
    for e in plain_endpoints(d):
        e.work_s = 6
        d.store.put("keyed.servers", e.name, None)
    await asyncio.sleep(0.3)
    kept = await connect(d)
    d.hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(1.5)
    call = asyncio.ensure_future(
        send_on(d, kept, "idempotent", deadline_ms=20000))
    await asyncio.sleep(2.8)
    assert not call.done(), "does not wait"
    await asyncio.sleep(0.6)
    for e in plain_endpoints(d):
        d.store.put_json("keyed.servers", e.name, e.entry())
    rid, r = await call
    assert r.status == 503 and executions(d, rid) == 0, r.status


# The same for streams.
async def test_refuses_waiting_streams_late_in_the_grace(d):
    await start_with_targets(d, 2000)
    for e in decode_endpoints(d):
        e.event_interval_s = 0.06
        e.holds_to_refuse = 1000000
    kept = await connect(d)
    d.hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(1)
    call = asyncio.ensure_future(send_on(
        d, kept, "stream", tokens=(3000, 400), deadline_ms=20000))
    await asyncio.sleep(2.5)
    assert not call.done(), "does not wait"
    await asyncio.sleep(1.9)
    for e in decode_endpoints(d):
        e.holds_to_refuse = 0
    rid, r = await call
    assert r.status == 503 and executions(d, rid) == 0, r.status
    assert float(r.headers["retry-after"]) < 0.5


# Guards against a request that is still being received when its host ends, and
# whose caller learns nothing.
async def test_refuses_slow_bodies_at_the_end_of_the_grace(d):
    await start_small(d)
    reader, writer = await connect(d)
    rid, raw = d.request_bytes("non_idempotent", body=b"x" * 100)
    d.hosts[0].signal(signal.SIGTERM)
    writer.write(raw[:-90])
    answer = asyncio.ensure_future(read_response(reader))
    for _ in range(80):
        await asyncio.sleep(0.1)
        if answer.done():
            break
        writer.write(b"x")
    r = await asyncio.wait_for(answer, 1)
    assert r.status == 503 and executions(d, rid) == 0, r.status


async def call_on_new_connections(d, done, outcomes):
    """Sends calls, each on a connection of its own, until done is set."""
    while not done.is_set():
        rid, raw = d.request_bytes("non_idempotent")
        try:
            reader, writer = await connect(d)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        await asyncio.sleep(random.uniform(0, 0.03))
        try:
            writer.write(raw)
            r = await read_response(reader)
            outcomes.append(r.status)
        except ConnectionError:
            outcomes.append(0)
        writer.close()


# Guards against connections that callers have opened, and that a stopping host
# closes before it has accepted them or read their first request.
async def test_answers_all_connections_while_it_stops(d):
    await start_small(d)
    done, outcomes = asyncio.Event(), []
    callers = [asyncio.ensure_future(
        call_on_new_connections(d, done, outcomes)) for _ in range(30)]
    await asyncio.sleep(0.3)
    d.hosts[0].signal(signal.SIGTERM)
    assert await asyncio.wait_for(d.hosts[0].process.wait(), 9) == 0
    done.set()
    await asyncio.wait(callers)
    assert len(outcomes) > 1000, len(outcomes)
    lost = [s for s in outcomes if s not in (200, 503)]
    assert not lost, f"{len(lost)} of {len(outcomes)} without an answer"


async def change_idle_timeout(d, ms):
    d.idle_ms = ms
    d.routes.append(d.route(f"idle{ms}", "idempotent", "plain", 1))
    d.publish_config()
    await wait_until_served(d, f"idle{ms}")


# Guards against connections that are closed before their caller expects it, by
# the idle limit that was in force before.
async def test_keeps_idle_connections_after_the_limit_fell(d):
    d.idle_ms = 3000
    await start_small(d)
    before = await connect(d)
    await change_idle_timeout(d, 500)
    after = await connect(d)
    assert (await send_on(d, after, "idempotent"))[1].status == 200
    await asyncio.sleep(0.8 * 3)
    for connection in before, after:
        assert (await send_on(d, connection, "idempotent"))[1].status == 200
    # By now callers know the lower limit.
    await asyncio.sleep(3)
    late = await connect(d)
    assert (await send_on(d, late, "idempotent"))[1].status == 200
    end = await asyncio.wait_for(late[0].read(1), 2)
    assert end == b"", "the lower limit does not hold"


# The same by the limit that is in force now.
async def test_keeps_idle_connections_after_the_limit_rose(d):
    d.idle_ms = 700
    await start_small(d)
    before = await connect(d)
    assert (await send_on(d, before, "idempotent"))[1].status == 200
    await change_idle_timeout(d, 3000)
    await asyncio.sleep(0.8 * 3)
    assert (await send_on(d, before, "idempotent"))[1].status == 200


async def test_refuses_smuggled_requests(d):
    await start_small(d)
    hidden = b"GET /idempotent/hidden HTTP/1.1\r\nHost: x.example\r\n\r\n"
    for head in (b"Content-Length: 3\r\nContent-Length: 9\r\n",
                 b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                 b"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n",
                 b"Transfer-Encoding : chunked\r\n",
                 b"Content-Length: 5\nA: b\r\n"):
        reader, writer = await asyncio.open_connection(
            d.hosts[0].ip, CALLERS_PORT)
        writer.write(b"POST /idempotent/1 HTTP/1.1\r\nHost: x.example\r\n"
                     b"Attempt-Id: 1\r\n" + head + b"\r\n0\r\n\r\n" + hidden)
        r = await asyncio.wait_for(read_response(reader), 2)
        assert r.status in (400, 501), (head, r.status)
        assert await reader.read(100) == b""
        writer.close()
    assert not any(e.received for e in plain_endpoints(d))


def memory_kb(host, name):
    with open(f"/proc/{host.process.pid}/status") as f:
        return [int(x.split()[1]) for x in f if x.startswith(name)][0]


def is_sanitized(binary):
    with open(binary, "rb") as f:
        return b"__asan_init" in f.read()


async def test_limits_the_memory_of_incomplete_requests(d):
    await start_small_without_quarantine(d)
    conns = []
    # The memory of the sanitizer itself does not count against the limit.
    start_kb = memory_kb(d.hosts[0], "VmRSS") \
        if is_sanitized(d.hosts[0].binary) else 0
    for _ in range(400):
        reader, writer = await asyncio.open_connection(
            d.hosts[0].ip, CALLERS_PORT)
        writer.write(b"POST /idempotent/1 HTTP/1.1\r\nHost: x.example\r\n"
                     b"Attempt-Id: 1\r\nContent-Length: 100000\r\n\r\n" +
                     b"x" * 99000)
        conns.append(writer)
    await asyncio.sleep(0.5)
    assert (await d.request("idempotent"))[1].status in (200, 503)
    peak_kb = memory_kb(d.hosts[0], "VmHWM") - start_kb
    assert peak_kb < 110 * 1024, peak_kb
    for w in conns:
        w.transport.abort()
    await asyncio.sleep(0.2)
    assert (await d.request("idempotent"))[1].status == 200


async def test_only_two_hosts_of_a_domain_poll_the_store(d):
    """One host gets records from the other two, a large configuration compressed,
    and reads the store itself only if that is too large all the same. Which one,
    the hashes of their names decide. Guards against a late configuration: a large
    one took too long to arrive from another host over a slow link."""
    await start_small(d)
    await asyncio.sleep(2)
    before = [s.calls for s in d.host_stores]
    passive = await find_passive(d)
    calls = [s.calls - n for s, n in zip(d.host_stores, before)]
    assert calls[passive] <= 1, "all three hosts poll the store"
    assert sum(calls) >= 2
    for n in range(1500):
        d.routes.append(d.route(f"added{n}", "idempotent", "plain", 1))
    d.publish_config()
    await asyncio.sleep(1.5)
    assert (await d.request("added1499", host=passive))[1].status == 200
    assert d.host_stores[passive].calls <= before[passive] + 1
    # 450 KB of random text.
    d.routes += [{**d.route(f"more{n}", "idempotent", "plain", 1),
                  "Note": base64.b64encode(random.randbytes(225)).decode()}
                 for n in range(1500)]
    before = d.host_stores[passive].calls
    d.publish_config()
    await asyncio.sleep(1.5)
    assert (await d.request("more1499", host=passive))[1].status == 200
    assert d.host_stores[passive].calls > before, "not read from the store"
    e = d.endpoints[0]
    d.store.put_json("keyed.servers", e.name, e.entry("draining"))
    await asyncio.sleep(1.5)
    before_drained = len(e.received)
    for _ in range(10):
        assert (await d.request("idempotent", host=passive))[1].status == 200
    assert len(e.received) == before_drained


test_only_two_hosts_of_a_domain_poll_the_store.hosts = 3
test_only_two_hosts_of_a_domain_poll_the_store.domains = ("a",)


# Guards against a host that goes on to use what was deleted while the hosts from which
# it gets its records were down: they start from a snapshot, which lacks deletions.
async def test_learns_of_deletions_while_the_readers_restart(d):
    gone = await d.add_endpoint("plain", "a")
    d.store.put_json("keyed.op", "evacuate/b", {"Zone": "b"})
    await start_small(d)
    passive = await find_passive(d)
    others = [h for i, h in enumerate(d.hosts) if i != passive]
    for h in others:
        await h.kill()
    d.store.put("keyed.servers", gone.name, None)
    d.store.put("keyed.op", "evacuate/b", None)
    await d.add_endpoint("plain", "a")
    await asyncio.sleep(0.3)
    for h in others:
        await h.start()
    await d.wait_ready()
    await asyncio.sleep(1.5)
    before = len(gone.received)
    for _ in range(30):
        assert (await d.request("idempotent", host=passive))[1].status == 200
    assert len(gone.received) == before, "the endpoint has left"
    lines = (await metrics_page(d, b"/endpoints", passive)).splitlines()
    known = {line.split()[0][len("endpoint="):]: line for line in lines}
    assert set(known) == {e.name for e in d.endpoints if e is not gone}
    # Domain b was taken back, and what was known before is known as before.
    assert all("usable=1" in line for line in lines), lines


test_learns_of_deletions_while_the_readers_restart.hosts = 3
test_learns_of_deletions_while_the_readers_restart.domains = ("a",)


def message_of_a_later_start(host, hours):
    """Returns a sealed message like those of a host, but of a start hours later."""
    def words(*n):
        return struct.pack(f">{len(n)}I", *n)

    now_us = int(time.time() * 1e6)
    name = host.name.encode()
    call = words(21)  # FIG_SUSPECTS of an old minor version; all else is zero
    raw = words(1, 0, 2, 0x20464942, 1, 21, 0, 0, 0, 0)
    raw += words(1, len(name)) + name + b"\0" * (-len(name) % 4)
    raw += struct.pack(">3Q", now_us + hours * 3600 * 10**6, 1, now_us // 1000)
    raw += words(len(call)) + call
    return raw + hmac.new(bytes.fromhex(SECRET), raw, "sha256").digest()


async def make_refused(d, host, hours=1):
    """Lets the other hosts refuse the messages of a host, as they do if the time of day
    was ahead when it started for the last time but one."""
    s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for h in d.hosts:
        if h is not host:
            s.sendto(message_of_a_later_start(host, hours), (h.ip, PEER_PORT))
    s.close()


# Guards against a host that stays at its configuration for ever, since it leaves the
# store to others, and these refuse its calls.
async def test_reads_the_store_if_other_hosts_do_not_answer(d):
    await start_small(d)
    passive = d.hosts[await find_passive(d)]
    # A host raises its start some times, and no more.
    for hours in range(1, 12):
        await make_refused(d, passive, hours)
        await asyncio.sleep(0.4)
    for n in range(3):
        name = f"added{n}"
        d.routes.append(d.route(name, "idempotent", "plain", 1))
        d.publish_config()
        await wait_until_served(d, name)
        await asyncio.sleep(0.5)
    assert "event=records_not_got" in passive.log()


test_reads_the_store_if_other_hosts_do_not_answer.hosts = 3
test_reads_the_store_if_other_hosts_do_not_answer.domains = ("a",)


# Guards against a host that others take for gone for as long as the time of day went back
# between two of its starts: they refuse its reports and its calls.
async def test_other_hosts_accept_a_start_after_the_clock_went_back(d):
    await start_small(d)
    passive = d.hosts[await find_passive(d)]
    await make_refused(d, passive)
    await asyncio.sleep(0.7)
    assert "event=start_raised" in passive.log()
    raises = passive.log().count("event=start_raised")
    for n in range(3):
        name = f"added{n}"
        d.routes.append(d.route(name, "idempotent", "plain", 1))
        d.publish_config()
        await wait_until_served(d, name)
        await asyncio.sleep(0.5)
    assert "event=records_not_got" not in passive.log()
    assert passive.log().count("event=start_raised") == raises <= 2


test_other_hosts_accept_a_start_after_the_clock_went_back.hosts = 3
test_other_hosts_accept_a_start_after_the_clock_went_back.domains = ("a",)


async def test_reads_each_page_of_the_hosts_once(d):
    """Guards against a snapshot of the hosts that starts anew after each page: with
    the records of 40 hosts that stopped, a page holds five."""
    for n in range(40):
        d.store.put("keyed.status", f"old{n:02}", b"127.0.0.1:9")
    await start_small(d)
    await asyncio.sleep(3)
    for port in d.host_stores:
        pages = [after for topic, after in port.pages
                 if topic == "keyed.status"]
        # One more begins with the domain.
        assert len(pages) <= 10, pages
        assert pages.count("") <= 1, pages
        assert max(pages) >= "old34", pages


async def test_blocks_a_request_if_the_entry_is_removed_first(d):
    """Guards against a crash that is not counted because the endpoint's entry
    was removed before its connection closed."""
    await start_small(d)
    for e in plain_endpoints(d):
        e.entry_removed_first = True
    await check_crashing_request(d)


async def test_blocks_a_request_that_crashes_endpoints(d):
    """The caller repeats the request, at each host in turn."""
    await start_small(d)
    await check_crashing_request(d)


async def check_crashing_request(d):
    """A request is blocked after three crashes (CRASHES_MAX in crash.c)."""
    statuses = []
    for n in range(6):
        statuses.append((await d.request("idempotent", host=n % 2,
                                         body=b"poison"))[1].status)
        await asyncio.sleep(0.7)
    assert statuses[-3:] == [503, 503, 503], statuses
    executed = sum(len(e.executed) for e in plain_endpoints(d))
    assert 3 <= executed <= 4, executed
    for n in range(4):
        assert (await d.request("idempotent", host=n % 2))[1].status == 200


async def break_and_lose_the_store(d, restarted):
    """Breaks the connections of one request at three endpoints, whose entries then
    expire while the store is away and return. Returns the status of the same
    request once a block without proof has ended."""
    await d.add_endpoint("plain", "a")
    await start_small(d)
    for e in plain_endpoints(d):
        e.faults = ["reset"] * 9
    for _ in range(10):
        if not all(e.executed for e in plain_endpoints(d)):
            await d.request("idempotent", body=b"unlucky")
            await asyncio.sleep(0.05)
    assert all(e.executed for e in plain_endpoints(d))
    for e in plain_endpoints(d):
        e.faults = []
    await asyncio.sleep(0.5)
    assert "event=blocked" in d.hosts[0].log()
    end = time.monotonic() + 9.5
    for s in d.host_stores:
        await s.stop()
    await asyncio.sleep(1)
    for e in plain_endpoints(d):
        d.store.put("keyed.servers", e.name, None)
    for s in d.host_stores:
        await s.start()
    await asyncio.sleep(2)
    for e in plain_endpoints(d):
        e.started_ms += 5000 if restarted else 0
        d.store.put_json("keyed.servers", e.name, e.entry())
    await asyncio.sleep(end - time.monotonic())
    assert (await d.request("idempotent"))[1].status == 200
    return (await d.request("idempotent", body=b"unlucky"))[1].status


async def test_entries_that_expire_with_the_store_show_no_crash(d):
    """Guards against a request that is blocked for a minute, since its endpoints
    could not renew their entries and so counted as crashed."""
    assert await break_and_lose_the_store(d, restarted=False) == 200
    assert "event=endpoint_crashed" not in d.hosts[0].log()


test_entries_that_expire_with_the_store_show_no_crash.hosts = 1


async def test_entries_of_a_new_start_after_the_store_show_crashes(d):
    """The entries expired with the store, and the endpoints did restart."""
    assert await break_and_lose_the_store(d, restarted=True) == 503
    assert "event=endpoint_crashed" in d.hosts[0].log()


test_entries_of_a_new_start_after_the_store_show_crashes.hosts = 1


def decode_endpoints(d):
    return [e for e in d.endpoints if e.stage == "decode"]


async def start_with_decoders(d, n):
    d.publish_config()
    await d.add_endpoint("model", "a", "prefill")
    for i in range(n):
        await d.add_endpoint("model", "ab"[i % 2], "decode")
    await d.start()
    await d.wait_ready()


async def crash_by_part(d, n, parts=("common", "dead")):
    """Sends n requests of which no two are alike, at each host in turn."""
    for i in range(n):
        await d.request("stream", host=i % 2, tokens=(300, 16), parts=parts,
                        body=b"request %d" % i)
        await asyncio.sleep(0.4)
    return sum(e.crashes for e in decode_endpoints(d))


async def test_blocks_a_prompt_part_that_crashes_endpoints(d):
    """Guards against a part of prompts that crashes endpoint after endpoint,
    since the requests that share it are not alike otherwise. Other prompts
    with the same first part must be served."""
    await start_with_decoders(d, 4)
    crashes = await crash_by_part(d, 10)
    assert crashes <= 5, f"{crashes} crashes by 10 requests"
    await asyncio.sleep(0.5)
    for i in range(10):
        rid, r = await d.request("stream", host=i % 2, tokens=(300, 16),
                                 parts=("common",))
        assert (r.status, r.complete) == (200, True), (i, r.status)
    for host in range(2):
        r = (await d.request("stream", host=host, tokens=(300, 16),
                             parts=("other", "dead")))[1]
        assert r.status == 503 and "retry-after" in r.headers, r.status


async def test_blocks_a_prompt_part_that_also_meets_deadlines(d):
    """Guards against a 504 of an endpoint that had not begun the request: it
    is no evidence that the request does not crash endpoints."""
    await start_with_decoders(d, 4)
    for i in range(16):
        late = i % 2
        for e in decode_endpoints(d):
            e.faults = ["late"] if late else []
        await crash_by_part(d, 1)
    crashes = sum(e.crashes for e in decode_endpoints(d))
    assert crashes <= 5, f"{crashes} crashes by 8 requests"


async def test_restarted_host_knows_blocked_prompt_parts(d):
    """Guards against hosts that start, or were cut off, when a prompt part is
    already blocked, and would crash endpoints to learn of it again."""
    await start_with_decoders(d, 4)
    crashes = await crash_by_part(d, 5)
    await d.hosts[0].kill()
    await d.hosts[0].start()
    await d.wait_ready()
    await asyncio.sleep(1.5)
    r = (await d.request("stream", tokens=(300, 16),
                         parts=("common", "dead")))[1]
    assert r.status == 503, r.status
    assert sum(e.crashes for e in decode_endpoints(d)) == crashes


def most_calls(times, window_s):
    """Returns the most calls within any window of that length."""
    return max((sum(a <= t < a + window_s for t in times) for a in times),
               default=0)


async def send_for(d, seconds, route, tokens=None):
    """Sends 20 requests a second, to each host in turn; all must succeed."""
    tasks = []
    for i in range(int(seconds * 20)):
        tasks.append(asyncio.ensure_future(
            d.request(route, host=i % len(d.hosts), tokens=tokens)))
        await asyncio.sleep(0.05)
    statuses = [(await t)[1].status for t in tasks]
    assert statuses == [200] * len(statuses), statuses


LIMIT = 1.2
LIMIT_WINDOW_S = 4


async def check_limit(d, limited, route, tokens=None):
    """An endpoint gets no more than half over its limit, and five requests, and
    is used again once it no longer names a limit."""
    for e in limited:
        e.limit = LIMIT
    await send_for(d, 2, route, tokens)
    named = time.monotonic()
    await send_for(d, 8, route, tokens)
    for e in limited:
        most = most_calls([t for t in e.call_times if t >= named],
                          LIMIT_WINDOW_S)
        assert most <= 1.5 * LIMIT * LIMIT_WINDOW_S + 5, (e.name, most)
        assert e.call_times[-1] > named, f"{e.name} is not used"
        e.limit = None
    await send_for(d, 8, route, tokens)
    ended = time.monotonic()
    await send_for(d, 2, route, tokens)
    for e in limited:
        n = sum(t >= ended for t in e.call_times)
        assert n > 2 * 2 * LIMIT, f"{e.name} got only {n} requests"


async def test_keeps_to_the_limit_of_a_plain_endpoint(d):
    """Guards against more requests from all hosts together than an endpoint
    takes by its own word."""
    await start_small(d)
    await check_limit(d, plain_endpoints(d)[:1], "idempotent")


async def test_keeps_to_the_limit_of_an_endpoint_whose_entry_lapses(d):
    """Guards against a limit that is forgotten with the entry: the endpoint may
    only be cut off from the store."""
    await start_small(d)
    e = plain_endpoints(d)[0]
    e.limit = LIMIT
    await send_for(d, 2, "idempotent")
    named = time.monotonic()
    load = asyncio.ensure_future(send_for(d, 8, "idempotent"))
    while not load.done():
        d.store.put("keyed.servers", e.name, None)
        await asyncio.sleep(0.3)
        d.store.put_json("keyed.servers", e.name, e.entry())
        await asyncio.sleep(0.3)
    await load
    most = most_calls([t for t in e.call_times if t >= named], LIMIT_WINDOW_S)
    assert 0 < most <= 1.5 * LIMIT * LIMIT_WINDOW_S + 5, most


test_keeps_to_the_limit_of_an_endpoint_whose_entry_lapses.hosts = 6


async def check_leaving(d, e, route, tokens=None):
    """An endpoint that says that it leaves gets nothing more, whatever its
    entry says, until it has started again."""
    await send_for(d, 1, route, tokens)
    assert e.call_times
    e.leaving = True
    await send_for(d, 2, route, tokens)
    told = time.monotonic()
    d.store.put_json("keyed.servers", e.name, e.entry())
    await send_for(d, 2, route, tokens)
    d.store.put("keyed.servers", e.name, None)
    await send_for(d, 1, route, tokens)
    d.store.put_json("keyed.servers", e.name, e.entry())
    await send_for(d, 2, route, tokens)
    assert not [t for t in e.call_times if t > told]
    e.leaving = False
    e.started_ms += 1
    d.store.put_json("keyed.servers", e.name, e.entry())
    await send_for(d, 3, route, tokens)
    assert [t for t in e.call_times if t > told]


async def test_sends_nothing_to_a_plain_endpoint_that_says_it_leaves(d):
    """Guards against requests to an endpoint that has said so, before its entry
    does."""
    await start_small(d)
    await check_leaving(d, plain_endpoints(d)[0], "idempotent")


async def test_sends_nothing_to_a_decode_endpoint_that_says_it_leaves(d):
    await start_small(d)
    await check_leaving(d, decode_endpoints(d)[0], "stream", (300, 16))


async def test_sends_nothing_to_a_prefill_endpoint_that_says_it_leaves(d):
    await start_small(d)
    await d.add_endpoint("model", "b", "prefill")
    await check_leaving(d, d.endpoints[2], "stream", (300, 16))


async def test_streams_end_whole_at_an_endpoint_that_leaves(d):
    await start_small(d)
    streams = [asyncio.ensure_future(d.request("stream", tokens=(300, 800)))
               for _ in range(4)]
    await asyncio.sleep(0.5)
    for e in decode_endpoints(d):
        e.leaving = True
    await send_for(d, 0.5, "idempotent")
    for s in streams:
        rid, r = await s
        assert r.complete and r.body == expected_events(rid, 100)


async def test_hosts_tell_each_other_that_an_endpoint_leaves(d):
    await start_small(d)
    e = plain_endpoints(d)[0]
    await send_for(d, 1, "idempotent")
    e.leaving = True
    before = len(e.call_times)
    for _ in range(20):
        assert (await d.request("idempotent"))[1].status == 200
    assert len(e.call_times) - before == 1
    for n in range(20):
        assert (await d.request("idempotent", host=n % 6))[1].status == 200
    assert len(e.call_times) - before == 1


test_hosts_tell_each_other_that_an_endpoint_leaves.hosts = 6


async def refused_at_once(d, route, tokens=None, at_least_s=0., at_most_s=4.):
    """Checks that a request is refused at once, and when it may return."""
    start = time.monotonic()
    rid, r = await d.request(route, tokens=tokens)
    assert r.status == 503 and not executions(d, rid), r.status
    assert time.monotonic() - start < 0.1, time.monotonic() - start
    assert at_least_s < float(r.headers["retry-after"]) <= at_most_s, r.headers


async def test_refuses_at_once_if_all_endpoints_leave(d):
    """Guards against requests that wait although nothing will serve them."""
    await start_small(d)
    for e in d.endpoints:
        e.leaving = True
    for route, tokens in (("idempotent", None), ("stream", (300, 16))):
        for _ in range(6):
            await d.request(route, tokens=tokens)
        await refused_at_once(d, route, tokens)


def hosts_that_logged(d, *texts):
    """Counts the hosts with a line in their log that contains all texts."""
    n = 0
    for h in d.hosts:
        with open(h.log_path) as f:
            n += any(all(t in line for t in texts) for line in f)
    return n


RETRY_AFTER_S = 3


async def check_retry_after(d, e, route, tokens=None):
    """An endpoint that answers 503 with Retry-After gets nothing for so long
    from a host that it has told; two requests are tolerated."""
    await send_for(d, 1, route, tokens)
    e.retry_after = str(RETRY_AFTER_S)
    start, n = time.monotonic(), len(e.call_times)
    await send_for(d, RETRY_AFTER_S - 0.2, route, tokens)
    calls = [t for t in e.call_times[n:]]
    late = [t - start for t in calls if t > calls[0] + 1]
    assert len(late) <= 2 * len(d.hosts), late
    e.retry_after = None
    await send_for(d, 4, route, tokens)
    assert [t for t in e.call_times if t > start + RETRY_AFTER_S], "not used"


async def test_keeps_away_from_a_plain_endpoint_as_long_as_it_says(d):
    """Guards against requests to an endpoint that wants none for a time."""
    await start_small(d)
    await check_retry_after(d, plain_endpoints(d)[0], "idempotent")


async def test_keeps_away_from_a_decode_endpoint_as_long_as_it_says(d):
    await start_small(d)
    await check_retry_after(d, decode_endpoints(d)[0], "stream", (300, 16))


async def test_keeps_away_from_a_prefill_endpoint_as_long_as_it_says(d):
    await start_small(d)
    await check_retry_after(d, d.endpoints[2], "stream", (300, 16))


async def test_streams_that_end_do_not_bring_requests_back(d):
    """Guards against requests to an endpoint that wants none for a time, since
    streams that it had accepted before end well."""
    await start_with_decoders(d, 2)
    for e in decode_endpoints(d):
        e.slots = 64
    e = decode_endpoints(d)[0]
    streams = [asyncio.ensure_future(
        d.request("stream", host=i % 2, tokens=(300, 200 + 25 * i)))
        for i in range(40)]
    await asyncio.sleep(0.3)
    assert len(e.running) >= 15, len(e.running)
    e.retry_after = str(RETRY_AFTER_S)
    n = len(e.call_times)
    await send_for(d, RETRY_AFTER_S - 0.2, "stream", (300, 16))
    calls = e.call_times[n:]
    late = [t - calls[0] for t in calls if t > calls[0] + 1]
    assert len(late) <= 2 * len(d.hosts), late
    e.retry_after = None
    for s in streams:
        rid, r = await s
        assert (r.status, r.complete) == (200, True), r.status


async def test_a_prefill_in_progress_does_not_bring_its_request_back(d):
    """Guards against requests that had reserved memory at an endpoint, and reach
    it after their prefill although it wants nothing by then."""
    await start_with_decoders(d, 2)
    prefill, e = d.endpoints[0], decode_endpoints(d)[0]
    prefill.work_s = 0.8
    for decode in decode_endpoints(d):
        decode.slots = 64
    requests = [asyncio.ensure_future(
        d.request("stream", host=i % 2, tokens=(300, 16)))
        for i in range(40)]
    await asyncio.sleep(0.2)
    assert len(e.reservations) >= 15, len(e.reservations)
    e.retry_after = str(RETRY_AFTER_S)
    while hosts_that_logged(d, "event=endpoint_unwanted") < len(d.hosts):
        requests += [asyncio.ensure_future(
            d.request("stream", host=host, tokens=(300, 16)))
            for host in range(2)]
        await asyncio.sleep(0.005)
    told = time.monotonic()
    await asyncio.sleep(RETRY_AFTER_S - 0.3)
    late = [t - told for t in e.call_times if t > told + 0.5]
    assert len(late) <= 2 * len(d.hosts), late
    for r in requests:
        rid, r = await r
        assert (r.status, r.complete) == (200, True), r.status


async def test_returns_to_an_endpoint_once_its_first_answer_begins(d):
    """Guards against requests that wait, or are refused, until the first one
    after the time that an endpoint named has ended: a stream may be long."""
    d.hold_ms = 0
    await start_with_decoders(d, 1)
    e = decode_endpoints(d)[0]
    e.retry_after = "0.5"
    assert (await d.request("stream", tokens=(300, 16)))[1].status == 503
    e.retry_after = None
    await asyncio.sleep(0.7)
    first = asyncio.ensure_future(d.request("stream", tokens=(300, 800)))
    await asyncio.sleep(0.3)
    start = time.monotonic()
    assert (await d.request("stream", tokens=(300, 16)))[1].status == 200
    assert time.monotonic() - start < 0.5, time.monotonic() - start
    rid, r = await first
    assert r.complete and r.body == expected_events(rid, 100)


async def test_refuses_at_once_if_all_endpoints_want_nothing(d):
    await start_small(d)
    for e in d.endpoints:
        e.retry_after = "3.5"
    for route, tokens in (("idempotent", None), ("stream", (300, 16))):
        await asyncio.gather(*(d.request(route, tokens=tokens)
                               for _ in range(6)))
        # A host returns later by up to a quarter of the time.
        await refused_at_once(d, route, tokens, at_least_s=0.5,
                              at_most_s=3.5 * 1.25)


async def test_takes_any_notice_of_an_endpoint(d):
    """No value of these headers stops a host, or blocks an endpoint for long."""
    await start_small(d)
    e = plain_endpoints(d)[0]
    for value in ("-1", "", "x", "1e9", "0x10", "nan", "9" * 400, "0.0",
                  "Sat, 05 Dec 2026 01:00:00 GMT", "1, 2"):
        e.limit, e.retry_after = value, value
        await d.request("idempotent")
        await d.request("idempotent", host=1)
    e.limit = e.retry_after = None
    assert all([await d.readiness(h) == 200 for h in d.hosts])
    await send_for(d, 1, "idempotent")


def hosts_without_limit(d):
    """Counts the hosts that logged the end of a limit."""
    return hosts_that_logged(d, "event=endpoint_limit", "milli_per_s=0")


async def test_hosts_tell_each_other_that_a_limit_has_ended(d):
    """Guards against hosts that keep to a limit for long after it has ended: an
    endpoint with a low limit answers each of them only now and then."""
    await start_small(d)
    e = plain_endpoints(d)[0]
    e.limit = 1
    await send_for(d, 4, "idempotent")
    e.limit = None
    for _ in range(30):
        await send_for(d, 1, "idempotent")
        if hosts_without_limit(d):
            break
    await send_for(d, 3, "idempotent")
    n = hosts_without_limit(d)
    assert n == len(d.hosts), f"{n} hosts know that the limit has ended"


test_hosts_tell_each_other_that_a_limit_has_ended.hosts = 6


async def test_keeps_to_the_limits_of_model_endpoints(d):
    """The same at the prefill and decode stages, where reservations count."""
    await start_with_decoders(d, 4)
    await d.add_endpoint("model", "b", "prefill")
    limited = [d.endpoints[0]] + decode_endpoints(d)[:2]
    await check_limit(d, limited, "resumable", (300, 16))


async def test_isolated_host_hands_callers_to_other_hosts(d):
    """Guards against needless refusals: a host in an isolated failure domain,
    which could reach no plain endpoint, refused requests that other domains
    could have served. Such a host is not ready and closes connections, so that
    callers reach other hosts."""
    await start_small(d)
    first, second = d.hosts
    await asyncio.sleep(0.5)
    second.signal(signal.SIGSTOP)
    await asyncio.sleep(1.5)
    assert (await d.request("idempotent"))[1].status == 200
    assert await d.readiness(first) == 200, "not ready while it can serve"
    for e in plain_endpoints(d):
        await e.stop()
    await d.request("idempotent")
    r = (await d.request("idempotent"))[1]
    assert (r.status, r.headers.get("connection")) == (503, "close"), r.status
    assert await d.readiness(first) == 503
    second.signal(signal.SIGCONT)
    await asyncio.sleep(0.6)
    assert await d.readiness(first) == 200


async def start_one_decoder(d, **more):
    """One prefill and one decode endpoint; streams may wait for 3 s."""
    d.routes[2]["TargetLatencyMs"] = 3000
    d.publish_config()
    await d.add_endpoint("model", "a", "prefill")
    e = await d.add_endpoint("model", "a", "decode", **more)
    await d.start()
    await d.wait_ready()
    await asyncio.sleep(0.3)  # a new process starts with empty buckets
    return e


async def test_serves_the_request_with_less_work_first(d):
    """Guards against short streams that wait behind a long one."""
    e = await start_one_decoder(d)
    tasks = []
    for tokens in ((38000, 320), (37000, 800), (3000, 80)):
        tasks.append(asyncio.ensure_future(d.request("stream", tokens=tokens)))
        await asyncio.sleep(0.15)
    results = await asyncio.gather(*tasks)
    first, large, small = [rid for rid, _ in results]
    assert [r.status for _, r in results] == [200, 200, 200]
    assert e.executed == [first, small, large], e.executed


async def test_counts_a_stream_that_exceeds_its_estimate(d):
    """Guards against too many streams at an engine: for lack of memory it
    evicted streams and prefilled them again."""
    e = await start_one_decoder(d, kv_capacity_tokens=90000,
                                event_interval_s=0.003)
    long_rid, raw = d.request_bytes("stream", tokens=(30000, 8000),
                                    fields={"Length-Hint": "16"})
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS_PORT)
    parts = []
    writer.write(raw)
    long = asyncio.ensure_future(read_response(reader, parts.append))
    # The other request has no room once 500 events of 8 tokens have come.
    while b"".join(parts).count(b"id: ") < 700:
        assert not long.done()
        await asyncio.sleep(0.02)
    assert e.executed and not e.completed
    rid, r = await d.request("stream", tokens=(6000, 80))
    assert r.status == 200
    assert (await long).complete
    writer.close()
    assert e.completed == [long_rid, rid], "did not wait for free memory"


async def metrics_page(d, path, host=0):
    reader, writer = await asyncio.open_connection(
        d.hosts[host].ip, METRICS_PORT)
    writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path)
    r = await asyncio.wait_for(read_response(reader), 2)
    writer.close()
    return r.body.decode()


async def test_serves_metrics(d):
    await start_small(d)
    await d.request("idempotent")
    body = await metrics_page(d, b"/metrics")
    assert "figbend_answered_total 1\n" in body
    assert 'figbend_answer_seconds_bucket{le="+Inf"} 1\n' in body


async def test_shows_why_an_endpoint_gets_nothing(d):
    await start_small(d)
    first, second = plain_endpoints(d)
    first.leaving = True
    second.limit = 5
    for _ in range(6):
        await d.request("idempotent")
    lines = {line.split()[0]: line for line in
             (await metrics_page(d, b"/endpoints")).splitlines()}
    assert len(lines) == len(d.endpoints)
    line = lines[f"endpoint={first.name}"]
    assert "usable=0" in line and "leaving_age_ms=-1" not in line, line
    line = lines[f"endpoint={second.name}"]
    assert "usable=1" in line and "limit_milli_per_s=5000" in line, line
    assert "figbend_endpoints_leaving_total 1\n" in await metrics_page(
        d, b"/metrics")


async def test_does_not_block_on_its_log(d):
    """Standard output is a pipe that fills up, because nobody reads it."""
    h = d.hosts[0]
    h.start = lambda: start_with_unread_pipe(h)
    await start_small(d)
    for _ in range(600):
        assert (await d.request("nowhere"))[1].status == 404
    assert (await d.request("idempotent"))[1].status == 200


async def start_with_unread_pipe(h):
    _, h.unread_pipe = os.pipe()
    h.process = await asyncio.create_subprocess_exec(
        h.binary, "--pools", h.settings_path, stdout=h.unread_pipe)


async def start_hedging(d, share=0.2, domains=("a", "b")):
    """Plain endpoints, and hosts that know how long their calls take."""
    d.publish_config()
    for domain in domains:
        await d.add_endpoint("plain", domain)
    for h in d.hosts:
        h.change_settings(hedge_share=share)
    await d.start()
    await d.wait_ready()
    # Some take 60 ms, so that a busy machine makes no other call due for a hedge.
    for e in d.endpoints:
        e.slow_s = 0.06
    for i in range(25):
        set_faults(d, "slow" if i % 6 == 5 else None)
        rid, r = await d.request("idempotent")
        assert r.status == 200, r.status
    set_faults(d)
    await refill_share(d)
    for e in d.endpoints:
        e.slow_s = 5


async def refill_share(d):
    """Calls until the share has a hedge again: on a busy machine one of these calls may
    be due for a hedge, too."""
    hedges = None
    while hedges != (await counters(d))["hedges"]:
        hedges = (await counters(d))["hedges"]
        for _ in range(6):  # each adds a fifth of a hedge
            rid, r = await d.request("idempotent")
            assert r.body == f"answer to {rid}".encode()


def set_faults(d, *faults):
    """The next request to any endpoint gets the first fault, the next the second."""
    rest = list(faults)
    for e in d.endpoints:
        e.next_fault = lambda: rest.pop(0) if rest else None


async def counters(d, host=0):
    text = await metrics_page(d, b"/metrics", host)
    return {line.split()[0][8:-6]: int(line.split()[1])
            for line in text.splitlines() if line.split()[0].endswith("_total")}


def hedges_of(d, rids, end=""):
    """Counts the hedges of these requests that ended so; calls that warm the hosts up may
    be hedged, too, on a busy machine."""
    log = d.hosts[0].log()
    return sum(f"event=hedge request={rid} " in line and end in line
               for line in log.splitlines() for rid in rids)


async def check_nothing_runs(d, host=0):
    """Guards against what a canceled attempt leaves counted at its endpoint."""
    view = (await metrics_page(d, b"/endpoints", host)).splitlines()
    assert len(view) == len(d.endpoints)
    assert all(" own=0 " in line for line in view), view


async def test_hedges_a_slow_call(d):
    """Guards against a hedge that comes late, answers twice, or leaves a load."""
    await start_hedging(d)
    slow = []
    for loser in ("slow", "hang"):
        await refill_share(d)
        set_faults(d, loser)
        start = time.monotonic()
        rid, r = await d.request("idempotent")
        slow.append(rid)
        assert (r.status, r.body) == (200, f"answer to {rid}".encode())
        assert time.monotonic() - start < 0.4
        left_ms = {m[4]: int(m[1]["deadline-ms"]) for e in d.endpoints
                   for m in e.received if m[0] == rid}
        assert left_ms[None] < left_ms[loser], left_ms
        set_faults(d)
        for _ in range(12):
            rid, r = await d.request("idempotent")
            assert r.body == f"answer to {rid}".encode()
    c = await counters(d)
    assert c["hedges"] == c["sends_again"] >= 2 and c["hedges_won"] >= 2, c
    assert c["hedge_loser_ms"] < 1000
    assert [hedges_of(d, [rid], "end=second_won") for rid in slow] == [1, 1]
    assert hedges_of(d, slow) == hedges_of(d, slow, "loser_ran_ms=") == 2
    await check_nothing_runs(d)


async def test_hedged_calls_get_no_crossed_answer(d):
    """Guards against an answer to another request, or one that was canceled."""
    await start_hedging(d)
    slow = []
    for faults in (("slow", "wrong_id"), ("slow", "extra_response"),
                   ("hang", "wrong_id")):
        await refill_share(d)
        set_faults(d, *faults)
        rid, r = await d.request("idempotent")
        assert (r.status, r.body) == (200, f"answer to {rid}".encode())
        slow.append(rid)
        for _ in range(11):
            rid, r = await d.request("idempotent")
            assert (r.status, r.body) == (200, f"answer to {rid}".encode())
    assert (await counters(d))["hedges_won"] >= 3
    assert [hedges_of(d, [rid], "end=second_won") for rid in slow] == [1] * 3


async def test_a_failed_attempt_leaves_the_other_one(d):
    """Guards against an end, or a third attempt, when one of two has failed."""
    await start_hedging(d)
    for e in d.endpoints:
        e.slow_s = 0.6
    for failure in ("reset", "truncate", "unsigned"):
        set_faults(d, "slow", failure)
        rid, r = await d.request("idempotent")
        assert r.status == 200, (failure, r.status)
        assert executions(d, rid) == 2, failure
        assert sum(m[0] == rid for e in d.endpoints for m in e.received) == 2
        await asyncio.sleep(0.6)
        set_faults(d)
        for _ in range(6):
            await d.request("idempotent")
        await refill_share(d)
    log = d.hosts[0].log()
    assert log.count("end=second_failed") == 3, log.count("end=second_failed")


async def test_a_silent_attempt_times_out_after_its_hedge_failed(d):
    """Guards against a first attempt without a time-out once its hedge has failed."""
    d.routes[[r["Name"] for r in d.routes].index("idempotent")]["MaxAttempts"] = 3
    await start_hedging(d, domains=("a", "b", "a"))
    set_faults(d, "hang", "reset")
    # The time-out is 1.5 s, and a retry needs as much.
    rid, r = await d.request("idempotent", deadline_ms=3050)
    assert (r.status, r.body) == (200, f"answer to {rid}".encode())
    assert "end=second_failed" in d.hosts[0].log()


async def test_a_hedge_goes_on_when_the_first_attempt_fails(d):
    """Guards against a hedge that ends with the first attempt."""
    await start_hedging(d)
    for e in d.endpoints:
        e.work_s, e.slow_s = 0.3, 0.3
    rid, raw = d.request_bytes("idempotent")
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS_PORT)
    writer.write(raw)
    await wait_until(lambda: executions(d, rid) == 2)
    first = [e for e in d.endpoints if e.received[-1][0] == rid]
    first.sort(key=lambda e: int(e.received[-1][1]["deadline-ms"]))
    for w in list(first[1].writers):
        w.transport.abort()
    r = await asyncio.wait_for(read_response(reader), 2)
    assert (r.status, r.body) == (200, f"answer to {rid}".encode())
    assert "end=first_failed" in d.hosts[0].log()
    assert (f"request={rid} endpoint={first[1].name} fingerprint"
            in d.hosts[0].log()), "the crash is charged to the first one"
    writer.close()


async def wait_until(condition, timeout_s=3):
    for _ in range(int(timeout_s / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met")


async def test_both_attempts_end_with_the_request(d):
    """Guards against exchanges that go on for a caller that left, at the deadline and
    when two losers never end."""
    await start_hedging(d)
    for end in ("caller", "deadline"):
        set_faults(d, "hang", "hang")
        rid, raw = d.request_bytes("idempotent", deadline_ms=600)
        reader, writer = await asyncio.open_connection(d.hosts[0].ip,
                                                       CALLERS_PORT)
        writer.write(raw)
        await wait_until(lambda: sum(
            m[0] == rid for e in d.endpoints for m in e.received) == 2)
        if end == "deadline":
            r = await asyncio.wait_for(read_response(reader), 2)
            assert r.status == 504, r.status
        writer.close()
        await wait_until(
            lambda: d.hosts[0].log().count(f"hedge request={rid}") == 1)
        await asyncio.sleep(0.6)
        set_faults(d)
        for _ in range(12):
            await d.request("idempotent")
    await check_nothing_runs(d)
    assert d.hosts[0].log().count("end=request_ended") == 2


async def test_a_stopping_host_ends_a_hedged_call(d):
    """Guards against a hedge that keeps a stopping host, or is lost with it."""
    await start_hedging(d)
    set_faults(d, "hang", "slow")
    for e in d.endpoints:
        e.slow_s = 1
    task = asyncio.ensure_future(d.request("idempotent"))
    await wait_until(lambda: sum(m[0] == f"{d.last_id:016x}"
                                 for e in d.endpoints for m in e.received) == 2)
    d.hosts[0].signal(signal.SIGTERM)
    rid, r = await task
    assert (r.status, r.body) == (200, f"answer to {rid}".encode())
    assert await asyncio.wait_for(d.hosts[0].process.wait(), 8) == 0


async def test_hedges_only_what_may_be_repeated(d):
    """Guards against hedges of non-idempotent calls, of routes with one attempt, of
    calls near their deadline, and with a limit or a full service."""
    d.routes.append(d.route("once", "idempotent", "plain", attempts=1))
    await start_hedging(d)
    before = (await counters(d))["hedges"]
    for route, more in (("non_idempotent", {}), ("once", {}),
                        ("idempotent", {"deadline_ms": 50})):
        for _ in range(0 if more else 25):
            await d.request(route)
        set_faults(d, "slow")
        for e in d.endpoints:
            e.slow_s = 0.5
        rid, r = await d.request(route, **more)
        assert sum(m[0] == rid for e in d.endpoints for m in e.received) < 2
        set_faults(d)
    c = await counters(d)
    assert (c["hedges"], c["hedges_denied_deadline"]) == (before, 1), c
    for e in d.endpoints:
        e.limit = 1000
    await d.request("idempotent")
    await d.request("idempotent")
    set_faults(d, "slow")
    rid, r = await d.request("idempotent")
    assert r.status == 200 and executions(d, rid) == 1
    c = await counters(d)
    assert (c["hedges"], c["hedges_denied_limited"]) == (before, 1), c


async def test_without_a_share_nothing_is_hedged(d):
    await start_hedging(d, share=0)
    set_faults(d, "slow")
    for e in d.endpoints:
        e.slow_s = 0.5
    rid, r = await d.request("idempotent")
    assert r.status == 200 and executions(d, rid) == 1
    assert not any(n for k, n in (await counters(d)).items()
                   if k.startswith("hedge"))


async def run_test(binary, name, test):
    with tempfile.TemporaryDirectory() as tmp:
        d = Deployment(binary, tmp, getattr(test, "hosts", 2),
                       getattr(test, "domains", ("a", "b")))
        try:
            await asyncio.wait_for(test(d), 60)
            return None
        except Exception as e:  # printed with the hosts' logs
            logs = "".join(h.log()[-3000:] for h in d.hosts
                           if os.path.exists(h.log_path))
            return f"{type(e).__name__}: {e}\n{logs}"
        finally:
            await d.stop()


def known_red():
    """Returns the tests that KNOWN-RED.txt lists by "pools NAME:"."""
    path = os.path.join(os.path.dirname(__file__), "../../KNOWN-RED.txt")
    with open(path) as f:
        return [line[6:].split(":")[0] for line in f
                if line.startswith("pools ")]


def select_tests(arguments):
    """Returns the tests to run, by name."""
    tests = {k[5:]: v for k, v in globals().items() if k.startswith("test_")}
    if arguments and arguments[0] != "--part":
        unknown = [name for name in arguments if name not in tests]
        if unknown:
            sys.exit(f"no such test: {' '.join(unknown)}")
        return {name: tests[name] for name in arguments}
    for name in known_red():
        print(f"known red, passed over: {name}")
        del tests[name]
    if arguments:
        k, n = arguments[1].split("/")
        tests = dict(list(tests.items())[int(k)::int(n)])
    return tests


def main():
    binary, tests = sys.argv[1], select_tests(sys.argv[2:])
    failed = 0
    for name, test in tests.items():
        start = time.monotonic()
        error = asyncio.run(run_test(binary, name, test))
        failed += error is not None
        print(f"{'FAILED' if error else 'ok'} {name} "
              f"({time.monotonic() - start:.1f} s)", flush=True)
        if error:
            print(error)
    print(f"{len(tests) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
