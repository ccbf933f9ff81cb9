"""Whether an attempt may start. The one place that starts attempts; it asks every guard each time."""

from oatlink import interface as api
from oatlink.router_state import Attempt, Book, Member, Request
from oatlink.rules import cold, queueing, sessions


def send(book: Book, request: Request, member: Member) -> bool:
    """Start an attempt, if every rule allows it."""
    if not may_send(book, request, member):
        return False
    member.out[(request.id, len(request.attempts))] = book.now
    request.attempts.append(Attempt(member.entry.member, book.now))
    sessions.sent(book, request)
    member.tokens -= 0.0 if request.tied else 1.0
    member.turn = book.turn = book.turn + 1
    book.holds[request.group].pop(request.id)
    book.do.append(api.Send(request.id, member.entry.member))
    return True


def may_send(book: Book, request: Request, member: Member) -> bool:
    """The guards of the rules: drain, group, repeats, time, age, attempts and cold budget."""
    return (
        may_write(book, request, member, book.now)
        and may_repeat(book, request)
        and cold.within_budget(book, member, 1.0, request)
    )


def may_write(book: Book, request: Request, member: Member, sent_us: int) -> bool:
    """The guards that time alone may turn. Threat: a connection that comes up when all has changed."""
    sure = book.settings.members_check_reads or book.groups[member.entry.group].primary == member.entry.member
    is_write = request.rule.freshness is api.Freshness.WRITE
    fresh = is_write or member.position_us >= queueing.need(book, request)
    return (
        (sure or fresh)
        and not member.drained
        and member.entry.group == request.group
        and not sent_us < member.started_us <= book.now
        and book.now < request.expires_us - book.margin_us
        and _safe(book, request)
    )


def may_repeat(book: Book, request: Request) -> bool:
    """Whether attempts are left, and the class allows one more after the earlier ones."""
    may_copy = book.settings.second_copies and request.rule.effect is api.Effect.IDEMPOTENT
    may = (may_copy or not any(one.out for one in request.attempts)) and _safe(book, request)
    return may and len(request.attempts) < book.settings.max_attempts


def _safe(book: Book, request: Request) -> bool:
    """Whether one more attempt could do no harm beside those that may have run."""
    first, rule = request.may_have_run_us, request.rule
    return (
        first is None
        or rule.effect is api.Effect.IDEMPOTENT
        or rule.effect is api.Effect.KEYED
        and book.now + book.margin_us < first + rule.repeat_window_us
    )
