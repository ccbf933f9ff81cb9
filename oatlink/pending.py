"""The pending requests of one group, indexed so that no operation goes through all of them. No decisions.

Queues. A `PendingQueue` has the requests with one `QueueKey` in order of arrival, each with the position that it needs.
It holds two segment trees over arrival numbers, of the smallest and the largest position, and so finds in O(log n) the
oldest request that a member at some position can serve, and the newest that it can't. The trees cover a window of
arrival numbers; when a number falls outside, they are rebuilt around it, wide enough that this costs O(1) per number.

Ends. When a request is given up depends on the time to reserve for an answer, which changes and is the same for all.
So there are three heaps: `earliest_ends` by the time from which that reserve can matter; then `soft_ends` by the end
from which the reserve is subtracted; and `hard_ends`, which don't depend on it. Entries of requests that are no longer
pending are skipped when they come up.
"""

import heapq
from dataclasses import dataclass, field

from oatlink.interface import Freshness
from oatlink.state import LONG_AGO, NEVER, Request, SessionRequests

QueueKey = tuple[str, float, bool, tuple[int, ...], bool, float]
"""Class, worth, whether late, members tried, whether no more checks are allowed, admission draw.

One request can stand for all others with the same key (`rules.queueing.queue_key`).
"""

MIN_WINDOW_SIZE = 1024  # arrival numbers


@dataclass(slots=True)
class PendingQueue:
    """The pending requests with one key, in order of arrival."""

    first_number: int = 0  # the arrival number of the first leaf
    size: int = 0  # number of leaves, a power of two
    min_positions: list[int] = field(default_factory=list)  # tree nodes: the root is 1, the leaves begin at `size`
    max_positions: list[int] = field(default_factory=list)
    requests: dict[int, Request] = field(default_factory=dict)

    def add(self, request: Request, position_us: int) -> None:
        """Add a request, at its place by arrival, or change the position that it needs."""
        leaf = request.arrival_number - self.first_number
        if not 0 <= leaf < self.size:
            self._rebuild(request.arrival_number)
            leaf = request.arrival_number - self.first_number
        self.requests[request.arrival_number] = request
        self._set_leaf(leaf, position_us, position_us)

    def remove(self, request: Request) -> None:
        """Remove a request if it is there."""
        if self.requests.pop(request.arrival_number, None) is not None:
            self._set_leaf(request.arrival_number - self.first_number, NEVER, LONG_AGO)

    def oldest(self, position_us: int = NEVER - 1) -> Request | None:
        """The oldest request that needs this position or an earlier one."""
        lowest, size, node = self.min_positions, self.size, 1
        if not self.requests or lowest[1] > position_us:
            return None
        while node < size:
            node *= 2
            if lowest[node] > position_us:
                node += 1
        return self.requests[node - size + self.first_number]

    def newest(self, position_us: int) -> Request | None:
        """The newest request that needs a later position than this."""
        highest, size, node = self.max_positions, self.size, 1
        if not self.requests or highest[1] <= position_us:
            return None
        while node < size:
            node = 2 * node + 1
            if highest[node] <= position_us:
                node -= 1
        return self.requests[node - size + self.first_number]

    def _set_leaf(self, leaf: int, min_position_us: int, max_position_us: int) -> None:
        """Set a leaf of both trees and update the nodes above it, up to the first that stays the same."""
        lowest, highest, node = self.min_positions, self.max_positions, leaf + self.size
        lowest[node], highest[node] = min_position_us, max_position_us
        while node > 1:
            node //= 2
            left, right = 2 * node, 2 * node + 1
            new_lowest = lowest[left] if lowest[left] < lowest[right] else lowest[right]
            new_highest = highest[left] if highest[left] > highest[right] else highest[right]
            if lowest[node] == new_lowest and highest[node] == new_highest:
                return
            lowest[node], highest[node] = new_lowest, new_highest

    def _rebuild(self, number: int) -> None:
        """Build the trees for the numbers in use and this one, with at least as many free leaves on either side."""
        positions = {present: self.min_positions[present - self.first_number + self.size] for present in self.requests}
        least, most = min([number, *positions]), max([number, *positions])
        span = most - least + 1
        self.size = MIN_WINDOW_SIZE
        while self.size < 4 * span:
            self.size *= 2
        self.first_number = least - span
        lowest, highest = [NEVER] * (2 * self.size), [LONG_AGO] * (2 * self.size)
        self.min_positions, self.max_positions = lowest, highest
        if len(positions) < self.size // 16:
            for present, position_us in positions.items():
                self._set_leaf(present - self.first_number, position_us, position_us)
            return
        for present, position_us in positions.items():
            node = present - self.first_number + self.size
            lowest[node] = highest[node] = position_us
        for node in range(self.size - 1, 0, -1):
            lowest[node] = min(lowest[2 * node], lowest[2 * node + 1])
            highest[node] = max(highest[2 * node], highest[2 * node + 1])


@dataclass(slots=True)
class PendingRequests:
    """The pending requests of one group."""

    entries: dict[str, tuple[Request, QueueKey]] = field(default_factory=dict)
    queues: dict[QueueKey, PendingQueue] = field(default_factory=dict)
    earliest_ends: list[tuple[int, int, str]] = field(default_factory=list)  # earliest end, soft end, request
    soft_ends: list[tuple[int, str]] = field(default_factory=list)
    hard_ends: list[tuple[int, str]] = field(default_factory=list)
    session_reads: SessionRequests = field(default_factory=SessionRequests)

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.entries

    def add(self, request: Request, key: QueueKey, position_us: int) -> None:
        """Add a request to the queue of its key, or move it there."""
        self._leave_queue(request.id)
        self.entries[request.id] = request, key
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = PendingQueue()
        queue.add(request, position_us)
        if request.request_class.freshness is Freshness.SESSION:
            self.session_reads.add(request)

    def change_position(self, request: Request, position_us: int) -> None:
        """Change the position that a pending request needs, in the queue that it is in."""
        self.add(request, self.entries[request.id][1], position_us)

    def set_ends(self, request: Request, earliest_us: int, soft_us: int, hard_us: int) -> None:
        """Set when a request ends: at the hard end, or a reserve before the soft end but not before the earliest."""
        heapq.heappush(self.earliest_ends, (earliest_us, soft_us, request.id))
        heapq.heappush(self.hard_ends, (hard_us, request.id))

    def remove(self, request_id: str) -> None:
        """Remove a request if it is pending."""
        self._leave_queue(request_id)
        entry = self.entries.pop(request_id, None)
        if entry is not None:
            self.session_reads.remove(entry[0])

    def _leave_queue(self, request_id: str) -> None:
        entry = self.entries.get(request_id)
        if entry is not None:
            request, key = entry
            queue = self.queues.get(key)
            if queue is not None:
                queue.remove(request)
                # Keys with tried members are seldom used again; there are few others, and their queues are kept.
                if not queue.requests and key[3]:
                    del self.queues[key]

    def ended(self, now_us: int, reserve_us: int) -> list[Request]:
        """The requests that have come to their end, in order of arrival. They stay pending until they are removed."""
        requests: dict[int, Request] = {}
        while self.earliest_ends and self.earliest_ends[0][0] <= now_us:
            _, soft_us, request_id = heapq.heappop(self.earliest_ends)
            heapq.heappush(self.soft_ends, (soft_us, request_id))
        for ends, until_us in ((self.soft_ends, now_us + reserve_us), (self.hard_ends, now_us)):
            while ends and ends[0][0] <= until_us:
                _, request_id = heapq.heappop(ends)
                if request_id in self.entries:
                    request = self.entries[request_id][0]
                    requests[request.arrival_number] = request
        return [requests[number] for number in sorted(requests)]

    def next_end_us(self, reserve_us: int) -> int:
        """When `ended` may next find a request; `NEVER` if none is pending.

        Of the requests whose earliest end has not come only the first is considered; another may end a little sooner.
        """
        entries = self.entries
        while self.earliest_ends and self.earliest_ends[0][2] not in entries:
            heapq.heappop(self.earliest_ends)
        while self.soft_ends and self.soft_ends[0][1] not in entries:
            heapq.heappop(self.soft_ends)
        while self.hard_ends and self.hard_ends[0][1] not in entries:
            heapq.heappop(self.hard_ends)
        return min(
            max(self.earliest_ends[0][0], self.earliest_ends[0][1] - reserve_us) if self.earliest_ends else NEVER,
            self.soft_ends[0][0] - reserve_us if self.soft_ends else NEVER,
            self.hard_ends[0][0] if self.hard_ends else NEVER,
        )
