"""Writes the engine's whole state to bytes and restores it. No I/O.

Replaying a recording from a snapshot gives the same effects as replaying it from the start: the snapshot contains
every record, queue and timer and the state of the random generator, and records that are shared stay shared. Only the
same program version with the same settings restores it. Anything else is refused, because an engine whose state is
almost right would decide wrongly without any sign of it.

The format is plain msgpack with tagged arrays. Records are named only by the names in `stored_names`, so that a file
can create no other objects than the engine's own records.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec
import xxhash

from oatlink import __version__
from oatlink.core import positions
from oatlink.core.engine import Engine
from oatlink.core.stored_names import ENUMS, LATER_ATTRIBUTES, RECORDS, ROUTER, engine_names
from oatlink.router_state import RouterState
from oatlink.settings.load import settings_hash
from oatlink.settings.model import Settings

MAGIC = b"OATSNAP\x01"
# A new process does not start from an older snapshot: its concurrency limits and sessions' writes no longer matter.
MAX_AGE_US = 60_000_000
MAX_DEPTH = 64

KINDS: dict[str, type] = {**{name: record for name, (record, _) in RECORDS.items()}, **ENUMS}
_NAMES = {kind: name for name, kind in KINDS.items()}
_ATTRIBUTES = {record: attributes for record, attributes in RECORDS.values()}


class SnapshotError(Exception):
    """The snapshot cannot be used. The text is one line."""


class Head(msgspec.Struct, frozen=True):
    """The content of a snapshot: the program and settings that it belongs to, when it was taken, and the state."""

    program: str
    settings_hash: str
    taken_us: int
    engine: Any
    router: Any
    random: Any
    gate: Any = None


# ---- Values ----


FieldFilter = Callable[[type, str, Any], Any]
"""Takes a record's type, a field's name and its value, and returns the value that may be written."""


class _Writer:
    """Encodes values as tagged arrays, for one snapshot."""

    def __init__(self, field_filter: FieldFilter | None = None) -> None:
        self._field_filter = field_filter
        self._numbers: dict[int, int] = {}  # id of an object: its number in the snapshot
        self._alive: list[object] = []  # keeps each object alive, so that no other object gets the same id

    def encode(self, value: Any) -> Any:
        """A value as tagged arrays; an object that was encoded before becomes a reference to its number."""
        if value is None or isinstance(value, bool | int | float | str | bytes):
            return value
        if isinstance(value, Enum):
            return ["e", _NAMES[type(value)], value.value]
        if isinstance(value, tuple):
            return ["t", [self.encode(item) for item in value]]
        if id(value) in self._numbers:
            return ["r", self._numbers[id(value)]]
        self._numbers[id(value)] = number = len(self._numbers)
        self._alive.append(value)
        if isinstance(value, OrderedDict):
            return ["o", number, [[self.encode(key), self.encode(item)] for key, item in value.items()]]
        if isinstance(value, dict):
            return ["d", number, [[self.encode(key), self.encode(item)] for key, item in value.items()]]
        if isinstance(value, list | deque):
            return ["l" if isinstance(value, list) else "q", number, [self.encode(item) for item in value]]
        name = _NAMES.get(type(value))
        if name is None:
            raise SnapshotError(f"{type(value).__name__} is not part of a snapshot")
        kind = type(value)
        values = [(field, getattr(value, field)) for field in _ATTRIBUTES[kind]]
        if self._field_filter is not None:
            values = [(field, self._field_filter(kind, field, item)) for field, item in values]
        defaults = LATER_ATTRIBUTES.get(kind, {})
        while defaults and values[-1] in defaults.items():
            values.pop()
        return ["i", number, name, [self.encode(item) for _, item in values]]


class _Reader:
    """Decodes the tagged arrays of one snapshot."""

    def __init__(self) -> None:
        self._objects: dict[int, Any] = {}  # by their numbers in the snapshot

    def decode(self, value: Any, depth: int = 0) -> Any:
        """The value that tagged arrays stand for."""
        if not isinstance(value, list):
            return value
        if depth > MAX_DEPTH:
            raise SnapshotError("nested too deep")
        tag, *rest = value
        deeper = depth + 1
        if tag == "e":
            return KINDS[rest[0]](rest[1])
        if tag == "t":
            return tuple(self.decode(item, deeper) for item in rest[0])
        if tag == "r":
            return self._objects[rest[0]]
        number = rest[0]
        decoded: Any
        if tag in ("o", "d"):
            decoded = self._objects[number] = OrderedDict() if tag == "o" else {}
            for key, item in rest[1]:
                decoded[self.decode(key, deeper)] = self.decode(item, deeper)
        elif tag in ("l", "q"):
            decoded = self._objects[number] = [] if tag == "l" else deque()
            for item in rest[1]:
                decoded.append(self.decode(item, deeper))
        elif tag == "i":
            kind = KINDS[rest[1]]
            values = [self.decode(item, deeper) for item in rest[2]]
            if kind is positions.Positions:
                decoded = positions.Positions()
                for field, item in zip(_ATTRIBUTES[kind], values, strict=True):
                    setattr(decoded, field, item)
            else:
                decoded = kind(*values)
            self._objects[number] = decoded
        else:
            raise SnapshotError(f"unknown tag {tag!r}")
        return decoded


# ---- Snapshots ----


def take_snapshot(engine: Engine, now_us: int, field_filter: FieldFilter | None = None) -> bytes:
    """The whole state, with each record's fields as `field_filter` returns them.

    Changes nothing. Must not be called while the engine handles an input.
    """
    writer = _Writer(field_filter)
    book = engine.router.state
    engine_state = {name: writer.encode(getattr(engine, attribute)) for name, attribute in engine_names(engine).items()}
    router_state = {name: writer.encode(getattr(book, attribute)) for name, attribute in ROUTER.items()}
    version, numbers, gauss = book.random.getstate()
    random_state = [version, list(numbers), gauss]
    hashed = settings_hash(engine.settings)
    head = Head(__version__, hashed, now_us, engine_state, router_state, random_state, engine.gate.snapshot())
    payload = msgspec.msgpack.encode(head)
    return MAGIC + xxhash.xxh64_digest(payload) + payload


def read_head(data: bytes, name: str = "snapshot") -> Head:
    """Decode a snapshot's head. Raises `SnapshotError` for damage, a half-written file or another format."""
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


def restore_engine(data: bytes, settings: Settings, name: str = "snapshot", expected_hash: str = "") -> Engine:
    """The engine as it was: it handles the next input as the original engine would. Raises `SnapshotError`.

    `expected_hash` is the hash of the settings that the snapshot was taken with. It is needed where `settings` are
    those settings without their secrets.
    """
    head = read_head(data, name)
    if head.program != __version__:
        raise SnapshotError(f"{name}: taken by version {head.program}, this is {__version__}")
    hashed = expected_hash or settings_hash(settings)
    if head.settings_hash != hashed:
        raise SnapshotError(f"{name}: taken with settings {head.settings_hash}, these are {hashed}")
    engine = Engine(settings)
    names = engine_names(engine)
    reader = _Reader()
    try:
        for field, value in head.engine.items():
            setattr(engine, _attribute(names, field, name), reader.decode(value))
        for field, value in head.router.items():
            setattr(engine.router.state, _attribute(ROUTER, field, name), reader.decode(value))
        version, numbers, gauss = head.random
        engine.router.state.random = random.Random()
        engine.router.state.random.setstate((version, tuple(numbers), gauss))
        engine.gate.restore(head.gate)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SnapshotError(f"{name}: {type(error).__name__}: {error}") from None
    return engine


def _attribute(names: dict[str, str], field: str, name: str) -> str:
    """The attribute that a stored field is restored to. Raises `SnapshotError` for an unknown field."""
    if field not in names:
        raise SnapshotError(f"{name}: unknown field {field!r}")
    return names[field]


def engine_from_snapshot(data: bytes, settings: Settings, now_us: int, name: str = "snapshot") -> Engine:
    """An engine for a new process, with the part of an older process's snapshot that is still valid.

    Restored: the histories of offsets (a point stays true: a box that had offset P then had everything written up to
    it), and each session's last write, so that a client that reconnects under its name still reads its own writes. The
    writes since the snapshot are unknown, so each session's reads need data at least as new as this start.

    Not restored: clients, requests and attempts (clients retry them); roles (an election may have taken place; every
    group asks its members at its first request); positions, concurrency limits and rates of members (known again
    within a few answers, and a box may have restarted meanwhile); rosters (discovery sends them again); the state of
    the random generator.

    Raises `SnapshotError` where the snapshot is too old, or where the clock has started again since it was taken.
    """
    old_engine = restore_engine(data, settings, name)
    taken_us = read_head(data, name).taken_us
    if taken_us > now_us:
        raise SnapshotError(f"{name}: taken at {taken_us} us, ahead of the clock at {now_us}: it began anew since")
    if now_us - taken_us > MAX_AGE_US:
        raise SnapshotError(f"{name}: {(now_us - taken_us) // 1_000_000} s old, {MAX_AGE_US // 1_000_000} at most")
    engine = Engine(settings, now_us)
    for group, old_group in zip(engine._groups, old_engine._groups, strict=True):
        group.positions = old_group.positions
    _restore_session_writes(engine.router.state, old_engine.router.state, now_us)
    engine.fresh = False
    return engine


def _restore_session_writes(book: RouterState, old: RouterState, now_us: int) -> None:
    """Make sessions' reads see their known writes, those that were still open, and any made since the snapshot."""
    book.forgotten_position_us = max(old.forgotten_position_us, now_us)
    for session, position_us in old.session_positions.items():
        book.record_session_write(session, max(position_us, now_us))
    for session in old.open_session_writes.by_session:
        book.record_session_write(
            session, max(write.settled_by_us for write in old.open_session_writes.of_session(session))
        )
