"""Which versions nodes may still serve or have requests for, according to this sequencer's grants. No I/O.

Why a version is drained, once no more of it is granted:

1. A node was answered at time `g`, having asked before, with a term counted from when it asked. Its clock and this one
   each run within `drift`, so its term ends before `g` + `max_elapsed_us(term)` here. After that it begins no request.
2. What it began before ends within the longest deadline: by time alone, the version is drained that much after (1).
3. It is drained sooner if the node reports that it has no request of it, and which answer it accepted last (`heard`). A
   node serves by that answer alone, and accepts none to an older question. So if each answer with the version was to an
   older question than `heard` (`last_ask`), it serves the version by none of ours, now or later, and what it began
   before would be in its report. An answer to that very question does not suffice: a question may arrive twice and be
   answered twice. The report counts only for the process that was granted: a restarted one no longer knows which
   requests are unfinished (`since`).
4. An earlier sequencer granted only while it held its lease, at times before this one's lease began, to questions asked
   before that. So by (1) its terms end before `began` + `max_elapsed_us(term)` here, and what was begun under them has
   ended the longest deadline later. Which nodes it granted is not known here, and they may never ask: until then
   nothing is drained, whatever any node reports. After a lease that was released early, the next one began no earlier
   than that.

Not covered: a node that is paused, for longer than (2), between reading its clock and writing a request. A server knows
no versions of plain commands, so the wait is the only protection, and the deadline should be generous.
"""

from dataclasses import dataclass, field

from oatlink.fleet.messages import NEVER_US

MAX_HOLDERS = 16_384
MAX_BUSY_VERSIONS = 4  # for which a node can have unfinished requests


def max_elapsed_us(us: int, drift: float) -> int:
    """The longest time by this clock in which another node's clock advances by `us`."""
    return int(us * (1 + drift) / (1 - drift)) + 1


@dataclass(slots=True)
class Holder:
    """What one process of a node was granted."""

    term_until_us: dict[int, int] = field(default_factory=dict)  # by version, by our clock
    last_ask: dict[int, int] = field(default_factory=dict)  # by version: the newest question answered with it
    busy_us: dict[int, int] = field(default_factory=dict)  # by version: the last report of unfinished requests


class Ledger:
    """What one sequencer granted since it began, and how long the grants of earlier ones may last.

    `term_us`: the longest term that any sequencer of the fleet grants; `longest_us`: the longest deadline.
    """

    def __init__(self, drift: float, longest_us: int, term_us: int) -> None:
        self._drift = drift
        self._drain_us = max_elapsed_us(longest_us, drift)
        self._earlier_us = max_elapsed_us(term_us, drift) + self._drain_us
        self._began_us = NEVER_US
        self._holders: dict[tuple[str, int], Holder] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def began(self, now_us: int) -> None:
        """A lease began; nothing is granted under it yet."""
        self._began_us = now_us
        self._holders.clear()

    def assume_no_predecessor(self) -> None:
        """No sequencer granted before this one: each changes the state before it grants, and only this one has."""
        self._began_us = -NEVER_US

    def record_status(self, node: str, since: int, heard: int, busy: tuple[int, ...], now_us: int) -> None:
        """Record a node's report of the versions for which it has unfinished requests."""
        holder = self._holders.get((node, since))
        if holder is None:
            return
        for version in busy[:MAX_BUSY_VERSIONS]:
            holder.term_until_us.setdefault(version, 0)  # granted by an earlier sequencer
        for version in list(holder.term_until_us):
            if version in busy:
                holder.busy_us[version] = now_us
            elif heard > holder.last_ask.get(version, 0):
                for by_version in (holder.term_until_us, holder.last_ask, holder.busy_us):
                    by_version.pop(version, None)

    def record_grant(
        self, node: str, since: int, ask: int, versions: tuple[int, ...], term_us: int, now_us: int
    ) -> bool:
        """Record a grant before it is sent. False if the ledger is full: then it must not be sent."""
        holder = self._holders.get((node, since))
        if holder is None:
            if len(self._holders) >= MAX_HOLDERS:
                self._drop_ended(now_us)
            if len(self._holders) >= MAX_HOLDERS:
                return False
            holder = self._holders[node, since] = Holder()
        for version in versions:
            holder.term_until_us[version] = max(
                holder.term_until_us.get(version, 0), now_us + max_elapsed_us(term_us, self._drift)
            )
            holder.last_ask[version] = max(holder.last_ask.get(version, 0), ask)
        return True

    def drained(self, version: int, now_us: int) -> bool:
        """Whether no node can serve the version any more, and no request of it is unfinished."""
        if now_us < self._began_us + self._earlier_us:
            return False
        return all(now_us >= self._busy_until_us(holder, version) for holder in self._holders.values())

    def _busy_until_us(self, holder: Holder, version: int) -> int:
        until_us = holder.term_until_us.get(version)
        return max(until_us, holder.busy_us.get(version, 0)) + self._drain_us if until_us is not None else 0

    def _drop_ended(self, now_us: int) -> None:
        for key, holder in list(self._holders.items()):
            if all(now_us >= self._busy_until_us(holder, version) for version in holder.term_until_us):
                del self._holders[key]
