"""A client's session: order of its commands, its transaction, what it has said of itself. No I/O.

Order. Answers leave in the order of the commands. A command starts at once unless an earlier unfinished one
of the same client touches the same hash slot and one of the two writes; then it waits for it. Between slots no
order is promised, as in a cluster; a transaction is one command. So a client reads its own pipelined writes,
and many members work for one connection.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from oatlink.protocols.resp import Error, encode
from oatlink.settings.model import RequestClass


@dataclass(slots=True)
class PendingReply:
    """A command's place in the row of answers."""

    answer: bytes | None = None
    hangup: bool = False


@dataclass(slots=True)
class PendingRequest:
    """A command on its way: what the client wants, where it stands."""

    id: int
    client: int
    pending_reply: PendingReply
    rule: RequestClass
    group: int
    slots: list[int]
    is_write: bool
    payload: bytes
    replies: int
    arrived_us: int
    protocol: int
    is_transaction: bool = False
    is_exec: bool = False  # EXEC
    is_watch: bool = False  # WATCH
    lease: int = 0
    alone: bool = False
    wait_replicas: int = 0
    started: bool = False
    attempts: int = 0
    first_sent_us: int = 0  # when the first attempt was handed over
    may_have_run: bool = False  # by an attempt that has ended
    runs_from: int = 0  # bytes of the payload before which nothing of it can run; 0: all of them
    open_attempts: dict[int, tuple[int, str, int, str]] = field(
        default_factory=dict
    )  # attempt: member, box, when, address
    version: int = 0  # of the layout that it is made for; 0: none here
    gated: tuple[str, list[bytes], int] | None = None  # waits for the fleet's word: command, first key, cost


@dataclass(slots=True)
class Session:
    """One client connection."""

    client: int
    protocol: int = 2
    name: str = ""
    user: str = ""
    peer: str = ""
    since_us: int = 0
    pending_replies: deque[PendingReply] = field(default_factory=deque)
    requests: dict[int, PendingRequest] = field(default_factory=dict)  # that are owed an answer, by number
    waiting: list[PendingRequest] = field(default_factory=list)
    unfinished_by_slot: dict[int, list[int]] = field(default_factory=dict)  # slot: unfinished reads, writes
    queued: list[tuple[list[bytes], bool]] | None = None  # of the open MULTI: words, whether they write
    queued_bytes: int = 0
    queued_slots: list[int] = field(default_factory=list)
    transaction_failed: bool = False
    watching: list[int] = field(default_factory=list)  # slots watched
    lease: int = 0
    lease_box: str = ""
    lease_lost: bool = False
    answered: int = 0
    closing: bool = False
    last_unserved_us: int = -1  # when a command last ended unserved past its aim
    shed_in_a_row: int = 0  # times refused for the gateway's own load, one after the other
    admin: bool = False
    recorder_replies: deque[PendingReply] = field(default_factory=deque)  # asked of the recorder, not yet answered
    pinned_version: int = 0  # the version that this connection's requests are made for, unless its name says another
    fleet_replies: deque[PendingReply] = field(default_factory=deque)  # asked of the fleet's node, not yet answered

    def may_start(self, ask: PendingRequest) -> bool:
        """Whether nothing unfinished stands before a new command."""
        for slot in ask.slots:
            counts = self.unfinished_by_slot.get(slot)
            if counts is not None and (counts[1] or (ask.is_write and counts[0])):
                return False
        return True

    def mark_unfinished(self, ask: PendingRequest) -> None:
        """Count a command as unfinished."""
        for slot in ask.slots:
            self.unfinished_by_slot.setdefault(slot, [0, 0])[ask.is_write] += 1

    def mark_finished(self, ask: PendingRequest) -> None:
        """A command has ended."""
        for slot in ask.slots:
            counts = self.unfinished_by_slot[slot]
            counts[ask.is_write] -= 1
            if not counts[0] and not counts[1]:
                del self.unfinished_by_slot[slot]

    def take_startable(self) -> Iterator[PendingRequest]:
        """The waiting commands that nothing unfinished before them holds back any longer, taken out."""
        if not self.waiting:
            return
        unfinished = {slot: list(counts) for slot, counts in self.unfinished_by_slot.items()}
        for ask in self.waiting:
            for slot in ask.slots:
                unfinished[slot][ask.is_write] -= 1
        still: list[PendingRequest] = []
        ready: list[PendingRequest] = []
        for ask in self.waiting:
            held = any(unfinished[slot][1] or (ask.is_write and unfinished[slot][0]) for slot in ask.slots)
            (still if held else ready).append(ask)
            for slot in ask.slots:
                unfinished[slot][ask.is_write] += 1
        self.waiting = still
        yield from ready

    def take_answers(self) -> tuple[list[bytes], int, bool]:
        """The answers that may leave now, how many commands they end, and whether the connection ends then."""
        out: list[bytes] = []
        done = 0
        while self.pending_replies and self.pending_replies[0].answer is not None:
            place = self.pending_replies.popleft()
            out.append(place.answer or b"")
            done += 1
            if place.hangup:
                self.pending_replies.clear()
                return out, done, True
        return out, done, False

    def forget_transaction(self) -> None:
        """MULTI has ended."""
        self.queued, self.queued_bytes, self.transaction_failed = None, 0, False
        self.queued_slots = []


def refusal(retry_after_us: int) -> bytes:
    """The final answer of a refused request: nothing ran, and when to come again (`TRYAGAIN`, cluster spec)."""
    return encode(Error(b"TRYAGAIN refused, nothing was run; retry after %d ms" % -(-retry_after_us // 1000)))


def over_quota(retry_after_us: int) -> bytes:
    """The final answer of a request that its tenant's quota refuses: nothing ran, and when to come again."""
    back_ms = -(-retry_after_us // 1000)
    return encode(Error(b"QUOTA over the tenant's rate, nothing was run; retry after %d ms" % back_ms))


def unserved(version: int, retry_after_us: int) -> bytes:
    """The final answer of a request whose version is not served here now: nothing ran, and when to come again."""
    text = b"LAYOUT %d is not served here now, nothing was run; retry after %d ms"
    return encode(Error(text % (version, -(-retry_after_us // 1000))))


def failure(writes: bool) -> bytes:
    """The final answer of a failed request."""
    return encode(
        Error(
            b"ERR failed: no final answer from the bank; the command may have run"
            if writes
            else b"ERR failed: no final answer from the bank in time"
        )
    )
