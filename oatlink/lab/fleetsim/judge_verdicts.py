"""Whether verdicts stay within what they may do, while it runs.

- Only the three acts; *later* for `LATER_US` at most, and never for a member that served this process within
  `SERVED_PRIORITY_US`, and never half of a bank.
- *Later* rests on two others that truly saw something of late; a position is one that the member truly holds.
- A word spreads within its bound: counted, not judged, since it is drawn by chance.
"""

from typing import TYPE_CHECKING

from oatlink.fleet.gate import Seen
from oatlink.fleet.verdicts.statements import SERVED_PRIORITY_US
from oatlink.fleet.verdicts.weigh import ACTS, LATER_US
from oatlink.lab.fleetsim import views
from oatlink.lab.fleetsim.violation import Violation

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

LONG_US = 30_000_000  # older than that nothing under way is, with stops and slow links as they are here
ACCUSES = ("hung", "refused", "reset", "full")


class Verdicts:
    """See above."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._saw: dict[tuple[str, str], int] = {}  # (witness, member): when it last accused it
        self._served: dict[tuple[Process, str], int] = {}
        self._later: dict[Process, dict[str, int]] = {}
        self.heard = self.spread = self.late = 0

    def saw(self, process: "Process", member: str, kind: str) -> None:
        """A process sees something of a member."""
        if kind in ACCUSES:
            self._saw[process.name, member] = self._world.time.now
            self._served.pop((process, member), None)  # what this process saw itself since stands against it
        elif kind == "served":
            self._served[process, member] = process.clock()
            self._later.get(process, {}).pop(member, None)

    def told(self, process: "Process", news: Seen, now_us: int) -> None:
        """A gate has heard a verdict."""
        self.heard += 1
        if news.act not in ACTS or news.member not in self._world.members:
            raise Violation("verdicts", f"{process.name} is told to {news.act} {news.member}")
        if news.act == "position":
            self._position(process, news)
        elif news.act == "later":
            self._put_later(process, news, now_us)

    def _position(self, process: "Process", news: Seen) -> None:
        holds = self._world.sights.holds(news.member, news.history)
        if news.offset > holds:
            raise Violation("verdicts", f"{process.name}: {news.member} is said to hold {news.offset}, it has {holds}")

    def _put_later(self, process: "Process", news: Seen, now_us: int) -> None:
        later = self._later.setdefault(process, {})
        if news.until_us <= now_us:
            later.pop(news.member, None)
            return
        later[news.member] = news.until_us
        if news.until_us > now_us + LATER_US:
            raise Violation("verdicts", f"{process.name} puts {news.member} later for {news.until_us - now_us}")
        served = self._served.get((process, news.member), -SERVED_PRIORITY_US)
        if now_us - served < SERVED_PRIORITY_US:
            raise Violation("verdicts", f"{process.name} puts {news.member} later, served {now_us - served} ago")
        bank = self._world.members[news.member]
        whole = [one for one, other in self._world.members.items() if other == bank]
        if 2 * sum(later.get(one, 0) > now_us for one in whole) >= len(whole):
            raise Violation("verdicts", f"{process.name} puts half of {bank} later")
        now = self._world.time.now
        names = [one for one in self._world.names if one != process.name]
        if sum(now - self._saw.get((one, news.member), -LONG_US) < LONG_US for one in names) < 2:
            raise Violation("verdicts", f"{process.name} puts {news.member} later without two that saw it")

    def look(self, word: tuple[str, str, str], since_us: int) -> None:
        """The bound of a word has passed: count who has it."""
        for name in self._world.names:
            process = self._world.machines[name].process
            if process is not None and process.node is not None and name != word[0]:
                self.spread += 1
                self.late += word not in views.words(process.node)

    def ended(self, process: "Process") -> None:
        """It is gone."""
        self._later.pop(process, None)
        for key in [key for key in self._served if key[0] is process]:
            del self._served[key]
