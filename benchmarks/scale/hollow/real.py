"""Hollow against real: an idle fleet of processes with sockets, and the same one hollow."""

import time
from pathlib import Path

import click
import msgspec

from benchmarks.fleet.site import Site
from benchmarks.fleet.table import load
from benchmarks.scale.hollow import tables
from oatlink.lab.scale.scenarios.idle import measured
from oatlink.lab.scale.size import Size

KEPT = Path("docs/measurements/scale/real.json")
MOST_REAL = 60


class Row(msgspec.Struct):
    """One size: real and hollow, a second and node."""

    nodes: int
    settled_s: int  # from the last node's start until what is counted
    seconds: float
    real: dict[str, float]
    hollow: dict[str, float]
    cpu_ms_s: float  # of a real node
    load: str


@click.command()
@click.option("--nodes", default="10,20,40", show_default=True, help="Sizes, one after the other; 60 at most.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--settle", default=8.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def real(nodes: str, seconds: float, settle: float, seed: int) -> None:
    """Play both at each size; the table goes to stdout, the rows are kept."""
    rows = []
    for count in (int(one) for one in nodes.split(",")):
        if not 3 <= count <= MOST_REAL:
            raise click.BadParameter(f"expected 3 to {MOST_REAL} processes, got {count}")
        click.echo(f"{count} processes ...", err=True)
        rows.append(_row(count, seconds, settle, seed))
    KEPT.parent.mkdir(parents=True, exist_ok=True)
    KEPT.write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=1) + b"\n")
    click.echo(table(rows))


def _row(count: int, seconds: float, settle: float, seed: int) -> Row:
    site = Site(count, min(5, count))
    started = time.perf_counter()  # the last of them; the first ones are up to a second or two older
    try:
        site.settle(min(5, count))
        time.sleep(settle)
        before, began = site.looks(), time.perf_counter()
        time.sleep(seconds)
        after, took = site.looks(), time.perf_counter() - began
    finally:
        site.close()
    counted = {
        name: sum(new.counters.get(key, 0) - old.counters.get(key, 0) for old, new in zip(before, after, strict=True))
        for name, key in (("bytes", "bytes_out"), ("messages", "sent"), ("dials", "dialled"))
    }
    cpu_s = sum(new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True))
    names = tuple(f"n{at}" for at in range(count))
    settled_s = round(began - started)
    found = measured(Size(count, 2 * count), count, seed, names=names, settle_s=settled_s).steady
    return Row(
        count,
        settled_s,
        round(took, 1),
        {name: round(amount / count / took, 3) for name, amount in counted.items()},
        {name: found[f"fleet {name}/s a gateway"] for name in counted},
        round(1000 * cpu_s / count / took, 2),
        load(),
    )


def table(rows: list[Row]) -> str:
    """As the page has it."""
    heads = ("nodes", "after s", "a second and node", "real", "hollow", "hollow / real", "load 1, 5 min")
    found: list[tuple[object, ...]] = []
    for row in rows:
        for name, real_one in row.real.items():
            part = _part(row.hollow[name], real_one)
            found.append((row.nodes, row.settled_s, name, real_one, row.hollow[name], part, row.load))
    return tables.table(heads, found)


def _part(one: float, other: float) -> str:
    return f"{one / other:.3f}" if other else "-"
