"""Health reports: what nodes have observed of members of banks. No logic."""

import msgspec

from oatlink.fleet.messages.base import Message


class Evidence(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An event that one gateway observed, `age_us` before this was sent.

    `kind` is one of served, hung, refused, reset, full, cold_fall, primary (the member claims this role) and position.
    `history` and `offset` are set where the member reported them: a replication id and a position in that history.
    """

    witness: str
    incarnation: int
    serial: int
    member: str
    kind: str
    age_us: int
    history: str = ""
    offset: int = -1


class Gossip(Message, frozen=True, gc=False):
    """Evidence that is passed on to other nodes."""

    evidence: tuple[Evidence, ...]
