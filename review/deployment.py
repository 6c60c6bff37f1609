"""A small deployment with plain and model engines, for the scripts."""

import asyncio
import random

import standins as s

KEY = "3d3zji9n73hh2b9wu3fe"
ZONES = ("opole-a", "opole-b", "opole-c")
RESTART_S = 0.5  # until a process that has ended is started again


class Deployment:
    """One machine, a plain engine, a prefill and two decode engines a zone."""

    def __init__(self, record, tmp):
        self.record, self.tmp = record, tmp
        self.store = s.Store()
        self.hosts, self.plain, self.prefill, self.decode = [], [], [], []
        self.ends = []  # (time, host, status) of processes that ended
        self.tasks, self.stopping = [], False

    async def start(self):
        store_ip = f"{s.NET}.200"
        port = s.free_port(store_ip)
        await self.store.listen(store_ip, port)
        for n, zone in enumerate(ZONES):
            self.hosts.append(s.Host(self.tmp, f"frontend-{zone}-1", zone,
                                     n + 1, ZONES, store_ip, port))
            self.plain.append(s.Engine(f"i-plain-{n}", "registry", zone,
                                       f"{s.NET}.100"))
            self.prefill.append(s.ModelEngine(
                f"i-prefill-{n}", "writer", zone, f"{s.NET}.101", "prefill"))
            for i in range(2):
                self.decode.append(s.ModelEngine(
                    f"i-decode-{n}-{i}", "writer", zone, f"{s.NET}.102",
                    "decode"))
        for e in self.engines():
            await e.start()
            self.store.put("keyed.servers", e.name, e.entry())
        self.store.put("keyed.op", "config", s.with_streams(s.configuration(
            3, [("signoff", "non_idempotent", "registry")], ["registry"],
            [KEY]), "writer"))
        for h in self.hosts:
            await h.start()
            self.tasks.append(asyncio.ensure_future(self.supervise(h)))
        for _ in range(100):
            if all(await asyncio.gather(*(h.ready() for h in self.hosts))):
                self.record.say("all hosts are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("hosts do not become ready")

    def engines(self):
        return self.plain + self.prefill + self.decode

    async def supervise(self, host):
        """Starts the process again if it ends, as the platform does."""
        while True:
            status = await host.process.wait()
            if self.stopping:
                return
            self.record.say(f"the process of {host.name} has ended by itself "
                            f"with status {status}")
            self.ends.append((asyncio.get_running_loop().time(), host.name,
                              status))
            await asyncio.sleep(RESTART_S)
            await host.start()

    def clients(self, host, until):
        """About eight streams and 15 calls a second, on kept connections."""
        out = [s.StreamClient(host, f"/{r}/1", r, KEY, 1.3, 14000)
               for r in ("debrief",) * 9 + ("drill",) * 2]
        out += [s.Client(host, "/signoff/1", "signoff", KEY, 0.2)
                for _ in range(3)]
        return [asyncio.ensure_future(c.run(until)) for c in out]

    async def stop(self):
        self.stopping = True
        for t in self.tasks:
            t.cancel()
        await asyncio.gather(*(h.kill() for h in self.hosts))
        for server in [self.store] + self.engines():
            server.exit()


class Spoiled:
    """Spoils each 1 / SHARE-th answer of some engines for a time."""

    SHARE = 0.03

    def __init__(self, spoil):
        self.spoil, self.active, self.count = spoil, False, 0
        self.answers = []  # what was sent, for the record

    def due(self):
        if not self.active:
            return False
        self.count += 1
        return self.count % round(1 / self.SHARE) == random_phase

    def __call__(self, kind, answer):
        return self.spoil(self, kind, answer)


random_phase = random.randrange(1, 10)
