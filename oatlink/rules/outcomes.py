"""What the end of an attempt, or of a check, says of its member and its request."""

from oatlink.interface import AttemptEnded, Cancel, Checked, DropIdle, Freshness, Outcome, Role
from oatlink.router_state import Member, Request, RouterState
from oatlink.rules import checks, concurrency, dispatch, parameters, primaries, queueing, sending, sessions


def handle_check(state: RouterState, end: Checked) -> None:
    """A check has ended. A capped one says nothing; any other failure marks the member unknown."""
    member = state.members.get(end.member)
    if member is None:
        return
    group, sent_us, member.check_sent_us = state.groups[member.entry.group], member.check_sent_us or 0, None
    if end.outcome is Outcome.SERVED:
        if member.failed_check_count:  # Threat: a member comes back cold, with hung work in it
            member.failed_check_count, member.concurrency_limit = 0, 1.0
            member.average_service_us, group.typical_service_us = 0.0, -1.0
        member.check_cost_us += 0.2 * (end.duration_us - member.check_cost_us)
        primaries.record_report(state, member, end.report, fresh=False)
        if member.role is Role.UNKNOWN and (end.report is None or end.report.role is Role.UNKNOWN):
            primaries.adopt_listed_role(state, member)
    elif end.outcome is not Outcome.FULL and max(member.answered_us, state.stalled_us) < sent_us:
        # Threat: checks that fail though the member works. An answer since the check went out says more.
        member.failed_check_count += 1
        primaries.mark_unknown(state, member)
        if all(one.heard_us < 0 and one.failed_check_count for one in group.members.values()):
            # Threat: no check is ever answered. With nothing heard at all the list's roles are tried.
            for one in group.members.values():
                primaries.adopt_listed_role(state, one)
    dispatch.dispatch_pending(state, group)


def handle_attempt(state: RouterState, end: AttemptEnded) -> None:
    """An attempt has ended: learn from it, then answer, resend or hold its request."""
    member, request = state.members.get(end.member), state.requests.get(end.request)
    sent_us = member.outstanding.pop((end.request, end.attempt), None) if member is not None else None
    if member is not None and sent_us is not None:
        _record_outcome(state, member, end, sent_us)
    if request is not None and end.attempt < len(request.attempts):
        request.attempts[end.attempt].is_outstanding = False
        if end.outcome.may_have_run and request.may_have_run_us is None:
            request.may_have_run_us = request.attempts[end.attempt].sent_us
        sessions.settle_write(state, request)
        (_finish if end.over else _retry)(state, request, end)
        dispatch.dispatch_pending(state, state.groups[request.group])
    elif member is not None:
        dispatch.dispatch_pending(state, state.groups[member.entry.group])


def _record_outcome(state: RouterState, member: Member, end: AttemptEnded, sent_us: int) -> None:
    """The error rules: what an outcome says of its member."""
    if end.answer is not None:
        member.answered_us = state.now_us
        primaries.record_report(state, member, end.answer, fresh=True)
    if end.report is not None:
        primaries.record_report(state, member, end.report, fresh=False)
    if sent_us >= state.stalled_us:
        concurrency.record_outcome(state, member, end)
    if end.outcome is Outcome.NO_CONNECTION and state.now_us - member.heard_us < parameters.HEARTBEAT_US:
        # Threat: the member is full for this router. Connections that worked are kept; a check tells.
        if state.now_us - member.heard_us > state.target_service_us:
            checks.check(state, member)
    elif end.outcome is Outcome.RESET and member.heard_us > max(
        member.connection_broken_us, state.now_us - state.target_service_us
    ):
        # Threat: one connection broke, not the member, heard of just before. A second one says more.
        member.connection_broken_us = state.now_us
        checks.check(state, member)
    elif end.outcome in (Outcome.RESET, Outcome.NO_CONNECTION):
        state.actions.append(DropIdle(member.entry.member))
        primaries.mark_unknown(state, member)
        checks.check(state, member)
    elif end.outcome is Outcome.MISS or end.outcome is Outcome.ERROR and member.role is not Role.PRIMARY:
        request = state.requests.get(end.request)
        if request is not None and request.request_class.freshness is Freshness.WRITE:
            primaries.mark_unknown(state, member)
            checks.check(state, member)


def _finish(state: RouterState, request: Request, end: AttemptEnded) -> None:
    """The client has its answer: remember a session's write, call off copies."""
    if end.outcome is Outcome.SERVED:
        sessions.settle_write(state, request, (end.answer and end.answer.position_us) or state.now_us)
    if state.settings.may_cancel:
        outstanding = [number for number, one in enumerate(request.attempts) if one.is_outstanding]
        state.actions += [Cancel(request.id, number) for number in outstanding]
    queueing.forget(state, request.id)


def _retry(state: RouterState, request: Request, end: AttemptEnded) -> None:
    """An attempt has failed: the next one, or the end."""
    if end.outcome is Outcome.NOT_SENT or state.now_us >= request.expires_us - state.margin_us:
        return queueing.give_up(state, request)
    request.tried_members.append(end.member)
    # Threat: each send weighs, also a repeat
    request.admission_draw += request.is_primary_only and end.outcome is Outcome.FULL
    # Threat: requests that fail everywhere. One error may be the member's, a second is the request's.
    error = end.outcome is Outcome.ERROR
    again, request.has_failed = request.has_failed and error, request.has_failed or error
    if not any(one.is_outstanding for one in request.attempts):
        over = again or not sending.may_repeat(state, request)
        (queueing.give_up if over else dispatch.submit)(state, request)
