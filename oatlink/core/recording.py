"""What went into the engine and what came out, as frames; and the replay of them. No I/O.

A recording is `MAGIC`, then frames: four bytes of length, eight of checksum (xxHash64 of the payload), a payload in
msgpack. The first payload is a `Header`, each later one an `Entry`. A recording begins with the engine's first input,
so that a replay needs nothing else; the engine is deterministic, so that the same inputs give the same effects, byte
for byte. What may live here: the format, its reading up to any damage, and the comparison.
"""

from collections import deque
from collections.abc import Iterator, Sequence

import msgspec
import xxhash

from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.redact import Redactor, comparable
from oatlink.settings.load import settings_hash
from oatlink.settings.model import Settings

MAGIC = b"OATREC\x00\x01"  # the last byte is the format's version
MAX_FRAME = 256 * 1024 * 1024  # bytes; a longer length is damage
FRAME_HEAD = 12


class Header(msgspec.Struct, frozen=True):
    """What the engine was made with. `began_us` is the time handed to its constructor."""

    program: str
    settings_hash: str
    settings: Settings
    began_us: int


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


class Recorder:
    """Makes frames of what an engine does, and keeps the newest ones in a ring of bounded size."""

    def __init__(self, program: str, settings: Settings, began_us: int, ring_bytes: int = 1 << 20) -> None:
        self.redactor = Redactor(settings)
        self._redacts = settings.record_redact != "none"
        self.header = MAGIC + frame(_encoder.encode(Header(program, settings_hash(settings), settings, began_us)))
        self.ring: deque[bytes] = deque()
        self._ring_bytes = ring_bytes
        self._held = 0

    def add(self, now_us: int, given: m.AnyInput, effects: list[m.AnyEffect]) -> bytes:
        """The frame of one input; it is also kept in the ring, from which the oldest make room."""
        if self._redacts:
            given, effects = self.redactor.given(given), comparable(effects, True)
        data = frame(_encoder.encode(Entry(now_us, given, effects)))
        self.ring.append(data)
        self._held += len(data)
        while self._held > self._ring_bytes and len(self.ring) > 1:
            self._held -= len(self.ring.popleft())
        return data


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
    engine = Engine(settings or header.settings, header.began_us)
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
