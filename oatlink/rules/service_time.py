"""How long an answer takes."""

from oatlink.router_state import Book, Group


def reserve_us(book: Book, group: Group) -> int:
    """What to leave for an answer. Threat: members that stand unused say little of those that work."""
    return round(max(usual_us(book, group), group.answer_us))


def usual_us(book: Book, group: Group) -> float:
    """What an answer of the group takes by what its members have shown."""
    if group.usual_us < 0:
        shown = [one.duration_us for one in group.members.values() if one.duration_us > 0]
        group.usual_us = sum(shown) / len(shown) if shown else 0.0
    return group.usual_us or book.answer_us
