"""A client's session: the order of its commands, its transaction, its name and user. No I/O.

Answers are sent in the order of the commands. A command starts at once unless an earlier unfinished command of the same
client touches the same hash slot and one of the two writes; then it waits for that one. As in a cluster, there is no
order between slots. A transaction counts as one command. So a client reads its own pipelined writes, and many members
can work for one connection at the same time.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from oatlink.protocols.resp import Error, encode
from oatlink.settings.model import RequestClass


@dataclass(slots=True)
class PendingReply:
    """The answer to one command, None until it is known. Sessions keep them in the order of the commands."""

    answer: bytes | None = None
    hangup: bool = False  # close the connection after it


@dataclass(slots=True)
class PendingRequest:
    """A command that is being processed: what the client wants, and the state of its attempts."""

    id: int
    client: int
    pending_reply: PendingReply
    rule: RequestClass
    group: int
    slots: list[int]
    is_write: bool
    payload: bytes
    replies: int  # reply frames to expect
    arrived_us: int
    protocol: int
    is_transaction: bool = False
    is_exec: bool = False
    is_watch: bool = False
    lease: int = 0  # number of the connection reserved for the client; 0: none
    alone: bool = False  # nothing else may use the connection meanwhile
    wait_replicas: int = 0  # replicas that must have the write before it is answered
    started: bool = False  # passed to the Router
    attempts: int = 0  # sent so far
    first_sent_us: int = 0  # start of the window for repeats: the first attempt that may have run
    may_have_run: bool = False  # in an attempt that has ended
    runs_from: int = 0  # nothing can run before this many bytes of the payload are sent; 0: all of them
    # Attempt: member, box, when it was sent, address.
    open_attempts: dict[int, tuple[int, str, int, str]] = field(default_factory=dict)
    version: int = 0  # of the layout that it is made for; 0: no layout
    gated: tuple[str, list[bytes], int] | None = None  # waits for a grant of the fleet: command, first key, cost


@dataclass(slots=True)
class Session:
    """The state of one client connection."""

    client: int
    protocol: int = 2
    name: str = ""
    user: str = ""
    peer: str = ""
    since_us: int = 0  # when the client connected
    pending_replies: deque[PendingReply] = field(default_factory=deque)
    requests: dict[int, PendingRequest] = field(default_factory=dict)  # owed an answer, by number
    waiting: list[PendingRequest] = field(default_factory=list)  # for earlier requests of the same slots
    unfinished_by_slot: dict[int, list[int]] = field(default_factory=dict)  # slot: unfinished reads, writes
    queued: list[tuple[list[bytes], bool]] | None = None  # commands since MULTI: arguments, whether it writes
    queued_bytes: int = 0
    queued_slots: list[int] = field(default_factory=list)
    transaction_failed: bool = False  # a command since MULTI was refused, so EXEC is too
    watching: list[int] = field(default_factory=list)  # slots of the watched keys
    lease: int = 0  # number of the connection reserved for the client; 0: none
    lease_box: str = ""  # the box that it goes to, once it is known
    lease_lost: bool = False  # its keys are no longer watched
    answered: int = 0  # commands
    closing: bool = False  # no further command is accepted
    last_unserved_us: int = -1  # when a request last ended unserved past its aim
    shed_in_a_row: int = 0  # consecutive refusals because of the gateway's load
    admin: bool = False  # connected by the operators' listener
    recorder_replies: deque[PendingReply] = field(default_factory=deque)  # not yet answered by the recorder
    pinned_version: int = 0  # version of this connection's requests, unless its name says another
    fleet_replies: deque[PendingReply] = field(default_factory=deque)  # not yet answered by the fleet's node

    def may_start(self, request: PendingRequest) -> bool:
        """Whether a request may start now, because it need not wait for an unfinished command."""
        for slot in request.slots:
            counts = self.unfinished_by_slot.get(slot)
            if counts is not None and (counts[1] or (request.is_write and counts[0])):
                return False
        return True

    def mark_unfinished(self, request: PendingRequest) -> None:
        """Count a command as unfinished in its slots."""
        for slot in request.slots:
            self.unfinished_by_slot.setdefault(slot, [0, 0])[request.is_write] += 1

    def mark_finished(self, request: PendingRequest) -> None:
        """Count a command as finished in its slots."""
        for slot in request.slots:
            counts = self.unfinished_by_slot[slot]
            counts[request.is_write] -= 1
            if not counts[0] and not counts[1]:
                del self.unfinished_by_slot[slot]

    def take_startable(self) -> Iterator[PendingRequest]:
        """Remove and return the waiting commands that no longer have to wait for an unfinished earlier one."""
        if not self.waiting:
            return
        unfinished = {slot: list(counts) for slot, counts in self.unfinished_by_slot.items()}
        for request in self.waiting:
            for slot in request.slots:
                unfinished[slot][request.is_write] -= 1
        blocked: list[PendingRequest] = []
        ready: list[PendingRequest] = []
        for request in self.waiting:
            is_blocked = any(
                unfinished[slot][1] or (request.is_write and unfinished[slot][0]) for slot in request.slots
            )
            (blocked if is_blocked else ready).append(request)
            for slot in request.slots:
                unfinished[slot][request.is_write] += 1
        self.waiting = blocked
        yield from ready

    def take_answers(self) -> tuple[list[bytes], int, bool]:
        """The answers that can be sent now, how many commands they complete, and whether to hang up after them."""
        answers: list[bytes] = []
        done = 0
        while self.pending_replies and self.pending_replies[0].answer is not None:
            reply = self.pending_replies.popleft()
            answers.append(reply.answer or b"")
            done += 1
            if reply.hangup:
                self.pending_replies.clear()
                return answers, done, True
        return answers, done, False

    def forget_transaction(self) -> None:
        """Reset the state of the open MULTI."""
        self.queued, self.queued_bytes, self.transaction_failed = None, 0, False
        self.queued_slots = []


def refusal(retry_after_us: int) -> bytes:
    """The final answer to a refused request: nothing ran, and when to retry (`TRYAGAIN`, cluster specification)."""
    return encode(Error(b"TRYAGAIN refused, nothing was run; retry after %d ms" % -(-retry_after_us // 1000)))


def over_quota(retry_after_us: int) -> bytes:
    """The final answer to a request over its tenant's quota: nothing ran, and when to retry."""
    retry_after_ms = -(-retry_after_us // 1000)
    return encode(Error(b"QUOTA over the tenant's rate, nothing was run; retry after %d ms" % retry_after_ms))


def unserved(version: int, retry_after_us: int) -> bytes:
    """The final answer to a request whose version is not served here now: nothing ran, and when to retry."""
    text = b"LAYOUT %d is not served here now, nothing was run; retry after %d ms"
    return encode(Error(text % (version, -(-retry_after_us // 1000))))


def failure(writes: bool) -> bytes:
    """The final answer to a failed request. A write may have run."""
    return encode(
        Error(
            b"ERR failed: no final answer from the bank; the command may have run"
            if writes
            else b"ERR failed: no final answer from the bank in time"
        )
    )
