"""A small deployment on loopback: figbend processes and stand-ins."""

import asyncio
import json
import os
import signal

from standins import Endpoint, Store

SECRET = "11" * 32
# Concurrent runs use separate loopback networks.
LOOPBACK_NET = "127." + os.environ.get("FIGBEND_TEST_NET", "21")
CALLERS_PORT, READY_PORT, METRICS_PORT, PEER_PORT = 21400, 21401, 21402, 21403


class Host:
    """One figbend process with its own address, settings file and log."""

    def __init__(self, binary, tmp, n, domain, store_addr):
        self.binary, self.n, self.domain = binary, n, domain
        self.ip = f"{LOOPBACK_NET}.0.{n}"
        self.name = f"h{n}"
        self.settings_path = os.path.join(tmp, f"{self.name}.jsonc")
        self.log_path = os.path.join(tmp, f"{self.name}.log")
        self.process = None
        self.log_start = 0  # of the process, in bytes
        self.settings = {}
        settings = {
            "host": self.name, "domain": domain,
            "callers_addr": f"{self.ip}:{CALLERS_PORT}",
            "ready_addr": f"{self.ip}:{READY_PORT}",
            "metrics_addr": f"{self.ip}:{METRICS_PORT}",
            "peer_addr": f"{self.ip}:{PEER_PORT}", "store_addr": store_addr,
            "secret": SECRET, "memory_mb": 110, "descriptors": 4100,
            "stop_s": 8,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
            "limit_slack": 0}
        self.change_settings(**settings)

    def change_settings(self, **settings):
        """Takes effect at the next start."""
        self.settings.update(settings)
        with open(self.settings_path, "w") as f:
            json.dump(self.settings, f)

    async def start(self):
        out = open(self.log_path, "ab")
        self.log_start = out.tell()
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "--pools", self.settings_path, stdout=out, stderr=out)
        out.close()

    def log(self):
        """Returns what the host has logged; a line may be cut in a character."""
        with open(self.log_path, errors="replace") as f:
            return f.read()

    def log_of_process(self, start=0):
        """Returns what the present process has logged, from byte start on."""
        with open(self.log_path, errors="replace") as f:
            f.seek(max(start, self.log_start))
            return f.read()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Response:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete


async def read_response(reader, on_data=None):
    """Reads a response and passes its chunks to on_data.

    The response is not complete if the connection closed early; its status is 0
    if the connection closed before the end of the header.
    """
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
    body, complete = b"", True
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
                if on_data:
                    on_data(chunk[:-2])
        else:
            body = await reader.readexactly(
                int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        complete = False
    return Response(status, headers, body, complete)


class Deployment:
    """Hosts, endpoints and the platform's store.

    Routes: "non_idempotent" and "idempotent" lead to plain endpoints, "stream"
    and "resumable" to model endpoints. There is one client account.
    """

    def __init__(self, binary, tmp, hosts=2, domains=("a", "b")):
        self.store = Store(LOOPBACK_NET + ".1.1", 21500)
        self.host_stores = [Store(LOOPBACK_NET + ".1.1", 21501 + i, self.store)
                            for i in range(hosts)]
        self.hosts = [Host(binary, tmp, i + 1, domains[i % len(domains)],
                           self.host_stores[i].addr) for i in range(hosts)]
        self.endpoints = []
        self.version = 0
        self.api_key, self.last_id = "key-one", 0
        self.idle_ms = 5000
        self.body_max_bytes = 100000
        self.hold_ms = 2000  # 0 if engines take no reservations
        self.routes = [
            self.route("non_idempotent", "non_idempotent", "plain",
                       attempts=1),
            self.route("idempotent", "idempotent", "plain", attempts=2),
            self.route("stream", "streaming", "model", attempts=1),
            self.route("resumable", "streaming", "model", attempts=2,
                       resumable=True)]
        self.accounts = [{"Name": "one", "ApiKeys": [self.api_key],
                          "Unit": "tokens", "UncachedTokens": 200,
                          "RatePerS": 1000000, "Burst": 1000000}]

    @staticmethod
    def route(name, kind, service, attempts, resumable=False):
        return {"Name": name, "Host": "x.example", "PathPrefix": f"/{name}/",
                "Kind": kind, "TimeoutMs": 5000, "TargetLatencyMs": 500,
                "Priority": 1, "Service": service, "MaxAttempts": attempts,
                "Anonymous": False, "SessionAffinity": kind == "streaming",
                "Resumable": resumable, "TargetGapMs": 300}

    def publish_config(self, version=None):
        self.version = version or self.version + 1
        self.store.put_json("keyed.op", "config", {
            "Version": self.version, "Routes": self.routes,
            "Services": [
                {"Name": "plain", "HealthCheckPath": "/health",
                 "ConnectionLimit": 100, "ColdStartS": 0, "ColdPerS": 0},
                {"Name": "other", "HealthCheckPath": "/health",
                 "ConnectionLimit": 100, "ColdStartS": 0, "ColdPerS": 0},
                {"Name": "model", "HealthCheckPath": "/health",
                 "ConnectionLimit": 100, "ColdStartS": 0, "ColdPerS": 0,
                 "Engine": {"Slots": 8, "KvCapacityTokens": 40000,
                            "KvRetentionS": 0.5, "HoldMs": self.hold_ms,
                            "Stride": 8,
                            "Models": [{"Name": "m"}]}}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": self.body_max_bytes,
                       "HeaderTimeoutMs": 1000,
                       "IdleTimeoutMs": self.idle_ms},
            "Tenants": self.accounts})

    async def add_endpoint(self, service, domain, stage=None, version="v1",
                           kind=Endpoint, **more):
        n = len(self.endpoints)
        e = kind(LOOPBACK_NET + ".2.1", 21600 + n, f"e{n}", service, domain,
                     stage, **more)
        e.version = version
        self.endpoints.append(e)
        Endpoint.endpoints = self.endpoints
        Endpoint.store = self.store
        await e.start()
        self.store.put_json("keyed.servers", e.name, e.entry())
        return e

    async def start(self):
        for s in self.host_stores:
            await s.start()
        await asyncio.gather(*(h.start() for h in self.hosts))

    async def wait_ready(self, timeout_s=5):
        for h in self.hosts:
            for _ in range(int(timeout_s / 0.05)):
                if await self.readiness(h) == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(f"{h.name} is not ready")
        # A new rate limit starts empty. At the default of 1,000,000 tokens/s it
        # holds one request of 3,080 tokens after 4 ms.
        await asyncio.sleep(0.02)

    async def stop(self):
        for h in self.hosts:
            await h.kill()
        for s in self.host_stores + self.endpoints:
            await s.stop()

    async def readiness(self, host):
        """Returns the status of the host's readiness check, 0 if it failed."""
        try:
            reader, writer = await asyncio.open_connection(host.ip, READY_PORT)
            writer.write(b"GET /figbend/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            r = await asyncio.wait_for(read_response(reader), 1)
            writer.close()
            return r.status
        except (OSError, asyncio.TimeoutError):
            return 0

    def request_bytes(self, route, tokens=None, deadline_ms=5000, key=None,
                      body=b"hello", fields=None, parts=()):
        """Returns the id and the bytes of a request.

        tokens is (prompt, output) of a request for a model, else None. parts
        are the ids of the parts that its prompt shares with others.
        """
        self.last_id += 1
        rid = f"{self.last_id:016x}"
        lines = [f"POST /{route}/1?q=2 HTTP/1.1", "Host: x.example",
                 f"Attempt-Id: {rid}", f"Deadline-Ms: {deadline_ms}",
                 f"Api-Key: {key or self.api_key}",
                 f"Content-Length: {len(body)}"]
        if tokens:
            prefix = [f"{p}:50" for p in parts] + [f"{rid}:{tokens[0]}"]
            lines += ["Model: m", f"Token-Usage: {tokens[0]},{tokens[1]}",
                      f"Prompt-Prefix: {','.join(prefix)}"]
        lines += [f"{k}: {v}" for k, v in (fields or {}).items()]
        return rid, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def request(self, route, host=0, timeout_s=8, **more):
        """Sends a request and returns its id and the response."""
        rid, raw = self.request_bytes(route, **more)
        reader, writer = await asyncio.open_connection(
            self.hosts[host].ip, CALLERS_PORT)
        writer.write(raw)
        r = await asyncio.wait_for(read_response(reader), timeout_s)
        writer.close()
        return rid, r
