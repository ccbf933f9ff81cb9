"""One connection to a box, from its handshake to its end, and the requests on it in their order.

The module handles the bytes and frames of one connection and reports how the requests on it ended. Which request goes
on it, and what replaces it when it ends, is decided by its owner.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from tornado.iostream import StreamBufferFullError, StreamClosedError

from oatlink.core import messages as m
from oatlink.core.reports import parse_info
from oatlink.gateway.clock import Stream
from oatlink.gateway.links.dialling import DialError
from oatlink.gateway.links.reports import Reports
from oatlink.protocols.resp import Limits, ProtocolError, ReplyReader, command, decode

INFO_COMMANDS = command("INFO", "server") + command("INFO", "replication")
INFO_COMMAND_COUNT = 2
REPLICATION_INFO_COMMAND = command("INFO", "replication")  # sent behind a request that asks for a report
READ_CHUNK_BYTES = 262_144


class ConnectionOwner(Protocol):
    """What a connection needs of the link that it belongs to."""

    limits: Limits
    reports: Reports

    def connection_closed(self, connection: "Connection") -> None:
        """The connection has closed."""

    def reply_completed(self, connection: "Connection") -> None:
        """A request on the connection has ended, so that another one may go on it."""


@dataclass(slots=True)
class PendingRequest:
    """A request on a connection; its reply frames arrive in order."""

    send: m.Send
    sent_us: int
    frame_count: int  # frames that answer it, with the report behind it
    runs_from_byte: int  # it cannot have run before the socket took this many bytes of the connection
    flushed_us: int = 0
    frames: list[bytes] = field(default_factory=list)


class Connection:
    """One connection to a box. Closing is idempotent; the end of each request on it is reported."""

    def __init__(self, owner: ConnectionOwner, stream: Stream, protocol: int, address: str) -> None:
        self._owner, self._reports = owner, owner.reports
        self.stream, self.protocol, self.address = stream, protocol, address
        self.queued_bytes = 0  # in total, since the handshake
        self.handshake_bytes = 0
        self.reader = ReplyReader(owner.limits)
        self.pending: deque[PendingRequest] = deque()
        self.outgoing: list[bytes] = []
        self.unflushed: list[PendingRequest] = []
        self.run_id = ""
        self.is_exclusive = False  # a request on it must not share the connection
        self.idle_since_us = self._reports.now()
        self.is_closed = False

    async def read_frame(self) -> bytes:
        """Read the next whole reply during the handshake. Raises `StreamClosedError` or `ProtocolError`."""
        while (frame := self.reader.take()) is None:
            self.reader.feed(await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True))
        return frame

    async def handshake(self, user: str, password: str) -> bytes:
        """Authenticate, choose the protocol and learn which run of the box it reaches. Raises `DialError`.

        Returns what the box reports about itself.
        """
        commands: list[bytes] = []
        if password:
            commands.append(command("AUTH", user or "default", password))
        if self.protocol == 3:
            commands.append(command("HELLO", 3))
        try:
            await self.stream.write(b"".join(commands) + INFO_COMMANDS)
            for _ in commands:
                if (await self.read_frame())[:1] == b"-":
                    raise DialError("refused")
            info = await self.read_info(INFO_COMMAND_COUNT)
        except (StreamClosedError, ProtocolError):
            raise DialError("refused") from None
        self.run_id = parse_info(info).run_id
        self.handshake_bytes = self.stream.sent_bytes
        return info

    async def read_info(self, count: int) -> bytes:
        """Read `count` answers to INFO and join them. Raises `DialError` where one is an error."""
        parts = []
        for _ in range(count):
            text = info_text(await self.read_frame())
            if text is None:
                raise DialError("refused")
            parts.append(text)
        return b"".join(parts)

    def enqueue_if_same_run(self, send: m.Send) -> bool:
        """Queue a request, if the connection reaches the run of the box that the request was sent to."""
        if send.run_id and self.run_id != send.run_id:
            self._reports.ended(send, "stranger", self._reports.now(), [], b"")
            if not self.pending:
                self.close("reset")
            return False
        self.enqueue(send)
        return True

    def enqueue(self, send: m.Send) -> None:
        """Queue a request on the connection; it is written at the end of the present batch."""
        frame_count = send.replies + send.ask
        runs_from_byte = self.queued_bytes + (send.runs_from or len(send.payload))
        self.pending.append(PendingRequest(send, self._reports.now(), frame_count, runs_from_byte))
        self.queued_bytes += len(send.payload)
        self.unflushed.append(self.pending[-1])
        self.is_exclusive = self.is_exclusive or send.alone
        self.outgoing.append(send.payload)
        if send.ask:
            self.outgoing.append(REPLICATION_INFO_COMMAND)
            self.queued_bytes += len(REPLICATION_INFO_COMMAND)
        self._reports.schedule_flush(self)

    def flush(self) -> None:
        """Write what was queued on the connection."""
        if not self.outgoing or self.is_closed:
            return
        data, self.outgoing = (self.outgoing[0] if len(self.outgoing) == 1 else b"".join(self.outgoing)), []
        now = self._reports.now()
        for request in self.unflushed:
            request.flushed_us = now
        self.unflushed.clear()
        try:
            self.stream.write(data).add_done_callback(consume_write_error)
        except (StreamClosedError, StreamBufferFullError):
            self.close("reset")

    async def run(self) -> None:
        """Read replies until the connection ends."""
        how = "reset"
        try:
            while True:
                self.reader.feed(await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                with self._reports.batch():
                    self._process_replies()
        except ProtocolError:
            how = "bad reply"
        except StreamClosedError:
            pass
        self.close(how)

    def _process_replies(self) -> None:
        """Process all whole replies of one read. Raises `ProtocolError` once those before the error are reported."""
        problem = None
        more_announced = False
        frame = self.reader.take()
        while frame is not None:
            try:
                next_frame = self.reader.take()
            except ProtocolError as error:
                next_frame, problem = None, error
            if frame[:1] != b">":  # push frames that nobody asked for are skipped
                if not self.pending:
                    problem, next_frame = ProtocolError("a reply without a pending request"), None
                else:
                    more_announced = self._process_reply(frame, next_frame is not None, more_announced)
            frame = next_frame
        if more_announced:  # further replies were announced, and none of them ended a request
            self._reports.no_more_replies()
        if problem is not None:
            try:
                raise problem
            finally:
                del problem  # its traceback refers to this frame: the cycle would outlive the connection

    def _process_reply(self, frame: bytes, has_next: bool, more_announced: bool) -> bool:
        """Process one reply. Returns whether the engine was notified that more replies follow."""
        head = self.pending[0]
        head.frames.append(frame)
        if len(head.frames) < head.frame_count:
            return more_announced
        self.pending.popleft()
        info = b""
        if head.send.ask:
            info = info_text(head.frames.pop()) or b""
        if not self.pending:
            self.is_exclusive = False
            self.idle_since_us = self._reports.now()
        now, ready = self._reports.now(), self.stream.arrived_by_us
        # The time for which the reply waited in this process is the gateway's own delay and not part of the box's time.
        took_us = max(0, (ready if ready > head.flushed_us else now) - head.flushed_us)
        self._reports.replied(head.send, head.sent_us, took_us, head.frames, info, has_next, self.address)
        self._owner.reply_completed(self)
        return has_next

    def close(self, how: str) -> None:
        """Close the connection; each request on it ends the same way."""
        if self.is_closed:
            return
        self.is_closed = True
        self.stream.close()
        self._owner.connection_closed(self)
        pending, self.pending = list(self.pending), deque()
        handed_over_bytes = self.stream.sent_bytes - self.handshake_bytes
        with self._reports.batch():
            for request in pending:
                # A server runs a command once it has all of it (redis.io, protocol specification: arrays of bulk
                # strings), and a transaction at EXEC. So a request that the socket never took whole has not run and
                # will not run.
                may_have_run = handed_over_bytes >= request.runs_from_byte
                outcome = how if may_have_run else "unsent"
                self._reports.ended(request.send, outcome, request.sent_us, [], b"", self.address)


def consume_write_error(future: "asyncio.Future[None]") -> None:
    """Retrieve the error of a failed write, so that asyncio does not log it; the end of the stream reports it."""
    if not future.cancelled():
        future.exception()


def info_text(frame: bytes) -> bytes | None:
    """The text of an answer to INFO, whichever string type carries it; None for any other answer."""
    value = decode(frame)
    if isinstance(value, bytes):
        return value
    return getattr(value, "data", None)
