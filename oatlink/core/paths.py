"""How the engine reaches boxes: dials and reports over a box's paths, checks for silence, identity. No I/O.

The decisions about one box are in `addresses`. This module connects them to the engine: inputs become what a path has
shown, and the decisions become effects. Reports use the same staggered attempts as connections, so the Router's check
of a box fails only if every path worth a try has failed. That is a failure of the box, which the Router's error rules
decide.

Identity. A path proves which box it has reached by the run id that the box reports (INFO server). A connection that
reaches another listed box, or a box with another bank's history, carries no requests. One that reaches an unknown run
has reached the box after a restart, unless another path still reaches the old run: then the address now belongs to
another server.
"""

import heapq

from oatlink.core import messages as m
from oatlink.core.addresses import MAX_PATHS, NEVER, Path, Paths, Race, State
from oatlink.core.reports import BoxReport, parse_info
from oatlink.core.shared import BoxState, EngineState

# Attempts to all boxes that are open at once. Prevents the dials for every waiting connection from starting together
# when a bank comes back.
MAX_OPEN_DIALS = 64
STRANGER_RETRY_US = 5_000_000  # a path that reached another server is not tried again before this delay

# The target of a scheduled path check: a dial number (links count theirs from 1), one of the two below, or
# `_silence_target` of a path.
REPORT = 0  # the dial number of the attempts for a report
UPKEEP = -1


def addresses_of(box: m.Box) -> list[m.Way]:
    """All addresses of a box, the main one first; an address that is listed twice counts once."""
    by_address: dict[str, m.Way] = {}
    for way in (m.Way(box.address, box.hall), *box.ways):
        by_address.setdefault(way.address, way)
    return list(by_address.values())[:MAX_PATHS]


def _silence_target(index: int) -> int:
    """The target of a check whether the path at this index is silent."""
    return UPKEEP - 1 - index


class BoxPaths(EngineState):
    """The paths to boxes."""

    def _new_paths(self, box: m.Box, taken: set[str]) -> Paths:
        paths = Paths(
            self.settings.hall,
            self.settings.links.stagger_ms * 1_000,
            self.settings.peers,
            self.settings.seed + self._last_member,
            [Path(box.address)],
        )
        self._update_paths(paths, box, taken)
        return paths

    def _update_paths(self, paths: Paths, box: m.Box, taken: set[str]) -> None:
        """Use a box's listed addresses, except those that belong to an earlier box of the roster."""
        ways = [way for way in addresses_of(box) if way.address not in taken]
        for way in addresses_of(box):
            if way.address in taken:
                self._out.append(m.Note("address", f"{box.name}: {way.address} is another box's, it is not used"))
        # A box without any address of its own keeps its first one: the run id shows what that reaches.
        ways = ways or addresses_of(box)[:1]
        taken.update(way.address for way in ways)
        tried = {path.address for path in paths.paths if path.state is not State.UNTRIED}
        paths.update_addresses([(way.address, way.hall or box.hall, way.connect_timeout_ms * 1_000) for way in ways])
        if any(path.address not in tried for path in paths.paths):
            self._schedule_upkeep(paths, box.name, self._now)

    def _schedule_path_check(self, at_us: int, box: str, target: int) -> None:
        heapq.heappush(self._path_checks, (at_us, box, target))

    def _schedule_upkeep(self, paths: Paths, box: str, at_us: int) -> None:
        """Probe the unused paths at a time, unless that is scheduled for an earlier one."""
        if len(paths.paths) > 1 and (not paths.upkeep_due_us or at_us < paths.upkeep_due_us):
            paths.upkeep_due_us = at_us
            self._schedule_path_check(at_us, box, UPKEEP)

    def _schedule_next_upkeep(self, state: BoxState) -> None:
        """Schedule the probes for when the next path is due; failed and suspect paths are due before unused ones."""
        paths = state.paths
        if len(paths.paths) > 1:
            self._schedule_upkeep(paths, state.box.name, paths.next_upkeep_us(self._now))

    # ---- Attempts ----

    def _start_race(self, state: BoxState, dial: int, preferred: str = "") -> None:
        """Start the attempts for one connection, or for a report."""
        race = state.paths.new_race(self._now, preferred)
        self._races[state.box.name, dial] = race
        self._advance_race(state, dial, race)

    def _advance_race(self, state: BoxState, dial: int, race: Race) -> None:
        """Start the attempts that are due, and schedule a check for when the next one is."""
        name = state.box.name
        if dial and self._open_dial_count >= MAX_OPEN_DIALS:
            self._waiting_dials.append((name, dial))
            return
        # Prevents all gateways of a fleet from dialling a box at once when it comes back. The connection's requests
        # keep waiting meanwhile.
        delay_us = self._gate.dial(name, self._now) if dial else 0
        if delay_us:
            self._schedule_path_check(self._now + delay_us, name, dial)
            self._out.append(m.QueryFleet())
            return
        for address in state.paths.start_due(race, self._now):
            if dial == REPORT:
                self._out.append(m.Probe(name, address))
                continue
            self._open_dial_count += 1
            timeout_us = state.paths.paths[state.paths.index_of(address)].connect_timeout_us
            self._out.append(m.Dial(name, dial, address, timeout_us or self.settings.links.connect_timeout_ms * 1_000))
        if race.queue:
            self._schedule_path_check(race.next_start_us, name, dial)

    def _on_connection_wanted(self, message: m.AnyInput) -> None:
        """A link wants one more connection."""
        assert isinstance(message, m.ConnectionWanted)
        state = self._boxes.get(message.box)
        if state is None:
            self._out.append(m.NoPath(message.box, message.dial, "refused"))
        else:
            self._start_race(state, message.dial, message.address)

    def _on_dialled(self, message: m.AnyInput) -> None:
        """An attempt has ended; the first connection that reached the box is used, and the box's report is applied."""
        assert isinstance(message, m.Dialled)
        self._open_dial_count = max(0, self._open_dial_count - 1)
        self._start_waiting_dials()
        state = self._boxes.get(message.box)
        race = self._races.get((message.box, message.dial))
        if state is None:
            if message.how == "reply":
                self._out.append(m.Discard(message.box, message.dial, message.address))
            return
        report = parse_info(message.info)
        how = self._record_attempt(
            state, message.address, message.how, report, message.asked_us, message.took_us, probe=False
        )
        if how == "reply":
            self._apply_report(state, report, message.asked_us)
        if race is None or message.address not in race.running:
            if message.how == "reply":
                self._out.append(m.Discard(message.box, message.dial, message.address))
            return
        race.running.remove(message.address)
        if how == "reply":
            del self._races[message.box, message.dial]
            self._out.append(m.Use(message.box, message.dial, message.address))
            return
        if message.how == "reply":
            self._out.append(m.Discard(message.box, message.dial, message.address))
        race.last_ending = how
        self._advance_or_end_race(state, message.dial, race)

    def _advance_or_end_race(self, state: BoxState, dial: int, race: Race) -> None:
        """Continue a connection's attempts, or report that none is left."""
        self._advance_race(state, dial, race)
        if not race.running and not race.queue:
            del self._races[state.box.name, dial]
            self._out.append(m.NoPath(state.box.name, dial, race.last_ending))

    def _start_waiting_dials(self) -> None:
        """Continue the races that waited for other attempts to end, as far as `MAX_OPEN_DIALS` permits."""
        while self._waiting_dials and self._open_dial_count < MAX_OPEN_DIALS:
            name, dial = self._waiting_dials.popleft()
            state, race = self._boxes.get(name), self._races.get((name, dial))
            if state is not None and race is not None:
                self._advance_or_end_race(state, dial, race)

    def _record_attempt(
        self, state: BoxState, address: str, how: str, report: BoxReport, asked_us: int, took_us: int, probe: bool
    ) -> str:
        """Record what an attempt has shown of its path. Returns its ending, `stranger` if it reached another server."""
        index = state.paths.index_of(address)
        if index < 0:
            return "refused" if how == "reply" else how
        path = state.paths.paths[index]
        if how == "reply":
            mismatch = self._identity_mismatch(state, index, report, asked_us)
            if not mismatch:
                state.paths.record_contact(index, took_us, self._now, report.run_id, probe)
                return how
            how = "stranger"
            if path.last_error != mismatch:
                self._out.append(m.Note("address", f"{state.box.name}: {address} {mismatch}"))
            state.paths.record_failure(index, mismatch, self._now)
            path.retry_us = self._now + STRANGER_RETRY_US
            return how
        state.paths.record_failure(index, how, self._now)
        self._schedule_next_upkeep(state)
        return how

    def _identity_mismatch(self, state: BoxState, index: int, report: BoxReport, asked_us: int) -> str:
        """Why the server that a path has reached is not this box; empty if it is, or may be."""
        if not report.run_id:
            return ""
        owner = self._boxes.get(self._box_by_run_id.get(report.run_id, ""))
        owner_report = owner.report if owner is not None and owner is not state else None
        if owner is not None and owner_report is not None and owner_report.run_id == report.run_id:
            return f"reaches {owner.box.name}"
        positions = self._groups[state.box.bank].positions
        if report.replid and report.replid != positions.current and not positions.known(report.replid):
            for number, group in enumerate(self._groups):
                if number != state.box.bank and group.positions.current == report.replid:
                    return f"reaches a box of {self.settings.banks[number].name}"
        if state.report is None or state.report.run_id in ("", report.run_id):
            return ""
        paths = state.paths.paths
        for other, path in enumerate(paths):
            if other != index and path.run_id == state.report.run_id and path.state is State.GOOD:
                if path.heard_us >= asked_us:
                    return "reaches another run than the other addresses"
                if path.silence_probed_us == NEVER:
                    # Not decided yet: the box may have restarted, and this path may be the first to reach the new run.
                    path.silence_probed_us = self._now
                    self._out.append(m.Probe(state.box.name, path.address))
                return "reaches another run, the other addresses are asked"
        return ""

    # ---- Silence and upkeep ----

    def _run_path_check(self, at_us: int, box: str, target: int) -> None:
        """Run a scheduled check: of a race, of a path that may be silent, or of the unused paths."""
        state = self._boxes.get(box)
        if state is None:
            return
        if target >= REPORT:
            race = self._races.get((box, target))
            if race is not None:
                self._advance_race(state, target, race)
            return
        paths = state.paths
        if target == UPKEEP:
            # Any other check was replaced by an earlier one, or belongs to a former box of the same name.
            if at_us == paths.upkeep_due_us:
                paths.upkeep_due_us = 0
                for index in paths.due_for_upkeep(self._now) if len(paths.paths) > 1 else ():
                    self._out.append(m.Probe(box, paths.paths[index].address))
                self._schedule_next_upkeep(state)
            return
        index = UPKEEP - 1 - target  # reverses `_silence_target`
        if index >= len(paths.paths):
            return
        probed, is_silent, next_check_us = paths.check_silence(index, self._now)
        for other in probed:
            self._out.append(m.Probe(box, paths.paths[other].address))
        if is_silent:
            address = paths.paths[index].address
            paths.record_failure(index, "silent", self._now)
            self._schedule_next_upkeep(state)
            self._out.append(m.Note("address", f"{box}: {address} is silent, others answer: left"))
            self._out.append(m.ClosePath(box, address))
        elif next_check_us:
            self._schedule_path_check(next_check_us, box, target)

    def _choose_path(self, state: BoxState) -> str:
        """The address that a request is sent over; also schedules the check whether that path is silent."""
        paths = state.paths
        index = paths.choose(self._now)
        check_us = paths.record_sent(index, self._now)
        if check_us:
            self._schedule_path_check(check_us, state.box.name, _silence_target(index))
        return paths.paths[index].address

    def _end_on_path(self, state: BoxState, chosen: str, used: str, how: str, sent_us: int, took_us: int) -> bool:
        """Record the end of a request on its path. Returns whether its loss is a fault of that path only.

        `used` is the address of the connection that carried the request, which may differ from the one that was chosen
        for it; empty if no connection did.
        """
        paths = state.paths
        index = paths.index_of(used or chosen)
        if index < 0:
            return False
        if used and used != chosen:
            chosen_index = paths.index_of(chosen)
            if chosen_index >= 0:
                chosen_path = paths.paths[chosen_index]
                chosen_path.open_requests = max(0, chosen_path.open_requests - 1)
            paths.paths[index].open_requests += 1
        if how == "reply":
            paths.record_answer(index, took_us, self._now)
            return False
        is_path_fault = paths.is_path_fault(index, how, sent_us, self._now)
        paths.record_unanswered(index, how, sent_us, self._now)
        self._schedule_next_upkeep(state)
        return is_path_fault

    def path_rows(self) -> list[dict[str, object]]:
        """Every path, for operators and metrics."""
        rows: list[dict[str, object]] = []
        for name, state in sorted(self._boxes.items()):
            paths = state.paths
            current = paths.current if paths.is_chosen else paths.order(self._now)[0]
            for index, path in enumerate(paths.paths):
                is_failed = path.state is State.FAILED
                rows.append(
                    {
                        "box": name,
                        "place": index,
                        "address": path.address,
                        "state": path.state.value,
                        "current": int(index == current),
                        "out": path.open_requests,
                        "answer_us": round(path.answer_us),
                        "probe_us": round(path.probe_us),
                        "heard_ms": (self._now - path.heard_us) // 1_000 if path.heard_us != NEVER else -1,
                        "failures": path.failures,
                        "lost": path.losses,
                        "retry_ms": max(0, path.retry_us - self._now) // 1_000 if is_failed else 0,
                        "why": path.last_error,
                    }
                )
        return rows
