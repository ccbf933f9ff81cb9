"""The one object that a gateway holds of its fleet: sockets, the keeper's file and the clock around `fleet.node.Node`.

It decides nothing: what comes is handed to the node, what the node asks for is carried out in order.
"""

import asyncio
import os
from collections.abc import Callable, Coroutine, Mapping

from oatlink.fleet import messages as f
from oatlink.fleet.gate import Alone, AnyNews
from oatlink.fleet.node import Node
from oatlink.fleet.shell.keeper_store import KeeperStore
from oatlink.fleet.shell.plan_steps import Primary, ask_marker, run_step
from oatlink.fleet.shell.transport import Transport
from oatlink.gateway.clock import now_us
from oatlink.settings.fleet import Fleet

LOOK_S = 0.1  # how often the gate's demands are looked at
LEAVE_S = 1.3  # at an orderly end: a grant's term and a round trip
WORD_S = 8.0  # an operator waits so long at most


class FleetNode:
    """Joins the fleet with `start`, leaves it with `stop`."""

    def __init__(
        self,
        fleet: Fleet,
        members: Mapping[str, str],
        longest_deadline_us: int,
        seed: int,
        *,
        demands: Callable[[int], tuple[f.Demand, ...]],
        busy: Callable[[], tuple[int, ...]],
        tell: Callable[[AnyNews], None],
        primary: Callable[[str], Primary | None],
        note: Callable[[str, str], None],
    ) -> None:
        """`demands`, `busy`, `primary` ask the gateway; `tell` hands it news. Reads the keys: raises `FleetError`."""
        self._fleet, self._members, self._longest_us = fleet, members, longest_deadline_us
        self._demands, self._busy, self._tell, self._primary, self._note = demands, busy, tell, primary, note
        self._incarnation = int.from_bytes(os.urandom(6), "big")
        self._seed = seed ^ self._incarnation
        self._transport = Transport(fleet, self._incarnation, self._heard, note, self._seed)
        self._store = KeeperStore(fleet, self._said, note)
        self._node: Node | None = None
        self._errands: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._look: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[str]] = {}
        self._last_ticket = 0

    @property
    def counters(self) -> Mapping[str, int]:
        """What the links did and dropped, by reason."""
        return self._transport.counters

    # ---- Life ----

    async def start(self) -> None:
        """Open the port and the file, and take part.

        Where the own address is taken, another process has this node's name: the gateway serves without a share of
        anything. Where the file cannot be used the node takes part and keeps nothing.
        """
        try:
            self._transport.bind()
        except OSError as error:
            self._note("fleet off", f"{self._fleet.own.address}: {error.strerror}; another process may be this node")
            self._tell(Alone())
            return
        if self._fleet.own.keeper:
            self._store.open()
        self._node = Node(
            self._fleet,
            self._members,
            self._longest_us,
            self._incarnation,
            self._seed,
            now_us(),
            self._store.keeper(self._seed) if self._fleet.own.keeper else None,
        )
        self._transport.start()
        self._looked()

    async def stop(self) -> None:
        """Give back what is held, for `LEAVE_S` at most, and close."""
        for timer in (self._look, self._timer):
            if timer is not None:
                timer.cancel()
        if self._node is not None:
            self._do(self._node.leave(now_us()))
            end_us = now_us() + int(LEAVE_S * 1e6)
            while not self._node.gone(now_us()) and now_us() < end_us:
                await asyncio.sleep(0.02)
                self._do(self._node.tick((), (), now_us()))
            await asyncio.sleep(0.05)  # the last round trip of a release
            self._node = None
        for task in self._errands:
            task.cancel()
        self._store.stop()
        await self._transport.close()
        await self._store.close()
        for future in self._tickets.values():
            future.cancel()

    # ---- What the gateway calls ----

    def seek(self) -> None:
        """A request waits for the fleet's word."""
        if self._node is not None:
            self._tick()

    def listed(self, members: Mapping[str, str]) -> None:
        """Discovery has spoken: members and their banks."""
        if self._node is not None:
            self._do(self._node.listed(members, now_us()))

    def saw(self, member: str, kind: str, history: str = "", offset: int = -1) -> None:
        """The gateway saw something of a member."""
        if self._node is not None:
            self._do(self._node.saw(member, kind, history, offset, now_us()))

    def failed_over(self, bank: str) -> None:
        """The gateway saw another primary in a bank."""
        if self._node is not None:
            self._do(self._node.failed_over(bank, now_us()))

    async def word(self, word: str, text: bytes = b"") -> str:
        """An operator's word about versions, and what to answer."""
        if word == "control":
            return "no control in the fleet's settings"
        if self._node is None:
            return "the fleet is off here"
        self._last_ticket += 1
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tickets[self._last_ticket] = future
        try:
            async with asyncio.timeout(WORD_S):
                self._do(self._node.word(word, self._last_ticket, text, now_us()))
                return await future
        except TimeoutError:
            return "no majority of the keepers has answered in time; ask for the status"
        finally:
            self._tickets.pop(self._last_ticket, None)

    def rows(self) -> list[tuple[str, str]]:
        """For operators."""
        if self._node is None:
            return [("node", "off")]
        up = [one.name for one in self._fleet.nodes if self._transport.up(one.name)]
        links = [("links up", " ".join(up)), ("links", " ".join(f"{k}={v}" for k, v in sorted(self.counters.items())))]
        return self._store.rows(self._node.rows(now_us())) + links

    # ---- Between node and sockets ----

    def _heard(self, sender: str, message: f.AnyMessage) -> None:
        if self._node is not None:
            self._do(self._node.receive(sender, message, now_us()))

    def _looked(self) -> None:
        self._look = asyncio.get_running_loop().call_later(LOOK_S, self._looked)
        self._tick()

    def _ticked(self) -> None:
        self._timer = None
        self._tick()

    def _tick(self) -> None:
        if self._node is not None:
            now = now_us()
            self._do(self._node.tick(self._demands(now), self._busy(), now))

    def _do(self, effects: list[f.Effect]) -> None:
        """Carry out, in order."""
        for one in effects:
            if isinstance(one, f.Tell):
                self._transport.send(one.to, one.message)
            elif isinstance(one, f.Keep):
                self._store.keep(one)
            elif isinstance(one, f.Tuned):
                self._tell(one.news)  # type: ignore[arg-type]
            elif isinstance(one, f.Note):
                self._note(one.event, one.text)
            elif isinstance(one, f.Replied):
                future = self._tickets.get(one.ticket)
                if future is not None and not future.done():
                    future.set_result(one.text)
            elif isinstance(one, f.RunStep):
                self._errand(self._run_step(one))
            elif isinstance(one, f.AskMarker):
                self._errand(self._ask_marker(one))
        if self._node is not None:
            self._set_timer(self._node.due_us)

    def _set_timer(self, due_us: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait_us = due_us - now_us()
        if wait_us < LOOK_S * 1e6:  # what is due later is seen by the next look
            self._timer = asyncio.get_running_loop().call_later(max(wait_us, 1_000) / 1e6, self._ticked)

    def _said(self, one: f.Tell) -> None:
        """What waited for the keeper's file."""
        if one.to == self._fleet.node:
            self._heard(one.to, one.message)  # type: ignore[arg-type]
        else:
            self._transport.send(one.to, one.message)

    def _errand(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._errands.add(task)
        task.add_done_callback(self._errands.discard)

    async def _run_step(self, step: f.RunStep) -> None:
        how, history, offset = await run_step(self._primary(step.bank), step)
        if self._node is not None:
            self._do(self._node.ran(step.ask, how, history, offset, now_us()))

    async def _ask_marker(self, asked: f.AskMarker) -> None:
        number, history, offset = await ask_marker(self._primary(asked.bank), asked)
        if self._node is not None:
            self._do(self._node.marked(asked.ask, number, history, offset, now_us()))
