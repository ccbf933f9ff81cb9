"""Decides what the end of an attempt or of a check means for its member and its request."""

from oatlink.interface import AttemptEnded, Cancel, Checked, DropIdle, Freshness, Outcome, Role
from oatlink.router_state import Group, Member, Request, RouterState
from oatlink.rules import checks, concurrency, dispatch, parameters, primaries, queueing, sending, sessions


def handle_check(state: RouterState, event: Checked) -> None:
    """Process the end of a check. `FULL` says nothing of the member; other failures make its role unknown."""
    member = state.members.get(event.member)
    if member is None:
        return
    group, sent_us, member.check_sent_us = state.groups[member.entry.group], member.check_sent_us or 0, None
    if event.outcome is Outcome.SERVED:
        _record_check(state, group, member, event)
    elif event.outcome is not Outcome.FULL and max(member.answered_us, state.stalled_us) < sent_us:
        # If the member has answered an attempt since the check was sent, it works although its checks fail.
        member.failed_check_count += 1
        primaries.mark_unknown(state, member)
        if all(peer.heard_us < 0 and peer.failed_check_count for peer in group.members.values()):
            # No member has ever answered a check, and nothing is known of any: the listed roles are tried.
            for peer in group.members.values():
                primaries.adopt_listed_role(state, peer)
    dispatch.dispatch_pending(state, group)


def _record_check(state: RouterState, group: Group, member: Member, event: Checked) -> None:
    """Record the report of a check that was answered."""
    if member.failed_check_count:
        # A member that comes back is cold and may still work on requests that hung: it starts at one attempt.
        member.failed_check_count, member.concurrency_limit = 0, 1.0
        member.average_service_us, group.typical_service_us = 0.0, -1.0
    member.check_cost_us += 0.2 * (event.duration_us - member.check_cost_us)
    primaries.record_report(state, member, event.report, is_current=False)
    if member.role is Role.UNKNOWN and (event.report is None or event.report.role is Role.UNKNOWN):
        primaries.adopt_listed_role(state, member)


def handle_attempt(state: RouterState, event: AttemptEnded) -> None:
    """Process the end of an attempt: update its member, then end, retry or queue its request."""
    member, request = state.members.get(event.member), state.requests.get(event.request)
    key = (event.request, event.attempt)
    sent_us = member.outstanding.pop(key, None) if member is not None else None
    if member is not None and sent_us is not None:
        _record_outcome(state, member, event, sent_us)
    if request is not None and event.attempt < len(request.attempts):
        attempt = request.attempts[event.attempt]
        attempt.is_outstanding = False
        if event.outcome.may_have_run and request.may_have_run_us is None:
            request.may_have_run_us = attempt.sent_us
        sessions.settle_write(state, request)
        (_finish if event.over else _retry)(state, request, event)
        dispatch.dispatch_pending(state, state.groups[request.group])
    elif member is not None:
        dispatch.dispatch_pending(state, state.groups[member.entry.group])


def _record_outcome(state: RouterState, member: Member, event: AttemptEnded, sent_us: int) -> None:
    """Apply the error rules to a member for the outcome of an attempt."""
    if event.answer is not None:
        member.answered_us = state.now_us
        primaries.record_report(state, member, event.answer, is_current=True)
    if event.report is not None:
        primaries.record_report(state, member, event.report, is_current=False)
    if sent_us >= state.stalled_us:
        concurrency.record_outcome(state, member, event)
    silent_us = state.now_us - member.heard_us
    if event.outcome is Outcome.NO_CONNECTION and silent_us < parameters.HEARTBEAT_US:
        # The member was heard of recently, so it is more likely full for this router than dead. Connections
        # that worked are kept, and a check shows which of the two it is.
        if silent_us > state.target_service_us:
            checks.check(state, member)
    elif event.outcome is Outcome.RESET and member.heard_us > max(
        member.connection_broken_us, state.now_us - state.target_service_us
    ):
        # The member was heard of just before, so one connection broke and not the member. A second break
        # before the member is heard of again counts as the member's failure.
        member.connection_broken_us = state.now_us
        checks.check(state, member)
    elif event.outcome in (Outcome.RESET, Outcome.NO_CONNECTION):
        state.actions.append(DropIdle(member.entry.member))
        primaries.mark_unknown(state, member)
        checks.check(state, member)
    elif event.outcome is Outcome.MISS or event.outcome is Outcome.ERROR and member.role is not Role.PRIMARY:
        request = state.requests.get(event.request)
        if request is not None and request.request_class.freshness is Freshness.WRITE:
            if event.outcome is Outcome.MISS:
                primaries.record_denial(state, member)
            else:
                primaries.mark_unknown(state, member)
            checks.check(state, member)


def _finish(state: RouterState, request: Request, event: AttemptEnded) -> None:
    """End a request whose client has its answer: settle its write, cancel its other attempts."""
    if event.outcome is Outcome.SERVED:
        position_us = (event.answer and event.answer.position_us) or state.now_us
        sessions.settle_write(state, request, position_us)
    if state.settings.may_cancel:
        attempts = enumerate(request.attempts)
        outstanding = [number for number, attempt in attempts if attempt.is_outstanding]
        state.actions += [Cancel(request.id, number) for number in outstanding]
    queueing.forget(state, request.id)


def _retry(state: RouterState, request: Request, event: AttemptEnded) -> None:
    """Start the next attempt of a request whose attempt has failed, or give it up."""
    if event.outcome is Outcome.NOT_SENT or state.now_us >= request.expires_us - state.margin_us:
        return queueing.give_up(state, request)
    request.tried_members.append(event.member)
    # A repeat loads a cold primary as much as a first send does. After `FULL` the draw is raised, so that the
    # request waits until a larger share is released.
    request.admission_draw += request.is_primary_only and event.outcome is Outcome.FULL
    # One error may be the member's fault; a second is the request's, which would fail everywhere.
    is_error = event.outcome is Outcome.ERROR
    failed_twice, request.has_failed = request.has_failed and is_error, request.has_failed or is_error
    if not any(attempt.is_outstanding for attempt in request.attempts):
        if failed_twice or not sending.may_repeat(state, request):
            queueing.give_up(state, request)
        else:
            dispatch.submit(state, request)
