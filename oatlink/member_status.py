"""What a router holds of a member, for people and for their tools. It changes nothing and decides nothing."""

from oatlink.router_state import MemberStatus
from oatlink.rules import Router, checks, cold


def member_status(router: Router, number: int) -> MemberStatus | None:
    """What is held of a member; None for one that is not listed or drains."""
    state, member = router.state, router.state.members.get(number)
    if member is None or member.is_draining:
        return None
    primary, doubt = state.groups[member.entry.group].primary == number, checks.is_in_doubt(state, member)
    return MemberStatus(
        member.role, primary, doubt, cold.warmth(state, member), len(member.outstanding), member.concurrency_limit
    )
