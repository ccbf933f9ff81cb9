"""The listener of client connections, which limits how many of them there are.

Connections that are ending, and wait for their client to close, have a limit of their own, so that they take no
capacity from clients that send requests.
"""

import asyncio
import socket
from collections.abc import Callable

from oatlink.gateway.clock import Stream, TurnClock, now_us
from oatlink.platform.clients import answers
from oatlink.platform.clients.connection import READ_CHUNK_BYTES, Client
from oatlink.platform.clients.query import QueryHandler
from oatlink.platform.memory import LARGE_BYTES, HeldBytes
from oatlink.transport.turns import InputTurns

BACKLOG = 512  # connections that wait in the kernel
MAX_UNSENT_BYTES = 262_144  # of answers that a client has not taken
SEARCH_PAUSE_US = 20_000  # until the next search for a connection to close, after a search that found none
MIN_IDLE_US = 2_000_000  # a connection that is idle for less is not closed
PRESSURE_SHARE = 0.25  # of all client connections: beyond it, idle ones are closed
DESCRIPTORS_PER_ENDING = 8  # one in this many descriptors is reserved for connections that are ending
ACCEPTS_PER_TURN = 16  # the rest wait in the kernel for the next turn of the loop


class Clients:
    """All client connections.

    Each of the `max_descriptors` is for an active connection or for one that is ending.
    """

    def __init__(
        self,
        sock: socket.socket,
        max_descriptors: int,
        handler: QueryHandler,
        turn_clock: TurnClock,
        track_task: Callable[["asyncio.Future[None]"], None],
        note: Callable[[str], None],
        held: HeldBytes,
    ) -> None:
        self._sock, self._handler, self._turn_clock, self._note = sock, handler, turn_clock, note
        self._held = held
        # In the order in which their present messages began, with the number of messages before them.
        self._large_inputs: dict[Client, int] = {}
        self._track_task = track_task
        self._input_turns = InputTurns(turn_clock)
        self._max_ending = max(2, max_descriptors // DESCRIPTORS_PER_ENDING)
        self._max_active = max_descriptors - self._max_ending
        self.active: dict[Client, None] = {}  # in the order of their accepts
        self._ending: dict[Client, None] = {}  # in the order in which they began to end
        self._is_listening = self.stopping = False
        self._turned_away_count = self._memory_ended_count = 0  # since the last sweep
        self._search_paused_until_us = 0
        self.address: tuple[str, int] = sock.getsockname()[:2]

    def listen(self) -> None:
        """Accept connections from now on; until then they are refused."""
        self._sock.listen(BACKLOG)
        self._is_listening = True
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self, max_count: int = ACCEPTS_PER_TURN) -> bool:
        """Accept connections that wait in the kernel; return whether more may be waiting."""
        for _ in range(max_count):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:
                self._note(f"accept: {error.strerror}")
                self._make_room(now_us())
                return False
            client = self._add_client(sock)
            if len(self.active) > self._max_active and not self._make_room(now_us()):
                # A close without an answer, over input that is already there, would reset the connection and leave
                # the client without a reason.
                self._turned_away_count += 1
                client.end(answers.TOO_MANY_CONNECTIONS)
                self._mark_ending(client)
        return True

    def _add_client(self, sock: socket.socket) -> Client:
        stream = Stream(
            sock,
            self._turn_clock,
            max_buffer_size=2 * READ_CHUNK_BYTES,
            max_write_buffer_size=MAX_UNSENT_BYTES,
            read_chunk_size=READ_CHUNK_BYTES,
        )
        stream.set_nodelay(True)
        client = Client(stream, self._handler, self, self._input_turns, self._held)
        self.active[client] = None
        self._track_task(asyncio.ensure_future(client.run()))
        return client

    def input_received(self, client: Client) -> None:
        """See `ClientOwner`.

        Ends the connections that have held much input for longest, then those with the most bytes of answers. Prevents
        hundreds of clients that stop in the middle of a large request, or send it slowly, from using more memory than
        the process has.
        """
        if client.input.is_large:
            self._large_inputs.setdefault(client, client.input.taken_count)
        while self._held.is_over and (holder := self._holder_to_end()) is not None:
            self._memory_ended_count += 1
            if holder.input.is_large:
                holder.end(answers.OUT_OF_MEMORY)
                self._mark_ending(holder)
            else:
                holder.close()

    def _holder_to_end(self) -> Client | None:
        while self._large_inputs:
            holder, taken_count = next(iter(self._large_inputs.items()))
            if holder.input.is_large and holder.input.taken_count == taken_count:
                return holder
            del self._large_inputs[holder]
            if holder.input.is_large:  # the message that was large has been completed
                self._large_inputs[holder] = holder.input.taken_count
        most = max(self.active, key=lambda client: client.held_answer_bytes, default=None)
        return most if most is not None and most.held_answer_bytes > LARGE_BYTES else None

    def client_closed(self, client: Client) -> None:
        """See `ClientOwner`."""
        self._large_inputs.pop(client, None)
        self.active.pop(client, None)
        self._ending.pop(client, None)

    def _mark_ending(self, client: Client) -> None:
        """Count a connection with those that are ending, and close the oldest of these beyond their limit.

        Prevents peers that never close their side from holding all descriptors.
        """
        if client in self.active:
            del self.active[client]
            self._ending[client] = None
        while len(self._ending) > self._max_ending and not self.stopping:
            next(iter(self._ending)).close()

    def _make_room(self, at_us: int) -> bool:
        """Close one connection to admit another; return whether there was one to close.

        Prevents a flood of connections that send nothing from keeping other clients out. The oldest connection without
        any request goes first, then the one that has been idle longest, if it has been idle for `MIN_IDLE_US`. Where
        none may be closed, there is no other search for a while, so that a flood does not use up this process's time.
        """
        if at_us < self._search_paused_until_us:
            return False
        for client in self.active:
            if not client.has_submitted and client.idle_since_us() is not None:
                self._end(client)
                return True
        for client in self._long_idle_clients(at_us):
            self._end(client)
            return True
        self._search_paused_until_us = at_us + SEARCH_PAUSE_US
        return False

    def _end(self, client: Client) -> None:
        client.drain()
        # A request may have arrived after the client was found idle. Such a client stays active until that request is
        # answered; sweeps end it afterwards.
        if client.is_ending:
            self._mark_ending(client)

    def _long_idle_clients(self, at_us: int) -> list[Client]:
        """Return the idle clients that may be closed, the longest idle first."""
        idle = [
            client
            for client in self.active
            if at_us - client.last_answer_us >= MIN_IDLE_US and client.idle_since_us() is not None
        ]
        return sorted(idle, key=lambda client: client.last_answer_us)

    def _relieve_pressure(self, at_us: int) -> None:
        """Close the longest idle connections beyond a share of all.

        Prevents clients that send one request and then keep their connection from holding capacity that active clients
        need.
        """
        excess = len(self.active) - round(PRESSURE_SHARE * (self._max_active + self._max_ending))
        excess = min(excess, self._max_ending - len(self._ending))
        if excess > 0:
            for client in self._long_idle_clients(at_us)[:excess]:
                self._end(client)

    @property
    def open_count(self) -> int:
        """The number of connections, including those that are ending."""
        return len(self.active) + len(self._ending)

    @property
    def idle_count(self) -> int:
        """The number of connections without an open query."""
        return sum(client.idle_since_us() is not None for client in self.active)

    def sweep(self) -> None:
        """End connections that exceeded their time limits; during a stop, all that have nothing to be answered."""
        at_us = now_us()
        if self._turned_away_count:
            self._note(f"clients turned away: {self._turned_away_count}, {len(self.active)} connections")
            self._turned_away_count = 0
        if self._memory_ended_count:
            self._note(f"clients ended for memory: {self._memory_ended_count}, {self._held.used} bytes are held")
            self._memory_ended_count = 0
        self._relieve_pressure(at_us)
        for client in list(self.active):
            if self.stopping:
                client.drain()
            client.sweep(at_us)
            if client.is_ending:
                self._mark_ending(client)

    def stop(self) -> None:
        """Accept no more connections, and end each one once everything received on it is answered."""
        if not self.stopping:
            if self._is_listening:
                # All that the kernel holds now, which would be reset when the listener closes. Later ones are
                # not taken: clients that come again at once would keep this loop busy without end.
                self._accept(BACKLOG + 1)
            self.stopping = True
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
        self.sweep()
