"""The tables and plots of all that is kept, under `docs/measurements/scale/`. It plays nothing."""

from pathlib import Path

import click

from benchmarks.scale.hollow import control, kept, plots, tables
from oatlink.lab.scale.judge import Finding

PAGE, CONTROL = "tables.md", "control.md"
HEAD = """# Scale: what was played

Made by `python -m benchmarks.scale.hollow report` from `results/`; counts and simulated times, the same for a seed.
`grows as n^` is the exponent between the least size and the largest: 0 is flat, 1 as the fleet, 2 as its square.
A database's, discovery's and the six machines' figures are those of the mean one or of all together, as they say.
"""


@click.command()
@click.option("--folder", type=click.Path(path_type=Path), default=kept.FOLDER, show_default=True)
@click.option("--to", type=click.Path(path_type=Path), default=Path("docs/measurements/scale"), show_default=True)
def report(folder: Path, to: Path) -> None:
    """Write `tables.md` and the plots anew."""
    found = kept.read(folder)
    if not found:
        raise click.ClickException(f"nothing is kept under {folder}: play first")
    parts = [
        HEAD,
        "## How long until in force\n\n" + tables.waits(found),
        "## The worst second\n\n" + tables.peaks(found),
        "## What goes on all the time, and other counts\n\n" + tables.steady(found),
        "## Who was starved\n\n" + tables.said(found, ("starved",)),
        "## Rules that broke\n\n" + tables.said(found, ("broken",)),
        "## Lines at fault\n\n" + tables.lines(found),
        "## CPU of the plays\n\nOf this machine, apart from all above.\n\n" + _cpu(folder),
    ]
    plotted = _plots(to / "plots", found)
    parts.append("## Plots\n\n" + "\n".join(f"![{one.stem}](plots/{one.name})" for one in plotted) + "\n")
    (to / PAGE).write_text("\n".join(parts))
    if any(one.carrier == "stream" for one in found):
        (to / CONTROL).write_text(control.page(found, _costs(folder)))
    click.echo(f"{to / PAGE}, {len(plotted)} plots, of {len(found)} plays", err=True)


def _plots(folder: Path, found: list[Finding]) -> list[Path]:
    made = []
    for scenario, kinds, first_s, last_s in (
        ("start", ("checks", "dials"), 0, 24),
        ("release", ("checks",), 0, 30),
        ("zone", ("checks",), 0, 24),
        ("region", ("checks",), 0, 40),
        ("primaries", ("checks", "unserved"), 4, 30),
    ):
        some = [one for one in found if one.scenario == scenario and not one.played.endswith(", any")]
        made += [plots.over_time(folder, some, kind, scenario, first_s, last_s) for kind in kinds if some]
    start = [one for one in found if one.scenario == "start"]
    idle = [one for one in found if one.scenario == "idle"]
    if start:
        name = "check bytes/s a gateway"
        made.append(plots.by_size(folder, start, name, "bytes of checks by size", 3_000))
    if idle:
        made.append(plots.by_size(folder, idle, "fleet bytes/s a gateway", "bytes of an idle node by size", 3_000))
    stream = [one for one in found if (one.scenario, one.carrier) == ("control events", "stream")]
    if stream:
        for role in ("gateway", "relay", "source"):
            title = f"bytes of an idle {role} of the stream by size"
            allowed = 0.0 if role == "source" else 3_000
            made.append(plots.by_size(folder, stream, f"idle: bytes/s a {role}", title, allowed))
    return made


def _costs(folder: Path) -> dict[int, dict[str, float]]:
    """What the cores of the stream took while idle, by size."""
    found = {}
    for path in sorted(folder.glob("control-events-*-stream-*.json")):
        cost = kept.cost_of(folder, path.name)
        if cost is not None:
            found[int(path.stem.rpartition("-")[2].partition("x")[0])] = cost.parts
    return found


def _cpu(folder: Path) -> str:
    rows = []
    for path in sorted(folder.glob("*.json")):
        cost = kept.cost_of(folder, path.name)
        if cost is not None:
            rows.append((path.stem, cost.cpu_s, cost.load, cost.cores))
    return tables.table(("play", "CPU s", "load 1, 5 min", "cores"), rows)
