"""Decides how many requests may go to a member that has started recently.

All routers together must not overload a cold member, though no router knows of the others' requests. Requests
and checks that are sent to it cost tokens, and a new member's first tokens are drawn at random. A router gets
tokens at the rate at which it has had answers from warm members, so that the rates of all routers add up to
what one member can serve. But the tokens may be at routers that have no requests. Requests that only a
primary takes therefore need no tokens; they are admitted first, each by its own random draw.
"""

from oatlink.router_state import Group, Member, Request, RouterState
from oatlink.rules.parameters import HEARTBEAT_US

COLD_BUDGET_SHARE = 0.7  # of what a cold member can serve, for all routers; the rest covers random variation
MIN_TOKEN_CAPACITY_COUNT = 1.1  # tokens that a router may always keep: for an attempt and the check before it
MIN_COLD_ATTEMPTS = 6.0  # in a window of `fall_us`, of all routers, while no rate of warm members is known


def warmth(state: RouterState, member: Member) -> float:
    """The share of its full capacity that a member has by now; it grows linearly from its start."""
    age = state.now_us - member.started_us
    whole, least = state.settings.warm_after_us, state.settings.cold_share
    return 1.0 if member.started_us <= 0 or age >= whole else least + (1.0 - least) * max(0, age) / whole


def within_budget(state: RouterState, member: Member, weight: float, request: Request | None = None) -> bool:
    """Whether a member is warm, or its budget allows this request or a check that costs `weight` tokens."""
    warm = warmth(state, member)
    if warm >= 1.0:
        return True
    settings, group = state.settings, state.groups[member.entry.group]
    _update_warm_rate(state)
    window_s, part = settings.fall_us / 1e6, COLD_BUDGET_SHARE * settings.overload_factor * warm
    # The load that only the primary takes, in units of what one member answers. The divisor is at least 0.5:
    # otherwise nothing would be admitted once nothing is answered.
    primary_load = (
        state.primary_only_share
        * sum(not peer.is_draining for peer in group.members.values())
        / max(0.5, min(1, state.answers_per_arrival))
    )
    if request is not None and request.is_primary_only:
        return request.admission_draw * primary_load <= part * _released_share(state, group, request)
    part -= primary_load if group.primary == member.entry.member else 0.0
    token_rate = max(MIN_COLD_ATTEMPTS / settings.peers / window_s, part * state.warm_rate)
    new_tokens = token_rate * max(0.0, (state.now_us - max(member.tokens_us, member.started_us)) / 1e6)
    member.tokens = min(max(MIN_TOKEN_CAPACITY_COUNT, token_rate * window_s), member.tokens + new_tokens)
    member.tokens_us = state.now_us
    return member.tokens >= weight


def _update_warm_rate(state: RouterState) -> None:
    """Measure the mean answer rate of warm members, once per instant; it rises at once and falls slowly."""
    if state.warm_rate_us != state.now_us:
        state.warm_rate_us = state.now_us
        peers = [peer for peer in state.members.values() if not peer.is_draining]
        warm = [peer for peer in peers if warmth(state, peer) >= 1.0]
        rate = sum(answer_rate(state, peer) for peer in warm) / len(warm) if warm else state.warm_rate
        state.warm_rate = max(rate, 0.99 * state.warm_rate + 0.01 * rate)


def _released_share(state: RouterState, group: Group, request: Request) -> float:
    """The share of the requests that waited for a new primary which may be sent to it by now.

    They must not all arrive at once, so they are spread over `fall_us` and the longest time that they can
    have waited.
    """
    waited_us = min(group.primary_known_us - group.primary_lost_us, request.request_class.deadline_us)
    spread_us = state.settings.fall_us + waited_us or -1  # never 0, as it divides
    return min(1.0, (state.now_us - group.primary_known_us) / spread_us)


def answer_rate(state: RouterState, member: Member) -> float:
    """Answers a second from a member, averaged over about a heartbeat."""
    return member.answer_rate * max(0.0, 1.0 - (state.now_us - member.answer_rate_us) / HEARTBEAT_US)
