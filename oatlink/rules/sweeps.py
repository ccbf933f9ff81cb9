"""When a group is looked at next. One timer stands for all looks."""

import heapq

from oatlink.router_state import NEVER, Book, Group
from oatlink.rules import checks, parameters, service_time


def plan(book: Book, group: Group) -> None:
    """Look again soon while requests are held, else when an attempt grows overdue."""
    holds, soon_us = book.holds[group.id], book.now + parameters.HOLD_CHECK_US // 5
    if group.due_us <= (soon_us if holds.held else book.now + book.tick_us):
        return
    if holds.held:
        ends = [soon_us, holds.next_end(service_time.reserve_us(book, group))]
        ends += [one.full_until_us for one in group.members.values() if one.full_until_us > book.now]
    else:
        ends = [NEVER, *[round(checks.silent_at(book, group, one)) for one in group.members.values()]]
    look_by(book, group, min(ends))


def look_by(book: Book, group: Group, at_us: int) -> None:
    """Look at a group at this time at the latest, if not before."""
    at_us = max(at_us, book.now + book.tick_us)
    if at_us < group.due_us:
        group.due_us = at_us
        heapq.heappush(book.due, (at_us, group.id))
