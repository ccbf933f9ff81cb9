"""Which versions nodes may still serve, and may still have out, by what this sequencer granted. No I/O.

The proof that a version is drained, once no more of it is granted:

1. A node was answered at `g`, having asked before, for a term counted from when it asked. Its clock and this one run
   within `drift` each, so its term ends before `g` + `lasts(term)` here. From then on it begins nothing.
2. What it began before ends within the longest deadline: by time alone, the version is drained that much after (1).
3. Sooner, by the node's word: that it has none out, and which answer it took last (`heard`). A node serves by that
   answer alone, and takes none to an older question any more. So if each answer with the version in it was to an older
   question than `heard` (`last`), it serves the version by none of ours, now or later, and what it began before would
   be in its word. An answer to that very question does not do: one question may come twice and be answered twice. The
   word counts only for the process that was granted: one that started again has lost sight of what was out (`since`).
4. An earlier sequencer granted only while it held its lease, at moments before this one's lease began, to questions
   asked before that. So by (1) its terms end before `began` + `lasts(term)` here, and what was begun under them is
   over the longest deadline later. Who was granted is not known here, and may never ask: until then nothing is
   drained, whatever any node says. A lease that was given back early began the next one no earlier than that.

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

    until: dict[int, int] = field(default_factory=dict)  # by version: when its term ends, by our clock
    last: dict[int, int] = field(default_factory=dict)  # by version: the highest ask that was answered with it
    busy: dict[int, int] = field(default_factory=dict)  # by version: when it last said that some is out


class Ledger:
    """What one sequencer granted since it began, and how long what others granted may live.

    `term_us`: the longest term that any sequencer of the fleet grants; `longest_us`: the longest deadline.
    """

    def __init__(self, drift: float, longest_us: int, term_us: int) -> None:
        self._drift = drift
        self._out_us = lasts(longest_us, drift)
        self._earlier_us = lasts(term_us, drift) + self._out_us
        self._began_us = NEVER_US
        self._holders: dict[tuple[str, int], Holder] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def began(self, now_us: int) -> None:
        """A lease began: nothing is granted under it yet."""
        self._began_us = now_us
        self._holders.clear()

    def first(self) -> None:
        """No sequencer was before this one: whoever grants has changed the state before, and only this one has."""
        self._began_us = -NEVER_US

    def record_status(self, node: str, since: int, heard: int, busy: tuple[int, ...], now_us: int) -> None:
        """A node has said what it has out."""
        holder = self._holders.get((node, since))
        if holder is None:
            return
        for version in busy[:MOST_BUSY]:
            holder.until.setdefault(version, 0)  # granted by an earlier sequencer
        for version in list(holder.until):
            if version in busy:
                holder.busy[version] = now_us
            elif heard > holder.last.get(version, 0):
                for book in (holder.until, holder.last, holder.busy):
                    book.pop(version, None)

    def record_grant(
        self, node: str, since: int, ask: int, versions: tuple[int, ...], term_us: int, now_us: int
    ) -> bool:
        """Write down a grant, before it is sent. False where there is no room: it must not be sent."""
        holder = self._holders.get((node, since))
        if holder is None:
            if len(self._holders) >= MOST_HOLDERS:
                self._let_go(now_us)
            if len(self._holders) >= MOST_HOLDERS:
                return False
            holder = self._holders[node, since] = Holder()
        for version in versions:
            holder.until[version] = max(holder.until.get(version, 0), now_us + lasts(term_us, self._drift))
            holder.last[version] = max(holder.last.get(version, 0), ask)
        return True

    def drained(self, version: int, now_us: int) -> bool:
        """Whether no node can serve the version any more, and nothing of it is out."""
        if now_us < self._began_us + self._earlier_us:
            return False
        return all(now_us >= self._busy_until_us(holder, version) for holder in self._holders.values())

    def _busy_until_us(self, holder: Holder, version: int) -> int:
        until_us = holder.until.get(version)
        return max(until_us, holder.busy.get(version, 0)) + self._out_us if until_us is not None else 0

    def _let_go(self, now_us: int) -> None:
        for key, holder in list(self._holders.items()):
            if all(now_us >= self._busy_until_us(holder, version) for version in holder.until):
                del self._holders[key]
