"""The engine's state, and the calls between its modules. No I/O.

The engine is one object whose methods are divided by concern: each module beside this one has one concern's methods,
and all of them work on the state defined here. `EngineState` declares each call from one module to another, so that
what a module needs of the others is listed in one place.
"""

from collections import deque
from dataclasses import dataclass, field

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.addresses import Paths, Race
from oatlink.core.classify import Classifier, router_class
from oatlink.core.commands import Spec
from oatlink.core.local import Local
from oatlink.core.overload import new_admission
from oatlink.core.positions import Positions
from oatlink.core.reports import BoxReport
from oatlink.core.sessions import PendingRequest, Session
from oatlink.fleet.gate import Gate, gate_of
from oatlink.rules import Router
from oatlink.settings.model import RequestClass, Settings

TIMER_LATENESS_US = 1_000  # how late the shell's timers may be on an idle machine
MAX_PROBES_PER_S = 200  # to one box by all gateways together, to keep its position known while it may get reads
SAMPLES_PER_BOUND = 4  # proof of a staleness bound uses samples that are at most a quarter of it apart


@dataclass(slots=True)
class BoxState:
    """What the engine knows of one box, in addition to the Router's record of its member."""

    box: m.Box
    member: int
    paths: Paths
    report: BoxReport | None = None
    heard_us: int = 0
    report_asked_us: int = 0  # when the report was requested
    report_received_us: int = 0
    started_us: int = 0
    check_pending: bool = False  # the Router waits for the result of a check
    probe_pending: bool = False
    refresh_pending: bool = False  # the engine itself needs its position
    refreshed_us: int = -(2**62)
    check_deadline_us: int = 0  # a check waits for a sample of the primary's offset until this time; 0: none waits
    doubt: tuple[int, int] = (0, 0)  # what other gateways observed of it (`api.RosterEntry.suspicion`)
    offset_asked_us: int = -(2**62)  # when its offset was last requested, by a probe or behind a request


@dataclass(slots=True)
class GroupState:
    """One bank: its replication histories and the box that was last seen as its primary."""

    positions: Positions
    primary: str = ""
    elections: int = 0
    recent_elections: list[tuple[int, str, str]] = field(default_factory=list)  # when seen, old and new primary
    refresh_due_us: int = 0  # when to look next for replicas whose position has become old


class EngineState:
    """The state, and the calls between modules."""

    def __init__(self, settings: Settings, now_us: int = 0) -> None:
        self._configure(settings)
        self.router = Router(router_settings(settings, self._classifier))
        self._groups = [GroupState(Positions()) for _ in settings.banks]
        self._boxes: dict[str, BoxState] = {}
        self._waiting_checks: dict[str, BoxState] = {}
        self._box_by_run_id: dict[str, str] = {}  # by run id
        self._races: dict[tuple[str, int], Race] = {}  # by box and dial number
        self._path_checks: list[tuple[int, str, int]] = []  # time, box, and target (see `paths`)
        self._open_dial_count = 0
        self._waiting_dials: deque[tuple[str, int]] = deque()
        self._gate: Gate = gate_of(settings)
        self._waiting_for_grant: dict[int, PendingRequest] = {}  # by request number: they wait for a quota grant
        self._quota_retry_us = 2**62
        self._open_by_version: dict[int, int] = {}  # by layout version: the number of open requests
        self._box_names: dict[int, str] = {}  # by member number
        self._last_member = 0
        self._sessions: dict[int, Session] = {}
        self._requests: dict[int, PendingRequest] = {}
        self._last_request = 0
        self._last_lease = 0
        self._deadlines: list[tuple[int, int]] = []  # time and request number
        self._router_due = 2**62
        self._wake_us = 2**62
        self._draining = False
        self._started_us = now_us
        self._now = now_us
        self._out: list[m.AnyEffect] = []
        self._late_us = 0  # how long the input has waited for this process
        self._waited_us = 0  # how long ago the input arrived
        self._pipeline_wait_us = 0  # how long it waited before that, behind its client's own earlier commands
        self._waiting_client_count = 0  # clients whose commands wait for this process
        self._more_follows = False  # inputs of the same read follow; pending requests are placed after the last one
        self._program_form = ""  # how the program runs, from `Started`
        self._has_roster = False  # discovery has sent a list
        self.fresh = True  # no input was handled yet, and nothing was restored from a snapshot
        self.counts: dict[str, int] = {"served": 0, "refused": 0, "failed": 0, "local": 0, "shed": 0}

    def _configure(self, settings: Settings) -> None:
        """Compute what depends on the settings only."""
        self.settings = settings
        self._classifier = Classifier(settings)
        bounds_ms = [rule.staleness_ms for rule in settings.classes if rule.freshness == "bounded"]
        self._sample_interval_us = min(bounds_ms, default=1_000) * 1_000 // SAMPLES_PER_BOUND
        self._refresh_interval_us = max(2 * self._sample_interval_us, settings.peers * 1_000_000 // MAX_PROBES_PER_S)
        self._local = Local(settings, self._info)
        self._admission = new_admission(settings.seed, self._classifier.classes, settings.limits.client_pipeline)
        self._first_pause_us = min(rule.aim_ms for rule in self._classifier.classes) * 250
        self._longest_pause_us = min(rule.deadline_ms for rule in self._classifier.classes) * 500

    # ---- Calls between modules ----

    def _route(self, event: api.Event) -> None:
        raise NotImplementedError

    def _on_refresh_requested(self, message: m.AnyInput) -> None:
        raise NotImplementedError

    def _apply_report(self, state: BoxState, report: BoxReport, asked_us: int) -> None:
        raise NotImplementedError

    def _router_report(self, state: BoxState, asked_us: int) -> api.Report | None:
        raise NotImplementedError

    def _end_on_path(self, state: BoxState, chosen: str, used: str, how: str, sent_us: int, took_us: int) -> bool:
        raise NotImplementedError

    def _start_check(self, member: int) -> None:
        raise NotImplementedError

    def _sample_offset(self, primary: BoxState) -> bool:
        raise NotImplementedError

    def _refresh_positions(self, number: int) -> None:
        raise NotImplementedError

    def _updated_position(self, state: BoxState) -> api.Report | None:
        raise NotImplementedError

    def _end_lease(self, ask: PendingRequest) -> None:
        raise NotImplementedError

    def _finish(self, ask: PendingRequest, data: bytes) -> None:
        raise NotImplementedError

    def _flush(self, session: Session) -> None:
        raise NotImplementedError

    def _reply(self, session: Session, data: bytes, hangup: bool = False) -> None:
        raise NotImplementedError

    def _answer_locally(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        raise NotImplementedError

    def _submit(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        raise NotImplementedError

    def _new_request(
        self,
        session: Session,
        rule: RequestClass,
        slots: list[int],
        writes: bool,
        payload: bytes,
        replies: int = 1,
    ) -> PendingRequest:
        raise NotImplementedError

    def _add_request(self, session: Session, ask: PendingRequest) -> None:
        raise NotImplementedError

    def _start(self, session: Session, ask: PendingRequest) -> None:
        raise NotImplementedError

    def _forget_request(self, request: int) -> None:
        raise NotImplementedError

    def _queue_command(self, session: Session, args: list[bytes], writes: bool, slots: list[int]) -> None:
        raise NotImplementedError

    def _transaction(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        raise NotImplementedError

    def _lose_lease(self, ask: PendingRequest) -> None:
        raise NotImplementedError

    def _end_unwatched(self, ask: PendingRequest) -> None:
        raise NotImplementedError

    def _release(self, session: Session) -> None:
        raise NotImplementedError

    def _administer(self, session: Session, args: list[bytes]) -> None:
        raise NotImplementedError

    def _info(self) -> dict[str, dict[str, object]]:
        raise NotImplementedError


def router_settings(settings: Settings, classifier: Classifier) -> api.Settings:
    """The settings of the Router."""
    limits, cold = settings.limits, settings.cold
    return api.Settings(
        seed=settings.seed,
        zone=settings.hall,
        classes=tuple(router_class(rule) for rule in classifier.classes),
        peers=settings.peers,
        step_us=TIMER_LATENESS_US,
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
