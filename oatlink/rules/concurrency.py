"""Decides how many attempts may be outstanding at a member, and what share of requests is admitted."""

from oatlink.interface import AttemptEnded, Outcome
from oatlink.router_state import Group, Member, Request, RouterState
from oatlink.rules import checks, cold, parameters, service_time, sweeps

MIN_ADMISSION_RATIO = 0.05  # of the requests for a group whose answers are slow: enough to see it recover


def has_capacity(state: RouterState, member: Member, share: float, request: Request | None = None) -> bool:
    """Whether a member may be sent one more attempt, or this request, by its limit and its cold budget."""
    return is_below_limit(state, member, share) and cold.within_budget(state, member, 1.0, request)


def is_below_limit(state: RouterState, member: Member, share: float) -> bool:
    """Whether one more attempt is within a share of a member's limit. A single attempt always is."""
    limit = max(1.0, member.concurrency_limit * share * cold.warmth(state, member))
    return (
        not member.is_draining
        and not checks.is_in_doubt(state, member)
        and state.now_us >= member.paused_until_us
        and len(member.outstanding) + 1 <= limit
    )


def record_outcome(state: RouterState, member: Member, event: AttemptEnded) -> None:
    """Raise a member's limit and its group's admission on quick answers, else lower them (slow or `FULL`)."""
    group = state.groups[member.entry.group]
    if event.outcome is Outcome.SERVED:
        _record_answer(state, group, member, event)
    elif event.outcome is Outcome.FULL:
        _pause_member(state, member, 4 * state.tick_us)
        _reduce_limit(state, member)
        _adjust_admission(state, member, True)
    elif event.outcome is Outcome.LATE and event.duration_us > state.target_service_us:
        # A shorter wait says nothing: the client's own time limit was short.
        _reduce_limit(state, member)
        if service_time.typical_us(state, group) > state.target_service_us:
            _adjust_admission(state, member, True)  # if other answers are quick, only this one was lost
    elif event.outcome is Outcome.NO_CONNECTION:
        # The member takes few connections: each further attempt waits longer than the one before.
        pause_us = state.tick_us << min(member.refused_connection_count, 8)
        _pause_member(state, member, min(pause_us, parameters.PENDING_CHECK_US))
        member.refused_connection_count += 1


def _record_answer(state: RouterState, group: Group, member: Member, event: AttemptEnded) -> None:
    """Update rates and service times by an answer, then the member's limit and its group's admission."""
    member.answer_rate = cold.answer_rate(state, member) + 1e6 / parameters.HEARTBEAT_US
    member.answer_rate_us, member.refused_connection_count = state.now_us, 0
    state.answers_per_arrival += 0.05
    # The first answer sets the average. Starting from a guess far above real service times would leave a
    # member out of the round robin for long.
    weight = 0.1 if member.average_service_us else 1.0
    member.average_service_us += weight * (event.duration_us - member.average_service_us)
    group.typical_service_us = -1.0
    state.average_service_us += 0.05 * (event.duration_us - state.average_service_us)
    group.average_service_us += 0.05 * (event.duration_us - group.average_service_us)
    request = state.requests.get(event.request)
    # Less the network's time, taken to be that of a check.
    service_us = event.duration_us - member.check_cost_us
    is_slow = request is not None and service_us > request.request_class.aim_us / 2
    _adjust_admission(state, member, is_slow)
    if member.average_service_us > state.target_service_us:
        _reduce_limit(state, member)
    elif len(member.outstanding) + 1 >= member.concurrency_limit / 2:
        member.concurrency_limit += min(0.25 * member.concurrency_limit, 1.0 / member.concurrency_limit)


def _pause_member(state: RouterState, member: Member, pause_us: int) -> None:
    """Send nothing more to a member for about this long: 0.5 to 1.5 times, drawn at random."""
    member.paused_until_us = state.now_us + round(pause_us * state.random.uniform(0.5, 1.5))
    sweeps.sweep_by(state, state.groups[member.entry.group], member.paused_until_us)


def _reduce_limit(state: RouterState, member: Member) -> None:
    """Reduce a member's limit by a fifth, at most once in its average service time."""
    if state.now_us - member.limit_reduced_us >= member.average_service_us:
        member.concurrency_limit = max(1.0, 0.8 * member.concurrency_limit)
        member.limit_reduced_us = state.now_us


def _adjust_admission(state: RouterState, member: Member, is_slow: bool) -> None:
    """Raise or lower the share of requests that is admitted at random.

    A limit can't fall below one attempt, and with many routers one attempt of each may already be too much
    for a member. First the share of reads that spill over to a primary is lowered, as replicas can take them
    too, then the share of all requests for the group.
    """
    group = state.groups[member.entry.group]
    is_primary = group.primary == member.entry.member
    has_spilled = is_primary and state.now_us - state.spilled_us < parameters.HEARTBEAT_US
    if not is_slow:
        group.admission_ratio = min(1.0, group.admission_ratio + 0.05)
        state.spill_ratio = min(1.0, (1.05 if has_spilled else 1.0) * state.spill_ratio)
    elif has_spilled and state.spill_ratio > MIN_ADMISSION_RATIO:
        state.spill_ratio *= 0.8
    elif member.concurrency_limit <= 1.0 and state.settings.peers > parameters.FEW_PEERS_COUNT:
        group.admission_ratio = max(MIN_ADMISSION_RATIO, 0.8 * group.admission_ratio)
