"""One client connection: startup, then queries, executed concurrently, each answered once and in order.

Carries out I/O only: `statement` parses a query, `pipeline` decides the order of execution and of answers, the
`QueryHandler` supplies each answer, and `transport.ending` decides how the connection ends. A client's mistake is
answered once, with an error or a close, costs no other client anything, and holds a bounded amount of memory.
"""

import asyncio

from tornado.iostream import StreamBufferFullError, StreamClosedError

from oatlink.gateway.clock import Stream, now_us
from oatlink.platform.clients import answers
from oatlink.platform.clients.input import Input
from oatlink.platform.clients.owner import ClientOwner
from oatlink.platform.clients.pipeline import MAX_WAITING_BYTES, Pipeline
from oatlink.platform.clients.query import Query, QueryHandler
from oatlink.platform.memory import HeldBytes, HeldPart, HeldRequest
from oatlink.platform.requests import Final
from oatlink.platform.statement import StatementError
from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import ProtocolError
from oatlink.transport.closing import State
from oatlink.transport.ending import Ending
from oatlink.transport.turns import InputTurns

READ_CHUNK_BYTES = 16_384
SILENT_TIMEOUT_US = 2_500_000  # a connection that has sent no request this long after its accept is closed
TRANSFER_TIMEOUT_US = 2_000_000  # for one message to be received whole, or one answer to be taken by the client
DRAIN_TIMEOUT_US = 300_000  # for the rest of a message that was partly received when the drain began
MAX_MESSAGES_PER_TURN = 16  # of one client that are handled at once; others have their turn before it goes on
MAX_MISTAKES = 4  # statements that cannot be parsed, per connection; then it is closed
MISTAKE_PAUSE_S = 0.05  # times the count of mistakes, so that a client that repeats one takes no time from others
MAX_REFUSAL_BYTES = 2 * MAX_WAITING_BYTES  # of answers that wait while queries behind them are refused
LOCAL_COMMANDS = frozenset((b"SET", b"RESET", b"DISCARD"))  # answered here, since connections have no session state


class Client:
    """One client connection, from its accept to its end."""

    def __init__(
        self, stream: Stream, handler: QueryHandler, owner: ClientOwner, input_turns: InputTurns, held: HeldBytes
    ) -> None:
        self.stream, self._handler, self._owner, self._input_turns = stream, handler, owner, input_turns
        self._held, self._held_answers = held, HeldPart(held)
        self.ending = Ending(stream, self._has_pending_answers, self._on_closed)
        self.input = Input(held)
        self._is_started = False
        self._pipeline = Pipeline(handler.pipeline_limits)
        self.has_submitted = False  # whether any query was submitted
        self.accepted_us = self.last_answer_us = now_us()
        # Times since when a condition holds; 0 while it does not.
        self._incomplete_since_us = 0  # a message is partly received
        self._unsent_since_us = 0  # an answer is not fully taken by the client
        self._unsent_bytes = 0  # of that answer, at most
        self._draining_since_us = 0  # no new request is accepted
        self._mistake_count = 0
        self._is_paused = False
        self._skips_until_sync = False  # after a mistake in the extended protocol
        self._is_read_blocked = False  # nothing is read, so a close of the client may lie behind unread input
        self._has_backlog = False  # messages wait for earlier ones; the client may have left since it sent them
        self._is_turn_due = False  # it has asked for its turn to handle messages
        self._may_read = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self.ending.state is State.CLOSED

    @property
    def is_ending(self) -> bool:
        """Whether our side has been shut down, or only the last answer is left to send."""
        return self.ending.discards

    @property
    def _is_requester(self) -> bool:
        """Whether it has submitted queries and made no mistake."""
        return self.has_submitted and not self._mistake_count

    @property
    def has_pending(self) -> bool:
        """Whether a query is unanswered, or an answer is not written yet."""
        return len(self._pipeline) > 0

    async def run(self) -> None:
        """Read until the connection ends, including input that is discarded after our side has been shut down."""
        try:
            while True:
                while self._has_enough_input():
                    self._is_read_blocked = True
                    self._may_read.clear()
                    await self._may_read.wait()
                self._is_read_blocked = False
                self._handle_input(await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True))
        except StreamClosedError:
            pass
        finally:
            self.close()

    def _has_enough_input(self) -> bool:
        """Whether reading has to wait: messages are to be handled first.

        While no message may be executed, reading goes on all the same. A close of the client cannot be noticed while it
        lies behind bytes that were not read, and what the client sent before it would be executed after it has left.
        """
        return self.input.pending > 0 and self._is_turn_due and not self.ending.discards

    def _handle_input(self, data: bytes) -> None:
        if self.ending.discards:
            self.ending.discard(len(data))
        else:
            self.input.feed(data, self.stream.arrived_by_us)
            self._owner.input_received(self)
            self._request_turn()

    def _is_busy(self) -> bool:
        """Whether the next message has to wait."""
        return not self.ending.discards and (
            not self._pipeline.has_capacity or self._is_paused or self.stream.writing()
        )

    def _must_refuse(self) -> bool:
        """Whether the next query is refused unexecuted: it has to wait, and too much is received behind it."""
        return not self.ending.discards and self.input.exceeds_read_ahead and self._is_busy()

    def _has_pending_answers(self) -> bool:
        """Whether something is still to be answered: a query, or one that is partly received or may be arriving."""
        if self.has_pending or self.ending.discards:
            return self.has_pending
        return self._is_paused or self.input.pending > 0 or not self.stream.is_idle()

    def step(self) -> None:
        """Handle received messages as far as limits allow; a later turn goes on after a query or many messages.

        The next query waits until the last answer is handed to the socket, so a client that reads none of its answers
        holds only one of them in memory. A client that sends hundreds of messages at once, whether they are queries or
        answered here, takes turns with all others.
        """
        try:
            is_complete = self._handle_messages()
        except ProtocolError as error:
            self.end(pg.refusal(error).encode())
            is_complete = True
        self._flush()
        if not self._is_turn_due and self.input.pending and (not self._is_busy() or self._must_refuse()):
            if is_complete:
                self._incomplete_since_us = self._incomplete_since_us or now_us()
            else:
                self._schedule_turn()
        if not self._has_enough_input():
            self._may_read.set()
        if not self.ending.accepts_requests:
            self.ending.settle()

    def _handle_messages(self) -> bool:
        """Handle a limited number of messages, up to a query. Returns whether no whole message is left.

        Raises `ProtocolError`.
        """
        for _ in range(MAX_MESSAGES_PER_TURN):
            must_refuse = self._must_refuse()
            if self._is_turn_due or self.ending.discards or (self._is_busy() and not must_refuse):
                self._has_backlog = self.input.pending > 0
                return False
            message = self.input.take()
            if message is None:
                self._has_backlog = False
                return True
            self._incomplete_since_us = 0
            self._handle_message(message)
            if must_refuse and self._pipeline.waiting_bytes > MAX_REFUSAL_BYTES:
                self.end(answers.TOO_MANY_QUERIES)
        return False

    def _handle_message(self, message: pg.Message) -> None:
        if not self._is_started:
            self._start(message)
        elif message.kind == b"X":
            self.end(b"")
        elif message.kind == b"Q":
            if not self._skips_until_sync:
                self._handle_query(pg.query_text(message))
        elif message.kind == b"S":
            self._skips_until_sync = False
            self._queue_answer(answers.READY)
        elif not self._skips_until_sync:
            self._skips_until_sync = message.kind != b"F"
            self._answer_mistake(
                pg.make_error("0A000", "expected simple queries only").encode()
                + (answers.READY if message.kind == b"F" else b"")
            )

    def _start(self, message: pg.Message) -> None:
        match pg.startup(message):
            case pg.Startup():
                self._is_started = True
                self.input.end_startup()
                self._queue_answer(answers.GREETING)
            case pg.Cancel():
                self.end(b"")
            case _:
                self._queue_answer(answers.SSL_DECLINED)

    def _handle_query(self, text: bytes) -> None:
        words = text.split(None, 1)
        if not words or not text.strip(b"; \t\r\n"):
            self._queue_answer(answers.EMPTY_QUERY)  # no request: a client that sends only these counts as silent
        elif words[0].upper() in LOCAL_COMMANDS:
            self._queue_answer(pg.make_complete(words[0].upper()).encode() + answers.READY)
        elif not self.ending.accepts_requests or self._is_busy():
            self._queue_answer(answers.refusal(0))  # the client may retry at once on another connection
        elif self.stream.closed() or ((self._is_read_blocked or self._has_backlog) and self.stream.peer_has_ended()):
            self._flush()
            self.close()  # what the client sent before it left must not be submitted
        elif not self._held.may_hold_request(len(text)):
            self._queue_answer(answers.refusal(0))
        else:
            try:
                statement = self._handler.parse_query(text)
                query = Query(self, statement, self.input.last_byte_us(), HeldRequest(self._held, len(text)))
            except StatementError as error:
                self._answer_mistake(answers.error(error.sqlstate, str(error)))
                return
            expedited = self._pipeline.add(query)
            if isinstance(expedited, Query):
                self._handler.expedite_query(expedited)
            if self.input.pending:
                self._schedule_turn()
            self._submit(query)

    def _submit(self, query: Query) -> None:
        """Submit a query, unless another one of this connection has to be answered first."""
        if query.blocker_count or self.closed:
            return
        try:
            self._handler.submit_query(query)
            self.has_submitted = True
        except StatementError as error:
            self._answer(query, answers.error(error.sqlstate, str(error)))  # sent in its turn
            self._pause()

    def _answer_mistake(self, answer: bytes) -> None:
        """Answer a mistake, after the answers of earlier queries."""
        self._queue_answer(answer)
        self._pause()

    def _pause(self) -> None:
        """Wait before the next message, longer after each mistake, and end the connection after `MAX_MISTAKES`.

        Prevents a client from repeating a mistake at full speed as soon as it is answered.
        """
        self._mistake_count += 1
        if self._mistake_count >= MAX_MISTAKES:
            self.end(b"")
            return
        self._is_paused = True
        asyncio.get_running_loop().call_later(MISTAKE_PAUSE_S * self._mistake_count, self._resume)

    def _resume(self) -> None:
        self._is_paused = False
        self._request_turn()

    def _request_turn(self) -> None:
        """Handle messages now, or in a later turn of the loop if this one has handled enough input of clients."""
        if not self._is_turn_due:
            self._is_turn_due = True
            self._input_turns.run(self._take_turn, self._is_requester)

    def _schedule_turn(self) -> None:
        """Handle the next message in a later turn of the loop: an answer may trigger the next query, and so on."""
        if not self._is_turn_due:
            self._is_turn_due = True
            self._input_turns.run_later(self._take_turn, self._is_requester)

    def _take_turn(self) -> None:
        self._is_turn_due = False
        if not self.closed:
            self.step()

    def _queue_answer(self, data: bytes) -> None:
        """Add an answer of our own, after the answers of earlier queries; it is sent at the end of this step."""
        self._pipeline.add_answer(data)

    def _flush(self) -> None:
        """Write the answers whose turn it is.

        Stops while the stream still writes, since several answers at once may exceed the stream's buffer. The rest
        follows when those bytes are handed to the socket.
        """
        while not self.stream.writing() and (data := self._pipeline.take_ready()):
            self.last_answer_us = now_us()
            self.write(data)
        self._held_answers.set(self.held_answer_bytes)

    def answered(self, query: Query, final: Final) -> None:
        """Send a query's final answer."""
        data = answers.FAILED
        if final.payload:
            data = final.payload + answers.READY
        elif final.refused:
            data = answers.refusal(final.retry_after_us)
        self._answer(query, data)

    def _answer(self, query: Query, data: bytes) -> None:
        released = self._pipeline.answer(query, data)
        self._flush()
        for command in released:
            if isinstance(command, Query):
                self._submit(command)
        if not self.closed and (self.input.pending or not self.ending.accepts_requests):
            self._schedule_turn()

    def write(self, data: bytes) -> None:
        """Write; the connection is closed if the client left or took too little of what was written before."""
        if self.closed:
            return
        try:
            written = self.stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            self.close()
            return
        if self.stream.writing():
            self._unsent_since_us = self._unsent_since_us or now_us()
            self._unsent_bytes = len(data)
            self._held_answers.set(self.held_answer_bytes)
            written.add_done_callback(self._on_written)

    @property
    def held_answer_bytes(self) -> int:
        """The bytes of answers that wait for those before them, or are not taken by the client."""
        return self._pipeline.waiting_bytes + self._unsent_bytes

    def _on_written(self, written: "asyncio.Future[None]") -> None:
        """Continue after a write; close if it failed, since a reader that is blocked would not notice the failure."""
        if written.cancelled() or written.exception() is not None:
            self.close()
        elif not self.stream.writing():
            self._unsent_since_us = self._unsent_bytes = 0
            self._flush()
            self._request_turn()

    def end(self, data: bytes) -> None:
        """Send a last answer and end the connection; further input is discarded."""
        if self.ending.discards:
            return
        if data:
            self._queue_answer(data)
            self._flush()
        self.ending.drain(ignores_input=True)
        self.input.clear()
        self._may_read.set()

    def drain(self) -> None:
        """Accept no new request, and end once everything received has been answered."""
        self._draining_since_us = self._draining_since_us or now_us()
        self.ending.drain()

    def close(self) -> None:
        """Close at once, and abandon unanswered queries. Idempotent."""
        self.ending.close()

    def _on_closed(self) -> None:
        self.input.clear()
        self._may_read.set()
        self._unsent_bytes = 0
        for command in self._pipeline.clear():
            if isinstance(command, Query):
                self._handler.abandon_query(command)
        self._held_answers.set(self.held_answer_bytes)
        self._owner.client_closed(self)

    def idle_since_us(self) -> int | None:
        """Since when no query is open and nothing is being transferred; None if busy or ending."""
        if self.has_pending or not self.ending.accepts_requests or self.input.pending or self._is_busy():
            return None
        if not self.stream.is_idle():
            return None
        return self.last_answer_us

    def sweep(self, at_us: int) -> None:
        """End the connection if it has exceeded one of its time limits.

        Notices a client that has gone although its close lies behind more input than is read, frees the memory of an
        answer that its client does not take, and ends a drain although the client keeps sending requests.
        """
        if self._pipeline.unanswered or self._is_paused:
            if self._is_read_blocked and self.stream.peer_has_ended():
                self.close()
        elif self._unsent_since_us and at_us - self._unsent_since_us > TRANSFER_TIMEOUT_US:
            self.close()
        elif (not self.has_submitted and at_us - self.accepted_us > SILENT_TIMEOUT_US) or (
            self._incomplete_since_us > 0 and at_us - self._incomplete_since_us > TRANSFER_TIMEOUT_US
        ):
            self.end(answers.QUERY_TIMEOUT)
        elif self._draining_since_us and at_us - max(self._draining_since_us, self.last_answer_us) > DRAIN_TIMEOUT_US:
            self.end(b"")
        elif not self.ending.accepts_requests:
            self.ending.settle()
