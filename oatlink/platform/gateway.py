"""The platform's gateway: connects the Router to clients, servers, discovery, the clock, timers and signals.

The gateway makes no decisions. Each thing that happens is passed to the Router as one event as soon as it is seen, and
the actions that the Router returns are carried out before the next event.
"""

import asyncio
import logging
import signal
import socket
from collections import deque
from dataclasses import replace

from oatlink import interface as api
from oatlink.gateway.clock import TurnClock, now_us
from oatlink.interface import Outcome, Report, RosterKind
from oatlink.platform import discovery as disco
from oatlink.platform import requests as req
from oatlink.platform import shutdown, signals
from oatlink.platform.answers_seen import AttemptCounts
from oatlink.platform.budget import Budget
from oatlink.platform.clients import Clients, PipelineLimits, Query
from oatlink.platform.config import Config
from oatlink.platform.discovery import Discovery, News
from oatlink.platform.jobs import AttemptJob, CheckJob
from oatlink.platform.memory import HeldBytes
from oatlink.platform.process_memory import resident_bytes
from oatlink.platform.reload import Reload
from oatlink.platform.reply import Answer, parse_load_report
from oatlink.platform.server_list import ServerList
from oatlink.platform.servers import Bounds, Servers
from oatlink.platform.state_line import summarize_members
from oatlink.platform.statement import Statement, StatementError, parse
from oatlink.platform.timer import Timer
from oatlink.platform.unix_clock import UnixClock
from oatlink.rules import Router

LOG = logging.getLogger("oatlink.platform")
SWEEP_S = 0.1
STATE_LOG_INTERVAL_S = 10  # between log lines with the gateway's state


class Gateway:
    """One gateway, from its configuration to its shutdown."""

    def __init__(self, config: Config, sock: socket.socket) -> None:
        self._config = config
        self._unix_clock = UnixClock()
        self._tasks: set[asyncio.Future[None]] = set()
        self._turn_clock = TurnClock(round(SWEEP_S * 1e6))
        self._classes = {rule.name: rule for rule in config.settings.classes}
        self._router = Router(config.settings)
        self._requests = req.Requests(self._router)
        self._actions: deque[req.GatewayAction] = deque()
        self._is_carrying_out = False
        self._requests_by_query: dict[Query, req.Open] = {}
        self._sending: dict[int, AttemptJob] = {}
        self._checks: dict[int, CheckJob] = {}
        self._deadline_timer = Timer(self._expire)  # for the earliest deadline of an open request
        self._router_timer = Timer(self._router_timer_fired)
        self._router_timer_set = api.SetTimer("", 0)  # last, to an earlier time or once it had fired
        self._budget = Budget.of(config.limits, resident_bytes())
        bounds = Bounds(config.dial_s, config.idle_s, self._budget.server_connections)
        self._servers = Servers(bounds, self._turn_clock, self.note, self._track_task)
        self._list = ServerList(self._servers, self._unix_clock)
        self.pipeline_limits = PipelineLimits(0, 0)
        self._budget.update_pipeline(self.pipeline_limits, config.settings.max_open)
        max_clients = self._budget.client_connections
        held = HeldBytes(self._budget.held_bytes)
        self._clients = Clients(sock, max_clients, self, self._turn_clock, self._track_task, self.note, held)
        self._discovery = Discovery(config.discovery, config.watch_s, self._on_news, self.note)
        self._sweep_task: asyncio.Task[None] | None = None
        self._awaits_first_list = False
        self._ended = asyncio.Event()
        self._reload = Reload(self._apply, self._track_task)
        self._answers = AttemptCounts()  # since the last state line in the log

    # ---- Start, sweeps and shutdown ----

    async def run(self) -> None:
        """Serve until an orderly shutdown."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload.start)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        signals.unblock()
        self.start()
        await self._ended.wait()
        signals.block()  # until exit: the handlers are removed with the loop, and the interpreter takes a while to exit
        self.close()
        LOG.info("ended")

    def start(self) -> None:
        """Begin to serve, by the list that the configuration file says is known already.

        Where lists are pushed, the gateway counts as notified of the newest one from its first moment on, and not of
        this one. It then serves once discovery has answered its first call, or has failed to.
        """
        self._load_known_list()
        self._awaits_first_list = self._config.is_list_pushed
        self._carry_out_all(self._requests.handle(api.Start(), now_us()))
        self._sweep_task = asyncio.ensure_future(self._sweep())
        if not self._awaits_first_list:
            self._listen()

    def _listen(self) -> None:
        self._awaits_first_list = False
        self._clients.listen()
        config, limits = self._config, self._config.limits
        times = f"dial {config.dial_s:g} s, idle {config.idle_s:g} s"
        LOG.info("limits: %d descriptors, %g MB, %g cores; %s", limits.sockets, limits.memory_mb, limits.cores, times)
        LOG.info("ready: %s on %s:%s", self._config.name, *self._clients.address)

    def close(self) -> None:
        """End sweeps, calls to discovery and connections to servers."""
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        self._discovery.close()
        self._servers.close()

    def _track_task(self, task: "asyncio.Future[None]") -> None:
        """Keep a reference to a task, which could be garbage-collected otherwise, and log its exception, if any."""
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: "asyncio.Future[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            LOG.error("fault: %r", fault, exc_info=fault)

    async def _sweep(self) -> None:
        sweep_count = 0
        while True:
            await asyncio.sleep(SWEEP_S)
            self._turn_clock.turn_began_us()
            sweep_count += 1
            try:
                if sweep_count % round(STATE_LOG_INTERVAL_S / SWEEP_S) == 0:
                    self._log_state()
                self._servers.sweep()
                self._clients.sweep()
                limit_us = now_us() - round(self._config.dial_s * 1e6)
                for check in [each for each in self._checks.values() if each.started_us <= limit_us]:
                    if check.pool is not None:
                        check.pool.abandon(check)
                    self.check_ended(check, Outcome.LATE, now_us(), None)
            except Exception:
                LOG.exception("fault")

    def _log_state(self) -> None:
        """Log the gateway's state. Members with nothing open are only counted."""
        in_use = [pool.number for pool in self._servers.active]
        members = summarize_members(self._router, self._list.numbers, in_use)
        LOG.info(
            "state: %s; requests %d, clients %d (%d idle), to servers %d; %s, %d more",
            self._answers.take_summary(),
            len(self._requests),
            self._clients.open_count,
            self._clients.idle_count,
            self._servers.open_count,
            ", ".join(members) or "none",
            max(0, len(self._list) - len(members)),
        )

    def note(self, text: str) -> None:
        """Write a line to the log."""
        LOG.warning("%s", text)

    def _stop(self) -> None:
        """Begin an orderly shutdown: serve for a grace period, then end once all requests are answered."""
        LOG.info("stopping")
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, lambda: None)
        self._requests.end_by(shutdown.last_answer_us(now_us(), self._classes.values()))
        self._set_deadline()
        self._track_task(asyncio.ensure_future(self._shut_down()))

    async def _shut_down(self) -> None:
        await asyncio.sleep(shutdown.GRACE_S)
        # This loop ends because each request is answered by its deadline, which `end_by` bounds.
        while self._clients.open_count or len(self._requests):
            self._clients.stop()
            await asyncio.sleep(shutdown.POLL_S)
        self._ended.set()

    def _apply(self, config: Config) -> None:
        """Apply a new configuration; the listen address, the name and the machine's limits stay as at the start.

        Every part that keeps a value of the configuration is updated here, so that none goes on with an old one.
        """
        LOG.info("reload: discovery at %s:%s", *config.discovery)
        old = self._config
        self._config = replace(config, name=old.name, listen=old.listen, limits=old.limits)
        self._router.configure(config.settings)
        self._classes = {rule.name: rule for rule in config.settings.classes}
        self._budget.update_pipeline(self.pipeline_limits, config.settings.max_open)
        self._servers.bounds = replace(self._servers.bounds, dial_s=config.dial_s, idle_s=config.idle_s)
        self._discovery.wait(config.watch_s)
        if config.discovery != self._discovery.address:
            self._discovery.move(config.discovery)
            # Prevents the retry pauses that grew while the old discovery failed from applying to the new one: an empty
            # list of changes resets them. The call that is now in progress brings news or counts as a first failure.
            self._carry_out_all(self._requests.handle(api.Roster(RosterKind.CHANGES), now_us()))

    # ---- Discovery ----

    def _load_known_list(self) -> None:
        """Start with the list that the configuration file says is known already, if any."""
        if not self._config.known:
            return
        try:
            news = disco.read(self._config.known, True, self.note)
        except disco.ListError as problem:
            self.note(f"known: {problem}")
            return
        self._discovery.version = news.version
        self._on_news(news)

    def _on_news(self, news: News | None) -> None:
        """Handle the result of a call to discovery: None if it failed."""
        self._apply_news(news)
        if self._awaits_first_list:
            self._listen()

    def _apply_news(self, news: News | None) -> None:
        """Pass discovery's news to the Router and update the pools."""
        if news is None:
            self._carry_out_all(self._requests.handle(api.Roster(RosterKind.FAILED), now_us()))
            return
        roster = self._list.apply(news)
        self._carry_out_all(self._requests.handle(roster, now_us()))
        self._list.recheck_waiting(roster)
        if not self._config.settings.dropped_stay_open:
            self._list.forget_missing(roster)

    # ---- Clients ----

    def parse_query(self, text: bytes) -> Statement:
        """See `QueryHandler`."""
        return parse(text, self._classes, self._list.groups)

    def submit_query(self, query: Query) -> None:
        """See `QueryHandler`."""
        statement = query.statement
        if self._requests.is_open(statement.id):
            raise StatementError("42710", "id: a request by this id is open")
        if len(self._requests) >= self._config.settings.max_open:
            # This is not the client's mistake, so the connection continues without a pause.
            query.answered(req.Final(refused=True))
            return
        at_us = now_us()
        if self._requests.may_have_run(statement.id, at_us):
            query.answered(req.FAILED)
            return
        left_us = statement.wait_ms * 1000 - max(0, at_us - query.arrived_us) - query.early_us
        since_us = None
        if statement.after_ms:
            since_us = max(0, at_us - self._unix_clock.to_clock_us(statement.after_ms * 1000))
        request, actions = self._requests.handle_arrival(statement, query, left_us, at_us, since_us)
        if not request.is_closed:
            self._requests_by_query[query] = request
        self._carry_out_all(actions)

    def expedite_query(self, query: Query) -> None:
        """See `QueryHandler`."""
        request = self._requests_by_query.get(query)
        if request is not None:
            self._requests.shorten_deadline(request, query.early_us)
            self._set_deadline()

    def abandon_query(self, query: Query) -> None:
        """See `QueryHandler`."""
        request = self._requests_by_query.pop(query, None)
        if request is not None:
            self._carry_out_all(self._requests.handle_departure(request, now_us()))

    # ---- Servers ----

    def may_write(self, attempt: req.Attempt) -> bool:
        """Whether an attempt may be written at this moment.

        Also checks the client's socket, because the loop may not have noticed yet that the client has closed it: the
        close may lie behind bytes that were not read yet or, after this process was stalled, may have arrived in the
        same turn of the loop as the event that causes this attempt.
        """
        if not self._requests.may_write(attempt, now_us()):
            return False
        owner = attempt.request.owner
        if isinstance(owner, Query) and owner.client.stream.peer_has_ended():
            owner.client.close()
            return False
        return True

    def attempt_ended(self, sent: AttemptJob, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """Pass an attempt's end to the Router, with the position and role that came with the answer."""
        self._sending.pop(id(sent.attempt), None)
        report: Report | None = None
        if answer is not None:
            report = self._unix_clock.report_on_clock(answer.report())
            if answer.sqlstate == "08P01":
                LOG.error("defect: a server rejected a statement as a protocol violation")
        payload = answer.payload if answer is not None else b""
        self._answers.record(outcome, at_us - sent.attempt.started_us)
        self._carry_out_all(self._requests.handle_attempt_end(sent.attempt, outcome, at_us, now_us(), payload, report))

    def check_ended(self, check: CheckJob, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """Pass a check's end to the Router."""
        if check.done:
            return
        check.done = True
        if outcome is Outcome.WITHDRAWN and self._servers.pool(check.member) not in (None, check.pool):
            self._check(check.member)  # the server has a new address: check it there
            return
        if self._checks.get(check.member) is check:
            del self._checks[check.member]
        report = parse_load_report(answer.value) if answer is not None and answer.value else None
        report = self._unix_clock.report_on_clock(report)
        event = api.Checked(check.member, outcome, max(0, at_us - check.started_us), report)
        self._carry_out_all(self._requests.handle(event, now_us()))

    # ---- Actions ----

    def _carry_out_all(self, actions: list[req.GatewayAction]) -> None:
        """Carry out actions in order. Actions that these cause are appended to the queue, so calls do not nest."""
        self._actions += actions
        if self._is_carrying_out:
            return
        self._is_carrying_out = True
        try:
            while self._actions:
                self._carry_out(self._actions.popleft())
        finally:
            self._is_carrying_out = False
        self._set_deadline()

    def _carry_out(self, action: req.GatewayAction) -> None:
        """Carry out one action."""
        match action:
            case req.Launch():
                pool = self._servers.pool(action.attempt.member)
                sent = AttemptJob(self, action.attempt, pool)
                if pool is None:
                    sent.ended(Outcome.NO_CONNECTION, now_us(), None)
                elif not action.attempt.has_ended:
                    self._sending[id(action.attempt)] = sent
                    pool.launch(sent)
            case req.SendAnswer():
                assert isinstance(action.owner, Query)
                self._requests_by_query.pop(action.owner, None)
                action.owner.answered(action.final)
            case req.Abandon():
                abandoned = self._sending.pop(id(action.attempt), None)
                if abandoned is not None and abandoned.pool is not None:
                    abandoned.pool.abandon(abandoned)
            case api.Check():
                self._check(action.member)
            case api.DropIdle():
                pool = self._servers.pool(action.member)
                if pool is not None:
                    pool.drop_idle()
            case api.FollowRoster():
                self._discovery.follow()
            case api.FetchRoster():
                self._discovery.fetch()
            case api.SetTimer():
                self._router_timer_set = action
                self._router_timer.set(action.at_us)
            case api.Log():
                LOG.info("%s", action.text)
            case req.Defect():
                LOG.error("defect: %s", action.text)

    def _check(self, member: int) -> None:
        pool = self._servers.pool(member)
        check = CheckJob(self, member, pool, now_us())
        self._checks[member] = check
        if pool is None:
            check.ended(Outcome.NO_CONNECTION, now_us(), None)
        else:
            pool.launch(check)

    def _router_timer_fired(self) -> None:
        timer = self._router_timer_set
        self._carry_out_all(self._requests.handle(api.TimerFired(timer.name), max(now_us(), timer.at_us)))

    def _set_deadline(self) -> None:
        at_us = self._requests.next_deadline_us()
        if at_us != self._deadline_timer.at_us:
            self._deadline_timer.set(at_us)

    def _expire(self) -> None:
        self._carry_out_all(self._requests.expire(now_us()))
