"""One node of a fleet, composed of its parts. No I/O.

This module passes each message and each register's answer to the part that it is for. The parts do not call one
another: their effects are passed from one to the next, and the rest is left to the caller to carry out: `Tell`, `Keep`,
`Note`, `Tuned`, `Replied`, `RunStep`, `AskMarker`.
"""

from collections import deque
from collections.abc import Mapping

from oatlink.fleet import messages as f
from oatlink.fleet.gating import allowances_of
from oatlink.fleet.parts.layouts import LayoutPart
from oatlink.fleet.parts.limits import Limits
from oatlink.fleet.parts.verdicts import Verdicts
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.registers.proposer import Proposer
from oatlink.settings.fleet import Fleet


class Node:
    """The node of one gateway. Effects are returned in the order in which they must be carried out."""

    def __init__(
        self,
        fleet: Fleet,
        members: Mapping[str, str],
        longest_deadline_us: int,
        incarnation: int,
        seed: int,
        now_us: int,
        keeper: Acceptor | None = None,
    ) -> None:
        """`members`: those of the settings, with their banks; `keeper`: this node's acceptor, if it is a keeper."""
        self.name = fleet.node
        self.keeper = keeper
        self._proposer = Proposer(fleet.node, incarnation, fleet.keepers, seed)
        self._limits = Limits(fleet, allowances_of(fleet, members), incarnation, seed)
        banks = tuple(dict.fromkeys(members.values()))
        self._layouts = (
            None
            if fleet.versions is None
            else LayoutPart(fleet, fleet.versions, banks, longest_deadline_us, incarnation, seed)
        )
        self._verdicts = Verdicts(fleet, incarnation, seed, now_us) if fleet.verdicts else None
        if self._verdicts is not None:
            self._verdicts.listed(members, now_us)

    @property
    def due_us(self) -> int:
        """When `tick` has something to do, if nothing else happens before."""
        parts = (self.keeper, self._proposer, self._limits, self._layouts, self._verdicts)
        return min(part.due_us for part in parts if part is not None)

    def receive(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect]:
        """Handle a message of another node."""
        return self._run(self._take(sender, message, now_us), now_us)

    def tick(self, demands: tuple[f.Demand, ...], busy: tuple[int, ...], now_us: int) -> list[f.Effect]:
        """Time has passed, or demands (`Gate.demands`) or `busy`, the versions with pending requests, have changed."""
        effects = self.keeper.tick(now_us) if self.keeper is not None else []
        effects += self._proposer.tick(now_us)
        effects += self._limits.tick(demands, now_us)
        if self._layouts is not None:
            effects += self._layouts.tick(busy, now_us)
        if self._verdicts is not None:
            effects += self._verdicts.tick(now_us)
        return self._run(effects, now_us)

    def listed(self, members: Mapping[str, str], now_us: int) -> list[f.Effect]:
        """Set the members that discovery lists for this gateway, each with its bank."""
        return self._run(self._verdicts.listed(members, now_us) if self._verdicts is not None else [], now_us)

    def saw(self, member: str, kind: str, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """Add this gateway's own evidence on a member (`messages.Evidence`)."""
        if self._verdicts is None:
            return []
        return self._run(self._verdicts.saw(member, kind, history, offset, now_us), now_us)

    def failed_over(self, bank: str, now_us: int) -> list[f.Effect]:
        """Handle a failover: this gateway has seen another primary in a bank."""
        return self._run(self._layouts.failed_over(bank, now_us) if self._layouts is not None else [], now_us)

    def ran(self, ask: int, how: str, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """Handle the result of a `RunStep`."""
        return self._run(
            self._layouts.ran(ask, how, history, offset, now_us) if self._layouts is not None else [], now_us
        )

    def marked(self, ask: int, number: int, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """Handle the result of an `AskMarker`."""
        return self._run(
            self._layouts.marked(ask, number, history, offset, now_us) if self._layouts is not None else [], now_us
        )

    def word(self, word: str, ticket: int, text: bytes, now_us: int) -> list[f.Effect]:
        """Handle an operator's command about versions; a `Replied` follows."""
        if self._layouts is None:
            return [f.Replied(ticket, "no versions in the fleet's settings")]
        return self._run(self._layouts.word(word, ticket, text, now_us), now_us)

    def leave(self, now_us: int) -> list[f.Effect]:
        """Stop in an orderly way: release grants and leases, so that no other node waits for the end of their terms."""
        effects = self._limits.leave(now_us)
        for part in (self._layouts, self._verdicts):
            if part is not None:
                effects += part.leave(now_us)
        return self._run(effects, now_us)

    def gone(self, now_us: int) -> bool:
        """Whether everything has been released after `leave`."""
        return self._limits.gone and (self._layouts is None or self._layouts.gone(now_us))

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Return the state of this node for operators, as (name, text)."""
        rows = [("node", self.name)]
        if self.keeper is not None:
            rows.append(("keeper", "votes" if self.keeper.begun else "does not vote yet"))
        for part in (self._limits, self._layouts, self._verdicts):
            if part is not None:
                rows += part.rows(now_us)
        return rows

    def _run(self, effects: list[f.Effect], now_us: int) -> list[f.Effect]:
        """Pass effects from part to part until only those for the caller are left."""
        queue, remaining = deque(effects), []
        while queue:
            effect = queue.popleft()
            if isinstance(effect, f.Read):
                queue.extend(self._proposer.read(effect.ask, effect.key, now_us))
            elif isinstance(effect, f.Change):
                queue.extend(self._proposer.change(effect.ask, effect.key, effect.fence, effect.value, now_us))
            elif isinstance(effect, f.Answer):
                queue.extend(self._answered(effect, now_us))
            elif isinstance(effect, f.Tell) and effect.to == self.name:
                queue.extend(self._take(self.name, effect.message, now_us))
            else:
                remaining.append(effect)
        return remaining

    def _answered(self, answer: f.Answer, now_us: int) -> list[f.Effect]:
        effects = self._limits.answered(answer, now_us)
        if effects is None and self._layouts is not None:
            effects = self._layouts.answered(answer, now_us)
        return effects or []

    def _take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect]:
        for part in (self._limits, self._layouts, self._verdicts):
            effects = part.take(sender, message, now_us) if part is not None else None
            if effects is not None:
                return effects
        if isinstance(message, f.Promise | f.Accepted | f.Outbid | f.Looked):
            return self._proposer.receive(sender, message, now_us)
        return self.keeper.receive(sender, message, now_us) if self.keeper is not None else []
