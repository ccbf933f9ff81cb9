"""The engine's entry point: inputs in, effects out. Gateway, tools and the test lab are shells around `Engine`.

The engine translates between the protocol (commands, boxes, sessions) and the Router (requests, members, times), and
keeps the state that neither of them has: sessions, identities of boxes, histories of offsets, deadlines. It does no
I/O and reads no clock. This module dispatches inputs and runs what has come due; the handlers are in `paths`, `boxes`,
`requests`, `clients`, `transactions` and `operators`, over the state in `shared`. These modules form a single line of
classes, each derived from the one before it, because mypyc can compile that.
"""

import heapq
from collections.abc import Callable

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.operators import Operators
from oatlink.core.shared import router_settings
from oatlink.fleet.gate import Gate
from oatlink.settings.model import Settings


class Engine(Operators):
    """Makes all decisions of one gateway, with the Router and the modules of `oatlink.core`."""

    def __init__(self, settings: Settings, now_us: int = 0) -> None:
        super().__init__(settings, now_us)
        self._handlers: dict[type, Callable[[m.AnyInput], None]] = {
            m.Started: self._on_started,
            m.RosterListed: self._on_roster_listed,
            m.Opened: self._on_opened,
            m.Closed: self._on_closed,
            m.CommandReceived: self._on_command_received,
            m.ProtocolViolated: self._on_protocol_violated,
            m.Ended: self._on_ended,
            m.ConnectionWanted: self._on_connection_wanted,
            m.Dialled: self._on_dialled,
            m.Probed: self._on_probed,
            m.Ticked: self._on_ticked,
            m.Draining: self._on_draining,
            m.RefreshRequested: self._on_refresh_requested,
            m.ClockStalled: self._on_clock_stalled,
            m.Reloaded: self._on_reloaded,
            m.Recorded: self._on_recorded,
            m.FleetNews: self._on_fleet_news,
            m.FleetReplied: self._on_fleet_replied,
        }

    def handle(self, given: m.AnyInput, now_us: int) -> list[m.AnyEffect]:
        """Process one input and return the resulting effects in order. Time must not run backwards."""
        self._now = max(self._now, now_us)
        self._out, self.fresh = [], False
        self._late_us = self._waited_us = self._pipeline_wait_us = 0
        self._more_follows = False
        self._handlers[type(given)](given)
        self._run_due()
        return self._out

    @property
    def names(self) -> dict[int, str]:
        """The names of the boxes by the Router's member numbers."""
        return self._box_names

    @property
    def gate(self) -> Gate:
        """What this gateway knows of its fleet. The shell uses only its `demands`."""
        return self._gate

    def _on_started(self, event: m.AnyInput) -> None:
        assert isinstance(event, m.Started)
        self._program_form = event.code
        self._route(api.Start())

    def _on_ticked(self, event: m.AnyInput) -> None:
        self._wake_us = 2**62
        if self.router.state.deferred_groups:
            self._route(api.TimerFired("settle"))

    def _on_reloaded(self, event: m.AnyInput) -> None:
        """Apply new settings that have already been checked. Pending requests keep their class and deadline."""
        assert isinstance(event, m.Reloaded)
        admission = self._admission
        self._configure(event.settings)
        # The admission limit is kept, because a new one would let in all of a flood that is going on.
        admission.target_us, admission.min_limit = self._admission.target_us, self._admission.min_limit
        self._admission = admission
        for state in self._boxes.values():
            state.paths.stagger_us = event.settings.links.stagger_ms * 1_000
        self.router.configure(router_settings(event.settings, self._classifier))
        self._out.append(m.Note("reload", "the new settings hold from now on"))

    def _run_due(self) -> None:
        """Run everything that has come due, then request one wake-up for what is due next."""
        now = self._now
        if now >= self._router_due:
            self._router_due = 2**62
            self._route(api.TimerFired("due"))
        while self._deadlines and self._deadlines[0][0] <= now:
            self._expire(heapq.heappop(self._deadlines)[1])
        while self._path_checks and self._path_checks[0][0] <= now:
            self._run_path_check(*heapq.heappop(self._path_checks))
        if now >= self._quota_retry_us:
            self._retry_quota_checks()
        checks_due_us = self._path_checks[0][0] if self._path_checks else 2**62
        for state in list(self._waiting_checks.values()):
            if state.check_deadline_us:
                if now >= state.check_deadline_us:
                    self._probe(state)
                else:
                    checks_due_us = min(checks_due_us, state.check_deadline_us)
        deadline_us = self._deadlines[0][0] if self._deadlines else 2**62
        next_us = min(self._router_due, deadline_us, checks_due_us, self._quota_retry_us)
        if next_us < self._wake_us:
            self._wake_us = next_us
            self._out.append(m.Wake(next_us))
