"""A request's life, from the client's words to the final answer. No I/O.

Asked, (waiting behind the same client's earlier ones,) handed to the Router, sent, ended, answered. It is answered
exactly once: `_finish` is the only place that fills a client's place in the row. The Router decides which member, when
to hold, resend, refuse or fail; here its actions become effects.
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
from oatlink.core.sessions import Ask, Place, Session, failure, over_quota, refusal, unserved
from oatlink.interface import Outcome, Role
from oatlink.protocols.resp import command, encode_command, error
from oatlink.settings.model import RequestClass

SLACK_US = 4_000  # the last moment for a final answer lies so long before the client's time is up


class Requests(Gated):
    """Requests between clients and the Router."""

    @property
    def idle(self) -> bool:
        """Whether no client is owed an answer."""
        return not any(one.places for one in self._sessions.values())

    @property
    def last_request(self) -> int:
        """The number of the newest request; they count from 1."""
        return self._last_request

    def request(self, number: int) -> Ask | None:
        """A request that still has something out or is owed an answer."""
        return self._asks.get(number)

    def may_write(self, request: int, attempt: int, now_us: int) -> bool:
        """Whether an attempt may be written now; nothing changes. The shell asks at the write, which commits it.

        Threat: a client that has left or has its answer, a box that drains, has moved or gone, a window that is over.
        """
        ask = self._asks.get(request)
        if ask is None or attempt not in ask.open or ask.place.answer is not None:
            return False
        return self.router.may_write(str(request), attempt, now_us)

    def _route(self, event: api.Event) -> None:
        """Hand the Router an event and turn its actions into effects."""
        for action in self.router.handle(event, self._now, self._more_follows):
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.SetTimer):
                self._router_due = min(self._router_due, action.at_us)
            elif isinstance(action, api.Check):
                self._start_check(action.member)
            elif isinstance(action, api.Refuse):
                self._refuse(self._asks[int(action.request)], action.retry_after_us)
            elif isinstance(action, api.Fail):
                self._fail(self._asks[int(action.request)])
            elif isinstance(action, api.DropIdle):
                if action.member in self._box_names:
                    self._out.append(m.DropIdle(self._box_names[action.member]))
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
                elif int(bare) in self._box_names:
                    words[at] = self._box_names[int(bare)]
        return " ".join(words)

    def _send(self, action: api.Send) -> None:
        """An attempt begins. The Router's count of a request's sends is the attempt's number."""
        ask = self._asks[int(action.request)]
        name = self._box_names[action.member]
        state = self._boxes[name]
        attempt, ask.attempts = ask.attempts, ask.attempts + 1
        address = self._choose_path(state)
        ask.open[attempt] = (action.member, name, self._now, address)
        until_us = self._due_of(ask)
        if attempt == 0:
            ask.first_us = self._now
        elif not ask.may_have_run:
            ask.first_us = self._now  # nothing of the earlier ones can have arrived: the window has not begun
        elif ask.rule.effect == "keyed":
            # Threat: a repeat that waits for a connection until the bank has forgotten the first one.
            until_us = min(until_us, ask.first_us + ask.rule.repeat_window_ms * 1_000 - SLACK_US)
        lease = ask.lease
        session = self._sessions.get(ask.client)
        if lease and session is not None:
            if session.lease_box and session.lease_box != name:
                session.lease_lost = True  # the primary has moved; what was watched there is not watched here
            session.lease_box = session.lease_box or name
            if session.lease_lost or session.lease != lease:
                lease = 0
                if ask.executes or ask.watches:
                    # Threat: EXEC on a connection that watches nothing, WATCH on one that others share.
                    del ask.open[attempt]
                    self._end_on_path(state, address, "", "unsent", self._now, 0)
                    self._end_unwatched(ask)
                    self._route(api.AttemptEnded(str(ask.id), attempt, action.member, Outcome.CANCELLED, 0, over=True))
                    return
        if ask.version and not self._serves_version(state, ask):
            del ask.open[attempt]
            self._end_on_path(state, address, "", "unsent", self._now, 0)
            self._reject_unserved(ask, state)
            self._route(api.AttemptEnded(str(ask.id), attempt, action.member, Outcome.CANCELLED, 0, over=True))
            return
        wants = (
            self._now - state.offset_asked_us >= self._sample_interval_us // 2 and not ask.transaction and not ask.alone
        )
        if wants:
            state.offset_asked_us = self._now
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
        ask = self._asks.get(request)
        if ask is None:
            return
        answered = ask.place.answer is not None
        if not ask.started and not answered:
            # It waited behind the same client's earlier commands; nothing was ever sent.
            self._refuse(ask, 0)
            return
        for attempt, (member, box, sent_us, address) in list(ask.open.items()):
            del ask.open[attempt]
            ask.may_have_run = True
            state = self._boxes.get(box)
            if state is not None:
                self._end_on_path(state, address, "", "late", sent_us, 0)
                self._observe(state, "hung")
            self._route(
                api.AttemptEnded(str(request), attempt, member, Outcome.LATE, self._now - sent_us, over=answered)
            )
            answered = ask.place.answer is not None
        if not answered:
            # The Router gives up held work in time by itself; this is the last guard of the first rule.
            self._route(api.Departure(str(request)))
            self._fail(ask)
        self._forget_request(request)

    def _on_ended(self, given: m.AnyInput) -> None:
        """An attempt has ended: what it says of the box, then of the request."""
        assert isinstance(given, m.Ended)
        self._more_follows = given.more
        state = self._boxes.get(given.box)
        if given.info and state is not None:
            self._apply_report(state, parse_info(given.info), given.sent_us)
        ask = self._asks.get(given.request)
        entry = ask.open.pop(given.attempt, None) if ask is not None else None
        if ask is None or entry is None:
            return  # its time was up before
        member = entry[0]
        only_path = state is not None and self._end_on_path(
            state, entry[3], given.address, given.how, entry[2], given.took_us
        )
        if given.how == "reply":
            outcome = outcomes.of_reply(given.frames, ask.transaction)
            if (
                outcome is Outcome.SERVED
                and ask.wait_replicas
                and given.frames[0][:1] != b"-"
                and not (outcomes.enough_replicas(given.frames[-1], ask.wait_replicas))
            ):
                outcome = Outcome.ERROR  # it has run, but too few replicas hold it yet: not yet an answer
        else:
            # A path that was lost while the box lives says nothing of the box; what was on it may still have run.
            if state is not None and not only_path and given.how in EVIDENCE_BY_ENDING:
                self._observe(state, EVIDENCE_BY_ENDING[given.how])
            outcome = Outcome.CANCELLED if only_path else outcomes.ENDINGS[given.how]
        ask.may_have_run = ask.may_have_run or outcome.may_have_run
        report = answer = None
        if given.how == "reply" and state is not None and state.member == member:
            # An answer proves that the box lives; a write's proves that it was primary when it was sent.
            answer = api.Report()
            if ask.writes and outcome is Outcome.SERVED and given.frames[-1][:1] != b"-":
                answer = api.Report(self._now)
                report = api.Report(given.sent_us, Role.PRIMARY)
            else:
                report = self._router_report(state, given.sent_us) if given.info else self._updated_position(state)
        if ask.lease and given.how != "reply":
            self._lose_lease(ask)
        over = ask.place.answer is not None
        if outcome is Outcome.SERVED and not over:
            self._serve(ask, given, member)
            over = True
        self._route(api.AttemptEnded(str(ask.id), given.attempt, member, outcome, given.took_us, over, answer, report))
        if ask.place.answer is not None and not ask.open:
            self._forget_request(ask.id)

    def _serve(self, ask: Ask, given: m.Ended, member: int) -> None:
        """The first good answer goes to the client."""
        if ask.transaction:
            data = given.frames[-1]
        elif ask.wait_replicas:
            data = given.frames[0]
        else:
            data = given.frames[0] if len(given.frames) == 1 else b"".join(given.frames)
        session = self._sessions.get(ask.client)
        if session is not None and ask.executes and session.lease:
            self._release(session)
        self.counts["served"] += 1
        self._out.append(m.Counted(ask.rule.name, "served", self._now - ask.arrived_us, given.box))
        self._finish(ask, data)

    def _note_hung(self, ask: Ask) -> None:
        """An unserved end past the aim: what its client had sent behind it has waited for nothing."""
        session = self._sessions.get(ask.client)
        if session is not None and self._now >= min(ask.arrived_us + ask.rule.aim_ms * 1_000, self._due_of(ask)):
            session.hung_us = self._now

    def _refuse(self, ask: Ask, retry_after_us: int) -> None:
        self._note_hung(ask)
        self._end_lease(ask)
        self.counts["refused"] += 1
        self._out.append(m.Counted(ask.rule.name, "refused", self._now - ask.arrived_us))
        self._finish(ask, refusal(retry_after_us))

    def _fail(self, ask: Ask) -> None:
        self._note_hung(ask)
        self._end_lease(ask)
        self.counts["failed"] += 1
        self._out.append(m.Counted(ask.rule.name, "failed", self._now - ask.arrived_us))
        self._finish(ask, failure(ask.rule.effect != "idempotent"))

    def _finish(self, ask: Ask, data: bytes) -> None:
        """The final answer, once; then the client's next commands."""
        if ask.place.answer is not None:
            self._out.append(m.Note("fault", f"request {ask.id} was about to be answered twice"))
            return
        ask.place.answer = data
        if not ask.open:
            self._forget_request(ask.id)
        session = self._sessions.get(ask.client)
        if session is None:
            return
        session.leave(ask)
        session.asks.pop(ask.id, None)
        if not ask.started:
            session.waiting = [one for one in session.waiting if one is not ask]
        self._flush(session)
        for waiting in session.next_to_start():
            if waiting.gated is None:
                self._start(session, waiting)

    def _request(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        """A command with keys, or one without where there is one group only."""
        try:
            keys = spec.keys(args)
        except ValueError as problem:
            session.spoilt = session.queued is not None
            self._say(session, error(str(problem)))
            return
        slots = slots_of(keys)
        problem_text = self._misplaced(spec, slots)
        if problem_text:
            session.spoilt = session.queued is not None
            self._say(session, error(problem_text))
            return
        writes = spec.kind not in (Kind.READ, Kind.KEYLESS_READ)
        if session.queued is not None:
            self._queue(session, args, writes, slots)
            return
        rule = self._classifier.class_of(spec, args, keys, session.user, session.name)
        if session.lease and not writes:
            rule = PINNED
        party = session.user or f"#{session.client}"
        back_us = self._admission.admit(
            self._now, self._late_us, rule, party, len(self._asks) + self._waiting_client_count, self._waited_us
        )
        if back_us and not session.lease:
            self._shed(session, rule, back_us)
            return
        session.shed = 0
        gated = version = 0
        if self._gate.on:
            version, away_us = self._choose_version(session, rule, slots)
            if away_us:
                self._say(session, unserved(version, away_us))
                return
            gated = self._check_quota(session, rule, spec.name, keys, 1)
            if gated > 0:
                self._say(session, over_quota(gated))
                return
        ask = self._ask(session, rule, slots, writes, encode_command(args))
        ask.version = version
        if gated:
            self._wait_for_grant(ask, spec.name, keys, 1)
        if session.lease:
            ask.lease = session.lease
        elif rule.wait_replicas:
            ask.wait_replicas = rule.wait_replicas
            ask.runs_from = len(ask.payload)
            ask.payload += command("WAIT", rule.wait_replicas, rule.wait_ms)
            ask.replies, ask.alone = 2, True
        self._enter(session, ask)

    def _shed(self, session: Session, rule: RequestClass, back_us: int) -> None:
        """Refuse a command before anything is kept of it; its connection is not read until it may come back."""
        self.counts["refused"] += 1
        self.counts["shed"] += 1
        self._out.append(m.Counted(rule.name, "shed", self._late_us))
        self._say(session, refusal(back_us))
        # Threat: a command that came before its time and lies unread is still owed an answer within its own.
        # Threat: a connection shared by many, refused once: what comes in the pause is too late by it, and so on.
        if not is_too_late(self._waited_us, rule):
            pause_us = min(back_us, self._first_pause_us << min(session.shed, 8), self._longest_pause_us)
            session.shed += 1
            self._out.append(m.Pause(session.client, self._now + pause_us))

    def _misplaced(self, spec: Spec, slots: list[int]) -> str:
        """Why a command has no one group, in the words of the cluster specification."""
        if slots:
            if self._classifier.group_of(slots) is None:
                return "CROSSSLOT Keys in request don't hash to the same slot"
        elif self._classifier.groups > 1:
            return f"ERR {spec.name} without a key is not served by a gateway of several banks"
        return ""

    def _ask(
        self,
        session: Session,
        rule: RequestClass,
        slots: list[int],
        writes: bool,
        payload: bytes,
        replies: int = 1,
    ) -> Ask:
        self._last_request += 1
        place = Place()
        session.places.append(place)
        group = self._classifier.group_of(slots) if slots else 0
        assert group is not None
        return Ask(
            self._last_request,
            session.client,
            place,
            rule,
            group,
            slots,
            writes,
            payload,
            replies,
            self._now - self._waited_us - self._pipeline_wait_us,  # the client's time runs since its command was there
            session.protocol,
        )

    def _enter(self, session: Session, ask: Ask) -> None:
        """Start a request, or let it wait for its client's earlier ones."""
        self._asks[ask.id] = session.asks[ask.id] = ask
        if ask.version:
            self._open_by_version[ask.version] = self._open_by_version.get(ask.version, 0) + 1
        heapq.heappush(self._deadlines, (self._due_of(ask), ask.id))
        free = session.may_start(ask)
        session.enter(ask)
        if not free:
            session.waiting.append(ask)
        elif ask.gated is None:
            self._start(session, ask)

    @staticmethod
    def _due_of(ask: Ask) -> int:
        """The last moment for a request's final answer."""
        return ask.arrived_us + ask.rule.deadline_ms * 1_000 - SLACK_US

    def _start(self, session: Session, ask: Ask) -> None:
        """Hand a request to the Router."""
        rule = ask.rule
        if self._now >= self._due_of(ask):
            return  # Threat: a box that is sent what nobody waits for, and blamed for it. Its end is in this turn.
        ask.started = True
        if ask.lease and session.lease_lost:
            if ask.executes or ask.watches:
                self._end_unwatched(ask)
                return
            ask.lease = 0
        if rule.freshness in ("bounded", "session"):
            group = self._groups[ask.group]
            primary = self._boxes.get(group.primary)
            if primary is not None and self._now - group.positions.newest_us() > self._sample_interval_us:
                self._sample_offset(primary)
            self._refresh_positions(ask.group)
        name = session.name if self.settings.sessions == "client-name" and session.name else f"#{session.client}"
        left = ask.arrived_us + rule.deadline_ms * 1_000 - self._now
        needs_us = self._version_position_us(ask) if ask.version else None
        self._route(
            api.Arrival(str(ask.id), rule.name, ask.group, left, f"{name}@{ask.group}", min_position_us=needs_us)
        )
