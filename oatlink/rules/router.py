"""The router: events go in, actions come out. No clock, no I/O; all it knows is in its `RouterState`."""

import heapq
import random

from oatlink import interface as api
from oatlink.router_state import NEVER, Group, RouterState
from oatlink.rules import (
    arrivals,
    checks,
    dispatch,
    outcomes,
    parameters,
    queueing,
    reads,
    roster,
    sending,
    service_time,
)


class Router:
    """Decides for one gateway."""

    def __init__(self, settings: api.Settings) -> None:
        self.state = state = RouterState(settings, random.Random(settings.seed), reads.choose_member)
        parameters.configure(state, settings)
        state.average_service_us = state.target_service_us
        state.average_worth = (sum(rule.worth for rule in settings.classes) or 1.0) / len(settings.classes)

    def configure(self, settings: api.Settings) -> None:
        """Use these settings from now on. Earlier requests keep their class, even one that is gone."""
        parameters.configure(self.state, settings)

    def handle(self, event: api.Event, now_us: int, more_follow: bool = False) -> list[api.Action]:
        """Return the actions that an event calls for.

        With `more_follow`, events of the same instant follow; pending requests are dispatched after the last.
        """
        state = self.state
        state.now_us, state.actions, state.more_follow = now_us, [], more_follow
        if now_us > state.timer_us + 2 * state.tick_us:
            # The timer came late: this process stood still, so long waits until now are no member's fault.
            state.stalled_us = now_us
        match event:
            case api.Arrival():
                arrivals.handle_arrival(state, event)
            case api.AttemptEnded():
                outcomes.handle_attempt(state, event)
            case api.TimerFired():
                state.timer_us = NEVER if now_us >= state.timer_us else state.timer_us
            case api.Checked():
                outcomes.handle_check(state, event)
            case api.Departure():
                queueing.forget(state, event.request, has_left=True)
            case api.Roster():
                roster.apply_roster(state, event)
            case api.Start():
                roster.start(state)
        if state.deferred_groups and not more_follow:
            group_ids, state.deferred_groups = state.deferred_groups, {}
            for group_id in group_ids:
                dispatch.dispatch_pending(state, state.groups[group_id])
        _sweep_due_groups(state)
        return state.actions

    def may_write(self, request_id: str, index: int, now_us: int) -> bool:
        """Whether an attempt may still be written, by the guards that its send passed. Changes nothing."""
        state, request = self.state, self.state.requests.get(request_id)
        if request is None:
            return False
        attempt = request.attempts[index]
        member = state.members.get(attempt.member)
        previous_us, state.now_us = state.now_us, now_us
        may_write = member is not None and sending.may_write(state, request, member, attempt.sent_us)
        state.now_us = previous_us  # a replay doesn't call this, and must go on from the same state
        return may_write


def _sweep_due_groups(state: RouterState) -> None:
    """Sweep the groups whose time has come, and set one timer for the next, or none if nothing is due."""
    while state.due_sweeps and state.due_sweeps[0][0] <= state.now_us:
        at_us, group_id = heapq.heappop(state.due_sweeps)
        group = state.groups[group_id]
        if group.sweep_due_us == at_us:
            group.sweep_due_us = NEVER
            _sweep_group(state, group)
    if state.now_us >= state.roster_request_us:
        roster.request_roster(state)
    at_us = min(state.due_sweeps[0][0] if state.due_sweeps else NEVER, state.roster_request_us)
    if at_us < state.timer_us:
        state.timer_us = at_us
        state.actions.append(api.SetTimer("due", at_us))


def _sweep_group(state: RouterState, group: Group) -> None:
    """Check silent members, end expired requests and dispatch the pending ones."""
    pending = state.pending[group.id]
    since_check_us = state.now_us - group.checked_us
    if pending.entries and group.primary is None and since_check_us >= parameters.PENDING_CHECK_US:
        checks.check_all(state, group)
    for member in list(group.members.values()):
        if state.now_us >= checks.overdue_at(state, group, member):
            checks.check(state, member)
    for request in pending.ended(state.now_us, service_time.reserve_us(state, group)):
        if any(attempt.is_outstanding for attempt in request.attempts):
            pending.remove(request.id)
        else:
            queueing.give_up(state, request)
    dispatch.dispatch_pending(state, group)
