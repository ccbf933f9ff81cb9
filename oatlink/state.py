"""What a router keeps of its requests, members and groups: plain records, with no logic and no tuned value.

Times are integer microseconds on one clock; `LONG_AGO` lies before all of them, `NEVER` after.
"""

from dataclasses import dataclass, field

from oatlink import interface as api

LONG_AGO = -(2**62)
NEVER = 2**62


@dataclass(slots=True)
class Attempt:
    """One send of a request."""

    member: int
    sent_us: int
    out: bool = True


@dataclass(slots=True)
class Request:
    """A request that this router owes an answer."""

    id: str
    rule: api.RequestClass
    group: int
    arrived_us: int
    expires_us: int
    session: str | None
    need_us: int | None
    worth: float
    number: int = 0  # counts a group's arrivals
    attempts: list[Attempt] = field(default_factory=list)
    tried: list[int] = field(default_factory=list)
    may_have_run_us: int | None = None
    copied: bool = False
    failed: bool = False
    asked: int = 0
    tied: bool = False  # to the primary, which alone takes it; told apart where there are many routers
    draw: float = 0.0  # above 0, at most 1, where there are many routers
    settled_us: int = 0  # by when an attempt of it has ended wherever it runs, also with nobody waiting

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have had its effect, or still may."""
        return self.may_have_run_us is not None or any(one.out for one in self.attempts)


@dataclass(slots=True)
class SessionRequests:
    """Requests by their session, then by their id."""

    by_session: dict[str, dict[str, Request]] = field(default_factory=dict)

    def add(self, request: Request) -> None:
        """Take in a request; one without a session is passed over."""
        if request.session is not None:
            self.by_session.setdefault(request.session, {})[request.id] = request

    def drop(self, request: Request) -> bool:
        """Let a request go; whether it was there."""
        requests = self.by_session.get(request.session or "", {})
        was_there = requests.pop(request.id, None) is not None
        if was_there and not requests:
            del self.by_session[request.session or ""]
        return was_there

    def of(self, session: str | None) -> list[Request]:
        """The requests of a session."""
        return list(self.by_session.get(session, {}).values()) if session is not None else []


@dataclass(slots=True)
class Member:
    """The record of a member: role, position and time heard, and what it has shown of its strength."""

    entry: api.RosterEntry
    turn: float
    tokens: float
    room: float
    check_cost_us: float
    role: api.Role = api.Role.UNKNOWN
    role_us: int = 0
    position_us: int = -1
    lag_us: int = 0
    heard_us: int = LONG_AGO
    answered_us: int = LONG_AGO
    drained: bool = False
    was_terminating: bool = False
    check_sent_us: int | None = None
    checked_us: int = LONG_AGO
    broken_us: int = LONG_AGO
    failed_checks: int = 0
    refused: int = 0
    out: dict[tuple[str, int], int] = field(default_factory=dict)
    duration_us: float = 0.0
    cut_us: int = 0
    full_until_us: int = 0
    started_us: int = 0
    rate: float = 0.0
    rate_us: int = 0
    tokens_us: int = 0


@dataclass(slots=True)
class Group:
    """The members of one group; the requests held for it are in `oatlink.holds`."""

    id: int
    members: dict[int, Member] = field(default_factory=dict)
    primary: int | None = None
    arrived: int = 0
    answer_us: float = 0.0  # what answers took of late
    usual_us: float = -1.0  # what answers take; below 0 it must be counted anew
    share: float = 1.0
    let_us: int = LONG_AGO  # when a request was last let in by that share
    checked_us: int = LONG_AGO
    lost_us: int = 0  # since when there was no primary,
    known_us: int = 0  # until this one was known
    due_us: int = NEVER


@dataclass(frozen=True, slots=True)
class Belief:
    """What a router holds of a member, for people."""

    role: api.Role
    primary: bool
    in_doubt: bool
    warmth: float
    out: int
    room: float
