"""One process of a fleet that is measured: nodes without a gateway, or writers of registers.

`python -m benchmarks.fleet.host FILE`, the file a `Plan`. Asks on stdin and answers on stdout are lines of JSON; the
process ends when stdin does.
"""

import asyncio
import sys
import time
from collections import Counter
from functools import partial
from pathlib import Path

import msgspec
import uvloop

from oatlink.fleet import messages as f
from oatlink.fleet.registers.proposer import Proposer
from oatlink.fleet.shell.disk import Disk
from oatlink.fleet.shell.node import FleetNode
from oatlink.fleet.shell.transport import Transport
from oatlink.gateway.clock import now_us
from oatlink.settings.fleet import Fleet

DEADLINE_US = 3_000_000


class Plan(msgspec.Struct):
    """What one process runs: the fleet's part of each node or writer, and the banks' members."""

    nodes: list[Fleet]
    members: dict[str, str]
    writers: bool = False


class Ask(msgspec.Struct):
    """One line in: look, saw, heard or write."""

    do: str
    node: str = ""
    member: str = ""
    seconds: float = 0.0


class Look(msgspec.Struct):
    """What a process has done so far."""

    cpu_s: float
    counters: dict[str, int]
    syncs: int
    sync_s: float
    voting: int  # keepers that vote


class Written(msgspec.Struct):
    """What a writer did: how long each change took, how many tries ended `unknown`, the last fence that it saw."""

    times_s: list[float]
    unknown: int
    fence: int


# ---- What is counted ----

SYNCS: list[float] = []


def count_syncs() -> None:
    """Have each fsync counted and timed."""
    whole = Disk.sync

    def sync(self: Disk, handle: int) -> None:
        began = time.perf_counter()
        whole(self, handle)
        SYNCS.append(time.perf_counter() - began)

    Disk.sync = sync  # type: ignore[method-assign]


class Heard(FleetNode):
    """A node that remembers when it first heard of something seen of a member."""

    first_us: dict[str, int]

    def _received(self, sender: str, message: f.AnyMessage) -> None:
        if isinstance(message, f.Gossip):
            now = now_us()
            for word in message.evidence:
                self.first_us.setdefault(word.member, now)
        super()._received(sender, message)


def say(node: str, event: str, text: str) -> None:
    """A line for who watches; that a new keeper votes is no news here."""
    if event != "keeper_votes":
        print(f"{node}: {event}: {text}", file=sys.stderr)


def node_of(fleet: Fleet, members: dict[str, str]) -> Heard:
    """A node before no gateway: nothing is asked of it."""
    made = Heard(
        fleet,
        members,
        DEADLINE_US,
        1,
        demands=lambda _: (),
        busy=lambda: (),
        tell=lambda _: None,
        primary=lambda _: None,
        note=partial(say, fleet.node),
    )
    made.first_us = {}
    return made


class Writer:
    """One that is no keeper, and changes one register again and again: proposer and links, without a node around."""

    def __init__(self, fleet: Fleet) -> None:
        incarnation = time.time_ns()
        self.transport = Transport(fleet, incarnation, self._heard, partial(say, fleet.node), incarnation)
        self._proposer = Proposer(fleet.node, incarnation, fleet.keepers, incarnation)
        self._waits: dict[int, asyncio.Future[f.Answer]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def _heard(self, sender: str, message: f.AnyMessage) -> None:
        self._do(self._proposer.receive(sender, message, now_us()))

    def _tick(self) -> None:
        self._do(self._proposer.tick(now_us()))

    def _do(self, effects: list[f.Effect]) -> None:
        for one in effects:
            if isinstance(one, f.Tell):
                self.transport.send(one.to, one.message)
            elif isinstance(one, f.Answer):
                self._waits[one.ask].set_result(one)
        if self._timer is not None:
            self._timer.cancel()
        wait_us = self._proposer.due_us - now_us()
        if wait_us < DEADLINE_US:
            self._timer = asyncio.get_running_loop().call_later(max(0, wait_us) / 1e6, self._tick)

    async def write(self, key: str, seconds: float) -> Written:
        """Change after change; one that finds the register changed by another tries again from what it found."""
        found = Written([], 0, 0)
        ask, began = 0, time.perf_counter()
        end = began + seconds
        while time.perf_counter() < end:
            ask += 1
            self._waits[ask] = asyncio.get_running_loop().create_future()
            self._do(self._proposer.change(ask, key, found.fence, b"x" * 64, now_us()))
            answer = await self._waits[ask]
            del self._waits[ask]
            if answer.how == "unknown":
                found.unknown += 1
                continue
            found.fence = answer.fence
            if answer.how == "changed":
                now = time.perf_counter()
                found.times_s.append(now - began)
                began = now
        return found


# ---- The process ----


class Host:
    """All nodes of this process."""

    def __init__(self, plan: Plan) -> None:
        self._nodes = {} if plan.writers else {one.node: node_of(one, plan.members) for one in plan.nodes}
        self._writers = {one.node: Writer(one) for one in plan.nodes} if plan.writers else {}

    async def run(self) -> None:
        """Answer until stdin ends."""
        for node in self._nodes.values():
            await node.start()
        for writer in self._writers.values():
            writer.transport.bind()
            writer.transport.start()
        lines = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
        print("ready", flush=True)
        while line := await lines.readline():
            found = await self._answer(msgspec.json.decode(line, type=Ask))
            print(msgspec.json.encode(found).decode(), flush=True)
        await asyncio.gather(*(node.stop() for node in self._nodes.values()))
        await asyncio.gather(*(writer.transport.close() for writer in self._writers.values()))

    async def _answer(self, ask: Ask) -> object:
        if ask.do == "saw":
            began = now_us()
            self._nodes[ask.node].saw(ask.member, "hung")
            return began
        if ask.do == "heard":
            return {name: node.first_us for name, node in self._nodes.items()}
        if ask.do == "write":
            return await self._writers[ask.node].write(ask.member, ask.seconds)
        counters: Counter[str] = Counter()
        rows = [dict(node.rows()) for node in self._nodes.values()]
        for node in self._nodes.values():
            counters.update(node.counters)
        return Look(
            time.process_time(),
            dict(counters),
            len(SYNCS),
            sum(SYNCS),
            sum(row.get("keeper") == "votes" for row in rows),
        )


if __name__ == "__main__":
    count_syncs()
    uvloop.run(Host(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)).run())
