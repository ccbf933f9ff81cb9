"""A model of what each read of a session must see, together with simulated members and clients for one router.

Commits are times on one clock. A replica has what was committed up to its position; the primary has everything. A
write that was sent may be committed until its primary is replaced or its `settled_us` has passed, even if no client
waits for it.
"""

from dataclasses import dataclass, field

from oatlink import interface as api
from oatlink.interface import Outcome, Role
from tests.conftest import Driver, of_type

MEMBERS = (1, 2, 3)
SESSIONS = ("a", "b")


@dataclass(slots=True)
class SentWrite:
    """An attempt of a write that was sent, open or ended."""

    session: str
    member: int
    sent_us: int
    settled_us: int
    committed_us: int | None = None
    is_void: bool = False  # the write has not run and never will


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that has not ended."""

    send: api.Send
    number: int
    is_written: bool = False
    write: SentWrite | None = None


@dataclass(slots=True)
class World:
    """Simulated members, clients and gateway connections around one router."""

    driver: Driver
    primary: int = 1
    positions: dict[int, int] = field(default_factory=dict)
    writes: list[SentWrite] = field(default_factory=list)
    open: list[OpenAttempt] = field(default_factory=list)
    attempts: dict[str, int] = field(default_factory=dict)
    sessions: dict[str, str] = field(default_factory=dict)
    kinds: dict[str, str] = field(default_factory=dict)
    checks: list[int] = field(default_factory=list)
    reads_written: int = 0

    @classmethod
    def start(cls, max_open: int = 100) -> "World":
        """Create a router that knows its group and remembers at most `max_open` sessions."""
        world = cls(Driver(router_remembers_sessions=True, max_open=max_open).ready())
        world.positions = dict.fromkeys(MEMBERS, world.driver.now)
        return world

    # ---- Clients ----

    def arrive(self, kind: str, session: str) -> None:
        """A request of a session arrives."""
        self.carry_out(self.driver.arrive(kind, session=session), kind, session)

    def leave(self, request: str) -> None:
        """A client leaves; attempts not written yet are withdrawn, as gateways do."""
        self.carry_out(self.driver.handle(api.Departure(request)))
        unwritten = [attempt for attempt in self.open if attempt.send.request == request and not attempt.is_written]
        for attempt in unwritten:
            self.end(attempt, Outcome.WITHDRAWN, over=True)

    # ---- The gateway ----

    def carry_out(self, actions: list[api.Action], kind: str = "", session: str = "") -> None:
        """Carry out the router's actions."""
        for send in of_type(api.Send, actions):
            number = self.attempts.get(send.request, 0)
            self.attempts[send.request] = number + 1
            self.sessions.setdefault(send.request, session or self.session_of(send.request))
            self.kinds.setdefault(send.request, kind or self.kind_of(send.request))
            self.open.append(OpenAttempt(send, number))
        self.checks += [check.member for check in of_type(api.Check, actions)]

    def session_of(self, request: str) -> str:
        """Return the session of a request that the router still has."""
        return self.driver.router.state.requests[request].session or ""

    def kind_of(self, request: str) -> str:
        """Return the class of a request that the router still has."""
        return self.driver.router.state.requests[request].request_class.name

    def write_out(self, attempt: OpenAttempt) -> None:
        """A connection is available: check the attempt again, and write or withdraw it."""
        router, now = self.driver.router, self.driver.now
        if not router.may_write(attempt.send.request, attempt.number, now):
            self.end(attempt, Outcome.WITHDRAWN)
            return
        attempt.is_written = True
        session, member = self.sessions[attempt.send.request], attempt.send.member
        if self.kinds[attempt.send.request] == "own":
            self.reads_written += 1
            self.check_read_sees_writes(session, member)
        else:
            settled_us = router.state.requests[attempt.send.request].settled_by_us
            attempt.write = SentWrite(session, member, now, settled_us)
            self.writes.append(attempt.write)

    def check_read_sees_writes(self, session: str, member: int) -> None:
        """Assert that the member a read goes to has all writes of the session committed so far."""
        if self.driver.router.state.groups[1].primary == member:
            return
        for write in self.writes:
            if write.session == session and write.committed_us is not None:
                position_us = self.positions[member]
                assert position_us >= write.committed_us, (
                    f"read of {session} at {position_us}, its write is at {write.committed_us}"
                )

    # ---- Members ----

    def may_commit(self, write: SentWrite) -> bool:
        """Whether a write may still be committed now."""
        is_open = write.committed_us is None and not write.is_void
        return is_open and write.member == self.primary and write.sent_us < self.driver.now <= write.settled_us

    def commit(self, write: SentWrite) -> None:
        """The primary commits a write."""
        assert self.may_commit(write)
        write.committed_us = self.driver.now

    def end(self, attempt: OpenAttempt, outcome: Outcome, *, over: bool = False, with_position: bool = True) -> None:
        """An attempt ends. A served write was committed; a write that did not run never will be."""
        self.open.remove(attempt)
        write = attempt.write
        answer = None
        if outcome is Outcome.SERVED:
            answer = api.Report(None, Role.UNKNOWN)
            if write is not None and with_position:
                answer = api.Report(write.committed_us, Role.PRIMARY)
        if write is not None and not outcome.may_have_run:
            write.is_void = True
        self.carry_out(self.driver.ended(attempt.send, outcome, attempt.number, over=over, answer=answer))

    def answer_check(self, member: int, is_well: bool) -> None:
        """A check ends and reports the member's state at this moment."""
        self.checks.remove(member)
        if not is_well:
            self.carry_out(self.driver.check_failed(member))
            return
        role = Role.PRIMARY if member == self.primary else Role.REPLICA
        age = 0 if member == self.primary else self.driver.now - self.positions[member]
        self.carry_out(self.driver.checked(member, role, age))

    def apply(self, member: int, up_to_us: int) -> None:
        """A replica applies the log up to a time, but not past the present."""
        if member != self.primary:
            self.positions[member] = max(self.positions[member], min(up_to_us, self.driver.now))

    def elect(self, member: int) -> None:
        """Elect a primary, which has the whole log; writes not yet committed by the old one are lost."""
        if member != self.primary:
            self.positions[self.primary] = self.driver.now
            self.primary = member

    def wait(self, us: int) -> None:
        """Advance the clock."""
        self.carry_out(self.driver.wait(us))
