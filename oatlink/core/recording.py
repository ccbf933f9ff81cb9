"""What went into the engine and what came out, as frames in parts; and the replay of them. No I/O.

A part is `MAGIC`, then frames: four bytes of length, eight of checksum (xxHash64 of the payload), a payload in
msgpack. The first payload is a `Header`, each later one an `Entry`. The first part of a gateway's life begins with the
engine's first input; every other one begins with a snapshot, so that each part replays without the ones before it,
which may be gone. The engine is deterministic: the same inputs give the same effects, byte for byte.

What may live here: the format, where parts end and which are let go, its reading up to any damage, the comparison.
"""

from collections import deque
from collections.abc import Iterator, Sequence

import msgspec
import xxhash

from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.redact import Redactor, comparable, without_secrets
from oatlink.core.snapshot import SnapshotError, restore_engine, take_snapshot
from oatlink.settings.load import settings_hash
from oatlink.settings.model import Settings

MAGIC = b"OATREC\x00\x02"  # the last byte is the format's version
MAX_FRAME = 256 * 1024 * 1024  # bytes; a longer length is damage
FRAME_HEAD = 12


class Header(msgspec.Struct, frozen=True):
    """What the engine was made with. `began_us`: when it was made, or when the snapshot was taken.

    The settings are without their secrets, `settings_hash` is of those with them. `part` counts from 1 in a life.
    """

    program: str
    settings_hash: str
    settings: Settings
    began_us: int
    part: int = 1
    snapshot: bytes = b""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One input, when it was handled, and the effects it called for."""

    now_us: int
    given: m.AnyInput
    effects: list[m.AnyEffect]


class RecordingError(Exception):
    """Bytes that are no recording, or one of another version; the text is one line with the place."""


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(Header)
_entry_decoder = msgspec.msgpack.Decoder(Entry)


def frame(payload: bytes) -> bytes:
    """A payload with its length and checksum."""
    return len(payload).to_bytes(4, "big") + xxhash.xxh64_digest(payload) + payload


class Part:
    """One part as it grows; `size_bytes` is its size, its header left out."""

    def __init__(self, number: int, header: bytes) -> None:
        self.number, self.size_bytes = number, 0
        self.frames = [header]


class Recorder:
    """Cuts what an engine does into parts of about `part_bytes`, and keeps the newest `parts` of them in memory.

    The whole kept is bounded by `parts` times `part_bytes`, a snapshot and one input each above that. With `ring` off
    nothing is kept: frames go to whoever writes them.
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
        """With `engine`, what is recorded begins with its state, unless it is as new."""
        self.redactor = Redactor(settings)
        self._redacts = settings.record_redact != "none"
        self._program, self._settings, self._ring = program, settings, ring
        self.part_bytes, self.parts = part_bytes, parts
        self.kept_parts: deque[Part] = deque()
        self.input_count = 0
        begun = engine is not None and not engine.fresh
        self.header = self._begin(began_us, self._state(engine, began_us) if engine is not None and begun else b"")

    def _begin(self, began_us: int, snapshot: bytes) -> bytes:
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
        """The number of the oldest part that is kept; those before it may go."""
        return self.kept_parts[0].number

    @property
    def is_full(self) -> bool:
        """Whether the next part must begin. Its snapshot does not count: a large state must not cut ever faster."""
        return self.kept_parts[-1].size_bytes >= self.part_bytes

    def _state(self, engine: Engine, now_us: int) -> bytes:
        return take_snapshot(engine, now_us, self.redactor.hidden)

    def begin_part(self, engine: Engine, now_us: int) -> bytes:
        """Begin a part with the engine's state as it is now; returns its header. Between inputs only."""
        self._settings = engine.settings
        self.header = self._begin(now_us, self._state(engine, now_us))
        return self.header

    def add_input(self, now_us: int, given: m.AnyInput, effects: list[m.AnyEffect]) -> bytes:
        """The frame of one input."""
        given = self.redactor.given(given)
        if self._redacts:
            effects = comparable(effects, True)
        data = frame(_encoder.encode(Entry(now_us, given, effects)))
        part = self.kept_parts[-1]
        part.size_bytes += len(data)
        self.input_count += 1
        if self._ring:
            part.frames.append(data)
        return data


def engine_at_start(header: Header, settings: Settings | None = None, name: str = "recording") -> Engine:
    """The engine as it was when a part began, by other settings if given. Raises `RecordingError`."""
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
    """A recording read back. `damage` says where reading had to end, and why; empty when it was whole."""

    def __init__(self, data: bytes, name: str = "recording") -> None:
        if data[: len(MAGIC) - 1] != MAGIC[:-1]:
            raise RecordingError(f"{name}: byte 0: expected a recording of oatlink")
        if data[len(MAGIC) - 1 : len(MAGIC)] != MAGIC[-1:]:
            raise RecordingError(f"{name}: byte {len(MAGIC) - 1}: expected format {MAGIC[-1]}, got another")
        self._data, self._name = data, name
        self.damage = ""
        self._at = len(MAGIC)
        payload = self._payload()
        if payload is None:
            raise RecordingError(self.damage)
        try:
            self.header = _header_decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise RecordingError(f"{name}: byte {len(MAGIC)}: {error}") from None

    def _payload(self) -> bytes | None:
        """The next frame's payload; None at the end or at damage."""
        at, data = self._at, self._data
        if at == len(data):
            return None
        length = int.from_bytes(data[at : at + 4], "big")
        end = at + FRAME_HEAD + length
        if len(data) - at < FRAME_HEAD or (length <= MAX_FRAME and end > len(data)):
            self.damage = f"{self._name}: byte {at}: cut off inside a frame"
            return None
        payload = data[at + FRAME_HEAD : end]
        if length > MAX_FRAME or xxhash.xxh64_digest(payload) != data[at + 4 : at + FRAME_HEAD]:
            self.damage = f"{self._name}: byte {at}: the checksum does not match, the frame is damaged"
            return None
        self._at = end
        return payload

    def entries(self) -> Iterator[Entry]:
        """All entries up to the end or the damage."""
        while not self.damage:
            at = self._at
            payload = self._payload()
            if payload is None:
                return
            try:
                yield _entry_decoder.decode(payload)
            except msgspec.MsgspecError as error:
                self.damage = f"{self._name}: byte {at}: {error}"


class Difference(msgspec.Struct, frozen=True):
    """Where a replay parts from what was recorded. `request` is 0 where no request is concerned."""

    number: int
    request: int
    given: m.AnyInput
    recorded: list[m.AnyEffect]
    replayed: list[m.AnyEffect]


class Replayed(msgspec.Struct):
    """The account of a replay."""

    inputs: int = 0
    decisions: int = 0
    differences: int = 0
    first: Difference | None = None


def replay(header: Header, entries: Iterator[Entry], settings: Settings | None = None) -> Replayed:
    """Feed the recorded inputs to an engine as it is now, by other settings if given, and compare the effects.

    After a first difference the two worlds part; later ones are counted, but say little by themselves.
    """
    engine = engine_at_start(header, settings)
    redacted = header.settings.record_redact != "none"
    found = Replayed()
    for entry in entries:
        effects = comparable(engine.handle(entry.given, entry.now_us), redacted)
        found.inputs += 1
        found.decisions += sum(isinstance(one, m.Send | m.Answer) for one in effects)
        if _encoder.encode(effects) != _encoder.encode(entry.effects):
            found.differences += 1
            if found.first is None:
                request = _request(effects, entry.effects) or getattr(entry.given, "request", 0)
                found.first = Difference(found.inputs, request, entry.given, entry.effects, effects)
    return found


def _request(one: Sequence[m.AnyEffect], other: Sequence[m.AnyEffect]) -> int:
    """The first request that only one of the two has sent, or sent elsewhere."""
    mine = {(s.request, s.attempt, s.box) for s in one if isinstance(s, m.Send)}
    theirs = {(s.request, s.attempt, s.box) for s in other if isinstance(s, m.Send)}
    return min((request for request, _, _ in mine ^ theirs), default=0)
