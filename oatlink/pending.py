"""What a router holds for one group, found again without going through it: a structure, with no decision in it.

Rows. A row has the requests of one kind in order of arrival, each with the position that it needs. It is a pair of
segment trees over arrival numbers, least and greatest need, so that the oldest request that a member of some position
can serve, and the newest that none can, are found in O(log n). Numbers that arrive move the window on; it is laid
anew once it is passed, wide enough that this costs O(1) a number.

Ends. When holding on stops making sense moves with what answers usually take, the same for all. So there are three
heaps: by the time at which the usual can first matter (`half`), then by `end`, from which the usual is taken, and by
`last`, which does not move. What is no longer held is passed over when it comes up.
"""

import heapq
from dataclasses import dataclass, field

from oatlink.interface import Freshness
from oatlink.state import LONG_AGO, NEVER, Request, SessionRequests

Kind = tuple[str, float, bool, tuple[int, ...], bool, float]
"""Class, worth, whether late, members tried, whether it may not ask any more, its draw: what one says for all."""

LEAST_WINDOW_ROWS = 1024  # numbers


@dataclass(slots=True)
class Row:
    """Held requests of one kind."""

    first: int = 0  # number of the window's first place
    size: int = 0  # places, a power of two
    low: list[int] = field(default_factory=list)
    high: list[int] = field(default_factory=list)
    held: dict[int, Request] = field(default_factory=dict)

    def put(self, request: Request, need: int) -> None:
        """Take in a request, at its place by arrival."""
        place = request.number - self.first
        if not 0 <= place < self.size:
            self._lay_anew(request.number)
            place = request.number - self.first
        self.held[request.number] = request
        self._set(place, need, need)

    def drop(self, request: Request) -> None:
        """Let a request go; whether it is there does not matter."""
        if self.held.pop(request.number, None) is not None:
            self._set(request.number - self.first, NEVER, LONG_AGO)

    def oldest(self, most: int = NEVER - 1) -> Request | None:
        """The oldest request that needs at most so much."""
        low, size, at = self.low, self.size, 1
        if not self.held or low[1] > most:
            return None
        while at < size:
            at *= 2
            if low[at] > most:
                at += 1
        return self.held[at - size + self.first]

    def newest(self, above: int) -> Request | None:
        """The newest request that needs more."""
        high, size, at = self.high, self.size, 1
        if not self.held or high[1] <= above:
            return None
        while at < size:
            at = 2 * at + 1
            if high[at] <= above:
                at -= 1
        return self.held[at - size + self.first]

    def _set(self, place: int, low_need: int, high_need: int) -> None:
        low, high, at = self.low, self.high, place + self.size
        low[at], high[at] = low_need, high_need
        while at > 1:
            at //= 2
            one, other = 2 * at, 2 * at + 1
            new_low = low[one] if low[one] < low[other] else low[other]
            new_high = high[one] if high[one] > high[other] else high[other]
            if low[at] == new_low and high[at] == new_high:
                return
            low[at], high[at] = new_low, new_high

    def _lay_anew(self, number: int) -> None:
        """Move the window so that a number fits, with as much again on both sides."""
        needs = {one: self.low[one - self.first + self.size] for one in self.held}
        least, most = min([number, *needs]), max([number, *needs])
        span = most - least + 1
        self.size = LEAST_WINDOW_ROWS
        while self.size < 4 * span:
            self.size *= 2
        self.first = least - span
        low, high = [NEVER] * (2 * self.size), [LONG_AGO] * (2 * self.size)
        self.low, self.high = low, high
        if len(needs) < self.size // 16:
            for one, need in needs.items():
                self._set(one - self.first, need, need)
            return
        for one, need in needs.items():
            low[one - self.first + self.size] = high[one - self.first + self.size] = need
        for at in range(self.size - 1, 0, -1):
            low[at] = min(low[2 * at], low[2 * at + 1])
            high[at] = max(high[2 * at], high[2 * at + 1])


@dataclass(slots=True)
class Holds:
    """All that is held for one group."""

    held: dict[str, tuple[Request, Kind]] = field(default_factory=dict)
    rows: dict[Kind, Row] = field(default_factory=dict)
    halves: list[tuple[int, int, str]] = field(default_factory=list)  # when, end, request
    ends: list[tuple[int, str]] = field(default_factory=list)
    lasts: list[tuple[int, str]] = field(default_factory=list)
    session_reads: SessionRequests = field(default_factory=SessionRequests)

    def __len__(self) -> int:
        return len(self.held)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.held

    def put(self, request: Request, kind: Kind, need: int) -> None:
        """Hold a request in the row of its kind, or move it there."""
        self._leave_row(request.id)
        self.held[request.id] = request, kind
        row = self.rows.get(kind)
        if row is None:
            row = self.rows[kind] = Row()
        row.put(request, need)
        if request.rule.freshness is Freshness.SESSION:
            self.session_reads.add(request)

    def move(self, request: Request, need: int) -> None:
        """Order a held request by another need, in the row that it is in."""
        self.put(request, self.held[request.id][1], need)

    def ends_at(self, request: Request, half: int, end: int, last: int) -> None:
        """Say when holding it on ends (see the module's head)."""
        heapq.heappush(self.halves, (half, end, request.id))
        heapq.heappush(self.lasts, (last, request.id))

    def pop(self, request_id: str) -> None:
        """Hold a request no longer; whether it is held does not matter."""
        self._leave_row(request_id)
        found = self.held.pop(request_id, None)
        if found is not None:
            self.session_reads.drop(found[0])

    def _leave_row(self, request_id: str) -> None:
        found = self.held.get(request_id)
        if found is not None:
            request, kind = found
            row = self.rows.get(kind)
            if row is not None:
                row.drop(request)
                if not row.held and kind[3]:  # rows of tried members come and go, the others are few and come again
                    del self.rows[kind]

    def over(self, now: int, usual: int) -> list[Request]:
        """What has come to its end, in order of arrival; it stays held until it is popped."""
        found: dict[int, Request] = {}
        while self.halves and self.halves[0][0] <= now:
            _, end, name = heapq.heappop(self.halves)
            heapq.heappush(self.ends, (end, name))
        for heap, until in ((self.ends, now + usual), (self.lasts, now)):
            while heap and heap[0][0] <= until:
                _, name = heapq.heappop(heap)
                if name in self.held:
                    request = self.held[name][0]
                    found[request.number] = request
        return [found[number] for number in sorted(found)]

    def next_end(self, usual: int) -> int:
        """When `over` may next find something, `NEVER` where nothing is held.

        Of those whose half has not come only the first is asked; another's end may come a little sooner.
        """
        held = self.held
        while self.halves and self.halves[0][2] not in held:
            heapq.heappop(self.halves)
        while self.ends and self.ends[0][1] not in held:
            heapq.heappop(self.ends)
        while self.lasts and self.lasts[0][1] not in held:
            heapq.heappop(self.lasts)
        return min(
            max(self.halves[0][0], self.halves[0][1] - usual) if self.halves else NEVER,
            self.ends[0][0] - usual if self.ends else NEVER,
            self.lasts[0][0] if self.lasts else NEVER,
        )
