"""A register's changes a second by one writer, by the number of keepers: processes with files and fsync."""

import msgspec

from benchmarks.fleet.host import Ask, Written
from benchmarks.fleet.site import Site
from benchmarks.fleet.table import part
from benchmarks.scale.measure import Measurement, Values

SECONDS = 5.0


def _run(keepers: int) -> Values:
    site = Site(keepers, keepers, 1)
    try:
        site.settle(keepers)
        site.ask(Ask("write", member="scale/warm", seconds=0.5), site.writers)
        before = site.looks()
        said = site.ask(Ask("write", member="scale/one", seconds=SECONDS), site.writers)
        after = site.looks()
    finally:
        site.close()
    found = msgspec.json.decode(said[0], type=Written)
    times = [1000 * one for one in found.times_s]
    cpu_s = sum(new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True))
    sync_s = sum(new.sync_s - old.sync_s for old, new in zip(before, after, strict=True))
    syncs = sum(new.syncs - old.syncs for old, new in zip(before, after, strict=True))
    return {
        "changes_per_s": found.fence / SECONDS,
        "p50_ms": part(times, 0.5),
        "p99_ms": part(times, 0.99),
        "keeper_cpu_us_per_change": 1e6 * cpu_s / keepers / found.fence,
        "fsync_ms": 1000 * sync_s / max(1, syncs),
    }


MEASUREMENT = Measurement("registers", "changes of one register by one writer", "keepers", (3, 5, 7, 9), _run)
