"""Messages between nodes, those of the settings and those made known: sent over connections that this node dialled.

What may live here: what all links of a node share, from its port to its counters. It decides nothing: a message that
is lost, late or doubled is the cores' matter.

A link is simplex, so that a one-link cut is just that. All queues are bounded, and all times of links are counted in
ticks of a quarter second: a process that stood still takes no link for dead because of it.
"""

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import Callable

from tornado.netutil import bind_sockets

from oatlink.fleet import envelope
from oatlink.fleet.messages import AnyMessage, Message
from oatlink.fleet.shell.addresses import Addresses
from oatlink.fleet.shell.inbound_context import InboundContext
from oatlink.fleet.shell.keys import read_keys
from oatlink.fleet.shell.listener import Listener, is_dialled
from oatlink.fleet.shell.outbound import OutboundLink
from oatlink.fleet.shell.outbound_connection import OutboundContext
from oatlink.settings.fleet import Fleet, fleet_hash

TICK_S = 0.25
FLUSH_S = 0.2  # at an orderly end
MINUTE_TICKS = 240
MOST_SAID = 4_096  # lines remembered, so that none is written twice a minute
RECEIVE_BYTES = 65_536  # of the kernel's, for each connection that was accepted


class Transport:
    """One node's links to all others.

    `on_message` is told the sender's name and each message; `note` writes a line: event, text; `on_fail`, where given,
    is told of a name to which a dial has failed or a connection has broken, in a turn of its own. `counters` says what
    was done and what was dropped, by reason. `unlisted`: how many nodes that the settings do not list are known, and
    heard, at once.
    """

    def __init__(
        self,
        fleet: Fleet,
        incarnation: int,
        on_message: Callable[[str, AnyMessage], None],
        note: Callable[[str, str], None],
        seed: int,
        on_fail: Callable[[str], None] | None = None,
        unlisted: int = 0,
    ) -> None:
        """Reads the keys. Raises `FleetError`."""
        self.counters: Counter[str] = Counter()
        self._node, self._most = fleet.node, fleet.most_bytes
        self._address = fleet.own.address
        self._on_message, self._note = on_message, note
        self._addresses = Addresses(fleet, unlisted, self._greeted, self._retire, self.counters)
        self._on_fail, self._unlisted = on_fail, unlisted
        self._retired: list[OutboundLink] = []  # links that still have something to say, and get nothing new
        keys, same = read_keys(fleet.key_files), fleet_hash(fleet)
        draws = random.Random(f"{seed} {fleet.node}")
        own = self._address if unlisted and is_dialled(self._address) else ""
        self._outbound = OutboundContext(
            fleet.node, incarnation, same, keys[0], self._say, self.counters, draws, self._failed, own
        )
        inbound = InboundContext(fleet.node, same, self._most, self._heard, self.counters)
        self._listener = Listener(inbound, frozenset(self._addresses.listed), keys, self._say, unlisted)
        self._links: dict[str, OutboundLink] = {}
        self._sockets: list[socket.socket] = []
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._said: dict[tuple[str, str], int] = {}
        self._closed = False

    def bind(self) -> None:
        """Take the node's own address. Raises `OSError` where another process has it."""
        host, _, port = self._address.rpartition(":")
        self._sockets = bind_sockets(int(port), host.strip("[]"), backlog=1024)
        for one in self._sockets:
            # Threat: a peer that has much to say while this process stands still, read all at once afterwards.
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, max(RECEIVE_BYTES, self._most))

    def start(self) -> None:
        """Listen, and send what is asked for from now on; in the running loop."""
        self._loop = asyncio.get_running_loop()
        self._listener.listen(self._sockets)
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        assert self._loop is not None
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self._outbound.ticks += 1
        self._listener.tick()
        for link in self._links.values():
            link.tick()
        for link in list(self._retired):
            link.tick()
            if link.settled:
                self._retired.remove(link)
                link.close()

    # ---- Who is known ----

    def know(self, name: str, address: str) -> None:
        """Where a node listens that the settings do not list, before something is said to it."""
        if not self._closed:
            self._addresses.know(name, address)

    def forget(self, name: str) -> None:
        """Nothing more will be said to a node that the settings do not list; what was said before still goes out."""
        self._addresses.forget(name)

    def _greeted(self, name: str) -> str:
        return self._listener.address_of(name)

    def _retire(self, name: str) -> None:
        if (link := self._links.pop(name, None)) is not None:
            self._retired.append(link)
            while len(self._retired) > self._unlisted:
                self._retired.pop(0).close()

    def _failed(self, peer: str) -> None:
        if self._on_fail is not None and self._loop is not None and not self._closed:
            self._loop.call_soon(self._tell_failed, self._on_fail, peer)

    def _tell_failed(self, on_fail: Callable[[str], None], peer: str) -> None:
        if not self._closed:
            on_fail(peer)

    # ---- Messages ----

    def send(self, to: str, message: Message) -> None:
        """Send, as far as the link allows. Never blocks and never raises; what is dropped is counted."""
        if self._closed or self._loop is None:
            self.counters["dropped_closed"] += 1
            return
        if to == self._node:
            self._loop.call_soon(self._own, message)
            return
        address = self._addresses.of(to)
        if not address:
            self.counters["dropped_name"] += 1
            return
        try:
            body = envelope.encode(message)
        except (TypeError, ValueError, OverflowError, RecursionError):
            self.counters["dropped_encode"] += 1
            self._say("fleet message not encoded", to, type(message).__name__)
            return
        if len(body) + envelope.MIN_FRAME_BYTES > self._most:
            self.counters["dropped_long"] += 1
            self._say("fleet message too long", to, f"{type(message).__name__}: {len(body)} bytes")
            return
        link = self._links.get(to)
        if link is None:
            link = self._links[to] = OutboundLink(self._outbound, to, address)
        link.send(body)

    def up(self, to: str) -> bool:
        """Whether something sent to this node now is written at once; False for a name not listed."""
        return to == self._node or (to in self._links and self._links[to].up)

    def _own(self, message: Message) -> None:
        if not self._closed:
            self._deliver(self._node, message)

    def _heard(self, sender: str, body: bytes) -> None:
        message = envelope.decode(body)
        if message is None:
            # The tag was right: a newer node says what this one does not know.
            self.counters["dropped_unknown"] += 1
        elif not self._closed:
            self._deliver(sender, message)

    def _deliver(self, sender: str, message: Message) -> None:
        try:
            self._on_message(sender, message)  # type: ignore[arg-type]
        except Exception as error:
            # Threat: one message that a core cannot take ends the link, is asked for again, and ends it again.
            self.counters["faults"] += 1
            self._say("fault", sender, f"{type(message).__name__}: {error!r}"[:500])

    def _say(self, event: str, peer: str, text: str) -> None:
        """A line, once a minute for each event and peer; peers here have proved their names or are nobody."""
        ticks = self._outbound.ticks
        if ticks - self._said.get((event, peer), -MINUTE_TICKS) >= MINUTE_TICKS:
            if len(self._said) >= MOST_SAID:  # names that come and go
                self._said.clear()
            self._said[event, peer] = ticks
            self._note(event, f"{peer}: {text}" if peer else text)

    # ---- End ----

    async def close(self) -> None:
        """Write what is queued, for at most 200 ms, and end all links. Idempotent."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        links = [*self._links.values(), *self._retired]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_S):
                while left := [one for one in links if not one.empty or one.dialled is not None]:
                    for one in left:
                        one.flush()
                        if one.empty:
                            one.finish()
                    await asyncio.sleep(0.005)
        for one in links:
            one.close()
        self._listener.close()
        for sock in self._sockets:
            sock.close()
