"""What a database server answers to one statement, read without I/O: exactly a row, its completion, ready; else spoilt.

Any split of the bytes gives the same. A length is tested before memory is taken for it, and nothing of an answer is
passed on before all of it is here: a client must never be served what only began like its value.
"""

import math
from dataclasses import dataclass, field

from oatlink.interface import Outcome, Report, Role
from oatlink.platform.statement import MAX_VALUE_BYTES
from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import Limits, ProtocolError

LIMITS = Limits(message_bytes=MAX_VALUE_BYTES + 1_024)  # a row of one value, or names
MOST_MESSAGES = 64  # of one answer; parameters and notices without end are no answer
MOST_POSITION_MS = 1 << 46  # some two thousand years
# SQLSTATEs of the platform's table; all others are errors after which it may have run.
MISSES = ("25006", "72000")
TURNED_AWAY = "53300"


class InvalidReplyError(Exception):
    """An answer that is none: what came is not understood, and the connection is of no further use."""


@dataclass(slots=True)
class Answer:
    """A whole answer. `payload` is the client's: row description, row and completion, as they came."""

    outcome: Outcome
    payload: bytes = b""
    value: bytes = b""
    sqlstate: str = ""
    parameters: dict[str, str] = field(default_factory=dict)

    def position_ms(self) -> int | None:
        """The position that came with the answer, a Unix time; None where there is none that can be read."""
        text = self.parameters.get("lsn_ms", "")
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            return None
        return int(text) if 0 < int(text) < MOST_POSITION_MS else None

    def role(self) -> Role:
        """What the server says it is."""
        return {"off": Role.PRIMARY, "on": Role.REPLICA}.get(self.parameters.get("recovery", ""), Role.UNKNOWN)


def parse_load_report(text: bytes) -> Report | None:
    """A load report, `x0=1767225600.1,x1=1`: position in Unix seconds, here in microseconds, and role.

    None for one that cannot be read.
    """
    found: dict[str, float] = {}
    for pair in text.decode("latin1").split(","):
        name, _, number = pair.strip().partition("=")
        try:
            found[name] = float(number)
        except ValueError:
            return None
        if not math.isfinite(found[name]):
            return None
    seconds, primary = found.get("x0"), found.get("x1")
    if seconds is not None and not 0 <= seconds * 1e3 < MOST_POSITION_MS:
        return None
    role = Role.UNKNOWN
    if primary is not None:
        role = Role.PRIMARY if primary >= 0.5 else Role.REPLICA
    return Report(None if seconds is None else math.floor(seconds * 1e6), role)


class ReplyReader:
    """Reads a connection's answers, one after the other; the first is the greeting (`greeted` is False until then)."""

    def __init__(self) -> None:
        self._reader = pg.backend_reader(LIMITS)
        self._due = b"R"
        self._begin()

    def _begin(self) -> None:
        self._answer: Answer | None = None
        self._parts: list[bytes] = []
        self._value = b""
        self._parameters: dict[str, str] = {}
        self._messages = 0

    @property
    def pending(self) -> int:
        """Bytes behind what was understood: they belong to no answer."""
        return self._reader.pending

    def feed(self, data: bytes) -> Answer | None:
        """Add bytes; the answer, once it is whole. Raises `InvalidReplyError`."""
        self._reader.feed(data)
        try:
            while (message := self._reader.take()) is not None:
                self._messages += 1
                if self._messages > MOST_MESSAGES:
                    raise InvalidReplyError("messages without end")
                if self._take(message):
                    answer, self._due = self._answer, b"T"
                    self._begin()
                    return answer
        except ProtocolError as problem:
            raise InvalidReplyError(str(problem)) from None
        return None

    def answer_at_close(self) -> Answer | None:
        """The connection ended: an error that had come whole stands, after a fatal one nothing more is owed."""
        return self._answer if self._answer is not None and self._answer.outcome is not Outcome.SERVED else None

    def _take(self, message: pg.Message) -> bool:
        """One message; True when it ends the answer. Raises `InvalidReplyError` or `ProtocolError`."""
        kind = message.kind
        if kind == b"S":
            name, value = pg.status(message)
            self._parameters[name] = value
            return False
        if kind == b"N":
            pg.fields(message)
            return False
        if kind == b"K" and self._due in b"RZ" and self._answer is None:
            return False
        if kind == b"E" and self._answer is None:
            # What the table names; a value of theirs is never shown to a client, only to the log.
            state = pg.fields(message).get("C", "")
            outcome = Outcome.MISS if state in MISSES else Outcome.FULL if state == TURNED_AWAY else Outcome.ERROR
            if self._parts:  # it had begun to answer: whatever it says now, it has run
                outcome = Outcome.ERROR
            self._answer = Answer(outcome, sqlstate=state[:5], parameters=self._parameters)
            self._due = b"Z"
            return False
        if kind != self._due:
            raise InvalidReplyError(f"expected {pg.BACKEND[self._due]}, got {pg.BACKEND[kind]}")
        if kind == b"Z":
            pg.ready(message)
            if self._answer is None:
                self._answer = Answer(Outcome.SERVED, b"".join(self._parts), self._value, "", self._parameters)
            return True
        self._parts.append(message.encode())
        if kind == b"R":
            if pg.authentication(message)[0] != 0:
                raise InvalidReplyError("asks for a password")
            self._due = b"Z"
        elif kind == b"T":
            if pg.columns(message) != 1:
                raise InvalidReplyError("expected one column")
            self._due = b"D"
        elif kind == b"D":
            values = pg.row(message)
            if len(values) != 1 or values[0] is None:
                raise InvalidReplyError("expected a row of one value")
            self._value = values[0]
            self._due = b"C"
        else:
            pg.complete(message)
            self._due = b"Z"
        return False
