"""Figures and tables."""

import math
import os
from collections.abc import Iterable, Sequence

import click


def part(values: Sequence[float], share: float) -> float:
    """A quantile: the value that at least this share is at or below; nan of nothing."""
    return sorted(values)[max(0, math.ceil(len(values) * share) - 1)] if values else math.nan


def show(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table, and the machine's load as it is now."""
    click.echo("| " + " | ".join(columns) + " |\n|" + " --- |" * len(columns))
    for row in rows:
        click.echo("| " + " | ".join(f"{one:.4g}" if isinstance(one, float) else str(one) for one in row) + " |")
    click.echo(f"\nload {load()}, {os.cpu_count()} cores")


def load() -> str:
    """The load of the last 1 and 5 minutes."""
    one, five, _ = os.getloadavg()
    return f"{one:.1f} {five:.1f}"
