"""Checks during the run that verdicts about members stay within their limits.

- A verdict is one of the three acts in `ACTS`. The act `later`, by which a gateway uses a member after the others of
  its bank, lasts for at most `LATER_US`. It never applies to a member that served this process within
  `SERVED_PRIORITY_US`, and never to so many members that half of a bank would be used later.
- A member is used later only if two other gateways really observed a failure of it lately. A reported position is one
  that the member really reached.
- Evidence spreads within its time bound. This is counted and not checked here, because gossip picks peers at random.
"""

from typing import TYPE_CHECKING

from oatlink.fleet.gate import Seen
from oatlink.fleet.verdicts.statements import SERVED_PRIORITY_US
from oatlink.fleet.verdicts.weigh import ACTS, LATER_US
from oatlink.lab.fleetsim import views
from oatlink.lab.fleetsim.observations import FAILURE_KINDS
from oatlink.lab.fleetsim.violation import Violation

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

MAX_EVIDENCE_AGE_US = 30_000_000  # no message is in transit for longer with the pauses and slow links simulated here


class VerdictChecker:
    """Checks the invariants that this module lists."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._last_failures: dict[tuple[str, str], int] = {}  # (witness, member): when the witness last saw it fail
        self._last_served: dict[tuple[Process, str], int] = {}
        self._later_until: dict[Process, dict[str, int]] = {}
        self.heard = self.spread = self.late = 0

    def member_observed(self, process: "Process", member: str, kind: str) -> None:
        """Note what a process observes of a member."""
        if kind in FAILURE_KINDS:
            self._last_failures[process.name, member] = self._world.time.now
            # The process's own newer observation of a failure outweighs that the member served it before.
            self._last_served.pop((process, member), None)
        elif kind == "served":
            self._last_served[process, member] = process.clock()
            self._later_until.get(process, {}).pop(member, None)

    def gate_notified(self, process: "Process", news: Seen, now_us: int) -> None:
        """Check a verdict that a gate has received."""
        self.heard += 1
        if news.act not in ACTS or news.member not in self._world.members:
            raise Violation("verdicts", f"{process.name} got the verdict {news.act!r} about {news.member}")
        if news.act == "position":
            self._check_position(process, news)
        elif news.act == "later":
            self._check_later(process, news, now_us)

    def _check_position(self, process: "Process", news: Seen) -> None:
        reached = self._world.observations.highest_offset(news.member, news.history)
        if news.offset > reached:
            raise Violation(
                "verdicts", f"{process.name}: {news.member} is reported at offset {news.offset}, it reached {reached}"
            )

    def _check_later(self, process: "Process", news: Seen, now_us: int) -> None:
        later_until = self._later_until.setdefault(process, {})
        if news.until_us <= now_us:
            later_until.pop(news.member, None)
            return
        later_until[news.member] = news.until_us
        if news.until_us > now_us + LATER_US:
            raise Violation("verdicts", f"{process.name} puts {news.member} later for {news.until_us - now_us} us")
        served_us = self._last_served.get((process, news.member), -SERVED_PRIORITY_US)
        if now_us - served_us < SERVED_PRIORITY_US:
            raise Violation(
                "verdicts", f"{process.name} puts {news.member} later, which served it {now_us - served_us} us ago"
            )
        bank = self._world.members[news.member]
        bank_members = [member for member, other_bank in self._world.members.items() if other_bank == bank]
        if 2 * sum(later_until.get(member, 0) > now_us for member in bank_members) >= len(bank_members):
            raise Violation("verdicts", f"{process.name} puts half of bank {bank} later")
        now = self._world.time.now
        others = [name for name in self._world.names if name != process.name]
        witness_count = sum(
            now - self._last_failures.get((name, news.member), -MAX_EVIDENCE_AGE_US) < MAX_EVIDENCE_AGE_US
            for name in others
        )
        if witness_count < 2:
            raise Violation("verdicts", f"{process.name} puts {news.member} later without two witnesses")

    def count_spread(self, evidence: tuple[str, str, str]) -> None:
        """Count the nodes that have and that lack a piece of evidence once its time bound has passed."""
        for name in self._world.names:
            process = self._world.machines[name].process
            if process is not None and process.node is not None and name != evidence[0]:
                self.spread += 1
                self.late += evidence not in views.known_evidence(process.node)

    def process_ended(self, process: "Process") -> None:
        """Forget a process that has ended."""
        self._later_until.pop(process, None)
        for key in [key for key in self._last_served if key[0] is process]:
            del self._last_served[key]
