"""Whether some whole Routers stand for all of them: both are played at a size where all can be."""

from pathlib import Path

import click
import msgspec

from benchmarks.scale.hollow import tables
from oatlink.lab.scale.carrier import NoCarrier
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.size import Size
from oatlink.lab.scale.stage import Order, Stage, spread
from oatlink.lab.scale.tally import SECOND_US

KEPT = Path("docs/measurements/scale/sample.json")
SIZE, SECONDS, FROM_S = Size(30, 1_800), 5, 3  # a database of so many that bounded reads ask for much


def played(routers: int, seed: int) -> Finding:
    """So many whole Routers of the size above, from a common start."""
    stage = Stage(Order(SIZE, seed, NoCarrier, routers), Plan())
    stage.seat(spread(range(SIZE.gateways), routers), SIZE.gateways)
    stage.time.run(SECONDS * SECOND_US)
    return stage.finding("start", FROM_S, SECONDS)


@click.command()
@click.option("--routers", default="6", show_default=True)
@click.option("--seed", default=1, show_default=True)
def sample(routers: str, seed: int) -> None:
    """Play samples and the whole; the table goes to stdout, the findings are kept."""
    found = {}
    for count in (*(int(one) for one in routers.split(",")), SIZE.gateways):
        click.echo(f"{count} of {SIZE.gateways} Routers ...", err=True)
        found[str(count)] = played(count, seed)
    KEPT.parent.mkdir(parents=True, exist_ok=True)
    KEPT.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    click.echo(table(found))


def table(found: dict[str, Finding]) -> str:
    """A row for each figure, a column for each sample; the last is the whole."""
    rows: list[tuple[object, ...]] = []
    whole = list(found.values())[-1]
    for name in whole.steady:
        rows.append((name, *(one.steady[name] for one in found.values())))
    for at, peak in enumerate(whole.peaks):
        rows.append((f"worst second, {peak.role}: {peak.kind}", *(one.peaks[at].amount for one in found.values())))
    return tables.table(("", *(f"{name} of {SIZE.gateways}" for name in found)), rows)
