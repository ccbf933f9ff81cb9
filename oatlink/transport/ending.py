"""Carries out how a stream ends, as `closing` says: flush, shutdown, read to the end, close.

A shell, shared by the gateways' client connections. It decides nothing and owns no request.
"""

import asyncio
import socket
from collections.abc import Callable

from oatlink.gateway.clock import Stream, now_us
from oatlink.transport.closing import Closing, State, Step

LINGER_S = 1.0  # for a peer to take its last answer, and then to end its side
MAX_DISCARDED_BYTES = 262_144  # bytes that it may still send meanwhile


class Ending:
    """The end of one stream. `owed` says whether an answer is still to come; `closed` is called once, at the end."""

    def __init__(self, stream: Stream, owed: Callable[[], bool], closed: Callable[[], None]) -> None:
        self._stream, self._owed, self._closed = stream, owed, closed
        self._closing = Closing(round(LINGER_S * 1e6), MAX_DISCARDED_BYTES)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def state(self) -> State:
        """Where the connection stands."""
        return self._closing.state

    @property
    def accepts_requests(self) -> bool:
        """Whether a new request may be taken."""
        return self._closing.accepts_requests

    @property
    def discards(self) -> bool:
        """Whether what comes is to be thrown away."""
        return self._closing.discards

    def discard(self, size: int) -> None:
        """So many bytes have come and are thrown away."""
        self._do(self._closing.discard(size))

    def drain(self, ignores_input: bool = False) -> None:
        """Accept no new request and end once all answers are sent; with `ignores_input`, parse no further input."""
        self._closing.drain(ignores_input)
        self.settle()

    def settle(self) -> None:
        """Look again, once something has been answered or sent."""
        if self._stream.closed():
            self.close()
            return
        self._do(self._closing.settle(self._owed(), self._stream.writing(), now_us()))
        if self._timer is None and self._closing.deadline_us is not None and self.state is not State.CLOSED:
            self._wait()

    def close(self) -> None:
        """Close at once: the peer has ended, or is given up. Idempotent."""
        self._do(self._closing.close())

    def _wait(self) -> None:
        left_us = (self._closing.deadline_us or 0) - now_us()
        self._timer = asyncio.get_running_loop().call_later(max(0.0, left_us / 1e6), self._passed)

    def _passed(self) -> None:
        self._timer = None
        self._do(self._closing.expire(now_us()))
        if self.state is not State.CLOSED:
            self._wait()  # the shutdown has come since, and counts anew

    def _do(self, step: Step) -> None:
        if step is Step.SHUT_DOWN:
            try:
                self._stream.socket.shutdown(socket.SHUT_WR)
            except OSError:  # the peer has reset it meanwhile
                self.close()
        elif step is Step.CLOSE:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            self._stream.close()
            self._closed()
