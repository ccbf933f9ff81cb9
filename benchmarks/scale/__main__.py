"""`python -m benchmarks.scale slopes|capacity`: measure slopes by size, and work out what each role costs."""

import click

from benchmarks.scale.capacity import capacity
from benchmarks.scale.measure import measure
from benchmarks.scale.slopes import (
    calls,
    checks,
    clients,
    cold,
    cut,
    failover,
    grants,
    idle,
    layouts,
    looks,
    members,
    node,
    process,
    registers,
    resp,
    servers,
    settings,
    spread,
    view,
)

MEASUREMENTS = {
    one.MEASUREMENT.name: one.MEASUREMENT
    for one in (
        calls, checks, clients, cold, cut, failover, grants, idle, layouts, looks, members, node, process, registers,
        resp, servers, settings, spread, view,
    )
}  # fmt: skip


@click.group()
def main() -> None:
    """Run from the root of the checkout: results lie under docs/measurements/scale/."""


@main.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(MEASUREMENTS)))
@click.option("--again", is_flag=True, help="Measure also the sizes that are there.")
def slopes(names: tuple[str, ...], again: bool) -> None:
    """Measure what is not there yet, one after the other; may be cut off at any time and begun again."""
    chosen = names or tuple(MEASUREMENTS)
    for at, name in enumerate(chosen):
        click.echo(f"[{at + 1}/{len(chosen)}] {MEASUREMENTS[name].what}")
        measure(MEASUREMENTS[name], again)


main.add_command(capacity)

if __name__ == "__main__":
    main()
