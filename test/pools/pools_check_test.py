#!/usr/bin/env python3
"""figbend --pools-check of a store. Usage: pools_check_test.py FIGBEND

Guards against a configuration that is missed because it is not on the first page,
and against a command that hangs with a store that does not respond.
"""
import asyncio
import json
import os
import sys
import time

from standins import Store

IP = f"127.{os.environ.get('FIGBEND_TEST_NET', '15')}.0.9"
CONFIG = {"Version": 1, "Services": [], "Routes": [],
          "Tenants": [{"Name": "a", "ApiKeys": ["k"]}]}


async def check(status, text, *args):
    p = await asyncio.create_subprocess_exec(
        sys.argv[1], "--pools-check", *args, stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT)
    out = (await p.communicate())[0].decode()
    assert p.returncode == status and text in out, (args, p.returncode, out)


async def main():
    store, name = Store(IP, 25001), f"store:{IP}:25001"
    await check(2, "refused", name)
    await store.start()
    await check(2, "No such", name)
    for key in "abcdefgh":  # pages have five records
        store.put("keyed.op", key, b"{}")
    store.put("keyed.op", "config", b"{")
    await check(1, "error configuration: line 1", name)
    store.put("keyed.op", "config", json.dumps(CONFIG).encode())
    await check(0, "", name, "--against", name)
    for mode, text in [("refuse", "Protocol"), ("hang", "timed out"),
                       ("endless", "cannot read")]:
        store.mode = mode
        start = time.monotonic()
        await check(2, text, name)
        assert time.monotonic() - start < 8, mode
    await check(2, "Invalid", "store:nowhere")
    await store.stop()
    print("ok")


asyncio.run(main())
