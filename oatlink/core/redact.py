"""Removes clients' data from recordings, while a replay still routes every request in the same way. No I/O.

`record_redact` in the settings is `none`, `values` (values are dropped) or `keys` (values are dropped and keys hashed).

Routing depends on a command's name, on the options that carry an idempotency key or name its keys, on the slots of the
keys, and on the class patterns that the keys match. All of that is kept: a hashed key begins with the literal prefix of
the pattern that it matched, and carries a hash tag of the same slot. Where a hashed key would fall into another class
(a pattern with more than a prefix), the key is recorded unchanged, because recordings serve to investigate incidents
and one that routes differently would mislead. `unredacted_count` counts these keys, and the file's writer reports them.

Passwords are never recorded, whatever the setting. The settings in a recording have empty passwords, and a login that
succeeded is recorded with an empty password too, so that it also succeeds in a replay.

Of replies only the parts that affect decisions are kept: the prefix of an error, a number (WAIT), or the fact that
there was a reply. Replays of such a recording compare effects without payloads and without the bytes of answers.
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

_KEPT_OPTIONS = frozenset(
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
DIGEST_LENGTH = 12  # hexadecimal digits


@lru_cache(maxsize=16_384)
def hash_tag_for(slot: int) -> bytes:
    """A short text for a hash tag that puts a key into this slot."""
    number = 0
    while slot_of(b"%d" % number) != slot:
        number += 1
    return b"%d" % number


class Redactor:
    """Removes from inputs and records what the settings keep out of recordings."""

    def __init__(self, settings: Settings) -> None:
        self._drops_values = settings.record_redact != "none"
        self._hashes_keys = settings.record_redact == "keys"
        self._classifier = Classifier(settings)
        self._salt = settings.seed
        self._settings = settings
        patterns = {pattern for request_class in settings.classes for pattern in request_class.match.keys}
        self._prefixes = sorted(
            {_literal_prefix(pattern) for pattern in patterns}, key=lambda prefix: (-len(prefix), prefix)
        )
        self.unredacted_count = 0

    def redact_input(self, given: m.AnyInput) -> m.AnyInput:
        """Return an input without what may not be recorded."""
        if isinstance(given, m.Reloaded):
            self._settings = given.settings
            return m.Reloaded(without_secrets(given.settings))
        if isinstance(given, m.CommandReceived) and given.args[0].lower() in (b"auth", b"hello"):
            args = self._redact_login(given.args)
            return m.CommandReceived(given.client, args, given.late_us, given.behind, given.waited_us, given.own_us)
        if not self._drops_values:
            return given
        if isinstance(given, m.CommandReceived):
            args = self.redact_command(given.args)
            return m.CommandReceived(given.client, args, given.late_us, given.behind, given.waited_us, given.own_us)
        if isinstance(given, m.Ended):
            return msgspec.structs.replace(given, frames=[_redact_frame(frame) for frame in given.frames])
        return given

    def redact_command(self, args: list[bytes]) -> list[bytes]:
        """Keep a command's name, keys, options and the number that counts its keys, and drop the other arguments."""
        spec = find_command(args[0])
        if spec is None:
            return [b"?"] + [b""] * (len(args) - 1) if len(args[0]) > 32 else [args[0]] + [b""] * (len(args) - 1)
        if spec.kind is Kind.LOCAL:
            # Names of clients and users decide the class of requests; passwords must not be recorded.
            return self._redact_login(args) if spec.name in ("auth", "hello") else list(args)
        try:
            keys = spec.keys(args) if spec.arity_fits(len(args)) else []
        except ValueError:
            return list(args[:1]) + [_redact_option(word) for word in args[1:]]
        recorded_keys = {key: self._hash_key(spec, args, key) if self._hashes_keys else key for key in keys}
        redacted = [args[0]]
        idempotency_words = idempotency_key(spec, args)
        for index, word in enumerate(args[1:], 1):
            if index == spec.count_at:
                redacted.append(word)
            elif word in recorded_keys:
                redacted.append(recorded_keys[word])
            elif idempotency_words is not None and word in idempotency_words and index < 9:
                redacted.append(_digest(word, self._salt))
            else:
                redacted.append(_redact_option(word))
        return redacted

    def _redact_login(self, args: list[bytes]) -> list[bytes]:
        """AUTH or HELLO without its password: an empty one where it was right, as in `without_secrets`, else `-`.

        The name of a known user stays, since classes depend on it. Any other name may be a password in the wrong place.
        """
        redacted, is_auth = list(args), args[0].lower() == b"auth"
        starts = [1] if is_auth else [index + 1 for index in range(2, len(args)) if args[index].upper() == b"AUTH"]
        passwords = {user.name: user.password for user in self._settings.users}
        for start in starts:
            if is_auth and len(args) == 2:
                redacted[1] = b"" if passwords.get("default") == args[1].decode("utf-8", "replace") else b"-"
            elif start + 1 < len(args):
                name, password = (word.decode("utf-8", "replace") for word in args[start : start + 2])
                redacted[start] = args[start] if name in passwords or name == "default" else b"-"
                redacted[start + 1] = b"" if passwords.get(name) == password else b"-"
            elif start < len(args):
                redacted[start] = b"-"
        if is_auth and len(args) > 3:
            redacted[3:] = [b"-"] * (len(args) - 3)
        return redacted

    def redact_field(self, kind: type, field: str, value: Any) -> Any:
        """The value of a record's field that a snapshot may contain (a `snapshot.FieldFilter`)."""
        if not self._drops_values:
            return value
        if (kind is PendingRequest and field == "payload") or (
            kind is PendingReply and field == "answer" and value is not None
        ):
            return b""
        if kind is Session and field == "queued" and value is not None:
            return [(self.redact_command(args), writes) for args, writes in value]
        return value

    def _hash_key(self, spec: Spec, args: list[bytes], key: bytes) -> bytes:
        """The key's replacement, which has the prefix of its pattern, the same slot and the same class."""
        text = key.decode("utf-8", "surrogateescape")
        prefix = next((prefix for prefix in self._prefixes if text.startswith(prefix)), "")
        tag = hash_tag_for(slots_of([key])[0])
        hashed = (
            prefix.encode("utf-8", "surrogateescape").replace(b"{", b"(") + _digest(key, self._salt) + b"{" + tag + b"}"
        )
        is_same_class = self._classifier.class_of(spec, args, [key], "", "") is self._classifier.class_of(
            spec, args, [hashed], "", ""
        )
        if not is_same_class or slots_of([hashed]) != slots_of([key]):
            self.unredacted_count += 1
            return key
        return hashed


def without_secrets(settings: Settings) -> Settings:
    """The settings with empty passwords, as recordings have them."""
    users = tuple(msgspec.structs.replace(user, password="") for user in settings.users)
    return msgspec.structs.replace(settings, users=users, links=msgspec.structs.replace(settings.links, password=""))


def comparable_effects(effects: list[m.AnyEffect], redacted: bool) -> list[m.AnyEffect]:
    """Effects as a replay compares them: for a redacted recording without the bytes of clients and servers."""
    if not redacted:
        return effects
    comparable: list[m.AnyEffect] = []
    for effect in effects:
        if isinstance(effect, m.Send):
            comparable.append(msgspec.structs.replace(effect, payload=b"", runs_from=0))
        elif isinstance(effect, m.Answer):
            comparable.append(m.Answer(effect.client, b"", effect.done))
        else:
            comparable.append(effect)
    return comparable


def _literal_prefix(pattern: str) -> str:
    """The text before a pattern's first wildcard, with which every match begins."""
    wildcards = [index for index in (pattern.find(wildcard) for wildcard in "*?[") if index >= 0]
    return pattern[: min(wildcards, default=len(pattern))]


def _digest(word: bytes, salt: int) -> bytes:
    """A salted hash of a word, as hexadecimal digits."""
    return xxhash.xxh64_hexdigest(word, salt)[:DIGEST_LENGTH].encode()


def _redact_option(word: bytes) -> bytes:
    """The word where it is an option that routing reads, else an empty one."""
    return word if word.upper() in _KEPT_OPTIONS else b""


def _redact_frame(frame: bytes) -> bytes:
    """The part of a reply that affects decisions: an error's prefix or a number; else only that there was a reply."""
    kind = frame[:1]
    if kind == b"-":
        return b"-" + frame[1:32].split(b" ", 1)[0].rstrip(b"\r\n") + b"\r\n"
    return frame if kind == b":" else b"+\r\n"
