"""`python -m benchmarks.scale.hollow play|report|real`."""

import click

from benchmarks.scale.hollow.play import play


@click.group()
def hollow() -> None:
    """Scenarios at size by hollow gateways and databases."""


hollow.add_command(play)

if __name__ == "__main__":
    hollow()
