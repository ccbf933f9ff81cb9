"""The kinds of evidence: how long each is valid, and what it may cause at most on the node that receives it. No I/O.

This module contains the table of kinds, the check that evidence is valid, and the arithmetic of its age.

Clocks run at a rate between 1 / (1 + drift) and 1 + drift of true time. An age on the wire is in true microseconds and
is never too small: a node that has kept evidence for `passed` of its own time adds passed x (1 + drift), rounded up. By
a receiver's own clock, at most age x (1 + drift) has passed since then. The age does not include the time in transit
between two processes, which no clock here has measured. So nothing that follows from evidence may depend on how
*recent* it is (see `weigh`), and evidence is in fact valid for `life_us` plus the time in transit.
"""

from typing import NamedTuple

from oatlink.fleet.messages import Evidence

CLEARS = "clears"  # speaks in favour of the member
CHECK = "check"  # the member may be checked now
LATER = "later"  # with other witnesses: the member may be put later in the order of choice for a while
POSITION = "position"  # with other witnesses: the known position of the member may be raised

MAX_NAME_LENGTH = 128  # characters of a node's or member's name
MAX_HISTORY_LENGTH = 64
MAX_NUMBER = 2**63 - 1


class Kind(NamedTuple):
    """A kind of evidence: its lifetime, the most that it may cause, and its priority; rank 0 is passed on first."""

    life_us: int
    allows: str
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
MAX_LIFE_US = max(kind.life_us for kind in KINDS.values())


Topic = tuple[str, str, str]  # member, kind, history of a position


def topic_of(evidence: Evidence) -> Topic:
    """The topic: newer evidence of a witness on a topic replaces its older evidence on that topic."""
    return evidence.member, evidence.kind, evidence.history if evidence.kind == "position" else ""


def is_valid(evidence: Evidence) -> bool:
    """Whether it may be accepted. A kind that only a newer version knows is ignored like all that is not valid.

    Prevents every node from storing a name of any length, text that cannot be encoded, or a number that is too large.
    """
    kind = KINDS.get(evidence.kind)
    return (
        kind is not None
        and 0 <= evidence.age_us <= kind.life_us
        and 0 < len(evidence.witness) <= MAX_NAME_LENGTH
        and 0 < len(evidence.member) <= MAX_NAME_LENGTH
        and len(evidence.history) <= MAX_HISTORY_LENGTH
        and (evidence.witness + evidence.member + evidence.history).isprintable()
        and 0 <= evidence.serial <= MAX_NUMBER
        and 0 <= evidence.incarnation <= MAX_NUMBER
        and -1 <= evidence.offset <= MAX_NUMBER
        and (kind.allows != POSITION or (evidence.history != "" and evidence.offset >= 0))
    )


def aged_us(passed_us: int, drift: float) -> int:
    """At least passed x (1 + drift), in microseconds; a negative time counts as 0."""
    passed_us = max(0, passed_us)
    return passed_us + int(passed_us * drift) + 1


def remaining_life_us(evidence: Evidence, drift: float) -> int:
    """How much longer it is certainly valid by the receiver's clock; 0 or less: it has expired."""
    kind = KINDS.get(evidence.kind)
    return int((kind.life_us - evidence.age_us) / (1.0 + drift)) if kind is not None else 0
