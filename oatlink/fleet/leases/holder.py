"""One lease that a node holds, wants or observes, with a term that needs no common clock. No I/O.

This module decides when to read, take, renew and release a lease, and until when this node certainly holds it. When the
lease of another node has ended is decided by `observer`.

- The term counts from **before** the change of the register was requested, and only once that change is certain. A
  change that ended `unknown` does not extend the lease, unless the register is later seen to contain it (by its
  `turn`): then it counts from before it was requested, like any other.
- A lease is renewed after a third of its term. If it is renewed after its end, the node holds it anew, with a new
  fence.
- Each change is conditional on the fence last seen, so that only one of two nodes that find the lease free gets it.
- A release ends the holding here before it is requested. From then on no earlier change counts, even if it is seen,
  because the release may come after it.
- The lease of an earlier incarnation of this node counts as another node's: that process may still be at work.
- Candidates wait `RANK_US` for each rank (up to `MAX_RANK_COUNT`), and a random part of that on top.

`holds` must be checked at the moment of acting. The caller must cope with a pause of the process between the check and
the action: `fence` grows with each holding, so that the target of the action can reject an older holder.
"""

from random import Random

import msgspec

from oatlink.fleet.leases.observer import Lease, Observer
from oatlink.fleet.messages import NEVER_US, Answer, Change, Effect, Note, Read

RANK_US = 250_000
MAX_RANK_COUNT = 8
FREQUENT_RANKS = 4  # these read three times per term, the others half as often, as many nodes may want one lease
MAX_BODY_BYTES = 7_168
MAX_PENDING_TURNS = 8  # changes with an unknown result that are remembered
ANSWER_TIMEOUT_US = 10_000_000  # after this time an answer counts as lost
RELEASE_ATTEMPTS = 3


class Holder:
    """A lease in the register `key`.

    `wanting`: take the lease and keep it; `looking`: learn which node has it; `body` is stored with it. Set these three
    at any time and call `tick`. `term_us` is a length by this node's clock, `drift` the maximum error of each clock's
    rate. The effects are `Read` and `Change` with request numbers of this object.
    """

    def __init__(
        self, key: str, node: str, incarnation: int, term_us: int, drift: float, seed: int, rank: int = 0
    ) -> None:
        self.key, self.wanting, self.looking, self.body = key, False, False, b""
        self.fence = 0  # of the present holding or the last one
        self.until_us = 0  # end of the lease at this node, by its clock
        self.due_us = 0
        self._node, self._incarnation, self._term_us = node, incarnation, term_us
        self._observer = Observer(drift)
        self._rng = Random(f"{seed}/{key}/{node}")
        self._rank_us = min(rank, MAX_RANK_COUNT) * RANK_US
        self._look_interval_us = term_us // 3 if rank < FREQUENT_RANKS else 2 * term_us // 3
        self._last_ask = 0
        self._pending_ask = 0  # number of the request that has no answer yet, 0 without one
        self._asked_us = 0  # when that request was made
        self._turns: dict[int, int] = {}  # by turn: when a change that may still count was requested
        self._releases_left = 0
        self._renew_us = 0
        self._take_over_us = NEVER_US
        self._look_us = 0
        self._is_over = False
        self._has_logged_body = False

    # ---- State ----

    def holds(self, now_us: int) -> bool:
        """Whether this node certainly holds the lease. Check at the moment of acting."""
        return now_us < self.until_us

    @property
    def seen(self) -> str:
        """The node last seen with the lease, empty if the lease is free or that was too long ago."""
        lease = self._observer.lease
        return "" if lease is None or lease.released or self._is_over else lease.node

    @property
    def seen_body(self) -> bytes:
        """The body of the lease last seen."""
        return self._observer.lease.body if self._observer.lease is not None else b""

    # ---- Events ----

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed, or `wanting`, `looking` or `body` was set."""
        self._is_over = now_us >= self._observer.free_us and not self.holds(now_us)
        if self._pending_ask and now_us - self._asked_us > ANSWER_TIMEOUT_US:
            self._pending_ask = 0
        effects = [] if self._pending_ask else self._act(now_us)
        self.due_us = self._next_us(now_us)
        return effects

    def release(self, now_us: int) -> list[Effect]:
        """Release the lease, so that other nodes need not wait for its end; it is not wanted any more."""
        self.wanting = False
        if self.until_us or self._turns:
            self.until_us = 0
            self._turns.clear()
            self._releases_left = RELEASE_ATTEMPTS
        return self.tick(now_us)

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """Take the `Answer` to a `Read` or `Change` of this object."""
        if answer.key != self.key or answer.ask != self._pending_ask:
            return []
        self._pending_ask = 0
        self._look_us = now_us + self._look_interval_us
        if answer.how == "unknown":
            # Prevents a busy loop of requests while the register cannot be reached.
            again_us = now_us + self._term_us // 20 + self._random_us(self._term_us // 10)
            self._look_us, self._renew_us = again_us, max(self._renew_us, again_us)
            self._take_over_us = max(self._take_over_us, again_us)
        elif self._observer.observe(answer.fence, answer.value, now_us):
            self._take_over_us = self._observer.free_us + self._rank_us + self._random_us(RANK_US // 2)
            self._learn(now_us)
        return self.tick(now_us)

    # ---- Decisions ----

    def _act(self, now_us: int) -> list[Effect]:
        if self.wanting or not self._is_own:
            self._releases_left = 0
        if self._releases_left:
            self._releases_left -= 1
            return self._change(now_us, released=True)
        if self.holds(now_us):
            return self._change(now_us) if self.wanting and now_us >= self._renew_us else []
        if self.wanting and now_us >= self._take_us:
            return self._change(now_us)
        if (self.wanting or self.looking) and now_us >= self._look_us:
            return [Read(self._next_ask(now_us), self.key)]
        return []

    def _next_us(self, now_us: int) -> int:
        if self._pending_ask:
            return self._asked_us + ANSWER_TIMEOUT_US + 1
        if self.holds(now_us):
            return min(self.until_us, self._renew_us) if self.wanting else self.until_us
        due = NEVER_US if self._is_over else self._observer.free_us
        if self.wanting or self.looking:
            due = min(due, self._look_us)
        return min(due, self._take_us) if self.wanting else due

    @property
    def _take_us(self) -> int:
        """When the lease may be taken, as far as is known."""
        return min(self._take_over_us, self._renew_us) if self._is_own else self._take_over_us

    def _learn(self, now_us: int) -> None:
        """Update this node's own holding by the register's new version."""
        lease = self._observer.lease
        if lease is None or not self._is_own:
            # Changes requested before were conditional on an older fence, so they cannot succeed any more.
            self.until_us = self._releases_left = 0
            self._turns.clear()
            return
        asked_us = self._turns.get(lease.turn)
        if asked_us is None:
            return  # released meanwhile
        if not self.holds(now_us):
            self.fence = self._observer.fence
        self._turns = {turn: us for turn, us in self._turns.items() if turn > lease.turn}
        self.until_us = max(self.until_us, asked_us + self._term_us)
        self._renew_us = asked_us + self._term_us // 3 - self._random_us(self._term_us // 20)

    @property
    def _is_own(self) -> bool:
        """Whether the version last seen is that of this node in this incarnation, and not released."""
        lease = self._observer.lease
        if lease is None or lease.released:
            return False
        return (lease.node, lease.incarnation) == (self._node, self._incarnation)

    def _change(self, now_us: int, released: bool = False) -> list[Effect]:
        effects: list[Effect] = []
        body = self.body
        if len(body) > MAX_BODY_BYTES:
            body = b""
            if not self._has_logged_body:
                self._has_logged_body = True
                text = f"{self.key}: {len(self.body)} bytes, {MAX_BODY_BYTES} at most"
                effects.append(Note("lease_body_dropped", text))
        ask = self._next_ask(now_us)
        if not released:
            # The term counts from here, before any other node can learn of it.
            self._turns[ask] = now_us
            if len(self._turns) > MAX_PENDING_TURNS:
                del self._turns[next(iter(self._turns))]
        lease = Lease(self._node, self._incarnation, ask, self._term_us, released, body)
        effects.append(Change(ask, self.key, self._observer.fence, msgspec.msgpack.encode(lease)))
        return effects

    def _next_ask(self, now_us: int) -> int:
        self._last_ask += 1
        self._pending_ask, self._asked_us = self._last_ask, now_us
        return self._last_ask

    def _random_us(self, max_us: int) -> int:
        return self._rng.randrange(max(1, max_us))
