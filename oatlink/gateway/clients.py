"""One client connection as the gateway sees it: pending answers, waiting, and its end.

The engine decides which answers there are; `transport.closing` decides how a connection ends.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from tornado.iostream import StreamBufferFullError, StreamClosedError

from oatlink.gateway.clock import Stream
from oatlink.gateway.links import READ_CHUNK_BYTES, consume_write_error
from oatlink.gateway.listeners import LISTEN_BACKLOG
from oatlink.transport.closing import State
from oatlink.transport.ending import Ending


class Client:
    """One client connection."""

    def __init__(self, number: int, stream: Stream, on_ended: Callable[["Client"], None]) -> None:
        self.number, self.stream = number, stream
        self.ending = Ending(stream, self._has_pending_output, self._ended)
        self._on_ended = on_ended
        self.unanswered = 0  # commands without an answer
        self.outgoing: list[bytes] = []
        self.hangup_us = 0  # when the engine asked to close the connection after what is still to be written; 0 if not
        self.is_given_up = False  # pending answers are no longer waited for
        self.paused_until_us = 0
        self.pause_began_us = 0
        self.unsent_bytes = 0  # written, but not yet taken by the client
        self.last_write: asyncio.Future[None] | None = None
        self.is_pipeline_full = False  # reading waits until fewer of its commands are unanswered
        self._wakeup: asyncio.Future[None] | None = None

    @property
    def is_over(self) -> bool:
        """Whether commands that the client has already sent are no longer carried out."""
        return bool(self.hangup_us) or self.ending.discards or self.stream.closed()

    @property
    def discards_input(self) -> bool:
        """Whether input from the client is discarded."""
        return bool(self.hangup_us) or self.ending.discards

    def _has_pending_output(self) -> bool:
        """Whether the client is owed unsent bytes, an answer, or the answer to a command that it may be sending now."""
        if self.is_given_up:
            return False
        if self.unsent_bytes or self.outgoing:
            return True  # for at most `client_write_timeout_ms`, which is longer than the time limits of an ending
        return not self.hangup_us and (self.unanswered > 0 or not self.stream.is_idle())

    def _ended(self) -> None:
        self.wake()
        self._on_ended(self)

    async def wait(self) -> None:
        """Wait until `wake`: for a free place in the pipeline, the end of a pause, or the connection's end."""
        self._wakeup = asyncio.get_running_loop().create_future()
        if self.ending.state is State.CLOSED:
            return
        await self._wakeup

    def wake(self) -> None:
        """End `wait`."""
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def write(self) -> bool:
        """Write the answers that are queued. Returns False if the client was cut off for not taking its answers."""
        if not self.outgoing or self.stream.closed():
            return True
        data, self.outgoing = (self.outgoing[0] if len(self.outgoing) == 1 else b"".join(self.outgoing)), []
        try:
            written = self.stream.write(data)
        except (StreamBufferFullError, StreamClosedError):
            self.ending.close()
            return False
        self.unsent_bytes += len(data)

        def on_written(future: "asyncio.Future[None]", size: int = len(data)) -> None:
            self.unsent_bytes -= size
            consume_write_error(future)
            if not self.ending.accepts_requests:
                self.ending.settle()

        written.add_done_callback(on_written)
        self.last_write = written
        return True


async def discard_input(stream: Stream, ending: Ending) -> None:
    """Read and discard until the connection has ended; bytes that come before its last answer are not counted."""
    with contextlib.suppress(StreamClosedError):
        while True:
            size = len(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
            if ending.discards:
                ending.discard(size)


def accept_queued(sock: socket.socket, accept: Callable[[socket.socket, object], None]) -> None:
    """Accept the connections in the kernel's queue, but none that come later.

    Prevents them from being reset, with the commands that they have sent, when the listener closes.
    """
    with contextlib.suppress(OSError):
        for _ in range(LISTEN_BACKLOG + 1):
            accept(*sock.accept())
