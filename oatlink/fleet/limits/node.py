"""What one gateway may admit of each allowance, decided alone, from memory and at once. No I/O.

An allowance in use has two buckets: the floor's, which is always this node's, and the grant's, which dies at the
grant's end with all that is in it. Both begin empty, also after idleness and after a start (`buckets` has the proof
that needs it). A request is paid from the floor first: what the home reckons is what a node lacks beyond its floor.

- The first request after idleness finds empty buckets. For `PATIENCE_US` it is `GRANT_PENDING` where that may help: no
  grant is live yet, or one has and the buckets can pay before the patience ends. After that: admitted or refused.
- A refused request is told when the buckets could pay, and later by a drawn part of the time that all who were
  refused of late would need: they must not all come back in one instant.
- A request that costs more than the floor's and a whole pool's bucket can ever hold is told the longest time.
- Demand is what was asked, admitted or not, a second, weighted over about `MEAN_US`; those who come again count
  again, so what refusals add is capped at `MOST_DEMAND` times the allowance's rate and at `GROWTH` times what the
  node may serve: clients that hammer make a small demand look a little larger, and a real one grows by each answer.

What a stopped process can do: requests that were admitted before the stop go out after it. They were paid for then.
State is plain values; an allowance that is not in use for `IDLE_US` has none.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp

import xxhash

from oatlink.fleet.gate import ADMITTED, GRANT_PENDING, Granted
from oatlink.fleet.limits.allowance import ONE, Allowance, floor_of, pool_of
from oatlink.fleet.limits.buckets import SECOND_US, Bucket
from oatlink.fleet.limits.home import GRANT_TERM_US, MOST_DEMAND
from oatlink.fleet.messages import Demand

PATIENCE_US = 150_000
SHORTEST_US, LONGEST_US = 1_000, 5_000_000  # of a time to come back
IDLE_US = 10_000_000
MEAN_US = 250_000  # short enough that what has gone elsewhere is given up within a term
LEAST_SEEN_US = 100_000  # a demand is reckoned over at least so long
GROWTH = 3.0  # a demand is said to be at most so many times what the node may serve at present
LEAST_DEMAND = 1.0  # requests a second that an allowance in use is said to be asked for


@dataclass(slots=True)
class Use:
    """An allowance that is in use here."""

    floor: Bucket
    grant: Bucket
    opened_us: int
    asked_us: int
    until_us: int = 0
    serial: int = 0  # the newest grant's, 0 before one came
    asked: float = 0.0  # requests a second of late, as the next
    refused: float = 0.0


@dataclass(slots=True)
class Allowances:
    """One gateway's side of all allowances. `rules` by name is only looked up; `nodes` is how many share."""

    rules: Mapping[str, Allowance]
    nodes: int
    seed: int = 0
    active: dict[str, Use] = field(default_factory=dict)
    draws: int = 0
    swept_us: int = 0
    nothing: bool = False

    def admit(self, name: str, cost: int, now_us: int, again: bool = False) -> int:
        """`ADMITTED`, `GRANT_PENDING`, or in how many microseconds to come back. A name without a rule is not limited.

        `again`: it was `GRANT_PENDING`, so it is asked for already.
        """
        use = self.active.get(name) or self._open(name, now_us)
        if use is None:
            return ADMITTED
        if self.nothing:
            return self._spread(SHORTEST_US, LONGEST_US)
        passed = now_us - use.asked_us
        if passed > 0:
            if passed >= IDLE_US:
                use.opened_us = now_us
            kept = exp(-passed / MEAN_US)
            use.asked *= kept
            use.refused *= kept
            use.asked_us = now_us
        need = max(0, cost) * ONE
        count = 0.0 if again else need * SECOND_US / (ONE * MEAN_US)
        use.asked += count
        level = use.floor.settle(now_us)
        granted = use.grant.settle(now_us) if now_us < use.until_us else 0
        if need <= level + granted:
            paid = min(need, level)
            use.floor.level -= paid
            use.grant.level -= need - paid
            return ADMITTED
        return self._not_now(name, use, need, need - level - granted, count, now_us)

    def _not_now(self, name: str, use: Use, need: int, lacking: int, count: float, now_us: int) -> int:
        rate, burst = use.floor.rate, use.floor.burst
        if need > burst + pool_of(self.rules[name], self.nodes)[1]:
            use.asked -= count  # no grant would help: nothing is asked of the home for it
            return LONGEST_US
        live = now_us < use.until_us
        if live:
            rate, burst = rate + use.grant.rate, burst + use.grant.burst
        if rate > 0 and need <= burst:
            wait_us = lacking * SECOND_US // rate + 1
        else:  # a grant may come at any time where there is none
            wait_us = LONGEST_US // 2 if live else GRANT_TERM_US
        if now_us < use.opened_us + PATIENCE_US and (not live or now_us + wait_us <= use.opened_us + PATIENCE_US):
            return GRANT_PENDING
        use.refused += count
        most = self._most(name, use, now_us)
        use.asked, use.refused = min(use.asked, most), min(use.refused, most)
        behind_us = use.refused * MEAN_US * ONE / rate if rate > 0 else wait_us
        return self._spread(wait_us, behind_us)

    def _spread(self, wait_us: int, behind_us: float) -> int:
        self.draws += 1
        drawn = xxhash.xxh64_intdigest(self.draws.to_bytes(8, "little"), seed=self.seed & (2**64 - 1)) / 2**64
        back_us = wait_us + int(drawn * min(behind_us, LONGEST_US))
        if back_us > LONGEST_US:
            back_us = LONGEST_US - int(drawn * LONGEST_US / 4)
        return max(SHORTEST_US, back_us)

    def demands(self, now_us: int) -> tuple[Demand, ...]:
        """What was asked of each allowance in use, in requests a second; changes nothing."""
        return tuple(
            Demand(name, self._demand(name, use, now_us), use.serial)
            for name, use in self.active.items()
            if now_us - use.asked_us < IDLE_US
        )

    def _demand(self, name: str, use: Use, now_us: int) -> float:
        # Before a whole mean's time has passed, what was asked in that time stands for what is asked.
        seen_us = max(LEAST_SEEN_US, now_us - use.opened_us)
        asked = use.asked * exp(-max(0, now_us - use.asked_us) / MEAN_US) / (1 - exp(-seen_us / MEAN_US))
        return min(max(asked, LEAST_DEMAND), self._most(name, use, now_us))

    def _most(self, name: str, use: Use, now_us: int) -> float:
        most = MOST_DEMAND * self.rules[name][0]
        if use.grant.rate and now_us < use.until_us:
            most = min(most, max(LEAST_DEMAND, GROWTH * (use.floor.rate + use.grant.rate) / ONE))
        return most

    def hear(self, news: Granted, now_us: int) -> None:
        """A grant. Before the end of the one before it the level is kept, afterwards the bucket is a new one.

        The same serial again can only take away: that is how a grant ends early.
        """
        use = self.active.get(news.name)
        if use is None or self.nothing or news.serial < use.serial or news.until_us <= now_us:
            return
        rate, burst, until_us = round(news.rate * ONE), round(news.burst * ONE), news.until_us
        if news.serial == use.serial:
            rate, burst = min(rate, use.grant.rate), min(burst, use.grant.burst)
            until_us = min(until_us, use.until_us)
        if now_us < use.until_us:
            use.grant.set(rate, burst, now_us)
        else:
            use.grant = Bucket(rate, burst, now_us)
        use.until_us, use.serial = until_us, news.serial

    def alone(self) -> None:
        """Nothing is this node's any more, not even floors; what comes is refused until the process starts again."""
        self.nothing = True
        self.active.clear()

    def _open(self, name: str, now_us: int) -> Use | None:
        rule = self.rules.get(name)
        if rule is None:
            return None
        if now_us - self.swept_us >= IDLE_US:
            self.swept_us = now_us
            for old in [old for old, use in self.active.items() if now_us - use.asked_us >= IDLE_US]:
                del self.active[old]
        rate, burst = floor_of(rule, self.nodes)
        use = Use(Bucket(rate, burst, now_us), Bucket(0, 0, now_us), now_us, now_us)
        if not self.nothing:
            self.active[name] = use
        return use
