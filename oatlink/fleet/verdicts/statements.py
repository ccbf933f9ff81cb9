"""What other nodes report of one member: for it, against it, and which offset it has reached. No I/O.

This module decides which witnesses count at a moment; what follows from that is decided in `weigh`.
"""

from dataclasses import dataclass, field

MAX_WITNESSES = 16  # for a member and against it, each
MAX_HISTORIES = 2
SERVED_PRIORITY_US = 300_000
"""A 'served' outweighs an accusation that is newer by up to this, since the clocks of others and the time in transit
are unknown."""
DEFENDERS = 4
"""So many witnesses of 'served' at about the same time outweigh any number of accusations."""


@dataclass(slots=True)
class Statements:
    """The statements for or against a member: when each witness last made one, and when it expires."""

    by_witness: dict[str, tuple[int, int]] = field(default_factory=dict)

    def put(self, witness: str, at_us: int, until_us: int) -> None:
        """Add a statement that is not older than the last one of the witness."""
        self.by_witness.pop(witness, None)
        if len(self.by_witness) >= MAX_WITNESSES:
            del self.by_witness[min(self.by_witness, key=lambda name: self.by_witness[name][0])]
        self.by_witness[witness] = at_us, until_us

    def time_of(self, witness: str) -> int:
        """The time of the last statement of the witness, -1 if there is none."""
        return self.by_witness.get(witness, (-1, 0))[0]

    def live_times(self, now_us: int, since_us: int) -> list[int]:
        """The times of the statements that have not expired and are newer than `since_us`; the newest first."""
        return sorted((at for at, until in self.by_witness.values() if until > now_us and at > since_us), reverse=True)


@dataclass(slots=True)
class MemberStatements:
    """The statements for and against one member. A witness counts on the side of its newest statement."""

    against: Statements = field(default_factory=Statements)
    served: Statements = field(default_factory=Statements)

    def put(self, witness: str, accuses: bool, at_us: int, until_us: int) -> None:
        """Add a statement, unless it is older than the newest one of the witness."""
        if at_us < max(self.against.time_of(witness), self.served.time_of(witness)):
            return
        side, opposite = (self.against, self.served) if accuses else (self.served, self.against)
        opposite.by_witness.pop(witness, None)
        side.put(witness, at_us, until_us)

    def suspected(self, now_us: int, since_us: int, needed: int) -> bool:
        """Whether `needed` witnesses report a fault of the member after `since_us`, and too few that it served them."""
        accusing = self.against.live_times(now_us, since_us)
        if len(accusing) < needed:
            return False
        defending = self.served.live_times(now_us, accusing[0] - SERVED_PRIORITY_US)
        return len(defending) < min(len(accusing), DEFENDERS)


@dataclass(slots=True)
class HistoryOffsets:
    """The offset of a member in one history by each witness: (offset, time of the statement, time when it expires)."""

    by_witness: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    reported: int = -1  # the offset that was last passed to the gateway

    def put(self, witness: str, offset: int, at_us: int, until_us: int) -> None:
        """Add a statement. A witness that sees the offset fall voids all others: the member may have restarted."""
        last = self.by_witness.pop(witness, None)
        if last is not None and last[1] > at_us:
            self.by_witness[witness] = last
            return
        if last is not None and offset < last[0]:
            self.by_witness.clear()
            self.reported = -1
        elif len(self.by_witness) >= MAX_WITNESSES:
            del self.by_witness[min(self.by_witness, key=lambda name: self.by_witness[name][1])]
        self.by_witness[witness] = offset, at_us, until_us

    def attested(self, now_us: int, since_us: int, needed: int) -> tuple[int, int] | None:
        """The offset that `needed` witnesses confirm as reached, and the time of the oldest of these statements."""
        live = [(offset, at) for offset, at, until in self.by_witness.values() if until > now_us and at > since_us]
        live.sort(reverse=True)
        if len(live) < needed:
            return None
        return live[needed - 1][0], min(at for _, at in live[:needed])


@dataclass(slots=True)
class MemberOffsets:
    """The offsets of one member by history. The most recently reported are kept, at most `MAX_HISTORIES`."""

    by_history: dict[str, HistoryOffsets] = field(default_factory=dict)

    def offsets(self, history: str) -> HistoryOffsets:
        """The offsets in this history, empty if it is not known."""
        offsets = self.by_history.pop(history, None) or HistoryOffsets()
        self.by_history[history] = offsets
        while len(self.by_history) > MAX_HISTORIES:
            del self.by_history[next(iter(self.by_history))]
        return offsets
