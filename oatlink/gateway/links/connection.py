"""One connection to a box: what is on it, in order, from its greeting to its end.

What may live here: bytes and frames of one connection, and how what was on it ended. Which request goes on it, and what
becomes of its place, is its owner's.
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

ASK = command("INFO", "server") + command("INFO", "replication")
ASK_BEHIND = command("INFO", "replication")
CHUNK = 262_144  # bytes read at once


class Owner(Protocol):
    """What a connection needs of the link it belongs to."""

    limits: Limits
    reports: Reports

    def lost(self, connection: "Connection") -> None:
        """It has closed."""

    def freed(self, connection: "Connection") -> None:
        """It has room."""


@dataclass(slots=True)
class PendingRequest:
    """A request on a connection: its frames come in order."""

    send: m.Send
    sent_us: int
    wants: int
    runs_from: int  # before so many bytes of the connection have been handed over, nothing of it can have run
    flushed_us: int = 0
    frames: list[bytes] = field(default_factory=list)


class Connection:
    """One connection to a box, from its greeting to its end. Closing is idempotent; everything on it is told."""

    def __init__(self, owner: Owner, stream: Stream, protocol: int, address: str) -> None:
        self._owner, self._reports = owner, owner.reports
        self.stream, self.protocol, self.address = stream, protocol, address
        self.queued_bytes = 0  # bytes put on it since its greeting
        self.greeted = 0  # bytes of the greeting
        self.reader = ReplyReader(owner.limits)
        self.pending: deque[PendingRequest] = deque()
        self.outgoing: list[bytes] = []
        self.unflushed: list[PendingRequest] = []
        self.run_id = ""
        self.alone = False
        self.idle_since_us = self._reports.now()
        self.closed = False

    async def frame(self) -> bytes:
        """The next whole reply, while greeting. Raises `StreamClosedError` or `ProtocolError`."""
        while (found := self.reader.take()) is None:
            self.reader.feed(await self.stream.read_bytes(CHUNK, partial=True))
        return found

    async def greet(self, user: str, password: str) -> bytes:
        """Authenticate, choose the protocol, learn whom this connection reaches. Raises `DialError`."""
        words: list[bytes] = []
        if password:
            words.append(command("AUTH", user or "default", password))
        if self.protocol == 3:
            words.append(command("HELLO", 3))
        try:
            await self.stream.write(b"".join(words) + ASK)
            for _ in words:
                if (await self.frame())[:1] == b"-":
                    raise DialError("refused")
            info = await self.info(2)
        except (StreamClosedError, ProtocolError):
            raise DialError("refused") from None
        self.run_id = parse_info(info).run_id
        self.greeted = self.stream.handed
        return info

    async def info(self, count: int) -> bytes:
        """So many INFO answers, put together. Raises `DialError` where one is an error."""
        parts = []
        for _ in range(count):
            text = info_text(await self.frame())
            if text is None:
                raise DialError("refused")
            parts.append(text)
        return b"".join(parts)

    def offer(self, send: m.Send) -> bool:
        """Put a request on the connection, if that reaches the run of the box that the request was sent to."""
        if send.run_id and self.run_id != send.run_id:
            self._reports.ended(send, "stranger", self._reports.now(), [], b"")
            if not self.pending:
                self.close("reset")
            return False
        self.enqueue(send)
        return True

    def enqueue(self, send: m.Send) -> None:
        """Put a request on the connection; it is written at the end of this turn."""
        wants = send.replies + send.ask
        runs_from = self.queued_bytes + (send.runs_from or len(send.payload))
        self.pending.append(PendingRequest(send, self._reports.now(), wants, runs_from))
        self.queued_bytes += len(send.payload)
        self.unflushed.append(self.pending[-1])
        self.alone = self.alone or send.alone
        self.outgoing.append(send.payload)
        if send.ask:
            self.outgoing.append(ASK_BEHIND)
            self.queued_bytes += len(ASK_BEHIND)
        self._reports.dirty(self)

    def flush(self) -> None:
        """Hand over what was put on the connection."""
        if not self.outgoing or self.closed:
            return
        data, self.outgoing = (self.outgoing[0] if len(self.outgoing) == 1 else b"".join(self.outgoing)), []
        now = self._reports.now()
        for one in self.unflushed:
            one.flushed_us = now
        self.unflushed.clear()
        try:
            self.stream.write(data).add_done_callback(swallow)
        except (StreamClosedError, StreamBufferFullError):
            self.close("reset")

    async def run(self) -> None:
        """Read replies until the connection ends."""
        how = "reset"
        try:
            while True:
                data = await self.stream.read_bytes(CHUNK, partial=True)
                self.reader.feed(data)
                with self._reports.turn():
                    self._take_all()
        except ProtocolError:
            how = "bad reply"
        except StreamClosedError:
            pass
        self.close(how)

    def _take_all(self) -> None:
        """All whole replies of one read. Raises `ProtocolError` once those before it are told."""
        problem = None
        more = False
        frame = self.reader.take()
        while frame is not None:
            try:
                following = self.reader.take()
            except ProtocolError as found:
                following, problem = None, found
            if frame[:1] != b">":  # out of band data that nobody asked for is passed over
                if not self.pending:
                    problem, following = ProtocolError("a reply that nothing was sent for"), None
                else:
                    more = self._take(frame, following is not None, more)
            frame = following
        if more:  # more replies were announced, and none of them ended a request
            self._reports.settle()
        if problem is not None:
            raise problem

    def _take(self, frame: bytes, follows: bool, more: bool) -> bool:
        """One reply; whether the engine has been told that more follow."""
        head = self.pending[0]
        head.frames.append(frame)
        if len(head.frames) < head.wants:
            return more
        self.pending.popleft()
        info = b""
        if head.send.ask:
            info = info_text(head.frames.pop()) or b""
        if not self.pending:
            self.alone = False
            self.idle_since_us = self._reports.now()
        now, ready = self._reports.now(), self.stream.ready_us
        # How long the answer had lain here is the gateway's own lateness, not the box's time.
        took = max(0, (ready if ready > head.flushed_us else now) - head.flushed_us)
        self._reports.replied(head.send, head.sent_us, took, head.frames, info, follows, self.address)
        self._owner.freed(self)
        return follows

    def close(self, how: str) -> None:
        """End the connection; each request on it ends the same way."""
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        self._owner.lost(self)
        pending, self.pending = list(self.pending), deque()
        handed = self.stream.handed - self.greeted
        with self._reports.turn():
            for one in pending:
                # A server runs a command once it has all of it (redis.io, protocol specification: arrays of bulk
                # strings), and a transaction at EXEC: what the socket never took whole has not run and will not.
                whole = handed >= one.runs_from
                self._reports.ended(one.send, how if whole else "unsent", one.sent_us, [], b"", self.address)


def swallow(future: "asyncio.Future[None]") -> None:
    """A write that failed is told by its stream's end; the future need not be asked."""
    if not future.cancelled():
        future.exception()


def info_text(frame: bytes) -> bytes | None:
    """The text of an INFO answer, whichever string type carries it."""
    value = decode(frame)
    if isinstance(value, bytes):
        return value
    return getattr(value, "data", None)
