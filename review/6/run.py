"""All machines that read the platform's store are killed at once; see claim.txt."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins2 import (BOUNDS, TROUBLE, CannotRun, Connection,  # noqa: E402
                       Deployment, now, run_case)

CALM_S = 6.0  # ContactMs is 3 s
CLIENTS = 6
INTERVAL_S = 0.1
AFTER_S = 5.0
CONFIG_S = BOUNDS["ConfigApplyMs"] / 1000
KEPT_KEY, DROPPED_KEY = "k9m68k7b2ex5wa5xwyhk", "banfqasnmgkcuyj8pjbv"


def config(service, keys):
    """The route of the look-ups leads to the service."""

    def route(name, kind, service, attempts):
        return {"Name": name, "Host": "ficu95.example",
                "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 1500,
                "TargetLatencyMs": 300, "Priority": 2, "Service": service,
                "MaxAttempts": attempts, "Anonymous": False,
                "SessionAffinity": False, "Resumable": False}

    def declare(name):
        return {"Name": name, "HealthCheckPath": "/health",
                "ConnectionLimit": 100, "Protocol": "h1", "Tls": False}

    return {"Routes": [route("signoff", "non_idempotent", "registry", 1),
                       route("lookup", "idempotent", service, 2)],
            "Services": [declare("registry"), declare("registry2")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "huka270", "ApiKeys": keys, "Unit": "tokens",
                         "UncachedTokens": 200, "RatePerS": 0, "Burst": 0}]}


async def client(d, machine, path, method, key, done, stop):
    c = Connection(machine)
    while not stop.is_set():
        rid, raw = d.request(path, key=key, method=method)
        sent = now()
        d.record.write(f"sent {rid} {path} key {key} to {machine.name}")
        status, _, body = await c.request(raw)
        d.record.write(f"answered {rid} {status} {body.decode()}")
        done[rid] = (sent, path, key, status, body)
        await asyncio.sleep(INTERVAL_S)
    c.close()


async def case(record, tmp):
    d = Deployment(tmp, record, [("opole-a", 3), ("opole-b", 2),
                                 ("opole-c", 2)])
    for zone in ("opole-a", "opole-b", "opole-c"):
        d.add_engine("registry", zone)
    d.add_engine("registry2", "opole-a")
    done, stop, tasks = {}, asyncio.Event(), []
    try:
        await d.start(config("registry", [KEPT_KEY, DROPPED_KEY]))
        tasks.append(asyncio.ensure_future(d.heartbeats()))
        await asyncio.sleep(CALM_S)
        # The store sees who reads its list of engines.
        quiet = [m for m, s in zip(d.machines, d.stores)
                 if not s.open_reads.get("keyed.servers")]
        if len(quiet) != 1:
            raise CannotRun(f"{len(quiet)} machines do not read the store")
        left = quiet[0]
        tasks += [asyncio.ensure_future(client(
            d, left, *(("/signoff/1", "POST", DROPPED_KEY) if i % 2 else
                       ("/lookup/1", "GET", KEPT_KEY)), done, stop))
            for i in range(CLIENTS)]
        await asyncio.sleep(2)
        if TROUBLE:
            for m in d.machines:
                if m is not left:
                    record.write(f"kills {m.name}")
                    m.signal(signal.SIGKILL)
        await asyncio.sleep(0.02)
        ack_s = d.put_config(config("registry2", [KEPT_KEY]))
        record.say(f"{ack_s:.3f} s: version {d.version} moves the look-ups to "
                   "another service and drops a key, acknowledged by the store")
        await asyncio.sleep(AFTER_S)
        stop.set()
        await asyncio.sleep(2)
        late = [(sent - ack_s, path, key, body)
                for sent, path, key, status, body in done.values()
                if status == 200 and sent > ack_s + CONFIG_S]
        old = [t for t, path, _, body in late if path.startswith("/lookup") and
               body.startswith(b"registry answers")]
        dropped = [t for t, _, key, _ in late if key == DROPPED_KEY]
        for name, times in (("by the old service", old),
                            ("with the dropped key", dropped)):
            record.say(f"CONFIG: {len(times)} requests sent later than "
                       f"{CONFIG_S:.0f} s after the acknowledgement were run "
                       f"{name}" + (f", the last one sent {max(times):.3f} s "
                                    "after it" if times else ""))
        if len(done) < 50:
            raise CannotRun("too few requests were answered")
        return bool(old or dropped)
    finally:
        for t in tasks:
            t.cancel()
        await d.stop()


run_case(HERE, case)
