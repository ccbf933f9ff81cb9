"""Decides which member of a group is its primary."""

from oatlink.interface import Effect, Log, Report, Role
from oatlink.router_state import Member, RouterState
from oatlink.rules import checks, parameters, queueing, sweeps
from oatlink.state import LONG_AGO


def record_report(state: RouterState, member: Member, report: Report | None, is_current: bool) -> None:
    """Set a member's role, position and time heard.

    What a report says was true at the time of its position, or now (`is_current`). It does not replace a role
    that was true at a later time.
    """
    member.heard_us = state.now_us
    if report is None:
        return
    true_us = state.now_us if is_current or report.position_us is None else report.position_us
    if report.position_us is not None:
        member.position_us = max(member.position_us, report.position_us)
        member.lag_us = state.now_us - member.position_us
    if report.role is Role.PRIMARY:
        _record_claim(state, member, true_us)
    elif report.role is Role.REPLICA and (member.role is not Role.PRIMARY or true_us >= member.role_us):
        group = state.groups[member.entry.group]
        if group.primary == member.entry.member:
            group.primary, group.primary_lost_us = None, state.now_us
        member.role, member.role_us = Role.REPLICA, max(member.role_us, true_us)
        member.denied_primary_us = state.now_us


def _record_claim(state: RouterState, member: Member, true_us: int) -> None:
    """Record that a member claims to be primary.

    A group has one primary: the later claim counts, and the member with the earlier claim is checked at once.
    """
    group = state.groups[member.entry.group]
    if true_us < member.role_us:
        return
    current = group.members.get(group.primary) if group.primary is not None else None
    if current is not None and current is not member:
        if current.role_us > true_us:
            return
        current.role, group.primary = Role.UNKNOWN, None
        checks.check(state, current)
    member.role, member.role_us, member.denied_primary_us = Role.PRIMARY, true_us, LONG_AGO
    if group.primary is None and not member.is_draining:
        group.primary, group.primary_known_us = member.entry.member, state.now_us
        state.actions.append(Log(f"group {group.id}: primary is {group.primary}"))


def adopt_listed_role(state: RouterState, member: Member) -> None:
    """Use the role that discovery lists, where members don't report theirs, until an answer shows another.

    Lists name a new primary late: one that still names a member as primary after it has denied that is older
    than the denial and does not count, until it must be newer or names the member anew.
    """
    if not member.entry.primary:
        member.role = Role.REPLICA
    elif state.now_us - member.denied_primary_us > parameters.LISTED_ROLE_MAX_DELAY_US:
        _record_claim(state, member, member.role_us)


def record_listing(member: Member, is_listed_as_primary: bool) -> None:
    """Note a member's listing: if it is named as primary anew, what it denied before does not count."""
    if is_listed_as_primary and not member.entry.primary:
        member.denied_primary_us = LONG_AGO


def record_denial(state: RouterState, member: Member) -> None:
    """Record that a member has turned a write away because it is no primary."""
    member.denied_primary_us = state.now_us
    mark_unknown(state, member)


def mark_unknown(state: RouterState, member: Member) -> None:
    """Make a member's role unknown, and queue its outstanding idempotent requests for other members.

    Otherwise requests at a member that has fallen silent would wait for it until they expire.
    """
    group = state.groups[member.entry.group]
    if group.primary == member.entry.member:
        group.primary, group.primary_lost_us = None, state.now_us
        state.actions.append(Log(f"group {group.id}: primary {member.entry.member} lost"))
    member.role, member.role_us = Role.UNKNOWN, max(member.role_us, state.now_us)
    for request_id, _ in list(member.outstanding):
        request = state.requests.get(request_id)
        if request is not None and request.request_class.effect is Effect.IDEMPOTENT and not request.has_copy:
            request.has_copy = True
            request.tried_members.append(member.entry.member)
            queueing.enqueue(state, group, request)
    sweeps.plan_sweep(state, group)
