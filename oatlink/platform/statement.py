"""What a client's statement asks for: its comment read into a request, without I/O.

A statement goes on byte for byte but for `d`, the milliseconds that the sender will wait. What is not exactly in the
platform's form is the client's mistake and never reaches a server: an INSERT under a class that may be repeated
freely would run twice, a second statement behind the first one unseen.
"""

import re
from collections.abc import Container, Mapping
from dataclasses import dataclass

from oatlink.interface import Effect, Freshness, RequestClass

MAX_VALUE_BYTES = 64 * 1024  # the platform's bound of a value
MAX_QUERY_BYTES = 2 * MAX_VALUE_BYTES + 2_048  # a value is written in hex; the rest is names and the comment
MOST_WAIT_MS = 3_600_000  # a longer wait is no wait but a mistake
_PAIR = rb"[a-z][a-z_]{0,31}=[^,*\x00-\x20\x7f]{1,256}"  # no comma, no end of the comment; names are the settings'
_WORD = rb"[A-Za-z_][A-Za-z0-9_]{0,62}"
_FORM = re.compile(
    rb"/\* (" + _PAIR + rb"(?:," + _PAIR + rb"){0,15}) \*/ (?:"
    rb"SELECT " + _WORD + rb" FROM " + _WORD + rb" WHERE " + _WORD + rb" = '([^'\\\x00-\x1f]{1,256})'"
    rb"|INSERT INTO " + _WORD + rb" \(" + _WORD + rb", " + _WORD + rb"\)"
    rb" VALUES \('([^'\\\x00-\x1f]{1,256})', '\\x((?:[0-9A-Fa-f]{2})*)'\) RETURNING " + _WORD + rb")"
)
_WAIT = re.compile(rb"([ ,]d=)([0-9]{1,9})(?=[ ,])")
_DIGITS = re.compile(rb"[0-9]{1,15}")


class StatementError(Exception):
    """A statement that is not in the platform's form: its SQLSTATE and what was expected."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


@dataclass(frozen=True, slots=True)
class Statement:
    """One request as its client wrote it."""

    id: bytes
    request_class: RequestClass
    wait_ms: int
    group: int
    session: str
    after_ms: int | None
    key: bytes  # of idempotency; empty where none is said
    _before: bytes
    _behind: bytes

    @property
    def is_write(self) -> bool:
        """Whether it writes what it names."""
        return self.request_class.freshness is Freshness.WRITE

    def with_wait(self, wait_ms: int) -> bytes:
        """The statement for a server: it is told how long this gateway will wait."""
        return b"%s%d%s" % (self._before, wait_ms, self._behind)


def parse(text: bytes, classes: Mapping[str, RequestClass], groups: Container[int]) -> Statement:
    """The request that a statement makes. Raises `StatementError`."""
    form = _FORM.fullmatch(text)
    if form is None:
        raise StatementError("42601", "expected /* id=,c=,d=,cluster= */ and one SELECT or INSERT of this store")
    comment, read, written, value = form.groups()
    try:
        comment.decode()
    except UnicodeDecodeError:
        raise StatementError("42601", "expected /* id=,c=,d=,cluster= */ in UTF-8") from None
    said: dict[bytes, bytes] = {}
    for pair in comment.split(b","):
        name, _, word = pair.partition(b"=")
        if name in said:
            raise StatementError("42601", f"{name.decode()}: expected once")
        said[name] = word
    request_class = classes.get(_said(said, b"c").decode())
    if request_class is None:
        raise StatementError("22023", "c: expected a class of the settings")
    if (request_class.freshness is Freshness.WRITE) != (written is not None):
        raise StatementError(
            "22023", f"c: {request_class.name} expects {'an INSERT' if written is None else 'a SELECT'}"
        )
    if value is not None and len(value) > 2 * MAX_VALUE_BYTES:
        raise StatementError("22001", f"expected a value of at most {MAX_VALUE_BYTES} bytes")
    if request_class.effect is Effect.KEYED and b"k" not in said:
        raise StatementError("22023", f"k: expected in class {request_class.name}")
    wait_ms = _number(said, b"d")
    if not 0 < wait_ms <= MOST_WAIT_MS:
        raise StatementError("22023", f"d: expected 1 to {MOST_WAIT_MS} milliseconds")
    group = _number(said, b"cluster")
    if group not in groups:
        raise StatementError("22023", "cluster: expected a group that discovery has listed")
    place = _WAIT.search(text, 0, form.end(1) + 1)
    if place is None:
        raise StatementError("22023", "d: expected a number")
    return Statement(
        id=_said(said, b"id"),
        request_class=request_class,
        wait_ms=wait_ms,
        group=group,
        session=(written or read).decode("utf-8", "replace"),
        after_ms=_number(said, b"after") if b"after" in said else None,
        key=said.get(b"k", b""),
        _before=text[: place.start(2)],
        _behind=text[place.end(2) :],
    )


def _said(said: dict[bytes, bytes], name: bytes) -> bytes:
    if name not in said:
        raise StatementError("22023", f"{name.decode()}: expected in the comment")
    return said[name]


def _number(said: dict[bytes, bytes], name: bytes) -> int:
    word = _said(said, name)
    if _DIGITS.fullmatch(word) is None:
        raise StatementError("22023", f"{name.decode()}: expected a number")
    return int(word)
