"""Hand-over of a request to a connection of a server: what happens between the decision and the write."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from oatlink.gateway.clock import TurnClock, now_us
from oatlink.interface import Outcome
from oatlink.platform.reply import Answer
from oatlink.platform.servers import Bounds, Pool, Servers
from oatlink.protocols import pgwire as pg
from tests.platform_world import EMPTY, PATIENCE_S, READY, Server
from tests.scenes import scene

QUERY = pg.make_query(b"SELECT content FROM kv WHERE name = '7f3a'").encode()


@dataclass(eq=False)
class ScriptedJob:
    """A job for which the test decides whether it may be written."""

    is_writable: bool = True
    query: bytes = QUERY
    check_count: int = 0
    outcomes: list[Outcome] = field(default_factory=list)
    answers: list[Answer | None] = field(default_factory=list)
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def may_write(self) -> bool:
        self.check_count += 1
        return self.is_writable

    def payload(self) -> bytes:
        assert self.is_writable, "written though it may not be"
        return self.query

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        self.outcomes.append(outcome)
        self.answers.append(answer)
        self.done.set()


@dataclass
class Harness:
    """One server and the connection pools of a gateway."""

    server: Server
    servers: Servers
    tasks: set["asyncio.Future[None]"] = field(default_factory=set)
    lines: list[str] = field(default_factory=list)

    @property
    def pool(self) -> Pool:
        pool = self.servers.pool(1)
        assert pool is not None
        return pool

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition, checked in each turn of the event loop."""
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0)

    async def ended(self, job: ScriptedJob) -> Outcome:
        async with asyncio.timeout(PATIENCE_S):
            await job.done.wait()
        assert len(job.outcomes) == 1
        return job.outcomes[0]

    def launch(self, *jobs: ScriptedJob) -> None:
        for job in jobs:
            self.pool.launch(job)

    async def assert_served(self, job: ScriptedJob) -> None:
        self.launch(job)
        assert await self.ended(job) is Outcome.SERVED

    def allow_handshakes(self) -> None:
        """Let the server do the handshake on connections that are dialled."""
        self.server.greets = True
        self.server.release.set()


@asynccontextmanager
async def open_harness(dial_s: float = 10 * PATIENCE_S, greets: bool = True) -> AsyncIterator[Harness]:
    async with Server(True) as server:
        server.greets = greets
        tasks: set[asyncio.Future[None]] = set()
        lines: list[str] = []
        harness = Harness(server, Servers(Bounds(dial_s, 60.0, 32), TurnClock(), lines.append, tasks.add), tasks, lines)
        harness.servers.set_address(1, ("127.0.0.1", server.port))
        yield harness
        harness.servers.close()
        server.release.set()


async def open_idle_connection(harness: Harness) -> None:
    """Open one connection, which is idle afterwards."""
    await harness.assert_served(ScriptedJob())
    harness.server.statements.clear()


@scene(open_harness, greets=False)
async def test_a_job_withdrawn_while_its_connection_is_dialled_is_not_written_and_the_connection_is_kept(
    harness: Harness,
) -> None:
    withdrawn, other = ScriptedJob(), ScriptedJob()
    harness.launch(withdrawn)
    await harness.until(lambda: harness.server.connections == 1)
    withdrawn.is_writable = False
    harness.allow_handshakes()
    assert await harness.ended(withdrawn) is Outcome.WITHDRAWN
    await harness.until(lambda: harness.pool.idle)
    await harness.assert_served(other)
    assert harness.server.statements == [QUERY[5:-1]] and harness.server.connections == 1, (
        "the connection was opened once and used again"
    )


@scene(open_harness, greets=False)
async def test_the_next_writable_job_takes_the_connection_of_one_that_may_not_be_written(harness: Harness) -> None:
    first, second = ScriptedJob(), ScriptedJob()
    harness.launch(first, second)
    first.is_writable = False
    harness.allow_handshakes()
    assert await harness.ended(first) is Outcome.WITHDRAWN
    assert await harness.ended(second) is Outcome.SERVED
    assert len(harness.server.statements) == 1


@scene(open_harness, greets=False)
async def test_a_review_withdraws_a_waiting_job_that_may_not_be_written_before_the_dial_ends(harness: Harness) -> None:
    kept, withdrawn = ScriptedJob(), ScriptedJob()
    harness.launch(withdrawn, kept)
    withdrawn.is_writable = False
    harness.pool.recheck_waiting()
    assert withdrawn.outcomes == [Outcome.WITHDRAWN] and not kept.outcomes
    harness.allow_handshakes()
    assert await harness.ended(kept) is Outcome.SERVED


@scene(open_harness)
async def test_a_removed_server_finishes_written_jobs_gets_no_others_and_all_its_connections_close(
    harness: Harness,
) -> None:
    await open_idle_connection(harness)
    harness.server.mode = ["hang up"]
    written, waiting = ScriptedJob(), ScriptedJob()
    harness.launch(written)
    await harness.until(lambda: harness.server.statements)
    harness.server.greets = False
    harness.launch(waiting)
    await harness.until(lambda: harness.server.connections == 2)
    harness.servers.remove(1)
    assert waiting.outcomes == [Outcome.WITHDRAWN] and not written.outcomes
    assert harness.servers.pool(1) is None
    harness.server.release.set()  # the hung connection closes without an answer; the dial succeeds, but no job needs it
    await harness.until(lambda: harness.server.open == 0 and harness.servers.open_count == 0)
    assert len(harness.server.statements) == 1


@scene(open_harness)
async def test_a_busy_connection_of_a_removed_server_closes_with_its_answer(harness: Harness) -> None:
    await open_idle_connection(harness)
    job = ScriptedJob()
    harness.launch(job)
    harness.servers.remove(1)  # the job is written, not answered yet
    assert await harness.ended(job) is Outcome.SERVED
    await harness.until(lambda: harness.server.open == 0 and harness.servers.open_count == 0)


@scene(open_harness, greets=False)
async def test_a_job_that_waits_for_an_old_address_is_withdrawn_once_the_new_one_is_in_use(harness: Harness) -> None:
    async with Server(True) as moved:
        addresses: list[tuple[str, int]] = []

        class AddressRecordingJob(ScriptedJob):
            def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
                super().ended(outcome, at_us, answer)
                addresses.append(harness.pool.address)

        job = AddressRecordingJob()
        harness.launch(job)
        harness.servers.set_address(1, ("127.0.0.1", moved.port))
        assert job.outcomes == [Outcome.WITHDRAWN] and addresses == [("127.0.0.1", moved.port)]
        await harness.assert_served(ScriptedJob())
        assert len(moved.statements) == 1


@scene(open_harness)
async def test_an_unchanged_listing_changes_nothing(harness: Harness) -> None:
    await open_idle_connection(harness)
    pool = harness.pool
    harness.servers.set_address(1, pool.address)
    assert harness.pool is pool and len(pool.idle) == 1


@pytest.mark.parametrize("bytes_first", [True, False])
@scene(open_harness)
async def test_bytes_and_a_request_that_meet_on_an_idle_connection(harness: Harness, bytes_first: bool) -> None:
    """Half a message before the request: the connection is not used. Half a message after it: the job may have run."""
    server_writers, received = list[asyncio.StreamWriter](), list[bytes]()
    full_error = pg.make_error("53300", "full").encode() + pg.make_ready().encode()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_writers.append(writer)
        head = await reader.readexactly(4)
        await reader.readexactly(int.from_bytes(head, "big") - 4)
        writer.write(pg.make_authentication(0).encode() + pg.make_ready().encode())
        while data := await reader.read(1000):
            received.append(data)
            writer.write(EMPTY + READY)
            if len(server_writers) > 1:
                writer.write(full_error)

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    harness.servers.set_address(1, ("127.0.0.1", listener.sockets[0].getsockname()[1]))
    first, job = ScriptedJob(), ScriptedJob()
    harness.launch(first)
    await harness.until(lambda: received)
    server_writers[0].write(full_error)
    assert await harness.ended(first) is Outcome.FULL
    (connection,) = harness.pool.idle
    if bytes_first:
        server_writers[0].write(b"T\0\0")
        # The bytes are in the kernel and not read yet: the event loop has not run since.
        while not connection.stream.socket.recv(1, socket.MSG_PEEK):
            pass
        harness.launch(job)
        assert await harness.ended(job) is Outcome.FULL and len(server_writers) == 2, "not served on a new connection"
    else:
        harness.launch(job)
        server_writers[0].write(b"T\0\0")
        server_writers[0].close()
        assert await harness.ended(job) is Outcome.RESET
    listener.close()


@pytest.mark.parametrize("is_whole", [True, False])
@scene(open_harness)
async def test_a_job_reset_before_its_last_byte_never_ran_and_one_reset_after_it_may_have(
    harness: Harness, is_whole: bool
) -> None:
    harness.server._server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await open_idle_connection(harness)
    (connection,) = harness.pool.idle
    connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    # The long query is larger than the kernel's buffers for a peer that does not read.
    job = ScriptedJob() if is_whole else ScriptedJob(query=QUERY * 4_000)
    harness.server.mode = ["hang up"]
    harness.launch(job)
    if is_whole:
        await harness.until(lambda: harness.server.statements)
    else:
        assert connection.stream.writing(), "the whole query was handed over"
    harness.server.release.set()  # the server ends without an answer
    assert await harness.ended(job) is (Outcome.RESET if is_whole else Outcome.NO_CONNECTION)


@scene(open_harness)
async def test_the_answer_to_an_abandoned_job_is_ignored(harness: Harness) -> None:
    await open_idle_connection(harness)
    harness.server.mode = ["hang"]
    job, other = ScriptedJob(), ScriptedJob()
    harness.launch(job)
    await harness.until(lambda: harness.server.statements)
    harness.pool.abandon(job)
    assert not harness.pool.busy
    harness.launch(other)
    harness.server.release.set()
    assert await harness.ended(other) is Outcome.SERVED
    assert not job.outcomes, "an outcome was reported for an abandoned job"


@scene(open_harness)
async def test_an_abandoned_waiting_job_is_skipped_and_a_refused_dial_ends_all_waiting_jobs(harness: Harness) -> None:
    harness.server._server.close()
    await harness.server._server.wait_closed()
    abandoned, first, second = ScriptedJob(), ScriptedJob(), ScriptedJob()
    harness.launch(abandoned, first, second)
    harness.pool.abandon(abandoned)
    assert await harness.ended(first) is await harness.ended(second) is Outcome.NO_CONNECTION
    assert not abandoned.outcomes and not harness.pool.waiting


@scene(open_harness, greets=False)
async def test_a_job_that_waits_longer_than_a_dial_may_take_has_no_connection(harness: Harness) -> None:
    job = ScriptedJob()
    harness.launch(job)
    harness.pool.sweep(now_us())
    assert not job.outcomes
    harness.pool.sweep(now_us() + round(20 * PATIENCE_S * 1e6))
    assert job.outcomes == [Outcome.NO_CONNECTION]


def test_only_servers_with_open_connections_or_waiting_jobs_are_swept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against sweeps of all listed servers: ten a second of 7,200 servers took 175 ms of processor time."""
    swept: list[int] = []
    monkeypatch.setattr(Pool, "sweep", lambda self, at_us: swept.append(self.number))
    servers = Servers(Bounds(1.0, 1.0, 10), TurnClock(), print, lambda task: None)
    for number in range(1_000):
        servers.set_address(number, ("127.0.0.1", 1))
    servers.sweep()
    pool = servers.pool(7)
    assert pool is not None and not swept
    pool.launch(ScriptedJob(is_writable=False))
    servers.sweep()
    servers.sweep()
    assert swept == [7] and not servers.active
