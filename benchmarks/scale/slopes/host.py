"""One side of a gateway's sockets in a process of its own, asked over stdin: clients' connections or servers'.

`python -m benchmarks.scale.slopes.host clients|servers PORT...`: `clients` prints its port and answers each query at
once; `servers` dials every port given for as many members as it is asked to, and checks them when asked.
"""

import asyncio
import json
import os
import resource
import socket
import sys
import time
from functools import partial

import uvloop

from oatlink.gateway.clock import TurnClock, now_us
from oatlink.interface import Effect, Freshness, Outcome, RequestClass
from oatlink.platform.clients import Clients, PipelineLimits, Query
from oatlink.platform.gateway import SWEEP_S
from oatlink.platform.memory import HeldBytes
from oatlink.platform.reply import Answer
from oatlink.platform.requests import Final
from oatlink.platform.servers import CHECK, Bounds, Servers
from oatlink.platform.statement import Statement
from oatlink.protocols import pgwire as pg

ANSWER = (
    pg.make_columns((b"content",), (17,)).encode()
    + pg.make_row((b"x" * 64,)).encode()
    + pg.make_complete(b"SELECT 1").encode()
)


def kept_kb() -> float:
    """What this process holds of the machine's memory now."""
    with open("/proc/self/statm") as source:
        return int(source.read().split()[1]) * resource.getpagesize() / 1000


def descriptors() -> int:
    """Open ones."""
    return len(os.listdir("/proc/self/fd"))


RULE = RequestClass("read", Freshness.ANY, Effect.IDEMPOTENT, 1_000_000, 2_000_000, 1.0)


class QueryHandler:
    """Answers each query at once, whatever it says."""

    def __init__(self) -> None:
        self.pipeline_limits = PipelineLimits(1, 0)

    def parse_query(self, text: bytes) -> Statement:
        """See `clients.connection.QueryHandler`."""
        return Statement(text, RULE, 2_000, 0, "", None, b"", text, b"")

    def submit_query(self, query: Query) -> None:
        """See `clients.connection.QueryHandler`."""
        query.answered(Final(ANSWER))

    def expedite_query(self, query: Query) -> None:
        """See `clients.connection.QueryHandler`."""

    def abandon_query(self, query: Query) -> None:
        """See `clients.connection.QueryHandler`."""


class Probe:
    """A check as a job."""

    def __init__(self, done: "asyncio.Queue[Outcome]") -> None:
        self._done = done

    def may_write(self) -> bool:
        """See `Job`."""
        return True

    def payload(self) -> bytes:
        """See `Job`."""
        return CHECK

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """See `Job`."""
        self._done.put_nowait(outcome)


class Host:
    """What answers the lines."""

    def __init__(self, ports: list[int]) -> None:
        self.tasks: set[asyncio.Future[None]] = set()
        self.ports, self.members = ports, 0
        turn_clock = TurnClock()
        self.servers = Servers(Bounds(5.0, 3_600.0, 60_000), turn_clock, print, self.keep)
        self.clients: Clients | None = None
        if not ports:
            sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
            sock.setblocking(False)
            note = partial(print, file=sys.stderr)
            self.clients = Clients(sock, 60_000, QueryHandler(), turn_clock, self.keep, note, HeldBytes(None))

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Hold a task until it ends."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def sweep(self) -> None:
        """As the gateway does."""
        while True:
            await asyncio.sleep(SWEEP_S)
            (self.clients or self.servers).sweep()

    async def answer(self, word: str, count: int) -> dict[str, float]:
        """One line's work."""
        began_cpu, began = time.process_time(), time.perf_counter()
        if word == "members":
            for at in range(self.members, count):
                self.servers.set_address(at, ("127.0.0.1", self.ports[at % len(self.ports)]))
            self.members = count
        elif word == "wait":
            await asyncio.sleep(count)
        elif word == "check":
            done: asyncio.Queue[Outcome] = asyncio.Queue()
            for at in range(count):
                pool = self.servers.pool(at % self.members)
                assert pool is not None
                pool.launch(Probe(done))
                if at % 50 == 49:
                    await asyncio.sleep(0.002)
            for _ in range(count):
                assert await done.get() is Outcome.SERVED
        opened = self.clients.open_count if self.clients is not None else self.servers.open_count
        return {
            "cpu_s": time.process_time() - began_cpu,
            "took_s": time.perf_counter() - began,
            "kept_kb": kept_kb(),
            "descriptors": descriptors(),
            "open": opened,
            "at_us": now_us(),
        }

    async def run(self) -> None:
        """Until stdin ends."""
        self.keep(asyncio.ensure_future(self.sweep()))
        if self.clients is not None:
            self.clients.listen()
        lines = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
        print(self.clients.address[1] if self.clients is not None else 0, flush=True)
        while line := await lines.readline():
            word, count = line.split()
            print(json.dumps(await self.answer(word.decode(), int(count))), flush=True)


if __name__ == "__main__":
    uvloop.run(Host([int(one) for one in sys.argv[1:]]).run())
