"""Tests of engines that answer a long upload at once, and break off."""

import asyncio
import socket

from deployment import CALLERS_PORT, read_response
from standins import Endpoint

__all__ = ["test_a_call_that_ends_during_its_upload_is_not_whole",
           "test_a_stream_that_ends_during_its_upload_is_not_whole",
           "test_a_prefill_that_ends_during_its_upload_is_not_used",
           "test_retries_a_call_that_was_refused_during_its_upload"]

UPLOAD = b"x" * 3000000


class EarlyEndpoint(Endpoint):
    """Answers while a long body is still being sent, without a length, and ends the
    answer in order. Modes:
    "reset"    then resets the connection
    "reads"    then reads the rest, and closes
    "refused"  says in the answer that it did not execute the request
    None       as any endpoint
    """

    mode = None
    early = 0  # answers

    async def start(self):
        await super().start()
        for s in self.server.sockets:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        length = int(fields.get("content-length", 0))
        if self.mode and length == len(UPLOAD):
            await self.answer_early(reader, writer, fields)
            return False
        method, target, _ = first.split(" ")
        body = await reader.readexactly(length)
        return await self.handle(reader, writer, method, target, fields, body)

    async def answer_early(self, reader, writer, fields):
        writer.transport.pause_reading()
        self.early += 1
        writer.write(self.answer(fields["attempt-id"], fields))
        writer.write_eof()
        await asyncio.sleep(0.2)
        if self.mode == "reads":
            writer.transport.resume_reading()
            while await reader.read(65536):
                pass
        else:
            writer.transport.abort()

    def answer(self, rid, fields):
        if self.mode == "refused":
            return (f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                    f"Attempt-Id: {rid}\r\n\r\nfull").encode()
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {rid}\r\n"
                f"Instance-Signature: {self.name}.{rid}\r\n\r\n").encode()
        if fields.get("serving-stage") == "prefill":
            self.handles["early"] = rid
            return head + (b'{"KvHandle": "early", "TokenCount": 1, '
                           b'"Version": 1}')
        if "token-usage" in fields:
            self.executed.append(rid)
            return head + b"".join(b"id: %d\ndata: %s %d\n\n" %
                                   (i, rid.encode(), i) for i in (1, 2, 3))
        self.executed.append(rid)
        return head + b"a part of the answer"


async def start(d, service, mode, stages=(None,), **more):
    """Starts hosts and early endpoints; returns these."""
    d.body_max_bytes = 2 * len(UPLOAD)
    d.publish_config()
    out = [await d.add_endpoint(service, "a", stage, kind=EarlyEndpoint, **more)
           for stage in stages]
    await d.start()
    await d.wait_ready()
    for e in out:
        e.mode = mode
    return out


def in_chunks(raw):
    """Returns the request with its body in chunks in place of a length."""
    head, body = raw.split(b"\r\n\r\n", 1)
    lines = [line for line in head.split(b"\r\n")
             if not line.startswith(b"Content-Length")]
    parts = [body[i:i + 50000] for i in range(0, len(body), 50000)]
    return (b"\r\n".join(lines + [b"Transfer-Encoding: chunked"]) +
            b"\r\n\r\n" +
            b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts + [b""]))


async def send(d, raw):
    reader, writer = await asyncio.open_connection(d.hosts[0].ip, CALLERS_PORT)
    writer.write(raw)
    r = await asyncio.wait_for(read_response(reader), 8)
    writer.close()
    return r


async def upload(d, e, route, change):
    """Sends requests until one gets to the endpoint, which may be ejected for a
    while. Returns its response."""
    for _ in range(20):
        before = e.early
        rid, raw = d.request_bytes(route, body=UPLOAD)
        r = await send(d, change(raw))
        if e.early > before:
            return r
        assert r.status == 503 and rid not in e.executed, r.status
        await asyncio.sleep(0.5)
    raise AssertionError("no request got to the endpoint")


# Guards against a part of an answer that callers get as all of it.
async def test_a_call_that_ends_during_its_upload_is_not_whole(d):
    e, = await start(d, "plain", None)
    for mode in ("reset", "reads"):
        e.mode = mode
        for route in ("non_idempotent", "idempotent"):
            for change in (bytes, in_chunks):
                r = await upload(d, e, route, change)
                assert r.status in (502, 504) or not r.complete, (
                    mode, route, change.__name__, r.status, r.body)


# Guards against a stream that lacks its last events and ends as complete.
async def test_a_stream_that_ends_during_its_upload_is_not_whole(d):
    engines = await start(d, "model", "reset", ("decode", "decode"))
    await d.add_endpoint("model", "a", "prefill")
    for route in ("stream", "resumable"):
        rid, raw = d.request_bytes(route, body=UPLOAD, tokens=(3000, 80))
        r = await send(d, raw)
        whole = b"".join(b"id: %d\ndata: %s %d\n\n" % (i, rid.encode(), i)
                         for i in range(1, 11))
        assert r.status != 200 or not r.complete or r.body == whole, (
            route, r.status, r.body)
        await asyncio.sleep(1)
    assert sum(e.early for e in engines) >= 2, (r.status, r.body)


# Guards against a prefill that counts as done though its prompt was not read.
async def test_a_prefill_that_ends_during_its_upload_is_not_used(d):
    prefill, decode = await start(d, "model", "reset", ("prefill", "decode"))
    decode.mode = None
    rid, raw = d.request_bytes("resumable", body=UPLOAD, tokens=(3000, 80))
    r = await send(d, raw)
    assert prefill.early, (r.status, r.body, decode.early)
    assert not any("early" in headers.get("kv-source", "")
                   for _, headers, *_ in decode.received)
    assert r.status in (200, 502, 503, 504), r.status


# Guards against a call that fails although its engine said that it did not execute it.
async def test_retries_a_call_that_was_refused_during_its_upload(d):
    full, = await start(d, "plain", "refused")
    sound = await d.add_endpoint("plain", "b")
    await asyncio.sleep(0.5)
    for n in range(12):
        rid, raw = d.request_bytes(("non_idempotent", "idempotent")[n % 2],
                                   body=UPLOAD)
        r = await send(d, raw)
        assert r.status in (200, 503), r.status
        assert (rid in sound.executed) == (r.status == 200)
    assert full.early
