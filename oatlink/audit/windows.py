"""The time window in which the admitted amount exceeds an allowance by the most. No I/O.

Each item happened at an unknown moment between two known times. A window surely contains an item where it contains
both times, so the count of a window is never too high, however late the recording ran. A token bucket of size
`burst`, filled at `rate`, admits at most burst + rate x W in every window of length W, the shortest included. The
largest excess over that is found in a window that begins at the earliest time of one item and ends at the latest time
of one; all such windows are examined.

The sweep visits end times in order. The row has one slot for each begin time. Its number is the weight of the items
that began there and have ended by now, less what the rate admits until the next begin time. The excess of the window
from a begin time to now is the sum of the row from that slot on, and a tree over the row gives the largest such sum.
The work is O(n log n) in the number of items.
"""

from collections.abc import Sequence
from dataclasses import dataclass

Done = tuple[int, int, float]
"""One item: its earliest time, its latest time (both in microseconds), and its weight."""


@dataclass(frozen=True, slots=True)
class Excess:
    """The worst window: how far it exceeds the allowance (below 0: no window does), and where it is."""

    amount: float
    from_us: int = 0
    to_us: int = 0
    counted: float = 0.0


def largest_excess(done: Sequence[Done], rate: float, burst: float) -> Excess:
    """The window with the largest excess; `rate` is per second. Without items the excess is -burst."""
    if not done:
        return Excess(-burst)
    begins = sorted({earliest_us for earliest_us, _, _ in done})
    slots = {at_us: slot for slot, at_us in enumerate(begins)}
    row = _SuffixSums(len(begins))
    rate_per_us = rate / 1e6
    largest, until_us, open_count = -float("inf"), 0, 0
    for _, end_us, begin_us, weight in sorted((item[1], item[1], item[0], item[2]) for item in done):
        while open_count < len(begins) and begins[open_count] <= end_us:
            if open_count:
                row.add(open_count - 1, -rate_per_us * (begins[open_count] - begins[open_count - 1]))
            row.open(open_count)
            open_count += 1
        row.add(slots[begin_us], weight)
        amount = row.largest() - rate_per_us * (end_us - begins[open_count - 1]) - burst
        if amount > largest:
            largest, until_us = amount, end_us
    return _worst_window(done, begins, rate, burst, until_us)


def _worst_window(done: Sequence[Done], begins: list[int], rate: float, burst: float, until_us: int) -> Excess:
    """The worst window that ends at this time."""
    ended = sorted(((item[0], item[2]) for item in done if item[1] <= until_us), reverse=True)
    index, counted, worst = 0, 0.0, Excess(-float("inf"))
    for begin_us in reversed(begins):
        if begin_us > until_us:
            continue
        while index < len(ended) and ended[index][0] >= begin_us:
            counted += ended[index][1]
            index += 1
        amount = counted - burst - rate * (until_us - begin_us) / 1e6
        if amount > worst.amount:
            worst = Excess(amount, begin_us, until_us, counted)
    return worst


class _SuffixSums:
    """A row of numbers that can be changed, with the largest sum from any open slot to the end."""

    def __init__(self, size: int) -> None:
        self._leaf_count = 1
        while self._leaf_count < size:
            self._leaf_count *= 2
        self._sums = [0.0] * (2 * self._leaf_count)
        self._largest_suffixes = [-float("inf")] * (2 * self._leaf_count)

    def open(self, slot: int) -> None:
        """Allow sums to begin at a slot."""
        node = self._leaf_count + slot
        self._largest_suffixes[node] = self._sums[node]
        self._update_ancestors(node)

    def add(self, slot: int, amount: float) -> None:
        """Add to the number of an open slot."""
        node = self._leaf_count + slot
        self._sums[node] += amount
        self._largest_suffixes[node] = self._sums[node]
        self._update_ancestors(node)

    def largest(self) -> float:
        """The largest sum."""
        return self._largest_suffixes[1]

    def _update_ancestors(self, node: int) -> None:
        sums, largest = self._sums, self._largest_suffixes
        while node > 1:
            node //= 2
            left, right = 2 * node, 2 * node + 1
            sums[node] = sums[left] + sums[right]
            largest[node] = max(largest[right], largest[left] + sums[right])
