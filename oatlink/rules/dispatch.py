"""Decides which requests are sent now, and which wait."""

import heapq

from oatlink.interface import Freshness
from oatlink.router_state import LONG_AGO, Group, PendingQueue, QueueKey, Request, RouterState
from oatlink.rules import concurrency, queueing, reads, sending, sweeps


def submit(state: RouterState, request: Request, must_wait: bool = False) -> None:
    """Send a request, or make it pending, or give it up if no answer can come in time.

    Without the last, clients whose time limit is shorter than an answer takes would fill the members with
    useless work.
    """
    end_us = queueing.give_up_at(state, request)
    is_too_short = not request.attempts and state.now_us >= end_us
    member = None if must_wait or is_too_short else state.choose_member(state, request)
    if member is None or not sending.send(state, request, member):
        queueing.enqueue(state, state.groups[request.group], request)
        if state.now_us >= end_us:
            queueing.give_up(state, request)
        else:
            sweeps.sweep_by(state, state.groups[request.group], end_us)


def dispatch_pending(state: RouterState, group: Group) -> None:
    """Send what is pending for a group, the most urgent first, as far as members have capacity."""
    pending = state.pending[group.id]
    if state.more_follow and pending.entries:
        state.deferred_groups[group.id] = None
        return
    members = group.members.values()
    if pending.entries and any(concurrency.is_below_limit(state, member, 1.0) for member in members):
        queueing.separate_late(state, pending)
        heads = [(key, queue.oldest()) for key, queue in pending.queues.items()]
        waiting = [(queueing.urgency(state, head), key) for key, head in heads if head is not None]
        heapq.heapify(waiting)
        unsent: list[tuple[Request, QueueKey]] = []
        while waiting:
            urgency, key = heapq.heappop(waiting)
            queue = pending.queues.get(key)
            request = _next_ready(state, group, queue) if queue is not None else None
            if queue is None or request is None:
                continue
            if queueing.urgency(state, request) > urgency:  # no member takes the older ones of its queue
                heapq.heappush(waiting, (queueing.urgency(state, request), key))
                continue
            member = state.choose_member(state, request)
            if member is None or not sending.send(state, request, member):
                queue.remove(request)
                unsent.append((request, key))
            if queue.requests:
                heapq.heappush(waiting, (urgency, key))
        for request, key in unsent:
            queueing.requeue(state, pending, request, key)
    sweeps.plan_sweep(state, group)


def _next_ready(state: RouterState, group: Group, queue: PendingQueue) -> Request | None:
    """The oldest request of a queue that a member can take now, or None.

    Trying each of thousands of pending requests at every answer would cost too much, so one request stands
    for its queue: the others need the same position or, if they are newer, a later one. In a queue of session
    reads the positions differ; there a member's position serves all requests that need it or an earlier one.
    """
    oldest = queue.oldest()
    if oldest is None:
        return None
    if oldest.request_class.freshness is Freshness.SESSION:
        return _next_session_read(state, group, queue, oldest)
    if state.choose_member(state, oldest) is not None:
        return oldest
    newest = queue.newest(LONG_AGO)
    if newest is not None and newest is not oldest and oldest.request_class.freshness is Freshness.BOUNDED:
        # Choosing a member may ask a replica for a report. One may have been asked since the oldest request
        # arrived, but none since the newest did.
        state.choose_member(state, newest)
    return None


def _next_session_read(
    state: RouterState,
    group: Group,
    queue: PendingQueue,
    oldest: Request,
) -> Request | None:
    """The oldest read that a replica's position or the primary serves."""
    replicas = reads.trusted_replicas(state, group)
    served_us = newest_us = max((member.position_us for member in replicas), default=LONG_AGO)
    primary = group.members.get(group.primary) if group.primary is not None else None
    if primary is None or not concurrency.has_capacity(state, primary, reads.SPILLED_READ_SHARE):
        free = [member for member in replicas if concurrency.has_capacity(state, member, 1.0)]
        served_us = max((member.position_us for member in free), default=LONG_AGO)
    beyond = queue.newest(newest_us)
    if beyond is not None and state.choose_member(state, beyond) is not None:
        return oldest
    return queue.oldest(served_us)
