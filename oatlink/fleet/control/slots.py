"""What a register of the stream holds, and which register a version lives in. No state."""

import msgspec

from oatlink.fleet.messages.control import MAX_SCOPE_NAME_BYTES, Entry

SLOTS = 32  # a keeper has room for 4,096 registers: 100 scopes take 3,200 of them, at most 26 MB


class Slot(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A version, and whose change it is: of all offers only that one has these three."""

    epoch: int
    version: int
    source: str = ""
    incarnation: int = 0
    number: int = 0
    entries: tuple[Entry, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Slot)


def key_of_slot(scope: str, version: int) -> str:
    """The register that a version of a scope lives in."""
    return f"control/{scope}/{version % SLOTS}"


def scope_of_slot(key: str) -> str:
    """The scope of a register, empty if it is none of the stream's."""
    return key[8:].rpartition("/")[0] if key.startswith("control/") and len(key) <= MAX_SCOPE_NAME_BYTES + 16 else ""


def encoded(slot: Slot) -> bytes:
    """As it lies in a register."""
    return _encoder.encode(slot)


def reading(epoch: int, version: int, slot: Slot) -> str:
    """What the slot of this version says of it.

    taken: it holds it; begun: it holds the first version of a later epoch; later: of a later epoch another one; behind:
    a later version of this epoch, so this one is not in the registers any more; open: only what may be written over;
    lost: less than that, so the keepers have lost what they agreed on.
    """
    if (slot.epoch, slot.version) == (epoch, version):
        return "taken"
    if slot.epoch > epoch:
        return "begun" if slot.version == 1 else "later"
    if slot.epoch == epoch and slot.version > version:
        return "behind"
    if version <= SLOTS:
        return "open"  # nothing of this epoch was in it yet
    return "open" if (slot.epoch, slot.version) == (epoch, version - SLOTS) else "lost"


def decoded(value: bytes) -> Slot | None:
    """What lies in a register; version 0 where nothing does, None where it is no slot."""
    if not value:
        return Slot(0, 0)
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError:
        return None
