"""What is sent now, and what waits."""

import heapq

from oatlink.interface import Freshness
from oatlink.router_state import LONG_AGO, Group, PendingQueue, QueueKey, Request, RouterState
from oatlink.rules import concurrency, queueing, reads, sending, sweeps


def submit(state: RouterState, request: Request, wait: bool = False) -> None:
    """Send a request, or hold it. Threat: clients that wait less than answers take fill the members."""
    end_us = queueing.give_up_at(state, request)
    brief = not request.attempts and state.now_us >= end_us
    member = None if wait or brief else state.choose_member(state, request)
    if member is None or not sending.send(state, request, member):
        queueing.enqueue(state, state.groups[request.group], request)
        if state.now_us >= end_us:
            queueing.give_up(state, request)
        else:
            sweeps.sweep_by(state, state.groups[request.group], end_us)


def dispatch_pending(state: RouterState, group: Group) -> None:
    """Send what is held for a group, the most urgent worth first, as far as there is room."""
    holds = state.pending[group.id]
    if state.more_follow and holds.entries:
        state.deferred_groups[group.id] = None
        return
    if holds.entries and any(concurrency.is_below_limit(state, one, 1.0) for one in group.members.values()):
        queueing.separate_late(state, holds)
        heads = [(kind, row.oldest()) for kind, row in holds.queues.items()]
        waiting = [(queueing.urgency(state, head), kind) for kind, head in heads if head is not None]
        heapq.heapify(waiting)
        aside: list[tuple[Request, QueueKey]] = []
        while waiting:
            urgency, kind = heapq.heappop(waiting)
            row = holds.queues.get(kind)
            request = _next_ready(state, group, row) if row is not None else None
            if row is None or request is None:
                continue
            if queueing.urgency(state, request) > urgency:  # older ones of its row find no member
                heapq.heappush(waiting, (queueing.urgency(state, request), kind))
                continue
            member = state.choose_member(state, request)
            if member is None or not sending.send(state, request, member):
                row.remove(request)
                aside.append((request, kind))
            if row.requests:
                heapq.heappush(waiting, (urgency, kind))
        for request, kind in aside:
            queueing.requeue(state, holds, request, kind)
    sweeps.plan_sweep(state, group)


def _next_ready(state: RouterState, group: Group, row: PendingQueue) -> Request | None:
    """The oldest request of a row that finds a member now, if any does."""
    # Threat: thousands of holds, each tried at every answer. One of a row stands for the others: all need
    # as much, or the later ones more; where needs differ (sessions), a position serves all that need less.
    oldest = row.oldest()
    if oldest is None:
        return None
    if oldest.request_class.freshness is Freshness.SESSION:
        ready = reads.trusted_replicas(state, group)
        most = fits = max((one.position_us for one in ready), default=LONG_AGO)
        primary = group.members.get(group.primary) if group.primary is not None else None
        if primary is None or not concurrency.has_capacity(state, primary, 0.5):
            free = [one for one in ready if concurrency.has_capacity(state, one, 1.0)]
            most = max((one.position_us for one in free), default=LONG_AGO)
        beyond = row.newest(fits)
        if beyond is not None and state.choose_member(state, beyond) is not None:
            return oldest
        return row.oldest(most)
    if state.choose_member(state, oldest) is not None:
        return oldest
    newest = row.newest(LONG_AGO)
    if newest is not None and newest is not oldest and oldest.request_class.freshness is Freshness.BOUNDED:
        # No report has been asked for since it came, as one may since the oldest.
        state.choose_member(state, newest)
    return None
