"""One table of control: today and with the stream, at the sizes that were played. It plays nothing."""

from collections.abc import Sequence

from benchmarks.scale.hollow import tables
from oatlink.lab.scale.judge import Finding, InForce

HEAD = """# Control: today and with the stream

Made by `python -m benchmarks.scale.hollow report`. In force: p50 / p99 / longest, in seconds, and the share of pairs of
change and gateway where it is not all. CPU is of this machine's run, in the cores alone, without sockets.
"""
IDLE = (
    ("idle gateway, bytes/s", "idle: bytes/s a gateway", "3,000"),
    ("busiest idle gateway, bytes/s", "idle: bytes/s at the busiest gateway", "3,000"),
    ("idle relay, bytes/s", "idle: bytes/s a relay", "3,000"),
    ("busiest idle relay, bytes/s", "idle: bytes/s at the busiest relay", "3,000"),
    ("idle source, bytes/s", "idle: bytes/s a source", "-"),
    ("idle gateway, messages/s", "idle: messages/s a gateway", "-"),
    ("idle relay, messages/s", "idle: messages/s a relay", "-"),
    ("idle source, messages/s", "idle: messages/s a source", "-"),
    ("relays", "idle: relays", "-"),
    ("a gateway's core, KB", "KB of memory, a gateway's core", "65,536"),
    ("a relay's core, KB", "KB of memory, a relay's core", "65,536"),
    ("a source's core, KB", "KB of memory, a source's core", "-"),
)


def page(findings: Sequence[Finding], costs: dict[int, dict[str, float]]) -> str:
    """All of it. `costs`: what the plays of events took in the cores, by size."""
    sizes = sorted({one.gateways for one in findings if one.scenario.startswith("control ")})
    heads = ("what", "allowed", "carrier", *(f"{size:,}" for size in sizes))
    idle: list[tuple[object, ...]] = []
    today = {one.gateways: one.steady for one in findings if one.scenario == "idle"}
    name = "fleet bytes/s a gateway"
    idle.append(("idle node, bytes/s", "3,000", "today", *(today.get(one, {}).get(name, "-") for one in sizes)))
    events = _of(findings, "control events")
    for title, name, allowed in IDLE:
        found = [events[one].steady.get(name, "-") if one in events else "-" for one in sizes]
        idle.append((title, allowed, "stream", *found))
    for title in ("gateway", "relay", "source"):
        name = f"idle: ms of CPU a second in the cores of a {title}"
        allowed = "-" if title == "source" else "38"
        row = [costs.get(one, {}).get(name, "-") for one in sizes]
        idle.append((f"idle {title}, ms of CPU a second", allowed, "stream", *row))
    parts = [HEAD, "## Idle\n\n" + tables.table(heads, idle), "## In force\n\n" + tables.table(heads, _waits(findings))]
    for scenario in ("control events", "control return", "control hour", "control minute", "control day"):
        rows = _steady(_of(findings, scenario), sizes)
        if rows:
            parts.append(f"## Counts of {scenario}\n\n" + tables.table(("what", *heads[3:]), rows))
    return "\n".join(parts)


def _of(findings: Sequence[Finding], scenario: str) -> dict[int, Finding]:
    return {one.gateways: one for one in findings if (one.scenario, one.carrier) == (scenario, "stream")}


def _waits(findings: Sequence[Finding]) -> list[tuple[object, ...]]:
    found: dict[tuple[str, str], dict[int, str]] = {}
    sizes = sorted({one.gateways for one in findings if one.scenario.startswith("control ")})
    for one in findings:
        if one.scenario.startswith("control "):
            for wait in one.in_force:
                found.setdefault((wait.what, one.carrier), {})[one.gateways] = _text(wait)
    return [
        (what, "5", carrier, *(row.get(size, "-") for size in sizes)) for (what, carrier), row in sorted(found.items())
    ]


def _text(one: InForce) -> str:
    if not one.reached:
        return "never"
    some = [f"{wait:.2f}" if wait is not None else "never" for wait in (one.p50_s, one.p99_s, one.longest_s)]
    return " / ".join(some) + (f" ({one.reached:.1%})" if one.reached < 1 else "")


def _steady(found: dict[int, Finding], sizes: Sequence[int]) -> list[tuple[object, ...]]:
    named = {name for _, name, _ in IDLE}
    names = dict.fromkeys(name for one in found.values() for name in one.steady if name not in named)
    return [(name, *(found[one].steady.get(name, "-") if one in found else "-" for one in sizes)) for name in names]
