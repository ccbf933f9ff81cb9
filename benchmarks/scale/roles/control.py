"""The six machines once they carry the stream of control: nothing today. Figures come with its measurement, `control`.

`control` (docs/measurements/scale/control.json) is to have, by the number of readers at one relay: `idle_bytes_per_s`
(one reader, both ways), `change_bytes`, `snapshot_bytes_per_entry`, `us_per_change` (one reader at its relay) and
`in_force_ms` (from the change's commit to the last reader, one level).
"""

from benchmarks.scale import size as at
from benchmarks.scale.reading import Reading
from benchmarks.scale.row import Row
from benchmarks.scale.size import Size

ROLE = "The six machines"
FAN_OUT = 60.0  # readers at one relay
NAME = "control"


def relays(size: Size) -> float:
    """Relays below the six, with so many readers each."""
    return size.gateways / FAN_OUT


def _start(size: Size, k: Reading) -> float:
    return relays(size) * k.mean(NAME, "snapshot_bytes_per_entry") * size.databases


ROWS = (
    Row(
        ROLE,
        "steady",
        "heartbeats to relays, all six",
        "bytes/s",
        "N/60 · bytes of one reader",
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
        "until in force, two levels",
        "s",
        "2 · one level, 60 readers",
        lambda s, k: 2 * k.line(NAME, "in_force_ms", FAN_OUT) / 1000,
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
        "60 · time of a change",
        lambda s, k: FAN_OUT * k.mean(NAME, "us_per_change") / 1000,
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
        "N/60 · M · bytes of an entry",
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
