"""How much may be out at a member, and what share of its group's requests is let in."""

from oatlink.interface import AttemptEnded, Outcome
from oatlink.router_state import Member, Request, RouterState
from oatlink.rules import checks, cold, parameters, service_time, sweeps

MIN_ADMISSION_RATIO = 0.05  # to a group whose answers are slow: enough to see it recover


def has_capacity(state: RouterState, member: Member, share: float, request: Request | None = None) -> bool:
    """Whether a member may have one more attempt out, or this request."""
    return is_below_limit(state, member, share) and cold.within_budget(state, member, 1.0, request)


def is_below_limit(state: RouterState, member: Member, share: float) -> bool:
    """Whether one more attempt is within a share of what a member has shown it can hold."""
    shown = max(1.0, member.concurrency_limit * share * cold.warmth(state, member))
    return (
        not member.is_draining
        and not checks.is_in_doubt(state, member)
        and state.now_us >= member.paused_until_us
        and len(member.outstanding) + 1 <= shown
    )


def record_outcome(state: RouterState, member: Member, event: AttemptEnded) -> None:
    """Room follows what a member shows: more while answers come in good time, less when slow or full."""
    group = state.groups[member.entry.group]
    if event.outcome is Outcome.SERVED:
        member.answer_rate = cold.answer_rate(state, member) + 1e6 / parameters.HEARTBEAT_US
        member.answer_rate_us, member.refused_connection_count = state.now_us, 0
        state.answers_per_arrival += 0.05
        # Threat: a first guess far above what answers take keeps a member out of the turn for long.
        weight = 0.1 if member.average_service_us else 1.0
        member.average_service_us += weight * (event.duration_us - member.average_service_us)
        group.typical_service_us = -1.0
        state.average_service_us += 0.05 * (event.duration_us - state.average_service_us)
        group.average_service_us += 0.05 * (event.duration_us - group.average_service_us)
        request = state.requests.get(event.request)
        service_us = event.duration_us - member.check_cost_us  # without the way there, as checks show it
        slow = request is not None and service_us > request.request_class.aim_us / 2
        _adjust_admission(state, member, slow)
        if member.average_service_us > state.target_service_us:
            _reduce_limit(state, member)
        elif len(member.outstanding) + 1 >= member.concurrency_limit / 2:
            member.concurrency_limit += min(0.25 * member.concurrency_limit, 1.0 / member.concurrency_limit)
    elif event.outcome is Outcome.FULL:
        _pause_member(state, member, 4 * state.tick_us)
        _reduce_limit(state, member)
        _adjust_admission(state, member, True)
    elif event.outcome is Outcome.LATE and event.duration_us > state.target_service_us:  # else a short wait
        _reduce_limit(state, member)
        if service_time.typical_us(state, group) > state.target_service_us:
            _adjust_admission(state, member, True)  # where other answers are quick, this one was lost
    elif event.outcome is Outcome.NO_CONNECTION:  # Threat: it takes few. Each next try waits longer
        pause_us = state.tick_us << min(member.refused_connection_count, 8)
        _pause_member(state, member, min(pause_us, parameters.PENDING_CHECK_US))
        member.refused_connection_count += 1


def _pause_member(state: RouterState, member: Member, pause_us: int) -> None:
    """Nothing more to a member for about this long."""
    member.paused_until_us = state.now_us + round(pause_us * state.random.uniform(0.5, 1.5))
    sweeps.sweep_by(state, state.groups[member.entry.group], member.paused_until_us)


def _reduce_limit(state: RouterState, member: Member) -> None:
    """Less room, once for each round of answers."""
    if state.now_us - member.limit_reduced_us >= member.average_service_us:
        member.concurrency_limit = max(1.0, 0.8 * member.concurrency_limit)
        member.limit_reduced_us = state.now_us


def _adjust_admission(state: RouterState, member: Member, slow: bool) -> None:
    """Threat: one attempt of each of many routers is already too much; room cannot fall below one."""
    # Then a share is let in by chance: first, at a primary, of what has a choice, then of all the group's.
    group = state.groups[member.entry.group]
    lends = group.primary == member.entry.member and state.now_us - state.spilled_us < parameters.HEARTBEAT_US
    if not slow:
        group.admission_ratio = min(1.0, group.admission_ratio + 0.05)
        state.spill_ratio = min(1.0, (1.05 if lends else 1.0) * state.spill_ratio)
    elif lends and state.spill_ratio > MIN_ADMISSION_RATIO:
        state.spill_ratio *= 0.8
    elif member.concurrency_limit <= 1.0 and state.settings.peers > parameters.FEW_PEERS_COUNT:
        group.admission_ratio = max(MIN_ADMISSION_RATIO, 0.8 * group.admission_ratio)
