"""When a member is asked how it is, and when an open question holds work back."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Book, Group, Member
from oatlink.rules import cold, parameters, service_time


def check(book: Book, member: Member) -> None:
    """Ask a member for its report, one check at a time; the cold budget counts it."""
    if not book.settings.may_probe or member.check_sent_us is not None or member.drained:
        return
    weight = min(1.0, member.check_cost_us / max(member.duration_us, 10 * member.check_cost_us))
    if cold.within_budget(book, member, weight):
        member.tokens -= weight
        member.check_sent_us = member.checked_us = book.now
        book.do.append(api.Check(member.entry.member))


def check_old(book: Book, group: Group) -> None:
    """Check what has grown old, when a request comes. Threat: hundreds that check all the time."""
    for member in group.members.values():
        if member.role is api.Role.UNKNOWN:
            _check_unknown(book, member)
        elif book.now - max(member.heard_us, member.checked_us) >= book.heartbeat_us:
            check(book, member)


def check_all(book: Book, group: Group) -> None:
    """Check every member of a group."""
    group.checked_us = book.now
    for member in group.members.values():
        _check_unknown(book, member)


def _check_unknown(book: Book, member: Member) -> None:
    """Ask a member again at the design's half seconds, but one that does not answer ever more rarely."""
    if book.now - member.checked_us >= parameters.HOLD_CHECK_US << min(max(0, member.failed_checks - 1), 4):
        check(book, member)


def silent_at(book: Book, group: Group, member: Member) -> float:
    """Threat: a member takes work and answers nothing. When to check it: work overdue, no word."""
    if not member.out:
        return NEVER
    since = max(member.heard_us, next(iter(member.out.values())), book.stalled_us)
    return max(since + 2 * service_time.usual_us(book, group), member.checked_us + book.target_us)


def in_doubt(book: Book, member: Member) -> bool:
    """Threat: a hung or unreachable member. A check that is overdue holds new work back until it ends."""
    sent_us = member.check_sent_us
    if sent_us is None or max(member.answered_us, book.stalled_us) >= sent_us:
        return False
    return member.broken_us >= sent_us or book.now - sent_us > max(2 * book.tick_us, 4 * member.check_cost_us)
