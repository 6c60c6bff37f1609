"""Faults of the store's records, and the checks of what hosts make of them."""

import asyncio
import math
import os
import time

from standins import odd_entries

# 2 s for a new record to take effect, a heartbeat interval, and a margin for a slow
# machine.
EFFECT_S = 2.6
# Requests that were on their way when a host learned of a record have arrived.
ARRIVAL_S = 0.2
# A host may take an older entry that the store came back with for right after 5 s.
SETTLED_S = 6
# Each configuration has a route for each of so many versions, up to its own.
MARKERS = 40
COPY_INTERVAL_S, COPIES = 0.5, 12


class Writers:
    """The operator and the endpoints.

    They write again what they wrote within about a second after the store came
    back from an older copy.
    """

    def __init__(self, d, rng):
        self.d, self.random = d, rng
        self.written = {}  # (topic, key): value, None if the key was deleted
        self.restored_at = self.settled_at = 0.  # the last time
        self.restorations = []  # times
        self.unsettled = 0  # restorations after which not all is written again
        self.put, d.store.put = d.store.put, self.write

    def write(self, topic, key, value):
        self.written[topic, key] = value
        self.put(topic, key, value)

    def write_entry(self, e):
        e.sequence += 1
        self.d.store.put_json("keyed.servers", e.name, e.entry())

    def lost_at(self, since):
        """Returns when the store first lost what was written at a time."""
        return next((t for t in self.restorations if t > since), math.inf)

    async def restore(self, copy):
        self.unsettled += 1
        self.restored_at = time.monotonic()
        self.restorations.append(self.restored_at)
        self.d.store.restore(copy, self.d.host_stores)
        keys = list(self.written)
        self.random.shuffle(keys)
        for topic, key in keys:
            await asyncio.sleep(self.random.uniform(0, 1.8 / len(keys)))
            self.write_again(topic, key)
        self.unsettled -= 1
        self.settled_at = time.monotonic()

    def write_again(self, topic, key):
        value = self.written[topic, key]
        newest = {k: v for k, v, _ in self.d.store.streams[topic]}
        if newest.get(key) == value:
            return
        alive = [e for e in self.d.endpoints
                 if e.name == key and value is not None]
        if alive and self.random.random() < 0.5:
            self.write_entry(alive[0])
        else:
            self.put(topic, key, value)


class StoreFaults:
    """The part of a Soak that concerns the store's records."""

    # Draining endpoints.

    async def drain_endpoint(self, restored=None):
        """An endpoint drains; with restored, the store loses that it does."""
        if restored is None:
            restored = self.random.random() < 0.5
        e = self.random.choice(
            [e for e in self.d.endpoints if not e.draining] or [None])
        if not e:
            return
        start, copy = time.monotonic(), self.d.store.copy()
        logs = {h: os.path.getsize(h.log_path) for h in self.d.hosts}
        # Other faults publish the entry too, while the endpoint drains.
        self.note(f"drains {e.name}")
        e.draining = True
        self.writers.write_entry(e)
        await asyncio.sleep(EFFECT_S - ARRIVAL_S)
        told = {h: h.process for h in self.d.hosts
                if f"event=endpoint_leaves endpoint={e.name} " in
                h.log_of_process(logs[h])}
        self.check_told(told, start)
        await asyncio.sleep(ARRIVAL_S)
        before, since = len(e.received), time.monotonic()
        all_up_to_date = not self.paused and not self.restarting and \
            all(s.mode == "ok" for s in self.d.host_stores) and \
            self.writers.lost_at(start) > since
        await asyncio.sleep(1)
        if restored:
            await self.writers.restore(copy)
            await asyncio.sleep(1)
        late = [rid for rid, *_ in e.received[before:] if self.must_not_arrive(
            rid, e, told, all_up_to_date, start, since)]
        if self.plant == "leaving" and (told or all_up_to_date):
            late.append("planted")
        self.judged["leaving"] += len(self.d.hosts) if all_up_to_date else \
            len(told)
        if late:
            hosts = {self.sent[rid][0].name for rid in late if rid in self.sent}
            self.violation("leaving", f"{e.name} received {late} from {hosts}, "
                                      f"restored {restored}")
        e.draining = False
        self.writers.write_entry(e)

    def check_told(self, told, start):
        """Each host that was sound knows of an entry that was written at start."""
        if self.writers.unsettled or \
                self.writers.settled_at + SETTLED_S > start:
            return
        for h in self.d.hosts:
            if not (self.is_sound(h, start) and
                    self.is_sound(self.d.host_stores[h.n - 1], start)):
                continue
            self.judged["told"] += 1
            if h not in told or self.plant == "told":
                self.violation("told", f"{h.name} does not follow the list")

    def must_not_arrive(self, rid, e, told, all_up_to_date, start, since):
        """Returns true if the host knew that e drains when it sent the request.

        What a connection held back counts only if its caller sent it since then.
        """
        host, process, sent_at = self.sent[rid]
        if not self.is_sound(self.proxy_of(e), start) and sent_at < since:
            return False
        return told.get(host) is process or (
            all_up_to_date and sent_at < self.writers.lost_at(start))

    # The configuration.

    def publish_config(self):
        version = self.d.version + 1
        first = max(1, version - MARKERS + 1)
        self.d.routes[4:] = [
            self.d.route(f"v{n}", "idempotent", "plain", attempts=1)
            for n in range(first, version + 1)]
        self.d.publish_config()
        self.note(f"version {version}")
        return version

    async def publish_configs(self, n):
        """Several in a row: a store that loses them gives their offsets out again,
        to several records that differ."""
        for _ in range(n):
            self.publish_config()
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def has_version(self, host, version):
        """Returns whether the host has it in force, None if that is not known."""
        process = host.process
        try:
            _, r = await self.d.request(f"v{version}", host=host.n - 1,
                                        key="unknown", timeout_s=1)
        except (OSError, asyncio.TimeoutError):
            return None
        if process is not host.process or self.d.version - version >= MARKERS:
            return None
        return {401: True, 404: False}.get(r.status)

    async def check_config(self, version):
        since = time.monotonic()
        await asyncio.gather(*(self.check_config_of(h, version, since)
                               for h in self.d.hosts))

    async def check_config_of(self, host, version, since):
        """Judges once the host and its store have been sound for EFFECT_S."""
        store = self.d.host_stores[host.n - 1]
        while time.monotonic() < since + 4 * EFFECT_S:
            if self.writers.restored_at > since:
                confirmed = time.monotonic() if self.writers.unsettled else \
                    self.writers.settled_at
            else:
                confirmed = since
            sound_since = time.monotonic() - EFFECT_S
            if confirmed < sound_since and self.is_sound(host, sound_since) \
                    and self.is_sound(store, sound_since):
                has = await self.has_version(host, version)
                if has is not None and self.is_sound(host, sound_since) and \
                        self.writers.restored_at < sound_since:
                    self.judged["config"] += 1
                    if not has or self.plant == "config":
                        self.violation("config", f"{host.name} does not have "
                                                 f"version {version}")
                    return
            await asyncio.sleep(0.1)

    async def check_revert(self, host):
        """Compares with the newest version that the process has shown so far."""
        process, newest = self.shown.get(host, (None, 0))
        if process is host.process and newest:
            has = await self.has_version(host, newest)
            self.judged["revert"] += has is not None
            if has is False or (has and self.plant == "revert"):
                self.violation("revert", f"{host.name} had version {newest}")
        process, version = host.process, self.d.version
        if await self.has_version(host, version):
            self.shown[host] = (process, version)

    # Faults.

    async def restore_store(self):
        """The store comes back from a copy, at times twice, among other faults."""
        await self.publish_configs(self.random.randint(0, 6))
        others = self.random.sample(
            [self.pause_host, self.stop_host, self.kill_host, self.fail_store],
            self.random.randint(0, 2))
        tasks = [asyncio.ensure_future(kind()) for kind in others]
        await asyncio.sleep(self.random.uniform(0, 0.5))
        for _ in range(self.random.choice((1, 1, 2))):
            self.note("restored")
            tasks.append(asyncio.ensure_future(
                self.writers.restore(self.random.choice(self.copies))))
            await asyncio.sleep(self.random.uniform(0, 1.2))
        tasks.append(self.check_config(self.publish_config()))
        await asyncio.gather(*tasks)

    async def write_odd_entries(self, every=False, restored=None):
        """Another writer's entries; then an endpoint drains, which hosts follow."""
        odd = list(odd_entries(self.d.endpoints[0].entry()))
        if not every:
            odd = self.random.sample(odd, self.random.choice((1, 6, len(odd))))
        for key, value in odd:
            self.d.store.put("keyed.servers", key, value)
        await self.drain_endpoint(restored)
        for key, _ in odd:
            self.d.store.put("keyed.servers", key, None)

    async def watch(self):
        """Makes copies of the store, and checks hosts, until the run is over."""
        copied_at = 0.
        while not self.over:
            if time.monotonic() - copied_at > COPY_INTERVAL_S:
                copied_at = time.monotonic()
                self.copies = self.copies[1 - COPIES:] + [self.d.store.copy()]
            for h in self.d.hosts:
                ended = h.process.returncode is not None
                if h in self.restarting or not (ended or self.plant == "ended"):
                    continue
                self.violation("ended", f"{h.name} ended by itself with "
                                        f"{h.process.returncode}")
                if ended:
                    await h.start()
            await asyncio.gather(*(self.check_revert(h) for h in
                                   self.random.sample(self.d.hosts, min(
                                       4, len(self.d.hosts)))))
            await asyncio.sleep(0.1)
