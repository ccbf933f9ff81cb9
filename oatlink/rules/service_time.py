"""Estimates how long an answer takes, from the service times that were observed."""

from oatlink.router_state import Group, RouterState


def reserve_us(state: RouterState, group: Group) -> int:
    """The time to reserve for an answer: the larger of the members' mean and the group's recent average.

    The mean over members alone could be too low: idle members count as much as those that serve the requests.
    """
    return round(max(typical_us(state, group), group.average_service_us))


def typical_us(state: RouterState, group: Group) -> float:
    """The mean of the members' average service times; the average of all groups where none has served yet."""
    if group.typical_service_us < 0:
        averages = [member.average_service_us for member in group.members.values()]
        observed = [average_us for average_us in averages if average_us > 0]
        group.typical_service_us = sum(observed) / len(observed) if observed else 0.0
    return group.typical_service_us or state.average_service_us
