"""What nodes and homes say of allowances. No logic."""

import msgspec

from oatlink.fleet.messages.base import Message


class Demand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node has been asked for on one allowance: requests a second of late, and its live grant's serial."""

    name: str
    rate: float
    serial: int = 0


class Want(Message, frozen=True, gc=False):
    """A node asks an allowance's home; `ask` counts a node's questions, so that it knows when it asked."""

    ask: int
    shard: int
    demands: tuple[Demand, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A part of an allowance, for `term_us` from before it was asked for. A newer serial replaces the older one."""

    name: str
    serial: int
    rate: float
    burst: float
    term_us: int


class Grants(Message, frozen=True, gc=False):
    """A home's answer; `fence` is that of its lease: a node takes nothing from a lower one it has seen."""

    ask: int
    shard: int
    fence: int
    grants: tuple[Grant, ...]


class Returned(Message, frozen=True, gc=False):
    """A node uses these grants no more: (name, serial) each."""

    shard: int
    grants: tuple[tuple[str, int], ...]


class NotHome(Message, frozen=True, gc=False):
    """The one asked is not the home; whom it takes for it, or empty."""

    ask: int
    shard: int
    home: str = ""
