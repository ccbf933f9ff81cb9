"""A call to discovery by the servers in its answer, over sockets: bytes and the caller's processor time."""

import asyncio
import contextlib
import threading
import time

from benchmarks.scale.lists import page, unchanged
from benchmarks.scale.measure import Measurement, Values
from oatlink.gateway.clock import TurnClock
from oatlink.platform.discovery import read
from oatlink.platform.discovery.calls import get

CALLS = 40


class Discovery(threading.Thread):
    """Answers every call with the same list, from a thread of its own; counts what crosses.

    `waits`: a watch of who has the list is answered with no change once its time is up.
    """

    def __init__(self, servers: int, waits: bool = False) -> None:
        super().__init__(daemon=True)
        self.body, self._waits = page(servers), waits
        self.port = self.came = self.sent = 0
        self.ready = threading.Event()
        self.loop: asyncio.AbstractEventLoop | None = None

    def run(self) -> None:
        """See `Thread`."""
        with contextlib.suppress(RuntimeError, asyncio.CancelledError):
            asyncio.run(self._serve())

    def begin(self) -> None:
        """Listen; its port is known then."""
        self.start()
        self.ready.wait()

    def end(self) -> None:
        """Answer no more."""
        assert self.loop is not None
        self.loop.call_soon_threadsafe(self.loop.stop)

    async def _serve(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(lambda loop, context: None)  # calls that its end cut off
        server = await asyncio.start_server(self._one, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.ready.set()
        await server.serve_forever()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked = await reader.readuntil(b"\r\n\r\n")
        self.came += len(asked)
        body = self.body
        if self._waits and b"since=1&" in asked:
            await asyncio.sleep(int(asked.partition(b"timeout_ms=")[2].split()[0]) / 1000)
            body = unchanged(1)
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        self.sent += len(head) + len(body)
        writer.write(head + body)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()


def _note(text: str) -> None:
    raise AssertionError(text)


async def _calls(port: int) -> float:
    turn_clock = TurnClock()
    path = "/v1/endpoints?since=1234567&timeout_ms=2500"
    await get(("127.0.0.1", port), path, 1.0, 5.0, turn_clock)
    took = 0.0
    for _ in range(CALLS):
        began = time.thread_time()
        text = await get(("127.0.0.1", port), path, 1.0, 5.0, turn_clock)
        read(text, False, _note)
        took += time.thread_time() - began
    return took


def _run(servers: int) -> Values:
    discovery = Discovery(servers)
    discovery.begin()
    took = asyncio.run(_calls(discovery.port))
    discovery.end()
    return {
        "call_ms": 1000 * took / CALLS,
        "bytes_out": discovery.came / (CALLS + 1),
        "bytes_in": discovery.sent / (CALLS + 1),
    }


MEASUREMENT = Measurement(
    "calls",
    "one call to discovery, a connection of its own each",
    "servers in the answer",
    (0, 1, 600, 2_400, 7_200),
    _run,
)
