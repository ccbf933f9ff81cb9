"""Rate limits: messages between nodes and the coordinators, which grant shares of allowances. No logic.

The names of the messages call the coordinator the *home* of its allowances.
"""

import msgspec

from oatlink.fleet.messages.base import Message


class Demand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Recent demand on one allowance at a node, in requests per second, and the serial of the node's current grant."""

    name: str
    rate: float
    serial: int = 0


class Want(Message, frozen=True, gc=False):
    """Request of a node to the coordinator of its allowances. `ask` numbers the requests of a node.

    By the number in the answer the node knows when it sent the request.
    """

    ask: int
    shard: int
    demands: tuple[Demand, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A share of an allowance. A grant with a newer serial replaces the older one.

    It is valid for `term_us`, counted by the node from before it sent its request.
    """

    name: str
    serial: int
    rate: float
    burst: float
    term_us: int


class Grants(Message, frozen=True, gc=False):
    """Answer of a coordinator. `fence` is that of its lease: a node ignores answers with a lower fence than seen."""

    ask: int
    shard: int
    fence: int
    grants: tuple[Grant, ...]


class Returned(Message, frozen=True, gc=False):
    """A node has stopped using these grants, each as (name, serial)."""

    shard: int
    grants: tuple[tuple[str, int], ...]


class NotHome(Message, frozen=True, gc=False):
    """The receiver of a `Want` is not the coordinator. `home`: the node that it believes to be it, empty if unknown."""

    ask: int
    shard: int
    home: str = ""
