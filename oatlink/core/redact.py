"""What may stand in a recording of what clients said, by rule; routing must still replay. No I/O.

`record_redact` in the settings: `none`, `values` (values are dropped) or `keys` (values dropped, keys hashed).

What routing reads of a command is its name, the options by which it carries an idempotency key or names its keys, the
slots of the keys and which patterns of the classes they match. All of that is kept: a hashed key begins with the
fixed beginning of the pattern that it matched, and carries a hash tag of the same slot. Where a hashed key would fall
into another class (a pattern with more than a beginning), it is kept as it was: a recording that routes otherwise would
mislead in an incident, which is what it is made for; `unredacted` counts those, and the file's writer reports them.

Passwords are never recorded, whatever the rule: the settings of a recording have empty ones, and a login that was
right carries an empty one too, so that it replays as it went.

Of replies only what decides is kept: error prefixes, numbers (WAIT), and that there was one. Replays compare effects
without payloads and answers' bytes then.
"""

from functools import lru_cache
from typing import Any

import msgspec
import xxhash

from oatlink.core import messages as m
from oatlink.core.classify import Classifier, slots_of
from oatlink.core.commands import Kind, Spec, find_command, idempotency_key, slot_of
from oatlink.core.sessions import PendingReply, PendingRequest, Session
from oatlink.settings.model import Settings

_WORDS = frozenset(
    (
        b"IDMP",
        b"IDMPAUTO",
        b"MAXLEN",
        b"MINID",
        b"NOMKSTREAM",
        b"STREAMS",
        b"COUNT",
        b"BLOCK",
        b"*",
        b"~",
        b"=",
        b"LIMIT",
    )
)
HASH_DIGITS = 12


@lru_cache(maxsize=16_384)
def tag_of(slot: int) -> bytes:
    """A short text of a hash slot, for a hash tag."""
    number = 0
    while slot_of(b"%d" % number) != slot:
        number += 1
    return b"%d" % number


class Redactor:
    """Makes inputs and effects fit for a recording."""

    def __init__(self, settings: Settings) -> None:
        self._values = settings.record_redact != "none"
        self._keys = settings.record_redact == "keys"
        self._classifier = Classifier(settings)
        self._salt = settings.seed
        self._settings = settings
        beginnings = {pattern for one in settings.classes for pattern in one.match.keys}
        self._beginnings = sorted({_fixed(one) for one in beginnings}, key=lambda one: (-len(one), one))
        self.unredacted = 0

    def given(self, one: m.AnyInput) -> m.AnyInput:
        """An input without what may not be recorded."""
        if isinstance(one, m.Reloaded):
            self._settings = one.settings
            return m.Reloaded(without_secrets(one.settings))
        if isinstance(one, m.CommandReceived) and one.args[0].lower() in (b"auth", b"hello"):
            return m.CommandReceived(
                one.client, self._login(one.args), one.late_us, one.behind, one.waited_us, one.own_us
            )
        if not self._values:
            return one
        if isinstance(one, m.CommandReceived):
            return m.CommandReceived(
                one.client, self.words(one.args), one.late_us, one.behind, one.waited_us, one.own_us
            )
        if isinstance(one, m.Ended):
            return msgspec.structs.replace(one, frames=[_frame(frame) for frame in one.frames])
        return one

    def words(self, args: list[bytes]) -> list[bytes]:
        """A command's words: the name, keys, options and numbers that count keys stay, the rest is dropped."""
        spec = find_command(args[0])
        if spec is None:
            return [b"?"] + [b""] * (len(args) - 1) if len(args[0]) > 32 else [args[0]] + [b""] * (len(args) - 1)
        if spec.kind is Kind.LOCAL:
            # Names of clients and users decide classes; passwords must not be written down.
            return self._login(args) if spec.name in ("auth", "hello") else list(args)
        try:
            keys = spec.keys(args) if spec.arity_fits(len(args)) else []
        except ValueError:
            return list(args[:1]) + [_option(one) for one in args[1:]]
        named = {key: self._key(spec, args, key) if self._keys else key for key in keys}
        out = [args[0]]
        carried = idempotency_key(spec, args)
        for at, word in enumerate(args[1:], 1):
            if at == spec.count_at:
                out.append(word)
            elif word in named:
                out.append(named[word])
            elif carried is not None and word in carried and at < 9:
                out.append(_digest(word, self._salt))
            else:
                out.append(_option(word))
        return out

    def _login(self, args: list[bytes]) -> list[bytes]:
        """AUTH and HELLO with no password: an empty one where it was right, as `without_secrets` has it, else `-`.

        A known user's name stays, for classes go by it; another name may be a password in the wrong place.
        """
        words, auth = list(args), args[0].lower() == b"auth"
        places = [1] if auth else [at + 1 for at in range(2, len(args)) if args[at].upper() == b"AUTH"]
        users = {one.name: one.password for one in self._settings.users}
        for at in places:
            if auth and len(args) == 2:
                words[1] = b"" if users.get("default") == args[1].decode("utf-8", "replace") else b"-"
            elif at + 1 < len(args):
                name, password = (one.decode("utf-8", "replace") for one in args[at : at + 2])
                words[at] = args[at] if name in users or name == "default" else b"-"
                words[at + 1] = b"" if users.get(name) == password else b"-"
            elif at < len(args):
                words[at] = b"-"
        if auth and len(args) > 3:
            words[3:] = [b"-"] * (len(args) - 3)
        return words

    def hidden(self, kind: type, field: str, value: Any) -> Any:
        """What a snapshot may hold of a record's field (`snapshot.Hide`); all of it where nothing is redacted."""
        if not self._values:
            return value
        if (kind is PendingRequest and field == "payload") or (
            kind is PendingReply and field == "answer" and value is not None
        ):
            return b""
        if kind is Session and field == "queued" and value is not None:
            return [(self.words(args), writes) for args, writes in value]
        return value

    def _key(self, spec: Spec, args: list[bytes], key: bytes) -> bytes:
        """A key's stand-in: same beginning as its pattern, same slot, same class."""
        text = key.decode("utf-8", "surrogateescape")
        begin = next((one for one in self._beginnings if text.startswith(one)), "")
        tag = tag_of(slots_of([key])[0])
        made = (
            begin.encode("utf-8", "surrogateescape").replace(b"{", b"(") + _digest(key, self._salt) + b"{" + tag + b"}"
        )
        same = self._classifier.class_of(spec, args, [key], "", "") is self._classifier.class_of(
            spec, args, [made], "", ""
        )
        if not same or slots_of([made]) != slots_of([key]):
            self.unredacted += 1
            return key
        return made


def without_secrets(settings: Settings) -> Settings:
    """Settings as a recording has them: no password is in them."""
    users = tuple(msgspec.structs.replace(one, password="") for one in settings.users)
    return msgspec.structs.replace(settings, users=users, links=msgspec.structs.replace(settings.links, password=""))


def comparable(effects: list[m.AnyEffect], redacted: bool) -> list[m.AnyEffect]:
    """Effects as a replay compares them: of a redacted recording without bytes of clients and servers."""
    if not redacted:
        return effects
    out: list[m.AnyEffect] = []
    for one in effects:
        if isinstance(one, m.Send):
            out.append(msgspec.structs.replace(one, payload=b"", runs_from=0))
        elif isinstance(one, m.Answer):
            out.append(m.Answer(one.client, b"", one.done))
        else:
            out.append(one)
    return out


def _fixed(pattern: str) -> str:
    """What every match of a pattern begins with."""
    ends = [at for at in (pattern.find(mark) for mark in "*?[") if at >= 0]
    return pattern[: min(ends, default=len(pattern))]


def _digest(word: bytes, salt: int) -> bytes:
    return xxhash.xxh64_hexdigest(word, salt)[:HASH_DIGITS].encode()


def _option(word: bytes) -> bytes:
    return word if word.upper() in _WORDS else b""


def _frame(frame: bytes) -> bytes:
    """What decides of a reply: an error's prefix, a number, else that there was an answer."""
    kind = frame[:1]
    if kind == b"-":
        return b"-" + frame[1:32].split(b" ", 1)[0].rstrip(b"\r\n") + b"\r\n"
    return frame if kind == b":" else b"+\r\n"
