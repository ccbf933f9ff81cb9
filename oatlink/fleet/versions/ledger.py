"""Which versions nodes may still serve, and may still have out, by what this sequencer granted. No I/O.

The proof that a version is drained, once no more of it is granted:

1. A node was answered at `g`, having asked before, for a term counted from when it asked. Its clock and this one run
   within `drift` each, so its term ends before `g` + `lasts(term)` here. From then on it begins nothing.
2. What it began before ends within the longest deadline, or it says that it has none out. That word counts only if it
   was sent after (1): it names an answer (`heard`), and none given before (1) has so high a number. It counts only for
   the process that was granted: one that started again has lost sight of what was out (`since`).
3. What an earlier sequencer granted ended before its lease did, so before this one's began: a new ledger need wait
   for no term, and begins empty. What was *begun* under those terms may be out for the longest deadline after that.

What is not caught: a node that stands still, for longer than (2), between the look at its clock and the write of a
request. A server knows no versions of plain commands; the wait is the guard, so the deadline is to be a generous one.
"""

from dataclasses import dataclass, field

from oatlink.fleet.messages import NEVER_US

MOST_HOLDERS = 16_384
MOST_BUSY = 4  # versions that a node can have something out for


def lasts(us: int, drift: float) -> int:
    """How long another's clock can take for `us` of its own, by this one."""
    return int(us * (1 + drift) / (1 - drift)) + 1


@dataclass(slots=True)
class Holder:
    """What one process of a node was granted."""

    top: int = 0  # the highest ask that was answered
    until: dict[int, int] = field(default_factory=dict)  # by version: when its term ends, by our clock
    before: dict[int, int] = field(default_factory=dict)  # by version: the highest ask answered before that
    busy: dict[int, int] = field(default_factory=dict)  # by version: when it last said that some is out


class Ledger:
    """What one sequencer granted since it began."""

    def __init__(self, drift: float, longest_us: int) -> None:
        self._drift = drift
        self._out_us = lasts(longest_us, drift)
        self._began_us = NEVER_US
        self._holders: dict[tuple[str, int], Holder] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def began(self, now_us: int) -> None:
        """A lease began: nothing is granted yet."""
        self._began_us = now_us
        self._holders.clear()

    def heard(self, node: str, since: int, heard: int, busy: tuple[int, ...], now_us: int) -> None:
        """A node has said what it has out."""
        holder = self._holders.get((node, since))
        if holder is None:
            return
        for version in busy[:MOST_BUSY]:
            holder.until.setdefault(version, 0)  # granted by an earlier sequencer
        for version in list(holder.until):
            if version in busy:
                holder.busy[version] = now_us
            elif now_us >= holder.until[version] and heard > holder.before.get(version, 0):
                del holder.until[version]
                holder.busy.pop(version, None)

    def gave(self, node: str, since: int, ask: int, versions: tuple[int, ...], term_us: int, now_us: int) -> bool:
        """Write down a grant, before it is sent. False where there is no room: it must not be sent."""
        holder = self._holders.get((node, since))
        if holder is None:
            if len(self._holders) >= MOST_HOLDERS:
                self._let_go(now_us)
            if len(self._holders) >= MOST_HOLDERS:
                return False
            holder = self._holders[node, since] = Holder()
        holder.top = max(holder.top, ask)
        for version in versions:
            holder.until[version] = max(holder.until.get(version, 0), now_us + lasts(term_us, self._drift))
        for version, until_us in holder.until.items():
            if now_us < until_us:
                holder.before[version] = holder.top
        return True

    def drained(self, version: int, now_us: int) -> bool:
        """Whether no node can serve the version any more, and nothing of it is out."""
        if now_us < self._began_us + self._out_us:
            return False
        return all(now_us >= self._out_until(holder, version) for holder in self._holders.values())

    def _out_until(self, holder: Holder, version: int) -> int:
        until_us = holder.until.get(version)
        return max(until_us, holder.busy.get(version, 0)) + self._out_us if until_us is not None else 0

    def _let_go(self, now_us: int) -> None:
        for key, holder in list(self._holders.items()):
            if all(now_us >= self._out_until(holder, version) for version in holder.until):
                del self._holders[key]
