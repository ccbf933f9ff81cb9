"""The gateway: client listeners, the engine, the links to boxes, and the clock.

It carries out the decisions of the engine and makes none.
"""

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
from oatlink.core.paths import addresses_of
from oatlink.core.snapshot import take_snapshot
from oatlink.gateway.clients import Client, accept_queued, discard_input
from oatlink.gateway.clock import Stream, TurnClock, machine_sleep_us, now_us
from oatlink.gateway.links import Flushable, FlushBatch, GatewayInterface, Link, consume_write_error
from oatlink.gateway.listeners import boxes_of
from oatlink.gateway.metrics import Metrics
from oatlink.gateway.notes import Notes
from oatlink.gateway.reading import read_commands
from oatlink.gateway.recorder import RecordingManager, start_engine, write_snapshot
from oatlink.native import code_kind
from oatlink.protocols.resp import Limits, ProtocolError, error
from oatlink.settings.model import Settings
from oatlink.transport.ending import LINGER_S, Ending
from oatlink.transport.turns import InputTurns

MIN_SLEPT_US = 10_000  # smaller differences are the inaccuracy of reading two clocks
MAX_ENDING_CONNECTIONS = 256  # connections that have had their last answer; beyond this, the oldest are closed at once
SWEEP_INTERVAL_MS = 1_000


class FleetEffects(Protocol):
    """What a gateway needs of its connection to the fleet (`oatlink.gateway.fleet`)."""

    def execute(self, effect: m.QueryFleet | m.FleetCommand | m.ReportEvidence | m.PublishRoster) -> None:
        """Carry out an effect of the engine that is for the fleet."""


class Gateway(GatewayInterface):
    """One gateway in one process."""

    def __init__(self, settings: Settings, notes: Notes | None = None) -> None:
        self.settings = settings
        self.now = now_us
        self.turn_clock = TurnClock()
        self.input_turns = InputTurns(self.turn_clock)
        self.notes = notes or Notes(settings.logs)
        began_us = now_us()
        self.engine = start_engine(settings, began_us, lambda text: self.notes.note("snapshot", text))
        self.metrics = Metrics(self.engine.path_rows)
        self._snapshot_us = began_us
        self._recording = RecordingManager(
            settings, self.engine, began_us, lambda text: self.notes.note("recording", text)
        )
        limits = settings.limits
        self._limits = Limits(limits.bulk_bytes, limits.message_bytes, limits.items)
        self._clients: dict[int, Client] = {}
        self._hanging_up: dict[Client, None] = {}  # connections that the engine closes, until they have ended
        # Connections that have had their last answer; they do not count towards the limit of clients.
        self._ending: dict[Ending, None] = {}
        self._last_client = 0
        self._links: dict[str, Link] = {}
        self._inputs: deque[m.AnyInput] = deque()
        self._is_handling_inputs = False
        self._now_us = began_us  # of the newest input
        self._slept_us = machine_sleep_us()
        self._batch = FlushBatch(self._flush)
        self._connections_to_flush: list[Flushable] = []
        self._clients_to_flush: list[Client] = []
        self._wake_timer: object | None = None
        self._remove_accept_handlers: list[object] = []
        self._listeners: list[tuple[socket.socket, Callable[[socket.socket, object], None]]] = []
        self._sweeper = PeriodicCallback(self._sweep, SWEEP_INTERVAL_MS)
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_stopping = False
        self.fleet: FleetEffects | None = None

    # ---- Start, roster, settings and stop ----

    def start(self, sockets: list[socket.socket], admin: list[socket.socket] | None = None) -> None:
        """Serve on bound sockets, with the roster of the settings; `admin` sockets are for operators."""
        self._listeners = [(sock, self._accept) for sock in sockets]
        self._listeners += [(sock, partial(self._accept, admin=True)) for sock in admin or ()]
        self.feed(m.Started(code_kind()))
        self.apply_roster(boxes_of(self.settings))
        for sock, accept in self._listeners:
            self._remove_accept_handlers.append(add_accept_handler(sock, accept))
        self._sweeper.start()

    def apply_roster(self, boxes: tuple[m.Box, ...]) -> None:
        """Use a new roster."""
        removed_links = []
        for box in boxes:
            link, paths = self._links.get(box.name), tuple(addresses_of(box))
            if link is not None and not any(path.address in link.paths for path in paths):
                link.stop_dialling()
                removed_links.append(link)
                link = None
            if link is None:
                self._links[box.name] = Link(box.name, paths, self.settings.links, self._limits, self)
            elif tuple(link.paths.values()) != paths:
                link.set_paths(paths)
        self.feed(m.RosterListed(boxes))
        names = {box.name for box in boxes}
        removed_links += [self._links.pop(name) for name in [name for name in self._links if name not in names]]
        # Removed links are closed only after the engine has the new roster: requests that end with a link are sent
        # again at once, and before that they would go to the same link.
        for link in removed_links:
            link.close()
        self._review()

    def _review(self) -> None:
        """Withdraw waiting requests that may not be written any more, after a change that they depend on."""
        with self._batch:
            for link in list(self._links.values()):
                link.review()

    def reload(self, settings: Settings) -> None:
        """Use other settings, to which `core.reload` has no objection."""
        self.settings = settings
        for link in self._links.values():
            link.reload(settings.links)
        self.feed(m.Reloaded(settings))
        if not settings.roster_file:
            self.apply_roster(boxes_of(settings))

    async def stop(self) -> None:
        """Accept nothing new, let pending requests end within `drain_ms`, then close everything."""
        if self.is_stopping:
            return
        self.is_stopping = True
        for remove in self._remove_accept_handlers:
            remove()  # type: ignore[operator]
        for sock, accept in self._listeners:
            accept_queued(sock, accept)
            sock.close()
        self.feed(m.Draining())
        drain_deadline_s = time.monotonic() + self.settings.drain_ms / 1000
        while not self.engine.idle and time.monotonic() < drain_deadline_s:
            await asyncio.sleep(0.01)
        self._sweeper.stop()
        self._write_snapshot_if_older(0)
        await self._end_clients(drain_deadline_s)
        for link in self._links.values():
            link.close()
        if self._wake_timer is not None:
            IOLoop.current().remove_timeout(self._wake_timer)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
        self._recording.close()

    async def _end_clients(self, drain_deadline_s: float) -> None:
        """End each client's connection once it has its answers; after the deadline, answers are not waited for."""
        for client in self._clients.values():
            client.ending.drain()
            client.wake()
        # An `Ending` takes no longer than this; the limit here keeps this loop from depending on it.
        last_s = drain_deadline_s + 2 * LINGER_S + 0.5
        while (self._clients or self._ending) and time.monotonic() < last_s:
            for client in [*self._clients.values(), *self._hanging_up]:
                client.is_given_up = client.is_given_up or time.monotonic() >= drain_deadline_s
                client.ending.settle()
            for ending in list(self._ending):
                ending.settle()
            await asyncio.sleep(0.01)
        for ending in [*(client.ending for client in self._clients.values()), *self._ending]:
            ending.close()

    @property
    def is_probing(self) -> bool:
        """Whether the answer to a probe is awaited."""
        return any(link.is_probing for link in self._links.values())

    def _sweep(self) -> None:
        slept = machine_sleep_us()
        if slept - self._slept_us > MIN_SLEPT_US:
            self.feed(m.ClockStalled())
        self._slept_us = slept
        with self.batch():
            for link in self._links.values():
                link.sweep()
        write_timeout_us = self.settings.limits.client_write_timeout_ms * 1_000
        for client in [client for client in self._hanging_up if now_us() - client.hangup_us > write_timeout_us]:
            client.is_given_up = True
            client.ending.settle()
        self._recording.flush()
        self.metrics.merge()
        self._write_snapshot_if_older(self.settings.snapshot_every_ms * 1000)

    def _write_snapshot_if_older(self, age_us: int) -> None:
        """Write the engine's state, unless the last snapshot is younger than this."""
        if self.settings.snapshot_file and now_us() - self._snapshot_us >= age_us:
            self._snapshot_us = now_us()
            data = take_snapshot(self.engine, self._snapshot_us)
            write_snapshot(self.settings.snapshot_file, data, lambda text: self.notes.note("snapshot", text))

    # ---- The engine ----

    def batch(self) -> FlushBatch:
        """See `GatewayInterface.batch`."""
        return self._batch

    def report_fault(self, text: str) -> None:
        """See `GatewayInterface.report_fault`."""
        self.notes.note("fault", text)

    def may_write(self, send: m.Send) -> bool:
        """See `GatewayInterface.may_write`."""
        return self.engine.may_write(send.request, send.attempt, now_us())

    def schedule_flush(self, connection: Flushable) -> None:
        """See `GatewayInterface.schedule_flush`."""
        self._connections_to_flush.append(connection)

    def feed(self, event: m.AnyInput, /) -> None:
        """Hand the engine an input and carry out its effects; inputs that arise meanwhile follow in order."""
        self._inputs.append(event)
        if self._is_handling_inputs:
            return
        self._is_handling_inputs = True
        with self._batch:
            try:
                while self._inputs:
                    next_event, at_us = self._inputs.popleft(), now_us()
                    self._now_us = at_us
                    effects = self.engine.handle(next_event, at_us)
                    if self._recording.is_on:
                        self._recording.add(at_us, next_event, effects)
                    for effect in effects:
                        self._execute(effect)
            finally:
                self._is_handling_inputs = False

    def _execute(self, effect: m.AnyEffect) -> None:
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
            if self._wake_timer is not None:
                loop.remove_timeout(self._wake_timer)
            self._wake_timer = loop.call_later(max(0.0, (effect.at_us - now_us()) / 1e6), self._wake_timer_fired)
        elif isinstance(effect, m.Probe | m.Dial | m.Use | m.Discard | m.NoPath | m.ClosePath | m.DropIdle | m.Release):
            link = self._links.get(effect.box)
            if link is not None:
                link.execute(effect)
            elif isinstance(effect, m.Dial):
                self.feed(m.Dialled(effect.box, effect.dial, effect.address, "refused", now_us(), 0))
        elif isinstance(effect, m.Pause):
            client = self._clients.get(effect.client)
            if client is not None:
                client.pause_began_us = now_us()
                client.paused_until_us = max(client.paused_until_us, effect.until_us)
        elif isinstance(effect, m.Record):
            is_done, text = self._recording.execute(effect.word, self._now_us)
            self.feed(m.Recorded(effect.client, text, is_done))
        elif isinstance(effect, m.QueryFleet | m.FleetCommand | m.ReportEvidence | m.PublishRoster):
            if self.fleet is not None:
                self.fleet.execute(effect)
            elif isinstance(effect, m.FleetCommand):
                self.feed(m.FleetReplied(effect.client, "the fleet has not begun"))
        elif isinstance(effect, m.Hangup):
            client = self._clients.get(effect.client)
            if client is not None:
                client.hangup_us = now_us()
                self._clients_to_flush.append(client)
        else:
            self.notes.note(effect.event, effect.text)

    def _wake_timer_fired(self) -> None:
        self._wake_timer = None
        self.feed(m.Ticked())

    def _flush(self) -> None:
        while self._connections_to_flush or self._clients_to_flush:
            connections, self._connections_to_flush = self._connections_to_flush, []
            for connection in connections:
                connection.flush()
            clients, self._clients_to_flush = self._clients_to_flush, []
            for client in clients:
                self._write(client)

    # ---- Clients ----

    def _accept(self, sock: socket.socket, address: object, admin: bool = False) -> None:
        max_unsent_bytes = self.settings.limits.client_output_bytes
        stream = Stream(sock, self.turn_clock, max_buffer_size=1 << 30, max_write_buffer_size=max_unsent_bytes)
        if len(self._clients) >= self.settings.limits.clients:
            self._refuse(stream)
            return
        if sock.family != socket.AF_UNIX:
            stream.set_nodelay(True)
        self._last_client += 1
        client = Client(self._last_client, stream, self._on_client_ended)
        self._clients[client.number] = client
        peer = f"{address[0]}:{address[1]}" if isinstance(address, tuple) else "unix"
        self.feed(m.Opened(client.number, peer, admin))
        self._spawn(self._serve(client))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refuse(self, stream: Stream) -> None:
        """Refuse a connection above the limit of clients.

        Prevents the refusal from being lost when the connection is closed while bytes of the client are still unread.
        """
        ending = Ending(stream, lambda: False, lambda: self._ending.pop(ending, None))
        written = stream.write(error("ERR max number of clients reached"))
        written.add_done_callback(consume_write_error)
        written.add_done_callback(lambda _: ending.settle())
        self._add_ending(ending)
        ending.drain(ignores_input=True)
        self._spawn(discard_input(stream, ending))

    def _on_client_ended(self, client: Client) -> None:
        self._hanging_up.pop(client, None)
        self._ending.pop(client.ending, None)

    def _add_ending(self, ending: Ending) -> None:
        """Track an ending connection. Prevents peers that never close their side from using up all descriptors."""
        self._ending[ending] = None
        if len(self._ending) > MAX_ENDING_CONNECTIONS and not self.is_stopping:
            next(iter(self._ending)).close()

    async def _serve(self, client: Client) -> None:
        """Read a client's commands until it leaves, breaks the protocol or does not take its answers."""
        try:
            await read_commands(client, self._limits, self.settings.limits, self)
            await discard_input(client.stream, client.ending)  # what comes behind its last answer
        except ProtocolError as problem:
            self.feed(m.ProtocolViolated(client.number, str(problem)))
            await discard_input(client.stream, client.ending)  # the answers before the error are still to be written
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
        if not client.outgoing:
            self._clients_to_flush.append(client)
        client.outgoing.append(effect.data)
        if client.is_pipeline_full and client.unanswered < self.settings.limits.client_pipeline:
            client.wake()

    def _write(self, client: Client) -> None:
        if not client.write():
            self.notes.note("client", f"{client.number} disconnected: it does not read its answers")
        if client.hangup_us and client.ending.accepts_requests:
            self._clients.pop(client.number, None)
            self._hanging_up[client] = None
            self._add_ending(client.ending)
            client.ending.drain(ignores_input=True)
            client.wake()
