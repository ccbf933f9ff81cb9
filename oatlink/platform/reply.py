"""Parses a database server's answer to one statement: one row, its completion, and ready. All else is invalid. No I/O.

The result does not depend on how the bytes are split. A length is checked before memory is allocated for it. No part of
an answer is forwarded before the whole of it has arrived, so that a client never receives data that only begins like
its value.

An answer does not say which statement it belongs to, and a server may send bytes that nobody asked for, such as a
second copy of an answer. If a copy were still on its way when the next statement is written, it would be taken for
that statement's answer. An empty query, the fence, is therefore written in front of each statement. Every server
answers it with EmptyQueryResponse, at once and in order, so that only what follows belongs to the statement.
"""

import enum
import math
from dataclasses import dataclass, field

from oatlink.interface import Outcome, Report, Role
from oatlink.platform.statement import MAX_VALUE_BYTES
from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import Limits, ProtocolError

LIMITS = Limits(message_bytes=MAX_VALUE_BYTES + 1_024)  # a row of one value, or column names
MAX_MESSAGES = 64  # per answer; prevents endless parameters and notices
MAX_POSITION_MS = 1 << 46  # about two thousand years
# SQLSTATEs of the platform's table; after any other error the statement may have run.
MISS_SQLSTATES = ("25006", "72000")
FULL_SQLSTATE = "53300"


FENCE = pg.make_query(b"").encode()


class FenceSupport(enum.Enum):
    """Whether the server of a connection answers empty queries, as the first answer on the connection shows."""

    UNKNOWN = "unknown"
    ANSWERED = "answered"
    IGNORED = "ignored"


class _FenceState(enum.Enum):
    """How far the answer to the fence has been read."""

    NOT_DUE = "not due"
    DUE = "due"
    READY_DUE = "ready due"  # its EmptyQueryResponse was read, and its ReadyForQuery is due


class InvalidReplyError(Exception):
    """A reply that cannot be parsed; its connection cannot be used any more."""


@dataclass(slots=True)
class Answer:
    """A complete answer. `payload` is for the client: row description, row and completion as received."""

    outcome: Outcome
    payload: bytes = b""
    value: bytes = b""
    sqlstate: str = ""
    parameters: dict[str, str] = field(default_factory=dict)

    def position_ms(self) -> int | None:
        """The position reported with the answer, a Unix time; None if there is none, or it is invalid."""
        text = self.parameters.get("lsn_ms", "")
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            return None
        return int(text) if 0 < int(text) < MAX_POSITION_MS else None

    def report(self) -> Report | None:
        """The position, in Unix microseconds, and the role that came with the answer; None if neither did."""
        position_ms, role = self.position_ms(), self.role()
        if position_ms is None and role is Role.UNKNOWN:
            return None
        return Report(None if position_ms is None else position_ms * 1000, role)

    def role(self) -> Role:
        """The role that the server reported."""
        return {"off": Role.PRIMARY, "on": Role.REPLICA}.get(self.parameters.get("recovery", ""), Role.UNKNOWN)


def parse_load_report(text: bytes) -> Report | None:
    """Parse a load report such as `x0=1767225600.1,x1=1`: the position in Unix seconds, and whether it is a primary.

    Returns the position in microseconds. None for a report that cannot be parsed.
    """
    numbers: dict[str, float] = {}
    for pair in text.decode("latin1").split(","):
        name, _, number = pair.strip().partition("=")
        try:
            numbers[name] = float(number)
        except ValueError:
            return None
        if not math.isfinite(numbers[name]):
            return None
    seconds, primary = numbers.get("x0"), numbers.get("x1")
    if seconds is not None and not 0 <= seconds * 1e3 < MAX_POSITION_MS:
        return None
    role = Role.UNKNOWN
    if primary is not None:
        role = Role.PRIMARY if primary >= 0.5 else Role.REPLICA
    return Report(None if seconds is None else math.floor(seconds * 1e6), role)


class ReplyReader:
    """Parses the answers on one connection, one after the other; the first is the greeting."""

    def __init__(self) -> None:
        self._reader = pg.backend_reader(LIMITS)
        self._expected_kind = b"R"
        self._fence_state = _FenceState.NOT_DUE
        self.fence_support = FenceSupport.UNKNOWN
        self.has_surplus = False  # messages were received that no statement had asked for
        self._reset()

    def _reset(self) -> None:
        self._answer: Answer | None = None
        self._parts: list[bytes] = []
        self._value = b""
        self._parameters: dict[str, str] = {}
        self._messages = 0

    @property
    def pending(self) -> int:
        """The number of bytes received after the last parsed message."""
        return self._reader.pending

    def expect_fence(self) -> None:
        """Expect the answer to a fence in front of the next answer."""
        self._fence_state = _FenceState.DUE

    def feed(self, data: bytes) -> Answer | None:
        """Add received bytes and return the answer once it is complete. Raises `InvalidReplyError`."""
        self._reader.feed(data)
        try:
            while (message := self._reader.take()) is not None:
                self._messages += 1
                if self._messages > MAX_MESSAGES:
                    raise InvalidReplyError("too many messages in one answer")
                if self._belongs_to_fence(message):
                    continue
                if self._handle_message(message):
                    answer, self._expected_kind = self._answer, b"T"
                    self._reset()
                    return answer
        except ProtocolError as error:
            raise InvalidReplyError(str(error)) from None
        return None

    def answer_at_close(self) -> Answer | None:
        """Return the error that arrived whole before the connection ended: nothing follows after a fatal error."""
        return self._answer if self._answer is not None and self._answer.outcome is not Outcome.SERVED else None

    def _belongs_to_fence(self, message: pg.Message) -> bool:
        """Whether a message is part of the fence's answer or came before it, and is to be skipped.

        Raises `ProtocolError`.
        """
        if self._fence_state is _FenceState.NOT_DUE or message.kind in b"SN":
            return False
        if self._fence_state is _FenceState.READY_DUE:
            pg.ready(message)
            self._fence_state = _FenceState.NOT_DUE
            self._reset()
            return True
        if message.kind == b"I":
            self._fence_state = _FenceState.READY_DUE
            self.fence_support = FenceSupport.ANSWERED
            return True
        if self.fence_support is FenceSupport.ANSWERED:
            self.has_surplus = True
            return True
        # Nothing precedes the first answer on a connection, so this is that answer: the fence was ignored.
        self.fence_support = FenceSupport.IGNORED
        self._fence_state = _FenceState.NOT_DUE
        return False

    def _handle_message(self, message: pg.Message) -> bool:
        """Handle one message; return True if it ends the answer. Raises `InvalidReplyError` or `ProtocolError`."""
        kind = message.kind
        if kind == b"S":
            name, value = pg.status(message)
            self._parameters[name] = value
            return False
        if kind == b"N":
            pg.fields(message)
            return False
        if kind == b"K" and self._expected_kind in b"RZ" and self._answer is None:
            return False
        if kind == b"E" and self._answer is None:
            # Outcomes follow the platform's table. The server's SQLSTATE itself is never sent to a client, only logged.
            sqlstate = pg.fields(message).get("C", "")
            outcome = Outcome.ERROR
            if not self._parts:  # a server that has begun to answer has run the statement, whatever the error says
                if sqlstate in MISS_SQLSTATES:
                    outcome = Outcome.MISS
                elif sqlstate == FULL_SQLSTATE:
                    outcome = Outcome.FULL
            self._answer = Answer(outcome, sqlstate=sqlstate[:5], parameters=self._parameters)
            self._expected_kind = b"Z"
            return False
        if kind != self._expected_kind:
            raise InvalidReplyError(f"expected {pg.BACKEND[self._expected_kind]}, got {pg.BACKEND[kind]}")
        if kind == b"Z":
            pg.ready(message)
            if self._answer is None:
                self._answer = Answer(Outcome.SERVED, b"".join(self._parts), self._value, "", self._parameters)
            return True
        self._parts.append(message.encode())
        if kind == b"R":
            if pg.authentication(message)[0] != 0:
                raise InvalidReplyError("asks for a password")
            self._expected_kind = b"Z"
        elif kind == b"T":
            if pg.columns(message) != 1:
                raise InvalidReplyError("expected one column")
            self._expected_kind = b"D"
        elif kind == b"D":
            values = pg.row(message)
            if len(values) != 1 or values[0] is None:
                raise InvalidReplyError("expected a row of one value")
            self._value = values[0]
            self._expected_kind = b"C"
        else:
            pg.complete(message)
            self._expected_kind = b"Z"
        return False
