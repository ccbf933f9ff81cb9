"""How much a member may be given that has only just started."""

from oatlink.router_state import Book, Member, Request
from oatlink.rules.parameters import HEARTBEAT_US

COLD_BUDGET_SHARE = 0.7  # of what a cold member bears, for all routers together; the rest is left for chance
KEPT_TOKENS_COUNT = 1.1  # that a router may always keep: for an attempt, and the check before it
COLD_FLOOR_ATTEMPTS = 6.0  # in a window, of all routers together, where nothing is known yet


def warmth(book: Book, member: Member) -> float:
    """The share of its full strength that a member surely has by now."""
    age, whole, least = book.now - member.started_us, book.settings.warm_after_us, book.settings.cold_share
    return 1.0 if member.started_us <= 0 or age >= whole else least + (1.0 - least) * max(0, age) / whole


def within_budget(book: Book, member: Member, weight: float, request: Request | None = None) -> bool:
    """Threat: a cold member pushed over by all routers. What goes there costs tokens, the first drawn."""
    # They come at the rate that this router alone has had from warm members: all add up to what one can do.
    # Threat: tokens lie with routers without requests. What only a primary takes comes first, by chance.
    warm = warmth(book, member)
    if warm >= 1.0:
        return True
    settings, group = book.settings, book.groups[member.entry.group]
    if book.shown_us != book.now:
        book.shown_us = book.now
        peers = [one for one in book.members.values() if not one.drained and warmth(book, one) >= 1.0]
        shown = sum(rate(book, one) for one in peers) / len(peers) if peers else book.shown
        book.shown = max(shown, 0.99 * book.shown + 0.01 * shown)
    window_s, part = settings.fall_us / 1e6, COLD_BUDGET_SHARE * settings.overload_factor * warm
    # What only the primary takes, in what a member answers. Threat: nothing is answered, so nothing let in.
    own = book.tied * sum(not one.drained for one in group.members.values()) / max(0.5, min(1, book.answered))
    if request is not None and request.tied:
        # Threat: all that has waited comes at once. It is spread over as long as it can have waited.
        spread_us = settings.fall_us + min(group.known_us - group.lost_us, request.rule.deadline_us) or -1
        return request.draw * own <= part * min(1.0, (book.now - group.known_us) / spread_us)
    part -= own if group.primary == member.entry.member else 0.0
    token_rate = max(COLD_FLOOR_ATTEMPTS / settings.peers / window_s, part * book.shown)
    came = token_rate * max(0.0, (book.now - max(member.tokens_us, member.started_us)) / 1e6)
    member.tokens = min(max(KEPT_TOKENS_COUNT, token_rate * window_s), member.tokens + came)
    member.tokens_us = book.now
    return member.tokens >= weight


def rate(book: Book, member: Member) -> float:
    """Answers a second from a member, averaged over about a heartbeat."""
    return member.rate * max(0.0, 1.0 - (book.now - member.rate_us) / HEARTBEAT_US)
