"""The settings object of the users' platform, and the Router's settings made from it.

The simulator's wire gives it in an instance's first message, the platform in the configuration file; names and units
are the same. Nothing is decided here.
"""

from typing import TypeVar

import msgspec
from msgspec import field

from oatlink import interface as api

FRESHNESS = {
    "update": api.Freshness.WRITE,
    "latest": api.Freshness.LATEST,
    "loose": api.Freshness.ANY,
    "own_writes": api.Freshness.SESSION,
    "recent": api.Freshness.BOUNDED,
}
EFFECTS = {
    "idempotent": api.Effect.IDEMPOTENT,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}

T = TypeVar("T")


class WireError(Exception):
    """Input that the platform's pages do not allow, in plain words."""


class Wire(msgspec.Struct, rename="pascal"):
    """Base of all that is read: names in the wire's case, unknown fields passed over."""


class ClassOptions(Wire):
    name: str
    goal_time_us: int
    deadline_us: int
    effect: str
    gain: float
    late_worth: float = 0.0
    window_us: int = 0


class FamilyOptions(Wire):
    freshness: list[str]
    lag_allowed_us: list[int] = field(default_factory=list)
    base_time_us: int = 0
    server_checks: str = "off"
    session_marks: str = "client"


class LimitOptions(Wire):
    max_attempts: int = 6
    max_open: int = 20_000
    may_probe: bool = False
    cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    dial_timeout_us: int = 250_000
    keepalive_us: int = 15_000_000


class Obligations(Wire):
    ask_within_us: int = 10_000_000
    stop_sending_within_us: int = 0  # of a drain's being told; 0 where nothing is said
    cold_share: float = 1.0
    warm_after_us: int = 0
    overload_factor: float = 3.0
    fall_us: int = 2_000_000
    dropped_stay_open: bool = False


class Tenant(Wire):
    name: str
    allowance_per_s: float


class Options(Wire):
    classes: list[ClassOptions]
    family_info: FamilyOptions
    zone: str
    discovery: str = "push"
    limits: LimitOptions = field(default_factory=LimitOptions)
    obligations: Obligations = field(default_factory=Obligations)
    peers_total: int = 1
    step_us: int = 1_000
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0


def word(table: dict[str, T], key: str, what: str) -> T:
    """Translate one word of the wire."""
    if key not in table:
        raise WireError(f"unknown {what} {key!r}")
    return table[key]


def to_settings(options: Options, seed: int) -> api.Settings:
    """The router's settings from the settings object that an instance is given at its start."""
    family, limits = options.family_info, options.limits
    if len(family.freshness) != len(options.classes):
        raise WireError("FamilyInfo.Freshness does not match Classes")
    lags = family.lag_allowed_us or [0] * len(options.classes)
    if len(lags) != len(options.classes):
        raise WireError("FamilyInfo.LagAllowedUs does not match Classes")
    classes = tuple(
        api.RequestClass(
            name=one.name,
            freshness=word(FRESHNESS, fresh, "freshness"),
            effect=word(EFFECTS, one.effect, "effect"),
            aim_us=one.goal_time_us,
            deadline_us=one.deadline_us,
            worth=one.gain,
            late_worth=one.late_worth,
            staleness_us=lag,
            repeat_window_us=one.window_us,
        )
        for one, fresh, lag in zip(options.classes, family.freshness, lags, strict=True)
    )
    rules = options.obligations
    return api.Settings(
        seed=seed,
        zone=options.zone,
        classes=classes,
        peers=options.peers_total,
        step_us=options.step_us,
        tenant_rates=tuple((one.name, one.allowance_per_s) for one in options.tenants),
        over_share_worth=options.over_share_worth,
        max_attempts=limits.max_attempts,
        max_open=limits.max_open,
        may_probe=limits.may_probe,
        may_cancel=limits.cancel,
        second_copies=limits.second_copies,
        max_retry_after_us=limits.max_retry_after_us if limits.retry_after else 0,
        must_ask_roster=options.discovery == "ask",
        ask_within_us=rules.ask_within_us,
        members_check_reads=family.server_checks != "off",
        router_remembers_sessions=family.session_marks == "router",
        cold_share=rules.cold_share,
        warm_after_us=rules.warm_after_us,
        overload_factor=rules.overload_factor,
        fall_us=rules.fall_us,
        dropped_stay_open=rules.dropped_stay_open,
    )
