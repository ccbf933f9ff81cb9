"""Agreed registers (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). No logic."""

import msgspec

from oatlink.fleet.messages.base import Message


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """Number of a proposal. `incarnation` prevents a restarted proposer from using the same number twice."""

    counter: int = 0
    node: str = ""
    incarnation: int = 0


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Content of a register. `fence` is incremented by each change; `writer` is the node that made the last one."""

    fence: int = 0
    writer: str = ""
    value: bytes = b""


class Prepare(Message, frozen=True, gc=False):
    """Asks an acceptor to promise to accept no lower ballot, and to return what it has accepted."""

    key: str
    ballot: Ballot


class Promise(Message, frozen=True, gc=False):
    """Answer to `Prepare`. `accepted` is the lowest ballot where nothing has been accepted yet."""

    key: str
    ballot: Ballot
    accepted: Ballot
    record: Record
    life: int = 0
    met: tuple[tuple[str, int], ...] = ()  # newest known life of each other keeper, see `registers.recovery`


class Accept(Message, frozen=True, gc=False):
    """Asks an acceptor to accept this record unless it promised a higher ballot, and to promise `next` if higher."""

    key: str
    ballot: Ballot
    record: Record
    next: Ballot = Ballot()


class Accepted(Message, frozen=True, gc=False):
    """Answer to `Accept`. `next` is the ballot that was promised along with it."""

    key: str
    ballot: Ballot
    life: int = 0
    met: tuple[tuple[str, int], ...] = ()
    next: Ballot = Ballot()


class Outbid(Message, frozen=True, gc=False):
    """Answer to a `Prepare` or `Accept` whose ballot is too low. `promised` is the ballot that outbids it."""

    key: str
    ballot: Ballot
    promised: Ballot


class Look(Message, frozen=True, gc=False):
    """Asks for the accepted record without a promise. `ballot` is a unique number by which the answer is matched."""

    key: str
    ballot: Ballot


class Looked(Message, frozen=True, gc=False):
    """Answer to `Look`. `copied`: the record was copied from another keeper, this keeper did not vote for it."""

    key: str
    ballot: Ballot
    accepted: Ballot
    record: Record
    life: int = 0
    met: tuple[tuple[str, int], ...] = ()
    copied: bool = False


class Kept(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One register as a keeper stores it on disk.

    `copied`: the record was copied from another keeper under a higher promise, so it does not count as a vote.
    """

    key: str
    promised: Ballot
    accepted: Ballot
    record: Record
    copied: bool = False


class Met(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The newest known life of another keeper.

    `fresh`: the keeper that stores this had never voted when it first learned of that life.
    """

    keeper: str
    life: int
    fresh: bool = False


class Standing(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """State that a keeper stores about itself.

    `life`: which life of the keeper the file belongs to, a new one for each file. `begun`: the keeper votes. `met`: the
    other keepers that it has met.
    """

    life: int
    begun: bool = False
    met: tuple[Met, ...] = ()


class Copy(Message, frozen=True, gc=False):
    """Request of a keeper that lost its file, in its new life, for the registers whose keys are after this one."""

    life: int
    after: str = ""


class Copied(Message, frozen=True, gc=False):
    """Answer to `Copy`: a page of registers for that `life` of the requester.

    `newest` above `life`: the requester has had a newer life. `own` is the life of the sender, `begun` whether the
    sender votes, `fresh` whether it had never voted when it first learned of this life of the requester, and `last`
    whether no register follows those on this page.
    """

    life: int
    after: str
    own: int
    begun: bool
    fresh: bool = False
    newest: int = 0
    met: tuple[tuple[str, int], ...] = ()
    registers: tuple[Kept, ...] = ()
    last: bool = False
