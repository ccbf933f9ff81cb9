"""What is done with a request that has come in."""

from oatlink.interface import Arrival, Freshness
from oatlink.router_state import Request, RouterState
from oatlink.rules import checks, dispatch, parameters, queueing, sweeps

DRAW_STEPS_COUNT = 8  # in which a cold primary admits what only it takes


def handle_arrival(state: RouterState, event: Arrival) -> None:
    """Send a request, or hold it until its group can take it, or refuse it by chance."""
    rule, group = state.classes[event.class_name], state.group_of(event.group)
    group.arrival_count += 1
    carried_us = event.since_write_us if rule.freshness is Freshness.SESSION else None
    need = event.min_position_us if carried_us is None else state.now_us - carried_us
    need = state.now_us if rule.freshness is Freshness.LATEST else need
    request = Request(
        event.request,
        rule,
        event.group,
        state.now_us,
        state.now_us + event.expires_in_us,
        event.session,
        need,
        rule.worth * _tenant_factor(state, event.tenant),
        group.arrival_count,
    )
    if state.settings.peers > parameters.FEW_PEERS_COUNT:
        request.is_primary_only = rule.freshness in (Freshness.WRITE, Freshness.LATEST)
        request.admission_draw = (1 + state.random.randrange(DRAW_STEPS_COUNT)) / DRAW_STEPS_COUNT
        state.arrival_count += 1
        state.answers_per_arrival = 0.95 * state.answers_per_arrival
        state.primary_only_share += (request.is_primary_only - state.primary_only_share) * max(
            1 / state.arrival_count, 0.01
        )
    request.settled_by_us = request.expires_us + max(rule.deadline_us, rule.repeat_window_us)
    state.requests[request.id] = request
    (checks.check_all if group.checked_us < 0 else checks.check_stale)(state, group)  # at first: who they are
    state.average_worth += 0.05 * (request.worth - state.average_worth)
    drawn = state.random.random() ** max(request.worth, 0.01) if group.admission_ratio < 1.0 else 0.0
    # Threat: a share that is never tried never comes back.
    admitted_share = group.admission_ratio**state.average_worth
    if drawn > admitted_share and state.now_us - group.admitted_us < state.settings.fall_us:
        queueing.give_up(state, request)
    else:  # Threat: a tenant's flood. Past its share it passes nothing that waits, nor is passed by others.
        group.admitted_us, held = state.now_us, bool(state.pending[group.id].entries)
        must_wait = held and (request.worth < rule.worth or group.id in state.deferred_groups)
        dispatch.submit(state, request, must_wait)
    sweeps.plan_sweep(state, group)


def _tenant_factor(state: RouterState, tenant: str | None) -> float:
    """What a tenant's next request counts: all within its share, little past it."""
    if tenant is None or tenant not in state.tenant_budgets:
        return 1.0
    rate, left, since = state.tenant_budgets[tenant]
    left = min(rate, left + rate * (state.now_us - since) / 1e6)
    state.tenant_budgets[tenant] = (rate, left - (left >= 1.0), state.now_us)
    return 1.0 if left >= 1.0 else state.settings.over_share_worth
