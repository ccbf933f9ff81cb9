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

from oatlink import holds, state
from oatlink import interface as api
from oatlink.book import Book
from oatlink.core import addresses, messages, overload, positions, reports, sessions, shared
from oatlink.settings import model, parts

RECORDS: dict[str, tuple[type, tuple[str, ...]]] = {
    "oatlink.state.Attempt": (
        state.Attempt,
        (
            "member",
            "sent_us",
            "out",
        ),
    ),
    "oatlink.state.Request": (
        state.Request,
        (
            "id",
            "rule",
            "group",
            "arrived_us",
            "expires_us",
            "session",
            "need_us",
            "worth",
            "number",
            "attempts",
            "tried",
            "may_have_run_us",
            "copied",
            "failed",
            "asked",
            "tied",
            "draw",
            "settled_us",
        ),
    ),
    "oatlink.state.SessionRequests": (state.SessionRequests, ("by_session",)),
    "oatlink.state.Member": (
        state.Member,
        (
            "entry",
            "turn",
            "tokens",
            "room",
            "check_cost_us",
            "role",
            "role_us",
            "position_us",
            "lag_us",
            "heard_us",
            "answered_us",
            "drained",
            "was_terminating",
            "check_sent_us",
            "checked_us",
            "broken_us",
            "failed_checks",
            "refused",
            "out",
            "duration_us",
            "cut_us",
            "full_until_us",
            "started_us",
            "rate",
            "rate_us",
            "tokens_us",
        ),
    ),
    "oatlink.state.Group": (
        state.Group,
        (
            "id",
            "members",
            "primary",
            "arrived",
            "answer_us",
            "usual_us",
            "share",
            "let_us",
            "checked_us",
            "lost_us",
            "known_us",
            "due_us",
        ),
    ),
    "oatlink.holds.Row": (
        holds.Row,
        (
            "first",
            "size",
            "low",
            "high",
            "held",
        ),
    ),
    "oatlink.holds.Holds": (
        holds.Holds,
        (
            "held",
            "rows",
            "halves",
            "ends",
            "lasts",
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
            "doubt",
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
            "asked_us",
            "told_us",
            "started_us",
            "check_out",
            "probe_out",
            "refreshing",
            "refreshed_us",
            "check_waits_us",
            "doubt",
            "informed_us",
        ),
    ),
    "oatlink.core.shared.GroupState": (
        shared.GroupState,
        (
            "positions",
            "primary",
            "elections",
            "recent",
            "refresh_us",
        ),
    ),
    "oatlink.core.addresses.Path": (
        addresses.Path,
        (
            "address",
            "hall",
            "timeout_us",
            "state",
            "failures",
            "next_us",
            "good_us",
            "heard_us",
            "answered_us",
            "out",
            "since_us",
            "lost",
            "lost_us",
            "hushes",
            "looking",
            "asked_us",
            "shown_us",
            "answer_us",
            "probe_us",
            "looked_us",
            "left",
            "run_id",
            "why",
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
            "chosen",
            "since_us",
            "draws",
            "upkeep_us",
        ),
    ),
    "oatlink.core.addresses.Race": (
        addresses.Race,
        (
            "queue",
            "out",
            "next_us",
            "how",
        ),
    ),
    "oatlink.core.positions.Positions": (
        positions.Positions,
        (
            "_current",
            "_gap_us",
            "_histories",
            "_kept",
        ),
    ),
    "oatlink.core.positions.History": (
        positions.History,
        (
            "replid",
            "offsets",
            "times",
            "parent",
            "join",
            "closed",
        ),
    ),
    "oatlink.core.overload.Admission": (
        overload.Admission,
        (
            "seed",
            "target_us",
            "least",
            "limit",
            "back_us",
            "worth",
            "draws",
            "look_us",
            "down_us",
            "late_looks",
            "late_sum",
            "most_open",
            "taken",
            "refused",
            "parties",
            "had",
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

ENUMS: dict[str, type[Enum]] = {
    "oatlink.interface.Effect": api.Effect,
    "oatlink.interface.Freshness": api.Freshness,
    "oatlink.interface.Role": api.Role,
    "oatlink.interface.Listing": api.Listing,
    "oatlink.core.addresses.State": addresses.State,
}
"""Outer name of an enum: its class. Members are written by their values."""

ENGINE: dict[str, str] = {
    "_sample_us": "_sample_us",
    "_refresh_us": "_refresh_us",
    "_admission": "_admission",
    "_first_pause_us": "_first_pause_us",
    "_longest_pause_us": "_longest_pause_us",
    "_groups": "_groups",
    "_boxes": "_boxes",
    "_check_waits": "_check_waits",
    "_runs": "_runs",
    "_races": "_races",
    "_looks": "_looks",
    "_dialling": "_dialling",
    "_dials_wait": "_dials_wait",
    "_at_gate": "_at_gate",
    "_gate_due": "_gate_due",
    "_busy": "_busy",
    "_names": "_names",
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
    "_own_us": "_pipelined_us",
    "_behind": "_behind",
    "_more": "_more",
    "_code": "_code",
    "_listed": "_listed",
    "fresh": "fresh",
    "counts": "counts",
}
"""Outer name of an attribute of the engine: its name in the code. They are written in the engine's own order."""

ENGINE_RECREATED = frozenset(("settings", "_classifier", "router", "_local", "_handlers", "_out", "_gate"))
"""Attributes of the engine that are not state: recreated from the settings, and not written."""

ROUTER: dict[str, str] = {
    "now": "now",
    "more": "more",
    "classes": "classes",
    "target_us": "target_us",
    "bound_us": "bound_us",
    "tick_us": "tick_us",
    "margin_us": "margin_us",
    "heartbeat_us": "heartbeat_us",
    "members": "members",
    "groups": "groups",
    "requests": "requests",
    "holds": "holds",
    "unsettled": "unsettled",
    "due": "due",
    "timer_us": "timer_us",
    "stalled_us": "stalled_us",
    "ask_at_us": "ask_at_us",
    "ask_wait_us": "ask_wait_us",
    "answer_us": "answer_us",
    "turn": "turn",
    "shown": "shown",
    "shown_us": "shown_us",
    "arrived": "arrived",
    "tied": "tied",
    "answered": "answered",
    "worth": "worth",
    "shares": "shares",
    "lend": "lend",
    "lent_us": "lent_us",
    "sessions": "sessions",
    "forgotten_us": "forgotten_us",
    "session_writes": "session_writes",
}
"""Outer name of an attribute of the router's state: its name in the code, in the order in which they are written."""

ROUTER_RECREATED = frozenset(("settings", "random", "choose", "do"))
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
    _check_names("the router's state", _positional(Book), ROUTER.values(), ROUTER_RECREATED)


def _positional(record: type) -> tuple[str, ...]:
    """The attributes of a record in the order in which it takes their values."""
    if dataclasses.is_dataclass(record):
        return tuple(field.name for field in dataclasses.fields(record))
    assert issubclass(record, msgspec.Struct)
    return record.__struct_fields__


_check_tables()
