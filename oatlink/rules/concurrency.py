"""How much may be out at a member, and what share of its group's requests is let in."""

from oatlink.interface import AttemptEnded, Outcome
from oatlink.router_state import Book, Member, Request
from oatlink.rules import checks, cold, parameters, service_time, sweeps

LEAST_ADMITTED_SHARE = 0.05  # to a group whose answers are slow: enough to see it recover


def has_room(book: Book, member: Member, share: float, request: Request | None = None) -> bool:
    """Whether a member may have one more attempt out, or this request."""
    return is_free(book, member, share) and cold.within_budget(book, member, 1.0, request)


def is_free(book: Book, member: Member, share: float) -> bool:
    """Whether one more attempt is within a share of what a member has shown it can hold."""
    shown = max(1.0, member.room * share * cold.warmth(book, member))
    return (
        not member.drained
        and not checks.in_doubt(book, member)
        and book.now >= member.full_until_us
        and len(member.out) + 1 <= shown
    )


def learn(book: Book, member: Member, event: AttemptEnded) -> None:
    """Room follows what a member shows: more while answers come in good time, less when slow or full."""
    group = book.groups[member.entry.group]
    if event.outcome is Outcome.SERVED:
        member.rate = cold.rate(book, member) + 1e6 / parameters.HEARTBEAT_US
        member.rate_us, member.refused, book.answered = book.now, 0, book.answered + 0.05
        # Threat: a first guess far above what answers take keeps a member out of the turn for long.
        member.duration_us += (0.1 if member.duration_us else 1.0) * (event.duration_us - member.duration_us)
        group.usual_us = -1.0
        book.answer_us += 0.05 * (event.duration_us - book.answer_us)
        group.answer_us += 0.05 * (event.duration_us - group.answer_us)
        request = book.requests.get(event.request)
        slow = request is not None and event.duration_us - member.check_cost_us > request.rule.aim_us / 2
        _admit_by(book, member, slow)  # the way there, as checks show it, is left out
        if member.duration_us > book.target_us:
            _cut(book, member)
        elif len(member.out) + 1 >= member.room / 2:
            member.room += min(0.25 * member.room, 1.0 / member.room)
    elif event.outcome is Outcome.FULL:
        _pause(book, member, 4 * book.tick_us)
        _cut(book, member)
        _admit_by(book, member, True)
    elif event.outcome is Outcome.LATE and event.duration_us > book.target_us:  # else a short wait
        _cut(book, member)
        if service_time.usual_us(book, group) > book.target_us:
            _admit_by(book, member, True)  # where other answers are quick, this one was lost
    elif event.outcome is Outcome.NO_CONNECTION:  # Threat: it takes few. Each next try waits longer
        _pause(book, member, min(book.tick_us << min(member.refused, 8), parameters.HOLD_CHECK_US))
        member.refused += 1


def _pause(book: Book, member: Member, pause_us: int) -> None:
    """Nothing more to a member for about this long."""
    member.full_until_us = book.now + round(pause_us * book.random.uniform(0.5, 1.5))
    sweeps.look_by(book, book.groups[member.entry.group], member.full_until_us)


def _cut(book: Book, member: Member) -> None:
    """Less room, once for each round of answers."""
    if book.now - member.cut_us >= member.duration_us:
        member.room, member.cut_us = max(1.0, 0.8 * member.room), book.now


def _admit_by(book: Book, member: Member, slow: bool) -> None:
    """Threat: one attempt of each of many routers is already too much; room cannot fall below one."""
    # Then a share is let in by chance: first, at a primary, of what has a choice, then of all the group's.
    group = book.groups[member.entry.group]
    lends = group.primary == member.entry.member and book.now - book.lent_us < parameters.HEARTBEAT_US
    if not slow:
        group.share = min(1.0, group.share + 0.05)
        book.lend = min(1.0, (1.05 if lends else 1.0) * book.lend)
    elif lends and book.lend > LEAST_ADMITTED_SHARE:
        book.lend *= 0.8
    elif member.room <= 1.0 and book.settings.peers > parameters.FEW_PEERS_COUNT:
        group.share = max(LEAST_ADMITTED_SHARE, 0.8 * group.share)
