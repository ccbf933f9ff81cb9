"""`python -m benchmarks.scale.hollow play|report|real|sample`."""

import click

from benchmarks.scale.hollow.play import play
from benchmarks.scale.hollow.real import real
from benchmarks.scale.hollow.report import report
from benchmarks.scale.hollow.sample import sample


@click.group()
def hollow() -> None:
    """Scenarios at size by hollow gateways and databases."""


for one in (play, report, real, sample):
    hollow.add_command(one)

if __name__ == "__main__":
    hollow()
