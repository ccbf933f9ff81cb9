"""How long an answer takes."""

from oatlink.router_state import Group, RouterState


def reserve_us(state: RouterState, group: Group) -> int:
    """What to leave for an answer. Threat: members that stand unused say little of those that work."""
    return round(max(typical_us(state, group), group.average_service_us))


def typical_us(state: RouterState, group: Group) -> float:
    """What an answer of the group takes by what its members have shown."""
    if group.typical_service_us < 0:
        shown = [one.average_service_us for one in group.members.values() if one.average_service_us > 0]
        group.typical_service_us = sum(shown) / len(shown) if shown else 0.0
    return group.typical_service_us or state.average_service_us
