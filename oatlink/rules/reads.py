"""Which member takes a request now."""

from oatlink.interface import Freshness, Role
from oatlink.router_state import Group, Member, Request, RouterState
from oatlink.rules import checks, concurrency, parameters, queueing, service_time


def choose_member(state: RouterState, request: Request) -> Member | None:
    """The member that takes a request now, or none."""
    group = state.groups[request.group]
    primary = group.members.get(group.primary) if group.primary is not None else None
    if request.request_class.freshness is Freshness.WRITE:
        if primary is not None and concurrency.has_capacity(state, primary, 1.0, request):
            return primary
        return None
    need, replicas = queueing.min_position_us(state, request), trusted_replicas(state, group)
    fit = [one for one in replicas if one.position_us >= need]
    tried, may_ask = request.tried_members, state.settings.may_probe and need <= state.now_us
    best = _choose_in_turn(state, [one for one in fit if one.entry.member not in tried])
    if best is not None and best.outstanding and request.request_class.freshness is Freshness.BOUNDED:
        # Threat: the one replica whose position is known takes all reads, while others stand free.
        _check_next(state, replicas, state.now_us - state.staleness_bound_us // 2)
    if best is None and not fit and state.settings.members_check_reads:
        best = _choose_most_advanced(state, [one for one in replicas if one.entry.member not in tried], need)
    elif best is None and may_ask and _request_report(state, request, group):
        return None
    # Threat: reads crowd out writes. Those with a choice get half the room, current ones three quarters.
    share = 0.75 if request.request_class.freshness is Freshness.LATEST else 0.5
    may_spill = request.is_primary_only or request.admission_draw <= state.spill_ratio
    may_take = best is None and primary is not None and may_spill
    if may_take and primary is not None and concurrency.has_capacity(state, primary, share, request):
        best, state.spilled_us = primary, state.spilled_us if request.is_primary_only else state.now_us
    return best or _choose_in_turn(state, fit)


def trusted_replicas(state: RouterState, group: Group) -> list[Member]:
    """The replicas that no overdue check holds back."""
    replicas = [one for one in group.members.values() if one.role is Role.REPLICA]
    return [one for one in replicas if not checks.is_in_doubt(state, one)]


def _choose_most_advanced(state: RouterState, replicas: list[Member], need: int) -> Member | None:
    """Replicas near enough when last heard take turns, else the most advanced. A miss costs little."""
    likely = [one for one in replicas if state.now_us - one.lag_us >= need]
    return _choose_in_turn(state, likely) or min(replicas, key=lambda one: one.lag_us, default=None)


def _request_report(state: RouterState, request: Request, group: Group) -> bool:
    """Whether a report may let a replica take a read. Threat: all reads are left to the primary."""
    if request.request_class.freshness not in (Freshness.BOUNDED, Freshness.SESSION):
        return False
    replicas = [one for one in group.members.values() if one.role is Role.REPLICA and not one.is_draining]
    if any(one.check_sent_us is not None and not checks.is_in_doubt(state, one) for one in replicas):
        return True
    before_us = min(request.arrived_us, state.now_us - state.staleness_bound_us // 4)
    if request.check_count >= queueing.READ_CHECKS_COUNT:
        return False
    member = _check_next(state, replicas, before_us)
    if member is None:
        return False
    request.check_count += 1
    if request.check_count == queueing.READ_CHECKS_COUNT and request.id in state.pending[group.id]:
        queueing.requeue(state, state.pending[group.id], request)
    return member.check_sent_us is not None


def _check_next(state: RouterState, replicas: list[Member], before_us: int) -> Member | None:
    """Check the next in turn of those with room that were last asked before this time."""
    member = _choose_in_turn(state, [one for one in replicas if one.checked_us < before_us])
    if member is not None:
        checks.check(state, member)
    return member


def _choose_in_turn(state: RouterState, members: list[Member]) -> Member | None:
    """Take turns over the members with room, passing over long waits, the own zone first."""
    free = [one for one in members if concurrency.has_capacity(state, one, 1.0)]
    waits = [(_expected_wait(state, one), one) for one in free]
    limit = 1.2 * min((wait for wait, _ in waits), default=0.0)
    quick = [one for wait, one in waits if wait <= limit]
    return min(quick, key=lambda one: one.round_robin_position, default=None)


def _expected_wait(state: RouterState, member: Member) -> float:
    """What a new attempt may take there, by its answers and what is out; other zones cost more."""
    base = member.average_service_us
    if not base or state.now_us - member.answered_us >= 2 * parameters.HEARTBEAT_US:
        base = service_time.typical_us(state, state.groups[member.entry.group])
    if member.outstanding:
        base = max(base, float(state.now_us - next(iter(member.outstanding.values()))))
    later = member.answered_us < member.entry.suspicion[0] and state.now_us < member.entry.suspicion[1]
    wait = base * (1 + len(member.outstanding) + later) * (1 + min(member.refused_connection_count, 2))
    return wait if member.entry.zone == state.settings.zone else 1.25 * wait
