#!/usr/bin/env python3
"""A randomized soak test with fault injection into real processes.

usage: soak.py BINARY [--seed N] [--seeds N] [--minutes M] [--hosts N]
               [--keep DIR] [--plant CHECK]

A seeded schedule stops, pauses, kills and restarts hosts, degrades the
connections to endpoints, injects faults into endpoints and the store, and
changes the configuration, while callers send requests. Checks:

once     a request on the route non_idempotent or stream, which must not be
         retried after an execution, is executed at most once
refused  such a request is not executed if it is refused (429 or 503)
own      a complete response has the content that belongs to its request
denied   a valid request gets no 400, 401 or 404
key      endpoints receive the account's name and never an API key
leaving  a draining endpoint receives no requests
notice   an endpoint that says that it leaves, names a limit or wants nothing for
         a time gets no more than that
poison   a part of prompts that crashes endpoints is blocked
held     after the last caller, endpoints hold no reservations or requests
exit     a host exits within 9 s of SIGTERM, with status 0
recover  each host serves requests after the faults

--plant simulates a violation of CHECK, which the run has to report.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "pools"))

from deployment import (CALLERS_PORT, LOOPBACK_NET,  # noqa: E402
                        Deployment, read_response)
from proxy import Proxy  # noqa: E402

ROUTES = ("non_idempotent", "non_idempotent", "idempotent", "stream",
          "resumable")
# 2 s to stop sending, a heartbeat interval, and a margin for a slow machine.
DRAIN_GRACE_S = 2.6
# Crashes until a part of prompts is blocked, and requests on their way then.
CRASHES_MAX = 5 + 3
CONCURRENT_CALLERS = 8


class Soak:
    def __init__(self, binary, tmp, seed, hosts, seconds, plant):
        self.random = random.Random(seed)
        self.d = Deployment(binary, tmp, hosts)
        self.seconds, self.plant = seconds, plant
        self.proxies, self.faults = [], []
        self.violations, self.sent, self.completed = [], 0, 0
        self.paused, self.restarting = set(), set()
        # The last time a host or a connection was disturbed.
        self.disturbed = 0.

    def violation(self, check, text):
        self.violations.append(f"{check}: {text}")

    async def build(self):
        d = self.d
        d.publish_config()
        for i, (service, domain, stage) in enumerate(
                [("plain", "a", None), ("plain", "b", None),
                 ("plain", "a", None), ("model", "a", "prefill"),
                 ("model", "b", "prefill"), ("model", "a", "decode"),
                 ("model", "b", "decode"), ("model", "a", "decode")]):
            e = await d.add_endpoint(service, domain, stage)
            p = Proxy(LOOPBACK_NET + ".3.1", 21700 + i, e.host, e.port)
            await p.start()
            e.addr = p.addr
            self.proxies.append(p)
            d.store.put_json("keyed.servers", e.name, e.entry())
        await d.start()
        await d.wait_ready()

    # Callers.

    async def caller(self, end):
        while time.monotonic() < end:
            route = self.random.choice(ROUTES)
            tokens = (self.random.randint(100, 6000), 160) \
                if route in ("stream", "resumable") else None
            host = self.random.choice(self.d.hosts)
            try:
                await asyncio.wait_for(self.call(route, tokens, host), 12)
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.random.uniform(0, 0.05))

    async def call(self, route, tokens, host):
        rid, raw = self.d.request_bytes(route, tokens=tokens)
        if self.plant == "key":
            raw = raw.replace(b"\r\n\r\n", b"\r\nLeak: key-one\r\n\r\n", 1)
        reader, writer = await asyncio.open_connection(host.ip, CALLERS_PORT)
        writer.write(raw)
        self.sent += 1
        if self.random.random() < 0.05:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            writer.transport.abort()
            return
        r = await read_response(reader)
        writer.close()
        self.check_response(rid, route, r)

    def check_response(self, rid, route, r):
        executions = sum(e.executed.count(rid) for e in self.d.endpoints)
        if self.plant == "own":
            r.body = r.body.replace(rid.encode(), b"another")
        if route in ("non_idempotent", "stream") and \
                executions + (self.plant == "once") > 1:
            self.violation(
                "once", f"{rid} on {route} was executed {executions} times")
        if r.status in (429, 503) and \
                route in ("non_idempotent", "stream") and \
                executions + (self.plant == "refused"):
            self.violation("refused", f"{rid} got {r.status} and was executed")
        if r.status in (400, 401, 404):
            self.violation("denied", f"{rid} got {r.status}")
        if r.status != 200 or not r.complete:
            return
        self.completed += 1
        expected = f"answer to {rid}".encode() \
            if route in ("non_idempotent", "idempotent") else \
            b"".join(b"id: %d\ndata: %s %d\n\n" % (i, rid.encode(), i)
                     for i in range(1, 21))
        if r.body != expected:
            self.violation("own", f"{rid} on {route}: {r.body[:200]}")

    # Faults. Each method injects a fault and removes it again, except that the
    # requests sent to an endpoint use up the faults of fail_endpoint().

    async def inject_faults(self, end):
        kinds = [self.kill_host, self.pause_host, self.stop_host,
                 self.degrade_connections, self.fail_endpoint, self.fail_store,
                 self.change_config, self.drain_endpoint, self.give_notice,
                 self.send_poison]
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            kind = self.random.choice(kinds)
            self.faults.append(kind.__name__)
            tasks.append(asyncio.ensure_future(kind()))
        await asyncio.gather(*tasks)

    async def kill_host(self):
        host = self.random.choice(self.d.hosts)
        if host in self.restarting:
            return
        self.restarting.add(host)
        await host.kill()
        await asyncio.sleep(self.random.uniform(0, 1))
        await host.start()
        self.restarting.discard(host)
        self.disturbed = time.monotonic()

    async def stop_host(self):
        host = self.random.choice(self.d.hosts)
        # A paused host may not exit within its stop time.
        if host in self.restarting or host in self.paused:
            return
        self.restarting.add(host)
        host.signal(signal.SIGTERM)
        if self.random.random() < 0.3:
            host.signal(signal.SIGHUP)
        try:
            await asyncio.wait_for(host.process.wait(), 9)
            if host.process.returncode not in (0, -signal.SIGKILL):
                self.violation("exit", f"{host.name} exited with "
                                       f"{host.process.returncode}")
        except asyncio.TimeoutError:
            self.violation("exit", f"{host.name} still runs 9 s after SIGTERM")
            await host.kill()
        await host.start()
        self.restarting.discard(host)
        self.disturbed = time.monotonic()

    async def pause_host(self):
        host = self.random.choice(self.d.hosts)
        if host in self.restarting:
            return
        self.paused.add(host)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3))
        host.signal(signal.SIGCONT)
        self.paused.discard(host)
        self.disturbed = time.monotonic()

    async def degrade_connections(self):
        p = self.random.choice(self.proxies)
        p.mode = self.random.choice(
            ["delay", "blackhole", "drop_responses", "reset"])
        if self.random.random() < 0.3:
            p.reset_all()
        await asyncio.sleep(self.random.uniform(0.2, 3))
        p.mode = "ok"
        self.disturbed = time.monotonic()

    async def fail_endpoint(self):
        e = self.random.choice(self.d.endpoints)
        e.faults += self.random.choices(
            ["overloaded", "reset", "truncate", "extra_response", "wrong_id",
             "unsigned", "hang", "truncate_event", "handle_missing", "late",
             "half_head", "error", "old_refusal", "until_close",
             "until_close_truncate_event", None],
            k=self.random.randint(1, 8))
        e.anonymous_refusals = self.random.random() < 0.5

    async def fail_store(self):
        store = self.random.choice(self.d.host_stores)
        store.mode = self.random.choice(["hang", "refuse", "close"])
        if self.random.random() < 0.3:
            self.d.store.expire_history("keyed.op")
        for w in list(store.writers):
            w.transport.abort()
        await asyncio.sleep(self.random.uniform(0.5, 4))
        store.mode = "ok"

    async def change_config(self):
        for _ in range(self.random.randint(1, 3)):
            self.d.publish_config()
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def drain_endpoint(self):
        e = self.random.choice(self.d.endpoints)
        if e.draining:
            return
        # Other faults publish the entry too, while the endpoint drains.
        e.draining = True
        self.d.store.put_json("keyed.servers", e.name, e.entry())
        await asyncio.sleep(DRAIN_GRACE_S)
        before = len(e.received)
        hosts_up_to_date = not self.paused and not self.restarting and \
            all(s.mode == "ok" for s in self.d.host_stores)
        await asyncio.sleep(1)
        if self.plant == "leaving":
            before -= 1
        if hosts_up_to_date and len(e.received) > before:
            self.violation("leaving", f"{e.name} received "
                                      f"{len(e.received) - before} requests")
        e.draining = False
        self.d.store.put_json("keyed.servers", e.name, e.entry())

    def is_calm(self, since):
        """Returns true if nothing disturbed hosts and connections since then:
        otherwise they may not know of what an endpoint says."""
        return (self.disturbed < since and not self.paused and
                not self.restarting and
                all(p.mode == "ok" for p in self.proxies))

    async def give_notice(self):
        e = self.random.choice(self.d.endpoints)
        kind = self.random.choice(["leaving", "limit", "retry_after"])
        if e.leaving or e.limit or e.retry_after or e.draining:
            return
        start, n = time.monotonic(), len(e.call_times)
        setattr(e, kind, {"leaving": True, "retry_after": "3",
                          "limit": self.random.uniform(0.5, 3)}[kind])
        await asyncio.sleep(DRAIN_GRACE_S)
        calls, calm = e.call_times[n:], self.is_calm(start)
        told = calls[0] + 1 if calls else 0
        late = [t for t in calls if t > told]
        if kind == "limit":
            most = 6 * e.limit + 5
        elif kind == "retry_after":
            most = 2 * len(self.d.hosts)
        else:
            n = len(e.call_times)
            await asyncio.sleep(1)
            late, most = e.call_times[n:], 0
            calm = self.is_calm(start)
        if self.plant == "notice":
            late, calm = late + [0.] * 100, True
        if calls and calm and len(late) > most:
            self.violation("notice", f"{e.name} got {len(late)} calls after "
                                     f"{kind}, {most:.0f} allowed")
        e.leaving, e.limit, e.retry_after = False, None, None
        e.started_ms += 1
        self.d.store.put_json("keyed.servers", e.name, e.entry())

    async def send_poison(self):
        """Requests with a part of their prompts that crashes endpoints."""
        start = time.monotonic()
        before = sum(e.crashes for e in self.d.endpoints)
        for i in range(16):
            try:
                await self.d.request("stream", host=i % len(self.d.hosts),
                                     tokens=(300, 16), parts=("a", "dead"),
                                     body=b"%d" % i, timeout_s=6)
            except (OSError, asyncio.TimeoutError):
                pass
        crashes = sum(e.crashes for e in self.d.endpoints) - before
        crashes += CRASHES_MAX * (self.plant == "poison")
        if (self.is_calm(start) or self.plant) and crashes > CRASHES_MAX:
            self.violation("poison", f"{crashes} crashes by one part")

    # After the faults.

    def check_endpoints(self):
        for e in self.d.endpoints:
            for rid, headers, _, body, _ in e.received:
                text = " ".join(headers.values())
                if "api-key" in headers or self.d.api_key in text:
                    self.violation(
                        "key", f"{e.name} received the API key of {rid}")
                if headers.get("tenant") != "one":
                    self.violation(
                        "key", f"{e.name} received a wrong account for {rid}")

    async def check_recovery(self):
        await asyncio.sleep(4)
        busy = [e.name for e in self.d.endpoints
                if e.used_tokens() or (e.stage and e.running)]
        if busy or self.plant == "held":
            self.violation("held",
                           f"not released after the last caller: {busy}")
        for i in range(len(self.d.hosts)):
            rid, r = await self.d.request("idempotent", host=i)
            if r.status != 200:
                self.violation("recover", f"h{i + 1} responds with {r.status}")

    async def run(self):
        try:
            await self.build()
            end = time.monotonic() + self.seconds
            await asyncio.gather(self.inject_faults(end), *(
                self.caller(end + 1) for _ in range(CONCURRENT_CALLERS)))
            for p in self.proxies:
                p.mode = "ok"
            for e in self.d.endpoints:
                e.faults, e.limit, e.retry_after = [], None, None
            await self.check_recovery()
            self.check_endpoints()
        finally:
            await self.d.stop()
            for p in self.proxies:
                await p.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.2)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--keep",
                        help="directory for the hosts' logs of failed seeds")
    parser.add_argument("--plant", choices=["own", "once", "refused", "key",
                                            "leaving", "held", "notice",
                                            "poison"])
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        tmp = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.keep)
        soak = Soak(os.path.abspath(options.binary), tmp, seed, options.hosts,
                    options.minutes * 60, options.plant)
        asyncio.run(soak.run())
        failed += bool(soak.violations)
        print(f"seed {seed}: {soak.sent} requests, {soak.completed} complete "
              f"responses, {len(soak.faults)} faults, "
              f"{len(soak.violations)} violations", flush=True)
        for line in soak.violations[:5]:
            print(f"  {line}")
        if soak.violations and not options.plant:
            print(f"  logs: {tmp}")
    print(f"{options.seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
