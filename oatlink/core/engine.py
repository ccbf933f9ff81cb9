"""The one door: inputs in, effects out. Gateway, tools and laboratory are shells around this class.

What may live in the engine: the translation between the protocol's world and the Router's (requests, members, times),
and the state that neither of them keeps: sessions, boxes' identities, histories of offsets, deadlines. No I/O, no
clock. Here are the door and time; the rooms behind it are `paths`, `boxes`, `requests`, `clients`, `transactions`,
`operators`, over the state in `shared`. Each is built on the one before it, in one line of classes, which a compiler
can take.
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
    """Decides for one gateway, by the Router and the modules beside it."""

    def __init__(self, settings: Settings, now_us: int = 0) -> None:
        super().__init__(settings, now_us)
        self._handlers: dict[type, Callable[[m.AnyInput], None]] = {
            m.Started: self._on_started,
            m.Listed: self._on_listed,
            m.Opened: self._on_opened,
            m.Closed: self._on_closed,
            m.Asked: self._on_asked,
            m.Broken: self._on_broken,
            m.Ended: self._on_ended,
            m.Wanted: self._on_wanted,
            m.Dialled: self._on_dialled,
            m.Probed: self._on_probed,
            m.Ticked: self._on_ticked,
            m.Draining: self._on_draining,
            m.Inspected: self._on_inspected,
            m.Gapped: self._on_gapped,
            m.Reloaded: self._on_reloaded,
            m.Recorded: self._on_recorded,
            m.Told: self._on_told,
            m.Replied: self._on_replied,
        }

    def handle(self, given: m.AnyInput, now_us: int) -> list[m.AnyEffect]:
        """Take one input and return the effects it calls for, in order. Time must not run backwards."""
        self._now = max(self._now, now_us)
        self._out, self.fresh = [], False
        self._late_us = self._waited_us = self._pipeline_wait_us = 0
        self._more_follows = False
        self._handlers[type(given)](given)
        self._due()
        return self._out

    @property
    def names(self) -> dict[int, str]:
        """The boxes behind the Router's member numbers."""
        return self._box_names

    @property
    def gate(self) -> Gate:
        """What this gateway knows of its fleet; the shell asks it for `demands` only."""
        return self._gate

    def _on_started(self, given: m.AnyInput) -> None:
        assert isinstance(given, m.Started)
        self._program_form = given.code
        self._route(api.Start())

    def _on_ticked(self, given: m.AnyInput) -> None:
        self._wake_us = 2**62
        if self.router.state.deferred_groups:
            self._route(api.TimerFired("settle"))

    def _on_reloaded(self, given: m.AnyInput) -> None:
        """New settings, checked before; what is on its way keeps its class and its deadline."""
        assert isinstance(given, m.Reloaded)
        admission = self._admission
        self._configure(given.settings)
        # Threat: a reload amid a flood that lets all of it in.
        admission.target_us, admission.min_limit = self._admission.target_us, self._admission.min_limit
        self._admission = admission
        for state in self._boxes.values():
            state.paths.stagger_us = given.settings.links.stagger_ms * 1_000
        self.router.configure(router_settings(given.settings, self._classifier))
        self._out.append(m.Note("reload", "the new settings hold from now on"))

    def _due(self) -> None:
        """All that has come due; then one wake-up for what comes next."""
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
        waits = self._path_checks[0][0] if self._path_checks else 2**62
        for state in list(self._waiting_checks.values()):
            if state.check_deadline_us:
                if now >= state.check_deadline_us:
                    self._probe(state)
                else:
                    waits = min(waits, state.check_deadline_us)
        next_us = min(
            self._router_due, self._deadlines[0][0] if self._deadlines else 2**62, waits, self._quota_retry_us
        )
        if next_us < self._wake_us:
            self._wake_us = next_us
            self._out.append(m.Wake(next_us))
