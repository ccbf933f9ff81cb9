"""Checks that a peer's message keeps the bounds stated for it. No I/O, no state.

This module checks lengths, counts and ranges. Whether a message fits what is known is checked where that is known.
"""

from collections.abc import Iterable

from oatlink.fleet.control.table import PAGE_BYTES, are_sound, size_of
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.base import NEVER_US

MAX_NAME_BYTES = 128  # of a process's name
MAX_ADDRESS_BYTES = 256  # of a process's address
MAX_MESSAGE_BYTES = PAGE_BYTES + c.MAX_ENTRY_VALUE_BYTES  # of entries in one message
MAX_DELTAS = 256  # in one message
MAX_READERS = 65_536  # below one child: 18 times the size of the fleet
MAX_WAIT_MS = 600_000
_PARTS = {"region": 1, "zone": 2, "group": 1, "names": 2}  # parts of a scope's name after its kind


def in_range(*numbers: int) -> bool:
    """Return whether these numbers are possible versions, epochs, counts and incarnations."""
    return all(0 <= number < NEVER_US for number in numbers)


def is_name(text: str) -> bool:
    """Return whether a process may have this name."""
    return 0 < len(text.encode("utf-8", "replace")) <= MAX_NAME_BYTES


def is_place(place: c.Place) -> bool:
    """Return whether a process may listen there."""
    return is_name(place.name) and 0 < len(place.address.encode("utf-8", "replace")) <= MAX_ADDRESS_BYTES


def is_scope(text: str) -> bool:
    """Return whether a scope may have this name."""
    if len(text) > c.MAX_SCOPE_NAME_BYTES or not text.isascii() or not text.isprintable() or " " in text:
        return False
    kind, *parts = text.split("/")
    return text == "all" or (len(parts) == _PARTS.get(kind, -1) and all(parts))


def are_heads(heads: tuple[c.Head, ...]) -> bool:
    """Return whether these are heads of different scopes, no more than a reader may take."""
    if len(heads) > c.MAX_SCOPES_PER_READER or len({head.scope for head in heads}) != len(heads):
        return False
    return all(is_scope(head.scope) and in_range(head.epoch, head.version) for head in heads)


def is_subscribe(message: c.Subscribe) -> bool:
    """Check a subscription. Prevents a child from asking for so much that its upstream has to store it."""
    if not message.heads or not are_heads(message.heads) or not in_range(message.incarnation, message.mark):
        return False
    if (
        len(message.resume) > c.MAX_SCOPES_PER_READER
        or len(message.address.encode("utf-8", "replace")) > MAX_ADDRESS_BYTES
    ):
        return False
    return all(
        in_range(progress[1], progress[2]) and len(progress[3].encode("utf-8", "replace")) <= c.MAX_ENTRY_KEY_BYTES
        for progress in message.resume
    )


def is_changes(message: c.Changes) -> bool:
    """Check changes. Prevents a message that costs more to apply than the bounds of a message allow."""
    if (
        not 0 < len(message.deltas) <= MAX_DELTAS
        or sum(size_of(delta.entries) for delta in message.deltas) > MAX_MESSAGE_BYTES
    ):
        return False
    return all(in_range(delta.epoch, delta.version) and are_sound(delta.entries) for delta in message.deltas)


def is_page(message: c.Page) -> bool:
    """Check that the entries are in order of their keys, after `after`, and no more than a page holds."""
    if (
        not in_range(message.epoch, message.first, message.now)
        or not are_sound(message.entries)
        or not _are_keys_rising(message.after, message.entries)
    ):
        return False
    return size_of(message.entries) <= MAX_MESSAGE_BYTES and (message.last or bool(message.entries))


def _are_keys_rising(last_key: str, entries: Iterable[c.Entry]) -> bool:
    for entry in entries:
        if entry.key <= last_key:
            return False
        last_key = entry.key
    return True


def is_report(message: c.Report) -> bool:
    """Check a report. Prevents sums that no tree can have, which would hide a laggard or invent one."""
    if (
        len(message.lags) > c.MAX_SCOPES_PER_READER
        or len(message.alive) > c.MAX_REPORTED_CHILDREN
        or not in_range(message.mark, message.incarnation)
    ):
        return False
    if not 0 <= message.children <= MAX_READERS or not all(
        is_name(name) and in_range(born) for name, born in message.alive
    ):
        return False
    return are_heads(tuple(lag.head for lag in message.lags)) and all(map(_is_lag, message.lags))


def _is_lag(lag: c.Lag) -> bool:
    if not 0 <= lag.behind <= lag.readers <= MAX_READERS or not 0 <= lag.least <= lag.head.version:
        return False
    return len(lag.named) <= min(c.MAX_NAMED_LAGGARDS, lag.behind) and all(map(is_name, lag.named))
