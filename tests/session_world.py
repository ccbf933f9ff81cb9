"""A plain model of what each session's read must see, beside a router whose servers it plays.

Commits are times of one clock. A replica has what was committed up to its position; the primary has all. A write that
was sent may be committed as long as its primary lives and `settled_us` of it has not come, also with nobody waiting.
"""

from dataclasses import dataclass, field

from oatlink import interface as api
from oatlink.interface import Outcome, Role
from tests.conftest import Driver, of_type

MEMBERS = (1, 2, 3)
SESSIONS = ("a", "b")


@dataclass(slots=True)
class SentWrite:
    """An attempt of a write, wherever it stands."""

    session: str
    member: int
    sent_us: int
    settled_us: int
    committed_us: int | None = None
    is_void: bool = False  # it has never run, and never will


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that has not ended."""

    send: api.Send
    number: int
    is_written: bool = False
    write: SentWrite | None = None


@dataclass(slots=True)
class World:
    """Servers, clients and the gateway's shell around one router."""

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
        """A router that knows its group, and remembers this many sessions."""
        world = cls(Driver(router_remembers_sessions=True, max_open=max_open).ready())
        world.positions = dict.fromkeys(MEMBERS, world.driver.now)
        return world

    # ---- Clients ----

    def arrive(self, kind: str, session: str) -> None:
        """A request of a session comes in."""
        self.take(self.driver.arrive(kind, session=session), kind, session)

    def leave(self, request: str) -> None:
        """A client leaves; what is not written yet is taken back, as the shells do."""
        self.take(self.driver.handle(api.Departure(request)))
        for attempt in [one for one in self.open if one.send.request == request and not one.is_written]:
            self.end(attempt, Outcome.WITHDRAWN, over=True)

    # ---- The shell ----

    def take(self, actions: list[api.Action], kind: str = "", session: str = "") -> None:
        """Carry out what the router says."""
        for send in of_type(api.Send, actions):
            number = self.attempts.get(send.request, 0)
            self.attempts[send.request] = number + 1
            self.sessions.setdefault(send.request, session or self.session_of(send.request))
            self.kinds.setdefault(send.request, kind or self.kind_of(send.request))
            self.open.append(OpenAttempt(send, number))
        self.checks += [one.member for one in of_type(api.Check, actions)]

    def session_of(self, request: str) -> str:
        """The session of a request that the router still has."""
        return self.driver.router.state.requests[request].session or ""

    def kind_of(self, request: str) -> str:
        """The class of a request that the router still has."""
        return self.driver.router.state.requests[request].request_class.name

    def write_out(self, attempt: OpenAttempt) -> None:
        """A connection is there: the attempt is looked at again and written, or taken back."""
        router, now = self.driver.router, self.driver.now
        if not router.may_write(attempt.send.request, attempt.number, now):
            self.end(attempt, Outcome.WITHDRAWN)
            return
        attempt.is_written = True
        session, member = self.sessions[attempt.send.request], attempt.send.member
        if self.kinds[attempt.send.request] == "own":
            self.reads_written += 1
            self.must_see_all(session, member)
        else:
            settled_us = router.state.requests[attempt.send.request].settled_by_us
            attempt.write = SentWrite(session, member, now, settled_us)
            self.writes.append(attempt.write)

    def must_see_all(self, session: str, member: int) -> None:
        """What the session has written and is committed by now is at the server that its read goes to."""
        if self.driver.router.state.groups[1].primary == member:
            return
        for write in self.writes:
            if write.session == session and write.committed_us is not None:
                has = self.positions[member]
                assert has >= write.committed_us, f"read of {session} at {has}, its write is at {write.committed_us}"

    # ---- Servers ----

    def may_commit(self, write: SentWrite) -> bool:
        """Whether a write may still be committed now."""
        waits = write.committed_us is None and not write.is_void
        return waits and write.member == self.primary and write.sent_us < self.driver.now <= write.settled_us

    def commit(self, write: SentWrite) -> None:
        """The primary commits a write."""
        assert self.may_commit(write)
        write.committed_us = self.driver.now

    def end(self, attempt: OpenAttempt, outcome: Outcome, *, over: bool = False, with_position: bool = True) -> None:
        """An attempt ends. What was served is committed; what never ran never will be."""
        self.open.remove(attempt)
        write = attempt.write
        answer = None
        if outcome is Outcome.SERVED:
            answer = api.Report(None, Role.UNKNOWN)
            if write is not None and with_position:
                answer = api.Report(write.committed_us, Role.PRIMARY)
        if write is not None and not outcome.may_have_run:
            write.is_void = True
        self.take(self.driver.ended(attempt.send, outcome, attempt.number, over=over, answer=answer))

    def answer_check(self, member: int, is_well: bool) -> None:
        """A check ends; what it tells is true at that moment."""
        self.checks.remove(member)
        if not is_well:
            self.take(self.driver.check_failed(member))
            return
        role = Role.PRIMARY if member == self.primary else Role.REPLICA
        age = 0 if member == self.primary else self.driver.now - self.positions[member]
        self.take(self.driver.checked(member, role, age))

    def apply(self, member: int, up_to_us: int) -> None:
        """A replica applies the log up to a time that has come."""
        if member != self.primary:
            self.positions[member] = max(self.positions[member], min(up_to_us, self.driver.now))

    def elect(self, member: int) -> None:
        """Another primary, which has the whole log; what the old one had not committed is lost."""
        if member != self.primary:
            self.positions[self.primary] = self.driver.now
            self.primary = member

    def wait(self, us: int) -> None:
        """Time passes."""
        self.take(self.driver.wait(us))
