"""The fleet part of each gateway's settings, and the files that it names."""

import json
import random
from pathlib import Path

from oatlink.lab.fleet.links import Links
from oatlink.lab.fleet.scenarios import FleetScenario


def node_name(at: int) -> str:
    """The name of gateway `at` in its fleet."""
    return f"g{at}"


def keepers(scenario: FleetScenario) -> int:
    """How many of the gateways keep registers: an odd number of those there are."""
    most = min(scenario.keepers, scenario.gateways)
    return most if most % 2 else most - 1


class Parts:
    """Makes the key, the state folders and the text of the fleet part."""

    def __init__(self, scenario: FleetScenario, seed: int, ports: list[int]) -> None:
        """`ports`: where each node listens for others."""
        self._scenario, self._seed, self._ports = scenario, seed, ports
        self._folder = Path()

    def make(self, folder: Path) -> None:
        """Write the files."""
        self._folder = folder
        key = folder / "fleet.key"
        key.touch(mode=0o600)
        key.write_text(random.Random(f"{self._seed}/key").randbytes(32).hex())
        for at in range(len(self._ports)):
            self.state_dir(at).mkdir(mode=0o700)

    def state_dir(self, at: int) -> Path:
        """Where gateway `at` keeps what it must not forget."""
        return self._folder / f"state-{at}"

    def text(self, at: int, wires: Links) -> str:
        """The part of gateway `at`, as a field of a Jsonnet object."""
        scenario = self._scenario
        if not scenario.fleet:
            return ""
        part: dict[str, object] = {
            "node": node_name(at),
            "nodes": [
                {"name": node_name(one), "address": f"127.0.0.1:{port}", "keeper": one < keepers(scenario)}
                for one, port in enumerate(self._ports)
            ],
            "key_files": [str(self._folder / "fleet.key")],
            "state_dir": str(self.state_dir(at)),
            "drift": scenario.drift,
            "tenants": [
                {
                    "name": name,
                    "match": {"client_names": [f"tenant-{name}-*"]},
                    "rate": one.rate,
                    "burst": one.burst,
                    "floor": one.floor,
                }
                for name, one in scenario.tenants.items()
            ],
            "verdicts": scenario.verdicts,
            "routes": {node_name(to): f"127.0.0.1:{port}" for to, port in wires.routes(at).items()},
        }
        if scenario.judge == "versions":
            part["versions"] = {"first": 1}
        return f"fleet: {json.dumps(part)},"
