"""Stand-ins for the platform: its store, model engines and plain services.

They implement the platform's published HTTP calls on loopback addresses, record
the requests that they receive, and inject faults on demand. All of them run on
one asyncio loop.
"""

import asyncio
import base64
import json
import random
import struct
import time
import urllib.parse


async def read_message(reader):
    """Returns (method, target, headers, body), or None at end of stream."""
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


def http_response(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def send_endlessly(writer, first, more):
    writer.write(first)
    while not writer.transport.is_closing():
        writer.write(more)
        await writer.drain()


class Server:
    """An HTTP server on one loopback address.

    Subclasses implement handle(). If it returns False, the connection is closed
    once the data written so far has been sent.
    """

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
    """The platform's store: keyed streams with append, long poll and snapshot.

    Each host reads through a port of its own, so that faults can be limited to
    one host; the ports share their streams. delay_s delays responses to reads.
    With read_bytes_per_s, all reads share that rate, one after the other, also
    those that nobody waits for any more; with 2 s of them waiting, further ones
    get 503. With an era, all responses name it, and reads from beyond the end get
    410; restore() begins the next era. Modes:
    "ok"       serves requests
    "hang"     accepts requests and never responds
    "refuse"   responds with 503
    "close"    serves each request, then closes the connection
    "endless"  responds with a body without end
    """

    def __init__(self, host, port, shared=None):
        super().__init__(host, port)
        self.streams = shared.streams if shared else {}
        self.first_offset = shared.first_offset if shared else {}
        self.waiters = shared.waiters if shared else []
        self.root = shared or self
        self.read_bytes_per_s = None  # of the root, and the next two
        self.reads_end = 0.  # when the reads that wait will have been sent
        self.bytes_read = 0
        self.era = None  # of the root
        self.mode = "ok"
        self.delay_s = 0
        self.append_delay_s = 0  # of the root: before responses to appends
        self.calls = 0
        self.open_reads = {}  # number of reads in progress, by topic
        self.pages = []  # of snapshots read: (topic, key before the page)
        self.appends = []  # through this port: (time, status, keys)
        # Of the root: called with (topic, query, body) before each append.
        self.before_append = None

    def copy(self):
        """Returns a copy of the streams, for restore()."""
        return {topic: list(rows) for topic, rows in self.streams.items()}

    def restore(self, copy, ports):
        """Comes back from a copy; the connections to the ports break."""
        for topic in self.streams:
            self.streams[topic][:] = copy.get(topic, [])
            self.first_offset[topic] = min(self.first_offset.get(topic, 0),
                                           len(self.streams[topic]))
        self.era += 1
        for port in ports:
            for w in list(port.writers):
                w.transport.abort()

    def response(self, status, body=b""):
        era = self.root.era
        return http_response(status, body,
                             {} if era is None else {"Store-Era": str(era)})

    def put(self, topic, key, value):
        """Appends a record; a value of None removes the key."""
        raw = bytes([len(key)]) + key.encode() + (value or b"")
        self.streams.setdefault(topic, []).append((key, value, raw))
        for w in self.waiters:
            w.set()
        self.waiters.clear()

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    def expire_history(self, topic):
        self.first_offset[topic] = len(self.streams.get(topic, []))

    async def handle(self, reader, writer, method, target, headers, body):
        self.calls += 1
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if self.mode == "hang":
            await asyncio.sleep(3600)
        if self.mode == "refuse":
            writer.write(self.response(503))
            return True
        if self.mode == "endless":
            await send_endlessly(writer, *Endpoint.ENDLESS["endless_body"])
            return False
        topic = query.get("Topic", "")
        if path == "/figbend/log-newest":
            self.pages.append((topic, query.get("after", "")))
            out = self.snapshot(topic, query.get("after", ""))
            writer.write(await self.at_read_rate(out))
        elif path == "/figbend/log-read":
            self.open_reads[topic] = self.open_reads.get(topic, 0) + 1
            try:
                out = await self.read_records(topic, query)
                await asyncio.sleep(self.delay_s)
                if self.mode == "hang":
                    await asyncio.sleep(3600)
            finally:
                self.open_reads[topic] -= 1
            writer.write(await self.at_read_rate(out))
        elif path == "/figbend/log-append":
            out = self.append(topic, query, body)
            await asyncio.sleep(self.root.append_delay_s)
            writer.write(out)
        else:
            writer.write(self.response(404))
        if self.mode == "close":
            return False
        await writer.drain()
        return True

    def append(self, topic, query, body):
        """Appends all records of the body, or none if At is not the end."""
        if self.root.before_append:
            self.root.before_append(topic, query, body)
        end = len(self.streams.get(topic, []))
        if int(query.get("At", end)) != end:
            self.appends.append((time.monotonic(), 412, []))
            return self.response(
                412, json.dumps({"EndOffset": end}).encode())
        keys = []
        while body:
            n = struct.unpack(">I", body[:4])[0]
            record, body = body[4:4 + n], body[4 + n:]
            keys.append(record[1:1 + record[0]].decode())
            self.put(topic, keys[-1], record[1 + record[0]:] or None)
        self.appends.append((time.monotonic(), 200, keys))
        return self.response(200, json.dumps(
            {"Offset": end, "EndOffset": end + len(keys)}).encode())

    async def at_read_rate(self, out):
        """Returns the response once its turn has come."""
        root, now = self.root, time.monotonic()
        root.bytes_read += len(out)
        if not root.read_bytes_per_s:
            return out
        if root.reads_end - now > 2:
            return self.response(503)
        root.reads_end = (max(root.reads_end, now) +
                          len(out) / root.read_bytes_per_s)
        await asyncio.sleep(root.reads_end - now)
        return out

    def snapshot(self, topic, after_key):
        items = {}
        for offset, (key, value, _) in enumerate(self.streams.get(topic, [])):
            items.pop(key, None)
            if value is not None:
                items[key] = {"Key": key, "Offset": offset,
                              "Value": base64.b64encode(value).decode()}
        rows = [items[k] for k in sorted(items) if k > after_key]
        page, more = rows[:5], len(rows) > 5
        return self.response(200, json.dumps({
            "items": page, "HasMore": more,
            "EndOffset": len(self.streams.get(topic, []))}).encode())

    async def read_records(self, topic, query):
        start = int(query["From"])
        first = self.first_offset.get(topic, 0)
        if start < first or (self.root.era is not None and
                             start > len(self.streams.get(topic, []))):
            return self.response(
                410, json.dumps({"FirstOffset": first}).encode())
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while start >= len(self.streams.get(topic, [])):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            changed = asyncio.Event()
            self.waiters.append(changed)
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                break
        records = self.streams.get(topic, [])
        out = [struct.pack(">QQ", len(records), first)]
        for _, _, raw in records[start:]:
            out += [struct.pack(">I", len(raw)), raw]
        return self.response(200, b"".join(out))


def odd_entries(good):
    """Entries of another writer, from a good one: their keys and values."""
    yield "deep", b"[" * 100000
    yield "deep-object", b'{"Service":' * 20000
    yield "closed", b"[" * 5000 + b"]" * 5000
    noise = random.Random(1)
    yield "large", json.dumps(
        {**good, "Other": noise.randbytes(450000).hex()}).encode()
    yield "k" * 255, noise.randbytes(900000)
    yield "\u20ac" * 85, json.dumps(good).encode()[:-1]
    for field, text in (("Slots", "1e400"), ("Slots", "-1"), ("Slots", "[]"),
                        ("Slots", "9" * 400), ("born", "1e308"),
                        ("born", "-" + "9" * 30), ("Sequence", "1e400"),
                        ("ColdRemainingMs", "4e18"), ("Stage", "7"),
                        ("State", '"lost"'), ("Address", '"127.0.0.1:65536"'),
                        ("Address", '"127.0.0.1:99999999999999999999"'),
                        ("Address", '"127.0.0.1:0"'), ("Address", '""'),
                        ("Address", "null"), ("Service", '"' + "s" * 70000 + '"')):
        row = json.dumps({**good, field: 0}).replace(
            f'"{field}": 0', f'"{field}": {text}')
        yield f"odd-{field}-{len(text)}", row.encode()


class Endpoint(Server):
    """A model engine with a stage ("prefill" or "decode"), or a plain service.

    Each request except for reservations and releases consumes the first item of
    faults, which is None for no fault:
    "overloaded"      503, not executed
    "hang"            never responds
    "late"            504: the deadline passed before it began
    "half_head"       closes within the head of the response; executed
    "error"           500 with a text; executed
    "old_refusal"     the last refusal on the connection once more, if there was
                      one, before the response
    "reset"           connection reset; executed, except for a prefill
    "handle_missing"  the prefill result cannot be imported
    "handle_spoiled"  wrong_byte stands in the handle of the prefill result
    Plain services only:
    "slow"            responds after slow_s
    "truncate"        body incomplete, then the connection closes
    "unsigned"        response without Instance-Signature
    "wrong_id"        a response with another Attempt-Id comes first
    "extra_response"  a response without a request follows
    "endless_head"    a head without end
    "endless_interim" interim responses without end
    "long_head"       60 KB of a head, and then nothing
    "stuck_body"      100 KB of a body without end, and then nothing
    "endless_body"    a body without end
    "large"           a sound body of 1 MB
    "no_content"      as to a HEAD request: a length, and no body
    Streams only:
    "truncate_event"  closes within the fourth event, unless resumed
    "spoiled_id"      writes its first two events together, the second one with
                      spoiled_id for an id, unless resumed
    "endless_event"   one event of 250 KB, not ended, and then nothing
    "endless_events"  events of 1 KB without end
    "comments"        only comments after the third event, unless resumed
    "silent"          nothing for silence_s after three events, then goes on
    "only_comment"    ends after a comment, without an event
    "until_close"     neither a length nor chunks: the connection ends it
    "until_close_truncate_event"  the same, and closes within the fourth event
    "until_close_no_event"  the same, and closes before the first event

    A body that contains "poison" crashes the endpoint, except at the prefill
    stage, and so does a prompt with the part "dead".
    """

    def __init__(self, host, port, name, service, domain, stage=None,
                 slots=8, kv_capacity_tokens=40000, work_s=0.01,
                 event_interval_s=0.02):
        super().__init__(host, port)
        self.name, self.service, self.domain = name, service, domain
        self.stage, self.slots, self.kv_capacity_tokens = (
            stage, slots, kv_capacity_tokens)
        self.work_s, self.event_interval_s = work_s, event_interval_s
        self.started_ms = 1700000000000
        self.sequence = 0  # of its last entry
        self.faults = []
        self.fault = None  # of each request once faults is empty
        self.version = "v1"
        self.silence_s = 1.6
        self.slow_s = 5
        self.anonymous_refusals = False  # without an Attempt-Id
        self.holds_to_refuse = 0
        self.holds_to_spoil = 0  # wrong_byte stands in their ids
        # Sends a body without end to reservations, prefills and releases.
        self.endless_steps = False
        self.endless_sent = 0
        self.wrong_byte = " "
        self.spoiled_id = 0
        self.refusals = {}  # connection: its last refusal
        self.limit = None  # named in all responses, in requests a second
        self.leaving = False  # said in all responses
        self.draining = False  # said in all entries
        # While set, all requests get 503 with this Retry-After, as text.
        self.retry_after = None
        self.call_times = []  # of all requests, control calls included
        self.targets = []  # the same
        self.received = []  # (request id, headers, target, body, fault)
        self.executed = []  # ids of requests whose execution started
        self.completed = []  # ids of requests with a complete response
        self.reservations = {}  # id: (tokens, monotonic time of expiry)
        self.used = set()  # ids of reservations that requests have used
        self.released_after_use = []  # ids
        self.handles = {}  # prefill handle: request id
        self.running = {}  # request id: KV tokens

    def http_response(self, status, body=b"", fields=None):
        return http_response(status, body,
                             {**(fields or {}), **self.notices()})

    def refuse(self, writer, rid=None):
        fields = {"Not-Executed": "1"}
        if rid and not self.anonymous_refusals:
            fields["Attempt-Id"] = rid
        self.refusals[writer] = self.http_response(503, b"", fields)
        writer.write(self.refusals[writer])
        return True

    def notices(self):
        """Headers in which the endpoint speaks of itself."""
        fields = {}
        if self.limit is not None:
            fields["Server-Limit"] = str(self.limit)
        if self.leaving:
            fields["Server-Leaving"] = "1"
        return fields

    def entry(self, state=None, **more):
        """Returns what it writes to the store next."""
        state = state or ("draining" if self.draining else "ready")
        self.sequence += 1
        e = {"Service": self.service, "Address": self.addr,
             "Zone": self.domain, "Version": self.version, "Slots": self.slots,
             "State": state, "ColdRemainingMs": 0,
             "Sequence": self.sequence, "born": self.started_ms}
        if self.stage:
            e["Stage"] = self.stage
            e["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        e.update(more)
        return e

    def used_tokens(self):
        now = time.monotonic()
        self.reservations = {i: (n, expiry) for i, (n, expiry)
                             in self.reservations.items() if expiry > now}
        return (sum(self.running.values()) +
                sum(n for n, _ in self.reservations.values()))

    def next_fault(self):
        return self.faults.pop(0) if self.faults else self.fault

    async def handle(self, reader, writer, method, target, headers, body):
        self.call_times.append(time.monotonic())
        self.targets.append(target)
        expected = headers.get("expected-instance")
        if expected and expected != self.name:
            writer.write(self.http_response(421, b"", {"Instance-Id": self.name}))
            return True
        if self.retry_after is not None:
            rid = headers.get("attempt-id")
            writer.write(self.http_response(503, b"", {
                "Not-Executed": "1", "Retry-After": self.retry_after,
                **({"Attempt-Id": rid} if rid else {})}))
            return True
        if self.endless_steps and (
                target.startswith("/figbend/") or
                headers.get("serving-stage") == "prefill"):
            self.endless_sent += 1
            first, more = self.ENDLESS["endless_body"]
            rid = headers.get("attempt-id")
            head, end = first[:-2], first[-2:]
            await send_endlessly(
                writer, head + (f"Attempt-Id: {rid}\r\n".encode() if rid
                                else b"") + end, more)
            return False
        if target == "/figbend/hold-take":
            return self.reserve(writer, json.loads(body))
        if target.startswith("/figbend/hold-drop/"):
            reservation = target.rsplit("/", 1)[1]
            self.reservations.pop(reservation, None)
            if reservation in self.used:
                self.released_after_use.append(reservation)
            writer.write(self.http_response(200))
            return True
        if target.startswith("/figbend/kv-handle/"):
            self.handles.pop(target.rsplit("/", 1)[1], None)
            writer.write(self.http_response(200))
            return True
        return await self.execute(reader, writer, target, headers, body)

    def reserve(self, writer, request):
        if (self.holds_to_refuse or self.used_tokens() + request["TokenCount"]
                > self.kv_capacity_tokens):
            self.holds_to_refuse = max(0, self.holds_to_refuse - 1)
            return self.refuse(writer)
        reservation = "%016x" % random.getrandbits(64)
        if self.holds_to_spoil:
            self.holds_to_spoil -= 1
            reservation = self.spoil(reservation)
        self.reservations[reservation] = (
            request["TokenCount"],
            time.monotonic() + request["TtlMs"] / 1000)
        writer.write(self.http_response(
            200, json.dumps({"Hold": reservation}).encode()))
        return True

    def spoil(self, handle):
        return handle[:4] + self.wrong_byte + handle[5:]

    async def execute(self, reader, writer, target, headers, body):
        rid = headers.get("attempt-id", "")
        fault = self.next_fault()
        self.received.append((rid, headers, target, body, fault))
        self.used.add(headers.get("kv-hold", ""))
        identity = {"Attempt-Id": rid,
                    "Instance-Signature": f"{self.name}.{rid}",
                    "Instance-Load": f"{len(self.running)},0,{self.slots}"}
        if fault == "overloaded" or len(self.running) >= self.slots:
            return self.refuse(writer, rid)
        if fault == "old_refusal":
            writer.write(self.refusals.get(writer, b""))
        if fault == "hang":
            await asyncio.sleep(3600)
        if fault == "late":
            writer.write(self.http_response(504, b"late", identity))
            return True
        if self.crashes_on(headers, body):
            self.executed.append(rid)
            if self.entry_removed_first:
                self.store.put("keyed.servers", self.name, None)
                await asyncio.sleep(0.1)
            if not self.restart or self.restart.done():
                self.restart = asyncio.ensure_future(self.crash())
            return False
        if fault in ("reset", "half_head", "error"):
            if headers.get("serving-stage") != "prefill":
                self.executed.append(rid)
            if fault == "error":
                writer.write(self.http_response(500, b"error text", identity))
                return True
            if fault == "half_head":
                writer.write(b"HTTP/1.1 200 OK\r\nInstance-Signature: x\r\nCon")
                await writer.drain()
                return False
            writer.transport.abort()
            return False
        if headers.get("serving-stage") == "prefill":
            await asyncio.sleep(self.work_s)
            handle = "%012x" % random.getrandbits(48)
            if fault == "handle_spoiled":
                handle = self.spoil(handle)
            if fault != "handle_missing":
                self.handles[handle] = rid
            writer.write(self.http_response(200, json.dumps(
                {"KvHandle": handle, "TokenCount": 1, "Version": 1}).encode(),
                {"Attempt-Id": rid}))
            return True
        if "kv-source" in headers and not self.import_prefill(headers, rid):
            return self.refuse(writer, rid)
        self.reservations.pop(headers.get("kv-hold", ""), None)
        if "token-usage" in headers:
            return await self.stream(reader, writer, headers, rid, identity,
                                     fault)
        return await self.respond(reader, writer, rid, identity, fault)

    def import_prefill(self, headers, rid):
        """Imports a prefill result, which removes its handle.

        Returns False if the result is missing or is that of another request.
        """
        addr, handle = headers["kv-source"].split("/")
        for e in self.endpoints:
            if e.addr == addr:
                return e.handles.pop(handle, None) == rid
        return False

    @staticmethod
    def crashes_on(headers, body):
        parts = headers.get("prompt-prefix", "").split(",")
        return headers.get("serving-stage") != "prefill" and (
            b"poison" in body or "dead" in (p.split(":")[0] for p in parts))

    # Set by the deployment and shared by its endpoints.
    endpoints = []
    store = None
    restart = None  # the task of crash()
    crashes = 0
    # If true, a crash removes the entry before it closes the connections.
    entry_removed_first = False

    async def crash(self):
        """Aborts all connections and restarts as a new instance."""
        self.crashes += 1
        await self.stop()
        self.store.put("keyed.servers", self.name, None)
        await asyncio.sleep(0.2)
        self.started_ms += 1
        await self.start()
        self.store.put_json("keyed.servers", self.name, self.entry())

    # What comes first, and what follows until the connection closes.
    ENDLESS = {
        "endless_head": (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"x" * 4000 +
                         b"\r\n"),
        "endless_interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
        "endless_body": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         b"\r\n", b"8000\r\n" + b"x" * 32768 + b"\r\n"),
    }

    # What comes before nothing.
    STUCK = {
        "long_head": ENDLESS["endless_head"][0] +
        ENDLESS["endless_head"][1] * 15,
        "stuck_body": ENDLESS["endless_body"][0] +
        ENDLESS["endless_body"][1] * 3,
    }

    async def respond(self, reader, writer, rid, identity, fault):
        self.executed.append(rid)
        self.running[rid] = 0
        try:
            await asyncio.sleep(self.work_s if fault != "slow"
                                else self.slow_s)
        finally:
            self.running.pop(rid, None)
        body = f"answer to {rid}".encode() * (1 if fault != "large" else 35000)
        if fault in self.ENDLESS:
            await send_endlessly(writer, *self.ENDLESS[fault])
            return False
        if fault in self.STUCK:
            writer.write(self.STUCK[fault])
            await reader.read()
            return False
        if fault == "truncate":
            writer.write(self.http_response(200, body, identity)[:-3])
            return False
        if fault == "unsigned":
            writer.write(self.http_response(200, body))
            return True
        if fault == "no_content":
            response = self.http_response(200, body, identity)
            writer.write(response[:-len(body)])
            return True
        if fault == "wrong_id":
            other = dict(identity)
            other["Attempt-Id"] = "0" * 16
            writer.write(self.http_response(200, b"answer to another", other))
        writer.write(self.http_response(200, body, identity))
        if fault == "extra_response":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        self.completed.append(rid)
        return True

    async def stream(self, reader, writer, headers, rid, identity, fault):
        prompt, out = [int(x) for x in headers["token-usage"].split(",")]
        last_event_id = int(headers.get("last-event-id", "0"))
        n_events = max(1, out // 8)
        self.executed.append(rid)
        self.running[rid] = prompt + out
        disconnected = asyncio.ensure_future(reader.read(1))
        try:
            chunked = not (fault or "").startswith("until_close")
            writer.write(("HTTP/1.1 200 OK\r\n"
                          "Content-Type: text/event-stream\r\n" +
                          ("Transfer-Encoding: chunked\r\n" if chunked
                           else "") +
                          "Connection: close\r\n" +
                          "".join(f"{k}: {v}\r\n" for k, v in
                                  {**identity, **self.notices()}.items()) +
                          "\r\n").encode())
            if fault == "until_close_no_event":
                await writer.drain()
                return False
            if fault == "only_comment":
                writer.write(b"5\r\n: k\n\n\r\n0\r\n\r\n")
                await writer.drain()
                return False
            if fault == "endless_event":
                for _ in range(50):
                    writer.write(b"1388\r\n" + b"data:" * 1000 + b"\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.01)
                await disconnected
                return False
            if fault == "endless_events":
                n_events = 1 << 30
            for i in range(last_event_id + 1, n_events + 1):
                if fault != "endless_events":
                    await asyncio.sleep(self.event_interval_s)
                if disconnected.done() or writer.transport.is_closing():
                    return False
                while fault == "comments" and not last_event_id and i > 3:
                    writer.write(b"5\r\n: k\n\n\r\n")
                    await asyncio.sleep(0.3)
                    if disconnected.done() or writer.transport.is_closing():
                        return False
                if fault == "silent" and i == last_event_id + 4:
                    await asyncio.sleep(self.silence_s)
                    if disconnected.done():
                        return False
                event = f"id: {i}\ndata: {rid} {i}\n\n".encode()
                if fault == "spoiled_id" and not last_event_id and i < 3:
                    if i == 1:
                        first = event
                        continue
                    event = first + event.replace(
                        b"id: 2", b"id: %d" % self.spoiled_id)
                truncate = ((fault or "").endswith("truncate_event") and
                            not last_event_id and i == 4)
                part = event[:-4] if truncate else event
                if fault == "endless_events":
                    part = event[:-1] + b"data: " + b"x" * 1000 + b"\n\n"
                writer.write(b"%x\r\n%s\r\n" % (len(part), part) if chunked
                             else part)
                await writer.drain()
                if truncate:
                    return False
            writer.write(b"0\r\n\r\n" if chunked else b"")
            await writer.drain()
            self.completed.append(rid)
        finally:
            self.running.pop(rid, None)
            disconnected.cancel()
        # The read for the disconnect may have consumed a byte of the next
        # request, so the connection is not reused.
        return False
