"""Decides when a group is swept next.

A sweep dispatches pending requests, ends expired ones and checks silent members. One timer serves the sweeps
of all groups.
"""

import heapq

from oatlink.router_state import NEVER, Group, RouterState
from oatlink.rules import checks, parameters, service_time


def plan_sweep(state: RouterState, group: Group) -> None:
    """Plan the next sweep: soon while requests are pending, else when an attempt becomes overdue."""
    pending = state.pending[group.id]
    soon_us = state.now_us + parameters.PENDING_CHECK_US // 5
    if group.sweep_due_us <= (soon_us if pending.entries else state.now_us + state.tick_us):
        return
    members = group.members.values()
    if pending.entries:
        times = [soon_us, pending.next_end_us(service_time.reserve_us(state, group))]
        times += [member.paused_until_us for member in members if member.paused_until_us > state.now_us]
    else:
        times = [NEVER, *[round(checks.overdue_at(state, group, member)) for member in members]]
    sweep_by(state, group, min(times))


def sweep_by(state: RouterState, group: Group, at_us: int) -> None:
    """Sweep a group at this time at the latest, but not within the next tick."""
    at_us = max(at_us, state.now_us + state.tick_us)
    if at_us < group.sweep_due_us:
        group.sweep_due_us = at_us
        heapq.heappush(state.due_sweeps, (at_us, group.id))
