"""A token bucket in whole numbers. No I/O, no clock.

Why buckets that keep to this file bound a whole fleet. Tokens come into being by time passing at a bucket's rate and
in no other way: a new bucket is empty, one that grows keeps its level, one that shrinks is cut. A level never exceeds
the bucket's burst. So whatever buckets there are at the beginning of a window hold at most the sum of their bursts,
and what is added during the window is at most the integral of the sum of their rates. If at every moment the sums
over all live buckets are within (rate, burst), then in any window W all of them together admit at most

    burst + rate x W

each by its own clock, so `x (1 + drift)` by a true one. Buckets that begin or end within the window change nothing.
"""

from dataclasses import dataclass

from oatlink.fleet.limits.allowance import REQUEST_UNITS
from oatlink.fleet.messages import NEVER_US

SECOND_US = 1_000_000


@dataclass(slots=True)
class Bucket:
    """`rate` millionths of a request a second, `burst` and `level` millionths; `rest` millionths of one of those."""

    rate: int
    burst: int
    at_us: int
    level: int = 0
    rest: int = 0

    def settle(self, now_us: int) -> int:
        """Add what time has brought, and return the level. A clock that goes back brings nothing."""
        passed = now_us - self.at_us
        if passed > 0:
            self.at_us = now_us
            whole, self.rest = divmod(self.rate * passed + self.rest, SECOND_US)
            self.level += whole
            if self.level >= self.burst:
                self.level, self.rest = self.burst, 0
        return self.level

    def take(self, cost: int, now_us: int) -> bool:
        """Take `cost` requests, or nothing at all."""
        need = max(0, cost) * REQUEST_UNITS
        if need > self.settle(now_us):
            return False
        self.level -= need
        return True

    def wait_us(self, cost: int, now_us: int) -> int:
        """In how many microseconds `cost` requests could be taken; `NEVER_US` where it can never hold so much."""
        need = max(0, cost) * REQUEST_UNITS
        lacking = need - self.settle(now_us)
        if lacking <= 0:
            return 0
        if need > self.burst or self.rate <= 0:
            return NEVER_US
        return -((self.rest - lacking * SECOND_US) // self.rate)

    def set(self, rate: int, burst: int, now_us: int) -> None:
        """From now on another rate and burst. Until now the old rate counts; the level is kept, cut to the burst."""
        self.settle(now_us)
        self.rate, self.burst = max(0, rate), max(0, burst)
        if self.level >= self.burst:
            self.level, self.rest = self.burst, 0
