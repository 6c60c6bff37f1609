"""A small deployment on loopback: hosts as real processes before stand-ins."""

import asyncio
import json
import os
import signal

from standins import Endpoint, Store

SECRET = "11" * 32
# Runs side by side take loopback networks of their own.
NET = "127." + os.environ.get("FIGBEND_TEST_NET", "21")
CALLERS, READY, METRICS, PEER = 21400, 21401, 21402, 21403


class Host:
    """One figbend process at an address of its own."""

    def __init__(self, binary, tmp, n, domain, store_addr):
        self.binary, self.n, self.domain = binary, n, domain
        self.ip = f"{NET}.0.{n}"
        self.name = f"h{n}"
        self.path = os.path.join(tmp, f"{self.name}.jsonc")
        self.log = os.path.join(tmp, f"{self.name}.log")
        self.process = None
        settings = {
            "host": self.name, "domain": domain,
            "callers_addr": f"{self.ip}:{CALLERS}",
            "ready_addr": f"{self.ip}:{READY}",
            "metrics_addr": f"{self.ip}:{METRICS}",
            "peer_addr": f"{self.ip}:{PEER}", "store_addr": store_addr,
            "secret": SECRET, "memory_mb": 110, "descriptors": 4100,
            "stop_s": 8,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
            "limit_slack": 0}
        with open(self.path, "w") as f:
            json.dump(settings, f)

    async def start(self):
        out = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "--pools", self.path, stdout=out, stderr=out)
        out.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Response:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers = status, headers
        self.body, self.whole = body, whole


async def read_response(reader, on_bytes=None):
    """Reads an answer; whole is False if it broke off."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(0, {}, b"", False)
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    status = int(lines[0].split(" ")[1])
    body, whole = b"", True
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    break
                body += piece[:-2]
                if on_bytes:
                    on_bytes(piece[:-2])
        else:
            body = await reader.readexactly(
                int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        whole = False
    return Response(status, headers, body, whole)


class Deployment:
    def __init__(self, binary, tmp, hosts=2, domains=("a", "b")):
        self.store = Store(NET + ".1.1", 21500)
        self.ports = [Store(NET + ".1.1", 21501 + i, self.store)
                      for i in range(hosts)]
        self.hosts = [Host(binary, tmp, i + 1, domains[i % len(domains)],
                           self.ports[i].addr) for i in range(hosts)]
        self.endpoints = []
        self.version = 0
        self.key, self.next_id = "key-one", 0
        self.routes = [
            self.route("once", "non_idempotent", "plain", attempts=1),
            self.route("safe", "idempotent", "plain", attempts=2),
            self.route("stream", "streaming", "model", attempts=1),
            self.route("resume", "streaming", "model", attempts=2,
                       resumable=True)]
        self.accounts = [{"Name": "one", "ApiKeys": [self.key],
                          "Unit": "tokens", "UncachedTokens": 200,
                          "RatePerS": 1000000, "Burst": 1000000}]

    @staticmethod
    def route(name, kind, service, attempts, resumable=False):
        return {"Name": name, "Host": "x.example", "PathPrefix": f"/{name}/",
                "Kind": kind, "TimeoutMs": 5000, "TargetLatencyMs": 500,
                "Priority": 1, "Service": service, "MaxAttempts": attempts,
                "Anonymous": False, "SessionAffinity": kind == "streaming",
                "Resumable": resumable, "TargetGapMs": 300}

    def configure(self, version=None):
        self.version = version or self.version + 1
        self.store.put_json("keyed.op", "config", {
            "Version": self.version, "Routes": self.routes,
            "Services": [
                {"Name": "plain", "HealthCheckPath": "/health",
                 "ConnectionLimit": 100, "ColdStartS": 0, "ColdPerS": 0},
                {"Name": "model", "HealthCheckPath": "/health",
                 "ConnectionLimit": 100, "ColdStartS": 0, "ColdPerS": 0,
                 "Engine": {"Slots": 8, "KvCapacityTokens": 40000,
                            "KvRetentionS": 0.5, "HoldMs": 2000, "Stride": 8,
                            "Models": [{"Name": "m"}]}}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000,
                       "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 5000},
            "Tenants": self.accounts})

    async def add(self, service, domain, stage=None, **more):
        n = len(self.endpoints)
        e = Endpoint(NET + ".2.1", 21600 + n, f"e{n}", service, domain, stage,
                     **more)
        self.endpoints.append(e)
        Endpoint.others = self.endpoints
        Endpoint.store = self.store
        await e.start()
        self.store.put_json("keyed.servers", e.name, e.entry())
        return e

    async def start(self):
        for p in self.ports:
            await p.start()
        await asyncio.gather(*(h.start() for h in self.hosts))

    async def until_ready(self, timeout_s=5):
        for h in self.hosts:
            for _ in range(int(timeout_s / 0.05)):
                if await self.ready(h) == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(f"{h.name} is not ready")

    async def stop(self):
        for h in self.hosts:
            await h.kill()
        for s in self.ports + self.endpoints:
            await s.stop()

    async def ready(self, host):
        try:
            reader, writer = await asyncio.open_connection(host.ip, READY)
            writer.write(b"GET /figbend/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            r = await asyncio.wait_for(read_response(reader), 1)
            writer.close()
            return r.status
        except (OSError, asyncio.TimeoutError):
            return 0

    def request_bytes(self, route, tokens=None, deadline_ms=5000, key=None,
                      body=b"hello", fields=None):
        self.next_id += 1
        rid = f"{self.next_id:016x}"
        lines = [f"POST /{route}/1?q=2 HTTP/1.1", "Host: x.example",
                 f"Attempt-Id: {rid}", f"Deadline-Ms: {deadline_ms}",
                 f"Api-Key: {key or self.key}",
                 f"Content-Length: {len(body)}"]
        if tokens:
            lines += ["Model: m", f"Token-Usage: {tokens[0]},{tokens[1]}",
                      f"Prompt-Prefix: {rid}:{tokens[0]}"]
        lines += [f"{k}: {v}" for k, v in (fields or {}).items()]
        return rid, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def ask(self, route, host=0, timeout_s=8, **more):
        rid, raw = self.request_bytes(route, **more)
        reader, writer = await asyncio.open_connection(
            self.hosts[host].ip, CALLERS)
        writer.write(raw)
        r = await asyncio.wait_for(read_response(reader), timeout_s)
        writer.close()
        return rid, r
