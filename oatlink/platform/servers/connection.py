"""One connection to a database server, from its greeting to its end.

It goes back to its pool only with nothing unread and nothing not understood on it. A job is committed to it at the
moment of its write, never before. Nothing is ever owed to a server, so its end needs no last word: `Closing` with no
time to linger.
"""

import asyncio
from collections.abc import Awaitable
from typing import Protocol

from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Stream, now_us
from oatlink.interface import Outcome
from oatlink.platform.reply import Answer, InvalidReplyError, ReplyReader
from oatlink.protocols import pgwire as pg
from oatlink.transport.closing import Closing, State, Step

CHUNK = 16_384  # bytes read at once
STARTUP = pg.make_startup({"user": "backend", "database": "store"}).encode()
CHECK = pg.make_query(b"SHOW health").encode()


class Job(Protocol):
    """One statement to be answered: an attempt or a check."""

    def may_write(self) -> bool:
        """Whether it may be written at this moment. Until it is, it may be taken back at no cost."""
        ...

    def payload(self) -> bytes:
        """What to write, at this moment."""
        ...

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """How it ended, once."""
        ...


class Keeper(Protocol):
    """Whose connection it is."""

    def freed(self, connection: "Connection") -> None:
        """Nothing is on it any more."""
        ...

    def lost(self, connection: "Connection") -> None:
        """It has closed."""
        ...

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Hold a task until it ends."""
        ...

    def note(self, text: str) -> None:
        """A line for the log."""
        ...


class Connection:
    """One connection. Closing is idempotent; what is on it is told."""

    def __init__(self, keeper: Keeper, stream: Stream) -> None:
        self._keeper, self.stream = keeper, stream
        self._closing = Closing(linger_us=0, max_discarded_bytes=0)
        self._reader = ReplyReader()
        self.job: Job | None = None
        self._whole_at = 0  # bytes handed to the socket by which the job's statement is written whole
        self.bound: Job | None = None  # the job by which its pool finds it
        self.idle_us = 0

    @property
    def closed(self) -> bool:
        """Whether it has ended."""
        return self._closing.state is State.CLOSED

    def give(self, job: Job) -> None:
        """Write a job that may be written; the connection has nothing on it."""
        self.job = job
        payload = job.payload()
        self._whole_at = self.stream.sent_bytes + len(payload)
        try:
            self.stream.write(payload)
        except StreamClosedError:
            self.close()

    async def greet(self) -> Answer | None:
        """Start up, until the server is ready; None where the connection ended or what came is no greeting."""
        try:
            await self.stream.write(STARTUP)
            while (answer := self._reader.feed(await self.stream.read_bytes(CHUNK, partial=True))) is None:
                pass
        except StreamClosedError:
            return self._reader.answer_at_close()
        except InvalidReplyError:
            return None
        return answer if not self._reader.pending else None

    def start(self) -> None:
        """Greeted: from now on it is read until it ends."""
        try:
            reading = self._read()
        except StreamClosedError:
            self.close()
            return
        self._keeper.keep(asyncio.ensure_future(self._run(reading)))

    def _read(self) -> Awaitable[bytes]:
        return self.stream.read_bytes(CHUNK, partial=True)

    async def _run(self, reading: Awaitable[bytes]) -> None:
        """Read until the connection ends: answers, and what comes unasked, which ends it."""
        try:
            while not self.closed:
                data = await reading
                if self.job is None:
                    break
                answer = self._reader.feed(data)
                if answer is not None and self._reader.pending:
                    self._end(answer.outcome, answer)
                    return
                at_us = self.stream.arrived_by_us
                if answer is None:
                    reading = self._read()
                    continue
                # It reads again before its answer is told: what the answer sets off may use it, or see that it ended.
                try:
                    reading = self._read()
                except StreamClosedError:
                    self.close_quietly()
                job, self.job = self.job, None
                self._do(self._closing.settle(False, False, at_us))
                if not self.closed:
                    self._keeper.freed(self)
                job.ended(answer.outcome, at_us, answer)
        except StreamClosedError:
            answer = self._reader.answer_at_close()
            if answer is not None and self.job is not None:
                self._end(answer.outcome, answer)
        except InvalidReplyError as problem:
            self._keeper.note(f"spoilt answer: {problem}")
            self._end(Outcome.ERROR, None)
        self.close()

    def _end(self, outcome: Outcome, answer: Answer | None) -> None:
        self.close_quietly()
        job, self.job = self.job, None
        if job is not None:
            job.ended(outcome, now_us(), answer)

    def drain(self) -> None:
        """Take no new job; end with the one that is on it."""
        self._closing.drain()
        self._do(self._closing.settle(self.job is not None, False, now_us()))

    def abandon(self) -> None:
        """Close, with nothing told of the job: nobody waits for it any more."""
        self.job = None
        self.close_quietly()

    def close_quietly(self) -> None:
        """Close, with nothing told of the job yet."""
        self._do(self._closing.close())

    def close(self) -> None:
        """Close; a job on it could not connect, or was reset."""
        whole = self.stream.sent_bytes >= self._whole_at
        self._end(Outcome.RESET if whole else Outcome.NO_CONNECTION, None)

    def _do(self, step: Step) -> None:
        if step is Step.CLOSE:
            self.stream.close()
            self._keeper.lost(self)
