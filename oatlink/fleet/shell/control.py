"""The one object that a process holds of the stream of control: sockets, the keeper's file and one timer.

It decides nothing but what it is asked in words: what comes is handed to the participant, what that asks for is carried
out in order. Nothing is saved but at a source, in the keeper's file: its registers, and each version before another
source is told that it is here. Threat: a slot that is written over while its version is on no disk, and all sources
restarted.
"""

import asyncio
import os
import time
from collections.abc import Callable, Mapping

import msgspec

from oatlink.fleet import messages as f
from oatlink.fleet.control.participant import Participant
from oatlink.fleet.messages import control as c
from oatlink.fleet.shell.control_commands import mistake_in, read
from oatlink.fleet.shell.keeper_store import KeeperStore
from oatlink.fleet.shell.scope_records import ScopeRecords, found_in
from oatlink.fleet.shell.transport import Transport
from oatlink.gateway.clock import now_us
from oatlink.settings.fleet import Fleet

MOST_READERS = 4_096  # names beside the sources that a source hears at once, and knows
MOST_CHILDREN = 512  # the same at a reader: its children, upstream, spare, and some who have just gone
LEAST_WAIT_S, LONGEST_WAIT_S = 0.001, 60.0  # of the timer
WORD_S = 35.0  # a source says after 30 s that a change's end is not known
HAVE = (c.Beat, c.Committed)  # by which another source counts what is here


def new_incarnation() -> int:
    """Above that of any process before, as far as the machine's calendar goes forward: milliseconds, and a draw.

    Threat: a calendar that was set back. The name's old process is then taken for the newer one, and this one is
    refused until the old one counts as gone.
    """
    return time.time_ns() // 1_000_000 << 16 | int.from_bytes(os.urandom(2), "big")


class ControlNode:
    """Takes part with `start`, leaves with `stop`. It stands in a gateway where `FleetNode` does without `control`."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        note: Callable[[str, str], None],
        in_force: Callable[[c.InForce], None] = lambda _: None,
    ) -> None:
        """`in_force` is told of each scope that moves. Reads the keys: raises `FleetError`."""
        assert fleet.control is not None
        self._fleet, self._control, self._note, self._in_force = fleet, fleet.control, note, in_force
        self._incarnation = new_incarnation()
        self._seed = seed ^ self._incarnation
        self._is_source = any(one.name == fleet.node for one in fleet.control.sources)
        unlisted = MOST_READERS if self._is_source else MOST_CHILDREN
        told = self._heard, note, self._seed, self._failed, unlisted
        self._transport = Transport(fleet, self._incarnation, *told)
        self._store = KeeperStore(fleet, self._said, note)
        self._kept: ScopeRecords | None = None  # a source's
        self._others = frozenset(one.name for one in fleet.control.sources) - {fleet.node}
        self._participant: Participant | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[str]] = {}
        self._last_ticket = 0

    @property
    def counters(self) -> Mapping[str, int]:
        """What the links did and dropped, by reason."""
        return self._transport.counters

    @property
    def participant(self) -> Participant | None:
        """The cores; None where this process does not take part."""
        return self._participant

    # ---- Life ----

    async def start(self) -> None:
        """Open the port and the file, and take part.

        Where the own address is taken, another process has this node's name: this one goes on without the stream.
        """
        try:
            self._transport.bind()
        except OSError as error:
            self._note("fleet off", f"{self._fleet.own.address}: {error.strerror}; another process may be this node")
            return
        if self._is_source:
            self._store.open()
            self._kept = ScopeRecords(self._store.records)
        keeper = self._store.keeper(self._seed) if self._fleet.own.keeper else None
        self._participant = Participant(
            self._fleet, self._control, self._incarnation, self._seed, mistake_in, now_us(), keeper
        )
        self._restore(self._participant)
        self._transport.start()
        self._tick()

    def _restore(self, participant: Participant) -> None:
        try:
            for head, entries in found_in(self._store.records):
                participant.restore(head, entries, now_us())
        except (msgspec.MsgspecError, ValueError) as error:
            self._note("control", f"what was on disk is not restored: {error}")

    async def stop(self) -> None:
        """Say that this process leaves, and close."""
        if self._participant is not None:
            self._do(self._participant.leave(now_us()))
            self._participant = None
        if self._timer is not None:
            self._timer.cancel()
        self._store.stop()
        await self._transport.close()
        await self._store.close()
        for future in self._tickets.values():
            future.cancel()

    # ---- What the gateway calls ----

    def seek(self) -> None:
        """See `FleetNode.seek`: nothing waits for the stream."""

    def listed(self, members: Mapping[str, str]) -> None:
        """See `FleetNode.listed`."""

    def saw(self, member: str, kind: str, history: str = "", offset: int = -1) -> None:
        """See `FleetNode.saw`."""

    def failed_over(self, bank: str) -> None:
        """See `FleetNode.failed_over`."""

    async def word(self, word: str, text: bytes = b"") -> str:
        """An operator's word, and what to answer: one line, but for the status."""
        if word != "control":
            return "no versions in the fleet's settings"
        if self._participant is None:
            return "the fleet is off here"
        asked = read(text)
        if isinstance(asked, str):
            return asked
        if asked is None:
            return "\n".join(f"{name}: {text}" for name, text in self.rows())
        return await self.offer(asked.scope, asked.entries, asked.base)

    async def offer(self, scope: str, entries: tuple[c.Entry, ...], base: int = -1) -> str:
        """Offer a change, made for version `base` (-1: any): what came of it, in one line."""
        if self._participant is None:
            return "refused: the fleet is off here"
        self._last_ticket += 1
        ticket = self._last_ticket
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tickets[ticket] = future
        try:
            async with asyncio.timeout(WORD_S):
                self._do(self._participant.offer(ticket, scope, entries, base, now_us()))
                return await future
        except TimeoutError:
            return "unknown: it may have happened, or may yet"
        finally:
            self._tickets.pop(ticket, None)

    def rows(self) -> list[tuple[str, str]]:
        """For operators."""
        if self._participant is None:
            return [("node", "off")]
        dropped = dict(self.counters) | {f"dropped_{name}": n for name, n in self._participant.dropped.items()}
        links = ("links", " ".join(f"{name}={n}" for name, n in sorted(dropped.items())))
        return [("node", self._fleet.node), *self._store.rows(self._participant.rows(now_us())), links]

    # ---- Between participant and sockets ----

    def _heard(self, sender: str, message: f.AnyMessage) -> None:
        if self._participant is not None:
            self._do(self._participant.receive(sender, message, now_us()))

    def _failed(self, peer: str) -> None:
        if self._participant is not None:
            self._do(self._participant.link_failed(peer, now_us()))

    def _said(self, one: f.Tell) -> None:
        """What waited for the keeper's file."""
        if one.to == self._fleet.node:
            self._heard(one.to, one.message)  # type: ignore[arg-type]
        else:
            self._transport.send(one.to, one.message)

    def _tick(self) -> None:
        self._timer = None
        if self._participant is not None:
            self._do(self._participant.tick(now_us()))

    def _do(self, effects: list[f.Effect]) -> None:
        """Carry out, in order."""
        for one in effects:
            if isinstance(one, f.Tell) and self._kept and one.to in self._others and isinstance(one.message, HAVE):
                self._store.keep(f.Keep((), (one,)))
            elif isinstance(one, f.Tell):
                self._transport.send(one.to, one.message)
            elif isinstance(one, f.Keep):
                self._store.keep(one)
            elif isinstance(one, c.Known):
                self._know(one)
            elif isinstance(one, c.InForce):
                if self._kept is not None:
                    self._store.store(self._kept.rows(one))
                self._in_force(one)
            elif isinstance(one, f.Note):
                self._note(one.event, one.text)
            elif isinstance(one, f.Replied):
                future = self._tickets.get(one.ticket)
                if future is not None and not future.done():
                    future.set_result(one.text)
        self._set_timer()

    def _know(self, known: c.Known) -> None:
        if known.forget:
            self._transport.forget(known.place.name)
        else:
            self._transport.know(known.place.name, known.place.address)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._participant is not None:
            wait_s = (self._participant.due_us - now_us()) / 1e6
            wait_s = min(LONGEST_WAIT_S, max(LEAST_WAIT_S, wait_s))
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)
