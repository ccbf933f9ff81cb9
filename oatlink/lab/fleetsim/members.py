"""Servers of banks, simulated: a log, a primary that others follow, failovers that lose what had not come over.

What may live here: what a member holds and shows. It follows from its log alone; which versions it serves as well.
"""

from dataclasses import dataclass, field
from random import Random

from oatlink.fleet.versions import marker
from oatlink.fleet.versions.compatible import Place

Op = tuple[str, int, int, str, bool]  # exec or seal, number, version, kind, whether all its commands did well


@dataclass(eq=False)
class Member:
    """One server."""

    name: str
    history: str
    offset: int = 0
    parent: str = ""
    join: int = -1
    log: list[tuple[int, Op]] = field(default_factory=list)  # (offset after it, what)
    master: bool = False
    epoch: int = 0  # grows when its data were replaced and its connections closed

    def offers(self) -> set[int]:
        """The versions that its data are laid out for."""
        versions = {1}
        for _, (what, _, version, kind, well) in self.log:
            if what == "exec" and kind == "expand":
                versions |= {version} if well else set()
            elif what == "exec":
                versions.discard(version - 1 if kind == "contract" else version)
        return versions

    def mark(self) -> bytes | None:
        """What the marker's key holds."""
        if not self.log:
            return None
        what, number, version, _, _ = self.log[-1][1]
        return marker.encode(number, version, what == "seal")

    def write(self, *ops: Op) -> None:
        """One write, or one step's."""
        self.offset += 10
        self.log += [(self.offset, op) for op in ops]

    def place(self) -> Place:
        """Where it says that it stands."""
        return Place(self.history, self.offset, self.parent, self.join)


class Bank:
    """A primary and two that follow it."""

    def __init__(self, name: str, members: list[str], draw: Random) -> None:
        self.name, self._draw = name, draw
        self.members = [Member(one, f"{name}-h0") for one in members]
        self.primary = self.members[0]
        self.primary.master = True
        self.failovers = 0
        self.frozen: dict[str, int] = {}

    def fail_over(self, size: int) -> None:
        """Another takes its place; the old one is a master of its own island until it copies the new one."""
        able = [one for one in self.members if not one.master]
        if able:
            self.failovers += 1
            chosen = able[size % len(able)]
            chosen.parent, chosen.join = chosen.history, chosen.offset + 1
            chosen.history, chosen.master = f"{self.name}-h{self.failovers}", True
            self.primary = chosen

    def step(self, now_us: int) -> None:
        """Some time passes."""
        if self._draw.random() < 0.3:
            self.primary.write()
        for one in self.members:
            if one is self.primary or self.frozen.get(one.name, 0) > now_us:
                continue
            if one.history != self.primary.history:
                if self._draw.random() < 0.1:
                    self._copy(one)
            elif self._draw.random() < 0.3:
                reach = self._draw.randint(one.offset, self.primary.offset)
                one.log += [(at, op) for at, op in self.primary.log if one.offset < at <= reach]
                one.offset = reach

    def _copy(self, one: Member) -> None:
        to = self.primary
        if not (to.parent == one.history and one.offset < to.join):
            one.offset, one.log, one.epoch = to.offset, list(to.log), one.epoch + 1
        one.history, one.parent, one.join, one.master = to.history, to.parent, to.join, False
