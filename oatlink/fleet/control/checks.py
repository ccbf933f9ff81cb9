"""What is looked at before a change is offered; a bad one is refused with one line and changes nothing. No state."""

from collections.abc import Callable, Mapping

import msgspec

from oatlink.fleet.control.bounds import is_scope
from oatlink.fleet.control.scopes import ALL, is_names, key_of
from oatlink.fleet.control.table import are_sound
from oatlink.fleet.messages.control import MOST_CHANGE, MOST_ENTRY, MOST_ENTRY_KEY, Entry

Entries = Mapping[str, bytes]
Checker = Callable[[str, Entries, tuple[Entry, ...]], str]  # scope, its entries now, the change: '' or the mistake

_encoder = msgspec.msgpack.Encoder()


def scope_error(scope: str, everything: Entries, anew: bool = False) -> str:
    """Why nobody may offer a change there, '' if one may; `everything` is the state of `all`.

    `anew`: to begin its history again, which must be possible without that state, too.

    Threat: a mistyped scope, whose change would be agreed, be in force nowhere and look as if it were.
    """
    if not is_scope(scope) or is_names(scope):
        return f"{scope[:64]!r} is no scope for changes"
    if scope != ALL and not anew and key_of(scope) not in everything:
        return f"{scope} does not exist: {ALL} has no {key_of(scope)}"
    return ""


def change_error(entries: tuple[Entry, ...]) -> str:
    """Why this is no change whatever the state is, or ''. Bounds are in bytes."""
    if not entries:
        return "a change without entries"
    for one in entries:
        if not are_sound((one,)):
            return f"{one.key[:64]!r}: a key has 1 to {MOST_ENTRY_KEY} bytes, a value {MOST_ENTRY} at most"
        if not one.key.isprintable():
            return f"{one.key[:64]!r}: a key is printable"
    if len({one.key for one in entries}) < len(entries):
        return "a key twice in one change"
    size = len(_encoder.encode(entries))
    return f"a change of {size} bytes, {MOST_CHANGE} at most" if size > MOST_CHANGE else ""


def base_error(base: int, version: int) -> str:
    """Why a change made for version `base` (-1: any) is not offered on `version`, or ''."""
    return "" if base in (-1, version) else f"made for version {base}, now {version}"


def state_error(scope: str, now: Entries, entries: tuple[Entry, ...], checker: Checker) -> str:
    """The caller's own check against the state that the change would be applied on; an error in it is a mistake too."""
    try:
        return checker(scope, now, entries)[:256]
    except Exception as error:  # a change that the check cannot even look at must not go out
        return f"the check failed: {type(error).__name__}: {error}"[:256]
