"""The records that a router keeps of requests, members and groups: plain data without logic or tuned values.

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
    arrival_number: int = 0  # its place among the arrivals of its group
    attempts: list[Attempt] = field(default_factory=list)
    tried_members: list[int] = field(default_factory=list)
    may_have_run_us: int | None = None
    has_copy: bool = False
    has_failed: bool = False
    check_count: int = 0  # checks of replicas on its behalf
    is_primary_only: bool = False  # only the primary may take it; set where there are many routers
    admission_draw: float = 0.0  # above 0 and at most 1 on arrival, where there are many routers
    settled_by_us: int = 0  # when all its attempts have ended wherever they run, even if nobody waits for them

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have had its effect, or still may."""
        return self.may_have_run_us is not None or any(attempt.is_outstanding for attempt in self.attempts)


@dataclass(slots=True)
class SessionRequests:
    """Requests by their session, then by their id."""

    by_session: dict[str, dict[str, Request]] = field(default_factory=dict)

    def add(self, request: Request) -> None:
        """Add a request; one without a session is ignored."""
        if request.session is not None:
            self.by_session.setdefault(request.session, {})[request.id] = request

    def remove(self, request: Request) -> bool:
        """Remove a request; return whether it was there."""
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
    """What is known of a member: its role and position, when it was heard of, and how it has performed.

    Each attribute that is named after an event and ends in `_us` is the time at which that last happened.
    """

    entry: api.RosterEntry
    round_robin_position: float  # that of its last attempt; the lowest is next
    tokens: float  # for attempts and checks while it is cold (`rules.cold`)
    concurrency_limit: float
    check_cost_us: float  # average duration of its checks
    role: api.Role = api.Role.UNKNOWN
    role_us: int = 0
    position_us: int = -1
    lag_us: int = 0
    heard_us: int = LONG_AGO
    answered_us: int = LONG_AGO
    is_draining: bool = False
    was_terminating: bool = False
    check_sent_us: int | None = None  # None while no check is outstanding
    checked_us: int = LONG_AGO
    connection_broken_us: int = LONG_AGO
    failed_check_count: int = 0  # since a check was answered
    refused_connection_count: int = 0  # since an attempt was answered
    outstanding: dict[tuple[str, int], int] = field(default_factory=dict)  # request and attempt: when it was sent
    average_service_us: float = 0.0  # moving average; 0 until it has answered
    limit_reduced_us: int = 0
    paused_until_us: int = 0
    started_us: int = 0
    answer_rate: float = 0.0  # answers a second, at `answer_rate_us`
    answer_rate_us: int = 0
    tokens_us: int = 0
    denied_primary_us: int = LONG_AGO  # its last report says that it is no primary


@dataclass(slots=True)
class Group:
    """The members of one group. Its pending requests are in `oatlink.pending`."""

    id: int
    members: dict[int, Member] = field(default_factory=dict)
    primary: int | None = None
    arrival_count: int = 0
    average_service_us: float = 0.0  # moving average over its answers
    typical_service_us: float = -1.0  # mean of its members' averages; below 0 if it must be computed again
    admission_ratio: float = 1.0
    admitted_us: int = LONG_AGO  # when a request was last admitted by that ratio
    checked_us: int = LONG_AGO
    primary_lost_us: int = 0  # when the last primary was lost
    primary_known_us: int = 0  # when the present primary became known
    sweep_due_us: int = NEVER


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a router knows of a member, for operators."""

    role: api.Role
    is_primary: bool
    is_in_doubt: bool
    warmth: float
    outstanding: int
    concurrency_limit: float
