"""The registers as a node uses them: reads and changes that the keepers agree on (CASPaxos). No I/O.

This module implements the queues, the rounds and their timing. `attempt` interprets the votes, `quorum` decides which
of them count.

Each key has one attempt at a time; others wait in the queue of the key. An attempt that is outbid waits a random time,
longer each time, so that one of many competing attempts succeeds. Keepers that do not answer are asked again. After
`PATIENCE_US` the answer is `unknown`. Bounds: `MAX_ACTIVE_KEYS` keys with an attempt, `MAX_QUEUED_PER_KEY` attempts in
each queue, `MAX_GRANTED_BALLOTS` ballots granted in advance. An attempt beyond the bounds is answered `unknown` at
once, and has not happened.

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
from oatlink.fleet.registers.ballots import MAX_COUNTER, is_valid_key, next_ballot
from oatlink.fleet.registers.quorum import Vote, majority

PATIENCE_US = 1_500_000
RESEND_US, MAX_RESEND_US = 150_000, 600_000  # before a keeper that has not answered is asked again; doubled each time
SETTLE_US = 20_000  # a round that one keeper has outbid may still succeed by the votes of the others until then
BACKOFF_US, MAX_BACKOFF_DOUBLINGS = 4_000, 5  # the longest wait after an attempt is outbid for the first time
SKIPPED_BALLOTS, MAX_SKIP_DOUBLINGS = 4, 8  # ballots skipped after an attempt is outbid for the first time
MAX_ACTIVE_KEYS, MAX_QUEUED_PER_KEY, MAX_GRANTED_BALLOTS = 1_024, 64, 1_024


class Proposer:
    """Implements `interface.Registers` for one node in one incarnation; `keepers` must be the same at every node."""

    def __init__(self, node: str, incarnation: int, keepers: tuple[str, ...], seed: int) -> None:
        self.due_us = NEVER_US
        self._node, self._incarnation, self._keepers = node, incarnation, keepers
        self._need = majority(len(keepers))
        self._rng = Random(seed)
        self._counter = 0  # over all keys, so that forgetting a key never makes a ballot available again
        self._writers = 0
        self._queues: dict[str, deque[Attempt]] = {}  # by key; the first attempt of each is in progress
        self._granted: OrderedDict[str, tuple[Ballot, Record]] = OrderedDict()  # by key

    # ---- The interface ----

    def read(self, ask: int, key: str, now_us: int) -> list[Effect]:
        """See `Registers.read`."""
        return self._add(Attempt(ask, key, READ, b"", "", now_us, now_us + PATIENCE_US), now_us)

    def change(self, ask: int, key: str, fence: int, value: bytes, now_us: int) -> list[Effect]:
        """See `Registers.change`; `value` has at most `MAX_VALUE_BYTES` bytes."""
        self._writers += 1
        writer = f"{self._node}/{self._incarnation}/{self._writers}"
        return self._add(Attempt(ask, key, max(fence, 0), value, writer, now_us, now_us + PATIENCE_US), now_us)

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        effects: list[Effect] = []
        if now_us >= self.due_us:
            for attempt in [queue[0] for queue in self._queues.values()]:
                if now_us >= attempt.ends_us:
                    effects += self._end(attempt, "unknown", Record(), now_us)
                elif now_us >= attempt.due_us:
                    effects += self._continue(attempt, now_us)
        return self._update_due(effects)

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Handle a keeper's answer. An answer to a round that is over changes nothing."""
        if not isinstance(message, Looked | Promise | Accepted | Outbid) or sender not in self._keepers:
            return []
        queue = self._queues.get(message.key)
        if isinstance(message, Outbid) and message.promised.counter <= MAX_COUNTER:
            self._counter = max(self._counter, message.promised.counter)
        if queue is None or message.ballot != queue[0].ballot or sender in queue[0].votes:
            return []
        attempt = queue[0]
        if isinstance(message, Looked) and attempt.step == LOOKING:
            vote = Vote(message.life, message.met, message.accepted, message.record, not message.copied)
            return self._update_due(self._on_looked(attempt, sender, vote, now_us))
        if isinstance(message, Promise) and attempt.step == PREPARING:
            attempt.votes[sender] = Vote(message.life, message.met, message.accepted, message.record)
            record = attempt.promised(self._need)
            if record is None:
                return []
            return self._update_due(self._accept(attempt, attempt.ballot, record, now_us))
        if isinstance(message, Accepted) and attempt.step == ACCEPTING:
            attempt.votes[sender] = Vote(message.life, message.met, next=message.next)
            return self._update_due(self._on_accepted(attempt, now_us))
        if isinstance(message, Outbid) and attempt.step in (PREPARING, ACCEPTING):
            attempt.outbid[sender] = None
            return self._update_due(self._on_outbid(attempt, now_us))
        return []

    # ---- Rounds ----

    def _add(self, attempt: Attempt, now_us: int) -> list[Effect]:
        queue = self._queues.get(attempt.key)
        is_full = len(self._queues) >= MAX_ACTIVE_KEYS if queue is None else len(queue) >= MAX_QUEUED_PER_KEY
        if is_full or not is_valid_key(attempt.key) or len(attempt.value) > MAX_VALUE_BYTES:
            return [_answer(attempt, "unknown", Record())]
        if queue is not None:
            queue.append(attempt)
            return []
        self._queues[attempt.key] = deque((attempt,))
        return self._update_due(self._start(attempt, now_us))

    def _start(self, attempt: Attempt, now_us: int) -> list[Effect]:
        granted = self._granted.pop(attempt.key, None)
        if attempt.fence == READ:
            if granted is not None:
                self._granted[attempt.key] = granted  # a look does not use up the granted ballot
            return self._look(attempt, now_us)
        if granted is not None:
            return self._accept(attempt, granted[0], granted[1], now_us)
        return self._prepare(attempt, now_us)

    def _look(self, attempt: Attempt, now_us: int) -> list[Effect]:
        attempt.begin(LOOKING, self._next_ballot())
        return self._send(attempt, now_us)

    def _prepare(self, attempt: Attempt, now_us: int) -> list[Effect]:
        attempt.begin(PREPARING, self._next_ballot())
        return self._send(attempt, now_us)

    def _accept(self, attempt: Attempt, ballot: Ballot, record: Record, now_us: int) -> list[Effect]:
        attempt.settle(record)
        if attempt.how == "unknown":
            return self._end(attempt, "unknown", Record(), now_us)
        attempt.begin(ACCEPTING, ballot)
        attempt.next = self._next_ballot()
        return self._send(attempt, now_us)

    def _on_looked(self, attempt: Attempt, sender: str, vote: Vote, now_us: int) -> list[Effect]:
        attempt.votes[sender] = vote
        record = attempt.agreed(self._need)
        if record is not None and record.fence != attempt.fence:
            return self._end(attempt, "found" if attempt.fence == READ else "differs", record, now_us)
        if record is not None or len(attempt.votes) == len(self._keepers):
            return self._prepare(attempt, now_us)
        if len(attempt.votes) >= self._need:
            attempt.due_us = min(attempt.due_us, now_us + SETTLE_US)
        return []

    def _on_accepted(self, attempt: Attempt, now_us: int) -> list[Effect]:
        if not attempt.accepted(self._need):
            return []
        if attempt.granted(self._need):
            self._granted[attempt.key] = attempt.next, attempt.record
            if len(self._granted) > MAX_GRANTED_BALLOTS:
                self._granted.popitem(last=False)
        return self._end(attempt, attempt.how, attempt.record, now_us)

    def _on_outbid(self, attempt: Attempt, now_us: int) -> list[Effect]:
        if len(attempt.outbid) > len(self._keepers) - self._need:
            return self._back_off(attempt, now_us)
        attempt.due_us = min(attempt.due_us, now_us + SETTLE_US)
        return []

    def _back_off(self, attempt: Attempt, now_us: int) -> list[Effect]:
        # Prevents two proposers from outbidding each other for ever: each waits a random time, longer each time.
        attempt.step = WAITING
        attempt.due_us = now_us + 1 + self._rng.randrange(BACKOFF_US << min(attempt.tries, MAX_BACKOFF_DOUBLINGS))
        # Prevents a proposer whose next ballot is always granted in advance from staying ahead: the next try is well
        # above that ballot.
        skipped = SKIPPED_BALLOTS << min(attempt.tries, MAX_SKIP_DOUBLINGS)
        self._counter = min(self._counter + skipped, MAX_COUNTER - 1)
        attempt.tries += 1
        return []

    def _continue(self, attempt: Attempt, now_us: int) -> list[Effect]:
        if attempt.outbid and attempt.step != WAITING:
            return self._back_off(attempt, now_us)
        if attempt.step == WAITING and attempt.tries > 1 and not attempt.offered:
            # Where many attempt the same change, prevents each from outbidding the one that can still succeed.
            return self._look(attempt, now_us)
        if attempt.step == WAITING or (attempt.step == LOOKING and len(attempt.votes) >= self._need):
            return self._prepare(attempt, now_us)
        return self._send(attempt, now_us, again=True)

    def _send(self, attempt: Attempt, now_us: int, again: bool = False) -> list[Effect]:
        attempt.pause_us = min(2 * attempt.pause_us, MAX_RESEND_US) if again else RESEND_US
        attempt.due_us = now_us + attempt.pause_us
        message: Message = Look(attempt.key, attempt.ballot)
        if attempt.step == PREPARING:
            message = Prepare(attempt.key, attempt.ballot)
        elif attempt.step == ACCEPTING:
            message = Accept(attempt.key, attempt.ballot, attempt.record, attempt.next)
        return [Tell(keeper, message) for keeper in self._keepers if keeper not in attempt.votes]

    def _end(self, attempt: Attempt, how: str, record: Record, now_us: int) -> list[Effect]:
        effects: list[Effect] = [_answer(attempt, how, record)]
        queue = self._queues[attempt.key]
        queue.popleft()
        while queue and now_us >= queue[0].ends_us:
            effects.append(_answer(queue.popleft(), "unknown", Record()))
        if not queue:
            del self._queues[attempt.key]
            return effects
        return effects + self._start(queue[0], now_us)

    def _next_ballot(self) -> Ballot:
        ballot = next_ballot(self._counter, self._node, self._incarnation)
        self._counter = ballot.counter
        return ballot

    def _update_due(self, effects: list[Effect]) -> list[Effect]:
        """Update `due_us` after these effects, and return them."""
        firsts = (queue[0] for queue in self._queues.values())
        self.due_us = min((min(first.due_us, first.ends_us) for first in firsts), default=NEVER_US)
        return effects


def _answer(attempt: Attempt, how: str, record: Record) -> Answer:
    return Answer(attempt.ask, attempt.key, how, record.fence, record.value, attempt.asked_us)
