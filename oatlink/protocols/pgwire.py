"""The PostgreSQL frontend/backend protocol, version 3.0, without I/O: feed bytes, take messages.

Source: the PostgreSQL documentation, chapter "Frontend/Backend Protocol" (message flow; message formats; error and
notice message fields; SASL authentication). What may live here: framing, limits, encoding, what each message holds.
What a statement means, and where it goes, lives elsewhere.

The readers are incremental: any split of the bytes gives the same messages. A length is tested before memory is taken
for it. A message's inside is read only by who needs it (`startup`, `parse_message`, ...): a proxy passes most on.
"""

import struct
from dataclasses import dataclass
from typing import NoReturn

from oatlink.protocols.buffer import DEFAULT_LIMITS, Buffer, Limits, ProtocolError

PROTOCOL = 3 << 16
CANCEL, SSL, GSSENC = 80877102, 80877103, 80877104  # in place of a version: "CancelRequest", "SSLRequest", ...
STARTUP_BYTES = 10_000  # the reference server's MAX_STARTUP_PACKET_LENGTH
SMALL_BYTES = 30_000  # of messages that hold no data of users: the reference server's PQ_SMALL_MESSAGE_LIMIT
MAX_PARAMETERS = 65_535  # Int16 counts, as the reference server reads them

# By their first byte, as the documentation names them.
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
SMALL = frozenset(b"DECSHXcf")  # frontend messages bounded by SMALL_BYTES: names and numbers only
_INT16, _INT32 = struct.Struct("!h"), struct.Struct("!i")


def _wrong(text: str) -> NoReturn:
    raise ProtocolError(f"08P01 {text}")  # SQLSTATE protocol_violation


@dataclass(frozen=True, slots=True)
class Message:
    """One message as it crossed the wire: its first byte (empty before a connection is set up) and its inside."""

    kind: bytes
    body: bytes

    def encode(self) -> bytes:
        """Its bytes on the wire."""
        return self.kind + _INT32.pack(len(self.body) + 4) + self.body


class Reader:
    """Cuts a stream of bytes into messages.

    Raises `ProtocolError` for an unknown first byte, a length that the documentation does not allow, or one above the
    limits; its text begins with the SQLSTATE that a server answers. The stream cannot be read further then.
    """

    def __init__(self, names: dict[bytes, str], startup: bool, limits: Limits = DEFAULT_LIMITS) -> None:
        """`names`: what may come; `startup`: the first messages have no first byte (frontends, until set up)."""
        self._names, self._startup, self._limits = names, startup, limits
        self._buffer = Buffer(limits)

    def feed(self, data: bytes) -> None:
        """Add bytes received."""
        self._buffer.feed(data)

    @property
    def pending(self) -> int:
        """Bytes received and not yet taken."""
        return self._buffer.pending

    def end_startup(self) -> None:
        """A StartupMessage was taken: what follows has a first byte."""
        self._startup = False

    def take(self) -> Message | None:
        """The next whole message, or None until more bytes come."""
        buffer = self._buffer
        head = 0 if self._startup else 1
        if buffer.pending < 4 + head:
            if head and buffer.pending:
                self._known(bytes(buffer.data[buffer.at : buffer.at + 1]))
            return None
        at = buffer.at
        kind = bytes(buffer.data[at : at + head])
        if head:
            self._known(kind)
        (length,) = _INT32.unpack_from(buffer.data, at + head)
        most = self._most(kind)
        least = 8 if self._startup else 4
        if not least <= length <= most:
            what = self._names.get(kind, "StartupMessage")
            _wrong(f"invalid length of {what}: expected {least} to {most} bytes, got {length}")
        if buffer.pending < head + length:
            return None
        message = Message(kind, buffer.cut(at + head + 4, at + head + length))
        buffer.at = at + head + length
        return message

    def _known(self, kind: bytes) -> None:
        if kind not in self._names:
            _wrong(f"invalid message type 0x{kind[0]:02x}")

    def _most(self, kind: bytes) -> int:
        if self._startup:
            return STARTUP_BYTES
        if self._names is FRONTEND and kind[0] in SMALL:
            return SMALL_BYTES
        return self._limits.message_bytes


def frontend_reader(limits: Limits = DEFAULT_LIMITS) -> Reader:
    """For what clients send, from their first byte on."""
    return Reader(FRONTEND, True, limits)


def backend_reader(limits: Limits = DEFAULT_LIMITS) -> Reader:
    """For what servers send; the one byte that answers an SSLRequest or GSSENCRequest must be taken before."""
    return Reader(BACKEND, False, limits)


# ---- The inside of messages ----


class _Inside:
    """Reads a message's fields in their order. Raises `ProtocolError` where they end too early or too late."""

    def __init__(self, what: str, body: bytes) -> None:
        self._what, self._body, self._at = what, body, 0

    def _short(self) -> NoReturn:
        _wrong(f"{self._what}: ends in the middle of a field, at byte {self._at}")

    def int16(self) -> int:
        if self._at + 2 > len(self._body):
            self._short()
        (found,) = _INT16.unpack_from(self._body, self._at)
        self._at += 2
        return int(found)

    def count(self) -> int:
        """An Int16 that counts: read without its sign, as the reference server does."""
        return self.int16() & 0xFFFF

    def int32(self) -> int:
        if self._at + 4 > len(self._body):
            self._short()
        (found,) = _INT32.unpack_from(self._body, self._at)
        self._at += 4
        return int(found)

    def raw(self, size: int) -> bytes:
        if size < 0 or self._at + size > len(self._body):
            self._short()
        self._at += size
        return self._body[self._at - size : self._at]

    def text(self) -> bytes:
        end = self._body.find(b"\0", self._at)
        if end < 0:
            _wrong(f"{self._what}: string without its end, at byte {self._at}")
        found = self._body[self._at : end]
        self._at = end + 1
        return found

    def values(self) -> tuple[bytes | None, ...]:
        """So many values as an Int16 says, each with its length; None is NULL."""
        found: list[bytes | None] = []
        for _ in range(self.count()):
            size = self.int32()
            if size < -1:
                _wrong(f"{self._what}: expected a length of -1 or more, got {size}")
            found.append(None if size < 0 else self.raw(size))
        return tuple(found)

    def rest(self) -> bytes:
        found, self._at = self._body[self._at :], len(self._body)
        return found

    @property
    def more(self) -> bool:
        return self._at < len(self._body)

    def end(self) -> None:
        if self._at != len(self._body):
            _wrong(f"{self._what}: {len(self._body) - self._at} bytes too many")


@dataclass(frozen=True, slots=True)
class Startup:
    """StartupMessage: a version and the client's parameters (user, database, application_name ...)."""

    version: int
    parameters: dict[str, str]


@dataclass(frozen=True, slots=True)
class Cancel:
    """CancelRequest: whose statement, and the key that proves it."""

    process: int
    key: bytes


def startup(message: Message) -> Startup | Cancel | int:
    """The first message of a connection: a startup, a cancel request, or `SSL` or `GSSENC`."""
    inside = _Inside("StartupMessage", message.body)
    code = inside.int32()
    if code in (SSL, GSSENC):
        inside.end()
        return code
    if code == CANCEL:
        process, key = inside.int32(), inside.rest()
        if not 4 <= len(key) <= 256:
            _wrong(f"CancelRequest: expected a key of 4 to 256 bytes, got {len(key)}")
        return Cancel(process, key)
    if code >> 16 != 3:
        raise ProtocolError(f"0A000 unsupported frontend protocol {code >> 16}.{code & 0xFFFF}: server supports 3.0")
    parameters: dict[str, str] = {}
    while name := inside.text():
        parameters[name.decode("utf-8", "replace")] = inside.text().decode("utf-8", "replace")
    inside.end()
    if not parameters.get("user"):
        raise ProtocolError("28000 no PostgreSQL user name specified in startup packet")
    return Startup(code, parameters)


@dataclass(frozen=True, slots=True)
class Parse:
    """Parse: a statement under a name; the empty name is the unnamed statement."""

    name: bytes
    statement: bytes
    types: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Bind:
    """Bind: a portal made of a statement and its parameters; None is NULL."""

    portal: bytes
    statement: bytes
    formats: tuple[int, ...]
    values: tuple[bytes | None, ...]
    results: tuple[int, ...]


def query_text(message: Message) -> bytes:
    """The statements of a Query."""
    inside = _Inside("Query", message.body)
    found = inside.text()
    inside.end()
    return found


def parse_message(message: Message) -> Parse:
    """The inside of a Parse."""
    inside = _Inside("Parse", message.body)
    name, statement = inside.text(), inside.text()
    types = tuple(inside.int32() & 0xFFFFFFFF for _ in range(inside.count()))
    inside.end()
    return Parse(name, statement, types)


def bind_message(message: Message) -> Bind:
    """The inside of a Bind."""
    inside = _Inside("Bind", message.body)
    portal, statement = inside.text(), inside.text()
    formats = tuple(_format(inside.int16()) for _ in range(inside.count()))
    values = inside.values()
    results = tuple(_format(inside.int16()) for _ in range(inside.count()))
    inside.end()
    if len(formats) > 1 and len(formats) != len(values):
        _wrong(f"Bind: expected 0, 1 or {len(values)} parameter formats, got {len(formats)}")
    return Bind(portal, statement, formats, values, results)


def _format(code: int) -> int:
    if code not in (0, 1):
        raise ProtocolError(f"22023 unsupported format code: {code}")
    return code


def target(message: Message) -> tuple[bytes, bytes]:
    """What a Describe or a Close is about: `S` (statement) or `P` (portal), and its name."""
    inside = _Inside(FRONTEND[message.kind], message.body)
    what, name = inside.raw(1), inside.text()
    inside.end()
    if what not in (b"S", b"P"):
        _wrong(f"{FRONTEND[message.kind]}: expected S or P, got 0x{what[0]:02x}")
    return what, name


def execute(message: Message) -> tuple[bytes, int]:
    """An Execute's portal, and the most rows wanted; 0 is all."""
    inside = _Inside("Execute", message.body)
    found = inside.text(), inside.int32()
    inside.end()
    return found


def authentication(message: Message) -> tuple[int, bytes]:
    """An Authentication's code (0: accepted, 10, 11, 12: SASL, its continuation and its end) and its data."""
    inside = _Inside("Authentication", message.body)
    return inside.int32(), inside.rest()


def fields(message: Message) -> dict[str, str]:
    """An ErrorResponse's or NoticeResponse's fields by their letters; `C` is the SQLSTATE."""
    inside = _Inside(BACKEND[message.kind], message.body)
    found: dict[str, str] = {}
    while inside.more:
        letter = inside.raw(1)
        if letter == b"\0":
            break
        found[letter.decode("latin1")] = inside.text().decode("utf-8", "replace")
    inside.end()
    return found


def row(message: Message) -> tuple[bytes | None, ...]:
    """A DataRow's values; None is NULL."""
    inside = _Inside("DataRow", message.body)
    values = inside.values()
    inside.end()
    return values


def columns(message: Message) -> int:
    """How many columns a RowDescription describes, each of them whole."""
    inside = _Inside("RowDescription", message.body)
    count = inside.count()
    for _ in range(count):
        inside.text()
        inside.raw(18)  # table, column, type, its size, its modifier, format
    inside.end()
    return count


def complete(message: Message) -> bytes:
    """A CommandComplete's tag."""
    inside = _Inside("CommandComplete", message.body)
    tag = inside.text()
    inside.end()
    return tag


def status(message: Message) -> tuple[str, str]:
    """A ParameterStatus: a name and its value."""
    inside = _Inside("ParameterStatus", message.body)
    name, value = inside.text().decode("utf-8", "replace"), inside.text().decode("utf-8", "replace")
    inside.end()
    return name, value


def ready(message: Message) -> bytes:
    """A ReadyForQuery's state: `I` idle, `T` in a transaction block, `E` in a failed one."""
    if message.body not in (b"I", b"T", b"E"):
        _wrong(f"ReadyForQuery: expected I, T or E, got {message.body[:8]!r}")
    return message.body


# ---- Making messages ----


def _text(value: bytes) -> bytes:
    if b"\0" in value:
        _wrong("a string of the protocol cannot hold a zero byte")
    return value + b"\0"


def _counted(values: tuple[int, ...], one: struct.Struct) -> bytes:
    if len(values) > MAX_PARAMETERS:
        _wrong(f"expected at most {MAX_PARAMETERS} items, got {len(values)}")
    return struct.pack("!H", len(values)) + b"".join(one.pack(value) for value in values)


def _values(values: tuple[bytes | None, ...]) -> bytes:
    if len(values) > MAX_PARAMETERS:
        _wrong(f"expected at most {MAX_PARAMETERS} items, got {len(values)}")
    parts = [b"\xff\xff\xff\xff" if one is None else _INT32.pack(len(one)) + one for one in values]
    return struct.pack("!H", len(values)) + b"".join(parts)


def make_startup(parameters: dict[str, str], version: int = PROTOCOL) -> Message:
    """A StartupMessage."""
    pairs = b"".join(_text(name.encode()) + _text(value.encode()) for name, value in parameters.items())
    return Message(b"", _INT32.pack(version) + pairs + b"\0")


def make_cancel(one: Cancel) -> Message:
    """A CancelRequest."""
    return Message(b"", _INT32.pack(CANCEL) + _INT32.pack(one.process) + one.key)


def make_request(code: int) -> Message:
    """An SSLRequest (`SSL`) or GSSENCRequest (`GSSENC`)."""
    return Message(b"", _INT32.pack(code))


def make_query(text: bytes) -> Message:
    """A Query."""
    return Message(b"Q", _text(text))


def make_parse(one: Parse) -> Message:
    """A Parse."""
    types = tuple(value - (1 << 32) if value >= 1 << 31 else value for value in one.types)
    return Message(b"P", _text(one.name) + _text(one.statement) + _counted(types, _INT32))


def make_bind(one: Bind) -> Message:
    """A Bind."""
    names = _text(one.portal) + _text(one.statement)
    return Message(b"B", names + _counted(one.formats, _INT16) + _values(one.values) + _counted(one.results, _INT16))


def make_target(kind: bytes, what: bytes, name: bytes) -> Message:
    """A Describe (`D`) or a Close (`C`)."""
    return Message(kind, what + _text(name))


def make_execute(portal: bytes, rows: int = 0) -> Message:
    """An Execute."""
    return Message(b"E", _text(portal) + _INT32.pack(rows))


def make_authentication(code: int, data: bytes = b"") -> Message:
    """An Authentication."""
    return Message(b"R", _INT32.pack(code) + data)


def make_error(sqlstate: str, text: str, severity: str = "ERROR", kind: bytes = b"E", detail: str = "") -> Message:
    """An ErrorResponse, or a NoticeResponse (`N`); S and V are the severity, C the SQLSTATE, M text, D detail."""
    parts = [("S", severity), ("V", severity), ("C", sqlstate), ("M", text)]
    if detail:
        parts.append(("D", detail))
    return Message(kind, b"".join(name.encode() + _text(value.encode()) for name, value in parts) + b"\0")


def make_row(values: tuple[bytes | None, ...]) -> Message:
    """A DataRow."""
    return Message(b"D", _values(values))


def make_columns(names: tuple[bytes, ...], types: tuple[int, ...]) -> Message:
    """A RowDescription of text columns that belong to no table; `types` are type OIDs."""
    parts = [
        _text(name) + struct.pack("!ihihih", 0, 0, kind, -1, -1, 0) for name, kind in zip(names, types, strict=True)
    ]
    return Message(b"T", struct.pack("!H", len(parts)) + b"".join(parts))


def make_ready(state: bytes = b"I") -> Message:
    """A ReadyForQuery."""
    return Message(b"Z", state)


def make_complete(tag: bytes) -> Message:
    """A CommandComplete."""
    return Message(b"C", _text(tag))


def make_status(name: str, value: str) -> Message:
    """A ParameterStatus."""
    return Message(b"S", _text(name.encode()) + _text(value.encode()))


def refusal(problem: ProtocolError) -> Message:
    """What a server answers to a mistake of the protocol, before it closes the connection."""
    sqlstate, _, text = str(problem).partition(" ")
    return make_error(sqlstate, text, "FATAL")
