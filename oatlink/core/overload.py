"""More commands than this process can do: which are refused, before anything is kept of them, and when to come back.

The signal is how long commands have waited for this process when it looks at them (`late_us`): a standing queue in
front of the gateway itself, whatever its cause. The boxes' own overload is the Router's matter and is not seen here.

- What is limited is how many requests are open or wait to be looked at. While commands wait longer than `TARGET` of
  the shortest aim, the limit comes down in proportion, once a queue's length of time; while they do not and the limit
  is reached, it grows. A limit keeps the process busy, where a share drawn by chance lets it run dry: what is refused
  stays away for a while, and a queue is seen late.
- The limit does not come below what one client may have out. Threat: a machine that is slow for everyone, and a lone
  client whose own pipeline is the whole queue: it is not read further until it is answered, which is all that is due.
- Under the limit everyone is let in. Near it, what earns less is refused earlier, and a party (a user, or a connection
  of its own) that has had more than `FLOOD` times what parties had on average is refused first.
- What has waited past its time is refused whatever its worth.
- A refused command says when to come back, spread out. That time grows while many are refused and shrinks while less
  is open than may be. The gateway does not read from that connection meanwhile, for a quarter of the shortest aim,
  twice as long each time it is refused again, half the shortest deadline at most: one that does not listen must not
  cost much more than one that does. What is refused for having waited too long pauses nobody, or a connection that
  many share would have each of its commands come too late for the pause after the one before.

What has not been seen for `WINDOW_US` weighs nothing, and a flood that ends leaves a limit that nobody reaches. Work a
command is O(1), counted over the parties that have gone.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from oatlink.core.draws import seeded_fraction
from oatlink.settings.model import RequestClass

LOOK_US = 50_000  # how often the limit is set
WINDOW_US = 1_000_000  # how long a party counts as there
TARGET = 0.15  # of the shortest aim
MOST = 1_000_000  # open requests
SHORTEST_US, LONGEST_US = 50_000, 6_000_000  # of a time to come back, in the mean
FLOOD = 2.0  # times what parties had on average
FLOODING, LESSER = 0.5, 0.9  # parts of the limit for a flooding party, and for what earns less than the mean


@dataclass(slots=True)
class Admission:
    """What is let in at one gateway."""

    seed: int
    target_us: float
    least: int  # below this the limit does not come: as many as one client may have out
    limit: float = MOST
    back_us: float = 200_000.0
    worth: float = 1.0  # of what comes, in the mean
    draws: int = 0
    look_us: int = 0
    down_us: int = 0  # not before this time does the limit come down again
    late_looks: int = 0  # one after the other
    late_sum: int = 0
    most_open: int = 0  # since the last look, as the next four
    taken: int = 0
    refused: int = 0
    parties: OrderedDict[str, tuple[int, float]] = field(default_factory=OrderedDict)  # when seen, what it had
    had: float = 0.0  # by all parties that are there

    def admit(
        self, now_us: int, late_us: int, rule: RequestClass, party: str, open_now: int, waited_us: int = 0
    ) -> int:
        """0 to take a command, else in how many microseconds to come back.

        `late_us` is what it waited for this process; `waited_us` what it waited in all, where that is more.
        """
        if now_us - self.look_us >= LOOK_US:
            self._look(now_us)
        self.late_sum += late_us
        self.most_open = max(self.most_open, open_now)
        limited = self.limit < MOST
        waited_us = max(late_us, waited_us)
        if limited or waited_us > self.target_us:
            self.worth += 0.02 * (rule.worth - self.worth)
            # Threat: a limit that outlives its flood. Where a command has hardly waited there is no queue, so no limit.
            waits = late_us > self.target_us / 4 and open_now >= FLOODING * self.limit
            if is_too_late(waited_us, rule) or (waits and open_now >= self._limit_of(now_us, rule, party)):
                self.refused += 1
                self.draws += 1
                return round(self.back_us * (0.5 + seeded_fraction(self.draws, self.seed)))
        self.taken += 1
        self._charge(now_us, party)
        return 0

    def _look(self, now_us: int) -> None:
        """Set the limit by what waited how long since the last look, and the time to come back by who came."""
        passed = min((now_us - self.look_us) / LOOK_US, 100.0)
        count = self.taken + self.refused
        late = self.late_sum / count if count else 0.0
        # Threat: a process that stood still for a moment. What had come meanwhile is one late look, and no queue.
        self.late_looks = self.late_looks + 1 if late > self.target_us else 0
        if late > self.target_us:
            if now_us >= self.down_us and self.late_looks > 1:
                part = max(0.3, self.target_us / late)
                self.limit = max(self.least, min(self.limit, self.most_open) * part)
                self.down_us = now_us + round(1.5 * late)  # what is open now must be seen to have gone first
        elif self.limit < MOST and self.most_open >= 0.8 * self.limit:
            self.limit = min(MOST, 1.05 * self.limit + 1)
        if self.most_open < 0.7 * self.limit:
            self.back_us = max(SHORTEST_US, 0.85**passed * self.back_us)
        elif self.refused > 0.1 * self.taken:
            self.back_us = min(LONGEST_US, 1.1 * self.back_us)
        self.late_sum = self.taken = self.refused = self.most_open = 0
        self.look_us = now_us
        while self.parties and next(iter(self.parties.values()))[0] < now_us - WINDOW_US:
            _, (_, had) = self.parties.popitem(last=False)
            self.had = max(0.0, self.had - had)
        if not self.parties:
            self.had = 0.0

    def _limit_of(self, now_us: int, rule: RequestClass, party: str) -> float:
        """How many may be open for one more of this class and party to be let in."""
        seen, had = self.parties.get(party, (now_us, 0.0))
        average = self.had / max(1, len(self.parties))
        if len(self.parties) > 1 and had * _left(now_us - seen) > FLOOD * average:
            return FLOODING * self.limit
        return LESSER * self.limit if rule.worth < self.worth else self.limit

    def _charge(self, now_us: int, party: str) -> None:
        seen, had = self.parties.pop(party, (now_us, 0.0))
        had_now = had * _left(now_us - seen) + 1.0
        self.had = max(0.0, self.had - had) + had_now
        self.parties[party] = now_us, had_now


def is_too_late(waited_us: int, rule: RequestClass) -> bool:
    """Whether a command has waited so long that an answer is worth nothing."""
    return waited_us > 1_000 * (rule.aim_ms if rule.late_worth <= 0 else rule.deadline_ms)


def _left(passed_us: int) -> float:
    """What is left of a count after a time: half after half a window."""
    left: float = 0.5 ** (2 * passed_us / WINDOW_US)
    return left


def admission(seed: int, classes: tuple[RequestClass, ...], least: int) -> Admission:
    """A new one for these classes; `least` is how many commands one client may have out."""
    aims = [one.aim_ms for one in classes]
    return Admission(seed, TARGET * min(aims, default=1_000) * 1_000, round(least / LESSER) + 1)
