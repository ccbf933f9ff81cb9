"""The platform's gateway: Router, clock, timers, signals and descriptors around clients, servers and discovery.

It carries out and decides nothing. Everything that happens is one event of the Router, told when it is seen; what the
Router answers is carried out before the next event.
"""

import asyncio
import logging
import signal
import socket
import time
from collections import deque
from dataclasses import replace

from oatlink import interface as api
from oatlink.gateway.clock import Marks, now_us
from oatlink.interface import Outcome, Report, RosterKind
from oatlink.member_status import member_status
from oatlink.platform import discovery as disco
from oatlink.platform import requests as req
from oatlink.platform import signals
from oatlink.platform.answers_seen import AnswersSeen
from oatlink.platform.clients import Clients, Query, Room
from oatlink.platform.config import Config
from oatlink.platform.discovery import Discovery, News
from oatlink.platform.jobs import Checking, Sent
from oatlink.platform.reload import Reload
from oatlink.platform.reply import Answer, load_report
from oatlink.platform.servers import Bounds, Servers
from oatlink.platform.statement import VALUE_BYTES, Statement, StatementError, parse
from oatlink.rules import Router

LOG = logging.getLogger("oatlink.platform")
SWEEP_S = 0.1
STATE_S = 10  # between lines that say what this gateway holds and believes
RESERVE = 24  # descriptors for the log, the loop, the listener, signals and discovery's calls
SERVERS_PART = 0.45  # of the other descriptors; the rest are clients'
ANSWERS_PART = 0.125  # of the memory: for answers that wait for those ahead on their connections
GRACE_S = 0.7  # after SIGTERM connections and requests are still taken


class Gateway:
    """One gateway, from its configuration to its end."""

    def __init__(self, config: Config, sock: socket.socket) -> None:
        self._config = config
        self._offset_us = time.time_ns() // 1000 - now_us()
        self._tasks: set[asyncio.Future[None]] = set()
        self._marks = Marks()
        self._classes = {rule.name: rule for rule in config.settings.classes}
        self._router = Router(config.settings)
        self._requests = req.Requests(self._router)
        self._todo: deque[req.Do] = deque()
        self._doing = False
        self._numbers = req.Numbers()
        self._groups: set[int] = set()
        self._entries: dict[int, api.RosterEntry] = {}
        self._asking: dict[Query, req.Open] = {}
        self._sending: dict[int, Sent] = {}
        self._checks: dict[int, Checking] = {}
        self._due_at_us: int | None = None
        self._due: asyncio.TimerHandle | None = None
        self._timer: asyncio.TimerHandle | None = None
        spare = config.limits.sockets - RESERVE
        most_servers = round(spare * SERVERS_PART)
        self._servers = Servers(Bounds(config.dial_s, config.idle_s, most_servers), self._marks, self.note, self._keep)
        self._most_clients = spare - most_servers
        self.room = Room(0, 0)
        self._divide()
        self._clients = Clients(sock, self._most_clients, self, self._marks, self._keep, self.note)
        self._discovery = Discovery(config.discovery, config.watch_s, self._told, self.note)
        self._ended = asyncio.Event()
        self._reload = Reload(self._apply, self._keep)
        self._answers = AnswersSeen()  # since the last line of state

    # ---- Life ----

    async def run(self) -> None:
        """Serve until an orderly end."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload.start)
        for one in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(one, self._stop)
        signals.take()
        self._know()
        self._do(self._requests.handle(api.Start(), now_us()))
        self._clients.listen()
        limits = self._config.limits
        LOG.info(
            "limits: %d descriptors, %g MB, %g cores; dial %g s, idle %g s",
            limits.sockets,
            limits.memory_mb,
            limits.cores,
            self._config.dial_s,
            self._config.idle_s,
        )
        LOG.info("ready: %s on %s:%s", self._config.name, *self._clients.address)
        sweeping = asyncio.ensure_future(self._sweep())
        await self._ended.wait()
        signals.hold()  # for good: the handlers go with the loop, and an interpreter takes its time to end
        sweeping.cancel()
        self._discovery.close()
        self._servers.close()
        LOG.info("ended")

    def _keep(self, task: "asyncio.Future[None]") -> None:
        """Threat: a task that nobody holds may be collected, and its fault goes unseen."""
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: "asyncio.Future[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            LOG.error("fault: %r", fault, exc_info=fault)

    async def _sweep(self) -> None:
        turn = 0
        while True:
            await asyncio.sleep(SWEEP_S)
            turn += 1
            try:
                if turn % round(STATE_S / SWEEP_S) == 0:
                    self._log_state()
                self._servers.sweep()
                self._clients.sweep()
                limit_us = now_us() - round(self._config.dial_s * 1e6)
                for check in [one for one in self._checks.values() if one.since_us <= limit_us]:
                    if check.pool is not None:
                        check.pool.abandon(check)
                    self.check_ended(check, Outcome.LATE, now_us(), None)
            except Exception:
                LOG.exception("fault")

    def _log_state(self) -> None:
        """What is held and believed, for people: a member as role, attempts out and room, `?` where in doubt.

        Threat: a line that names thousands, made while everybody waits. Members with nothing open are only counted.
        """
        members = []
        for pool in self._servers.used:
            number = pool.number
            belief = member_status(self._router, number)
            if belief is not None:
                role = "P" if belief.is_primary else belief.role.value[0]
                doubt = "?" if belief.is_in_doubt else ""
                members.append(
                    f"{self._numbers.name(number)}:{role}{doubt} {belief.outstanding}/{belief.concurrency_limit:.1f}"
                )
        LOG.info(
            "state: %s; requests %d, clients %d (%d idle), to servers %d; %s, %d more",
            self._answers.take(),
            len(self._requests),
            self._clients.open,
            self._clients.idle,
            self._servers.open,
            ", ".join(members) or "none",
            max(0, len(self._entries) - len(members)),
        )

    def note(self, text: str) -> None:
        """A line for the log."""
        LOG.warning("%s", text)

    def _stop(self) -> None:
        """SIGTERM: go on for a while, then no more; end when nothing is owed."""
        LOG.info("stopping")
        loop = asyncio.get_running_loop()
        for one in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(one, lambda: None)
        self._keep(asyncio.ensure_future(self._wind_down()))

    async def _wind_down(self) -> None:
        await asyncio.sleep(GRACE_S)
        # Requests' own deadlines bound this: each is answered by then.
        while self._clients.open or len(self._requests):
            self._clients.stop()
            await asyncio.sleep(0.02)
        self._ended.set()

    def _apply(self, config: Config) -> None:
        """Go by another configuration. Address, name and limits of the machine stay as they were at the start.

        Threat: an old figure that stays behind in some part of the gateway, and is gone by after all.
        """
        LOG.info("reload: discovery at %s:%s", *config.discovery)
        was = self._config
        self._config = replace(config, name=was.name, listen=was.listen, limits=was.limits)
        self._router.configure(config.settings)
        self._classes = {rule.name: rule for rule in config.settings.classes}
        self._divide()
        self._servers.bounds = replace(self._servers.bounds, dial_s=config.dial_s, idle_s=config.idle_s)
        self._discovery.wait(config.watch_s)
        if config.discovery != self._discovery.address:
            self._discovery.move(config.discovery)
            # Threat: the pauses that the old one's silence has grown hold for the new one. As if it had told nothing
            # new: the call that is under way there ends in news or in a first failure.
            self._do(self._requests.handle(api.Roster(RosterKind.CHANGES), now_us()))

    def _divide(self) -> None:
        """What each connection may have open: its part of what the gateway may, and memory for the longest answers."""
        most, memory = self._config.settings.max_open, self._config.limits.memory_mb * 1024 * 1024 * ANSWERS_PART
        self.room.each = max(1, most // self._most_clients)
        self.room.behind = round(memory / VALUE_BYTES) if memory else most

    # ---- Clock ----

    def _on_clock(self, unix_us: float) -> int:
        """A Unix time on the Router's clock, which is this process's monotonic one."""
        return max(1, round(unix_us) - self._offset_us)

    def _report(self, report: Report | None) -> Report | None:
        if report is None or report.position_us is None:
            return report
        return Report(self._on_clock(report.position_us), report.role)

    # ---- Discovery ----

    def _know(self) -> None:
        """The list as this gateway had it last."""
        if not self._config.known:
            return
        try:
            news = disco.read(self._config.known, True, self.note)
        except disco.ListError as problem:
            self.note(f"known: {problem}")
            return
        self._discovery.version = news.version
        self._told(news)

    def _told(self, news: News | None) -> None:
        if news is None:
            self._do(self._requests.handle(api.Roster(RosterKind.FAILED), now_us()))
            return
        entries = []
        for one in news.servers:
            number = self._numbers.of(one.id)
            if one.listing is not api.Listing.GONE:
                self._servers.listed(number, one.address)
                self._groups.add(one.group)
            started_us = self._on_clock(one.started_ms * 1000) if one.started_ms else 0
            entry = api.RosterEntry(number, one.group, one.zone, one.kind, one.listing, one.primary, started_us)
            self._entries[number] = entry
            entries.append(entry)
        entries += [known for name in news.unread if (known := self._entries.get(self._numbers.of(name))) is not None]
        self._do(self._requests.handle(api.Roster(news.kind, tuple(entries)), now_us()))
        for entry in entries:  # what waits for a connection there was decided by an older list
            pool = self._servers.pool(entry.member)
            if pool is not None:
                pool.review()
        self._let_go({entry.member for entry in entries}, news.kind is not RosterKind.CHANGES)

    def _let_go(self, named: set[int], whole: bool) -> None:
        """Forget members that have left; where a dropped one stays open, only one that was said to terminate."""
        if self._config.settings.dropped_stay_open:
            return

        def stays(number: int) -> bool:
            entry = self._entries.get(number)
            return entry is not None and entry.listing is not api.Listing.GONE and (not whole or number in named)

        for number in self._numbers.keep(stays):
            self._entries.pop(number, None)
            self._servers.gone(number)

    # ---- Clients ----

    def read(self, text: bytes) -> Statement:
        """See `Asker`."""
        return parse(text, self._classes, self._groups)

    def ask(self, query: Query) -> None:
        """See `Asker`."""
        statement = query.statement
        if self._requests.is_open(statement.id):
            raise StatementError("42710", "id: a request by this id is open")
        if len(self._requests) >= self._config.settings.max_open:
            query.answered(req.Final(refused=True))  # no mistake of the client's: its connection goes on as it was
            return
        at_us = now_us()
        left_us = statement.wait_ms * 1000 - max(0, at_us - query.came_us) - query.early_us
        since_us = None
        if statement.after_ms:
            since_us = max(0, at_us - self._on_clock(statement.after_ms * 1000))
        one, done = self._requests.arrived(statement, query, left_us, at_us, since_us)
        if not one.over:
            self._asking[query] = one
        self._do(done)

    def hurry(self, query: Query) -> None:
        """See `Asker`."""
        one = self._asking.get(query)
        if one is not None:
            self._requests.hurry(one, query.early_us)
            self._set_deadline()

    def left(self, query: Query) -> None:
        """See `Asker`."""
        one = self._asking.pop(query, None)
        if one is not None:
            self._do(self._requests.departed(one, now_us()))

    # ---- Servers ----

    def may_write(self, attempt: req.Attempt) -> bool:
        """Whether an attempt may be written at this moment.

        Threat: a client that has gone unseen, its end behind bytes that nobody has read, or in the very turn of the
        loop that sets the attempt off, after a standstill of this process. The socket knows.
        """
        if not self._requests.may_write(attempt, now_us()):
            return False
        owner = attempt.open.owner
        if isinstance(owner, Query) and owner.client.stream.peer_has_ended():
            owner.client.close()
            return False
        return True

    def attempt_ended(self, sent: Sent, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """An attempt's end, with the position and role that came with it."""
        self._sending.pop(id(sent.attempt), None)
        report: Report | None = None
        if answer is not None:
            position_ms = answer.position_ms()
            if position_ms is not None or answer.role() is not api.Role.UNKNOWN:
                report = Report(None if position_ms is None else self._on_clock(position_ms * 1000), answer.role())
            if answer.sqlstate == "08P01":
                LOG.error("defect: a server did not take a statement")
        payload = answer.payload if answer is not None else b""
        self._answers.add(outcome, at_us - sent.attempt.started_us)
        self._do(self._requests.ended(sent.attempt, outcome, at_us, now_us(), payload, report))

    def check_ended(self, check: Checking, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """A check's end."""
        if check.done:
            return
        check.done = True
        if outcome is Outcome.WITHDRAWN and self._servers.pool(check.member) not in (None, check.pool):
            self._check(check.member)  # its server is elsewhere now: it is asked there
            return
        if self._checks.get(check.member) is check:
            del self._checks[check.member]
        report = self._report(load_report(answer.value)) if answer is not None and answer.value else None
        event = api.Checked(check.member, outcome, max(0, at_us - check.since_us), report)
        self._do(self._requests.handle(event, now_us()))

    # ---- Actions ----

    def _do(self, done: list[req.Do]) -> None:
        """Carry out, in order. What they set off at once comes behind, in no deeper a call."""
        self._todo += done
        if self._doing:
            return
        self._doing = True
        try:
            while self._todo:
                self._carry_out(self._todo.popleft())
        finally:
            self._doing = False
        self._set_deadline()

    def _carry_out(self, one: req.Do) -> None:
        """One effect."""
        match one:
            case req.Launch():
                pool = self._servers.pool(one.attempt.member)
                sent = Sent(self, one.attempt, pool)
                if pool is None:
                    sent.ended(Outcome.NO_CONNECTION, now_us(), None)
                elif not one.attempt.ended:
                    self._sending[id(one.attempt)] = sent
                    pool.launch(sent)
            case req.Tell():
                assert isinstance(one.owner, Query)
                self._asking.pop(one.owner, None)
                one.owner.answered(one.final)
            case req.Abandon():
                on_way = self._sending.pop(id(one.attempt), None)
                if on_way is not None and on_way.pool is not None:
                    on_way.pool.abandon(on_way)
            case api.Check():
                self._check(one.member)
            case api.DropIdle():
                pool = self._servers.pool(one.member)
                if pool is not None:
                    pool.drop_idle()
            case api.FollowRoster():
                self._discovery.follow()
            case api.FetchRoster():
                self._discovery.fetch()
            case api.SetTimer():
                self._set_timer(one)
            case api.Log():
                LOG.info("%s", one.text)
            case req.Defect():
                LOG.error("defect: %s", one.text)

    def _check(self, member: int) -> None:
        pool = self._servers.pool(member)
        check = Checking(self, member, pool, now_us())
        self._checks[member] = check
        if pool is None:
            check.ended(Outcome.NO_CONNECTION, now_us(), None)
        else:
            pool.launch(check)

    def _set_timer(self, timer: api.SetTimer) -> None:
        """The Router's one timer: it asks for another only where that is earlier, and again once it has fired."""
        if self._timer is not None:
            self._timer.cancel()
        wait_s = max(0.0, (timer.at_us - now_us()) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._fired, timer)

    def _fired(self, timer: api.SetTimer) -> None:
        self._do(self._requests.handle(api.TimerFired(timer.name), max(now_us(), timer.at_us)))

    def _set_deadline(self) -> None:
        """One timer for the next request whose time is up."""
        at_us = self._requests.next_end_us()
        if at_us == self._due_at_us:
            return
        if self._due is not None:
            self._due.cancel()
        self._due_at_us, self._due = at_us, None
        if at_us is not None:
            self._due = asyncio.get_running_loop().call_later(max(0.0, (at_us - now_us()) / 1e6), self._expire)

    def _expire(self) -> None:
        self._due_at_us = self._due = None
        self._do(self._requests.expire(now_us()))
