"""Stand-ins for the platform: its store, its engines and its plain services.

They speak the platform's published calls over loopback, keep what they saw, and
can be told to fail. One asyncio loop runs all of them.
"""

import asyncio
import base64
import json
import random
import struct
import time
import urllib.parse


async def read_message(reader):
    """Reads a request: (method, target, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def answer(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Listens on one loopback address and hands requests to handle()."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.addr = f"{host}:{port}"
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, reuse_address=True)

    async def stop(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if await self.handle(reader, writer, *message) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The store: keyed streams with appends, reads that wait, and snapshots.

    Each host has a port of its own, so that it can be treated apart; all ports
    share the streams. mode: "ok", "down" (no answer), "refuse" (503), "lost"
    (done, no answer). delay_s holds answers back.
    """

    def __init__(self, host, port, other=None):
        super().__init__(host, port)
        self.streams = other.streams if other else {}
        self.first = other.first if other else {}
        self.watchers = other.watchers if other else []
        self.mode = "ok"
        self.delay_s = 0
        self.calls = 0

    def put(self, topic, key, value):
        raw = bytes([len(key)]) + key.encode() + (value or b"")
        self.streams.setdefault(topic, []).append((key, value, raw))
        for w in self.watchers:
            w.set()
        self.watchers.clear()

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    def forget_history(self, topic):
        self.first[topic] = len(self.streams.get(topic, []))

    async def handle(self, reader, writer, method, target, headers, body):
        self.calls += 1
        path, _, query = target.partition("?")
        q = dict(urllib.parse.parse_qsl(query))
        if self.mode == "down":
            await asyncio.sleep(3600)
        if self.mode == "refuse":
            writer.write(answer(503))
            return True
        topic = q.get("Topic", "")
        if path == "/figbend/log-newest":
            writer.write(self.newest(topic, q.get("after", "")))
        elif path == "/figbend/log-read":
            out = await self.read(topic, q)
            await asyncio.sleep(self.delay_s)
            writer.write(out)
        elif path == "/figbend/log-append":
            n = struct.unpack(">I", body[:4])[0]
            record = body[4:4 + n]
            key = record[1:1 + record[0]].decode()
            self.put(topic, key, record[1 + record[0]:] or None)
            writer.write(answer(200, b'{"Offset":0,"EndOffset":1}'))
        else:
            writer.write(answer(404))
        if self.mode == "lost":
            return False
        await writer.drain()
        return True

    def newest(self, topic, after):
        items = {}
        for offset, (key, value, _) in enumerate(self.streams.get(topic, [])):
            items.pop(key, None)
            if value is not None:
                items[key] = {"Key": key, "Offset": offset,
                              "Value": base64.b64encode(value).decode()}
        rows = [items[k] for k in sorted(items) if k > after]
        page, more = rows[:5], len(rows) > 5
        return answer(200, json.dumps({
            "items": page, "HasMore": more,
            "EndOffset": len(self.streams.get(topic, []))}).encode())

    async def read(self, topic, q):
        start = int(q["From"])
        first = self.first.get(topic, 0)
        if start < first:
            return answer(410, json.dumps({"FirstOffset": first}).encode())
        end = time.monotonic() + int(q.get("WaitMs", 0)) / 1000
        while start >= len(self.streams.get(topic, [])):
            left = end - time.monotonic()
            if left <= 0:
                break
            changed = asyncio.Event()
            self.watchers.append(changed)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                break
        records = self.streams.get(topic, [])
        out = struct.pack(">QQ", len(records), first)
        for _, _, raw in records[start:]:
            out += struct.pack(">I", len(raw)) + raw
        return answer(200, out)


class Endpoint(Server):
    """An engine or a plain service.

    faults: names of what goes wrong with the next requests, taken in turn:
    "shed", "reset", "cut", "extra", "foreign", "nosign", "slow", "silent",
    "stop_in_event", "handle_gone".
    """

    def __init__(self, host, port, name, service, domain, stage=None,
                 slots=8, memory=40000, work_s=0.01, event_s=0.02):
        super().__init__(host, port)
        self.name, self.service, self.domain = name, service, domain
        self.stage, self.slots, self.memory = stage, slots, memory
        self.work_s, self.event_s = work_s, event_s
        self.born = 1700000000000
        self.faults = []
        self.seen = []  # (id, headers, target, body, what)
        self.ran = []  # ids that it began to run
        self.done = []  # ids whose answer is whole
        self.holds = {}
        self.handles = {}
        self.running = {}

    def entry(self, state="ready", **more):
        e = {"Service": self.service, "Address": self.addr,
             "Zone": self.domain, "Version": "v1", "Slots": self.slots,
             "State": state, "ColdRemainingMs": 0, "Sequence": 1,
             "born": self.born}
        if self.stage:
            e["Stage"] = self.stage
            e["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        e.update(more)
        return e

    def used(self):
        now = time.monotonic()
        self.holds = {h: (n, t) for h, (n, t) in self.holds.items() if t > now}
        return (sum(self.running.values()) +
                sum(n for n, _ in self.holds.values()))

    def fault(self):
        return self.faults.pop(0) if self.faults else None

    async def handle(self, reader, writer, method, target, headers, body):
        expected = headers.get("expected-instance")
        if expected and expected != self.name:
            writer.write(answer(421, b"", {"Instance-Id": self.name}))
            return True
        if target == "/figbend/hold-take":
            return self.take_hold(writer, json.loads(body))
        if target.startswith("/figbend/hold-drop/"):
            self.holds.pop(target.rsplit("/", 1)[1], None)
            writer.write(answer(200))
            return True
        if target.startswith("/figbend/kv-handle/"):
            self.handles.pop(target.rsplit("/", 1)[1], None)
            writer.write(answer(200))
            return True
        return await self.run(reader, writer, target, headers, body)

    def take_hold(self, writer, ask):
        if self.used() + ask["TokenCount"] > self.memory:
            writer.write(answer(503, b"", {"Not-Executed": "1"}))
            return True
        hold = "%016x" % random.getrandbits(64)
        self.holds[hold] = (ask["TokenCount"],
                            time.monotonic() + ask["TtlMs"] / 1000)
        writer.write(answer(200, json.dumps({"Hold": hold}).encode()))
        return True

    async def run(self, reader, writer, target, headers, body):
        rid = headers.get("attempt-id", "")
        fault = self.fault()
        self.seen.append((rid, headers, target, body, fault))
        stamp = {"Attempt-Id": rid, "Instance-Signature": f"{self.name}.{rid}",
                 "Instance-Load": f"{len(self.running)},0,{self.slots}"}
        if fault == "shed" or len(self.running) >= self.slots:
            writer.write(answer(503, b"", {"Not-Executed": "1",
                                           "Attempt-Id": rid}))
            return True
        if fault == "silent":
            await asyncio.sleep(3600)
        if b"poison" in body and headers.get("serving-stage") != "prefill":
            self.ran.append(rid)
            if self.entry_first:
                self.store.put("keyed.servers", self.name, None)
                await asyncio.sleep(0.1)
            self.restart = asyncio.ensure_future(self.crash())
            return False
        if fault == "reset":
            if headers.get("serving-stage") != "prefill":
                self.ran.append(rid)
            writer.transport.abort()
            return False
        if headers.get("serving-stage") == "prefill":
            await asyncio.sleep(self.work_s)
            handle = "%012x" % random.getrandbits(48)
            if fault != "handle_gone":
                self.handles[handle] = rid
            writer.write(answer(200, json.dumps(
                {"KvHandle": handle, "TokenCount": 1, "Version": 1}).encode(),
                {"Attempt-Id": rid}))
            return True
        if "kv-source" in headers and not self.take_over(headers, rid):
            writer.write(answer(503, b"", {"Not-Executed": "1",
                                           "Attempt-Id": rid}))
            return True
        self.holds.pop(headers.get("kv-hold", ""), None)
        if "token-usage" in headers:
            return await self.stream(reader, writer, headers, rid, stamp, fault)
        return await self.plain(writer, rid, stamp, fault)

    def take_over(self, headers, rid):
        addr, handle = headers["kv-source"].split("/")
        for e in self.others:
            if e.addr == addr:
                return e.handles.pop(handle, None) == rid
        return False

    others = []
    store = None
    restart = None
    entry_first = False  # at a crash its entry goes before its connections

    async def crash(self):
        """Ends with all that it runs, and is back as a new start."""
        await self.stop()
        self.store.put("keyed.servers", self.name, None)
        await asyncio.sleep(0.2)
        self.born += 1
        await self.start()
        self.store.put_json("keyed.servers", self.name, self.entry())

    async def plain(self, writer, rid, stamp, fault):
        self.ran.append(rid)
        self.running[rid] = 0
        try:
            await asyncio.sleep(self.work_s if fault != "slow" else 5)
        finally:
            self.running.pop(rid, None)
        body = f"answer to {rid}".encode()
        if fault == "cut":
            writer.write(answer(200, body, stamp)[:-3])
            return False
        if fault == "nosign":
            writer.write(answer(200, body))
            return True
        if fault == "foreign":
            old = dict(stamp)
            old["Attempt-Id"] = "0" * 16
            writer.write(answer(200, b"answer to another", old))
        writer.write(answer(200, body, stamp))
        if fault == "extra":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        self.done.append(rid)
        return True

    async def stream(self, reader, writer, headers, rid, stamp, fault):
        prompt, out = [int(x) for x in headers["token-usage"].split(",")]
        after = int(headers.get("last-event-id", "0"))
        n = max(1, out // 8)
        self.ran.append(rid)
        self.running[rid] = prompt + out
        gone = asyncio.ensure_future(reader.read(1))
        try:
            writer.write(("HTTP/1.1 200 OK\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n"
                          "Connection: close\r\n" +
                          "".join(f"{k}: {v}\r\n" for k, v in stamp.items()) +
                          "\r\n").encode())
            for i in range(after + 1, n + 1):
                await asyncio.sleep(self.event_s)
                if gone.done() or writer.transport.is_closing():
                    return False
                event = f"id: {i}\ndata: {rid} {i}\n\n".encode()
                if fault == "stop_in_event" and not after and i == 4:
                    part = event[:-4]
                    writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                    await writer.drain()
                    return False
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.done.append(rid)
        finally:
            self.running.pop(rid, None)
            gone.cancel()
        # The byte that the watch may have taken belongs to the next request.
        return False
