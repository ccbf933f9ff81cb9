"""Runs a step of a plan on the primary of a bank, over its own connection. `versions.marker` decides what may run."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from tornado.iostream import StreamClosedError

from oatlink.core.reports import BoxReport, parse_info
from oatlink.fleet.messages import AskMarker, RunStep
from oatlink.fleet.versions import marker
from oatlink.gateway.links import DialError, connect
from oatlink.protocols.resp import Array, Error, ProtocolError, ReplyReader, Value, command, decode

STEP_S = 30.0  # a step may build an index; the lease is renewed meanwhile
MARKER_S = 2.0
DIAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Primary:
    """The primary of a bank, as far as this gateway knows, and the credentials for it."""

    address: str
    user: str = ""
    password: str = ""


class StepError(Exception):
    """The server returned an error, whose text this is, or is not a primary."""


class PrimarySession:
    """Commands to one primary, one at a time. Raises `StepError`, or the errors of the stream."""

    def __init__(self, ask: Callable[..., Awaitable[Value]]) -> None:
        self.ask = ask

    async def replication(self) -> BoxReport:
        """The replication state of the server. Raises `StepError` unless it is a primary."""
        reply = await self.ask("INFO", "replication")
        report = parse_info(reply) if isinstance(reply, bytes) else BoxReport()
        if report.role != "primary" or not report.replid or report.offset < 0:
            raise StepError("not a primary")
        return report

    async def run(self, step: RunStep) -> tuple[str, str, int]:
        """See `RunStep`."""
        before = await self.replication()
        value = await self._watch_marker()
        verdict = marker.decide(value, step.step, step.after)
        if verdict == "run":
            begun = marker.encode(step.step, step.version, done=False)
            if not await self._transaction([*step.commands, ("SET", marker.KEY, begun)]):
                return "unknown", "", -1
            if await self._watch_marker() != begun:
                return "unknown", "", -1
            if not await self._transaction([("SET", marker.KEY, marker.encode(step.step, step.version, done=True))]):
                return "unknown", "", -1
            verdict = "done"
        await self.ask("UNWATCH")
        after = await self.replication()
        if after.replid != before.replid:
            return "unknown", "", -1
        return verdict, after.replid, after.offset

    async def _watch_marker(self) -> bytes | None:
        await self.ask("WATCH", marker.KEY)
        value = await self.ask("GET", marker.KEY)
        return value if isinstance(value, bytes) else None

    async def _transaction(self, commands: Sequence[Sequence[str | bytes]]) -> bool:
        """Run commands between MULTI and EXEC. False if another client has changed the marker meanwhile."""
        await self.ask("MULTI")
        for words in commands:
            await self.ask(*words)
        reply = await self.ask("EXEC")
        if not isinstance(reply, Array):
            return False
        for item in reply.items:
            if isinstance(item, Error):
                raise StepError(item.text.decode("utf-8", "replace"))
        return True

    async def read_marker(self) -> tuple[int, str, int]:
        """See `AskMarker`."""
        before = await self.replication()
        value = await self.ask("GET", marker.KEY)
        after = await self.replication()
        if after.replid != before.replid or not (value is None or isinstance(value, bytes)):
            return -1, "", -1
        return marker.completed_step(value), after.replid, after.offset


async def _converse(
    primary: Primary, timeout_s: float, use: Callable[[PrimarySession], Awaitable[tuple[object, str, int]]]
) -> object:
    """Connect, authenticate, and return the result of `use`."""
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
            return await use(PrimarySession(ask))
    finally:
        stream.close()


async def run_step(primary: Primary | None, step: RunStep) -> tuple[str, str, int]:
    """The result of the step, and the history and offset of the log after it. Never raises."""
    if primary is None:
        return "failed", "", -1
    is_begun = False

    async def run(session: PrimarySession) -> tuple[object, str, int]:
        nonlocal is_begun
        is_begun = True
        return await session.run(step)

    try:
        return await _converse(primary, STEP_S, run)  # type: ignore[return-value]
    except StepError:
        return "failed", "", -1
    except (DialError, StreamClosedError, ProtocolError, TimeoutError, OSError):
        return ("unknown" if is_begun else "failed"), "", -1


async def ask_marker(primary: Primary | None, _: AskMarker) -> tuple[int, str, int]:
    """The number that the marker shows, -1 if unknown, with history and offset of the log. Never raises."""
    if primary is None:
        return -1, "", -1
    try:
        return await _converse(primary, MARKER_S, lambda session: session.read_marker())  # type: ignore[return-value]
    except (StepError, DialError, StreamClosedError, ProtocolError, TimeoutError, OSError):
        return -1, "", -1
