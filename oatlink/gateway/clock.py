"""How late this process is with what has already come: measured here, so that nobody else is blamed for it.

A loop that has much to do handles events long after they came. Each turn of the loop is marked at its beginning,
just before it polls; what that poll found had come by then, so it has waited since the mark at least. A loop that
was at rest has no mark: there, what comes is handled at once.
"""

import asyncio
import contextlib
import select
import socket
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

from tornado.iostream import IOStream

CLIENTS_PER_TURN = 64  # about 10 ms of work
LATE_S = 0.01  # a timer later than this was held up by this process


def now_us() -> int:
    """The gateway's clock: monotonic microseconds."""
    return time.monotonic_ns() // 1000


def machine_sleep_us() -> int:
    """How long the machine has slept since it started: time that `now_us` does not count."""
    return (time.clock_gettime_ns(time.CLOCK_BOOTTIME) - time.monotonic_ns()) // 1000


class TurnClock:
    """When the present turn of the loop began, and who waits for the next one.

    Threat: thousands of clients that ask in the same turn. The answers of boxes that came meanwhile would wait until
    all of them have been seen to, and each answer takes two turns: so a turn lets in so many clients, in order.
    """

    def __init__(self) -> None:
        self._admitted_count = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._began_us = 0
        self.previous_began_us = 0  # when the turn before it began: what a poll finds came after that
        self._marked = False
        self._used = False

    def turn_began_us(self) -> int:
        """When this turn began; now, where the loop was at rest before."""
        self._used = True
        if not self._marked:
            self._marked = True
            self._began_us = self.previous_began_us = now_us()
            asyncio.get_running_loop().call_soon(self._mark)
        return self._began_us

    def _mark(self) -> None:
        """The next turn has begun; marking goes on while there is something to mark."""
        if self._used:
            self._used = False
            self.previous_began_us, self._began_us = self._began_us, now_us()
            self._admitted_count = 0
            while self._waiting and self._admitted_count < CLIENTS_PER_TURN:
                one = self._waiting.popleft()
                if not one.done():
                    one.set_result(None)
                    self._admitted_count += 1
                    self._used = True
            asyncio.get_running_loop().call_soon(self._mark)
        else:
            self._marked = False
            self._admitted_count = 0

    @property
    def waiting_count(self) -> int:
        """Clients that wait to be let in."""
        return len(self._waiting)

    async def admit_client(self, again: bool = False) -> None:
        """Wait for one's place in this turn or a later one; `again`: one has had a place in this one."""
        self.turn_began_us()
        if not again and self._admitted_count < CLIENTS_PER_TURN and not self._waiting:
            self._admitted_count += 1
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await future


class Stream(IOStream):
    """A stream that knows since when, at least, the bytes read last had been there."""

    def __init__(self, sock: socket.socket, turn_clock: TurnClock, **more: Any) -> None:
        self._turn_clock = turn_clock
        self._polled = False
        self.arrived_by_us = 0  # the bytes read last were there then
        self.arrived_after_us = 0  # and had not come before
        self.sent_bytes = 0  # bytes that the socket has taken
        super().__init__(sock, **more)

    def _handle_events(self, fd: Any, events: int) -> None:
        # Tornado's one entry from the poll; a read outside of it is tried on the chance, of bytes that just came.
        self._polled = True
        self._turn_clock.turn_began_us()
        try:
            super()._handle_events(fd, events)
        finally:
            self._polled = False

    def is_idle(self) -> bool:
        """Whether a read waits and nothing has come for it, neither bytes nor the end; what has come may be unseen yet.

        Threat: a peer that is just asking, or has just closed. Bytes may lie in the socket, or be read from it and not
        be handed on before the next turn of the loop.
        """
        if self.closed() or not self.reading():
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def peer_has_ended(self) -> bool:
        """Whether the peer has shut its side or reset the connection, also behind bytes that nobody has read yet."""
        if self.closed():
            return True
        poll = select.poll()
        poll.register(self.fileno(), getattr(select, "POLLRDHUP", 0))
        return bool(poll.poll(0))

    def write_to_fd(self, data: memoryview) -> int:
        """See `BaseIOStream.write_to_fd`."""
        taken = super().write_to_fd(data)
        self.sent_bytes += taken
        return taken

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """See `BaseIOStream.read_from_fd`."""
        got = super().read_from_fd(buf)
        if got:
            self.arrived_by_us = self.arrived_after_us = self._turn_clock.turn_began_us() if self._polled else now_us()
            if self._polled:
                self.arrived_after_us = self._turn_clock.previous_began_us
        return got


@contextlib.asynccontextmanager
async def timeout_excluding_stalls(seconds: float) -> AsyncIterator[None]:
    """Like `asyncio.timeout`, but time for which this process stood still is given back, once.

    Threat: a process stopped for a second finds all its time-outs passed and reads none of the answers that came.
    Raises `TimeoutError`.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        due = loop.time() + seconds
        handle: asyncio.TimerHandle

        def passed(again: bool) -> None:
            nonlocal handle
            late = loop.time() - due
            if again and late > LATE_S:
                handle = loop.call_later(min(late, seconds), passed, False)
            else:
                limit.reschedule(loop.time())

        handle = loop.call_at(due, passed, True)
        try:
            yield
        finally:
            handle.cancel()
