"""The commands of one client connection: executed concurrently, answered in the order of their arrival. No I/O.

Prevents one request that hangs from delaying all requests that its client sent after it. Executed one after the other,
those would get no answer in their own time, and would be lost once the client has waited long enough for the first one.
Each command is therefore submitted when it arrives, and its time counts from its own last byte. Its answer waits here
for the answers of the commands before it. A command with others after it gives up SLACK_US early, while its client
still waits for the others.

Concurrent does not mean in any order: a command that reads or writes what another one writes, or carries the same
idempotency key, is submitted after the answer of that one. This module decides order, capacity and times of arrival;
which server executes a command is decided elsewhere.
"""

from dataclasses import dataclass, field

SLACK_US = 50_000  # between the client's clock and ours: the protocol extends every time limit by as much
# Of answers that wait for those before them. Beyond this limit, no command is added until they are sent.
MAX_WAITING_BYTES = 262_144
MAX_WRITE_BYTES = 65_536  # of answers written at once, unless a single answer is longer
MAX_ARRIVALS = 64  # times of arrival kept; beyond this, newer bytes count as arrived with the last ones


@dataclass(slots=True)
class PipelineLimits:
    """How many commands the connections of a gateway may have open.

    `per_connection` limits each connection; `shared` limits, over all connections, the commands beyond the first one
    of each. The second limit prevents the gateway from running out of memory when a hundred clients each pipeline as
    many of the longest answers as they may behind a command that hangs. Each such answer needs memory until its turn
    comes, so its place is reserved when the command is added.
    """

    per_connection: int
    shared: int
    shared_used: int = 0

    @property
    def is_full(self) -> bool:
        """Whether no connection may add a command behind another one."""
        return self.shared_used >= self.shared


class ArrivalTimes:
    """When the bytes of a stream arrived, so that each command is timed by its own last byte."""

    __slots__ = ("_arrivals", "_received_bytes")

    def __init__(self) -> None:
        self._received_bytes = 0
        # Total of bytes received up to a time, and that time. A list, since it is short, and small when empty.
        self._arrivals: list[tuple[int, int]] = []

    def add(self, size: int, at_us: int) -> None:
        """Record that `size` more bytes arrived."""
        self._received_bytes += size
        # Bounds the list when a client sends one byte at a time. A time may then be too early, but never too late.
        if len(self._arrivals) >= MAX_ARRIVALS:
            at_us = self._arrivals.pop()[1]
        self._arrivals.append((self._received_bytes, at_us))

    def last_byte_us(self, pending: int) -> int:
        """When the last byte of the command just parsed arrived, with `pending` bytes not parsed yet."""
        while len(self._arrivals) > 1 and self._arrivals[0][0] < self._received_bytes - pending:
            del self._arrivals[0]
        return self._arrivals[0][1]


@dataclass(eq=False, slots=True)
class Command:
    """One request of a connection.

    `resources` are names that order commands: two that share one are executed one after the other if either writes.
    """

    arrived_us: int
    resources: tuple[bytes, ...] = ()
    is_write: bool = False
    answer: bytes | None = None
    is_expedited: bool = False  # another command waits behind it
    blocker_count: int = 0  # commands that must be answered before it is submitted
    blocked: list["Command"] = field(default_factory=list)  # commands that are submitted after its answer

    @property
    def early_us(self) -> int:
        """How long before its client's deadline it has to be answered."""
        return SLACK_US if self.is_expedited else 0


@dataclass(slots=True)
class _ResourceUsers:
    """Unanswered commands that use one resource: the last one that writes, and those that read after it."""

    writer: Command | None = None
    readers: list[Command] = field(default_factory=list)

    def join(self, command: Command) -> list[Command]:
        """Add a command and return those that have to be answered before it is submitted."""
        if not command.is_write:
            self.readers.append(command)
            return [self.writer] if self.writer is not None else []
        blockers = self.readers or ([self.writer] if self.writer is not None else [])
        self.writer, self.readers = command, []
        return blockers

    def leave(self, command: Command) -> bool:
        """Remove an answered command; return whether no command uses the resource any more."""
        if self.writer is command:
            self.writer = None
        elif command in self.readers:
            self.readers.remove(command)
        return self.writer is None and not self.readers


class Pipeline:
    """The commands of one connection whose answers have not been handed out yet, in order."""

    __slots__ = ("_limits", "_queue", "_resources", "_shared_used", "waiting_bytes", "unanswered")

    def __init__(self, limits: PipelineLimits) -> None:
        self._limits = limits
        self.unanswered: dict[Command, None] = {}
        self._queue: list[Command] = []
        self._resources: dict[bytes, _ResourceUsers] = {}
        self.waiting_bytes = 0  # of answers in the queue
        self._shared_used = 0  # this connection's part of the shared limit

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def has_capacity(self) -> bool:
        """Whether another command may be added."""
        limits = self._limits
        return not self.unanswered or (
            len(self._queue) < limits.per_connection and self.waiting_bytes < MAX_WAITING_BYTES and not limits.is_full
        )

    def add(self, command: Command) -> Command | None:
        """Add a command; it may be submitted at once if its `blocker_count` is 0.

        Returns the command before it if that one has to be answered earlier from now on.
        """
        previous = self._queue[-1] if self._queue else None
        self._queue.append(command)
        self.unanswered[command] = None
        self._update_shared_use()
        for resource in command.resources:
            for blocker in self._resources.setdefault(resource, _ResourceUsers()).join(command):
                blocker.blocked.append(command)
                command.blocker_count += 1
        if previous is None or previous.answer is not None or previous.is_expedited:
            return None
        previous.is_expedited = True
        return previous

    def add_answer(self, data: bytes) -> None:
        """Queue an answer of our own, to something that is not submitted to a server."""
        if self._queue and (last := self._queue[-1]).answer is not None:
            last.answer += data  # thousands of these behind one unanswered request take a single place
        else:
            self._queue.append(Command(0, answer=data))
        self.waiting_bytes += len(data)

    def answer(self, command: Command, data: bytes) -> list[Command]:
        """Record a command's answer and return the commands that may be submitted now."""
        if command not in self.unanswered:
            return []
        command.answer = data
        self.waiting_bytes += len(data)
        del self.unanswered[command]
        for resource in command.resources:
            if resource in self._resources and self._resources[resource].leave(command):
                del self._resources[resource]
        for other in command.blocked:
            other.blocker_count -= 1
        return [other for other in command.blocked if not other.blocker_count]

    def take_ready(self) -> bytes:
        """Remove and return the answers whose turn it is, up to `MAX_WRITE_BYTES` at once."""
        data = b""
        while self._queue and (answer := self._queue[0].answer) is not None:
            if data and len(data) + len(answer) > MAX_WRITE_BYTES:
                break
            del self._queue[0]
            data += answer
        self.waiting_bytes -= len(data)
        self._update_shared_use()
        return data

    def clear(self) -> list[Command]:
        """Forget everything, since the client has gone; return the commands without an answer."""
        unanswered = list(self.unanswered)
        self.unanswered.clear()
        self._queue.clear()
        self._resources.clear()
        self.waiting_bytes = 0
        self._update_shared_use()
        return unanswered

    def _update_shared_use(self) -> None:
        """Count all queued commands but the first one against the shared limit."""
        used = max(0, len(self._queue) - 1)
        self._limits.shared_used += used - self._shared_used
        self._shared_used = used
