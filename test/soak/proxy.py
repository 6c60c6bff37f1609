"""A proxy on loopback that harms the connections that go through it."""

import asyncio


class Proxy:
    """Forwards one address to another. mode: "ok", "delay" (100 ms each way),
    "silent" (nothing passes, nothing is closed), "one_way" (answers are lost),
    "reset" (connections are reset as they come)."""

    def __init__(self, host, port, to_host, to_port):
        self.host, self.port = host, port
        self.to = (to_host, to_port)
        self.addr = f"{host}:{port}"
        self.mode = "ok"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    async def stop(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for w in list(self.writers):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode == "reset":
                writer.transport.abort()
                return
            r, w = await asyncio.open_connection(*self.to)
            self.writers.add(w)
            await asyncio.gather(self.pump(reader, w, False),
                                 self.pump(r, writer, True))
        except OSError:
            writer.transport.abort()
        finally:
            self.writers.discard(writer)

    async def pump(self, reader, writer, is_answer):
        try:
            while True:
                data = await reader.read(65536)
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.1)
                if not data:
                    break
                if self.mode == "one_way" and is_answer:
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
