"""True time as a heap of events, and machine clocks that drift from it. It reads no real clock.

Events of the same moment run in the order in which they were scheduled, so that a run depends on its inputs alone.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MILLION = 1_000_000
SECOND_US = 1_000_000


class Timeline:
    """The heap of events. `now` is true time in microseconds."""

    def __init__(self) -> None:
        self.now = 0
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled_count = 0

    def at(self, when_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; a time in the past counts as now."""
        self._scheduled_count += 1
        heappush(self._heap, (max(when_us, self.now), self._scheduled_count, callback, arguments))

    def after(self, wait_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay from now."""
        self.at(self.now + wait_us, callback, *arguments)

    def run(self, end_us: int) -> None:
        """Run all events up to and including `end_us`."""
        heap = self._heap
        while heap and heap[0][0] <= end_us:
            self.now, _, callback, arguments = heappop(heap)
            self.events += 1
            callback(*arguments)
        self.now = end_us


class Clock:
    """A machine's monotonic clock: `ppm` parts per million faster than true time, with an offset of its own."""

    def __init__(self, ppm: int, offset_us: int) -> None:
        self._rate = MILLION + ppm
        self._offset_us = offset_us

    def reads(self, true_us: int) -> int:
        """What the clock shows at a moment of true time."""
        return self._offset_us + true_us * self._rate // MILLION

    def reaches(self, shown_us: int) -> int:
        """The first moment of true time at which the clock shows at least `shown_us`."""
        return -((self._offset_us - shown_us) * MILLION // self._rate)

    def restart(self, true_us: int) -> None:
        """Set the clock close to zero, as after a restart of the machine."""
        self._offset_us = 1_000 - true_us * self._rate // MILLION
