"""What was played, kept as JSON: counts in one file a play, CPU with machine and load in another."""

import os
import time
from pathlib import Path

import msgspec

from benchmarks.scale.hollow.tables import traffic_of
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.scenarios import PLAYS
from oatlink.lab.scale.size import Size
from oatlink.lab.scale.stage import Order

FOLDER = Path("docs/measurements/scale/results")


class Cost(msgspec.Struct):
    """What a play took of this machine; no part of its verdict."""

    cpu_s: float
    wall_s: float
    load: str
    cores: int
    parts: dict[str, float] = {}


def path_of(folder: Path, scenario: str, size: Size, carrier: str, traffic: str) -> Path:
    """Where a play is kept."""
    return folder / f"{scenario}-{traffic}-{carrier}-{size.name}.json"


def text_of(found: Finding) -> bytes:
    """The same for a seed, byte for byte."""
    return msgspec.json.format(msgspec.json.encode(found, order="deterministic"), indent=1) + b"\n"


def keep(folder: Path, scenario: str, order: Order, carrier: str) -> tuple[Path, Cost]:
    """Play, and keep what came of it; a file is there whole or not at all."""
    folder.mkdir(parents=True, exist_ok=True)
    parts: dict[str, float] = {}
    order = order._replace(meter=time.process_time_ns, cost=parts)
    began, wall = time.process_time(), time.perf_counter()
    found = PLAYS[scenario](order)
    one, five, _ = os.getloadavg()
    cost = Cost(
        round(time.process_time() - began, 1),
        round(time.perf_counter() - wall, 1),
        f"{one:.1f} {five:.1f}",
        os.cpu_count() or 0,
        parts,
    )
    path = path_of(folder, scenario, order.size, carrier, order.traffic.name)
    for where, data in ((path, text_of(found)), (path.with_suffix(".cpu"), msgspec.json.encode(cost) + b"\n")):
        part = where.with_name(where.name + ".part")
        part.write_bytes(data)
        part.replace(where)
    return path, cost


def read(folder: Path) -> list[Finding]:
    """All that is kept, in order of name and size."""
    found = [msgspec.json.decode(one.read_bytes(), type=Finding) for one in sorted(folder.glob("*.json"))]
    return sorted(found, key=lambda one: (one.scenario, traffic_of(one), one.carrier, one.gateways))


def cost_of(folder: Path, name: str) -> Cost | None:
    """What the play of a file took."""
    path = (folder / name).with_suffix(".cpu")
    return msgspec.json.decode(path.read_bytes(), type=Cost) if path.exists() else None
