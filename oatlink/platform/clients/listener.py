"""The listener of client connections, and how many of them it holds.

Connections that end and wait for their client's end are counted apart: they take nothing from those that ask.
"""

import asyncio
import socket
from collections.abc import Callable

from oatlink.gateway.clock import Stream, TurnClock, now_us
from oatlink.platform.clients import answers
from oatlink.platform.clients.connection import CHUNK, Client, QueryHandler

MOST_WRITTEN = 262_144  # bytes that a client has not taken
FULL_US = 20_000  # between two looks for a connection to close, where none may be
IDLE_US = 2_000_000  # a connection idle for less is left alone
PRESSURE = 0.25  # of all client connections: from there on idle ones are closed
ENDING_PART = 8  # one in so many descriptors is for connections that end
ACCEPTED_A_TURN = 16  # the rest wait in the kernel for the next


class Clients:
    """All client connections. Each descriptor of the `most` given is either a client's or one's that ends."""

    def __init__(
        self,
        sock: socket.socket,
        most: int,
        handler: QueryHandler,
        turn_clock: TurnClock,
        keep: Callable[["asyncio.Future[None]"], None],
        note: Callable[[str], None],
    ) -> None:
        self._sock, self._handler, self._turn_clock, self._keep, self._note = sock, handler, turn_clock, keep, note
        self._most_ending = max(2, most // ENDING_PART)
        self._most = most - self._most_ending
        self.active: dict[Client, None] = {}
        self._ending: dict[Client, None] = {}  # in the order in which they began to end
        self.stopping = False
        self._turned_away = 0  # since the last sweep
        self._full_until_us = 0
        self.address: tuple[str, int] = sock.getsockname()[:2]

    def listen(self) -> None:
        """Take connections from now on."""
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self, most: int = ACCEPTED_A_TURN) -> bool:
        """Take what waits in the kernel. Whether more may wait."""
        for _ in range(most):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as problem:
                self._note(f"accept: {problem.strerror}")
                self._make_room(now_us())
                return False
            client = self._take(sock)
            if len(self.active) > self._most and not self._make_room(now_us()):
                # Threat: a close with no answer, over what it has sent already, leaves its client without a word.
                self._turned_away += 1
                client.end(answers.TURNED_AWAY)
                self._began_to_end(client)
        return True

    def _take(self, sock: socket.socket) -> Client:
        stream = Stream(
            sock, self._turn_clock, max_buffer_size=2 * CHUNK, max_write_buffer_size=MOST_WRITTEN, read_chunk_size=CHUNK
        )
        stream.set_nodelay(True)
        client = Client(stream, self._handler, self)
        self.active[client] = None
        self._keep(asyncio.ensure_future(client.run()))
        return client

    def gone(self, client: Client) -> None:
        """See `Home`."""
        self.active.pop(client, None)
        self._ending.pop(client, None)

    def _began_to_end(self, client: Client) -> None:
        """Its descriptor counts with those that end. Threat: peers that never end their side hold them all."""
        if client in self.active:
            del self.active[client]
            self._ending[client] = None
        while len(self._ending) > self._most_ending and not self.stopping:
            next(iter(self._ending)).close()

    def _make_room(self, at_us: int) -> bool:
        """Threat: a flood of connections that say nothing keeps usual clients out.

        The oldest that has asked nothing goes first, then the one that idles longest, if long enough. Where none may
        go, nobody is looked for again for a while: a flood must not cost the process its time.
        """
        if at_us < self._full_until_us:
            return False
        for client in self.active:  # in the order they came
            if not client.asked and client.idle_since_us() is not None:
                self._end(client)
                return True
        for client in self._idle_long(at_us):
            self._end(client)
            return True
        self._full_until_us = at_us + FULL_US
        return False

    def _end(self, client: Client) -> None:
        client.drain()
        # Threat: a request that came since it was looked at. It is answered first; sweeps look after it until then.
        if client.is_ending:
            self._began_to_end(client)

    def _idle_long(self, at_us: int) -> list[Client]:
        """Clients that may be closed, the one that idles longest first."""
        idle = [one for one in self.active if at_us - one.free_us >= IDLE_US and one.idle_since_us() is not None]
        return sorted(idle, key=lambda one: one.free_us)

    def _relieve(self, at_us: int) -> None:
        """Threat: clients that ask once and keep their connection for good hold what those who ask now need.

        Past a share of the connections, the ones that idle longest are closed, if long enough.
        """
        spare = len(self.active) - round(PRESSURE * (self._most + self._most_ending))
        spare = min(spare, self._most_ending - len(self._ending))
        if spare > 0:
            for client in self._idle_long(at_us)[:spare]:
                self._end(client)

    @property
    def open_count(self) -> int:
        """Connections held, those that end among them."""
        return len(self.active) + len(self._ending)

    @property
    def idle_count(self) -> int:
        """Connections with nothing open."""
        return sum(one.idle_since_us() is not None for one in self.active)

    def sweep(self) -> None:
        """End what has had its time; at an orderly end all that owes nothing."""
        at_us = now_us()
        if self._turned_away:
            self._note(f"clients turned away: {self._turned_away}, {len(self.active)} connections")
            self._turned_away = 0
        self._relieve(at_us)
        for client in list(self.active):
            if self.stopping:
                client.drain()
            client.sweep(at_us)
            if client.is_ending:
                self._began_to_end(client)

    def stop(self) -> None:
        """Take no more connections; end each once what it owes is answered."""
        if not self.stopping:
            while self._accept():  # Threat: what waits in the kernel is reset when the listener closes
                pass
            self.stopping = True
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
        self.sweep()
