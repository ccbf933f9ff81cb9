"""The gateway: client listeners, the engine, the links to boxes, and the clock. It carries out and decides nothing."""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Protocol

from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler

from oatlink.core import messages as m
from oatlink.core.snapshot import take
from oatlink.core.ways import ways_of
from oatlink.gateway.clients import Client, accept_rest, discard
from oatlink.gateway.clock import Marks, Stream, now_us, slept_us
from oatlink.gateway.links import Flushed, Link, Shell, Turn, swallow
from oatlink.gateway.listeners import boxes_of
from oatlink.gateway.metrics import Metrics
from oatlink.gateway.notes import Notes
from oatlink.gateway.reading import read
from oatlink.gateway.recorder import Tape, start_engine, write_snapshot
from oatlink.native import code
from oatlink.protocols.resp import Limits, ProtocolError, error
from oatlink.settings.model import Settings
from oatlink.transport.ending import LINGER_S, Ending

SLEPT_US = 10_000  # less than that is how exactly two clocks are read
MOST_ENDING = 256  # connections that have had their last answer; past that the oldest are closed at once


class FleetSeat(Protocol):
    """What a gateway needs of its seat in a fleet (`gateway.fleet`)."""

    def carry(self, effect: m.QueryFleet | m.FleetCommand | m.ReportEvidence | m.PublishRoster) -> None:
        """Do what the engine asks of the fleet."""


class Gateway(Shell):
    """One gateway in one process."""

    def __init__(self, settings: Settings, notes: Notes | None = None) -> None:
        self.settings = settings
        self.now = now_us
        self.marks = Marks()
        self.notes = notes or Notes(settings.logs)
        began_us = now_us()
        self.engine = start_engine(settings, began_us, lambda text: self.notes.note("snapshot", text))
        self.metrics = Metrics(self.engine.path_rows)
        self._snapshot_us = began_us
        self._tape = Tape(settings, self.engine, began_us, lambda text: self.notes.note("recording", text))
        limits = settings.limits
        self._limits = Limits(limits.bulk_bytes, limits.message_bytes, limits.items)
        self._clients: dict[int, Client] = {}
        self._hung: dict[Client, None] = {}  # are written their last answer, or take it
        self._ending: dict[Ending, None] = {}  # have had their last answer: they take no client's place
        self._last_client = 0
        self._links: dict[str, Link] = {}
        self._inputs: deque[m.AnyInput] = deque()
        self._running = False
        self._now_us = began_us  # of the newest input
        self._slept_us = slept_us()
        self._turn = Turn(self._flush)
        self._dirty_links: list[Flushed] = []
        self._dirty_clients: list[Client] = []
        self._wake: object | None = None
        self._removers: list[object] = []
        self._listeners: list[tuple[socket.socket, Callable[[socket.socket, object], None]]] = []
        self._sweeper = PeriodicCallback(self._sweep, 1000)
        self._tasks: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.fleet: FleetSeat | None = None

    # ---- Life ----

    def start(self, sockets: list[socket.socket], admin: list[socket.socket] | None = None) -> None:
        """Serve on bound sockets, with the roster of the settings; `admin` ones are for operators."""
        self._listeners = [(one, self._accept) for one in sockets]
        self._listeners += [(one, partial(self._accept, admin=True)) for one in admin or ()]
        self.feed(m.Started(code()))
        self.list(boxes_of(self.settings))
        for sock, accept in self._listeners:
            self._removers.append(add_accept_handler(sock, accept))
        self._sweeper.start()

    def list(self, boxes: tuple[m.Box, ...]) -> None:
        """Discovery has spoken."""
        left = []
        for box in boxes:
            link, ways = self._links.get(box.name), tuple(ways_of(box))
            if link is not None and not any(one.address in link.ways for one in ways):
                link.leave()
                left.append(link)
                link = None
            if link is None:
                self._links[box.name] = Link(box.name, ways, self.settings.links, self._limits, self)
            elif tuple(link.ways.values()) != ways:
                link.relist(ways)
        self.feed(m.RosterListed(boxes))
        named = {box.name for box in boxes}
        left += [self._links.pop(name) for name in [one for one in self._links if one not in named]]
        # Threat: what ends with an old link is sent again at once, to the same link while the list is not known.
        for link in left:
            link.close()
        self._review()

    def _review(self) -> None:
        """Something has changed that waiting requests were sent by: what may be written no more is told."""
        with self._turn:
            for link in list(self._links.values()):
                link.review()

    def reload(self, settings: Settings) -> None:
        """Use other settings, to which `core.reload` has no objection."""
        self.settings = settings
        for link in self._links.values():
            link.reload(settings.links)
        self.feed(m.Reloaded(settings))
        if not settings.roster_file:
            self.list(boxes_of(settings))

    async def stop(self) -> None:
        """Take nothing new, let what is held end within `drain_ms`, close everything."""
        if self.stopping:
            return
        self.stopping = True
        for remove in self._removers:
            remove()  # type: ignore[operator]
        for sock, accept in self._listeners:
            accept_rest(sock, accept)
            sock.close()
        self.feed(m.Draining())
        end = time.monotonic() + self.settings.drain_ms / 1000
        while not self.engine.idle and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self._sweeper.stop()
        self._snapshot(0)
        await self._end_clients(end)
        for link in self._links.values():
            link.close()
        if self._wake is not None:
            IOLoop.current().remove_timeout(self._wake)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
        self._tape.close()

    async def _end_clients(self, end: float) -> None:
        """End each client's connection once it owes nothing; what is still owed at `end` is given up."""
        for client in self._clients.values():
            client.ending.drain()
            client.wake()
        last = end + 2 * LINGER_S + 0.5  # an `Ending` takes no longer; this loop must not depend on it
        while (self._clients or self._ending) and time.monotonic() < last:
            for client in [*self._clients.values(), *self._hung]:
                client.given_up = client.given_up or time.monotonic() >= end
                client.ending.settle()
            for one in list(self._ending):
                one.settle()
            await asyncio.sleep(0.01)
        for one in [*(client.ending for client in self._clients.values()), *self._ending]:
            one.close()

    @property
    def probing(self) -> bool:
        """Whether the answer to a probe is awaited."""
        return any(link.probing for link in self._links.values())

    def _sweep(self) -> None:
        slept = slept_us()
        if slept - self._slept_us > SLEPT_US:
            self.feed(m.ClockStalled())
        self._slept_us = slept
        with self.turn():
            for link in self._links.values():
                link.sweep()
        patience_us = self.settings.limits.client_write_timeout_ms * 1_000
        for client in [one for one in self._hung if now_us() - one.hung_us > patience_us]:
            client.given_up = True
            client.ending.settle()
        self._tape.flush()
        self.metrics.fold()
        self._snapshot(self.settings.snapshot_every_ms * 1000)

    def _snapshot(self, after_us: int) -> None:
        """Write the engine's state, unless the last one is younger."""
        if self.settings.snapshot_file and now_us() - self._snapshot_us >= after_us:
            self._snapshot_us = now_us()
            data = take(self.engine, self._snapshot_us)
            write_snapshot(self.settings.snapshot_file, data, lambda text: self.notes.note("snapshot", text))

    # ---- The engine ----

    def turn(self) -> Turn:
        """See `Shell.turn`."""
        return self._turn

    def wrong(self, text: str) -> None:
        """See `Shell.wrong`."""
        self.notes.note("fault", text)

    def may_write(self, send: m.Send) -> bool:
        """See `Shell.may_write`."""
        return self.engine.may_write(send.request, send.attempt, now_us())

    def dirty(self, connection: Flushed) -> None:
        """See `Shell.dirty`."""
        self._dirty_links.append(connection)

    def feed(self, given: m.AnyInput) -> None:
        """Hand the engine an input and carry out what it answers; inputs that arise meanwhile follow in order."""
        self._inputs.append(given)
        if self._running:
            return
        self._running = True
        with self._turn:
            try:
                while self._inputs:
                    one, at_us = self._inputs.popleft(), now_us()
                    self._now_us = at_us
                    effects = self.engine.handle(one, at_us)
                    if self._tape.on:
                        self._tape.add(at_us, one, effects)
                    for effect in effects:
                        self._do(effect)
            finally:
                self._running = False

    def _do(self, effect: m.AnyEffect) -> None:
        if isinstance(effect, m.Send):
            link = self._links.get(effect.box)
            if link is None:
                self.feed(m.Ended(effect.request, effect.attempt, effect.box, "refused", 0, now_us()))
            else:
                link.send(effect)
        elif isinstance(effect, m.Answer):
            self._answer(effect)
        elif isinstance(effect, m.Counted):
            self.metrics.count(effect)
        elif isinstance(effect, m.Wake):
            loop = IOLoop.current()
            if self._wake is not None:
                loop.remove_timeout(self._wake)
            self._wake = loop.call_later(max(0.0, (effect.at_us - now_us()) / 1e6), self._woken)
        elif isinstance(effect, m.Probe | m.Dial | m.Use | m.Discard | m.NoPath | m.ClosePath | m.DropIdle | m.Release):
            link = self._links.get(effect.box)
            if link is not None:
                link.carry_out(effect)
            elif isinstance(effect, m.Dial):
                self.feed(m.Dialled(effect.box, effect.dial, effect.address, "refused", now_us(), 0))
        elif isinstance(effect, m.Pause):
            client = self._clients.get(effect.client)
            if client is not None:
                client.refused_us = now_us()
                client.paused_until_us = max(client.paused_until_us, effect.until_us)
        elif isinstance(effect, m.Record):
            done, text = self._tape.do(effect.word, self._now_us)
            self.feed(m.Recorded(effect.client, text, done))
        elif isinstance(effect, m.QueryFleet | m.FleetCommand | m.ReportEvidence | m.PublishRoster):
            if self.fleet is not None:
                self.fleet.carry(effect)
            elif isinstance(effect, m.FleetCommand):
                self.feed(m.FleetReplied(effect.client, "the fleet has not begun"))
        elif isinstance(effect, m.Hangup):
            client = self._clients.get(effect.client)
            if client is not None:
                client.hung_us = now_us()
                self._dirty_clients.append(client)
        else:
            self.notes.note(effect.event, effect.text)

    def _woken(self) -> None:
        self._wake = None
        self.feed(m.Ticked())

    def _flush(self) -> None:
        while self._dirty_links or self._dirty_clients:
            links, self._dirty_links = self._dirty_links, []
            for connection in links:
                connection.flush()
            clients, self._dirty_clients = self._dirty_clients, []
            for client in clients:
                self._write(client)

    # ---- Clients ----

    def _accept(self, sock: socket.socket, address: object, admin: bool = False) -> None:
        most_unsent = self.settings.limits.client_output_bytes
        stream = Stream(sock, self.marks, max_buffer_size=1 << 30, max_write_buffer_size=most_unsent)
        if len(self._clients) >= self.settings.limits.clients:
            self._turn_away(stream)
            return
        if sock.family != socket.AF_UNIX:
            stream.set_nodelay(True)
        self._last_client += 1
        client = Client(self._last_client, stream, self._ended)
        self._clients[client.number] = client
        peer = f"{address[0]}:{address[1]}" if isinstance(address, tuple) else "unix"
        self.feed(m.Opened(client.number, peer, admin))
        self._keep(self._serve(client))

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _turn_away(self, stream: Stream) -> None:
        """One connection too many. Threat: a close over what it has sent already takes the refusal with it."""
        ending = Ending(stream, lambda: False, lambda: self._ending.pop(ending, None))
        written = stream.write(error("ERR max number of clients reached"))
        written.add_done_callback(swallow)
        written.add_done_callback(lambda _: ending.settle())
        self._begin_to_end(ending)
        ending.drain(is_deaf=True)
        self._keep(discard(stream, ending))

    def _ended(self, client: Client) -> None:
        self._hung.pop(client, None)
        self._ending.pop(client.ending, None)

    def _begin_to_end(self, ending: Ending) -> None:
        """Threat: peers that never end their side hold all descriptors."""
        self._ending[ending] = None
        if len(self._ending) > MOST_ENDING and not self.stopping:
            next(iter(self._ending)).close()

    async def _serve(self, client: Client) -> None:
        """Read a client's commands until it leaves, breaks the protocol or does not take its answers."""
        try:
            await read(client, self._limits, self.settings.limits, self)
            await discard(client.stream, client.ending)  # behind its last answer
        except ProtocolError as problem:
            self.feed(m.ProtocolViolated(client.number, str(problem)))
            await discard(client.stream, client.ending)  # the answers before the error are still owed
        except (StreamClosedError, TimeoutError):
            pass
        finally:
            client.ending.close()
            self._clients.pop(client.number, None)
            self.feed(m.Closed(client.number))
            if client.unanswered:
                self._review()

    def _answer(self, effect: m.Answer) -> None:
        client = self._clients.get(effect.client)
        if client is None:
            return
        client.unanswered -= effect.done
        if not client.out:
            self._dirty_clients.append(client)
        client.out.append(effect.data)
        if client.lacks_room and client.unanswered < self.settings.limits.client_pipeline:
            client.wake()

    def _write(self, client: Client) -> None:
        if not client.write():
            self.notes.note("client", f"{client.number} cut off: it does not take its answers")
        if client.hung_us and client.ending.may_take:
            self._clients.pop(client.number, None)
            self._hung[client] = None
            self._begin_to_end(client.ending)
            client.ending.drain(is_deaf=True)
            client.wake()
