"""When a group is looked at next. One timer stands for all looks."""

import heapq

from oatlink.router_state import NEVER, Group, RouterState
from oatlink.rules import checks, parameters, service_time


def plan_sweep(state: RouterState, group: Group) -> None:
    """Look again soon while requests are held, else when an attempt grows overdue."""
    holds, soon_us = state.pending[group.id], state.now_us + parameters.PENDING_CHECK_US // 5
    if group.sweep_due_us <= (soon_us if holds.entries else state.now_us + state.tick_us):
        return
    if holds.entries:
        ends = [soon_us, holds.next_end_us(service_time.reserve_us(state, group))]
        ends += [one.paused_until_us for one in group.members.values() if one.paused_until_us > state.now_us]
    else:
        ends = [NEVER, *[round(checks.overdue_at(state, group, one)) for one in group.members.values()]]
    sweep_by(state, group, min(ends))


def sweep_by(state: RouterState, group: Group, at_us: int) -> None:
    """Look at a group at this time at the latest, if not before."""
    at_us = max(at_us, state.now_us + state.tick_us)
    if at_us < group.sweep_due_us:
        group.sweep_due_us = at_us
        heapq.heappush(state.due_sweeps, (at_us, group.id))
