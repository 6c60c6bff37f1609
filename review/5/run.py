"""See claim.txt. A write of an engine to the store is carried out late."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

ZONES = {"opole-a": 3, "opole-b": 2, "opole-c": 2}
HEARTBEAT_S = 1.2  # HeartbeatIntervalMs
DRAIN_S = 2.0  # DrainTimeoutMs
LINGER_S = 1.3  # the engine serves for so much longer, then exits
LOST_S = 0.3  # how long the store loses answers
LATE_S = 5.9  # when it carries out a write whose answer is lost
CONTACT_S = 3.0  # ContactMs
KEY = "3d3zji9n73hh2b9wu3fe"


class Heartbeats:
    """Writes an engine's entry to the store at each interval. While the store
    loses answers, a write may be carried out late. The entry is a new record
    if more than its sequence number has changed."""

    def __init__(self, store, engine, record):
        self.store, self.engine, self.record = store, engine, record
        self.state, self.losing, self.lost = "ready", False, 0
        self.late = []  # times at which late writes were carried out
        self.task = None

    def write(self):
        entry = self.engine.entry(self.state)
        if self.losing and not self.lost:
            self.lost = 1
            self.record.say(f"the answer to a write of {self.engine.name} "
                            f"({self.state}, sequence {entry['Sequence']}) "
                            "is lost")
            asyncio.get_running_loop().call_later(LATE_S, self.apply, entry,
                                                  True)
        else:
            self.apply(entry, False)

    def apply(self, entry, late):
        if late:
            self.record.say(f"the store carries out the late write of "
                            f"{self.engine.name} ({entry['State']}, sequence "
                            f"{entry['Sequence']})")
            self.late.append(time.monotonic())
        before = self.store.entries.get(self.engine.name)
        self.store.entries[self.engine.name] = entry
        if before and all(before[k] == v for k, v in entry.items()
                          if k != "Sequence"):
            return None
        return self.store.put("keyed.servers", self.engine.name, entry)

    async def run(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write()

    def drain(self):
        """Reports draining at once; the next writes follow at the interval."""
        self.state = "draining"
        entry = self.engine.entry(self.state)
        at = self.apply(entry, False)
        self.record.say(f"the store acknowledges that {self.engine.name} is "
                        f"draining (sequence {entry['Sequence']})", at)
        self.task.cancel()
        self.task = asyncio.ensure_future(self.run())
        return at


async def start(record, tmp):
    store = s.Store()
    store.entries = {}
    port = s.free_port(f"{s.NET}.200")
    await store.listen(f"{s.NET}.200", port)
    hosts, engines, beats, n = [], [], [], 0
    for zone, count in ZONES.items():
        for i in range(count):
            n += 1
            hosts.append(s.Host(tmp, f"frontend-{zone}-{i + 1}", zone, n,
                                list(ZONES), f"{s.NET}.200", port))
        engine = s.Engine(f"i-{zone}", "registry", zone, f"{s.NET}.100")
        await engine.start()
        engines.append(engine)
        beats.append(Heartbeats(store, engine, record))
        beats[-1].write()
    store.put("keyed.op", "config", s.configuration(
        3, [("signoff", "non_idempotent", "registry")], ["registry"], [KEY]))
    await asyncio.gather(*(h.start() for h in hosts))
    for _ in range(100):
        if all(await asyncio.gather(*(h.ready() for h in hosts))):
            record.say("all hosts are ready")
            return store, hosts, engines, beats
        await asyncio.sleep(0.1)
    raise RuntimeError("hosts do not become ready")


async def play(record, tmp):
    store, hosts, engines, beats = await start(record, tmp)
    end = [time.monotonic() + 60]
    for b in beats:
        b.task = asyncio.ensure_future(b.run())
    clients = []
    try:
        for h in hosts:
            for _ in range(4):
                clients.append(asyncio.ensure_future(s.Client(
                    h, "/signoff/1", "non_idempotent", KEY, 0.2).run(
                        lambda: end[0])))
        await asyncio.sleep(3)
        beat, leaving = beats[0], engines[0]
        begin = time.monotonic()
        if s.TROUBLE:
            record.say("the store loses answers")
            beat.losing = True
            beat.write()
            await asyncio.sleep(LOST_S)
            beat.losing = False
            record.say("the store loses no answers any more")
        stable = begin + LOST_S + CONTACT_S
        await asyncio.sleep(stable + 0.05 - time.monotonic())
        draining = beat.drain()
        await asyncio.sleep(draining + DRAIN_S + LINGER_S - time.monotonic())
        leaving.exit()
        beat.task.cancel()
        store.put("keyed.servers", leaving.name, None)
        record.say(f"{leaving.name} exits, {len(leaving.cut)} at work")
        await asyncio.sleep(1.5)
        end[0] = 0
        await asyncio.gather(*clients)
        return judge(record, leaving, draining)
    finally:
        for t in [b.task for b in beats] + clients:
            t.cancel()
        await asyncio.gather(*(h.kill() for h in hosts))
        for server in [store] + engines:
            server.exit()


def judge(record, leaving, draining):
    """DRAIN: no request may reach the engine later than DrainTimeoutMs after
    the acknowledgement. No machine is disturbed, and the store is stable from
    ContactMs after it lost the last answer."""
    attempts = {a.rid: a for a in s.Client.all}
    late = [(at, rid) for at, rid in leaving.arrived
            if at > draining + DRAIN_S]
    lost = [attempts[rid] for rid in leaving.cut if rid in attempts]
    for a in s.Client.all:
        record.say(f"{a.rid} sent to {a.host}: {a.status} after "
                   f"{((a.ended or a.sent) - a.sent) * 1000:.0f} ms", a.sent)
    for at, rid in late:
        record.say(f"{rid} of {attempts[rid].host} reaches {leaving.name}, "
                   f"which is draining since {at - draining:.3f} s", at)
    for a in lost:
        record.say(f"{a.rid} was at work as {leaving.name} exited; its client "
                   f"got {a.status}")
    statuses = [a.status for a in s.Client.all]
    record.say(f"requests sent: {len(statuses)}, answered with 200: "
               f"{statuses.count(200)}")
    record.say(f"requests that reached {leaving.name} later than {DRAIN_S} s "
               f"after it was draining: {len(late)}, cut by its exit: "
               f"{len(lost)}")
    return s.BROKEN if late else s.HELD


s.main(FOLDER, play)
