"""Who is there, who drains, and when discovery is asked."""

from oatlink import interface as api
from oatlink.router_state import NEVER, Member, RouterState
from oatlink.rules import checks, parameters, primaries

INITIAL_CHECK_COST_US = 5_000  # what a check is taken to last before one has been answered
INITIAL_LIMIT_ATTEMPTS = 16.0  # out at a member that has shown nothing, of all routers together


def start(state: RouterState) -> None:
    """Subscribe where discovery must be asked. Threat: all routers may start in the same instant."""
    if state.settings.must_ask_roster:
        many_peers = state.settings.peers > parameters.FEW_PEERS_COUNT
        spread_us = state.settings.ask_within_us // 4 if many_peers else 0
        state.roster_request_us = state.now_us + round(spread_us * state.random.random())


def request_roster(state: RouterState) -> None:
    """Subscribe, and again should nothing come; a plain fetch too once that has failed for long."""
    state.roster_request_us = state.now_us + state.settings.ask_within_us // 4
    state.actions.append(api.FollowRoster())
    if state.now_us + state.roster_retry_wait_us >= state.roster_request_us:
        state.actions.append(api.FetchRoster())


def apply_roster(state: RouterState, roster: api.Roster) -> None:
    """Take in a list: who is there, who drains, who has started."""
    if roster.kind is api.RosterKind.FAILED:  # Threat: it hides drains. Ask again, ever more rarely
        longest = state.settings.ask_within_us // 4
        state.roster_retry_wait_us = min(longest, max(2 * state.roster_retry_wait_us, longest // 8))
        wait_us = round(state.roster_retry_wait_us * state.random.uniform(0.5, 1.5))
        state.roster_request_us = state.now_us + wait_us
        return
    if roster.kind is not api.RosterKind.SAVED:
        state.roster_request_us, state.roster_retry_wait_us = NEVER, 0
    for entry in roster.entries:
        _apply_entry(state, entry)
    if roster.kind is not api.RosterKind.CHANGES:
        named = {entry.member for entry in roster.entries}
        for member in [one for one in state.members.values() if one.entry.member not in named]:
            _remove_member(state, member)


def _apply_entry(state: RouterState, entry: api.RosterEntry) -> None:
    """Take in one line of a list."""
    member = state.members.get(entry.member)
    if entry.listing is api.Listing.GONE:
        return _remove_member(state, member)
    group = state.group_of(entry.group)
    group.typical_service_us = -1.0
    if member is None:  # Threat: a new one is everybody's next. Its first turn and token are drawn
        turn = state.round_robin_position - state.random.random() * (len(group.members) + 1)
        room = max(1.0, INITIAL_LIMIT_ATTEMPTS / state.settings.peers)
        member = Member(entry, turn, state.random.random(), room, INITIAL_CHECK_COST_US)
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
    elif entry.suspicion[0] > max(0, member.heard_us):  # others saw it fail since it was heard of here
        checks.check(state, member)


def _remove_member(state: RouterState, member: Member | None) -> None:
    """A member is gone. Where a dropped one stays open, only one that was seen draining is bound."""
    if member is None or state.settings.dropped_stay_open and not member.was_terminating:
        return
    member.is_draining = True
    primaries.mark_unknown(state, member)
    group = state.groups[member.entry.group]
    group.members.pop(member.entry.member, None)
    group.typical_service_us = -1.0
    state.members.pop(member.entry.member, None)
