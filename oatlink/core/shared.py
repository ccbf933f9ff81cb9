"""What the engine remembers, and what its rooms ask of each other. No I/O.

The engine is one object in rooms: each module beside this one holds one concern's methods, all over the state that
stands here. `Shared` names each call from room to room, so that what a room needs of the others can be read at once.
"""

from collections import deque
from dataclasses import dataclass, field

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.addresses import Paths, Race
from oatlink.core.classify import Classifier, router_class
from oatlink.core.commands import Spec
from oatlink.core.local import Local
from oatlink.core.overload import admission
from oatlink.core.positions import Positions
from oatlink.core.reports import BoxReport
from oatlink.core.sessions import PendingRequest, Session
from oatlink.fleet.gate import Gate, gate_of
from oatlink.rules import Router
from oatlink.settings.model import RequestClass, Settings

STEP_US = 1_000  # what the shell's timers may be late on an idle machine
PROBES_A_S = 200  # of one box by all gateways together, to keep its position known while reads come
PROBE_PARTS = 4  # samples in a bound: staleness is proven by points at most a quarter of it apart


@dataclass(slots=True)
class BoxState:
    """What is believed of one box, beside the Router's record of its member."""

    box: m.Box
    member: int
    paths: Paths
    report: BoxReport | None = None
    heard_us: int = 0
    asked_us: int = 0  # when the report was asked for
    told_us: int = 0  # when it came
    started_us: int = 0
    check_out: bool = False  # the Router has asked for a check
    probe_out: bool = False
    refreshing: bool = False  # the engine itself wants its position
    refreshed_us: int = -(2**62)
    check_waits_us: int = 0  # a check waits for the primary's sample, at most until then
    doubt: tuple[int, int] = (0, 0)  # what others saw of it (`api.RosterEntry.doubt`)
    informed_us: int = -(2**62)  # when a report was last asked for behind an answer


@dataclass(slots=True)
class GroupState:
    """One bank: its histories and who was last seen as its primary."""

    positions: Positions
    primary: str = ""
    elections: int = 0
    recent: list[tuple[int, str, str]] = field(default_factory=list)  # when seen, from, to: the last ones
    refresh_us: int = 0  # when to look next which replica's position has grown old


class Shared:
    """The state, and the calls between rooms."""

    def __init__(self, settings: Settings, now_us: int = 0) -> None:
        self._configure(settings)
        self.router = Router(router_settings(settings, self._classifier))
        self._groups = [GroupState(Positions()) for _ in settings.banks]
        self._boxes: dict[str, BoxState] = {}
        self._check_waits: dict[str, BoxState] = {}
        self._runs: dict[str, str] = {}  # run id: the box that has it
        self._races: dict[tuple[str, int], Race] = {}  # box and dial
        self._looks: list[tuple[int, str, int]] = []  # when, box, and what to look at (`ways`)
        self._dialling = 0
        self._dials_wait: deque[tuple[str, int]] = deque()
        self._gate: Gate = gate_of(settings)
        self._at_gate: dict[int, PendingRequest] = {}  # wait for the gate's word
        self._gate_due = 2**62
        self._busy: dict[int, int] = {}  # by version: requests of it that are not over
        self._names: dict[int, str] = {}  # member: box
        self._last_member = 0
        self._sessions: dict[int, Session] = {}
        self._requests: dict[int, PendingRequest] = {}
        self._last_request = 0
        self._last_lease = 0
        self._deadlines: list[tuple[int, int]] = []  # (when, request)
        self._router_due = 2**62
        self._wake_us = 2**62
        self._draining = False
        self._started_us = now_us
        self._now = now_us
        self._out: list[m.AnyEffect] = []
        self._late_us = 0  # how long the input has lain in this process
        self._waited_us = 0  # how long ago it came
        self._pipelined_us = 0  # and before that, behind its client's own earlier commands
        self._behind = 0  # clients that wait for this process
        self._more = False  # inputs of the same read follow: what is held is placed after the last of them
        self._code = ""  # the form of the program, as `Started` said
        self._listed = False  # discovery has spoken once
        self.fresh = True  # no input yet, nothing taken over
        self.counts: dict[str, int] = {"served": 0, "refused": 0, "failed": 0, "local": 0, "shed": 0}

    def _configure(self, settings: Settings) -> None:
        """What follows from the settings alone."""
        self.settings = settings
        self._classifier = Classifier(settings)
        bounds = [one.staleness_ms for one in settings.classes if one.freshness == "bounded"]
        self._sample_us = min(bounds, default=1_000) * 1_000 // PROBE_PARTS
        self._refresh_us = max(2 * self._sample_us, settings.peers * 1_000_000 // PROBES_A_S)
        self._local = Local(settings, self._info)
        self._admission = admission(settings.seed, self._classifier.classes, settings.limits.client_pipeline)
        self._first_pause_us = min(one.aim_ms for one in self._classifier.classes) * 250
        self._longest_pause_us = min(one.deadline_ms for one in self._classifier.classes) * 500

    # ---- Calls between rooms ----

    def _route(self, event: api.Event) -> None:
        raise NotImplementedError

    def _on_refresh_requested(self, given: m.AnyInput) -> None:
        raise NotImplementedError

    def _hear(self, state: BoxState, report: BoxReport, asked_us: int) -> None:
        raise NotImplementedError

    def _report(self, state: BoxState, asked_us: int) -> api.Report | None:
        raise NotImplementedError

    def _path_ended(self, state: BoxState, handed: str, over: str, how: str, sent_us: int, took_us: int) -> bool:
        raise NotImplementedError

    def _check(self, member: int) -> None:
        raise NotImplementedError

    def _sample(self, primary: BoxState) -> bool:
        raise NotImplementedError

    def _refresh(self, number: int) -> None:
        raise NotImplementedError

    def _again(self, state: BoxState) -> api.Report | None:
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

    def _forget(self, request: int) -> None:
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
    """The Router's part of the settings."""
    limits, cold = settings.limits, settings.cold
    return api.Settings(
        seed=settings.seed,
        zone=settings.hall,
        classes=tuple(router_class(one) for one in classifier.classes),
        peers=settings.peers,
        step_us=STEP_US,
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
