"""One connection to a database server, from its startup handshake to its end.

A connection returns to its pool only if no bytes on it are unread or not understood. A job is committed to it at the
moment of its write, never before. The gateway owes its servers no answers, so a connection closes without waiting for
its peer: `Closing` with a linger time of 0.
"""

import asyncio
from collections.abc import Awaitable
from typing import Protocol

from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Stream, now_us
from oatlink.interface import Outcome
from oatlink.platform.reply import FENCE, Answer, FenceSupport, InvalidReplyError, ReplyReader
from oatlink.protocols import pgwire as pg
from oatlink.transport.closing import Closing, State, Step

READ_CHUNK_BYTES = 16_384
STARTUP = pg.make_startup({"user": "backend", "database": "store"}).encode()
CHECK = pg.make_query(b"SHOW health").encode()
SURPLUS_NOTE = "sent bytes that no statement had asked for"


class Job(Protocol):
    """One statement that a server has to answer: an attempt or a check."""

    def may_write(self) -> bool:
        """Whether it may be written at this moment. Until it is written, it can be withdrawn at no cost."""
        ...

    def payload(self) -> bytes:
        """Return the bytes to write, as of this moment."""
        ...

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """Receive how the job ended; called once."""
        ...


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    def connection_idle(self, connection: "Connection") -> None:
        """Take back a connection that has no job any more."""
        ...

    def connection_closed(self, connection: "Connection") -> None:
        """Forget a connection that has closed."""
        ...

    def track_task(self, task: "asyncio.Future[None]") -> None:
        """Keep a reference to a task until it ends."""
        ...

    def note(self, text: str) -> None:
        """Write a line to the log."""
        ...


class Connection:
    """One connection. Closing is idempotent; its job, if any, is notified of how it ended."""

    def __init__(self, owner: ConnectionOwner, stream: Stream) -> None:
        self._owner, self.stream = owner, stream
        self._closing = Closing(linger_us=0, max_discarded_bytes=0)
        self._reader = ReplyReader()
        self.job: Job | None = None
        self._job_end_bytes = 0  # the job's statement is written whole once the socket has taken this many bytes
        self.pool_job: Job | None = None  # the key of this connection in its pool's `busy`
        self.idle_since_us = 0

    @property
    def closed(self) -> bool:
        """Whether it has ended."""
        return self._closing.state is State.CLOSED

    @property
    def ignores_fences(self) -> bool:
        """Whether its server answers no empty queries, so that bytes on their way could be taken for an answer."""
        return self._reader.fence_support is FenceSupport.IGNORED

    def write_job(self, job: Job) -> None:
        """Write a job that may be written, behind a fence; the connection must have no other job."""
        self.job = job
        payload = job.payload()
        if not self.ignores_fences:
            self._reader.expect_fence()
            payload = FENCE + payload
        self._job_end_bytes = self.stream.sent_bytes + len(payload)
        try:
            self.stream.write(payload)
        except StreamClosedError:
            self.close()

    async def handshake(self) -> Answer | None:
        """Start up and return the server's answer; None if the connection ended or the answer is invalid."""
        try:
            await self.stream.write(STARTUP)
            while (answer := self._reader.feed(await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True))) is None:
                pass
        except StreamClosedError:
            return self._reader.answer_at_close()
        except InvalidReplyError:
            return None
        return answer if not self._reader.pending else None

    def start_reading(self) -> None:
        """Read the connection until it ends. The handshake must be done."""
        try:
            reading = self._read()
        except StreamClosedError:
            self.close()
            return
        self._owner.track_task(asyncio.ensure_future(self._run(reading)))

    def _read(self) -> Awaitable[bytes]:
        return self.stream.read_bytes(READ_CHUNK_BYTES, partial=True)

    async def _run(self, reading: Awaitable[bytes] | None) -> None:
        """Read answers until the connection ends.

        No answer and no job stays referred to while it waits: an idle connection would keep what it last carried.
        """
        try:
            while reading is not None and not self.closed:
                reading = self._handle_input(await reading)
        except StreamClosedError:
            answer = self._reader.answer_at_close()
            if answer is not None and self.job is not None:
                self._end(answer.outcome, answer)
        except InvalidReplyError as problem:
            self._owner.note(f"spoilt answer: {problem}")
            self._end(Outcome.ERROR, None)
        finally:
            del reading  # the exception of a failed read refers to this frame: the cycle would outlive the connection
        self.close()

    def _handle_input(self, data: bytes) -> Awaitable[bytes] | None:
        """Handle received bytes and read again; None ends the connection, as bytes without a job do.

        Raises `StreamClosedError` or `InvalidReplyError`.
        """
        if self.job is None:
            self._owner.note(SURPLUS_NOTE)
            return None
        answer = self._reader.feed(data)
        if answer is None:
            return self._read()
        if self._reader.has_surplus or self._reader.pending:
            self._owner.note(SURPLUS_NOTE)
            self._end(answer.outcome, answer)
            return None
        at_us = self.stream.arrived_by_us
        # Reads again before the job gets its answer, because the actions that the answer causes may use this
        # connection, or have to see that it has ended.
        reading = None
        try:
            reading = self._read()
        except StreamClosedError:
            self.close_quietly()
        job, self.job = self.job, None
        self._carry_out(self._closing.settle(False, False, at_us))
        if not self.closed:
            self._owner.connection_idle(self)
        job.ended(answer.outcome, at_us, answer)
        return reading

    def _end(self, outcome: Outcome, answer: Answer | None) -> None:
        self.close_quietly()
        job, self.job = self.job, None
        if job is not None:
            job.ended(outcome, now_us(), answer)

    def drain(self) -> None:
        """Take no new job; close once the current one has ended."""
        self._closing.drain()
        self._carry_out(self._closing.settle(self.job is not None, False, now_us()))

    def abandon(self) -> None:
        """Close without reporting the job: nobody waits for it any more."""
        self.job = None
        self.close_quietly()

    def close_quietly(self) -> None:
        """Close without reporting the job here; the caller may still do so."""
        self._carry_out(self._closing.close())

    def close(self) -> None:
        """Close; a job that was not written whole ends as `NO_CONNECTION`, any other as `RESET`."""
        is_whole = self.stream.sent_bytes >= self._job_end_bytes
        self._end(Outcome.RESET if is_whole else Outcome.NO_CONNECTION, None)

    def _carry_out(self, step: Step) -> None:
        if step is Step.CLOSE:
            self.stream.close()
            self._owner.connection_closed(self)
