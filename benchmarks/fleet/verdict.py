"""From what one node saw to the last one's hearing of it. All processes of one machine have the same clock."""

import random
import time

import click
import msgspec

from benchmarks.fleet.host import Ask
from benchmarks.fleet.site import Site
from benchmarks.fleet.table import load, part, show

SETTLE_S = 4.0  # a link that is not up by then is dialled for the word
LAST_S = 1.5  # after the last event: more rounds than a word has


@click.command()
@click.option("--nodes", default="5,50", show_default=True, help="Sizes of fleets, all there at once.")
@click.option("--events", default=30, show_default=True)
@click.option("--gap", default=0.9, show_default=True, help="Seconds between two events of one fleet.")
def verdict(nodes: str, events: int, gap: float) -> None:
    """Events one after the other, each of another member at a node drawn at random; processes of one node each."""
    draws = random.Random(1)
    counts = [int(one) for one in nodes.split(",")]
    sites: list[Site] = []
    began: list[dict[str, tuple[str, int]]] = [{} for _ in counts]
    heard: list[dict[str, dict[str, int]]] = [{} for _ in counts]
    try:
        for count in counts:
            sites.append(Site(count, min(5, count)))
        for site, count in zip(sites, counts, strict=True):
            site.settle(min(5, count))
        time.sleep(SETTLE_S)
        for at in range(events):
            for site, told in zip(sites, began, strict=True):
                name = draws.choice(site.names)
                told[f"box-{at}"] = name, int(site.ask(Ask("saw", member=f"box-{at}"), [name])[0])
                time.sleep(gap / len(sites) * (0.8 + 0.4 * draws.random()))
        time.sleep(LAST_S)
        for site, found in zip(sites, heard, strict=True):
            for line in site.ask(Ask("heard"), site.names):
                found |= msgspec.json.decode(line, type=dict[str, dict[str, int]])
    finally:
        for site in sites:
            site.close()
    rows = [row_of(count, told, found) for count, told, found in zip(counts, began, heard, strict=True)]
    show(
        ("nodes", "events", "any node p50 ms", "last node: least ms", "p50", "p90", "worst", "never heard")
        + ("load 1, 5 min",),
        rows,
    )


def row_of(count: int, began: dict[str, tuple[str, int]], heard: dict[str, dict[str, int]]) -> tuple[object, ...]:
    """One fleet's figures."""
    last, missed, each = [], 0, []
    for member, (witness, at_us) in began.items():
        found = [one.get(member, -1) for name, one in heard.items() if name != witness]
        missed += found.count(-1)
        each += [(one - at_us) / 1000 for one in found if one >= 0]
        last.append((max(found) - at_us) / 1000)
    return count, len(began), part(each, 0.5), min(last), part(last, 0.5), part(last, 0.9), max(last), missed, load()
