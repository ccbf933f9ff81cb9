"""The six machines once they carry the stream of control, and what its readers have of it. Nothing is there today.

Figures come with the stream's own measurement, `control` (docs/measurements/scale/control.json, a module of `slopes`),
by the number of readers at one relay. It is to have the values named in `VALUES`; until it is kept all these rows, and
the column `after` of the others, say `not measured`.
"""

from benchmarks.scale import size as at
from benchmarks.scale.reading import Reading
from benchmarks.scale.row import Figure, Row
from benchmarks.scale.size import Size

ROLE = "The six machines"
NAME = "control"
VALUES = (
    "idle_bytes_per_s",  # one reader, both ways
    "idle_cpu_ms_per_s",  # one reader
    "memory_kb",  # one reader, with all that it keeps
    "change_bytes",  # one change at one reader
    "snapshot_bytes_per_entry",
    "us_per_change",  # at a relay, one reader
    "in_force_ms",  # one level: from a change's coming to a relay until its last reader has it
    "missed_after_s",  # until all know that a node has gone
)


def in_force_s(size: Size, k: Reading) -> float:
    """Until a change is in force everywhere."""
    return size.levels * k.line(NAME, "in_force_ms", size.fan_out) / 1000


def reader(value: str) -> Figure:
    """A value of one reader, the same in any fleet."""
    return lambda size, k: k.mean(NAME, value)


def relays(size: Size) -> float:
    """Relays below the six, with so many readers each."""
    return size.gateways / size.fan_out


def _start(size: Size, k: Reading) -> float:
    return relays(size) * k.mean(NAME, "snapshot_bytes_per_entry") * size.databases


ROWS = (
    Row(
        ROLE,
        "steady",
        "heartbeats to relays, all six",
        "bytes/s",
        "N / fan-out · bytes of one reader",
        lambda s, k: relays(s) * k.mean(NAME, "idle_bytes_per_s"),
        at.MACHINE_BYTES_PER_S,
        False,
        "none",
        "stream of control",
    ),
    Row(
        ROLE,
        "steady",
        "heartbeats of one gateway",
        "bytes/s",
        "bytes of one reader",
        lambda s, k: k.mean(NAME, "idle_bytes_per_s"),
        at.BYTES_PER_S,
        True,
        "none",
        "stream of control",
    ),
    Row(
        ROLE,
        "change of configuration",
        "until in force",
        "s",
        "levels · (a + b · fan-out)",
        in_force_s,
        at.IN_FORCE_S,
        True,
        "none",
        "stream of control",
    ),
    Row(
        ROLE,
        "change of configuration",
        "at one relay",
        "ms",
        "fan-out · time of a change",
        lambda s, k: s.fan_out * k.mean(NAME, "us_per_change") / 1000,
        at.CORE_MS_PER_S,
        False,
        "none",
        "stream of control",
    ),
    Row(
        ROLE,
        "common start",
        "snapshots to relays, all six",
        "bytes",
        "N / fan-out · M · bytes of an entry",
        _start,
        at.MACHINE_BYTES_PER_S,
        False,
        "none",
        "stream of control",
    ),
    Row(
        ROLE,
        "6,100 changes in one minute",
        "at one gateway",
        "bytes/s",
        "changes / 60 s · bytes of a change",
        lambda s, k: s.changes / 60 * k.mean(NAME, "change_bytes"),
        at.BYTES_PER_S,
        True,
        "none",
        "stream of control",
    ),
)
