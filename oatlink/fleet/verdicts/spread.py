"""How evidence goes through the fleet: rumours, pushed to a few at random in rounds. No I/O.

What may live here: what is sent to whom and when, and within how many bytes.

- A node that has something new sends it in rounds of `ROUND_US` to `FAN_OUT` peers drawn at random, each word in at
  most `most_rounds` = ceil(log2(nodes)) + 3 rounds. Each time the same word comes back, one of these is taken off:
  others have it. Then it is only remembered, until its life ends. A node with nothing new sends nothing.
- Bound: a fresh word that is not held up by the ceiling is known to all nodes within `most_rounds` rounds after it was
  seen, a round being `ROUND_US` and one way over a link, with one message in ten lost: 6 rounds at 5 nodes, 9 at 50, 12
  at 500. It is drawn by chance, so the bound is one that tests look at over many draws; the mean is under a third of
  it. A peer that all messages to are lost is not reached, and nothing waits for it.
- A cut. A word that ended its rounds while some could not be reached is sent once more by each node when peers come
  back (`here`), if it still lives; each that did not have it passes it on as new. So words older than a life are lost
  to those cut off, and of the rest the bound holds, counted from when the first node knows that the cut has healed.
- Bytes: in any second a node sends at most `MOST_BYTES_A_S`, whatever the number of nodes, counted as msgpack and with
  `ENVELOPE` for each message. Under it words go by the rank of their kind, then the newest first; what dies unsent is
  counted (`dropped`). What several say of the same member is passed on for a few witnesses only
  (`EvidenceStore.enough`).
"""

import random
from heapq import nsmallest

import msgspec

from oatlink.fleet.messages import NEVER_US, Effect, Evidence, Gossip, Tell
from oatlink.fleet.verdicts.evidence import KINDS, Topic, fits, grown, topic_of
from oatlink.fleet.verdicts.evidence_store import EvidenceStore, StoredEvidence

FAN_OUT = 3
ROUND_US = 100_000
MOST_BYTES_A_S = 16_384
BURST = 4_096  # bytes at once; the rest of the ceiling comes evenly
RATE = MOST_BYTES_A_S - BURST  # bytes a second
ENVELOPE = 192  # bytes around each message: sender, incarnation, counter, tag, length
MOST_A_MESSAGE = 32  # words
MOST_TAKEN = 64  # words of one message that are looked at
SAME_EACH_US = 200_000  # own words on one topic
HEAL_EACH_US = 1_000_000
STRAY = 1 / 16  # share of messages that go to any peer, be it thought gone


def most_rounds(nodes: int) -> int:
    """In how many rounds a node sends one word, at most; and after how many all nodes know it."""
    return max(0, nodes - 1).bit_length() + 3


class Spread:
    """One node's part in passing evidence on. `peers`: the other nodes of the settings."""

    def __init__(self, node: str, incarnation: int, peers: tuple[str, ...], seed: int, drift: float) -> None:
        self._node = node
        self._incarnation = incarnation
        self._peers = tuple(one for one in peers if one != node)
        self._listed = dict.fromkeys(self._peers)
        self._alive = self._peers
        self._draw = random.Random(seed)
        self._drift = drift
        self._rounds = most_rounds(len(self._peers) + 1)
        self._known = EvidenceStore(drift)
        self._hot: dict[tuple[Topic, str], StoredEvidence] = {}
        self._serial = 0
        self._level = float(BURST)
        self._level_us: int | None = None
        self._round_us = -ROUND_US  # when the last round was
        self._heal_us = NEVER_US
        self._healed_us = -HEAL_EACH_US
        self._unsent = 0
        self.due_us = NEVER_US

    @property
    def dropped(self) -> int:
        """How many words found no room, or died before there were bytes for them."""
        return self._known.dropped + self._unsent

    def __len__(self) -> int:
        """How many words are kept."""
        return len(self._known)

    def here(self, alive: tuple[str, ...], now_us: int) -> None:
        """Who is thought to be there. The others are tried now and then; nobody there is as good as everybody."""
        before = dict.fromkeys(self._alive)
        self._alive = tuple(one for one in alive if one in self._listed) or self._peers
        if any(one not in before for one in self._alive):
            self._heal_us = max(now_us, self._healed_us + HEAL_EACH_US)
            self.due_us = min(self.due_us, self._heal_us)

    def saw(self, member: str, kind: str, now_us: int, history: str = "", offset: int = -1) -> bool:
        """Own evidence; returns whether it counts as new. The same again within `SAME_EACH_US` does not."""
        self._serial += 1
        word = Evidence(self._node, self._incarnation, self._serial, member, kind, 0, history, offset)
        if not fits(word):
            return False
        last = self._known.known(word)
        if last is not None and now_us - last.kept_us < SAME_EACH_US:
            return False
        return self._keep(word, now_us)

    def receive(
        self, sender: str, gossip: Gossip, now_us: int, late_us: int = 0
    ) -> tuple[list[Evidence], list[Effect]]:
        """What is new to this node, with its age as it is now. `late_us`: how long the message waited in this process.

        What was seen here comes back as others' word: it is passed over, or a node would be its own second witness.
        """
        if sender not in self._listed:
            return [], []
        new = []
        for word in gossip.evidence[:MOST_TAKEN]:
            if word.witness not in self._listed or not fits(word):
                continue
            word = _aged(word, late_us, self._drift) if late_us > 0 else word
            if self._keep(word, now_us):
                new.append(word)
                continue
            old = self._known.known(word)
            if old is not None and old.evidence.serial == word.serial and old.left > 0:
                old.left -= 1
        return new, []

    def tick(self, now_us: int) -> list[Effect]:
        """A round, if one is due."""
        if now_us < self.due_us:
            return []
        if now_us >= self._heal_us:
            self._heal(now_us)
        self._forget(now_us)
        if not self._hot or not self._peers:
            self._hot.clear()
            self.due_us = self._heal_us
            return []
        next_us = self._round_us + ROUND_US
        if now_us < next_us:
            self.due_us = min(self._heal_us, next_us)
            return []
        self._round_us = now_us
        self.due_us = now_us + ROUND_US
        to = self._targets()
        words, cost = self._words(self._bytes(now_us) // len(to), now_us)
        if not words:
            return []
        self._level -= cost * len(to)
        gossip = Gossip(tuple(words))
        return [Tell(one, gossip) for one in to]

    def _keep(self, word: Evidence, now_us: int) -> bool:
        item = self._known.put(word, now_us)
        if item is None:
            return False
        key = topic_of(word), word.witness
        self._hot.pop(key, None)  # the older word on the same is not passed on any more
        if not self._known.enough(item):
            item.left = self._rounds
            self._hot[key] = item
            self._wake(now_us)
        return True

    def _wake(self, now_us: int) -> None:
        """The first round with something new is at once, unless the one before was just now."""
        self.due_us = min(self.due_us, max(now_us, self._round_us + ROUND_US))

    def _heal(self, now_us: int) -> None:
        self._healed_us, self._heal_us = now_us, NEVER_US
        for item in self._known.items():
            if item.left == 0 and item.dies_us > now_us:
                item.left = 1
                self._hot[topic_of(item.evidence), item.evidence.witness] = item

    def _forget(self, now_us: int) -> None:
        """Let go of what has ended its rounds or its life, and of what enough others have said."""
        for key, item in list(self._hot.items()):
            if item.dies_us <= now_us:
                self._unsent += not item.sent
            elif item.left > 0 and (item.sent or not self._known.enough(item)):
                continue
            item.left = 0
            del self._hot[key]

    def _targets(self) -> list[str]:
        to = self._draw.sample(self._alive, min(FAN_OUT, len(self._alive)))
        if len(self._alive) < len(self._peers) and self._draw.random() < STRAY * len(to):
            stray = self._draw.choice(self._peers)
            if stray not in to:
                to[-1] = stray
        return to

    def _bytes(self, now_us: int) -> int:
        passed_us = now_us - self._level_us if self._level_us is not None else 0
        self._level = min(float(BURST), self._level + max(0, passed_us) * RATE / 1e6)
        self._level_us = now_us
        return int(self._level)

    def _words(self, room: int, now_us: int) -> tuple[list[Evidence], int]:
        """What goes out in this round, as it fits into `room` bytes, and the bytes of one message."""
        cost, words = ENVELOPE, []
        for item in nsmallest(MOST_A_MESSAGE, self._hot.values(), key=_first):
            word = _aged(item.evidence, now_us - item.kept_us, self._drift)
            size = len(msgspec.msgpack.encode(word))
            if cost + size > room:
                continue
            cost += size
            words.append(word)
            item.left -= 1
            item.sent = True
        return words, cost


def _first(item: StoredEvidence) -> tuple[int, int]:
    return KINDS[item.evidence.kind].rank, -item.seen_us


def _aged(word: Evidence, passed_us: int, drift: float) -> Evidence:
    """The word as it is after `passed_us` of local time."""
    return msgspec.structs.replace(word, age_us=word.age_us + grown(passed_us, drift))
