"""A client's words made into a request: its class, its group, its keys' slots, its effect. No I/O.

Which class a command falls in is data (settings, `classes[].match`): the first class whose conditions all hold.
What may live here: the reading of that data, and what is done where it says nothing.

- A class of reads never takes a write, and a class of writes never a read, whatever the data says: a misjudged
  write at a replica would be lost.
- A keyed class takes only commands that carry a key by which the server drops repeats (`XADD ... IDMP`). The
  same command without one could run twice, so it falls to the next class that fits.
- What no class takes is a current read on the primary, or a write that is never repeated.
- A script may write; it counts as a write that is never repeated, unless a class of writes names it.
"""

from collections import OrderedDict
from functools import lru_cache

from oatlink import interface as api
from oatlink.core.commands import SLOTS, Kind, Spec, idempotency_key, slot_of
from oatlink.settings.matching import fits
from oatlink.settings.model import RequestClass, Settings

DEFAULT_READ = RequestClass("default-read", "latest", "idempotent", 1_000, 5_000)
DEFAULT_WRITE = RequestClass("default-write", "write", "unsafe", 1_000, 5_000)
PINNED = RequestClass("pinned", "write", "idempotent", 1_000, 5_000)
"""Reads of a client that watches keys: on the primary, on its own connection, harmless to repeat."""

REMEMBERED = 4_096  # decisions kept by (command, key, user, name): enough for the shapes of a site's traffic


def router_class(one: RequestClass) -> api.RequestClass:
    """The Router's record of a class."""
    return api.RequestClass(
        one.name,
        api.Freshness(one.freshness),
        api.Effect(one.effect),
        one.aim_ms * 1000,
        one.deadline_ms * 1000,
        one.worth,
        one.late_worth,
        one.staleness_ms * 1000,
        one.repeat_window_ms * 1000,
    )


class Classifier:
    """The class of each command, by the settings."""

    def __init__(self, settings: Settings) -> None:
        self.classes = (*settings.classes, DEFAULT_READ, DEFAULT_WRITE, PINNED)
        self.by_name = {one.name: one for one in self.classes}
        self._found: OrderedDict[tuple[str, bool, bool, bytes, str, str], RequestClass] = OrderedDict()
        self._slots = [-1] * SLOTS
        for number, bank in enumerate(settings.banks):
            for low, high in bank.slots:
                self._slots[low : high + 1] = [number] * (high - low + 1)
        self._by_key = any(one.match.keys for one in settings.classes)
        self.groups = len(settings.banks)

    def class_of(self, spec: Spec, args: list[bytes], keys: list[bytes], user: str, client: str) -> RequestClass:
        """The class of a command from a client with this user and this client name."""
        writes = spec.kind not in (Kind.READ, Kind.KEYLESS_READ)
        keyed = writes and idempotency_key(spec, args) is not None
        key = keys[0] if keys and self._by_key else b""
        known = (spec.name, writes, keyed, key, user, client)
        found = self._found.get(known)
        if found is None:
            found = self._find(spec.name, writes, keyed, key, user, client)
            self._found[known] = found
            if len(self._found) > REMEMBERED:
                self._found.popitem(last=False)
        return found

    def class_of_transaction(self, writes: bool, user: str, client: str) -> RequestClass:
        """The class of a whole transaction: named by `exec`; never keyed, its parts may not all carry keys."""
        return self._find("exec", writes, False, b"", user, client)

    def _find(self, name: str, writes: bool, keyed: bool, key: bytes, user: str, client: str) -> RequestClass:
        text = key.decode("utf-8", "surrogateescape")
        for one in self.classes[:-3]:
            if (one.freshness == "write") is not writes or (one.effect == "keyed" and not keyed):
                continue
            if fits(one.match, name, text, user, client):
                return one
        return DEFAULT_WRITE if writes else DEFAULT_READ

    def group_of(self, slots: list[int]) -> int | None:
        """The one group of all these slots, or None where there are several. Slots must not be empty."""
        group = self._slots[slots[0]]
        for slot in slots[1:]:
            if self._slots[slot] != group:
                return None
        return group


@lru_cache(maxsize=65_536)
def slot(key: bytes) -> int:
    """The hash slot of a key, remembered: hashing byte by byte is dear."""
    return slot_of(key)


def slots_of(keys: list[bytes]) -> list[int]:
    """The slots of keys, each once, in order of first use. Long keys are not remembered."""
    if len(keys) == 1:
        return [slot(keys[0]) if len(keys[0]) <= 128 else slot_of(keys[0])]
    return list(dict.fromkeys(slot(one) if len(one) <= 128 else slot_of(one) for one in keys))
