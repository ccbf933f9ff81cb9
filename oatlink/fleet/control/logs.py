"""All scopes of one source: which there are, what the other sources say of them, how old the whole is. No I/O.

What may live here: opening a scope, handing a word or an answer to its log, serving another source what it lacks, and
the turn in which next slots are read. What a version means lives elsewhere: `moved` is told of each.

Freshness. Each register's answer is a majority's word. In turn each scope's next slot is read, two a second at least
and each scope once in `ROUND_US`, so a version that nobody told of is noticed by then. With an answer that was asked
for within `FRESH_US` the age is 0, else the time since that. After a time without answers no scope is spoken of until
its next slot was read again: all of them are, at once.
"""

from collections.abc import Callable
from math import ceil

from oatlink.fleet.control.age import to_ms
from oatlink.fleet.control.bounds import is_scope
from oatlink.fleet.control.checks import Checker, Entries
from oatlink.fleet.control.log import Log
from oatlink.fleet.control.offers import OnDone
from oatlink.fleet.control.peers import Peers
from oatlink.fleet.control.scopes import ALL, COUNTS, is_names, key_of
from oatlink.fleet.control.slots import SLOTS, scope_of_slot
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.base import NEVER_US, Message
from oatlink.fleet.messages.effects import Answer, Effect, Tell

FRESH_US = 1_000_000
ROUND_US = 2_000_000
MAX_LOGS = 100  # scopes; what keepers have room for (`slots`)
MAX_UNKNOWN_SCOPES = (
    60  # of them on readers' words alone: 19 zones with their names, 5 regions, some groups nobody made yet
)
BEAT_VERSIONS = (
    SLOTS // 4
)  # so many versions are told of at once, so that a burst does not wait for a beat to use slots again

# (what is in force, entries that changed or all of them, whether it is all of them, now)
Moved = Callable[[c.Head, tuple[c.Entry, ...], bool, int], list[Effect]]


class Logs:
    """See the head of this file. Times are microseconds of the source's own monotonic clock."""

    def __init__(
        self, name: str, incarnation: int, peers: Peers, drift: float, seed: int, checker: Checker, moved: Moved
    ) -> None:
        self.tables: dict[str, Table] = {}
        self._logs: dict[str, Log] = {}
        self._name, self._incarnation, self._peers, self._drift, self._seed = name, incarnation, peers, drift, seed
        self._checker, self._moved = checker, moved
        self._majority_us = NEVER_US
        self._next_read_us, self._turn, self._now_us = 0, 0, 0

    # ---- Questions ----

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        return min(self._next_read_us, *(one.due_us for one in self._logs.values()))

    def age_us(self, now_us: int) -> int:
        """How old the word of this source is at most: 0 while a majority has answered lately."""
        if self._majority_us == NEVER_US:
            return NEVER_US
        since_us = now_us - self._majority_us
        return 0 if since_us <= FRESH_US else ceil(since_us / (1 - self._drift))

    def covers(self, scope: str) -> bool:
        """Whether that age speaks of this scope: its next slot was seen open once, and it is not too far behind."""
        return scope in self._logs and self._logs[scope].is_caught_up

    def beat(self, now_us: int, scope: str = "") -> c.Beat:
        """How far this source is, in a scope or in all; for other sources."""
        heads = [self.tables[scope].head] if scope else [one.head for one in self.tables.values()]
        return c.Beat(to_ms(self.age_us(now_us)), tuple(heads))

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """For operators."""
        age_us = self.age_us(now_us)
        return [
            ("age", "no majority yet" if age_us == NEVER_US else f"{age_us // 1_000} ms"),
            ("scopes", " ".join(f"{scope}={one.head.epoch}.{one.head.version}" for scope, one in self._logs.items())),
            ("too far behind", " ".join(scope for scope, one in self._logs.items() if one.needs_snapshot) or "none"),
            (
                "registers lost",
                " ".join(scope for scope, one in self._logs.items() if one.are_registers_lost) or "none",
            ),
        ]

    # ---- What happens ----

    def open(self, scope: str) -> Log | None:
        """A scope's log, from now on; None for what is no scope, or one too many."""
        log = self._logs.get(scope)
        if log is None and is_scope(scope) and len(self._logs) < MAX_LOGS:

            def applied(delta: c.Delta, own: bool) -> list[Effect]:
                return self._on_agreed(scope, delta, own)

            log = Log(scope, self._name, self._incarnation, self._peers.all, self._check, self._seed, applied)
            self._logs[scope], self.tables[scope] = log, log.table
        return log

    def open_for_reader(self, scope: str) -> Log | None:
        """The same, on a reader's word. Threat: names that somebody makes up, and no room for those that there are."""
        if scope not in self._logs:
            everything = self.tables[ALL].entries
            known = [key_of(one.replace("names/", "zone/", 1)) in everything for one in self._logs if one != ALL]
            if (
                key_of(scope.replace("names/", "zone/", 1)) not in everything
                and known.count(False) >= MAX_UNKNOWN_SCOPES
            ):
                return None
        return self.open(scope)

    def restore(self, head: c.Head, entries: Entries, now_us: int) -> None:
        """What was on disk, before anything else."""
        log = self.open(head.scope)
        if log is not None:
            log.restore(head, entries)
            self._publish_whole(log, now_us)

    def offer(
        self, scope: str, entries: tuple[c.Entry, ...], base: int, done: OnDone, now_us: int, anew: bool = False
    ) -> list[Effect]:
        """See `Log.offer`."""
        self._now_us, log = now_us, self.open(scope)
        return done(0, f"{MAX_LOGS} scopes at most") if log is None else log.offer(entries, base, done, now_us, anew)

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """What came of a `Read` or `Change`."""
        self._now_us, log = now_us, self._logs.get(scope_of_slot(answer.key))
        if log is None:
            return []
        if answer.how != "unknown":
            newest = self._majority_us if self._majority_us != NEVER_US else answer.asked_us
            if answer.asked_us - newest > FRESH_US:
                # Threat: one scope's answer after a cut, by which all that was missed in the others counts as fresh.
                for one in self._logs.values():
                    one.distrust(now_us)
            self._majority_us = max(newest, answer.asked_us)
        return log.answered(answer, now_us)

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect] | None:
        """A word of another source; None for one that is not on versions."""
        self._now_us = now_us
        match message:
            case c.Committed():
                log = self.open(message.scope)
                return log.receive_committed(sender, message.delta, now_us) if log is not None else []
            case c.Beat():
                for head in message.heads:
                    # What only readers of another source speak of needs no log here.
                    log = self.open(head.scope) if head.version else self._logs.get(head.scope)
                    if log is not None:
                        log.peer_has(sender, head, now_us)
                return []
            case c.Subscribe():
                return self._serve_peer(sender, message)
            case c.Changes():
                self._peers.answer_received(message.scope, now_us)
                log = self._logs.get(message.scope)
                deltas = message.deltas if log is not None else ()
                return [one for delta in deltas if log for one in log.receive_committed(sender, delta, now_us)]
            case c.Page():
                self._peers.answer_received(message.scope, now_us)
                log = self._logs.get(message.scope)
                return self._publish_whole(log, now_us) if log is not None and log.add_page(message, now_us) else []
            case _:
                return None

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        self._now_us = now_us
        if now_us >= self._next_read_us:
            # Threat: a version whose source told nobody before it was cut off.
            logs = list(self._logs.values())
            self._turn += 1
            logs[self._turn % len(logs)].request_read(now_us)
            self._next_read_us = now_us + min(FRESH_US // 2, ROUND_US // len(logs))
        effects: list[Effect] = []
        for log in list(self._logs.values()):
            if now_us >= log.due_us:
                effects += log.tick(now_us)
            if log.needs_snapshot:
                effects += self._pull_missing(log, now_us)
        return effects

    # ---- Parts ----

    def _on_agreed(self, scope: str, delta: c.Delta, own: bool) -> list[Effect]:
        log = self._logs[scope]
        words: list[Message] = [c.Committed(scope, delta)] if own else []
        if delta.version % BEAT_VERSIONS == 0:
            words.append(self.beat(self._now_us, scope))
        effects: list[Effect] = [Tell(one.name, word) for one in self._peers.others for word in words]
        if delta.version == 1 and delta.epoch > 0:
            return effects + self._publish_whole(log, self._now_us)
        return effects + self._moved(log.head, delta.entries, False, self._now_us)

    def _publish_whole(self, log: Log, now_us: int) -> list[Effect]:
        entries = tuple(c.Entry(key, value) for key, value in log.table.entries.items())
        return self._moved(log.head, entries, True, now_us)

    def _check(self, scope: str, now: Entries, entries: tuple[c.Entry, ...]) -> str:
        """The caller's check, but for what sources say themselves."""
        if is_names(scope) or (scope == ALL and entries and all(one.key.startswith(COUNTS) for one in entries)):
            return ""
        return self._checker(scope, now, entries)

    def _pull_missing(self, log: Log, now_us: int) -> list[Effect]:
        """Ask another source for what the registers do not hold any more."""
        whom = self._peers.next_to_ask(log.scope, now_us)
        gathering = log.table.snapshot_progress
        resume = ((log.scope, *gathering),) if gathering is not None else ()
        return [Tell(whom, c.Subscribe(self._incarnation, (log.head,), resume))] if whom else []

    def _serve_peer(self, sender: str, asked: c.Subscribe) -> list[Effect]:
        """Another source's question: the next part of what it lacks, and no memory of it."""
        words: list[Message] = []
        resume = {scope: (epoch, first, after) for scope, epoch, first, after in asked.resume}
        for head in asked.heads[: c.MOST_SCOPES]:
            table = self.tables.get(head.scope)
            if table is None or (head.epoch, head.version) >= (table.head.epoch, table.head.version):
                continue
            epoch, first, after = resume.get(head.scope, (-1, 0, ""))
            deltas, page = table.changes_since(head), None
            if deltas is None and epoch == table.head.epoch:
                deltas, page = table.changes_since(c.Head(head.scope, epoch, first)), table.page(first, after)
            elif deltas is None:
                page = table.page(table.head.version, "")
            if deltas is None and page is None:  # what it has begun is not kept any more
                page = table.page(table.head.version, "")
            words += [c.Changes(head.scope, deltas)] if deltas else []
            words += [page] if page is not None else []
        return [Tell(sender, word) for word in words]
