"""The window of time in which most was done beyond what an allowance lets through. No I/O.

Each thing that was done lies somewhere between two times that are known. A window surely holds it where both are in
it, so what is counted here is never too much, however late the recording ends ran. A bucket of `burst`, filled at
`rate`, lets through at most burst + rate x W in every window of length W, the shortest included. The largest excess
over that is at a window that begins where one thing begins and ends where one ends; all of them are looked at.

Times go by in order. Each begin is a place in a row, with the weight of what began there and has ended by now, less
what the rate gives until the next begin: the excess of the window from a begin to now is the sum of the row from
there on, and the best of all is kept by a tree over the row. Work is O(n log n) in what was done.
"""

from collections.abc import Sequence
from dataclasses import dataclass

Done = tuple[int, int, float]
"""What was done: no earlier than, no later than (both in microseconds), how much of it."""


@dataclass(frozen=True, slots=True)
class Excess:
    """The worst window: how far it is over the allowance (below 0: nowhere over), and where it is."""

    amount: float
    from_us: int = 0
    to_us: int = 0
    counted: float = 0.0


def largest_excess(done: Sequence[Done], rate: float, burst: float) -> Excess:
    """The window with the largest excess; `rate` a second. With nothing done, nothing is over: -burst."""
    if not done:
        return Excess(-burst)
    begins = sorted({one[0] for one in done})
    places = {at_us: place for place, at_us in enumerate(begins)}
    row = _Row(len(begins))
    a_us = rate / 1e6
    best, until_us, active = -float("inf"), 0, 0
    for _, end_us, begin_us, weight in sorted((one[1], one[1], one[0], one[2]) for one in done):
        while active < len(begins) and begins[active] <= end_us:
            if active:
                row.add(active - 1, -a_us * (begins[active] - begins[active - 1]))
            row.open(active)
            active += 1
        row.add(places[begin_us], weight)
        over = row.best() - a_us * (end_us - begins[active - 1]) - burst
        if over > best:
            best, until_us = over, end_us
    return _found(done, begins, rate, burst, until_us)


def _found(done: Sequence[Done], begins: list[int], rate: float, burst: float, until_us: int) -> Excess:
    """The best window that ends at this time."""
    ended = sorted(((one[0], one[2]) for one in done if one[1] <= until_us), reverse=True)
    at, counted, worst = 0, 0.0, Excess(-float("inf"))
    for begin_us in reversed(begins):
        if begin_us > until_us:
            continue
        while at < len(ended) and ended[at][0] >= begin_us:
            counted += ended[at][1]
            at += 1
        over = counted - burst - rate * (until_us - begin_us) / 1e6
        if over > worst.amount:
            worst = Excess(over, begin_us, until_us, counted)
    return worst


class _Row:
    """Numbers in a row: change one, ask for the largest sum from any open place to the end."""

    def __init__(self, size: int) -> None:
        self._half = 1
        while self._half < size:
            self._half *= 2
        self._sums = [0.0] * (2 * self._half)
        self._bests = [-float("inf")] * (2 * self._half)

    def open(self, place: int) -> None:
        """A place from which a sum may begin."""
        at = self._half + place
        self._bests[at] = self._sums[at]
        self._raise(at)

    def add(self, place: int, amount: float) -> None:
        """Change the number of an open place."""
        at = self._half + place
        self._sums[at] += amount
        self._bests[at] = self._sums[at]
        self._raise(at)

    def best(self) -> float:
        """The largest sum."""
        return self._bests[1]

    def _raise(self, at: int) -> None:
        sums, bests = self._sums, self._bests
        while at > 1:
            at //= 2
            left, right = 2 * at, 2 * at + 1
            sums[at] = sums[left] + sums[right]
            bests[at] = max(bests[right], bests[left] + sums[right])
