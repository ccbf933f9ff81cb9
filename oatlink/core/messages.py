"""The engine's inputs and effects. They are plain values without logic.

Everything nondeterministic is an input, so the inputs alone determine the effects and a recording can be replayed.
Times are integer microseconds on the gateway's monotonic clock; the current time is passed along with each input.
The tags and field names are those of recordings, so a renamed class or attribute keeps them (`tag`, `msgspec.field`).
"""

import msgspec

from oatlink.fleet.gate import AnyNews
from oatlink.settings.model import Settings


class Way(msgspec.Struct, frozen=True, gc=False):
    """A further address of a box. `connect_timeout_ms` and `keepalive_s` are 0 where the general settings apply."""

    address: str
    hall: str = ""
    connect_timeout_ms: int = 0
    keepalive_s: int = 0


class Box(msgspec.Struct, frozen=True):
    """A member as discovery lists it.

    `bank` is the index of its bank in the settings, `ways` are its further addresses.
    """

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
    """Base class of the engine's inputs."""


class Started(Input, frozen=True, tag="Started", gc=False):
    """The gateway has started. `code` tells operators in which form the program runs (compiled or not)."""

    code: str = ""


class RosterListed(Input, frozen=True, tag="Listed"):
    """The complete roster as discovery reports it now."""

    boxes: tuple[Box, ...]


class Opened(Input, frozen=True, tag="Opened", gc=False):
    """A client has connected. `admin` is set if it used the operators' listener."""

    client: int
    peer: str = ""
    admin: bool = False


class Closed(Input, frozen=True, tag="Closed", gc=False):
    """A client's connection has ended."""

    client: int


class CommandReceived(Input, frozen=True, tag="Asked"):
    """A client has sent a command.

    `late_us`: the longest time that it can have waited for this process.
    `behind`: the number of other clients whose commands have arrived and still wait for this process.
    `waited_us`: the longest time that can have passed since it arrived. It exceeds `late_us` if the client sent it
    before the end of its pause, when the connection was not read.
    `own_us`: the time that it waited before that behind its client's own earlier commands, because the client had as
    many open as it may. This does not count as lateness of the process, but it is part of the client's waiting time.
    """

    client: int
    args: list[bytes]
    late_us: int = 0
    behind: int = 0
    waited_us: int = 0
    own_us: int = 0


class ProtocolViolated(Input, frozen=True, tag="Broken", gc=False):
    """A client has violated the protocol. `text` is the error to answer with."""

    client: int
    text: str


class Ended(Input, frozen=True, tag="Ended"):
    """An attempt has ended.

    `how`: a key of `oatlink.core.outcomes.ENDINGS`.
    `info`: the box's report if it was requested behind the attempt, else empty.
    `address`: the address of the connection that carried it; empty if no connection did.
    `took_us`: the time that the box took. The time that the answer waited in this process is not included.
    `more`: the same read from the socket has brought further answers. They follow as inputs, or else a `Ticked` does.
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
    """A link needs one more connection, preferably over `address`. A `Use` or a `NoPath` follows.

    `dial` numbers the connections that the link has asked for, from 1.
    """

    box: str
    dial: int
    address: str = ""


class Dialled(Input, frozen=True, tag="Dialled", gc=False):
    """A connection attempt (`Dial`) has ended.

    `how` is `reply`, with the box's report as `info`, or says how the attempt failed.
    """

    box: str
    dial: int
    address: str
    how: str
    asked_us: int
    took_us: int
    info: bytes = b""


class Probed(Input, frozen=True, tag="Probed", gc=False):
    """A probe has ended. Without `info` it failed, and `how` says how."""

    box: str
    how: str
    asked_us: int
    took_us: int
    info: bytes = b""
    address: str = ""


class Ticked(Input, frozen=True, tag="Ticked", gc=False):
    """The time requested by `Wake` has been reached."""


class Draining(Input, frozen=True, tag="Draining", gc=False):
    """The gateway is about to stop: new commands are refused, pending requests run to their end."""


class RefreshRequested(Input, frozen=True, tag="Inspected", gc=False):
    """An operator asks for a new report of every box."""


class ClockStalled(Input, frozen=True, tag="Gapped", gc=False):
    """The clock did not advance while the machine slept: ages measured across the gap are too small."""


class Reloaded(Input, frozen=True, tag="Reloaded"):
    """The settings file was read again and the new settings were accepted (`oatlink.core.reload`)."""

    settings: Settings


class FleetNews(Input, frozen=True, tag="Told"):
    """News from the fleet for the gate."""

    news: AnyNews


class FleetReplied(Input, frozen=True, tag="Replied", gc=False):
    """The result of a `FleetCommand`: a text for the operator who sent it."""

    client: int
    text: str


class Recorded(Input, frozen=True, tag="Recorded", gc=False):
    """The result of a `Record`: a line for the operator who sent it. `done` is false if it failed."""

    client: int
    text: str
    done: bool = True


# ---- Effects ----


class Effect(msgspec.Struct, frozen=True, tag=True, gc=False):
    """Base class of the engine's effects."""


class Answer(Effect, frozen=True, tag="Answer", gc=False):
    """Bytes for a client. They complete `done` of its commands."""

    client: int
    data: bytes
    done: int = 1


class Pause(Effect, frozen=True, tag="Pause", gc=False):
    """Do not read from a client until `until_us`."""

    client: int
    until_us: int


class Hangup(Effect, frozen=True, tag="Hangup", gc=False):
    """Close a client's connection once all its answers have been written."""

    client: int


class Send(Effect, frozen=True, tag="Send", gc=False):
    """Send an attempt of a request to a box and collect `replies` frames.

    `run_id`: the connection must have been verified to reach this run of the box.
    `until_us`: no part of it may be written later; an attempt that has not been written by then ends as unsent.
    `lease`: if above 0, the connection that is reserved for this client.
    `alone`: no other request may use the connection meanwhile.
    `ask`: request the box's report behind the attempt.
    `address`: the preferred path.
    `runs_from`: the box cannot have run any part of the payload before this many of its bytes were handed over.
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
    """A client's reserved connection is no longer needed. `box` is empty if it never had one."""

    lease: int
    box: str = ""


class Record(Effect, frozen=True, tag="Record", gc=False):
    """An operator's command to the recorder: start, stop, write or status. A `Recorded` must follow."""

    client: int
    word: str


class FleetCommand(Effect, frozen=True, tag="Errand", gc=False):
    """An operator's command to the fleet. A `FleetReplied` must follow."""

    client: int
    word: str
    text: bytes = b""


class Probe(Effect, frozen=True, tag="Probe", gc=False):
    """Request a box's report over one address."""

    box: str
    address: str = ""


class Dial(Effect, frozen=True, tag="Dial", gc=False):
    """Start a connection attempt. A `Dialled` follows within about twice `timeout_us`."""

    box: str
    dial: int
    address: str
    timeout_us: int


class Use(Effect, frozen=True, tag="Use", gc=False):
    """Use this attempt's connection for the `ConnectionWanted`."""

    box: str
    dial: int
    address: str


class Discard(Effect, frozen=True, tag="Discard", gc=False):
    """Close an attempt's connection, which is not needed or must not be used."""

    box: str
    dial: int
    address: str


class NoPath(Effect, frozen=True, tag="NoPath", gc=False):
    """There is no connection for the `ConnectionWanted`. `how` is a key of `outcomes.ENDINGS`."""

    box: str
    dial: int
    how: str


class ClosePath(Effect, frozen=True, tag="Shun", gc=False):
    """Close all connections over an address of a box. Attempts on them are lost."""

    box: str
    address: str


class DropIdle(Effect, frozen=True, tag="DropIdle", gc=False):
    """Close the idle connections to a box."""

    box: str


class Wake(Effect, frozen=True, tag="Wake", gc=False):
    """Request a `Ticked` at `at_us`; replaces the one requested before."""

    at_us: int


class Note(Effect, frozen=True, tag="Note", gc=False):
    """A log line for the people on call."""

    event: str
    text: str = ""


class QueryFleet(Effect, frozen=True, tag="Seek", gc=False):
    """A request waits for a grant from the fleet: the fleet's node should send its demands now."""


class ReportEvidence(Effect, frozen=True, tag="Observed", gc=False):
    """An observation of a box that may be reported to the fleet.

    `kind` is a kind of `fleet.messages.Evidence`, or `elected`.
    """

    box: str
    bank: str
    kind: str
    history: str = ""
    offset: int = -1


class PublishRoster(Effect, frozen=True, tag="Listing", gc=False):
    """Discovery's roster for the fleet's node."""

    boxes: tuple[Box, ...]


class Counted(Effect, frozen=True, tag="Counted", gc=False):
    """A request's final answer, for the metrics: its class, how it ended and how long it took."""

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
