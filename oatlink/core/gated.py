"""What the fleet says of a request before anything of it is sent: its tenant's quota, its version. No I/O.

The gate (`oatlink.fleet.gate`) answers each question at once. A request that the quota refuses is refused before any
state of it is kept. One for which the gate has no grant yet (`GRANT_PENDING`) takes its place in its client's order and
waits here, for as long as the gate has patience (`limits.node.PATIENCE_US`); what its client sends after it waits as
for any request that is unfinished. What was admitted is spent: a client that leaves gives nothing back, or
it could ask, leave and ask again without end.
"""

from oatlink.core import messages as m
from oatlink.core.boxes import Boxes
from oatlink.core.sessions import Ask, Session, failure, over_quota, unserved
from oatlink.core.shared import BoxState
from oatlink.fleet.gate import GRANT_PENDING, Seen
from oatlink.fleet.messages import Marker
from oatlink.fleet.versions.compatible import Place, applied
from oatlink.settings.model import RequestClass

HELD_LOOK_US = 20_000  # a grant begins empty: how often what is held is tried while the gate has patience
NOT_OFFERED_US = 200_000  # to come back where a bank or its primary does not offer a version that is served


class Gated(Boxes):
    """Requests before the fleet's gate."""

    def busy(self) -> tuple[int, ...]:
        """The versions that requests are out for, or held for."""
        return tuple(self._busy)

    def _forget(self, request: int) -> None:
        """Nothing of a request is out any more, and it is owed no answer."""
        ask = self._asks.pop(request, None)
        if ask is not None and ask.version:
            self._busy[ask.version] -= 1
            if not self._busy[ask.version]:
                del self._busy[ask.version]

    def _version(self, session: Session, rule: RequestClass, slots: list[int]) -> tuple[int, int]:
        """The version that a request is made for, and, where it is not served here now, when to come back."""
        found = self._gate.layout(session.name, session.pinned, self._now)
        back_us = found.back_us
        if found.version and not back_us:
            bank = self._classifier.group_of(slots) if slots else 0
            if bank is not None and not self._gate.offered(self.settings.banks[bank].name, found.version):
                back_us = NOT_OFFERED_US
        if back_us:
            self.counts["unserved"] = self.counts.get("unserved", 0) + 1
            self._out.append(m.Counted(rule.name, "unserved", 0))
        elif found.version and not session.pinned:
            session.pinned = found.version
        return found.version, back_us

    def _fits(self, state: BoxState, ask: Ask) -> bool:
        """Whether a box may take a request of that version now: the last look before it is sent.

        Threat: a request that was held past the end of the version's term, a primary that failed over without the
        step, a replica that has not applied it.
        """
        if self._gate.layout("", ask.version, self._now).back_us:
            return False
        marker = self._gate.marker(self.settings.banks[state.box.bank].name, ask.version)
        return marker is None or self._applied(state, marker)

    def _step_us(self, ask: Ask) -> int | None:
        """The position, as a time, from which on a replica surely has applied the step that a version needs.

        Where no sample shows it yet, only the primary is left: nothing is as recent as this instant.
        """
        marker = self._gate.marker(self.settings.banks[ask.group].name, ask.version)
        if marker is None:
            return None
        found = self._groups[ask.group].positions.reached_us(marker.history, marker.offset)
        return self._now if found is None else found

    def _applied(self, state: BoxState, marker: Marker) -> bool:
        report = state.report
        return report is not None and applied(
            Place(report.replid, report.offset, report.replid2, report.second_offset), marker
        )

    def _turn_back(self, ask: Ask, state: BoxState) -> None:
        """The box that was chosen does not offer the request's version: it is asked, and the client told at once."""
        state.refreshing = True
        self._probe(state)
        self.counts["unserved"] = self.counts.get("unserved", 0) + 1
        self._out.append(m.Counted(ask.rule.name, "unserved", self._now - ask.arrived_us))
        self._end_lease(ask)
        if ask.may_have_run:
            self._finish(ask, failure(ask.rule.effect != "idempotent"))
        else:
            self._finish(ask, unserved(ask.version, NOT_OFFERED_US))

    def _serve_versions(self) -> None:
        """New markers: who has not shown that it has applied them is asked."""
        for state in self._boxes.values():
            bank = self.settings.banks[state.box.bank].name
            markers = [self._gate.marker(bank, one) for one in self._gate.versions]
            if any(one is not None and not self._applied(state, one) for one in markers):
                state.refreshing = True
                self._probe(state)

    def _over_quota(self, session: Session, rule: RequestClass, command: str, keys: list[bytes], cost: int) -> int:
        """0: go on; `GRANT_PENDING`: let it wait; above 0: refuse it, and when to come back, in microseconds."""
        back_us = self._gate.admit(session.user, session.name, keys, command, cost, self._now)
        if back_us > 0:
            self.counts["over_quota"] = self.counts.get("over_quota", 0) + 1
            self._out.append(m.Counted(rule.name, "over quota", 0))
        return back_us

    def _hold_at_gate(self, ask: Ask, command: str, keys: list[bytes], cost: int) -> None:
        """Let a request wait for the gate's word."""
        ask.gated = (command, keys[:1], cost)
        if not self._at_gate:
            self._gate_due = self._now + HELD_LOOK_US
        self._at_gate[ask.id] = ask
        self._out.append(m.Seek())

    def _on_told(self, given: m.AnyInput) -> None:
        """News from the fleet."""
        assert isinstance(given, m.Told)
        if isinstance(given.news, Seen):
            self._take_verdict(given.news)
            return
        if self._gate.hear(given.news, self._now):
            self._serve_versions()
        self._ask_gate()

    def _ask_gate(self) -> None:
        """Ask again for what waits at the gate; past its patience it says yes or no."""
        waiting, self._at_gate, self._gate_due = self._at_gate, {}, 2**62
        for ask in waiting.values():
            session = self._sessions.get(ask.client)
            if session is None or ask.gated is None or ask.place.answer is not None:
                continue
            command, keys, cost = ask.gated
            back_us = self._gate.admit(session.user, session.name, keys, command, cost, self._now, again=True)
            if back_us == GRANT_PENDING:
                self._gate_due = self._now + HELD_LOOK_US
                self._at_gate[ask.id] = ask
                continue
            ask.gated = None
            if back_us > 0:
                self.counts["over_quota"] = self.counts.get("over_quota", 0) + 1
                self._out.append(m.Counted(ask.rule.name, "over quota", self._now - ask.arrived_us))
                self._end_lease(ask)
                self._finish(ask, over_quota(back_us))
            elif not any(one is ask for one in session.waiting):
                self._start(session, ask)
