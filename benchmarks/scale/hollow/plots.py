"""Plots of what was played, as svg whose bytes follow from the figures alone."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
matplotlib.rcParams["svg.hashsalt"] = "oatlink"

from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from oatlink.lab.scale.judge import Finding  # noqa: E402


def over_time(folder: Path, findings: Sequence[Finding], kind: str, scenario: str, first_s: int, last_s: int) -> Path:
    """A count a second at a gateway, one line a size."""
    figure, axes = plt.subplots(figsize=(7, 3.6))
    for one in findings:
        pairs = [(second, amount / one.gateways) for second, amount in one.lines.get(kind, [])]
        pairs = [pair for pair in pairs if first_s <= pair[0] < last_s]
        label = f"{one.gateways:,} / {one.databases:,}"
        axes.plot([pair[0] for pair in pairs], [pair[1] for pair in pairs], label=label)
    axes.set(xlabel="simulated second", ylabel=f"{kind} a second, mean gateway", title=f"{scenario}: {kind}")
    axes.legend(title="gateways / databases")
    return _kept(folder / f"{scenario}-{kind}.svg", figure)


def by_size(folder: Path, findings: Sequence[Finding], name: str, title: str, allowed: float = 0.0) -> Path:
    """A steady figure by size, both axes by powers of ten."""
    figure, axes = plt.subplots(figsize=(7, 3.6))
    kinds = sorted({(one.scenario, one.played.rpartition(", ")[2]) for one in findings if one.steady.get(name)})
    for scenario, played in kinds:
        some = [
            one
            for one in findings
            if (one.scenario, one.played.rpartition(", ")[2]) == (scenario, played) and one.steady.get(name)
        ]
        some.sort(key=lambda one: one.gateways)
        sizes, amounts = [one.gateways for one in some], [one.steady[name] for one in some]
        axes.plot(sizes, amounts, "o-", label=f"{scenario}, {played}")
    if allowed:
        axes.axhline(allowed, color="black", linestyle="--", label=f"allowed: {allowed:,.0f}")
    axes.set(xscale="log", yscale="log", xlabel="gateways", ylabel=name, title=title)
    axes.legend()
    return _kept(folder / (title.replace(" ", "-") + ".svg"), figure)


def _kept(path: Path, figure: Figure) -> Path:
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path
