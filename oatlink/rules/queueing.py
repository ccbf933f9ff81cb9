"""In what order is held what cannot be sent, and when holding on stops making sense."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Group, PendingRequests, QueueKey, Request, RouterState
from oatlink.rules import service_time, sessions

READ_CHECKS_COUNT = 2  # before a read goes to the primary


def min_position_us(state: RouterState, request: Request) -> int:
    """The position that a read must see."""
    if request.request_class.freshness is api.Freshness.SESSION:
        return sessions.min_position_us(state, request, state.now_us)
    if request.request_class.freshness is api.Freshness.BOUNDED:
        return max(state.now_us - request.request_class.staleness_us, request.min_position_us or -1)
    return -1 if request.min_position_us is None else request.min_position_us


def enqueue(state: RouterState, group: Group, request: Request) -> None:
    """Keep a request until its group can take it, in the row of its kind, the older first."""
    holds = state.pending[group.id]
    requeue(state, holds, request)
    end, half, last = _end_times(state, request)
    holds.set_ends(request, end - half, end, last)


def requeue(
    state: RouterState,
    pending: PendingRequests,
    request: Request,
    key: QueueKey | None = None,
) -> None:
    """Put a request, or move it, to the row of this kind, else of its own."""
    position_us = sessions.min_position_us(state, request, NEVER)
    pending.add(request, key or queue_key(state, request), position_us)


def queue_key(state: RouterState, request: Request) -> QueueKey:
    """What one request must share with another to stand for it."""
    return (
        request.request_class.name,
        request.worth,
        _is_late(state, request),
        tuple(request.tried_members),
        request.check_count >= READ_CHECKS_COUNT,
        request.admission_draw if request.is_primary_only else 0.0,
    )


def separate_late(state: RouterState, holds: PendingRequests) -> None:
    """What has become late since goes to the row of the late."""
    for kind, row in list(holds.queues.items()):
        request = None if kind[2] else row.oldest()
        while request is not None and _is_late(state, request):
            requeue(state, holds, request)
            request = row.oldest()


def urgency(state: RouterState, request: Request) -> tuple[float, int]:
    """What serving a held request now earns: more first, then the older."""
    factor = request.request_class.late_worth if _is_late(state, request) else 1.0
    return -request.worth * factor, request.arrived_us


def _is_late(state: RouterState, request: Request) -> bool:
    return state.now_us > request.arrived_us + request.request_class.aim_us


def give_up_at(state: RouterState, request: Request) -> int:
    """When holding on stops making sense: an answer would come past the aim or the deadline."""
    end, half, last = _end_times(state, request)
    # Threat: work sent just before its end is done for nobody. The next sweep may be too late, too.
    return min(end - min(service_time.reserve_us(state, state.groups[request.group]), half), last)


def _end_times(state: RouterState, request: Request) -> tuple[int, int, int]:
    """When an answer is too late, the most left out of that for the usual answer, the very end."""
    rule, past_us = request.request_class, request.arrived_us + request.request_class.aim_us
    end = request.expires_us if rule.late_worth > 0 else min(request.expires_us, past_us)
    last = request.expires_us - state.margin_us - state.tick_us
    if not request.attempts and rule.effect is api.Effect.IDEMPOTENT:
        # Threat: a client kept waiting for nothing, with no time left to ask elsewhere or again.
        half = (request.expires_us - request.arrived_us) // 2
        last = min(last, request.arrived_us + half - state.margin_us - state.tick_us)
    if request.may_have_run_us is not None and rule.effect is api.Effect.KEYED:
        last = min(last, request.may_have_run_us + rule.repeat_window_us - state.margin_us)
    return end, max(rule.aim_us, end - request.arrived_us) // 2, last


def give_up(state: RouterState, request: Request) -> None:
    """The final answer, at once: a refusal where trying again is harmless, else a failure."""
    rule = request.request_class
    harmless = rule.effect is api.Effect.IDEMPOTENT or not request.may_have_run
    if harmless and state.now_us < request.expires_us - state.margin_us:
        past = rule.late_worth <= 0 and state.now_us >= request.arrived_us + rule.aim_us
        wait = state.settings.max_retry_after_us * (1.0 if past else state.random.uniform(0.25, 1.0))
        state.actions.append(api.Refuse(request.id, round(wait)))
    else:
        state.actions.append(api.Fail(request.id))
    forget(state, request.id)


def forget(state: RouterState, request_id: str, has_left: bool = False) -> None:
    """A request has ended. Threat: its client has left; its write, still out, binds its session's reads."""
    request = state.requests.get(request_id)
    if request is not None:
        state.pending[request.group].remove(request_id)
        request.expires_us = state.now_us  # no more is sent
        write = request.request_class.freshness is api.Freshness.WRITE
        if not (has_left and write and any(one.is_outstanding for one in request.attempts)):
            sessions.settle_write(state, request, is_over=True)
            del state.requests[request_id]
