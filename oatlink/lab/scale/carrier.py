"""The seam for whatever carries control from its source to every gateway, and what stands in it today: nothing.

What may live here: what a scenario asks of a carrier. A mechanism that is built later is put in as another `Carrier`
and the same scenarios are played by it; it lives on the scenario's timeline, asks its `Plan` who reaches whom, and
counts what it sends in the scenario's tally: kinds `control bytes` and `control messages`, roles `gateway`, `six`
and, where it has them, `relay`.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.size import Size, gateway_zone, region_of
from oatlink.lab.scale.tally import Tally

BYTES, MESSAGES = "control bytes", "control messages"


class Scope(NamedTuple):
    """Whom a change is for. `kind`: all, region, zone or group; `number` of it, 0 for all."""

    kind: str
    number: int = 0

    def takes(self, gateway: int) -> bool:
        """Whether a gateway needs what is said in this scope; each has clients for every group."""
        zone = gateway_zone(gateway)
        if self.kind == "region":
            return region_of(zone) == self.number
        return zone == self.number if self.kind == "zone" else True


class Change(NamedTuple):
    """A new version of a scope, as it is offered at the source."""

    scope: Scope
    version: int
    body: bytes


class Carrier(Protocol):
    """What a scenario asks of a mechanism. All of it happens at the timeline's present moment."""

    name: str

    def offer(self, change: Change) -> None:
        """A change of a scope at the source."""
        ...

    def held(self, gateway: int, scope: Scope) -> int:
        """The newest version of a scope that a gateway holds and goes by; 0 for none."""
        ...

    def start(self, gateway: int) -> None:
        """The gateway's process begins, with nothing known; one that ran has ended."""
        ...

    def stop(self, gateway: int) -> None:
        """The gateway's process has ended."""
        ...

    def replay(self, gateway: int) -> None:
        """From now on what this one has said and been told before is said again and again, by it."""
        ...

    def twin(self, gateway: int) -> None:
        """A second process under this one's name begins."""
        ...

    def bytes_so_far(self, role: str) -> float:
        """Of all of a role together, sent and received."""
        ...

    def messages_so_far(self, role: str) -> float:
        """Likewise, messages."""
        ...


class World(NamedTuple):
    """What a carrier is made of."""

    size: Size
    time: Timeline
    tally: Tally
    plan: Plan
    seed: int


Maker = Callable[[World], Carrier]


class NoCarrier:
    """Today. A change is made in each gateway's file, by whoever writes files; no gateway hears of it while it runs."""

    name = "today"

    def __init__(self, world: World) -> None:
        self._tally = world.tally

    def offer(self, change: Change) -> None:
        """Nobody takes it."""

    def held(self, gateway: int, scope: Scope) -> int:
        """Nothing was ever heard."""
        return 0

    def start(self, gateway: int) -> None:
        """Nothing is asked."""

    def stop(self, gateway: int) -> None:
        """Nothing was held."""

    def replay(self, gateway: int) -> None:
        """Nothing was said."""

    def twin(self, gateway: int) -> None:
        """Nothing is said under any name."""

    def bytes_so_far(self, role: str) -> float:
        """See `Carrier`."""
        return self._tally.total(role, BYTES)

    def messages_so_far(self, role: str) -> float:
        """See `Carrier`."""
        return self._tally.total(role, MESSAGES)
