"""A fleet of processes on loopback, each with one node or writer and no gateway; ended by `close`."""

import json
import secrets
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.fleet.host import Ask, Look, Plan
from oatlink.lab.embedded import port_of, reserve
from oatlink.settings.fleet import Fleet, FleetNode

MEMBERS = {f"box-{at}": f"bank-{at // 5}" for at in range(100)}


class Process:
    """One child; asks go to its stdin, answers come by its stdout, in order."""

    def __init__(self, path: Path) -> None:
        words = [sys.executable, "-m", "benchmarks.fleet.host", str(path)]
        self._child = subprocess.Popen(words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def line(self) -> str:
        """The next line that it says. Raises `RuntimeError` where it has ended."""
        assert self._child.stdout is not None
        line = self._child.stdout.readline()
        if not line:
            raise RuntimeError("a process of the fleet has ended")
        return line

    def ask(self, ask: Ask) -> None:
        """Ask, without waiting."""
        assert self._child.stdin is not None
        self._child.stdin.write(json.dumps(msgspec.to_builtins(ask)) + "\n")
        self._child.stdin.flush()

    def end(self) -> None:
        """Ask it to end."""
        if self._child.stdin is not None and not self._child.stdin.closed:
            self._child.stdin.close()

    def gone(self) -> None:
        """Wait until it has ended; one that does not is killed."""
        try:
            self._child.wait(8)
        except subprocess.TimeoutExpired:
            self._child.kill()
            self._child.wait()


class Site:
    """So many nodes, the first of them keepers, and so many writers, which are listed but are no nodes otherwise."""

    def __init__(self, nodes: int, keepers: int, writers: int = 0, verdicts: bool = True) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="oatlink-fleet-")
        folder = Path(self._folder.name)
        key = folder / "key"
        key.touch(mode=0o600)
        key.write_text(secrets.token_hex(32))
        self._held = [reserve() for _ in range(nodes + writers)]
        listed = tuple(
            FleetNode(f"{'n' if at < nodes else 'w'}{at}", f"127.0.0.1:{port_of(one)}", at < keepers)
            for at, one in enumerate(self._held)
        )
        self._all: dict[str, Process] = {}
        try:
            for at, one in enumerate(listed):
                part = Fleet(one.name, listed, (str(key),), str(folder / f"state-{at}"), verdicts=verdicts)
                path = folder / f"plan-{at}.json"
                path.write_bytes(msgspec.json.encode(Plan([part], MEMBERS, at >= nodes)))
                self._all[one.name] = Process(path)
            for process in self._all.values():
                process.line()
        except BaseException:
            self.close()
            raise
        self.names = [one.name for one in listed[:nodes]]
        self.writers = [one.name for one in listed[nodes:]]

    def ask(self, ask: Ask, names: list[str]) -> list[str]:
        """Ask these at once; what each says."""
        for name in names:
            self._all[name].ask(msgspec.structs.replace(ask, node=name))
        return [self._all[name].line() for name in names]

    def looks(self) -> list[Look]:
        """What each node has done so far."""
        return [msgspec.json.decode(one, type=Look) for one in self.ask(Ask("look"), self.names)]

    def settle(self, keepers: int, most_s: float = 12.0) -> None:
        """Wait until all keepers vote. Raises `RuntimeError` where they do not."""
        end = time.perf_counter() + most_s
        while sum(one.voting for one in self.looks()) < keepers:
            if time.perf_counter() > end:
                raise RuntimeError(f"the keepers do not vote within {most_s:.0f} s")
            time.sleep(0.2)

    def close(self) -> None:
        """End all."""
        for process in self._all.values():
            process.end()
        for process in self._all.values():
            process.gone()
        for one in self._held:
            one.close()
        self._folder.cleanup()
