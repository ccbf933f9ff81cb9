"""Nodes of a fleet on loopback, many in a process: `benchmarks.fleet` has one a process, which ends at some dozens."""

import json
import secrets
import tempfile
from pathlib import Path

import msgspec

from benchmarks.fleet.host import Ask, Look, Plan
from benchmarks.fleet.site import MEMBERS, Process
from oatlink.lab.embedded import port_of, reserve
from oatlink.settings.fleet import Fleet, FleetNode

KEEPERS = 5


class FleetSite:
    """So many nodes, the first five of them keepers, over a few processes; ended by `close`."""

    def __init__(self, nodes: int, processes: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="oatlink-scale-")
        folder = Path(self._folder.name)
        key = folder / "key"
        key.touch(mode=0o600)
        key.write_text(secrets.token_hex(32))
        self._held = [reserve() for _ in range(nodes)]
        listed = tuple(
            FleetNode(f"gw-{at:05}", f"127.0.0.1:{port_of(one)}", at < min(KEEPERS, nodes))
            for at, one in enumerate(self._held)
        )
        parts = [Fleet(one.name, listed, (str(key),), str(folder / f"state-{one.name}")) for one in listed]
        self._all: list[tuple[str, Process]] = []
        try:
            for at in range(processes):
                mine = parts[at::processes]
                path = folder / f"plan-{at}.json"
                path.write_bytes(msgspec.json.encode(Plan(mine, MEMBERS)))
                self._all.append((mine[0].node, Process(path)))
            for _, process in self._all:
                process.line()
        except BaseException:
            self.close()
            raise

    def looks(self) -> list[Look]:
        """What each process has done so far, all of its nodes together."""
        for name, process in self._all:
            process.ask(Ask("look", node=name))
        return [msgspec.convert(json.loads(process.line()), Look) for _, process in self._all]

    def close(self) -> None:
        """End all."""
        for _, process in self._all:
            process.end()
        for _, process in self._all:
            process.gone()
        for one in self._held:
            one.close()
        self._folder.cleanup()
