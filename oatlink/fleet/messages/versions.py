"""What nodes and the sequencer say of versions. No logic."""

import msgspec

from oatlink.fleet.messages.base import Message


class Marker(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where in a shard's replicated log a version's step stands: whoever holds `offset` of `history` has applied it."""

    version: int
    history: str
    offset: int


class ShardOffer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Which versions a shard offers, and the markers that tell which of its members do."""

    shard: str
    versions: tuple[int, ...]
    markers: tuple[Marker, ...] = ()


class Adopt(Message, frozen=True, gc=False):
    """A node asks which versions it may serve; `busy` are those that something of it is still out for.

    `heard`: the newest ask whose answer it took. `since`: the first ask of this process: a new one has lost sight of
    what the one before had out.
    """

    ask: int
    fence: int
    busy: tuple[int, ...] = ()
    heard: int = 0
    since: int = 0


class Adopted(Message, frozen=True, gc=False):
    """The sequencer's answer: what may be served for `term_us` from before it was asked, and by whom it is offered."""

    ask: int
    fence: int
    term_us: int
    versions: tuple[int, ...]
    default: int
    offers: tuple[ShardOffer, ...] = ()


class NotSequencer(Message, frozen=True, gc=False):
    """The one asked does not sequence; whom it takes for it, or empty."""

    ask: int
    sequencer: str = ""
