"""The engine's whole state to one value and back. No I/O.

A snapshot and the recording after it equal the recording from the start: every record, row, timer and the random
state are in it, shared records stay shared. It is read back only by the same program version with the same settings;
anything else is refused, for a state that is nearly right decides wrongly without a sign.

The value is plain msgpack: tagged arrays, and records by the names in `KINDS` alone, so that a file can make nothing
but the engine's own records.
"""

import dataclasses
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec
import xxhash

from oatlink import __version__, holds, state
from oatlink import interface as api
from oatlink.book import Book
from oatlink.core import addresses, overload, positions, reports, sessions, shared
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.settings import model, parts
from oatlink.settings.load import settings_hash
from oatlink.settings.model import Settings

MAGIC = b"OATSNAP\x01"
OLDEST_US = 60_000_000  # a start does not take over what is older: rooms and sessions' writes have passed by then
MAX_DEPTH = 64

_RECORDS: tuple[type, ...] = (
    state.Attempt,
    state.Request,
    state.SessionRequests,
    state.Member,
    state.Group,
    holds.Row,
    holds.Holds,
    api.RosterEntry,
    api.RequestClass,
    sessions.Place,
    sessions.Ask,
    sessions.Session,
    shared.BoxState,
    shared.GroupState,
    addresses.Path,
    addresses.Paths,
    addresses.Race,
    positions.Positions,
    positions.History,
    overload.Admission,
    m.Box,
    m.Way,
    reports.BoxReport,
    model.RequestClass,
    parts.Match,
)
_ENUMS: tuple[type[Enum], ...] = (api.Effect, api.Freshness, api.Role, api.Listing, addresses.State)
KINDS: dict[str, type] = {f"{one.__module__}.{one.__name__}": one for one in (*_RECORDS, *_ENUMS)}
_NAMES = {one: name for name, one in KINDS.items()}

# What an engine is made of and not what it remembers; made anew from the settings.
_ENGINE_MADE = frozenset(("settings", "_classifier", "router", "_local", "_handlers", "_out", "_gate"))
_BOOK_MADE = frozenset(("settings", "random", "choose", "do"))
_BOOK_HELD = tuple(one.name for one in dataclasses.fields(Book) if one.name not in _BOOK_MADE)


class SnapshotError(Exception):
    """A snapshot that cannot be used; the text is one line."""


class Head(msgspec.Struct, frozen=True):
    """What a snapshot belongs to."""

    program: str
    settings_hash: str
    taken_us: int
    engine: Any
    router: Any
    random: Any
    gate: Any = None


# ---- Values ----


Hide = Callable[[type, str, Any], Any]
"""Given a record's type, a field's name and its value: the value that may be written down."""


class _Writer:
    def __init__(self, hide: Hide | None = None) -> None:
        self._hide = hide
        self._seen: dict[int, int] = {}
        self._kept: list[object] = []  # so that no address is used twice meanwhile

    def put(self, value: Any) -> Any:
        """A value as tagged arrays; what was met before becomes a reference."""
        if value is None or isinstance(value, bool | int | float | str | bytes):
            return value
        if isinstance(value, Enum):
            return ["e", _NAMES[type(value)], value.value]
        if isinstance(value, tuple):
            return ["t", [self.put(one) for one in value]]
        if id(value) in self._seen:
            return ["r", self._seen[id(value)]]
        self._seen[id(value)] = number = len(self._seen)
        self._kept.append(value)
        if isinstance(value, OrderedDict):
            return ["o", number, [[self.put(key), self.put(one)] for key, one in value.items()]]
        if isinstance(value, dict):
            return ["d", number, [[self.put(key), self.put(one)] for key, one in value.items()]]
        if isinstance(value, list | deque):
            return ["l" if isinstance(value, list) else "q", number, [self.put(one) for one in value]]
        name = _NAMES.get(type(value))
        if name is None:
            raise SnapshotError(f"{type(value).__name__} is not part of a snapshot")
        kind = type(value)
        values = [(field, getattr(value, field)) for field in _fields(kind)]
        if self._hide is not None:
            values = [(field, self._hide(kind, field, one)) for field, one in values]
        return ["i", number, name, [self.put(one) for _, one in values]]


class _Reader:
    def __init__(self) -> None:
        self._made: dict[int, Any] = {}

    def take(self, value: Any, depth: int = 0) -> Any:
        """The value of tagged arrays."""
        if not isinstance(value, list):
            return value
        if depth > MAX_DEPTH:
            raise SnapshotError("nested too deep")
        tag, *rest = value
        deeper = depth + 1
        if tag == "e":
            return KINDS[rest[0]](rest[1])
        if tag == "t":
            return tuple(self.take(one, deeper) for one in rest[0])
        if tag == "r":
            return self._made[rest[0]]
        number = rest[0]
        made: Any
        if tag in ("o", "d"):
            made = self._made[number] = OrderedDict() if tag == "o" else {}
            for key, one in rest[1]:
                made[self.take(key, deeper)] = self.take(one, deeper)
        elif tag in ("l", "q"):
            made = self._made[number] = [] if tag == "l" else deque()
            for one in rest[1]:
                made.append(self.take(one, deeper))
        elif tag == "i":
            kind = KINDS[rest[1]]
            values = [self.take(one, deeper) for one in rest[2]]
            if kind is positions.Positions:
                made = positions.Positions()
                for field, one in zip(_fields(kind), values, strict=True):
                    setattr(made, field, one)
            else:
                made = kind(*values)
            self._made[number] = made
        else:
            raise SnapshotError(f"unknown tag {tag!r}")
        return made


def _held(made: object) -> tuple[str, ...]:
    """The names of what an object holds. A compiled class has no `__dict__` and says them itself."""
    named: tuple[str, ...] | None = getattr(type(made), "__mypyc_attrs__", None)
    return tuple(vars(made)) if named is None else tuple(one for one in dict.fromkeys(named) if one != "__dict__")


def _fields(kind: type) -> tuple[str, ...]:
    if kind is positions.Positions:
        return tuple(sorted(_held(positions.Positions())))
    if dataclasses.is_dataclass(kind):
        return tuple(one.name for one in dataclasses.fields(kind))
    assert issubclass(kind, msgspec.Struct)
    return kind.__struct_fields__


# ---- Snapshots ----


def take(engine: Engine, now_us: int, hide: Hide | None = None) -> bytes:
    """The whole state, without what `hide` leaves out. Changes nothing; not while the engine handles an input."""
    writer = _Writer(hide)
    book = engine.router.book
    held = {name: writer.put(getattr(engine, name)) for name in _held(engine) if name not in _ENGINE_MADE}
    routed = {name: writer.put(getattr(book, name)) for name in _BOOK_HELD}
    version, numbers, gauss = book.random.getstate()
    drawn = [version, list(numbers), gauss]
    hashed = settings_hash(engine.settings)
    head = Head(__version__, hashed, now_us, held, routed, drawn, engine.gate.snapshot())
    payload = msgspec.msgpack.encode(head)
    return MAGIC + xxhash.xxh64_digest(payload) + payload


def read(data: bytes, name: str = "snapshot") -> Head:
    """The head of a snapshot. Raises `SnapshotError` for damage, a half-written file or another format."""
    if data[: len(MAGIC) - 1] != MAGIC[:-1]:
        raise SnapshotError(f"{name}: byte 0: expected a snapshot of oatlink")
    if data[len(MAGIC) - 1 : len(MAGIC)] != MAGIC[-1:]:
        raise SnapshotError(f"{name}: byte {len(MAGIC) - 1}: expected format {MAGIC[-1]}")
    payload = data[len(MAGIC) + 8 :]
    if xxhash.xxh64_digest(payload) != data[len(MAGIC) : len(MAGIC) + 8]:
        raise SnapshotError(f"{name}: the checksum does not match: half-written or damaged")
    try:
        return msgspec.msgpack.decode(payload, type=Head)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"{name}: {error}") from None


def restore(data: bytes, settings: Settings, name: str = "snapshot", known_as: str = "") -> Engine:
    """The engine as it was: the next input gives what it would have given there. Raises `SnapshotError`.

    `known_as`: the hash of the settings that it was taken with, where `settings` are those without their secrets.
    """
    head = read(data, name)
    if head.program != __version__:
        raise SnapshotError(f"{name}: taken by version {head.program}, this is {__version__}")
    hashed = known_as or settings_hash(settings)
    if head.settings_hash != hashed:
        raise SnapshotError(f"{name}: taken with settings {head.settings_hash}, these are {hashed}")
    engine = Engine(settings)
    reader = _Reader()
    try:
        for field, one in head.engine.items():
            _known(_held(engine), field, name)
            setattr(engine, field, reader.take(one))
        for field, one in head.router.items():
            _known(_BOOK_HELD, field, name)
            setattr(engine.router.book, field, reader.take(one))
        version, numbers, gauss = head.random
        engine.router.book.random = random.Random()
        engine.router.book.random.setstate((version, tuple(numbers), gauss))
        engine.gate.restore(head.gate)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SnapshotError(f"{name}: {type(error).__name__}: {error}") from None
    return engine


def _known(held: tuple[str, ...], field: str, name: str) -> None:
    if field not in held:
        raise SnapshotError(f"{name}: unknown field {field!r}")


def start_from(data: bytes, settings: Settings, now_us: int, name: str = "snapshot") -> Engine:
    """An engine for a new process, with what may still be believed from an older one's snapshot.

    Taken over: the histories of offsets (a point stays true: who held P then held all that was written), and each
    session's last write, so that a client that comes back under its name still reads its own writes. What was written
    since the snapshot is not known, so each session is bound at the start itself at least.

    Not taken over: clients, requests and attempts (theirs to retry); roles (an election may have come between; every
    group asks its members at its first request); positions, rooms and rates of members (shown anew within a few
    answers, and a box may have started again meanwhile); rosters (discovery says them anew); the random state.

    Raises `SnapshotError` where the state is too old, or from a clock that has begun anew since.
    """
    old = restore(data, settings, name)
    taken_us = read(data, name).taken_us
    if taken_us > now_us:
        raise SnapshotError(f"{name}: taken at {taken_us} us, ahead of the clock at {now_us}: it began anew since")
    if now_us - taken_us > OLDEST_US:
        raise SnapshotError(f"{name}: {(now_us - taken_us) // 1_000_000} s old, {OLDEST_US // 1_000_000} at most")
    engine = Engine(settings, now_us)
    for mine, theirs in zip(engine._groups, old._groups, strict=True):
        mine.positions = theirs.positions
    _take_over_sessions(engine.router.book, old.router.book, now_us)
    engine.fresh = False
    return engine


def _take_over_sessions(book: Book, old: Book, now_us: int) -> None:
    """Bind sessions by what they had written, by what was open, and by all that came after the snapshot was taken."""
    book.forgotten_us = max(old.forgotten_us, now_us)
    for session, position_us in old.sessions.items():
        book.remember(session, max(position_us, now_us))
    for session in old.session_writes.by_session:
        book.remember(session, max(one.settled_us for one in old.session_writes.of(session)))
