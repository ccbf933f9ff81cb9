"""Client connections: startup, one query after the other, each answered once and in order.

A shell: what a query asks for is read by `statement`, what it is answered is told by its `Asker`. A peer's mistake is
answered once with an error or a close, costs nobody else anything and holds bounded memory.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import StreamBufferFullError, StreamClosedError

from oatlink.gateway.clock import Marks, Stream, now_us
from oatlink.platform.requests import Final
from oatlink.platform.statement import QUERY_BYTES
from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import Limits, ProtocolError

CHUNK = 16_384  # bytes read at once
MOST_WRITTEN = 262_144  # bytes that a client has not taken
SILENT_US = 2_500_000  # a connection that has asked nothing so long after it came is closed
HALF_US = 2_000_000  # so long may a message be under way
FULL_US = 20_000  # between two looks for a connection to close, where none may be
IDLE_US = 2_000_000  # a connection idle for less is left alone
PRESSURE = 0.25  # of all client connections: from there on idle ones are closed
MOST_MISTAKES = 4  # statements that cannot be read, of one connection; then it is closed
PAUSE_S = 0.05  # after a mistake, times their count: the same again at once takes no turn of others
LINGER_S = 0.3  # for a peer to take its last error
LIMITS = Limits(message_bytes=QUERY_BYTES)
READY = pg.make_ready().encode()
GREETING = b"".join(
    one.encode()
    for one in (
        pg.make_authentication(0),
        pg.make_status("server_version", "16.0 (oatlink)"),
        pg.make_status("server_encoding", "UTF8"),
        pg.make_status("client_encoding", "UTF8"),
        pg.make_status("DateStyle", "ISO, MDY"),
        pg.make_status("integer_datetimes", "on"),
        pg.make_status("standard_conforming_strings", "on"),
        pg.make_ready(),
    )
)
EMPTY = pg.Message(b"I", b"").encode() + READY
PLAIN = frozenset((b"SET", b"RESET", b"DISCARD"))  # answered here: nothing of a connection is kept


def error(sqlstate: str, text: str) -> bytes:
    """A mistake's answer, after which the connection goes on."""
    return pg.make_error(sqlstate, text).encode() + READY


def refusal(retry_after_us: int) -> bytes:
    """Refused: trying again is harmless, after so many milliseconds."""
    detail = str(-(-retry_after_us // 1000)) if retry_after_us > 0 else ""
    return pg.make_error("53300", "refused, try again", detail=detail).encode() + READY


FAILED = error("58000", "failed")


class Asker(Protocol):
    """Where queries go."""

    def ask(self, client: "Client", text: bytes, came_us: int) -> bytes | None:
        """Take a query. None where it is open now, else its answer at once. Raises nothing."""
        ...

    def left(self, client: "Client") -> None:
        """The client has gone, or has been sent away, its query still open."""
        ...


class Client:
    """One client connection, from its accept to its end."""

    def __init__(self, stream: Stream, asker: Asker, home: "Clients") -> None:
        self.stream, self._asker, self._home = stream, asker, home
        self._reader = pg.frontend_reader(LIMITS)
        self._started = False
        self.asked = False  # a request has come
        self.waits = False  # a query is open
        self.born_us = self.free_us = now_us()
        self._half_us = 0  # since when a message is under way
        self._mistakes = 0
        self._paused = False
        self._skips = False  # after a mistake in the extended protocol, until Sync
        self._ending = False
        self.closed = False
        self._room = asyncio.Event()

    async def run(self) -> None:
        """Read until the connection ends or is to end."""
        try:
            while not self._ending:
                # While a query is open the next bytes are read, to notice a close: one message of them at most.
                while (self.waits or self._paused) and self._reader.pending > QUERY_BYTES:
                    self._room.clear()
                    await self._room.wait()
                data = await self.stream.read_bytes(CHUNK, partial=True)
                if not self._ending:
                    self._reader.feed(data)
                    self.step()
        except StreamClosedError:
            pass
        finally:
            self.close()

    def step(self) -> None:
        """Take the messages that are here, up to a query that is open."""
        try:
            while not (self.waits or self._paused or self._ending or self.closed):
                message = self._reader.take()
                if message is None:
                    break
                self._half_us = 0
                self._take(message)
        except ProtocolError as problem:
            self.end(pg.refusal(problem).encode())
        if self._reader.pending and not (self.waits or self._paused):
            self._half_us = self._half_us or now_us()
        self._room.set()

    def _take(self, message: pg.Message) -> None:
        if not self._started:
            self._start(message)
        elif message.kind == b"X":
            self.end(b"")
        elif message.kind == b"Q":
            if not self._skips:
                self._query(pg.query_text(message))
        elif message.kind == b"S":
            self._skips = False
            self.write(READY)
        elif not self._skips:
            self._skips = message.kind != b"F"
            self._mistaken(
                pg.make_error("0A000", "expected simple queries only").encode()
                + (READY if message.kind == b"F" else b"")
            )

    def _start(self, message: pg.Message) -> None:
        match pg.startup(message):
            case pg.Startup():
                self._started = True
                self._reader.started()
                self.write(GREETING)
            case pg.Cancel():
                self.end(b"")
            case _:
                self.write(b"N")

    def _query(self, text: bytes) -> None:
        words = text.split(None, 1)
        if not words or not text.strip(b"; \t\r\n"):
            self.write(EMPTY)  # which asks nothing: a flood may say so much
        elif words[0].upper() in PLAIN:
            self.write(pg.make_complete(words[0].upper()).encode() + READY)
        else:
            # Time runs from the last byte; behind an open query it runs from that one's answer.
            answer = self._asker.ask(self, text, max(self.stream.ready_us, self.free_us))
            if answer is None:
                self.asked = True
            else:
                self._mistaken(answer)

    def _mistaken(self, answer: bytes) -> None:
        """Threat: the same again as soon as it is answered, at full speed. It waits, longer each time, then ends."""
        self._mistakes += 1
        if self._mistakes >= MOST_MISTAKES:
            self.end(answer)
            return
        self.write(answer)
        self._paused = True
        asyncio.get_running_loop().call_later(PAUSE_S * self._mistakes, self._go_on)

    def _go_on(self) -> None:
        self._paused = False
        if not self.closed:
            self.step()

    def answered(self, final: Final) -> None:
        """The open query's final answer."""
        data = FAILED
        if final.payload:
            data = final.payload + READY
        elif final.refused:
            data = refusal(final.retry_after_us)
        self.waits = False
        self.free_us = now_us()
        if self._home.stopping and not self._reader.pending:
            self.end(data)
            return
        self.write(data)
        if not self.closed:
            # What waits behind is seen to in a turn of its own: an answer may set off the next, and so on.
            asyncio.get_running_loop().call_soon(self.step)

    def write(self, data: bytes) -> None:
        """Write; a client that takes nothing is let go."""
        if self.closed:
            return
        try:
            self.stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            self.close()

    def end(self, data: bytes) -> None:
        """A last answer, then the close; what the client still sends is not read."""
        if self._ending or self.closed:
            return
        self._ending = True
        self.write(data)
        if self.closed or not self.stream.writing():
            self.close()
        else:
            asyncio.get_running_loop().call_later(LINGER_S, self.close)

    def close(self) -> None:
        """Close. Idempotent; an open query is told as left."""
        if self.closed:
            return
        self.closed = self._ending = True
        self._room.set()
        self.stream.close()
        if self.waits:
            self.waits = False
            self._asker.left(self)
        self._home.all.pop(self, None)

    def idle_since_us(self) -> int | None:
        """Since when nothing is open here and nothing under way; None while something is."""
        if self.waits or self._paused or self._reader.pending or not self.stream.at_rest():
            return None
        return self.free_us

    def overdue(self, at_us: int) -> bool:
        """Whether it has had its time: nothing asked since it came, or half a message that does not go on."""
        if self.waits or self._paused:
            return False
        return (not self.asked and at_us - self.born_us > SILENT_US) or (
            self._half_us > 0 and at_us - self._half_us > HALF_US
        )


class Clients:
    """The listener, and how many connections it may hold."""

    def __init__(
        self,
        sock: socket.socket,
        most: int,
        asker: Asker,
        marks: Marks,
        keep: Callable[["asyncio.Future[None]"], None],
        note: Callable[[str], None],
    ) -> None:
        self._sock, self._most, self._asker, self._marks, self._keep, self._note = sock, most, asker, marks, keep, note
        self.all: dict[Client, None] = {}
        self.stopping = False
        self._turned_away = 0  # since the last sweep
        self._full_until_us = 0
        self.address: tuple[str, int] = sock.getsockname()[:2]

    def listen(self) -> None:
        """Take connections from now on."""
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(16):  # a turn's; the rest wait in the kernel for the next
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as problem:
                self._note(f"accept: {problem.strerror}")
                self._make_room(now_us())
                return
            if len(self.all) >= self._most and not self._make_room(now_us()):
                sock.close()
                self._turned_away += 1
                continue
            stream = Stream(
                sock, self._marks, max_buffer_size=2 * CHUNK, max_write_buffer_size=MOST_WRITTEN, read_chunk_size=CHUNK
            )
            stream.set_nodelay(True)
            client = Client(stream, self._asker, self)
            self.all[client] = None
            self._keep(asyncio.ensure_future(client.run()))

    def _make_room(self, at_us: int) -> bool:
        """Threat: a flood of connections that say nothing keeps usual clients out.

        The oldest that has asked nothing goes first, then the one that idles longest, if long enough. Where none may
        go, nobody is looked for again for a while: a flood must not cost the process its time.
        """
        if at_us < self._full_until_us:
            return False
        for client in self.all:  # in the order they came
            if not client.asked and client.idle_since_us() is not None:
                client.close()
                return True
        for client in self._idle_long(at_us):
            client.close()
            return True
        self._full_until_us = at_us + FULL_US
        return False

    def _idle_long(self, at_us: int) -> list[Client]:
        """Clients that may be closed, the one that idles longest first."""
        idle = [one for one in self.all if at_us - one.free_us >= IDLE_US and one.idle_since_us() is not None]
        return sorted(idle, key=lambda one: one.free_us)

    def _relieve(self, at_us: int) -> None:
        """Threat: clients that ask once and keep their connection for good hold what those who ask now need.

        Past a share of the connections, the ones that idle longest are closed, if long enough.
        """
        spare = len(self.all) - round(PRESSURE * self._most)
        if spare > 0:
            for client in self._idle_long(at_us)[:spare]:
                client.close()

    @property
    def idle(self) -> int:
        """Connections with nothing open."""
        return sum(one.idle_since_us() is not None for one in self.all)

    def sweep(self) -> None:
        """Close what has had its time; at an orderly end also what idles."""
        at_us = now_us()
        if self._turned_away:
            self._note(f"clients turned away: {self._turned_away}, {len(self.all)} connections")
            self._turned_away = 0
        self._relieve(at_us)
        for client in list(self.all):
            if client.overdue(at_us):
                client.end(pg.make_error("57P05", "expected a whole query by now", "FATAL").encode())
            elif self.stopping and client.idle_since_us() is not None:
                client.end(b"")

    def stop(self) -> None:
        """Take no more connections; close between requests."""
        if not self.stopping:
            self.stopping = True
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
        self.sweep()
