"""A stand-in for one database box: RESP, a command log with replication offsets, replication, and faults on demand.

It follows the public specification of PSYNC, REPLCONF, ROLE, INFO, WAIT and REPLICAOF (redis.io: replication, and the
pages of the commands), except for two things: a full resynchronisation sends the data as commands instead of an RDB
file, and the window for repeats of `XADD ... IDMP` is set for the whole box, in milliseconds.

An offset is raised only after the command that it counts has been applied, so a box never reports an offset whose
writes it does not have. Work, cores, warm-up, lag and every fault are set by the code that runs the box.
"""

import asyncio
import contextlib
import random
import socket
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets, bind_unix_socket

from oatlink.protocols.resp import (
    OK,
    QUEUED,
    Array,
    CommandReader,
    Error,
    Map,
    Null,
    ProtocolError,
    bulk,
    command,
    encode,
    encode_command,
    error,
)
from oatlink.standins.store import Store

BACKLOG_BYTES = 4 * 1024 * 1024  # of the replication stream, kept for partial resynchronisation
READS = frozenset(
    b"get mget strlen getrange exists type keys scan dbsize ttl pttl hget hmget hgetall hkeys hvals hlen hexists "
    b"llen lindex lrange smembers sismember scard zcard zscore zrange xlen xrange xrevrange".split()
)
Tap = Callable[[str, int, str, bytes], None]
"""Receives every byte on a box's sockets: box, connection, `in` or `out`, data."""
AppliedCallback = Callable[[str, list[bytes]], None]
"""Called at once for each change of a box's data: box, command; FLUSHALL where a full resynchronisation drops all."""


@dataclass(slots=True)
class Faults:
    """Faults of a box; each may be changed while it runs."""

    lag_ms: float = 0.0  # a replica applies each command of the log this long after it arrived
    hang: bool = False  # the box accepts connections and bytes, and answers nothing
    slow: float = 1.0  # multiplies the work of each command
    cut_replies: int = 0  # this many next replies are cut in the middle, and their connections closed
    die_on_write: bool = False  # the next write is applied, not replicated and not answered; then the box stops


@dataclass(slots=True)
class PathFaults:
    """Faults of one of a box's addresses, while its other addresses work."""

    holds_replies: bool = False  # commands are executed, but replies wait until `release_replies`
    reads_nothing: bool = False  # connections are accepted, and nothing is read from them
    reply_delay_ms: float = 0.0  # each reply is sent this much later
    # INFO and the handshake are answered. Any other command is executed without a reply, and the box sends nothing more
    # on its connection.
    drops_data_replies: bool = False
    reset_requests: int = 0  # this many next commands reset their connection before they are executed
    reset_replies: int = 0  # this many next replies are cut in the middle, and their connections closed


@dataclass(slots=True)
class WorkProfile:
    """The work of each command and the capacity of the box; commands without work are answered at once."""

    read_us: int = 0
    write_us: int = 0
    cores: int = 4
    cold_share: float = 1.0  # the share of its full speed that the box has when it starts
    warm_s: float = 0.0  # seconds from its start to full speed


@dataclass(slots=True)
class Follower:
    """A replica as its primary sees it."""

    connection: "Connection"
    acked: int = 0


class Connection:
    """A connection to the box."""

    def __init__(self, number: int, stream: IOStream, path: str) -> None:
        self.number, self.stream, self.path = number, stream, path
        self.held_replies: list[bytes] = []
        self.is_muted = False  # it never sends another reply, see `PathFaults.drops_data_replies`
        self.protocol = 2
        self.queued: list[list[bytes]] | None = None  # the commands since MULTI
        self.has_queue_error = False
        self.watched: dict[bytes, int] = {}
        self.follower: Follower | None = None
        self.pending: deque[list[bytes]] = deque()
        self.is_working = False


@dataclass(slots=True)
class Backlog:
    """The tail of the replication stream: `start` is the offset of its first byte."""

    start: int = 0
    data: bytearray = field(default_factory=bytearray)

    def add(self, data: bytes) -> None:
        """Append; only a bounded tail is kept."""
        self.data += data
        if len(self.data) > 2 * BACKLOG_BYTES:
            dropped = len(self.data) - BACKLOG_BYTES
            del self.data[:dropped]
            self.start += dropped

    def since(self, offset: int) -> bytes | None:
        """All bytes after an offset, or None where they are no longer kept."""
        index = offset - self.start
        return bytes(self.data[index:]) if 0 <= index <= len(self.data) else None


class Box:
    """One stand-in server on loopback."""

    def __init__(
        self,
        name: str,
        *,
        seed: int = 1,
        work: WorkProfile | None = None,
        window_ms: int = 2_000,
        tap: Tap | None = None,
    ) -> None:
        self.name = name
        self.work = work or WorkProfile()
        self.faults = Faults()
        self.tap = tap
        self.on_applied: AppliedCallback | None = None
        self.store = Store(window_ms)
        self.port = 0
        self.offset = 0
        self.replid2, self.second_offset = "", -1
        self.primary: Box | tuple[str, int] | None = None
        self.running = False
        self.link_up = False
        self.executed = 0
        self._random = random.Random(f"{seed}/{name}")
        self.replid = self._new_id()
        self.run_id = self._new_id()
        self.backlog = Backlog()
        self._connections: dict[int, Connection] = {}
        self._last_connection_number = 0
        self.addresses: dict[str, str] = {}  # all but the first, by name, in the form of the settings
        self.paths: dict[str, PathFaults] = {"": PathFaults()}  # by name of the address; the first has the empty name
        self._listeners: dict[str, tuple[socket.socket, Callable[[], None]]] = {}
        self._follow_task: asyncio.Task[None] | None = None
        self._cores_free_at_s: list[float] = []
        self._started_s = 0.0
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def _new_id(self) -> str:
        return f"{self._random.getrandbits(160):040x}"

    # ---- Start and stop ----

    def start(self, port: int = 0) -> int:
        """Listen on loopback and return the port. The box starts with the data of its last run."""
        assert not self.running
        first = bind_sockets(port or self.port, "127.0.0.1", family=socket.AF_INET)[0]
        self.port = first.getsockname()[1]
        self._listen("", first)
        for name in self.addresses:
            self.open_listener(name)
        self.running, self.run_id = True, self._new_id()
        self._started_s = time.monotonic()
        self._cores_free_at_s = [0.0] * self.work.cores
        if self.primary is not None:
            self.follow(self.primary)
        return self.port

    def stop(self) -> None:
        """Stop at once, as in a crash: connections are reset, nothing more is replicated or answered."""
        if not self.running:
            return
        self.running = False
        for name in list(self._listeners):
            self.close_listener(name)
        if self._follow_task is not None:
            self._follow_task.cancel()
        for connection in list(self._connections.values()):
            self._end(connection, reset=True)
        for task in list(self._tasks):
            task.cancel()
        self._waiters.clear()

    # ---- Addresses ----

    def _listen(self, name: str, sock: socket.socket) -> None:
        remove = add_accept_handler(sock, lambda accepted, _: self._accept(accepted, name))
        self._listeners[name] = (sock, remove)

    def open_listener(self, name: str) -> None:
        """Accept connections at one of `addresses`."""
        address = self.addresses[name]
        self.paths.setdefault(name, PathFaults())
        if address.startswith("unix:"):
            self._listen(name, bind_unix_socket(address[5:], mode=0o600))
        else:
            host, _, port = address.rpartition(":")
            self._listen(name, bind_sockets(int(port), host.strip("[]"))[0])

    def close_listener(self, name: str) -> None:
        """Accept no more connections at an address; the file of a Unix socket stays, as after a crash."""
        sock, remove = self._listeners.pop(name)
        remove()
        sock.close()

    def reset_connections(self, name: str) -> None:
        """Reset all connections over an address."""
        for connection in [each for each in self._connections.values() if each.path == name]:
            self._end(connection, reset=True)

    def release_replies(self, name: str) -> None:
        """Send the replies that an address has delayed (`holds_replies`), and delay no more."""
        self.paths[name].holds_replies = False
        for connection in [each for each in self._connections.values() if each.path == name]:
            held_replies, connection.held_replies = connection.held_replies, []
            self._write(connection, b"".join(held_replies))

    def capacity(self) -> float:
        """Reads per second that the box can execute now."""
        read_s = self.work.read_us * self.faults.slow / 1e6
        return self.work.cores * self._warmth() / read_s if read_s else float("inf")

    def _warmth(self) -> float:
        """The share of its full speed that the box has now."""
        if not self.work.warm_s:
            return 1.0
        age_s = time.monotonic() - self._started_s
        return min(1.0, self.work.cold_share + (1 - self.work.cold_share) * age_s / self.work.warm_s)

    # ---- Replication as a replica ----

    def follow(self, primary: "Box | tuple[str, int]") -> None:
        """Become a replica (REPLICAOF); writes are refused from now on."""
        self.primary = primary
        for connection in list(self._connections.values()):
            if connection.follower is not None:
                self._end(connection, reset=True)
        for _, _, future in self._waiters:
            if not future.done():
                future.set_exception(ConnectionError("UNBLOCKED"))
        self._waiters.clear()
        if self._follow_task is not None:
            self._follow_task.cancel()
        if self.running:
            self._follow_task = asyncio.ensure_future(self._replicate())

    def promote(self) -> None:
        """Become primary (REPLICAOF NO ONE), with a new history that shares the old one up to the present offset."""
        if self._follow_task is not None:
            self._follow_task.cancel()
            self._follow_task = None
        self.primary = None
        self.replid2, self.second_offset = self.replid, self.offset + 1
        self.replid = self._new_id()
        self.link_up = False

    @property
    def is_primary(self) -> bool:
        """Whether it accepts writes."""
        return self.primary is None

    async def _replicate(self) -> None:
        """Follow the primary until cancelled; connect again whenever the link ends."""
        while True:
            try:
                await self._follow_once()
            except (StreamClosedError, ProtocolError, OSError):
                pass
            finally:
                self.link_up = False
            await asyncio.sleep(0.05)

    async def _follow_once(self) -> None:
        primary = self.primary
        assert primary is not None
        address = ("127.0.0.1", primary.port) if isinstance(primary, Box) else primary
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=1 << 30)
        try:
            async with asyncio.timeout(1):
                await stream.connect(address)
            stream.set_nodelay(True)
            await self._synchronise(stream)
        finally:
            stream.close()

    async def _synchronise(self, stream: IOStream) -> None:
        for words in (
            ("PING",),
            ("REPLCONF", "listening-port", self.port),
            ("REPLCONF", "capa", "eof", "capa", "psync2"),
        ):
            await stream.write(command(*words))
            await stream.read_until(b"\r\n", max_bytes=512)
        await stream.write(
            command("PSYNC", self.replid if self.offset else "?", self.offset + 1 if self.offset else -1)
        )
        line = (await stream.read_until(b"\r\n", max_bytes=512))[:-2].split()
        if line[0] == b"+FULLRESYNC":
            head = await stream.read_until(b"\r\n", max_bytes=64)
            payload = await stream.read_bytes(int(head[1:-2]))
            self.store.__init__(self.store.window_ms)  # type: ignore[misc]
            self._report_changes([[b"FLUSHALL"]])
            commands = CommandReader()
            commands.feed(payload)
            while (args := commands.take()) is not None:
                self.store.execute(args, _now_ms())
                self._report_changes([args])
            self.replid, self.offset = line[1].decode(), int(line[2])
            self.replid2, self.second_offset = "", -1
            self.backlog = Backlog(self.offset)
        elif line[0] == b"+CONTINUE":
            if len(line) > 1 and line[1].decode() != self.replid:
                self.replid2, self.second_offset = self.replid, self.offset + 1
                self.replid = line[1].decode()
        else:
            raise ProtocolError(f"PSYNC was not accepted: {line[0][:80]!r}")
        self.link_up = True
        await stream.write(self._ack())
        queue: deque[tuple[float, list[bytes], int]] = deque()
        arrived = asyncio.Event()
        applier = asyncio.ensure_future(self._apply(queue, arrived, stream))
        ack_sender = asyncio.ensure_future(self._send_acks(stream))
        commands = CommandReader()
        try:
            while True:
                commands.feed(await stream.read_bytes(65_536, partial=True))
                while (args := commands.take()) is not None:
                    # The primary encodes commands in the same way, so both count the same bytes.
                    queue.append((time.monotonic(), args, len(encode_command(args))))
                    arrived.set()
        finally:
            applier.cancel()
            ack_sender.cancel()

    async def _apply(
        self, queue: deque[tuple[float, list[bytes], int]], arrived: asyncio.Event, stream: IOStream
    ) -> None:
        """Apply the log in order, each command no earlier than `lag_ms` after it arrived."""
        while True:
            if not queue:
                arrived.clear()
                await arrived.wait()
            arrived_s, args, size = queue[0]
            wait_s = arrived_s + self.faults.lag_ms / 1000 - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(min(wait_s, 0.05))  # the lag may change meanwhile
                continue
            if self.faults.hang:
                await asyncio.sleep(0.01)
                continue
            queue.popleft()
            self._apply_one(args, size)
            if args[0] == b"REPLCONF" and not stream.closed():
                stream.write(self._ack()).add_done_callback(_ignore_result)

    def _apply_one(self, args: list[bytes], size: int) -> None:
        if args[0] not in (b"REPLCONF", b"PING"):
            self.store.execute(args, _now_ms())
            self._report_changes([args])
        data = encode_command(args)
        assert len(data) == size
        self.offset += size
        self.backlog.add(data)
        self._send_to_followers(data)

    async def _send_acks(self, stream: IOStream) -> None:
        while not stream.closed():
            await asyncio.sleep(0.2)
            if not self.faults.hang and not stream.closed():
                stream.write(self._ack()).add_done_callback(_ignore_result)

    def _ack(self) -> bytes:
        return command("REPLCONF", "ACK", self.offset)

    # ---- Replication as a primary ----

    def _propagate(self, commands: list[list[bytes]]) -> None:
        for args in commands:
            data = encode_command(args)
            self.offset += len(data)
            self.backlog.add(data)
            self._send_to_followers(data)

    def _send_to_followers(self, data: bytes) -> None:
        for connection in list(self._connections.values()):
            if connection.follower is not None:
                self._write(connection, data)

    def _psync(self, connection: Connection, args: list[bytes]) -> None:
        """Answer PSYNC: partial where the history is shared and the bytes are still kept, else full."""
        replid, offset = args[1].decode("latin1"), int(args[2])
        connection.follower = Follower(connection)
        is_shared = replid == self.replid or (replid == self.replid2 and offset <= self.second_offset)
        tail = self.backlog.since(offset - 1) if is_shared and offset > 0 else None
        if tail is not None:
            self._write(connection, f"+CONTINUE {self.replid}\r\n".encode() + tail)
            connection.follower.acked = offset - 1
            return
        payload = b"".join(map(encode_command, self.store.dump()))
        self._write(connection, f"+FULLRESYNC {self.replid} {self.offset}\r\n${len(payload)}\r\n".encode() + payload)

    async def _wait(self, connection: Connection, wanted: int, limit_ms: int) -> bytes:
        """Answer WAIT: wait until `wanted` replicas have acknowledged this connection's writes; return their count."""
        target = self.offset
        if self._count_acked(target) < wanted and any(each.follower for each in self._connections.values()):
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append((target, wanted, future))
            self._propagate([[b"REPLCONF", b"GETACK", b"*"]])
            try:
                async with asyncio.timeout(limit_ms / 1000 if limit_ms else None):
                    await future
            except TimeoutError:
                pass
            except ConnectionError:
                return error("UNBLOCKED force unblock from blocking operation, instance state changed")
        return encode(self._count_acked(target))

    def _count_acked(self, target: int) -> int:
        return sum(
            1 for each in self._connections.values() if each.follower is not None and each.follower.acked >= target
        )

    def _on_ack(self, connection: Connection, offset: int) -> None:
        if connection.follower is None:
            return
        connection.follower.acked = max(connection.follower.acked, offset)
        for entry in list(self._waiters):
            target, wanted, future = entry
            if self._count_acked(target) >= wanted or future.done():
                self._waiters.remove(entry)
                if not future.done():
                    future.set_result(None)

    # ---- Connections ----

    def _accept(self, sock: socket.socket, path: str) -> None:
        self._last_connection_number += 1
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self._last_connection_number, IOStream(sock, max_buffer_size=1 << 30), path)
        self._connections[connection.number] = connection
        self._spawn(self._serve(connection))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _end(self, connection: Connection, reset: bool = False) -> None:
        self._connections.pop(connection.number, None)
        if not connection.stream.closed():
            if reset:
                with contextlib.suppress(OSError):
                    connection.stream.socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    )
            connection.stream.close()

    def _write(self, connection: Connection, data: bytes) -> None:
        if connection.stream.closed() or not data:
            return
        path = self.paths[connection.path]
        if path.holds_replies or connection.is_muted:
            connection.held_replies.append(data)
            return
        if path.reply_delay_ms and not connection.stream.closed():
            asyncio.get_running_loop().call_later(path.reply_delay_ms / 1000, self._deliver, connection, data)
            return
        self._deliver(connection, data)

    def _deliver(self, connection: Connection, data: bytes) -> None:
        if connection.stream.closed():
            return
        path = self.paths[connection.path]
        if (self.faults.cut_replies or path.reset_replies) and connection.follower is None:
            if path.reset_replies:
                path.reset_replies -= 1
            else:
                self.faults.cut_replies -= 1
            data = data[: len(data) // 2]
            self._record(connection, "out", data)
            with contextlib.suppress(StreamClosedError):
                connection.stream.write(data).add_done_callback(_ignore_result)
            self._end(connection)
            return
        self._record(connection, "out", data)
        with contextlib.suppress(StreamClosedError):
            connection.stream.write(data).add_done_callback(_ignore_result)

    def _record(self, connection: Connection, direction: str, data: bytes) -> None:
        if self.tap is not None:
            self.tap(self.name, connection.number, direction, data)

    async def _serve(self, connection: Connection) -> None:
        reader = CommandReader()
        try:
            while True:
                while self.paths[connection.path].reads_nothing:
                    await asyncio.sleep(0.01)
                data = await connection.stream.read_bytes(65_536, partial=True)
                self._record(connection, "in", data)
                reader.feed(data)
                while (args := reader.take()) is not None:
                    path = self.paths[connection.path]
                    is_handshake = args[0].upper() in (b"INFO", b"HELLO", b"AUTH")
                    if path.reset_requests and not is_handshake:
                        path.reset_requests -= 1
                        self._end(connection, reset=True)
                        return
                    connection.is_muted = connection.is_muted or (path.drops_data_replies and not is_handshake)
                    connection.pending.append(args)
                if not connection.is_working and not self._answer_immediate(connection):
                    connection.is_working = True
                    self._spawn(self._answer_pending(connection))
        except ProtocolError as problem:
            self._write(connection, error(str(problem)))
            self._end(connection)
        except StreamClosedError:
            self._end(connection)

    def _answer_immediate(self, connection: Connection) -> bool:
        """Answer the pending commands up to the first one that takes time; returns whether none is left."""
        out: list[bytes] = []
        while connection.pending and not self.faults.hang and not self._takes_time(connection.pending[0]):
            args = connection.pending.popleft()
            reply = self._execute(connection, args)
            if reply is None:
                return True
            out.append(reply)
        self._write(connection, b"".join(out))
        return not connection.pending

    def _takes_time(self, args: list[bytes]) -> bool:
        name = args[0].lower()
        if name == b"wait":
            return True
        work_us = self.work.read_us if name in READS else self.work.write_us if name in self.store.handlers else 0
        return work_us > 0

    async def _answer_pending(self, connection: Connection) -> None:
        """Answer a connection's pending commands in order, each after its work on a free core."""
        try:
            while connection.pending and connection.number in self._connections:
                if self.faults.hang:
                    await asyncio.sleep(0.02)
                    continue
                args = connection.pending[0]
                name = args[0].lower()
                if name == b"wait" and connection.queued is None:
                    connection.pending.popleft()
                    self._write(connection, await self._wait(connection, int(args[1]), int(args[2])))
                    continue
                work_us = self.work.read_us if name in READS else self.work.write_us if self._takes_time(args) else 0
                if work_us and connection.queued is None:
                    await self._occupy_core(work_us * self.faults.slow / self._warmth() / 1e6)
                    if self.faults.hang:
                        continue
                connection.pending.popleft()
                reply = self._execute(connection, args)
                if reply is None:
                    return
                self._write(connection, reply)
        finally:
            connection.is_working = False

    async def _occupy_core(self, seconds: float) -> None:
        core = min(range(len(self._cores_free_at_s)), key=self._cores_free_at_s.__getitem__)
        now_s = time.monotonic()
        self._cores_free_at_s[core] = max(now_s, self._cores_free_at_s[core]) + seconds
        await asyncio.sleep(self._cores_free_at_s[core] - now_s)

    # ---- Commands ----

    def _execute(self, connection: Connection, args: list[bytes]) -> bytes | None:
        """Execute a command; returns its reply, or None where the box stopped instead of replying."""
        name = args[0].lower()
        if connection.queued is not None and name not in (b"exec", b"discard", b"multi", b"reset", b"quit", b"watch"):
            if name not in READS and name in self.store.handlers and not self.is_primary:
                connection.has_queue_error = True
                return READONLY
            connection.has_queue_error = connection.has_queue_error or name not in self.store.handlers
            connection.queued.append(args)
            return QUEUED if name in self.store.handlers else error("ERR unknown command")
        handler = getattr(self, f"_do_{name.decode('ascii', 'replace')}", None)
        if handler is not None:
            reply = handler(connection, args)
            assert reply is None or isinstance(reply, bytes)
            return reply
        if name not in READS and not self.is_primary and name in self.store.handlers:
            return READONLY
        return self._run(connection, args)

    def _run(self, connection: Connection, args: list[bytes]) -> bytes | None:
        reply, replicated = self.store.execute(args, _now_ms(), connection.protocol)
        self.executed += 1
        self._report_changes(replicated)
        if replicated and self.faults.die_on_write:
            # These writes were applied and counted but are never replicated, so no other box has them.
            self.faults.die_on_write = False
            for change in replicated:
                data = encode_command(change)
                self.offset += len(data)
                self.backlog.add(data)
            self.stop()
            return None
        self._propagate(replicated)
        return reply

    def _report_changes(self, changes: list[list[bytes]]) -> None:
        if self.on_applied is not None:
            for args in changes:
                self.on_applied(self.name, args)

    def _do_exec(self, connection: Connection, args: list[bytes]) -> bytes | None:
        queued, has_queue_error, watched = connection.queued, connection.has_queue_error, connection.watched
        connection.queued, connection.has_queue_error, connection.watched = None, False, {}
        if queued is None:
            return error("ERR EXEC without MULTI")
        if has_queue_error:
            return error("EXECABORT Transaction discarded because of previous errors.")
        if any(self.store.change_counts.get(key, 0) != count for key, count in watched.items()):
            return encode(Null(b"*" if connection.protocol == 2 else b"_"), connection.protocol)
        replies = []
        for queued_args in queued:
            reply = self._run(connection, queued_args)
            if reply is None:
                return None
            replies.append(reply)
        return b"*%d\r\n" % len(replies) + b"".join(replies)

    def _do_multi(self, connection: Connection, args: list[bytes]) -> bytes:
        if connection.queued is not None:
            return error("ERR MULTI calls can not be nested")
        connection.queued = []
        return OK

    def _do_discard(self, connection: Connection, args: list[bytes]) -> bytes:
        if connection.queued is None:
            return error("ERR DISCARD without MULTI")
        connection.queued, connection.has_queue_error, connection.watched = None, False, {}
        return OK

    def _do_watch(self, connection: Connection, args: list[bytes]) -> bytes:
        if connection.queued is not None:
            return error("ERR WATCH inside MULTI is not allowed")
        for key in args[1:]:
            connection.watched.setdefault(key, self.store.change_counts.get(key, 0))
        return OK

    def _do_unwatch(self, connection: Connection, args: list[bytes]) -> bytes:
        connection.watched = {}
        return OK

    def _do_ping(self, connection: Connection, args: list[bytes]) -> bytes:
        return bulk(args[1]) if len(args) > 1 else b"+PONG\r\n"

    def _do_echo(self, connection: Connection, args: list[bytes]) -> bytes:
        return bulk(args[1])

    def _do_select(self, connection: Connection, args: list[bytes]) -> bytes:
        return OK

    def _do_client(self, connection: Connection, args: list[bytes]) -> bytes:
        return OK

    def _do_hello(self, connection: Connection, args: list[bytes]) -> bytes:
        if len(args) > 1:
            if args[1] not in (b"2", b"3"):
                return error("NOPROTO unsupported protocol version")
            connection.protocol = int(args[1])
        role = b"master" if self.is_primary else b"replica"
        return encode(
            Map(
                (
                    (b"server", b"redis"),
                    (b"version", b"7.4.0"),
                    (b"proto", connection.protocol),
                    (b"id", connection.number),
                    (b"mode", b"standalone"),
                    (b"role", role),
                    (b"modules", Array(())),
                )
            ),
            connection.protocol,
        )

    def _do_info(self, connection: Connection, args: list[bytes]) -> bytes:
        wanted = [section.lower() for section in args[1:]] or [b"server", b"replication"]
        parts = []
        if {b"server", b"all", b"everything", b"default"} & set(wanted):
            uptime = int(time.monotonic() - self._started_s)
            parts.append(
                f"# Server\r\nredis_version:7.4.0\r\nrun_id:{self.run_id}\r\ntcp_port:{self.port}\r\n"
                f"uptime_in_seconds:{uptime}\r\n"
            )
        if {b"replication", b"all", b"everything", b"default"} & set(wanted):
            parts.append(self._replication_info())
        return bulk("\r\n".join(parts).encode())

    def _replication_info(self) -> str:
        followers = [each.follower for each in self._connections.values() if each.follower is not None]
        lines = ["# Replication", f"role:{'master' if self.is_primary else 'slave'}"]
        if not self.is_primary:
            host, port = ("127.0.0.1", self.primary.port) if isinstance(self.primary, Box) else self.primary or ("", 0)
            lines += [
                f"master_host:{host}",
                f"master_port:{port}",
                f"master_link_status:{'up' if self.link_up else 'down'}",
                f"slave_read_repl_offset:{self.offset}",
                f"slave_repl_offset:{self.offset}",
            ]
        lines.append(f"connected_slaves:{len(followers)}")
        lines += [
            f"slave{index}:ip=127.0.0.1,port=0,state=online,offset={follower.acked},lag=0"
            for index, follower in enumerate(followers)
        ]
        lines += [
            f"master_replid:{self.replid}",
            f"master_replid2:{self.replid2 or '0' * 40}",
            f"master_repl_offset:{self.offset}",
            f"second_repl_offset:{self.second_offset}",
            "repl_backlog_active:1",
            f"repl_backlog_first_byte_offset:{self.backlog.start + 1}",
        ]
        return "\r\n".join(lines) + "\r\n"

    def _do_role(self, connection: Connection, args: list[bytes]) -> bytes:
        if self.is_primary:
            rows = tuple(
                Array((b"127.0.0.1", b"0", b"%d" % each.follower.acked))
                for each in self._connections.values()
                if each.follower is not None
            )
            return encode(Array((b"master", self.offset, Array(rows))), connection.protocol)
        port = self.primary.port if isinstance(self.primary, Box) else self.primary[1] if self.primary else 0
        state = b"connected" if self.link_up else b"connect"
        return encode(Array((b"slave", b"127.0.0.1", port, state, self.offset)), connection.protocol)

    def _do_replicaof(self, connection: Connection, args: list[bytes]) -> bytes:
        if args[1].lower() == b"no":
            if not self.is_primary:
                self.promote()
            return OK
        self.follow((args[1].decode(), int(args[2])))
        return OK

    def _do_replconf(self, connection: Connection, args: list[bytes]) -> bytes:
        if args[1].lower() == b"ack":
            self._on_ack(connection, int(args[2]))
            return b""
        return OK

    def _do_psync(self, connection: Connection, args: list[bytes]) -> bytes:
        self._psync(connection, args)
        return b""

    def _do_quit(self, connection: Connection, args: list[bytes]) -> bytes:
        return OK

    def _do_reset(self, connection: Connection, args: list[bytes]) -> bytes:
        connection.queued, connection.has_queue_error, connection.watched, connection.protocol = None, False, {}, 2
        return b"+RESET\r\n"


READONLY = encode(Error(b"READONLY You can't write against a read only replica."))


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _ignore_result(future: "asyncio.Future[None]") -> None:
    if not future.cancelled():
        future.exception()
