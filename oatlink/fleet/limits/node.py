"""What one gateway may admit of each allowance, decided by this gateway alone, from memory and at once. No I/O.

An allowance in use has two buckets: that of the floor, which always belongs to this node, and that of the grant, which
is discarded with its content when the grant ends. Both begin empty, also after an idle period and after a start (the
proof in `buckets` needs that). A request is paid from the floor first, as the coordinator divides what the nodes need
beyond their floors.

- The first request after an idle period finds empty buckets. For `PATIENCE_US` it is `GRANT_PENDING` where waiting may
  help: no grant is live yet, or one is live and the buckets can pay before the patience ends. After that the request is
  admitted or refused.
- A refused request gets the time until the buckets could pay, plus a random part of the time that all recently refused
  requests need together, so that they are not all repeated at the same moment.
- A request whose cost exceeds what the buckets of the floor and of a whole pool can ever hold gets the longest time.
- Demand is what was asked for per second, admitted or not, as an average over about `AVERAGING_US`. Repeated requests
  count again, so the demand is capped at `MAX_DEMAND_FACTOR` times the rate of the allowance and at `MAX_GROWTH_FACTOR`
  times what the node may serve at present: clients that retry in a tight loop make a small demand look only a little
  larger, and a real demand grows with each answer.

Requests that were admitted before a process was stopped are sent after it continues. They were paid for when they were
admitted. The state consists of plain values. An allowance that was not in use for `IDLE_US` has none.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp

import xxhash

from oatlink.fleet.gate import ADMITTED, GRANT_PENDING, Granted
from oatlink.fleet.limits.allowance import REQUEST_UNITS, Allowance, floor_of, pool_of
from oatlink.fleet.limits.buckets import SECOND_US, Bucket
from oatlink.fleet.limits.coordinator import GRANT_TERM_US, MAX_DEMAND_FACTOR
from oatlink.fleet.messages import Demand

PATIENCE_US = 150_000
MIN_RETRY_US, MAX_RETRY_US = 1_000, 5_000_000  # bounds of the time after which a refused request may be repeated
IDLE_US = 10_000_000
AVERAGING_US = 250_000  # short enough that a node gives up, within a term, what has moved to another node
MIN_OBSERVED_US = 100_000  # a demand is averaged over at least this time
MAX_GROWTH_FACTOR = 3.0  # the reported demand is at most this many times what the node may serve at present
MIN_DEMAND_PER_S = 1.0  # reported for every allowance in use


@dataclass(slots=True)
class AllowanceState:
    """An allowance that is in use at this node."""

    floor: Bucket
    grant: Bucket
    opened_us: int
    asked_us: int
    until_us: int = 0
    serial: int = 0  # of the newest grant, 0 before the first
    asked: float = 0.0  # recent requests per second
    refused: float = 0.0  # recent refusals per second


@dataclass(slots=True)
class Allowances:
    """One gateway's side of all allowances. `rules` by name are only looked up; `nodes` is how many share them."""

    rules: Mapping[str, Allowance]
    nodes: int
    seed: int = 0
    active: dict[str, AllowanceState] = field(default_factory=dict)
    draws: int = 0
    swept_us: int = 0
    is_suspended: bool = False  # nothing may be admitted, not even from floors

    def admit(self, name: str, cost: int, now_us: int, again: bool = False) -> int:
        """Return `ADMITTED`, `GRANT_PENDING`, or the microseconds after which to repeat the request.

        A name without a rule is not limited. `again`: the request was `GRANT_PENDING` before, so the demand contains it
        already.
        """
        state = self.active.get(name) or self._open(name, now_us)
        if state is None:
            return ADMITTED
        if self.is_suspended:
            return self._retry_us(MIN_RETRY_US, MAX_RETRY_US)
        passed_us = now_us - state.asked_us
        if passed_us > 0:
            if passed_us >= IDLE_US:
                state.opened_us = now_us
            decay = exp(-passed_us / AVERAGING_US)
            state.asked *= decay
            state.refused *= decay
            state.asked_us = now_us
        need = max(0, cost) * REQUEST_UNITS
        per_s = 0.0 if again else need * SECOND_US / (REQUEST_UNITS * AVERAGING_US)
        state.asked += per_s
        level = state.floor.refill(now_us)
        granted = state.grant.refill(now_us) if now_us < state.until_us else 0
        if need <= level + granted:
            paid = min(need, level)
            state.floor.level -= paid
            state.grant.level -= need - paid
            return ADMITTED
        return self._hold_or_refuse(name, state, need, need - level - granted, per_s, now_us)

    def _hold_or_refuse(
        self, name: str, state: AllowanceState, need: int, missing: int, per_s: float, now_us: int
    ) -> int:
        rate, burst = state.floor.rate, state.floor.burst
        if need > burst + pool_of(self.rules[name], self.nodes)[1]:
            state.asked -= per_s  # no grant could serve it, so it is not part of the demand
            return MAX_RETRY_US
        is_live = now_us < state.until_us
        if is_live:
            rate, burst = rate + state.grant.rate, burst + state.grant.burst
        if rate > 0 and need <= burst:
            wait_us = missing * SECOND_US // rate + 1
        else:  # without a live grant, one may arrive at any time
            wait_us = MAX_RETRY_US // 2 if is_live else GRANT_TERM_US
        patience_end_us = state.opened_us + PATIENCE_US
        if now_us < patience_end_us and (not is_live or now_us + wait_us <= patience_end_us):
            return GRANT_PENDING
        state.refused += per_s
        max_demand = self._max_demand(name, state, now_us)
        state.asked, state.refused = min(state.asked, max_demand), min(state.refused, max_demand)
        spread_us = state.refused * AVERAGING_US * REQUEST_UNITS / rate if rate > 0 else wait_us
        return self._retry_us(wait_us, spread_us)

    def _retry_us(self, wait_us: int, spread_us: float) -> int:
        self.draws += 1
        drawn = xxhash.xxh64_intdigest(self.draws.to_bytes(8, "little"), seed=self.seed & (2**64 - 1)) / 2**64
        back_us = wait_us + int(drawn * min(spread_us, MAX_RETRY_US))
        if back_us > MAX_RETRY_US:
            back_us = MAX_RETRY_US - int(drawn * MAX_RETRY_US / 4)
        return max(MIN_RETRY_US, back_us)

    def demands(self, now_us: int) -> tuple[Demand, ...]:
        """Return the demand on each allowance in use, in requests per second; changes nothing."""
        return tuple(
            Demand(name, self._demand(name, state, now_us), state.serial)
            for name, state in self.active.items()
            if now_us - state.asked_us < IDLE_US
        )

    def _demand(self, name: str, state: AllowanceState, now_us: int) -> float:
        # Until a whole averaging period has passed, the sum is divided by the part of the period that was observed.
        observed_us = max(MIN_OBSERVED_US, now_us - state.opened_us)
        decay = exp(-max(0, now_us - state.asked_us) / AVERAGING_US)
        asked = state.asked * decay / (1 - exp(-observed_us / AVERAGING_US))
        return min(max(asked, MIN_DEMAND_PER_S), self._max_demand(name, state, now_us))

    def _max_demand(self, name: str, state: AllowanceState, now_us: int) -> float:
        max_demand = MAX_DEMAND_FACTOR * self.rules[name][0]
        if state.grant.rate and now_us < state.until_us:
            served = MAX_GROWTH_FACTOR * (state.floor.rate + state.grant.rate) / REQUEST_UNITS
            max_demand = min(max_demand, max(MIN_DEMAND_PER_S, served))
        return max_demand

    def hear(self, news: Granted, now_us: int) -> None:
        """Apply a grant. Before the previous one has ended the level is kept; afterwards the bucket is new and empty.

        The same serial again can only reduce the grant, which is how a grant is ended early.
        """
        state = self.active.get(news.name)
        if state is None or self.is_suspended or news.serial < state.serial or news.until_us <= now_us:
            return
        rate, burst, until_us = round(news.rate * REQUEST_UNITS), round(news.burst * REQUEST_UNITS), news.until_us
        if news.serial == state.serial:
            rate, burst = min(rate, state.grant.rate), min(burst, state.grant.burst)
            until_us = min(until_us, state.until_us)
        if now_us < state.until_us:
            state.grant.set_limits(rate, burst, now_us)
        else:
            state.grant = Bucket(rate, burst, now_us)
        state.until_us, state.serial = until_us, news.serial

    def alone(self) -> None:
        """Give up everything, floors included; each request is refused until the process starts again."""
        self.is_suspended = True
        self.active.clear()

    def _open(self, name: str, now_us: int) -> AllowanceState | None:
        rule = self.rules.get(name)
        if rule is None:
            return None
        if now_us - self.swept_us >= IDLE_US:
            self.swept_us = now_us
            for idle in [other for other, state in self.active.items() if now_us - state.asked_us >= IDLE_US]:
                del self.active[idle]
        rate, burst = floor_of(rule, self.nodes)
        state = AllowanceState(Bucket(rate, burst, now_us), Bucket(0, 0, now_us), now_us, now_us)
        if not self.is_suspended:
            self.active[name] = state
        return state
