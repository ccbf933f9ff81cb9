"""Recordings of the engine's inputs and effects: their format, their parts, reading and replay. No I/O.

A part is `MAGIC`, then frames: four bytes of length, eight of checksum (xxHash64 of the payload), a payload in
msgpack. The first payload is a `Header`, each later one an `Entry`. The first part of a process begins with the
engine's first input; every other part begins with a snapshot, so that it replays without the parts before it, which
may have been removed. The engine is deterministic: the same inputs give the same effects, byte for byte.

This module has the format, the rule that ends a part and drops old ones, the reader, which stops at damage, and the
comparison of a replay with what was recorded.
"""

from collections import deque
from collections.abc import Iterator, Sequence

import msgspec
import xxhash

from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.redact import Redactor, comparable_effects, without_secrets
from oatlink.core.snapshot import SnapshotError, restore_engine, take_snapshot
from oatlink.settings.load import settings_hash
from oatlink.settings.model import Settings

MAGIC = b"OATREC\x00\x02"  # the last byte is the format's version
MAX_PAYLOAD_BYTES = 256 * 1024 * 1024  # a greater length is damage
FRAME_HEAD_BYTES = 12


class Header(msgspec.Struct, frozen=True):
    """What the engine was created with.

    `began_us` is when it was created, or when `snapshot` was taken. `settings` are without their secrets, but
    `settings_hash` is the hash of the settings with them. `part` counts from 1 in each recording.
    """

    program: str
    settings_hash: str
    settings: Settings
    began_us: int
    part: int = 1
    snapshot: bytes = b""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One input, the time at which it was handled, and the effects that the engine returned."""

    now_us: int
    given: m.AnyInput
    effects: list[m.AnyEffect]


class RecordingError(Exception):
    """The data is no recording, or one of another version. The text is one line that names the place."""


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(Header)
_entry_decoder = msgspec.msgpack.Decoder(Entry)


def frame(payload: bytes) -> bytes:
    """Return a payload with its length and checksum before it."""
    return len(payload).to_bytes(4, "big") + xxhash.xxh64_digest(payload) + payload


class Part:
    """A part that is being written. `size_bytes` counts its frames without the header."""

    def __init__(self, number: int, header: bytes) -> None:
        self.number, self.size_bytes = number, 0
        self.frames = [header]


class Recorder:
    """Records an engine in parts of about `part_bytes` and keeps the newest `parts` of them in memory.

    The kept data is bounded by `parts` times `part_bytes`, plus one snapshot and one input for each part. Without
    `ring` no frames are kept: the caller writes those that the methods return.
    """

    def __init__(
        self,
        program: str,
        settings: Settings,
        began_us: int,
        *,
        part_bytes: int = 1 << 20,
        parts: int = 2,
        ring: bool = True,
        engine: Engine | None = None,
    ) -> None:
        """With `engine`, the recording begins with its state, unless it is new (`Engine.fresh`)."""
        self.redactor = Redactor(settings)
        self._redacts = settings.record_redact != "none"
        self._program, self._settings, self._ring = program, settings, ring
        self.part_bytes, self.parts = part_bytes, parts
        self.kept_parts: deque[Part] = deque()
        self.input_count = 0
        has_state = engine is not None and not engine.fresh
        snapshot = self._snapshot(engine, began_us) if engine is not None and has_state else b""
        self.header = self._append_part(began_us, snapshot)

    def _append_part(self, began_us: int, snapshot: bytes) -> bytes:
        """Begin a part, drop the oldest where there are too many, and return the header's frame."""
        number = self.kept_parts[-1].number + 1 if self.kept_parts else 1
        header = Header(
            self._program, settings_hash(self._settings), without_secrets(self._settings), began_us, number, snapshot
        )
        data = MAGIC + frame(_encoder.encode(header))
        self.kept_parts.append(Part(number, data if self._ring else b""))
        while len(self.kept_parts) > self.parts:
            self.kept_parts.popleft()
        return data

    @property
    def oldest_number(self) -> int:
        """The number of the oldest part that is kept; earlier parts may be removed."""
        return self.kept_parts[0].number

    @property
    def is_full(self) -> bool:
        """Whether the next part must begin.

        The snapshot at the beginning of a part does not count. Prevents parts that become full at once when the state
        is larger than `part_bytes`.
        """
        return self.kept_parts[-1].size_bytes >= self.part_bytes

    def _snapshot(self, engine: Engine, now_us: int) -> bytes:
        return take_snapshot(engine, now_us, self.redactor.redact_field)

    def begin_part(self, engine: Engine, now_us: int) -> bytes:
        """Begin a part with the engine's present state and return its header. May be called between inputs only."""
        self._settings = engine.settings
        self.header = self._append_part(now_us, self._snapshot(engine, now_us))
        return self.header

    def add_input(self, now_us: int, given: m.AnyInput, effects: list[m.AnyEffect]) -> bytes:
        """Record one input with its effects and return its frame."""
        given = self.redactor.redact_input(given)
        if self._redacts:
            effects = comparable_effects(effects, True)
        data = frame(_encoder.encode(Entry(now_us, given, effects)))
        part = self.kept_parts[-1]
        part.size_bytes += len(data)
        self.input_count += 1
        if self._ring:
            part.frames.append(data)
        return data


def engine_at_start(header: Header, settings: Settings | None = None, name: str = "recording") -> Engine:
    """The engine as it was when a part began, with other settings if given. Raises `RecordingError`."""
    if not header.snapshot:
        return Engine(settings or header.settings, header.began_us)
    try:
        engine = restore_engine(header.snapshot, header.settings, name, header.settings_hash)
    except SnapshotError as error:
        raise RecordingError(str(error)) from None
    if settings is not None:
        engine.handle(m.Reloaded(settings), header.began_us)
    return engine


class Recording:
    """A recording that is read. `damage` says where and why reading stopped; it is empty for an intact recording."""

    def __init__(self, data: bytes, name: str = "recording") -> None:
        if data[: len(MAGIC) - 1] != MAGIC[:-1]:
            raise RecordingError(f"{name}: byte 0: expected a recording of oatlink")
        if data[len(MAGIC) - 1 : len(MAGIC)] != MAGIC[-1:]:
            raise RecordingError(f"{name}: byte {len(MAGIC) - 1}: expected format {MAGIC[-1]}, got another")
        self._data, self._name = data, name
        self.damage = ""
        self._position = len(MAGIC)
        payload = self._next_payload()
        if payload is None:
            raise RecordingError(self.damage)
        try:
            self.header = _header_decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise RecordingError(f"{name}: byte {len(MAGIC)}: {error}") from None

    def _next_payload(self) -> bytes | None:
        """The next frame's payload; None at the end or at damage."""
        start, data = self._position, self._data
        if start == len(data):
            return None
        length = int.from_bytes(data[start : start + 4], "big")
        end = start + FRAME_HEAD_BYTES + length
        if len(data) - start < FRAME_HEAD_BYTES or (length <= MAX_PAYLOAD_BYTES and end > len(data)):
            self.damage = f"{self._name}: byte {start}: cut off inside a frame"
            return None
        payload = data[start + FRAME_HEAD_BYTES : end]
        if length > MAX_PAYLOAD_BYTES or xxhash.xxh64_digest(payload) != data[start + 4 : start + FRAME_HEAD_BYTES]:
            self.damage = f"{self._name}: byte {start}: the checksum does not match, the frame is damaged"
            return None
        self._position = end
        return payload

    def entries(self) -> Iterator[Entry]:
        """All entries up to the end or the damage."""
        while not self.damage:
            start = self._position
            payload = self._next_payload()
            if payload is None:
                return
            try:
                yield _entry_decoder.decode(payload)
            except msgspec.MsgspecError as error:
                self.damage = f"{self._name}: byte {start}: {error}"


class Difference(msgspec.Struct, frozen=True):
    """An input whose effects in a replay differ from the recorded ones.

    `number` is the input's place in the recording, from 1. `request` is 0 where no request is concerned.
    """

    number: int
    request: int
    given: m.AnyInput
    recorded: list[m.AnyEffect]
    replayed: list[m.AnyEffect]


class Replayed(msgspec.Struct):
    """The result of a replay: counts of inputs, decisions and differences, and the first difference."""

    inputs: int = 0
    decisions: int = 0
    differences: int = 0
    first: Difference | None = None


def replay(header: Header, entries: Iterator[Entry], settings: Settings | None = None) -> Replayed:
    """Feed the recorded inputs to an engine of the present code, with other settings if given, and compare effects.

    After the first difference the replayed state is another one than the recorded; later differences are counted, but
    may only follow from the first.
    """
    engine = engine_at_start(header, settings)
    redacted = header.settings.record_redact != "none"
    result = Replayed()
    for entry in entries:
        effects = comparable_effects(engine.handle(entry.given, entry.now_us), redacted)
        result.inputs += 1
        result.decisions += sum(isinstance(effect, m.Send | m.Answer) for effect in effects)
        if _encoder.encode(effects) != _encoder.encode(entry.effects):
            result.differences += 1
            if result.first is None:
                request = _differing_request(effects, entry.effects) or getattr(entry.given, "request", 0)
                result.first = Difference(result.inputs, request, entry.given, entry.effects, effects)
    return result


def _differing_request(replayed: Sequence[m.AnyEffect], recorded: Sequence[m.AnyEffect]) -> int:
    """The lowest number of a request that only one side has sent, or that was sent elsewhere; 0 for none."""
    replayed_sends = {(send.request, send.attempt, send.box) for send in replayed if isinstance(send, m.Send)}
    recorded_sends = {(send.request, send.attempt, send.box) for send in recorded if isinstance(send, m.Send)}
    return min((request for request, _, _ in replayed_sends ^ recorded_sends), default=0)
