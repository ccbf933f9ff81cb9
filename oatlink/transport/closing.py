"""How a connection ends: one state machine for clients' and servers' connections, without I/O.

    OPEN          requests are taken
    DRAINING      no new request is taken; what is owed is still answered, and its last byte handed over
    HALF_CLOSED   our side is shut down; what still comes is read and discarded, never sent on
    CLOSED        nothing of it is left

Threat: what the two peers do in the same instant. A close over unread bytes is a reset, and a reset takes the last
answer with it; a request read after our shutdown and sent on has an effect that its client never hears of. So nothing
closes before all is said, our side is shut down and the peer has ended, or has had its time or its bytes.

Only this file changes the state. Events go in, what to do comes out; times are integer microseconds of one clock.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """Where a connection stands, see the head of this file. It only ever goes down this list."""

    OPEN = "open"
    DRAINING = "draining"
    HALF_CLOSED = "half-closed"
    CLOSED = "closed"


class Step(Enum):
    """What the owner of the connection does now."""

    NONE = "none"
    SHUT_DOWN = "shut down"  # our sending side; reading goes on
    CLOSE = "close"


@dataclass(slots=True)
class Closing:
    """The end of one connection. `linger_us` and `max_discarded_bytes` bound what its peer may still take and send.

    With `linger_us` 0 nothing is waited for: for a peer to whom nothing can be owed.
    """

    linger_us: int
    max_discarded_bytes: int
    state: State = State.OPEN
    ignores_input: bool = False  # nothing that still comes can be understood, or is meant to be
    deadline_us: int | None = None  # what is left to do is given up then
    discarded_bytes: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether a new request may be taken."""
        return self.state is State.OPEN

    @property
    def discards(self) -> bool:
        """Whether what comes is to be thrown away unread."""
        return self.ignores_input or self.state in (State.HALF_CLOSED, State.CLOSED)

    def drain(self, ignores_input: bool = False) -> None:
        """Take no new request from now on; `ignores_input`: nor anything else."""
        if self.state is State.OPEN:
            self.state = State.DRAINING
        self.ignores_input = self.ignores_input or ignores_input

    def settle(self, has_pending_answers: bool, has_unsent_bytes: bool, now_us: int) -> Step:
        """Move on once nothing is left to do in the present state.

        `has_pending_answers`: an answer is still to come. `has_unsent_bytes`: bytes of an answer were not taken by the
        socket yet.
        """
        if self.state is not State.DRAINING or has_pending_answers:
            return Step.NONE
        if has_unsent_bytes:
            # Threat: a peer that reads nothing would keep its connection for good.
            self.deadline_us = now_us + self.linger_us if self.deadline_us is None else self.deadline_us
            return Step.NONE
        if not self.linger_us:
            return self._close()
        self.state, self.deadline_us = State.HALF_CLOSED, now_us + self.linger_us
        return Step.SHUT_DOWN

    def discard(self, size: int) -> Step:
        """So many bytes have come, and are discarded. Threat: a peer that sends without end."""
        self.discarded_bytes += size
        return self._close() if self.discarded_bytes > self.max_discarded_bytes else Step.NONE

    def expire(self, now_us: int) -> Step:
        """Time has passed."""
        return self._close() if self.deadline_us is not None and now_us >= self.deadline_us else Step.NONE

    def close(self) -> Step:
        """The peer has ended or reset the connection, or it is given up here and now."""
        return self._close()

    def _close(self) -> Step:
        if self.state is State.CLOSED:
            return Step.NONE
        self.state = State.CLOSED
        return Step.CLOSE
