"""True time: an event heap, and clocks that run beside it. No real clock.

Events at one moment happen in the order in which they were planned, so a run follows from its inputs alone.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MILLION = 1_000_000
SECOND_US = 1_000_000


class Timeline:
    """The heap. `now` is true time in microseconds."""

    def __init__(self) -> None:
        self.now = 0
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._planned = 0

    def at(self, when_us: int, what: Callable[..., None], *given: Any) -> None:
        """Plan an event; what lies in the past happens next."""
        self._planned += 1
        heappush(self._heap, (max(when_us, self.now), self._planned, what, given))

    def after(self, wait_us: int, what: Callable[..., None], *given: Any) -> None:
        """Plan an event in so long from now."""
        self.at(self.now + wait_us, what, *given)

    def run(self, end_us: int) -> None:
        """Let time pass."""
        heap = self._heap
        while heap and heap[0][0] <= end_us:
            self.now, _, what, given = heappop(heap)
            self.events += 1
            what(*given)
        self.now = end_us


class Clock:
    """A machine's monotonic clock: `ppm` millionths faster than true time, from an offset of its own."""

    def __init__(self, ppm: int, offset_us: int) -> None:
        self._rate = MILLION + ppm
        self._offset_us = offset_us

    def reads(self, true_us: int) -> int:
        """What the clock shows at a moment of true time."""
        return self._offset_us + true_us * self._rate // MILLION

    def reaches(self, shown_us: int) -> int:
        """The first moment of true time at which the clock shows at least this."""
        return -((self._offset_us - shown_us) * MILLION // self._rate)

    def begins_anew(self, true_us: int) -> None:
        """The machine has started again: the clock shows next to nothing."""
        self._offset_us = 1_000 - true_us * self._rate // MILLION
