"""Verdicts at one node: what it saw, what others saw, who is there to be told. No I/O."""

from collections.abc import Mapping

from oatlink.fleet import messages as f
from oatlink.fleet.membership.view import View
from oatlink.fleet.verdicts.evidence import CLEARS, KINDS, LATER
from oatlink.fleet.verdicts.spread import Spread
from oatlink.fleet.verdicts.weigh import Weigher
from oatlink.settings.fleet import Fleet


class Verdicts:
    """See above."""

    def __init__(self, fleet: Fleet, incarnation: int, seed: int, now_us: int) -> None:
        names = tuple(one.name for one in fleet.nodes)
        peers = tuple(one for one in names if one != fleet.node)
        self._spread = Spread(fleet.node, incarnation, peers, seed, fleet.drift)
        self._weigher = Weigher(fleet.drift, peers, seed)
        self._view = View(fleet.node, incarnation, names, seed, fleet.drift, now_us)
        self._own: dict[str, tuple[str, int]] = {}

    @property
    def due_us(self) -> int:
        """When `tick` has something to do."""
        return min(self._spread.due_us, self._view.due_us)

    def listed(self, members: Mapping[str, str], now_us: int) -> list[f.Effect]:
        """The members that this gateway has, each with its bank."""
        self._own = {name: one for name, one in self._own.items() if name in members}
        return [f.Tuned(one) for one in self._weigher.listed(members, now_us)]

    def saw(self, member: str, kind: str, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """Own evidence on a member."""
        # Threat: a claim or a position in the place of an answer of just before, and two false words count again.
        if kind in KINDS and KINDS[kind].may in (CLEARS, LATER):
            self._own[member] = kind, now_us
        self._spread.saw(member, kind, now_us, history, offset)
        return self._spread.tick(now_us) if now_us >= self._spread.due_us else []

    def tick(self, now_us: int) -> list[f.Effect]:
        """Time has passed."""
        effects = self._view.tick(now_us)
        self._spread.here(self._view.alive(now_us), now_us)
        return effects + (self._spread.tick(now_us) if now_us >= self._spread.due_us else [])

    def take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect] | None:
        """A message; None where it is not for this part."""
        if isinstance(message, f.Alive):
            self._view.receive(sender, message, now_us)
            return []
        if not isinstance(message, f.Gossip):
            return None
        new, effects = self._spread.receive(sender, message, now_us)
        for word in new:
            effects += [f.Tuned(one) for one in self._weigher.take(word, self._own.get(word.member), now_us)]
        return effects

    def leave(self, now_us: int) -> list[f.Effect]:
        """Say that this node goes."""
        return self._view.leave(now_us)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """For operators: who is there, and how much evidence is kept."""
        return [
            ("nodes heard of", " ".join(self._view.alive(now_us)) or "none"),
            ("evidence kept", f"{len(self._spread)}, {self._spread.dropped} dropped"),
        ]
