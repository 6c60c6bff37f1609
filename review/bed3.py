"""A small deployment for the scripts of review/12 and later.

Hosts run the command of deploy/system.toml as processes of their own, with settings
filled into deploy/settings.jsonc. The platform's store and the endpoints are the
project's stand-ins of test/pools, on loopback addresses.
"""

import asyncio
import json
import os
import random
import re
import shutil
import socket
import sys
import tempfile
import time

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(TOP, "test", "pools"))

HELD, BROKEN, NOT_RUN = 0, 1, 2
CONTACT_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_network():
    """Returns the second byte of a loopback network whose ports are free."""
    ports = list(range(21400, 21404)) + list(range(21500, 21512)) + \
        list(range(21600, 21616))
    for n in random.sample(range(100, 250), 60):
        try:
            for host in (f"127.{n}.0.1", f"127.{n}.1.1", f"127.{n}.2.1"):
                for port in ports:
                    with socket.socket() as s:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind((host, port))
            return str(n)
        except OSError:
            continue
    raise OSError("no free loopback network")


os.environ["FIGBEND_TEST_NET"] = free_network()

import deployment  # noqa: E402
import standins  # noqa: E402

# Bounds of the site ogha-tabelas.
BOUNDS = {
    "ConfigApplyMs": 2000, "DrainTimeoutMs": 2000, "GracePeriodS": 8,
    "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56,
    "QuotaTolerance": 190000}


def deploy_command():
    with open(os.path.join(TOP, "deploy", "system.toml")) as f:
        return re.search(r'^run = "(.*)"$', f.read(), re.M).group(1).split()


def fill_in(template, fields):
    """Fills placeholders in, and leaves out sections without a value."""
    def look_up(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) \
                else value.get(part)
            if value is None:
                return None
        return value

    def section(m):
        return m.group(2) if look_up(m.group(1)) else ""

    def value(m):
        v = look_up(m.group(1))
        return json.dumps(v) if m.group(2) or not isinstance(v, str) else v

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Host(deployment.Host):
    """A host that is started like on the platform."""

    async def start(self):
        fields = {
            "NodeName": self.name, "Zone": self.domain, "IpAddress": self.ip,
            "ListenAddresses": {
                "Frontend": f"{self.ip}:{deployment.CALLERS_PORT}",
                "Readiness": f"{self.ip}:{deployment.READY_PORT}"},
            "InternalPortRange": [deployment.PEER_PORT,
                                  deployment.PEER_PORT + 15],
            "Platform": {"Address": self.settings["store_addr"]},
            "Limits": {"MemoryMb": 110, "FileDescriptors": 4100},
            "Bounds": BOUNDS}
        with open(os.path.join(TOP, "deploy", "settings.jsonc")) as f:
            text = fill_in(f.read(), fields)
        with open(self.settings_path, "w") as f:
            f.write(text)
        out = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *deploy_command(), stdout=out, stderr=out, cwd=TOP,
            env={"PATH": os.environ["PATH"],
                 "FIGBEND_SETTINGS": self.settings_path})
        out.close()


deployment.Host = Host


class Endpoint(standins.Endpoint):
    """A plain endpoint that crashes on a body with "poison", and is back 3 s later
    as a new instance; its old entry expires after three heartbeats."""

    HEARTBEAT_S = 1.2
    BACK_S = 3.0
    bed = None
    starts = 0
    arrivals = []  # (time, request id) of requests that crash it

    async def execute(self, reader, writer, target, headers, body):
        rid = headers.get("attempt-id", "")
        if b"poison" in body:
            Endpoint.arrivals.append((self.bed.now(), rid))
            self.bed.note("endpoint", self.name, "begins", rid, "and crashes")
        else:
            self.bed.note("endpoint", self.name, "begins", rid)
        return await super().execute(reader, writer, target, headers, body)

    async def crash(self):
        self.crashes += 1
        name, first = self.name, self.name.split(".")[0]
        await self.stop()
        asyncio.ensure_future(self.expire(name))
        await asyncio.sleep(self.BACK_S)
        self.starts += 1
        self.name = f"{first}.{self.starts}"
        self.started_ms, self.sequence = int(time.time() * 1000), 0
        await self.start()
        while self.bed.store_is_down:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        self.store.put_json("keyed.servers", self.name, self.entry())
        self.bed.note("endpoint", name, "is back as", self.name)

    async def expire(self, name):
        await asyncio.sleep(3 * self.HEARTBEAT_S)
        self.store.put("keyed.servers", name, None)
        self.bed.note("the entry of", name, "has expired")


class Bed:
    """A deployment of n hosts in two zones, and the record of a run."""

    def __init__(self, folder, hosts):
        self.start = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           buffering=1)
        self.tmp = tempfile.mkdtemp(prefix="figbend-review-")
        self.d = deployment.Deployment("", self.tmp, hosts=hosts)
        self.store_is_down = False
        Endpoint.bed = self

    def now(self):
        return time.monotonic() - self.start

    def note(self, *words):
        self.record.write(f"{self.now():8.3f} " +
                          " ".join(str(w) for w in words) + "\n")

    async def call(self, route, host, body):
        """Sends a request, notes it and its answer, and returns the status."""
        d = self.d
        rid, raw = d.request_bytes(route, body=body, deadline_ms=1000)
        self.note("caller sends", rid, route, "to host", host + 1)
        try:
            reader, writer = await asyncio.open_connection(
                d.hosts[host].ip, deployment.CALLERS_PORT)
            writer.write(raw)
            r = await asyncio.wait_for(deployment.read_response(reader), 2)
            writer.close()
            status = r.status
        except (OSError, asyncio.TimeoutError):
            status = 0
        self.note("caller gets", status or "no answer", "to", rid)
        return status

    async def close(self):
        await self.d.stop()
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.record.close()


def run(folder, hosts, play):
    """Plays a case and ends the process with its result."""
    async def main():
        bed = Bed(folder, hosts)
        try:
            return await asyncio.wait_for(play(bed), 115)
        except Exception as e:  # pylint: disable=broad-except
            bed.note("the case could not run:", repr(e))
            return NOT_RUN
        finally:
            await bed.close()

    sys.exit(asyncio.run(main()))
