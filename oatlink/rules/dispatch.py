"""What is sent now, and what waits."""

import heapq

from oatlink.interface import Freshness
from oatlink.router_state import LONG_AGO, Book, Group, Kind, Request, Row
from oatlink.rules import concurrency, queueing, reads, sending, sweeps


def place(book: Book, request: Request, wait: bool = False) -> None:
    """Send a request, or hold it. Threat: clients that wait less than answers take fill the members."""
    end_us = queueing.give_up_at(book, request)
    brief = not request.attempts and book.now >= end_us
    member = None if wait or brief else book.choose(book, request)
    if member is None or not sending.send(book, request, member):
        queueing.hold(book, book.groups[request.group], request)
        if book.now >= end_us:
            queueing.give_up(book, request)
        else:
            sweeps.look_by(book, book.groups[request.group], end_us)


def pump(book: Book, group: Group) -> None:
    """Send what is held for a group, the most urgent worth first, as far as there is room."""
    holds = book.holds[group.id]
    if book.more and holds.held:
        book.unsettled[group.id] = None
        return
    if holds.held and any(concurrency.is_free(book, one, 1.0) for one in group.members.values()):
        queueing.tidy_rows(book, holds)
        heads = [(kind, row.oldest()) for kind, row in holds.rows.items()]
        waiting = [(queueing.urgency(book, head), kind) for kind, head in heads if head is not None]
        heapq.heapify(waiting)
        aside: list[tuple[Request, Kind]] = []
        while waiting:
            urgency, kind = heapq.heappop(waiting)
            row = holds.rows.get(kind)
            request = _next(book, group, row) if row is not None else None
            if row is None or request is None:
                continue
            if queueing.urgency(book, request) > urgency:  # older ones of its row find no member
                heapq.heappush(waiting, (queueing.urgency(book, request), kind))
                continue
            member = book.choose(book, request)
            if member is None or not sending.send(book, request, member):
                row.drop(request)
                aside.append((request, kind))
            if row.held:
                heapq.heappush(waiting, (urgency, kind))
        for request, kind in aside:
            queueing.put(book, holds, request, kind)
    sweeps.plan(book, group)


def _next(book: Book, group: Group, row: Row) -> Request | None:
    """The oldest request of a row that finds a member now, if any does."""
    # Threat: thousands of holds, each tried at every answer. One of a row stands for the others: all need
    # as much, or the later ones more; where needs differ (sessions), a position serves all that need less.
    oldest = row.oldest()
    if oldest is None:
        return None
    if oldest.rule.freshness is Freshness.SESSION:
        ready = reads.sound(book, group)
        most = fits = max((one.position_us for one in ready), default=LONG_AGO)
        primary = group.members.get(group.primary) if group.primary is not None else None
        if primary is None or not concurrency.has_room(book, primary, 0.5):
            free = [one for one in ready if concurrency.has_room(book, one, 1.0)]
            most = max((one.position_us for one in free), default=LONG_AGO)
        beyond = row.newest(fits)
        if beyond is not None and book.choose(book, beyond) is not None:
            return oldest
        return row.oldest(most)
    if book.choose(book, oldest) is not None:
        return oldest
    newest = row.newest(LONG_AGO)
    if newest is not None and newest is not oldest and oldest.rule.freshness is Freshness.BOUNDED:
        book.choose(book, newest)  # no report has been asked for since it came, as one may since the oldest
    return None
