"""How evidence spreads through the fleet: gossip, pushed to a few random peers in rounds. No I/O.

This module decides what is sent to whom and when, and within how many bytes.

- A node with new evidence sends it in rounds of `ROUND_US` to `FAN_OUT` peers drawn at random. Each piece is sent in at
  most `most_rounds` = ceil(log2(nodes)) + 3 rounds. Each time that the same piece comes back, one round is subtracted,
  because others have it. After its rounds it is only stored until it expires. A node with nothing new sends nothing.
- Bound: new evidence that the byte limit does not delay is known to all nodes within `most_rounds` rounds after the
  observation, where a round lasts `ROUND_US` plus one transit over a link, and one message in ten is lost: 6 rounds at
  5 nodes, 9 at 50, 12 at 500. Peers are drawn at random, so tests check the bound over many seeds; the mean is under a
  third of it. A peer to which all messages are lost is not reached, and nothing waits for it.
- Network partitions: evidence that ended its rounds while some peers could not be reached is sent once more by each
  node when peers return (`set_alive`), if it is still valid. Each node that did not have it sends it on as new. So
  evidence older than its lifetime is lost to the nodes that were cut off; for the rest the bound holds, counted from
  when the first node knows that the partition has healed.
- Bytes: in any second a node sends at most `MAX_BYTES_PER_S`, whatever the number of nodes, counted as msgpack and with
  `ENVELOPE_BYTES` for each message. Within this limit evidence is sent in the order of the rank of its kind, then the
  newest first; what expires before it was sent is counted (`dropped`). If several nodes report the same of a member,
  only the evidence of a few witnesses is sent on (`EvidenceStore.has_enough_witnesses`).
"""

import random
from heapq import nsmallest

import msgspec

from oatlink.fleet.messages import NEVER_US, Effect, Evidence, Gossip, Tell
from oatlink.fleet.verdicts.evidence import KINDS, Topic, aged_us, is_valid, topic_of
from oatlink.fleet.verdicts.evidence_store import EvidenceStore, StoredEvidence

FAN_OUT = 3
ROUND_US = 100_000
MAX_BYTES_PER_S = 16_384
BURST_BYTES = 4_096  # at once; the rest of the limit becomes available evenly
BYTES_PER_S = MAX_BYTES_PER_S - BURST_BYTES
ENVELOPE_BYTES = 192  # around each message: sender, incarnation, counter, tag, length
MAX_ITEMS_PER_MESSAGE = 32
MAX_ITEMS_TAKEN = 64  # of one message that was received; the rest is ignored
REPEAT_INTERVAL_US = 200_000  # between own evidence on one topic
HEAL_INTERVAL_US = 1_000_000
STRAY_SHARE = 1 / 16  # of the messages go to any peer, also to one that is believed to be gone


def most_rounds(nodes: int) -> int:
    """The most rounds in which a node sends one piece of evidence, and after which all nodes know it."""
    return max(0, nodes - 1).bit_length() + 3


class Spread:
    """The gossip of one node. `peers`: the other nodes of the settings."""

    def __init__(self, node: str, incarnation: int, peers: tuple[str, ...], seed: int, drift: float) -> None:
        self._node = node
        self._incarnation = incarnation
        self._peers = tuple(peer for peer in peers if peer != node)
        self._known_peers = dict.fromkeys(self._peers)
        self._alive = self._peers
        self._random = random.Random(seed)
        self._drift = drift
        self._rounds = most_rounds(len(self._peers) + 1)
        self._store = EvidenceStore(drift)
        self._pending: dict[tuple[Topic, str], StoredEvidence] = {}
        self._serial = 0
        self._budget_bytes = float(BURST_BYTES)
        self._budget_at_us: int | None = None
        self._round_us = -ROUND_US  # the time of the last round
        self._heal_us = NEVER_US
        self._healed_us = -HEAL_INTERVAL_US
        self._expired_unsent = 0
        self.due_us = NEVER_US

    @property
    def dropped(self) -> int:
        """How many pieces of evidence were removed from the full store or expired before they could be sent."""
        return self._store.dropped + self._expired_unsent

    def __len__(self) -> int:
        """How many pieces of evidence are stored."""
        return len(self._store)

    def set_alive(self, alive: tuple[str, ...], now_us: int) -> None:
        """Set which peers are believed alive. The others are still tried now and then; none alive counts as all."""
        before = dict.fromkeys(self._alive)
        self._alive = tuple(peer for peer in alive if peer in self._known_peers) or self._peers
        if any(peer not in before for peer in self._alive):
            self._heal_us = max(now_us, self._healed_us + HEAL_INTERVAL_US)
            self.due_us = min(self.due_us, self._heal_us)

    def saw(self, member: str, kind: str, now_us: int, history: str = "", offset: int = -1) -> bool:
        """Add own evidence; returns whether it counts as new. The same within `REPEAT_INTERVAL_US` does not."""
        self._serial += 1
        evidence = Evidence(self._node, self._incarnation, self._serial, member, kind, 0, history, offset)
        if not is_valid(evidence):
            return False
        last = self._store.known(evidence)
        if last is not None and now_us - last.kept_us < REPEAT_INTERVAL_US:
            return False
        return self._keep(evidence, now_us)

    def receive(
        self, sender: str, gossip: Gossip, now_us: int, late_us: int = 0
    ) -> tuple[list[Evidence], list[Effect]]:
        """Return what is new to this node, with its present age. `late_us`: the wait of the message in this process.

        Evidence of this node that comes back from others is ignored; otherwise the node would be its own second
        witness.
        """
        if sender not in self._known_peers:
            return [], []
        new = []
        for evidence in gossip.evidence[:MAX_ITEMS_TAKEN]:
            if evidence.witness not in self._known_peers or not is_valid(evidence):
                continue
            evidence = _with_age(evidence, late_us, self._drift) if late_us > 0 else evidence
            if self._keep(evidence, now_us):
                new.append(evidence)
                continue
            old = self._store.known(evidence)
            if old is not None and old.evidence.serial == evidence.serial and old.rounds_left > 0:
                old.rounds_left -= 1
        return new, []

    def tick(self, now_us: int) -> list[Effect]:
        """Send a round if one is due."""
        if now_us < self.due_us:
            return []
        if now_us >= self._heal_us:
            self._heal(now_us)
        self._drop_finished(now_us)
        if not self._pending or not self._peers:
            self._pending.clear()
            self.due_us = self._heal_us
            return []
        next_us = self._round_us + ROUND_US
        if now_us < next_us:
            self.due_us = min(self._heal_us, next_us)
            return []
        self._round_us = now_us
        self.due_us = now_us + ROUND_US
        targets = self._targets()
        batch, cost_bytes = self._next_batch(self._available_bytes(now_us) // len(targets), now_us)
        if not batch:
            return []
        self._budget_bytes -= cost_bytes * len(targets)
        gossip = Gossip(tuple(batch))
        return [Tell(target, gossip) for target in targets]

    def _keep(self, evidence: Evidence, now_us: int) -> bool:
        item = self._store.put(evidence, now_us)
        if item is None:
            return False
        key = topic_of(evidence), evidence.witness
        self._pending.pop(key, None)  # older evidence on the same topic is no longer sent on
        if not self._store.has_enough_witnesses(item):
            item.rounds_left = self._rounds
            self._pending[key] = item
            self._schedule_round(now_us)
        return True

    def _schedule_round(self, now_us: int) -> None:
        """Schedule a round for new evidence: at once, but not within `ROUND_US` of the previous one."""
        self.due_us = min(self.due_us, max(now_us, self._round_us + ROUND_US))

    def _heal(self, now_us: int) -> None:
        self._healed_us, self._heal_us = now_us, NEVER_US
        for item in self._store.items():
            if item.rounds_left == 0 and item.expires_us > now_us:
                item.rounds_left = 1
                self._pending[topic_of(item.evidence), item.evidence.witness] = item

    def _drop_finished(self, now_us: int) -> None:
        """Stop sending what has ended its rounds, has expired, or was reported by enough others."""
        for key, item in list(self._pending.items()):
            if item.expires_us <= now_us:
                self._expired_unsent += not item.sent
            elif item.rounds_left > 0 and (item.sent or not self._store.has_enough_witnesses(item)):
                continue
            item.rounds_left = 0
            del self._pending[key]

    def _targets(self) -> list[str]:
        targets = self._random.sample(self._alive, min(FAN_OUT, len(self._alive)))
        if len(self._alive) < len(self._peers) and self._random.random() < STRAY_SHARE * len(targets):
            stray = self._random.choice(self._peers)
            if stray not in targets:
                targets[-1] = stray
        return targets

    def _available_bytes(self, now_us: int) -> int:
        passed_us = now_us - self._budget_at_us if self._budget_at_us is not None else 0
        self._budget_bytes = min(float(BURST_BYTES), self._budget_bytes + max(0, passed_us) * BYTES_PER_S / 1e6)
        self._budget_at_us = now_us
        return int(self._budget_bytes)

    def _next_batch(self, limit_bytes: int, now_us: int) -> tuple[list[Evidence], int]:
        """The evidence to send in this round, within `limit_bytes`, and the bytes of one message."""
        cost_bytes, batch = ENVELOPE_BYTES, []
        for item in nsmallest(MAX_ITEMS_PER_MESSAGE, self._pending.values(), key=_send_order):
            evidence = _with_age(item.evidence, now_us - item.kept_us, self._drift)
            size_bytes = len(msgspec.msgpack.encode(evidence))
            if cost_bytes + size_bytes > limit_bytes:
                continue
            cost_bytes += size_bytes
            batch.append(evidence)
            item.rounds_left -= 1
            item.sent = True
        return batch, cost_bytes


def _send_order(item: StoredEvidence) -> tuple[int, int]:
    return KINDS[item.evidence.kind].rank, -item.seen_us


def _with_age(evidence: Evidence, passed_us: int, drift: float) -> Evidence:
    """The evidence with its age after `passed_us` of local time."""
    return msgspec.structs.replace(evidence, age_us=evidence.age_us + aged_us(passed_us, drift))
