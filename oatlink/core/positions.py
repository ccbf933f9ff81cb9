"""Replication offsets of histories made into the times that the Router compares.

What may live here: the one proof by which an offset becomes a time, and what ends it. No I/O and no clock; all
times are microseconds on the gateway's monotonic clock, all offsets bytes of a replication stream.

The proof. A primary that was asked at t0 and answers offset P had, at t0 or later, written everything up to P.
Everything that was acknowledged before t0 lies at or below P. So whoever holds P of the same history holds all
that was written up to t0. A replica at offset o is therefore as recent as the latest t0 whose P <= o. A point
(P, t0) stands for that sentence; a smaller P with a later t0 says more, and the other point is let go.

What proves nothing: an offset of a history that was never met; a sample whose time lies ahead of the clock, or
before a gap in it; a sample of a history after another has taken its place (the old primary may go on answering
from its own island); points of the old history past the join, which the new primary never had.

A promoted replica has a new replication id, and names the old one with the first offset that it does not share
(INFO replication: `master_replid2`, `second_repl_offset`). Offsets go on from there, so points of the old history
below the join stay proof in the new one.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

NEVER_US = -1
POINTS = 512  # kept a history: at a sample each 10 ms the last 5 s stay exact, older ones thin out


@dataclass(slots=True)
class History:
    """The points of one replication id, both lists rising: `offsets[i]` was reached by `times[i]`."""

    replid: str
    offsets: list[int] = field(default_factory=list)
    times: list[int] = field(default_factory=list)
    parent: str | None = None
    join: int = 0  # first offset that the parent does not share
    closed: bool = False


class Positions:
    """The histories of one group, newest last, a bounded number of them."""

    def __init__(self, histories: int = 8) -> None:
        self._kept = histories
        self._histories: dict[str, History] = {}
        self._current: str | None = None
        self._gap_us = NEVER_US

    @property
    def current(self) -> str | None:
        """The replication id that the group's primary was last seen with."""
        return self._current

    def newest_us(self) -> int:
        """The time of the newest sample of the current history, `NEVER_US` without one."""
        history = self._histories.get(self._current or "")
        return history.times[-1] if history is not None and history.times else NEVER_US

    def gap(self, now_us: int) -> None:
        """The clock jumped or began anew: nothing from before it can be compared with what comes after."""
        self._gap_us = now_us
        self._histories.clear()
        self._current = None

    def sample(
        self,
        replid: str,
        offset: int,
        asked_us: int,
        now_us: int,
        *,
        parent: str | None = None,
        join: int = -1,
    ) -> bool:
        """A primary asked at `asked_us` has answered; `parent` and `join` are its second id and offset.

        Returns whether the sample counts. `join` is the first offset not shared with the parent, -1 without one.
        """
        if asked_us > now_us or asked_us <= self._gap_us or offset < 0:
            return False
        history = self._histories.get(replid)
        if history is None:
            history = self._open(replid, parent, join)
        elif history.closed:
            return False
        elif parent is not None and history.parent is None and join >= 0:
            self._join(history, parent, join)
        return self._add(history, offset, asked_us)

    def _open(self, replid: str, parent: str | None, join: int) -> History:
        history = History(replid)
        self._histories[replid] = history
        if parent is not None and join >= 0:
            self._join(history, parent, join)
        for other in self._histories.values():
            # A group has one history that grows. An older one's primary may still answer: it proves nothing now.
            other.closed = other is not history
        self._current = replid
        while len(self._histories) > self._kept:
            del self._histories[next(iter(self._histories))]
        return history

    def _join(self, history: History, parent: str, join: int) -> None:
        history.parent, history.join = parent, join
        old = self._histories.get(parent)
        if old is not None:
            # Points at or past the join are writes that the new primary never had.
            keep = bisect_right(old.offsets, join - 1)
            del old.offsets[keep:], old.times[keep:]

    @staticmethod
    def _add(history: History, offset: int, asked_us: int) -> bool:
        offsets, times = history.offsets, history.times
        at = bisect_right(offsets, offset)
        if at and times[at - 1] >= asked_us:
            return False  # as much was known with a smaller offset
        # Points that need more and prove less: the same or a larger offset, an earlier or the same time.
        start = at - 1 if at and offsets[at - 1] == offset else at
        end = start
        while end < len(times) and times[end] <= asked_us:
            end += 1
        offsets[start:end], times[start:end] = [offset], [asked_us]
        if len(offsets) > POINTS:
            # Letting a point go only makes what lies above it look older. Every second one of the older half.
            half = len(offsets) // 2
            offsets[:half], times[:half] = offsets[:half:2], times[:half:2]
        return True

    def time_of(self, replid: str, offset: int) -> int | None:
        """How recent a holder of `offset` of a history surely is, or None where nothing is proven."""
        best = NEVER_US
        seen = 0
        name: str | None = replid
        while name is not None and seen < self._kept:
            history = self._histories.get(name)
            if history is None:
                break
            at = bisect_right(history.offsets, offset)
            if at:
                best = max(best, history.times[at - 1])
            # What lies below the join is shared with the history before.
            offset, name = min(offset, history.join - 1), history.parent
            seen += 1
        return best if best >= 0 else None

    def reached_us(self, replid: str, offset: int) -> int | None:
        """From which position on, as a time, whoever has it surely holds `offset` of a history; None: not known.

        The proof is `time_of`'s, read from the other side: the first point at or past the offset.
        """
        history = self._histories.get(self._current or "")
        if history is None:
            return None
        points = [history]
        if history.replid != replid:
            if history.parent != replid or offset >= history.join:
                return None  # another history, or a part of it that the present one never had
            points.insert(0, self._histories.get(replid, history))
        for one in points:
            at = bisect_left(one.offsets, offset)
            if at < len(one.times):
                return one.times[at]
        return None

    def known(self, replid: str) -> bool:
        """Whether a primary of this history has ever been met."""
        return replid in self._histories
