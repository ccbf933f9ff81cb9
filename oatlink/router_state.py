"""All that a router knows, without decisions or tuned values. Every decision is given this state.

Only `oatlink.rules` changes it; comments name the modules that do. Times are integer microseconds.
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

    # The present event (`router`): the actions it calls for, its time, and whether more of the same instant follow.
    actions: list[api.Action] = field(default_factory=list)
    now_us: int = 0
    more_follow: bool = False

    # What follows from the settings (`parameters`).
    classes: dict[str, api.RequestClass] = field(default_factory=dict)
    target_service_us: float = 0.0  # slower answers reduce a member's concurrency limit
    staleness_bound_us: int = 0  # the smallest of all classes
    tick_us: int = 0  # the shortest time between two sweeps of a group
    margin_us: int = 0  # left for the gateway's own steps before a request expires
    heartbeat_us: int = 0  # a member not heard of for so long is checked

    # Members and groups (`roster`), requests (`arrivals`), pending requests by group (`queueing`, `sending`).
    members: dict[int, Member] = field(default_factory=dict)
    groups: dict[int, Group] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    pending: dict[int, PendingRequests] = field(default_factory=dict)
    # Groups to dispatch after the last event of the instant, in order (`dispatch`); the values are not used.
    deferred_groups: dict[int, None] = field(default_factory=dict)

    # A heap of sweeps to come, by time and group (`sweeps`); when the timer that is set fires, and when this process
    # was last found to have stood still (`router`).
    due_sweeps: list[tuple[int, int]] = field(default_factory=list)
    timer_us: int = NEVER
    stalled_us: int = LONG_AGO

    # The next request to discovery, and the back-off after failed ones (`roster`).
    roster_request_us: int = NEVER
    roster_retry_wait_us: int = 0

    # The moving average of the service time over all groups (`concurrency`), and the number of attempts sent
    # (`sending`).
    average_service_us: float = 0.0
    round_robin_position: float = 0.0

    # The answer rate of a warm member, and when it was measured (`cold`).
    warm_rate: float = 0.0
    warm_rate_us: int = LONG_AGO

    # Arrivals (`arrivals`): their number and the share that only a primary takes, both counted only where there are
    # many routers, the recent number of answers per arrival (also `concurrency`), and their average worth. For each
    # tenant: its rate at this router, its remaining tokens (at most one second's worth), and when these were counted.
    arrival_count: int = 0
    primary_only_share: float = 0.0
    answers_per_arrival: float = 1.0
    average_worth: float = 0.0
    tenant_budgets: dict[str, tuple[float, float, int]] = field(default_factory=dict)

    # The share of reads that may spill to primaries although replicas take them too (`concurrency`), and when one last
    # did (`reads`).
    spill_ratio: float = 1.0
    spilled_us: int = LONG_AGO

    # The position of each session's last write, and the newest of those forgotten (`sessions`).
    session_positions: OrderedDict[str, int] = field(default_factory=OrderedDict)
    forgotten_position_us: int = -1
    # Sessions' writes that may be committed and are not known to be (`sessions`).
    open_session_writes: SessionRequests = field(default_factory=SessionRequests)

    def record_session_write(self, session: str, position_us: int) -> None:
        """Keep the position of a session's last write.

        Memory is bounded: the newest position that was forgotten counts for every session that is not known.
        """
        known_us = self.session_positions.pop(session, self.forgotten_position_us)
        self.session_positions[session] = max(position_us, known_us)
        if len(self.session_positions) > self.settings.max_open:
            _, oldest_us = self.session_positions.popitem(last=False)
            self.forgotten_position_us = max(self.forgotten_position_us, oldest_us)

    def group_of(self, group_id: int) -> Group:
        """The record of a group, made when it is first named."""
        if group_id not in self.groups:
            self.groups[group_id], self.pending[group_id] = Group(group_id), PendingRequests()
        return self.groups[group_id]
