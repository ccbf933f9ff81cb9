"""Decides the order of the requests that can't be sent yet, and when they are given up."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Group, PendingRequests, QueueKey, Request, RouterState
from oatlink.rules import service_time, sessions

READ_CHECKS_COUNT = 2  # checks of replicas on behalf of a read before it may go to the primary


def min_position_us(state: RouterState, request: Request) -> int:
    """The position that a read must see; -1 where any will do."""
    if request.request_class.freshness is api.Freshness.SESSION:
        return sessions.min_position_us(state, request, state.now_us)
    if request.request_class.freshness is api.Freshness.BOUNDED:
        return max(state.now_us - request.request_class.staleness_us, request.min_position_us or -1)
    return -1 if request.min_position_us is None else request.min_position_us


def enqueue(state: RouterState, group: Group, request: Request) -> None:
    """Keep a request until its group can take it, in the queue of its key, in order of arrival."""
    pending = state.pending[group.id]
    requeue(state, pending, request)
    end_us, max_reserve_us, latest_us = _end_times(state, request)
    pending.set_ends(request, end_us - max_reserve_us, end_us, latest_us)


def requeue(
    state: RouterState,
    pending: PendingRequests,
    request: Request,
    key: QueueKey | None = None,
) -> None:
    """Add or move a request to the queue of this key, by default of its own."""
    position_us = sessions.min_position_us(state, request, NEVER)
    pending.add(request, key or queue_key(state, request), position_us)


def queue_key(state: RouterState, request: Request) -> QueueKey:
    """What requests in one queue have in common, so that one can stand for the others (`dispatch`)."""
    return (
        request.request_class.name,
        request.worth,
        _is_late(state, request),
        tuple(request.tried_members),
        request.check_count >= READ_CHECKS_COUNT,
        request.admission_draw if request.is_primary_only else 0.0,
    )


def separate_late(state: RouterState, pending: PendingRequests) -> None:
    """Move the requests that have become late meanwhile to the queues of late ones."""
    for key, queue in list(pending.queues.items()):
        request = None if key[2] else queue.oldest()
        while request is not None and _is_late(state, request):
            requeue(state, pending, request)
            request = queue.oldest()


def urgency(state: RouterState, request: Request) -> tuple[float, int]:
    """The sort key of a pending request: what serving it now is worth, highest first, then its arrival."""
    factor = request.request_class.late_worth if _is_late(state, request) else 1.0
    return -request.worth * factor, request.arrived_us


def _is_late(state: RouterState, request: Request) -> bool:
    return state.now_us > request.arrived_us + request.request_class.aim_us


def give_up_at(state: RouterState, request: Request) -> int:
    """When to give up a pending request because its answer would come after the aim or the deadline.

    Otherwise a member would work on a request that ends before its answer. The next planned sweep may be too
    late for that, so `dispatch.submit` plans one for this time.
    """
    end_us, max_reserve_us, latest_us = _end_times(state, request)
    reserve_us = service_time.reserve_us(state, state.groups[request.group])
    return min(end_us - min(reserve_us, max_reserve_us), latest_us)


def _end_times(state: RouterState, request: Request) -> tuple[int, int, int]:
    """When an answer is too late, the longest time to reserve for serving, and the last time to give up."""
    rule, aim_end_us = request.request_class, request.arrived_us + request.request_class.aim_us
    end_us = request.expires_us if rule.late_worth > 0 else min(request.expires_us, aim_end_us)
    latest_us = request.expires_us - state.margin_us - state.tick_us
    if not request.attempts and rule.effect is api.Effect.IDEMPOTENT:
        # A client refused after half its time can still ask elsewhere or again, and has not waited in vain.
        half_us = (request.expires_us - request.arrived_us) // 2
        latest_us = min(latest_us, request.arrived_us + half_us - state.margin_us - state.tick_us)
    if request.may_have_run_us is not None and rule.effect is api.Effect.KEYED:
        latest_us = min(latest_us, request.may_have_run_us + rule.repeat_window_us - state.margin_us)
    return end_us, max(rule.aim_us, end_us - request.arrived_us) // 2, latest_us


def give_up(state: RouterState, request: Request) -> None:
    """End a request at once: refuse it where the client may safely try again, else fail it."""
    rule = request.request_class
    may_try_again = rule.effect is api.Effect.IDEMPOTENT or not request.may_have_run
    if may_try_again and state.now_us < request.expires_us - state.margin_us:
        is_worthless = rule.late_worth <= 0 and state.now_us >= request.arrived_us + rule.aim_us
        factor = 1.0 if is_worthless else state.random.uniform(0.25, 1.0)
        wait_us = state.settings.max_retry_after_us * factor
        state.actions.append(api.Refuse(request.id, round(wait_us)))
    else:
        state.actions.append(api.Fail(request.id))
    forget(state, request.id)


def forget(state: RouterState, request_id: str, has_left: bool = False) -> None:
    """Remove a request that has ended.

    A write is kept where its client has left (`has_left`) and an attempt is still outstanding: the session's
    reads must see it if it is committed.
    """
    request = state.requests.get(request_id)
    if request is not None:
        state.pending[request.group].remove(request_id)
        request.expires_us = state.now_us  # so that no attempt is sent or written any more
        is_write = request.request_class.freshness is api.Freshness.WRITE
        has_outstanding = any(attempt.is_outstanding for attempt in request.attempts)
        if not (has_left and is_write and has_outstanding):
            sessions.settle_write(state, request, is_over=True)
            del state.requests[request_id]
