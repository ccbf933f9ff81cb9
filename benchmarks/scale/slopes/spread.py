"""Verdicts of one node by values when so many members are seen to fail in the same second: bytes and time."""

from benchmarks.scale.measure import Measurement, Values
from oatlink.fleet.envelope import encode
from oatlink.fleet.messages import Evidence, Gossip, Tell
from oatlink.fleet.verdicts.spread import ENVELOPE_BYTES, ROUND_US, Spread

NODES = 3_600
LONGEST_S = 120


def _run(members: int) -> Values:
    names = tuple(f"gw-{at:05}" for at in range(NODES))
    spread = Spread(names[0], 1 << 40, names, 1, 0.001)
    now = 1_000_000
    for at in range(members):
        word = Evidence(names[1 + at], (1 << 40) + at, 1, f"db-{at // 12:04}-{at % 12:02}", "hung", 1_000, "", -1)
        spread.receive(names[1 + at], Gossip((word,)), now)
    a_second: list[int] = []
    messages = 0
    while spread.due_us < now + 1_000_000 and len(a_second) < LONGEST_S:
        end, sent = now + 1_000_000, 0
        while now < end:
            for one in spread.tick(now):
                if isinstance(one, Tell):
                    sent += ENVELOPE_BYTES + len(encode(one.message))
                    messages += 1
            now += ROUND_US
        a_second.append(sent)
    return {
        "worst_second_bytes": max(a_second),
        "busy_s": sum(one > 0 for one in a_second),
        "bytes": sum(a_second),
        "messages": messages,
        "unsent_words": spread.dropped,
    }


MEASUREMENT = Measurement(
    "spread",
    "verdicts of one of 3,600 nodes on members seen to hang in the same second",
    "members",
    (12, 90, 180, 380, 760, 1_440),
    _run,
)
