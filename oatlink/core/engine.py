"""The one door: inputs in, effects out. Gateway, tools and laboratory are shells around this class.

What may live here: the translation between the protocol's world and the Router's (requests, members, times),
and the state that neither of them keeps: sessions, boxes' identities, histories of offsets, deadlines. No I/O,
no clock; the Router decides which member, when to hold, resend, refuse or fail.

A request's life: asked, (waiting behind the same client's earlier ones,) handed to the Router, sent, ended,
answered. It is answered exactly once: `_finish` is the only place that fills a client's place in the row.

A box's life: the Router's member number stands for one run of a box on one line of history. A box that comes
back with another run id, or whose offset goes back (a full resynchronisation), is a new member to the Router, so
that a position it once had binds nothing (the Router keeps the higher position of a member).
"""

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core import outcomes
from oatlink.core.classify import PINNED, Classifier, slots_of, to_rule
from oatlink.core.commands import Kind, Spec, blocks, find
from oatlink.core.local import Local, server_section
from oatlink.core.overload import admission
from oatlink.core.positions import Positions
from oatlink.core.reports import BoxReport, parse_info
from oatlink.core.sessions import Ask, Place, Session, failure, refusal
from oatlink.interface import Outcome, Role
from oatlink.protocols.resp import OK, QUEUED, Array, Map, Null, Simple, Value, command, encode, encode_command, error
from oatlink.rules import Router
from oatlink.settings.model import RequestClass, Settings

STEP_US = 1_000  # what the shell's timers may be late on an idle machine
SLACK_US = 4_000  # the last moment for a final answer lies so long before the client's time is up
SAMPLE_WAIT_US = 10_000  # a replica's check waits so long for the primary's offset to compare with
ADMIN = frozenset((b"MEMBERS", b"BANKS", b"ELECTIONS", b"SESSIONS", b"INSPECT"))
MOST_SESSIONS = 1_000  # shown to operators at once
KEPT_ELECTIONS = 16  # a bank, for operators
PROBES_A_S = 200  # of one box by all gateways together, to keep its position known while reads come
PROBE_PARTS = 4  # samples in a bound: staleness is proven by points at most a quarter of it apart


class Verdict(msgspec.Struct, frozen=True):
    """What a gateway believes of a box. `says` is the box's own word, `role` what counts; -1 is not known."""

    name: str
    bank: str
    address: str
    says: str
    role: str
    takes: str
    state: str
    replid: str
    offset: int
    age_ms: int
    heard_ms: int
    warmth: float
    out: int
    room: float
    run_id: str


@dataclass(slots=True)
class BoxState:
    """What is believed of one box, beside the Router's record of its member."""

    box: m.Box
    member: int
    report: BoxReport | None = None
    heard_us: int = 0
    asked_us: int = 0
    started_us: int = 0
    check_out: bool = False  # the Router has asked for a check
    probe_out: bool = False
    refreshing: bool = False  # the engine itself wants its position
    refreshed_us: int = -(2**62)
    check_waits_us: int = 0  # a check waits for the primary's sample, at most until then
    informed_us: int = -(2**62)  # when a report was last asked for behind an answer


@dataclass(slots=True)
class GroupState:
    """One bank: its histories and who was last seen as its primary."""

    positions: Positions
    primary: str = ""
    elections: int = 0
    recent: list[tuple[int, str, str]] = field(default_factory=list)  # when seen, from, to: the last ones
    refresh_us: int = 0  # when to look next which replica's position has grown old


class Engine:
    """Decides for one gateway, by the Router and the modules beside it."""

    def __init__(self, settings: Settings, now_us: int = 0, router: type[Router] = Router) -> None:
        self._configure(settings)
        self.router = router(router_settings(settings, self._classifier))
        self._groups = [GroupState(Positions()) for _ in settings.banks]
        self._boxes: dict[str, BoxState] = {}
        self._check_waits: dict[str, BoxState] = {}
        self._names: dict[int, str] = {}  # member: box
        self._last_member = 0
        self._sessions: dict[int, Session] = {}
        self._asks: dict[int, Ask] = {}
        self._last_request = 0
        self._last_lease = 0
        self._ends: list[tuple[int, int]] = []  # (when, request)
        self._router_due = 2**62
        self._wake_us = 2**62
        self._draining = False
        self._started_us = now_us
        self._now = now_us
        self._out: list[m.AnyEffect] = []
        self._late_us = 0  # how long the input has lain in this process
        self._behind = 0  # clients that wait for this process
        self._more = False  # inputs of the same read follow: what is held is placed after the last of them
        self._listed = False  # discovery has spoken once
        self.fresh = True  # no input yet, nothing taken over
        self.counts: dict[str, int] = {"served": 0, "refused": 0, "failed": 0, "local": 0, "shed": 0}
        self._handlers: dict[type, Callable[[m.AnyInput], None]] = {
            m.Started: self._on_started,
            m.Listed: self._on_listed,
            m.Opened: self._on_opened,
            m.Closed: self._on_closed,
            m.Asked: self._on_asked,
            m.Broken: self._on_broken,
            m.Ended: self._on_ended,
            m.Met: self._on_met,
            m.Probed: self._on_probed,
            m.Ticked: self._on_ticked,
            m.Draining: self._on_draining,
            m.Inspected: self._on_inspected,
            m.Reloaded: self._on_reloaded,
            m.Recorded: self._on_recorded,
        }

    def _configure(self, settings: Settings) -> None:
        """What follows from the settings alone."""
        self.settings = settings
        self._classifier = Classifier(settings)
        bounds = [one.staleness_ms for one in settings.classes if one.freshness == "bounded"]
        self._sample_us = min(bounds, default=1_000) * 1_000 // PROBE_PARTS
        self._refresh_us = max(2 * self._sample_us, settings.peers * 1_000_000 // PROBES_A_S)
        self._local = Local(settings, self._info)
        self._admission = admission(settings.seed, self._classifier.classes)
        self._longest_pause_us = min(one.deadline_ms for one in self._classifier.classes) * 500

    def handle(self, given: m.AnyInput, now_us: int) -> list[m.AnyEffect]:
        """Take one input and return the effects it calls for, in order. Time must not run backwards."""
        self._now = max(self._now, now_us)
        self._out, self.fresh = [], False
        self._late_us = 0
        self._more = False
        self._handlers[type(given)](given)
        self._due()
        return self._out

    @property
    def idle(self) -> bool:
        """Whether no client is owed an answer."""
        return not any(one.places for one in self._sessions.values())

    @property
    def without_primary(self) -> list[str]:
        """The banks whose primary is not known yet."""
        believed = {state.box.bank for state in self._boxes.values() if self._is_primary(state)}
        return [bank.name for number, bank in enumerate(self.settings.banks) if number not in believed]

    def _is_primary(self, state: BoxState) -> bool:
        belief = self.router.belief(state.member)
        return belief is not None and belief.primary

    @property
    def sessions(self) -> Mapping[int, Session]:
        """The clients' sessions by number; to look at only."""
        return self._sessions

    @property
    def names(self) -> dict[int, str]:
        """The boxes behind the Router's member numbers."""
        return self._names

    @property
    def last_request(self) -> int:
        """The number of the newest request; they count from 1."""
        return self._last_request

    def request(self, number: int) -> Ask | None:
        """A request that still has something out or is owed an answer."""
        return self._asks.get(number)

    def verdicts(self) -> list[Verdict]:
        """What is believed of each box, and what it would be given now."""
        return [self._verdict(state) for _, state in sorted(self._boxes.items())]

    def _verdict(self, state: BoxState) -> Verdict:
        report = state.report or BoxReport()
        believed = self.router.belief(state.member)
        at = self._report(state, state.asked_us)
        age = -1 if at is None or at.position_us is None else (self._now - at.position_us) // 1_000
        if believed is None or state.box.state != "ready":
            takes = "nothing: draining"
        elif believed.in_doubt:
            takes = "nothing for now: a check is overdue"
        elif believed.primary:
            takes = "writes and current reads"
        elif believed.role is Role.REPLICA:
            takes = "reads that allow its age" if age >= 0 else "reads of any age only: nothing is proven"
        else:
            takes = "nothing: role unknown"
        return Verdict(
            state.box.name,
            self.settings.banks[state.box.bank].name,
            state.box.address,
            report.role or "unknown",
            believed.role.value if believed is not None else "unknown",
            takes,
            state.box.state,
            report.replid,
            report.offset,
            age,
            (self._now - state.heard_us) // 1_000 if state.heard_us else -1,
            believed.warmth if believed is not None else 0.0,
            believed.out if believed is not None else 0,
            believed.room if believed is not None else 0.0,
            report.run_id,
        )

    # ---- Time ----

    def _on_started(self, given: m.AnyInput) -> None:
        self._route(api.Start())

    def _on_ticked(self, given: m.AnyInput) -> None:
        self._wake_us = 2**62
        if self.router.unsettled:
            self._route(api.TimerFired("settle"))

    def _on_reloaded(self, given: m.AnyInput) -> None:
        """New settings, checked before; what is on its way keeps its class and its deadline."""
        assert isinstance(given, m.Reloaded)
        self._configure(given.settings)
        self.router.configure(router_settings(given.settings, self._classifier))
        self._out.append(m.Note("reload", "the new settings hold from now on"))

    def _due(self) -> None:
        """All that has come due; then one wake-up for what comes next."""
        now = self._now
        if now >= self._router_due:
            self._router_due = 2**62
            self._route(api.TimerFired("due"))
        while self._ends and self._ends[0][0] <= now:
            self._expire(heapq.heappop(self._ends)[1])
        waits = 2**62
        for state in list(self._check_waits.values()):
            if state.check_waits_us:
                if now >= state.check_waits_us:
                    self._probe(state)
                else:
                    waits = min(waits, state.check_waits_us)
        next_us = min(self._router_due, self._ends[0][0] if self._ends else 2**62, waits)
        if next_us < self._wake_us:
            self._wake_us = next_us
            self._out.append(m.Wake(next_us))

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
        for attempt, (member, _, sent_us) in list(ask.open.items()):
            del ask.open[attempt]
            self._route(
                api.AttemptEnded(str(request), attempt, member, Outcome.LATE, self._now - sent_us, over=answered)
            )
            answered = ask.place.answer is not None
        if not answered:
            # The Router gives up held work in time by itself; this is the last guard of the first rule.
            self._route(api.Departure(str(request)))
            self._fail(ask)
        self._asks.pop(request, None)

    # ---- The Router ----

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
                self._refuse(self._asks[int(action.request)], action.retry_after_us)
            elif isinstance(action, api.Fail):
                self._fail(self._asks[int(action.request)])
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
        ask = self._asks[int(action.request)]
        name = self._names[action.member]
        state = self._boxes[name]
        attempt, ask.attempts = ask.attempts, ask.attempts + 1
        ask.open[attempt] = (action.member, name, self._now)
        until_us = ask.arrived_us + ask.rule.deadline_ms * 1_000 - SLACK_US
        if attempt == 0:
            ask.first_us = self._now
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
                    self._end_unwatched(ask)
                    self._route(api.AttemptEnded(str(ask.id), attempt, action.member, Outcome.CANCELLED, 0, over=True))
                    return
        wants = self._now - state.informed_us >= self._sample_us // 2 and not ask.transaction and not ask.alone
        if wants:
            state.informed_us = self._now
        run_id = state.report.run_id if state.report is not None else ""
        self._out.append(
            m.Send(
                ask.id, attempt, name, ask.payload, ask.replies, ask.protocol, run_id, until_us, lease, ask.alone, wants
            )
        )

    # ---- Members and what they say ----

    def _on_inspected(self, given: m.AnyInput) -> None:
        """An operator wants to know: every box is asked, the primaries' offsets first."""
        ordered = sorted(self._boxes.values(), key=lambda one: one.box.name != self._groups[one.box.bank].primary)
        for state in ordered:
            state.refreshing = True
            self._probe(state)

    def _on_listed(self, given: m.AnyInput) -> None:
        """Discovery's whole list. A box of another address or bank under an old name is another box."""
        assert isinstance(given, m.Listed)
        entries = []
        named = {one.name for one in given.boxes}
        for name in [one for one in self._boxes if one not in named]:
            self._boxes.pop(name)
            self._check_waits.pop(name, None)
        for box in given.boxes:
            state = self._boxes.get(box.name)
            if state is None or (state.box.address, state.box.bank) != (box.address, box.bank):
                state = BoxState(box, self._number(box.name))
                self._boxes[box.name] = state
            if box.state == "terminating" and state.box.state != box.state:
                self._out.append(m.DropIdle(box.name))
            state.box = box
            entries.append(self._entry(state))
        self._route(api.Roster(api.RosterKind.WHOLE, tuple(entries)))
        if not self._listed:
            self._listed = True
            self._on_inspected(given)  # a gateway that starts asks every box once, before anyone waits for it

    def _number(self, name: str) -> int:
        self._last_member += 1
        self._names[self._last_member] = name
        if len(self._names) > 16 * (len(self._boxes) + 64):
            live = {one.member for one in self._boxes.values()}
            self._names = {one: self._names[one] for one in sorted(live | {self._last_member})}
        return self._last_member

    def _entry(self, state: BoxState) -> api.RosterEntry:
        box = state.box
        listing = api.Listing.TERMINATING if box.state == "terminating" else api.Listing.READY
        return api.RosterEntry(state.member, box.bank, box.hall, box.kind, listing, box.primary, state.started_us)

    def _on_met(self, given: m.AnyInput) -> None:
        assert isinstance(given, m.Met)
        state = self._boxes.get(given.box)
        if state is not None:
            self._hear(state, parse_info(given.info), given.asked_us)

    def _on_probed(self, given: m.AnyInput) -> None:
        """A probe has ended: the Router's check with it, and the checks that waited for this primary."""
        assert isinstance(given, m.Probed)
        state = self._boxes.get(given.box)
        if state is None:
            return
        state.probe_out = False
        if given.info:
            report = parse_info(given.info)
            self._hear(state, report, given.asked_us)
            if state.check_out or state.refreshing:
                state.check_out = state.refreshing = False
                # An old primary on its island lives, but nothing that it holds is the group's word.
                island = report.role == "primary" and report.replid != self._groups[state.box.bank].positions.current
                ended = Outcome.MISS if report.loading or island else Outcome.SERVED
                self._route(api.Checked(state.member, ended, given.took_us, self._report(state, given.asked_us)))
        elif state.check_out:
            state.check_out = state.refreshing = False
            self._route(api.Checked(state.member, outcomes.ENDINGS[given.how], given.took_us))
        else:
            state.refreshing = False
        group = self._groups[state.box.bank]
        if given.box == group.primary:
            for other in list(self._check_waits.values()):
                if other.box.bank == state.box.bank:
                    self._probe(other)

    def _hear(self, state: BoxState, report: BoxReport, asked_us: int) -> None:
        """Take in what a box says of itself: identity first, then the primary's offset as a sample."""
        old = state.report
        if not report.run_id and old is not None:  # asked behind an answer: the connection has proven the run
            report = _with_run(report, old)
        # Threat: a box that started again, or was filled anew, has less than it once showed.
        again = old is not None and old.run_id and report.run_id != old.run_id
        back = (
            old is not None
            and not again
            and report.replid == old.replid
            and 0 <= report.offset < old.offset
            and asked_us >= state.asked_us
        )
        first = old is None
        if old is None or again or back or asked_us >= state.asked_us:
            state.report, state.asked_us = report, asked_us
        state.heard_us = self._now
        group = self._groups[state.box.bank]
        if report.role == "primary" and not report.loading and report.offset >= 0:
            # A write may have been answered within the same microsecond, after this was asked: that is not in it.
            counted = group.positions.sample(
                report.replid,
                report.offset,
                asked_us - 1,
                self._now,
                parent=report.replid2 or None,
                join=report.second_offset,
            )
            if counted and group.primary != state.box.name:
                group.elections += bool(group.primary)
                group.recent = [*group.recent[1 - KEPT_ELECTIONS :], (self._now, group.primary, state.box.name)]
                group.primary = state.box.name
        if again or back or first:
            warm_us = self.settings.cold.warm_after_ms * 1_000
            if report.uptime_s >= 0 and report.uptime_s * 1_000_000 < warm_us and (first or again):
                # Whole seconds, cut off: the latest time at which it may have started, the coldest it may be.
                state.started_us = max(1, asked_us - report.uptime_s * 1_000_000)
            if not first:
                self._renew(state, "started again" if again else "was filled anew")
            elif state.started_us:
                self._route(api.Roster(api.RosterKind.CHANGES, (self._entry(state),)))

    def _renew(self, state: BoxState, why: str) -> None:
        """The box is a new member from now on; nothing that the old one showed binds it."""
        gone = self._entry(state)
        gone = api.RosterEntry(gone.member, gone.group, gone.zone, gone.kind, api.Listing.GONE)
        state.member = self._number(state.box.name)
        state.check_out = False
        self._out.append(m.Note("box", f"{state.box.name} {why}"))
        self._out.append(m.DropIdle(state.box.name))
        self._route(api.Roster(api.RosterKind.CHANGES, (gone, self._entry(state))))
        if state.report is not None and not state.report.loading:
            self._route(api.Checked(state.member, Outcome.SERVED, 0, self._report(state, state.asked_us)))

    def _report(self, state: BoxState, asked_us: int) -> api.Report | None:
        """What the Router may believe: role, and the offset as a time where that is proven."""
        report = state.report
        if report is None:
            return None
        if report.role == "primary":
            if report.replid != self._groups[state.box.bank].positions.current:
                return api.Report(None, Role.UNKNOWN)  # an island: its history was followed by another
            return api.Report(asked_us, Role.PRIMARY)
        if report.role == "replica":
            return api.Report(
                self._groups[state.box.bank].positions.time_of(report.replid, report.offset), Role.REPLICA
            )
        return None

    def _check(self, member: int) -> None:
        """The Router wants a report. A replica's offset is compared with the primary's: that is asked first."""
        state = self._boxes.get(self._names.get(member, ""))
        if state is None or state.member != member:
            return
        state.check_out = True
        group = self._groups[state.box.bank]
        primary = self._boxes.get(group.primary)
        fresh = self._now - group.positions.newest_us() <= self._sample_us
        others = primary is not None and primary is not state and not state.check_waits_us
        if primary is not None and others and not fresh and self._sample(primary):
            state.check_waits_us = self._now + SAMPLE_WAIT_US
            self._check_waits[state.box.name] = state
            return
        self._probe(state)

    def _sample(self, primary: BoxState) -> bool:
        """Ask a primary for its offset, once at a time. Whether an answer is now awaited."""
        if not primary.probe_out and self._now - primary.informed_us >= self._sample_us // PROBE_PARTS:
            primary.informed_us = self._now
            self._probe(primary)
            return True
        return primary.probe_out and self._now - primary.informed_us < SAMPLE_WAIT_US

    def _refresh(self, number: int) -> None:
        """Keep the replicas' positions known while reads come that need one.

        Threat: the Router asks for a position only when no known one fits, so one replica whose answers keep it
        known would get all reads, and the others none. Each is asked ever more rarely the more gateways there are.
        """
        group = self._groups[number]
        if self._now < group.refresh_us:
            return
        group.refresh_us = self._now + self._refresh_us // PROBE_PARTS
        for state in self._boxes.values():
            since = self._now - max(state.asked_us, state.refreshed_us)
            if (
                state.box.bank == number
                and since >= self._refresh_us
                and state.report is not None
                and state.report.role == "replica"
                and state.box.state == "ready"
                and not state.probe_out
            ):
                state.refreshing, state.refreshed_us = True, self._now
                self._probe(state)

    def _probe(self, state: BoxState) -> None:
        if state.check_waits_us:
            state.check_waits_us = 0
            self._check_waits.pop(state.box.name, None)
        if not state.probe_out:
            state.probe_out = True
            self._out.append(m.Probe(state.box.name))

    # ---- Attempts ----

    def _on_ended(self, given: m.AnyInput) -> None:
        """An attempt has ended: what it says of the box, then of the request."""
        assert isinstance(given, m.Ended)
        self._more = given.more
        state = self._boxes.get(given.box)
        if given.info and state is not None:
            self._hear(state, parse_info(given.info), given.sent_us)
        ask = self._asks.get(given.request)
        entry = ask.open.pop(given.attempt, None) if ask is not None else None
        if ask is None or entry is None:
            return  # its time was up before
        member = entry[0]
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
            outcome = outcomes.ENDINGS[given.how]
        report = answer = None
        if given.how == "reply" and state is not None and state.member == member:
            # An answer proves that the box lives; a write's proves that it was primary when it was sent.
            answer = api.Report()
            if ask.writes and outcome is Outcome.SERVED and given.frames[-1][:1] != b"-":
                answer = api.Report(self._now)
                report = api.Report(given.sent_us, Role.PRIMARY)
            else:
                report = self._report(state, given.sent_us) if given.info else self._again(state)
        if ask.lease and given.how != "reply":
            self._lose_lease(ask)
        over = ask.place.answer is not None
        if outcome is Outcome.SERVED and not over:
            self._serve(ask, given, member)
            over = True
        self._route(api.AttemptEnded(str(ask.id), given.attempt, member, outcome, given.took_us, over, answer, report))
        if ask.place.answer is not None and not ask.open:
            self._asks.pop(ask.id, None)

    def _again(self, state: BoxState) -> api.Report | None:
        """A replica's last offset compared with the samples since: it may be proven more recent by now."""
        if state.report is None or state.report.role != "replica":
            return None
        found = self._report(state, state.asked_us)
        # The role is as old as that report; only the position is told.
        return api.Report(found.position_us) if found is not None and found.position_us is not None else None

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

    def _refuse(self, ask: Ask, retry_after_us: int) -> None:
        self._end_lease(ask)
        self.counts["refused"] += 1
        self._out.append(m.Counted(ask.rule.name, "refused", self._now - ask.arrived_us))
        self._finish(ask, refusal(retry_after_us))

    def _fail(self, ask: Ask) -> None:
        self._end_lease(ask)
        self.counts["failed"] += 1
        self._out.append(m.Counted(ask.rule.name, "failed", self._now - ask.arrived_us))
        self._finish(ask, failure(ask.rule.effect != "idempotent"))

    def _end_lease(self, ask: Ask) -> None:
        session = self._sessions.get(ask.client)
        if session is not None and ask.lease and session.lease == ask.lease:
            session.lease_lost = True
            if ask.executes:
                self._release(session)

    def _finish(self, ask: Ask, data: bytes) -> None:
        """The final answer, once; then the client's next commands."""
        if ask.place.answer is not None:
            self._out.append(m.Note("fault", f"request {ask.id} was about to be answered twice"))
            return
        ask.place.answer = data
        if not ask.open:
            self._asks.pop(ask.id, None)
        session = self._sessions.get(ask.client)
        if session is None:
            return
        session.leave(ask)
        session.asks.pop(ask.id, None)
        if not ask.started:
            session.waiting = [one for one in session.waiting if one is not ask]
        self._flush(session)
        for waiting in session.next_to_start():
            self._start(session, waiting)

    # ---- Clients ----

    def _on_opened(self, given: m.AnyInput) -> None:
        assert isinstance(given, m.Opened)
        self._sessions[given.client] = Session(given.client, peer=given.peer, since_us=self._now, admin=given.admin)

    def _on_closed(self, given: m.AnyInput) -> None:
        """A client has left. What it asked for may be running; nothing more is sent for it."""
        assert isinstance(given, m.Closed)
        session = self._sessions.pop(given.client, None)
        if session is None:
            return
        self._release(session)
        for ask in list(session.asks.values()):
            ask.place.answer = b""
            if ask.started:
                self._route(api.Departure(str(ask.id)))
            if not ask.open:
                self._asks.pop(ask.id, None)

    def _on_broken(self, given: m.AnyInput) -> None:
        """Outside the protocol: the error in its turn, then the end of the connection."""
        assert isinstance(given, m.Broken)
        session = self._sessions.get(given.client)
        if session is not None and not session.closing:
            session.closing = True
            session.places.append(Place(error(given.text), hangup=True))
            self._flush(session)

    def _on_draining(self, given: m.AnyInput) -> None:
        """New commands are refused from now on; what is held goes on to its end."""
        self._draining = True

    def _flush(self, session: Session) -> None:
        parts, done, over = session.take_answers()
        if parts:
            session.answered += done
            self._out.append(m.Answer(session.client, parts[0] if len(parts) == 1 else b"".join(parts), done))
        if over:
            self._out.append(m.Hangup(session.client))

    def _say(self, session: Session, data: bytes, hangup: bool = False) -> None:
        """An answer of the gateway's own, in its turn."""
        session.places.append(Place(data, hangup))
        self._flush(session)

    def _on_asked(self, given: m.AnyInput) -> None:
        """A command has come in."""
        assert isinstance(given, m.Asked)
        session = self._sessions.get(given.client)
        if session is None or session.closing:
            return
        self._late_us, self._behind = given.late_us, given.behind
        args = given.args
        if session.admin:
            self._administer(session, args)
            return
        spec = find(args[0])
        if spec is None:
            session.spoilt = session.queued is not None
            shown = args[0][:128].decode("utf-8", "replace")
            begin = " ".join(f"'{one[:32].decode('utf-8', 'replace')}'" for one in args[1:5])
            self._say(session, error(f"ERR unknown command '{shown}', with args beginning with: {begin}"))
            return
        if not spec.arity_fits(len(args)):
            session.spoilt = session.queued is not None
            self._say(session, error(f"ERR wrong number of arguments for '{spec.name}' command"))
            return
        if not self._local.admits(session, spec):
            self._say(session, error("NOAUTH Authentication required."))
            return
        if spec.kind is Kind.LOCAL:
            self._answer_locally(session, spec, args)
        elif spec.kind is Kind.TRANSACTION:
            self._transaction(session, spec, args)
        elif blocks(spec, args):
            session.spoilt = session.queued is not None
            self._say(
                session,
                error(
                    f"ERR {spec.name} is not served by this gateway: it would wait at the server "
                    "on a connection that others share"
                ),
            )
        elif self._draining:
            self._say(session, refusal(self.settings.limits.retry_after_max_ms * 1_000))
        else:
            self._request(session, spec, args)

    def _answer_locally(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        if session.queued is not None and spec.name not in ("quit", "reset"):
            session.spoilt = True
            self._say(session, error(f"ERR {spec.name} is not served inside a transaction by this gateway"))
            return
        if spec.name == "reset":
            session.forget_transaction()
            self._release(session)
        self.counts["local"] += 1
        data = self._local.answer(spec, session, args)
        quits = spec.name == "quit"
        session.closing = session.closing or quits
        self._say(session, data, hangup=quits)

    # ---- Requests ----

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
        back_us = self._admission.admit(self._now, self._late_us, rule, party, len(self._asks) + self._behind)
        if back_us and not session.lease:
            self._shed(session, rule, back_us)
            return
        ask = self._ask(session, rule, slots, writes, encode_command(args))
        if session.lease:
            ask.lease = session.lease
        elif rule.wait_replicas:
            ask.wait_replicas = rule.wait_replicas
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
        self._out.append(m.Pause(session.client, self._now + min(back_us, self._longest_pause_us)))

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
            self._now - self._late_us,  # the client's time runs since its command was there
            session.protocol,
        )

    def _enter(self, session: Session, ask: Ask) -> None:
        """Start a request, or let it wait for its client's earlier ones."""
        self._asks[ask.id] = session.asks[ask.id] = ask
        heapq.heappush(self._ends, (ask.arrived_us + ask.rule.deadline_ms * 1_000 - SLACK_US, ask.id))
        free = session.may_start(ask)
        session.enter(ask)
        if free:
            self._start(session, ask)
        else:
            session.waiting.append(ask)

    def _start(self, session: Session, ask: Ask) -> None:
        """Hand a request to the Router."""
        ask.started = True
        rule = ask.rule
        if ask.lease and session.lease_lost:
            if ask.executes or ask.watches:
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
        self._route(api.Arrival(str(ask.id), rule.name, ask.group, left, f"{name}@{ask.group}"))

    # ---- Transactions ----

    def _queue(self, session: Session, args: list[bytes], writes: bool, slots: list[int]) -> None:
        """A command between MULTI and EXEC; all of one transaction go to one group."""
        assert session.queued is not None
        limits = self.settings.limits
        session.queued_bytes += sum(map(len, args))
        if len(session.queued) >= limits.transaction_commands or session.queued_bytes > limits.message_bytes:
            session.spoilt = True
            session.queued = []
            self._say(session, error("ERR transaction too large"))
            return
        if slots and session.queued_slots and self._classifier.group_of([slots[0], session.queued_slots[0]]) is None:
            session.spoilt = True
            self._say(session, error("CROSSSLOT Keys in request don't hash to the same slot"))
            return
        session.queued_slots += [one for one in slots if one not in session.queued_slots]
        session.queued.append((args, writes))
        self._say(session, QUEUED)

    def _transaction(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        """MULTI, EXEC, DISCARD, WATCH, UNWATCH."""
        if spec.name == "multi":
            if session.queued is not None:
                self._say(session, error("ERR MULTI calls can not be nested"))
                return
            session.queued = []
            self._say(session, OK)
        elif spec.name == "watch":
            self._watch(session, spec, args)
        elif spec.name == "unwatch":
            self._release(session)
            self._say(session, OK)
        elif session.queued is None:
            self._say(session, error(f"ERR {spec.name.upper()} without MULTI"))
        elif spec.name == "discard":
            session.forget_transaction()
            self._release(session)
            self._say(session, OK)
        else:
            self._exec(session)

    def _exec(self, session: Session) -> None:
        """The whole transaction as one request: contiguous on one connection, never split."""
        queued, spoilt, slots = session.queued or [], session.spoilt, session.queued_slots
        session.forget_transaction()
        if spoilt or self._draining:
            self._release(session)
            self._say(
                session,
                error("EXECABORT Transaction discarded because of previous errors.")
                if spoilt
                else refusal(self.settings.limits.retry_after_max_ms * 1_000),
            )
            return
        slots = slots or list(session.watching)
        if not queued and not session.lease:
            self._say(session, b"*0\r\n")
            return
        writes = any(one for _, one in queued)
        rule = self._classifier.of_transaction(writes, session.user, session.name)
        if session.lease and not writes:
            rule = PINNED
        parts = [
            b"*1\r\n$5\r\nMULTI\r\n",
            *(encode_command(one) for one, _ in queued),
            b"*1\r\n$4\r\nEXEC\r\n",
        ]
        ask = self._ask(session, rule, slots, writes, b"".join(parts), len(queued) + 2)
        ask.transaction = ask.executes = True
        ask.lease = session.lease
        if not session.lease and rule.wait_replicas:
            ask.alone = True
        self._enter(session, ask)

    def _watch(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        """WATCH binds a client to a connection of its own at the group's primary until EXEC or UNWATCH."""
        if session.queued is not None:
            self._say(session, error("ERR WATCH inside MULTI is not allowed"))
            return
        slots = slots_of(spec.keys(args))
        if self._classifier.group_of([*slots, *session.watching]) is None:
            self._say(session, error("CROSSSLOT Keys in request don't hash to the same slot"))
            return
        if self._draining:
            self._say(session, refusal(self.settings.limits.retry_after_max_ms * 1_000))
            return
        if not session.lease:
            self._last_lease += 1
            session.lease, session.lease_box, session.lease_lost = self._last_lease, "", False
        session.watching += [one for one in slots if one not in session.watching]
        ask = self._ask(session, PINNED, slots, True, encode_command(args))
        ask.lease, ask.watches = session.lease, True
        self._enter(session, ask)

    def _lose_lease(self, ask: Ask) -> None:
        """A client's own connection has ended: what it watched is no longer watched."""
        session = self._sessions.get(ask.client)
        if session is not None and session.lease == ask.lease:
            session.lease_lost = True

    def _end_unwatched(self, ask: Ask) -> None:
        """Nothing is watched any more: EXEC answers as if a key had changed, which it may have; WATCH as usual."""
        null = encode(Null(b"*" if ask.protocol == 2 else b"_"), ask.protocol)
        session = self._sessions.get(ask.client)
        if session is not None and ask.executes and session.lease == ask.lease:
            self._release(session)
        self.counts["served"] += 1
        self._out.append(m.Counted(ask.rule.name, "served", self._now - ask.arrived_us))
        self._finish(ask, null if ask.executes else OK)

    def _release(self, session: Session) -> None:
        if session.lease:
            self._out.append(m.Release(session.lease, session.lease_box))
        session.lease, session.lease_box, session.lease_lost, session.watching = 0, "", False, []

    # ---- What the gateway says of itself ----

    def _administer(self, session: Session, args: list[bytes]) -> None:
        """A command on the operators' listener: a few of the specification's, and the words of `ADMIN`."""
        name = args[0].upper()
        if name == b"RECORD" and len(args) == 2:
            session.recording.append(Place())
            session.places.append(session.recording[-1])
            self._out.append(m.Record(session.client, args[1][:16].decode("utf-8", "replace").lower()))
            return
        if name in ADMIN and len(args) == 1:
            self._say(session, encode(self._admin_value(name), session.protocol))
            return
        spec = find(args[0])
        if spec is None or spec.name not in ("ping", "info", "hello", "auth", "client", "command", "quit", "echo"):
            words = " ".join(sorted(one.decode() for one in ADMIN))
            self._say(session, error(f"ERR not served to operators; they have INFO, PING, RECORD WORD and {words}"))
        elif not spec.arity_fits(len(args)):
            self._say(session, error(f"ERR wrong number of arguments for '{spec.name}' command"))
        elif not self._local.admits(session, spec):
            self._say(session, error("NOAUTH Authentication required."))
        else:
            self._answer_locally(session, spec, args)

    def _on_recorded(self, given: m.AnyInput) -> None:
        """The recorder has done what an operator asked."""
        assert isinstance(given, m.Recorded)
        session = self._sessions.get(given.client)
        if session is not None and session.recording:
            text = given.text.encode("utf-8", "replace")
            session.recording.popleft().answer = encode(Simple(text)) if given.done else error("ERR " + given.text)
            self._flush(session)

    def _admin_value(self, name: bytes) -> Value:
        """What an operators' word shows; `INSPECT` asks every box anew and shows nothing."""
        now = self._now
        if name == b"MEMBERS":
            return Array(tuple(_table(msgspec.structs.asdict(one)) for one in self.verdicts()))
        if name == b"BANKS":
            rows = []
            for number, group in enumerate(self._groups):
                asks = [one for one in self._asks.values() if one.group == number and one.place.answer is None]
                held = [one for one in asks if one.started and not one.open]
                oldest = max((now - one.arrived_us for one in held), default=0)
                newest = group.positions.newest_us()
                rows.append(
                    _table(
                        {
                            "name": self.settings.banks[number].name,
                            "primary": group.primary or "unknown",
                            "history": group.positions.current or "",
                            "elections": group.elections,
                            "open": len(asks),
                            "held": len(held),
                            "longest_held_ms": oldest // 1_000,
                            "sample_age_ms": (now - newest) // 1_000 if newest >= 0 else -1,
                        }
                    )
                )
            return Array(tuple(rows))
        if name == b"ELECTIONS":
            return Array(
                tuple(
                    _table(
                        {
                            "bank": self.settings.banks[number].name,
                            "ago_ms": (now - at_us) // 1_000,
                            "from": old,
                            "to": new,
                        }
                    )
                    for number, group in enumerate(self._groups)
                    for at_us, old, new in group.recent
                )
            )
        if name == b"SESSIONS":
            return Array(
                tuple(
                    _table(
                        {
                            "id": one.client,
                            "peer": one.peer,
                            "name": one.name,
                            "user": one.user,
                            "age_ms": (now - one.since_us) // 1_000,
                            "owed": len(one.places),
                            "waiting": len(one.waiting),
                            "multi": -1 if one.queued is None else len(one.queued),
                            "watching": len(one.watching),
                        }
                    )
                    for one in list(self._sessions.values())[:MOST_SESSIONS]
                )
            )
        self._on_inspected(m.Inspected())
        return Simple(b"OK")

    def _info(self) -> dict[str, dict[str, object]]:
        boxes: dict[str, object] = {}
        for one in self.verdicts():
            fields = msgspec.structs.asdict(one)
            name = fields.pop("name")
            boxes[name] = ",".join(f"{key}={value}" for key, value in fields.items())
        groups: dict[str, object] = {
            self.settings.banks[number].name: f"primary={one.primary or 'unknown'},elections={one.elections}"
            for number, one in enumerate(self._groups)
        }
        return {
            "server": server_section(self._started_us, self._now),
            "clients": {"connected_clients": len(self._sessions), "open_requests": len(self._asks)},
            "stats": {f"requests_{name}": count for name, count in self.counts.items()},
            "replication": {"role": "master", "connected_slaves": 0},
            "banks": groups,
            "members": boxes,
        }


def router_settings(settings: Settings, classifier: Classifier) -> api.Settings:
    """The Router's part of the settings."""
    limits, cold = settings.limits, settings.cold
    return api.Settings(
        seed=settings.seed,
        zone=settings.hall,
        classes=tuple(to_rule(one) for one in classifier.classes),
        peers=settings.peers,
        step_us=STEP_US,
        max_attempts=limits.attempts,
        max_open=limits.open_requests,
        may_probe=True,
        may_cancel=False,
        second_copies=True,
        max_retry_after_us=limits.retry_after_max_ms * 1000,
        router_remembers_sessions=True,
        cold_share=cold.share,
        warm_after_us=cold.warm_after_ms * 1000,
        overload_factor=cold.overload_factor,
        fall_us=cold.fall_ms * 1000,
    )


def _table(fields: Mapping[str, object]) -> Value:
    """A row for operators."""
    return Map(tuple((key.encode(), one if isinstance(one, int) else str(one).encode()) for key, one in fields.items()))


def _with_run(report: BoxReport, old: BoxReport) -> BoxReport:
    return BoxReport(
        report.role,
        report.replid,
        report.offset,
        report.replid2,
        report.second_offset,
        old.run_id,
        old.uptime_s,
        report.loading,
        report.link_up,
        report.draining,
    )
