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

QueueKey = tuple[str, float, bool, tuple[int, ...], bool, float]
"""Class, worth, whether late, members tried, whether it may not ask any more, its draw: what one says for all."""

MIN_WINDOW_SIZE = 1024  # numbers


@dataclass(slots=True)
class PendingQueue:
    """Held requests of one kind."""

    first_number: int = 0  # number of the window's first place
    size: int = 0  # places, a power of two
    min_positions: list[int] = field(default_factory=list)
    max_positions: list[int] = field(default_factory=list)
    requests: dict[int, Request] = field(default_factory=dict)

    def add(self, request: Request, need: int) -> None:
        """Take in a request, at its place by arrival."""
        place = request.arrival_number - self.first_number
        if not 0 <= place < self.size:
            self._rebuild(request.arrival_number)
            place = request.arrival_number - self.first_number
        self.requests[request.arrival_number] = request
        self._set_leaf(place, need, need)

    def remove(self, request: Request) -> None:
        """Let a request go; whether it is there does not matter."""
        if self.requests.pop(request.arrival_number, None) is not None:
            self._set_leaf(request.arrival_number - self.first_number, NEVER, LONG_AGO)

    def oldest(self, most: int = NEVER - 1) -> Request | None:
        """The oldest request that needs at most so much."""
        low, size, at = self.min_positions, self.size, 1
        if not self.requests or low[1] > most:
            return None
        while at < size:
            at *= 2
            if low[at] > most:
                at += 1
        return self.requests[at - size + self.first_number]

    def newest(self, above: int) -> Request | None:
        """The newest request that needs more."""
        high, size, at = self.max_positions, self.size, 1
        if not self.requests or high[1] <= above:
            return None
        while at < size:
            at = 2 * at + 1
            if high[at] <= above:
                at -= 1
        return self.requests[at - size + self.first_number]

    def _set_leaf(self, place: int, low_need: int, high_need: int) -> None:
        low, high, at = self.min_positions, self.max_positions, place + self.size
        low[at], high[at] = low_need, high_need
        while at > 1:
            at //= 2
            one, other = 2 * at, 2 * at + 1
            new_low = low[one] if low[one] < low[other] else low[other]
            new_high = high[one] if high[one] > high[other] else high[other]
            if low[at] == new_low and high[at] == new_high:
                return
            low[at], high[at] = new_low, new_high

    def _rebuild(self, number: int) -> None:
        """Move the window so that a number fits, with as much again on both sides."""
        needs = {one: self.min_positions[one - self.first_number + self.size] for one in self.requests}
        least, most = min([number, *needs]), max([number, *needs])
        span = most - least + 1
        self.size = MIN_WINDOW_SIZE
        while self.size < 4 * span:
            self.size *= 2
        self.first_number = least - span
        low, high = [NEVER] * (2 * self.size), [LONG_AGO] * (2 * self.size)
        self.min_positions, self.max_positions = low, high
        if len(needs) < self.size // 16:
            for one, need in needs.items():
                self._set_leaf(one - self.first_number, need, need)
            return
        for one, need in needs.items():
            low[one - self.first_number + self.size] = high[one - self.first_number + self.size] = need
        for at in range(self.size - 1, 0, -1):
            low[at] = min(low[2 * at], low[2 * at + 1])
            high[at] = max(high[2 * at], high[2 * at + 1])


@dataclass(slots=True)
class PendingRequests:
    """All that is held for one group."""

    entries: dict[str, tuple[Request, QueueKey]] = field(default_factory=dict)
    queues: dict[QueueKey, PendingQueue] = field(default_factory=dict)
    earliest_ends: list[tuple[int, int, str]] = field(default_factory=list)  # when, end, request
    soft_ends: list[tuple[int, str]] = field(default_factory=list)
    hard_ends: list[tuple[int, str]] = field(default_factory=list)
    session_reads: SessionRequests = field(default_factory=SessionRequests)

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.entries

    def add(self, request: Request, kind: QueueKey, need: int) -> None:
        """Hold a request in the row of its kind, or move it there."""
        self._leave_queue(request.id)
        self.entries[request.id] = request, kind
        row = self.queues.get(kind)
        if row is None:
            row = self.queues[kind] = PendingQueue()
        row.add(request, need)
        if request.request_class.freshness is Freshness.SESSION:
            self.session_reads.add(request)

    def change_position(self, request: Request, need: int) -> None:
        """Order a held request by another need, in the row that it is in."""
        self.add(request, self.entries[request.id][1], need)

    def set_ends(self, request: Request, half: int, end: int, last: int) -> None:
        """Say when holding it on ends (see the module's head)."""
        heapq.heappush(self.earliest_ends, (half, end, request.id))
        heapq.heappush(self.hard_ends, (last, request.id))

    def remove(self, request_id: str) -> None:
        """Hold a request no longer; whether it is held does not matter."""
        self._leave_queue(request_id)
        found = self.entries.pop(request_id, None)
        if found is not None:
            self.session_reads.remove(found[0])

    def _leave_queue(self, request_id: str) -> None:
        found = self.entries.get(request_id)
        if found is not None:
            request, kind = found
            row = self.queues.get(kind)
            if row is not None:
                row.remove(request)
                if not row.requests and kind[3]:  # rows of tried members come and go, the others are few and come again
                    del self.queues[kind]

    def ended(self, now: int, usual: int) -> list[Request]:
        """What has come to its end, in order of arrival; it stays held until it is popped."""
        found: dict[int, Request] = {}
        while self.earliest_ends and self.earliest_ends[0][0] <= now:
            _, end, name = heapq.heappop(self.earliest_ends)
            heapq.heappush(self.soft_ends, (end, name))
        for heap, until in ((self.soft_ends, now + usual), (self.hard_ends, now)):
            while heap and heap[0][0] <= until:
                _, name = heapq.heappop(heap)
                if name in self.entries:
                    request = self.entries[name][0]
                    found[request.arrival_number] = request
        return [found[number] for number in sorted(found)]

    def next_end_us(self, usual: int) -> int:
        """When `over` may next find something, `NEVER` where nothing is held.

        Of those whose half has not come only the first is asked; another's end may come a little sooner.
        """
        held = self.entries
        while self.earliest_ends and self.earliest_ends[0][2] not in held:
            heapq.heappop(self.earliest_ends)
        while self.soft_ends and self.soft_ends[0][1] not in held:
            heapq.heappop(self.soft_ends)
        while self.hard_ends and self.hard_ends[0][1] not in held:
            heapq.heappop(self.hard_ends)
        return min(
            max(self.earliest_ends[0][0], self.earliest_ends[0][1] - usual) if self.earliest_ends else NEVER,
            self.soft_ends[0][0] - usual if self.soft_ends else NEVER,
            self.hard_ends[0][0] if self.hard_ends else NEVER,
        )
