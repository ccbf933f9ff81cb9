"""What boxes say, and what follows from it: identity, histories of offsets, probes, the Router's checks. No I/O.

A box's life: the Router's member number stands for one run of a box on one line of history. A box that comes
back with another run id, or whose offset goes back (a full resynchronisation), is a new member to the Router, so
that a position it once had binds nothing (the Router keeps the higher position of a member).
"""

import msgspec

from oatlink import interface as api
from oatlink.beliefs import belief as belief_of
from oatlink.core import messages as m
from oatlink.core import outcomes
from oatlink.core.reports import BoxReport, parse_info
from oatlink.core.shared import PROBE_PARTS, BoxState
from oatlink.core.ways import REPORT, Ways, ways_of
from oatlink.fleet.gate import Seen
from oatlink.interface import Outcome, Role

SAMPLE_WAIT_US = 10_000  # a replica's check waits so long for the primary's offset to compare with
SEEN = {"late": "hung", "refused": "refused", "reset": "reset"}  # how a probe or an attempt ended: evidence for others
KEPT_ELECTIONS = 16  # a bank, for operators


class Boxes(Ways):
    """The members of all banks."""

    @property
    def without_primary(self) -> list[str]:
        """The banks whose primary is not known yet."""
        believed = {state.box.bank for state in self._boxes.values() if self._is_primary(state)}
        return [bank.name for number, bank in enumerate(self.settings.banks) if number not in believed]

    def primary_of(self, bank: str) -> str:
        """The address of the box that is believed to be a bank's primary, empty without one."""
        for state in self._boxes.values():
            if self.settings.banks[state.box.bank].name == bank and self._is_primary(state):
                return state.box.address
        return ""

    def _observe(self, state: BoxState, kind: str, history: str = "", offset: int = -1) -> None:
        """Tell the fleet, where there is one."""
        if self._gate.on:
            bank = self.settings.banks[state.box.bank].name
            self._out.append(m.ReportEvidence(state.box.name, bank, kind, history, offset))

    def _take_verdict(self, seen: Seen) -> None:
        """What others saw of a box, weighed already. It is asked, or comes later in the turn; no more than that.

        Threat: old news about a box that has answered here since.
        """
        state = self._boxes.get(seen.member)
        if state is None:
            return
        if seen.act == "position":
            report = state.report
            if report is not None and report.replid == seen.history and 0 <= report.offset < seen.offset:
                # What it has applied of one history only grows; what is asked from now on shows as much.
                state.report, state.told_us = msgspec.structs.replace(report, offset=seen.offset), self._now
        elif seen.act == "later" and seen.until_us <= self._now:
            self._doubt(state, (0, 0))
        elif state.heard_us < seen.at_us:
            self._doubt(state, (seen.at_us, seen.until_us if seen.act == "later" else state.doubt[1]))

    def _doubt(self, state: BoxState, doubt: tuple[int, int]) -> None:
        if state.doubt != doubt:
            state.doubt = doubt
            self._route(api.Roster(api.RosterKind.CHANGES, (self._entry(state),)))

    def _is_primary(self, state: BoxState) -> bool:
        belief = belief_of(self.router, state.member)
        return belief is not None and belief.primary

    def _on_refresh_requested(self, given: m.AnyInput) -> None:
        """An operator wants to know: every box is asked, the primaries' offsets first."""
        ordered = sorted(self._boxes.values(), key=lambda one: one.box.name != self._groups[one.box.bank].primary)
        for state in ordered:
            state.refreshing = True
            self._probe(state)

    def _on_roster_listed(self, given: m.AnyInput) -> None:
        """Discovery's whole list. A box of another address or bank under an old name is another box."""
        assert isinstance(given, m.RosterListed)
        entries = []
        named = {one.name for one in given.boxes}
        for name in [one for one in self._boxes if one not in named]:
            self._part(self._boxes.pop(name))
        taken: set[str] = set()
        for box in given.boxes:
            state = self._boxes.get(box.name)
            if state is None or state.box.bank != box.bank or not _same(state.box, box):
                if state is not None:
                    self._part(state)
                state = BoxState(box, self._number(box.name), self._new_paths(box, taken))
                self._boxes[box.name] = state
            else:
                self._list_paths(state.paths, box, taken)
            if box.state == "terminating" and state.box.state != box.state:
                self._out.append(m.DropIdle(box.name))
            state.box = box
            entries.append(self._entry(state))
        self._route(api.Roster(api.RosterKind.WHOLE, tuple(entries)))
        if self._gate.on:
            self._out.append(m.PublishRoster(given.boxes))
        if not self._listed:
            self._listed = True
            self._on_refresh_requested(given)  # a gateway that starts asks every box once, before anyone waits for it

    def _part(self, state: BoxState) -> None:
        """A box has left, or another has its name now: nothing of it is awaited."""
        name = state.box.name
        self._check_waits.pop(name, None)
        for session in self._sessions.values():
            if session.lease_box == name:
                # Threat: EXEC at whoever has that name next, where nothing is watched.
                session.lease_lost = True
        for key in [one for one in self._races if one[0] == name]:
            del self._races[key]  # the next link of that name counts its dials from 1 again
        if state.report is not None and self._runs.get(state.report.run_id) == name:
            del self._runs[state.report.run_id]

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
        return api.RosterEntry(
            state.member, box.bank, box.hall, box.kind, listing, box.primary, state.started_us, state.doubt
        )

    def _on_clock_stalled(self, given: m.AnyInput) -> None:
        """Nothing shown before the gap proves anything after it: every box is a new member, and is asked.

        Threat: data as old as the machine's sleep looks as young as before it, and a stale read is served.
        """
        for group in self._groups:
            group.positions.gap(self._now - 2)  # what is asked in this very instant counts
        for state in list(self._boxes.values()):
            state.report, state.asked_us = None, 0
            self._renew(state, "is asked anew after a gap in the clock")
        self._on_refresh_requested(given)

    def _on_probed(self, given: m.AnyInput) -> None:
        """A probe has ended: the Router's check with it, and the checks that waited for this primary."""
        assert isinstance(given, m.Probed)
        state = self._boxes.get(given.box)
        if state is None:
            return
        address = given.address or state.box.address
        report = parse_info(given.info)
        how = given.how if given.info or given.how != "reply" else "bad reply"
        how = self._shown(state, address, how, report, given.asked_us, given.took_us, probe=True)
        if how in SEEN:
            self._observe(state, SEEN[how])
        race = self._races.get((given.box, REPORT))
        if race is None or address not in race.out:  # asked for the path's sake
            if how == "reply":
                self._hear(state, report, given.asked_us)
            return
        race.out.remove(address)
        if how != "reply":
            race.how = how
            self._advance(state, REPORT, race)
            if race.out or race.queue:
                return  # another path has been asked
        del self._races[given.box, REPORT]
        state.probe_out = False
        if how == "reply":
            self._hear(state, report, given.asked_us)
            if state.doubt[0] and given.asked_us > state.doubt[0]:
                self._observe(state, "served")  # others hear that it answers here
                self._doubt(state, (0, 0))
            if state.check_out or state.refreshing:
                state.check_out = state.refreshing = False
                # An old primary on its island lives, but nothing that it holds is the group's word.
                island = report.role == "primary" and report.replid != self._groups[state.box.bank].positions.current
                ended = Outcome.MISS if report.loading or island else Outcome.SERVED
                self._route(api.Checked(state.member, ended, given.took_us, self._report(state, given.asked_us)))
        elif state.check_out:
            state.check_out = state.refreshing = False
            self._route(api.Checked(state.member, outcomes.ENDINGS[how], given.took_us))
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
        lower = old is not None and not again and report.replid == old.replid and 0 <= report.offset < old.offset
        # Threat: two reports on the way at once, over two paths. Only one that was asked for when the higher offset was
        # known already shows that the box has gone back; another one is older news, however it came.
        back = lower and asked_us >= state.told_us
        first = old is None
        if report.run_id and (old is None or again):
            if old is not None and self._runs.get(old.run_id) == state.box.name:
                del self._runs[old.run_id]
            self._runs[report.run_id] = state.box.name
        if old is None or again or back or (asked_us >= state.asked_us and not lower):
            state.report, state.asked_us, state.told_us = report, asked_us, self._now
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
                self._observe(state, "elected")
                self._observe(state, "primary", report.replid, report.offset)
        if report.role == "replica" and report.offset >= 0 and (old is None or old.offset != report.offset):
            self._observe(state, "position", report.replid, report.offset)
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
            self._attempt(state, REPORT)

    def _again(self, state: BoxState) -> api.Report | None:
        """A replica's last offset compared with the samples since: it may be proven more recent by now."""
        if state.report is None or state.report.role != "replica":
            return None
        found = self._report(state, state.asked_us)
        # The role is as old as that report; only the position is told.
        return api.Report(found.position_us) if found is not None and found.position_us is not None else None


def _same(old: m.Box, new: m.Box) -> bool:
    """Whether a list's box is the one known by that name: it is still reached by one of its addresses."""
    known = {one.address for one in ways_of(old)}
    return any(one.address in known for one in ways_of(new))


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
