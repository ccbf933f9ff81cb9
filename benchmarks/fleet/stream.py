"""One process of the stream of control: sources and readers by their settings, without a gateway or databases.

`python -m benchmarks.fleet.stream FILE`, the file a `Plan`. Asks on stdin and answers on stdout are lines of JSON, an
answer bears its ask's number; the process ends when stdin does.
"""

import asyncio
import resource
import sys
import time
from functools import partial
from pathlib import Path

import msgspec
import uvloop

from oatlink.fleet.messages.control import Entry, InForce
from oatlink.fleet.shell.control import ControlNode
from oatlink.gateway.clock import now_us
from oatlink.settings.fleet import Fleet

MOST_LINE = 1 << 20  # bytes of an ask


class Plan(msgspec.Struct):
    """What one process runs: the fleet's part of each of its nodes."""

    nodes: list[Fleet]


class Ask(msgspec.Struct):
    """One line in: `look`, or `offer` (entries of one change, made for version `base`) or `entries` of a scope."""

    number: int
    do: str
    node: str
    scope: str = "all"
    entries: dict[str, str] = {}
    base: int = -1


class Look(msgspec.Struct):
    """What a process and one node of it are at this moment. `moved`: when each scope came to each version, in us."""

    cpu_s: float
    peak_mb: float
    now_us: int
    age_us: int
    counters: dict[str, int]
    rows: dict[str, str]
    moved: dict[str, dict[str, int]]


class Answer(msgspec.Struct):
    """One line out."""

    number: int
    found: Look | str | dict[str, str]


def say(node: str, event: str, text: str) -> None:
    """A line for who watches."""
    print(f"{node}: {event}: {text}", file=sys.stderr, flush=True)


class Host:
    """All nodes of this process."""

    def __init__(self, plan: Plan) -> None:
        self._moved: dict[str, dict[str, dict[str, int]]] = {one.node: {} for one in plan.nodes}
        self._nodes = {
            one.node: ControlNode(one, 1, partial(say, one.node), partial(self._in_force, one.node))
            for one in plan.nodes
        }
        self._offers: set[asyncio.Task[None]] = set()

    def _in_force(self, node: str, news: InForce) -> None:
        head = news.head
        self._moved[node].setdefault(head.scope, {})[f"{head.epoch}.{head.version}"] = now_us()

    async def run(self) -> None:
        """Answer until stdin ends."""
        for node in self._nodes.values():
            await node.start()
        lines = asyncio.StreamReader(MOST_LINE)
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
        print("ready", flush=True)
        while line := await lines.readline():
            ask = msgspec.json.decode(line, type=Ask)
            if ask.do == "offer":  # what waits for a majority holds nobody up
                task = asyncio.get_running_loop().create_task(self._offer(ask))
                self._offers.add(task)
                task.add_done_callback(self._offers.discard)
            else:
                answer(ask, self._entries(ask) if ask.do == "entries" else self._look(ask))
        for task in self._offers:
            task.cancel()
        await asyncio.gather(*(node.stop() for node in self._nodes.values()))

    async def _offer(self, ask: Ask) -> None:
        entries = tuple(Entry(key, value.encode()) for key, value in ask.entries.items())
        answer(ask, await self._nodes[ask.node].offer(ask.scope, entries, ask.base))

    def _entries(self, ask: Ask) -> dict[str, str]:
        participant = self._nodes[ask.node].participant
        found = participant.entries(ask.scope) if participant is not None else {}
        return {key: value.decode("utf-8", "replace") for key, value in found.items()}

    def _look(self, ask: Ask) -> Look:
        node = self._nodes[ask.node]
        now = now_us()
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        age_us = node.participant.age_us(now) if node.participant is not None else -1
        counters = dict(node.counters)
        return Look(time.process_time(), peak_mb, now, age_us, counters, dict(node.rows()), self._moved[ask.node])


def answer(ask: Ask, found: Look | str | dict[str, str]) -> None:
    """A line on stdout."""
    print(msgspec.json.encode(Answer(ask.number, found)).decode(), flush=True)


if __name__ == "__main__":
    uvloop.run(Host(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)).run())
