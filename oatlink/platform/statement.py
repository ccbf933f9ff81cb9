"""Parses a client's statement, whose comment describes the request. No I/O.

A statement is forwarded byte for byte except for the value of `d`, the milliseconds that its sender will wait. A
statement that is not exactly in the platform's form is a mistake of the client and never reaches a server. Otherwise an
INSERT in a class that may be repeated freely could run twice, and a second statement behind the first one would run
unnoticed.
"""

import re
from collections.abc import Container, Mapping
from dataclasses import dataclass

from oatlink.interface import Effect, Freshness, RequestClass

MAX_VALUE_BYTES = 64 * 1024  # the platform's limit for a value
MAX_QUERY_BYTES = 2 * MAX_VALUE_BYTES + 2_048  # a value is written in hex; the rest is for names and the comment
MAX_WAIT_MS = 3_600_000  # a longer wait is treated as a mistake
# A value has no comma and cannot end the comment; apart from that it allows any class name of the settings.
_PAIR = rb"[a-z][a-z_]{0,31}=[^,*\x00-\x20\x7f]{1,256}"
_IDENTIFIER = rb"[A-Za-z_][A-Za-z0-9_]{0,62}"
_STATEMENT = re.compile(
    rb"/\* (" + _PAIR + rb"(?:," + _PAIR + rb"){0,15}) \*/ (?:"
    rb"SELECT " + _IDENTIFIER + rb" FROM " + _IDENTIFIER + rb" WHERE " + _IDENTIFIER + rb" = '([^'\\\x00-\x1f]{1,256})'"
    rb"|INSERT INTO " + _IDENTIFIER + rb" \(" + _IDENTIFIER + rb", " + _IDENTIFIER + rb"\)"
    rb" VALUES \('([^'\\\x00-\x1f]{1,256})', '\\x([0-9A-Fa-f]*+)'\) RETURNING " + _IDENTIFIER + rb")"
)
_WAIT = re.compile(rb"([ ,]d=)([0-9]{1,9})(?=[ ,])")
_DIGITS = re.compile(rb"[0-9]{1,15}")


class StatementError(Exception):
    """A statement that is not in the platform's form, with the SQLSTATE and a text that says what was expected."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


@dataclass(frozen=True, slots=True)
class Statement:
    """One request as written by its client."""

    id: bytes
    request_class: RequestClass
    wait_ms: int
    group: int
    session: str
    after_ms: int | None
    key: bytes  # the idempotency key; empty if the statement has none
    _prefix: bytes  # the text up to the value of `d`
    _suffix: bytes  # the text after the value of `d`

    @property
    def is_write(self) -> bool:
        """Whether the request writes."""
        return self.request_class.freshness is Freshness.WRITE

    def with_wait(self, wait_ms: int) -> bytes:
        """Return the statement for a server, with the time that this gateway will wait for it."""
        return b"%s%d%s" % (self._prefix, wait_ms, self._suffix)


def parse(text: bytes, classes: Mapping[str, RequestClass], groups: Container[int]) -> Statement:
    """Parse a statement into a request. Raises `StatementError`."""
    matched = _STATEMENT.fullmatch(text)
    if matched is None or len(matched.group(4) or b"") % 2:
        raise StatementError("42601", "expected /* id=,c=,d=,cluster= */ and one SELECT or INSERT of this store")
    comment, read, written, value = matched.groups()
    try:
        comment.decode()
    except UnicodeDecodeError:
        raise StatementError("42601", "expected /* id=,c=,d=,cluster= */ in UTF-8") from None
    fields: dict[bytes, bytes] = {}
    for pair in comment.split(b","):
        name, _, text_value = pair.partition(b"=")
        if name in fields:
            raise StatementError("42601", f"{name.decode()}: expected once")
        fields[name] = text_value
    request_class = classes.get(_field(fields, b"c").decode())
    if request_class is None:
        raise StatementError("22023", "c: expected a class of the settings")
    if (request_class.freshness is Freshness.WRITE) != (written is not None):
        raise StatementError(
            "22023", f"c: {request_class.name} expects {'an INSERT' if written is None else 'a SELECT'}"
        )
    if value is not None and len(value) > 2 * MAX_VALUE_BYTES:
        raise StatementError("22001", f"expected a value of at most {MAX_VALUE_BYTES} bytes")
    if request_class.effect is Effect.KEYED and b"k" not in fields:
        raise StatementError("22023", f"k: expected in class {request_class.name}")
    wait_ms = _number(fields, b"d")
    if not 0 < wait_ms <= MAX_WAIT_MS:
        raise StatementError("22023", f"d: expected 1 to {MAX_WAIT_MS} milliseconds")
    group = _number(fields, b"cluster")
    if group not in groups:
        raise StatementError("22023", "cluster: expected a group that discovery has listed")
    wait = _WAIT.search(text, 0, matched.end(1) + 1)
    if wait is None:
        raise StatementError("22023", "d: expected a number")
    return Statement(
        id=_field(fields, b"id"),
        request_class=request_class,
        wait_ms=wait_ms,
        group=group,
        session=(written or read).decode("utf-8", "replace"),
        after_ms=_number(fields, b"after") if b"after" in fields else None,
        key=fields.get(b"k", b""),
        _prefix=text[: wait.start(2)],
        _suffix=text[wait.end(2) :],
    )


def _field(fields: dict[bytes, bytes], name: bytes) -> bytes:
    if name not in fields:
        raise StatementError("22023", f"{name.decode()}: expected in the comment")
    return fields[name]


def _number(fields: dict[bytes, bytes], name: bytes) -> int:
    digits = _field(fields, name)
    if _DIGITS.fullmatch(digits) is None:
        raise StatementError("22023", f"{name.decode()}: expected a number")
    return int(digits)
