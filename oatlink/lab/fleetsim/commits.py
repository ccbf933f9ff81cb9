"""A process's line to its disk: what must be there before it is said, as the journal and its shell have it.

What may live here: what shares a commit, and what a fall leaves of the one under way. A disk that is full silences the
keeper for as long as its process lives.
"""

from typing import TYPE_CHECKING

from oatlink.fleet.messages import Keep

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process


class Commits:
    """One process's. `tears_us`: so long after the next commit begins the process falls, 0: it does not."""

    def __init__(self, process: "Process") -> None:
        self._process, self._world, self._disk = process, process.world, process.machine.disk
        self._waiting: list[Keep] = []
        self._under_way: list[Keep] = []
        self.silent = False
        self.tears_us = 0

    def keep(self, keep: Keep) -> None:
        """Put it in line."""
        if self.silent:
            return
        self._waiting.append(keep)
        if not self._under_way:
            self._begin()

    def fell(self) -> None:
        """The process is gone."""
        self._disk.crash(self._under_way)

    def _begin(self) -> None:
        time = self._world.time
        self._under_way, self._waiting = self._waiting, []
        if self.tears_us:
            time.after(self.tears_us, self._process.falls, self.tears_us)
            self.tears_us = 0
        time.after(self._disk.takes_us(time.now), self._process.come, self._done)

    def _done(self) -> None:
        done, self._under_way = self._under_way, []
        if self._disk.full:
            self.silent = True
            self._disk.crash(done)
            return
        for keep in done:
            self._disk.file.write(keep)
        if self._waiting:
            self._begin()
        for keep in done:
            for one in keep.then:
                if not self._process.up:
                    return
                self._process.send(one)
