"""All that a router remembers, with no decision and no tuned value: the book that each decision is handed.

Only `oatlink.rules` changes it; of each part it is said which of its modules does. Times are integer microseconds.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from oatlink import interface as api
from oatlink.pending import Holds, Kind, Row
from oatlink.state import LONG_AGO, NEVER, Attempt, Belief, Group, Member, Request, SessionRequests

__all__ = ["LONG_AGO", "NEVER", "Attempt", "Belief", "Book", "Group", "Holds", "Kind", "Member", "Request", "Row"]


@dataclass(slots=True)
class Book:
    """The state of one router."""

    settings: api.Settings
    random: random.Random
    choose: Callable[["Book", Request], Member | None]  # how a member is found; one that explains looks on here

    # The event at hand (`router`): what it calls for, when it came, whether others of the same instant follow.
    do: list[api.Action] = field(default_factory=list)
    now: int = 0
    more: bool = False

    # What follows from the settings (`terms`).
    classes: dict[str, api.RequestClass] = field(default_factory=dict)
    target_us: float = 0.0
    bound_us: int = 0
    tick_us: int = 0
    margin_us: int = 0
    heartbeat_us: int = 0

    # Who there is (`roster`), what is asked (`arrivals`), and what of it is held (`holding`, `sending`).
    members: dict[int, Member] = field(default_factory=dict)
    groups: dict[int, Group] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    holds: dict[int, Holds] = field(default_factory=dict)
    unsettled: dict[int, None] = field(default_factory=dict)  # `placing`: groups that wait for the last of `more`

    # What is due (`due`): the time and group of each look; the timer that is set, the last own stall (`router`).
    due: list[tuple[int, int]] = field(default_factory=list)
    timer_us: int = NEVER
    stalled_us: int = LONG_AGO

    # The next call to discovery (`roster`).
    ask_at_us: int = NEVER
    ask_wait_us: int = 0

    # What answers take, of all groups (`room`); turns taken (`sending`).
    answer_us: float = 0.0
    turn: float = 0.0

    # The rate of a warm member, and when it was last counted (`cold`).
    shown: float = 0.0
    shown_us: int = LONG_AGO

    # Requests that came, the share of them that only a primary takes, answers for each of late (`room`); what one is
    # worth of late; each tenant's share at this router, a second's worth of requests in hand: rate, left, when
    # (`arrivals`).
    arrived: int = 0
    tied: float = 0.0
    answered: float = 1.0
    worth: float = 0.0
    shares: dict[str, tuple[float, float, int]] = field(default_factory=dict)

    # Of requests that others take too, the share that may go to primaries (`room`); when one last did (`reads`).
    lend: float = 1.0
    lent_us: int = LONG_AGO

    # Sessions' last writes, and the newest of those forgotten (`sessions`).
    sessions: OrderedDict[str, int] = field(default_factory=OrderedDict)
    forgotten_us: int = -1
    # Sessions' writes that may be committed and are not known to be (`sessions`).
    session_writes: SessionRequests = field(default_factory=SessionRequests)

    def remember(self, session: str, position_us: int) -> None:
        """Keep a session's last write. Memory is bounded: what is forgotten stands for every unknown session."""
        self.sessions[session] = max(position_us, self.sessions.pop(session, self.forgotten_us))
        if len(self.sessions) > self.settings.max_open:
            self.forgotten_us = max(self.forgotten_us, self.sessions.popitem(last=False)[1])

    def group_of(self, group_id: int) -> Group:
        """The record of a group, made when it is first named."""
        if group_id not in self.groups:
            self.groups[group_id], self.holds[group_id] = Group(group_id), Holds()
        return self.groups[group_id]
