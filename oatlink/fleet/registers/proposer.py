"""The registers as a node uses them: reads and changes that keepers agree on (CASPaxos). No I/O.

What may live here: queues, rounds and their time. What votes mean is `attempt`'s, which of them count `quorum`'s.

Each key has one attempt at a time; others wait in its line. An attempt that is outbid waits a random time, longer each
time, so that of many one gets through. Who does not answer is asked again. After `PATIENCE_US` the answer is `unknown`.
Bounds: `MAX_ACTIVE_KEYS` keys with something under way, `MAX_QUEUED_PER_KEY` in each line, `MAX_GRANTED_BALLOTS`
ballots granted ahead; what does not fit is answered `unknown` at once, and has not happened.

An incarnation must never be used again by a node of this name: ballots and writers are unique only by it.
"""

from collections import OrderedDict, deque
from random import Random

from oatlink.fleet.messages import (
    MAX_VALUE_BYTES,
    NEVER_US,
    Accept,
    Accepted,
    Answer,
    Ballot,
    Effect,
    Look,
    Looked,
    Message,
    Outbid,
    Prepare,
    Promise,
    Record,
    Tell,
)
from oatlink.fleet.registers.attempt import ACCEPTING, LOOKING, PREPARING, READ, WAITING, Attempt
from oatlink.fleet.registers.ballots import MAX_COUNTER, above, names
from oatlink.fleet.registers.quorum import Vote, majority

PATIENCE_US = 1_500_000
RESEND_US, MAX_RESEND_US = 150_000, 600_000  # until who did not answer is asked again
SETTLE_US = 20_000  # a round that a lone keeper has spoilt may still be saved by the others until then
BACKOFF_US, MAX_BACKOFF_DOUBLINGS = 4_000, 5  # the longest wait after the first time outbid; how often it doubles
SKIPPED_BALLOTS, MAX_SKIP_DOUBLINGS = (
    4,
    8,
)  # ballots that a try passes over after the first time outbid; how often it doubles
MAX_ACTIVE_KEYS, MAX_QUEUED_PER_KEY, MAX_GRANTED_BALLOTS = 1_024, 64, 1_024


class Proposer:
    """Implements `interface.Registers` for one node in one incarnation; `keepers` must be the same at every node."""

    def __init__(self, node: str, incarnation: int, keepers: tuple[str, ...], seed: int) -> None:
        self.due_us = NEVER_US
        self._node, self._incarnation, self._keepers = node, incarnation, keepers
        self._need = majority(len(keepers))
        self._rng = Random(seed)
        self._counter = 0  # over all keys, so that what is forgotten of a key takes no ballot with it
        self._writers = 0
        self._lines: dict[str, deque[Attempt]] = {}
        self._granted: OrderedDict[str, tuple[Ballot, Record]] = OrderedDict()

    # ---- The interface ----

    def read(self, ask: int, key: str, now_us: int) -> list[Effect]:
        """See `Registers.read`."""
        return self._ask(Attempt(ask, key, READ, b"", "", now_us, now_us + PATIENCE_US), now_us)

    def change(self, ask: int, key: str, fence: int, value: bytes, now_us: int) -> list[Effect]:
        """See `Registers.change`; `value` has at most `MAX_VALUE_BYTES` bytes."""
        self._writers += 1
        writer = f"{self._node}/{self._incarnation}/{self._writers}"
        return self._ask(Attempt(ask, key, max(fence, 0), value, writer, now_us, now_us + PATIENCE_US), now_us)

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        effects: list[Effect] = []
        if now_us >= self.due_us:
            for one in [line[0] for line in self._lines.values()]:
                if now_us >= one.ends_us:
                    effects += self._end(one, "unknown", Record(), now_us)
                elif now_us >= one.due_us:
                    effects += self._due(one, now_us)
        return self._timed(effects)

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Take a keeper's answer; one to a round that is over changes nothing."""
        if not isinstance(message, Looked | Promise | Accepted | Outbid) or sender not in self._keepers:
            return []
        line = self._lines.get(message.key)
        if isinstance(message, Outbid) and message.promised.counter <= MAX_COUNTER:
            self._counter = max(self._counter, message.promised.counter)
        if line is None or message.ballot != line[0].ballot or sender in line[0].votes:
            return []
        one = line[0]
        if isinstance(message, Looked) and one.step == LOOKING:
            vote = Vote(message.life, message.met, message.accepted, message.record, not message.copied)
            return self._timed(self._looked(one, sender, vote, now_us))
        if isinstance(message, Promise) and one.step == PREPARING:
            one.votes[sender] = Vote(message.life, message.met, message.accepted, message.record)
            found = one.promised(self._need)
            return self._timed(self._accept(one, one.ballot, found, now_us)) if found is not None else []
        if isinstance(message, Accepted) and one.step == ACCEPTING:
            one.votes[sender] = Vote(message.life, message.met, next=message.next)
            return self._timed(self._accepted(one, now_us))
        if isinstance(message, Outbid) and one.step in (PREPARING, ACCEPTING):
            one.outbid[sender] = None
            return self._timed(self._outbid(one, now_us))
        return []

    # ---- Rounds ----

    def _ask(self, one: Attempt, now_us: int) -> list[Effect]:
        line = self._lines.get(one.key)
        full = len(self._lines) >= MAX_ACTIVE_KEYS if line is None else len(line) >= MAX_QUEUED_PER_KEY
        if full or not names(one.key) or len(one.value) > MAX_VALUE_BYTES:
            return [_answer(one, "unknown", Record())]
        if line is not None:
            line.append(one)
            return []
        self._lines[one.key] = deque((one,))
        return self._timed(self._start(one, now_us))

    def _start(self, one: Attempt, now_us: int) -> list[Effect]:
        granted = self._granted.pop(one.key, None)
        if one.fence == READ:
            if granted is not None:
                self._granted[one.key] = granted  # looking takes nothing from it
            return self._look(one, now_us)
        if granted is not None:
            return self._accept(one, granted[0], granted[1], now_us)
        return self._prepare(one, now_us)

    def _look(self, one: Attempt, now_us: int) -> list[Effect]:
        one.begin(LOOKING, self._ballot())
        return self._send(one, now_us)

    def _prepare(self, one: Attempt, now_us: int) -> list[Effect]:
        one.begin(PREPARING, self._ballot())
        return self._send(one, now_us)

    def _accept(self, one: Attempt, ballot: Ballot, found: Record, now_us: int) -> list[Effect]:
        one.settle(found)
        if one.how == "unknown":
            return self._end(one, "unknown", Record(), now_us)
        one.begin(ACCEPTING, ballot)
        one.next = self._ballot()
        return self._send(one, now_us)

    def _looked(self, one: Attempt, sender: str, vote: Vote, now_us: int) -> list[Effect]:
        one.votes[sender] = vote
        found = one.agreed(self._need)
        if found is not None and found.fence != one.fence:
            return self._end(one, "found" if one.fence == READ else "differs", found, now_us)
        if found is not None or len(one.votes) == len(self._keepers):
            return self._prepare(one, now_us)
        if len(one.votes) >= self._need:
            one.due_us = min(one.due_us, now_us + SETTLE_US)
        return []

    def _accepted(self, one: Attempt, now_us: int) -> list[Effect]:
        if not one.accepted(self._need):
            return []
        if one.granted(self._need):
            self._granted[one.key] = one.next, one.record
            if len(self._granted) > MAX_GRANTED_BALLOTS:
                self._granted.popitem(last=False)
        return self._end(one, one.how, one.record, now_us)

    def _outbid(self, one: Attempt, now_us: int) -> list[Effect]:
        if len(one.outbid) > len(self._keepers) - self._need:
            return self._back(one, now_us)
        one.due_us = min(one.due_us, now_us + SETTLE_US)
        return []

    def _back(self, one: Attempt, now_us: int) -> list[Effect]:
        # Threat: two that outbid one another for ever. Each waits a time drawn by itself, longer each time.
        one.step = WAITING
        one.due_us = now_us + 1 + self._rng.randrange(BACKOFF_US << min(one.tries, MAX_BACKOFF_DOUBLINGS))
        # Threat: one that has its next ballot granted and is always a step ahead. The next try is well above it.
        self._counter = min(self._counter + (SKIPPED_BALLOTS << min(one.tries, MAX_SKIP_DOUBLINGS)), MAX_COUNTER - 1)
        one.tries += 1
        return []

    def _due(self, one: Attempt, now_us: int) -> list[Effect]:
        if one.outbid and one.step != WAITING:
            return self._back(one, now_us)
        if one.step == WAITING and one.tries > 1 and not one.offered:
            # Threat: many that want the same change, and each spoils the round of the one that can still make it.
            return self._look(one, now_us)
        if one.step == WAITING or (one.step == LOOKING and len(one.votes) >= self._need):
            return self._prepare(one, now_us)
        return self._send(one, now_us, again=True)

    def _send(self, one: Attempt, now_us: int, again: bool = False) -> list[Effect]:
        one.pause_us = min(2 * one.pause_us, MAX_RESEND_US) if again else RESEND_US
        one.due_us = now_us + one.pause_us
        message: Message = Look(one.key, one.ballot)
        if one.step == PREPARING:
            message = Prepare(one.key, one.ballot)
        elif one.step == ACCEPTING:
            message = Accept(one.key, one.ballot, one.record, one.next)
        return [Tell(keeper, message) for keeper in self._keepers if keeper not in one.votes]

    def _end(self, one: Attempt, how: str, record: Record, now_us: int) -> list[Effect]:
        effects: list[Effect] = [_answer(one, how, record)]
        line = self._lines[one.key]
        line.popleft()
        while line and now_us >= line[0].ends_us:
            effects.append(_answer(line.popleft(), "unknown", Record()))
        if not line:
            del self._lines[one.key]
            return effects
        return effects + self._start(line[0], now_us)

    def _ballot(self) -> Ballot:
        ballot = above(self._counter, self._node, self._incarnation)
        self._counter = ballot.counter
        return ballot

    def _timed(self, effects: list[Effect]) -> list[Effect]:
        self.due_us = min((min(line[0].due_us, line[0].ends_us) for line in self._lines.values()), default=NEVER_US)
        return effects


def _answer(one: Attempt, how: str, record: Record) -> Answer:
    return Answer(one.ask, one.key, how, record.fence, record.value, one.asked_us)
