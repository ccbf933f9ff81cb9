"""The fleet side of a gateway: sockets, the keeper's file and the clock around `fleet.node.Node`.

It makes no decisions: inputs are handed to the node, and the effects that the node returns are carried out in order.
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

POLL_S = 0.1  # how often the demands of the gate are read
LEAVE_S = 1.3  # at an orderly shutdown: the term of a grant and a round trip
LEAVE_POLL_S = 0.02
RELEASE_S = 0.05  # for the last round trip of a release
MIN_TIMER_US = 1_000
COMMAND_S = 8.0  # how long an operator waits for an answer at most


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
        """Read the keys. Raises `FleetError`.

        `demands`, `busy` and `primary` query the gateway, and `tell` passes it news (`Tuned`).
        """
        self._fleet, self._members, self._longest_us = fleet, members, longest_deadline_us
        self._demands, self._busy, self._tell, self._primary, self._note = demands, busy, tell, primary, note
        self._incarnation = int.from_bytes(os.urandom(6), "big")
        self._seed = seed ^ self._incarnation
        self._transport = Transport(fleet, self._incarnation, self._received, note, self._seed)
        self._store = KeeperStore(fleet, self._send_stored, note)
        self._node: Node | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._poll_timer: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[str]] = {}
        self._last_ticket = 0

    @property
    def counters(self) -> Mapping[str, int]:
        """Counts of what the links did, and of what they dropped, by reason."""
        return self._transport.counters

    # ---- Start and stop ----

    async def start(self) -> None:
        """Open the port and the file, and join the fleet.

        If the address is in use, another process has the name of this node, and the gateway serves without a share of
        any limit. If the file cannot be used, the node takes part but does not act as a keeper.
        """
        try:
            self._transport.bind()
        except OSError as error:
            self._note(
                "fleet off", f"{self._fleet.own_node.address}: {error.strerror}; another process may be this node"
            )
            self._tell(Alone())
            return
        if self._fleet.own_node.keeper:
            self._store.open()
        self._node = Node(
            self._fleet,
            self._members,
            self._longest_us,
            self._incarnation,
            self._seed,
            now_us(),
            self._store.acceptor(self._seed) if self._fleet.own_node.keeper else None,
        )
        self._transport.start()
        self._poll()

    async def stop(self) -> None:
        """Return grants and leases, for `LEAVE_S` at most, and close."""
        for timer in (self._poll_timer, self._timer):
            if timer is not None:
                timer.cancel()
        if self._node is not None:
            self._do(self._node.leave(now_us()))
            end_us = now_us() + int(LEAVE_S * 1e6)
            while not self._node.gone(now_us()) and now_us() < end_us:
                await asyncio.sleep(LEAVE_POLL_S)
                self._do(self._node.tick((), (), now_us()))
            await asyncio.sleep(RELEASE_S)
            self._node = None
        for task in self._tasks:
            task.cancel()
        self._store.stop()
        await self._transport.close()
        await self._store.close()
        for future in self._tickets.values():
            future.cancel()

    # ---- Calls of the gateway ----

    def seek(self) -> None:
        """Request a grant from the fleet now, because a request of a client waits for it."""
        if self._node is not None:
            self._tick()

    def listed(self, members: Mapping[str, str]) -> None:
        """Discovery has reported the members and their banks."""
        if self._node is not None:
            self._do(self._node.listed(members, now_us()))

    def saw(self, member: str, kind: str, history: str = "", offset: int = -1) -> None:
        """The gateway has observed an event of a member."""
        if self._node is not None:
            self._do(self._node.saw(member, kind, history, offset, now_us()))

    def failed_over(self, bank: str) -> None:
        """The gateway has observed another primary in a bank."""
        if self._node is not None:
            self._do(self._node.failed_over(bank, now_us()))

    async def word(self, word: str, text: bytes = b"") -> str:
        """Carry out an operator's command about versions, and return the reply."""
        if word == "control":
            return "no control in the fleet's settings"
        if self._node is None:
            return "the fleet is off here"
        self._last_ticket += 1
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tickets[self._last_ticket] = future
        try:
            async with asyncio.timeout(COMMAND_S):
                self._do(self._node.word(word, self._last_ticket, text, now_us()))
                return await future
        except TimeoutError:
            return "no majority of the keepers has answered in time; ask for the status"
        finally:
            self._tickets.pop(self._last_ticket, None)

    def rows(self) -> list[tuple[str, str]]:
        """Status rows for operators."""
        if self._node is None:
            return [("node", "off")]
        up = [node.name for node in self._fleet.nodes if self._transport.is_up(node.name)]
        links = [("links up", " ".join(up)), ("links", " ".join(f"{k}={v}" for k, v in sorted(self.counters.items())))]
        return self._store.rows(self._node.rows(now_us())) + links

    # ---- Inputs and effects of the node ----

    def _received(self, sender: str, message: f.AnyMessage) -> None:
        if self._node is not None:
            self._do(self._node.receive(sender, message, now_us()))

    def _poll(self) -> None:
        self._poll_timer = asyncio.get_running_loop().call_later(POLL_S, self._poll)
        self._tick()

    def _ticked(self) -> None:
        self._timer = None
        self._tick()

    def _tick(self) -> None:
        if self._node is not None:
            now = now_us()
            self._do(self._node.tick(self._demands(now), self._busy(), now))

    def _do(self, effects: list[f.Effect]) -> None:
        """Carry out effects, in order."""
        for effect in effects:
            if isinstance(effect, f.Tell):
                self._transport.send(effect.to, effect.message)
            elif isinstance(effect, f.Keep):
                self._store.keep(effect)
            elif isinstance(effect, f.Tuned):
                self._tell(effect.news)  # type: ignore[arg-type]
            elif isinstance(effect, f.Note):
                self._note(effect.event, effect.text)
            elif isinstance(effect, f.Replied):
                future = self._tickets.get(effect.ticket)
                if future is not None and not future.done():
                    future.set_result(effect.text)
            elif isinstance(effect, f.RunStep):
                self._spawn(self._run_step(effect))
            elif isinstance(effect, f.AskMarker):
                self._spawn(self._ask_marker(effect))
        if self._node is not None:
            self._set_timer(self._node.due_us)

    def _set_timer(self, due_us: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait_us = due_us - now_us()
        if wait_us < POLL_S * 1e6:  # the next poll notices what is due later
            self._timer = asyncio.get_running_loop().call_later(max(wait_us, MIN_TIMER_US) / 1e6, self._ticked)

    def _send_stored(self, tell: f.Tell) -> None:
        """Send a message that waited for the keeper's file."""
        if tell.to == self._fleet.node:
            self._received(tell.to, tell.message)  # type: ignore[arg-type]
        else:
            self._transport.send(tell.to, tell.message)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_step(self, step: f.RunStep) -> None:
        how, history, offset = await run_step(self._primary(step.bank), step)
        if self._node is not None:
            self._do(self._node.ran(step.ask, how, history, offset, now_us()))

    async def _ask_marker(self, query: f.AskMarker) -> None:
        number, history, offset = await ask_marker(self._primary(query.bank), query)
        if self._node is not None:
            self._do(self._node.marked(query.ask, number, history, offset, now_us()))
