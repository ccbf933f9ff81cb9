"""The stream of control as a carrier: six sources, five of them keepers, and a reader in each gateway. No I/O.

Gateways take four scopes: all, their region, their zone and one of `GROUPS` groups. A hollow gateway has clients for
every group; a reader takes 16 scopes at most, so a change for a group reaches those whose settings name it.
"""

from collections import Counter, deque
from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.messages import control as c
from oatlink.lab.scale.carrier import BYTES, MESSAGES, Change, Scope, World
from oatlink.lab.scale.size import REGIONS, SIX, gateway_zone, region_of
from oatlink.lab.scale.stream.links import Links
from oatlink.lab.scale.stream.processes import MOST_TAPE, GatewayProcess, SourceProcess
from oatlink.lab.scale.stream.truth import Offer, Truth

GROUPS = 12
TAPED = 20  # gateways whose words are kept, for one that says them again
REPLAY_US = 100_000
BAD = b"bad"


def scope_name(scope: Scope) -> str:
    """As the stream has it."""
    if scope.kind == "all":
        return "all"
    if scope.kind == "group":
        return f"group/g{scope.number % GROUPS}"
    if scope.kind == "region":
        return f"region/r{scope.number}"
    return f"zone/r{region_of(scope.number)}/z{scope.number}"


def allowed(scope: str, now: object, entries: tuple[c.Entry, ...]) -> str:
    """The check before a change is offered."""
    return "bad is bad" if any(one.value == BAD for one in entries) else ""


class Stream:
    """See `Carrier`. `sources` and `gateways` are the processes, `truth` what they are judged by."""

    name = "stream"

    def __init__(self, world: World) -> None:
        self.world, self.truth = world, Truth()
        self.links = Links(world.time, world.tally, world.plan, world.seed)
        places = tuple(c.Place(f"six-{one}", f"10.250.{one}.1:7400") for one in range(SIX))
        keepers = tuple(one.name for one in places[:REGIONS])
        given = self.links, self.truth
        self.sources = [SourceProcess(*given, one, places, keepers, world.seed, allowed) for one in range(SIX)]
        self._places = places
        self.gateways = [self._gateway(one) for one in range(world.size.gateways)]
        self.twins: list[GatewayProcess] = []
        self._draw = Random(f"{world.seed}/stream/replay")
        self._tickets = 0
        for one in self.sources:
            one.start()
        world.time.after(500_000, self._begin_groups)

    def _gateway(self, number: int, address: str = "") -> GatewayProcess:
        groups = (f"g{number % GROUPS}",)
        zone, seed = gateway_zone(number), self.world.seed
        one = GatewayProcess(self.links, self.truth, number, zone, groups, self._places, seed, address)
        one.tape = deque(maxlen=MOST_TAPE) if number < TAPED else None
        return one

    def _begin_groups(self) -> None:
        self.put("all", tuple(c.Entry(f"group/g{one}", b"1") for one in range(GROUPS)))

    # ---- Questions ----

    def refusals(self) -> Counter[str]:
        """What the six have refused so far, by reason."""
        return sum((one.refused for one in self.sources), Counter())

    def most_wait_ms(self) -> int:
        """The longest that one of the six has told somebody to wait for his turn."""
        return max(one.most_wait_ms for one in self.sources)

    # ---- Changes ----

    def source(self) -> SourceProcess:
        """One that an operator would ask: up and fresh."""
        fresh = [one for one in self.sources if one.up and one.core.age_us(one.now) == 0]
        return next(iter(fresh or [one for one in self.sources if one.up]))

    def put(self, scope: str, entries: tuple[c.Entry, ...], at: SourceProcess | None = None) -> int:
        """Offer a change; its ticket."""
        self._tickets += 1
        (at or self.source()).offer(self._tickets, scope, entries)
        return self._tickets

    def change(
        self,
        event: str,
        scope: Scope,
        value: bytes,
        without: frozenset[int] = frozenset(),
        at: SourceProcess | None = None,
        key: str = "",
    ) -> int:
        """A change that counts under an event. `without`: gateways that are not to be waited for."""
        name = scope_name(scope)
        takers = [one.number for one in self.gateways if one.up and one.number not in without and name in one.scopes]
        value = b"%d/" % (self._tickets + 1) + value
        now = self.world.time.now
        self.truth.offered(name, value, Offer(event, f"{event}/{self._tickets + 1}", now, frozenset(takers)))
        return self.put(name, (c.Entry(key or f"config/{event}"[:100], value),), at)

    # ---- The seam ----

    def offer(self, change: Change) -> None:
        """See `Carrier`."""
        entry = c.Entry("version", b"%d/" % change.version + change.body)
        self.put(scope_name(change.scope), (entry,))

    def held(self, gateway: int, scope: Scope) -> int:
        """See `Carrier`: the number in the entry, as versions of the stream count more than a scenario's changes."""
        one = self.gateways[gateway]
        value = one.core.entries(scope_name(scope)).get("version", b"0/") if one.up else b"0/"
        return int(value.partition(b"/")[0])

    def start(self, gateway: int) -> None:
        """See `Carrier`."""
        self.gateways[gateway].start()

    def stop(self, gateway: int) -> None:
        """See `Carrier`."""
        self.gateways[gateway].stop()

    def replay(self, gateway: int) -> None:
        """See `Carrier`. What it said goes where it went and to others, what it heard goes on as if it were its own."""
        one = self.gateways[gateway]
        if one.tape is None:
            raise ValueError(f"words of gateways under {TAPED} alone are kept, not of {gateway}")
        words, one.tape = list(one.tape), None
        self._again(one, words, 0)

    def _again(self, one: GatewayProcess, words: list[tuple[str, str, f.Message]], at: int) -> None:
        if not words:
            return
        for sender, to, message in words[at : at + 10]:
            others = [*(source.name for source in self.sources), self._draw.choice(self.gateways).name]
            below = [peer.name for peer in self.gateways if peer.up and peer.core.upstream == one.name]
            for peer in (*([to] if to else []), sender or self._draw.choice(others), *below):
                self.links.send(one, peer, message)
        self.world.time.after(REPLAY_US, self._again, one, words, (at + 10) % len(words))

    def twin(self, gateway: int) -> None:
        """See `Carrier`. It has a higher incarnation, as one that was started later."""
        one = self._gateway(gateway, f"10.251.{gateway & 255}.1:7400")
        one.number = len(self.gateways) + len(self.twins)  # counted and judged apart
        one.tape = None
        self.twins.append(one)
        one.start(self.gateways[gateway].born + 1)

    def bytes_so_far(self, role: str) -> float:
        """See `Carrier`."""
        return self.world.tally.total(role, BYTES)

    def messages_so_far(self, role: str) -> float:
        """See `Carrier`."""
        return self.world.tally.total(role, MESSAGES)
