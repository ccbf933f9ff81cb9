"""What is done with a request that has come in."""

from oatlink.interface import Arrival, Freshness
from oatlink.router_state import Book, Request
from oatlink.rules import checks, dispatch, parameters, queueing, sweeps

DRAW_STEPS_COUNT = 8  # in which a cold primary admits what only it takes


def arrive(book: Book, event: Arrival) -> None:
    """Send a request, or hold it until its group can take it, or refuse it by chance."""
    rule, group = book.classes[event.class_name], book.group_of(event.group)
    group.arrived += 1
    carried_us = event.since_write_us if rule.freshness is Freshness.SESSION else None
    need = event.needs_us if carried_us is None else book.now - carried_us
    need = book.now if rule.freshness is Freshness.LATEST else need
    request = Request(
        event.request,
        rule,
        event.group,
        book.now,
        book.now + event.expires_in_us,
        event.session,
        need,
        rule.worth * _share_worth(book, event.tenant),
        group.arrived,
    )
    if book.settings.peers > parameters.FEW_PEERS_COUNT:
        request.tied = rule.freshness in (Freshness.WRITE, Freshness.LATEST)
        request.draw = (1 + book.random.randrange(DRAW_STEPS_COUNT)) / DRAW_STEPS_COUNT
        book.arrived, book.answered = book.arrived + 1, 0.95 * book.answered
        book.tied += (request.tied - book.tied) * max(1 / book.arrived, 0.01)
    request.settled_us = request.expires_us + max(rule.deadline_us, rule.repeat_window_us)
    book.requests[request.id] = request
    (checks.check_all if group.checked_us < 0 else checks.check_old)(book, group)  # at first: who they are
    book.worth += 0.05 * (request.worth - book.worth)
    drawn = book.random.random() ** max(request.worth, 0.01) if group.share < 1.0 else 0.0
    # Threat: a share that is never tried never comes back.
    if drawn > group.share**book.worth and book.now - group.let_us < book.settings.fall_us:
        queueing.give_up(book, request)
    else:  # Threat: a tenant's flood. Past its share it passes nothing that waits, nor is passed by others.
        group.let_us, held = book.now, bool(book.holds[group.id].held)
        dispatch.place(book, request, held and (request.worth < rule.worth or group.id in book.unsettled))
    sweeps.plan(book, group)


def _share_worth(book: Book, tenant: str | None) -> float:
    """What a tenant's next request counts: all within its share, little past it."""
    if tenant is None or tenant not in book.shares:
        return 1.0
    rate, left, since = book.shares[tenant]
    left = min(rate, left + rate * (book.now - since) / 1e6)
    book.shares[tenant] = (rate, left - (left >= 1.0), book.now)
    return 1.0 if left >= 1.0 else book.settings.over_share_worth
