"""All that a router remembers, with no decision and no tuned value: the book that each decision is handed.

Only `oatlink.rules` changes it; of each part it is said which of its modules does. Times are integer microseconds.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from oatlink import interface as api
from oatlink.pending import PendingQueue, PendingRequests, QueueKey
from oatlink.state import LONG_AGO, NEVER, Attempt, Group, Member, MemberStatus, Request, SessionRequests

__all__ = ["LONG_AGO", "NEVER", "Attempt", "Group", "Member", "PendingQueue", "PendingRequests", "QueueKey", "Request"]
__all__ += ["MemberStatus", "RouterState"]


@dataclass(slots=True)
class RouterState:
    """The state of one router."""

    settings: api.Settings
    random: random.Random
    choose_member: Callable[["RouterState", Request], Member | None]  # replaced to observe each choice (`explain`)

    # The event at hand (`router`): what it calls for, when it came, whether others of the same instant follow.
    actions: list[api.Action] = field(default_factory=list)
    now_us: int = 0
    more_follow: bool = False

    # What follows from the settings (`terms`).
    classes: dict[str, api.RequestClass] = field(default_factory=dict)
    target_service_us: float = 0.0
    staleness_bound_us: int = 0
    tick_us: int = 0
    margin_us: int = 0
    heartbeat_us: int = 0

    # Who there is (`roster`), what is asked (`arrivals`), and what of it is held (`holding`, `sending`).
    members: dict[int, Member] = field(default_factory=dict)
    groups: dict[int, Group] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    pending: dict[int, PendingRequests] = field(default_factory=dict)
    deferred_groups: dict[int, None] = field(default_factory=dict)  # `placing`: groups that wait for the last of `more`

    # What is due (`due`): the time and group of each look; the timer that is set, the last own stall (`router`).
    due_sweeps: list[tuple[int, int]] = field(default_factory=list)
    timer_us: int = NEVER
    stalled_us: int = LONG_AGO

    # The next call to discovery (`roster`).
    roster_request_us: int = NEVER
    roster_retry_wait_us: int = 0

    # What answers take, of all groups (`room`); turns taken (`sending`).
    average_service_us: float = 0.0
    round_robin_position: float = 0.0

    # The rate of a warm member, and when it was last counted (`cold`).
    warm_rate: float = 0.0
    warm_rate_us: int = LONG_AGO

    # Requests that came, the share of them that only a primary takes, answers for each of late (`room`); what one is
    # worth of late; each tenant's share at this router, a second's worth of requests in hand: rate, left, when
    # (`arrivals`).
    arrival_count: int = 0
    primary_only_share: float = 0.0
    answers_per_arrival: float = 1.0
    average_worth: float = 0.0
    tenant_budgets: dict[str, tuple[float, float, int]] = field(default_factory=dict)

    # Of requests that others take too, the share that may go to primaries (`room`); when one last did (`reads`).
    spill_ratio: float = 1.0
    spilled_us: int = LONG_AGO

    # Sessions' last writes, and the newest of those forgotten (`sessions`).
    session_positions: OrderedDict[str, int] = field(default_factory=OrderedDict)
    forgotten_position_us: int = -1
    # Sessions' writes that may be committed and are not known to be (`sessions`).
    open_session_writes: SessionRequests = field(default_factory=SessionRequests)

    def record_session_write(self, session: str, position_us: int) -> None:
        """Keep a session's last write. Memory is bounded: what is forgotten stands for every unknown session."""
        self.session_positions[session] = max(
            position_us, self.session_positions.pop(session, self.forgotten_position_us)
        )
        if len(self.session_positions) > self.settings.max_open:
            self.forgotten_position_us = max(self.forgotten_position_us, self.session_positions.popitem(last=False)[1])

    def group_of(self, group_id: int) -> Group:
        """The record of a group, made when it is first named."""
        if group_id not in self.groups:
            self.groups[group_id], self.pending[group_id] = Group(group_id), PendingRequests()
        return self.groups[group_id]
