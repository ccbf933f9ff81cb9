"""Whether a peer's word keeps the bounds that are stated for it. No I/O, no state.

What may live here: lengths, counts and ranges. Whether a word fits what is known lives with what knows it.
"""

from collections.abc import Iterable

from oatlink.fleet.control.table import PAGE_BYTES, are_sound, size_of
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.base import NEVER_US

MAX_NAME_BYTES = 128  # bytes of a process's name
MAX_ADDRESS_BYTES = 256  # bytes
MAX_MESSAGE_BYTES = PAGE_BYTES + c.MOST_ENTRY  # bytes of entries in one word
MAX_DELTAS = 256  # in one word
MAX_READERS = 65_536  # below one child: 18 times the size
MAX_WAIT_MS = 600_000
_PARTS = {"region": 1, "zone": 2, "group": 1, "names": 2}  # of a scope's name, behind its kind


def in_range(*numbers: int) -> bool:
    """Whether these are numbers that versions, epochs, counts and incarnations may have."""
    return all(0 <= one < NEVER_US for one in numbers)


def is_name(text: str) -> bool:
    """Whether a process may be called that."""
    return 0 < len(text.encode("utf-8", "replace")) <= MAX_NAME_BYTES


def is_place(place: c.Place) -> bool:
    """Whether somebody may listen there."""
    return is_name(place.name) and 0 < len(place.address.encode("utf-8", "replace")) <= MAX_ADDRESS_BYTES


def is_scope(text: str) -> bool:
    """Whether a scope may have this name."""
    if len(text) > c.MOST_SCOPE or not text.isascii() or not text.isprintable() or " " in text:
        return False
    kind, *parts = text.split("/")
    return text == "all" or (len(parts) == _PARTS.get(kind, -1) and all(parts))


def are_heads(heads: tuple[c.Head, ...]) -> bool:
    """Whether these are heads of different scopes, no more than a reader may take."""
    if len(heads) > c.MOST_SCOPES or len({one.scope for one in heads}) != len(heads):
        return False
    return all(is_scope(one.scope) and in_range(one.epoch, one.version) for one in heads)


def is_subscribe(one: c.Subscribe) -> bool:
    """Threat: a child that asks for so much that its upstream holds it in its stead."""
    if not one.heads or not are_heads(one.heads) or not in_range(one.incarnation, one.mark):
        return False
    if len(one.resume) > c.MOST_SCOPES or len(one.address.encode("utf-8", "replace")) > MAX_ADDRESS_BYTES:
        return False
    return all(in_range(r[1], r[2]) and len(r[3].encode("utf-8", "replace")) <= c.MOST_ENTRY_KEY for r in one.resume)


def is_changes(one: c.Changes) -> bool:
    """Threat: a word that costs more to take than it may bring."""
    if not 0 < len(one.deltas) <= MAX_DELTAS or sum(size_of(delta.entries) for delta in one.deltas) > MAX_MESSAGE_BYTES:
        return False
    return all(in_range(delta.epoch, delta.version) and are_sound(delta.entries) for delta in one.deltas)


def is_page(one: c.Page) -> bool:
    """Entries in order of their keys, behind `after`, and no more than a page holds."""
    if not in_range(one.epoch, one.first, one.now) or not are_sound(one.entries) or not _rises(one.after, one.entries):
        return False
    return size_of(one.entries) <= MAX_MESSAGE_BYTES and (one.last or bool(one.entries))


def _rises(after: str, entries: Iterable[c.Entry]) -> bool:
    for one in entries:
        if one.key <= after:
            return False
        after = one.key
    return True


def is_report(one: c.Report) -> bool:
    """Threat: sums that no tree can have, which would hide a laggard or invent one."""
    if len(one.lags) > c.MOST_SCOPES or len(one.alive) > c.MOST_CHILDREN or not in_range(one.mark, one.incarnation):
        return False
    if not 0 <= one.children <= MAX_READERS or not all(is_name(name) and in_range(born) for name, born in one.alive):
        return False
    return are_heads(tuple(lag.head for lag in one.lags)) and all(map(_is_lag, one.lags))


def _is_lag(one: c.Lag) -> bool:
    if not 0 <= one.behind <= one.readers <= MAX_READERS or not 0 <= one.least <= one.head.version:
        return False
    return len(one.named) <= min(c.MOST_NAMED, one.behind) and all(map(is_name, one.named))
