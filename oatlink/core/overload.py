"""Admission control for the gateway process: which commands are refused under overload, and when to retry. No I/O.

The signal is how long commands have waited for this process when it handles them (`late_us`): a standing queue in front
of the gateway itself, whatever its cause. Overload of the boxes is handled by the Router and is not visible here.

- The limited quantity is the number of requests that are open or wait to be handled. While commands wait longer than
  `TARGET_SHARE` of the shortest aim, the limit is lowered in proportion, at most once per length of the queue; while
  they do not and the limit is reached, it grows. A limit keeps the process busy. Refusing a random share would let it
  run dry, because refused clients stay away for a while and a queue is noticed late.
- The limit is never lower than what one client may have open. This prevents refusals on a machine that is slow for
  everyone, where a single client's own pipeline is the whole queue: such a client is not read further until it is
  answered, which is all that is needed.
- Below the limit every command is admitted. Near it, classes of lower worth are refused earlier, and a party (a user,
  or a connection of its own) that has used more than `FLOOD_FACTOR` times the parties' average is refused first.
- Commands whose time is up are refused whatever their worth.
- A refusal names a randomized time to retry. That time grows while many commands are refused, and shrinks while fewer
  requests are open than the limit permits. The gateway does not read from the connection meanwhile, for a quarter of
  the shortest aim, doubled with each refusal up to half of the shortest deadline: a client that ignores the time must
  not cost much more than one that obeys it. A command that is refused because it waited too long pauses no connection.
  Otherwise, on a connection that many clients share, the pause after each command would make the next one too late.

A party that was not seen for `WINDOW_US` has no weight, and after a flood the limit grows until it is not reached any
more. The work per command is O(1), amortized over the parties that have gone.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from oatlink.core.draws import seeded_fraction
from oatlink.settings.model import RequestClass

UPDATE_INTERVAL_US = 50_000  # how often the limit is updated
WINDOW_US = 1_000_000  # how long a party counts as present
TARGET_SHARE = 0.15  # the targeted wait, as a share of the shortest aim
MAX_LIMIT = 1_000_000  # open requests; at this value nothing is limited
MIN_RETRY_US, MAX_RETRY_US = 50_000, 6_000_000  # bounds of the mean time to retry
FLOOD_FACTOR = 2.0  # a party floods above this multiple of the parties' average
FLOODING_SHARE, LESSER_SHARE = 0.5, 0.9  # shares of the limit for a flooding party, and for worth below the mean


@dataclass(slots=True)
class Admission:
    """Admission control of one gateway."""

    seed: int
    target_us: float
    min_limit: int  # what one client may have open
    limit: float = MAX_LIMIT
    retry_after_us: float = 200_000.0  # the mean of the times named in refusals
    mean_worth: float = 1.0  # of the commands that arrive, smoothed
    draw_count: int = 0
    updated_us: int = 0
    next_decrease_us: int = 0  # the limit is not lowered before this time
    late_intervals: int = 0  # consecutive update intervals in which commands were late
    late_sum_us: int = 0  # this and the next three: since the last update
    peak_open: int = 0
    admitted: int = 0
    refused: int = 0
    parties: OrderedDict[str, tuple[int, float]] = field(default_factory=OrderedDict)  # when last seen, decayed usage
    total_usage: float = 0.0  # of all parties that are present

    def admit(
        self, now_us: int, late_us: int, rule: RequestClass, party: str, open_now: int, waited_us: int = 0
    ) -> int:
        """0 to admit a command, otherwise the number of microseconds after which to retry.

        `late_us` is how long it has waited for this process; `waited_us` how long in all, if that is longer.
        """
        if now_us - self.updated_us >= UPDATE_INTERVAL_US:
            self._update(now_us)
        self.late_sum_us += late_us
        self.peak_open = max(self.peak_open, open_now)
        is_limited = self.limit < MAX_LIMIT
        waited_us = max(late_us, waited_us)
        if is_limited or waited_us > self.target_us:
            self.mean_worth += 0.02 * (rule.worth - self.mean_worth)
            # A command that has hardly waited shows that there is no queue. Checking this prevents the limit from
            # refusing commands after its flood has ended.
            has_queue = late_us > self.target_us / 4 and open_now >= FLOODING_SHARE * self.limit
            if is_too_late(waited_us, rule) or (has_queue and open_now >= self._limit_of(now_us, rule, party)):
                self.refused += 1
                self.draw_count += 1
                return round(self.retry_after_us * (0.5 + seeded_fraction(self.draw_count, self.seed)))
        self.admitted += 1
        self._charge(now_us, party)
        return 0

    def _update(self, now_us: int) -> None:
        """Set the limit by how long commands have waited since the last update, and the retry time by the load."""
        intervals = min((now_us - self.updated_us) / UPDATE_INTERVAL_US, 100.0)
        count = self.admitted + self.refused
        mean_late_us = self.late_sum_us / count if count else 0.0
        # A process that stood still for a moment sees the commands that arrived meanwhile as one late interval, which
        # is not a queue.
        self.late_intervals = self.late_intervals + 1 if mean_late_us > self.target_us else 0
        if mean_late_us > self.target_us:
            if now_us >= self.next_decrease_us and self.late_intervals > 1:
                factor = max(0.3, self.target_us / mean_late_us)
                self.limit = max(self.min_limit, min(self.limit, self.peak_open) * factor)
                # The requests that are open now must end before the effect of this decrease can be seen.
                self.next_decrease_us = now_us + round(1.5 * mean_late_us)
        elif self.limit < MAX_LIMIT and self.peak_open >= 0.8 * self.limit:
            self.limit = min(MAX_LIMIT, 1.05 * self.limit + 1)
        if self.peak_open < 0.7 * self.limit:
            self.retry_after_us = max(MIN_RETRY_US, 0.85**intervals * self.retry_after_us)
        elif self.refused > 0.1 * self.admitted:
            self.retry_after_us = min(MAX_RETRY_US, 1.1 * self.retry_after_us)
        self.late_sum_us = self.admitted = self.refused = self.peak_open = 0
        self.updated_us = now_us
        while self.parties and next(iter(self.parties.values()))[0] < now_us - WINDOW_US:
            _, (_, usage) = self.parties.popitem(last=False)
            self.total_usage = max(0.0, self.total_usage - usage)
        if not self.parties:
            self.total_usage = 0.0

    def _limit_of(self, now_us: int, rule: RequestClass, party: str) -> float:
        """How many requests may be open for one more of this class and party to be admitted."""
        seen_us, usage = self.parties.get(party, (now_us, 0.0))
        average = self.total_usage / max(1, len(self.parties))
        if len(self.parties) > 1 and usage * _decay(now_us - seen_us) > FLOOD_FACTOR * average:
            return FLOODING_SHARE * self.limit
        return LESSER_SHARE * self.limit if rule.worth < self.mean_worth else self.limit

    def _charge(self, now_us: int, party: str) -> None:
        seen_us, usage = self.parties.pop(party, (now_us, 0.0))
        new_usage = usage * _decay(now_us - seen_us) + 1.0
        self.total_usage = max(0.0, self.total_usage - usage) + new_usage
        self.parties[party] = now_us, new_usage


def is_too_late(waited_us: int, rule: RequestClass) -> bool:
    """Whether a command has waited so long that its answer has no worth any more."""
    return waited_us > 1_000 * (rule.aim_ms if rule.late_worth <= 0 else rule.deadline_ms)


def _decay(elapsed_us: int) -> float:
    """The factor by which a usage count has decayed: a half after half a window."""
    factor: float = 0.5 ** (2 * elapsed_us / WINDOW_US)
    return factor


def new_admission(seed: int, classes: tuple[RequestClass, ...], client_limit: int) -> Admission:
    """Admission control for these classes; `client_limit` is how many commands one client may have open."""
    aims_ms = [rule.aim_ms for rule in classes]
    return Admission(seed, TARGET_SHARE * min(aims_ms, default=1_000) * 1_000, round(client_limit / LESSER_SHARE) + 1)
