"""Connections to databases of the platform's gateway: memory, descriptors, sweeps, and what one check costs."""

import asyncio
import contextlib
import struct
import threading

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.slopes.child import Child
from oatlink.platform.reply import FENCE
from oatlink.platform.servers import CHECK
from oatlink.protocols import pgwire as pg

READY = pg.make_ready().encode()
FENCE_ANSWER = pg.Message(b"I", b"").encode() + READY
GREETING = pg.make_authentication(0).encode() + READY
REPORT = (
    pg.make_columns((b"health",), (17,)).encode()
    + pg.make_row((b"x0=1767225600.123,x1=0",)).encode()
    + pg.make_complete(b"SHOW").encode()
    + READY
)
IDLE_S = 5
CHECKS = 4_000


class _Databases(threading.Thread):
    """Answers every check, from a thread of the measuring process."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.port = 0
        self.ready = threading.Event()

    def run(self) -> None:
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        server = await asyncio.start_server(self._one, "127.0.0.1", 0, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]
        self.ready.set()
        await server.serve_forever()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            (size,) = struct.unpack("!i", await reader.readexactly(4))
            await reader.readexactly(size - 4)
            writer.write(GREETING)
            while await reader.readexactly(len(FENCE) + len(CHECK)):
                writer.write(FENCE_ANSWER + REPORT)
        writer.close()


DATABASES = _Databases()


def _run(members: int) -> Values:
    if not DATABASES.is_alive():
        DATABASES.start()
        DATABASES.ready.wait()
    child = Child(DATABASES.port)
    try:
        child.ask("members", 20)
        child.ask("check", 20)  # what the first ones bring with them is the process's, not theirs
        before = child.ask("wait", 1)
        quiet = child.ask("wait", IDLE_S)
        child.ask("members", members + 20)
        dialled = child.ask("check", members + 20)
        after = child.ask("wait", 1)
        idle = child.ask("wait", IDLE_S)
        checked = child.ask("check", CHECKS)
    finally:
        child.close()
    return {
        "kept_kb": after["kept_kb"] - before["kept_kb"],
        "descriptors": after["descriptors"] - before["descriptors"],
        "idle_cpu_ms_per_s": 1000 * (idle["cpu_s"] - quiet["cpu_s"]) / IDLE_S,
        "dial_and_check_us": 1e6 * dialled["cpu_s"] / members,
        "check_us": 1e6 * checked["cpu_s"] / CHECKS,
        "check_bytes_out": len(CHECK),
        "check_bytes_in": len(REPORT),
    }


MEASUREMENT = Measurement(
    "servers",
    "idle connections of the platform's gateway to databases, and checks over them",
    "members",
    (100, 200, 400, 800),
    _run,
)
