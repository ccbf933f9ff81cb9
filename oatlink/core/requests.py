"""A request's life, from the client's words to the final answer. No I/O.

Asked, (waiting behind the same client's earlier ones,) handed to the Router, sent, ended, answered. It is answered
exactly once: `_finish` is the only place that fills a client's place in the row. The Router decides which member, when
to hold, resend, refuse or fail; here its actions become effects.
"""

import heapq

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core import outcomes
from oatlink.core.boxes import SEEN
from oatlink.core.classify import PINNED, slots_of
from oatlink.core.commands import Kind, Spec
from oatlink.core.gated import Gated
from oatlink.core.overload import past
from oatlink.core.reports import parse_info
from oatlink.core.sessions import PendingReply, PendingRequest, Session, failure, over_quota, refusal, unserved
from oatlink.interface import Outcome, Role
from oatlink.protocols.resp import command, encode_command, error
from oatlink.settings.model import RequestClass

ANSWER_MARGIN_US = 4_000  # the last moment for a final answer lies so long before the client's time is up


class Requests(Gated):
    """Requests between clients and the Router."""

    @property
    def idle(self) -> bool:
        """Whether no client is owed an answer."""
        return not any(one.pending_replies for one in self._sessions.values())

    @property
    def last_request(self) -> int:
        """The number of the newest request; they count from 1."""
        return self._last_request

    def request(self, number: int) -> PendingRequest | None:
        """A request that still has something out or is owed an answer."""
        return self._requests.get(number)

    def may_write(self, request: int, attempt: int, now_us: int) -> bool:
        """Whether an attempt may be written now; nothing changes. The shell asks at the write, which commits it.

        Threat: a client that has left or has its answer, a box that drains, has moved or gone, a window that is over.
        """
        ask = self._requests.get(request)
        if ask is None or attempt not in ask.open_attempts or ask.pending_reply.answer is not None:
            return False
        return self.router.may_write(str(request), attempt, now_us)

    def _route(self, event: api.Event) -> None:
        """Hand the Router an event and turn its actions into effects."""
        for action in self.router.handle(event, self._now, self._more):
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.SetTimer):
                self._router_due = min(self._router_due, action.at_us)
            elif isinstance(action, api.Check):
                self._check(action.member)
            elif isinstance(action, api.Refuse):
                self._refuse(self._requests[int(action.request)], action.retry_after_us)
            elif isinstance(action, api.Fail):
                self._fail(self._requests[int(action.request)])
            elif isinstance(action, api.DropIdle):
                if action.member in self._names:
                    self._out.append(m.DropIdle(self._names[action.member]))
            elif isinstance(action, api.Log):
                self._out.append(m.Note("router", self._named(action.text)))

    def _named(self, text: str) -> str:
        """A log line of the Router with names for its numbers, for people."""
        words = text.split()
        for at, word in enumerate(words):
            bare = word.rstrip(":")
            if bare.isdigit():
                if at and words[at - 1] == "group":
                    words[at] = self.settings.banks[int(bare)].name + word[len(bare) :]
                elif int(bare) in self._names:
                    words[at] = self._names[int(bare)]
        return " ".join(words)

    def _send(self, action: api.Send) -> None:
        """An attempt begins. The Router's count of a request's sends is the attempt's number."""
        ask = self._requests[int(action.request)]
        name = self._names[action.member]
        state = self._boxes[name]
        attempt, ask.attempts = ask.attempts, ask.attempts + 1
        address = self._hand(state)
        ask.open_attempts[attempt] = (action.member, name, self._now, address)
        until_us = self._deadline_us(ask)
        if attempt == 0:
            ask.first_sent_us = self._now
        elif not ask.may_have_run:
            ask.first_sent_us = self._now  # nothing of the earlier ones can have arrived: the window has not begun
        elif ask.rule.effect == "keyed":
            # Threat: a repeat that waits for a connection until the bank has forgotten the first one.
            until_us = min(until_us, ask.first_sent_us + ask.rule.repeat_window_ms * 1_000 - ANSWER_MARGIN_US)
        lease = ask.lease
        session = self._sessions.get(ask.client)
        if lease and session is not None:
            if session.lease_box and session.lease_box != name:
                session.lease_lost = True  # the primary has moved; what was watched there is not watched here
            session.lease_box = session.lease_box or name
            if session.lease_lost or session.lease != lease:
                lease = 0
                if ask.is_exec or ask.is_watch:
                    # Threat: EXEC on a connection that watches nothing, WATCH on one that others share.
                    del ask.open_attempts[attempt]
                    self._path_ended(state, address, "", "unsent", self._now, 0)
                    self._end_unwatched(ask)
                    self._route(api.AttemptEnded(str(ask.id), attempt, action.member, Outcome.CANCELLED, 0, over=True))
                    return
        if ask.version and not self._fits(state, ask):
            del ask.open_attempts[attempt]
            self._path_ended(state, address, "", "unsent", self._now, 0)
            self._turn_back(ask, state)
            self._route(api.AttemptEnded(str(ask.id), attempt, action.member, Outcome.CANCELLED, 0, over=True))
            return
        wants = self._now - state.informed_us >= self._sample_us // 2 and not ask.is_transaction and not ask.alone
        if wants:
            state.informed_us = self._now
        run_id = state.report.run_id if state.report is not None else ""
        self._out.append(
            m.Send(
                ask.id,
                attempt,
                name,
                ask.payload,
                ask.replies,
                ask.protocol,
                run_id,
                until_us,
                lease,
                ask.alone,
                wants,
                address,
                ask.runs_from or len(ask.payload),
            )
        )

    def _expire(self, request: int) -> None:
        """A request's time is up: every attempt still out is late, and the Router gives its last word."""
        ask = self._requests.get(request)
        if ask is None:
            return
        answered = ask.pending_reply.answer is not None
        if not ask.started and not answered:
            # It waited behind the same client's earlier commands; nothing was ever sent.
            self._refuse(ask, 0)
            return
        for attempt, (member, box, sent_us, address) in list(ask.open_attempts.items()):
            del ask.open_attempts[attempt]
            ask.may_have_run = True
            state = self._boxes.get(box)
            if state is not None:
                self._path_ended(state, address, "", "late", sent_us, 0)
                self._observe(state, "hung")
            self._route(
                api.AttemptEnded(str(request), attempt, member, Outcome.LATE, self._now - sent_us, over=answered)
            )
            answered = ask.pending_reply.answer is not None
        if not answered:
            # The Router gives up held work in time by itself; this is the last guard of the first rule.
            self._route(api.Departure(str(request)))
            self._fail(ask)
        self._forget(request)

    def _on_ended(self, given: m.AnyInput) -> None:
        """An attempt has ended: what it says of the box, then of the request."""
        assert isinstance(given, m.Ended)
        self._more = given.more
        state = self._boxes.get(given.box)
        if given.info and state is not None:
            self._hear(state, parse_info(given.info), given.sent_us)
        ask = self._requests.get(given.request)
        entry = ask.open_attempts.pop(given.attempt, None) if ask is not None else None
        if ask is None or entry is None:
            return  # its time was up before
        member = entry[0]
        only_path = state is not None and self._path_ended(
            state, entry[3], given.address, given.how, entry[2], given.took_us
        )
        if given.how == "reply":
            outcome = outcomes.of_reply(given.frames, ask.is_transaction)
            if (
                outcome is Outcome.SERVED
                and ask.wait_replicas
                and given.frames[0][:1] != b"-"
                and not (outcomes.enough_replicas(given.frames[-1], ask.wait_replicas))
            ):
                outcome = Outcome.ERROR  # it has run, but too few replicas hold it yet: not yet an answer
        else:
            # A path that was lost while the box lives says nothing of the box; what was on it may still have run.
            if state is not None and not only_path and given.how in SEEN:
                self._observe(state, SEEN[given.how])
            outcome = Outcome.CANCELLED if only_path else outcomes.ENDINGS[given.how]
        ask.may_have_run = ask.may_have_run or outcome.may_have_run
        report = answer = None
        if given.how == "reply" and state is not None and state.member == member:
            # An answer proves that the box lives; a write's proves that it was primary when it was sent.
            answer = api.Report()
            if ask.is_write and outcome is Outcome.SERVED and given.frames[-1][:1] != b"-":
                answer = api.Report(self._now)
                report = api.Report(given.sent_us, Role.PRIMARY)
            else:
                report = self._report(state, given.sent_us) if given.info else self._again(state)
        if ask.lease and given.how != "reply":
            self._lose_lease(ask)
        over = ask.pending_reply.answer is not None
        if outcome is Outcome.SERVED and not over:
            self._serve(ask, given, member)
            over = True
        self._route(api.AttemptEnded(str(ask.id), given.attempt, member, outcome, given.took_us, over, answer, report))
        if ask.pending_reply.answer is not None and not ask.open_attempts:
            self._forget(ask.id)

    def _serve(self, ask: PendingRequest, given: m.Ended, member: int) -> None:
        """The first good answer goes to the client."""
        if ask.is_transaction:
            data = given.frames[-1]
        elif ask.wait_replicas:
            data = given.frames[0]
        else:
            data = given.frames[0] if len(given.frames) == 1 else b"".join(given.frames)
        session = self._sessions.get(ask.client)
        if session is not None and ask.is_exec and session.lease:
            self._release(session)
        self.counts["served"] += 1
        self._out.append(m.Counted(ask.rule.name, "served", self._now - ask.arrived_us, given.box))
        self._finish(ask, data)

    def _note_unserved(self, ask: PendingRequest) -> None:
        """An unserved end past the aim: what its client had sent behind it has waited for nothing."""
        session = self._sessions.get(ask.client)
        if session is not None and self._now >= min(ask.arrived_us + ask.rule.aim_ms * 1_000, self._deadline_us(ask)):
            session.last_unserved_us = self._now

    def _refuse(self, ask: PendingRequest, retry_after_us: int) -> None:
        self._note_unserved(ask)
        self._end_lease(ask)
        self.counts["refused"] += 1
        self._out.append(m.Counted(ask.rule.name, "refused", self._now - ask.arrived_us))
        self._finish(ask, refusal(retry_after_us))

    def _fail(self, ask: PendingRequest) -> None:
        self._note_unserved(ask)
        self._end_lease(ask)
        self.counts["failed"] += 1
        self._out.append(m.Counted(ask.rule.name, "failed", self._now - ask.arrived_us))
        self._finish(ask, failure(ask.rule.effect != "idempotent"))

    def _finish(self, ask: PendingRequest, data: bytes) -> None:
        """The final answer, once; then the client's next commands."""
        if ask.pending_reply.answer is not None:
            self._out.append(m.Note("fault", f"request {ask.id} was about to be answered twice"))
            return
        ask.pending_reply.answer = data
        if not ask.open_attempts:
            self._forget(ask.id)
        session = self._sessions.get(ask.client)
        if session is None:
            return
        session.mark_finished(ask)
        session.requests.pop(ask.id, None)
        if not ask.started:
            session.waiting = [one for one in session.waiting if one is not ask]
        self._flush(session)
        for waiting in session.take_startable():
            if waiting.gated is None:
                self._start(session, waiting)

    def _submit(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        """A command with keys, or one without where there is one group only."""
        try:
            keys = spec.keys(args)
        except ValueError as problem:
            session.transaction_failed = session.queued is not None
            self._reply(session, error(str(problem)))
            return
        slots = slots_of(keys)
        problem_text = self._group_error(spec, slots)
        if problem_text:
            session.transaction_failed = session.queued is not None
            self._reply(session, error(problem_text))
            return
        writes = spec.kind not in (Kind.READ, Kind.KEYLESS_READ)
        if session.queued is not None:
            self._queue_command(session, args, writes, slots)
            return
        rule = self._classifier.class_of(spec, args, keys, session.user, session.name)
        if session.lease and not writes:
            rule = PINNED
        party = session.user or f"#{session.client}"
        back_us = self._admission.admit(
            self._now, self._late_us, rule, party, len(self._requests) + self._behind, self._waited_us
        )
        if back_us and not session.lease:
            self._shed(session, rule, back_us)
            return
        session.shed_in_a_row = 0
        gated = version = 0
        if self._gate.on:
            version, away_us = self._version(session, rule, slots)
            if away_us:
                self._reply(session, unserved(version, away_us))
                return
            gated = self._over_quota(session, rule, spec.name, keys, 1)
            if gated > 0:
                self._reply(session, over_quota(gated))
                return
        ask = self._new_request(session, rule, slots, writes, encode_command(args))
        ask.version = version
        if gated:
            self._hold_at_gate(ask, spec.name, keys, 1)
        if session.lease:
            ask.lease = session.lease
        elif rule.wait_replicas:
            ask.wait_replicas = rule.wait_replicas
            ask.runs_from = len(ask.payload)
            ask.payload += command("WAIT", rule.wait_replicas, rule.wait_ms)
            ask.replies, ask.alone = 2, True
        self._add_request(session, ask)

    def _shed(self, session: Session, rule: RequestClass, back_us: int) -> None:
        """Refuse a command before anything is kept of it; its connection is not read until it may come back."""
        self.counts["refused"] += 1
        self.counts["shed"] += 1
        self._out.append(m.Counted(rule.name, "shed", self._late_us))
        self._reply(session, refusal(back_us))
        # Threat: a command that came before its time and lies unread is still owed an answer within its own.
        # Threat: a connection shared by many, refused once: what comes in the pause is too late by it, and so on.
        if not past(self._waited_us, rule):
            pause_us = min(back_us, self._first_pause_us << min(session.shed_in_a_row, 8), self._longest_pause_us)
            session.shed_in_a_row += 1
            self._out.append(m.Pause(session.client, self._now + pause_us))

    def _group_error(self, spec: Spec, slots: list[int]) -> str:
        """Why a command has no one group, in the words of the cluster specification."""
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
        self._last_request += 1
        place = PendingReply()
        session.pending_replies.append(place)
        group = self._classifier.group_of(slots) if slots else 0
        assert group is not None
        return PendingRequest(
            self._last_request,
            session.client,
            place,
            rule,
            group,
            slots,
            writes,
            payload,
            replies,
            self._now - self._waited_us - self._pipelined_us,  # the client's time runs since its command was there
            session.protocol,
        )

    def _add_request(self, session: Session, ask: PendingRequest) -> None:
        """Start a request, or let it wait for its client's earlier ones."""
        self._requests[ask.id] = session.requests[ask.id] = ask
        if ask.version:
            self._busy[ask.version] = self._busy.get(ask.version, 0) + 1
        heapq.heappush(self._deadlines, (self._deadline_us(ask), ask.id))
        free = session.may_start(ask)
        session.mark_unfinished(ask)
        if not free:
            session.waiting.append(ask)
        elif ask.gated is None:
            self._start(session, ask)

    @staticmethod
    def _deadline_us(ask: PendingRequest) -> int:
        """The last moment for a request's final answer."""
        return ask.arrived_us + ask.rule.deadline_ms * 1_000 - ANSWER_MARGIN_US

    def _start(self, session: Session, ask: PendingRequest) -> None:
        """Hand a request to the Router."""
        rule = ask.rule
        if self._now >= self._deadline_us(ask):
            return  # Threat: a box that is sent what nobody waits for, and blamed for it. Its end is in this turn.
        ask.started = True
        if ask.lease and session.lease_lost:
            if ask.is_exec or ask.is_watch:
                self._end_unwatched(ask)
                return
            ask.lease = 0
        if rule.freshness in ("bounded", "session"):
            group = self._groups[ask.group]
            primary = self._boxes.get(group.primary)
            if primary is not None and self._now - group.positions.newest_us() > self._sample_us:
                self._sample(primary)
            self._refresh(ask.group)
        name = session.name if self.settings.sessions == "client-name" and session.name else f"#{session.client}"
        left = ask.arrived_us + rule.deadline_ms * 1_000 - self._now
        needs_us = self._step_us(ask) if ask.version else None
        self._route(api.Arrival(str(ask.id), rule.name, ask.group, left, f"{name}@{ask.group}", needs_us=needs_us))
