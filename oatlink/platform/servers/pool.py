"""The connections to each database server: who waits for one, what is dialled, what idles.

A job waits here until a connection is free. It is asked again whether it may be written when its turn comes, and when
the list has said something of its server: what was decided before may hold no more.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Stream, TurnClock, now_us, timeout_excluding_stalls
from oatlink.interface import Outcome
from oatlink.platform.servers.connection import CHUNK, Connection, Job

MOST_BUFFERED = 262_144  # bytes that wait to be read or written, of one connection
MOST_DIALS = 8  # at once to one server
IDLE_MARGIN = 0.1  # a connection is dropped by so much of its idle time before the server does


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the settings and the descriptor budget allow."""

    dial_s: float
    idle_s: float
    connections: int


class Pool:
    """The connections to one server."""

    def __init__(self, servers: "Servers", number: int, address: tuple[str, int]) -> None:
        self.servers, self.number, self.address = servers, number, address
        self.idle: list[Connection] = []
        self.busy: dict[Job, Connection] = {}
        self.waiting: dict[Job, int] = {}  # without a connection yet, and since when; in order
        self.dialing = 0
        self.let_go = False  # the server has left the list, or has another address

    @property
    def open(self) -> int:
        """Descriptors held."""
        return len(self.idle) + len(self.busy) + self.dialing

    @property
    def is_used(self) -> bool:
        """Whether anything is here that has to be looked after."""
        return bool(self.idle or self.busy or self.waiting or self.dialing)

    def note(self, text: str) -> None:
        """A line for the log."""
        self.servers.note(f"server {self.address[0]}:{self.address[1]}: {text}")

    def keep(self, task: "asyncio.Future[None]") -> None:
        """See `Keeper`."""
        self.servers.keep(task)

    def launch(self, job: Job) -> None:
        """Write a job on an idle connection, or have it wait for one."""
        self.servers.used[self] = None
        if not self._give(job):
            self.waiting[job] = now_us()
            self._dial_more()

    def _give(self, job: Job) -> bool:
        """Write a job, if there is a connection for it; one that may be written no more is told so."""
        if not job.may_write():
            job.ended(Outcome.WITHDRAWN, now_us(), None)
            return True
        while self.idle:
            connection = self.idle.pop()
            # Threat: a server that closes right behind an answer. A request written to it would be a reset.
            if connection.stream.is_idle():
                self.busy[job], connection.bound = connection, job
                connection.give(job)
                return True
            connection.close_quietly()
        return False

    def abandon(self, job: Job) -> None:
        """Stop waiting for a job: its connection is closed at once, and nothing is told."""
        self.waiting.pop(job, None)
        connection = self.busy.pop(job, None)
        if connection is not None:
            connection.abandon()

    def freed(self, connection: Connection) -> None:
        """A connection has nothing on it: the next that waits takes it, or it idles."""
        self._unbind(connection)
        connection.idle_us = now_us()
        self.idle.append(connection)
        while self.waiting and self.idle:
            job, since_us = next(iter(self.waiting.items()))
            del self.waiting[job]
            if not self._give(job):
                self.waiting = {job: since_us, **self.waiting}

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""
        self._unbind(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def _unbind(self, connection: Connection) -> None:
        if connection.bound is not None:
            self.busy.pop(connection.bound, None)
            connection.bound = None

    def review(self) -> None:
        """The list has said something of the server: whoever waits and may not be written there any more is told."""
        for job in list(self.waiting):  # the question may end others that wait: those of a client that has gone
            if not job.may_write():
                self._withdraw(job)

    def leave(self) -> None:
        """The server has left, or is elsewhere: what is out ends in its own time, what waits is told at once."""
        self.let_go = True
        for connection in [*self.idle, *self.busy.values()]:
            connection.drain()
        for job in list(self.waiting):
            self._withdraw(job)

    def _withdraw(self, job: Job) -> None:
        if self.waiting.pop(job, None) is not None:
            job.ended(Outcome.WITHDRAWN, now_us(), None)

    def drop_idle(self) -> None:
        """Close all that has nothing on it."""
        for connection in list(self.idle):
            connection.close_quietly()

    def sweep(self, at_us: int) -> None:
        """Close what idles for too long; end what has waited for a connection longer than a dial may take."""
        oldest_us = at_us - round(self.servers.bounds.idle_s * (1 - IDLE_MARGIN) * 1e6)
        for connection in [one for one in self.idle if one.idle_us <= oldest_us]:
            connection.close_quietly()
        limit_us = at_us - round(self.servers.bounds.dial_s * 1e6)
        for job in [one for one, since_us in self.waiting.items() if since_us <= limit_us]:
            if self.waiting.pop(job, None) is not None:
                job.ended(Outcome.NO_CONNECTION, at_us, None)
        self._dial_more()

    def _dial_more(self) -> None:
        while self.dialing < min(len(self.waiting), MOST_DIALS) and self.servers.may_dial():
            self.dialing += 1
            self.keep(asyncio.ensure_future(self._dial()))

    async def _dial(self) -> None:
        """One more connection. Whoever waits then takes it, be it for whom it was dialled or not."""
        outcome: Outcome | None = Outcome.NO_CONNECTION
        everybody, problem = False, "ended at its greeting"
        connection: Connection | None = None
        try:
            async with timeout_excluding_stalls(self.servers.bounds.dial_s):
                connection = await self._connect()
                answer = await connection.greet()
                if answer is not None:
                    outcome = None if answer.outcome is Outcome.SERVED else answer.outcome
                    problem = f"turned away: {answer.sqlstate}"
        except TimeoutError:
            problem = "no connection in time"
        except (OSError, StreamClosedError) as error:
            everybody = True  # refused: nobody listens there, for nobody who waits
            problem = str(error) or type(error).__name__
        finally:
            self.dialing -= 1
        if connection is not None and outcome is None and not self.let_go:
            connection.start()
            if not connection.closed:
                self.freed(connection)
        else:
            if connection is not None:
                connection.close_quietly()
            if outcome is not None:
                self.note(f"dial: {problem}")
                self._not_up(outcome, everybody)
        self._dial_more()

    def _not_up(self, outcome: Outcome, everybody: bool) -> None:
        """A dial has failed: whoever waits longest is told, or all who wait."""
        # Before any statement was written nothing can have run, whatever the greeting's error was.
        told = Outcome.FULL if outcome is Outcome.FULL else Outcome.NO_CONNECTION
        for job in list(self.waiting)[: None if everybody else 1]:
            if self.waiting.pop(job, None) is not None:
                job.ended(told, now_us(), None)

    async def _connect(self) -> Connection:
        """A connection that has said nothing yet. Raises `OSError` or `StreamClosedError`."""
        host, port = self.address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        stream = Stream(
            socket.socket(family, socket.SOCK_STREAM),
            self.servers.turn_clock,
            max_buffer_size=MOST_BUFFERED,
            max_write_buffer_size=MOST_BUFFERED,
            read_chunk_size=CHUNK,
        )
        try:
            stream.set_nodelay(True)
            await stream.connect((host, port))
        except BaseException:
            stream.close()
            raise
        return Connection(self, stream)


class Servers:
    """All pools, by the member's local number.

    Threat: a list of thousands of members, walked ten times a second for the few that have something open. What is
    looked after are the pools in `used`: all that were given work and still hold any of it, listed or not.
    """

    def __init__(
        self,
        bounds: Bounds,
        turn_clock: TurnClock,
        note: Callable[[str], None],
        keep: Callable[["asyncio.Future[None]"], None],
    ) -> None:
        self.bounds, self.turn_clock, self.note, self.keep = bounds, turn_clock, note, keep
        self.used: dict[Pool, None] = {}
        self._pools: dict[int, Pool] = {}

    def listed(self, number: int, address: tuple[str, int]) -> None:
        """A member's address, as discovery has it now. Who waits at an old address is told once the new one stands."""
        pool = self._pools.get(number)
        if pool is None or pool.address != address:
            self._pools[number] = Pool(self, number, address)
            if pool is not None:
                pool.leave()

    def gone(self, number: int) -> None:
        """A member has left: what is out there ends in its own time."""
        pool = self._pools.pop(number, None)
        if pool is not None:
            pool.leave()

    def pool(self, number: int) -> Pool | None:
        """A member's connections, while it is listed."""
        return self._pools.get(number)

    def may_dial(self) -> bool:
        """Whether one more descriptor may be taken; the connection that idles longest makes room."""
        if self.open < self.bounds.connections:
            return True
        idle = [one.idle[0] for one in self.used if one.idle]
        if not idle:
            return False
        min(idle, key=lambda one: one.idle_us).close_quietly()
        return True

    @property
    def open(self) -> int:
        """Descriptors held."""
        return sum(one.open for one in self.used)

    def sweep(self) -> None:
        """See to what has waited or idled for too long."""
        at_us = now_us()
        for pool in list(self.used):
            pool.sweep(at_us)
            if not pool.is_used:
                del self.used[pool]

    def close(self) -> None:
        """Close everything."""
        for pool in list(self.used):
            for connection in [*pool.idle, *pool.busy.values()]:
                connection.close_quietly()
