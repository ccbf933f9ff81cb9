"""A source: puts its parts together. No I/O.

This module decides which part gets a message, what follows in one part from another, and what the shell gets. Versions
are handled in `logs`, names and places in `roster`, children in `downstream`, the other sources in `peers`.

The shell calls `tick` at `due_us`, passes on messages, runs `Read` and `Change` on its registers and reports their
outcome by `answered`. `InForce` reports each version; a shell that stores them on disk may give them back by `restore`.
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

MAX_CHILDREN = 1_024  # readers at one source: 600 each if all 3,600 connect to the six sources at once
BAD_JOIN_WAIT_MS = 60_000  # a process whose region or zone is impossible comes back no sooner


class Source:
    """One source. `place`: its name and address; `sources`: all of them, in any order, with this one or without.

    `drift`: by how much of its rate each clock may be wrong; `checker(scope, entries, change)`: '' or why a change is
    refused. Times are microseconds of its own monotonic clock.
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
        callbacks = self._logs.age_us, self._open_scopes, self._logs.covers
        self._downstream = Downstream(tables, self._sums, self._drops, MAX_CHILDREN, *callbacks, seed, now_us)
        self._roster = Roster(place, region, incarnation, self._peers, tables, self._logs.offer, seed, now_us)
        self._logs.open(ALL)

    # ---- State ----

    @property
    def due_us(self) -> int:
        """When `tick` has to be called next."""
        if self._is_stopped or not self._has_met_peers:
            return NEVER_US if self._is_stopped else 0
        return min(self._peers.next_beat_us, self._logs.due_us, self._downstream.due_us, self._roster.due_us)

    def head(self, scope: str) -> c.Head:
        """Return the version in force here."""
        return self._logs.tables[scope].head if scope in self._logs.tables else c.Head(scope)

    def entries(self, scope: str) -> Mapping[str, bytes]:
        """Return the scope's entries here."""
        return self._logs.tables[scope].entries if scope in self._logs.tables else {}

    def age_us(self, now_us: int) -> int:
        """Return the greatest possible age of the data.

        It is 0 while a majority has answered lately, and `NEVER_US` before any has.
        """
        return self._logs.age_us(now_us)

    def lag_below(self, scope: str) -> c.Lag:
        """Return how far all readers below this source are behind in a scope, with laggards by name and number."""
        return self._sums.lag(scope) if scope in self._logs.tables else c.Lag(c.Head(scope), 0, 0)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Return the state for operators: name and text."""
        return [
            ("source", f"{self._name} {self._incarnation}"),
            ("sources heard", " ".join(source for source in self._peers.all if self._peers.is_heard(source, now_us))),
            ("children", str(len(self._downstream))),
            *self._logs.rows(now_us),
            *self._roster.rows(),
            ("dropped", self._drops.text()),
        ]

    # ---- Events ----

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Handle a message of another source or of a reader."""
        if self._is_stopped:
            return []
        handler = self._receive_from_source if sender in self._peers else self._receive_from_reader
        return handler(sender, message, now_us) + self.tick(now_us)

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """Handle the answer to a `Read` or `Change`."""
        return [] if self._is_stopped else self._logs.answered(answer, now_us) + self.tick(now_us)

    def offer(self, ticket: int, scope: str, entries: tuple[c.Entry, ...], base: int, now_us: int) -> list[Effect]:
        """Offer a change made for version `base`, -1 for any; a `Replied` follows with its version or the reason."""
        return self._offer(ticket, scope, entries, base, now_us, begins_epoch=False)

    def begin_epoch(self, ticket: int, scope: str, entries: tuple[c.Entry, ...], now_us: int) -> list[Effect]:
        """Begin a scope's history again with these entries only, on an operator's request; a `Replied` follows."""
        return self._offer(ticket, scope, entries, -1, now_us, begins_epoch=True)

    def restore(self, head: c.Head, entries: Mapping[str, bytes], now_us: int) -> None:
        """Restore what was on disk, before anything else; later versions are read from the registers."""
        self._logs.restore(head, entries, now_us)

    def link_failed(self, peer: str, now_us: int) -> list[Effect]:
        """Handle a failed link to a peer."""
        if peer in self._peers:
            self._peers.mark_away(peer)
            return []
        return self._downstream.remove(peer)

    def leave(self, now_us: int) -> list[Effect]:
        """Notify sources and children that the process stops in an orderly way; it does nothing after that."""
        peers = [*(source.name for source in self._peers.others), *self._downstream.names()]
        self._is_stopped = True
        return [Tell(peer, c.Leave(self._incarnation)) for peer in peers]

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        if self._is_stopped:
            return []
        effects: list[Effect] = [] if self._has_met_peers else [c.Known(peer) for peer in self._peers.others]
        self._has_met_peers = True
        if now_us >= self._peers.next_beat_us:
            self._peers.next_beat_us = now_us + BEAT_INTERVAL_US
            beat = self._logs.beat(now_us)
            effects += [Tell(peer.name, beat) for peer in self._peers.others]
        effects += self._roster.tick(self.age_us(now_us) == 0, now_us)
        effects += self._logs.tick(now_us)
        if now_us >= self._downstream.due_us:
            effects += self._downstream.tick(now_us)
        return effects

    # ---- Helpers ----

    def _receive_from_source(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Handle a message of another source.

        Sources are trusted; the part that gets a message skips what does not fit.
        """
        self._peers.mark_heard(sender, now_us)
        match message:
            case c.Report():
                self._roster.mark_alive(message.alive, message.children, now_us)
                return []
            case c.Leave():
                self._peers.mark_away(sender)
                return []
        effects = self._logs.receive(sender, message, now_us)
        return self._drops.add("message that a source does not send", sender, now_us) if effects is None else effects

    def _receive_from_reader(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Handle a message of a process that takes the stream."""
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
                    report = message.incarnation, message.alive, message.children
                    effects += self._roster.handle_report(sender, *report, now_us)
                return effects
            case c.Leave():
                self._roster.handle_leave(sender, message.incarnation, now_us)
                return self._downstream.remove(sender, message.incarnation)
        return self._drops.add("message that a reader does not send", sender, now_us)

    def _in_force(self, head: c.Head, entries: tuple[c.Entry, ...], is_whole: bool, now_us: int) -> list[Effect]:
        """Return what follows from a new state of a scope."""
        self._downstream.scope_changed(head.scope, now_us)
        effects: list[Effect] = [c.InForce(head, entries, is_whole)]
        if is_names(head.scope):
            return effects + self._roster.apply(head.scope, entries, is_whole, now_us)
        for scope in (scope_of(entry.key) for entry in entries if head.scope == ALL):
            self._logs.open(scope)
            if scope.startswith("zone/"):
                self._logs.open(scope.replace("zone/", "names/", 1))
        return effects

    def _offer(
        self, ticket: int, scope: str, entries: tuple[c.Entry, ...], base: int, now_us: int, begins_epoch: bool
    ) -> list[Effect]:
        def done(version: int, reason: str) -> list[Effect]:
            if version:
                return [Replied(ticket, f"{scope} is at version {version}")]
            return [Replied(ticket, reason if reason.startswith("unknown") else f"refused: {reason}")]

        is_emptying_names = begins_epoch and is_scope(scope) and is_names(scope) and not entries
        error = "" if is_emptying_names else scope_error(scope, self.entries(ALL), begins_epoch)
        if scope == ALL and any(entry.key.startswith(COUNTS) for entry in entries):
            error = f"{COUNTS} is what sources count"
        if self._is_stopped or error:
            return done(0, error or "this source is about to stop")
        return self._logs.offer(scope, entries, base, done, now_us, begins_epoch) + self.tick(now_us)

    def _open_scopes(self, scopes: tuple[str, ...]) -> bool:
        return all(not is_names(scope) and self._logs.open_for_reader(scope) is not None for scope in scopes)
