"""The door of a node's own port: who may knock, how many, and who is heard.

What may live here: which connections are accepted, proved, refused and closed. What they say goes to `Listener.take`.

Threats: a flood of connections that say nothing (few are held, the oldest goes first, and each has a short time); two
processes under one name, which would both be believed; a name that nobody listed (refused, or with `unlisted` heard
once the key has proved it, and so many of them at once: who holds the key could make up names without end).
"""

import asyncio
import socket
from collections.abc import Callable

from oatlink.fleet import envelope
from oatlink.fleet.messages import VERSION
from oatlink.fleet.shell.inbound import InboundConnection
from oatlink.fleet.shell.inbound_context import InboundContext, PeerConnection
from oatlink.settings.parts import address_fits

MOST_UNPROVED = 64
MOST_A_PEER = 4
MOST_NAME = 64  # characters of a name that no settings list
MOST_ADDRESS = 128  # of an address that is not of the settings
ACCEPTS_A_TURN = 16
PROVE_TICKS = 8  # until a Hello must have come: 2 s
ALIVE_TICKS = 12  # how long a connection speaks for its process after a frame: 3 s
ALIVE_UNLISTED_TICKS = 32  # the same where names are not listed, and reports come each 5 s: 8 s
SILENT_TICKS = 180  # its other end would have closed it long ago: 45 s


def is_dialled(address: str) -> bool:
    """Whether a peer's word may be taken for a node's address."""
    fits = len(address) <= MOST_ADDRESS and address.isascii() and not address.startswith("unix:")
    return fits and address_fits(address)


class Listener:
    """What all accepted connections of a node share, and the door they come through.

    `say` writes a line: event, peer, text. `unlisted`: how many names that are not among `peers` are heard at once.
    """

    def __init__(
        self,
        context: InboundContext,
        peers: frozenset[str],
        keys: tuple[bytes, ...],
        say: Callable[[str, str, str], None],
        unlisted: int = 0,
    ) -> None:
        self.context, self.peers, self.keys, self.say, self.unlisted = context, peers, keys, say, unlisted
        self._alive_ticks = ALIVE_UNLISTED_TICKS if unlisted else ALIVE_TICKS
        self._unproved: dict[PeerConnection, None] = {}
        self._proved: dict[str, list[PeerConnection]] = {}
        self._strange = 0  # proved names that are not among the peers
        self._listening: list[socket.socket] = []
        self._loop: asyncio.AbstractEventLoop | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    # ---- Who may knock ----

    def listen(self, sockets: list[socket.socket]) -> None:
        """Accept on bound sockets from now on."""
        self._loop = asyncio.get_running_loop()
        self._listening = sockets
        for one in sockets:
            self._loop.add_reader(one, self._accept, one)

    def _accept(self, listening: socket.socket) -> None:
        assert self._loop is not None
        # Threat: ten thousand at once. So many a turn, and what else waits for the loop has its turn too.
        for _ in range(ACCEPTS_A_TURN):
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # No handle is free: asking again at once would have the loop do nothing else.
                self.say("fleet accept", "", error.strerror or str(error))
                self._loop.remove_reader(listening)
                self._loop.call_later(0.1, self._again, listening)
                return
            sock.setblocking(False)
            self.context.counters["accepted"] += 1
            one = InboundConnection(self, self.context)
            self._unproved[one] = None
            if len(self._unproved) > MOST_UNPROVED:
                self.context.counters["dropped_crowd"] += 1
                next(iter(self._unproved)).close()
            task = self._loop.create_task(self._connect(one, sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, one: InboundConnection, sock: socket.socket) -> None:
        assert self._loop is not None
        try:
            await self._loop.connect_accepted_socket(lambda: one, sock)
        except OSError:
            sock.close()
            self.gone(one)

    def _again(self, listening: socket.socket) -> None:
        if self._loop is not None and listening in self._listening:
            self._loop.add_reader(listening, self._accept, listening)

    def close(self) -> None:
        """Accept and hear no more."""
        for one in self._listening:
            if self._loop is not None:
                self._loop.remove_reader(one)
            one.close()
        self._listening = []
        for conn in [*self._unproved, *(one for some in self._proved.values() for one in some)]:
            conn.close()

    # ---- Who may be heard ----

    def tick(self) -> None:
        """A quarter of a second has passed."""
        self.context.ticks += 1
        for one in [one for one in self._unproved if self.context.ticks - one.heard > PROVE_TICKS]:
            self.context.counters["dropped_unproved"] += 1
            one.close()
        for some in list(self._proved.values()):
            for one in list(some):
                if self.context.ticks - one.heard > SILENT_TICKS:
                    one.close()
                else:
                    one.acknowledge()

    def prove(self, one: PeerConnection, frame: bytes) -> envelope.Seal | None:
        """Frame 0 has come: the sender's seal, or None where it is not to be heard."""
        hello = envelope.read_hello(frame)
        if hello is None:
            self.refuse("dropped_hello")
            return None
        known = hello.node if hello.node in self.peers else ""
        # The version first: what a newer one's tags are made of is not known here.
        if hello.version > VERSION:
            self.refuse("dropped_version", known, f"version {hello.version}, this node knows {VERSION}")
            return None
        if not known and not (self.unlisted and hello.node != self.context.node and 0 < len(hello.node) <= MOST_NAME):
            self.refuse("dropped_name", known, "a name that is not in fleet.nodes")
            return None
        seals = (envelope.Seal(key, one.nonce, hello.node, hello.incarnation) for key in self.keys)
        seal = next((seal for seal in seals if seal.opened(frame) is not None), None)
        if seal is None:
            self.refuse("dropped_tag", known, "no key of ours")
        elif hello.fleet != self.context.fleet:
            self.refuse("dropped_fleet", known, "its settings' fleet part differs from ours")
        elif hello.to != self.context.node:
            # Threat: a node in between that passes on what was meant for another.
            self.refuse("dropped_misled", known, f"it meant {hello.to[:64]!r}")
        elif self._admit(one, hello):
            return seal
        return None

    def _admit(self, one: PeerConnection, hello: envelope.Hello) -> bool:
        """Whether this process is the one that has its name."""
        peers = self._proved.get(hello.node, [])
        if not peers and hello.node not in self.peers and self._strange >= self.unlisted:
            self.refuse("dropped_full", "", f"{self._strange} names beside those in the settings are heard already")
            return False
        others = [other for other in peers if other.incarnation != hello.incarnation]
        if any(self.context.ticks - other.heard <= self._alive_ticks for other in others):
            self.refuse("dropped_twice", hello.node, "another process has this name, and is alive")
            return False
        for other in others:  # their process is gone, or silent: from now on this one has the name
            other.close()
        if len(peers) >= MOST_A_PEER:
            peers[0].close()  # the oldest: its other end may be long gone
        one.name, one.incarnation = hello.node, hello.incarnation
        if is_dialled(hello.address):
            one.address = hello.address
        self._unproved.pop(one, None)
        if hello.node not in self._proved:
            self._strange += hello.node not in self.peers
            self._proved[hello.node] = []
        self._proved[hello.node].append(one)
        return True

    def address_of(self, name: str) -> str:
        """Where the process listens that has this name, by its newest greeting; empty where it is not heard."""
        return self._proved[name][-1].address if name in self._proved else ""

    def refuse(self, counter: str, peer: str = "", text: str = "") -> None:
        """Count it, and say it where there is something to say."""
        self.context.counters[counter] += 1
        if text:
            self.say("fleet peer refused", peer, text)

    def gone(self, one: PeerConnection) -> None:
        """A connection has ended."""
        self._unproved.pop(one, None)
        peers = self._proved.get(one.name, [])
        if one in peers:
            peers.remove(one)
            if not peers:
                del self._proved[one.name]
                self._strange -= one.name not in self.peers
