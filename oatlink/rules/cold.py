"""How much a member may be given that has only just started."""

from oatlink.router_state import Member, Request, RouterState
from oatlink.rules.parameters import HEARTBEAT_US

COLD_BUDGET_SHARE = 0.7  # of what a cold member bears, for all routers together; the rest is left for chance
MIN_TOKEN_CAPACITY_COUNT = 1.1  # that a router may always keep: for an attempt, and the check before it
MIN_COLD_ATTEMPTS = 6.0  # in a window, of all routers together, where nothing is known yet


def warmth(state: RouterState, member: Member) -> float:
    """The share of its full strength that a member surely has by now."""
    age = state.now_us - member.started_us
    whole, least = state.settings.warm_after_us, state.settings.cold_share
    return 1.0 if member.started_us <= 0 or age >= whole else least + (1.0 - least) * max(0, age) / whole


def within_budget(state: RouterState, member: Member, weight: float, request: Request | None = None) -> bool:
    """Threat: a cold member pushed over by all routers. What goes there costs tokens, the first drawn."""
    # They come at the rate that this router alone has had from warm members: all add up to what one can do.
    # Threat: tokens lie with routers without requests. What only a primary takes comes first, by chance.
    warm = warmth(state, member)
    if warm >= 1.0:
        return True
    settings, group = state.settings, state.groups[member.entry.group]
    if state.warm_rate_us != state.now_us:
        state.warm_rate_us = state.now_us
        peers = [one for one in state.members.values() if not one.is_draining and warmth(state, one) >= 1.0]
        shown = sum(answer_rate(state, one) for one in peers) / len(peers) if peers else state.warm_rate
        state.warm_rate = max(shown, 0.99 * state.warm_rate + 0.01 * shown)
    window_s, part = settings.fall_us / 1e6, COLD_BUDGET_SHARE * settings.overload_factor * warm
    # What only the primary takes, in what a member answers. Threat: nothing is answered, so nothing let in.
    own = (
        state.primary_only_share
        * sum(not one.is_draining for one in group.members.values())
        / max(0.5, min(1, state.answers_per_arrival))
    )
    if request is not None and request.is_primary_only:
        # Threat: all that has waited comes at once. It is spread over as long as it can have waited.
        waited_us = min(group.primary_known_us - group.primary_lost_us, request.request_class.deadline_us)
        spread_us = settings.fall_us + waited_us or -1
        released_share = min(1.0, (state.now_us - group.primary_known_us) / spread_us)
        return request.admission_draw * own <= part * released_share
    part -= own if group.primary == member.entry.member else 0.0
    token_rate = max(MIN_COLD_ATTEMPTS / settings.peers / window_s, part * state.warm_rate)
    came = token_rate * max(0.0, (state.now_us - max(member.tokens_us, member.started_us)) / 1e6)
    member.tokens = min(max(MIN_TOKEN_CAPACITY_COUNT, token_rate * window_s), member.tokens + came)
    member.tokens_us = state.now_us
    return member.tokens >= weight


def answer_rate(state: RouterState, member: Member) -> float:
    """Answers a second from a member, averaged over about a heartbeat."""
    return member.answer_rate * max(0.0, 1.0 - (state.now_us - member.answer_rate_us) / HEARTBEAT_US)
