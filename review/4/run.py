"""See claim.txt. Machines are killed while an engine leaves."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

ZONES = {"opole-a": 3, "opole-b": 2, "opole-c": 2}
DRAIN_S = 2.0  # DrainTimeoutMs
LINGER_S = 6.0  # the engine serves for so much longer, then exits
DOWN_S = 0.5  # until a killed process is started again
KEY = "3d3zji9n73hh2b9wu3fe"


async def start(record, tmp):
    store = s.Store()
    port = s.free_port(f"{s.NET}.200")
    hosts, engines, n = [], [], 0
    for zone, count in ZONES.items():
        for i in range(count):
            n += 1
            store_ip = f"{s.NET}.{200 + n}"
            await store.listen(store_ip, port)
            hosts.append(s.Host(tmp, f"frontend-{zone}-{i + 1}", zone, n,
                                list(ZONES), store_ip, port))
        engine = s.Engine(f"i-{zone}", "registry", zone, f"{s.NET}.100")
        await engine.start()
        engines.append(engine)
        store.put("keyed.servers", engine.name, engine.entry())
    store.put("keyed.op", "config", s.configuration(
        3, [("signoff", "non_idempotent", "registry")], ["registry"], [KEY]))
    await asyncio.gather(*(h.start() for h in hosts))
    for _ in range(100):
        if all(await asyncio.gather(*(h.ready() for h in hosts))):
            record.say("all hosts are ready")
            return store, hosts, engines
        await asyncio.sleep(0.1)
    raise RuntimeError("hosts do not become ready")


async def play(record, tmp):
    store, hosts, engines = await start(record, tmp)
    end = [time.monotonic() + 60]
    tasks = []
    try:
        await asyncio.sleep(4)
        # The machine that does not wait for records of the store survives.
        readers = set()
        for _ in range(20):
            readers.update(store.reading)
            await asyncio.sleep(0.05)
        passive = [h for h in hosts if h.store_ip not in readers]
        if not passive:
            record.say("each host reads the store")
            return s.CANNOT_RUN
        survivor, leaving = passive[0], engines[0]
        for h in hosts:
            for _ in range(4):
                tasks.append(asyncio.ensure_future(s.Client(
                    h, "/signoff/1", "non_idempotent", KEY, 0.2).run(
                        lambda: end[0])))
        await asyncio.sleep(4)
        if s.TROUBLE:
            record.say(f"all machines but {survivor.name} are killed")
            others = [h for h in hosts if h is not survivor]
            await asyncio.gather(*(h.kill() for h in others))
        await asyncio.sleep(0.2)
        gone = store.put("keyed.servers", leaving.name, None)
        record.say(f"the store acknowledges that {leaving.name} is gone", gone)
        await asyncio.sleep(DOWN_S - 0.2)
        if s.TROUBLE:
            await asyncio.gather(*(h.start() for h in others))
            record.say("the killed processes are started again")
        await asyncio.sleep(gone + DRAIN_S + LINGER_S - time.monotonic())
        leaving.exit()
        record.say(f"{leaving.name} exits, {len(leaving.cut)} at work")
        await asyncio.sleep(2)
        end[0] = 0
        await asyncio.gather(*tasks)
        return judge(record, survivor, leaving, gone)
    finally:
        for t in tasks:
            t.cancel()
        await asyncio.gather(*(h.kill() for h in hosts))
        for server in [store] + engines:
            server.exit()


def judge(record, survivor, leaving, gone):
    """DRAIN: no request of a machine in touch may reach the engine later than
    DrainTimeoutMs after the acknowledgement. The machine that survives is in
    touch all the time."""
    attempts = {a.rid: a for a in s.Client.all}
    late = [(at, rid) for at, rid in leaving.arrived
            if at > gone + DRAIN_S and rid in attempts and
            attempts[rid].host == survivor.name]
    lost = [attempts[rid] for rid in leaving.cut if rid in attempts]
    for a in s.Client.all:
        record.say(f"{a.rid} sent to {a.host}: {a.status} after "
                   f"{((a.ended or a.sent) - a.sent) * 1000:.0f} ms", a.sent)
    for at, rid in late:
        record.say(f"{rid} of {attempts[rid].host} reaches {leaving.name}, "
                   f"which is gone since {at - gone:.3f} s", at)
    for a in lost:
        record.say(f"{a.rid} was at work as {leaving.name} exited; its client "
                   f"got {a.status}")
    statuses = [a.status for a in s.Client.all]
    record.say(f"requests sent: {len(statuses)}, answered with 200: "
               f"{statuses.count(200)}")
    record.say(f"requests that reached {leaving.name} later than {DRAIN_S} s "
               f"after it was gone: {len(late)}, cut by its exit: {len(lost)}")
    return s.BROKEN if late else s.HELD


s.main(FOLDER, play)
