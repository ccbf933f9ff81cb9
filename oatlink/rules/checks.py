"""Decides when a member is asked for its report, and when an unanswered check stops new work."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Group, Member, RouterState
from oatlink.rules import cold, parameters, service_time


def check(state: RouterState, member: Member) -> None:
    """Ask a member for its report. One check at a time; it counts against the budget of a cold member."""
    if not state.settings.may_probe or member.check_sent_us is not None or member.is_draining:
        return
    weight = min(1.0, member.check_cost_us / max(member.average_service_us, 10 * member.check_cost_us))
    if cold.within_budget(state, member, weight):
        member.tokens -= weight
        member.check_sent_us = member.checked_us = state.now_us
        state.actions.append(api.Check(member.entry.member))


def check_stale(state: RouterState, group: Group) -> None:
    """Check the members that were not heard of for `heartbeat_us`, and those whose role is unknown.

    This is called when a request arrives and not on a timer, so that hundreds of idle routers don't check all
    the time.
    """
    for member in group.members.values():
        if member.role is api.Role.UNKNOWN:
            _check_unknown(state, member)
        elif state.now_us - max(member.heard_us, member.checked_us) >= state.heartbeat_us:
            check(state, member)


def check_all(state: RouterState, group: Group) -> None:
    """Check every member of a group."""
    group.checked_us = state.now_us
    for member in group.members.values():
        _check_unknown(state, member)


def _check_unknown(state: RouterState, member: Member) -> None:
    """Check a member at most every half second, as designed; up to 16 times less often while checks fail."""
    doublings = min(max(0, member.failed_check_count - 1), 4)
    if state.now_us - member.checked_us >= parameters.PENDING_CHECK_US << doublings:
        check(state, member)


def overdue_at(state: RouterState, group: Group, member: Member) -> float:
    """When to check a member that has outstanding attempts and answers nothing.

    A member that has taken work is checked once it has been silent for twice the typical service time, so
    that its failure is noticed.
    """
    if not member.outstanding:
        return NEVER
    oldest_sent_us = next(iter(member.outstanding.values()))
    silent_since_us = max(member.heard_us, oldest_sent_us, state.stalled_us)
    overdue_us = silent_since_us + 2 * service_time.typical_us(state, group)
    return max(overdue_us, member.checked_us + state.target_service_us)


def is_in_doubt(state: RouterState, member: Member) -> bool:
    """Whether a check of this member is overdue; it then gets no new work until the check ends.

    This keeps further requests away from a member that hangs or can't be reached.
    """
    sent_us = member.check_sent_us
    if sent_us is None or max(member.answered_us, state.stalled_us) >= sent_us:
        return False
    patience_us = max(2 * state.tick_us, 4 * member.check_cost_us)
    return member.connection_broken_us >= sent_us or state.now_us - sent_us > patience_us
