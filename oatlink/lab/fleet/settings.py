"""The `fleet` section of the settings of each gateway, and the files that it names."""

import json
import random
from pathlib import Path

from oatlink.lab.fleet.links import Links
from oatlink.lab.fleet.scenarios import FleetScenario


def node_name(number: int) -> str:
    """Return the node name of gateway `number`."""
    return f"g{number}"


def acceptor_count(scenario: FleetScenario) -> int:
    """Return how many gateways are acceptors of registers: the configured number, reduced to an odd one that exists."""
    limit = min(scenario.keepers, scenario.gateways)
    return limit if limit % 2 else limit - 1


class FleetSettings:
    """Makes the key file, the state folders and the `fleet` section of each gateway."""

    def __init__(self, scenario: FleetScenario, seed: int, ports: list[int]) -> None:
        """`ports`: the ports on which the nodes listen for each other."""
        self._scenario, self._seed, self._ports = scenario, seed, ports
        self._folder = Path()

    def write_files(self, folder: Path) -> None:
        """Write the key file and make the state folders."""
        self._folder = folder
        key = folder / "fleet.key"
        key.touch(mode=0o600)
        key.write_text(random.Random(f"{self._seed}/key").randbytes(32).hex())
        for number in range(len(self._ports)):
            self.state_dir(number).mkdir(mode=0o700)

    def state_dir(self, number: int) -> Path:
        """Return the folder in which gateway `number` stores its durable state."""
        return self._folder / f"state-{number}"

    def section(self, number: int, links: Links) -> str:
        """Return the `fleet` section of gateway `number`, as a field of a Jsonnet object."""
        scenario = self._scenario
        if not scenario.fleet:
            return ""
        section: dict[str, object] = {
            "node": node_name(number),
            "nodes": [
                {"name": node_name(node), "address": f"127.0.0.1:{port}", "keeper": node < acceptor_count(scenario)}
                for node, port in enumerate(self._ports)
            ],
            "key_files": [str(self._folder / "fleet.key")],
            "state_dir": str(self.state_dir(number)),
            "drift": scenario.drift,
            "tenants": [
                {
                    "name": name,
                    "match": {"client_names": [f"tenant-{name}-*"]},
                    "rate": tenant.rate,
                    "burst": tenant.burst,
                    "floor": tenant.floor,
                }
                for name, tenant in scenario.tenants.items()
            ],
            "verdicts": scenario.verdicts,
            "routes": {node_name(to): f"127.0.0.1:{port}" for to, port in links.routes(number).items()},
        }
        if scenario.judge == "versions":
            section["versions"] = {"first": 1}
        return f"fleet: {json.dumps(section)},"
