"""Which answers of discovery count, where calls cross each other or discovery itself goes back. No I/O.

Discovery numbers its lists. An answer below the newest version taken is one of two things: it was overtaken on its
way, or discovery was put back to an older state, and counts from there.
"""

import enum

from oatlink.interface import RosterKind
from oatlink.platform.discovery.lists import News


class Verdict(enum.Enum):
    """What becomes of the news of a call."""

    TAKEN = "taken"
    RESTORED = "restored"  # taken, though its version is lower: discovery went back, and its whole list is here
    STALE = "stale"  # other news came while the call was under way: neither news nor a failure
    BACK = "back"  # discovery went back, and changes do not say what is there now: the whole list has to be asked for


class Order:
    """The newest version taken, and which calls began before it was."""

    def __init__(self) -> None:
        self.version = 0
        self._taken = 0
        self._restored_at = 0  # so many had been taken when discovery's going back was last taken in

    def known(self, version: int) -> None:
        """A list that came otherwise is had: calls begun from now on go on from it."""
        self._taken += 1
        self.version = version

    def begin(self) -> int:
        """A call begins: how many news have been taken so far, to be handed back with what it brings."""
        return self._taken

    def judge(self, began: int, news: News) -> Verdict:
        """What becomes of the news of a call that began then; taken news changes the version."""
        higher = news.version >= self.version
        # Threat: a whole list asked for before a change and arriving after it would undo a drain. One of before
        # discovery went back has a higher version than what is true now, and would do so too. To leave either out
        # loses nothing, as the watch goes on from the version taken.
        if began < self._restored_at or (not higher and began < self._taken):
            return Verdict.STALE
        if not higher and news.kind is RosterKind.CHANGES:
            return Verdict.BACK
        self._taken += 1
        self.version = news.version
        if higher:
            return Verdict.TAKEN
        self._restored_at = self._taken
        return Verdict.RESTORED
