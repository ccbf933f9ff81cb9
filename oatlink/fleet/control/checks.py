"""Checks a change before it is offered; a bad one is refused with one line and changes nothing. No state."""

from collections.abc import Callable, Mapping

import msgspec

from oatlink.fleet.control.bounds import is_scope
from oatlink.fleet.control.scopes import ALL, is_names, key_of
from oatlink.fleet.control.table import are_sound
from oatlink.fleet.messages.control import MAX_CHANGE_BYTES, MAX_ENTRY_KEY_BYTES, MAX_ENTRY_VALUE_BYTES, Entry

Entries = Mapping[str, bytes]
Checker = Callable[
    [str, Entries, tuple[Entry, ...]], str
]  # gets scope, its current entries and the change; returns '' or the error

_encoder = msgspec.msgpack.Encoder()


def scope_error(scope: str, everything: Entries, begins_epoch: bool = False) -> str:
    """Return why no change may be offered in this scope, or ''; `everything` is the state of `all`.

    `begins_epoch`: the change begins the scope's history again, which must be possible without that state, too.
    Prevents changes in a mistyped scope, which would be agreed, take effect nowhere and look as if they did.
    """
    if not is_scope(scope) or is_names(scope):
        return f"{scope[:64]!r} is no scope for changes"
    if scope != ALL and not begins_epoch and key_of(scope) not in everything:
        return f"{scope} does not exist: {ALL} has no {key_of(scope)}"
    return ""


def change_error(entries: tuple[Entry, ...]) -> str:
    """Return why this change is refused whatever the state is, or ''. Bounds are in bytes."""
    if not entries:
        return "a change without entries"
    for entry in entries:
        if not are_sound((entry,)):
            bounds = f"a key has 1 to {MAX_ENTRY_KEY_BYTES} bytes, a value {MAX_ENTRY_VALUE_BYTES} at most"
            return f"{entry.key[:64]!r}: {bounds}"
        if not entry.key.isprintable():
            return f"{entry.key[:64]!r}: a key is printable"
    if len({entry.key for entry in entries}) < len(entries):
        return "a key twice in one change"
    size = len(_encoder.encode(entries))
    return f"a change of {size} bytes, {MAX_CHANGE_BYTES} at most" if size > MAX_CHANGE_BYTES else ""


def base_error(base: int, version: int) -> str:
    """Return why a change made for version `base` (-1: any) is not offered on `version`, or ''."""
    return "" if base in (-1, version) else f"made for version {base}, now {version}"


def state_error(scope: str, current: Entries, entries: tuple[Entry, ...], checker: Checker) -> str:
    """Run the caller's check against the state that the change would be applied to.

    An exception in the check counts as an error.
    """
    try:
        return checker(scope, current, entries)[:256]
    except Exception as error:  # a change on which the check fails must not be offered
        return f"the check failed: {type(error).__name__}: {error}"[:256]
