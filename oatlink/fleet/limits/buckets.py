"""A token bucket in whole numbers. No I/O, no clock.

Why these buckets bound the rate of a whole fleet: tokens are created only by the passing of time, at the rate of a
bucket. A new bucket is empty, a bucket that grows keeps its level, and one that shrinks is cut to its burst. A level
never exceeds the burst. So at the beginning of a window the existing buckets contain at most the sum of their bursts,
and what is added during the window is at most the integral of the sum of their rates. If at every moment the sums over
all live buckets are within (rate, burst), all of them together admit in any window W at most

    burst + rate x W

each by its own clock, so `x (1 + drift)` by a true clock. Buckets that begin or end within the window do not change
this.
"""

from dataclasses import dataclass

from oatlink.fleet.limits.allowance import REQUEST_UNITS
from oatlink.fleet.messages import NEVER_US

SECOND_US = 1_000_000


@dataclass(slots=True)
class Bucket:
    """A bucket that was last refilled at `at_us`.

    `rate` is in millionths of a request per second, `burst` and `level` are in millionths of a request, and `rest` is
    the remainder of the last refill in millionths of these.
    """

    rate: int
    burst: int
    at_us: int
    level: int = 0
    rest: int = 0

    def refill(self, now_us: int) -> int:
        """Add the tokens of the time that has passed, and return the level. A clock that goes back adds nothing."""
        passed_us = now_us - self.at_us
        if passed_us > 0:
            self.at_us = now_us
            added, self.rest = divmod(self.rate * passed_us + self.rest, SECOND_US)
            self.level += added
            if self.level >= self.burst:
                self.level, self.rest = self.burst, 0
        return self.level

    def take(self, cost: int, now_us: int) -> bool:
        """Take `cost` requests, or nothing at all. Returns whether they were taken."""
        need = max(0, cost) * REQUEST_UNITS
        if need > self.refill(now_us):
            return False
        self.level -= need
        return True

    def wait_us(self, cost: int, now_us: int) -> int:
        """Return the time until `cost` requests could be taken, `NEVER_US` if the bucket can never hold so many."""
        need = max(0, cost) * REQUEST_UNITS
        missing = need - self.refill(now_us)
        if missing <= 0:
            return 0
        if need > self.burst or self.rate <= 0:
            return NEVER_US
        return -((self.rest - missing * SECOND_US) // self.rate)

    def set_limits(self, rate: int, burst: int, now_us: int) -> None:
        """Change rate and burst from now on. The old rate counts until now; the level is kept, cut to the burst."""
        self.refill(now_us)
        self.rate, self.burst = max(0, rate), max(0, burst)
        if self.level >= self.burst:
            self.level, self.rest = self.burst, 0
