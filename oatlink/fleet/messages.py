"""What the nodes of a fleet say to one another, and what its cores are told and ask for: values only, no logic.

A *node* is a gateway that takes part; a *keeper* is a node that also stores registers. Times are integer microseconds
of one node's monotonic clock and never leave it: what crosses a link is a length of time, reckoned by each side from
the moment that is safe for it. Rates are requests a second.

Messages are arrays, so that a later version may append fields: an older node passes over what it does not know, a
newer one takes the default. `VERSION` changes only where that does not do.
"""

import msgspec

VERSION = 1
NEVER_US = 2**62
MOST_KEY = 128  # bytes of a register's name
MOST_VALUE = 8_192  # bytes of a register's value


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base of what crosses a link."""


# ---- Registers (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018) ----


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


# ---- Limits ----


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


# ---- Verdicts ----


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


# ---- Versions ----


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


# ---- Membership ----


class Alive(Message, frozen=True, gc=False):
    """A node says that it is there; `leaving` where it is about to stop in an orderly way.

    `heard`: some of the others it has heard of: (place among all nodes by name, how many milliseconds ago).
    """

    incarnation: int
    leaving: bool = False
    heard: tuple[tuple[int, int], ...] = ()


AnyMessage = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Outbid
    | Look
    | Looked
    | Copy
    | Copied
    | Want
    | Grants
    | Returned
    | NotHome
    | Gossip
    | Adopt
    | Adopted
    | NotSequencer
    | Alive
)


# ---- What cores ask for ----


class Effect(msgspec.Struct, frozen=True, gc=False):
    """Base of what a core asks for."""


class Tell(Effect, frozen=True, gc=False):
    """Send a message; it may be lost, delayed, doubled or overtaken. `to` may be the node itself."""

    to: str
    message: Message


class Keep(Effect, frozen=True, gc=False):
    """Put these on disk, and once they are surely there, send `then`. They are put there one after the other.

    An empty one waits for those before it. `standing`, where given, takes the place of the one on disk.
    """

    registers: tuple[Kept, ...]
    then: tuple[Tell, ...]
    standing: Standing | None = None


class Read(Effect, frozen=True, gc=False):
    """Ask for a register; an `Answer` follows."""

    ask: int
    key: str


class Change(Effect, frozen=True, gc=False):
    """Put a value into a register if its fence is still this one; an `Answer` follows."""

    ask: int
    key: str
    fence: int
    value: bytes


class Answer(Effect, frozen=True, gc=False):
    """What came of a `Read` or `Change`.

    `how`: found (read); changed (`fence`, `value` are the new ones); differs (the register holds `fence` and `value`
    instead, this change has not happened and will not); unknown (no majority answered in time: a change may have
    happened, or may yet). `asked_us`: when it was asked for, by this node's clock.
    """

    ask: int
    key: str
    how: str
    fence: int
    value: bytes
    asked_us: int


class RunStep(Effect, frozen=True, gc=False):
    """Run one step of a plan on the bank's primary, over one connection; `Sequencer.ran` is told how it ended.

    1. INFO replication; WATCH `marker.KEY`; GET it; ask `marker.verdict`. Where that says run: MULTI, the commands,
       SET the marker begun (`marker.written`), EXEC. Any error, there or in EXEC's list: failed.
    2. WATCH, GET; where the marker is still this step begun: MULTI, SET it done, EXEC. INFO replication once more.

    Told are the verdict, and for done the history and offset of the last INFO. Unknown where an answer is missing,
    EXEC's answer is nil, the two INFO differ in history, or either is not a master's.
    """

    ask: int
    bank: str
    step: int  # the step's number; it is the fence, too: only a higher one is run after it
    after: int  # the marker must show at least this one
    version: int
    kind: str  # expand, contract or undo
    commands: tuple[tuple[str, ...], ...]


class AskMarker(Effect, frozen=True, gc=False):
    """Read the marker at the bank's present primary: INFO replication, GET, INFO replication; as for `RunStep`.

    `Sequencer.marked` is told the number that it shows (`marker.shown`), or -1 where that is not known.
    """

    ask: int
    bank: str


class Replied(Effect, frozen=True, gc=False):
    """The text that an operator's word ends with; `ticket` is the caller's."""

    ticket: int
    text: str


class Note(Effect, frozen=True, gc=False):
    """A line for the people on call."""

    event: str
    text: str = ""


class Tuned(Effect, frozen=True, gc=False):
    """News for the gateway's gate (`oatlink.fleet.gate`): a value that it takes with `hear`."""

    news: object
