"""What nodes say of members. No logic."""

import msgspec

from oatlink.fleet.messages.base import Message


class Evidence(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An event seen by one gateway, `age_us` ago when this was sent.

    `kind`: served, hung, refused, reset, full, cold_fall, primary (a role claim), position. `history` and `offset`
    where the member said them: a replication id and a position in it.
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
    """Evidence passed on."""

    evidence: tuple[Evidence, ...]
