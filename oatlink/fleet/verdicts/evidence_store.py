"""The evidence that a node knows, in bounded room. No I/O.

What may live here: which evidence is new, which takes the place of which, and what goes where there is no room.

One word for each topic and witness: the newest. Words of one incarnation are ordered by their serial; incarnations are
drawn at random, so between two of them the word seen later counts. Room: `MOST_TOPICS` topics of `MOST_WITNESSES`
words each, `MOST_A_WITNESS` topics for each witness. A word takes the place of another witness's only if it is newer by
`SAME_US`, and a topic that of one of no higher rank.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from oatlink.fleet.messages import Evidence
from oatlink.fleet.verdicts.evidence import KINDS, Topic, grown, left_us, topic_of

MOST_TOPICS = 1_024
MOST_WITNESSES = 8  # a topic: more of them say nothing more
MOST_A_WITNESS = 128  # topics: one that accuses the whole world does not put out what others say
SWEEP_US = 500_000
ENOUGH = 3  # witnesses of the same, at about the same time: what a fourth says is not passed on
SAME_US = 1_000_000


@dataclass(slots=True)
class StoredEvidence:
    """A word as it was at `kept_us`. `seen_us`: when it was seen, by our clock, at the latest but for the way here."""

    evidence: Evidence
    kept_us: int
    seen_us: int
    dies_us: int
    number: int  # of arrival
    left: int = 0  # rounds in which it is still to be sent
    sent: bool = False


class EvidenceStore:
    """What is known, by topic and witness. `dropped` counts what found no room, a witness too many aside."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self._topics: dict[Topic, dict[str, StoredEvidence]] = {}
        self._ranks: dict[str, dict[Topic, None]] = {kind: {} for kind in KINDS}  # by kind, oldest topic first
        self._of: dict[str, int] = {}  # topics by witness
        self._sweep_us = 0
        self._count = 0
        self.dropped = 0

    def __len__(self) -> int:
        return sum(len(held) for held in self._topics.values())

    def items(self) -> Iterator[StoredEvidence]:
        """All that is kept, the dead not yet swept among it."""
        for held in self._topics.values():
            yield from held.values()

    def known(self, evidence: Evidence) -> StoredEvidence | None:
        """The word of the same witness on the same topic."""
        return self._topics.get(topic_of(evidence), {}).get(evidence.witness)

    def put(self, evidence: Evidence, now_us: int) -> StoredEvidence | None:
        """Keep a word that fits; None where it is not newer than what is known, or there is no room."""
        if now_us >= self._sweep_us:
            self._sweep(now_us)
        topic, witness = topic_of(evidence), evidence.witness
        seen_us = now_us - grown(evidence.age_us, self._drift)
        dies_us = now_us + left_us(evidence, self._drift)
        if dies_us <= now_us:
            return None
        held = self._topics.get(topic, {})
        old = held.get(witness)
        if old is not None:
            if not _newer(evidence, seen_us, old):
                return None
            self._out(topic, witness)
        elif not self._room(topic, held, witness, seen_us):
            return None
        self._count += 1
        item = StoredEvidence(evidence, now_us, seen_us, dies_us, self._count)
        self._topics.setdefault(topic, {})[witness] = item
        self._ranks[evidence.kind][topic] = None
        self._of[witness] = self._of.get(witness, 0) + 1
        return item

    def enough(self, item: StoredEvidence) -> bool:
        """Whether as many others as anyone needs said the same before it, and not long before.

        Threat: a member that hangs is seen by all gateways at once, and a word of each would go to each.
        """
        held = self._topics.get(topic_of(item.evidence), {})
        others = 0
        for one in held.values():
            others += one.number < item.number and one.seen_us >= item.seen_us - SAME_US
        return others >= ENOUGH

    def _room(self, topic: Topic, held: dict[str, StoredEvidence], witness: str, seen_us: int) -> bool:
        if self._of.get(witness, 0) >= MOST_A_WITNESS:
            self.dropped += 1
            return False
        if len(held) >= MOST_WITNESSES:
            name, oldest = min(held.items(), key=lambda pair: pair[1].seen_us)
            # Threat: one put out that comes again by a slower way, looks newer by that, and is taken for new.
            if oldest.seen_us >= seen_us - SAME_US:
                return False
            self._out(topic, name)
        elif not held and len(self._topics) >= MOST_TOPICS:
            return self._make_room(KINDS[topic[1]].rank)
        return True

    def _make_room(self, rank: int) -> bool:
        """Put out the oldest topic of the least kind, if that is not above `rank`."""
        for kind in reversed(KINDS):
            if self._ranks[kind] and KINDS[kind].rank >= rank:
                topic = next(iter(self._ranks[kind]))
                for witness in list(self._topics[topic]):
                    self.dropped += 1
                    self._out(topic, witness)
                return True
        self.dropped += 1
        return False

    def _out(self, topic: Topic, witness: str) -> None:
        held = self._topics[topic]
        held.pop(witness).left = 0
        if not held:
            del self._topics[topic]
            self._ranks[topic[1]].pop(topic, None)
        self._of[witness] -= 1
        if not self._of[witness]:
            del self._of[witness]

    def _sweep(self, now_us: int) -> None:
        self._sweep_us = now_us + SWEEP_US
        dead = [(topic, name) for topic, held in self._topics.items() for name in held if held[name].dies_us <= now_us]
        for topic, name in dead:
            self._out(topic, name)


def _newer(evidence: Evidence, seen_us: int, old: StoredEvidence) -> bool:
    if evidence.incarnation == old.evidence.incarnation:
        return evidence.serial > old.evidence.serial
    return seen_us > old.seen_us
