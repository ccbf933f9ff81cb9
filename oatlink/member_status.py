"""What a router holds of a member, for people and for their tools. It changes nothing and decides nothing."""

from oatlink.router_state import Belief
from oatlink.rules import Router, checks, cold


def belief(router: Router, number: int) -> Belief | None:
    """What is held of a member; None for one that is not listed or drains."""
    book, member = router.book, router.book.members.get(number)
    if member is None or member.drained:
        return None
    primary, doubt = book.groups[member.entry.group].primary == number, checks.in_doubt(book, member)
    return Belief(member.role, primary, doubt, cold.warmth(book, member), len(member.out), member.room)
