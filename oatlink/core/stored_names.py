"""The names in snapshots of an engine's state, and the names in the code that they stand for. No I/O.

A snapshot names each record and enum, and each attribute of the engine and of the router's state. These outer names
are part of the files and never change. If a class or an attribute is renamed in the code, only the code's side of these
tables changes, at the same place: the classes in `RECORDS` and `ENUMS`, the attributes in `RECORDS`, and the values of
`ENGINE` and `ROUTER`. A class or attribute that is missing in the tables is an error at import or, for attributes of
the engine, when a snapshot is taken.
"""

import dataclasses
from collections.abc import Collection, Iterable
from enum import Enum

import msgspec

from oatlink import interface as api
from oatlink import pending, state
from oatlink.core import addresses, messages, overload, positions, reports, sessions, shared
from oatlink.router_state import RouterState
from oatlink.settings import model, parts

RECORDS: dict[str, tuple[type, tuple[str, ...]]] = {
    "oatlink.state.Attempt": (
        state.Attempt,
        (
            "member",
            "sent_us",
            "is_outstanding",
        ),
    ),
    "oatlink.state.Request": (
        state.Request,
        (
            "id",
            "request_class",
            "group",
            "arrived_us",
            "expires_us",
            "session",
            "min_position_us",
            "worth",
            "arrival_number",
            "attempts",
            "tried_members",
            "may_have_run_us",
            "has_copy",
            "has_failed",
            "check_count",
            "is_primary_only",
            "admission_draw",
            "settled_by_us",
        ),
    ),
    "oatlink.state.SessionRequests": (state.SessionRequests, ("by_session",)),
    "oatlink.state.Member": (
        state.Member,
        (
            "entry",
            "round_robin_position",
            "tokens",
            "concurrency_limit",
            "check_cost_us",
            "role",
            "role_us",
            "position_us",
            "lag_us",
            "heard_us",
            "answered_us",
            "is_draining",
            "was_terminating",
            "check_sent_us",
            "checked_us",
            "connection_broken_us",
            "failed_check_count",
            "refused_connection_count",
            "outstanding",
            "average_service_us",
            "limit_reduced_us",
            "paused_until_us",
            "started_us",
            "answer_rate",
            "answer_rate_us",
            "tokens_us",
            "denied_primary_us",
        ),
    ),
    "oatlink.state.Group": (
        state.Group,
        (
            "id",
            "members",
            "primary",
            "arrival_count",
            "average_service_us",
            "typical_service_us",
            "admission_ratio",
            "admitted_us",
            "checked_us",
            "primary_lost_us",
            "primary_known_us",
            "sweep_due_us",
        ),
    ),
    "oatlink.holds.Row": (
        pending.PendingQueue,
        (
            "first_number",
            "size",
            "min_positions",
            "max_positions",
            "requests",
        ),
    ),
    "oatlink.holds.Holds": (
        pending.PendingRequests,
        (
            "entries",
            "queues",
            "earliest_ends",
            "soft_ends",
            "hard_ends",
            "session_reads",
        ),
    ),
    "oatlink.interface.RosterEntry": (
        api.RosterEntry,
        (
            "member",
            "group",
            "zone",
            "kind",
            "listing",
            "primary",
            "started_us",
            "suspicion",
        ),
    ),
    "oatlink.interface.RequestClass": (
        api.RequestClass,
        (
            "name",
            "freshness",
            "effect",
            "aim_us",
            "deadline_us",
            "worth",
            "late_worth",
            "staleness_us",
            "repeat_window_us",
        ),
    ),
    "oatlink.core.sessions.Place": (
        sessions.PendingReply,
        (
            "answer",
            "hangup",
        ),
    ),
    "oatlink.core.sessions.Ask": (
        sessions.PendingRequest,
        (
            "id",
            "client",
            "pending_reply",
            "rule",
            "group",
            "slots",
            "is_write",
            "payload",
            "replies",
            "arrived_us",
            "protocol",
            "is_transaction",
            "is_exec",
            "is_watch",
            "lease",
            "alone",
            "wait_replicas",
            "started",
            "attempts",
            "first_sent_us",
            "may_have_run",
            "runs_from",
            "open_attempts",
            "version",
            "gated",
        ),
    ),
    "oatlink.core.sessions.Session": (
        sessions.Session,
        (
            "client",
            "protocol",
            "name",
            "user",
            "peer",
            "since_us",
            "pending_replies",
            "requests",
            "waiting",
            "unfinished_by_slot",
            "queued",
            "queued_bytes",
            "queued_slots",
            "transaction_failed",
            "watching",
            "lease",
            "lease_box",
            "lease_lost",
            "answered",
            "closing",
            "last_unserved_us",
            "shed_in_a_row",
            "admin",
            "recorder_replies",
            "pinned_version",
            "fleet_replies",
        ),
    ),
    "oatlink.core.shared.BoxState": (
        shared.BoxState,
        (
            "box",
            "member",
            "paths",
            "report",
            "heard_us",
            "report_asked_us",
            "report_received_us",
            "started_us",
            "check_pending",
            "probe_pending",
            "refresh_pending",
            "refreshed_us",
            "check_deadline_us",
            "doubt",
            "offset_asked_us",
        ),
    ),
    "oatlink.core.shared.GroupState": (
        shared.GroupState,
        (
            "positions",
            "primary",
            "elections",
            "recent_elections",
            "refresh_due_us",
        ),
    ),
    "oatlink.core.addresses.Path": (
        addresses.Path,
        (
            "address",
            "hall",
            "connect_timeout_us",
            "state",
            "failures",
            "retry_us",
            "good_since_us",
            "heard_us",
            "answered_us",
            "open_requests",
            "busy_since_us",
            "losses",
            "last_loss_us",
            "silence_probes",
            "has_silence_check",
            "silence_probed_us",
            "other_answered_us",
            "answer_us",
            "probe_us",
            "upkeep_probed_us",
            "unstable_returns",
            "run_id",
            "last_error",
        ),
    ),
    "oatlink.core.addresses.Paths": (
        addresses.Paths,
        (
            "hall",
            "stagger_us",
            "peers",
            "seed",
            "paths",
            "current",
            "is_chosen",
            "current_since_us",
            "draw_count",
            "upkeep_due_us",
        ),
    ),
    "oatlink.core.addresses.Race": (
        addresses.Race,
        (
            "queue",
            "running",
            "next_start_us",
            "last_ending",
        ),
    ),
    "oatlink.core.positions.Positions": (
        positions.Positions,
        (
            "_current",
            "_gap_us",
            "_histories",
            "_max_histories",
        ),
    ),
    "oatlink.core.positions.History": (
        positions.History,
        (
            "replid",
            "offsets",
            "times_us",
            "parent",
            "join",
            "is_closed",
        ),
    ),
    "oatlink.core.overload.Admission": (
        overload.Admission,
        (
            "seed",
            "target_us",
            "min_limit",
            "limit",
            "retry_after_us",
            "mean_worth",
            "draw_count",
            "updated_us",
            "next_decrease_us",
            "late_intervals",
            "late_sum_us",
            "peak_open",
            "admitted",
            "refused",
            "parties",
            "total_usage",
        ),
    ),
    "oatlink.core.messages.Box": (
        messages.Box,
        (
            "name",
            "bank",
            "address",
            "hall",
            "kind",
            "state",
            "primary",
            "ways",
        ),
    ),
    "oatlink.core.messages.Way": (
        messages.Way,
        (
            "address",
            "hall",
            "connect_timeout_ms",
            "keepalive_s",
        ),
    ),
    "oatlink.core.reports.BoxReport": (
        reports.BoxReport,
        (
            "role",
            "replid",
            "offset",
            "replid2",
            "second_offset",
            "run_id",
            "uptime_s",
            "loading",
            "link_up",
            "draining",
        ),
    ),
    "oatlink.settings.model.RequestClass": (
        model.RequestClass,
        (
            "name",
            "freshness",
            "effect",
            "aim_ms",
            "deadline_ms",
            "worth",
            "late_worth",
            "staleness_ms",
            "repeat_window_ms",
            "wait_replicas",
            "wait_ms",
            "match",
        ),
    ),
    "oatlink.settings.parts.Match": (
        parts.Match,
        (
            "commands",
            "keys",
            "users",
            "client_names",
        ),
    ),
}
"""Outer name of a record: its class, and its attributes in the order in which their values are written."""

LATER_ATTRIBUTES: dict[type, dict[str, object]] = {state.Member: {"denied_primary_us": state.LONG_AGO}}
"""Last attributes of a record, and their defaults, that earlier files do not have: left out while they are default."""

ENUMS: dict[str, type[Enum]] = {
    "oatlink.interface.Effect": api.Effect,
    "oatlink.interface.Freshness": api.Freshness,
    "oatlink.interface.Role": api.Role,
    "oatlink.interface.Listing": api.Listing,
    "oatlink.core.addresses.State": addresses.State,
}
"""Outer name of an enum: its class. Members are written by their values."""

ENGINE: dict[str, str] = {
    "_sample_us": "_sample_interval_us",
    "_refresh_us": "_refresh_interval_us",
    "_admission": "_admission",
    "_first_pause_us": "_first_pause_us",
    "_longest_pause_us": "_longest_pause_us",
    "_groups": "_groups",
    "_boxes": "_boxes",
    "_check_waits": "_waiting_checks",
    "_runs": "_box_by_run_id",
    "_races": "_races",
    "_looks": "_path_checks",
    "_dialling": "_open_dial_count",
    "_dials_wait": "_waiting_dials",
    "_at_gate": "_waiting_for_grant",
    "_gate_due": "_quota_retry_us",
    "_busy": "_open_by_version",
    "_names": "_box_names",
    "_last_member": "_last_member",
    "_sessions": "_sessions",
    "_asks": "_requests",
    "_last_request": "_last_request",
    "_last_lease": "_last_lease",
    "_ends": "_deadlines",
    "_router_due": "_router_due",
    "_wake_us": "_wake_us",
    "_draining": "_draining",
    "_started_us": "_started_us",
    "_now": "_now",
    "_late_us": "_late_us",
    "_waited_us": "_waited_us",
    "_own_us": "_pipeline_wait_us",
    "_behind": "_waiting_client_count",
    "_more": "_more_follows",
    "_code": "_program_form",
    "_listed": "_has_roster",
    "fresh": "fresh",
    "counts": "counts",
}
"""Outer name of an attribute of the engine: its name in the code. They are written in the engine's own order."""

ENGINE_RECREATED = frozenset(("settings", "_classifier", "router", "_local", "_handlers", "_out", "_gate"))
"""Attributes of the engine that are not state: recreated from the settings, and not written."""

ROUTER: dict[str, str] = {
    "now": "now_us",
    "more": "more_follow",
    "classes": "classes",
    "target_us": "target_service_us",
    "bound_us": "staleness_bound_us",
    "tick_us": "tick_us",
    "margin_us": "margin_us",
    "heartbeat_us": "heartbeat_us",
    "members": "members",
    "groups": "groups",
    "requests": "requests",
    "holds": "pending",
    "unsettled": "deferred_groups",
    "due": "due_sweeps",
    "timer_us": "timer_us",
    "stalled_us": "stalled_us",
    "ask_at_us": "roster_request_us",
    "ask_wait_us": "roster_retry_wait_us",
    "answer_us": "average_service_us",
    "turn": "round_robin_position",
    "shown": "warm_rate",
    "shown_us": "warm_rate_us",
    "arrived": "arrival_count",
    "tied": "primary_only_share",
    "answered": "answers_per_arrival",
    "worth": "average_worth",
    "shares": "tenant_budgets",
    "lend": "spill_ratio",
    "lent_us": "spilled_us",
    "sessions": "session_positions",
    "forgotten_us": "forgotten_position_us",
    "session_writes": "open_session_writes",
}
"""Outer name of an attribute of the router's state: its name in the code, in the order in which they are written."""

ROUTER_RECREATED = frozenset(("settings", "random", "choose_member", "actions"))
"""Attributes of the router's state that are recreated from the settings and not written here.

`random` is written separately.
"""


def attributes_of(value: object) -> tuple[str, ...]:
    """The names of an object's attributes. A compiled class has no `__dict__` and lists them itself."""
    names: tuple[str, ...] | None = getattr(type(value), "__mypyc_attrs__", None)
    return tuple(vars(value)) if names is None else tuple(name for name in dict.fromkeys(names) if name != "__dict__")


def engine_names(engine: object) -> dict[str, str]:
    """`ENGINE` in the order of the engine's attributes. Raises `TypeError` if these differ from the table."""
    attributes = attributes_of(engine)
    _check_names("the engine", attributes, ENGINE.values(), ENGINE_RECREATED)
    outer_names = {attribute: outer for outer, attribute in ENGINE.items()}
    return {outer_names[name]: name for name in attributes if name not in ENGINE_RECREATED}


def _check_names(
    owner: str, attributes: Iterable[str], written: Collection[str], recreated: Collection[str] = ()
) -> None:
    """Raise `TypeError` unless each attribute is either written or recreated, and each name is an attribute."""
    names = [*written, *recreated]
    wrong = sorted(set(attributes) ^ set(names))
    if wrong or len(names) != len(set(names)):
        raise TypeError(f"{owner}: {__name__} and the code differ about {', '.join(wrong) or 'a name that is twice'}")


def _check_tables() -> None:
    """Raise `TypeError` if a table differs from the code: an attribute would be lost, or restored as another."""
    for name, (record, attributes) in RECORDS.items():
        if record is positions.Positions:  # created without arguments, then filled by name
            _check_names(name, attributes_of(positions.Positions()), attributes)
        elif attributes != _positional(record):
            raise TypeError(f"{name}: {__name__} has the attributes {attributes}, the code {_positional(record)}")
    _check_names("the router's state", _positional(RouterState), ROUTER.values(), ROUTER_RECREATED)


def _positional(record: type) -> tuple[str, ...]:
    """The attributes of a record in the order in which it takes their values."""
    if dataclasses.is_dataclass(record):
        return tuple(field.name for field in dataclasses.fields(record))
    assert issubclass(record, msgspec.Struct)
    return record.__struct_fields__


_check_tables()
