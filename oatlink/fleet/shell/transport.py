"""Sends messages to nodes of the settings and to nodes made known, over connections that this node dials.

This module owns what all links of a node share, from its port to its counters. It makes no decisions: messages that are
lost, late or duplicated are handled by the cores.

A link carries messages one way, so that a cut in one direction does not affect the other. All queues are bounded. Times
are counted in ticks of a quarter of a second: after a pause of the process, its links do not count as dead.
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
from oatlink.fleet.shell.listener import Listener, may_be_dialled
from oatlink.fleet.shell.outbound import OutboundLink
from oatlink.fleet.shell.outbound_connection import OutboundContext
from oatlink.settings.fleet import Fleet, fleet_hash

TICK_S = 0.25
FLUSH_S = 0.2  # for what is queued at an orderly shutdown
FLUSH_POLL_S = 0.005
MINUTE_TICKS = 240
MAX_REMEMBERED_LINES = 4_096  # lines whose time is stored, so that each is written once a minute at most
RECEIVE_BYTES = 65_536  # the kernel's receive buffer of each accepted connection


class Transport:
    """The links of one node to all others.

    `on_message` is called with the sender's name and each message. `note` writes a line: event, text. `on_fail`, if
    set, is called with the name of a peer after a dial has failed or a connection has broken, in a later turn of the
    event loop. `counters` counts what was done and what was dropped, by reason. `unlisted`: how many nodes that are not
    in the settings are known, and accepted as senders, at once.
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
        """Read the keys. Raises `FleetError`."""
        self.counters: Counter[str] = Counter()
        self._node, self._max_frame_bytes = fleet.node, fleet.most_bytes
        self._address = fleet.own_node.address
        self._on_message, self._note = on_message, note
        self._addresses = Addresses(fleet, unlisted, self._greeted_address, self._retire, self.counters)
        self._on_fail, self._unlisted = on_fail, unlisted
        self._retired: list[OutboundLink] = []  # links that still have something to send, and get nothing new
        keys, fleet_id = read_keys(fleet.key_files), fleet_hash(fleet)
        random_source = random.Random(f"{seed} {fleet.node}")
        own_address = self._address if unlisted and may_be_dialled(self._address) else ""
        self._outbound = OutboundContext(
            fleet.node,
            incarnation,
            fleet_id,
            keys[0],
            self._log,
            self.counters,
            random_source,
            self._failed,
            own_address,
        )
        inbound = InboundContext(fleet.node, fleet_id, self._max_frame_bytes, self._received, self.counters)
        self._listener = Listener(inbound, frozenset(self._addresses.listed), keys, self._log, unlisted)
        self._links: dict[str, OutboundLink] = {}
        self._sockets: list[socket.socket] = []
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._logged: dict[tuple[str, str], int] = {}  # the tick of the last line, by event and peer
        self._closed = False

    def bind(self) -> None:
        """Bind the address of this node. Raises `OSError` if another process has it."""
        host, _, port = self._address.rpartition(":")
        self._sockets = bind_sockets(int(port), host.strip("[]"), backlog=1024)
        for one in self._sockets:
            # Bounds what arrives while this process is stopped, and is read all at once afterwards.
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, max(RECEIVE_BYTES, self._max_frame_bytes))

    def start(self) -> None:
        """Accept connections and send messages from now on, in the running event loop."""
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

    # ---- Addresses ----

    def know(self, name: str, address: str) -> None:
        """Set the address of a node that is not in the settings, before something is sent to it."""
        if not self._closed:
            self._addresses.know(name, address)

    def forget(self, name: str) -> None:
        """Send nothing more to a node that is not in the settings. What was sent before still goes out."""
        self._addresses.forget(name)

    def _greeted_address(self, name: str) -> str:
        return self._listener.address_of(name)

    def _retire(self, name: str) -> None:
        if (link := self._links.pop(name, None)) is not None:
            self._retired.append(link)
            while len(self._retired) > self._unlisted:
                self._retired.pop(0).close()

    def _failed(self, peer: str) -> None:
        if self._on_fail is not None and self._loop is not None and not self._closed:
            self._loop.call_soon(self._notify_failed, self._on_fail, peer)

    def _notify_failed(self, on_fail: Callable[[str], None], peer: str) -> None:
        if not self._closed:
            on_fail(peer)

    # ---- Messages ----

    def send(self, to: str, message: Message) -> None:
        """Send a message, as far as the link allows. Never blocks and never raises; what is dropped is counted."""
        if self._closed or self._loop is None:
            self.counters["dropped_closed"] += 1
            return
        if to == self._node:
            self._loop.call_soon(self._deliver_own, message)
            return
        address = self._addresses.of(to)
        if not address:
            self.counters["dropped_name"] += 1
            return
        try:
            body = envelope.encode(message)
        except (TypeError, ValueError, OverflowError, RecursionError):
            self.counters["dropped_encode"] += 1
            self._log("fleet message not encoded", to, type(message).__name__)
            return
        if len(body) + envelope.MIN_FRAME_BYTES > self._max_frame_bytes:
            self.counters["dropped_long"] += 1
            self._log("fleet message too long", to, f"{type(message).__name__}: {len(body)} bytes")
            return
        link = self._links.get(to)
        if link is None:
            link = self._links[to] = OutboundLink(self._outbound, to, address)
        link.send(body)

    def is_up(self, to: str) -> bool:
        """Whether a message sent to this node now is written at once; False for a name without a link."""
        return to == self._node or (to in self._links and self._links[to].is_up)

    def _deliver_own(self, message: Message) -> None:
        if not self._closed:
            self._deliver(self._node, message)

    def _received(self, sender: str, body: bytes) -> None:
        message = envelope.decode(body)
        if message is None:
            # The tag is valid, so this is a message of a newer version that this node does not know.
            self.counters["dropped_unknown"] += 1
        elif not self._closed:
            self._deliver(sender, message)

    def _deliver(self, sender: str, message: Message) -> None:
        try:
            self._on_message(sender, message)  # type: ignore[arg-type]
        except Exception as error:
            # Prevents a message on which a core raises from closing the link, being requested again and closing it
            # again.
            self.counters["faults"] += 1
            self._log("fault", sender, f"{type(message).__name__}: {error!r}"[:500])

    def _log(self, event: str, peer: str, text: str) -> None:
        """Write a line, once a minute for each event and peer. A peer given here is authenticated, or empty."""
        ticks = self._outbound.ticks
        if ticks - self._logged.get((event, peer), -MINUTE_TICKS) >= MINUTE_TICKS:
            if len(self._logged) >= MAX_REMEMBERED_LINES:  # unlisted names come and go
                self._logged.clear()
            self._logged[event, peer] = ticks
            self._note(event, f"{peer}: {text}" if peer else text)

    # ---- Shutdown ----

    async def close(self) -> None:
        """Write what is queued, for `FLUSH_S` at most, and close all links. Idempotent."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        links = [*self._links.values(), *self._retired]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_S):
                while busy := [link for link in links if not link.empty or link.connection is not None]:
                    for link in busy:
                        link.flush()
                        if link.empty:
                            link.finish()
                    await asyncio.sleep(FLUSH_POLL_S)
        for link in links:
            link.close()
        self._listener.close()
        for sock in self._sockets:
            sock.close()
