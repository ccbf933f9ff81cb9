"""Tables of what was played, in markdown. It plays nothing."""

import math
from collections.abc import Iterable, Sequence

from oatlink.lab.scale.judge import Finding, InForce


def table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """One table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    lines += ["| " + " | ".join(_text(one) for one in row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


def size_of(found: Finding) -> str:
    """As rows have it."""
    return f"{found.gateways:,} / {found.databases:,}"


def waits(findings: Iterable[Finding]) -> str:
    """How long until in force."""
    rows = [
        (one.scenario, one.carrier, traffic_of(one), size_of(one), *_wait(found))
        for one in findings
        for found in one.in_force
    ]
    heads = ("scenario", "carrier", "traffic", "gateways / databases", "what", "p50 s", "p99 s", "longest s", "reached")
    return table(heads, rows)


def _wait(found: InForce) -> tuple[object, ...]:
    def said(value: float | None) -> object:
        return "never" if value is None else value

    return found.what, said(found.p50_s), said(found.p99_s), said(found.longest_s), f"{found.reached:.2%}"


def peaks(findings: Iterable[Finding]) -> str:
    """The worst second of each kind, sizes side by side."""
    found: dict[tuple[str, ...], dict[int, float]] = {}
    sizes: dict[int, str] = {}
    for one in findings:
        sizes[one.gateways] = size_of(one)
        for peak in one.peaks:
            key = (one.scenario, one.carrier, traffic_of(one), peak.role, peak.kind)
            found.setdefault(key, {})[one.gateways] = peak.amount
    rows = [
        (*key, *(amounts.get(size, "-") for size in sorted(sizes)), _growth(amounts))
        for key, amounts in found.items()
        if any(amounts.values())
    ]
    heads = [sizes[size] for size in sorted(sizes)]
    return table(("scenario", "carrier", "traffic", "at one", "in the worst second", *heads, "grows as n^"), rows)


def traffic_of(found: Finding) -> str:
    """What the Routers had to do, where there are any."""
    return found.played.rpartition(", ")[2] if "Router" in found.played and "no Router" not in found.played else "-"


def _growth(amounts: dict[int, float]) -> str:
    """The exponent between the least and the largest size; 0 is flat, 1 as the fleet."""
    least, most = min(amounts), max(amounts)
    if least == most or amounts[least] <= 0 or amounts[most] <= 0:
        return "-"
    return f"{math.log(amounts[most] / amounts[least]) / math.log(most / least):.2f}"


def steady(findings: Iterable[Finding]) -> str:
    """What goes on all the time, sizes side by side."""
    found: dict[tuple[str, ...], dict[int, float]] = {}
    sizes: dict[int, str] = {}
    for one in findings:
        sizes[one.gateways] = size_of(one)
        for name, amount in one.steady.items():
            found.setdefault((one.scenario, one.carrier, traffic_of(one), name), {})[one.gateways] = amount
    rows = [
        (*key, *(amounts.get(size, "-") for size in sorted(sizes)), _growth(amounts))
        for key, amounts in found.items()
        if any(amounts.values())
    ]
    heads = [sizes[size] for size in sorted(sizes)]
    return table(("scenario", "carrier", "traffic", "what", *heads, "grows as n^"), rows)


def said(findings: Iterable[Finding], names: Sequence[str]) -> str:
    """Who was starved and which rules broke, at each size; one table."""
    rows = []
    for one in findings:
        for name in names:
            head = one.scenario, one.carrier, traffic_of(one), size_of(one)
            rows += [(*head, text) for text in getattr(one, name)]
    return table(("scenario", "carrier", "traffic", "gateways / databases", "what"), rows)


def lines(findings: Iterable[Finding]) -> str:
    """The lines at fault, each once, under the scenario that shows them."""
    notes: dict[str, dict[str, None]] = {}
    for one in findings:
        notes.setdefault(one.scenario, {}).update(dict.fromkeys(one.notes))
    return "\n".join(f"- **{name}**\n" + "\n".join(f"  - {one}" for one in some) for name, some in notes.items()) + "\n"
