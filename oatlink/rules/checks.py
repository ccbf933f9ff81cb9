"""When a member is asked how it is, and when an open question holds work back."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Group, Member, RouterState
from oatlink.rules import cold, parameters, service_time


def check(state: RouterState, member: Member) -> None:
    """Ask a member for its report, one check at a time; the cold budget counts it."""
    if not state.settings.may_probe or member.check_sent_us is not None or member.is_draining:
        return
    weight = min(1.0, member.check_cost_us / max(member.average_service_us, 10 * member.check_cost_us))
    if cold.within_budget(state, member, weight):
        member.tokens -= weight
        member.check_sent_us = member.checked_us = state.now_us
        state.actions.append(api.Check(member.entry.member))


def check_stale(state: RouterState, group: Group) -> None:
    """Check what has grown old, when a request comes. Threat: hundreds that check all the time."""
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
    """Ask a member again at the design's half seconds, but one that does not answer ever more rarely."""
    doublings = min(max(0, member.failed_check_count - 1), 4)
    if state.now_us - member.checked_us >= parameters.PENDING_CHECK_US << doublings:
        check(state, member)


def overdue_at(state: RouterState, group: Group, member: Member) -> float:
    """Threat: a member takes work and answers nothing. When to check it: work overdue, no word."""
    if not member.outstanding:
        return NEVER
    since = max(member.heard_us, next(iter(member.outstanding.values())), state.stalled_us)
    return max(since + 2 * service_time.typical_us(state, group), member.checked_us + state.target_service_us)


def is_in_doubt(state: RouterState, member: Member) -> bool:
    """Threat: a hung or unreachable member. A check that is overdue holds new work back until it ends."""
    sent_us = member.check_sent_us
    if sent_us is None or max(member.answered_us, state.stalled_us) >= sent_us:
        return False
    return member.connection_broken_us >= sent_us or state.now_us - sent_us > max(
        2 * state.tick_us, 4 * member.check_cost_us
    )
