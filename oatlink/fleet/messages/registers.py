"""Agreed registers (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). No logic."""

import msgspec

from oatlink.fleet.messages.base import Message


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """The number of a try. `incarnation` keeps a proposer that started again from using a number twice."""

    counter: int = 0
    node: str = ""
    incarnation: int = 0


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a register holds. `fence` grows by one at each change; `writer` tells whose change it was."""

    fence: int = 0
    writer: str = ""
    value: bytes = b""


class Prepare(Message, frozen=True, gc=False):
    """Promise to take no lower ballot, and say what was accepted."""

    key: str
    ballot: Ballot


class Promise(Message, frozen=True, gc=False):
    """The answer to `Prepare`; `accepted` is the lowest ballot where nothing was accepted yet."""

    key: str
    ballot: Ballot
    accepted: Ballot
    record: Record
    life: int = 0
    met: tuple[tuple[str, int], ...] = ()  # the newest life of each other keeper (`registers.recovery`)


class Accept(Message, frozen=True, gc=False):
    """Take this record, unless a higher ballot was promised, and promise `next` where it is higher."""

    key: str
    ballot: Ballot
    record: Record
    next: Ballot = Ballot()


class Accepted(Message, frozen=True, gc=False):
    """The answer to `Accept`; `next` is what was promised with it."""

    key: str
    ballot: Ballot
    life: int = 0
    met: tuple[tuple[str, int], ...] = ()
    next: Ballot = Ballot()


class Outbid(Message, frozen=True, gc=False):
    """The answer to `Prepare` or `Accept` with a ballot too low: the one that was promised."""

    key: str
    ballot: Ballot
    promised: Ballot


class Look(Message, frozen=True, gc=False):
    """Say what was accepted; nothing is promised. `ballot` is a mark, never used before, that the answer bears."""

    key: str
    ballot: Ballot


class Looked(Message, frozen=True, gc=False):
    """The answer to `Look`; `copied` where the record was taken over and not voted for."""

    key: str
    ballot: Ballot
    accepted: Ballot
    record: Record
    life: int = 0
    met: tuple[tuple[str, int], ...] = ()
    copied: bool = False


class Kept(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One register as a keeper has it on disk. `copied`: taken over under a higher promise, so it is no vote."""

    key: str
    promised: Ballot
    accepted: Ballot
    record: Record
    copied: bool = False


class Met(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The newest life of another keeper; `fresh` where nothing had ever been voted here when it was met."""

    keeper: str
    life: int
    fresh: bool = False


class Standing(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a keeper has on disk of itself: which life of it the file is, whether it votes, whom it has met."""

    life: int
    begun: bool = False
    met: tuple[Met, ...] = ()


class Copy(Message, frozen=True, gc=False):
    """A keeper without its file, in its new life, asks for the registers whose keys come after this one."""

    life: int
    after: str = ""


class Copied(Message, frozen=True, gc=False):
    """A page of registers for that life of the asker; `newest` above it: the asker has had a newer one.

    `own` is the life of the one that answers, `begun` whether it votes, `fresh` whether it had never voted when it
    first met this life of the asker, `last` whether no register comes after these.
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
