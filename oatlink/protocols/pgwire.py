"""The PostgreSQL frontend/backend protocol, version 3.0, without I/O: feed bytes, take messages.

Source: the PostgreSQL documentation, chapter "Frontend/Backend Protocol" (message flow; message formats; error and
notice message fields; SASL authentication). This module contains framing, limits, encoding and the fields of each
message. The meaning and routing of statements are elsewhere.

The readers are incremental: however the bytes are split, the messages are the same. A length is checked before memory
is allocated for it. The body of a message is parsed only on demand (`startup`, `parse_message`, ...), because a proxy
forwards most messages unchanged.
"""

import struct
from dataclasses import dataclass
from typing import NoReturn

from oatlink.protocols.buffer import DEFAULT_LIMITS, Buffer, Limits, ProtocolError

PROTOCOL = 3 << 16
# Request codes sent in place of a protocol version: CancelRequest, SSLRequest, GSSENCRequest.
CANCEL, SSL, GSSENC = 80877102, 80877103, 80877104
STARTUP_BYTES = 10_000  # the reference server's MAX_STARTUP_PACKET_LENGTH
SMALL_BYTES = 30_000  # for messages without user data: the reference server's PQ_SMALL_MESSAGE_LIMIT
MAX_PARAMETERS = 65_535  # counts are Int16, which the reference server reads as unsigned
# Limits on what is parsed field by field. A message of 10,000 bytes has room for thousands of empty fields, which would
# take milliseconds, in which a proxy does nothing else.
MAX_STARTUP_PARAMETERS = 256  # of the reference server's settings, about 350, a client sets a few
MAX_ERROR_FIELDS = 64  # the documentation names 18
MAX_COLUMNS = 1_664  # the reference server's MaxTupleAttributeNumber

# Message types by their first byte, with the names used in the documentation.
FRONTEND = {
    b"Q": "Query",
    b"P": "Parse",
    b"B": "Bind",
    b"D": "Describe",
    b"E": "Execute",
    b"C": "Close",
    b"S": "Sync",
    b"H": "Flush",
    b"X": "Terminate",
    b"F": "FunctionCall",
    b"d": "CopyData",
    b"c": "CopyDone",
    b"f": "CopyFail",
    b"p": "PasswordMessage",  # also SASLInitialResponse, SASLResponse and GSSResponse
}
BACKEND = {
    b"R": "Authentication",
    b"S": "ParameterStatus",
    b"K": "BackendKeyData",
    b"Z": "ReadyForQuery",
    b"T": "RowDescription",
    b"D": "DataRow",
    b"C": "CommandComplete",
    b"E": "ErrorResponse",
    b"N": "NoticeResponse",
    b"A": "NotificationResponse",
    b"1": "ParseComplete",
    b"2": "BindComplete",
    b"3": "CloseComplete",
    b"n": "NoData",
    b"t": "ParameterDescription",
    b"s": "PortalSuspended",
    b"I": "EmptyQueryResponse",
    b"G": "CopyInResponse",
    b"H": "CopyOutResponse",
    b"W": "CopyBothResponse",
    b"d": "CopyData",
    b"c": "CopyDone",
    b"V": "FunctionCallResponse",
    b"v": "NegotiateProtocolVersion",
}
SMALL = frozenset(b"DECSHXcf")  # frontend messages of names and numbers only, limited to SMALL_BYTES
_INT16, _INT32 = struct.Struct("!h"), struct.Struct("!i")


def _raise_violation(text: str) -> NoReturn:
    raise ProtocolError(f"08P01 {text}")  # SQLSTATE protocol_violation


@dataclass(frozen=True, slots=True)
class Message:
    """A message as sent: its first byte (empty before the connection is set up) and its body."""

    kind: bytes
    body: bytes

    def encode(self) -> bytes:
        """Return its bytes on the wire."""
        return self.kind + _INT32.pack(len(self.body) + 4) + self.body


class Reader:
    """Splits a stream of bytes into messages.

    Raises `ProtocolError` for an unknown first byte, or a length that is invalid or above the limits; the text of the
    error begins with the SQLSTATE to send to the client. The stream cannot be read any further after an error.
    """

    def __init__(self, names: dict[bytes, str], startup: bool, limits: Limits = DEFAULT_LIMITS) -> None:
        """`names`: the message types expected; `startup`: messages have no type byte until `end_startup` is called."""
        self._names, self._startup, self._limits = names, startup, limits
        self._buffer = Buffer(limits)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer.feed(data)

    def clear(self) -> None:
        """Discard the bytes received and not yet taken, and free their memory."""
        self._buffer.clear()

    @property
    def pending(self) -> int:
        """The number of bytes received and not yet taken."""
        return self._buffer.pending

    def end_startup(self) -> None:
        """Expect a type byte in each message from now on; called once the StartupMessage has been taken."""
        self._startup = False

    def take(self) -> Message | None:
        """Return the next complete message, or None if more bytes are needed."""
        buffer = self._buffer
        type_size = 0 if self._startup else 1
        if buffer.pending < 4 + type_size:
            if type_size and buffer.pending:
                self._check_kind(bytes(buffer.data[buffer.position : buffer.position + 1]))
            return None
        start = buffer.position
        kind = bytes(buffer.data[start : start + type_size])
        if type_size:
            self._check_kind(kind)
        (length,) = _INT32.unpack_from(buffer.data, start + type_size)
        longest = self._max_length(kind)
        shortest = 8 if self._startup else 4
        if not shortest <= length <= longest:
            name = self._names.get(kind, "StartupMessage")
            _raise_violation(f"invalid length of {name}: expected {shortest} to {longest} bytes, got {length}")
        if buffer.pending < type_size + length:
            return None
        message = Message(kind, buffer.copy(start + type_size + 4, start + type_size + length))
        buffer.consume(start + type_size + length)
        return message

    def _check_kind(self, kind: bytes) -> None:
        if kind not in self._names:
            _raise_violation(f"invalid message type 0x{kind[0]:02x}")

    def _max_length(self, kind: bytes) -> int:
        if self._startup:
            return STARTUP_BYTES
        if self._names is FRONTEND and kind[0] in SMALL:
            return SMALL_BYTES
        return self._limits.message_bytes


def frontend_reader(limits: Limits = DEFAULT_LIMITS) -> Reader:
    """Return a reader for what a client sends from the start of its connection."""
    return Reader(FRONTEND, True, limits)


def backend_reader(limits: Limits = DEFAULT_LIMITS) -> Reader:
    """Return a reader for what a server sends, after its one-byte reply to an SSLRequest or GSSENCRequest."""
    return Reader(BACKEND, False, limits)


# ---- Parsing message bodies ----


class _BodyReader:
    """Reads the fields of a message in order. Raises `ProtocolError` if the body is too short or too long."""

    def __init__(self, name: str, body: bytes) -> None:
        self._name, self._body, self._position = name, body, 0

    def _raise_truncated(self) -> NoReturn:
        _raise_violation(f"{self._name}: ends in the middle of a field, at byte {self._position}")

    def int16(self) -> int:
        if self._position + 2 > len(self._body):
            self._raise_truncated()
        (value,) = _INT16.unpack_from(self._body, self._position)
        self._position += 2
        return int(value)

    def count(self) -> int:
        """Read an Int16 that is a count: it is unsigned, as in the reference server."""
        return self.int16() & 0xFFFF

    def int32(self) -> int:
        if self._position + 4 > len(self._body):
            self._raise_truncated()
        (value,) = _INT32.unpack_from(self._body, self._position)
        self._position += 4
        return int(value)

    def raw(self, size: int) -> bytes:
        if size < 0 or self._position + size > len(self._body):
            self._raise_truncated()
        self._position += size
        return self._body[self._position - size : self._position]

    def text(self) -> bytes:
        end = self._body.find(b"\0", self._position)
        if end < 0:
            _raise_violation(f"{self._name}: string without its end, at byte {self._position}")
        text = self._body[self._position : end]
        self._position = end + 1
        return text

    def check_count(self, count: int, max_count: int, what: str) -> None:
        if count > max_count:
            _raise_violation(f"{self._name}: expected at most {max_count} {what}")

    def values(self, max_count: int = MAX_PARAMETERS) -> tuple[bytes | None, ...]:
        """Read an Int16 count and that many values, each with its length; None is NULL."""
        values: list[bytes | None] = []
        count = self.count()
        self.check_count(count, max_count, "values")
        for _ in range(count):
            size = self.int32()
            if size < -1:
                _raise_violation(f"{self._name}: expected a length of -1 or more, got {size}")
            values.append(None if size < 0 else self.raw(size))
        return tuple(values)

    def rest(self) -> bytes:
        rest, self._position = self._body[self._position :], len(self._body)
        return rest

    @property
    def has_more(self) -> bool:
        return self._position < len(self._body)

    def end(self) -> None:
        if self._position != len(self._body):
            _raise_violation(f"{self._name}: {len(self._body) - self._position} bytes too many")


@dataclass(frozen=True, slots=True)
class Startup:
    """StartupMessage: the protocol version and the client's parameters (user, database, application_name ...)."""

    version: int
    parameters: dict[str, str]


@dataclass(frozen=True, slots=True)
class Cancel:
    """CancelRequest: the server process whose statement is to be cancelled, and its secret key."""

    process: int
    key: bytes


def startup(message: Message) -> Startup | Cancel | int:
    """Parse the first message of a connection: a startup, a cancel request, or the code `SSL` or `GSSENC`."""
    body = _BodyReader("StartupMessage", message.body)
    code = body.int32()
    if code in (SSL, GSSENC):
        body.end()
        return code
    if code == CANCEL:
        process, key = body.int32(), body.rest()
        if not 4 <= len(key) <= 256:
            _raise_violation(f"CancelRequest: expected a key of 4 to 256 bytes, got {len(key)}")
        return Cancel(process, key)
    if code >> 16 != 3:
        raise ProtocolError(f"0A000 unsupported frontend protocol {code >> 16}.{code & 0xFFFF}: server supports 3.0")
    parameters: dict[str, str] = {}
    parameter_count = 0
    while name := body.text():
        parameter_count += 1
        body.check_count(parameter_count, MAX_STARTUP_PARAMETERS, "parameters")
        parameters[name.decode("utf-8", "replace")] = body.text().decode("utf-8", "replace")
    body.end()
    if not parameters.get("user"):
        raise ProtocolError("28000 no PostgreSQL user name specified in startup packet")
    return Startup(code, parameters)


@dataclass(frozen=True, slots=True)
class Parse:
    """Parse: a statement and its name; the empty name is the unnamed statement."""

    name: bytes
    statement: bytes
    types: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Bind:
    """Bind: creates a portal from a statement and its parameters; None is NULL."""

    portal: bytes
    statement: bytes
    formats: tuple[int, ...]
    values: tuple[bytes | None, ...]
    results: tuple[int, ...]


def query_text(message: Message) -> bytes:
    """Return the statements of a Query."""
    body = _BodyReader("Query", message.body)
    statements = body.text()
    body.end()
    return statements


def parse_message(message: Message) -> Parse:
    """Parse the body of a Parse."""
    body = _BodyReader("Parse", message.body)
    name, statement = body.text(), body.text()
    types = tuple(body.int32() & 0xFFFFFFFF for _ in range(body.count()))
    body.end()
    return Parse(name, statement, types)


def bind_message(message: Message) -> Bind:
    """Parse the body of a Bind."""
    body = _BodyReader("Bind", message.body)
    portal, statement = body.text(), body.text()
    formats = tuple(_checked_format(body.int16()) for _ in range(body.count()))
    values = body.values()
    results = tuple(_checked_format(body.int16()) for _ in range(body.count()))
    body.end()
    if len(formats) > 1 and len(formats) != len(values):
        _raise_violation(f"Bind: expected 0, 1 or {len(values)} parameter formats, got {len(formats)}")
    return Bind(portal, statement, formats, values, results)


def _checked_format(code: int) -> int:
    if code not in (0, 1):
        raise ProtocolError(f"22023 unsupported format code: {code}")
    return code


def target(message: Message) -> tuple[bytes, bytes]:
    """Return what a Describe or a Close refers to: `S` (statement) or `P` (portal), and its name."""
    body = _BodyReader(FRONTEND[message.kind], message.body)
    kind, name = body.raw(1), body.text()
    body.end()
    if kind not in (b"S", b"P"):
        _raise_violation(f"{FRONTEND[message.kind]}: expected S or P, got 0x{kind[0]:02x}")
    return kind, name


def execute(message: Message) -> tuple[bytes, int]:
    """Return an Execute's portal and the maximum number of rows; 0 is all."""
    body = _BodyReader("Execute", message.body)
    portal, max_rows = body.text(), body.int32()
    body.end()
    return portal, max_rows


def authentication(message: Message) -> tuple[int, bytes]:
    """Return an Authentication's code and data. 0: accepted; 10, 11, 12: SASL, its continuation and its end."""
    body = _BodyReader("Authentication", message.body)
    return body.int32(), body.rest()


def fields(message: Message) -> dict[str, str]:
    """Return the fields of an ErrorResponse or NoticeResponse by their letters; `C` is the SQLSTATE."""
    body = _BodyReader(BACKEND[message.kind], message.body)
    values: dict[str, str] = {}
    field_count = 0
    while body.has_more:
        letter = body.raw(1)
        if letter == b"\0":
            break
        field_count += 1
        body.check_count(field_count, MAX_ERROR_FIELDS, "fields")
        values[letter.decode("latin1")] = body.text().decode("utf-8", "replace")
    body.end()
    return values


def row(message: Message) -> tuple[bytes | None, ...]:
    """Return a DataRow's values; None is NULL."""
    body = _BodyReader("DataRow", message.body)
    values = body.values(MAX_COLUMNS)
    body.end()
    return values


def columns(message: Message) -> int:
    """Return the number of columns of a RowDescription; each one is checked to be complete."""
    body = _BodyReader("RowDescription", message.body)
    count = body.count()
    body.check_count(count, MAX_COLUMNS, "columns")
    for _ in range(count):
        body.text()
        body.raw(18)  # table OID, column number, type OID, type size, type modifier, format
    body.end()
    return count


def complete(message: Message) -> bytes:
    """Return a CommandComplete's tag."""
    body = _BodyReader("CommandComplete", message.body)
    tag = body.text()
    body.end()
    return tag


def status(message: Message) -> tuple[str, str]:
    """Return a ParameterStatus's name and value."""
    body = _BodyReader("ParameterStatus", message.body)
    name, value = body.text().decode("utf-8", "replace"), body.text().decode("utf-8", "replace")
    body.end()
    return name, value


def ready(message: Message) -> bytes:
    """Return a ReadyForQuery's state: `I` idle, `T` in a transaction block, `E` in a failed one."""
    if message.body not in (b"I", b"T", b"E"):
        _raise_violation(f"ReadyForQuery: expected I, T or E, got {message.body[:8]!r}")
    return message.body


# ---- Encoding messages ----


def _encode_string(value: bytes) -> bytes:
    if b"\0" in value:
        _raise_violation("a string of the protocol cannot hold a zero byte")
    return value + b"\0"


def _encode_integers(values: tuple[int, ...], layout: struct.Struct) -> bytes:
    if len(values) > MAX_PARAMETERS:
        _raise_violation(f"expected at most {MAX_PARAMETERS} items, got {len(values)}")
    return struct.pack("!H", len(values)) + b"".join(layout.pack(value) for value in values)


def _encode_values(values: tuple[bytes | None, ...]) -> bytes:
    if len(values) > MAX_PARAMETERS:
        _raise_violation(f"expected at most {MAX_PARAMETERS} items, got {len(values)}")
    parts = [b"\xff\xff\xff\xff" if value is None else _INT32.pack(len(value)) + value for value in values]
    return struct.pack("!H", len(values)) + b"".join(parts)


def make_startup(parameters: dict[str, str], version: int = PROTOCOL) -> Message:
    """Make a StartupMessage."""
    pairs = b"".join(
        _encode_string(name.encode()) + _encode_string(value.encode()) for name, value in parameters.items()
    )
    return Message(b"", _INT32.pack(version) + pairs + b"\0")


def make_cancel(request: Cancel) -> Message:
    """Make a CancelRequest."""
    return Message(b"", _INT32.pack(CANCEL) + _INT32.pack(request.process) + request.key)


def make_request(code: int) -> Message:
    """Make an SSLRequest (`SSL`) or GSSENCRequest (`GSSENC`)."""
    return Message(b"", _INT32.pack(code))


def make_query(text: bytes) -> Message:
    """Make a Query."""
    return Message(b"Q", _encode_string(text))


def make_parse(parse: Parse) -> Message:
    """Make a Parse."""
    types = tuple(value - (1 << 32) if value >= 1 << 31 else value for value in parse.types)
    return Message(b"P", _encode_string(parse.name) + _encode_string(parse.statement) + _encode_integers(types, _INT32))


def make_bind(bind: Bind) -> Message:
    """Make a Bind."""
    names = _encode_string(bind.portal) + _encode_string(bind.statement)
    return Message(
        b"B",
        names
        + _encode_integers(bind.formats, _INT16)
        + _encode_values(bind.values)
        + _encode_integers(bind.results, _INT16),
    )


def make_target(kind: bytes, what: bytes, name: bytes) -> Message:
    """Make a Describe (`D`) or a Close (`C`); `what` is `S` (statement) or `P` (portal)."""
    return Message(kind, what + _encode_string(name))


def make_execute(portal: bytes, rows: int = 0) -> Message:
    """Make an Execute."""
    return Message(b"E", _encode_string(portal) + _INT32.pack(rows))


def make_authentication(code: int, data: bytes = b"") -> Message:
    """Make an Authentication."""
    return Message(b"R", _INT32.pack(code) + data)


def make_error(sqlstate: str, text: str, severity: str = "ERROR", kind: bytes = b"E", detail: str = "") -> Message:
    """Make an ErrorResponse, or a NoticeResponse (`N`). Fields: S and V severity, C SQLSTATE, M message, D detail."""
    parts = [("S", severity), ("V", severity), ("C", sqlstate), ("M", text)]
    if detail:
        parts.append(("D", detail))
    return Message(kind, b"".join(name.encode() + _encode_string(value.encode()) for name, value in parts) + b"\0")


def make_row(values: tuple[bytes | None, ...]) -> Message:
    """Make a DataRow."""
    return Message(b"D", _encode_values(values))


def make_columns(names: tuple[bytes, ...], types: tuple[int, ...]) -> Message:
    """Make a RowDescription of columns in text format that belong to no table; `types` are type OIDs."""
    parts = [
        _encode_string(name) + struct.pack("!ihihih", 0, 0, kind, -1, -1, 0)
        for name, kind in zip(names, types, strict=True)
    ]
    return Message(b"T", struct.pack("!H", len(parts)) + b"".join(parts))


def make_ready(state: bytes = b"I") -> Message:
    """Make a ReadyForQuery."""
    return Message(b"Z", state)


def make_complete(tag: bytes) -> Message:
    """Make a CommandComplete."""
    return Message(b"C", _encode_string(tag))


def make_status(name: str, value: str) -> Message:
    """Make a ParameterStatus."""
    return Message(b"S", _encode_string(name.encode()) + _encode_string(value.encode()))


def refusal(problem: ProtocolError) -> Message:
    """Make the ErrorResponse that a server sends for a protocol error before it closes the connection."""
    sqlstate, _, text = str(problem).partition(" ")
    return make_error(sqlstate, text, "FATAL")
