"""A fleet that nobody asks for anything: what its nodes say to one another all the same."""

from oatlink.fleet.membership import view
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.judge import Finding, peaks
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.nodes import Nodes, names_of
from oatlink.lab.scale.size import Size
from oatlink.lab.scale.stage import Order, spread
from oatlink.lab.scale.tally import SECOND_US, Tally

SETTLE_S, SECONDS = 8, 20
MOST_WHOLE = 900  # nodes that all are played: more of them are sampled
SAMPLE = 24


def play(order: Order) -> Finding:
    """As `python -m benchmarks.fleet idle` has it: 8 s to settle, then 20 s."""
    size = order.size
    return measured(size, size.gateways if size.gateways <= MOST_WHOLE else SAMPLE, order.seed, order.brief)


def measured(
    size: Size,
    whole: int,
    seed: int,
    brief: bool = False,
    names: tuple[str, ...] | None = None,
    settle_s: int = SETTLE_S,
) -> Finding:
    """So many whole nodes; `names` where they are not as long as a site's are."""
    settle, seconds = (2, 4) if brief else (settle_s, SECONDS)
    time, tally = Timeline(), Tally()
    Nodes(names or names_of(size.gateways), spread(range(size.gateways), whole), time, tally, seed)
    time.run((settle + seconds) * SECOND_US)
    found = Finding(
        "idle", size.gateways, size.databases, seed, "today", f"{whole} whole nodes", float(settle + seconds)
    )
    found.peaks = peaks(tally, size)
    for kind in ("fleet bytes", "fleet messages", "fleet dials"):
        amount = tally.total("gateway", kind, settle, settle + seconds) / seconds / size.gateways
        found.steady[f"{kind}/s a gateway"] = round(amount, 3)
    found.steady["s until a dead node is missed"] = view.patience_us(size.gateways) / 1e6
    found.notes += [
        f"each node keeps a record of every other ({at(view.View.__init__, '_others')}) and walks through all of them "
        f"each 2 s, and each time that it is ticked ({at(view.View.alive)}, {at(view.View._heard_entries)})",
        f"who is told is drawn anew from all ({at(view.View.tick, 'sample(present')}), so in a large fleet nearly each "
        "message is a dial",
        f"a dead node is missed later in a larger fleet, by 25 times its turn among the words ({at(view.patience_us)})",
    ]
    return found
