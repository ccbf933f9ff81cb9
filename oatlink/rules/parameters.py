"""Derives parameters from the settings, and defines the constants that several modules use."""

from oatlink.interface import Freshness, Settings
from oatlink.router_state import RouterState

HEARTBEAT_US = 10_000_000  # the design's default; what a member has shown counts for about this long
PENDING_CHECK_US = 500_000  # the design's interval of checks while a group has no primary
LISTED_ROLE_MAX_DELAY_US = 10_000_000  # until discovery's list names a new primary
# Up to this many routers may each have an attempt outstanding, and keep the design's heartbeat.
FEW_PEERS_COUNT = 4


def configure(state: RouterState, settings: Settings) -> None:
    """Use these settings from now on."""
    settings.validate()
    state.settings = settings
    state.classes |= {rule.name: rule for rule in settings.classes}
    worth = sum(rule.worth for rule in settings.classes) or 1.0
    # A third of the aim, weighted by worth: slower answers leave no time to keep a request pending or to
    # retry.
    state.target_service_us = sum(rule.worth * rule.aim_us for rule in settings.classes) / worth / 3
    bounds = [rule.staleness_us for rule in settings.classes if rule.freshness is Freshness.BOUNDED]
    state.staleness_bound_us = min(bounds, default=HEARTBEAT_US)
    state.tick_us = max(4 * settings.step_us, 20_000)  # longer than a batch of events, shorter than any aim
    state.margin_us = 2 * settings.step_us
    state.heartbeat_us = HEARTBEAT_US * max(1, settings.peers // FEW_PEERS_COUNT)
    state.tenant_budgets = {}
    for tenant, rate in settings.tenant_rates:
        state.tenant_budgets[tenant] = (max(1.0, rate / settings.peers), 0.0, 0)
