"""Converts replication offsets into the times that the Router compares.

This module contains the one proof by which an offset becomes a time, and what invalidates it. No I/O and no clock; all
times are microseconds on the gateway's monotonic clock, all offsets bytes of a replication stream.

The proof. A primary that was asked at t0 and answers offset P had written everything up to P at t0 or later, and
everything that was acknowledged before t0 lies at or below P. So whoever holds P of the same history holds everything
that was acknowledged before t0. A replica at offset o is therefore as recent as the latest t0 whose P <= o. A point
(P, t0) records one such sample; a sample with a smaller P and a later t0 proves more and replaces it.

The following proves nothing: an offset of a history that was never seen; a sample whose time is ahead of the clock, or
before a gap in it; a sample of a history that another one has replaced (the old primary may keep answering while it is
cut off from its group); points of the old history past the join, which the new primary never had.

A promoted replica has a new replication id, and names the old one with the first offset that the two do not share
(INFO replication: `master_replid2`, `second_repl_offset`). Offsets continue from there, so points of the old history
below the join remain proof in the new one.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

NEVER_US = -1
MAX_POINTS = 512  # per history: at one sample each 10 ms the last 5 s stay exact, older ones are thinned out


@dataclass(slots=True)
class History:
    """The points of one replication id. Both lists increase: `offsets[i]` was reached by `times_us[i]`."""

    replid: str
    offsets: list[int] = field(default_factory=list)
    times_us: list[int] = field(default_factory=list)
    parent: str | None = None
    join: int = 0  # first offset that the parent does not share
    is_closed: bool = False  # another history has replaced it


class Positions:
    """The replication histories of one group, newest last; their number is bounded."""

    def __init__(self, max_histories: int = 8) -> None:
        self._max_histories = max_histories
        self._histories: dict[str, History] = {}
        self._current: str | None = None
        self._gap_us = NEVER_US

    @property
    def current(self) -> str | None:
        """The replication id with which the group's primary was last seen."""
        return self._current

    def newest_us(self) -> int:
        """The time of the newest sample of the current history, `NEVER_US` without one."""
        history = self._histories.get(self._current or "")
        return history.times_us[-1] if history is not None and history.times_us else NEVER_US

    def mark_gap(self, now_us: int) -> None:
        """Forget all samples: the clock jumped or restarted, so they cannot be compared with later ones."""
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
        """Add the answer of a primary that was asked at `asked_us`; `parent` and `join` are its second id and offset.

        `join` is the first offset not shared with the parent, -1 without one. Returns whether the sample counts.
        """
        if asked_us > now_us or asked_us <= self._gap_us or offset < 0:
            return False
        history = self._histories.get(replid)
        if history is None:
            history = self._open(replid, parent, join)
        elif history.is_closed:
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
            # Only one history of a group grows. The primary of an older one may still answer, which proves nothing.
            other.is_closed = other is not history
        self._current = replid
        while len(self._histories) > self._max_histories:
            del self._histories[next(iter(self._histories))]
        return history

    def _join(self, history: History, parent: str, join: int) -> None:
        history.parent, history.join = parent, join
        old = self._histories.get(parent)
        if old is not None:
            # Points at or past the join are writes that the new primary never had.
            shared_count = bisect_right(old.offsets, join - 1)
            del old.offsets[shared_count:], old.times_us[shared_count:]

    @staticmethod
    def _add(history: History, offset: int, asked_us: int) -> bool:
        offsets, times_us = history.offsets, history.times_us
        index = bisect_right(offsets, offset)
        if index and times_us[index - 1] >= asked_us:
            return False  # a smaller offset proves as much already
        # The new point replaces those with the same or a larger offset and an earlier or the same time.
        start = index - 1 if index and offsets[index - 1] == offset else index
        end = start
        while end < len(times_us) and times_us[end] <= asked_us:
            end += 1
        offsets[start:end], times_us[start:end] = [offset], [asked_us]
        if len(offsets) > MAX_POINTS:
            # Every second point of the older half is dropped. That can only make a position look older than it is.
            half = len(offsets) // 2
            offsets[:half], times_us[:half] = offsets[:half:2], times_us[:half:2]
        return True

    def time_of(self, replid: str, offset: int) -> int | None:
        """How recent a holder of `offset` of a history is at least, or None if nothing is proven."""
        best_us = NEVER_US
        visited = 0
        name: str | None = replid
        while name is not None and visited < self._max_histories:
            history = self._histories.get(name)
            if history is None:
                break
            index = bisect_right(history.offsets, offset)
            if index:
                best_us = max(best_us, history.times_us[index - 1])
            # What lies below the join is shared with the parent.
            offset, name = min(offset, history.join - 1), history.parent
            visited += 1
        return best_us if best_us >= 0 else None

    def reached_us(self, replid: str, offset: int) -> int | None:
        """The position, as a time, from which on its holder surely holds `offset` of a history; None if not known.

        This is the proof of `time_of` in the other direction: the first point at or past the offset.
        """
        history = self._histories.get(self._current or "")
        if history is None:
            return None
        histories = [history]
        if history.replid != replid:
            if history.parent != replid or offset >= history.join:
                return None  # another history, or a part of it that the current one never had
            histories.insert(0, self._histories.get(replid, history))
        for candidate in histories:
            index = bisect_left(candidate.offsets, offset)
            if index < len(candidate.times_us):
                return candidate.times_us[index]
        return None

    def known(self, replid: str) -> bool:
        """Whether a primary of this history has ever been seen."""
        return replid in self._histories
