"""Classification of commands: request class, group and hash slots. No I/O.

The settings (`classes[].match`) decide the class of a command: it is the first one whose conditions all hold. This
module applies them, with these rules and defaults:

- A class of reads never takes a write, and a class of writes never a read, whatever the settings say: a write that
  is sent to a replica by mistake would be lost.
- A keyed class takes only commands that carry a key by which the server drops repeats (`XADD ... IDMP`). The
  same command without a key could run twice, so it falls to the next class that matches.
- A command that no class takes is a current read on the primary, or a write that is never repeated.
- A script may write, so it counts as a write that is never repeated, unless a class of writes names it.
"""

from collections import OrderedDict
from functools import lru_cache

from oatlink import interface as api
from oatlink.core.commands import SLOTS, Kind, Spec, idempotency_key, slot_of
from oatlink.settings.matching import matches
from oatlink.settings.model import RequestClass, Settings

DEFAULT_READ = RequestClass("default-read", "latest", "idempotent", 1_000, 5_000)
DEFAULT_WRITE = RequestClass("default-write", "write", "unsafe", 1_000, 5_000)
PINNED = RequestClass("pinned", "write", "idempotent", 1_000, 5_000)
"""The class of reads by a client that watches keys: on the primary, on its reserved connection, safe to repeat."""

MAX_CACHED_DECISIONS = 4_096  # enough for the combinations of command, key, user and name in a site's traffic


def router_class(rule: RequestClass) -> api.RequestClass:
    """A class of the settings as the Router has it."""
    return api.RequestClass(
        rule.name,
        api.Freshness(rule.freshness),
        api.Effect(rule.effect),
        rule.aim_ms * 1000,
        rule.deadline_ms * 1000,
        rule.worth,
        rule.late_worth,
        rule.staleness_ms * 1000,
        rule.repeat_window_ms * 1000,
    )


class Classifier:
    """Finds the class and the group of each command by the settings."""

    def __init__(self, settings: Settings) -> None:
        self.classes = (*settings.classes, DEFAULT_READ, DEFAULT_WRITE, PINNED)
        self.by_name = {rule.name: rule for rule in self.classes}
        self._cache: OrderedDict[tuple[str, bool, bool, bytes, str, str], RequestClass] = OrderedDict()
        self._slots = [-1] * SLOTS
        for number, bank in enumerate(settings.banks):
            for low, high in bank.slots:
                self._slots[low : high + 1] = [number] * (high - low + 1)
        self._matches_keys = any(rule.match.keys for rule in settings.classes)
        self.groups = len(settings.banks)

    def class_of(self, spec: Spec, args: list[bytes], keys: list[bytes], user: str, client: str) -> RequestClass:
        """The class of a command from a client with this user and this client name."""
        writes = spec.kind not in (Kind.READ, Kind.KEYLESS_READ)
        keyed = writes and idempotency_key(spec, args) is not None
        key = keys[0] if keys and self._matches_keys else b""
        traits = (spec.name, writes, keyed, key, user, client)
        rule = self._cache.get(traits)
        if rule is None:
            rule = self._match(*traits)
            self._cache[traits] = rule
            if len(self._cache) > MAX_CACHED_DECISIONS:
                self._cache.popitem(last=False)
        return rule

    def class_of_transaction(self, writes: bool, user: str, client: str) -> RequestClass:
        """The class of a whole transaction, as command `exec`. Never keyed: not all its commands need carry a key."""
        return self._match("exec", writes, False, b"", user, client)

    def _match(self, name: str, writes: bool, keyed: bool, key: bytes, user: str, client: str) -> RequestClass:
        text = key.decode("utf-8", "surrogateescape")
        for rule in self.classes[:-3]:  # without the three defaults
            if (rule.freshness == "write") is not writes or (rule.effect == "keyed" and not keyed):
                continue
            if matches(rule.match, name, text, user, client):
                return rule
        return DEFAULT_WRITE if writes else DEFAULT_READ

    def group_of(self, slots: list[int]) -> int | None:
        """The common group of these slots, or None if they belong to several. `slots` must not be empty."""
        group = self._slots[slots[0]]
        for slot in slots[1:]:
            if self._slots[slot] != group:
                return None
        return group


@lru_cache(maxsize=65_536)
def _cached_slot_of(key: bytes) -> int:
    """The hash slot of a key, cached because hashing byte by byte is slow."""
    return slot_of(key)


def slots_of(keys: list[bytes]) -> list[int]:
    """The distinct slots of keys in order of first use. Slots of long keys are not cached."""
    if len(keys) == 1:
        return [_cached_slot_of(keys[0]) if len(keys[0]) <= 128 else slot_of(keys[0])]
    return list(dict.fromkeys(_cached_slot_of(key) if len(key) <= 128 else slot_of(key) for key in keys))
