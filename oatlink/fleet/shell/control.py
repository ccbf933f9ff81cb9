"""The control stream in a process: sockets, the keeper's file and one timer around the participant.

It decides nothing except how to read an operator's command: inputs are handed to the participant, and the effects that
the participant returns are carried out in order. Only a source stores anything, in the keeper's file: its registers,
and each version before another source is notified that this one has it. Prevents a slot from being overwritten while
its version is on no disk, which would lose the version if all sources restarted.
"""

import asyncio
import os
import time
from collections.abc import Callable, Mapping

import msgspec

from oatlink.fleet import messages as f
from oatlink.fleet.control.participant import Participant
from oatlink.fleet.messages import control as c
from oatlink.fleet.shell.control_commands import find_mistake, parse_command
from oatlink.fleet.shell.keeper_store import KeeperStore
from oatlink.fleet.shell.scope_records import ScopeRecords, scopes_in
from oatlink.fleet.shell.transport import Transport
from oatlink.gateway.clock import now_us
from oatlink.settings.fleet import Fleet

MAX_SOURCE_PEERS = 4_096  # nodes other than the sources that a source knows, and accepts as senders, at once
MAX_READER_PEERS = 512  # the same at a reader: its children, upstream, spare, and some that have just left
MIN_WAIT_S, MAX_WAIT_S = 0.001, 60.0  # of the timer
COMMAND_S = 35.0  # more than the 30 s after which a source answers that the outcome of a change is unknown
POSSESSION_MESSAGES = (c.Beat, c.Committed)  # they show another source which versions this one has


def new_incarnation() -> int:
    """A number above that of any process before, unless the system clock goes back: milliseconds and a random part.

    If the system clock was set back, the old process of this name counts as the newer one, and this process is refused
    until the old one counts as gone.
    """
    return time.time_ns() // 1_000_000 << 16 | int.from_bytes(os.urandom(2), "big")


class ControlNode:
    """Joins with `start`, leaves with `stop`. Used instead of `FleetNode` where the settings have `control`."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        note: Callable[[str, str], None],
        in_force: Callable[[c.InForce], None] = lambda _: None,
    ) -> None:
        """Read the keys. `in_force` is called with each new version of a scope. Raises `FleetError`."""
        assert fleet.control is not None
        self._fleet, self._control, self._note, self._in_force = fleet, fleet.control, note, in_force
        self._incarnation = new_incarnation()
        self._seed = seed ^ self._incarnation
        sources = frozenset(source.name for source in fleet.control.sources)
        self._is_source = fleet.node in sources
        unlisted = MAX_SOURCE_PEERS if self._is_source else MAX_READER_PEERS
        self._transport = Transport(fleet, self._incarnation, self._received, note, self._seed, self._failed, unlisted)
        self._store = KeeperStore(fleet, self._send_stored, note)
        self._scope_records: ScopeRecords | None = None  # only at a source
        self._other_sources = sources - {fleet.node}
        self._participant: Participant | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[str]] = {}
        self._last_ticket = 0

    @property
    def counters(self) -> Mapping[str, int]:
        """Counts of what the links did, and of what they dropped, by reason."""
        return self._transport.counters

    @property
    def participant(self) -> Participant | None:
        """The cores, None while this process does not take part."""
        return self._participant

    # ---- Start and stop ----

    async def start(self) -> None:
        """Open the port and the file, and join the stream.

        If the address is in use, another process has the name of this node, and this one continues without the stream.
        """
        try:
            self._transport.bind()
        except OSError as error:
            self._note(
                "fleet off", f"{self._fleet.own_node.address}: {error.strerror}; another process may be this node"
            )
            return
        if self._is_source:
            self._store.open()
            self._scope_records = ScopeRecords(self._store.records)
        keeper = self._store.acceptor(self._seed) if self._fleet.own_node.keeper else None
        self._participant = Participant(
            self._fleet, self._control, self._incarnation, self._seed, find_mistake, now_us(), keeper
        )
        self._restore(self._participant)
        self._transport.start()
        self._tick()

    def _restore(self, participant: Participant) -> None:
        try:
            for head, entries in scopes_in(self._store.records):
                participant.restore(head, entries, now_us())
        except (msgspec.MsgspecError, ValueError) as error:
            self._note("control", f"what was on disk is not restored: {error}")

    async def stop(self) -> None:
        """Notify the peers that this process leaves, and close."""
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

    # ---- Calls of the gateway ----

    def seek(self) -> None:
        """See `FleetNode.seek`. No request waits for the stream."""

    def listed(self, members: Mapping[str, str]) -> None:
        """See `FleetNode.listed`."""

    def saw(self, member: str, kind: str, history: str = "", offset: int = -1) -> None:
        """See `FleetNode.saw`."""

    def failed_over(self, bank: str) -> None:
        """See `FleetNode.failed_over`."""

    async def word(self, word: str, text: bytes = b"") -> str:
        """Carry out an operator's command, and return the reply: one line, except for the status."""
        if word != "control":
            return "no versions in the fleet's settings"
        if self._participant is None:
            return "the fleet is off here"
        command = parse_command(text)
        if isinstance(command, str):
            return command
        if command is None:
            return "\n".join(f"{name}: {text}" for name, text in self.rows())
        return await self.offer(command.scope, command.entries, command.base)

    async def offer(self, scope: str, entries: tuple[c.Entry, ...], base: int = -1) -> str:
        """Offer a change that was made for version `base` (-1: any), and return its outcome in one line."""
        if self._participant is None:
            return "refused: the fleet is off here"
        self._last_ticket += 1
        ticket = self._last_ticket
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tickets[ticket] = future
        try:
            async with asyncio.timeout(COMMAND_S):
                self._do(self._participant.offer(ticket, scope, entries, base, now_us()))
                return await future
        except TimeoutError:
            return "unknown: it may have happened, or may yet"
        finally:
            self._tickets.pop(ticket, None)

    def rows(self) -> list[tuple[str, str]]:
        """Status rows for operators."""
        if self._participant is None:
            return [("node", "off")]
        counts = dict(self.counters) | {f"dropped_{name}": count for name, count in self._participant.dropped.items()}
        links = ("links", " ".join(f"{name}={count}" for name, count in sorted(counts.items())))
        return [("node", self._fleet.node), *self._store.rows(self._participant.rows(now_us())), links]

    # ---- Inputs and effects of the participant ----

    def _received(self, sender: str, message: f.AnyMessage) -> None:
        if self._participant is not None:
            self._do(self._participant.receive(sender, message, now_us()))

    def _failed(self, peer: str) -> None:
        if self._participant is not None:
            self._do(self._participant.link_failed(peer, now_us()))

    def _send_stored(self, tell: f.Tell) -> None:
        """Send a message that waited for the keeper's file."""
        if tell.to == self._fleet.node:
            self._received(tell.to, tell.message)  # type: ignore[arg-type]
        else:
            self._transport.send(tell.to, tell.message)

    def _tick(self) -> None:
        self._timer = None
        if self._participant is not None:
            self._do(self._participant.tick(now_us()))

    def _do(self, effects: list[f.Effect]) -> None:
        """Carry out effects, in order."""
        for effect in effects:
            if isinstance(effect, f.Tell):
                if self._must_wait(effect):
                    self._store.keep(f.Keep((), (effect,)))
                else:
                    self._transport.send(effect.to, effect.message)
            elif isinstance(effect, f.Keep):
                self._store.keep(effect)
            elif isinstance(effect, c.Known):
                self._know(effect)
            elif isinstance(effect, c.InForce):
                if self._scope_records is not None:
                    self._store.store(self._scope_records.rows(effect))
                self._in_force(effect)
            elif isinstance(effect, f.Note):
                self._note(effect.event, effect.text)
            elif isinstance(effect, f.Replied):
                future = self._tickets.get(effect.ticket)
                if future is not None and not future.done():
                    future.set_result(effect.text)
        self._set_timer()

    def _must_wait(self, tell: f.Tell) -> bool:
        """Whether the message shows another source which versions this one has, which must be on disk first."""
        is_to_source = self._scope_records is not None and tell.to in self._other_sources
        return is_to_source and isinstance(tell.message, POSSESSION_MESSAGES)

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
            wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)
