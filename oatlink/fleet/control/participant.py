"""One process in the stream of control: a source with its registers, or a reader. No I/O.

This module decides by the settings which of the two a process is, and which part gets a message or a register's answer.
The effects that are left are the shell's: `Tell`, `Keep`, `Known`, `InForce`, `Replied`, `Note`.

Messages about registers are accepted from sources only. This prevents a process that is authenticated by the key, but
not listed in the settings, from using the acceptors.
"""

from collections import Counter, deque
from collections.abc import Mapping

from oatlink.fleet import messages as f
from oatlink.fleet.control.checks import Checker
from oatlink.fleet.control.reader import Reader
from oatlink.fleet.control.source import Source
from oatlink.fleet.messages import control as c
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.registers.proposer import Proposer
from oatlink.settings.fleet import Control, Fleet

REGISTERS = (
    f.Prepare,
    f.Accept,
    f.Look,
    f.Copy,
    f.Copied,
    f.Promise,
    f.Accepted,
    f.Outbid,
    f.Looked,
)


class Participant:
    """Returns effects in the order in which they must be carried out.

    Times are microseconds of the own monotonic clock.
    """

    def __init__(
        self,
        fleet: Fleet,
        control: Control,
        incarnation: int,
        seed: int,
        checker: Checker,
        now_us: int,
        keeper: Acceptor | None = None,
    ) -> None:
        """`incarnation` is above that of any earlier process with this name; `keeper` is this source's own acceptor."""
        self.name, self.keeper = fleet.node, keeper
        self.dropped: Counter[str] = Counter()
        place = c.Place(fleet.node, fleet.own_node.address)
        sources = tuple(c.Place(source.name, source.address) for source in control.sources)
        self.sources = tuple(source.name for source in sources)
        self.source: Source | None = None
        self.reader: Reader | None = None
        self._proposer: Proposer | None = None
        if fleet.node in self.sources:
            self._proposer = Proposer(fleet.node, incarnation, fleet.keepers, seed)
            self.source = Source(place, control.region, incarnation, sources, fleet.drift, seed, checker, now_us)
        else:
            self.reader = Reader(
                place,
                control.region,
                control.zone,
                control.groups,
                incarnation,
                sources,
                control.relays,
                fleet.drift,
                seed,
                now_us,
            )

    @property
    def _core(self) -> Source | Reader:
        core = self.source or self.reader
        assert core is not None
        return core

    @property
    def due_us(self) -> int:
        """When `tick` has to be called next, if nothing comes before."""
        parts = (self.keeper, self._proposer, self._core)
        return min(part.due_us for part in parts if part is not None)

    # ---- State ----

    def head(self, scope: str) -> c.Head:
        """Return the version in force here."""
        return self._core.head(scope)

    def entries(self, scope: str) -> Mapping[str, bytes]:
        """Return the entries in force."""
        return self._core.entries(scope)

    def age_us(self, now_us: int) -> int:
        """Return the greatest possible age of the data; `NEVER_US` if no data of a source ever arrived."""
        return self._core.age_us(now_us)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Return the state of this process for operators: name and text."""
        rows = self._core.rows(now_us)
        if self.keeper is not None:
            rows.append(("keeper", "votes" if self.keeper.begun else "does not vote yet"))
        return rows

    # ---- Events ----

    def receive(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect]:
        """Handle a message of a process whose name is authenticated."""
        return self._run(self._take(sender, message, now_us), now_us)

    def tick(self, now_us: int) -> list[f.Effect]:
        """Do what is due."""
        effects: list[f.Effect] = []
        for part in (self.keeper, self._proposer, self._core):
            if part is not None:
                effects += part.tick(now_us)
        return self._run(effects, now_us)

    def link_failed(self, peer: str, now_us: int) -> list[f.Effect]:
        """Handle a failed link to a peer."""
        return self._run(self._core.link_failed(peer, now_us), now_us)

    def offer(self, ticket: int, scope: str, entries: tuple[c.Entry, ...], base: int, now_us: int) -> list[f.Effect]:
        """Offer an operator's change, made for version `base` (-1: any); a `Replied` follows."""
        if self.source is None:
            return [f.Replied(ticket, f"refused: no source; offer it at one of {' '.join(self.sources)}")]
        return self._run(self.source.offer(ticket, scope, entries, base, now_us), now_us)

    def restore(self, head: c.Head, entries: Mapping[str, bytes], now_us: int) -> None:
        """Restore what this source had on disk of a scope, before anything else."""
        if self.source is not None:
            self.source.restore(head, entries, now_us)

    def leave(self, now_us: int) -> list[f.Effect]:
        """Handle an orderly end."""
        return self._run(self._core.leave(now_us), now_us)

    # ---- Between the parts ----

    def _run(self, effects: list[f.Effect], now_us: int) -> list[f.Effect]:
        """Pass effects from part to part until only the shell's are left."""
        queue, shell_effects = deque(effects), []
        while queue:
            effect = queue.popleft()
            if isinstance(effect, f.Read) and self._proposer is not None:
                queue.extend(self._proposer.read(effect.ask, effect.key, now_us))
            elif isinstance(effect, f.Change) and self._proposer is not None:
                queue.extend(self._proposer.change(effect.ask, effect.key, effect.fence, effect.value, now_us))
            elif isinstance(effect, f.Answer):
                queue.extend(self.source.answered(effect, now_us) if self.source is not None else [])
            elif isinstance(effect, f.Tell) and effect.to == self.name:
                queue.extend(self._take(self.name, effect.message, now_us))
            else:
                shell_effects.append(effect)
        return shell_effects

    def _take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect]:
        if not isinstance(message, REGISTERS):
            return self._core.receive(sender, message, now_us)
        if sender not in self.sources or self._proposer is None:
            self.dropped["register"] += 1
            return []
        if isinstance(message, f.Promise | f.Accepted | f.Outbid | f.Looked):
            return self._proposer.receive(sender, message, now_us)
        return self.keeper.receive(sender, message, now_us) if self.keeper is not None else []
