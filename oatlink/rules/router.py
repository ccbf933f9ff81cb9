"""What has happened goes in, what to do comes out; no clock, no I/O. All state is in the book."""

import heapq
import random

from oatlink import interface as api
from oatlink.router_state import NEVER, Book, Group
from oatlink.rules import (
    arrivals,
    checks,
    dispatch,
    outcomes,
    parameters,
    queueing,
    reads,
    roster,
    sending,
    service_time,
)


class Router:
    """Decides for one gateway."""

    def __init__(self, settings: api.Settings) -> None:
        self.book = book = Book(settings, random.Random(settings.seed), reads.choose)
        parameters.configure(book, settings)
        book.answer_us = book.target_us
        book.worth = (sum(rule.worth for rule in settings.classes) or 1.0) / len(settings.classes)

    def configure(self, settings: api.Settings) -> None:
        """Go by these settings from now on. What came before keeps its class, also where that is no more."""
        parameters.configure(self.book, settings)

    def handle(self, event: api.Event, now_us: int, more: bool = False) -> list[api.Action]:
        """Return what an event calls for. With `more`, what waits is placed after the instant's last."""
        book = self.book
        book.now, book.do, book.more = now_us, [], more
        if now_us > book.timer_us + 2 * book.tick_us:  # Threat: this router stood still, not the members
            book.stalled_us = now_us
        match event:
            case api.Arrival():
                arrivals.arrive(book, event)
            case api.AttemptEnded():
                outcomes.ended(book, event)
            case api.TimerFired():
                book.timer_us = NEVER if now_us >= book.timer_us else book.timer_us
            case api.Checked():
                outcomes.checked(book, event)
            case api.Departure():
                queueing.forget(book, event.request, has_left=True)
            case api.Roster():
                roster.listed(book, event)
            case api.Start():
                roster.start(book)
        if book.unsettled and not more:
            unsettled, book.unsettled = book.unsettled, {}
            for group_id in unsettled:
                dispatch.pump(book, book.groups[group_id])
        _look_at_due(book)
        return book.do

    def may_write(self, request_id: str, index: int, now_us: int) -> bool:
        """Whether an attempt may still be written: what it was sent by is looked at again. No change."""
        book, request = self.book, self.book.requests.get(request_id)
        if request is None:
            return False
        attempt = request.attempts[index]
        member, was, book.now = book.members.get(attempt.member), book.now, now_us
        may = member is not None and sending.may_write(book, request, member, attempt.sent_us)
        book.now = was  # a replay does not ask, and must go on from the same state
        return may


def _look_at_due(book: Book) -> None:
    """Look at the groups whose time has come; one timer for the next, none when nothing waits."""
    while book.due and book.due[0][0] <= book.now:
        at_us, group_id = heapq.heappop(book.due)
        group = book.groups[group_id]
        if group.due_us == at_us:
            group.due_us = NEVER
            _look(book, group)
    if book.now >= book.ask_at_us:
        roster.ask(book)
    at_us = min(book.due[0][0] if book.due else NEVER, book.ask_at_us)
    if at_us < book.timer_us:
        book.timer_us = at_us
        book.do.append(api.SetTimer("due", at_us))


def _look(book: Book, group: Group) -> None:
    """What waits in a group: silent members, requests past their time, room for the held."""
    holds = book.holds[group.id]
    if holds.held and group.primary is None and book.now - group.checked_us >= parameters.HOLD_CHECK_US:
        checks.check_all(book, group)
    for member in list(group.members.values()):
        if book.now >= checks.silent_at(book, group, member):
            checks.check(book, member)
    for request in holds.over(book.now, service_time.reserve_us(book, group)):
        if any(one.out for one in request.attempts):
            holds.pop(request.id)
        else:
            queueing.give_up(book, request)
    dispatch.pump(book, group)
