"""What the cores ask for, and what their composition hands them back. No logic."""

import msgspec

from oatlink.fleet.messages.base import Message
from oatlink.fleet.messages.registers import Kept, Standing


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
