"""Every decision of the router. Its settings, events and actions are in `oatlink/interface.py`.

`Router.handle(event, now_us)` takes what has happened and returns what to do. It reads no clock and does
no I/O. One section for each question; `_send` alone starts attempts and asks every guard each time.
"""

import heapq
import random
from collections import OrderedDict

from oatlink import interface as api
from oatlink.holds import Holds, Kind, Row
from oatlink.interface import Effect, Freshness, Listing, Outcome, Role, RosterKind
from oatlink.state import LONG_AGO, NEVER, Attempt, Belief, Group, Member, Request

HEARTBEAT_US = 10_000_000  # the design's default; also how long what a member has shown is believed
CHECK_COST_US = 5_000  # what a check is taken to last before one has been answered
HOLD_CHECK_US = 500_000  # the design's period of checks while a group lacks a primary
START_ROOM = 16.0  # attempts out, of all routers together, at a member that has shown nothing: some a core
LEAST_SHARE = 0.05  # of requests admitted to a group whose answers are slow: enough to see it recover
MOST_ASKED = 2  # reports that one read may ask for before it goes to the primary
FEW_PEERS = 4  # routers of which each may always have an attempt out (one a core) and beat as the design says
COLD_PART = 0.7  # of what a cold member bears, given out among all routers: the rest is left for chance
DRAWS = 8  # steps in which a cold primary lets in what only it takes
COLD_FLOOR = 6.0  # attempts in a window, of all routers together, at a cold member of unknown strength


class Router:
    """Decides for one gateway."""

    def __init__(self, settings: api.Settings) -> None:
        self._random = random.Random(settings.seed)
        self._classes: dict[str, api.RequestClass] = {}
        self.configure(settings)
        self._groups: dict[int, Group] = {}
        self._holds: dict[int, Holds] = {}
        self._unsettled: dict[int, None] = {}
        self._members: dict[int, Member] = {}
        self._requests: dict[str, Request] = {}
        self._sessions: OrderedDict[str, int] = OrderedDict()
        self._forgotten_us = -1
        # Each tenant's share at this router, a second's worth of requests in hand: (rate, left, when).
        self._shares = {name: (max(1.0, rate / settings.peers), 0.0, 0)
                        for name, rate in settings.tenant_rates}
        self._turn: float = 0.0
        self._shown, self._shown_us = 0.0, LONG_AGO
        self._answer_us = self._target_us
        self._arrived, self._tied = 0, 0.0  # requests, and the share of them that only a primary takes
        self._lend, self._lent_us = 1.0, LONG_AGO  # of the others, the share that may go to primaries
        self._worth = (sum(rule.worth for rule in settings.classes) or 1.0) / len(settings.classes)
        self._ask_at_us = NEVER
        self._ask_wait_us = 0
        self._due: list[tuple[int, int]] = []
        self._timer_us = NEVER
        self._stalled_us = LONG_AGO
        self._now = 0
        self._do: list[api.Action] = []
        self._more = False

    def configure(self, settings: api.Settings) -> None:
        """Go by these settings from now on. What came before keeps its class, also where that is no more."""
        settings.validate()
        self._settings = settings
        self._classes |= {rule.name: rule for rule in settings.classes}
        worth = sum(rule.worth for rule in settings.classes) or 1.0
        # A third of the aim, weighed by worth: slower answers leave no time to hold a request or try again.
        self._target_us = sum(rule.worth * rule.aim_us for rule in settings.classes) / worth / 3
        bounds = [rule.staleness_us for rule in settings.classes if rule.freshness is Freshness.BOUNDED]
        self._bound_us = min(bounds, default=HEARTBEAT_US)
        self._tick_us = max(4 * settings.step_us, 20_000)  # looks are rarer than batches, finer than any aim
        self._margin_us = 2 * settings.step_us
        self._heartbeat_us = HEARTBEAT_US * max(1, settings.peers // FEW_PEERS)

    def handle(self, event: api.Event, now_us: int, more: bool = False) -> list[api.Action]:
        """Take one event and return the actions that it calls for, in order.

        With `more`, others of the same instant follow: what is held is placed once, after the last of them.
        """
        self._now, self._do, self._more = now_us, [], more
        if now_us > self._timer_us + 2 * self._tick_us:  # Threat: this router stood still, not the members
            self._stalled_us = now_us
        match event:
            case api.Arrival():
                self._arrive(event)
            case api.AttemptEnded():
                self._ended(event)
            case api.TimerFired():
                self._timer_us = NEVER if now_us >= self._timer_us else self._timer_us
            case api.Checked():
                self._checked(event)
            case api.Departure():
                self._forget(event.request)
            case api.Roster():
                self._listed(event)
            case api.Start():
                self._start()
        if self._unsettled and not more:
            unsettled, self._unsettled = self._unsettled, {}
            for group_id in unsettled:
                self._pump(self._groups[group_id])
        self._look_at_due()
        return self._do

    @property
    def unsettled(self) -> bool:
        """Whether what is held waits for the last of the events that `more` has announced."""
        return bool(self._unsettled)

    def belief(self, number: int) -> Belief | None:
        """What is held of a member, for people; None for one that is not listed or drains. No change."""
        member = self._members.get(number)
        if member is None or member.drained:
            return None
        primary = self._groups[member.entry.group].primary == number
        return Belief(member.role, primary, self._in_doubt(member), self._warmth(member), len(member.out),
                      member.room)

    # ---- What is due ----

    def _look_at_due(self) -> None:
        """Look at the groups whose time has come; one timer for the next, none when nothing waits."""
        while self._due and self._due[0][0] <= self._now:
            at_us, group_id = heapq.heappop(self._due)
            group = self._groups[group_id]
            if group.due_us == at_us:
                group.due_us = NEVER
                self._look(group)
        if self._now >= self._ask_at_us:
            self._ask_roster()
        at_us = min(self._due[0][0] if self._due else NEVER, self._ask_at_us)
        if at_us < self._timer_us:
            self._timer_us = at_us
            self._do.append(api.SetTimer("due", at_us))

    def _look(self, group: Group) -> None:
        """What waits in a group: silent members, requests past their time, room for the held."""
        holds = self._holds[group.id]
        if holds.held and group.primary is None and self._now - group.checked_us >= HOLD_CHECK_US:
            self._check_all(group)
        for member in list(group.members.values()):
            if self._now >= self._silent_at(group, member):
                self._check(member)
        for request in holds.over(self._now, self._reserve_us(group)):
            if any(one.out for one in request.attempts):
                holds.pop(request.id)
            else:
                self._give_up(request)
        self._pump(group)

    def _plan(self, group: Group) -> None:
        """When to look at a group next: soon while requests are held, else when an attempt grows overdue."""
        holds = self._holds[group.id]
        if group.due_us <= self._now + (HOLD_CHECK_US // 5 if holds.held else self._tick_us):
            return
        if holds.held:
            ends = [holds.next_end(self._reserve_us(group))]
            ends += [one.full_until_us for one in group.members.values() if one.full_until_us > self._now]
            at_us = max(self._now + self._tick_us, min([*ends, self._now + HOLD_CHECK_US // 5]))
        else:
            silent = [self._silent_at(group, one) for one in group.members.values()]
            at_us = max(self._now + self._tick_us, round(min([NEVER, *silent])))
        self._due_by(group, at_us)

    def _due_by(self, group: Group, at_us: int) -> None:
        """Look at a group at this time at the latest, if not before."""
        at_us = max(at_us, self._now + self._tick_us)
        if at_us < group.due_us:
            group.due_us = at_us
            heapq.heappush(self._due, (at_us, group.id))

    # ---- Roster and drains ----

    def _start(self) -> None:
        """Subscribe where discovery must be asked. Threat: all routers may start in the same instant."""
        if self._settings.must_ask_roster:
            spread_us = self._settings.ask_within_us // 4 if self._settings.peers > FEW_PEERS else 0
            self._ask_at_us = self._now + round(spread_us * self._random.random())

    def _ask_roster(self) -> None:
        """Subscribe, and again should nothing come; a plain fetch too once that has failed for long."""
        self._ask_at_us = self._now + self._settings.ask_within_us // 4
        self._do.append(api.FollowRoster())
        if self._now + self._ask_wait_us >= self._ask_at_us:
            self._do.append(api.FetchRoster())

    def _roster_failed(self) -> None:
        """Threat: a list that cannot be reached hides drains; ask again, ever more rarely, spread out."""
        longest = self._settings.ask_within_us // 4
        self._ask_wait_us = min(longest, max(2 * self._ask_wait_us, longest // 8))
        self._ask_at_us = self._now + round(self._ask_wait_us * self._random.uniform(0.5, 1.5))

    def _listed(self, roster: api.Roster) -> None:
        """Take in a list: who is there, who drains, who has started."""
        if roster.kind is RosterKind.FAILED:
            return self._roster_failed()
        if roster.kind is not RosterKind.SAVED:
            self._ask_at_us, self._ask_wait_us = NEVER, 0
        for entry in roster.entries:
            self._enter(entry)
        if roster.kind is not RosterKind.CHANGES:
            named = {entry.member for entry in roster.entries}
            for member in [one for one in self._members.values() if one.entry.member not in named]:
                self._leave(member)

    def _enter(self, entry: api.RosterEntry) -> None:
        """Take in one line of a list."""
        member = self._members.get(entry.member)
        if entry.listing is Listing.GONE:
            if member is not None:
                self._leave(member)
            return
        group = self._group(entry.group)
        group.usual_us = -1.0
        if member is None:
            # Threat: a new member is everybody's next. Its first turn, and its first token, are drawn.
            turn = self._turn - self._random.random() * (len(group.members) + 1)
            room = max(1.0, START_ROOM / self._settings.peers)
            member = Member(entry, turn, self._random.random(), room, CHECK_COST_US)
        member.entry = entry
        self._members[entry.member] = group.members[entry.member] = member
        if entry.started_us > member.started_us:
            member.started_us, member.tokens = entry.started_us, self._random.random()
            member.room, member.duration_us = 1.0, 0.0
        member.drained = entry.listing is Listing.TERMINATING
        if member.drained:
            member.was_terminating = True
            self._lose(member)
        elif not self._settings.may_probe and member.role is Role.UNKNOWN:
            self._take_list_role(member)

    def _leave(self, member: Member) -> None:
        """A member is gone. Where a dropped one stays open, only one that was seen draining is bound."""
        if self._settings.dropped_stay_open and not member.was_terminating:
            return
        member.drained = True
        self._lose(member)
        group = self._groups[member.entry.group]
        group.members.pop(member.entry.member, None)
        group.usual_us = -1.0
        self._members.pop(member.entry.member, None)

    # ---- Member record ----

    def _hear(self, member: Member, report: api.Report | None, fresh: bool) -> None:
        """Set role, position and time heard. A report, as old as its position, overturns no later role."""
        member.heard_us = self._now
        if report is None:
            return
        true_us = self._now if fresh or report.position_us is None else report.position_us
        if report.position_us is not None:
            member.position_us = max(member.position_us, report.position_us)
            member.lag_us = self._now - member.position_us
        if report.role is Role.PRIMARY:
            self._claim(member, true_us)
        elif report.role is Role.REPLICA and (member.role is not Role.PRIMARY or true_us >= member.role_us):
            group = self._groups[member.entry.group]
            if group.primary == member.entry.member:
                group.primary, group.lost_us = None, self._now
            member.role, member.role_us = Role.REPLICA, max(member.role_us, true_us)

    def _claim(self, member: Member, true_us: int) -> None:
        """One primary a group: the later claim stands, an older one is turned unknown and checked at once."""
        group = self._groups[member.entry.group]
        if true_us < member.role_us:
            return
        held = group.members.get(group.primary) if group.primary is not None else None
        if held is not None and held is not member:
            if held.role_us > true_us:
                return
            held.role, group.primary = Role.UNKNOWN, None
            self._check(held)
        member.role, member.role_us = Role.PRIMARY, true_us
        if group.primary is None and not member.drained:
            group.primary, group.known_us = member.entry.member, self._now
            self._log(f"group {member.entry.group}: primary is {member.entry.member}")

    def _lose(self, member: Member) -> None:
        """Turn a member unknown. Threat: a silent one. Its reads go elsewhere where a repeat is allowed."""
        group = self._groups[member.entry.group]
        if group.primary == member.entry.member:
            group.primary, group.lost_us = None, self._now
            self._log(f"group {member.entry.group}: primary {member.entry.member} lost")
        member.role, member.role_us = Role.UNKNOWN, max(member.role_us, self._now)
        for request_id, _ in list(member.out):
            request = self._requests.get(request_id)
            if request is not None and request.rule.effect is Effect.IDEMPOTENT and not request.copied:
                request.copied = True
                request.tried.append(member.entry.member)
                self._hold(group, request)
        self._plan(group)

    def _take_list_role(self, member: Member) -> None:
        """Where members cannot say their role, the list's word stands until an answer is heard."""
        if member.entry.primary:
            self._claim(member, member.role_us)
        else:
            member.role = Role.REPLICA

    # ---- Checks ----

    def _check(self, member: Member) -> None:
        """Ask a member for its report, one check at a time; the cold budget counts it."""
        if not self._settings.may_probe or member.check_sent_us is not None or member.drained:
            return
        weight = min(1.0, member.check_cost_us / max(member.duration_us, 10 * member.check_cost_us))
        if self._within_budget(member, weight):
            member.tokens -= weight
            member.check_sent_us = member.checked_us = self._now
            self._do.append(api.Check(member.entry.member))

    def _checked(self, event: api.Checked) -> None:
        """A check has ended. A capped one says nothing; any other failure marks the member unknown."""
        member = self._members.get(event.member)
        if member is None:
            return
        sent_us, member.check_sent_us = member.check_sent_us or 0, None
        if event.outcome is Outcome.SERVED:
            if member.failed_checks:
                # Threat: a member comes back cold, with hung work in it
                member.failed_checks, member.room, member.duration_us = 0, 1.0, 0.0
                self._groups[member.entry.group].usual_us = -1.0
            member.check_cost_us += 0.2 * (event.duration_us - member.check_cost_us)
            self._hear(member, event.report, fresh=False)
            if member.role is Role.UNKNOWN and (event.report is None or event.report.role is Role.UNKNOWN):
                self._take_list_role(member)
        elif event.outcome is not Outcome.FULL and max(member.answered_us, self._stalled_us) < sent_us:
            # Threat: checks that fail though the member works. An answer since the check went out says more.
            member.failed_checks += 1
            self._lose(member)
            group = self._groups[member.entry.group]
            if all(one.heard_us < 0 and one.failed_checks for one in group.members.values()):
                # Threat: no check is ever answered. With nothing heard at all the list's roles are tried.
                for one in group.members.values():
                    self._take_list_role(one)
        self._pump(self._groups[member.entry.group])

    def _heartbeats(self, group: Group) -> None:
        """Check what has grown old, when a request comes. Threat: hundreds that check all the time."""
        for member in group.members.values():
            if member.role is Role.UNKNOWN:
                self._check_unknown(member)
            elif self._now - max(member.heard_us, member.checked_us) >= self._heartbeat_us:
                self._check(member)

    def _check_unknown(self, member: Member) -> None:
        """Ask a member again at the design's half seconds, but one that does not answer ever more rarely."""
        if self._now - member.checked_us >= HOLD_CHECK_US << min(max(0, member.failed_checks - 1), 4):
            self._check(member)

    def _silent_at(self, group: Group, member: Member) -> float:
        """Threat: a member takes work and answers nothing. When to check it: work overdue, no word."""
        if not member.out:
            return NEVER
        since = max(member.heard_us, next(iter(member.out.values())), self._stalled_us)
        return max(since + 2 * self._usual_us(group), member.checked_us + self._target_us)

    def _ask_replica(self, request: Request, group: Group) -> bool:
        """Whether a report may let a replica take a read. Threat: all reads are left to the primary."""
        if request.rule.freshness not in (Freshness.BOUNDED, Freshness.SESSION):
            return False
        replicas = [one for one in group.members.values() if one.role is Role.REPLICA and not one.drained]
        if any(one.check_sent_us is not None and not self._in_doubt(one) for one in replicas):
            return True
        if request.asked >= MOST_ASKED:
            return False
        member = self._ask_one(replicas, min(request.arrived_us, self._now - self._bound_us // 4))
        if member is None:
            return False
        request.asked += 1
        if request.asked == MOST_ASKED and request.id in self._holds[group.id]:
            self._holds[group.id].put(request, self._kind(request), self._held_need(request))
        return member.check_sent_us is not None

    def _ask_one(self, replicas: list[Member], before_us: int) -> Member | None:
        """Check the next in turn of those with room that were last asked before this time."""
        member = self._turn_over([one for one in replicas if one.checked_us < before_us])
        if member is not None:
            self._check(member)
        return member

    def _check_all(self, group: Group) -> None:
        """Check every member of a group."""
        group.checked_us = self._now
        for member in group.members.values():
            self._check_unknown(member)

    def _in_doubt(self, member: Member) -> bool:
        """Threat: a hung or unreachable member. A check that is overdue holds new work back until it ends."""
        return (member.check_sent_us is not None
                and max(member.answered_us, self._stalled_us) < member.check_sent_us
                and (member.broken_us >= member.check_sent_us or self._now - member.check_sent_us > max(
                    2 * self._tick_us, 4 * member.check_cost_us)))

    # ---- Read and write selection ----

    def _choose(self, request: Request) -> Member | None:
        """The member that takes a request now, or none."""
        group = self._groups[request.group]
        primary = group.members.get(group.primary) if group.primary is not None else None
        if request.rule.freshness is Freshness.WRITE:
            return primary if primary is not None and self._has_room(primary, 1.0, request) else None
        need = self._need(request)
        replicas = [one for one in group.members.values()
                    if one.role is Role.REPLICA and not self._in_doubt(one)]
        fit = [one for one in replicas if one.position_us >= need]
        untried = [one for one in fit if one.entry.member not in request.tried]
        best = self._turn_over(untried)
        if best is not None and best.out and request.rule.freshness is Freshness.BOUNDED:
            # Threat: the one replica whose position is known takes all reads, while others stand free.
            self._ask_one(replicas, self._now - self._bound_us // 2)
        if best is None and not fit and self._settings.members_check_reads:
            others = [one for one in replicas if one.entry.member not in request.tried]
            best = self._most_advanced(others, need)
        elif best is None and self._settings.may_probe and self._ask_replica(request, group):
            return None
        # Threat: reads crowd out writes. Those with a choice get half the room, current ones three quarters.
        share = 0.75 if request.rule.freshness is Freshness.LATEST else 0.5
        lent = request.tied or request.draw <= self._lend
        if best is None and primary is not None and lent and self._has_room(primary, share, request):
            best, self._lent_us = primary, self._lent_us if request.tied else self._now
        return best or self._turn_over(fit)

    def _most_advanced(self, replicas: list[Member], need: int) -> Member | None:
        """Replicas near enough when last heard take turns, else the most advanced. A miss costs little."""
        likely = [one for one in replicas if self._now - one.lag_us >= need]
        return self._turn_over(likely) or min(replicas, key=lambda one: one.lag_us, default=None)

    def _need(self, request: Request) -> int:
        """The position that a read must see."""
        if request.rule.freshness is Freshness.BOUNDED:
            return self._now - request.rule.staleness_us
        return -1 if request.need_us is None else request.need_us

    def _turn_over(self, members: list[Member]) -> Member | None:
        """Take turns over the members with room, passing over long waits, the own zone first."""
        ready = [one for one in members if self._has_room(one, 1.0)]
        if not ready:
            return None
        waits = [self._wait(one) for one in ready]
        limit = 1.2 * min(waits)
        near = [one for one, wait in zip(ready, waits, strict=True) if wait <= limit]
        return min(near, key=lambda one: one.turn)

    def _wait(self, member: Member) -> float:
        """What a new attempt may take there, by its answers and what is out; other zones cost more."""
        shown = member.duration_us and self._now - member.answered_us < 2 * HEARTBEAT_US
        base = member.duration_us if shown else self._usual_us(self._groups[member.entry.group])
        if member.out:
            base = max(base, float(self._now - next(iter(member.out.values()))))
        wait = base * (1 + len(member.out)) * (1 + min(member.refused, 2))
        return wait if member.entry.zone == self._settings.zone else 1.25 * wait

    # ---- Attempt outcomes ----

    def _send(self, request: Request, member: Member) -> bool:
        """Start an attempt, if every rule allows it."""
        if not self._may_send(request, member):
            return False
        number = len(request.attempts)
        request.attempts.append(Attempt(member.entry.member, self._now))
        member.out[(request.id, number)] = self._now
        member.tokens -= 0.0 if request.tied else 1.0
        self._turn += 1
        member.turn = self._turn
        self._holds[request.group].pop(request.id)
        self._do.append(api.Send(request.id, member.entry.member))
        return True

    def _may_send(self, request: Request, member: Member) -> bool:
        """The guards of the rules: drain, group, repeats, time, attempts and cold budget."""
        return (not member.drained and member.entry.group == request.group
                and self._now < request.expires_us - self._margin_us
                and len(request.attempts) < self._settings.max_attempts
                and self._may_repeat(request) and self._within_budget(member, 1.0, request))

    def _may_repeat(self, request: Request) -> bool:
        """Whether the class allows one more attempt after the earlier ones."""
        waiting = [one for one in request.attempts if one.out]
        if waiting and not self._settings.second_copies:
            return False
        if request.rule.effect is Effect.IDEMPOTENT:
            return True
        first = request.may_have_run_us
        return not waiting and (first is None or (
            request.rule.effect is Effect.KEYED
            and self._now + self._margin_us < first + request.rule.repeat_window_us))

    def _ended(self, event: api.AttemptEnded) -> None:
        """An attempt has ended: learn from it, then answer, resend or hold its request."""
        member = self._members.get(event.member)
        sent_us = member.out.pop((event.request, event.attempt), None) if member is not None else None
        if member is not None and sent_us is not None:
            self._learn(member, event, sent_us)
        request = self._requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            attempt.out = False
            if event.over:
                self._served(request, event)
            else:
                if event.outcome.may_have_run and request.may_have_run_us is None:
                    request.may_have_run_us = attempt.sent_us
                self._go_on(request, event)
            self._pump(self._groups[request.group])
        elif member is not None:
            self._pump(self._groups[member.entry.group])

    def _learn(self, member: Member, event: api.AttemptEnded, sent_us: int) -> None:
        """The error rules: what an outcome says of its member."""
        if event.answer is not None:
            member.answered_us = self._now
            self._hear(member, event.answer, fresh=True)
        if event.report is not None:
            self._hear(member, event.report, fresh=False)
        if sent_us >= self._stalled_us:
            self._grow(member, event)
        if event.outcome is Outcome.NO_CONNECTION and self._now - member.heard_us < HEARTBEAT_US:
            # Threat: the member is full for this router. Connections that worked are kept; a check tells.
            if self._now - member.heard_us > self._target_us:
                self._check(member)
        elif (event.outcome is Outcome.RESET
              and member.heard_us > max(member.broken_us, self._now - self._target_us)):
            # Threat: one connection broke, not the member, heard of just before. A second one says more.
            member.broken_us = self._now
            self._check(member)
        elif event.outcome in (Outcome.RESET, Outcome.NO_CONNECTION):
            self._do.append(api.DropIdle(member.entry.member))
            self._lose(member)
            self._check(member)
        elif event.outcome is Outcome.MISS or event.outcome is Outcome.ERROR:
            request = self._requests.get(event.request)
            if request is not None and request.rule.freshness is Freshness.WRITE and (
                    event.outcome is Outcome.MISS or member.role is not Role.PRIMARY):
                self._lose(member)
                self._check(member)

    def _served(self, request: Request, event: api.AttemptEnded) -> None:
        """The client has its answer: remember a session's write, call off copies."""
        if (self._settings.router_remembers_sessions and request.session is not None
                and event.answer is not None and request.rule.freshness is Freshness.WRITE
                and event.answer.position_us is not None and event.outcome is Outcome.SERVED):
            self._remember(request.session, event.answer.position_us)
        for number, attempt in enumerate(request.attempts):
            if attempt.out and self._settings.may_cancel:
                self._do.append(api.Cancel(request.id, number))
        self._forget(request.id)

    def _go_on(self, request: Request, event: api.AttemptEnded) -> None:
        """An attempt has failed: the next one, or the end."""
        if event.outcome is Outcome.NOT_SENT or self._now >= request.expires_us - self._margin_us:
            self._give_up(request)
            return
        request.tried.append(event.member)
        # Threat: requests that fail everywhere. One error may be the member's, a second is the request's.
        again, request.failed = request.failed, request.failed or event.outcome is Outcome.ERROR
        if any(one.out for one in request.attempts):
            return
        if (len(request.attempts) >= self._settings.max_attempts or not self._may_repeat(request)
                or (again and event.outcome is Outcome.ERROR)):
            self._give_up(request)
            return
        self._place(request)

    # ---- Deadlines, holds and refusals ----

    def _arrive(self, event: api.Arrival) -> None:
        """A request has come in: send it, or hold it until its group can take it."""
        rule = self._classes[event.class_name]
        group = self._group(event.group)
        group.arrived += 1
        need = self._session_need(event) if rule.freshness is Freshness.SESSION else None
        need = self._now if rule.freshness is Freshness.LATEST else need
        request = Request(event.request, rule, event.group, self._now, self._now + event.expires_in_us,
                          event.session, need, rule.worth * self._share_worth(event.tenant), group.arrived)
        if self._settings.peers > FEW_PEERS:
            request.tied = rule.freshness in (Freshness.WRITE, Freshness.LATEST)
            request.draw = (1 + self._random.randrange(DRAWS)) / DRAWS
            self._arrived += 1
            self._tied += (request.tied - self._tied) * max(1 / self._arrived, 0.01)
        self._requests[request.id] = request
        if group.checked_us < 0:
            self._check_all(group)  # the first request of a group asks its members who they are
        else:
            self._heartbeats(group)
        self._worth += 0.05 * (request.worth - self._worth)
        drawn = self._random.random() ** max(request.worth, 0.01) if group.share < 1.0 else 0.0
        if drawn > group.share ** self._worth:
            self._give_up(request)
        else:  # Threat: a tenant's flood. Past its share it does not pass what waits; nor does anyone
            # pass it to a room that an answer of this instant has freed.
            held = bool(self._holds[group.id].held)
            self._place(request, wait=held and (request.worth < rule.worth or group.id in self._unsettled))
        self._plan(group)

    def _group(self, group_id: int) -> Group:
        """The record of a group, made when it is first named."""
        if group_id not in self._groups:
            self._groups[group_id], self._holds[group_id] = Group(group_id), Holds()
        return self._groups[group_id]

    def _share_worth(self, tenant: str | None) -> float:
        """What a tenant's next request counts: all within its share, little past it."""
        if tenant is None or tenant not in self._shares:
            return 1.0
        rate, left, since = self._shares[tenant]
        left = min(rate, left + rate * (self._now - since) / 1e6)
        self._shares[tenant] = (rate, left - (left >= 1.0), self._now)
        return 1.0 if left >= 1.0 else self._settings.over_share_worth

    def _session_need(self, event: api.Arrival) -> int | None:
        """The last write that a session's read must see, carried by the client or remembered here."""
        if event.since_write_us is not None:
            return self._now - event.since_write_us
        if self._settings.router_remembers_sessions and event.session is not None:
            return self._sessions.get(event.session, self._forgotten_us)
        return None

    def _remember(self, session: str, position_us: int) -> None:
        """Keep a session's last write. Memory is bounded: what is forgotten binds every unknown session."""
        self._sessions[session] = max(position_us, self._sessions.pop(session, -1))
        if len(self._sessions) > self._settings.max_open:
            _, oldest = self._sessions.popitem(last=False)
            self._forgotten_us = max(self._forgotten_us, oldest)

    def _place(self, request: Request, wait: bool = False) -> None:
        """Send a request, or hold it. Threat: clients that wait less than answers take fill the members."""
        end_us = self._give_up_at(request)
        brief = not request.attempts and self._now >= end_us
        member = None if wait or brief else self._choose(request)
        if member is None or not self._send(request, member):
            self._hold(self._groups[request.group], request)
            if self._now >= end_us:
                self._give_up(request)
            else:
                self._due_by(self._groups[request.group], end_us)

    def _pump(self, group: Group) -> None:
        """Send what is held for a group, the most urgent worth first, as far as there is room."""
        holds = self._holds[group.id]
        if self._more and holds.held:
            self._unsettled[group.id] = None
            return
        if holds.held and any(self._is_free(one, 1.0) for one in group.members.values()):
            self._tidy_rows(group, holds)
            heads = [(kind, row.oldest()) for kind, row in holds.rows.items()]
            waiting = [(self._urgency(head), kind) for kind, head in heads if head is not None]
            heapq.heapify(waiting)
            aside: list[tuple[Request, Kind]] = []
            while waiting:
                urgency, kind = heapq.heappop(waiting)
                row = holds.rows.get(kind)
                request = self._next(group, row) if row is not None else None
                if row is None or request is None:
                    continue
                if self._urgency(request) > urgency:  # older ones of its row find no member
                    heapq.heappush(waiting, (self._urgency(request), kind))
                    continue
                member = self._choose(request)
                if member is None or not self._send(request, member):
                    row.drop(request)
                    aside.append((request, kind))
                if row.held:
                    heapq.heappush(waiting, (urgency, kind))
            for request, kind in aside:
                holds.put(request, kind, self._held_need(request))
        self._plan(group)

    def _next(self, group: Group, row: Row) -> Request | None:
        """The oldest request of a row that finds a member now, if any does.

        Threat: thousands of holds, each tried at every answer. One of a row stands for the others: all need
        as much, or the later ones more; where needs differ (sessions), a position serves all that need less.
        """
        oldest = row.oldest()
        if oldest is None:
            return None
        if oldest.rule.freshness is Freshness.SESSION:
            ready = [one for one in group.members.values()
                     if one.role is Role.REPLICA and not self._in_doubt(one)]
            fits = max((one.position_us for one in ready), default=LONG_AGO)
            primary = group.members.get(group.primary) if group.primary is not None else None
            if primary is not None and self._has_room(primary, 0.5):
                most = fits
            else:
                most = max((one.position_us for one in ready if self._has_room(one, 1.0)), default=LONG_AGO)
            beyond = row.newest(fits)
            if beyond is not None and self._choose(beyond) is not None:
                return oldest
            return row.oldest(most)
        if self._choose(oldest) is not None:
            return oldest
        newest = row.newest(LONG_AGO)
        if newest is not None and newest is not oldest and oldest.rule.freshness is Freshness.BOUNDED:
            self._choose(newest)  # no report has been asked for since it came, as one may since the oldest
        return None

    def _hold(self, group: Group, request: Request) -> None:
        """Keep a request until its group can take it, in the row of its kind, the older first."""
        holds = self._holds[group.id]
        holds.put(request, self._kind(request), self._held_need(request))
        end, half, last = self._ends(request)
        holds.ends_at(request, end - half, end, last)

    def _kind(self, request: Request) -> Kind:
        late = self._now > request.arrived_us + request.rule.aim_us
        return (request.rule.name, request.worth, late, tuple(request.tried), request.asked >= MOST_ASKED,
                request.draw if request.tied else 0.0)

    def _held_need(self, request: Request) -> int:
        return self._need(request) if request.rule.freshness is Freshness.SESSION else 0

    def _tidy_rows(self, group: Group, holds: Holds) -> None:
        """What has become late since goes to the row of the late."""
        for kind, row in list(holds.rows.items()):
            request = None if kind[2] else row.oldest()
            while request is not None and self._now > request.arrived_us + request.rule.aim_us:
                holds.put(request, self._kind(request), self._held_need(request))
                request = row.oldest()

    def _urgency(self, request: Request) -> tuple[float, int]:
        """What serving a held request now earns: more first, then the older."""
        late = self._now > request.arrived_us + request.rule.aim_us
        return -request.worth * (request.rule.late_worth if late else 1.0), request.arrived_us

    def _give_up_at(self, request: Request) -> int:
        """When holding on stops making sense: an answer would come past the aim or the deadline."""
        end, half, last = self._ends(request)
        # Threat: work sent just before its end is done for nobody. The next sweep may be too late, too.
        return min(end - min(self._reserve_us(self._groups[request.group]), half), last)

    def _ends(self, request: Request) -> tuple[int, int, int]:
        """When an answer is too late, the most left out of that for the usual answer, the very end."""
        end = request.expires_us
        if request.rule.late_worth <= 0:
            end = min(end, request.arrived_us + request.rule.aim_us)
        last = request.expires_us - self._margin_us - self._tick_us
        if not request.attempts and request.rule.effect is Effect.IDEMPOTENT:
            # Threat: a client kept waiting for nothing, with no time left to ask elsewhere or again.
            half = (request.expires_us - request.arrived_us) // 2
            last = min(last, request.arrived_us + half - self._margin_us - self._tick_us)
        if request.may_have_run_us is not None and request.rule.effect is Effect.KEYED:
            last = min(last, request.may_have_run_us + request.rule.repeat_window_us - self._margin_us)
        return end, max(request.rule.aim_us, end - request.arrived_us) // 2, last

    def _give_up(self, request: Request) -> None:
        """The final answer, at once: a refusal where trying again is harmless, else a failure."""
        harmless = request.rule.effect is Effect.IDEMPOTENT or (
            request.may_have_run_us is None and not any(one.out for one in request.attempts))
        if harmless and self._now < request.expires_us - self._margin_us:
            past = request.rule.late_worth <= 0 and self._now >= request.arrived_us + request.rule.aim_us
            wait = self._settings.max_retry_after_us * (1.0 if past else self._random.uniform(0.25, 1.0))
            self._do.append(api.Refuse(request.id, round(wait)))
        else:
            self._do.append(api.Fail(request.id))
        self._forget(request.id)

    def _forget(self, request_id: str) -> None:
        """A request has ended."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            self._holds[request.group].pop(request_id)

    def _log(self, text: str) -> None:
        """A line for the people on call."""
        self._do.append(api.Log(text))

    # ---- Cold budget ----

    def _warmth(self, member: Member) -> float:
        """The share of its full strength that a member surely has by now."""
        age, whole = self._now - member.started_us, self._settings.warm_after_us
        if member.started_us <= 0 or age >= whole:
            return 1.0
        return self._settings.cold_share + (1.0 - self._settings.cold_share) * max(0, age) / whole

    def _within_budget(self, member: Member, weight: float, request: Request | None = None) -> bool:
        """Threat: a cold member pushed over by all routers. What goes there costs tokens, the first drawn.

        They come at the rate that this router alone has had from warm members: all add up to what one can do.
        Threat: tokens lie with routers without requests. What only a primary takes comes first, by chance.
        """
        warmth, group = self._warmth(member), self._groups[member.entry.group]
        if warmth >= 1.0:
            return True
        if self._shown_us != self._now:
            self._shown_us = self._now
            warm = [one for one in self._members.values() if not one.drained and self._warmth(one) >= 1.0]
            shown = sum(map(self._rate, warm)) / len(warm) if warm else self._shown
            self._shown = max(shown, 0.99 * self._shown + 0.01 * shown)
        window_s, part = self._settings.fall_us / 1e6, COLD_PART * self._settings.overload_factor * warmth
        # What only the primary takes, as a multiple of what a member of the group takes of all requests.
        own = self._tied * sum(not one.drained for one in group.members.values())
        if request is not None and request.tied:
            # Threat: all that has waited comes at once. It is spread over as long as it can have waited.
            spread_us = self._settings.fall_us + min(group.known_us - group.lost_us, request.rule.deadline_us)
            return request.draw * own <= part * min(1.0, (self._now - group.known_us) / spread_us)
        part -= own if group.primary == member.entry.member else 0.0
        rate = max(COLD_FLOOR / self._settings.peers / window_s, part * self._shown)
        passed_s = (self._now - max(member.tokens_us, member.started_us)) / 1e6
        member.tokens = min(max(1.0, rate * window_s), member.tokens + rate * max(0.0, passed_s))
        member.tokens_us = self._now
        return member.tokens >= weight

    def _rate(self, member: Member) -> float:
        """Answers a second from a member, averaged over about a heartbeat."""
        return member.rate * max(0.0, 1.0 - (self._now - member.rate_us) / HEARTBEAT_US)

    # ---- Overload ----

    def _has_room(self, member: Member, share: float, request: Request | None = None) -> bool:
        """Whether a member may have one more attempt out, or this request."""
        return self._is_free(member, share) and self._within_budget(member, 1.0, request)

    def _is_free(self, member: Member, share: float) -> bool:
        """Whether one more attempt is within a share of what a member has shown it can hold."""
        room = max(1.0, member.room * share * self._warmth(member))
        return (not member.drained and not self._in_doubt(member) and self._now >= member.full_until_us
                and len(member.out) + 1 <= room)

    def _grow(self, member: Member, event: api.AttemptEnded) -> None:
        """Room follows what a member shows: more while answers come in good time, less when slow or full."""
        group = self._groups[member.entry.group]
        if event.outcome is Outcome.SERVED:
            member.rate = self._rate(member) + 1e6 / HEARTBEAT_US
            member.rate_us = self._now
            member.refused = 0
            # Threat: a first guess far above what answers take keeps a member out of the turn for long.
            part = 0.1 if member.duration_us else 1.0
            group.usual_us = -1.0
            member.duration_us += part * (event.duration_us - member.duration_us)
            self._answer_us += 0.05 * (event.duration_us - self._answer_us)
            group.answer_us += 0.05 * (event.duration_us - group.answer_us)
            request = self._requests.get(event.request)
            self._admit_by(member, request is not None  # the way there, as checks show it, left out
                           and event.duration_us - member.check_cost_us > request.rule.aim_us / 2)
            if member.duration_us > self._target_us:
                self._cut(member)
            elif len(member.out) + 1 >= member.room / 2:
                member.room += min(0.25 * member.room, 1.0 / member.room)
        elif event.outcome is Outcome.FULL:
            member.full_until_us = self._now + round(self._random.uniform(0.5, 1.5) * 4 * self._tick_us)
            self._due_by(group, member.full_until_us)
            self._cut(member)
            self._admit_by(member, True)
        elif event.outcome is Outcome.LATE and event.duration_us > self._target_us:  # else a short wait
            self._cut(member)
            if self._usual_us(group) > self._target_us:
                self._admit_by(member, True)  # where other answers are quick, this one was lost
        elif event.outcome is Outcome.NO_CONNECTION:
            # Threat: a member that takes few connections. The next try waits, longer each time.
            pause = min(self._tick_us << min(member.refused, 8), HOLD_CHECK_US)
            member.full_until_us = self._now + round(pause * self._random.uniform(0.5, 1.5))
            self._due_by(group, member.full_until_us)
            member.refused += 1

    def _cut(self, member: Member) -> None:
        """Less room, once for each round of answers."""
        if self._now - member.cut_us >= member.duration_us:
            member.room, member.cut_us = max(1.0, 0.8 * member.room), self._now

    def _admit_by(self, member: Member, slow: bool) -> None:
        """Threat: one attempt of each of many routers is already too much; room cannot fall below one.

        Then a share is let in by chance: first, at a primary, of what has a choice, then of all the group's.
        """
        group = self._groups[member.entry.group]
        lends = group.primary == member.entry.member and self._now - self._lent_us < HEARTBEAT_US
        if not slow:
            group.share = min(1.0, group.share + 0.05)
            self._lend = min(1.0, (1.05 if lends else 1.0) * self._lend)
        elif lends and self._lend > LEAST_SHARE:
            self._lend *= 0.8
        elif member.room <= 1.0 and self._settings.peers > FEW_PEERS:
            group.share = max(LEAST_SHARE, 0.8 * group.share)

    def _reserve_us(self, group: Group) -> int:
        """What to leave for an answer. Threat: members that stand unused say little of those that work."""
        return round(max(self._usual_us(group), group.answer_us))

    def _usual_us(self, group: Group) -> float:
        """What an answer of the group takes by what its members have shown."""
        if group.usual_us < 0:
            shown = [one.duration_us for one in group.members.values() if one.duration_us > 0]
            group.usual_us = sum(shown) / len(shown) if shown else 0.0
        return group.usual_us or self._answer_us
