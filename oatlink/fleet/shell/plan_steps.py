"""Runs a plan's step at a bank's primary, over a connection of its own. `versions.marker` says what may run."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from tornado.iostream import StreamClosedError

from oatlink.core.reports import BoxReport, parse_info
from oatlink.fleet.messages import AskMarker, RunStep
from oatlink.fleet.versions import marker
from oatlink.gateway.links import DialError, connect
from oatlink.protocols.resp import Array, Error, ProtocolError, ReplyReader, Value, command, decode

STEP_S = 30.0  # a step may build an index; the lease goes on meanwhile
ASK_S = 2.0
DIAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Primary:
    """Where a bank's primary is, as this gateway believes, and who may speak to it."""

    address: str
    user: str = ""
    password: str = ""


class StepError(Exception):
    """The server said no; the text is its word."""


class Talk:
    """A conversation with one primary, a question at a time. Raises `StepError`, or the stream's errors."""

    def __init__(self, ask: Callable[..., Awaitable[Value]]) -> None:
        self.ask = ask

    async def place(self) -> BoxReport:
        """What the server says of itself; `StepError` unless it is a primary."""
        found = await self.ask("INFO", "replication")
        report = parse_info(found) if isinstance(found, bytes) else BoxReport()
        if report.role != "primary" or not report.replid or report.offset < 0:
            raise StepError("not a primary")
        return report

    async def run(self, step: RunStep) -> tuple[str, str, int]:
        """See `RunStep`."""
        before = await self.place()
        found = await self._watched()
        verdict = marker.verdict(found, step.step, step.after)
        if verdict == "run":
            begun = marker.written(step.step, step.version, done=False)
            if not await self._together([*step.commands, ("SET", marker.KEY, begun)]):
                return "unknown", "", -1
            if await self._watched() != begun:
                return "unknown", "", -1
            if not await self._together([("SET", marker.KEY, marker.written(step.step, step.version, done=True))]):
                return "unknown", "", -1
            verdict = "done"
        await self.ask("UNWATCH")
        after = await self.place()
        if after.replid != before.replid:
            return "unknown", "", -1
        return verdict, after.replid, after.offset

    async def _watched(self) -> bytes | None:
        await self.ask("WATCH", marker.KEY)
        found = await self.ask("GET", marker.KEY)
        return found if isinstance(found, bytes) else None

    async def _together(self, commands: Sequence[Sequence[str | bytes]]) -> bool:
        """MULTI to EXEC. False where another has changed the marker meanwhile."""
        await self.ask("MULTI")
        for one in commands:
            await self.ask(*one)
        found = await self.ask("EXEC")
        if not isinstance(found, Array):
            return False
        for item in found.items:
            if isinstance(item, Error):
                raise StepError(item.text.decode("utf-8", "replace"))
        return True

    async def marked(self) -> tuple[int, str, int]:
        """See `AskMarker`."""
        before = await self.place()
        found = await self.ask("GET", marker.KEY)
        after = await self.place()
        if after.replid != before.replid or not (found is None or isinstance(found, bytes)):
            return -1, "", -1
        return marker.shown(found), after.replid, after.offset


async def _talk(primary: Primary, timeout_s: float, do: Callable[[Talk], Awaitable[tuple[object, str, int]]]) -> object:
    stream = await connect(primary.address, DIAL_S)
    reader = ReplyReader()

    async def ask(*words: str | bytes) -> Value:
        await stream.write(command(*words))
        while (frame := reader.take()) is None:
            reader.feed(await stream.read_bytes(65_536, partial=True))
        value = decode(frame)
        if isinstance(value, Error):
            raise StepError(value.text.decode("utf-8", "replace"))
        return value

    try:
        async with asyncio.timeout(timeout_s):
            if primary.password:
                await ask("AUTH", *([primary.user] if primary.user else []), primary.password)
            return await do(Talk(ask))
    finally:
        stream.close()


async def run_step(primary: Primary | None, step: RunStep) -> tuple[str, str, int]:
    """How the step ended, and where in the log: never raises."""
    if primary is None:
        return "failed", "", -1
    sent = False

    async def do(talk: Talk) -> tuple[object, str, int]:
        nonlocal sent
        sent = True
        return await talk.run(step)

    try:
        return await _talk(primary, STEP_S, do)  # type: ignore[return-value]
    except StepError:
        return "failed", "", -1
    except (DialError, StreamClosedError, ProtocolError, TimeoutError, OSError):
        return ("unknown" if sent else "failed"), "", -1


async def ask_marker(primary: Primary | None, _: AskMarker) -> tuple[int, str, int]:
    """What the marker shows, -1 where that is not known: never raises."""
    if primary is None:
        return -1, "", -1
    try:
        return await _talk(primary, ASK_S, lambda talk: talk.marked())  # type: ignore[return-value]
    except (StepError, DialError, StreamClosedError, ProtocolError, TimeoutError, OSError):
        return -1, "", -1
