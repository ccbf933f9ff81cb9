"""An acceptor's file as the journal leaves it: what is certainly written, what may be written, and what never is.

All updates that wait when a commit begins are committed together; later ones wait for the next commit. A crash leaves
any prefix of the commit in progress and never takes back a commit that was confirmed.
"""

from random import Random

from msgspec.structs import replace

from oatlink.fleet.messages import Keep, Kept, Standing

MAX_COMMIT_US = 6_000
MAX_SLOW_COMMIT_US = 400_000


class File:
    """The state that is read back after a crash."""

    def __init__(self) -> None:
        self.registers: dict[str, Kept] = {}
        self.standing: Standing | None = None

    @property
    def may_vote(self) -> bool:
        """Whether an acceptor that starts with this file votes at once."""
        return self.standing is not None and self.standing.begun

    def write(self, keep: Keep) -> None:
        """Store an update."""
        for register in keep.registers:
            self.registers[register.key] = register
        if keep.standing is not None:
            self.standing = keep.standing

    def copy(self) -> "File":
        """Return an independent copy."""
        other = File()
        other.registers, other.standing = dict(self.registers), self.standing
        return other


class Disk:
    """One machine's disk. `slow_until_us` and `full` are its faults."""

    def __init__(self, draw: Random) -> None:
        self._draw = draw
        self.file = File()
        self.previous_file: File | None = None  # the file that was lost most recently
        self.slow_until_us = 0
        self.full = False

    def draw_commit_us(self, now_us: int) -> int:
        """Draw how long the next commit takes."""
        return 1 + self._draw.randrange(MAX_SLOW_COMMIT_US if now_us < self.slow_until_us else MAX_COMMIT_US)

    def crash(self, in_progress: list[Keep]) -> None:
        """Write a drawn prefix of the commit that was in progress."""
        if not in_progress:
            return
        whole_count = self._draw.randrange(len(in_progress) + 1)
        for keep in in_progress[:whole_count]:
            self.file.write(keep)
        if whole_count < len(in_progress):
            torn = in_progress[whole_count]
            kept_count = self._draw.randrange(len(torn.registers) + 1)
            self.file.write(replace(torn, registers=torn.registers[:kept_count], standing=None))

    def lose(self) -> None:
        """Replace the file by an empty one, and remember the old one."""
        self.previous_file, self.file = self.file, File()
