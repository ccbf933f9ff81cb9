"""What the router is told and what it answers: settings, events and actions, with no logic.

Times are integer microseconds on one clock. Positions are times on that same clock.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a request does."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Freshness(Enum):
    """How recent a request's data must be."""

    WRITE = "write"
    LATEST = "latest"
    SESSION = "session"
    BOUNDED = "bounded"
    ANY = "any"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    LATE = "late"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    WITHDRAWN = "withdrawn"  # taken back before its first byte: what it was sent by held no more
    MISS = "miss"

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt might have had its effect."""
        never = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.WITHDRAWN, Outcome.MISS)
        return self not in never


class Role(Enum):
    """A member's part in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    UNKNOWN = "unknown"


class Listing(Enum):
    """What discovery says of a member."""

    READY = "ready"
    TERMINATING = "terminating"
    GONE = "gone"


class RosterKind(Enum):
    """What a roster holds: changes, everything, an old copy, or news of a failed call."""

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    freshness: Freshness
    effect: Effect
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float = 0.0
    staleness_us: int = 0
    repeat_window_us: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a router is told at its start."""

    seed: int
    zone: str
    classes: tuple[RequestClass, ...]
    peers: int = 1
    step_us: int = 1_000
    tenant_rates: tuple[tuple[str, float], ...] = ()
    over_share_worth: float = 1.0
    max_attempts: int = 6
    max_open: int = 20_000
    may_probe: bool = True
    may_cancel: bool = True
    second_copies: bool = True
    max_retry_after_us: int = 1_000_000
    must_ask_roster: bool = False
    ask_within_us: int = 10_000_000
    members_check_reads: bool = False
    router_remembers_sessions: bool = False
    cold_share: float = 1.0
    warm_after_us: int = 0
    overload_factor: float = 3.0
    fall_us: int = 2_000_000
    dropped_stay_open: bool = False

    def validate(self) -> None:
        """Raise `ValueError` naming the first setting that makes no sense."""
        for name in ("peers", "step_us", "max_attempts", "max_open", "ask_within_us", "fall_us", "overload_factor"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")
        for name in ("warm_after_us", "max_retry_after_us"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name} must not be below 0")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share must be above 0 and at most 1")
        if not self.classes:
            raise ValueError("classes must name at least one class")
        names = [rule.name for rule in self.classes]
        for name in names:
            if not name or names.count(name) > 1:
                raise ValueError(f"classes: expected each name once and none empty, got {name[:80]!r}")
        for rule in self.classes:
            if rule.aim_us <= 0 or rule.deadline_us <= 0:
                raise ValueError(f"classes: {rule.name} must have an aim and a deadline above 0")


@dataclass(frozen=True, slots=True)
class Start:
    """The router begins, with nothing known."""


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """One member as discovery lists it."""

    member: int
    group: int
    zone: str
    kind: str
    listing: Listing = Listing.READY
    primary: bool = False
    started_us: int = 0
    # Other gateways saw it fail at the first time; until the second it is given fewer requests.
    suspicion: tuple[int, int] = (
        0,
        0,
    )


@dataclass(frozen=True, slots=True)
class Roster:
    """News from discovery."""

    kind: RosterKind
    entries: tuple[RosterEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Report:
    """What a member says of itself, as old as its position and role."""

    position_us: int | None = None
    role: Role = Role.UNKNOWN


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request has come in. `since_write_us` is the carried age of its session's last write.

    `min_position_us`: no replica with an older position may take it, whatever its class allows.
    """

    request: str
    class_name: str
    group: int
    expires_in_us: int
    session: str | None = None
    since_write_us: int | None = None
    tenant: str | None = None
    min_position_us: int | None = None


@dataclass(frozen=True, slots=True)
class Departure:
    """The client has left; the request has ended."""

    request: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `over` when the request has ended with it or before."""

    request: str
    attempt: int
    member: int
    outcome: Outcome
    duration_us: int
    over: bool = False
    answer: Report | None = None
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Checked:
    """A check has ended."""

    member: int
    outcome: Outcome
    duration_us: int
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for has come due."""

    name: str


Event = Start | Roster | Arrival | Departure | AttemptEnded | Checked | TimerFired


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt; its number is the count of the request's earlier sends."""

    request: str
    member: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a request unserved; the client may come again."""

    request: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a request with an error that promises nothing."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Check:
    """Ask a member for its report."""

    member: int


@dataclass(frozen=True, slots=True)
class DropIdle:
    """Close the idle connections to a member."""

    member: int


@dataclass(frozen=True, slots=True)
class FollowRoster:
    """Subscribe to discovery's changes."""


@dataclass(frozen=True, slots=True)
class FetchRoster:
    """Ask discovery once for the whole roster."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at a time."""

    name: str
    at_us: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Send | Refuse | Fail | Cancel | Check | DropIdle | FollowRoster | FetchRoster | SetTimer | Log
