"""The logs of all scopes of one source, what the other sources report of them, and the age of all its data. No I/O.

This module opens scopes, passes messages and answers to their logs, serves other sources what they lack, and reads the
next slots in turn. What a version means is decided elsewhere: `state_changed` is called for each version.

Freshness: each answer of a register comes from a majority. The next slot of each scope is read in turn, at least two
per second and each scope once in `ROUND_US`, so a version that nobody reported is noticed by then. After an answer to a
request sent within `FRESH_US` the age is 0, otherwise the time since then. After a time without answers, a scope is not
reported before its next slot was read again; all of them are read at once.
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
MAX_LOGS = 100  # scopes that acceptors can store (`slots`)
MAX_UNKNOWN_SCOPES = 60  # scopes that only readers name: 19 zones with their names, 5 regions, some groups not made yet
# A beat is sent after so many versions, so that a burst of them need not wait for the next beat to reuse slots.
BEAT_VERSIONS = SLOTS // 4

# gets the head in force, the changed entries or all of them, whether these are all, and the time
StateChanged = Callable[[c.Head, tuple[c.Entry, ...], bool, int], list[Effect]]


class Logs:
    """The logs of one source by scope. Times are microseconds of the source's own monotonic clock."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        peers: Peers,
        drift: float,
        seed: int,
        checker: Checker,
        state_changed: StateChanged,
    ) -> None:
        self.tables: dict[str, Table] = {}
        self._logs: dict[str, Log] = {}
        self._name, self._incarnation, self._peers, self._drift, self._seed = name, incarnation, peers, drift, seed
        self._checker, self._state_changed = checker, state_changed
        self._majority_us = NEVER_US
        self._next_read_us, self._turn, self._now_us = 0, 0, 0

    # ---- State ----

    @property
    def due_us(self) -> int:
        """When `tick` has to be called next."""
        return min(self._next_read_us, *(log.due_us for log in self._logs.values()))

    def age_us(self, now_us: int) -> int:
        """Return the greatest possible age of this source's data: 0 while a majority has answered lately."""
        if self._majority_us == NEVER_US:
            return NEVER_US
        elapsed_us = now_us - self._majority_us
        return 0 if elapsed_us <= FRESH_US else ceil(elapsed_us / (1 - self._drift))

    def covers(self, scope: str) -> bool:
        """Return whether that age applies to a scope.

        It does once the next slot was read as open, unless the scope is too far behind since.
        """
        return scope in self._logs and self._logs[scope].is_caught_up

    def beat(self, now_us: int, scope: str = "") -> c.Beat:
        """Return a beat for other sources with this source's heads, of one scope or of all."""
        heads = [self.tables[scope].head] if scope else [table.head for table in self.tables.values()]
        return c.Beat(to_ms(self.age_us(now_us)), tuple(heads))

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Return the state for operators: name and text."""
        age_us = self.age_us(now_us)
        return [
            ("age", "no majority yet" if age_us == NEVER_US else f"{age_us // 1_000} ms"),
            ("scopes", " ".join(f"{scope}={log.head.epoch}.{log.head.version}" for scope, log in self._logs.items())),
            ("too far behind", " ".join(scope for scope, log in self._logs.items() if log.needs_snapshot) or "none"),
            (
                "registers lost",
                " ".join(scope for scope, log in self._logs.items() if log.are_registers_lost) or "none",
            ),
        ]

    # ---- Events ----

    def open(self, scope: str) -> Log | None:
        """Return a scope's log, opened if needed; None for a name that is no scope, or one scope too many."""
        log = self._logs.get(scope)
        if log is None and is_scope(scope) and len(self._logs) < MAX_LOGS:

            def applied(delta: c.Delta, own: bool) -> list[Effect]:
                return self._on_agreed(scope, delta, own)

            log = Log(scope, self._name, self._incarnation, self._peers.all, self._check, self._seed, applied)
            self._logs[scope], self.tables[scope] = log, log.table
        return log

    def open_for_reader(self, scope: str) -> Log | None:
        """Open a scope that a reader names. Prevents made-up names from taking the places of scopes that exist."""
        if scope not in self._logs:
            everything = self.tables[ALL].entries
            exists = [
                key_of(known_scope.replace("names/", "zone/", 1)) in everything
                for known_scope in self._logs
                if known_scope != ALL
            ]
            if (
                key_of(scope.replace("names/", "zone/", 1)) not in everything
                and exists.count(False) >= MAX_UNKNOWN_SCOPES
            ):
                return None
        return self.open(scope)

    def restore(self, head: c.Head, entries: Entries, now_us: int) -> None:
        """Restore what was on disk, before anything else."""
        log = self.open(head.scope)
        if log is not None:
            log.restore(head, entries)
            self._publish_whole(log, now_us)

    def offer(
        self, scope: str, entries: tuple[c.Entry, ...], base: int, done: OnDone, now_us: int, begins_epoch: bool = False
    ) -> list[Effect]:
        """See `Log.offer`."""
        self._now_us, log = now_us, self.open(scope)
        return (
            done(0, f"{MAX_LOGS} scopes at most")
            if log is None
            else log.offer(entries, base, done, now_us, begins_epoch)
        )

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """Handle the answer to a `Read` or `Change`."""
        self._now_us, log = now_us, self._logs.get(scope_of_slot(answer.key))
        if log is None:
            return []
        if answer.how != "unknown":
            newest = self._majority_us if self._majority_us != NEVER_US else answer.asked_us
            if answer.asked_us - newest > FRESH_US:
                # After a cut, one scope's answer must not make what was missed in the others count as fresh.
                for scope_log in self._logs.values():
                    scope_log.distrust(now_us)
            self._majority_us = max(newest, answer.asked_us)
        return log.answered(answer, now_us)

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect] | None:
        """Handle a message of another source; None if it is not about versions."""
        self._now_us = now_us
        match message:
            case c.Committed():
                log = self.open(message.scope)
                return log.receive_committed(sender, message.delta, now_us) if log is not None else []
            case c.Beat():
                for head in message.heads:
                    # A scope that only readers of another source name needs no log here.
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
                return [effect for delta in deltas if log for effect in log.receive_committed(sender, delta, now_us)]
            case c.Page():
                self._peers.answer_received(message.scope, now_us)
                log = self._logs.get(message.scope)
                return self._publish_whole(log, now_us) if log is not None and log.add_page(message, now_us) else []
            case _:
                return None

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        self._now_us = now_us
        if now_us >= self._next_read_us:
            # Finds a version whose source was cut off before it notified any other source.
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

    # ---- Helpers ----

    def _on_agreed(self, scope: str, delta: c.Delta, own: bool) -> list[Effect]:
        log = self._logs[scope]
        messages: list[Message] = [c.Committed(scope, delta)] if own else []
        if delta.version % BEAT_VERSIONS == 0:
            messages.append(self.beat(self._now_us, scope))
        effects: list[Effect] = [Tell(peer.name, message) for peer in self._peers.others for message in messages]
        if delta.version == 1 and delta.epoch > 0:
            return effects + self._publish_whole(log, self._now_us)
        return effects + self._state_changed(log.head, delta.entries, False, self._now_us)

    def _publish_whole(self, log: Log, now_us: int) -> list[Effect]:
        entries = tuple(c.Entry(key, value) for key, value in log.table.entries.items())
        return self._state_changed(log.head, entries, True, now_us)

    def _check(self, scope: str, current: Entries, entries: tuple[c.Entry, ...]) -> str:
        """Run the caller's check, except on what sources write themselves."""
        if is_names(scope) or (scope == ALL and entries and all(entry.key.startswith(COUNTS) for entry in entries)):
            return ""
        return self._checker(scope, current, entries)

    def _pull_missing(self, log: Log, now_us: int) -> list[Effect]:
        """Ask another source for what the registers do not hold any more."""
        source = self._peers.next_to_ask(log.scope, now_us)
        gathering = log.table.snapshot_progress
        resume = ((log.scope, *gathering),) if gathering is not None else ()
        return [Tell(source, c.Subscribe(self._incarnation, (log.head,), resume))] if source else []

    def _serve_peer(self, sender: str, request: c.Subscribe) -> list[Effect]:
        """Answer another source with the next part of what it lacks; no state is kept for the request."""
        messages: list[Message] = []
        resume = {scope: (epoch, first, after) for scope, epoch, first, after in request.resume}
        for head in request.heads[: c.MAX_SCOPES_PER_READER]:
            table = self.tables.get(head.scope)
            if table is None or (head.epoch, head.version) >= (table.head.epoch, table.head.version):
                continue
            epoch, first, after = resume.get(head.scope, (-1, 0, ""))
            deltas, page = table.changes_since(head), None
            if deltas is None and epoch == table.head.epoch:
                deltas, page = table.changes_since(c.Head(head.scope, epoch, first)), table.page(first, after)
            elif deltas is None:
                page = table.page(table.head.version, "")
            if deltas is None and page is None:  # the snapshot it has begun is not kept any more
                page = table.page(table.head.version, "")
            messages += [c.Changes(head.scope, deltas)] if deltas else []
            messages += [page] if page is not None else []
        return [Tell(sender, message) for message in messages]
