"""A source: its parts put together. No I/O.

What may live here: which part hears what, what follows in one part from another, and what is told to the shell.
Versions are `logs`', names and places `roster`'s, children `downstream`'s, the other sources `peers`'.

The shell calls `tick` at `due_us`, hands over what comes, runs `Read` and `Change` on its registers and tells their end
by `answered`. `InForce` tells each version; a shell that keeps them on disk may give them back by `restore`.
"""

from collections.abc import Mapping

from oatlink.fleet.control.bounds import is_report, is_scope
from oatlink.fleet.control.checks import Checker, scope_error
from oatlink.fleet.control.downstream import Downstream
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.logs import Logs
from oatlink.fleet.control.peers import BEAT_INTERVAL_US, Peers
from oatlink.fleet.control.roster import Roster
from oatlink.fleet.control.scopes import ALL, COUNTS, is_names, names_of, scope_of
from oatlink.fleet.control.sums import Sums
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.base import NEVER_US, Message
from oatlink.fleet.messages.effects import Answer, Effect, Replied, Tell

MAX_CHILDREN = 1_024  # readers at one source: 600 each if all 3,600 come to the six at once
BAD_JOIN_WAIT_MS = 60_000  # who bears a region or zone that cannot be comes back no sooner


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
        name = place.name
        self._name, self._incarnation = name, incarnation
        self._drops, self._has_met_peers, self._is_stopped = Drops(), False, False
        self._peers = Peers(name, sources, seed, now_us)
        self._logs = Logs(name, incarnation, self._peers, drift, seed, checker, self._in_force)
        tables = self._logs.tables
        self._sums = Sums(name, tables, (), seed, now_us)
        given = self._logs.age_us, self._open_scopes, self._logs.covers
        self._downstream = Downstream(tables, self._sums, self._drops, MAX_CHILDREN, *given, seed, now_us)
        self._roster = Roster(place, region, incarnation, self._peers, tables, self._logs.offer, seed, now_us)
        self._logs.open(ALL)

    # ---- Questions ----

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        if self._is_stopped or not self._has_met_peers:
            return NEVER_US if self._is_stopped else 0
        return min(self._peers.beat_us, self._logs.due_us, self._downstream.due_us, self._roster.due_us)

    def head(self, scope: str) -> c.Head:
        """What is in force here."""
        return self._logs.tables[scope].head if scope in self._logs.tables else c.Head(scope)

    def entries(self, scope: str) -> Mapping[str, bytes]:
        """The scope's state here."""
        return self._logs.tables[scope].entries if scope in self._logs.tables else {}

    def age_us(self, now_us: int) -> int:
        """How old this source's word is at most: 0 while a majority has answered lately, `NEVER_US` before that."""
        return self._logs.age_us(now_us)

    def lag_below(self, scope: str) -> c.Lag:
        """All readers below this source, in one of its scopes: laggards by name and number."""
        return self._sums.lag(scope) if scope in self._logs.tables else c.Lag(c.Head(scope), 0, 0)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """What this source believes, for operators: name and text."""
        return [
            ("source", f"{self._name} {self._incarnation}"),
            ("sources heard", " ".join(one for one in self._peers.all if self._peers.is_heard(one, now_us))),
            ("children", str(len(self._downstream))),
            *self._logs.rows(now_us),
            *self._roster.rows(),
            ("dropped", self._drops.text()),
        ]

    # ---- What happens ----

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """A word of another source or of a reader."""
        if self._is_stopped:
            return []
        of = self._receive_from_source if sender in self._peers else self._receive_from_reader
        return of(sender, message, now_us) + self.tick(now_us)

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """What came of a `Read` or `Change`."""
        return [] if self._is_stopped else self._logs.answered(answer, now_us) + self.tick(now_us)

    def offer(self, ticket: int, scope: str, entries: tuple[c.Entry, ...], base: int, now_us: int) -> list[Effect]:
        """Offer a change made for version `base`, -1 for any; a `Replied` follows: its version, or why not."""
        return self._offer(ticket, scope, entries, base, now_us, anew=False)

    def begin_epoch(self, ticket: int, scope: str, entries: tuple[c.Entry, ...], now_us: int) -> list[Effect]:
        """An operator's word: this scope's history is begun anew with these entries alone; a `Replied` follows."""
        return self._offer(ticket, scope, entries, -1, now_us, anew=True)

    def restore(self, head: c.Head, entries: Mapping[str, bytes], now_us: int) -> None:
        """What this source had on disk, before anything else; what has come since is read from the registers."""
        self._logs.restore(head, entries, now_us)

    def link_failed(self, peer: str, now_us: int) -> list[Effect]:
        """A link to it failed."""
        if peer in self._peers:
            self._peers.mark_away(peer)
            return []
        return self._downstream.remove(peer)

    def leave(self, now_us: int) -> list[Effect]:
        """The process is about to stop in an orderly way; it does nothing more."""
        peers = [*(one.name for one in self._peers.others), *self._downstream.names()]
        self._is_stopped = True
        return [Tell(peer, c.Leave(self._incarnation)) for peer in peers]

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        if self._is_stopped:
            return []
        effects: list[Effect] = [] if self._has_met_peers else [c.Known(one) for one in self._peers.others]
        self._has_met_peers = True
        if now_us >= self._peers.beat_us:
            self._peers.beat_us = now_us + BEAT_INTERVAL_US
            beat = self._logs.beat(now_us)
            effects += [Tell(one.name, beat) for one in self._peers.others]
        effects += self._roster.tick(self.age_us(now_us) == 0, now_us)
        effects += self._logs.tick(now_us)
        if now_us >= self._downstream.due_us:
            effects += self._downstream.tick(now_us)
        return effects

    # ---- Parts ----

    def _receive_from_source(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """A word of another source. They are no traitors; what does not fit is passed over by the part that has it."""
        self._peers.mark_heard(sender, now_us)
        match message:
            case c.Report():
                self._roster.mark_alive(message.alive, message.children, now_us)
                return []
            case c.Leave():
                self._peers.mark_away(sender)
                return []
        effects = self._logs.receive(sender, message, now_us)
        return self._drops.add("word that a source does not say", sender, now_us) if effects is None else effects

    def _receive_from_reader(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """A word of a process that takes the stream."""
        match message:
            case c.Join():
                if self._logs.open_for_reader(names_of(message.region, message.zone)) is None:
                    return [Tell(sender, c.Refused(message.incarnation, "bad", BAD_JOIN_WAIT_MS))]
                return self._roster.handle_join(sender, message, now_us)
            case c.Subscribe():
                return self._downstream.subscribe(sender, message, now_us)
            case c.Report() if not is_report(message):
                return self._drops.add("impossible report", sender, now_us)
            case c.Report():
                effects = self._downstream.report(sender, message, now_us)
                if sender in self._downstream and (message.alive or not message.children):
                    told = message.incarnation, message.alive, message.children
                    effects += self._roster.handle_report(sender, *told, now_us)
                return effects
            case c.Leave():
                self._roster.handle_leave(sender, message.incarnation, now_us)
                return self._downstream.remove(sender, message.incarnation)
        return self._drops.add("word that a reader does not say", sender, now_us)

    def _in_force(self, head: c.Head, entries: tuple[c.Entry, ...], whole: bool, now_us: int) -> list[Effect]:
        """What follows from a new state of a scope."""
        self._downstream.scope_changed(head.scope, now_us)
        effects: list[Effect] = [c.InForce(head, entries, whole)]
        if is_names(head.scope):
            return effects + self._roster.apply(head.scope, entries, whole, now_us)
        for scope in (scope_of(one.key) for one in entries if head.scope == ALL):
            self._logs.open(scope)
            if scope.startswith("zone/"):
                self._logs.open(scope.replace("zone/", "names/", 1))
        return effects

    def _offer(
        self, ticket: int, scope: str, entries: tuple[c.Entry, ...], base: int, now_us: int, anew: bool
    ) -> list[Effect]:
        def done(version: int, why: str) -> list[Effect]:
            if version:
                return [Replied(ticket, f"{scope} is at version {version}")]
            return [Replied(ticket, why if why.startswith("unknown") else f"refused: {why}")]

        emptied = anew and is_scope(scope) and is_names(scope) and not entries
        mistake = "" if emptied else scope_error(scope, self.entries(ALL), anew)
        if scope == ALL and any(one.key.startswith(COUNTS) for one in entries):
            mistake = f"{COUNTS} is what sources count"
        if self._is_stopped or mistake:
            return done(0, mistake or "this source is about to stop")
        return self._logs.offer(scope, entries, base, done, now_us, anew) + self.tick(now_us)

    def _open_scopes(self, scopes: tuple[str, ...]) -> bool:
        return all(not is_names(one) and self._logs.open_for_reader(one) is not None for one in scopes)
