"""In what order is held what cannot be sent, and when holding on stops making sense."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Book, Group, Holds, Kind, Request
from oatlink.rules import service_time, sessions

READ_CHECKS_COUNT = 2  # before a read goes to the primary


def need(book: Book, request: Request) -> int:
    """The position that a read must see."""
    if request.rule.freshness is api.Freshness.SESSION:
        return sessions.needed_us(book, request, book.now)
    if request.rule.freshness is api.Freshness.BOUNDED:
        return max(book.now - request.rule.staleness_us, request.need_us or -1)
    return -1 if request.need_us is None else request.need_us


def hold(book: Book, group: Group, request: Request) -> None:
    """Keep a request until its group can take it, in the row of its kind, the older first."""
    holds = book.holds[group.id]
    put(book, holds, request)
    end, half, last = _ends(book, request)
    holds.ends_at(request, end - half, end, last)


def put(book: Book, holds: Holds, request: Request, kind: Kind | None = None) -> None:
    """Put a request, or move it, to the row of this kind, else of its own."""
    holds.put(request, kind or kind_of(book, request), sessions.needed_us(book, request, NEVER))


def kind_of(book: Book, request: Request) -> Kind:
    """What one request must share with another to stand for it."""
    return (
        request.rule.name,
        request.worth,
        _late(book, request),
        tuple(request.tried),
        request.asked >= READ_CHECKS_COUNT,
        request.draw if request.tied else 0.0,
    )


def tidy_rows(book: Book, holds: Holds) -> None:
    """What has become late since goes to the row of the late."""
    for kind, row in list(holds.rows.items()):
        request = None if kind[2] else row.oldest()
        while request is not None and _late(book, request):
            put(book, holds, request)
            request = row.oldest()


def urgency(book: Book, request: Request) -> tuple[float, int]:
    """What serving a held request now earns: more first, then the older."""
    return -request.worth * (request.rule.late_worth if _late(book, request) else 1.0), request.arrived_us


def _late(book: Book, request: Request) -> bool:
    return book.now > request.arrived_us + request.rule.aim_us


def give_up_at(book: Book, request: Request) -> int:
    """When holding on stops making sense: an answer would come past the aim or the deadline."""
    end, half, last = _ends(book, request)
    # Threat: work sent just before its end is done for nobody. The next sweep may be too late, too.
    return min(end - min(service_time.reserve_us(book, book.groups[request.group]), half), last)


def _ends(book: Book, request: Request) -> tuple[int, int, int]:
    """When an answer is too late, the most left out of that for the usual answer, the very end."""
    rule, past_us = request.rule, request.arrived_us + request.rule.aim_us
    end = request.expires_us if rule.late_worth > 0 else min(request.expires_us, past_us)
    last = request.expires_us - book.margin_us - book.tick_us
    if not request.attempts and rule.effect is api.Effect.IDEMPOTENT:
        # Threat: a client kept waiting for nothing, with no time left to ask elsewhere or again.
        half = (request.expires_us - request.arrived_us) // 2
        last = min(last, request.arrived_us + half - book.margin_us - book.tick_us)
    if request.may_have_run_us is not None and rule.effect is api.Effect.KEYED:
        last = min(last, request.may_have_run_us + rule.repeat_window_us - book.margin_us)
    return end, max(rule.aim_us, end - request.arrived_us) // 2, last


def give_up(book: Book, request: Request) -> None:
    """The final answer, at once: a refusal where trying again is harmless, else a failure."""
    harmless = request.rule.effect is api.Effect.IDEMPOTENT or not request.may_have_run
    if harmless and book.now < request.expires_us - book.margin_us:
        past = request.rule.late_worth <= 0 and book.now >= request.arrived_us + request.rule.aim_us
        wait = book.settings.max_retry_after_us * (1.0 if past else book.random.uniform(0.25, 1.0))
        book.do.append(api.Refuse(request.id, round(wait)))
    else:
        book.do.append(api.Fail(request.id))
    forget(book, request.id)


def forget(book: Book, request_id: str, has_left: bool = False) -> None:
    """A request has ended. Threat: its client has left; its write, still out, binds its session's reads."""
    request = book.requests.get(request_id)
    if request is not None:
        book.holds[request.group].pop(request_id)
        request.expires_us, write = book.now, request.rule.freshness is api.Freshness.WRITE  # no more is sent
        if not (has_left and write and any(one.out for one in request.attempts)):
            sessions.ended(book, request, is_over=True)
            del book.requests[request_id]
