"""The router's interface: its settings, the events it takes and the actions it returns. No logic.

Times are integer microseconds on one clock. Positions are times on that same clock.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What happens when a request runs more than once."""

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
    WITHDRAWN = "withdrawn"  # not written, as the guards of its send no longer held
    MISS = "miss"

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt may have had its effect."""
        never = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.WITHDRAWN, Outcome.MISS)
        return self not in never


class Role(Enum):
    """A member's role in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    UNKNOWN = "unknown"


class Listing(Enum):
    """What discovery says of a member."""

    READY = "ready"
    TERMINATING = "terminating"
    GONE = "gone"


class RosterKind(Enum):
    """What a roster contains: changes, everything, an old copy, or nothing as the call failed."""

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
    """A router's settings."""

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
        """Raise `ValueError` that names the first invalid setting."""
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
    """The router starts and knows nothing yet."""


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """A member as discovery lists it."""

    member: int
    group: int
    zone: str
    kind: str
    listing: Listing = Listing.READY
    primary: bool = False
    started_us: int = 0
    # When other gateways saw it fail, and until when its expected wait therefore counts as longer.
    suspicion: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class Roster:
    """A roster, or changes of it, from discovery."""

    kind: RosterKind
    entries: tuple[RosterEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Report:
    """What a member reports of itself; its role was true at the time of its position."""

    position_us: int | None = None
    role: Role = Role.UNKNOWN


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request has arrived.

    `since_write_us`: how long ago its session last wrote, where the request carries this. `min_position_us`: no replica
    at an older position may take it, whatever its class allows.
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
    """The client has left, which ends the request."""

    request: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended. `over`: the request ended with it or before."""

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
    """A timer that was set has fired."""

    name: str


Event = Start | Roster | Arrival | Departure | AttemptEnded | Checked | TimerFired


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt; its number is the number of the request's earlier attempts."""

    request: str
    member: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a request unserved; the client may safely try again."""

    request: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a request with an error; it may or may not have run."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt whose answer is not needed any more."""

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
    """Fetch the whole roster from discovery once."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer: a `TimerFired` at this time."""

    name: str
    at_us: int


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | Check | DropIdle | FollowRoster | FetchRoster | SetTimer | Log
