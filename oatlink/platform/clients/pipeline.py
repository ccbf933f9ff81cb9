"""The commands of one client connection: taken side by side, answered in their order. No I/O.

Threat: one request that hangs. Taken one after the other, all that a client sent behind it waits, gets no answer in
its own time, and is lost when the client has waited long enough for the first. So each is asked when it comes and
counts its time from its own last byte; its answer waits here for those ahead of it, and one with others behind it gives
up SLACK_US early, while its client still waits for the others.

Side by side does not mean in any order: what reads or writes what another one writes, or bears its idempotency key, is
asked after that one's answer. Here: order, room, and when a command came. Who serves it is decided elsewhere.
"""

from dataclasses import dataclass, field

SLACK_US = 50_000  # between a client's clock and ours: the protocol extends every time limit by as much
HELD_BYTES = 262_144  # of answers that wait for those ahead: nothing more is taken until they go
WRITTEN_BYTES = 65_536  # of answers written at once, where one alone is not longer
MOST_MARKS = 64  # times of arrival kept; beyond, later bytes count as come with the last ones


@dataclass(slots=True)
class PipelineLimits:
    """What the connections of a gateway may have open: `each` of them, and all of them beside one each.

    Threat: a hundred clients that each ask for as many of the longest answers as they may behind one that hangs. Each
    such answer needs memory until its turn comes, so its place is taken when it is asked for.
    """

    per_connection: int
    shared: int
    shared_used: int = 0

    @property
    def is_full(self) -> bool:
        """Whether no connection may have another one open behind others."""
        return self.shared_used >= self.shared


class Arrivals:
    """When the bytes of a stream came, so that each command is timed by its own last byte."""

    __slots__ = ("_fed", "_marks")

    def __init__(self) -> None:
        self._fed = 0
        self._marks: list[tuple[int, int]] = []  # up to this many bytes had come then; short, and small when empty

    def came(self, size: int, at_us: int) -> None:
        """So many bytes more."""
        self._fed += size
        if len(self._marks) >= MOST_MARKS:  # Threat: a byte at a time. Reckoned too early, never too late
            at_us = self._marks.pop()[1]
        self._marks.append((self._fed, at_us))

    def last_us(self, pending: int) -> int:
        """When the last byte came of what has been taken, with so many bytes still pending."""
        while len(self._marks) > 1 and self._marks[0][0] < self._fed - pending:
            del self._marks[0]
        return self._marks[0][1]


@dataclass(eq=False, slots=True)
class Command:
    """One request of a connection. `names` are what it must not share with an open one that writes, or if it writes."""

    arrived_us: int
    names: tuple[bytes, ...] = ()
    is_write: bool = False
    answer: bytes | None = None
    is_expedited: bool = False  # another one is behind it
    ahead: int = 0  # commands that it is asked after
    behind: list["Command"] = field(default_factory=list)  # commands that are asked after it

    @property
    def early_us(self) -> int:
        """How much sooner than its client's time is up it has to be answered."""
        return SLACK_US if self.is_expedited else 0


@dataclass(slots=True)
class _Name:
    """Open commands of one name: the last that writes, and those that read after it."""

    writer: Command | None = None
    readers: list[Command] = field(default_factory=list)

    def join(self, one: Command) -> list[Command]:
        """Those that it comes after."""
        if not one.is_write:
            self.readers.append(one)
            return [self.writer] if self.writer is not None else []
        before = self.readers or ([self.writer] if self.writer is not None else [])
        self.writer, self.readers = one, []
        return before

    def leave(self, one: Command) -> bool:
        """It has its answer. Whether nobody of this name is left."""
        if self.writer is one:
            self.writer = None
        elif one in self.readers:
            self.readers.remove(one)
        return self.writer is None and not self.readers


class Pipeline:
    """What one connection has asked and not been answered, in order."""

    __slots__ = ("_behind", "_held", "_line", "_names", "_limits", "open")

    def __init__(self, limits: PipelineLimits) -> None:
        self._limits = limits
        self.open: dict[Command, None] = {}  # without an answer
        self._line: list[Command] = []
        self._names: dict[bytes, _Name] = {}
        self._held = 0
        self._behind = 0  # places taken in the room

    def __len__(self) -> int:
        return len(self._line)

    @property
    def has_room(self) -> bool:
        """Whether another command may be taken."""
        limits = self._limits
        return not self._line or (
            len(self._line) < limits.per_connection and self._held < HELD_BYTES and not limits.is_full
        )

    def add(self, one: Command) -> Command | None:
        """Take a command; it may be asked where none is `ahead`. The one before it, if that has to hurry now."""
        last = self._line[-1] if self._line else None
        self._line.append(one)
        self.open[one] = None
        self._settle()
        for name in one.names:
            for other in self._names.setdefault(name, _Name()).join(one):
                other.behind.append(one)
                one.ahead += 1
        if last is None or last.answer is not None or last.is_expedited:
            return None
        last.is_expedited = True
        return last

    def say(self, data: bytes) -> None:
        """What needs no asking is answered in its place."""
        if self._line and (last := self._line[-1]).answer is not None:
            last.answer += data  # Threat: thousands of these behind one open request
        else:
            self._line.append(Command(0, answer=data))
        self._held += len(data)

    def answer(self, one: Command, data: bytes) -> list[Command]:
        """An answer. The commands that may be asked now."""
        if one not in self.open:
            return []
        one.answer = data
        self._held += len(data)
        del self.open[one]
        for name in one.names:
            if name in self._names and self._names[name].leave(one):
                del self._names[name]
        for other in one.behind:
            other.ahead -= 1
        return [other for other in one.behind if not other.ahead]

    def ready(self) -> bytes:
        """Answers that may be written now, so many bytes of them; they are let go."""
        data = b""
        while self._line and (answer := self._line[0].answer) is not None:
            if data and len(data) + len(answer) > WRITTEN_BYTES:
                break
            del self._line[0]
            data += answer
        self._held -= len(data)
        self._settle()
        return data

    def clear(self) -> list[Command]:
        """The client has gone: what is still open."""
        left = list(self.open)
        self.open.clear()
        self._line.clear()
        self._names.clear()
        self._held = 0
        self._settle()
        return left

    def _settle(self) -> None:
        """All but the first take a place in the room that connections share."""
        behind = max(0, len(self._line) - 1)
        self._limits.shared_used += behind - self._behind
        self._behind = behind
