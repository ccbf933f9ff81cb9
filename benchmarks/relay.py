"""A bare Tornado relay: bytes from a client to one address and back, nothing read. The measure of the gateway.

Run as `python -m benchmarks.relay LISTEN_PORT TARGET_PORT`; prints `ready`.
"""

import asyncio
import contextlib
import socket
import sys

import uvloop
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer


async def pump(source: IOStream, sink: IOStream) -> None:
    """Copy until either end closes."""
    try:
        while True:
            await sink.write(await source.read_bytes(262_144, partial=True))
    except StreamClosedError:
        sink.close()


class Relay(TCPServer):
    """One connection to the target for each client."""

    target = 0

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Relay one client."""
        stream.set_nodelay(True)
        other = IOStream(socket.socket())
        await other.connect(("127.0.0.1", self.target))
        other.set_nodelay(True)
        await asyncio.gather(pump(stream, other), pump(other, stream))


async def main() -> None:
    """Serve until killed."""
    relay = Relay()
    relay.target = int(sys.argv[2])
    relay.listen(int(sys.argv[1]), "127.0.0.1")
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    if "--uvloop" in sys.argv:
        uvloop.install()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
