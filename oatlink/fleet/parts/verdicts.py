"""Health evidence at one node: what it observed, what others observed, and which nodes are alive. No I/O."""

from collections.abc import Mapping

from oatlink.fleet import messages as f
from oatlink.fleet.membership.view import View
from oatlink.fleet.verdicts.evidence import CLEARS, KINDS, LATER
from oatlink.fleet.verdicts.spread import Spread
from oatlink.fleet.verdicts.weigh import Weigher
from oatlink.settings.fleet import Fleet


class Verdicts:
    """The part of a node that gossips about members and weighs what others report."""

    def __init__(self, fleet: Fleet, incarnation: int, seed: int, now_us: int) -> None:
        names = tuple(node.name for node in fleet.nodes)
        peers = tuple(name for name in names if name != fleet.node)
        self._spread = Spread(fleet.node, incarnation, peers, seed, fleet.drift)
        self._weigher = Weigher(fleet.drift, peers, seed)
        self._view = View(fleet.node, incarnation, names, seed, fleet.drift, now_us)
        self._own: dict[str, tuple[str, int]] = {}

    @property
    def due_us(self) -> int:
        """When `tick` has something to do."""
        return min(self._spread.due_us, self._view.due_us)

    def listed(self, members: Mapping[str, str], now_us: int) -> list[f.Effect]:
        """Set the members that this gateway has, each with its bank."""
        self._own = {name: own for name, own in self._own.items() if name in members}
        return [f.Tuned(news) for news in self._weigher.listed(members, now_us)]

    def saw(self, member: str, kind: str, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """Add own evidence on a member."""
        # A claim of a role or a position must not replace evidence of an answer just received: two false reports would
        # count again then.
        if kind in KINDS and KINDS[kind].allows in (CLEARS, LATER):
            self._own[member] = kind, now_us
        self._spread.saw(member, kind, now_us, history, offset)
        return self._spread.tick(now_us) if now_us >= self._spread.due_us else []

    def tick(self, now_us: int) -> list[f.Effect]:
        """Do what is due."""
        effects = self._view.tick(now_us)
        self._spread.set_alive(self._view.alive(now_us), now_us)
        return effects + (self._spread.tick(now_us) if now_us >= self._spread.due_us else [])

    def take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect] | None:
        """Handle a message; None if it is not for this part."""
        if isinstance(message, f.Alive):
            self._view.receive(sender, message, now_us)
            return []
        if not isinstance(message, f.Gossip):
            return None
        new, effects = self._spread.receive(sender, message, now_us)
        for evidence in new:
            seen = self._weigher.take(evidence, self._own.get(evidence.member), now_us)
            effects += [f.Tuned(news) for news in seen]
        return effects

    def leave(self, now_us: int) -> list[f.Effect]:
        """Announce that this node leaves."""
        return self._view.leave(now_us)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Status rows: which nodes are alive, and how much evidence is stored."""
        return [
            ("nodes heard of", " ".join(self._view.alive(now_us)) or "none"),
            ("evidence kept", f"{len(self._spread)}, {self._spread.dropped} dropped"),
        ]
