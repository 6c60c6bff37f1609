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
DRAIN_S = BOUNDS["DrainTimeoutMs"] / 1000
CONFIG_S = BOUNDS["ConfigApplyMs"] / 1000
LINGER_S = 0.4  # an engine that leaves goes on for a little longer, then exits


def config(service):
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
            "Tenants": [{"Name": "huka270", "ApiKeys": ["k9m68k7b2ex5wa5xwyhk"],
                         "Unit": "tokens", "UncachedTokens": 200,
                         "RatePerS": 0, "Burst": 0}]}


async def client(d, machine, path, method, done, stop):
    c = Connection(machine)
    while not stop.is_set():
        rid, raw = d.request(path, key="k9m68k7b2ex5wa5xwyhk", method=method)
        sent = now()
        d.record.write(f"sent {rid} {path} to {machine.name}")
        status, _, body = await c.request(raw)
        d.record.write(f"answered {rid} {status} {body.decode()}")
        done[rid] = (sent, path, status, body)
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
        await d.start(config("registry"))
        tasks.append(asyncio.ensure_future(d.heartbeats()))
        await asyncio.sleep(CALM_S)
        # The store sees who reads its list of engines.
        quiet = [m for m, s in zip(d.machines, d.stores)
                 if not s.open_reads.get("keyed.servers")]
        if len(quiet) != 1:
            raise CannotRun(f"{len(quiet)} machines do not read the store")
        left = quiet[0]
        tasks += [asyncio.ensure_future(client(
            d, left, *(("/signoff/1", "POST") if i % 2 else
                       ("/lookup/1", "GET")), done, stop))
            for i in range(CLIENTS)]
        await asyncio.sleep(2)
        if TROUBLE:
            for m in d.machines:
                if m is not left:
                    record.write(f"kills {m.name}")
                    m.signal(signal.SIGKILL)
        await asyncio.sleep(0.02)
        leaving = d.engines[0]
        leaving.leaves = True
        drain_s = d.put_entry(leaving, "draining")
        record.say(f"{drain_s:.3f} s: {leaving.name} is draining, acknowledged "
                   "by the store")
        config_s = d.put_config(config("registry2"))
        record.say(f"{config_s:.3f} s: version {d.version} moves the look-ups, "
                   "acknowledged by the store")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        running = {rid for _, rid in leaving.runs
                   if rid not in leaving.answered}
        record.say(f"{now():.3f} s: {leaving.name} exits")
        await leaving.stop(reset=True)
        await asyncio.sleep(AFTER_S - DRAIN_S - LINGER_S)
        stop.set()
        await asyncio.sleep(2)
        late = [(t, rid) for t, rid, _ in leaving.arrivals
                if t > drain_s + DRAIN_S]
        old = [rid for rid, (sent, path, status, body) in done.items()
               if path.startswith("/lookup") and status == 200 and
               sent > config_s + CONFIG_S and
               body.startswith(b"registry answers")]
        lost = [rid for _, rid in late
                if rid in running and done[rid][2] != 200]
        record.say(f"DRAIN: {len(late)} requests reached {leaving.name} later "
                   f"than {DRAIN_S:.0f} s after the acknowledgement" +
                   (f", the last one {late[-1][0] - drain_s:.3f} s after it"
                    if late else ""))
        record.say(f"  {len(lost)} of them were running when it exited and are "
                   "lost")
        record.say(f"CONFIG: {len(old)} requests sent later than {CONFIG_S:.0f} "
                   "s after the acknowledgement were run by the old service")
        if len(done) < 50:
            raise CannotRun("too few requests were answered")
        return bool(late)
    finally:
        for t in tasks:
            t.cancel()
        await d.stop()


run_case(HERE, case)
