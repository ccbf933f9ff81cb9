"""The capacity rows as text: a table a role, the ranking of what is missed, and the slopes that all rest on."""

import math
from collections.abc import Iterable, Sequence

from benchmarks.scale.measure import Kept
from benchmarks.scale.reading import Slopes
from benchmarks.scale.roles import ROLES
from benchmarks.scale.row import Worked, work
from benchmarks.scale.size import Size

AXES = {"checks.checks_per_request": "stale_share", "idle.bytes_per_message": "words"}


def number(value: float | None) -> str:
    """Three digits, thousands apart."""
    if value is None:
        return "not measured"
    if math.isinf(value):
        return "never"
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    rounded = round(value, 2 - math.floor(math.log10(abs(value))))
    return f"{rounded:,.{digits}f}"


def verdict(one: Worked) -> str:
    """By what factor it holds or is missed."""
    if one.factor is None:
        return "-"
    if math.isinf(one.factor):
        return "**missing**"
    return f"**{number(one.factor)} missed**" if one.is_missed else f"{number(one.factor)} held"


def rests_on(one: Worked) -> str:
    """The slopes, and how far beyond the largest size measured each was taken."""
    words = [f"`{name}`" + (f" ×{number(beyond)}" if beyond > 1 else "") for name, beyond in sorted(one.used.items())]
    return ", ".join(words) if words else f"counted: {one.row.counted}" if one.row.counted else "`control`"


def table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table of a page."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def worked(size: Size, slopes: Slopes) -> dict[str, list[Worked]]:
    """All rows at a size, by role."""
    return {role: [work(row, size, slopes) for row in rows] for role, rows in ROLES.items()}


def _allowed(one: Worked) -> str:
    if one.allowed is None:
        return "not stated"
    return number(one.allowed) + ("" if one.row.stated else " (assumed)")


def roles(found: dict[str, list[Worked]]) -> str:
    """A table for each role."""
    parts = []
    columns = (
        "when",
        "what",
        "formula",
        "at the size",
        "allowed",
        "factor",
        "rests on",
        "carried today",
        "will be carried",
        "after",
    )
    for role, rows in found.items():
        lines = [
            (
                one.row.event,
                f"{one.row.what}, {one.row.unit}" if one.row.unit else one.row.what,
                one.row.formula,
                number(one.figure),
                _allowed(one),
                verdict(one),
                rests_on(one),
                one.row.today,
                one.row.will or "as today",
                number(one.after) if one.row.after is not None else "-",
            )
            for one in rows
        ]
        parts.append(f"### {role}\n\n" + table(columns, lines))
    return "\n\n".join(parts)


def ranking(found: dict[str, list[Worked]]) -> str:
    """What is missed, the most first."""
    missed = sorted(
        (one for rows in found.values() for one in rows if one.is_missed), key=lambda one: -(one.factor or 0)
    )
    rows = [
        (
            str(at),
            "missing whole" if math.isinf(one.factor or 0) else number(one.factor),
            one.row.role,
            f"{one.row.event}: {one.row.what}",
            "" if one.row.stated else "assumed",
            one.row.will,
        )
        for at, one in enumerate(missed, 1)
    ]
    return table(("", "factor", "role", "what", "allowed is", "what will carry it"), rows)


def _machine(kept: Kept) -> str:
    least, most = kept.loads
    return f"{least:.1f} to {most:.1f}" if least != most else f"{least:.1f}"


def slopes_used(found: dict[str, list[Worked]], slopes: Slopes) -> str:
    """Each slope that a row rests on: command, sizes, fit, remainder, load."""
    names = sorted({name for rows in found.values() for one in rows for name in one.used})
    rows = []
    for name in names:
        measurement, value = name.split(".")
        kept = slopes.kept(measurement)
        axis = AXES.get(name, "")
        line = kept.line(value, axis)
        sizes = ", ".join(f"{one.size:,}" for one in kept.found)
        fit = f"{line.base:.4g} + {line.slope:.4g} · {axis or kept.axis}"
        left = f"{number(line.remainder)}, {100 * line.remainder_share:.0f}%"
        rows.append((f"`{name}`", f"{kept.axis}: {sizes}", fit, left, _machine(kept)))
    return table(("slope", "sizes", "least squares", "largest remainder", "load"), rows)
