"""A fleet on the stream of control, settled, to which things happen. It judges each simulated second."""

import gc
import sys
from collections.abc import Callable, Iterable
from types import BuiltinFunctionType, FunctionType, ModuleType

from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.carrier import Scope, World
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.size import Size
from oatlink.lab.scale.stream.carrier import Stream
from oatlink.lab.scale.stream.processes import GatewayProcess, Meter, Process, SourceProcess
from oatlink.lab.scale.stream.truth import IN_FORCE_US
from oatlink.lab.scale.tally import SECOND_US, Tally

BEGIN_US = SECOND_US  # the sources are there before the gateways
SETTLE_S = 180  # it is given up then
BODY = b"x" * 200
EVERYBODY = Scope("all")


class Play:
    """One fleet. `found` gathers what there is to say."""

    def __init__(self, name: str, size: Size, seed: int, meter: Meter | None = None) -> None:
        self.size, self.plan, self.time, self.tally = size, Plan(), Timeline(), Tally()
        self.stream = Stream(World(size, self.time, self.tally, self.plan, seed))
        self.truth, self.links = self.stream.truth, self.stream.links
        self.found = Finding(name, size.gateways, size.databases, seed, "stream", "all processes", 0.0)
        for one in (*self.stream.sources, *self.stream.gateways):
            one.meter = meter
        self.cost: dict[str, float] = {}  # what follows from this machine: no part of the finding
        self._watch()

    # ---- Time ----

    @property
    def second(self) -> int:
        """The simulated second."""
        return self.time.now // SECOND_US

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.time.run(self.time.now + round(seconds * SECOND_US))

    def until(self, done: Callable[[], bool], most_s: float, step_s: float = 0.1) -> float | None:
        """How many seconds until it is so, looked at each tenth of one; None: not by then."""
        began = self.time.now
        while not done():
            if self.time.now - began >= most_s * SECOND_US:
                return None
            self.run(step_s)
        return (self.time.now - began) / SECOND_US

    def start_all(self) -> None:
        """All gateways start in the same instant."""
        self.run(BEGIN_US / SECOND_US)
        for one in range(self.size.gateways):
            self.stream.start(one)

    def settle(self) -> float | None:
        """Start all, and wait until each one has its place and a word that is no older than the bound."""
        self.start_all()
        return self.until(lambda: self.well(self.gateways), SETTLE_S)

    # ---- Questions ----

    @property
    def gateways(self) -> list[GatewayProcess]:
        """Those that run."""
        return [one for one in self.stream.gateways if one.up]

    def well(self, some: Iterable[GatewayProcess]) -> bool:
        """Whether each of them has the newest versions and says that it is no older than 5 s."""
        return all(one.up and one.core.age_us(one.now) < IN_FORCE_US and self.has_all(one) for one in some)

    def has_all(self, one: GatewayProcess) -> bool:
        """Whether it has the newest version of all its scopes."""
        heads = ((scope, one.core.head(scope)) for scope in one.scopes)
        return all((head.epoch, head.version) == self.truth.newest(scope) for scope, head in heads)

    def inside(self, zones: Iterable[int]) -> list[GatewayProcess]:
        """The gateways of zones."""
        zones = set(zones)
        return [one for one in self.stream.gateways if one.zone in zones]

    def a_relay(self) -> GatewayProcess:
        """The relay with the most children."""
        relays = [one for one in self.gateways if one.role == "relay"]
        return max(relays, key=lambda one: (one.core.children, -one.number))

    # ---- What is said of it ----

    def note(self, name: str, value: float) -> None:
        """A figure."""
        self.found.steady[name] = round(value, 3)

    def wait_for(self, event: str, most_s: float = 30.0) -> None:
        """Until a change is in force, or for so long; judged at 5 s, too."""
        began = self.time.now
        self.until(lambda: not self.truth.lacks(event), IN_FORCE_US / SECOND_US)
        late = self.truth.lacks(event)
        if late:
            self._laggards(event, late)
        self.until(lambda: not self.truth.lacks(event), most_s - (self.time.now - began) / SECOND_US)
        self.found.in_force.append(self.truth.judged(event))

    def _laggards(self, event: str, late: tuple[int, ...]) -> None:
        """Who lacks a change after 5 s says so himself, or those above count him."""
        ones = [one for one in self.stream.gateways if one.number in set(late)]
        say = sum(one.core.age_us(one.now) > IN_FORCE_US for one in ones if one.up)
        scopes = {scope for one in ones for scope in one.scopes}
        counted = max(
            (sum(six.core.lag_below(scope).behind for six in self.stream.sources if six.up) for scope in scopes),
            default=0,
        )
        self.note(f"{event}: late at 5 s", len(late))
        self.note(f"{event}: of them say that they are behind", say)
        self.note(f"{event}: counted as behind at the six", counted)
        if say + counted < len(late):
            self.truth.breaks(f"{event}: {len(late)} late after 5 s, {say} say so, {counted} are counted")

    def worst(self, name: str, since_s: int, kinds: Iterable[str] = ("Join", "Subscribe", "Report")) -> None:
        """The worst second since then, at one of the six and at all of them, and at one relay and gateway."""
        for kind in ("bytes", "messages"):
            for role, title in (("six", "one of six"), ("relay", "one relay"), ("gateway", "one gateway")):
                amount = self.tally.worst_one(role, f"control {kind}", since_s).amount
                self.note(f"{name}: {kind} in the worst second at {title}", amount)
        for word in kinds:
            counts = [count for second, count in self.links.kinds[word].items() if second >= since_s]
            self.note(f"{name}: {word} in the worst second at all six", max(counts, default=0))

    def rates(self, name: str, seconds: int) -> None:
        """Bytes, messages and processor time a second, by role, over so many seconds from now."""
        everyone: list[Process] = [*self.stream.sources, *self.gateways]
        before = {id(one): (one.bytes, one.messages, one.cpu_ns) for one in everyone}
        roles = {id(one): one.role for one in everyone}
        self.run(seconds)
        for role, title in (("gateway", "gateway"), ("relay", "relay"), ("six", "source")):
            some = [one for one in everyone if roles[id(one)] == role]
            self.note(f"{name}: {title}s", len(some))
            if not some:
                continue
            used = [(one.bytes - before[id(one)][0]) / seconds for one in some]
            self.note(f"{name}: bytes/s a {title}", sum(used) / len(some))
            self.note(f"{name}: bytes/s at the busiest {title}", max(used))
            count = sum(one.messages - before[id(one)][1] for one in some) / len(some) / seconds
            self.note(f"{name}: messages/s a {title}", count)
            if some[0].meter is not None:
                cpu = [(one.cpu_ns - before[id(one)][2]) / 1e6 / seconds for one in some]
                self.cost[f"{name}: ms of CPU a second in the cores of a {title}"] = round(sum(cpu) / len(cpu), 3)

    def memory(self) -> None:
        """Bytes of the largest core of each role, with all that it refers to, as Python has them."""
        for title, role in (("gateway", "gateway"), ("relay", "relay"), ("source", "six")):
            some: list[Process] = [one for one in (*self.gateways, *self.stream.sources) if one.role == role]
            some = some[:: max(1, len(some) // 5)]
            sizes = [size_of(one.core) for one in some if isinstance(one, GatewayProcess | SourceProcess)]
            self.note(f"KB of memory, a {title}'s core", max(sizes, default=0) / 1024)

    def finish(self) -> Finding:
        """What there is to say of it."""
        self.found.seconds = self.time.now / SECOND_US
        self.note("s by which somebody said less than the age of what it had, at most", self.truth.most_short_us / 1e6)
        self.found.broken += self.truth.broken
        return self.found

    # ---- Each second ----

    def _watch(self) -> None:
        self.time.after(SECOND_US, self._watch)
        now = self.time.now
        for one in self.stream.gateways:
            if one.up:
                age_us = one.core.age_us(one.now)
                for scope in one.scopes:
                    self.truth.check_age(one.number, one.core.head(scope), age_us, now)
        for twin in self.stream.twins:
            if twin.core.upstream:
                self.truth.breaks(f"two under {twin.name}, and both have a place")


def size_of(thing: object) -> int:
    """Bytes of an object with all that it refers to, each thing once; classes, modules and code left out."""
    seen: set[int] = set()
    stack, total = [thing], 0
    while stack:
        one = stack.pop()
        if id(one) in seen or isinstance(one, type | ModuleType | BuiltinFunctionType):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        stack += (one.__closure__ or ()) if isinstance(one, FunctionType) else gc.get_referents(one)
    return total
