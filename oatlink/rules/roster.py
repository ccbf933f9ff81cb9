"""Who is there, who drains, and when discovery is asked."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Book, Member
from oatlink.rules import checks, parameters, primaries

CHECK_COST_US = 5_000  # what a check is taken to last before one has been answered
START_ROOM_ATTEMPTS = 16.0  # out at a member that has shown nothing, of all routers together


def start(book: Book) -> None:
    """Subscribe where discovery must be asked. Threat: all routers may start in the same instant."""
    if book.settings.must_ask_roster:
        many_peers = book.settings.peers > parameters.FEW_PEERS_COUNT
        spread_us = book.settings.ask_within_us // 4 if many_peers else 0
        book.ask_at_us = book.now + round(spread_us * book.random.random())


def ask(book: Book) -> None:
    """Subscribe, and again should nothing come; a plain fetch too once that has failed for long."""
    book.ask_at_us = book.now + book.settings.ask_within_us // 4
    book.do += [api.FollowRoster(), *[api.FetchRoster()] * (book.now + book.ask_wait_us >= book.ask_at_us)]


def listed(book: Book, roster: api.Roster) -> None:
    """Take in a list: who is there, who drains, who has started."""
    if roster.kind is api.RosterKind.FAILED:  # Threat: it hides drains. Ask again, ever more rarely
        longest = book.settings.ask_within_us // 4
        book.ask_wait_us = min(longest, max(2 * book.ask_wait_us, longest // 8))
        book.ask_at_us = book.now + round(book.ask_wait_us * book.random.uniform(0.5, 1.5))
        return
    if roster.kind is not api.RosterKind.SAVED:
        book.ask_at_us, book.ask_wait_us = NEVER, 0
    for entry in roster.entries:
        _enter(book, entry)
    if roster.kind is not api.RosterKind.CHANGES:
        named = {entry.member for entry in roster.entries}
        for member in [one for one in book.members.values() if one.entry.member not in named]:
            _leave(book, member)


def _enter(book: Book, entry: api.RosterEntry) -> None:
    """Take in one line of a list."""
    member = book.members.get(entry.member)
    if entry.listing is api.Listing.GONE:
        return _leave(book, member)
    group = book.group_of(entry.group)
    group.usual_us = -1.0
    if member is None:  # Threat: a new one is everybody's next. Its first turn and token are drawn
        turn = book.turn - book.random.random() * (len(group.members) + 1)
        room = max(1.0, START_ROOM_ATTEMPTS / book.settings.peers)
        member = Member(entry, turn, book.random.random(), room, CHECK_COST_US)
    member.entry = entry
    book.members[entry.member] = group.members[entry.member] = member
    if entry.started_us > member.started_us:
        member.started_us, member.tokens = entry.started_us, book.random.random()
        member.room, member.duration_us = 1.0, 0.0
    member.drained = member.was_terminating = entry.listing is api.Listing.TERMINATING
    if member.drained:
        primaries.lose(book, member)
    elif not book.settings.may_probe and member.role is api.Role.UNKNOWN:
        primaries.take_list_role(book, member)
    elif entry.doubt[0] > max(0, member.heard_us):  # others saw it fail since it was heard of here
        checks.check(book, member)


def _leave(book: Book, member: Member | None) -> None:
    """A member is gone. Where a dropped one stays open, only one that was seen draining is bound."""
    if member is None or book.settings.dropped_stay_open and not member.was_terminating:
        return
    member.drained = True
    primaries.lose(book, member)
    group = book.groups[member.entry.group]
    group.members.pop(member.entry.member, None)
    group.usual_us = -1.0
    book.members.pop(member.entry.member, None)
