"""One lease as one node holds it, wants it or watches it: a term without a common clock. No I/O.

What may live here: when to read, take, renew and give back, and until when the lease is surely here. When another's is
over is `observer`'s.

- The term counts from **before** a change was asked for, and only by a change that is certain. One that ended `unknown`
  prolongs nothing, unless the register is later seen to hold it (by its `turn`): then it counts from before it was
  asked for, like any other.
- It is renewed after a third of the term. Renewed after it had ended, it is a new holding with a new fence.
- Each change is conditional on the fence last seen, so of two that find it over one gets it.
- A release ends the holding here before it is asked for, and from then on no earlier change counts, even if it is seen:
  the release may come after it.
- The own lease of an incarnation before is another's: that process may still be at work.
- Candidates wait `RANK_US` a rank (`MAX_RANK_COUNT` at most), and a part of that more, drawn by chance.

`holds` must be asked at the moment of the act. What a stop between that and the act can do is the caller's: `fence`
grows with each holding, so that whoever is acted upon may tell an old one.
"""

from random import Random

import msgspec

from oatlink.fleet.leases.observer import Lease, Observer
from oatlink.fleet.messages import NEVER_US, Answer, Change, Effect, Note, Read

RANK_US = 250_000
MAX_RANK_COUNT = 8
NEAR_RANKS = 4  # these look three times a term, the others half as often: many may want one lease
MAX_BODY_BYTES = 7_168  # bytes
MAX_PENDING_TURNS = 8  # changes with an unknown end that are remembered
ANSWER_TIMEOUT_US = 10_000_000  # an answer is taken for lost after this time
RELEASE_ATTEMPTS = 3  # times that a release is tried


class Holder:
    """A lease in the register `key`. `wanting`: take it and keep it; `looking`: learn who has it; `body` goes with it.

    Set those three at any time and call `tick`. `term_us` is a length of this node's clock, `drift` by how much of its
    rate each clock may be wrong. The effects are `Read` and `Change` with ask numbers of this object's own.
    """

    def __init__(
        self, key: str, node: str, incarnation: int, term_us: int, drift: float, seed: int, rank: int = 0
    ) -> None:
        self.key, self.wanting, self.looking, self.body = key, False, False, b""
        self.fence = 0  # of the present holding or the last one
        self.until_us = 0  # end of the lease here, by this node's clock
        self.due_us = 0
        self._node, self._incarnation, self._term_us = node, incarnation, term_us
        self._observer = Observer(drift)
        self._rng = Random(f"{seed}/{key}/{node}")
        self._rank_us = min(rank, MAX_RANK_COUNT) * RANK_US
        self._look_every_us = term_us // 3 if rank < NEAR_RANKS else 2 * term_us // 3
        self._asks = 0
        self._waiting = 0  # the ask that has no answer yet, 0 without one
        self._waiting_us = 0
        self._turns: dict[int, int] = {}  # when changes that may still count were asked for
        self._releases = 0  # how often to try yet
        self._renew_us = 0
        self._try_us = NEVER_US
        self._look_us = 0
        self._over = False
        self._noted = False

    # ---- Questions ----

    def holds(self, now_us: int) -> bool:
        """Whether the lease is surely here. Ask at the moment of the act."""
        return now_us < self.until_us

    @property
    def seen(self) -> str:
        """The node last seen with the lease, empty where it is free or that was too long ago."""
        lease = self._observer.lease
        return "" if lease is None or lease.released or self._over else lease.node

    @property
    def seen_body(self) -> bytes:
        """What went with the lease last seen."""
        return self._observer.lease.body if self._observer.lease is not None else b""

    # ---- What happens ----

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed, or `wanting`, `looking` or `body` was set."""
        self._over = now_us >= self._observer.free_us and not self.holds(now_us)
        if self._waiting and now_us - self._waiting_us > ANSWER_TIMEOUT_US:
            self._waiting = 0
        effects = [] if self._waiting else self._act(now_us)
        self.due_us = self._next_us(now_us)
        return effects

    def release(self, now_us: int) -> list[Effect]:
        """Give the lease back, so that others need not wait for its end; it is not wanted any more."""
        self.wanting = False
        if self.until_us or self._turns:
            self.until_us = 0
            self._turns.clear()
            self._releases = RELEASE_ATTEMPTS
        return self.tick(now_us)

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """An `Answer` to an own `Read` or `Change`."""
        if answer.key != self.key or answer.ask != self._waiting:
            return []
        self._waiting = 0
        self._look_us = now_us + self._look_every_us
        if answer.how == "unknown":
            # Threat: a register out of reach, asked again without end at once.
            again_us = now_us + self._term_us // 20 + self._spread(self._term_us // 10)
            self._look_us, self._renew_us = again_us, max(self._renew_us, again_us)
            self._try_us = max(self._try_us, again_us)
        elif self._observer.saw(answer.fence, answer.value, now_us):
            self._try_us = self._observer.free_us + self._rank_us + self._spread(RANK_US // 2)
            self._learn(now_us)
        return self.tick(now_us)

    # ---- Decisions ----

    def _act(self, now_us: int) -> list[Effect]:
        if self.wanting or not self._own:
            self._releases = 0
        if self._releases:
            self._releases -= 1
            return self._change(now_us, released=True)
        if self.holds(now_us):
            return self._change(now_us) if self.wanting and now_us >= self._renew_us else []
        if self.wanting and now_us >= self._take_us:
            return self._change(now_us)
        if (self.wanting or self.looking) and now_us >= self._look_us:
            return [Read(self._asked(now_us), self.key)]
        return []

    def _next_us(self, now_us: int) -> int:
        if self._waiting:
            return self._waiting_us + ANSWER_TIMEOUT_US + 1
        if self.holds(now_us):
            return min(self.until_us, self._renew_us) if self.wanting else self.until_us
        due = NEVER_US if self._over else self._observer.free_us
        if self.wanting or self.looking:
            due = min(due, self._look_us)
        return min(due, self._take_us) if self.wanting else due

    @property
    def _take_us(self) -> int:
        """When the lease may be taken, as far as is known."""
        return min(self._try_us, self._renew_us) if self._own else self._try_us

    def _learn(self, now_us: int) -> None:
        """What the register's new version means for this node's own holding."""
        lease = self._observer.lease
        if lease is None or not self._own:
            # What was asked for before was conditional on an older fence: it can come to nothing more.
            self.until_us = self._releases = 0
            self._turns.clear()
            return
        asked_us = self._turns.get(lease.turn)
        if asked_us is None:
            return  # given back meanwhile
        if not self.holds(now_us):
            self.fence = self._observer.fence
        self._turns = {turn: us for turn, us in self._turns.items() if turn > lease.turn}
        self.until_us = max(self.until_us, asked_us + self._term_us)
        self._renew_us = asked_us + self._term_us // 3 - self._spread(self._term_us // 20)

    @property
    def _own(self) -> bool:
        """Whether the version last seen is this node's in this incarnation, and not given back."""
        lease = self._observer.lease
        if lease is None or lease.released:
            return False
        return (lease.node, lease.incarnation) == (self._node, self._incarnation)

    def _change(self, now_us: int, released: bool = False) -> list[Effect]:
        effects: list[Effect] = []
        body = self.body
        if len(body) > MAX_BODY_BYTES:
            body = b""
            if not self._noted:
                self._noted = True
                effects.append(
                    Note("lease_body_dropped", f"{self.key}: {len(self.body)} bytes, {MAX_BODY_BYTES} at most")
                )
        ask = self._asked(now_us)
        if not released:
            # The term counts from here: before anyone else can hear of it.
            self._turns[ask] = now_us
            if len(self._turns) > MAX_PENDING_TURNS:
                del self._turns[next(iter(self._turns))]
        lease = Lease(self._node, self._incarnation, ask, self._term_us, released, body)
        effects.append(Change(ask, self.key, self._observer.fence, msgspec.msgpack.encode(lease)))
        return effects

    def _asked(self, now_us: int) -> int:
        self._asks += 1
        self._waiting, self._waiting_us = self._asks, now_us
        return self._asks

    def _spread(self, most_us: int) -> int:
        return self._rng.randrange(max(1, most_us))
