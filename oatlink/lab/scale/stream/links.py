"""What crosses between processes of the stream: when it comes, its bytes, who is charged. It decides nothing.

A word takes as long as its way is: `NEAR_US` within a region, `FAR_US` to another one; words of one way keep their
order. It is lost where the plan cuts the way, or, by a share, as with a connection that breaks. Nobody is told that a
link has failed: a lost machine sends no reset, so the cores go by silence alone, which takes longest.

Bytes are those of the frame (length, number, body by the real codec, tag) and of one ack for each, which is the most
that the transport writes: it acknowledges several frames at once where they come together.
"""

from collections import Counter, defaultdict
from random import Random
from typing import Protocol

from oatlink.fleet import messages as f
from oatlink.fleet.messages import control as c
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale import wire
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.size import region_of
from oatlink.lab.scale.tally import SECOND_US, Tally

NEAR_US, FAR_US = 300, 15_000
LOSS = 0.0005  # of all words
ROLES = ("gateway", "relay", "six")


class End(Protocol):
    """A process, as links see it."""

    name: str
    number: int
    zone: int
    born: int
    up: bool
    role: str
    bytes: int
    messages: int

    def take(self, sender: str, message: f.Message) -> None:
        """A word has come."""
        ...


class Links:
    """All ways between all processes."""

    def __init__(self, time: Timeline, tally: Tally, plan: Plan, seed: int, loss: float = LOSS) -> None:
        self.time, self.loss = time, loss
        self.ends: dict[str, list[End]] = {}
        self.kinds: defaultdict[str, Counter[int]] = defaultdict(Counter)  # words that came to the six, by second
        self._tally, self._plan, self._draw = tally, plan, Random(f"{seed}/stream")
        self._spoke: dict[tuple[str, str], End] = {}  # who of two under one name spoke to somebody last
        self._last: tuple[f.Message | None, int] = (None, 0)
        self._second: dict[str, dict[int, list[int]]] = {role: {} for role in ROLES}
        time.after(SECOND_US, self._count)

    def reached(self, zone: int, other: int) -> bool:
        """Whether a word from a zone comes to another one now."""
        plan, now = self._plan, self.time.now
        if zone != other:
            for one in (zone, other):
                since, until = plan.zones_lost.get(one, (0, 0))
                if since <= now < until:
                    return False
        here, there = region_of(zone), region_of(other)
        if here != there:
            for one in (here, there):
                since, until = plan.regions_cut.get(one, (0, 0))
                if since <= now < until:
                    return False
        return True

    def send(self, sender: End, to: str, message: f.Message) -> None:
        """A word on its way."""
        size = self._size(message)
        self._charge(sender, size)
        for end in self._whom(sender, to, message):
            if not self.reached(sender.zone, end.zone) or self._draw.random() < self.loss:
                continue
            way_us = NEAR_US if region_of(sender.zone) == region_of(end.zone) else FAR_US
            self.time.after(way_us, self._arrive, sender, end, end.born, message, size)

    # ---- Parts ----

    def _size(self, message: f.Message) -> int:
        if self._last[0] is not message:  # news is one word, made once for all children
            self._last = message, wire.frame_bytes(message) + wire.ACK
        return self._last[1]

    def _whom(self, sender: End, to: str, message: f.Message) -> list[End]:
        ends = [one for one in self.ends.get(to, ()) if one.up]
        if len(ends) < 2:
            return ends
        if isinstance(message, c.Seat | c.Refused):  # answered over the link that the question came by
            return [one for one in ends if one.born == message.incarnation]
        spoke = self._spoke.get((sender.name, to))
        return [spoke] if spoke is not None and spoke.up else ends[:1]

    def _arrive(self, sender: End, end: End, born: int, message: f.Message, size: int) -> None:
        if not end.up or end.born != born:
            return
        self._charge(end, size)
        if len(self.ends[sender.name]) > 1:
            self._spoke[end.name, sender.name] = sender
        if end.role == "six":
            self.kinds[type(message).__name__][self.time.now // SECOND_US] += 1
        end.take(sender.name, message)

    def _charge(self, end: End, size: int) -> None:
        end.bytes += size
        end.messages += 1
        one = self._second[end.role].setdefault(end.number, [0, 0])
        one[0] += size
        one[1] += 1

    def _count(self) -> None:
        """A second is over. One of a role, the one with the most, is counted by name, so the tally keeps few rows."""
        self.time.after(SECOND_US, self._count)
        at_us = self.time.now - 1
        for role, ones in self._second.items():
            for place, kind in enumerate(("control bytes", "control messages")):
                if ones:
                    who = max(ones, key=lambda one: (ones[one][place], -one))
                    self._tally.add(role, who, kind, at_us, ones[who][place])
                    rest = sum(one[place] for one in ones.values()) - ones[who][place]
                    self._tally.spread(role, kind, at_us, rest)
            ones.clear()
