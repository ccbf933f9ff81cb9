"""Measures how long input waited inside this process, so that the delay is not attributed to its peers.

A busy event loop handles input long after it arrived. Each iteration ("turn") of the loop is timed at its beginning,
just before it polls. What a poll finds had arrived by then, so it has waited at least since that time. A loop that
was idle has no such time: there, input is handled at once.

An exception is a process that was stopped while its loop was idle. A loop with a heartbeat, something that it does at
least so often, notices that it was idle for longer. Until it is idle again, the kernel is asked when the input of each
connection arrived. Otherwise time limits would count from the end of the stop.
"""

import asyncio
import contextlib
import select
import socket
import struct
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

from tornado.iostream import IOStream

CLIENTS_PER_TURN = 64  # about 10 ms of work
SETTLING_TURNS = 8  # after a stop: as many as it takes to read an answer of discovery and to apply it
STALL_MARGIN_US = 100_000  # a loop that was idle for longer than its heartbeat by this was stopped meanwhile
# Of `struct tcp_info` in the kernel's linux/tcp.h: eight bytes, then numbers of 32 bits.
TCP_INFO_LAST_DATA_OFFSET_BYTES = 8 + 11 * 4  # of `tcpi_last_data_recv`, in milliseconds before now
LATE_TIMER_S = 0.01  # a timer that fires later than this was delayed by a stall of this process


def now_us() -> int:
    """The gateway's clock: monotonic microseconds."""
    return time.monotonic_ns() // 1000


def machine_sleep_us() -> int:
    """How long the machine has been suspended since it booted: time that `now_us` does not count."""
    return (time.clock_gettime_ns(time.CLOCK_BOOTTIME) - time.monotonic_ns()) // 1000


class TurnClock:
    """When the current turn of the loop began, and the clients that wait for a later turn.

    Each turn admits a limited number of clients, in order of arrival. Otherwise, when thousands of clients send
    requests in the same turn, answers of boxes that arrive meanwhile would wait until all those requests are handled,
    and each answer takes two turns.
    """

    def __init__(self, heartbeat_us: int | None = None) -> None:
        """`heartbeat_us`: how often at least `turn_began_us` is called; None if that is not known."""
        self._heartbeat_us = heartbeat_us
        self._idle_since_us = 0
        self.stalled_since_us = 0  # when the process was stopped, until the loop is idle again; 0 if it was not
        self._settling_turns = 0  # that are left
        self._admitted_count = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._began_us = 0
        self.previous_began_us = 0  # when the previous turn began: what this turn's poll finds arrived after that
        self._is_timing = False  # whether the beginning of the next turn will be recorded
        self._was_used = False  # whether the current turn was asked for its time, or admitted a client

    def turn_began_us(self) -> int:
        """When this turn began; the present time if the loop was idle before, or the process stopped meanwhile."""
        self._was_used = True
        if not self._is_timing:
            self._is_timing = True
            self._began_us = self.previous_began_us = now_us()
            self._detect_stall(self._idle_since_us, self._began_us)
            asyncio.get_running_loop().call_soon(self._begin_turn)
        elif self._heartbeat_us is not None and not self.stalled_since_us:
            self._detect_stall(self._began_us, now_us())
        return self._began_us

    def _begin_turn(self) -> None:
        """Record that a turn has begun, and go on with each turn until one is not used."""
        if self._was_used:
            self._was_used = False
            self.previous_began_us, self._began_us = self._began_us, now_us()
            self._admitted_count = 0
            self._settling_turns = max(0, self._settling_turns - 1)
            while self._waiting and self._admitted_count < CLIENTS_PER_TURN:
                admission = self._waiting.popleft()
                if not admission.done():
                    admission.set_result(None)
                    self._admitted_count += 1
                    self._was_used = True
            asyncio.get_running_loop().call_soon(self._begin_turn)
        else:
            self._is_timing = False
            self._admitted_count = self.stalled_since_us = self._settling_turns = 0
            self._idle_since_us = now_us()

    def _detect_stall(self, since_us: int, at_us: int) -> None:
        """Notice that the process was stopped, if the loop did nothing since a time for longer than it should."""
        if self._heartbeat_us is None or not since_us:
            return
        due_us = since_us + self._heartbeat_us
        if at_us > due_us + STALL_MARGIN_US:
            self.stalled_since_us, self._settling_turns = due_us, SETTLING_TURNS
            self._began_us = at_us

    @property
    def is_settling(self) -> bool:
        """Whether the process was stopped a few turns ago: new requests should wait for news that came before them."""
        return self._settling_turns > 0

    @property
    def waiting_count(self) -> int:
        """The number of clients that wait to be admitted."""
        return len(self._waiting)

    async def admit_client(self, again: bool = False) -> None:
        """Wait until this turn or a later one admits the client; `again`: this turn has admitted it already."""
        self.turn_began_us()
        if not again and self._admitted_count < CLIENTS_PER_TURN and not self._waiting:
            self._admitted_count += 1
            return
        admission: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(admission)
        await admission


class Stream(IOStream):
    """A stream that records when the bytes read last arrived, as bounds on both sides."""

    def __init__(self, sock: socket.socket, turn_clock: TurnClock, **options: Any) -> None:
        self._turn_clock = turn_clock
        self._is_handling_poll = False
        self.arrived_by_us = 0  # the bytes read last had arrived by then
        self.arrived_after_us = 0  # and had not arrived before this time
        self.sent_bytes = 0  # accepted by the socket
        super().__init__(sock, **options)

    def _handle_events(self, fd: Any, events: int) -> None:
        # Tornado calls this for each event of the poll. A read outside of it is speculative, and finds bytes that have
        # just arrived.
        self._is_handling_poll = True
        self._turn_clock.turn_began_us()
        try:
            super()._handle_events(fd, events)
        finally:
            self._is_handling_poll = False

    def is_idle(self) -> bool:
        """Whether a read is waiting and nothing has arrived for it: neither bytes nor the end of the stream.

        This also looks at the socket, which prevents a peer that is just sending a request, or has just closed, from
        being taken for idle. Bytes may lie in the socket, or have been read from it without being delivered before the
        next turn of the loop.
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
        """Whether the peer has shut down its side or reset the connection, even if bytes before that are unread."""
        if self.closed():
            return True
        poll = select.poll()
        poll.register(self.fileno(), getattr(select, "POLLRDHUP", 0))
        return bool(poll.poll(0))

    def close(self, exc_info: Any = False) -> None:
        """See `BaseIOStream.close`.

        The traceback of `error` is released: its frames refer to the stream, and such a cycle would keep a connection
        that was reset, and all that it has received, in memory until the garbage collector runs.
        """
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    def write_to_fd(self, data: memoryview) -> int:
        """See `BaseIOStream.write_to_fd`."""
        sent = super().write_to_fd(data)
        self.sent_bytes += sent
        return sent

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """See `BaseIOStream.read_from_fd`."""
        received = super().read_from_fd(buf)
        if received:
            self.arrived_by_us = self.arrived_after_us = (
                self._turn_clock.turn_began_us() if self._is_handling_poll else now_us()
            )
            if self._is_handling_poll:
                self.arrived_after_us = self._turn_clock.previous_began_us
            if self._turn_clock.stalled_since_us:
                self.arrived_by_us = min(self.arrived_by_us, self._last_data_us())
        return received

    def _last_data_us(self) -> int:
        """When the kernel received the last data of this connection; now if it does not tell."""
        at_us = now_us()
        try:
            size = TCP_INFO_LAST_DATA_OFFSET_BYTES + 4
            information = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
            age_ms: int = struct.unpack_from("=I", information, TCP_INFO_LAST_DATA_OFFSET_BYTES)[0]
        except (OSError, AttributeError, struct.error):
            return at_us
        return max(self._turn_clock.stalled_since_us, at_us - age_ms * 1_000)


@contextlib.asynccontextmanager
async def timeout_excluding_stalls(seconds: float) -> AsyncIterator[None]:
    """Like `asyncio.timeout`, but extended once by the time for which this process was stalled.

    Prevents a process that was stopped for a second from finding all its timeouts expired and reading none of the
    answers that arrived meanwhile. Raises `TimeoutError`.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        deadline = loop.time() + seconds
        timer: asyncio.TimerHandle

        def expire() -> None:
            timeout.reschedule(loop.time())

        def on_deadline() -> None:  # does not refer to itself: such a cycle would outlive the timeout
            nonlocal timer
            late_s = loop.time() - deadline
            if late_s > LATE_TIMER_S:
                timer = loop.call_later(min(late_s, seconds), expire)
            else:
                expire()

        timer = loop.call_at(deadline, on_deadline)
        try:
            yield
        finally:
            timer.cancel()
