"""Own changes of one scope that wait for their version, in order. No I/O, no clock.

The one in front may be under way. From then on it stays there until its slot tells what came of it, however long that
takes: who asked is told after a time that it is not known, and nothing else is offered meanwhile.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from oatlink.fleet.messages import NEVER_US, Effect
from oatlink.fleet.messages.control import Entry

OnDone = Callable[[int, str], list[Effect]]  # the version, or 0 and why not

MAX_QUEUED = 64
UNTRIED_TIMEOUT_US = 10_000_000  # one that could not even be tried in this time is refused
TRIED_TIMEOUT_US = 30_000_000  # of one that was tried it is said then that its end is not known


class Offer(msgspec.Struct):
    """One of them. `tried`: it may have happened, or may yet; `told`: who asked has been told something."""

    number: int
    entries: tuple[Entry, ...]
    base: int
    begun_us: int
    done: OnDone
    epoch: int = -1  # the epoch to begin, -1 for a change within the present one
    is_tried: bool = False
    is_answered: bool = False

    @property
    def due_us(self) -> int:
        """When who asked has waited long enough."""
        return (
            NEVER_US
            if self.is_answered
            else self.begun_us + (TRIED_TIMEOUT_US if self.is_tried else UNTRIED_TIMEOUT_US)
        )


class OfferQueue:
    """See the head of this file."""

    def __init__(self) -> None:
        self._offers: deque[Offer] = deque()
        self._numbers = 0

    def __len__(self) -> int:
        return len(self._offers)

    @property
    def front(self) -> Offer | None:
        """The next one."""
        return self._offers[0] if self._offers else None

    @property
    def is_front_tried(self) -> bool:
        """Whether the one in front may have happened."""
        return bool(self._offers) and self._offers[0].is_tried

    @property
    def is_raising(self) -> bool:
        """Whether the one in front begins an epoch."""
        return bool(self._offers) and self._offers[0].epoch >= 0

    @property
    def due_us(self) -> int:
        """When `expire` has something to do."""
        return min((one.due_us for one in self._offers), default=NEVER_US)

    def add(self, entries: tuple[Entry, ...], base: int, done: OnDone, epoch: int, now_us: int) -> bool:
        """At the end; one that begins an epoch in front, as nothing else may help there. False: there is no room."""
        if len(self._offers) >= MAX_QUEUED:
            return False
        self._numbers += 1
        one = Offer(self._numbers, entries, base, now_us, done, epoch)
        if epoch >= 0 and not self.is_front_tried:
            self._offers.appendleft(one)
        else:
            self._offers.append(one)
        return True

    def finish_front(self, version: int, why: str = "") -> list[Effect]:
        """The one in front has come to its end."""
        one = self._offers.popleft()
        return [] if one.is_answered else one.done(version, why)

    def expire(self, why: str, now_us: int) -> list[Effect]:
        """Those that have waited long enough."""
        if now_us < self.due_us:
            return []
        effects: list[Effect] = []
        for one in [one for one in self._offers if now_us >= one.due_us]:
            if one.is_tried:
                one.is_answered = True
                effects += one.done(0, "unknown: it may have happened, or may yet")
            else:
                self._offers.remove(one)
                effects += one.done(0, f"not agreed in {UNTRIED_TIMEOUT_US // 1_000_000} s: {why}")
        return effects
