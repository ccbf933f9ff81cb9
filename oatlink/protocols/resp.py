"""RESP2 and RESP3 without I/O: feed bytes, take commands or replies.

Source: the Redis serialization protocol specification (redis.io, "RESP"), with the limits and the words of the
reference server where the specification is silent. What may live here: framing, limits, encoding. What a
command means lives in `oatlink.core.commands`.

Both readers are incremental: any split of the bytes gives the same messages. A limit is tested on the header
that announces a length, before memory is taken for it; a header itself is at most `MAX_HEADER` bytes.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from oatlink.protocols.buffer import DEFAULT_LIMITS as DEFAULT_LIMITS
from oatlink.protocols.buffer import Buffer
from oatlink.protocols.buffer import Limits as Limits
from oatlink.protocols.buffer import ProtocolError as ProtocolError

CRLF = b"\r\n"
MAX_HEADER = 64  # bytes of a length line: a 64 bit number and its sign are 20
INT64 = 2**63


# ---- Values ----


@dataclass(frozen=True, slots=True)
class Simple:
    """`+`: a simple string, without CR or LF."""

    text: bytes


@dataclass(frozen=True, slots=True)
class Error:
    """`-`, or `!` when `blob`: an error; its first word is the prefix."""

    text: bytes
    blob: bool = False

    @property
    def prefix(self) -> bytes:
        """The first word."""
        return self.text.split(b" ", 1)[0]


@dataclass(frozen=True, slots=True)
class Null:
    """`_`, or RESP2's null bulk and null array."""

    kind: bytes = b"_"


@dataclass(frozen=True, slots=True)
class Double:
    """`,`: the text of a floating point number, kept as sent so that nothing is lost."""

    text: bytes

    @property
    def value(self) -> float:
        """The number."""
        return float(self.text)


@dataclass(frozen=True, slots=True)
class BigNumber:
    """`(`: an integer of any size."""

    value: int


@dataclass(frozen=True, slots=True)
class Verbatim:
    """`=`: text with a three letter format."""

    form: bytes
    data: bytes


@dataclass(frozen=True, slots=True)
class Array:
    """`*`."""

    items: tuple["Value", ...]


@dataclass(frozen=True, slots=True)
class SetOf:
    """`~`."""

    items: tuple["Value", ...]


@dataclass(frozen=True, slots=True)
class Push:
    """`>`: out of band data."""

    items: tuple["Value", ...]


@dataclass(frozen=True, slots=True)
class Map:
    """`%`: pairs in order."""

    pairs: tuple[tuple["Value", "Value"], ...]


@dataclass(frozen=True, slots=True)
class Attribute:
    """`|`: pairs about the value that follows."""

    pairs: tuple[tuple["Value", "Value"], ...]
    value: "Value"


# int is `:`, bytes is `$`, bool is `#`
Value = (
    int | bytes | bool | Simple | Error | Null | Double | BigNumber | Verbatim | Array | SetOf | Push | Map | Attribute
)
OK = b"+OK\r\n"
QUEUED = b"+QUEUED\r\n"


# ---- Encoding ----


def encode_command(args: Sequence[bytes]) -> bytes:
    """A command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(args)]
    parts += [b"$%d\r\n%b\r\n" % (len(one), one) for one in args]
    return b"".join(parts)


def command(*words: str | bytes | int) -> bytes:
    """A command from words of any plain kind."""
    return encode_command([one if isinstance(one, bytes) else str(one).encode() for one in words])


def error(text: str) -> bytes:
    """A simple error. CR and LF, which would end it early, become blanks."""
    return b"-" + text.replace("\r", " ").replace("\n", " ").encode("utf-8", "replace") + CRLF


def bulk(data: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def encode(value: Value, protocol: int = 3) -> bytes:
    """A value as bytes. With `protocol` 2, RESP3 types become those that RESP2 clients are sent for them."""
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
        # RESP3 has one null; its clients need not know the two of RESP2.
        out.append(b"_\r\n" if protocol >= 3 else b"*-1\r\n" if value.kind == b"*" else b"$-1\r\n")
    elif isinstance(value, Double):
        out.append(b",%b\r\n" % value.text if protocol >= 3 else bulk(value.text))
    elif isinstance(value, BigNumber):
        text = b"%d" % value.value
        out.append(b"(%b\r\n" % text if protocol >= 3 else bulk(text))
    elif isinstance(value, Verbatim):
        whole = b"%b:%b" % (value.form, value.data)
        out.append(b"=%d\r\n%b\r\n" % (len(whole), whole) if protocol >= 3 else bulk(value.data))
    elif isinstance(value, Array | SetOf | Push):
        mark = {Array: b"*", SetOf: b"~", Push: b">"}[type(value)] if protocol >= 3 else b"*"
        out.append(b"%b%d\r\n" % (mark, len(value.items)))
        for one in value.items:
            _encode(one, protocol, out)
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


def _number(text: bytes, what: str) -> int:
    """A decimal length or integer as the specification writes it: a sign, digits, nothing else."""
    digits = text[1:] if text[:1] in (b"-", b"+") else text
    if not digits.isdigit() or len(digits) > 19:
        raise ProtocolError(f"ERR Protocol error: {what}")
    return int(text)


class CommandReader:
    """A server's side: commands as arrays of bulk strings, or inline.

    `take` raises `ProtocolError` once and for ever: after it the connection can only be closed.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self._buffer = Buffer(limits)
        self._limits = limits
        self._left = 0  # arguments still to come of the array that was begun
        self._bulk = -1  # length of the bulk string that was begun
        self._args: list[bytes] = []
        self._bytes = 0

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        self._buffer.feed(data)

    @property
    def pending(self) -> int:
        """Bytes held for a command that is not yet whole."""
        return self._buffer.pending + self._bytes

    def take(self) -> list[bytes] | None:
        """The next whole command, or None until more bytes have come."""
        buffer = self._buffer
        data, at = buffer.data, buffer.at
        size = len(data)
        while True:
            if self._left == 0:
                if at >= size:
                    buffer.at = at
                    return None
                if data[at] != 0x2A:  # '*'
                    buffer.at = at
                    words = self._inline()
                    if words is None or words:
                        return words
                    at = buffer.at
                    continue
                end = data.find(CRLF, at, at + MAX_HEADER)
                if end < 0:
                    buffer.at = at
                    self._open_header(at, "too big mbulk count string")
                    return None
                count = _number(bytes(data[at + 1 : end]), "invalid multibulk length")
                if count > self._limits.items:
                    raise ProtocolError("ERR Protocol error: invalid multibulk length")
                at = end + 2
                if count <= 0:
                    continue
                self._left, self._args, self._bytes = count, [], 0
            if self._bulk < 0:
                end = data.find(CRLF, at, at + MAX_HEADER)
                if end < 0:
                    buffer.at = at
                    if at < size and data[at] != 0x24:
                        raise ProtocolError(f"ERR Protocol error: expected '$', got '{_shown(data[at])}'")
                    self._open_header(at, "too big bulk count string")
                    return None
                if data[at] != 0x24:  # '$'
                    raise ProtocolError(f"ERR Protocol error: expected '$', got '{_shown(data[at])}'")
                length = _number(bytes(data[at + 1 : end]), "invalid bulk length")
                if length < 0 or length > self._limits.bulk_bytes:
                    raise ProtocolError("ERR Protocol error: invalid bulk length")
                if self._bytes + length > self._limits.message_bytes:
                    raise ProtocolError("ERR Protocol error: too big request")
                self._bulk, at = length, end + 2
            end = at + self._bulk
            if size < end + 2:
                buffer.at = at
                return None
            if data[end] != 0x0D or data[end + 1] != 0x0A:
                raise ProtocolError("ERR Protocol error: expected CRLF after a bulk string")
            self._args.append(buffer.cut(at, end))
            self._bytes += self._bulk
            self._bulk, at = -1, end + 2
            self._left -= 1
            if self._left == 0:
                buffer.at = at
                args, self._args, self._bytes = self._args, [], 0
                return args

    def _open_header(self, at: int, what: str) -> None:
        if self._buffer.pending >= MAX_HEADER and len(self._buffer.data) - at >= MAX_HEADER:
            raise ProtocolError(f"ERR Protocol error: {what}")

    def _inline(self) -> list[bytes] | None:
        """An inline command: words as a person types them; an empty line gives no words."""
        buffer = self._buffer
        end = buffer.data.find(b"\n", buffer.at, buffer.at + self._limits.inline_bytes)
        if end < 0:
            if buffer.pending >= self._limits.inline_bytes:
                raise ProtocolError("ERR Protocol error: too big inline request")
            return None
        line = buffer.cut(buffer.at, end)
        buffer.at = end + 1
        return split_inline(line[:-1] if line.endswith(b"\r") else line)


def _shown(byte: int) -> str:
    return chr(byte) if 0x20 <= byte < 0x7F else f"\\x{byte:02x}"


_ESCAPES = {0x6E: 10, 0x72: 13, 0x74: 9, 0x62: 8, 0x61: 7}
_BLANK = b" \t\n\r\v\f\0"


def split_inline(line: bytes) -> list[bytes]:
    """The words of an inline command; double quotes know escapes, single ones only the escaped quote."""
    words: list[bytes] = []
    at, size = 0, len(line)
    while True:
        while at < size and line[at] in _BLANK:
            at += 1
        if at >= size:
            return words
        word = bytearray()
        while at < size and line[at] not in _BLANK:
            quote = line[at]
            if quote not in (0x22, 0x27):
                word.append(quote)
                at += 1
                continue
            at += 1
            while True:
                if at >= size:
                    raise ProtocolError("ERR Protocol error: unbalanced quotes in request")
                byte = line[at]
                if byte == quote:
                    at += 1
                    if at < size and line[at] not in _BLANK:
                        raise ProtocolError("ERR Protocol error: unbalanced quotes in request")
                    break
                if byte == 0x5C and quote == 0x22 and at + 1 < size:
                    code = line[at + 2 : at + 4]
                    if line[at + 1] == 0x78 and len(code) == 2 and all(c in b"0123456789abcdefABCDEF" for c in code):
                        word.append(int(code, 16))
                        at += 4
                        continue
                    word.append(_ESCAPES.get(line[at + 1], line[at + 1]))
                    at += 2
                    continue
                if byte == 0x5C and quote == 0x27 and line[at + 1 : at + 2] == b"'":
                    word.append(0x27)
                    at += 2
                    continue
                word.append(byte)
                at += 1
        words.append(bytes(word))


_LINES = b"+-:_#,("
_BLOBS = b"$!="
_AGGREGATES = {0x2A: 1, 0x7E: 1, 0x3E: 1, 0x25: 2, 0x7C: 2}  # * ~ > % |


class ReplyReader:
    """A client's side: whole replies as the bytes they came in, typed only on demand by `decode`.

    A gateway passes most replies on unread; finding where one ends is all that it needs. `take` raises
    `ProtocolError` for bytes outside the specification and for streamed types, which no server sends unasked.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self._buffer = Buffer(limits)
        self._limits = limits
        self._scan = 0  # offset from the frame's start up to which it is known to be well formed
        self._open: list[list[int]] = []  # of each open aggregate: values still to come, 1 if an attribute

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        self._buffer.feed(data)

    @property
    def pending(self) -> int:
        """Bytes held for a reply that is not yet whole."""
        return self._buffer.pending

    def take(self) -> bytes | None:
        """The next whole reply, attributes included, or None until more bytes have come."""
        buffer = self._buffer
        start = buffer.at
        if not self._whole():
            if buffer.pending > self._limits.message_bytes:
                raise ProtocolError("ERR Protocol error: too big reply")
            return None
        end = start + self._scan
        self._scan = 0
        buffer.at = end
        return buffer.cut(start, end)

    def _whole(self) -> bool:
        buffer, limits, stack = self._buffer, self._limits, self._open
        data, start = buffer.data, buffer.at
        size = len(data)
        while True:
            at = start + self._scan
            if at >= size:
                return False
            kind = data[at]
            if kind in _LINES:
                end = data.find(CRLF, at, at + limits.inline_bytes)
                if end < 0:
                    if size - at >= limits.inline_bytes:
                        raise ProtocolError("ERR Protocol error: too long line")
                    return False
                _check_line(kind, data, at + 1, end)
                self._scan = end + 2 - start
            elif kind in _BLOBS or kind in _AGGREGATES:
                end = data.find(CRLF, at, at + MAX_HEADER)
                if end < 0:
                    if size - at >= MAX_HEADER:
                        raise ProtocolError("ERR Protocol error: too long length")
                    return False
                text = bytes(data[at + 1 : end])
                if text == b"?":
                    raise ProtocolError("ERR Protocol error: streamed types are not taken")
                length = _number(text, "invalid length")
                if kind in _BLOBS:
                    if length > limits.bulk_bytes or length < (-1 if kind == 0x24 else 0):
                        raise ProtocolError("ERR Protocol error: invalid bulk length")
                    if length < 0:
                        self._scan = end + 2 - start
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
                        self._scan = stop + 2 - start
                else:
                    if length > limits.items or length < (-1 if kind == 0x2A else 0):
                        raise ProtocolError("ERR Protocol error: invalid multibulk length")
                    if kind == 0x3E and stack:
                        raise ProtocolError("ERR Protocol error: a push inside another value")
                    self._scan = end + 2 - start
                    count = length * _AGGREGATES[kind]
                    if count > 0:
                        if len(stack) >= limits.depth:
                            raise ProtocolError("ERR Protocol error: nested too deep")
                        stack.append([count, kind == 0x7C])
                        continue
                    if kind == 0x7C:
                        continue  # an empty attribute; its value follows
            else:
                raise ProtocolError(f"ERR Protocol error: unknown type '{_shown(kind)}'")
            # One value has ended, and with it perhaps those that hold it.
            while stack:
                stack[-1][0] -= 1
                if stack[-1][0] > 0:
                    break
                if stack.pop()[1]:
                    break  # an attribute has ended; the value that it is about follows
            else:
                return True


def _check_line(kind: int, data: bytearray, start: int, end: int) -> None:
    if kind == 0x3A:
        _number(bytes(data[start:end]), "invalid integer")
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
    """The value of one whole reply as `ReplyReader.take` gave it."""
    value, end = _decode(raw, 0)
    if end != len(raw):
        raise ProtocolError("ERR Protocol error: more than one reply")
    return value


def _decode(raw: bytes, at: int) -> tuple[Value, int]:
    end = raw.index(CRLF, at)
    kind, text, after = raw[at], raw[at + 1 : end], end + 2
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
    if kind in _BLOBS:
        if length < 0:
            return Null(b"$"), after
        data, after = raw[after : after + length], after + length + 2
        if kind == 0x21:
            return Error(data, blob=True), after
        return (Verbatim(data[:3], data[4:]) if kind == 0x3D else data), after
    if length < 0:
        return Null(b"*"), after
    items: list[Value] = []
    for _ in range(length * _AGGREGATES[kind]):
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
