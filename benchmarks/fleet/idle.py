"""What a node costs that nobody asks for anything: bytes and CPU a second."""

import time

import click

from benchmarks.fleet.site import Site
from benchmarks.fleet.table import load, show


@click.command()
@click.option("--nodes", default="5,50", show_default=True, help="Sizes of fleets, 5 keepers each, all at once.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--settle", default=8.0, show_default=True, help="Seconds between the start and what is counted.")
@click.option("--verdicts/--no-verdicts", default=True)
def idle(nodes: str, seconds: float, settle: float, verdicts: bool) -> None:
    """Processes of one node each, only the fleet's shell, on uvloop; no gateway and no demand."""
    counts = [int(one) for one in nodes.split(",")]
    rows = []
    sites: list[Site] = []
    try:
        for count in counts:
            sites.append(Site(count, min(5, count), verdicts=verdicts))
        for site, count in zip(sites, counts, strict=True):
            site.settle(min(5, count))
        time.sleep(settle)
        before, began = [site.looks() for site in sites], time.perf_counter()
        time.sleep(seconds)
        after, took = [site.looks() for site in sites], time.perf_counter() - began
    finally:
        for site in sites:
            site.close()
    for count, olds, news in zip(counts, before, after, strict=True):
        cpu_ms = [1000 * (new.cpu_s - old.cpu_s) / took for old, new in zip(olds, news, strict=True)]
        counted = {
            name: sum(
                new.counters.get(name, 0) - old.counters.get(name, 0) for old, new in zip(olds, news, strict=True)
            )
            for name in ("bytes_out", "bytes_in", "sent", "dialled")
        }
        words = [counted[name] / count / took for name in ("bytes_out", "bytes_in", "sent")]
        syncs = sum(new.syncs - old.syncs for old, new in zip(olds, news, strict=True))
        rows.append((count, *words, sum(cpu_ms) / count, max(cpu_ms), counted["dialled"], syncs, load()))
    show(
        ("nodes", "bytes out/s a node", "bytes in/s", "messages out/s", "CPU ms/s a node", "worst node")
        + ("dials in all", "fsyncs in all", "load 1, 5 min"),
        rows,
    )
