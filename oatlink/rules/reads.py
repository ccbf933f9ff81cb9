"""Which member takes a request now."""

from oatlink.interface import Freshness, Role
from oatlink.router_state import Book, Group, Member, Request
from oatlink.rules import checks, concurrency, parameters, queueing, service_time


def choose(book: Book, request: Request) -> Member | None:
    """The member that takes a request now, or none."""
    group = book.groups[request.group]
    primary = group.members.get(group.primary) if group.primary is not None else None
    if request.rule.freshness is Freshness.WRITE:
        return primary if primary is not None and concurrency.has_room(book, primary, 1.0, request) else None
    need, replicas = queueing.need(book, request), sound(book, group)
    fit = [one for one in replicas if one.position_us >= need]
    best = _turn_over(book, [one for one in fit if one.entry.member not in request.tried])
    if best is not None and best.out and request.rule.freshness is Freshness.BOUNDED:
        # Threat: the one replica whose position is known takes all reads, while others stand free.
        _ask_one(book, replicas, book.now - book.bound_us // 2)
    if best is None and not fit and book.settings.members_check_reads:
        best = _most_advanced(book, [one for one in replicas if one.entry.member not in request.tried], need)
    elif best is None and book.settings.may_probe and need <= book.now and _ask_replica(book, request, group):
        return None
    # Threat: reads crowd out writes. Those with a choice get half the room, current ones three quarters.
    share = 0.75 if request.rule.freshness is Freshness.LATEST else 0.5
    lent = request.tied or request.draw <= book.lend
    if best is None and primary is not None and lent and concurrency.has_room(book, primary, share, request):
        best, book.lent_us = primary, book.lent_us if request.tied else book.now
    return best or _turn_over(book, fit)


def sound(book: Book, group: Group) -> list[Member]:
    """The replicas that no overdue check holds back."""
    replicas = [one for one in group.members.values() if one.role is Role.REPLICA]
    return [one for one in replicas if not checks.in_doubt(book, one)]


def _most_advanced(book: Book, replicas: list[Member], need: int) -> Member | None:
    """Replicas near enough when last heard take turns, else the most advanced. A miss costs little."""
    likely = [one for one in replicas if book.now - one.lag_us >= need]
    return _turn_over(book, likely) or min(replicas, key=lambda one: one.lag_us, default=None)


def _ask_replica(book: Book, request: Request, group: Group) -> bool:
    """Whether a report may let a replica take a read. Threat: all reads are left to the primary."""
    if request.rule.freshness not in (Freshness.BOUNDED, Freshness.SESSION):
        return False
    replicas = [one for one in group.members.values() if one.role is Role.REPLICA and not one.drained]
    if any(one.check_sent_us is not None and not checks.in_doubt(book, one) for one in replicas):
        return True
    before_us = min(request.arrived_us, book.now - book.bound_us // 4)
    member = _ask_one(book, replicas, before_us) if request.asked < queueing.READ_CHECKS_COUNT else None
    if member is None:
        return False
    request.asked += 1
    if request.asked == queueing.READ_CHECKS_COUNT and request.id in book.holds[group.id]:
        queueing.put(book, book.holds[group.id], request)
    return member.check_sent_us is not None


def _ask_one(book: Book, replicas: list[Member], before_us: int) -> Member | None:
    """Check the next in turn of those with room that were last asked before this time."""
    member = _turn_over(book, [one for one in replicas if one.checked_us < before_us])
    if member is not None:
        checks.check(book, member)
    return member


def _turn_over(book: Book, members: list[Member]) -> Member | None:
    """Take turns over the members with room, passing over long waits, the own zone first."""
    waits = [(_wait(book, one), one) for one in members if concurrency.has_room(book, one, 1.0)]
    limit = 1.2 * min((wait for wait, _ in waits), default=0.0)
    return min((one for wait, one in waits if wait <= limit), key=lambda one: one.turn, default=None)


def _wait(book: Book, member: Member) -> float:
    """What a new attempt may take there, by its answers and what is out; other zones cost more."""
    base = member.duration_us
    if not base or book.now - member.answered_us >= 2 * parameters.HEARTBEAT_US:
        base = service_time.usual_us(book, book.groups[member.entry.group])
    if member.out:
        base = max(base, float(book.now - next(iter(member.out.values()))))
    later = member.answered_us < member.entry.doubt[0] and book.now < member.entry.doubt[1]
    wait = base * (1 + len(member.out) + later) * (1 + min(member.refused, 2))
    return wait if member.entry.zone == book.settings.zone else 1.25 * wait
