"""A scenario with layout changes: the operator who requests them, and clients with or without a pinned layout."""

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
from oatlink.lab.fleet.clients import Batch, ClientSpread, RoamingClient
from oatlink.lab.fleet.scenarios import Change, FleetScenario
from oatlink.protocols.resp import ReplyReader, command, decode

KINDS = ("view", "view", "check", "own", "post")  # assigned to pinned clients in turn
REPLY_TIMEOUT_S = 10.0
RETRY_S = 15.0  # an operator repeats a command for this long if no gateway accepts it


def layout_plan(version: int, banks: list[str], stay_ms: int) -> str:
    """Return the plan of a layout change, bank by bank; its steps write marks for the versions checker."""
    shards = {
        bank: {
            "expand": [["SET", f"layout:{version}:expand", "1"]],
            "contract": [["SET", f"layout:{version}:contract", "1"]],
            "undo": [["DEL", f"layout:{version}:expand"]],
            "after": banks[index - 1 : index],
        }
        for index, bank in enumerate(banks)
    }
    return json.dumps({"version": version, "base": version - 1, "stay_ms": stay_ms, "shards": shards})


async def send_admin_command(port: int, *words: str) -> str:
    """Send a command to the admin port of a gateway and return the reply.

    Raises `DialError`, `StreamClosedError` or `TimeoutError`.
    """
    stream = await connect(f"127.0.0.1:{port}", 1)
    reader = ReplyReader()
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            await stream.write(command(*words))
            while (frame := reader.take()) is None:
                reader.feed(await stream.read_bytes(65_536, partial=True))
        if frame[:1] == b"-":
            return frame.decode("utf-8", "replace").strip()
        value = decode(frame)
        return value.decode("utf-8", "replace") if isinstance(value, bytes) else repr(value)
    finally:
        stream.close()


class LayoutOperator:
    """Sends the layout commands of the schedule to the first gateway that accepts them."""

    def __init__(self, world: World, changes: tuple[Change, ...], problems: list[str]) -> None:
        self._world, self._changes, self._problems = world, changes, problems
        self.proposed: dict[int, int] = {}  # when each layout was last proposed, in microseconds
        self.status = ""

    async def run(self) -> None:
        """Run all changes."""
        start_s = time.monotonic()
        for change in self._changes:
            await asyncio.sleep(max(0.0, start_s + change.at * self._world.seconds - time.monotonic()))
            words = ["LAYOUT", change.word.upper()]
            if change.word == "propose":
                banks = [bank.name for bank in self._world.embedded.banks]
                words.append(layout_plan(change.version, banks, int(change.stay * self._world.seconds * 1000)))
                self.proposed[change.version] = now_us()
            await self._send(words, change)

    async def _send(self, words: list[str], change: Change) -> None:
        deadline_s = time.monotonic() + RETRY_S
        text, attempt = "nobody answered", 0
        while time.monotonic() < deadline_s:
            try:
                text = await send_admin_command(self._world.admin_ports[attempt % len(self._world.admin_ports)], *words)
            except (DialError, StreamClosedError, TimeoutError):
                text = "nobody answered"
            if _is_accepted(text):
                self._world.steps.append(f"layout {change.word} {change.version}: {text}")
                return
            attempt += 1
            await asyncio.sleep(0.5)
        self._problems.append(f"layout {change.word} {change.version}: {text}")

    async def read_status(self) -> str:
        """Return the layout status of a gateway, or the last error if none has a status."""
        for port in self._world.admin_ports:
            try:
                self.status = await send_admin_command(port, "LAYOUT", "STATUS")
            except (DialError, StreamClosedError, TimeoutError):
                continue
            if self.status.startswith("version"):
                break
        return self.status


def _is_accepted(text: str) -> bool:
    errors = ("refused", "no majority", "the fleet is off", "nobody", "-ERR", "register")
    return not text.startswith(errors) and ": expected" not in text


def make_layout_clients(
    scenario: FleetScenario, world: World, commands: CommandFactory, spread: ClientSpread
) -> list[Callable[[], "asyncio.Future[None]"]]:
    """Return a function for each client that starts it."""
    starters: list[Callable[[], asyncio.Future[None]]] = []

    def make_batch(space: str, place: str, rng: random.Random) -> Batch:
        return Batch(commands.next_command(place.split("-")[1], place, rng, space))

    for pinned in scenario.pinned:
        for number in range(pinned.clients):
            kind = KINDS[number % len(KINDS)]
            base, name = f"client-{kind}-v{pinned.version}-{number}", f"{kind}-v{pinned.version}-{number}"
            name, rate = f"{name};layout={pinned.version}", pinned.rate / pinned.clients
            client = RoamingClient(
                world,
                base,
                name,
                pinned.rate / pinned.clients,
                partial(spread.gateway_of, base),
                partial(make_batch, f"v{pinned.version}:"),
            )
            begin_s, end_s = pinned.begin * world.seconds, pinned.end * world.seconds
            starters.append(partial(_run_between, client, begin_s, end_s))
    for kind, share, count in SHARES:
        for number in range(2 * count):
            base = f"client-{kind}-none-{number}"
            rate = scenario.rate * share / (2 * count)
            client = RoamingClient(
                world, base, f"{kind}-none-{number}", rate, partial(spread.gateway_of, base), partial(make_batch, "")
            )
            starters.append(partial(_run_between, client, 0.0, world.seconds))
    return starters


def _run_between(client: RoamingClient, begin_s: float, end_s: float) -> "asyncio.Future[None]":
    """Start a client that runs from `begin_s` to `end_s` seconds from now."""

    async def run() -> None:
        client.end_s = time.monotonic() + end_s
        await asyncio.sleep(begin_s)
        await client.run()

    return asyncio.ensure_future(run())
