"""The evidence that a node knows, in bounded memory. No I/O.

This module decides which evidence is new, which evidence it replaces, and what is removed when the store is full.

The newest evidence is kept for each topic and witness. Evidence of one incarnation is ordered by its serial.
Incarnations are drawn at random, so between two of them the evidence observed later counts. There are at most
`MAX_TOPICS` topics with `MAX_WITNESSES` witnesses each, and `MAX_TOPICS_PER_WITNESS` topics of each witness. Evidence
replaces that of another witness only if it is newer by `SAME_TIME_US`. A new topic replaces a topic only of the same
rank or of a less urgent one.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from oatlink.fleet.messages import Evidence
from oatlink.fleet.verdicts.evidence import KINDS, Topic, aged_us, remaining_life_us, topic_of

MAX_TOPICS = 1_024
MAX_WITNESSES = 8  # of a topic; more of them add no information
MAX_TOPICS_PER_WITNESS = 128  # so a witness that accuses every member does not evict the evidence of others
SWEEP_INTERVAL_US = 500_000
ENOUGH_WITNESSES = 3  # of the same topic at about the same time; evidence of a fourth is not sent on
SAME_TIME_US = 1_000_000


@dataclass(slots=True)
class StoredEvidence:
    """Evidence as it was at `kept_us`. `seen_us`: latest time of the observation by our clock, ignoring the transit."""

    evidence: Evidence
    kept_us: int
    seen_us: int
    expires_us: int
    number: int  # order of arrival
    rounds_left: int = 0  # in how many rounds it is still to be sent
    sent: bool = False


class EvidenceStore:
    """Evidence by topic and witness. `dropped` counts what the limits removed, except `MAX_WITNESSES`."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self._topics: dict[Topic, dict[str, StoredEvidence]] = {}
        self._ranks: dict[str, dict[Topic, None]] = {kind: {} for kind in KINDS}  # by kind, oldest topic first
        self._topic_counts: dict[str, int] = {}  # by witness
        self._sweep_us = 0
        self._arrivals = 0
        self.dropped = 0

    def __len__(self) -> int:
        return sum(len(by_witness) for by_witness in self._topics.values())

    def items(self) -> Iterator[StoredEvidence]:
        """All evidence in the store, including what has expired and was not removed yet."""
        for by_witness in self._topics.values():
            yield from by_witness.values()

    def known(self, evidence: Evidence) -> StoredEvidence | None:
        """The stored evidence of the same witness on the same topic."""
        return self._topics.get(topic_of(evidence), {}).get(evidence.witness)

    def put(self, evidence: Evidence, now_us: int) -> StoredEvidence | None:
        """Store valid evidence; None if it is not newer than what is known, has expired, or exceeds a limit."""
        if now_us >= self._sweep_us:
            self._sweep(now_us)
        topic, witness = topic_of(evidence), evidence.witness
        seen_us = now_us - aged_us(evidence.age_us, self._drift)
        expires_us = now_us + remaining_life_us(evidence, self._drift)
        if expires_us <= now_us:
            return None
        by_witness = self._topics.get(topic, {})
        old = by_witness.get(witness)
        if old is not None:
            if not _is_newer(evidence, seen_us, old):
                return None
            self._remove(topic, witness)
        elif not self._ensure_room(topic, by_witness, witness, seen_us):
            return None
        self._arrivals += 1
        item = StoredEvidence(evidence, now_us, seen_us, expires_us, self._arrivals)
        self._topics.setdefault(topic, {})[witness] = item
        self._ranks[evidence.kind][topic] = None
        self._topic_counts[witness] = self._topic_counts.get(witness, 0) + 1
        return item

    def has_enough_witnesses(self, item: StoredEvidence) -> bool:
        """Whether `ENOUGH_WITNESSES` others reported the same before this one arrived, and not much earlier.

        When a member hangs, all gateways observe it at once. Without this limit the evidence of each would be sent to
        each.
        """
        by_witness = self._topics.get(topic_of(item.evidence), {})
        others = 0
        for other in by_witness.values():
            others += other.number < item.number and other.seen_us >= item.seen_us - SAME_TIME_US
        return others >= ENOUGH_WITNESSES

    def _ensure_room(self, topic: Topic, by_witness: dict[str, StoredEvidence], witness: str, seen_us: int) -> bool:
        if self._topic_counts.get(witness, 0) >= MAX_TOPICS_PER_WITNESS:
            self.dropped += 1
            return False
        if len(by_witness) >= MAX_WITNESSES:
            name, oldest = min(by_witness.items(), key=lambda pair: pair[1].seen_us)
            # Evidence that was removed may arrive again on a slower path. It looks newer by the difference, and would
            # count as new without this condition.
            if oldest.seen_us >= seen_us - SAME_TIME_US:
                return False
            self._remove(topic, name)
        elif not by_witness and len(self._topics) >= MAX_TOPICS:
            return self._evict(KINDS[topic[1]].rank)
        return True

    def _evict(self, rank: int) -> bool:
        """Remove the oldest topic of the least urgent kind, unless it is more urgent than `rank`."""
        for kind in reversed(KINDS):
            if self._ranks[kind] and KINDS[kind].rank >= rank:
                topic = next(iter(self._ranks[kind]))
                for witness in list(self._topics[topic]):
                    self.dropped += 1
                    self._remove(topic, witness)
                return True
        self.dropped += 1
        return False

    def _remove(self, topic: Topic, witness: str) -> None:
        by_witness = self._topics[topic]
        by_witness.pop(witness).rounds_left = 0
        if not by_witness:
            del self._topics[topic]
            self._ranks[topic[1]].pop(topic, None)
        self._topic_counts[witness] -= 1
        if not self._topic_counts[witness]:
            del self._topic_counts[witness]

    def _sweep(self, now_us: int) -> None:
        self._sweep_us = now_us + SWEEP_INTERVAL_US
        expired = [
            (topic, witness)
            for topic, by_witness in self._topics.items()
            for witness, item in by_witness.items()
            if item.expires_us <= now_us
        ]
        for topic, witness in expired:
            self._remove(topic, witness)


def _is_newer(evidence: Evidence, seen_us: int, old: StoredEvidence) -> bool:
    if evidence.incarnation == old.evidence.incarnation:
        return evidence.serial > old.evidence.serial
    return seen_us > old.seen_us
