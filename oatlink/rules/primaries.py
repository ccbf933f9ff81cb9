"""Which member of a group is its primary."""

from oatlink.interface import Effect, Log, Report, Role
from oatlink.router_state import Book, Member
from oatlink.rules import checks, queueing, sweeps


def hear(book: Book, member: Member, report: Report | None, fresh: bool) -> None:
    """Set role, position and time heard. A report, as old as its position, overturns no later role."""
    member.heard_us = book.now
    if report is None:
        return
    true_us = book.now if fresh or report.position_us is None else report.position_us
    if report.position_us is not None:
        member.position_us = max(member.position_us, report.position_us)
        member.lag_us = book.now - member.position_us
    if report.role is Role.PRIMARY:
        _claim(book, member, true_us)
    elif report.role is Role.REPLICA and (member.role is not Role.PRIMARY or true_us >= member.role_us):
        group = book.groups[member.entry.group]
        if group.primary == member.entry.member:
            group.primary, group.lost_us = None, book.now
        member.role, member.role_us = Role.REPLICA, max(member.role_us, true_us)


def _claim(book: Book, member: Member, true_us: int) -> None:
    """One primary a group: the later claim stands, an older one is turned unknown and checked at once."""
    group = book.groups[member.entry.group]
    if true_us < member.role_us:
        return
    held = group.members.get(group.primary) if group.primary is not None else None
    if held is not None and held is not member:
        if held.role_us > true_us:
            return
        held.role, group.primary = Role.UNKNOWN, None
        checks.check(book, held)
    member.role, member.role_us = Role.PRIMARY, true_us
    if group.primary is None and not member.drained:
        group.primary, group.known_us = member.entry.member, book.now
        book.do.append(Log(f"group {group.id}: primary is {group.primary}"))


def take_list_role(book: Book, member: Member) -> None:
    """Where members cannot say their role, the list's word stands until an answer is heard."""
    if member.entry.primary:
        _claim(book, member, member.role_us)
    else:
        member.role = Role.REPLICA


def lose(book: Book, member: Member) -> None:
    """Turn a member unknown. Threat: a silent one. Its reads go elsewhere where a repeat is allowed."""
    group = book.groups[member.entry.group]
    if group.primary == member.entry.member:
        group.primary, group.lost_us = None, book.now
        book.do.append(Log(f"group {group.id}: primary {member.entry.member} lost"))
    member.role, member.role_us = Role.UNKNOWN, max(member.role_us, book.now)
    for request_id, _ in list(member.out):
        request = book.requests.get(request_id)
        if request is not None and request.rule.effect is Effect.IDEMPOTENT and not request.copied:
            request.copied = True
            request.tried.append(member.entry.member)
            queueing.hold(book, group, request)
    sweeps.plan(book, group)
