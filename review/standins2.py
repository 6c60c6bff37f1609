"""Stand-ins of the second review: the platform's store, plain engines, a small
deployment of figbend --pools, and clients, all on loopback addresses.

They implement what the users' pages (PROTOCOL.md, DEPLOY.md) say, with Python's
standard library only. All of it runs on one asyncio loop; times in records are
seconds of the monotonic clock since the start of the script.
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
START = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be run: exit status 2."""


class Record:
    """Writes what was sent, answered and run, one event a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(first, fields, body=b""):
    lines = [first] + [f"{k}: {v}" for k, v in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A TCP server; subclasses implement handle(), False ends the connection."""

    def __init__(self, ip, port=0):
        self.ip, self.port = ip, port
        self.server = None
        self.writers = set()

    @property
    def addr(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self, reset=False):
        """Ends as a process does: the listener and all connections close."""
        if self.server:
            self.server.close()
            self.server = None
        for w in list(self.writers):
            if reset:
                w.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                m = await read_message(reader)
                if m is None or await self.handle(reader, writer, *m) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Topics:
    """The keyed topics of the platform's log, one partition each."""

    def __init__(self):
        self.rows = {}
        self.waiting = []

    def append(self, topic, key, value):
        """Returns the offset. A value of None drops the key."""
        raw = bytes([len(key)]) + key.encode() + (value or b"")
        rows = self.rows.setdefault(topic, [])
        rows.append((key, value, raw))
        for event in self.waiting:
            event.set()
        self.waiting.clear()
        return len(rows) - 1


class StorePort(Server):
    """The address of the store that is in the settings of one machine."""

    def __init__(self, ip, topics):
        super().__init__(ip)
        self.topics = topics
        self.open_reads = {}  # topic: long polls that wait

    async def handle(self, reader, writer, first, headers, body):
        method, target, _ = first.split(" ", 2)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        topic = query.get("Topic", "")
        if path == "/figbend/log-newest":
            writer.write(self.newest(topic, query.get("after", "")))
        elif path == "/figbend/log-read":
            writer.write(await self.read(topic, int(query.get("From", 0)),
                                         int(query.get("WaitMs", 0))))
        elif path == "/figbend/log-append" and method == "POST":
            writer.write(self.append(topic, query, body))
        else:
            writer.write(message("HTTP/1.1 404 Not Found", {}))

    def newest(self, topic, after):
        rows, last = self.topics.rows.get(topic, []), {}
        for offset, (key, value, _) in enumerate(rows):
            last[key] = (offset, value)
        items = [{"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
                 for k, (o, v) in sorted(last.items()) if v and k > after]
        page = {"items": items[:500], "HasMore": len(items) > 500,
                "EndOffset": len(rows)}
        return message("HTTP/1.1 200 OK", {"Content-Type": "application/json"},
                       json.dumps(page).encode())

    async def read(self, topic, start, wait_ms):
        rows = self.topics.rows.setdefault(topic, [])
        end = time.monotonic() + wait_ms / 1000
        self.open_reads[topic] = self.open_reads.get(topic, 0) + 1
        try:
            while len(rows) <= start and time.monotonic() < end:
                event = asyncio.Event()
                self.topics.waiting.append(event)
                try:
                    await asyncio.wait_for(event.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        finally:
            self.open_reads[topic] -= 1
        out = struct.pack(">QQ", len(rows), 0)
        for _, _, raw in rows[start:]:
            out += struct.pack(">I", len(raw)) + raw
        return message("HTTP/1.1 200 OK", {}, out)

    def append(self, topic, query, body):
        rows = self.topics.rows.setdefault(topic, [])
        if topic in ("keyed.op", "keyed.servers"):
            return message("HTTP/1.1 403 Forbidden", {})
        if "At" in query and int(query["At"]) != len(rows):
            return message("HTTP/1.1 412 Precondition Failed", {},
                           json.dumps({"EndOffset": len(rows)}).encode())
        first = len(rows)
        while body:
            n = struct.unpack(">I", body[:4])[0]
            raw, body = body[4:4 + n], body[4 + n:]
            key = raw[1:1 + raw[0]].decode()
            self.topics.append(topic, key, raw[1 + raw[0]:] or None)
        return message("HTTP/1.1 200 OK", {}, json.dumps(
            {"Offset": first, "EndOffset": len(rows)}).encode())


class Engine(Server):
    """A plain engine, which answers each call after work_s."""

    def __init__(self, ip, name, service, zone, record, slots=6, work_s=0.06):
        super().__init__(ip)
        self.name, self.service, self.zone = name, service, zone
        self.record, self.slots, self.work_s = record, slots, work_s
        self.born, self.sequence = int(time.time() * 1000), 0
        self.running = 0
        self.leaves = False  # said in its entries and in all its answers
        self.arrivals = []  # (time, id, path)
        self.runs = []  # (time, id)
        self.answered = []  # ids

    def entry(self):
        self.sequence += 1
        return {"Service": self.service, "Address": self.addr,
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": "draining" if self.leaves else "ready",
                "ColdRemainingMs": 0, "Sequence": self.sequence,
                "born": self.born}

    def answer(self, status, rid, body=b"", **more):
        fields = {"Attempt-Id": rid, **more,
                  "Instance-Load": f"{self.running},0,{self.slots}"}
        if self.leaves:
            fields["Server-Leaving"] = "1"
        return message(f"HTTP/1.1 {status}", fields, body)

    async def handle(self, reader, writer, first, headers, body):
        rid = headers.get("attempt-id", "")
        if headers.get("expected-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 {"Instance-Id": self.name}))
            return
        self.arrivals.append((now(), rid, first.split(" ")[1]))
        self.record.write(f"reaches {self.name} {self.service} {rid}")
        if self.running >= self.slots:
            writer.write(self.answer("503 Service Unavailable", rid,
                                     **{"Not-Executed": "1"}))
            return
        self.runs.append((now(), rid))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if writer.transport.is_closing():
            self.record.write(f"cut off at {self.name} {rid}")
            return False
        self.answered.append(rid)
        writer.write(self.answer(
            "200 OK", rid, f"{self.service} answers {rid}".encode(),
            **{"Instance-Signature": f"{self.name}.{rid}"}))


class ModelEngine(Engine):
    """A prefill or decode engine. A decode engine streams an event each
    interval_s; one that is full takes no requests."""

    EVENT_TOKENS = 8

    def __init__(self, ip, name, service, zone, record, stage, slots=64,
                 interval_s=0.05):
        super().__init__(ip, name, service, zone, record, slots)
        self.stage, self.interval_s = stage, interval_s
        self.full = False
        self.limit = None  # Server-Limit, in all answers
        self.preempted = {}  # id of a stream: when it goes on
        self.handles = {}

    def entry(self):
        return {**super().entry(), "Stage": self.stage,
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}]}

    def answer(self, status, rid, body=b"", **more):
        if self.limit:
            more["Server-Limit"] = str(self.limit)
        return super().answer(status, rid, body, **more)

    async def handle(self, reader, writer, first, headers, body):
        path, rid = first.split(" ")[1], headers.get("attempt-id", "")
        if headers.get("expected-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 {"Instance-Id": self.name}))
            return
        if path.startswith("/figbend/kv-handle/") or \
                path.startswith("/figbend/hold-drop/"):
            writer.write(message("HTTP/1.1 200 OK", {}))
            return
        self.arrivals.append((now(), rid, path))
        self.record.write(f"reaches {self.name} {self.stage} {path} {rid}")
        if self.full:
            writer.write(self.answer("503 Service Unavailable", rid,
                                     **{"Not-Executed": "1"}))
        elif path == "/figbend/hold-take":
            writer.write(message("HTTP/1.1 200 OK", {
                **({"Server-Limit": str(self.limit)} if self.limit else {})},
                json.dumps({"Hold": f"{random.getrandbits(64):016x}"}).encode()))
        elif headers.get("serving-stage") == "prefill":
            await asyncio.sleep(0.1)
            handle = f"{random.getrandbits(48):012x}"
            writer.write(self.answer("200 OK", rid, json.dumps(
                {"KvHandle": handle, "TokenCount": 1, "Version": 1}).encode()))
        else:
            return await self.stream(reader, writer, headers, rid)

    async def stream(self, reader, writer, headers, rid):
        self.runs.append((now(), rid))
        self.record.write(f"runs at {self.name} {rid}")
        tokens = int(headers["token-usage"].split(",")[1])
        head = self.answer("200 OK", rid, **{
            "Instance-Signature": f"{self.name}.{rid}",
            "Content-Type": "text/event-stream"})
        writer.write(head.replace(b"Content-Length: 0",
                                  b"Transfer-Encoding: chunked"))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            for i in range(int(headers.get("last-event-id", 0)) + 1,
                           max(1, tokens // self.EVENT_TOKENS) + 1):
                await asyncio.sleep(self.interval_s)
                while now() < self.preempted.get(rid, 0) and \
                        not gone.done():
                    await asyncio.sleep(0.02)
                if gone.done() or writer.transport.is_closing():
                    self.record.write(f"left by its caller at {self.name} {rid}")
                    return False
                event = f"id: {i}\ndata: {rid} {i}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
            self.answered.append(rid)
        finally:
            gone.cancel()
        return False  # the read above may have taken a byte of the next request


def render(template, fields):
    """Fills in the deploy file's template of the settings, as DEPLOY.md says."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    def placeholder(match):
        value = look_up(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


BOUNDS = {"SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 3000,
          "AckTimeoutMs": 4000, "CatchUpS": 4, "DrainTimeoutMs": 2000,
          "GracePeriodS": 8, "LossToleranceMs": 200, "ConfigApplyMs": 2000,
          "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RevocationStrict": False,
          "RevocationMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
          "BudgetSlack": 54, "QuotaWindowS": 8, "QuotaOverage": 0.1,
          "QuotaTolerance": 190000, "ColdOverage": 1.5, "ColdTolerance": 5,
          "EvacuationMs": 5000, "RecoveryS": 12, "TransitMs": 120,
          "RetryAfterS": 10, "FencingRequired": False, "LeaseMs": 3000,
          "ThawSlackMs": 300}


class Machine:
    """A machine that runs the role of the deploy file as a process."""

    def __init__(self, name, zone, ip, ports, store, folder):
        self.name, self.zone, self.ip = name, zone, ip
        self.ports, self.store = ports, store
        self.settings_path = os.path.join(folder, f"{name}.settings")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy/settings.jsonc")) as f:
            template = f.read()
        fields = {"NodeName": self.name, "Zone": self.zone,
                  "IpAddress": self.ip,
                  "InternalPortRange": [self.ports["peer"],
                                        self.ports["peer"] + 15],
                  "ListenAddresses": {
                      "Frontend": f"{self.ip}:{self.ports['callers']}",
                      "Readiness": f"{self.ip}:{self.ports['ready']}"},
                  "Limits": {"MemoryMb": 260, "FileDescriptors": 4100},
                  "Platform": {"Address": self.store.addr}, "Bounds": BOUNDS}
        with open(self.settings_path, "w") as f:
            f.write(render(template, fields))

    async def start(self):
        self.write_settings()
        with open(os.path.join(ROOT, "deploy/system.toml")) as f:
            command = re.search(r'^run = "(.*)"$', f.read(), re.M).group(1)
        words = command.split()
        if not os.path.exists(os.path.join(ROOT, words[0])):
            raise CannotRun(f"{words[0]} is not built")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8",
                     "FIGBEND_SETTINGS": self.settings_path})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def readiness(self):
        """Returns the status that the platform would see, 0 without one."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports["ready"])
            writer.write(message("GET /figbend/readiness HTTP/1.1",
                                 {"Host": "x"}))
            m = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return int(m[0].split(" ")[1]) if m else 0
        except (OSError, asyncio.TimeoutError):
            return 0


class Connection:
    """A client's connection, which is kept for many requests."""

    def __init__(self, machine):
        self.machine, self.reader, self.writer = machine, None, None

    async def request(self, raw, timeout_s=15):
        """Returns (status, headers, body); the status is 0 without an answer."""
        try:
            if not self.writer or self.writer.transport.is_closing():
                self.reader, self.writer = await asyncio.open_connection(
                    self.machine.ip, self.machine.ports["callers"])
            self.writer.write(raw)
            m = await asyncio.wait_for(read_message(self.reader), timeout_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            m = None
        if m is None or m[1].get("connection", "").lower() == "close":
            self.close()
        if m is None:
            return 0, {}, b""
        return int(m[0].split(" ")[1]), m[1], m[2]

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def is_free(ip, port):
    with socket.socket() as s:
        try:
            s.bind((ip, port))
            return True
        except OSError:
            return False


class Deployment:
    """Machines named as the sheet of opole-szkolenia has them, and the store."""

    METRICS_PORT = 9464  # of the template of the settings

    def __init__(self, folder, record, zones):
        """zones is a list of (zone, machines)."""
        self.record, self.topics = record, Topics()
        n = sum(count for _, count in zones)
        self.net = self.find_net(n)
        ports = {"callers": free_port(f"{self.net}.1"),
                 "ready": free_port(f"{self.net}.1"),
                 "peer": free_port(f"{self.net}.1")}
        self.stores, self.machines, self.engines = [], [], []
        for zone, count in zones:
            for i in range(count):
                k = len(self.machines) + 1
                store = StorePort(f"{self.net}.200", self.topics)
                self.stores.append(store)
                self.machines.append(Machine(
                    f"frontend-{zone}-{i + 1}", zone, f"{self.net}.{k}", ports,
                    store, folder))
        self.version, self.last_id = 0, 0

    def find_net(self, n):
        for _ in range(50):
            net = f"127.{random.randint(64, 126)}.{random.randint(1, 250)}"
            if all(is_free(f"{net}.{k}", self.METRICS_PORT)
                   for k in range(1, n + 1)):
                return net
        raise CannotRun("no free loopback addresses")

    def add_engine(self, service, zone, kind=Engine, **more):
        k = len(self.engines)
        e = kind(f"{self.net}.{100 + k}", f"i-{k:010x}", service, zone,
                 self.record, **more)
        self.engines.append(e)
        return e

    def put(self, topic, key, value):
        self.topics.append(topic, key, json.dumps(value).encode())
        return now()

    def put_entry(self, engine):
        """Returns when the store acknowledged the entry."""
        return self.put("keyed.servers", engine.name, engine.entry())

    def put_config(self, config):
        self.version += random.randint(1, 3)
        return self.put("keyed.op", "config",
                        {"Version": self.version, **config})

    async def start(self, config, timeout_s=10):
        for s in self.stores + self.engines:
            await s.start()
        self.put_config(config)
        for e in self.engines:
            self.put_entry(e)
        await asyncio.gather(*(m.start() for m in self.machines))
        end = now() + timeout_s
        while [await m.readiness() for m in self.machines] != \
                [200] * len(self.machines):
            if now() > end:
                raise CannotRun("the machines do not get ready")
            await asyncio.sleep(0.1)

    async def heartbeats(self, interval_s=1.2):
        """All engines that live write their entries again and again."""
        while True:
            await asyncio.sleep(interval_s)
            for e in self.engines:
                if e.server:
                    self.put_entry(e)

    def request(self, path, deadline_ms=1500, key=None, body=b"", method="POST",
                fields=None):
        """Returns the id and the bytes of a request."""
        self.last_id += 1
        rid = f"{self.last_id:016x}"
        head = {"Host": "ficu95.example", "Attempt-Id": rid,
                "Deadline-Ms": str(deadline_ms)}
        if key:
            head["Api-Key"] = key
        head.update(fields or {})
        return rid, message(f"{method} {path} HTTP/1.1", head, body)

    async def stop(self):
        for m in self.machines:
            await m.kill()
        for s in self.stores + self.engines:
            await s.stop()


def run_case(folder, case):
    """Runs case(record, temporary folder), a coroutine that returns true if the
    rule was broken, and exits as the review asks."""
    record = Record(folder)
    # Streams that are still open when the loop ends complain of that.
    sys.unraisablehook = lambda unraisable: None

    async def run(tmp):
        return await asyncio.wait_for(case(record, tmp), 110)

    with tempfile.TemporaryDirectory() as tmp:
        try:
            broken = asyncio.run(run(tmp))
            status = 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            record.say(f"could not run: {type(e).__name__} {e}")
            status = 2
    record.say(f"exit {status}")
    record.file.close()
    sys.exit(status)
