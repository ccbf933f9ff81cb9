"""Carries out the steps of `closing` on a stream: flush, shut down, read until the peer closes, close.

Shared by the client connections of both kinds of gateway. It only performs I/O: the state machine decides, and
requests belong to the caller.
"""

import asyncio
import socket
from collections.abc import Callable

from oatlink.gateway.clock import Stream, now_us
from oatlink.transport.closing import Closing, State, Step

LINGER_S = 1.0  # for a peer to receive its last answer, and as long again to close its side
MAX_DISCARDED_BYTES = 262_144  # sent by a peer after our shutdown


class Ending:
    """The end of one stream.

    `has_pending_answers` tells whether an answer is still to come. `on_closed` is called once, when the stream closes.
    Both are released then: they usually belong to the object that owns this one, and such a cycle would keep a closed
    connection, and all that it has received, in memory until the garbage collector runs.
    """

    def __init__(self, stream: Stream, has_pending_answers: Callable[[], bool], on_closed: Callable[[], None]) -> None:
        self._stream, self._has_pending_answers, self._on_closed = stream, has_pending_answers, on_closed
        self._closing = Closing(round(LINGER_S * 1e6), MAX_DISCARDED_BYTES)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def state(self) -> State:
        """The state of the connection."""
        return self._closing.state

    @property
    def accepts_requests(self) -> bool:
        """Whether a new request may be accepted."""
        return self._closing.accepts_requests

    @property
    def discards(self) -> bool:
        """Whether input is discarded without being parsed."""
        return self._closing.discards

    def discard(self, size: int) -> None:
        """Count input that was read and thrown away."""
        self._carry_out(self._closing.discard(size))

    def drain(self, ignores_input: bool = False) -> None:
        """Accept no new request and end once all answers are sent; with `ignores_input`, parse no further input."""
        self._closing.drain(ignores_input)
        self.settle()

    def settle(self) -> None:
        """Move on if nothing is left to do; called after an answer was given or sent."""
        if self._stream.closed():
            self.close()
            return
        self._carry_out(self._closing.settle(self._has_pending_answers(), self._stream.writing(), now_us()))
        if self._timer is None and self._closing.deadline_us is not None and self.state is not State.CLOSED:
            self._start_timer()

    def close(self) -> None:
        """Close at once: the peer has closed its side, or we give it up. Idempotent."""
        self._carry_out(self._closing.close())

    def _start_timer(self) -> None:
        left_us = (self._closing.deadline_us or 0) - now_us()
        self._timer = asyncio.get_running_loop().call_later(max(0.0, left_us / 1e6), self._on_deadline)

    def _on_deadline(self) -> None:
        self._timer = None
        self._carry_out(self._closing.expire(now_us()))
        if self.state is not State.CLOSED:
            self._start_timer()  # our side was shut down meanwhile, which began a new deadline

    def _carry_out(self, step: Step) -> None:
        if step is Step.SHUT_DOWN:
            try:
                self._stream.socket.shutdown(socket.SHUT_WR)
            except OSError:  # the peer has reset the connection meanwhile
                self.close()
        elif step is Step.CLOSE:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            self._stream.close()
            on_closed = self._on_closed
            self._has_pending_answers, self._on_closed = _has_no_answers, _ignore_close
            on_closed()


def _has_no_answers() -> bool:
    """Stand in for `has_pending_answers` of a closed connection."""
    return False


def _ignore_close() -> None:
    """Stand in for `on_closed` of a closed connection."""
