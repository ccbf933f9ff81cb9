"""Commands of operators to the control stream, and the check of a change. No I/O."""

import msgspec

from oatlink.fleet.control.checks import Entries
from oatlink.fleet.messages.control import Entry

USAGE = "expected CONTROL STATUS, or CONTROL PUT scope key value [version]"
MAX_VERSION_DIGITS = 15

_words_decoder: msgspec.msgpack.Decoder[tuple[bytes, ...]] = msgspec.msgpack.Decoder(tuple[bytes, ...])


class PutCommand(msgspec.Struct, frozen=True):
    """The command to change a scope, based on version `base` of it, -1 for any."""

    scope: str
    entries: tuple[Entry, ...]
    base: int = -1


def parse_command(text: bytes) -> PutCommand | None | str:
    """Parse a command, given as a msgpack array of its words: a change, None for the status, or why it is refused."""
    try:
        command, *arguments = [word.decode() for word in _words_decoder.decode(text)] or ["STATUS"]
    except UnicodeDecodeError:
        return "refused: expected UTF-8"
    if command.upper() == "STATUS" and not arguments:
        return None
    if command.upper() != "PUT" or not 3 <= len(arguments) <= 4:
        return f"refused: {USAGE}"
    scope, key, value, *base = arguments
    if base and not (base[0].isascii() and base[0].isdigit() and len(base[0]) <= MAX_VERSION_DIGITS):
        return f"refused: expected a version's number, got {base[0][:64]!r}"
    return PutCommand(scope, (Entry(key, value.encode()),), int(base[0]) if base else -1)


def find_mistake(scope: str, now: Entries, entries: tuple[Entry, ...]) -> str:
    """The check of a change: each value must be JSON, so that a truncated one is not distributed."""
    for entry in entries:
        try:
            msgspec.json.decode(entry.value or b"0")
        except (msgspec.DecodeError, ValueError):
            return f"{entry.key[:64]!r}: expected JSON"
    return ""
