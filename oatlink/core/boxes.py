"""The boxes' reports and their consequences: identity, offset histories, probes, the Router's checks. No I/O.

One of the Router's member numbers stands for one run of a box on one line of replication history. A box that comes
back with another run id, or whose offset goes back (a full resynchronisation), is a new member to the Router. The
Router keeps the highest position of a member, so a position that the box once had must not bind the new run.
"""

import msgspec

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core import outcomes
from oatlink.core.paths import REPORT, BoxPaths, addresses_of
from oatlink.core.reports import BoxReport, parse_info
from oatlink.core.shared import SAMPLES_PER_BOUND, BoxState
from oatlink.fleet.gate import Seen
from oatlink.interface import Outcome, Role
from oatlink.member_status import member_status

SAMPLE_WAIT_US = 10_000  # how long a replica's check waits for the primary's offset to compare with
EVIDENCE_BY_ENDING = {"late": "hung", "refused": "refused", "reset": "reset"}
"""By the ending of a probe or an attempt: the kind of evidence that is reported to other gateways."""
MAX_RECENT_ELECTIONS = 16  # per bank, shown to operators


class Boxes(BoxPaths):
    """The members of all banks."""

    @property
    def without_primary(self) -> list[str]:
        """The banks whose primary is not known yet."""
        with_primary = {state.box.bank for state in self._boxes.values() if self._is_primary(state)}
        return [bank.name for number, bank in enumerate(self.settings.banks) if number not in with_primary]

    def primary_of(self, bank: str) -> str:
        """The address of the box that is believed to be a bank's primary, empty without one."""
        for state in self._boxes.values():
            if self.settings.banks[state.box.bank].name == bank and self._is_primary(state):
                return state.box.address
        return ""

    def _observe(self, state: BoxState, kind: str, history: str = "", offset: int = -1) -> None:
        """Report an observation to the fleet, if there is one."""
        if self._gate.on:
            bank = self.settings.banks[state.box.bank].name
            self._out.append(m.ReportEvidence(state.box.name, bank, kind, history, offset))

    def _apply_health_report(self, seen: Seen) -> None:
        """Apply other gateways' weighted observations of a box: at most they cause a check or a longer expected wait.

        Reports that are older than the box's last contact with this gateway are ignored, because the box has answered
        here since.
        """
        state = self._boxes.get(seen.member)
        if state is None:
            return
        if seen.act == "position":
            report = state.report
            if report is not None and report.replid == seen.history and 0 <= report.offset < seen.offset:
                # Its offset in one history only grows, so every report requested from now on shows at least this one.
                state.report, state.report_received_us = msgspec.structs.replace(report, offset=seen.offset), self._now
        elif seen.act == "later" and seen.until_us <= self._now:
            self._set_doubt(state, (0, 0))
        elif state.heard_us < seen.at_us:
            self._set_doubt(state, (seen.at_us, seen.until_us if seen.act == "later" else state.doubt[1]))

    def _set_doubt(self, state: BoxState, doubt: tuple[int, int]) -> None:
        if state.doubt != doubt:
            state.doubt = doubt
            self._route(api.Roster(api.RosterKind.CHANGES, (self._entry(state),)))

    def _is_primary(self, state: BoxState) -> bool:
        belief = member_status(self.router, state.member)
        return belief is not None and belief.is_primary

    def _on_refresh_requested(self, message: m.AnyInput) -> None:
        """An operator wants fresh reports: every box is probed, the primaries first because of their offsets."""
        primaries_first = sorted(
            self._boxes.values(), key=lambda state: state.box.name != self._groups[state.box.bank].primary
        )
        for state in primaries_first:
            state.refresh_pending = True
            self._probe(state)

    def _on_roster_listed(self, message: m.AnyInput) -> None:
        """Apply discovery's whole list. A known name with other addresses or another bank is another box."""
        assert isinstance(message, m.RosterListed)
        entries = []
        listed_names = {box.name for box in message.boxes}
        for name in [known for known in self._boxes if known not in listed_names]:
            self._remove_box(self._boxes.pop(name))
        taken: set[str] = set()
        for box in message.boxes:
            state = self._boxes.get(box.name)
            if state is None or state.box.bank != box.bank or not _is_same_box(state.box, box):
                if state is not None:
                    self._remove_box(state)
                state = BoxState(box, self._assign_member(box.name), self._new_paths(box, taken))
                self._boxes[box.name] = state
            else:
                self._update_paths(state.paths, box, taken)
            if box.state == "terminating" and state.box.state != box.state:
                self._out.append(m.DropIdle(box.name))
            state.box = box
            entries.append(self._entry(state))
        self._route(api.Roster(api.RosterKind.WHOLE, tuple(entries)))
        if self._gate.on:
            self._out.append(m.PublishRoster(message.boxes))
        if not self._has_roster:
            self._has_roster = True
            # A gateway that has just started probes every box once, before a request needs its report.
            self._on_refresh_requested(message)

    def _remove_box(self, state: BoxState) -> None:
        """Drop what is pending for a box that was removed, or whose name another box has now."""
        name = state.box.name
        self._waiting_checks.pop(name, None)
        for session in self._sessions.values():
            if session.lease_box == name:
                # Prevents EXEC from running at the next box of that name, where none of the keys is watched.
                session.lease_lost = True
        for key in [race_key for race_key in self._races if race_key[0] == name]:
            del self._races[key]  # the next link of that name counts its dials from 1 again
        if state.report is not None and self._box_by_run_id.get(state.report.run_id) == name:
            del self._box_by_run_id[state.report.run_id]

    def _assign_member(self, name: str) -> int:
        """A new member number for a box. Numbers that are no longer in use are forgotten now and then."""
        self._last_member += 1
        self._box_names[self._last_member] = name
        if len(self._box_names) > 16 * (len(self._boxes) + 64):
            in_use = {state.member for state in self._boxes.values()}
            self._box_names = {member: self._box_names[member] for member in sorted(in_use | {self._last_member})}
        return self._last_member

    def _entry(self, state: BoxState) -> api.RosterEntry:
        box = state.box
        listing = api.Listing.TERMINATING if box.state == "terminating" else api.Listing.READY
        return api.RosterEntry(
            state.member, box.bank, box.hall, box.kind, listing, box.primary, state.started_us, state.doubt
        )

    def _on_clock_stalled(self, message: m.AnyInput) -> None:
        """Make every box a new member and probe it, because nothing shown before the gap proves anything after it.

        Otherwise, data that is as old as the machine's sleep would look as recent as before it, and stale reads would
        be served.
        """
        for group in self._groups:
            group.positions.mark_gap(self._now - 2)  # a report that is requested in this microsecond must count
        for state in list(self._boxes.values()):
            state.report, state.report_asked_us = None, 0
            self._replace_member(state, "is asked anew after a gap in the clock")
        self._on_refresh_requested(message)

    def _on_probed(self, message: m.AnyInput) -> None:
        """A probe has ended, and with it the Router's check of the box and the checks that waited for this primary."""
        assert isinstance(message, m.Probed)
        state = self._boxes.get(message.box)
        if state is None:
            return
        address = message.address or state.box.address
        report = parse_info(message.info)
        how = message.how if message.info or message.how != "reply" else "bad reply"
        how = self._record_attempt(state, address, how, report, message.asked_us, message.took_us, probe=True)
        if how in EVIDENCE_BY_ENDING:
            self._observe(state, EVIDENCE_BY_ENDING[how])
        race = self._races.get((message.box, REPORT))
        if race is None or address not in race.running:  # the probe was for the path only
            if how == "reply":
                self._apply_report(state, report, message.asked_us)
            return
        race.running.remove(address)
        if how != "reply":
            race.last_ending = how
            self._advance_race(state, REPORT, race)
            if race.running or race.queue:
                return  # another path is probed or will be
        del self._races[message.box, REPORT]
        state.probe_pending = False
        if how == "reply":
            self._apply_report(state, report, message.asked_us)
            if state.doubt[0] and message.asked_us > state.doubt[0]:
                self._observe(state, "served")  # tells other gateways that it answers here
                self._set_doubt(state, (0, 0))
            if state.check_pending or state.refresh_pending:
                state.check_pending = state.refresh_pending = False
                # An old primary that is cut off from its group is alive, but its data is not the group's any more.
                is_cut_off = (
                    report.role == "primary" and report.replid != self._groups[state.box.bank].positions.current
                )
                outcome = Outcome.MISS if report.loading or is_cut_off else Outcome.SERVED
                router_report = self._router_report(state, message.asked_us)
                self._route(api.Checked(state.member, outcome, message.took_us, router_report))
        elif state.check_pending:
            state.check_pending = state.refresh_pending = False
            self._route(api.Checked(state.member, outcomes.ENDINGS[how], message.took_us))
        else:
            state.refresh_pending = False
        group = self._groups[state.box.bank]
        if message.box == group.primary:
            for other in list(self._waiting_checks.values()):
                if other.box.bank == state.box.bank:
                    self._probe(other)

    def _apply_report(self, state: BoxState, report: BoxReport, asked_us: int) -> None:
        """Apply a box's report: first its identity, then the primary's offset as a sample."""
        old = state.report
        if not report.run_id and old is not None:  # requested behind a request, on a connection to the known run
            report = _with_identity_of(old, report)
        # A box that has restarted, or has resynchronised from scratch, holds less data than it once showed.
        is_restarted = old is not None and old.run_id and report.run_id != old.run_id
        is_lower = (
            old is not None and not is_restarted and report.replid == old.replid and 0 <= report.offset < old.offset
        )
        # Two reports may be on their way at once over two paths. A lower offset shows that the box has gone back only
        # if the report was requested when the higher offset was known already; otherwise it is older, in whatever order
        # the two arrive.
        is_reset = is_lower and asked_us >= state.report_received_us
        is_first = old is None
        if report.run_id and (old is None or is_restarted):
            if old is not None and self._box_by_run_id.get(old.run_id) == state.box.name:
                del self._box_by_run_id[old.run_id]
            self._box_by_run_id[report.run_id] = state.box.name
        if old is None or is_restarted or is_reset or (asked_us >= state.report_asked_us and not is_lower):
            state.report, state.report_asked_us, state.report_received_us = report, asked_us, self._now
        state.heard_us = self._now
        group = self._groups[state.box.bank]
        if report.role == "primary" and not report.loading and report.offset >= 0:
            # A write that was answered within the microsecond of the request for this report may not be in it.
            is_counted = group.positions.sample(
                report.replid,
                report.offset,
                asked_us - 1,
                self._now,
                parent=report.replid2 or None,
                join=report.second_offset,
            )
            if is_counted and group.primary != state.box.name:
                group.elections += bool(group.primary)
                group.recent_elections = [
                    *group.recent_elections[1 - MAX_RECENT_ELECTIONS :],
                    (self._now, group.primary, state.box.name),
                ]
                group.primary = state.box.name
                self._observe(state, "elected")
                self._observe(state, "primary", report.replid, report.offset)
        if report.role == "replica" and report.offset >= 0 and (old is None or old.offset != report.offset):
            self._observe(state, "position", report.replid, report.offset)
        if is_restarted or is_reset or is_first:
            warm_after_us = self.settings.cold.warm_after_ms * 1_000
            is_cold = report.uptime_s >= 0 and report.uptime_s * 1_000_000 < warm_after_us
            if is_cold and (is_first or is_restarted):
                # The uptime is cut off to whole seconds: this is the latest time at which the box may have started, and
                # so the coldest that it may be.
                state.started_us = max(1, asked_us - report.uptime_s * 1_000_000)
            if not is_first:
                self._replace_member(state, "started again" if is_restarted else "was filled anew")
            elif state.started_us:
                self._route(api.Roster(api.RosterKind.CHANGES, (self._entry(state),)))

    def _replace_member(self, state: BoxState, why: str) -> None:
        """Make the box a new member of the Router, to which nothing applies that the old member has shown."""
        entry = self._entry(state)
        gone = api.RosterEntry(entry.member, entry.group, entry.zone, entry.kind, api.Listing.GONE)
        state.member = self._assign_member(state.box.name)
        state.check_pending = False
        self._out.append(m.Note("box", f"{state.box.name} {why}"))
        self._out.append(m.DropIdle(state.box.name))
        self._route(api.Roster(api.RosterKind.CHANGES, (gone, self._entry(state))))
        if state.report is not None and not state.report.loading:
            router_report = self._router_report(state, state.report_asked_us)
            self._route(api.Checked(state.member, Outcome.SERVED, 0, router_report))

    def _router_report(self, state: BoxState, asked_us: int) -> api.Report | None:
        """What the Router may believe of a box: its role, and its offset as a time if one is proven."""
        report = state.report
        if report is None:
            return None
        if report.role == "primary":
            if report.replid != self._groups[state.box.bank].positions.current:
                return api.Report(None, Role.UNKNOWN)  # the group follows another history by now
            return api.Report(asked_us, Role.PRIMARY)
        if report.role == "replica":
            return api.Report(
                self._groups[state.box.bank].positions.time_of(report.replid, report.offset), Role.REPLICA
            )
        return None

    def _start_check(self, member: int) -> None:
        """Start a check for the Router. A replica's offset is compared with the primary's, which is requested first."""
        state = self._boxes.get(self._box_names.get(member, ""))
        if state is None or state.member != member:
            return
        state.check_pending = True
        group = self._groups[state.box.bank]
        primary = self._boxes.get(group.primary)
        is_fresh = self._now - group.positions.newest_us() <= self._sample_interval_us
        may_wait = primary is not None and primary is not state and not state.check_deadline_us
        if primary is not None and may_wait and not is_fresh and self._sample_offset(primary):
            state.check_deadline_us = self._now + SAMPLE_WAIT_US
            self._waiting_checks[state.box.name] = state
            return
        self._probe(state)

    def _sample_offset(self, primary: BoxState) -> bool:
        """Probe a primary for its offset unless a probe is open. Returns whether an answer is awaited now."""
        interval_us = self._sample_interval_us // SAMPLES_PER_BOUND
        if not primary.probe_pending and self._now - primary.offset_asked_us >= interval_us:
            primary.offset_asked_us = self._now
            self._probe(primary)
            return True
        return primary.probe_pending and self._now - primary.offset_asked_us < SAMPLE_WAIT_US

    def _refresh_positions(self, number: int) -> None:
        """Keep the replicas' positions known while a bank gets reads that need one.

        The Router asks for a position only if no known one is recent enough. A single replica whose answers keep its
        own position known would therefore get all reads, and the others none. The interval between the probes of one
        replica grows with the number of gateways.
        """
        group = self._groups[number]
        if self._now < group.refresh_due_us:
            return
        group.refresh_due_us = self._now + self._refresh_interval_us // SAMPLES_PER_BOUND
        for state in self._boxes.values():
            age_us = self._now - max(state.report_asked_us, state.refreshed_us)
            if (
                state.box.bank == number
                and age_us >= self._refresh_interval_us
                and state.report is not None
                and state.report.role == "replica"
                and state.box.state == "ready"
                and not state.probe_pending
            ):
                state.refresh_pending, state.refreshed_us = True, self._now
                self._probe(state)

    def _probe(self, state: BoxState) -> None:
        if state.check_deadline_us:
            state.check_deadline_us = 0
            self._waiting_checks.pop(state.box.name, None)
        if not state.probe_pending:
            state.probe_pending = True
            self._start_race(state, REPORT)

    def _updated_position(self, state: BoxState) -> api.Report | None:
        """A replica's last offset compared with newer samples, which may prove it more recent by now."""
        if state.report is None or state.report.role != "replica":
            return None
        report = self._router_report(state, state.report_asked_us)
        # The role is as old as the box's report, so only the position is passed on.
        return api.Report(report.position_us) if report is not None and report.position_us is not None else None


def _is_same_box(old: m.Box, new: m.Box) -> bool:
    """Whether a listed box is the known one of its name: the two have an address in common."""
    known = {way.address for way in addresses_of(old)}
    return any(way.address in known for way in addresses_of(new))


def _with_identity_of(old: BoxReport, report: BoxReport) -> BoxReport:
    """A report with the run id and the uptime of an older one."""
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
