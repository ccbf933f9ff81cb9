"""A source: its parts put together. No I/O.

What may live here: which part hears what, what follows in one part from another, and what is told to the shell.
Agreement is `log`'s, names and places `roster`'s, children `downstream`'s, the other sources `peers`'.

The shell calls `tick` at `due_us`, hands over what comes, runs `Read` and `Change` on its registers and tells their end
by `answered`. `InForce` tells each version; a shell that keeps them on disk may give them back by `restore`.

Freshness. Each register's answer is a majority's word. In turn each scope's next slot is read, one a second at least
and each scope once in `ROUND_US`, so a version that nobody told of is noticed by then. With an answer within `FRESH_US`
beats bear age 0, else the time since it was asked for.
"""

from collections.abc import Mapping
from math import ceil

from oatlink.fleet.control.age import in_ms
from oatlink.fleet.control.bounds import is_report
from oatlink.fleet.control.checks import Checker, Entries, mistake_of_scope
from oatlink.fleet.control.downstream import Downstream
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.log import Log
from oatlink.fleet.control.offers import Done
from oatlink.fleet.control.peers import BEAT_US, Peers
from oatlink.fleet.control.roster import Roster
from oatlink.fleet.control.scopes import ALL, is_names, is_scope, names_of, scope_of
from oatlink.fleet.control.slots import SLOTS, scope_of_slot
from oatlink.fleet.control.sums import Sums
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.base import NEVER_US, Message
from oatlink.fleet.messages.effects import Answer, Effect, Replied, Tell

FRESH_US = 1_000_000
ROUND_US = 5_000_000
MOST_LOGS = 100  # scopes; what keepers have room for (`slots`)
MOST_CHILDREN = 1_024  # readers at one source: 600 each if all 3,600 come to the six at once
REFUSED_MS = 60_000  # who bears a region or zone that cannot be comes back no sooner
COUNTS = "readers/"
ACKED = SLOTS // 4  # so many versions are told of at once, so that a burst does not wait for a beat to use slots again


class Source:
    """One source. `place`: its name and where it listens; `sources`: all of them, in any order, this one or not.

    `drift`: by how much of its rate each clock may be wrong; `checker(scope, entries, change)`: '' or why it must not
    be. Times are microseconds of its own monotonic clock.
    """

    def __init__(
        self,
        place: c.Place,
        region: str,
        incarnation: int,
        sources: tuple[c.Place, ...],
        drift: float,
        seed: int,
        checker: Checker,
        now_us: int,
    ) -> None:
        self._place, self._incarnation, self._seed, self._drift = place, incarnation, seed, drift
        self._checker, self._now_us = checker, now_us
        self._peers = Peers(place.name, sources, seed, now_us)
        self._tables: dict[str, Table] = {}
        self._logs: dict[str, Log] = {}
        self._drops = Drops()
        sums = Sums(place.name, self._tables, (), seed, now_us)
        given = self.age_us, self._take, self._covers
        self._downstream = Downstream(self._tables, sums, self._drops, MOST_CHILDREN, *given, seed, now_us)
        asked = self.head, lambda: dict(self.entries(ALL)), self._offer_own
        self._roster = Roster(place, region, incarnation, self._peers, *asked, seed, now_us)
        self._majority_us = NEVER_US
        self._look_us, self._turn = now_us, 0
        self._met = self._over = False
        self._open(ALL)

    # ---- Questions ----

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        if self._over:
            return NEVER_US
        due = min(self._peers.beat_us, self._look_us, self._downstream.due_us, self._roster.due_us)
        return min(due, *(one.due_us for one in self._logs.values())) if self._met else 0

    def head(self, scope: str) -> c.Head:
        """What is in force here."""
        return self._tables[scope].head if scope in self._tables else c.Head(scope)

    def entries(self, scope: str) -> Mapping[str, bytes]:
        """The scope's state here."""
        return self._tables[scope].entries if scope in self._tables else {}

    def age_us(self, now_us: int) -> int:
        """How old this source's word is at most: 0 while a majority has answered lately."""
        if self._majority_us == NEVER_US:
            return NEVER_US
        since_us = now_us - self._majority_us
        return 0 if since_us <= FRESH_US else ceil(since_us / (1 - self._drift))

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """What this source believes, for operators: name and text."""
        age_us = self.age_us(now_us)
        lost = [scope for scope, one in self._logs.items() if one.lost]
        behind = [scope for scope, one in self._logs.items() if one.behind]
        return [
            ("source", f"{self._place.name} {self._incarnation}"),
            ("age", "no majority yet" if age_us == NEVER_US else f"{age_us // 1_000} ms"),
            ("sources heard", " ".join(one for one in self._peers.all if self._peers.is_there(one, now_us))),
            ("children", str(len(self._downstream))),
            *self._roster.rows(now_us),
            ("scopes", " ".join(f"{scope}={one.head.epoch}.{one.head.version}" for scope, one in self._logs.items())),
            ("too far behind", " ".join(behind) or "none"),
            ("registers lost", " ".join(lost) or "none"),
            ("dropped", self._drops.text()),
        ]

    # ---- What happens ----

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """A word of another source or of a reader."""
        if self._over:
            return []
        self._now_us = now_us
        if sender in self._peers:
            effects = self._of_source(sender, message, now_us)
        else:
            effects = self._of_reader(sender, message, now_us)
        return effects + self.tick(now_us)

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """What came of a `Read` or `Change`."""
        log = self._logs.get(scope_of_slot(answer.key))
        if log is None or self._over:
            return []
        self._now_us = now_us
        if answer.how != "unknown":
            newest = -1 if self._majority_us == NEVER_US else self._majority_us
            self._majority_us = max(newest, answer.asked_us)
        return log.answered(answer, now_us) + self.tick(now_us)

    def offer(self, ticket: int, scope: str, entries: tuple[c.Entry, ...], base: int, now_us: int) -> list[Effect]:
        """Offer a change made for version `base`, -1 for any; a `Replied` follows: its version, or why not."""
        return self._offered(ticket, scope, entries, base, now_us, anew=False)

    def begin_epoch(self, ticket: int, scope: str, entries: tuple[c.Entry, ...], now_us: int) -> list[Effect]:
        """An operator's word: this scope's history is begun anew with these entries alone; a `Replied` follows."""
        return self._offered(ticket, scope, entries, -1, now_us, anew=True)

    def restore(self, head: c.Head, entries: Mapping[str, bytes], now_us: int) -> None:
        """What this source had on disk, before anything else; what has come since is read from the registers."""
        log = self._open(head.scope)
        if log is not None:
            log.restore(head, entries)
            self._moved(log, (), True, now_us)

    def silent(self, peer: str, now_us: int) -> list[Effect]:
        """A link to it failed."""
        self._now_us = now_us
        if peer in self._peers:
            self._peers.away(peer)
            return []
        return self._downstream.gone(peer)

    def leave(self, now_us: int) -> list[Effect]:
        """The process is about to stop in an orderly way; it does nothing more."""
        peers = [*(one.name for one in self._peers.others), *self._downstream.names()]
        self._over = True
        return [Tell(peer, c.Leave(self._incarnation)) for peer in peers]

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        if self._over:
            return []
        self._now_us = now_us
        effects: list[Effect] = [] if self._met else [c.Known(one) for one in self._peers.others]
        self._met = True
        if now_us >= self._look_us:
            # Threat: a version whose source told nobody before it was cut off.
            logs = list(self._logs.values())
            self._turn += 1
            logs[self._turn % len(logs)].look(now_us)
            self._look_us = now_us + min(FRESH_US, ROUND_US // len(logs))
        if now_us >= self._peers.beat_us:
            self._peers.beat_us = now_us + BEAT_US
            heads = tuple(one.head for one in self._logs.values())
            effects += self._to_sources(self._beat(heads))
        effects += self._roster.tick(self.age_us(now_us) == 0, now_us)
        for log in list(self._logs.values()):
            if now_us >= log.due_us:
                effects += log.tick(now_us)
            if log.behind:
                effects += self._pull(log, now_us)
        if now_us >= self._downstream.due_us:
            effects += self._downstream.tick(now_us)
        return effects

    # ---- Words ----

    def _of_source(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """A word of another source. They are no traitors; what does not fit is passed over by the part that has it."""
        self._peers.heard(sender, now_us)
        match message:
            case c.Committed():
                log = self._open(message.scope)
                return log.committed(sender, message.delta, now_us) if log is not None else []
            case c.Beat():
                for head in message.heads:
                    log = self._open(head.scope)
                    if log is not None:
                        log.told(sender, head, now_us)
            case c.Report():
                self._roster.hear(message.alive, message.children, now_us)
            case c.Subscribe():
                return self._serve(sender, message)
            case c.Changes() if message.scope in self._logs:
                self._peers.answers(message.scope, now_us)
                log = self._logs[message.scope]
                return [one for delta in message.deltas for one in log.committed(sender, delta, now_us)]
            case c.Page() if message.scope in self._logs:
                log = self._logs[message.scope]
                if log.behind:
                    self._peers.answers(message.scope, now_us)
                return self._moved(log, (), True, now_us) if log.gather(message, now_us) else []
            case c.Leave():
                self._peers.away(sender)
            case _:
                return self._drops.add("word that a source does not say", sender, now_us)
        return []

    def _of_reader(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """A word of a process that takes the stream."""
        match message:
            case c.Join():
                if self._open(names_of(message.region, message.zone)) is None:
                    return [Tell(sender, c.Refused(message.incarnation, "bad", REFUSED_MS))]
                return self._roster.joined(sender, message, now_us)
            case c.Subscribe():
                return self._downstream.subscribe(sender, message, now_us)
            case c.Report():
                if not is_report(message):
                    return self._drops.add("impossible report", sender, now_us)
                effects = self._downstream.report(sender, message, now_us)
                if sender not in self._downstream or not (message.alive or not message.children):
                    return effects
                told = message.incarnation, message.alive, message.children
                return effects + self._roster.spoke(sender, *told, now_us)
            case c.Leave():
                self._roster.left(sender, message.incarnation, now_us)
                return self._downstream.gone(sender, message.incarnation)
            case _:
                return self._drops.add("word that a reader does not say", sender, now_us)

    # ---- Versions ----

    def _open(self, scope: str) -> Log | None:
        """A scope's log, from now on; None for what is no scope, or one too many."""
        log = self._logs.get(scope)
        if log is None and is_scope(scope) and len(self._logs) < MOST_LOGS:

            def applied(delta: c.Delta, own: bool) -> list[Effect]:
                return self._agreed(scope, delta, own)

            given = self._place.name, self._incarnation, self._peers.all, self._checked
            log = self._logs[scope] = Log(scope, *given, self._seed, applied)
            self._tables[scope] = log.table
        return log

    def _agreed(self, scope: str, delta: c.Delta, own: bool) -> list[Effect]:
        """A version is in force here."""
        log = self._logs[scope]
        effects = self._to_sources(c.Committed(scope, delta)) if own else []
        if delta.version % ACKED == 0:
            effects += self._to_sources(self._beat((log.head,)))
        begun = delta.version == 1 and delta.epoch > 0
        return effects + self._moved(log, delta.entries, begun, self._now_us)

    def _moved(self, log: Log, entries: tuple[c.Entry, ...], whole: bool, now_us: int) -> list[Effect]:
        """What follows from a new state; `entries` are those that changed, unless `whole`."""
        if whole:
            entries = tuple(c.Entry(key, value) for key, value in log.table.entries.items())
        self._downstream.changed(log.scope, now_us)
        effects: list[Effect] = [c.InForce(log.head, entries, whole)]
        if is_names(log.scope):
            return effects + self._roster.applied(log.scope, entries, whole, now_us)
        if log.scope == ALL:
            for scope in filter(None, (scope_of(one.key) for one in entries)):
                self._open(scope)
                if scope.startswith("zone/"):
                    self._open(scope.replace("zone/", "names/", 1))
        return effects

    def _offered(
        self, ticket: int, scope: str, entries: tuple[c.Entry, ...], base: int, now_us: int, anew: bool
    ) -> list[Effect]:
        def done(version: int, why: str) -> list[Effect]:
            if version:
                return [Replied(ticket, f"{scope} is at version {version}")]
            return [Replied(ticket, why if why.startswith("unknown") else f"refused: {why}")]

        if self._over:
            return done(0, "this source is about to stop")
        self._now_us = now_us
        emptied = anew and is_scope(scope) and is_names(scope) and not entries
        mistake = "" if emptied else mistake_of_scope(scope, self.entries(ALL), anew)
        if scope == ALL and any(one.key.startswith(COUNTS) for one in entries):
            mistake = f"{COUNTS} is what sources count"
        log = None if mistake else self._open(scope)
        if log is None:
            return done(0, mistake or f"{MOST_LOGS} scopes at most")
        return log.offer(entries, base, done, now_us, anew) + self.tick(now_us)

    def _offer_own(self, scope: str, entries: tuple[c.Entry, ...], base: int, done: Done, now_us: int) -> list[Effect]:
        log = self._open(scope)
        return log.offer(entries, base, done, now_us) if log is not None else done(0, "no room for it")

    def _checked(self, scope: str, now: Entries, entries: tuple[c.Entry, ...]) -> str:
        """The caller's check, but for what sources say themselves."""
        if is_names(scope) or (scope == ALL and all(one.key.startswith(COUNTS) for one in entries)):
            return ""
        return self._checker(scope, now, entries)

    def _take(self, scope: str) -> bool:
        return self._open(scope) is not None

    def _covers(self, scope: str) -> bool:
        return self._logs[scope].caught_up

    # ---- Among sources ----

    def _to_sources(self, message: Message) -> list[Effect]:
        return [Tell(one.name, message) for one in self._peers.others]

    def _beat(self, heads: tuple[c.Head, ...]) -> c.Beat:
        return c.Beat(in_ms(self.age_us(self._now_us)), heads)

    def _pull(self, log: Log, now_us: int) -> list[Effect]:
        """Ask another source for what the registers do not hold any more."""
        whom = self._peers.whom_to_ask(log.scope, now_us)
        gathering = log.table.gathering
        resume = ((log.scope, *gathering),) if gathering is not None else ()
        return [Tell(whom, c.Subscribe(self._incarnation, (log.head,), resume))] if whom else []

    def _serve(self, sender: str, asked: c.Subscribe) -> list[Effect]:
        """Another source's question: the next part of what it lacks, and no memory of it."""
        words: list[Message] = []
        resume = {scope: (epoch, first, after) for scope, epoch, first, after in asked.resume}
        for head in asked.heads[: c.MOST_SCOPES]:
            table = self._tables.get(head.scope)
            if table is None or (head.epoch, head.version) >= (table.head.epoch, table.head.version):
                continue
            epoch, first, after = resume.get(head.scope, (-1, 0, ""))
            deltas = table.since(head)
            if deltas is None and epoch == table.head.epoch:
                deltas = table.since(c.Head(head.scope, epoch, first))
            if deltas:
                words.append(c.Changes(head.scope, deltas))
            if table.since(head) is None:
                page = table.page(first, after) if epoch == table.head.epoch else None
                page = page if page is not None else table.page(table.head.version, "")
                words += [page] if page is not None else []
        return [Tell(sender, word) for word in words]
