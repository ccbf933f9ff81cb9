"""Maintains the members and which of them are draining, and decides when discovery is asked."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Member, RouterState
from oatlink.rules import checks, parameters, primaries

INITIAL_CHECK_COST_US = 5_000  # assumed duration of a check until one has been answered
INITIAL_LIMIT_ATTEMPTS = 16.0  # at a member that has answered nothing yet, of all routers together


def start(state: RouterState) -> None:
    """Plan the subscription where discovery must be asked; at random, as all routers may start together."""
    if state.settings.must_ask_roster:
        has_many_peers = state.settings.peers > parameters.FEW_PEERS_COUNT
        spread_us = state.settings.ask_within_us // 4 if has_many_peers else 0
        state.roster_request_us = state.now_us + round(spread_us * state.random.random())


def request_roster(state: RouterState) -> None:
    """Subscribe, and plan to do so again if no roster comes; at the longest back-off, fetch it as well."""
    state.roster_request_us = state.now_us + state.settings.ask_within_us // 4
    state.actions.append(api.FollowRoster())
    if state.now_us + state.roster_retry_wait_us >= state.roster_request_us:
        state.actions.append(api.FetchRoster())


def apply_roster(state: RouterState, roster: api.Roster) -> None:
    """Apply a roster: its members may be new, draining, restarted or gone."""
    if roster.kind is api.RosterKind.FAILED:
        # While discovery fails, drains go unseen: it is asked again, with back-off.
        longest_us = state.settings.ask_within_us // 4
        state.roster_retry_wait_us = min(longest_us, max(2 * state.roster_retry_wait_us, longest_us // 8))
        wait_us = round(state.roster_retry_wait_us * state.random.uniform(0.5, 1.5))
        state.roster_request_us = state.now_us + wait_us
        return
    if roster.kind is not api.RosterKind.SAVED:
        state.roster_request_us, state.roster_retry_wait_us = NEVER, 0
    for entry in roster.entries:
        _apply_entry(state, entry)
    if roster.kind is not api.RosterKind.CHANGES:
        listed = {entry.member for entry in roster.entries}
        for member in [member for member in state.members.values() if member.entry.member not in listed]:
            _remove_member(state, member)


def _apply_entry(state: RouterState, entry: api.RosterEntry) -> None:
    """Apply one entry of a roster."""
    member = state.members.get(entry.member)
    if entry.listing is api.Listing.GONE:
        return _remove_member(state, member)
    group = state.group_of(entry.group)
    group.typical_service_us = -1.0
    if member is None:
        # Its position and tokens are drawn at random: otherwise all routers would choose a new member next.
        position = state.round_robin_position - state.random.random() * (len(group.members) + 1)
        limit = max(1.0, INITIAL_LIMIT_ATTEMPTS / state.settings.peers)
        member = Member(entry, position, state.random.random(), limit, INITIAL_CHECK_COST_US)
    primaries.record_listing(member, entry.primary)
    member.entry = entry
    state.members[entry.member] = group.members[entry.member] = member
    if entry.started_us > member.started_us:
        member.started_us, member.tokens = entry.started_us, state.random.random()
        member.concurrency_limit, member.average_service_us = 1.0, 0.0
    member.is_draining = member.was_terminating = entry.listing is api.Listing.TERMINATING
    if member.is_draining:
        primaries.mark_unknown(state, member)
    elif not state.settings.may_probe and member.role is api.Role.UNKNOWN:
        primaries.adopt_listed_role(state, member)
    elif entry.suspicion[0] > max(0, member.heard_us):
        # Other gateways saw it fail since it was last heard of here.
        checks.check(state, member)


def _remove_member(state: RouterState, member: Member | None) -> None:
    """Remove a member that is gone.

    Where members dropped from the roster stay open (`dropped_stay_open`), only one that was draining is
    removed.
    """
    if member is None or state.settings.dropped_stay_open and not member.was_terminating:
        return
    member.is_draining = True
    primaries.mark_unknown(state, member)
    group = state.groups[member.entry.group]
    group.members.pop(member.entry.member, None)
    group.typical_service_us = -1.0
    state.members.pop(member.entry.member, None)
