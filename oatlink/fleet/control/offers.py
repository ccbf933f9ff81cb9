"""Queues a source's own changes of one scope until each gets its version, in order. No I/O, no clock.

The change at the front may be under way. It then stays at the front until its slot shows the outcome, however long that
takes: after some time the caller gets the answer that the outcome is unknown, and nothing else is offered meanwhile.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from oatlink.fleet.messages import NEVER_US, Effect
from oatlink.fleet.messages.control import Entry

OnDone = Callable[[int, str], list[Effect]]  # gets the version, or 0 and the reason

MAX_QUEUED = 64
UNTRIED_TIMEOUT_US = 10_000_000  # a change that was not tried within this time is refused
TRIED_TIMEOUT_US = 30_000_000  # after this time the outcome of a change that was tried is reported as unknown


class Offer(msgspec.Struct):
    """One change. `is_tried`: it may have happened or may yet happen; `is_answered`: the caller has got an answer."""

    number: int
    entries: tuple[Entry, ...]
    base: int
    begun_us: int
    done: OnDone
    epoch: int = -1  # the epoch to begin, -1 for a change within the current one
    is_tried: bool = False
    is_answered: bool = False

    @property
    def due_us(self) -> int:
        """When the caller has waited long enough."""
        return (
            NEVER_US
            if self.is_answered
            else self.begun_us + (TRIED_TIMEOUT_US if self.is_tried else UNTRIED_TIMEOUT_US)
        )


class OfferQueue:
    """The queue of one scope's own changes."""

    def __init__(self) -> None:
        self._offers: deque[Offer] = deque()
        self._numbers = 0

    def __len__(self) -> int:
        return len(self._offers)

    @property
    def front(self) -> Offer | None:
        """The change to offer next."""
        return self._offers[0] if self._offers else None

    @property
    def is_front_tried(self) -> bool:
        """Whether the change at the front may have happened."""
        return bool(self._offers) and self._offers[0].is_tried

    @property
    def is_raising(self) -> bool:
        """Whether the change at the front begins an epoch."""
        return bool(self._offers) and self._offers[0].epoch >= 0

    @property
    def due_us(self) -> int:
        """When `expire` has something to do."""
        return min((offer.due_us for offer in self._offers), default=NEVER_US)

    def add(self, entries: tuple[Entry, ...], base: int, done: OnDone, epoch: int, now_us: int) -> bool:
        """Append a change; one that begins an epoch goes to the front, as that may be the only remedy.

        False if the queue is full.
        """
        if len(self._offers) >= MAX_QUEUED:
            return False
        self._numbers += 1
        offer = Offer(self._numbers, entries, base, now_us, done, epoch)
        if epoch >= 0 and not self.is_front_tried:
            self._offers.appendleft(offer)
        else:
            self._offers.append(offer)
        return True

    def finish_front(self, version: int, reason: str = "") -> list[Effect]:
        """Remove the change at the front and answer its caller."""
        offer = self._offers.popleft()
        return [] if offer.is_answered else offer.done(version, reason)

    def expire(self, reason: str, now_us: int) -> list[Effect]:
        """Answer the callers that have waited long enough."""
        if now_us < self.due_us:
            return []
        effects: list[Effect] = []
        for offer in [offer for offer in self._offers if now_us >= offer.due_us]:
            if offer.is_tried:
                offer.is_answered = True
                effects += offer.done(0, "unknown: it may have happened, or may yet")
            else:
                self._offers.remove(offer)
                effects += offer.done(0, f"not agreed in {UNTRIED_TIMEOUT_US // 1_000_000} s: {reason}")
        return effects
