"""What the engine is told (inputs) and what it answers (effects): values only, no logic.

Every nondeterministic thing is an input, so that what went in explains what came out. Times are integer
microseconds on the gateway's monotonic clock and are handed over beside each input.
"""

import msgspec

from oatlink.fleet.gate import AnyNews
from oatlink.settings.model import Settings


class Way(msgspec.Struct, frozen=True, gc=False):
    """One more address of a box. `connect_timeout_ms` and `keepalive_s`: 0 for what holds for all."""

    address: str
    hall: str = ""
    connect_timeout_ms: int = 0
    keepalive_s: int = 0


class Box(msgspec.Struct, frozen=True):
    """A member as discovery lists it; `bank` is its number in the settings, `ways` its further addresses."""

    name: str
    bank: int
    address: str
    hall: str = ""
    kind: str = ""
    state: str = "ready"
    primary: bool = False
    ways: tuple[Way, ...] = ()


# ---- Inputs ----


class Input(msgspec.Struct, frozen=True, tag=True, gc=False):
    """Base of all that the engine is told."""


class Started(Input, frozen=True, tag="Started", gc=False):
    """The gateway begins; `code` says in which form its program runs, for operators."""

    code: str = ""


class RosterListed(Input, frozen=True, tag="Listed"):
    """The whole roster, as discovery has it now."""

    boxes: tuple[Box, ...]


class Opened(Input, frozen=True, tag="Opened", gc=False):
    """A client has connected; `admin` where it came by the listener for operators."""

    client: int
    peer: str = ""
    admin: bool = False


class Closed(Input, frozen=True, tag="Closed", gc=False):
    """A client's connection has ended."""

    client: int


class CommandReceived(Input, frozen=True, tag="Asked"):
    """A client has sent a command, which then waited for this process for `late_us`, at most.

    `behind`: how many other clients whose commands have come still wait for it. `waited_us`: how long ago it came, at
    most; that is longer where the client came before it should have and was not read. `own_us`: how long it lay here
    before that behind its client's own earlier commands, as many as may be open: no lateness, but the client's time.
    """

    client: int
    args: list[bytes]
    late_us: int = 0
    behind: int = 0
    waited_us: int = 0
    own_us: int = 0


class ProtocolViolated(Input, frozen=True, tag="Broken", gc=False):
    """A client has sent what the protocol does not allow; `text` is the error due to it."""

    client: int
    text: str


class Ended(Input, frozen=True, tag="Ended"):
    """An attempt has ended. `how` is a word of `oatlink.core.outcomes.ENDINGS`; `info` a report behind it.

    `address`: that of the connection it was on, empty where it never came on one.

    `took_us` is the box's time: how long the answer lay in this process is left out. With `more`, the same read has
    brought further answers, which follow, or a `Ticked` does.
    """

    request: int
    attempt: int
    box: str
    how: str
    took_us: int
    sent_us: int
    frames: list[bytes] = []
    info: bytes = b""
    more: bool = False
    address: str = ""


class ConnectionWanted(Input, frozen=True, tag="Wanted", gc=False):
    """A link wants one more connection, rather over `address`; `dial` is its number at that link, from 1.

    A `Use` or a `NoPath` follows.
    """

    box: str
    dial: int
    address: str = ""


class Dialled(Input, frozen=True, tag="Dialled", gc=False):
    """An attempt (`Dial`) has ended: `reply` with what the box said of itself as `info`, else how it failed."""

    box: str
    dial: int
    address: str
    how: str
    asked_us: int
    took_us: int
    info: bytes = b""


class Probed(Input, frozen=True, tag="Probed", gc=False):
    """A probe has ended; without `info` it failed, `how` says in what way."""

    box: str
    how: str
    asked_us: int
    took_us: int
    info: bytes = b""
    address: str = ""


class Ticked(Input, frozen=True, tag="Ticked", gc=False):
    """The time asked for by `Wake` has come."""


class Draining(Input, frozen=True, tag="Draining", gc=False):
    """The gateway is about to stop: nothing new is taken, what is held ends."""


class RefreshRequested(Input, frozen=True, tag="Inspected", gc=False):
    """An operator wants fresh news of every box."""


class ClockStalled(Input, frozen=True, tag="Gapped", gc=False):
    """The clock stood still while time went on (the machine slept): ages counted over it are too small."""


class Reloaded(Input, frozen=True, tag="Reloaded"):
    """The settings file has been read again and may be used from now on (`oatlink.core.reload`)."""

    settings: Settings


class FleetNews(Input, frozen=True, tag="Told"):
    """News from the fleet, for the gate."""

    news: AnyNews


class FleetReplied(Input, frozen=True, tag="Replied", gc=False):
    """What came of a `FleetCommand`: a text for the operator who asked."""

    client: int
    text: str


class Recorded(Input, frozen=True, tag="Recorded", gc=False):
    """What came of a `Record`: a line for the operator who asked."""

    client: int
    text: str
    done: bool = True


# ---- Effects ----


class Effect(msgspec.Struct, frozen=True, tag=True, gc=False):
    """Base of all that the engine asks for."""


class Answer(Effect, frozen=True, tag="Answer", gc=False):
    """Bytes for a client; `done` is how many of its commands end with them."""

    client: int
    data: bytes
    done: int = 1


class Pause(Effect, frozen=True, tag="Pause", gc=False):
    """Read nothing more from a client until then."""

    client: int
    until_us: int


class Hangup(Effect, frozen=True, tag="Hangup", gc=False):
    """Close a client's connection once all that was answered has been written."""

    client: int


class Send(Effect, frozen=True, tag="Send", gc=False):
    """Hand a request to a box and collect `replies` frames.

    `run_id`: the connection must have proven to reach this run of the box. `lease`: above 0, the connection kept
    for that client alone. `alone`: nothing else may share the connection meanwhile. `ask`: have it report behind.
    `until_us`: nothing of it may be written later; by then it is unsent. `address`: the path that it should go over.
    `runs_from`: before so many bytes of the payload have been handed over, the box can have run nothing of it.
    """

    request: int
    attempt: int
    box: str
    payload: bytes
    replies: int
    protocol: int
    run_id: str
    until_us: int
    lease: int = 0
    alone: bool = False
    ask: bool = False
    address: str = ""
    runs_from: int = 0


class Release(Effect, frozen=True, tag="Release", gc=False):
    """A client's own connection is no longer needed; `box` is empty where it never had one."""

    lease: int
    box: str = ""


class Record(Effect, frozen=True, tag="Record", gc=False):
    """An operator wants the recording started, stopped, written down or told of; a `Recorded` must follow."""

    client: int
    word: str


class FleetCommand(Effect, frozen=True, tag="Errand", gc=False):
    """An operator's word to the fleet; a `FleetReplied` must follow."""

    client: int
    word: str
    text: bytes = b""


class Probe(Effect, frozen=True, tag="Probe", gc=False):
    """Ask a box for its report over one address."""

    box: str
    address: str = ""


class Dial(Effect, frozen=True, tag="Dial", gc=False):
    """Begin an attempt for a connection; a `Dialled` follows within about twice `timeout_us`."""

    box: str
    dial: int
    address: str
    timeout_us: int


class Use(Effect, frozen=True, tag="Use", gc=False):
    """An attempt's connection is the one that was wanted."""

    box: str
    dial: int
    address: str


class Discard(Effect, frozen=True, tag="Discard", gc=False):
    """An attempt's connection is not needed, or must not be used: close it."""

    box: str
    dial: int
    address: str


class NoPath(Effect, frozen=True, tag="NoPath", gc=False):
    """There is no connection for what was wanted; `how` is a word of `outcomes.ENDINGS`."""

    box: str
    dial: int
    how: str


class ClosePath(Effect, frozen=True, tag="Shun", gc=False):
    """End all connections over an address of a box: what is on them is lost there."""

    box: str
    address: str


class DropIdle(Effect, frozen=True, tag="DropIdle", gc=False):
    """Close the idle connections to a box."""

    box: str


class Wake(Effect, frozen=True, tag="Wake", gc=False):
    """Ask for a `Ticked` at a time; replaces the one asked for before."""

    at_us: int


class Note(Effect, frozen=True, tag="Note", gc=False):
    """A line for the people on call."""

    event: str
    text: str = ""


class QueryFleet(Effect, frozen=True, tag="Seek", gc=False):
    """A request waits for the fleet's word: its node should ask now."""


class ReportEvidence(Effect, frozen=True, tag="Observed", gc=False):
    """Something was seen of a box that the fleet may be told: a kind of `fleet.messages.Evidence`, or `elected`."""

    box: str
    bank: str
    kind: str
    history: str = ""
    offset: int = -1


class PublishRoster(Effect, frozen=True, tag="Listing", gc=False):
    """Discovery's list, for the fleet's node."""

    boxes: tuple[Box, ...]


class Counted(Effect, frozen=True, tag="Counted", gc=False):
    """A request's final answer, for the figures: its class, how it ended and what it took in microseconds."""

    class_name: str
    outcome: str
    took_us: int
    box: str = ""


AnyInput = (
    Started
    | RosterListed
    | Opened
    | Closed
    | CommandReceived
    | ProtocolViolated
    | Ended
    | ConnectionWanted
    | Dialled
    | Probed
    | Ticked
    | Draining
    | RefreshRequested
    | ClockStalled
    | Reloaded
    | Recorded
    | FleetNews
    | FleetReplied
)
AnyEffect = (
    Answer
    | Pause
    | Hangup
    | Send
    | Release
    | Record
    | FleetCommand
    | Probe
    | Dial
    | Use
    | Discard
    | NoPath
    | ClosePath
    | DropIdle
    | Wake
    | Note
    | QueryFleet
    | ReportEvidence
    | PublishRoster
    | Counted
)
