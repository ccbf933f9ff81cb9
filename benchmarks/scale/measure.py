"""What one measurement is, and where its results are kept: one file each, written after every size."""

import os
import platform
import shlex
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from benchmarks.scale.fit import Line, line

KEPT = Path("docs/measurements/scale")
LEAST_SIZES = 4

Values = dict[str, float]


@dataclass(frozen=True, slots=True)
class Measurement:
    """One module of `slopes`: `run(size)` measures one size and returns its values by name, units in the names."""

    name: str
    what: str
    axis: str  # what a size counts
    sizes: tuple[int, ...]
    run: Callable[[int], Values]


class Found(msgspec.Struct):
    """The values of one size, with the load (1 minute's mean) when they were measured."""

    size: int
    load: float
    values: Values


class Kept(msgspec.Struct):
    """A measurement's file."""

    name: str
    what: str
    axis: str
    command: str
    machine: str
    found: list[Found]

    def line(self, value: str, axis: str = "") -> Line:
        """The line of one of its values over the sizes, or over another value. Raises `ValueError` under four."""
        return line([(one.values[axis] if axis else one.size, one.values[value]) for one in self.found])

    def last(self, value: str) -> float:
        """The value at the largest size, for what does not depend on it."""
        return max(self.found, key=lambda one: one.size).values[value]

    @property
    def loads(self) -> tuple[float, float]:
        """The least and the largest load."""
        loads = [one.load for one in self.found]
        return min(loads), max(loads)


def machine() -> str:
    """Cores, memory and Python, for whoever compares."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{os.cpu_count()} cores, {memory:.0f} GiB, Python {platform.python_version()}, {sys.platform}, shared"


def load(name: str, folder: Path = KEPT) -> Kept:
    """A measurement's file. Raises `FileNotFoundError`, and `msgspec.ValidationError` for what is none."""
    return msgspec.json.decode((folder / f"{name}.json").read_bytes(), type=Kept)


def measure(one: Measurement, again: bool, folder: Path = KEPT) -> Kept:
    """Measure the sizes that the file lacks, or all `again`; the file is written after each."""
    path = folder / f"{one.name}.json"
    old = load(one.name, folder).found if path.exists() and not again else []
    command = shlex.join(["python", "-m", "benchmarks.scale", "slopes", one.name])
    kept = Kept(one.name, one.what, one.axis, command, machine(), old)
    had = {found.size for found in old}
    for at, size in enumerate(one.sizes):
        if size in had:
            click.echo(f"{one.name} {at + 1}/{len(one.sizes)}: {one.axis} {size:,}: kept")
            continue
        values = one.run(size)
        kept.found.append(Found(size, round(os.getloadavg()[0], 2), {k: float(f"{v:.5g}") for k, v in values.items()}))
        kept.found.sort(key=lambda found: found.size)
        folder.mkdir(parents=True, exist_ok=True)
        text = msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n"
        fresh = path.with_suffix(".new")
        fresh.write_bytes(text)
        fresh.replace(path)
        words = ", ".join(f"{k} {v:.4g}" for k, v in values.items())
        click.echo(f"{one.name} {at + 1}/{len(one.sizes)}: {one.axis} {size:,}: {words}")
    return kept
