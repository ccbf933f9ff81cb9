"""The fleet's checks of a request before anything of it is sent: its tenant's quota and its layout version. No I/O.

The gate (`oatlink.fleet.gate`) answers each question at once. A request that the quota refuses is refused before any
state of it is kept. A request for which the gate has no grant yet (`GRANT_PENDING`) takes its place in its client's
order and waits here for at most `limits.node.PATIENCE_US`; its client's later commands wait for it as for any open
request. Admitted requests stay charged even if the client leaves. Otherwise a client could send, leave and send again
without limit.
"""

from oatlink.core import messages as m
from oatlink.core.boxes import Boxes
from oatlink.core.sessions import PendingRequest, Session, failure, over_quota, unserved
from oatlink.core.shared import BoxState
from oatlink.fleet.gate import GRANT_PENDING, Seen
from oatlink.fleet.messages import Marker
from oatlink.fleet.versions.compatible import Place, applied
from oatlink.settings.model import RequestClass

# How often requests that wait for a grant are checked again: a new grant's bucket starts empty.
QUOTA_RETRY_INTERVAL_US = 20_000
NOT_OFFERED_RETRY_US = 200_000  # when to retry if a bank or its primary does not offer a version that is served


class Gated(Boxes):
    """Checks requests with the fleet's gate before they are sent."""

    def versions_in_use(self) -> tuple[int, ...]:
        """The versions of the requests that are open or wait for a grant."""
        return tuple(self._open_by_version)

    def _forget_request(self, request: int) -> None:
        """Drop a request that has no attempt open any more and is owed no answer."""
        ask = self._requests.pop(request, None)
        if ask is not None and ask.version:
            self._open_by_version[ask.version] -= 1
            if not self._open_by_version[ask.version]:
                del self._open_by_version[ask.version]

    def _choose_version(self, session: Session, rule: RequestClass, slots: list[int]) -> tuple[int, int]:
        """The version that a request is made for, and, if it is not served here now, when to retry."""
        layout = self._gate.layout(session.name, session.pinned_version, self._now)
        retry_after_us = layout.back_us
        if layout.version and not retry_after_us:
            bank = self._classifier.group_of(slots) if slots else 0
            if bank is not None and not self._gate.offered(self.settings.banks[bank].name, layout.version):
                retry_after_us = NOT_OFFERED_RETRY_US
        if retry_after_us:
            self.counts["unserved"] = self.counts.get("unserved", 0) + 1
            self._out.append(m.Counted(rule.name, "unserved", 0))
        elif layout.version and not session.pinned_version:
            session.pinned_version = layout.version
        return layout.version, retry_after_us

    def _serves_version(self, state: BoxState, ask: PendingRequest) -> bool:
        """Whether a box may get a request of its version now: the last check before it is sent.

        Prevents sending a request that has waited past the end of the version's term, or that goes to a primary that
        failed over without the step, or to a replica that has not applied it.
        """
        if self._gate.layout("", ask.version, self._now).back_us:
            return False
        marker = self._gate.marker(self.settings.banks[state.box.bank].name, ask.version)
        return marker is None or self._has_applied(state, marker)

    def _version_position_us(self, ask: PendingRequest) -> int | None:
        """The position, as a time, from which on a replica has surely applied the step that a version needs.

        If no sample proves one yet, it is the present time: no replica is as recent, so only the primary is left.
        """
        marker = self._gate.marker(self.settings.banks[ask.group].name, ask.version)
        if marker is None:
            return None
        position_us = self._groups[ask.group].positions.reached_us(marker.history, marker.offset)
        return self._now if position_us is None else position_us

    def _has_applied(self, state: BoxState, marker: Marker) -> bool:
        report = state.report
        return report is not None and applied(
            Place(report.replid, report.offset, report.replid2, report.second_offset), marker
        )

    def _reject_unserved(self, ask: PendingRequest, state: BoxState) -> None:
        """End a request whose version the chosen box does not offer, and probe the box."""
        state.refresh_pending = True
        self._probe(state)
        self.counts["unserved"] = self.counts.get("unserved", 0) + 1
        self._out.append(m.Counted(ask.rule.name, "unserved", self._now - ask.arrived_us))
        self._end_lease(ask)
        if ask.may_have_run:
            self._finish(ask, failure(ask.rule.effect != "idempotent"))
        else:
            self._finish(ask, unserved(ask.version, NOT_OFFERED_RETRY_US))

    def _probe_for_versions(self) -> None:
        """Probe the boxes that have not shown yet that they have applied the new markers."""
        for state in self._boxes.values():
            bank = self.settings.banks[state.box.bank].name
            markers = [self._gate.marker(bank, version) for version in self._gate.versions]
            if any(marker is not None and not self._has_applied(state, marker) for marker in markers):
                state.refresh_pending = True
                self._probe(state)

    def _check_quota(self, session: Session, rule: RequestClass, command: str, keys: list[bytes], cost: int) -> int:
        """0 to go on, `GRANT_PENDING` to wait for a grant, above 0 to refuse: the microseconds after which to retry."""
        retry_after_us = self._gate.admit(session.user, session.name, keys, command, cost, self._now)
        if retry_after_us > 0:
            self.counts["over_quota"] = self.counts.get("over_quota", 0) + 1
            self._out.append(m.Counted(rule.name, "over quota", 0))
        return retry_after_us

    def _wait_for_grant(self, ask: PendingRequest, command: str, keys: list[bytes], cost: int) -> None:
        """Let a request wait for a quota grant."""
        ask.gated = (command, keys[:1], cost)
        if not self._waiting_for_grant:
            self._quota_retry_us = self._now + QUOTA_RETRY_INTERVAL_US
        self._waiting_for_grant[ask.id] = ask
        self._out.append(m.QueryFleet())

    def _on_fleet_news(self, message: m.AnyInput) -> None:
        """News from the fleet."""
        assert isinstance(message, m.FleetNews)
        if isinstance(message.news, Seen):
            self._apply_health_report(message.news)
            return
        if self._gate.hear(message.news, self._now):
            self._probe_for_versions()
        self._retry_quota_checks()

    def _retry_quota_checks(self) -> None:
        """Check the waiting requests again. After `PATIENCE_US` the gate either admits or refuses them."""
        waiting, self._waiting_for_grant, self._quota_retry_us = self._waiting_for_grant, {}, 2**62
        for ask in waiting.values():
            session = self._sessions.get(ask.client)
            if session is None or ask.gated is None or ask.pending_reply.answer is not None:
                continue
            command, keys, cost = ask.gated
            retry_after_us = self._gate.admit(session.user, session.name, keys, command, cost, self._now, again=True)
            if retry_after_us == GRANT_PENDING:
                self._quota_retry_us = self._now + QUOTA_RETRY_INTERVAL_US
                self._waiting_for_grant[ask.id] = ask
                continue
            ask.gated = None
            if retry_after_us > 0:
                self.counts["over_quota"] = self.counts.get("over_quota", 0) + 1
                self._out.append(m.Counted(ask.rule.name, "over quota", self._now - ask.arrived_us))
                self._end_lease(ask)
                self._finish(ask, over_quota(retry_after_us))
            elif not any(waiting_ask is ask for waiting_ask in session.waiting):
                self._start(session, ask)
