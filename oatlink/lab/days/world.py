"""What all parts of a day share: the scenario, the fleet, the record of all bytes, and the time of its end."""

import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from tornado.iostream import IOStream

from oatlink.audit.capture import Capture
from oatlink.lab.days.schedule import Scenario
from oatlink.lab.embedded import Embedded

COLD_SHARE, WARM_S = 0.2, 3.0
STALENESS_MS = 500
GRACE_US = 2_000_000


def now_us() -> int:
    """The monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


@dataclass
class World:
    """One day's shared state; no part of it decides anything."""

    scenario: Scenario
    seed: int
    seconds: float
    embedded: Embedded
    capture: Capture
    ports: list[int]
    admin_ports: list[int]
    end_s: float = 0.0  # no client asks for more after this time of the monotonic clock
    roster: Path = Path()
    steps: list[str] = field(default_factory=list)  # what happened, for people

    def write_roster(self) -> None:
        """Tell the gateways which boxes there are."""
        text = msgspec.json.encode({"banks": self.embedded.roster()})
        temporary = self.roster.with_suffix(".new")
        temporary.write_bytes(text)
        temporary.rename(self.roster)

    async def say(self, place: str, stream: IOStream, data: bytes, connection: int = 1) -> None:
        """Write a client's bytes and keep them."""
        self.capture.add(now_us(), place, connection, True, data)
        await stream.write(data)

    async def hear(self, place: str, stream: IOStream, connection: int = 1) -> bytes:
        """Read what comes next for a client and keep it. Raises `StreamClosedError`."""
        data = await stream.read_bytes(65_536, partial=True)
        self.capture.add(now_us(), place, connection, False, data)
        return data
