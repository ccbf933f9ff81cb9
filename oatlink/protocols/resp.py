"""RESP2 and RESP3 without I/O: feed bytes, take commands or replies.

Source: the Redis serialization protocol specification (redis.io, "RESP"); where it is silent, the limits and error
texts are those of the reference server. This module contains framing, limits and encoding only. The meaning of
commands is in `oatlink.core.commands`.

Both readers are incremental: however the bytes are split, the messages are the same. Limits are checked on the header
that announces a length, before memory is allocated for it; a header is at most `MAX_HEADER_BYTES` long.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from oatlink.protocols.buffer import DEFAULT_LIMITS as DEFAULT_LIMITS
from oatlink.protocols.buffer import Buffer
from oatlink.protocols.buffer import Limits as Limits
from oatlink.protocols.buffer import ProtocolError as ProtocolError

CRLF = b"\r\n"
MAX_HEADER_BYTES = 64  # a length line; a 64-bit number with its sign needs 20
INT64 = 2**63


# ---- Values ----


@dataclass(frozen=True, slots=True)
class Simple:
    """`+`: a simple string, without CR or LF."""

    text: bytes


@dataclass(frozen=True, slots=True)
class Error:
    """`-`, or `!` if `blob` is set: an error; its first word is the prefix, such as `ERR`."""

    text: bytes
    blob: bool = False

    @property
    def prefix(self) -> bytes:
        """The first word of the text."""
        return self.text.split(b" ", 1)[0]


@dataclass(frozen=True, slots=True)
class Null:
    """`_`, or one of RESP2's nulls: `kind` is `$` for a null bulk string and `*` for a null array."""

    kind: bytes = b"_"


@dataclass(frozen=True, slots=True)
class Double:
    """`,`: a floating-point number as the text that was sent, so that no precision is lost."""

    text: bytes

    @property
    def value(self) -> float:
        """The parsed number."""
        return float(self.text)


@dataclass(frozen=True, slots=True)
class BigNumber:
    """`(`: an integer of any size."""

    value: int


@dataclass(frozen=True, slots=True)
class Verbatim:
    """`=`: text with a three-letter format."""

    form: bytes
    data: bytes


@dataclass(frozen=True, slots=True)
class Array:
    """`*`: an array."""

    items: tuple["Value", ...]


@dataclass(frozen=True, slots=True)
class SetOf:
    """`~`: a set; its items keep the order in which they were sent."""

    items: tuple["Value", ...]


@dataclass(frozen=True, slots=True)
class Push:
    """`>`: out-of-band data."""

    items: tuple["Value", ...]


@dataclass(frozen=True, slots=True)
class Map:
    """`%`: a map, as pairs in the order in which they were sent."""

    pairs: tuple[tuple["Value", "Value"], ...]


@dataclass(frozen=True, slots=True)
class Attribute:
    """`|`: metadata, as pairs, and the value that it describes."""

    pairs: tuple[tuple["Value", "Value"], ...]
    value: "Value"


# An int is sent as `:`, bytes as `$` and a bool as `#`.
Value = (
    int | bytes | bool | Simple | Error | Null | Double | BigNumber | Verbatim | Array | SetOf | Push | Map | Attribute
)
OK = b"+OK\r\n"
QUEUED = b"+QUEUED\r\n"


# ---- Encoding ----


def encode_command(args: Sequence[bytes]) -> bytes:
    """Encode a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(args)]
    parts += [b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args]
    return b"".join(parts)


def command(*words: str | bytes | int) -> bytes:
    """Encode a command whose words are bytes, text or integers."""
    return encode_command([word if isinstance(word, bytes) else str(word).encode() for word in words])


def error(text: str) -> bytes:
    """Encode a simple error. CR and LF would end it early and become spaces."""
    return b"-" + text.replace("\r", " ").replace("\n", " ").encode("utf-8", "replace") + CRLF


def bulk(data: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def encode(value: Value, protocol: int = 3) -> bytes:
    """Encode a value. With `protocol` 2, RESP3 types are replaced by what servers send to RESP2 clients instead."""
    out: list[bytes] = []
    _encode(value, protocol, out)
    return b"".join(out)


def _encode(value: Value, protocol: int, out: list[bytes]) -> None:
    if isinstance(value, bool):
        out.append((b"#t\r\n" if value else b"#f\r\n") if protocol >= 3 else b":%d\r\n" % value)
    elif isinstance(value, int):
        out.append(b":%d\r\n" % value)
    elif isinstance(value, bytes):
        out.append(bulk(value))
    elif isinstance(value, Simple):
        out.append(b"+%b\r\n" % value.text)
    elif isinstance(value, Error):
        blob = value.blob and protocol >= 3
        out.append(b"!%d\r\n%b\r\n" % (len(value.text), value.text) if blob else b"-%b\r\n" % value.text)
    elif isinstance(value, Null):
        # RESP3 has a single null; its clients need not understand the two nulls of RESP2.
        out.append(b"_\r\n" if protocol >= 3 else b"*-1\r\n" if value.kind == b"*" else b"$-1\r\n")
    elif isinstance(value, Double):
        out.append(b",%b\r\n" % value.text if protocol >= 3 else bulk(value.text))
    elif isinstance(value, BigNumber):
        text = b"%d" % value.value
        out.append(b"(%b\r\n" % text if protocol >= 3 else bulk(text))
    elif isinstance(value, Verbatim):
        text = b"%b:%b" % (value.form, value.data)
        out.append(b"=%d\r\n%b\r\n" % (len(text), text) if protocol >= 3 else bulk(value.data))
    elif isinstance(value, Array | SetOf | Push):
        type_byte = {Array: b"*", SetOf: b"~", Push: b">"}[type(value)] if protocol >= 3 else b"*"
        out.append(b"%b%d\r\n" % (type_byte, len(value.items)))
        for item in value.items:
            _encode(item, protocol, out)
    elif isinstance(value, Map):
        out.append(b"%%%d\r\n" % len(value.pairs) if protocol >= 3 else b"*%d\r\n" % (2 * len(value.pairs)))
        _encode_pairs(value.pairs, protocol, out)
    else:
        if protocol >= 3:
            out.append(b"|%d\r\n" % len(value.pairs))
            _encode_pairs(value.pairs, protocol, out)
        _encode(value.value, protocol, out)


def _encode_pairs(pairs: Iterable[tuple[Value, Value]], protocol: int, out: list[bytes]) -> None:
    for key, value in pairs:
        _encode(key, protocol, out)
        _encode(value, protocol, out)


# ---- Reading ----


def _parse_integer(text: bytes, problem: str) -> int:
    """Parse a decimal integer as the specification defines it: an optional sign and digits, nothing else."""
    digits = text[1:] if text[:1] in (b"-", b"+") else text
    if not digits.isdigit() or len(digits) > 19:
        raise ProtocolError(f"ERR Protocol error: {problem}")
    return int(text)


class CommandReader:
    """The server side: reads commands, sent as arrays of bulk strings or inline.

    After `take` has raised `ProtocolError` the reader cannot continue; the connection must be closed.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS, max_skipped_count: int = 0) -> None:
        """`max_skipped_count`: empty commands that one `take` skips; 0 is no limit."""
        self._buffer = Buffer(limits)
        self._limits = limits
        self._max_skipped_count = max_skipped_count
        self._arguments_left = 0  # arguments of the current array that are still to come
        self._bulk_length = -1  # length of the current bulk string; -1: its header is still to come
        self._args: list[bytes] = []
        self._args_bytes = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer.feed(data)

    @property
    def pending(self) -> int:
        """The number of bytes buffered for a command that is not yet complete."""
        return self._buffer.pending + self._args_bytes

    def take(self) -> list[bytes] | None:
        """Return the next complete command, or None if more bytes are needed.

        Empty commands, which have no answer, are skipped. An empty list says that as many were skipped as one call may.
        """
        buffer = self._buffer
        data, position = buffer.data, buffer.position
        size = len(data)
        skipped_count = 0
        while True:
            if self._arguments_left == 0:
                if skipped_count and skipped_count == self._max_skipped_count:
                    buffer.position = position
                    return []
                if position >= size:
                    buffer.consume(position)
                    return None
                if data[position] != 0x2A:  # '*'
                    buffer.position = position
                    words = self._take_inline()
                    if words is None or words:
                        return words
                    position = buffer.position
                    skipped_count += 1
                    continue
                end = data.find(CRLF, position, position + MAX_HEADER_BYTES)
                if end < 0:
                    buffer.position = position
                    self._check_header_length(position, "too big mbulk count string")
                    return None
                count = _parse_integer(bytes(data[position + 1 : end]), "invalid multibulk length")
                if count > self._limits.items:
                    raise ProtocolError("ERR Protocol error: invalid multibulk length")
                position = end + 2
                if count <= 0:
                    skipped_count += 1
                    continue
                self._arguments_left, self._args, self._args_bytes = count, [], 0
            if self._bulk_length < 0:
                end = data.find(CRLF, position, position + MAX_HEADER_BYTES)
                if end < 0:
                    buffer.position = position
                    if position < size and data[position] != 0x24:
                        raise ProtocolError(f"ERR Protocol error: expected '$', got '{_printable(data[position])}'")
                    self._check_header_length(position, "too big bulk count string")
                    return None
                if data[position] != 0x24:  # '$'
                    raise ProtocolError(f"ERR Protocol error: expected '$', got '{_printable(data[position])}'")
                length = _parse_integer(bytes(data[position + 1 : end]), "invalid bulk length")
                if length < 0 or length > self._limits.bulk_bytes:
                    raise ProtocolError("ERR Protocol error: invalid bulk length")
                if self._args_bytes + length > self._limits.message_bytes:
                    raise ProtocolError("ERR Protocol error: too big request")
                self._bulk_length, position = length, end + 2
            end = position + self._bulk_length
            if size < end + 2:
                buffer.position = position
                return None
            if data[end] != 0x0D or data[end + 1] != 0x0A:
                raise ProtocolError("ERR Protocol error: expected CRLF after a bulk string")
            self._args.append(buffer.copy(position, end))
            self._args_bytes += self._bulk_length
            self._bulk_length, position = -1, end + 2
            self._arguments_left -= 1
            if self._arguments_left == 0:
                buffer.position = position
                args, self._args, self._args_bytes = self._args, [], 0
                return args

    def _check_header_length(self, position: int, problem: str) -> None:
        """Refuse a header at `position` whose end has not been found within `MAX_HEADER_BYTES`."""
        if self._buffer.pending >= MAX_HEADER_BYTES and len(self._buffer.data) - position >= MAX_HEADER_BYTES:
            raise ProtocolError(f"ERR Protocol error: {problem}")

    def _take_inline(self) -> list[bytes] | None:
        """Return the words of an inline command, as typed by a person; an empty line gives an empty list."""
        buffer = self._buffer
        end = buffer.data.find(b"\n", buffer.position, buffer.position + self._limits.inline_bytes)
        if end < 0:
            if buffer.pending >= self._limits.inline_bytes:
                raise ProtocolError("ERR Protocol error: too big inline request")
            return None
        line = buffer.copy(buffer.position, end)
        buffer.position = end + 1
        return split_inline(line[:-1] if line.endswith(b"\r") else line)


def _printable(byte: int) -> str:
    return chr(byte) if 0x20 <= byte < 0x7F else f"\\x{byte:02x}"


_ESCAPES = {0x6E: 10, 0x72: 13, 0x74: 9, 0x62: 8, 0x61: 7}  # \n \r \t \b \a
_WHITESPACE = b" \t\n\r\v\f\0"


def split_inline(line: bytes) -> list[bytes]:
    """Split an inline command into words. Double quotes allow escapes, single quotes only an escaped single quote."""
    words: list[bytes] = []
    position, size = 0, len(line)
    while True:
        while position < size and line[position] in _WHITESPACE:
            position += 1
        if position >= size:
            return words
        word = bytearray()
        while position < size and line[position] not in _WHITESPACE:
            quote = line[position]
            if quote not in (0x22, 0x27):
                word.append(quote)
                position += 1
                continue
            position += 1
            while True:
                if position >= size:
                    raise ProtocolError("ERR Protocol error: unbalanced quotes in request")
                byte = line[position]
                if byte == quote:
                    position += 1
                    if position < size and line[position] not in _WHITESPACE:
                        raise ProtocolError("ERR Protocol error: unbalanced quotes in request")
                    break
                if byte == 0x5C and quote == 0x22 and position + 1 < size:
                    code = line[position + 2 : position + 4]
                    if (
                        line[position + 1] == 0x78
                        and len(code) == 2
                        and all(c in b"0123456789abcdefABCDEF" for c in code)
                    ):
                        word.append(int(code, 16))
                        position += 4
                        continue
                    word.append(_ESCAPES.get(line[position + 1], line[position + 1]))
                    position += 2
                    continue
                if byte == 0x5C and quote == 0x27 and line[position + 1 : position + 2] == b"'":
                    word.append(0x27)
                    position += 2
                    continue
                word.append(byte)
                position += 1
        words.append(bytes(word))


# Type bytes compared below: 21 "!", 23 "#", 24 "$", 25 "%", 28 "(", 2A "*", 2B "+", 2C ",", 2D "-", 3A ":", 3D "=",
# 3E ">", 5F "_", 7C "|", 7E "~".
_LINE_TYPES = b"+-:_#,("  # the whole value is on one line
_BULK_TYPES = b"$!="  # a length line, then that many bytes
_VALUES_PER_ITEM = {0x2A: 1, 0x7E: 1, 0x3E: 1, 0x25: 2, 0x7C: 2}  # aggregate types: * ~ > % |


class ReplyReader:
    """The client side: returns complete replies as the bytes received, which `decode` turns into values on demand.

    A gateway forwards most replies without decoding them, and needs only to find where each one ends. `take` raises
    `ProtocolError` for bytes outside the specification and for streamed types, which no server sends unless asked to.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self._buffer = Buffer(limits)
        self._limits = limits
        self._scanned_bytes = 0  # length of the part of the current reply that is known to be well formed
        # For each aggregate that is not yet complete: the count of values still to come, and 1 if it is an attribute.
        self._open_aggregates: list[list[int]] = []

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer.feed(data)

    @property
    def pending(self) -> int:
        """The number of bytes buffered for a reply that is not yet complete."""
        return self._buffer.pending

    def take(self) -> bytes | None:
        """Return the next complete reply with its attributes, or None if more bytes are needed."""
        buffer = self._buffer
        start = buffer.position
        if not self._scan_reply():
            if buffer.pending > self._limits.message_bytes:
                raise ProtocolError("ERR Protocol error: too big reply")
            return None
        end = start + self._scanned_bytes
        self._scanned_bytes = 0
        reply = buffer.copy(start, end)
        buffer.consume(end)
        return reply

    def _scan_reply(self) -> bool:
        """Advance over the bytes received; return whether a complete reply was reached."""
        buffer, limits, stack = self._buffer, self._limits, self._open_aggregates
        data, start = buffer.data, buffer.position
        size = len(data)
        while True:
            position = start + self._scanned_bytes
            if position >= size:
                return False
            kind = data[position]
            if kind in _LINE_TYPES:
                end = data.find(CRLF, position, position + limits.inline_bytes)
                if end < 0:
                    if size - position >= limits.inline_bytes:
                        raise ProtocolError("ERR Protocol error: too long line")
                    return False
                _check_line(kind, data, position + 1, end)
                self._scanned_bytes = end + 2 - start
            elif kind in _BULK_TYPES or kind in _VALUES_PER_ITEM:
                end = data.find(CRLF, position, position + MAX_HEADER_BYTES)
                if end < 0:
                    if size - position >= MAX_HEADER_BYTES:
                        raise ProtocolError("ERR Protocol error: too long length")
                    return False
                text = bytes(data[position + 1 : end])
                if text == b"?":
                    raise ProtocolError("ERR Protocol error: streamed types are not taken")
                length = _parse_integer(text, "invalid length")
                if kind in _BULK_TYPES:
                    if length > limits.bulk_bytes or length < (-1 if kind == 0x24 else 0):
                        raise ProtocolError("ERR Protocol error: invalid bulk length")
                    if length < 0:
                        self._scanned_bytes = end + 2 - start
                    else:
                        stop = end + 2 + length
                        if stop + 2 - start > limits.message_bytes:
                            raise ProtocolError("ERR Protocol error: too big reply")
                        if size < stop + 2:
                            return False
                        if data[stop] != 0x0D or data[stop + 1] != 0x0A:
                            raise ProtocolError("ERR Protocol error: expected CRLF after a bulk string")
                        if kind == 0x3D and (length < 4 or data[end + 5] != 0x3A):
                            raise ProtocolError("ERR Protocol error: invalid verbatim string")
                        self._scanned_bytes = stop + 2 - start
                else:
                    if length > limits.items or length < (-1 if kind == 0x2A else 0):
                        raise ProtocolError("ERR Protocol error: invalid multibulk length")
                    if kind == 0x3E and stack:
                        raise ProtocolError("ERR Protocol error: a push inside another value")
                    self._scanned_bytes = end + 2 - start
                    count = length * _VALUES_PER_ITEM[kind]
                    if count > 0:
                        if len(stack) >= limits.depth:
                            raise ProtocolError("ERR Protocol error: nested too deep")
                        stack.append([count, kind == 0x7C])
                        continue
                    if kind == 0x7C:
                        continue  # an empty attribute; the value that it describes follows
            else:
                raise ProtocolError(f"ERR Protocol error: unknown type '{_printable(kind)}'")
            # A value is complete, and with it possibly the aggregates that contain it.
            while stack:
                stack[-1][0] -= 1
                if stack[-1][0] > 0:
                    break
                if stack.pop()[1]:
                    break  # an attribute is complete; the value that it describes follows
            else:
                return True


def _check_line(kind: int, data: bytearray, start: int, end: int) -> None:
    if kind == 0x3A:
        _parse_integer(bytes(data[start:end]), "invalid integer")
    elif kind == 0x5F:
        if start != end:
            raise ProtocolError("ERR Protocol error: invalid null")
    elif kind == 0x23:
        if bytes(data[start:end]) not in (b"t", b"f"):
            raise ProtocolError("ERR Protocol error: invalid boolean")
    elif kind == 0x2C:
        try:
            float(data[start:end])
        except ValueError:
            raise ProtocolError("ERR Protocol error: invalid double") from None
    elif kind == 0x28:
        text = bytes(data[start:end])
        if not text.lstrip(b"+-").isdigit() or len(text) > 4_000:
            raise ProtocolError("ERR Protocol error: invalid big number")
    elif data.find(b"\r", start, end) >= 0 or data.find(b"\n", start, end) >= 0:
        raise ProtocolError("ERR Protocol error: a line break inside a line")


def decode(raw: bytes) -> Value:
    """Decode one complete reply as returned by `ReplyReader.take`."""
    value, end = _decode(raw, 0)
    if end != len(raw):
        raise ProtocolError("ERR Protocol error: more than one reply")
    return value


def _decode(raw: bytes, position: int) -> tuple[Value, int]:
    end = raw.index(CRLF, position)
    kind, text, after = raw[position], raw[position + 1 : end], end + 2
    if kind == 0x2B:
        return Simple(text), after
    if kind == 0x2D:
        return Error(text), after
    if kind == 0x3A:
        return int(text), after
    if kind == 0x5F:
        return Null(), after
    if kind == 0x23:
        return text == b"t", after
    if kind == 0x2C:
        return Double(text), after
    if kind == 0x28:
        return BigNumber(int(text)), after
    length = int(text)
    if kind in _BULK_TYPES:
        if length < 0:
            return Null(b"$"), after
        data, after = raw[after : after + length], after + length + 2
        if kind == 0x21:
            return Error(data, blob=True), after
        return (Verbatim(data[:3], data[4:]) if kind == 0x3D else data), after
    if length < 0:
        return Null(b"*"), after
    items: list[Value] = []
    for _ in range(length * _VALUES_PER_ITEM[kind]):
        value, after = _decode(raw, after)
        items.append(value)
    if kind in (0x25, 0x7C):
        pairs = tuple(zip(items[::2], items[1::2], strict=True))
        if kind == 0x25:
            return Map(pairs), after
        value, after = _decode(raw, after)
        return Attribute(pairs, value), after
    if kind == 0x2A:
        return Array(tuple(items)), after
    return (SetOf if kind == 0x7E else Push)(tuple(items)), after
