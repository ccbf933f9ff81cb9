"""How boxes are reached: attempts for connections and reports over a box's paths, silence, identity. No I/O.

The decisions of one box stand in `addresses`. Here they meet the engine: inputs become what a path has shown, and
what it calls for becomes effects. Reports come by the same staggered attempts as connections, so the Router's check
fails only where every path worth a try has failed: then it is the box's failure, and the error rules have the word.

Identity. A path proves which box it reached by the run id that the box says of itself (INFO server). A connection that
reaches another listed box, or one of another bank's history, carries nothing. One that reaches an unknown run is the
box started again, unless another path still reaches the old run: then that address now belongs to somebody else.
"""

import heapq

from oatlink.core import messages as m
from oatlink.core.addresses import MOST_PATHS, NEVER, Path, Paths, Race, State
from oatlink.core.reports import BoxReport, parse_info
from oatlink.core.shared import BoxState, Shared

MOST_DIALS = 64  # attempts out at once, to all boxes: a bank that comes back is not dialled by all wants together
REPORT = 0  # the dial number of the attempts for a report
UPKEEP = -1
LONG_US = 5_000_000  # a path that reached somebody else is not tried again before


def ways_of(box: m.Box) -> list[m.Way]:
    """All ways to a box, the first one first; an address named twice counts once."""
    found: dict[str, m.Way] = {}
    for one in (m.Way(box.address, box.hall), *box.ways):
        found.setdefault(one.address, one)
    return list(found.values())[:MOST_PATHS]


class Ways(Shared):
    """Paths to boxes."""

    def _new_paths(self, box: m.Box, taken: set[str]) -> Paths:
        paths = Paths(
            self.settings.hall,
            self.settings.links.stagger_ms * 1_000,
            self.settings.peers,
            self.settings.seed + self._last_member,
            [Path(box.address)],
        )
        self._list_paths(paths, box, taken)
        return paths

    def _list_paths(self, paths: Paths, box: m.Box, taken: set[str]) -> None:
        """Take over the addresses of a list. One that a box before it in the roster has is that one's."""
        ways = [one for one in ways_of(box) if one.address not in taken]
        for one in ways_of(box):
            if one.address in taken:
                self._out.append(m.Note("address", f"{box.name}: {one.address} is another box's, it is not used"))
        # A box without any address of its own keeps the first: identity says what it reaches.
        ways = ways or ways_of(box)[:1]
        taken.update(one.address for one in ways)
        known = {one.address for one in paths.paths if one.state is not State.UNTRIED}
        paths.relisted([(one.address, one.hall or box.hall, one.connect_timeout_ms * 1_000) for one in ways])
        if any(one.address not in known for one in paths.paths):
            self._upkeep(paths, box.name, self._now)

    def _look_at(self, at_us: int, box: str, what: int) -> None:
        heapq.heappush(self._looks, (at_us, box, what))

    def _upkeep(self, paths: Paths, box: str, at_us: int) -> None:
        """Look at the paths that nobody uses then, unless somebody does before."""
        if len(paths.paths) > 1 and (not paths.upkeep_us or at_us < paths.upkeep_us):
            paths.upkeep_us = at_us
            self._look_at(at_us, box, UPKEEP)

    def _upkeep_next(self, state: BoxState) -> None:
        """Look again when the next path is due; one on which something has gone wrong is due before the others."""
        paths = state.paths
        if len(paths.paths) > 1:
            self._upkeep(paths, state.box.name, paths.next_look_us(self._now))

    # ---- Attempts ----

    def _attempt(self, state: BoxState, dial: int, wanted: str = "") -> None:
        """Begin attempts for one connection, or for a report."""
        race = state.paths.race(self._now, wanted)
        self._races[state.box.name, dial] = race
        self._advance(state, dial, race)

    def _advance(self, state: BoxState, dial: int, race: Race) -> None:
        """Begin what may begin now, and look again when the next one may."""
        name = state.box.name
        if dial and self._dialling >= MOST_DIALS:
            self._dials_wait.append((name, dial))
            return
        # Threat: a box that returns, dialled by all gateways of a fleet at once. Who waits for a connection waits on.
        back_us = self._gate.dial(name, self._now) if dial else 0
        if back_us:
            self._look_at(self._now + back_us, name, dial)
            self._out.append(m.QueryFleet())
            return
        for address in state.paths.begin(race, self._now):
            if dial == REPORT:
                self._out.append(m.Probe(name, address))
                continue
            self._dialling += 1
            timeout_us = state.paths.paths[state.paths.at(address)].timeout_us
            self._out.append(m.Dial(name, dial, address, timeout_us or self.settings.links.connect_timeout_ms * 1_000))
        if race.queue:
            self._look_at(race.next_us, name, dial)

    def _on_connection_wanted(self, given: m.AnyInput) -> None:
        """A link wants one more connection."""
        assert isinstance(given, m.ConnectionWanted)
        state = self._boxes.get(given.box)
        if state is None:
            self._out.append(m.NoPath(given.box, given.dial, "refused"))
        else:
            self._attempt(state, given.dial, given.address)

    def _on_dialled(self, given: m.AnyInput) -> None:
        """An attempt has ended; the first good one is used, and what it says of the box is heard."""
        assert isinstance(given, m.Dialled)
        self._dialling = max(0, self._dialling - 1)
        self._dial_waiting()
        state = self._boxes.get(given.box)
        race = self._races.get((given.box, given.dial))
        if state is None:
            if given.how == "reply":
                self._out.append(m.Discard(given.box, given.dial, given.address))
            return
        report = parse_info(given.info)
        how = self._shown(state, given.address, given.how, report, given.asked_us, given.took_us, probe=False)
        if how == "reply":
            self._hear(state, report, given.asked_us)
        if race is None or given.address not in race.out:
            if given.how == "reply":
                self._out.append(m.Discard(given.box, given.dial, given.address))
            return
        race.out.remove(given.address)
        if how == "reply":
            del self._races[given.box, given.dial]
            self._out.append(m.Use(given.box, given.dial, given.address))
            return
        if given.how == "reply":
            self._out.append(m.Discard(given.box, given.dial, given.address))
        race.how = how
        self._advance_or_end(state, given.dial, race)

    def _advance_or_end(self, state: BoxState, dial: int, race: Race) -> None:
        """Go on with a connection's attempts, or tell that there is none."""
        self._advance(state, dial, race)
        if not race.out and not race.queue:
            del self._races[state.box.name, dial]
            self._out.append(m.NoPath(state.box.name, dial, race.how))

    def _dial_waiting(self) -> None:
        """Attempts that waited for others to end."""
        while self._dials_wait and self._dialling < MOST_DIALS:
            name, dial = self._dials_wait.popleft()
            state, race = self._boxes.get(name), self._races.get((name, dial))
            if state is not None and race is not None:
                self._advance_or_end(state, dial, race)

    def _shown(
        self, state: BoxState, address: str, how: str, report: BoxReport, asked_us: int, took_us: int, probe: bool
    ) -> str:
        """What an attempt has shown of its path; the word for it, `stranger` where it reached somebody else."""
        at = state.paths.at(address)
        if at < 0:
            return "refused" if how == "reply" else how
        one = state.paths.paths[at]
        if how == "reply":
            why = self._stranger(state, at, report, asked_us)
            if not why:
                state.paths.reached(at, took_us, self._now, report.run_id, probe)
                return how
            how = "stranger"
            if one.why != why:
                self._out.append(m.Note("address", f"{state.box.name}: {address} {why}"))
            state.paths.failed(at, why, self._now)
            one.next_us = self._now + LONG_US
            return how
        state.paths.failed(at, how, self._now)
        self._upkeep_next(state)
        return how

    def _stranger(self, state: BoxState, at: int, report: BoxReport, asked_us: int) -> str:
        """Why what a path reached is not this box; empty where it is, or may be."""
        if not report.run_id:
            return ""
        owner = self._boxes.get(self._runs.get(report.run_id, ""))
        theirs = owner.report if owner is not None and owner is not state else None
        if owner is not None and theirs is not None and theirs.run_id == report.run_id:
            return f"reaches {owner.box.name}"
        mine = self._groups[state.box.bank].positions
        if report.replid and report.replid != mine.current and not mine.known(report.replid):
            for number, group in enumerate(self._groups):
                if number != state.box.bank and group.positions.current == report.replid:
                    return f"reaches a box of {self.settings.banks[number].name}"
        if state.report is None or state.report.run_id in ("", report.run_id):
            return ""
        paths = state.paths.paths
        for other, one in enumerate(paths):
            if other != at and one.run_id == state.report.run_id and one.state is State.GOOD:
                if one.heard_us >= asked_us:
                    return "reaches another run than the other addresses"
                if one.asked_us == NEVER:
                    # Nobody knows yet: the box may have started again, and this path was the first to see it.
                    one.asked_us = self._now
                    self._out.append(m.Probe(state.box.name, one.address))
                return "reaches another run, the other addresses are asked"
        return ""

    # ---- Silence and upkeep ----

    def _looked(self, at_us: int, box: str, what: int) -> None:
        """The time has come to look at an attempt, at a path that may be silent, or at those that nobody uses."""
        state = self._boxes.get(box)
        if state is None:
            return
        if what >= REPORT:
            race = self._races.get((box, what))
            if race is not None:
                self._advance(state, what, race)
            return
        paths = state.paths
        if what == UPKEEP:
            if at_us == paths.upkeep_us:  # another one has been brought forward, or was of a box with the same name
                paths.upkeep_us = 0
                for at in paths.to_look_at(self._now) if len(paths.paths) > 1 else ():
                    self._out.append(m.Probe(box, paths.paths[at].address))
                self._upkeep_next(state)
            return
        at = UPKEEP - 1 - what
        if at >= len(paths.paths):
            return
        asked, cut, again_us = paths.look(at, self._now)
        for one in asked:
            self._out.append(m.Probe(box, paths.paths[one].address))
        if cut:
            address = paths.paths[at].address
            paths.failed(at, "silent", self._now)
            self._upkeep_next(state)
            self._out.append(m.Note("address", f"{box}: {address} is silent, others answer: left"))
            self._out.append(m.ClosePath(box, address))
        elif again_us:
            self._look_at(again_us, box, what)

    def _hand(self, state: BoxState) -> str:
        """The address that a request goes over, with the look that follows where nothing comes of it."""
        paths = state.paths
        at = paths.choose(self._now)
        look_us = paths.handed(at, self._now)
        if look_us:
            self._look_at(look_us, state.box.name, UPKEEP - 1 - at)
        return paths.paths[at].address

    def _path_ended(self, state: BoxState, handed: str, over: str, how: str, sent_us: int, took_us: int) -> bool:
        """A request has ended that was handed to one path and went over that or another; whether only that is lost."""
        paths = state.paths
        at = paths.at(over or handed)
        if at < 0:
            return False
        if over and over != handed:
            before = paths.at(handed)
            if before >= 0:
                paths.paths[before].out = max(0, paths.paths[before].out - 1)
            paths.paths[at].out += 1
        if how == "reply":
            paths.answered(at, took_us, self._now)
            return False
        only = paths.only_the_path(at, how, sent_us, self._now)
        paths.ended(at, how, sent_us, self._now)
        self._upkeep_next(state)
        return only

    def path_rows(self) -> list[dict[str, object]]:
        """Every path for operators."""
        rows: list[dict[str, object]] = []
        for name, state in sorted(self._boxes.items()):
            paths = state.paths
            current = paths.current if paths.chosen else paths.order(self._now)[0]
            for at, one in enumerate(paths.paths):
                rows.append(
                    {
                        "box": name,
                        "place": at,
                        "address": one.address,
                        "state": one.state.value,
                        "current": int(at == current),
                        "out": one.out,
                        "answer_us": round(one.answer_us),
                        "probe_us": round(one.probe_us),
                        "heard_ms": (self._now - one.heard_us) // 1_000 if one.heard_us != NEVER else -1,
                        "failures": one.failures,
                        "lost": one.lost,
                        "retry_ms": max(0, one.next_us - self._now) // 1_000 if one.state is State.FAILED else 0,
                        "why": one.why,
                    }
                )
        return rows
