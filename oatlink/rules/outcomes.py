"""What the end of an attempt, or of a check, says of its member and its request."""

from oatlink.interface import AttemptEnded, Cancel, Checked, DropIdle, Freshness, Outcome, Role
from oatlink.router_state import Book, Member, Request
from oatlink.rules import checks, concurrency, dispatch, parameters, primaries, queueing, sending, sessions


def checked(book: Book, end: Checked) -> None:
    """A check has ended. A capped one says nothing; any other failure marks the member unknown."""
    member = book.members.get(end.member)
    if member is None:
        return
    group, sent_us, member.check_sent_us = book.groups[member.entry.group], member.check_sent_us or 0, None
    if end.outcome is Outcome.SERVED:
        if member.failed_checks:  # Threat: a member comes back cold, with hung work in it
            member.failed_checks, member.room, member.duration_us, group.usual_us = 0, 1.0, 0.0, -1.0
        member.check_cost_us += 0.2 * (end.duration_us - member.check_cost_us)
        primaries.hear(book, member, end.report, fresh=False)
        if member.role is Role.UNKNOWN and (end.report is None or end.report.role is Role.UNKNOWN):
            primaries.take_list_role(book, member)
    elif end.outcome is not Outcome.FULL and max(member.answered_us, book.stalled_us) < sent_us:
        # Threat: checks that fail though the member works. An answer since the check went out says more.
        member.failed_checks += 1
        primaries.lose(book, member)
        if all(one.heard_us < 0 and one.failed_checks for one in group.members.values()):
            # Threat: no check is ever answered. With nothing heard at all the list's roles are tried.
            for one in group.members.values():
                primaries.take_list_role(book, one)
    dispatch.pump(book, group)


def ended(book: Book, end: AttemptEnded) -> None:
    """An attempt has ended: learn from it, then answer, resend or hold its request."""
    member, request = book.members.get(end.member), book.requests.get(end.request)
    sent_us = member.out.pop((end.request, end.attempt), None) if member is not None else None
    if member is not None and sent_us is not None:
        _learn(book, member, end, sent_us)
    if request is not None and end.attempt < len(request.attempts):
        request.attempts[end.attempt].out = False
        if end.outcome.may_have_run and request.may_have_run_us is None:
            request.may_have_run_us = request.attempts[end.attempt].sent_us
        sessions.ended(book, request)
        (_served if end.over else _go_on)(book, request, end)
        dispatch.pump(book, book.groups[request.group])
    elif member is not None:
        dispatch.pump(book, book.groups[member.entry.group])


def _learn(book: Book, member: Member, end: AttemptEnded, sent_us: int) -> None:
    """The error rules: what an outcome says of its member."""
    if end.answer is not None:
        member.answered_us = book.now
        primaries.hear(book, member, end.answer, fresh=True)
    if end.report is not None:
        primaries.hear(book, member, end.report, fresh=False)
    if sent_us >= book.stalled_us:
        concurrency.learn(book, member, end)
    if end.outcome is Outcome.NO_CONNECTION and book.now - member.heard_us < parameters.HEARTBEAT_US:
        # Threat: the member is full for this router. Connections that worked are kept; a check tells.
        if book.now - member.heard_us > book.target_us:
            checks.check(book, member)
    elif end.outcome is Outcome.RESET and max(member.broken_us, book.now - book.target_us) < member.heard_us:
        # Threat: one connection broke, not the member, heard of just before. A second one says more.
        member.broken_us = book.now
        checks.check(book, member)
    elif end.outcome in (Outcome.RESET, Outcome.NO_CONNECTION):
        book.do.append(DropIdle(member.entry.member))
        primaries.lose(book, member)
        checks.check(book, member)
    elif end.outcome is Outcome.MISS or end.outcome is Outcome.ERROR and member.role is not Role.PRIMARY:
        request = book.requests.get(end.request)
        if request is not None and request.rule.freshness is Freshness.WRITE:
            primaries.lose(book, member)
            checks.check(book, member)


def _served(book: Book, request: Request, end: AttemptEnded) -> None:
    """The client has its answer: remember a session's write, call off copies."""
    if end.outcome is Outcome.SERVED:
        sessions.ended(book, request, (end.answer and end.answer.position_us) or book.now)
    if book.settings.may_cancel:
        book.do += [Cancel(request.id, number) for number, one in enumerate(request.attempts) if one.out]
    queueing.forget(book, request.id)


def _go_on(book: Book, request: Request, end: AttemptEnded) -> None:
    """An attempt has failed: the next one, or the end."""
    if end.outcome is Outcome.NOT_SENT or book.now >= request.expires_us - book.margin_us:
        return queueing.give_up(book, request)
    request.tried.append(end.member)
    request.draw += request.tied and end.outcome is Outcome.FULL  # Threat: each send weighs, also a repeat
    # Threat: requests that fail everywhere. One error may be the member's, a second is the request's.
    error = end.outcome is Outcome.ERROR
    again, request.failed = request.failed and error, request.failed or error
    if not any(one.out for one in request.attempts):
        over = again or not sending.may_repeat(book, request)
        (queueing.give_up if over else dispatch.place)(book, request)
