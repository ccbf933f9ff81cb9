"""Decides what happens to a request that has arrived."""

from oatlink.interface import Arrival, Freshness, RequestClass
from oatlink.router_state import Group, Request, RouterState
from oatlink.rules import checks, dispatch, parameters, queueing, sweeps

DRAW_STEPS_COUNT = 8  # steps in which a cold primary admits the requests that only it takes


def handle_arrival(state: RouterState, event: Arrival) -> None:
    """Send a request, or keep it until its group can take it, or refuse it at random under overload."""
    rule, group = state.classes[event.class_name], state.group_of(event.group)
    request = _make_request(state, rule, group, event)
    state.requests[request.id] = request
    if group.checked_us < 0:  # the first request of this group: nothing is known of its members' roles
        checks.check_all(state, group)
    else:
        checks.check_stale(state, group)
    state.average_worth += 0.05 * (request.worth - state.average_worth)
    draw = state.random.random() ** max(request.worth, 0.01) if group.admission_ratio < 1.0 else 0.0
    admitted_share = group.admission_ratio**state.average_worth
    # If none was admitted for `fall_us`, the next one is: without an answer the ratio would never rise again.
    if draw > admitted_share and state.now_us - group.admitted_us < state.settings.fall_us:
        queueing.give_up(state, request)
    else:
        group.admitted_us, has_pending = state.now_us, bool(state.pending[group.id].entries)
        # A request of a tenant over its rate doesn't overtake the pending ones, so that its flood takes no
        # capacity from others. While the group's dispatch is deferred, no request overtakes them.
        must_wait = has_pending and (request.worth < rule.worth or group.id in state.deferred_groups)
        dispatch.submit(state, request, must_wait)
    sweeps.plan_sweep(state, group)


def _make_request(state: RouterState, rule: RequestClass, group: Group, event: Arrival) -> Request:
    """Create the record of a request and count it among the arrivals of its group."""
    group.arrival_count += 1
    carried_us = event.since_write_us if rule.freshness is Freshness.SESSION else None
    position_us = event.min_position_us if carried_us is None else state.now_us - carried_us
    position_us = state.now_us if rule.freshness is Freshness.LATEST else position_us
    request = Request(
        event.request,
        rule,
        event.group,
        state.now_us,
        state.now_us + event.expires_in_us,
        event.session,
        position_us,
        rule.worth * _tenant_factor(state, event.tenant),
        group.arrival_count,
    )
    if state.settings.peers > parameters.FEW_PEERS_COUNT:
        request.is_primary_only = rule.freshness in (Freshness.WRITE, Freshness.LATEST)
        request.admission_draw = (1 + state.random.randrange(DRAW_STEPS_COUNT)) / DRAW_STEPS_COUNT
        state.arrival_count += 1
        state.answers_per_arrival = 0.95 * state.answers_per_arrival
        weight = max(1 / state.arrival_count, 0.01)
        state.primary_only_share += (request.is_primary_only - state.primary_only_share) * weight
    request.settled_by_us = request.expires_us + max(rule.deadline_us, rule.repeat_window_us)
    return request


def _tenant_factor(state: RouterState, tenant: str | None) -> float:
    """The factor on a request's worth: 1 within its tenant's rate here, beyond it `over_share_worth`."""
    if tenant is None or tenant not in state.tenant_budgets:
        return 1.0
    rate, left, updated_us = state.tenant_budgets[tenant]
    left = min(rate, left + rate * (state.now_us - updated_us) / 1e6)
    state.tenant_budgets[tenant] = (rate, left - (left >= 1.0), state.now_us)
    return 1.0 if left >= 1.0 else state.settings.over_share_worth
