"""How a connection ends: one state machine for client and server connections, without I/O.

    OPEN          requests are accepted
    DRAINING      no new request is accepted; pending answers are still sent, up to their last byte
    HALF_CLOSED   our sending side is shut down; input is read and discarded, never forwarded
    CLOSED        the connection no longer exists

This prevents two faults when both peers act at the same moment. Closing a socket with unread input resets the
connection, and the reset destroys the last answer. A request that is read after our shutdown and forwarded takes
effect without its client ever learning of it. A connection is therefore closed only after all answers are sent, our
side is shut down, and the peer has closed its side or has used up its time or its allowance of bytes.

Only this module changes the state. It takes events and returns the step to carry out. Times are integer microseconds
of one clock.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The states described in the module docstring. A connection only moves down this list."""

    OPEN = "open"
    DRAINING = "draining"
    HALF_CLOSED = "half-closed"
    CLOSED = "closed"


class Step(Enum):
    """What the owner of the connection has to do now."""

    NONE = "none"
    SHUT_DOWN = "shut down"  # shut down our sending side; reading continues
    CLOSE = "close"


@dataclass(slots=True)
class Closing:
    """The end of one connection.

    `linger_us` limits how long the peer may take to receive the last answer, and then to close its side;
    `max_discarded_bytes` limits what it may still send. With `linger_us` 0 the connection closes without waiting, for
    peers that never receive answers from us.
    """

    linger_us: int
    max_discarded_bytes: int
    state: State = State.OPEN
    ignores_input: bool = False  # further input cannot be parsed, or is not meant to be
    deadline_us: int | None = None  # the connection is closed then, whatever is left to do
    discarded_bytes: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether a new request may be accepted."""
        return self.state is State.OPEN

    @property
    def discards(self) -> bool:
        """Whether input is discarded without being parsed."""
        return self.ignores_input or self.state in (State.HALF_CLOSED, State.CLOSED)

    def drain(self, ignores_input: bool = False) -> None:
        """Accept no new request from now on; with `ignores_input`, parse no further input."""
        if self.state is State.OPEN:
            self.state = State.DRAINING
        self.ignores_input = self.ignores_input or ignores_input

    def settle(self, has_pending_answers: bool, has_unsent_bytes: bool, now_us: int) -> Step:
        """Leave DRAINING once all answers are sent.

        `has_pending_answers`: an answer is still to come. `has_unsent_bytes`: bytes of an answer were not taken by the
        socket yet.
        """
        if self.state is not State.DRAINING or has_pending_answers:
            return Step.NONE
        if has_unsent_bytes:
            # Prevents a peer that reads nothing from keeping its connection forever.
            self.deadline_us = now_us + self.linger_us if self.deadline_us is None else self.deadline_us
            return Step.NONE
        if not self.linger_us:
            return self._close()
        self.state, self.deadline_us = State.HALF_CLOSED, now_us + self.linger_us
        return Step.SHUT_DOWN

    def discard(self, size: int) -> Step:
        """Count input that was discarded. Prevents a peer that never stops sending from keeping its connection."""
        self.discarded_bytes += size
        return self._close() if self.discarded_bytes > self.max_discarded_bytes else Step.NONE

    def expire(self, now_us: int) -> Step:
        """Close the connection if its deadline has passed."""
        return self._close() if self.deadline_us is not None and now_us >= self.deadline_us else Step.NONE

    def close(self) -> Step:
        """Close at once: the peer has closed or reset the connection, or we give it up."""
        return self._close()

    def _close(self) -> Step:
        if self.state is State.CLOSED:
            return Step.NONE
        self.state = State.CLOSED
        return Step.CLOSE
