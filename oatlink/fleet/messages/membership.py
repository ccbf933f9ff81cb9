"""Membership: the heartbeats of nodes. No logic."""

from oatlink.fleet.messages.base import Message


class Alive(Message, frozen=True, gc=False):
    """Heartbeat of a node. `leaving`: the node is about to shut down in an orderly way.

    `heard`: some of the other nodes that the sender knows to be alive, as (index among all nodes sorted by name,
    milliseconds since their last sign of life).
    """

    incarnation: int
    leaving: bool = False
    heard: tuple[tuple[int, int], ...] = ()
