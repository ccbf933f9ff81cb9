"""One client connection: startup, then queries, taken side by side, each answered once and in order.

A shell: what a query asks for is read by `statement`; `pipeline` says in which order they are asked and answered; what
one is answered is told by its `Asker`, how the connection ends by `transport.ending`. A peer's mistake is answered once
with an error or a close, costs nobody else anything and holds bounded memory.
"""

import asyncio
from typing import Protocol

from tornado.iostream import StreamBufferFullError, StreamClosedError

from oatlink.gateway.clock import Stream, now_us
from oatlink.platform.clients import answers
from oatlink.platform.clients.pipeline import Arrivals, Command, Pipeline, Room
from oatlink.platform.requests import Final
from oatlink.platform.statement import QUERY_BYTES, Statement, StatementError
from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import Limits, ProtocolError
from oatlink.transport.closing import State
from oatlink.transport.ending import Ending

CHUNK = 16_384  # bytes read at once
SILENT_US = 2_500_000  # a connection that has asked nothing so long after it came is closed
HALF_US = 2_000_000  # so long may a message be under way, either way
DRAIN_US = 300_000  # so long what is there in part when the connection drains may take to come whole
MOST_MISTAKES = 4  # statements that cannot be read, of one connection; then it is closed
PAUSE_S = 0.05  # after a mistake, times their count: the same again at once takes no turn of others
LIMITS = Limits(message_bytes=QUERY_BYTES)
PLAIN = frozenset((b"SET", b"RESET", b"DISCARD"))  # answered here: nothing of a connection is kept


class Asker(Protocol):
    """Where queries go."""

    def read(self, text: bytes) -> Statement:
        """What a query asks for. Raises `StatementError`."""
        ...

    def ask(self, query: "Query") -> None:
        """Take a query; it is answered once, at once or later. Raises `StatementError` where it cannot be taken."""
        ...

    def hurry(self, query: "Query") -> None:
        """Others wait behind it now: it is answered so much earlier."""
        ...

    def left(self, query: "Query") -> None:
        """Its client has gone, or has been sent away, and it is still open."""
        ...

    @property
    def room(self) -> Room:
        """What connections may have open."""
        ...


class Home(Protocol):
    """Where connections are kept."""

    def gone(self, client: "Client") -> None:
        """A connection has closed."""
        ...


class Query(Command):
    """A query of a client, from its last byte to its answer."""

    __slots__ = ("client", "statement")

    def __init__(self, client: "Client", statement: Statement, came_us: int) -> None:
        names = (b"name " + statement.session.encode(), b"key " + statement.key if statement.key else b"")
        super().__init__(came_us, tuple(filter(None, names)), statement.is_write)
        self.client, self.statement = client, statement

    def answered(self, final: Final) -> None:
        """See `requests.Owner`."""
        self.client.answered(self, final)


class Client:
    """One client connection, from its accept to its end."""

    def __init__(self, stream: Stream, asker: Asker, home: Home) -> None:
        self.stream, self._asker, self._home = stream, asker, home
        self.ending = Ending(stream, self._is_owed, self._closed)
        self._reader = pg.frontend_reader(LIMITS)
        self._started = False
        self._arrivals = Arrivals()
        self._pipeline = Pipeline(asker.room)
        self.asked = False  # a request has come
        self.born_us = self.free_us = now_us()
        self._half_us = 0  # since when a message is under way
        self._unsent_us = 0  # since when an answer lies here that is not taken
        self._drained_us = 0  # since when no new request is taken
        self._mistakes = 0
        self._paused = False
        self._skips = False  # after a mistake in the extended protocol, until Sync
        self._blocked = False  # as much as may be has been read behind what is open
        self._is_due = False  # a step comes in the next turn of the loop
        self._room = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Whether nothing of it is left."""
        return self.ending.state is State.CLOSED

    @property
    def is_ending(self) -> bool:
        """Whether our side has been shut down, or all that is left to send is its last answer."""
        return self.ending.discards

    @property
    def waits(self) -> bool:
        """Whether a query is open, or an answer is not written yet."""
        return len(self._pipeline) > 0

    async def run(self) -> None:
        """Read until the connection ends, also what is thrown away after our side has been shut down."""
        try:
            while True:
                # While no more is taken the next bytes are read, to notice a close: one message of them at most.
                while self._reader.pending > QUERY_BYTES and self._is_busy():
                    self._blocked = True
                    self._room.clear()
                    await self._room.wait()
                self._blocked = False
                data = await self.stream.read_bytes(CHUNK, partial=True)
                if self.ending.discards:
                    self.ending.discard(len(data))
                else:
                    self._reader.feed(data)
                    self._arrivals.came(len(data), self.stream.ready_us)
                    self.step()
        except StreamClosedError:
            pass
        finally:
            self.close()

    def _is_busy(self) -> bool:
        """Whether the next message has to wait."""
        return not self.ending.discards and (not self._pipeline.has_room or self._paused or self.stream.writing())

    def _is_owed(self) -> bool:
        """Whether something is still to be answered: a query, or one that is here in part or may be."""
        if self.waits or self.ending.discards:
            return self.waits
        return self._paused or self._reader.pending > 0 or not self.stream.at_rest()

    def step(self) -> None:
        """Take the messages that are here, as far as there is room, up to a query; the next turn goes on behind it.

        Threat: a client that takes none of its answers. Its next query waits until the last one is handed over. And one
        that sends hundreds at once: it takes turns with all others that ask.
        """
        try:
            while not (self._is_due or self._is_busy() or self.ending.discards):
                message = self._reader.take()
                if message is None:
                    break
                self._half_us = 0
                self._take(message)
        except ProtocolError as problem:
            self.end(pg.refusal(problem).encode())
        if self._reader.pending and not self._is_busy():
            self._half_us = self._half_us or now_us()
        self._room.set()
        if not self.ending.may_take:
            self.ending.settle()

    def _take(self, message: pg.Message) -> None:
        if not self._started:
            self._start(message)
        elif message.kind == b"X":
            self.end(b"")
        elif message.kind == b"Q":
            if not self._skips:
                self._query(pg.query_text(message))
        elif message.kind == b"S":
            self._skips = False
            self._say(answers.READY)
        elif not self._skips:
            self._skips = message.kind != b"F"
            self._mistaken(
                pg.make_error("0A000", "expected simple queries only").encode()
                + (answers.READY if message.kind == b"F" else b"")
            )

    def _start(self, message: pg.Message) -> None:
        match pg.startup(message):
            case pg.Startup():
                self._started = True
                self._reader.end_startup()
                self.write(answers.GREETING)
            case pg.Cancel():
                self.end(b"")
            case _:
                self.write(answers.NO_SSL)

    def _query(self, text: bytes) -> None:
        words = text.split(None, 1)
        if not words or not text.strip(b"; \t\r\n"):
            self._say(answers.EMPTY)  # which asks nothing: a flood may say so much
        elif words[0].upper() in PLAIN:
            self._say(pg.make_complete(words[0].upper()).encode() + answers.READY)
        elif not self.ending.may_take:
            self._say(answers.refusal(0))  # nothing new is taken on a connection that ends; another takes it at once
        elif self.stream.closed() or (self._blocked and self.stream.peer_has_ended()):
            self.close()  # what it sent before it went must not be sent on
        else:
            try:
                query = Query(self, self._asker.read(text), self._arrivals.last_us(self._reader.pending))
            except StatementError as problem:
                self._mistaken(answers.error(problem.sqlstate, str(problem)))
                return
            hurried = self._pipeline.add(query)
            if isinstance(hurried, Query):
                self._asker.hurry(hurried)
            self._go_on_later()
            self._ask(query)

    def _ask(self, query: Query) -> None:
        """Ask, where nothing of its own connection has to be answered before it."""
        if query.ahead or self.closed:
            return
        try:
            self._asker.ask(query)
            self.asked = True
        except StatementError as problem:
            self._answer(query, answers.error(problem.sqlstate, str(problem)))  # in its own place
            self._pause()

    def _mistaken(self, answer: bytes) -> None:
        """A mistake's answer, behind those that are owed."""
        self._say(answer)
        self._pause()

    def _pause(self) -> None:
        """Threat: the same again as soon as it is answered, at full speed. It waits, longer each time, then ends."""
        self._mistakes += 1
        if self._mistakes >= MOST_MISTAKES:
            self.end(b"")
            return
        self._paused = True
        asyncio.get_running_loop().call_later(PAUSE_S * self._mistakes, self._go_on)

    def _go_on(self) -> None:
        self._paused = False
        self.step()

    def _go_on_later(self) -> None:
        """What waits is seen to in a turn of its own: an answer may set off the next, and so on."""
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._due)

    def _due(self) -> None:
        self._is_due = False
        if not self.closed:
            self.step()

    def _say(self, data: bytes) -> None:
        """An answer of our own, behind those that are owed."""
        self._pipeline.say(data)
        self._flush()

    def _flush(self) -> None:
        """Write the answers whose turn it is.

        Threat: more of them at once than the stream holds for a client. What is left goes when those are handed over.
        """
        while not self.stream.writing() and (data := self._pipeline.ready()):
            self.free_us = now_us()
            self.write(data)

    def answered(self, query: Query, final: Final) -> None:
        """A query's final answer."""
        data = answers.FAILED
        if final.payload:
            data = final.payload + answers.READY
        elif final.refused:
            data = answers.refusal(final.retry_after_us)
        self._answer(query, data)

    def _answer(self, query: Query, data: bytes) -> None:
        released = self._pipeline.answer(query, data)
        self._flush()
        for one in released:
            if isinstance(one, Query):
                self._ask(one)
        if not self.closed:
            self._go_on_later()

    def write(self, data: bytes) -> None:
        """Write; a client that takes nothing is let go."""
        if self.closed:
            return
        try:
            written = self.stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            self.close()
            return
        if self.stream.writing():
            self._unsent_us = self._unsent_us or now_us()
            written.add_done_callback(self._written)

    def _written(self, written: "asyncio.Future[None]") -> None:
        """The bytes are handed over, or the stream has closed: its reader may be waiting, and would not see it."""
        if written.cancelled() or written.exception() is not None:
            self.close()
        elif not self.stream.writing():
            self._unsent_us = 0
            self._flush()
            self.step()

    def end(self, data: bytes) -> None:
        """A last answer, then the end; what the client still sends is thrown away."""
        if self.ending.discards:
            return
        if data:
            self._say(data)
        self.ending.drain(is_deaf=True)
        self._room.set()

    def drain(self) -> None:
        """Take no new request, and end once what is here has been answered."""
        self._drained_us = self._drained_us or now_us()
        self.ending.drain()

    def close(self) -> None:
        """Close at once. Idempotent; an open query is told as left."""
        self.ending.close()

    def _closed(self) -> None:
        self._room.set()
        for one in self._pipeline.clear():
            if isinstance(one, Query):
                self._asker.left(one)
        self._home.gone(self)

    def idle_since_us(self) -> int | None:
        """Since when nothing is open here and nothing under way; None while something is, or the connection ends."""
        if self.waits or not self.ending.may_take or self._reader.pending or self._is_busy():
            return None
        if not self.stream.at_rest():
            return None
        return self.free_us

    def sweep(self, at_us: int) -> None:
        """End it where it has had its time: nothing asked since it came, or half a message that does not go on.

        Threat: a client that has gone is not noticed while more than is read lies before its end; one that takes
        nothing holds its answer in memory; one that asks without a pause would never let a gateway end.
        """
        if self._pipeline.open or self._paused:
            if self._blocked and self.stream.peer_has_ended():
                self.close()
        elif self._unsent_us and at_us - self._unsent_us > HALF_US:
            self.close()
        elif (not self.asked and at_us - self.born_us > SILENT_US) or (
            self._half_us > 0 and at_us - self._half_us > HALF_US
        ):
            self.end(answers.TOO_SLOW)
        elif self._drained_us and at_us - max(self._drained_us, self.free_us) > DRAIN_US:
            self.end(b"")
        elif not self.ending.may_take:
            self.ending.settle()
