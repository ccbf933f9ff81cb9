"""Decides which of discovery's answers count when calls overlap or discovery goes back to an older state. No I/O.

Discovery numbers its lists. An answer below the newest applied version has one of two causes: a newer answer overtook
it, or discovery was restored to an older state and counts on from there.
"""

import enum

from oatlink.interface import RosterKind
from oatlink.platform.discovery.lists import News


class AnswerStatus(enum.Enum):
    """How the answer of a call is treated."""

    APPLIED = "taken"
    RESTORED = "restored"  # applied although its version is lower: discovery was restored, and this is its whole list
    STALE = "stale"  # another answer was applied during the call: neither news nor a failure
    WENT_BACK = "back"  # discovery was restored; changes do not say what is listed now, so the whole list is needed


class VersionTracker:
    """Tracks the newest applied version, and which calls began before it was applied."""

    def __init__(self) -> None:
        self.version = 0
        self._applied_count = 0
        self._restored_at_count = 0  # `_applied_count` when a restored list was last applied

    def set_version(self, version: int) -> None:
        """Set the version of a list that did not come from a call; calls that begin from now on continue from it."""
        self._applied_count += 1
        self.version = version

    def begin_call(self) -> int:
        """Return how many answers were applied before a call begins, to be passed to `classify` with its answer."""
        return self._applied_count

    def classify(self, began_at_count: int, news: News) -> AnswerStatus:
        """Decide how to treat a call's answer; applying it changes the version."""
        is_current = news.version >= self.version
        # Prevents an undone drain: a whole list that was requested before a change may arrive after it, and a list from
        # before discovery was restored has a higher version than the current one. Dropping either loses nothing,
        # because the watch continues from the applied version.
        if began_at_count < self._restored_at_count or (not is_current and began_at_count < self._applied_count):
            return AnswerStatus.STALE
        if not is_current and news.kind is RosterKind.CHANGES:
            return AnswerStatus.WENT_BACK
        self._applied_count += 1
        self.version = news.version
        if is_current:
            return AnswerStatus.APPLIED
        self._restored_at_count = self._applied_count
        return AnswerStatus.RESTORED
