"""Effects that the cores return for the surrounding code to carry out, and the results handed back. No logic."""

import msgspec

from oatlink.fleet.messages.base import Message
from oatlink.fleet.messages.registers import Kept, Standing


class Effect(msgspec.Struct, frozen=True, gc=False):
    """Base of what a core returns to be carried out."""


class Tell(Effect, frozen=True, gc=False):
    """Send a message. It may be lost, delayed, duplicated or reordered. `to` may be the node itself."""

    to: str
    message: Message


class Keep(Effect, frozen=True, gc=False):
    """Write these registers to disk, and send `then` once they are durable. Such effects are carried out in order.

    One without registers waits for those before it. `standing`, if set, replaces the one on disk.
    """

    registers: tuple[Kept, ...]
    then: tuple[Tell, ...]
    standing: Standing | None = None


class Read(Effect, frozen=True, gc=False):
    """Read a register. An `Answer` follows."""

    ask: int
    key: str


class Change(Effect, frozen=True, gc=False):
    """Set the value of a register if its fence is still this one. An `Answer` follows."""

    ask: int
    key: str
    fence: int
    value: bytes


class Answer(Effect, frozen=True, gc=False):
    """Result of a `Read` or `Change`.

    `how` is one of found (the register was read), changed (`fence` and `value` are the new ones), differs (the register
    contains `fence` and `value` instead; this change has not happened and will not happen) and unknown (no majority
    answered in time; the change may have happened or may still happen). `asked_us`: when the read or change was
    requested, by this node's clock.
    """

    ask: int
    key: str
    how: str
    fence: int
    value: bytes
    asked_us: int


class RunStep(Effect, frozen=True, gc=False):
    """Run one step of a plan on the primary of the bank, over one connection. The result goes to `Sequencer.ran`.

    1. INFO replication; WATCH `marker.KEY`; GET it; call `marker.decide`. If it returns run: MULTI, the commands, SET
       the marker to begun (`marker.encode`), EXEC. Any error, also one within the list of EXEC, means failed.
    2. WATCH, GET; if the marker still shows this step as begun: MULTI, SET it to done, EXEC. INFO replication again.

    The result is the outcome and, if done, history and offset of the last INFO. It is unknown where an answer is
    missing, EXEC returns nil, the two INFO answers differ in their history, or either is not that of a master.
    """

    ask: int
    bank: str
    step: int  # number of the step, which is also its fence: after it only a higher one runs
    after: int  # the marker must show at least this number
    version: int
    kind: str  # expand, contract or undo
    commands: tuple[tuple[str, ...], ...]


class AskMarker(Effect, frozen=True, gc=False):
    """Read the marker at the current primary of the bank: INFO replication, GET, INFO replication, as for `RunStep`.

    The result goes to `Sequencer.marked`: the number that the marker shows (`marker.completed_step`), -1 if unknown.
    """

    ask: int
    bank: str


class Replied(Effect, frozen=True, gc=False):
    """The reply to an operator's command. `ticket` identifies the command to the caller."""

    ticket: int
    text: str


class Note(Effect, frozen=True, gc=False):
    """A line for the log."""

    event: str
    text: str = ""


class Tuned(Effect, frozen=True, gc=False):
    """News for the gate of the gateway (`oatlink.fleet.gate`), which accepts it with `hear`."""

    news: object
