"""A loopback TCP proxy that injects network faults."""

import asyncio


class Proxy:
    """Forwards one address to another, according to its mode:

    "ok"              forwards data
    "delay"           delays data by 100 ms in each direction
    "blackhole"       holds data back and keeps connections open
    "drop_responses"  discards data from the server, for good on a connection
                      that lost some: TCP does not deliver what follows a gap
    "reset"           resets new connections
    """

    def __init__(self, host, port, to_host, to_port):
        self.host, self.port = host, port
        self.target = (to_host, to_port)
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
            server_reader, server_writer = \
                await asyncio.open_connection(*self.target)
            self.writers.add(server_writer)
            await asyncio.gather(self.pump(reader, server_writer, False),
                                 self.pump(server_reader, writer, True))
        except OSError:
            writer.transport.abort()
        finally:
            self.writers.discard(writer)

    async def pump(self, reader, writer, is_response):
        dropped = False
        try:
            while True:
                data = await reader.read(65536)
                while self.mode == "blackhole":
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.1)
                if not data:
                    break
                dropped |= self.mode == "drop_responses" and is_response
                if dropped:
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, ConnectionError):
            # A reset stays one.
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()
