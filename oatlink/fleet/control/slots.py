"""Defines the content of the stream's registers, and which register a version is stored in. No state."""

import msgspec

from oatlink.fleet.messages.control import MAX_SCOPE_NAME_BYTES, Entry

SLOTS = 32  # an acceptor stores at most 4,096 registers: 100 scopes take 3,200 of them, at most 26 MB


class Slot(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A version and the change that made it; source, incarnation and number together identify one offer."""

    epoch: int
    version: int
    source: str = ""
    incarnation: int = 0
    number: int = 0
    entries: tuple[Entry, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Slot)


def key_of_slot(scope: str, version: int) -> str:
    """Return the register in which a version of a scope is stored."""
    return f"control/{scope}/{version % SLOTS}"


def scope_of_slot(key: str) -> str:
    """Return the scope of a register, '' if the register is not one of the stream's."""
    return key[8:].rpartition("/")[0] if key.startswith("control/") and len(key) <= MAX_SCOPE_NAME_BYTES + 16 else ""


def encoded(slot: Slot) -> bytes:
    """Return a slot as it is stored in a register."""
    return _encoder.encode(slot)


def reading(epoch: int, version: int, slot: Slot) -> str:
    """Return what this slot means for a version.

    taken: it holds the version; begun: it holds the first version of a later epoch; later: it holds another version of
    a later epoch; behind: it holds a later version of this epoch, so this one is no longer in the registers; open: it
    holds only what may be overwritten; lost: it holds less than that, so the acceptors have lost what they agreed on.
    """
    if (slot.epoch, slot.version) == (epoch, version):
        return "taken"
    if slot.epoch > epoch:
        return "begun" if slot.version == 1 else "later"
    if slot.epoch == epoch and slot.version > version:
        return "behind"
    if version <= SLOTS:
        return "open"  # nothing of this epoch was stored in it yet
    return "open" if (slot.epoch, slot.version) == (epoch, version - SLOTS) else "lost"


def decoded(value: bytes) -> Slot | None:
    """Return the slot in a register; one of version 0 for an empty register, None if the value is no slot."""
    if not value:
        return Slot(0, 0)
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError:
        return None
