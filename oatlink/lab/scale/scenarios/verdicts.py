"""A zone's databases are lost, and each gateway says so of each as it meets it, 0.25 a second."""

from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.verdicts import spread
from oatlink.fleet.verdicts.evidence_store import MAX_TOPICS, EvidenceStore
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.judge import Finding, Waits, peaks
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.rumours import Rumours
from oatlink.lab.scale.size import STATEMENTS_S, database_zone, gateway_zone
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.tally import SECOND_US, Tally

ZONE, SECONDS = 7, 3


def play(order: Order) -> Finding:
    """In force is a verdict on a lost database that a gateway has heard of or seen itself."""
    size, seconds = order.size, 2 if order.brief else SECONDS
    time, tally, waits = Timeline(), Tally(), Waits()
    lost = [one for one in range(size.databases) if database_zone(one) == ZONE]
    gone = [one for one in range(size.gateways) if gateway_zone(one) == ZONE]
    known: dict[int, set[str]] = {one: set() for one in range(size.gateways)}
    own = [0]

    def heard(gateway: int, word: f.Evidence) -> None:
        if word.member not in known[gateway]:
            known[gateway].add(word.member)
            own[0] += word.witness == rumours.names[gateway]
            waits.saw(word.member, time.now)

    rumours = Rumours(size.gateways, gone, time, tally, order.seed, heard)
    for one in lost:
        waits.expect(f"db-{one}", len(rumours.cores))
    rate_s = STATEMENTS_S / size.databases * len(lost)
    for gateway in rumours.cores:
        _meets(rumours, gateway, lost, rate_s, Random(f"{order.seed}/{gateway}/meets"))
    time.run(seconds * SECOND_US)
    played = f"{len(rumours.cores)} whole nodes, verdicts alone"
    found = Finding("verdicts", size.gateways, size.databases, order.seed, "today", played, float(seconds))
    found.peaks = peaks(tally, size)
    for gateway, members in known.items():
        if gateway in rumours.cores and len(members) < len(lost):
            waits.name(f"gateway {gateway}")
    found.in_force.append(waits.judged(f"verdicts on {len(lost)} databases known"))
    total = sum(len(one) for one in known.values())
    found.steady["share known by own sight"] = round(own[0] / max(1, total), 3)
    found.steady["words dropped a node"] = round(
        sum(one.dropped for one in rumours.cores.values()) / len(rumours.cores), 1
    )
    found.steady["words kept at the fullest node"] = float(max(len(one) for one in rumours.cores.values()))
    found.notes.append(
        f"each node may send {spread.MAX_BYTES_PER_S:,} bytes a second ({at(spread.Spread._available_bytes)}) and "
        f"keeps {MAX_TOPICS:,} topics ({at(EvidenceStore._ensure_room)}): a zone's loss takes all bytes"
    )
    return found


def _meets(rumours: Rumours, gateway: int, lost: list[int], rate_s: float, draw: Random) -> None:
    def meet() -> None:
        rumours.time.after(1 + round(draw.expovariate(rate_s) * 1e6), meet)
        rumours.saw(gateway, f"db-{draw.choice(lost)}", "refused")

    rumours.time.after(1 + round(draw.expovariate(rate_s) * 1e6), meet)
