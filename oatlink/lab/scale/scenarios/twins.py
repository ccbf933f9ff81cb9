"""Two processes that bear one name, each with its own life: how many of the others notice, and when.

Played are the views of both and the real door of each node that they speak to. Answers go to the address in the
settings, which is the first one's; the second hears nobody.
"""

from collections import Counter
from random import Random

from oatlink.fleet import envelope
from oatlink.fleet import messages as f
from oatlink.fleet.membership.view import View
from oatlink.fleet.shell import listener
from oatlink.fleet.shell.inbound import InboundConnection
from oatlink.fleet.shell.inbound_context import InboundContext
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.nodes import IDLE_US, names_of
from oatlink.lab.scale.scenarios.disturbed import disturbed
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.tally import SECOND_US
from oatlink.lab.scale.wire import HASH

SECONDS, BRIEF_S = 120, 30
TICK_US = 250_000
KEY = envelope.derive_key(b"hollow")


class Peer:
    """Another node's door, and what came through it."""

    def __init__(self, name: str, peers: frozenset[str]) -> None:
        def say(event: str, peer: str, text: str) -> None:
            """Nobody reads it."""

        self.heard: list[bytes] = []
        self.context = InboundContext(name, HASH, 1 << 16, lambda _, body: self.heard.append(body), Counter())
        self.listener = listener.Listener(self.context, peers, (KEY,), say)
        self.lives: set[int] = set()
        self.links: dict[int, tuple[InboundConnection, int]] = {}

    def takes(self, name: str, incarnation: int, now_us: int) -> bool:
        """A frame of one of the twins: whether it is heard."""
        self.context.ticks = now_us // TICK_US
        link = self.links.get(incarnation)
        if link is None or now_us - link[1] >= IDLE_US:
            one = InboundConnection(self.listener, self.context)
            hello = envelope.Hello(f.VERSION, name, incarnation, HASH, self.context.node)
            frame = envelope.Seal(KEY, one.nonce, name, incarnation).seal(0, envelope.encode(hello))
            if self.listener.authenticate(one, frame[envelope.LENGTH_BYTES :]) is None:
                return False
            link = one, now_us
        link[0].last_heard_tick = self.context.ticks
        self.links[incarnation] = link[0], now_us
        self.lives.add(incarnation)
        return True


def play(order: Order) -> Finding:
    """The rule: of two under one name one is refused, and it is known."""
    size, seconds = order.size, BRIEF_S if order.brief else SECONDS
    names, time = names_of(size.gateways), Timeline()
    name, listed = names[1], frozenset(names)
    peers: dict[str, Peer] = {}
    refused: list[int] = []
    said = [0]

    def tick(one: View, incarnation: int) -> None:
        for effect in one.tick(time.now):
            if isinstance(effect, f.Tell):
                said[0] += 1
                peer = peers.setdefault(effect.to, Peer(effect.to, listed))
                if not peer.takes(name, incarnation, time.now):
                    refused.append(time.now)
        time.at(max(one.due_us, time.now + 1), tick, one, incarnation)

    for twin in range(2):
        draw = Random(f"{order.seed}/twin/{twin}")
        incarnation = draw.getrandbits(47)
        view = View(name, incarnation, names, draw.getrandbits(48), 0.001, 0)
        time.at(view.due_us, tick, view, incarnation)
    time.run(seconds * SECOND_US)
    both = sum(len(one.lives) == 2 for one in peers.values())
    found = Finding("twins", size.gateways, size.databases, order.seed, "today", "2 twins, all doors", float(seconds))
    found.steady = {
        "messages of both": float(said[0]),
        "peers that spoke with both": float(both),
        "refused as a second process": float(len(refused)),
        "share of messages refused": round(len(refused) / max(1, said[0]), 4),
    }
    if refused:
        found.steady["s until the first refusal"] = refused[0] / 1e6
    if len(refused) < said[0] // 4:
        found.broken.append(
            f"both are heard: {said[0] - len(refused)} of {said[0]} messages in {seconds} s, {both} nodes took both"
        )
        found.notes.append(
            f"two are told apart by a door that hears both within 3 s ({at(listener.Listener._admit)}), and a node "
            f"speaks to three drawn from all each 2 s ({at(View.tick, 'sample(present')}): "
            "the larger the fleet, the rarer"
        )
    disturbed(order, found, "twin")
    return found
