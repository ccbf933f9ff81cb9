"""Connections to database servers: one request each, pooled by server, last used first.

A shell: it carries out attempts and checks and tells how each ended by the platform's table. What was not written
whole could not connect; what breaks later is a reset. A connection goes back to its pool only with nothing unread
and nothing not understood on it.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Marks, Stream, now_us, patience
from oatlink.interface import Outcome
from oatlink.platform.reply import Answer, ReplyReader, SpoiltError
from oatlink.protocols import pgwire as pg

CHUNK = 16_384  # bytes read at once
MOST_BUFFERED = 262_144  # bytes that wait to be read or written, of one connection
MOST_DIALS = 8  # at once to one server
IDLE_MARGIN = 0.1  # a connection is dropped by so much of its idle time before the server does
STARTUP = pg.make_startup({"user": "backend", "database": "store"}).encode()
CHECK = pg.make_query(b"SHOW health").encode()


class Job(Protocol):
    """One statement to be answered: an attempt or a check."""

    def bytes_now(self) -> bytes:
        """What to write."""
        ...

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """How it ended, once."""
        ...


@dataclass(slots=True)
class Wait:
    """A job without a connection yet."""

    job: Job
    since_us: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the settings and the descriptor budget allow."""

    dial_s: float
    idle_s: float
    connections: int


class Connection:
    """One connection, from its greeting to its end. Closing is idempotent; what is on it is told."""

    def __init__(self, pool: "Pool", stream: Stream) -> None:
        self.pool, self.stream = pool, stream
        self.reader = ReplyReader()
        self.job: Job | None = None
        self.written_at = 0  # bytes handed to the socket by which the job's statement is written whole
        self.idle_us = 0
        self.closed = False

    def give(self, job: Job) -> None:
        """Put a job on an idle connection."""
        self.job = job
        payload = job.bytes_now()
        self.written_at = self.stream.handed + len(payload)
        try:
            self.stream.write(payload)
        except StreamClosedError:
            self.close()

    async def greet(self) -> Answer | None:
        """Start up, until the server is ready; None where the connection ended."""
        try:
            await self.stream.write(STARTUP)
            while (answer := self.reader.feed(await self.stream.read_bytes(CHUNK, partial=True))) is None:
                pass
        except StreamClosedError:
            return self.reader.cut_short()
        except SpoiltError:
            return None
        return answer if not self.reader.pending else None

    def start(self) -> None:
        """Greeted: from now on it is read until it ends."""
        try:
            reading = self._read()
        except StreamClosedError:
            self.close()
            return
        self.pool.servers.keep(asyncio.ensure_future(self._run(reading)))

    def _read(self) -> Awaitable[bytes]:
        return self.stream.read_bytes(CHUNK, partial=True)

    async def _run(self, reading: Awaitable[bytes]) -> None:
        """Read until the connection ends: answers, and what comes unasked, which ends it."""
        try:
            while not self.closed:
                data = await reading
                if self.job is None:
                    break
                answer = self.reader.feed(data)
                if answer is not None and self.reader.pending:
                    self._end(answer.outcome, answer)
                    return
                at_us = self.stream.ready_us
                if answer is None:
                    reading = self._read()
                    continue
                # It reads again before its answer is told: what the answer sets off may use it, or see that it ended.
                try:
                    reading = self._read()
                except StreamClosedError:
                    self.close_quietly()
                job, self.job = self.job, None
                if not self.closed:
                    self.pool.freed(self)
                job.ended(answer.outcome, at_us, answer)
        except StreamClosedError:
            answer = self.reader.cut_short()
            if answer is not None and self.job is not None:
                self._end(answer.outcome, answer)
        except SpoiltError as problem:
            self.pool.note(f"spoilt answer: {problem}")
            self._end(Outcome.ERROR, None)
        self.close()

    def _end(self, outcome: Outcome, answer: Answer | None) -> None:
        self.close_quietly()
        job, self.job = self.job, None
        if job is not None:
            job.ended(outcome, now_us(), answer)

    def close_quietly(self) -> None:
        """Close, with nothing told of the job."""
        if not self.closed:
            self.closed = True
            self.stream.close()
            self.pool.lost(self)

    def close(self) -> None:
        """Close; a job on it could not connect, or was reset."""
        whole = self.stream.handed >= self.written_at
        self._end(Outcome.RESET if whole else Outcome.NO_CONNECTION, None)


class Pool:
    """The connections to one server."""

    def __init__(self, servers: "Servers", address: tuple[str, int]) -> None:
        self.servers, self.address = servers, address
        self.idle: list[Connection] = []
        self.busy: set[Connection] = set()
        self.waiting: deque[Wait] = deque()
        self.dialing = 0
        self.let_go = False  # the server has left the list, or has another address

    @property
    def open(self) -> int:
        """Descriptors held."""
        return len(self.idle) + len(self.busy) + self.dialing

    def note(self, text: str) -> None:
        """A line for the log."""
        self.servers.note(f"server {self.address[0]}:{self.address[1]}: {text}")

    def launch(self, job: Job) -> None:
        """Give a job to an idle connection, or have it wait for one."""
        if not self._give(job):
            self.waiting.append(Wait(job, now_us()))
            self._dial_more()

    def _give(self, job: Job) -> bool:
        while self.idle:
            connection = self.idle.pop()
            # Threat: a server that closes right behind an answer. A request written to it would be a reset.
            if connection.stream.at_rest():
                self.busy.add(connection)
                connection.give(job)
                return True
            connection.close_quietly()
        return False

    def abandon(self, job: Job) -> None:
        """Stop waiting for a job: its connection is closed at once, and nothing is told."""
        for connection in list(self.busy):
            if connection.job is job:
                connection.job = None
                connection.close_quietly()
                return
        self.waiting = deque(one for one in self.waiting if one.job is not job)

    def freed(self, connection: Connection) -> None:
        """A connection has nothing on it: the next that waits takes it, or it idles."""
        self.busy.discard(connection)
        if self.let_go and not self.waiting:
            connection.close_quietly()
            return
        connection.idle_us = now_us()
        self.idle.append(connection)
        if self.waiting:
            first = self.waiting.popleft()
            if not self._give(first.job):
                self.waiting.appendleft(first)

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

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
        while self.waiting and self.waiting[0].since_us <= limit_us:
            self.waiting.popleft().job.ended(Outcome.NO_CONNECTION, at_us, None)
        self._dial_more()

    def _dial_more(self) -> None:
        while self.dialing < min(len(self.waiting), MOST_DIALS) and self.servers.may_dial():
            self.dialing += 1
            self.servers.keep(asyncio.ensure_future(self._dial()))

    async def _dial(self) -> None:
        outcome: Outcome | None = Outcome.NO_CONNECTION
        everybody, problem = False, "ended at its greeting"
        connection: Connection | None = None
        try:
            async with patience(self.servers.bounds.dial_s):
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
        if connection is not None and outcome is None:
            connection.start()
            if not connection.closed:
                self.freed(connection)
        else:
            self.note(f"dial: {problem}")
            if connection is not None:
                connection.close_quietly()
            # Before any statement was written nothing can have run, whatever the greeting's error was.
            told = Outcome.FULL if outcome is Outcome.FULL else Outcome.NO_CONNECTION
            for _ in range(len(self.waiting) if everybody else 1):
                if self.waiting:
                    self.waiting.popleft().job.ended(told, now_us(), None)
        self._dial_more()

    async def _connect(self) -> Connection:
        host, port = self.address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        stream = Stream(
            socket.socket(family, socket.SOCK_STREAM),
            self.servers.marks,
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
    """All pools, by the member's local number."""

    def __init__(
        self, bounds: Bounds, marks: Marks, note: Callable[[str], None], keep: Callable[["asyncio.Future[None]"], None]
    ) -> None:
        self.bounds, self.marks, self.note, self.keep = bounds, marks, note, keep
        self._pools: dict[int, Pool] = {}
        self._leaving: list[Pool] = []

    def listed(self, number: int, address: tuple[str, int]) -> None:
        """A member's address, as discovery has it now."""
        pool = self._pools.get(number)
        if pool is not None and pool.address != address:
            self.gone(number)
            pool = None
        if pool is None:
            self._pools[number] = Pool(self, address)

    def gone(self, number: int) -> None:
        """A member has left: what is out there ends in its own time."""
        pool = self._pools.pop(number, None)
        if pool is not None:
            pool.let_go = True
            pool.drop_idle()
            if pool.open or pool.waiting:
                self._leaving.append(pool)

    def pool(self, number: int) -> Pool | None:
        """A member's connections, while it is listed."""
        return self._pools.get(number)

    def may_dial(self) -> bool:
        """Whether one more descriptor may be taken; the connection that idles longest makes room."""
        pools = [*self._pools.values(), *self._leaving]
        if sum(one.open for one in pools) < self.bounds.connections:
            return True
        idle = [one.idle[0] for one in pools if one.idle]
        if not idle:
            return False
        min(idle, key=lambda one: one.idle_us).close_quietly()
        return True

    @property
    def open(self) -> int:
        """Descriptors held."""
        return sum(one.open for one in [*self._pools.values(), *self._leaving])

    def sweep(self) -> None:
        """See to what has waited or idled for too long."""
        at_us = now_us()
        for pool in [*self._pools.values(), *self._leaving]:
            pool.sweep(at_us)
        self._leaving = [one for one in self._leaving if one.open or one.waiting]

    def close(self) -> None:
        """Close everything."""
        for pool in [*self._pools.values(), *self._leaving]:
            for connection in [*pool.idle, *pool.busy]:
                connection.close_quietly()
