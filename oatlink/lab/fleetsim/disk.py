"""A keeper's file as the journal leaves it: what is surely there, what may be, what never is.

What may live here: commits. What is in line when one begins is committed together; what comes meanwhile waits for the
next. A crash leaves any part of the commit under way, from its beginning on, and never takes back one that was told.
"""

from random import Random

from msgspec.structs import replace

from oatlink.fleet.messages import Keep, Kept, Standing

QUICK_US = 6_000
SLOW_US = 400_000


class File:
    """What would be read after a crash."""

    def __init__(self) -> None:
        self.registers: dict[str, Kept] = {}
        self.standing: Standing | None = None

    @property
    def votes(self) -> bool:
        """Whether whoever starts with it votes at once."""
        return self.standing is not None and self.standing.begun

    def write(self, keep: Keep) -> None:
        """Put it there."""
        for one in keep.registers:
            self.registers[one.key] = one
        if keep.standing is not None:
            self.standing = keep.standing

    def copy(self) -> "File":
        """One like it."""
        other = File()
        other.registers, other.standing = dict(self.registers), self.standing
        return other


class Disk:
    """One machine's disk. `slow_until`, `full`: its faults."""

    def __init__(self, draw: Random) -> None:
        self._draw = draw
        self.file = File()
        self.stashed: File | None = None  # of a life before
        self.slow_until = 0
        self.full = False

    def takes_us(self, now_us: int) -> int:
        """How long the next commit takes."""
        return 1 + self._draw.randrange(SLOW_US if now_us < self.slow_until else QUICK_US)

    def crash(self, under_way: list[Keep]) -> None:
        """A part of the commit under way is there after all."""
        if not under_way:
            return
        whole = self._draw.randrange(len(under_way) + 1)
        for one in under_way[:whole]:
            self.file.write(one)
        if whole < len(under_way):
            torn = under_way[whole]
            self.file.write(
                replace(torn, registers=torn.registers[: self._draw.randrange(len(torn.registers) + 1)], standing=None)
            )

    def lose(self) -> None:
        """The file is gone."""
        self.stashed, self.file = self.file, File()
