"""What follows from the settings, and the times that several modules go by."""

from oatlink.interface import Freshness, Settings
from oatlink.router_state import Book

HEARTBEAT_US = 10_000_000  # the design's default; also how long what a member has shown is believed
HOLD_CHECK_US = 500_000  # the design's period of checks while a group lacks a primary
FEW_PEERS_COUNT = 4  # routers, each of which may have an attempt out and keep the design's heartbeat


def configure(book: Book, settings: Settings) -> None:
    """Go by these settings from now on."""
    settings.validate()
    book.settings = settings
    book.classes |= {rule.name: rule for rule in settings.classes}
    worth = sum(rule.worth for rule in settings.classes) or 1.0
    # A third of the aim, weighed by worth: slower answers leave no time to hold a request or try again.
    book.target_us = sum(rule.worth * rule.aim_us for rule in settings.classes) / worth / 3
    bounds = [rule.staleness_us for rule in settings.classes if rule.freshness is Freshness.BOUNDED]
    book.bound_us = min(bounds, default=HEARTBEAT_US)
    book.tick_us = max(4 * settings.step_us, 20_000)  # looks are rarer than batches, finer than any aim
    book.margin_us = 2 * settings.step_us
    book.heartbeat_us = HEARTBEAT_US * max(1, settings.peers // FEW_PEERS_COUNT)
    book.shares = {one: (max(1.0, rate / settings.peers), 0.0, 0) for one, rate in settings.tenant_rates}
