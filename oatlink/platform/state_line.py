"""The part of the log's state line that tells of the servers in use. No I/O."""

from collections.abc import Iterable

from oatlink.member_status import member_status
from oatlink.platform.requests import MemberNumbers
from oatlink.rules import Router


def summarize_members(router: Router, numbers: MemberNumbers, members: Iterable[int]) -> list[str]:
    """For each member its role, running attempts and concurrency limit; `?` marks a role in doubt.

    Meant for members with something open: a line with thousands of names would take the loop's time.
    """
    summaries = []
    for number in members:
        status = member_status(router, number)
        if status is not None:
            role = "P" if status.is_primary else status.role.value[0]
            doubt = "?" if status.is_in_doubt else ""
            load = f"{status.outstanding}/{status.concurrency_limit:.1f}"
            summaries.append(f"{numbers.name_of(number)}:{role}{doubt} {load}")
    return summaries
