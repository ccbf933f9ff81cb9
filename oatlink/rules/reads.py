"""Decides which member takes a request now."""

from oatlink.interface import Freshness, Role
from oatlink.router_state import Group, Member, Request, RouterState
from oatlink.rules import checks, concurrency, parameters, queueing, service_time

LATEST_READ_SHARE = 0.75  # of a primary's limit, for reads that must be current; the rest is left for writes
SPILLED_READ_SHARE = 0.5  # of a primary's limit, for reads that replicas could take too


def choose_member(state: RouterState, request: Request) -> Member | None:
    """The member that takes a request now, or none."""
    group = state.groups[request.group]
    primary = group.members.get(group.primary) if group.primary is not None else None
    freshness = request.request_class.freshness
    if freshness is Freshness.WRITE:
        if primary is not None and concurrency.has_capacity(state, primary, 1.0, request):
            return primary
        return None
    position_us, replicas = queueing.min_position_us(state, request), trusted_replicas(state, group)
    fresh = [member for member in replicas if member.position_us >= position_us]
    best = _choose_in_turn(state, _untried(request, fresh))
    if best is not None and best.outstanding and freshness is Freshness.BOUNDED:
        # Otherwise the one replica whose position is known would get all reads while others are idle.
        _check_next(state, replicas, state.now_us - state.staleness_bound_us // 2)
    may_check = state.settings.may_probe and position_us <= state.now_us
    if best is None and not fresh and state.settings.members_check_reads:
        best = _choose_most_advanced(state, _untried(request, replicas), position_us)
    elif best is None and may_check and _request_report(state, request, group):
        return None
    if best is None and primary is not None and _may_take_read(state, primary, request):
        best, state.spilled_us = primary, state.spilled_us if request.is_primary_only else state.now_us
    return best or _choose_in_turn(state, fresh)


def trusted_replicas(state: RouterState, group: Group) -> list[Member]:
    """The replicas without an overdue check."""
    replicas = [member for member in group.members.values() if member.role is Role.REPLICA]
    return [member for member in replicas if not checks.is_in_doubt(state, member)]


def _untried(request: Request, members: list[Member]) -> list[Member]:
    return [member for member in members if member.entry.member not in request.tried_members]


def _may_take_read(state: RouterState, primary: Member, request: Request) -> bool:
    """Whether a primary may take a read; only within a share of its limit, so that writes fit too."""
    if not (request.is_primary_only or request.admission_draw <= state.spill_ratio):
        return False
    is_latest = request.request_class.freshness is Freshness.LATEST
    share = LATEST_READ_SHARE if is_latest else SPILLED_READ_SHARE
    return concurrency.has_capacity(state, primary, share, request)


def _choose_most_advanced(state: RouterState, replicas: list[Member], position_us: int) -> Member | None:
    """One of the replicas likely to be at a position, by their last lag, else that with the least lag.

    Where members check reads themselves, a wrong choice costs little: the read is refused, then sent
    elsewhere.
    """
    likely = [member for member in replicas if state.now_us - member.lag_us >= position_us]
    return _choose_in_turn(state, likely) or min(replicas, key=lambda member: member.lag_us, default=None)


def _request_report(state: RouterState, request: Request, group: Group) -> bool:
    """Whether a report is awaited that may let a replica take a read; asks for one if none is.

    Otherwise all reads would go to the primary when no replica's position is known to be recent enough.
    """
    if request.request_class.freshness not in (Freshness.BOUNDED, Freshness.SESSION):
        return False
    members = group.members.values()
    replicas = [member for member in members if member.role is Role.REPLICA and not member.is_draining]
    awaited = [member for member in replicas if member.check_sent_us is not None]
    if any(not checks.is_in_doubt(state, member) for member in awaited):
        return True
    if request.check_count >= queueing.READ_CHECKS_COUNT:
        return False
    before_us = min(request.arrived_us, state.now_us - state.staleness_bound_us // 4)
    member = _check_next(state, replicas, before_us)
    if member is None:
        return False
    request.check_count += 1
    if request.check_count == queueing.READ_CHECKS_COUNT and request.id in state.pending[group.id]:
        queueing.requeue(state, state.pending[group.id], request)
    return member.check_sent_us is not None


def _check_next(state: RouterState, replicas: list[Member], before_us: int) -> Member | None:
    """Check the next replica, in turn, of those with capacity that were last checked before this time."""
    member = _choose_in_turn(state, [member for member in replicas if member.checked_us < before_us])
    if member is not None:
        checks.check(state, member)
    return member


def _choose_in_turn(state: RouterState, members: list[Member]) -> Member | None:
    """Round robin over the members with capacity whose expected wait is at most 1.2 times the shortest."""
    free = [member for member in members if concurrency.has_capacity(state, member, 1.0)]
    waits = [(_expected_wait(state, member), member) for member in free]
    limit = 1.2 * min((wait for wait, _ in waits), default=0.0)
    quick = [member for wait, member in waits if wait <= limit]
    return min(quick, key=lambda member: member.round_robin_position, default=None)


def _expected_wait(state: RouterState, member: Member) -> float:
    """How long a new attempt may take at a member, by its answers and outstanding attempts."""
    base = member.average_service_us
    if not base or state.now_us - member.answered_us >= 2 * parameters.HEARTBEAT_US:
        base = service_time.typical_us(state, state.groups[member.entry.group])
    if member.outstanding:
        oldest_sent_us = next(iter(member.outstanding.values()))
        base = max(base, float(state.now_us - oldest_sent_us))
    failed_us, until_us = member.entry.suspicion
    is_suspect = member.answered_us < failed_us and state.now_us < until_us
    wait = base * (1 + len(member.outstanding) + is_suspect) * (1 + min(member.refused_connection_count, 2))
    return wait if member.entry.zone == state.settings.zone else 1.25 * wait
