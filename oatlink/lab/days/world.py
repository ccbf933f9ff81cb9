"""The state that all parts of a run share: the scenario, the fleet, the capture of all bytes and the end time."""

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
DRAIN_GRACE_US = 2_000_000


def now_us() -> int:
    """Return the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


@dataclass
class World:
    """The shared state of one run, without any decisions of its own."""

    scenario: Scenario
    seed: int
    seconds: float
    embedded: Embedded
    capture: Capture
    ports: list[int]
    admin_ports: list[int]
    end_s: float = 0.0  # monotonic time after which clients send no more requests
    roster: Path = Path()
    steps: list[str] = field(default_factory=list)  # the steps as they were run, in words

    def write_roster(self) -> None:
        """Replace the roster file, from which the gateways learn their boxes."""
        text = msgspec.json.encode({"banks": self.embedded.roster()})
        temporary = self.roster.with_suffix(".new")
        temporary.write_bytes(text)
        temporary.rename(self.roster)

    async def send(self, place: str, stream: IOStream, data: bytes, connection: int = 1) -> None:
        """Write a client's bytes and record them."""
        self.capture.add(now_us(), place, connection, True, data)
        await stream.write(data)

    async def receive(self, place: str, stream: IOStream, connection: int = 1) -> bytes:
        """Read the next bytes for a client and record them. Raises `StreamClosedError`."""
        data = await stream.read_bytes(65_536, partial=True)
        self.capture.add(now_us(), place, connection, False, data)
        return data
