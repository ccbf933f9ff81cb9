"""An operator's words to the stream of control, and what is looked at in his change. No I/O."""

import msgspec

from oatlink.fleet.control.checks import Entries
from oatlink.fleet.messages.control import Entry

SPOKEN = "expected CONTROL STATUS, or CONTROL PUT scope key value [version]"
MOST_DIGITS = 15

_words: msgspec.msgpack.Decoder[tuple[bytes, ...]] = msgspec.msgpack.Decoder(tuple[bytes, ...])


class Put(msgspec.Struct, frozen=True):
    """A change, made for version `base` of its scope, -1 for any."""

    scope: str
    entries: tuple[Entry, ...]
    base: int = -1


def read(text: bytes) -> Put | None | str:
    """What is asked for by words that were put together with msgpack: a change, the status (None), or the refusal."""
    try:
        word, *words = [one.decode() for one in _words.decode(text)] or ["STATUS"]
    except UnicodeDecodeError:
        return "refused: expected UTF-8"
    if word.upper() == "STATUS" and not words:
        return None
    if word.upper() != "PUT" or not 3 <= len(words) <= 4:
        return f"refused: {SPOKEN}"
    scope, key, value, *base = words
    if base and not (base[0].isascii() and base[0].isdigit() and len(base[0]) <= MOST_DIGITS):
        return f"refused: expected a version's number, got {base[0][:64]!r}"
    return Put(scope, (Entry(key, value.encode()),), int(base[0]) if base else -1)


def mistake_in(scope: str, now: Entries, entries: tuple[Entry, ...]) -> str:
    """The check on a change: each value is JSON, so that one that is cut off does not go out."""
    for one in entries:
        try:
            msgspec.json.decode(one.value or b"0")
        except (msgspec.DecodeError, ValueError):
            return f"{one.key[:64]!r}: expected JSON"
    return ""
