"""Play scenarios at sizes; what is kept already is passed over."""

from pathlib import Path

import click

from benchmarks.scale.hollow import kept
from oatlink.lab.scale.carrier import Maker, NoCarrier
from oatlink.lab.scale.gateway import ANY, BOUNDED, MIXED
from oatlink.lab.scale.scenarios import PLAYS
from oatlink.lab.scale.size import SIZES
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.stream.carrier import Stream

CARRIERS: dict[str, Maker] = {"today": NoCarrier, "stream": Stream}
TRAFFICS = {one.name: one for one in (BOUNDED, ANY, MIXED)}


@click.command()
@click.option("--scenario", multiple=True, type=click.Choice(sorted(PLAYS)), help="All, where none is given.")
@click.option("--size", "sizes", multiple=True, type=click.Choice([one.name for one in SIZES]))
@click.option("--carrier", type=click.Choice(sorted(CARRIERS)), default="today", show_default=True)
@click.option("--traffic", type=click.Choice(sorted(TRAFFICS)), default="bounded", show_default=True)
@click.option("--routers", default=6, show_default=True, help="Whole Routers a play; the others are represented.")
@click.option("--seed", default=1, show_default=True)
@click.option("--again", is_flag=True, help="Play what is kept, too.")
@click.option("--folder", type=click.Path(path_type=Path), default=kept.FOLDER, show_default=True)
def play(
    scenario: tuple[str, ...],
    sizes: tuple[str, ...],
    carrier: str,
    traffic: str,
    routers: int,
    seed: int,
    again: bool,
    folder: Path,
) -> None:
    """Play; progress on stderr. Cut it off at any time: the next run goes on behind the last whole play."""
    todo = [(size, name) for size in SIZES if not sizes or size.name in sizes for name in scenario or PLAYS]
    for at, (size, name) in enumerate(todo, 1):
        path = kept.path_of(folder, name, size, carrier, traffic)
        head = f"{at}/{len(todo)} {name} {size.name} {carrier} {traffic}"
        if path.exists() and not again:
            click.echo(f"{head}: kept", err=True)
            continue
        click.echo(f"{head} ...", err=True)
        order = Order(size, seed, CARRIERS[carrier], routers, TRAFFICS[traffic])
        _, cost = kept.keep(folder, name, order, carrier)
        click.echo(f"{head}: {cost.cpu_s:.0f} s of CPU, load {cost.load}", err=True)
