"""A process's queue of disk commits: state must be on disk before the messages that depend on it are sent.

It models the journal and its shell: which updates share a commit, and what a crash leaves of the commit in progress.
A full disk silences the acceptor for the rest of its process's life.
"""

from typing import TYPE_CHECKING

from oatlink.fleet.messages import Keep

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process


class Commits:
    """The commits of one process.

    `next_crash_us`: the process crashes this long after its next commit begins; 0 for no crash.
    """

    def __init__(self, process: "Process") -> None:
        self._process, self._world, self._disk = process, process.world, process.machine.disk
        self._waiting: list[Keep] = []
        self._in_progress: list[Keep] = []
        self.is_silent = False
        self.next_crash_us = 0

    def enqueue(self, keep: Keep) -> None:
        """Queue an update for the next commit."""
        if self.is_silent:
            return
        self._waiting.append(keep)
        if not self._in_progress:
            self._begin()

    def process_crashed(self) -> None:
        """Write the part of the commit in progress that survives the crash."""
        self._disk.crash(self._in_progress)

    def _begin(self) -> None:
        time = self._world.time
        self._in_progress, self._waiting = self._waiting, []
        if self.next_crash_us:
            time.after(self.next_crash_us, self._process.crash_and_restart, self.next_crash_us)
            self.next_crash_us = 0
        time.after(self._disk.draw_commit_us(time.now), self._process.deliver, self._finish)

    def _finish(self) -> None:
        finished, self._in_progress = self._in_progress, []
        if self._disk.full:
            self.is_silent = True
            self._disk.crash(finished)
            return
        for keep in finished:
            self._disk.file.write(keep)
        if self._waiting:
            self._begin()
        for keep in finished:
            for tell in keep.then:
                if not self._process.up:
                    return
                self._process.send(tell)
