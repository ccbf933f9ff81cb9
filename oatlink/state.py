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
    is_outstanding: bool = True


@dataclass(slots=True)
class Request:
    """A request that this router owes an answer."""

    id: str
    request_class: api.RequestClass
    group: int
    arrived_us: int
    expires_us: int
    session: str | None
    min_position_us: int | None
    worth: float
    arrival_number: int = 0  # counts a group's arrivals
    attempts: list[Attempt] = field(default_factory=list)
    tried_members: list[int] = field(default_factory=list)
    may_have_run_us: int | None = None
    has_copy: bool = False
    has_failed: bool = False
    check_count: int = 0
    is_primary_only: bool = False  # to the primary, which alone takes it; told apart where there are many routers
    admission_draw: float = 0.0  # above 0, at most 1, where there are many routers
    settled_by_us: int = 0  # by when an attempt of it has ended wherever it runs, also with nobody waiting

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have had its effect, or still may."""
        return self.may_have_run_us is not None or any(one.is_outstanding for one in self.attempts)


@dataclass(slots=True)
class SessionRequests:
    """Requests by their session, then by their id."""

    by_session: dict[str, dict[str, Request]] = field(default_factory=dict)

    def add(self, request: Request) -> None:
        """Take in a request; one without a session is passed over."""
        if request.session is not None:
            self.by_session.setdefault(request.session, {})[request.id] = request

    def remove(self, request: Request) -> bool:
        """Let a request go; whether it was there."""
        requests = self.by_session.get(request.session or "", {})
        was_there = requests.pop(request.id, None) is not None
        if was_there and not requests:
            del self.by_session[request.session or ""]
        return was_there

    def of_session(self, session: str | None) -> list[Request]:
        """The requests of a session."""
        return list(self.by_session.get(session, {}).values()) if session is not None else []


@dataclass(slots=True)
class Member:
    """The record of a member: role, position and time heard, and what it has shown of its strength."""

    entry: api.RosterEntry
    round_robin_position: float
    tokens: float
    concurrency_limit: float
    check_cost_us: float
    role: api.Role = api.Role.UNKNOWN
    role_us: int = 0
    position_us: int = -1
    lag_us: int = 0
    heard_us: int = LONG_AGO
    answered_us: int = LONG_AGO
    is_draining: bool = False
    was_terminating: bool = False
    check_sent_us: int | None = None
    checked_us: int = LONG_AGO
    connection_broken_us: int = LONG_AGO
    failed_check_count: int = 0
    refused_connection_count: int = 0
    outstanding: dict[tuple[str, int], int] = field(default_factory=dict)
    average_service_us: float = 0.0
    limit_reduced_us: int = 0
    paused_until_us: int = 0
    started_us: int = 0
    answer_rate: float = 0.0
    answer_rate_us: int = 0
    tokens_us: int = 0


@dataclass(slots=True)
class Group:
    """The members of one group; the requests held for it are in `oatlink.holds`."""

    id: int
    members: dict[int, Member] = field(default_factory=dict)
    primary: int | None = None
    arrival_count: int = 0
    average_service_us: float = 0.0  # what answers took of late
    typical_service_us: float = -1.0  # what answers take; below 0 it must be counted anew
    admission_ratio: float = 1.0
    admitted_us: int = LONG_AGO  # when a request was last let in by that share
    checked_us: int = LONG_AGO
    primary_lost_us: int = 0  # since when there was no primary,
    primary_known_us: int = 0  # until this one was known
    sweep_due_us: int = NEVER


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a router holds of a member, for people."""

    role: api.Role
    is_primary: bool
    is_in_doubt: bool
    warmth: float
    outstanding: int
    concurrency_limit: float
