"""Decides whether an attempt may start. Only this module starts attempts, after evaluating every guard."""

from oatlink import interface as api
from oatlink.router_state import Attempt, Member, Request, RouterState
from oatlink.rules import cold, queueing, sessions


def send(state: RouterState, request: Request, member: Member) -> bool:
    """Start an attempt if every guard allows it; return whether it was started."""
    if not may_send(state, request, member):
        return False
    member.outstanding[(request.id, len(request.attempts))] = state.now_us
    request.attempts.append(Attempt(member.entry.member, state.now_us))
    sessions.track_write(state, request)
    member.tokens -= 0.0 if request.is_primary_only else 1.0
    member.round_robin_position = state.round_robin_position = state.round_robin_position + 1
    state.pending[request.group].remove(request.id)
    state.actions.append(api.Send(request.id, member.entry.member))
    return True


def may_send(state: RouterState, request: Request, member: Member) -> bool:
    """The guards of a send: drain, group, repeats, time, position, number of attempts and cold budget."""
    return (
        may_write(state, request, member, state.now_us)
        and may_repeat(state, request)
        and cold.within_budget(state, member, 1.0, request)
    )


def may_write(state: RouterState, request: Request, member: Member, sent_us: int) -> bool:
    """The guards whose result may change between an attempt's send and its first byte.

    A connection may open only after the conditions of the send have changed; nothing is written to it then.
    """
    is_primary = state.groups[member.entry.group].primary == member.entry.member
    return (
        (state.settings.members_check_reads or is_primary or _is_fresh_enough(state, request, member))
        and not member.is_draining
        and member.entry.group == request.group
        and not sent_us < member.started_us <= state.now_us
        and state.now_us < request.expires_us - state.margin_us
        and _is_repeat_safe(state, request)
    )


def _is_fresh_enough(state: RouterState, request: Request, member: Member) -> bool:
    """Whether a member's known position serves a request; a write needs none."""
    is_write = request.request_class.freshness is api.Freshness.WRITE
    return is_write or member.position_us >= queueing.min_position_us(state, request)


def may_repeat(state: RouterState, request: Request) -> bool:
    """Whether a request has attempts left, and its class allows one more after the earlier ones."""
    may_copy = state.settings.second_copies and request.request_class.effect is api.Effect.IDEMPOTENT
    has_outstanding = any(attempt.is_outstanding for attempt in request.attempts)
    is_safe = (may_copy or not has_outstanding) and _is_repeat_safe(state, request)
    return is_safe and len(request.attempts) < state.settings.max_attempts


def _is_repeat_safe(state: RouterState, request: Request) -> bool:
    """Whether one more attempt does no harm after those that may have run."""
    first_us, rule = request.may_have_run_us, request.request_class
    return (
        first_us is None
        or rule.effect is api.Effect.IDEMPOTENT
        or rule.effect is api.Effect.KEYED
        and state.now_us + state.margin_us < first_us + rule.repeat_window_us
    )
