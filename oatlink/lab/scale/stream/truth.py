"""What was agreed when, who goes by it when, and the rules that this has to keep. It plays nothing.

Rules: nobody goes back; what is in force is a whole version that was agreed; whoever says how old his knowledge is has
all that was agreed by `ROUND_US` before then; who lacks a change 5 s after its offer says that he is behind, or is
counted so above him. `ROUND_US` is the design's own bound: a version whose source was lost before it told anybody is
found in its register by then, and meanwhile the others say that they are fresh.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from oatlink.fleet.control.logs import ROUND_US
from oatlink.fleet.messages import control as c
from oatlink.lab.scale.judge import MOST_NAMED, InForce, Waits

IN_FORCE_US = 5_000_000
_numbers = re.compile("[0-9]+")


class Agreed(NamedTuple):
    """A version: when the first source had it, and the whole state."""

    at_us: int
    entries: dict[str, bytes]


class Offer(NamedTuple):
    """A change that was offered: under which event it counts, when, and who is to go by it. `name` is its own."""

    event: str
    name: str
    at_us: int
    takers: frozenset[int]


class Truth:
    """See the head of this file. Gateways are numbers; times are true ones."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        self._kinds: Counter[str] = Counter()
        self.most_short_us = 0  # by how much somebody said less than the age of what he has
        self._history: defaultdict[str, dict[tuple[int, int], Agreed]] = defaultdict(dict)
        self._newest: dict[str, tuple[int, int]] = {}
        self._offers: dict[tuple[str, bytes], Offer] = {}
        self._agreed: defaultdict[str, list[tuple[tuple[int, int], Offer]]] = defaultdict(list)
        self._next: dict[tuple[int, str], int] = {}
        self._at: dict[tuple[int, str], tuple[int, int]] = {}
        self._waits: defaultdict[str, Waits] = defaultdict(Waits)
        self._open: defaultdict[Offer, dict[int, None]] = defaultdict(dict)

    def breaks(self, text: str) -> None:
        """A rule is broken; the first of each kind, which is the words without numbers, are told."""
        kind = _numbers.sub("", text)
        self._kinds[kind] += 1
        if self._kinds[kind] <= MOST_NAMED:
            self.broken.append(text)

    # ---- What happens ----

    def offered(self, scope: str, value: bytes, offer: Offer) -> None:
        """A change is offered at a source; its value is its own."""
        self._offers[scope, value] = offer
        self._waits[offer.event].expect(offer.name, len(offer.takers))
        self._open[offer] = dict.fromkeys(offer.takers)

    def agreed(self, word: c.InForce, now_us: int) -> None:
        """A source has this version."""
        head, entries = word.head, word.entries
        version, known = (head.epoch, head.version), self._history[head.scope]
        before = known.get((head.epoch, head.version - 1))
        state = dict(before.entries) if before is not None and not word.whole else {}
        for entry in entries:
            state.pop(entry.key, None)
            if entry.value:
                state[entry.key] = entry.value
        if version in known:
            if known[version].entries != state:
                self.breaks(f"two states of {head.scope} {version}")
            return
        if before is None and head.version > 1 and not word.whole:
            self.breaks(f"{head.scope} {version} without the one before")
        known[version] = Agreed(now_us, state)
        self._newest[head.scope] = max(self._newest.get(head.scope, (0, 0)), version)
        for entry in entries:
            offer = self._offers.pop((head.scope, entry.value), None)
            if offer is not None:
                self._agreed[head.scope].append((version, offer))

    def in_force(self, gateway: int, head: c.Head, state: Mapping[str, bytes] | None, now_us: int) -> None:
        """A gateway goes by this version; `state` is None where by now it goes by a later one."""
        scope, version = head.scope, (head.epoch, head.version)
        if version <= self._at.get((gateway, scope), (-1, 0)):
            self.breaks(f"gateway {gateway} went back in {scope} to {version}")
        self._at[gateway, scope] = version
        agreed = self._history[scope].get(version)
        if agreed is None or (state is not None and agreed.entries != state):
            self.breaks(f"gateway {gateway} has a {scope} {version} that nobody agreed on")
        offers, at = self._agreed[scope], self._next.get((gateway, scope), 0)
        while at < len(offers) and offers[at][0] <= version:
            offer = offers[at][1]
            if gateway in offer.takers:
                self._waits[offer.event].saw(offer.name, now_us - offer.at_us)
                self._open[offer].pop(gateway, None)
            at += 1
        self._next[gateway, scope] = at

    def begins(self, gateway: int) -> None:
        """Its process starts anew: what it held before binds it no more."""
        for key in [key for key in self._at if key[0] == gateway]:
            del self._at[key]

    # ---- What is looked at ----

    def lacks(self, event: str) -> tuple[int, ...]:
        """Who does not go by a change of this event yet."""
        return tuple(dict.fromkeys(one for offer, some in self._open.items() if offer.event == event for one in some))

    def newest(self, scope: str) -> tuple[int, int]:
        """Epoch and version of what was agreed last."""
        return self._newest.get(scope, (0, 0))

    def check_age(self, gateway: int, head: c.Head, age_us: int, now_us: int) -> None:
        """Whoever says how old his knowledge is has all that was agreed by then."""
        following = self._history[head.scope].get((head.epoch, head.version + 1))
        short_us = now_us - age_us - following.at_us if following is not None else -1
        self.most_short_us = max(self.most_short_us, short_us)
        if short_us >= ROUND_US:
            self.breaks(f"gateway {gateway} says {age_us} us and lacks {head.scope} {head.version + 1}")

    def judged(self, event: str) -> InForce:
        """How the changes of an event came to be in force."""
        waits = self._waits[event]
        for one in self.lacks(event):
            waits.name(f"gateway {one}")
        return waits.judged(event)
