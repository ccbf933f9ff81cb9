"""Reports what a router knows of a member, for operators and their tools. Changes and decides nothing."""

from oatlink.router_state import MemberStatus
from oatlink.rules import Router, checks, cold


def member_status(router: Router, number: int) -> MemberStatus | None:
    """What is known of a member; None for one that is not listed or is draining."""
    state, member = router.state, router.state.members.get(number)
    if member is None or member.is_draining:
        return None
    return MemberStatus(
        member.role,
        state.groups[member.entry.group].primary == number,
        checks.is_in_doubt(state, member),
        cold.warmth(state, member),
        len(member.outstanding),
        member.concurrency_limit,
    )
