"""A register's change, alone and contended: keepers with files, writers that are no keepers, each a process."""

import time

import click
import msgspec

from benchmarks.fleet.host import Ask, Written
from benchmarks.fleet.site import Site
from benchmarks.fleet.table import load, part, show


@click.command()
@click.option("--keepers", default="3,5", show_default=True)
@click.option("--writers", default="1,16", show_default=True)
@click.option("--seconds", default=7.0, show_default=True, help="A step.")
def registers(keepers: str, writers: str, seconds: float) -> None:
    """One register of 64 bytes; a change that finds another's is tried again, and its time goes on."""
    counts = [int(one) for one in writers.split(",")]
    rows = []
    for many in map(int, keepers.split(",")):
        site = Site(many, many, max(counts))
        try:
            site.settle(many)
            for count in counts:
                site.ask(Ask("write", member="bench/warm", seconds=0.5), site.writers[:count])
                before, began = site.looks(), time.perf_counter()
                said = site.ask(Ask("write", member=f"bench/{count}", seconds=seconds), site.writers[:count])
                after, took = site.looks(), time.perf_counter() - began
                found = [msgspec.json.decode(one, type=Written) for one in said]
                times = [1000 * one for row in found for one in row.times_s]
                syncs = [new.syncs - old.syncs for old, new in zip(before, after, strict=True)]
                sync_s = sum(new.sync_s - old.sync_s for old, new in zip(before, after, strict=True))
                least = min(len(one.times_s) for one in found)
                # An `unknown` one may have happened: what has is counted by the fence, and the key is a new one.
                figures = (max(one.fence for one in found) / took, part(times, 0.5), part(times, 0.99), max(times))
                unknown = sum(one.unknown for one in found)
                disk = (sum(syncs) / many / took / 2, 1000 * sync_s / max(1, sum(syncs)))
                rows.append((many, count, *figures, least, unknown, *disk, load()))
        finally:
            site.close()
    show(
        ("keepers", "writers", "changes/s", "p50 ms", "p99 ms", "worst ms", "fewest of a writer", "unknown")
        + ("commits/s a keeper (2 fsyncs each)", "mean fsync ms", "load 1, 5 min"),
        rows,
    )
