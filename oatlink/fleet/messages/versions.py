"""Layout versions: messages between nodes and the sequencer. No logic."""

import msgspec

from oatlink.fleet.messages.base import Message


class Marker(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Position of a version's step in the replicated log of a shard.

    Every member that has applied `history` up to `offset` has applied the step.
    """

    version: int
    history: str
    offset: int


class ShardOffer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Versions that a shard offers, and the markers that show which of its members offer them."""

    shard: str
    versions: tuple[int, ...]
    markers: tuple[Marker, ...] = ()


class Adopt(Message, frozen=True, gc=False):
    """Request of a node for the versions that it may serve. `busy`: versions with requests of this node pending.

    `heard`: the newest `ask` whose answer the node accepted. `since`: the first `ask` of this process. A restarted
    process does not know which requests of the process before it are still pending.
    """

    ask: int
    fence: int
    busy: tuple[int, ...] = ()
    heard: int = 0
    since: int = 0


class Adopted(Message, frozen=True, gc=False):
    """Answer of the sequencer: the versions that may be served, and the shards that offer them.

    It is valid for `term_us`, counted by the node from before it sent its request.
    """

    ask: int
    fence: int
    term_us: int
    versions: tuple[int, ...]
    default: int
    offers: tuple[ShardOffer, ...] = ()


class NotSequencer(Message, frozen=True, gc=False):
    """The receiver is not the sequencer. `sequencer`: the node that it believes to be it, empty if unknown."""

    ask: int
    sequencer: str = ""
