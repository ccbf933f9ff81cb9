"""The settings object of the users' platform and its conversion to the router's settings.

The simulator sends this object in the first message to each instance; the platform has it in the configuration file,
with the same names and units. This module converts and makes no routing decisions.
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
    """The input violates the platform's specification; the message says how."""


class Wire(msgspec.Struct, rename="pascal"):
    """Base of the structures decoded from input: field names are in Pascal case there, unknown fields are ignored."""


class ClassOptions(Wire):
    """A request class: its time goals, the effect of a repeat, and what an answer is worth."""

    name: str
    goal_time_us: int
    deadline_us: int
    effect: str
    gain: float
    late_worth: float = 0.0
    window_us: int = 0


class FamilyOptions(Wire):
    """Freshness by class, in the order of `Options.classes`; whether members check reads; who keeps session marks."""

    freshness: list[str]
    lag_allowed_us: list[int] = field(default_factory=list)
    base_time_us: int = 0
    server_checks: str = "off"
    session_marks: str = "client"


class LimitOptions(Wire):
    """Limits on attempts and connections, and the optional actions that an instance may use."""

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
    """Rules of the site on discovery, drains and members that are still cold."""

    ask_within_us: int = 10_000_000
    stop_sending_within_us: int = 0  # after the notification of a drain; 0: not specified
    cold_share: float = 1.0
    warm_after_us: int = 0
    overload_factor: float = 3.0
    fall_us: int = 2_000_000
    dropped_stay_open: bool = False


class Tenant(Wire):
    """A tenant and the request rate that it is entitled to."""

    name: str
    allowance_per_s: float


class Options(Wire):
    """The whole settings object."""

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


def translate(table: dict[str, T], word: str, kind: str) -> T:
    """Return the value that `table` has for a word of the input; raise `WireError` if it has none."""
    if word not in table:
        raise WireError(f"unknown {kind} {word!r}")
    return table[word]


def to_settings(options: Options, seed: int) -> api.Settings:
    """Convert the settings object that an instance gets at its start to the router's settings."""
    family, limits = options.family_info, options.limits
    if len(family.freshness) != len(options.classes):
        raise WireError("FamilyInfo.Freshness does not match Classes")
    lags_us = family.lag_allowed_us or [0] * len(options.classes)
    if len(lags_us) != len(options.classes):
        raise WireError("FamilyInfo.LagAllowedUs does not match Classes")
    classes = tuple(
        api.RequestClass(
            name=class_options.name,
            freshness=translate(FRESHNESS, freshness, "freshness"),
            effect=translate(EFFECTS, class_options.effect, "effect"),
            aim_us=class_options.goal_time_us,
            deadline_us=class_options.deadline_us,
            worth=class_options.gain,
            late_worth=class_options.late_worth,
            staleness_us=lag_us,
            repeat_window_us=class_options.window_us,
        )
        for class_options, freshness, lag_us in zip(options.classes, family.freshness, lags_us, strict=True)
    )
    obligations = options.obligations
    return api.Settings(
        seed=seed,
        zone=options.zone,
        classes=classes,
        peers=options.peers_total,
        step_us=options.step_us,
        tenant_rates=tuple((tenant.name, tenant.allowance_per_s) for tenant in options.tenants),
        over_share_worth=options.over_share_worth,
        max_attempts=limits.max_attempts,
        max_open=limits.max_open,
        may_probe=limits.may_probe,
        may_cancel=limits.cancel,
        second_copies=limits.second_copies,
        max_retry_after_us=limits.max_retry_after_us if limits.retry_after else 0,
        must_ask_roster=options.discovery == "ask",
        ask_within_us=obligations.ask_within_us,
        members_check_reads=family.server_checks != "off",
        router_remembers_sessions=family.session_marks == "router",
        cold_share=obligations.cold_share,
        warm_after_us=obligations.warm_after_us,
        overload_factor=obligations.overload_factor,
        fall_us=obligations.fall_us,
        dropped_stay_open=obligations.dropped_stay_open,
    )
