"""The life of a request, from the client's command to the final answer. No I/O.

A request is created, waits for earlier requests of the same client if it has to, is handed to the Router, sent, ended
and answered. It is answered exactly once: only `_finish` sets a pending reply's answer. The Router decides which member
a request goes to and when it waits, is sent again, refused or failed; this module turns the Router's actions into
effects.
"""

import heapq

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core import outcomes
from oatlink.core.boxes import EVIDENCE_BY_ENDING
from oatlink.core.classify import PINNED, slots_of
from oatlink.core.commands import Kind, Spec
from oatlink.core.gated import Gated
from oatlink.core.overload import is_too_late
from oatlink.core.reports import parse_info
from oatlink.core.sessions import PendingReply, PendingRequest, Session, failure, over_quota, refusal, unserved
from oatlink.interface import Outcome, Role
from oatlink.protocols.resp import command, encode_command, error
from oatlink.settings.model import RequestClass

ANSWER_MARGIN_US = 4_000  # a final answer is given at the latest this long before the client's deadline


class Requests(Gated):
    """Carries requests between clients and the Router."""

    @property
    def idle(self) -> bool:
        """Whether no client is owed an answer."""
        return not any(session.pending_replies for session in self._sessions.values())

    @property
    def last_request(self) -> int:
        """The number of the newest request. Requests are numbered from 1."""
        return self._last_request

    def request(self, number: int) -> PendingRequest | None:
        """A request that has open attempts or is owed an answer, else None."""
        return self._requests.get(number)

    def may_write(self, request_id: int, attempt: int, now_us: int) -> bool:
        """Whether an attempt may be written now. Changes nothing; the shell calls it immediately before the write.

        Prevents a write for a client that has left or has its answer, to a box that drains, has moved or is gone, or
        after the window for repeats.
        """
        request = self._requests.get(request_id)
        if request is None or attempt not in request.open_attempts or request.pending_reply.answer is not None:
            return False
        return self.router.may_write(str(request_id), attempt, now_us)

    def _route(self, event: api.Event) -> None:
        """Pass an event to the Router and turn its actions into effects."""
        for action in self.router.handle(event, self._now, self._more_follows):
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.SetTimer):
                self._router_due = min(self._router_due, action.at_us)
            elif isinstance(action, api.Check):
                self._start_check(action.member)
            elif isinstance(action, api.Refuse):
                self._refuse(self._requests[int(action.request)], action.retry_after_us)
            elif isinstance(action, api.Fail):
                self._fail(self._requests[int(action.request)])
            elif isinstance(action, api.DropIdle):
                if action.member in self._box_names:
                    self._out.append(m.DropIdle(self._box_names[action.member]))
            elif isinstance(action, api.Log):
                self._out.append(m.Note("router", self._named(action.text)))

    def _named(self, text: str) -> str:
        """A log line of the Router with its numbers of members and groups replaced by their names."""
        words = text.split()
        for index, word in enumerate(words):
            number = word.rstrip(":")
            if number.isdigit():
                if index and words[index - 1] == "group":
                    words[index] = self.settings.banks[int(number)].name + word[len(number) :]
                elif int(number) in self._box_names:
                    words[index] = self._box_names[int(number)]
        return " ".join(words)

    def _send(self, action: api.Send) -> None:
        """Start an attempt. Attempts are numbered as the Router counts the sends of a request."""
        request = self._requests[int(action.request)]
        box = self._box_names[action.member]
        state = self._boxes[box]
        attempt, request.attempts = request.attempts, request.attempts + 1
        address = self._choose_path(state)
        request.open_attempts[attempt] = (action.member, box, self._now, address)
        until_us = self._deadline_us(request)
        if attempt == 0:
            request.first_sent_us = self._now
        elif not request.may_have_run:
            request.first_sent_us = self._now  # no earlier attempt can have run: the window for repeats starts now
        elif request.rule.effect == "keyed":
            # Prevents a repeat that waits for a connection from running after the bank has forgotten the first attempt.
            until_us = min(until_us, request.first_sent_us + request.rule.repeat_window_ms * 1_000 - ANSWER_MARGIN_US)
        lease = request.lease
        session = self._sessions.get(request.client)
        if lease and session is not None:
            if session.lease_box and session.lease_box != box:
                session.lease_lost = True  # the primary has moved, and the keys are not watched at the new one
            session.lease_box = session.lease_box or box
            if session.lease_lost or session.lease != lease:
                lease = 0
                if request.is_exec or request.is_watch:
                    # Prevents EXEC on a connection that watches nothing, and WATCH on one that other clients share.
                    del request.open_attempts[attempt]
                    self._end_on_path(state, address, "", "unsent", self._now, 0)
                    self._end_unwatched(request)
                    self._route(
                        api.AttemptEnded(str(request.id), attempt, action.member, Outcome.CANCELLED, 0, over=True)
                    )
                    return
        if request.version and not self._serves_version(state, request):
            del request.open_attempts[attempt]
            self._end_on_path(state, address, "", "unsent", self._now, 0)
            self._reject_unserved(request, state)
            self._route(api.AttemptEnded(str(request.id), attempt, action.member, Outcome.CANCELLED, 0, over=True))
            return
        is_report_due = self._now - state.offset_asked_us >= self._sample_interval_us // 2
        requests_report = is_report_due and not request.is_transaction and not request.alone
        if requests_report:
            state.offset_asked_us = self._now
        run_id = state.report.run_id if state.report is not None else ""
        self._out.append(
            m.Send(
                request.id,
                attempt,
                box,
                request.payload,
                request.replies,
                request.protocol,
                run_id,
                until_us,
                lease,
                request.alone,
                requests_report,
                address,
                request.runs_from or len(request.payload),
            )
        )

    def _expire(self, request_id: int) -> None:
        """End a request whose deadline has passed: its open attempts are late, and the Router decides the answer."""
        request = self._requests.get(request_id)
        if request is None:
            return
        is_answered = request.pending_reply.answer is not None
        if not request.started and not is_answered:
            # It waited behind the same client's earlier commands and was never sent.
            self._refuse(request, 0)
            return
        for attempt, (member, box, sent_us, address) in list(request.open_attempts.items()):
            del request.open_attempts[attempt]
            request.may_have_run = True
            state = self._boxes.get(box)
            if state is not None:
                self._end_on_path(state, address, "", "late", sent_us, 0)
                self._observe(state, "hung")
            self._route(
                api.AttemptEnded(str(request_id), attempt, member, Outcome.LATE, self._now - sent_us, over=is_answered)
            )
            is_answered = request.pending_reply.answer is not None
        if not is_answered:
            # The Router gives up pending requests in time by itself. This makes sure that every request is answered.
            self._route(api.Departure(str(request_id)))
            self._fail(request)
        self._forget_request(request_id)

    def _on_ended(self, event: m.AnyInput) -> None:
        """Process the end of an attempt: first what it shows about the box, then the request's outcome."""
        assert isinstance(event, m.Ended)
        self._more_follows = event.more
        state = self._boxes.get(event.box)
        if event.info and state is not None:
            self._apply_report(state, parse_info(event.info), event.sent_us)
        request = self._requests.get(event.request)
        entry = request.open_attempts.pop(event.attempt, None) if request is not None else None
        if request is None or entry is None:
            return  # its deadline had passed before
        member = entry[0]
        only_path = state is not None and self._end_on_path(
            state, entry[3], event.address, event.how, entry[2], event.took_us
        )
        if event.how == "reply":
            outcome = outcomes.of_reply(event.frames, request.is_transaction)
            if (
                outcome is Outcome.SERVED
                and request.wait_replicas
                and event.frames[0][:1] != b"-"
                and not outcomes.enough_replicas(event.frames[-1], request.wait_replicas)
            ):
                outcome = Outcome.ERROR  # it has run, but too few replicas have it: this is not an answer yet
        else:
            # The loss of one path of a live box is no evidence against the box; what was on the path may have run.
            if state is not None and not only_path and event.how in EVIDENCE_BY_ENDING:
                self._observe(state, EVIDENCE_BY_ENDING[event.how])
            outcome = Outcome.CANCELLED if only_path else outcomes.ENDINGS[event.how]
        request.may_have_run = request.may_have_run or outcome.may_have_run
        report = answer = None
        if event.how == "reply" and state is not None and state.member == member:
            # An answer proves that the box is alive; the answer to a write, that it was primary when it was sent.
            answer = api.Report()
            if request.is_write and outcome is Outcome.SERVED and event.frames[-1][:1] != b"-":
                answer = api.Report(self._now)
                report = api.Report(event.sent_us, Role.PRIMARY)
            else:
                report = self._router_report(state, event.sent_us) if event.info else self._updated_position(state)
        if request.lease and event.how != "reply":
            self._lose_lease(request)
        is_answered = request.pending_reply.answer is not None
        if outcome is Outcome.SERVED and not is_answered:
            self._serve(request, event)
            is_answered = True
        self._route(
            api.AttemptEnded(
                str(request.id), event.attempt, member, outcome, event.took_us, is_answered, answer, report
            )
        )
        if request.pending_reply.answer is not None and not request.open_attempts:
            self._forget_request(request.id)

    def _serve(self, request: PendingRequest, event: m.Ended) -> None:
        """Answer the client with the first successful reply."""
        if request.is_transaction:
            data = event.frames[-1]
        elif request.wait_replicas:
            data = event.frames[0]
        else:
            data = event.frames[0] if len(event.frames) == 1 else b"".join(event.frames)
        session = self._sessions.get(request.client)
        if session is not None and request.is_exec and session.lease:
            self._release(session)
        self.counts["served"] += 1
        self._out.append(m.Counted(request.rule.name, "served", self._now - request.arrived_us, event.box))
        self._finish(request, data)

    def _note_unserved(self, request: PendingRequest) -> None:
        """Remember when a request ended unserved past its aim, because the commands behind it have waited in vain."""
        session = self._sessions.get(request.client)
        if session is not None and self._now >= min(
            request.arrived_us + request.rule.aim_ms * 1_000, self._deadline_us(request)
        ):
            session.last_unserved_us = self._now

    def _refuse(self, request: PendingRequest, retry_after_us: int) -> None:
        self._note_unserved(request)
        self._end_lease(request)
        self.counts["refused"] += 1
        self._out.append(m.Counted(request.rule.name, "refused", self._now - request.arrived_us))
        self._finish(request, refusal(retry_after_us))

    def _fail(self, request: PendingRequest) -> None:
        self._note_unserved(request)
        self._end_lease(request)
        self.counts["failed"] += 1
        self._out.append(m.Counted(request.rule.name, "failed", self._now - request.arrived_us))
        self._finish(request, failure(request.rule.effect != "idempotent"))

    def _finish(self, request: PendingRequest, data: bytes) -> None:
        """Set the final answer, once, and start the client's next commands."""
        if request.pending_reply.answer is not None:
            self._out.append(m.Note("fault", f"request {request.id} was about to be answered twice"))
            return
        request.pending_reply.answer = data
        if not request.open_attempts:
            self._forget_request(request.id)
        session = self._sessions.get(request.client)
        if session is None:
            return
        session.mark_finished(request)
        session.requests.pop(request.id, None)
        if not request.started:
            session.waiting = [waiting for waiting in session.waiting if waiting is not request]
        self._flush(session)
        for waiting in session.take_startable():
            if waiting.gated is None:
                self._start(session, waiting)

    def _submit(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        """Create a request for a command with keys, or for one without keys if there is only one group."""
        try:
            keys = spec.keys(args)
        except ValueError as invalid_keys:
            session.transaction_failed = session.queued is not None
            self._reply(session, error(str(invalid_keys)))
            return
        slots = slots_of(keys)
        group_error = self._group_error(spec, slots)
        if group_error:
            session.transaction_failed = session.queued is not None
            self._reply(session, error(group_error))
            return
        writes = spec.kind not in (Kind.READ, Kind.KEYLESS_READ)
        if session.queued is not None:
            self._queue_command(session, args, writes, slots)
            return
        rule = self._classifier.class_of(spec, args, keys, session.user, session.name)
        if session.lease and not writes:
            rule = PINNED
        party = session.user or f"#{session.client}"
        retry_after_us = self._admission.admit(
            self._now, self._late_us, rule, party, len(self._requests) + self._waiting_client_count, self._waited_us
        )
        if retry_after_us and not session.lease:
            self._shed(session, rule, retry_after_us)
            return
        session.shed_in_a_row = 0
        quota_retry_us = version = 0
        if self._gate.on:
            version, version_retry_us = self._choose_version(session, rule, slots)
            if version_retry_us:
                self._reply(session, unserved(version, version_retry_us))
                return
            quota_retry_us = self._check_quota(session, rule, spec.name, keys, 1)
            if quota_retry_us > 0:
                self._reply(session, over_quota(quota_retry_us))
                return
        request = self._new_request(session, rule, slots, writes, encode_command(args))
        request.version = version
        if quota_retry_us:  # `GRANT_PENDING`
            self._wait_for_grant(request, spec.name, keys, 1)
        if session.lease:
            request.lease = session.lease
        elif rule.wait_replicas:
            request.wait_replicas = rule.wait_replicas
            request.runs_from = len(request.payload)
            request.payload += command("WAIT", rule.wait_replicas, rule.wait_ms)
            request.replies, request.alone = 2, True
        self._add_request(session, request)

    def _shed(self, session: Session, rule: RequestClass, retry_after_us: int) -> None:
        """Refuse a command before any state of it is kept, and do not read from its connection for a while."""
        self.counts["refused"] += 1
        self.counts["shed"] += 1
        self._out.append(m.Counted(rule.name, "shed", self._late_us))
        self._reply(session, refusal(retry_after_us))
        # A command past its deadline starts no pause. Its client may have more commands unread that are owed an answer
        # in time, and on a connection shared by many, commands sent during one pause would be late and cause the next.
        if not is_too_late(self._waited_us, rule):
            pause_us = min(
                retry_after_us, self._first_pause_us << min(session.shed_in_a_row, 8), self._longest_pause_us
            )
            session.shed_in_a_row += 1
            self._out.append(m.Pause(session.client, self._now + pause_us))

    def _group_error(self, spec: Spec, slots: list[int]) -> str:
        """The error for a command that has no single group, as the cluster specification words it, else empty."""
        if slots:
            if self._classifier.group_of(slots) is None:
                return "CROSSSLOT Keys in request don't hash to the same slot"
        elif self._classifier.groups > 1:
            return f"ERR {spec.name} without a key is not served by a gateway of several banks"
        return ""

    def _new_request(
        self,
        session: Session,
        rule: RequestClass,
        slots: list[int],
        writes: bool,
        payload: bytes,
        replies: int = 1,
    ) -> PendingRequest:
        """Create a request and its place among the session's replies."""
        self._last_request += 1
        reply = PendingReply()
        session.pending_replies.append(reply)
        group = self._classifier.group_of(slots) if slots else 0
        assert group is not None
        return PendingRequest(
            self._last_request,
            session.client,
            reply,
            rule,
            group,
            slots,
            writes,
            payload,
            replies,
            self._now - self._waited_us - self._pipeline_wait_us,  # the deadline counts from the command's arrival
            session.protocol,
        )

    def _add_request(self, session: Session, request: PendingRequest) -> None:
        """Start a request, or queue it behind its client's earlier requests."""
        self._requests[request.id] = session.requests[request.id] = request
        if request.version:
            self._open_by_version[request.version] = self._open_by_version.get(request.version, 0) + 1
        heapq.heappush(self._deadlines, (self._deadline_us(request), request.id))
        may_start = session.may_start(request)
        session.mark_unfinished(request)
        if not may_start:
            session.waiting.append(request)
        elif request.gated is None:
            self._start(session, request)

    @staticmethod
    def _deadline_us(request: PendingRequest) -> int:
        """The latest time for a request's final answer."""
        return request.arrived_us + request.rule.deadline_ms * 1_000 - ANSWER_MARGIN_US

    def _start(self, session: Session, request: PendingRequest) -> None:
        """Pass a request to the Router."""
        rule = request.rule
        if self._now >= self._deadline_us(request):
            # It expires within this same input. Sending it would load a box for nobody, and count against that box.
            return
        request.started = True
        if request.lease and session.lease_lost:
            if request.is_exec or request.is_watch:
                self._end_unwatched(request)
                return
            request.lease = 0
        if rule.freshness in ("bounded", "session"):
            group = self._groups[request.group]
            primary = self._boxes.get(group.primary)
            if primary is not None and self._now - group.positions.newest_us() > self._sample_interval_us:
                self._sample_offset(primary)
            self._refresh_positions(request.group)
        session_name = (
            session.name if self.settings.sessions == "client-name" and session.name else f"#{session.client}"
        )
        expires_in_us = request.arrived_us + rule.deadline_ms * 1_000 - self._now
        min_position_us = self._version_position_us(request) if request.version else None
        self._route(
            api.Arrival(
                str(request.id),
                rule.name,
                request.group,
                expires_in_us,
                f"{session_name}@{request.group}",
                min_position_us=min_position_us,
            )
        )
