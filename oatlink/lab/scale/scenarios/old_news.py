"""A node that says again and again what it said and heard long ago, on connections that are its own.

What is recorded on a connection cannot be played on another one (`fleet/envelope.py`). This node has the key: its
process was restored from an image, or its memory is at fault.
"""

from collections import Counter
from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.verdicts import spread
from oatlink.fleet.verdicts.evidence_store import EvidenceStore
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.judge import Finding, peaks
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.rumours import Rumours
from oatlink.lab.scale.scenarios.disturbed import disturbed
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.tally import SECOND_US, Tally

WITNESSES, AT = 3, 5
SAID_S, END_S = 1, 13
WAVES_S = (2, 6, 11)  # the first while the words live (4 s), the others when they are dead
BRIEF_END_S, BRIEF_WAVES_S = 8, (2, 6)


def play(order: Order) -> Finding:
    """Three gateways see one database refuse, once. The rule: a word that has died is not taken in again."""
    size = order.size
    end_s, waves_s = (BRIEF_END_S, BRIEF_WAVES_S) if order.brief else (END_S, WAVES_S)
    time, tally = Timeline(), Tally()
    taken: Counter[int] = Counter()
    kept: list[f.Gossip] = []
    draw = Random(f"{order.seed}/old news")

    def heard(gateway: int, word: f.Evidence) -> None:
        taken[time.now // SECOND_US] += 1

    def listen(sender: int, to: int, message: f.Message) -> None:
        if to == AT and isinstance(message, f.Gossip) and time.now < 2 * SECOND_US:
            kept.append(message)

    def again() -> None:
        for message in kept:
            for to in draw.sample([one for one in range(size.gateways) if one != AT], spread.FAN_OUT):
                rumours.send(AT, to, message)

    rumours = Rumours(size.gateways, (), time, tally, order.seed, heard)
    rumours.listeners.append(listen)
    for witness in range(WITNESSES):
        time.at(SAID_S * SECOND_US, rumours.saw, 10 + witness, "db-1", "refused")
    for wave_s in waves_s:
        time.at(wave_s * SECOND_US, again)
    time.run(end_s * SECOND_US)
    played = f"{len(rumours.cores)} whole nodes, verdicts alone"
    found = Finding("old news", size.gateways, size.databases, order.seed, "today", played, float(end_s))
    found.peaks = peaks(tally, size, waves_s[0])
    for wave_s in waves_s:
        count = taken[wave_s] + taken[wave_s + 1]
        found.steady[f"words taken in anew after the wave at {wave_s} s, a node"] = round(count / size.gateways, 2)
    dead = sum(taken[wave_s] + taken[wave_s + 1] for wave_s in waves_s[1:])
    if dead:
        found.broken.append(f"words that had died were taken for new {dead:,} times")
        found.notes.append(
            f"an age is reckoned from when a word came ({at(EvidenceStore.put, 'seen_us')}) and what has died "
            f"is forgotten with its serial ({at(EvidenceStore._sweep, 'def ')}): said again, it lives "
            "again, at every node"
        )
    disturbed(order, found, "replay")
    return found
