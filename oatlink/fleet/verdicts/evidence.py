"""The kinds of evidence: how long each lives, and what it may at most do where it is heard. No I/O.

What may live here: that table, what makes a piece of evidence fit to be taken in, and how it grows old.

An age. Clocks run at a rate between 1 / (1 + drift) and 1 + drift of the true one. An age on the wire is in true
microseconds and never too small: who keeps evidence for `passed` of its own time adds passed x (1 + drift), rounded
up. A receiver's own time since then is at most age x (1 + drift). Not in it is the time under way between two
processes, which no clock here has seen; hence nothing that follows from evidence may rest on how *recent* it is (see
`weigh`), and a life of `life_us` is that plus the time under way.
"""

from typing import NamedTuple

from oatlink.fleet.messages import Evidence

CLEARS = "clears"  # speaks for the member
CHECK = "check"  # the member may be asked now
LATER = "later"  # with other witnesses: it may be put later in the turn for a while
POSITION = "position"  # with other witnesses: a known position may be raised

MOST_NAME = 128  # characters of a node's or member's name
MOST_HISTORY = 64
MOST_NUMBER = 2**63 - 1


class Kind(NamedTuple):
    """What a kind is good for. `rank` 0 is passed on before all others."""

    life_us: int
    may: str
    rank: int


KINDS = {
    "hung": Kind(4_000_000, LATER, 0),
    "refused": Kind(4_000_000, LATER, 0),
    "reset": Kind(4_000_000, LATER, 0),
    "primary": Kind(4_000_000, CHECK, 1),
    "full": Kind(2_000_000, LATER, 2),
    "served": Kind(2_000_000, CLEARS, 2),
    "cold_fall": Kind(2_000_000, CHECK, 3),
    "position": Kind(4_000_000, POSITION, 4),
}
LONGEST_US = max(one.life_us for one in KINDS.values())


Topic = tuple[str, str, str]  # member, kind, history of a position


def topic_of(evidence: Evidence) -> Topic:
    """What it is about: a newer word of one witness on one topic takes the place of the older one."""
    return evidence.member, evidence.kind, evidence.history if evidence.kind == "position" else ""


def fits(evidence: Evidence) -> bool:
    """Whether it may be taken in. A kind that a newer node knows is passed over like anything else that does not fit.

    Threat: a name without an end, text that cannot be sent on, a number that no store takes, kept by every node.
    """
    kind = KINDS.get(evidence.kind)
    return (
        kind is not None
        and 0 <= evidence.age_us <= kind.life_us
        and 0 < len(evidence.witness) <= MOST_NAME
        and 0 < len(evidence.member) <= MOST_NAME
        and len(evidence.history) <= MOST_HISTORY
        and (evidence.witness + evidence.member + evidence.history).isprintable()
        and 0 <= evidence.serial <= MOST_NUMBER
        and 0 <= evidence.incarnation <= MOST_NUMBER
        and -1 <= evidence.offset <= MOST_NUMBER
        and (kind.may != POSITION or (evidence.history != "" and evidence.offset >= 0))
    )


def grown(passed_us: int, drift: float) -> int:
    """At least passed x (1 + drift), in microseconds; a time that seems negative is none."""
    passed_us = max(0, passed_us)
    return passed_us + int(passed_us * drift) + 1


def left_us(evidence: Evidence, drift: float) -> int:
    """For how much of the receiver's own time it surely has not outlived its kind; 0 or less: it is dead."""
    kind = KINDS.get(evidence.kind)
    return int((kind.life_us - evidence.age_us) / (1.0 + drift)) if kind is not None else 0
