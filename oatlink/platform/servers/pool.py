"""Connection pools, one per database server: waiting jobs, dials in progress and idle connections.

A job waits here until a connection is free. Whether it may be written is checked again when its turn comes, and
whenever discovery's list has an entry for its server, because the earlier decision may not hold any more.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Stream, TurnClock, now_us, timeout_excluding_stalls
from oatlink.interface import Outcome
from oatlink.platform.servers.connection import READ_CHUNK_BYTES, Connection, Job

MAX_BUFFERED_BYTES = 262_144  # per connection, of bytes that wait to be read, and of bytes that wait to be written
MAX_PARALLEL_DIALS = 8  # to one server
REST_S = 0.05  # after an answer of a server that ignores fences, for bytes that may follow it
IDLE_MARGIN = 0.1  # share of the idle time; a connection is closed this much earlier than the server would close it


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits from the settings and the descriptor budget."""

    dial_s: float
    idle_s: float
    max_connections: int


class Pool:
    """The connections to one server."""

    def __init__(self, servers: "Servers", number: int, address: tuple[str, int]) -> None:
        self.servers, self.number, self.address = servers, number, address
        self.idle: list[Connection] = []
        self.busy: dict[Job, Connection] = {}
        self.resting: dict[Connection, None] = {}
        self.waiting: dict[Job, int] = {}  # jobs without a connection, in order, and when each began to wait
        self.dialing = 0
        self.is_retired = False  # the server has left the list, or has another address

    @property
    def open_count(self) -> int:
        """Number of descriptors in use."""
        return len(self.idle) + len(self.resting) + len(self.busy) + self.dialing

    @property
    def connections(self) -> list[Connection]:
        """All established connections."""
        return [*self.idle, *self.resting, *self.busy.values()]

    @property
    def is_used(self) -> bool:
        """Whether the pool has connections, dials or waiting jobs that need sweeps."""
        return bool(self.idle or self.resting or self.busy or self.waiting or self.dialing)

    def note(self, text: str) -> None:
        """Write a line about this server to the log."""
        self.servers.note(f"server {self.address[0]}:{self.address[1]}: {text}")

    def track_task(self, task: "asyncio.Future[None]") -> None:
        """See `ConnectionOwner`."""
        self.servers.track_task(task)

    def launch(self, job: Job) -> None:
        """Write a job on an idle connection, or queue it until there is one."""
        self.servers.active[self] = None
        if not self._try_write(job):
            self.waiting[job] = now_us()
            self._dial_more()

    def _try_write(self, job: Job) -> bool:
        """Write a job or withdraw it if it may not be written any more. False if there is no connection for it."""
        if not job.may_write():
            job.ended(Outcome.WITHDRAWN, now_us(), None)
            return True
        while self.idle:
            connection = self.idle.pop()
            # A server may close a connection right after an answer; a request written to it would be reset.
            if connection.stream.is_idle():
                self.busy[job], connection.pool_job = connection, job
                connection.write_job(job)
                return True
            connection.close_quietly()
        return False

    def abandon(self, job: Job) -> None:
        """Stop waiting for a job: its connection is closed at once, and the job is not notified."""
        self.waiting.pop(job, None)
        connection = self.busy.pop(job, None)
        if connection is not None:
            connection.abandon()

    def connection_idle(self, connection: Connection) -> None:
        """Give a connection without a job to the next waiting job, or keep it idle; let it rest first if it has to."""
        self._unbind(connection)
        connection.idle_since_us = now_us()
        if connection.ignores_fences:
            self.resting[connection] = None
            asyncio.get_running_loop().call_later(REST_S, self._end_rest, connection)
        else:
            self._reuse(connection)

    def _end_rest(self, connection: Connection) -> None:
        if connection in self.resting:
            del self.resting[connection]
            self._reuse(connection)

    def _reuse(self, connection: Connection) -> None:
        self.idle.append(connection)
        while self.waiting and self.idle:
            job, since_us = next(iter(self.waiting.items()))
            del self.waiting[job]
            if not self._try_write(job):
                self.waiting = {job: since_us, **self.waiting}

    def connection_closed(self, connection: Connection) -> None:
        """Forget a connection that has closed."""
        self._unbind(connection)
        self.resting.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)

    def _unbind(self, connection: Connection) -> None:
        if connection.pool_job is not None:
            self.busy.pop(connection.pool_job, None)
            connection.pool_job = None

    def recheck_waiting(self) -> None:
        """Withdraw waiting jobs that may not be written any more; called when discovery has listed the server."""
        for job in list(self.waiting):  # the check may end other waiting jobs: those of a client that has left
            if not job.may_write():
                self._withdraw(job)

    def retire(self) -> None:
        """Withdraw waiting jobs at once and let running ones end in their own time: the server has left or moved."""
        self.is_retired = True
        for connection in self.connections:
            connection.drain()
        for job in list(self.waiting):
            self._withdraw(job)

    def _withdraw(self, job: Job) -> None:
        if self.waiting.pop(job, None) is not None:
            job.ended(Outcome.WITHDRAWN, now_us(), None)

    def drop_idle(self) -> None:
        """Close all idle connections."""
        for connection in [*self.idle, *self.resting]:
            connection.close_quietly()

    def sweep(self, at_us: int) -> None:
        """Close connections that idle for too long; end jobs that wait longer for a connection than a dial may take."""
        oldest_us = at_us - round(self.servers.bounds.idle_s * (1 - IDLE_MARGIN) * 1e6)
        for connection in [each for each in self.idle if each.idle_since_us <= oldest_us]:
            connection.close_quietly()
        limit_us = at_us - round(self.servers.bounds.dial_s * 1e6)
        for job in [each for each, since_us in self.waiting.items() if since_us <= limit_us]:
            if self.waiting.pop(job, None) is not None:
                job.ended(Outcome.NO_CONNECTION, at_us, None)
        self._dial_more()

    def _dial_more(self) -> None:
        while self.dialing < min(len(self.waiting), MAX_PARALLEL_DIALS) and self.servers.may_dial():
            self.dialing += 1
            self.track_task(asyncio.ensure_future(self._dial()))

    async def _dial(self) -> None:
        """Open one more connection. The job that has waited longest takes it, whichever it was dialled for."""
        outcome: Outcome | None = Outcome.NO_CONNECTION
        fails_all, problem = False, "connection ended during the handshake"
        connection: Connection | None = None
        try:
            async with timeout_excluding_stalls(self.servers.bounds.dial_s):
                connection = await self._connect()
                answer = await connection.handshake()
                if answer is not None:
                    outcome = None if answer.outcome is Outcome.SERVED else answer.outcome
                    problem = f"refused by the server: SQLSTATE {answer.sqlstate}"
        except TimeoutError:
            problem = "no connection in time"
        except (OSError, StreamClosedError) as error:
            fails_all = True  # refused: nothing listens there, so no waiting job can get a connection
            problem = str(error) or type(error).__name__
        finally:
            self.dialing -= 1
        if connection is not None and outcome is None and not self.is_retired:
            connection.start_reading()
            if not connection.closed:
                self.connection_idle(connection)
        else:
            if connection is not None:
                connection.close_quietly()
            if outcome is not None:
                self.note(f"dial: {problem}")
                self._end_waiting(outcome, fails_all)
        self._dial_more()

    def _end_waiting(self, outcome: Outcome, fails_all: bool) -> None:
        """End the job that has waited longest, or all waiting jobs, after a dial has failed."""
        # Nothing can have run before a statement was written, whatever error the handshake brought.
        reported = Outcome.FULL if outcome is Outcome.FULL else Outcome.NO_CONNECTION
        for job in list(self.waiting)[: None if fails_all else 1]:
            if self.waiting.pop(job, None) is not None:
                job.ended(reported, now_us(), None)

    async def _connect(self) -> Connection:
        """Open a connection without the handshake. Raises `OSError` or `StreamClosedError`."""
        host, port = self.address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        stream = Stream(
            socket.socket(family, socket.SOCK_STREAM),
            self.servers.turn_clock,
            max_buffer_size=MAX_BUFFERED_BYTES,
            max_write_buffer_size=MAX_BUFFERED_BYTES,
            read_chunk_size=READ_CHUNK_BYTES,
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

    Sweeps visit only the pools in `active`: all that were given work and still have any of it, listed or not. This
    prevents walking a list of thousands of members ten times a second for the few that have something open.
    """

    def __init__(
        self,
        bounds: Bounds,
        turn_clock: TurnClock,
        note: Callable[[str], None],
        track_task: Callable[["asyncio.Future[None]"], None],
    ) -> None:
        self.bounds, self.turn_clock, self.note, self.track_task = bounds, turn_clock, note, track_task
        self.active: dict[Pool, None] = {}
        self._pools: dict[int, Pool] = {}

    def set_address(self, number: int, address: tuple[str, int]) -> None:
        """Set a member's current address. Jobs that wait at an old one are withdrawn after the new one is set."""
        pool = self._pools.get(number)
        if pool is None or pool.address != address:
            self._pools[number] = Pool(self, number, address)
            if pool is not None:
                pool.retire()

    def remove(self, number: int) -> None:
        """Remove a member that has left; its running jobs end in their own time."""
        pool = self._pools.pop(number, None)
        if pool is not None:
            pool.retire()

    def pool(self, number: int) -> Pool | None:
        """Return a member's pool; None if it is not listed."""
        return self._pools.get(number)

    def may_dial(self) -> bool:
        """Whether one more descriptor may be used. At the limit, closes the connection that has idled longest."""
        if self.open_count < self.bounds.max_connections:
            return True
        idle = [pool.idle[0] for pool in self.active if pool.idle]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since_us).close_quietly()
        return True

    @property
    def open_count(self) -> int:
        """Number of descriptors in use."""
        return sum(pool.open_count for pool in self.active)

    def sweep(self) -> None:
        """End what has waited or idled for too long, and stop visiting pools without work."""
        at_us = now_us()
        for pool in list(self.active):
            pool.sweep(at_us)
            if not pool.is_used:
                del self.active[pool]

    def close(self) -> None:
        """Close all connections."""
        for pool in list(self.active):
            for connection in pool.connections:
                connection.close_quietly()
