"""A call to discovery by the servers in its answer, over sockets: bytes and the caller's processor time."""

import asyncio
import contextlib
import threading
import time

from benchmarks.scale.lists import page
from benchmarks.scale.measure import Measurement, Values
from oatlink.gateway.clock import Marks
from oatlink.platform.discovery import read
from oatlink.platform.discovery.calls import get

CALLS = 40


class _Discovery(threading.Thread):
    """Answers every call with the same list, from a thread of its own; counts what crosses."""

    def __init__(self, servers: int) -> None:
        super().__init__(daemon=True)
        self.body = page(servers)
        self.port = self.came = self.sent = 0
        self.ready = threading.Event()
        self.loop: asyncio.AbstractEventLoop | None = None

    def run(self) -> None:
        with contextlib.suppress(RuntimeError, asyncio.CancelledError):
            asyncio.run(self._serve())

    async def _serve(self) -> None:
        self.loop = asyncio.get_running_loop()
        server = await asyncio.start_server(self._one, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.ready.set()
        await server.serve_forever()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.came += len(await reader.readuntil(b"\r\n\r\n"))
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(self.body)}\r\n\r\n".encode()
        self.sent += len(head) + len(self.body)
        writer.write(head + self.body)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()


def _note(text: str) -> None:
    raise AssertionError(text)


async def _calls(port: int) -> float:
    marks = Marks()
    path = "/v1/endpoints?since=1234567&timeout_ms=2500"
    await get(("127.0.0.1", port), path, 1.0, 5.0, marks)
    took = 0.0
    for _ in range(CALLS):
        began = time.thread_time()
        text = await get(("127.0.0.1", port), path, 1.0, 5.0, marks)
        read(text, False, _note)
        took += time.thread_time() - began
    return took


def _run(servers: int) -> Values:
    discovery = _Discovery(servers)
    discovery.start()
    discovery.ready.wait()
    took = asyncio.run(_calls(discovery.port))
    assert discovery.loop is not None
    discovery.loop.call_soon_threadsafe(discovery.loop.stop)
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
