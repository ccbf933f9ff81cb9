"""What others say of one member: for it, against it, and how far it is known to be. No I/O.

What may live here: which witnesses count at a moment. Nothing here decides what follows.
"""

from dataclasses import dataclass, field

MOST_WITNESSES = 16  # on each side
MOST_HISTORIES = 2
STANDS_US = 300_000  # a 'served' stands against a word that is this much newer, others' clocks and ways being unknown
DEFENDERS = 4  # who say 'served' at about the same time are enough, however many say otherwise


@dataclass(slots=True)
class Statements:
    """One side: when each witness last said so, and until when that lives."""

    said: dict[str, tuple[int, int]] = field(default_factory=dict)

    def put(self, witness: str, at_us: int, until_us: int) -> None:
        """Take in a word that is not older than the witness's last one."""
        self.said.pop(witness, None)
        if len(self.said) >= MOST_WITNESSES:
            del self.said[min(self.said, key=lambda name: self.said[name][0])]
        self.said[witness] = at_us, until_us

    def at(self, witness: str) -> int:
        """When the witness last said so, -1 where it did not."""
        return self.said.get(witness, (-1, 0))[0]

    def living(self, now_us: int, since_us: int) -> list[int]:
        """When each said so, of what lives still and was seen after `since_us`; the newest first."""
        return sorted((at for at, until in self.said.values() if until > now_us and at > since_us), reverse=True)


@dataclass(slots=True)
class MemberStatements:
    """Both sides of one member. A witness is on the side of its newest word."""

    against: Statements = field(default_factory=Statements)
    served: Statements = field(default_factory=Statements)

    def put(self, witness: str, accuses: bool, at_us: int, until_us: int) -> None:
        """Take in a word; one older than the witness's newest says nothing more."""
        if at_us < max(self.against.at(witness), self.served.at(witness)):
            return
        here, other = (self.against, self.served) if accuses else (self.served, self.against)
        other.said.pop(witness, None)
        here.put(witness, at_us, until_us)

    def suspected(self, now_us: int, since_us: int, needed: int) -> bool:
        """Whether `needed` witnesses accuse it of something after `since_us`, and too few say that it served them."""
        accusing = self.against.living(now_us, since_us)
        if len(accusing) < needed:
            return False
        defending = self.served.living(now_us, accusing[0] - STANDS_US)
        return len(defending) < min(len(accusing), DEFENDERS)


@dataclass(slots=True)
class HistoryOffsets:
    """How far a member is in one history, by each witness: (offset, when, until when that word lives)."""

    by: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    told: int = -1  # the offset that was last passed to the gateway

    def put(self, witness: str, offset: int, at_us: int, until_us: int) -> None:
        """Take in a word. One who sees the member go back ends what all said before: it may have begun anew."""
        last = self.by.pop(witness, None)
        if last is not None and last[1] > at_us:
            self.by[witness] = last
            return
        if last is not None and offset < last[0]:
            self.by.clear()
            self.told = -1
        elif len(self.by) >= MOST_WITNESSES:
            del self.by[min(self.by, key=lambda name: self.by[name][1])]
        self.by[witness] = offset, at_us, until_us

    def attested(self, now_us: int, since_us: int, needed: int) -> tuple[int, int] | None:
        """The offset that `needed` witnesses say it holds or more, and the time by the oldest of these words."""
        words = sorted(((o, at) for o, at, until in self.by.values() if until > now_us and at > since_us), reverse=True)
        if len(words) < needed:
            return None
        return words[needed - 1][0], min(at for _, at in words[:needed])


@dataclass(slots=True)
class MemberOffsets:
    """One member's histories, the one last spoken of at the end; an old one is let go."""

    of: dict[str, HistoryOffsets] = field(default_factory=dict)

    def reach(self, history: str) -> HistoryOffsets:
        """That history's, new where it is not known."""
        reach = self.of.pop(history, None) or HistoryOffsets()
        self.of[history] = reach
        while len(self.of) > MOST_HISTORIES:
            del self.of[next(iter(self.of))]
        return reach
