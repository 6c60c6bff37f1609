"""Stand-ins for the scripts of this review, and figbend processes.

The platform's store, engines and clients follow PROTOCOL.md; figbend is
started with the command and the settings template of the deploy file. All
addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = f"127.{random.randrange(40, 120)}.{random.randrange(0, 250)}"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def deploy_file():
    """Returns the words of the role's command and the text of its template."""
    with open(os.path.join(ROOT, "deploy/system.toml")) as f:
        text = f.read()
    run = re.search(r'^run = "(.*)"', text, re.M).group(1).split()
    template = re.search(r'^template = "(.*)"', text, re.M).group(1)
    with open(os.path.join(ROOT, template)) as f:
        return run, f.read()


def fill_in(template, fields):
    """Fills in the placeholders {{a.b}} and {{a|json}} of a template."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        v = fields
        for name in path.split("."):
            v = v[int(name)] if isinstance(v, list) else v[name]
        return json.dumps(v) if form == "json" else str(v)
    return re.sub(r"\{\{([^}]*)\}\}", value, template)


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


async def read_message(reader):
    """Returns the first line, the fields and the body; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], fields, body


def response(status, body=b"", **fields):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server; handle() returns the response, or None to close."""

    def __init__(self):
        self.listeners, self.writers = [], set()

    async def listen(self, ip, port):
        self.listeners.append(await asyncio.start_server(
            lambda r, w: self.serve(r, w, ip), ip, port, backlog=512))

    async def serve(self, reader, writer, ip):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                out = await self.handle(reader, writer, message, ip)
                if out is None:
                    return
                writer.write(out)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def exit(self):
        """Ends like a process that exits: connections break."""
        for listener in self.listeners:
            listener.close()
        for w in list(self.writers):
            w.transport.abort()
        self.listeners = []


class Store(Server):
    """The platform's store: topics of one partition, whose newest record of
    each key is kept. It has an address for each host, so that it knows which
    of them calls."""

    def __init__(self):
        super().__init__()
        self.topics, self.waiting = {}, []
        self.reading = []  # the callers whose reads of records are open

    def put(self, topic, key, value):
        """Appends a record, as JSON; None removes the key. Returns the time."""
        raw = bytes([len(key)]) + key.encode()
        if value is not None:
            raw += value if isinstance(value, bytes) else \
                json.dumps(value).encode()
        self.topics.setdefault(topic, []).append(raw)
        for event in self.waiting:
            event.set()
        self.waiting = []
        return time.monotonic()

    async def handle(self, reader, writer, message, ip):
        line, _, body = message
        path, _, query = line.split(" ")[1].partition("?")
        q = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        if path == "/figbend/log-append":
            return self.append(q, body)
        if path == "/figbend/log-newest":
            return self.newest(q)
        if path == "/figbend/log-read":
            self.reading.append(ip)
            try:
                return await self.read(q)
            finally:
                self.reading.remove(ip)
        return response(404)

    def append(self, q, body):
        if q["Topic"] in ("keyed.op", "keyed.servers"):
            return response(403)
        first = len(self.topics.get(q["Topic"], []))
        while body:
            n = struct.unpack(">I", body[:4])[0]
            raw, body = body[4:4 + n], body[4 + n:]
            self.put(q["Topic"], raw[1:1 + raw[0]].decode(),
                     raw[1 + raw[0]:] or None)
        return response(200, json.dumps(
            {"Offset": first,
             "EndOffset": len(self.topics[q["Topic"]])}).encode(),
            Content_Type="application/json")

    def newest(self, q):
        rows, keys = self.topics.get(q["Topic"], []), {}
        for offset, raw in enumerate(rows):
            key, value = raw[1:1 + raw[0]].decode(), raw[1 + raw[0]:]
            keys.pop(key, None)
            if value:
                keys[key] = {"Key": key, "Offset": offset,
                             "Value": base64.b64encode(value).decode()}
        items = [keys[k] for k in sorted(keys) if k > q.get("after", "")]
        return response(200, json.dumps(
            {"items": items[:500], "HasMore": len(items) > 500,
             "EndOffset": len(rows)}).encode(),
            Content_Type="application/json")

    async def read(self, q):
        start = int(q["From"])
        end = time.monotonic() + int(q.get("WaitMs", 0)) / 1000
        while start >= len(self.topics.get(q["Topic"], [])):
            left = end - time.monotonic()
            if left <= 0:
                break
            event = asyncio.Event()
            self.waiting.append(event)
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                break
        rows = self.topics.get(q["Topic"], [])
        out = struct.pack(">QQ", len(rows), 0)
        for raw in rows[start:]:
            out += struct.pack(">I", len(raw)) + raw
        return response(200, out)


class Engine(Server):
    """A plain engine: works on `slots` requests at once, queues some more and
    refuses the others."""

    def __init__(self, name, service, zone, ip, slots=6, queue=24,
                 work_s=0.06):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.port = ip, free_port(ip)
        self.addr = f"{ip}:{self.port}"
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.arrived = []  # (time, id)
        self.ended = {}  # id: time of the answer
        self.cut = []  # ids of requests at work when the engine exits
        self.at_work = set()

    def entry(self, state="ready"):
        self.sequence += 1
        return {"Service": self.service, "Address": self.addr,
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": state, "ColdRemainingMs": 0,
                "Sequence": self.sequence, "born": self.born}

    async def start(self):
        await self.listen(self.ip, self.port)

    def exit(self):
        self.cut = sorted(self.at_work)
        super().exit()

    async def handle(self, reader, writer, message, ip):
        line, fields, _ = message
        if line.split(" ")[1] == "/health":
            return response(200, Instance_Id=self.name)
        rid = fields.get("attempt-id", "")
        if fields.get("expected-instance", self.name) != self.name:
            return response(421, Instance_Id=self.name, Attempt_Id=rid)
        self.arrived.append((time.monotonic(), rid))
        if self.running >= self.slots and self.waiting >= self.queue:
            return response(503, Not_Executed=1, Attempt_Id=rid)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.at_work.add(rid)
            try:
                await asyncio.sleep(self.work_s * random.uniform(0.6, 1.6))
            finally:
                self.running -= 1
                self.at_work.discard(rid)
        self.ended[rid] = time.monotonic()
        return response(200, b"a" * 800, Attempt_Id=rid,
                        Instance_Signature=f"{self.name}.{rid}",
                        Instance_Load=f"{self.running},{self.waiting},"
                                      f"{self.slots}")


class ModelEngine(Server):
    """A model engine with a stage. A stream has an event for each 8 tokens and
    ends if its connection closes. The first two events are written together."""

    engines = {}  # by address

    def __init__(self, name, service, zone, ip, stage, event_s=0.07):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.port, self.stage = ip, free_port(ip), stage
        self.addr, self.event_s = f"{ip}:{self.port}", event_s
        self.born = int(time.time() * 1000)
        self.holds, self.handles = {}, {}
        self.running = set()
        self.runs = []  # (time, id, Last-Event-Id)
        self.spoil = lambda kind, answer: answer  # of a prefill, an event
        ModelEngine.engines[self.addr] = self

    def entry(self, state="ready"):
        return {"Service": self.service, "Address": self.addr,
                "Zone": self.zone, "Version": "v1", "Slots": 64,
                "State": state, "ColdRemainingMs": 0, "Stage": self.stage,
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Sequence": 1, "born": self.born}

    async def start(self):
        await self.listen(self.ip, self.port)

    async def handle(self, reader, writer, message, ip):
        line, fields, body = message
        method, path, _ = line.split(" ")
        if fields.get("expected-instance", self.name) != self.name:
            return response(421, Instance_Id=self.name)
        if path == "/figbend/hold-take":
            hold = f"{random.getrandbits(48):012x}"
            self.holds[hold] = time.monotonic() + \
                json.loads(body)["TtlMs"] / 1000
            return response(200, json.dumps({"Hold": hold}).encode(),
                            Content_Type="application/json")
        if path.startswith("/figbend/hold-drop/"):
            self.holds.pop(path.rsplit("/", 1)[1], None)
            return response(200)
        if path.startswith("/figbend/kv-handle/"):
            self.handles.pop(path.rsplit("/", 1)[1], None)
            return response(200)
        if fields.get("serving-stage") == "prefill":
            return await self.prefill(fields)
        if self.stage != "decode":
            return response(421, Instance_Id=self.name)
        return await self.decode(reader, writer, fields)

    async def prefill(self, fields):
        tokens = int(fields["token-usage"].split(",")[0])
        await asyncio.sleep(0.01 + tokens / 33333)
        handle = f"{random.getrandbits(48):012x}"
        self.handles[handle] = fields["attempt-id"]
        answer = {"KvHandle": handle, "TokenCount": tokens, "Version": 1}
        return response(200, json.dumps(self.spoil("prefill",
                                                   answer)).encode(),
                        Content_Type="application/json",
                        Attempt_Id=fields["attempt-id"])

    async def decode(self, reader, writer, fields):
        rid = fields["attempt-id"]
        source = fields.get("kv-source")
        if source:
            addr, handle = source.split("/")
            if ModelEngine.engines[addr].handles.pop(handle, None) != rid:
                return response(503, Not_Executed=1, Attempt_Id=rid)
        self.holds.pop(fields.get("kv-hold"), None)
        n = -(-int(fields["token-usage"].split(",")[1]) // 8)
        begin = int(fields.get("last-event-id", 0))
        self.runs.append((time.monotonic(), rid, begin))
        self.running.add(rid)
        left = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.sleep(self.event_s)
            out = (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   f"Attempt-Id: {rid}\r\nInstance-Signature: "
                   f"{self.name}.{rid}\r\nTransfer-Encoding: chunked\r\n"
                   f"Connection: close\r\n\r\n").encode()
            for i in range(begin + 1, n + 1):
                event = self.spoil("event", (rid, i, event_of(rid, i)))[2]
                out += b"%x\r\n%s\r\n" % (len(event), event)
                if i == begin + 1 and i < n:
                    continue
                writer.write(out)
                await writer.drain()
                out = b""
                await asyncio.wait([left], timeout=self.event_s)
                if left.done():
                    return None
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return None
        finally:
            self.running.discard(rid)
            left.cancel()


def event_of(rid, i):
    return f"id: {i}\ndata: {rid} {i}\n\n".encode()


async def read_stream(reader):
    """Returns the status, the events' ids and whether the answer is whole; the
    status is 0 without a head."""
    ids, data = [], b""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ")[1])
        if "transfer-encoding: chunked" not in head.lower():
            length = re.search(r"content-length: (\d+)", head.lower())
            await reader.readexactly(int(length.group(1)) if length else 0)
            return status, ids, True, "connection: close" in head.lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, ids, False, True
    whole = False
    try:
        while True:
            n = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data += (await reader.readexactly(n + 2))[:-2]
            if not n:
                whole = True
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    ids = [int(i) for i in re.findall(rb"^id: *(\d+)", data, re.M)]
    return status, ids, whole, "connection: close" in head.lower()


class Host:
    """A figbend process on a machine of its own."""

    def __init__(self, folder, name, zone, n, zones, store_ip, store_port,
                 **fields):
        self.name, self.zone = name, zone
        self.ip = f"{NET}.{n}"
        self.store_ip = store_ip
        self.run, template = deploy_file()
        self.frontend = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        fields = {
            "NodeName": name, "Role": "router", "MachineClass": "frontend",
            "Serves": ["frontend"], "IpAddress": self.ip, "Zone": zone,
            "Region": "region-1", "InternalPortRange": [7500, 7515],
            "Zones": {z: "region-1" for z in zones},
            "ListenAddresses": {
                "Frontend": f"{self.ip}:{self.frontend}",
                "Readiness": f"{self.ip}:{self.ready_port}"},
            "Limits": {"CpuShare": 0.25, "CpuCores": 1, "MemoryMb": 260,
                       "FileDescriptors": 4100},
            "Bounds": {"ContactMs": 3000, "DrainTimeoutMs": 2000,
                       "GracePeriodS": 8, "ConfigApplyMs": 2000,
                       "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
                       "BudgetSlack": 54, "QuotaTolerance": 190000},
            "Platform": {"Address": f"{store_ip}:{store_port}",
                         "form": "log"}, **fields}
        self.settings = os.path.join(folder, f"{name}.jsonc")
        with open(self.settings, "w") as f:
            f.write(fill_in(template, fields))
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["FIGBEND_SETTINGS"] = self.settings
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *self.run, cwd=ROOT, env=env, stdout=out, stderr=out)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def ready(self):
        """Returns true if the readiness check gets 200."""
        try:
            r, w = await asyncio.open_connection(self.ip, self.ready_port)
            w.write(b"GET /figbend/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(r), 1)
            w.close()
            return message is not None and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Attempt:
    def __init__(self, rid, host, kind):
        self.rid, self.host, self.kind = rid, host, kind
        self.sent, self.status, self.ended = time.monotonic(), 0, None
        self.kept = False  # sent on a connection that was used before


class Client:
    """Sends requests to one host on a kept connection, one after the other."""

    all = []

    def __init__(self, host, target, kind, key, interval_s, deadline_ms=1500):
        self.host, self.target, self.kind, self.key = host, target, kind, key
        self.interval_s, self.deadline_ms = interval_s, deadline_ms
        self.connection, self.used = None, 0

    async def run(self, until):
        await asyncio.sleep(random.uniform(0, self.interval_s))
        while time.monotonic() < until():
            begin = time.monotonic()
            await self.send()
            await asyncio.sleep(max(0.01, self.interval_s * random.uniform(
                0.7, 1.3) - (time.monotonic() - begin)))

    async def begin(self):
        """Connects if need be. Returns a new attempt, or None."""
        try:
            if not self.connection:
                self.connection, self.used = await asyncio.wait_for(
                    asyncio.open_connection(self.host.ip, self.host.frontend),
                    1), 0
        except (OSError, asyncio.TimeoutError):
            return None
        a = Attempt(f"{random.getrandbits(64):016x}", self.host.name,
                    self.kind)
        a.kept = self.used > 0
        self.used += 1
        Client.all.append(a)
        return a

    async def send(self):
        a = await self.begin()
        if not a:
            return None
        reader, writer = self.connection
        try:
            writer.write((
                f"POST {self.target} HTTP/1.1\r\nHost: x.example\r\n"
                f"Attempt-Id: {a.rid}\r\nDeadline-Ms: {self.deadline_ms}\r\n"
                f"Api-Key: {self.key}\r\nContent-Length: 600\r\n\r\n"
            ).encode() + b"b" * 600)
            message = await asyncio.wait_for(read_message(reader),
                                             self.deadline_ms / 1000 + 0.5)
        except (ConnectionError, asyncio.TimeoutError):
            message = None
        a.ended = time.monotonic()
        if message:
            a.status = int(message[0].split(" ")[1])
        if not message or message[1].get("connection") == "close":
            writer.close()
            self.connection = None
        return a


def configuration(version, routes, services, keys, **more):
    """A configuration with one tenant."""
    return {
        "Version": version,
        "Routes": [
            {"Name": name, "Host": "x.example", "PathPrefix": f"/{name}/",
             "Kind": kind, "TimeoutMs": 800, "TargetLatencyMs": 300,
             "Priority": 2, "Service": service,
             "MaxAttempts": 2 if kind == "idempotent" else 1,
             "Anonymous": False, "SessionAffinity": False,
             "Resumable": False} for name, kind, service in routes],
        "Services": [
            {"Name": s, "HealthCheckPath": "/health", "ConnectionLimit": 100,
             "Protocol": "h1", "Tls": False, "ColdStartS": 0.0,
             "ColdPerS": 0.0} for s in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "tenant-1", "ApiKeys": keys, "Priority": 1,
                     "Unit": "tokens", "UncachedTokens": 200,
                     "RatePerS": 1000000, "Burst": 1000000}], **more}


class StreamClient(Client):
    """Asks for streams on a kept connection."""

    async def send(self):
        a = await self.begin()
        if not a:
            return None
        reader, writer = self.connection
        tokens, out = random.randint(800, 6000), random.randint(40, 160)
        a.events = -(-out // 8)
        try:
            writer.write((
                f"POST {self.target} HTTP/1.1\r\nHost: x.example\r\n"
                f"Attempt-Id: {a.rid}\r\nModel: m\r\n"
                f"Token-Usage: {tokens},{out}\r\n"
                f"Prompt-Prefix: {random.getrandbits(32):08x}:200,"
                f"{a.rid[:8]}:{tokens - 200}\r\n"
                f"Deadline-Ms: {self.deadline_ms}\r\n"
                f"Api-Key: {self.key}\r\nContent-Length: 600\r\n\r\n"
            ).encode() + b"b" * 600)
            a.status, a.ids, a.whole, close = await asyncio.wait_for(
                read_stream(reader), self.deadline_ms / 1000 + 0.5)
        except (ConnectionError, asyncio.TimeoutError):
            a.ids, a.whole, close = [], False, True
        a.ended = time.monotonic()
        if close or not a.whole:
            writer.close()
            self.connection = None
        return a


ENGINE = {"Slots": 64, "KvCapacityTokens": 32224, "KvBytes": 327680,
          "LinkMbps": 2500000.0, "Stride": 8, "most": 12, "KvRetentionS": 0.5,
          "StageSwitchS": 6.0, "PinMs": 4000.0, "HoldMs": 2000.0,
          "Models": [{"Name": "m"}]}


def with_streams(config, service):
    """Adds a model service and its two routes: a resumable one and another."""
    for name, resumable in (("debrief", True), ("drill", False)):
        config["Routes"].append({
            "Name": name, "Host": "x.example", "PathPrefix": f"/{name}/",
            "Kind": "streaming", "TimeoutMs": 14000, "TargetLatencyMs": 900,
            "Priority": 1, "Service": service,
            "MaxAttempts": 2 if resumable else 1, "Anonymous": False,
            "SessionAffinity": True, "Resumable": resumable,
            "TargetGapMs": 300})
    config["Services"].append({
        "Name": service, "HealthCheckPath": "/health", "ConnectionLimit": 360,
        "Protocol": "h1", "Tls": False, "ColdStartS": 3.0, "ColdPerS": 22.0,
        "Engine": ENGINE})
    return config


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begin = time.monotonic()

    def say(self, text, at=None):
        at = time.monotonic() if at is None else at
        line = f"{at - self.begin:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


def main(folder, play, limit_s=110):
    """Plays a case: play(record, temporary folder) returns the exit code."""
    async def run():
        record = Record(folder)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as tmp:
            return await asyncio.wait_for(play(record, tmp), limit_s)
    if not os.path.exists(os.path.join(ROOT, deploy_file()[0][0])):
        print("the command of the deploy file is not built")
        sys.exit(CANNOT_RUN)
    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as e:
        print(f"the case could not run: {e!r}")
        code = CANNOT_RUN
    sys.exit(code)
