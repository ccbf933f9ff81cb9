"""A day with changes of layout: the operator who asks for them, and clients that are pinned to one or to none."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from functools import partial

from tornado.iostream import StreamClosedError

from oatlink.gateway.links import DialError, connect
from oatlink.lab.days.clients import SHARES
from oatlink.lab.days.commands import CommandFactory
from oatlink.lab.days.world import World, now_us
from oatlink.lab.fleet.roamers import Batch, Roamer, Spread
from oatlink.lab.fleet.scenarios import Change, FleetScenario
from oatlink.protocols.resp import ReplyReader, command, decode

KINDS = ("view", "view", "check", "own", "post")  # of pinned clients, in turn
ASK_S = 10.0
TRIES_S = 15.0  # an operator says a word again for so long, where no gateway takes it


def plan(version: int, banks: list[str], stay_ms: int) -> str:
    """A change to a layout: steps that leave what the judge looks for; one bank after the other."""
    shards = {
        bank: {
            "expand": [["SET", f"layout:{version}:expand", "1"]],
            "contract": [["SET", f"layout:{version}:contract", "1"]],
            "undo": [["DEL", f"layout:{version}:expand"]],
            "after": banks[at - 1 : at],
        }
        for at, bank in enumerate(banks)
    }
    return json.dumps({"version": version, "base": version - 1, "stay_ms": stay_ms, "shards": shards})


async def ask(port: int, *words: str) -> str:
    """One operator's word at one gateway, and its answer. Raises `DialError`, `StreamClosedError`, `TimeoutError`."""
    stream = await connect(f"127.0.0.1:{port}", 1)
    reader = ReplyReader()
    try:
        async with asyncio.timeout(ASK_S):
            await stream.write(command(*words))
            while (frame := reader.take()) is None:
                reader.feed(await stream.read_bytes(65_536, partial=True))
        if frame[:1] == b"-":
            return frame.decode("utf-8", "replace").strip()
        value = decode(frame)
        return value.decode("utf-8", "replace") if isinstance(value, bytes) else repr(value)
    finally:
        stream.close()


class Operator:
    """Says the words of the schedule, at the first gateway that takes them."""

    def __init__(self, world: World, changes: tuple[Change, ...], problems: list[str]) -> None:
        self._world, self._changes, self._problems = world, changes, problems
        self.proposed: dict[int, int] = {}  # when each layout was proposed last, in microseconds
        self.status = ""

    async def run(self) -> None:
        """Play all."""
        begin = time.monotonic()
        for change in self._changes:
            await asyncio.sleep(max(0.0, begin + change.at * self._world.seconds - time.monotonic()))
            words = ["LAYOUT", change.word.upper()]
            if change.word == "propose":
                banks = [one.name for one in self._world.embedded.banks]
                words.append(plan(change.version, banks, int(change.stay * self._world.seconds * 1000)))
                self.proposed[change.version] = now_us()
            await self._say(words, change)

    async def _say(self, words: list[str], change: Change) -> None:
        end = time.monotonic() + TRIES_S
        text, number = "nobody answered", 0
        while time.monotonic() < end:
            try:
                text = await ask(self._world.admin_ports[number % len(self._world.admin_ports)], *words)
            except (DialError, StreamClosedError, TimeoutError):
                text = "nobody answered"
            if _taken(text):
                self._world.steps.append(f"layout {change.word} {change.version}: {text}")
                return
            number += 1
            await asyncio.sleep(0.5)
        self._problems.append(f"layout {change.word} {change.version}: {text}")

    async def look(self) -> str:
        """What a gateway says of the layouts now, or why none does."""
        for port in self._world.admin_ports:
            try:
                self.status = await ask(port, "LAYOUT", "STATUS")
            except (DialError, StreamClosedError, TimeoutError):
                continue
            if self.status.startswith("version"):
                break
        return self.status


def _taken(text: str) -> bool:
    wrong = ("refused", "no majority", "the fleet is off", "nobody", "-ERR", "register")
    return not text.startswith(wrong) and ": expected" not in text


def layouts_clients(
    scenario: FleetScenario, world: World, commands: CommandFactory, spread: Spread
) -> list[Callable[[], "asyncio.Future[None]"]]:
    """What begins each client of the day."""
    found: list[Callable[[], asyncio.Future[None]]] = []

    def take(space: str, place: str, rng: random.Random) -> Batch:
        return Batch(commands.next_command(place.split("-")[1], place, rng, space))

    for pin in scenario.pinned:
        for number in range(pin.clients):
            kind = KINDS[number % len(KINDS)]
            base, name = f"client-{kind}-v{pin.version}-{number}", f"{kind}-v{pin.version}-{number}"
            name, rate = f"{name};layout={pin.version}", pin.rate / pin.clients
            roamer = Roamer(
                world,
                base,
                name,
                pin.rate / pin.clients,
                partial(spread.where, base),
                partial(take, f"v{pin.version}:"),
            )
            begin_s, end_s = pin.begin * world.seconds, pin.end * world.seconds
            found.append(partial(_between, roamer, begin_s, end_s))
    for kind, share, count in SHARES:
        for number in range(2 * count):
            base = f"client-{kind}-none-{number}"
            rate = scenario.rate * share / (2 * count)
            roamer = Roamer(world, base, f"{kind}-none-{number}", rate, partial(spread.where, base), partial(take, ""))
            found.append(partial(_between, roamer, 0.0, world.seconds))
    return found


def _between(roamer: Roamer, begin_s: float, end_s: float) -> "asyncio.Future[None]":
    """Begin a client that is there from and until so many seconds from now."""

    async def run() -> None:
        roamer.end_s = time.monotonic() + end_s
        await asyncio.sleep(begin_s)
        await roamer.run()

    return asyncio.ensure_future(run())
