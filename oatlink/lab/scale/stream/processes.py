"""The processes of the stream: the real cores, and what a shell does around them. No I/O.

What may live here: when a core is ticked, which part hears a word, what becomes of an effect. A core is ticked when it
is due, no sooner than `LEAST_TICK_US` after the last time. Each process has a clock of its own, that runs fast or slow
by up to `PPM`. A keeper's file takes `DISK_US`, and outlives its process; a source's own memory does not.
"""

from collections import Counter, deque
from collections.abc import Callable
from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.control.reader import Reader
from oatlink.fleet.control.source import Source
from oatlink.fleet.messages import control as c
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.registers.proposer import Proposer
from oatlink.lab.fleetsim.time import Clock
from oatlink.lab.scale.size import region_of
from oatlink.lab.scale.stream.links import Links
from oatlink.lab.scale.stream.truth import Truth

DRIFT, PPM = 0.001, 200  # what the cores are told that a clock may be wrong by; what it is at most
LEAST_TICK_US = 1_000
DISK_US = 1_000
RELAYS = 12  # children that a gateway may have: what its 3 KB a second leave room for (docs/design/control.md)
MOST_TAPE = 400  # words kept of a gateway that may say them again
_TO_KEEPER = f.Look | f.Prepare | f.Accept | f.Copy | f.Copied
_OF_KEEPER = f.Looked | f.Promise | f.Accepted | f.Outbid

Meter = Callable[[], int]  # nanoseconds of this machine's processor; for reports of cost alone


class Process:
    """What sources and readers have in common."""

    role = "gateway"

    def __init__(self, links: Links, truth: Truth, name: str, number: int, zone: int, seed: int) -> None:
        self.name, self.number, self.zone, self.up, self.born = name, number, zone, False, 0
        self.bytes = self.messages = 0
        self.meter: Meter | None = None
        self.cpu_ns = 0
        self.dropped: Counter[str] = Counter()
        self.links, self.truth, self.seed = links, truth, seed
        draw = Random(f"{seed}/{name}/clock")
        self._clock = Clock(draw.randint(-PPM, PPM), draw.randrange(10**9))
        self._planned = f.NEVER_US
        links.ends.setdefault(name, []).append(self)

    @property
    def now(self) -> int:
        """What its own clock shows."""
        return self._clock.reads(self.links.time.now)

    @property
    def due_us(self) -> int:
        """When it is to be ticked, by its own clock."""
        raise NotImplementedError

    def tick(self) -> None:
        """Time has passed."""
        raise NotImplementedError

    def take(self, sender: str, message: f.Message) -> None:
        """A word has come."""
        raise NotImplementedError

    def stop(self) -> None:
        """The process is killed; nobody is told."""
        self.up = False
        self._planned = f.NEVER_US

    def plan(self) -> None:
        """See to it that it is ticked in time."""
        if self._planned <= self.links.time.now + LEAST_TICK_US:
            return  # no plan is any sooner
        due_us = self.due_us
        if not self.up or due_us >= f.NEVER_US:
            return
        at_us = max(self._clock.reaches(due_us), self.links.time.now + LEAST_TICK_US)
        if at_us < self._planned:
            self._planned = at_us
            self.links.time.at(at_us, self._wake, self.born, at_us)

    def _wake(self, born: int, at_us: int) -> None:
        if not self.up or self.born != born or self._planned != at_us:
            return
        self._planned = f.NEVER_US
        if self.due_us <= self.now:
            self.tick()
        self.plan()

    def _run(self, what: Callable[..., list[f.Effect]], *given: object) -> list[f.Effect]:
        if self.meter is None:
            return what(*given, self.now)
        began = self.meter()
        effects = what(*given, self.now)
        self.cpu_ns += self.meter() - began
        return effects


class GatewayProcess(Process):
    """A reader, and a relay once somebody hears it. `tape`: what it said and heard, where that is asked for."""

    def __init__(
        self,
        links: Links,
        truth: Truth,
        number: int,
        zone: int,
        groups: tuple[str, ...],
        sources: tuple[c.Place, ...],
        seed: int,
        address: str = "",
    ) -> None:
        super().__init__(links, truth, f"gateway-{number:04d}", number, zone, seed)
        self._groups, self._sources = groups, sources
        self._address = address or f"10.{number >> 8}.{number & 255}.1:7400"
        self.tape: deque[tuple[str, str, f.Message]] | None = None
        self.kills_itself_at = ""  # a scope: killed at its next change, before it passes that on

    def start(self, born: int = 0) -> None:
        """The process begins, with nothing known."""
        self.up, self.born, self.role = True, max(self.born + 1, born), "gateway"
        self.truth.begins(self.number)
        region = f"r{region_of(self.zone)}"
        place, zone = c.Place(self.name, self._address), f"z{self.zone}"
        self.core = Reader(
            place, region, zone, self._groups, self.born, self._sources, RELAYS, DRIFT, self.seed, self.now
        )
        self.scopes = ("all", f"region/{region}", f"zone/{region}/{zone}", *(f"group/{one}" for one in self._groups))
        self.plan()

    @property
    def due_us(self) -> int:
        """See `Process`."""
        return self.core.due_us

    def tick(self) -> None:
        """See `Process`."""
        self._do(self._run(self.core.tick))

    def take(self, sender: str, message: f.Message) -> None:
        """See `Process`."""
        if isinstance(message, c.Changes) and message.scope == self.kills_itself_at:
            self.stop()
            return
        if isinstance(message, c.Subscribe):
            self.role = "relay"
        if self.tape is not None:
            self.tape.append((sender, "", message))
        self._do(self._run(self.core.receive, sender, message))
        self.plan()

    def _do(self, effects: list[f.Effect]) -> None:
        for one in effects:
            if isinstance(one, f.Tell):
                if self.tape is not None:
                    self.tape.append(("", one.to, one.message))
                self.links.send(self, one.to, one.message)
            elif isinstance(one, c.InForce):
                scope = one.head.scope
                state = self.core.entries(scope) if self.core.head(scope) == one.head else None
                self.truth.in_force(self.number, one.head, state, self.links.time.now)
            elif isinstance(one, f.Note):
                self.dropped[one.event] += 1


class SourceProcess(Process):
    """One of the six. `dies_when`: "agreed" or "told": killed once its next own change has come so far."""

    role = "six"

    def __init__(
        self,
        links: Links,
        truth: Truth,
        number: int,
        places: tuple[c.Place, ...],
        keepers: tuple[str, ...],
        seed: int,
        checker: Callable[..., str],
    ) -> None:
        super().__init__(links, truth, places[number].name, number, number, seed)
        self._places, self._keepers, self._checker = places, keepers, checker
        self._kept: dict[str, f.Kept] = {}
        self._standing: f.Standing | None = None
        self.replied: dict[int, str] = {}
        self.refused: Counter[str] = Counter()
        self.most_wait_ms = 0
        self.dies_when = ""

    def start(self) -> None:
        """The process begins; its keeper has its file."""
        self.up, self.born = True, self.born + 1
        place, region = self._places[self.number], f"r{region_of(self.zone)}"
        self.core = Source(place, region, self.born, self._places, DRIFT, self.seed, self._checker, self.now)
        draw = Random(f"{self.seed}/{self.name}/{self.born}")
        self._proposer = Proposer(self.name, self.born, self._keepers, draw.getrandbits(48))
        self._acceptor: Acceptor | None = None
        if self.name in self._keepers:
            first = self._standing is None
            self._acceptor = Acceptor(
                self.name, self._keepers, self._kept.values(), self._standing, draw.getrandbits(48), first
            )
        self.tick()
        self.plan()

    @property
    def due_us(self) -> int:
        """See `Process`."""
        due_us = min(self.core.due_us, self._proposer.due_us)
        return due_us if self._acceptor is None else min(due_us, self._acceptor.due_us)

    def tick(self) -> None:
        """See `Process`."""
        now = self.now
        if now >= self.core.due_us:
            self._do(self._run(self.core.tick))
        if now >= self._proposer.due_us:
            self._do(self._run(self._proposer.tick))
        if self._acceptor is not None and now >= self._acceptor.due_us:
            self._do(self._run(self._acceptor.tick))

    def take(self, sender: str, message: f.Message) -> None:
        """See `Process`."""
        if isinstance(message, _TO_KEEPER):
            if self._acceptor is not None:
                self._do(self._run(self._acceptor.receive, sender, message))
        elif isinstance(message, _OF_KEEPER):
            self._do(self._run(self._proposer.receive, sender, message))
        else:
            self._do(self._run(self.core.receive, sender, message))
        self.plan()

    def offer(self, ticket: int, scope: str, entries: tuple[c.Entry, ...]) -> None:
        """An operator's change, made for whatever is in force."""
        self._do(self._run(self.core.offer, ticket, scope, entries, -1))
        self.plan()

    def _do(self, effects: list[f.Effect]) -> None:
        for one in effects:
            if not self.up:
                return
            if isinstance(one, f.Tell):
                self._tell(one)
            elif isinstance(one, f.Read):
                self._do(self._run(self._proposer.read, one.ask, one.key))
            elif isinstance(one, f.Change):
                self._do(self._run(self._proposer.change, one.ask, one.key, one.fence, one.value))
            elif isinstance(one, f.Answer):
                if one.how == "changed" and self.dies_when == "agreed" and b"config/" in one.value:
                    self.stop()
                    return
                self._do(self._run(self.core.answered, one))
            elif isinstance(one, f.Keep):
                self._kept.update({kept.key: kept for kept in one.registers})
                self._standing = one.standing or self._standing
                self.links.time.after(DISK_US, self._voted, self.born, one.then)
            elif isinstance(one, c.InForce):
                self.truth.agreed(one, self.links.time.now)
            elif isinstance(one, f.Replied):
                self.replied[one.ticket] = one.text

    def _voted(self, born: int, tells: tuple[f.Tell, ...]) -> None:
        if self.up and self.born == born:
            for one in tells:
                self._tell(one)
            self.plan()

    def _tell(self, one: f.Tell) -> None:
        message = one.message
        if one.to == self.name:
            self.links.time.after(0, self._own, self.born, message)
            return
        if isinstance(message, c.Seat):
            self.most_wait_ms = max(self.most_wait_ms, message.wait_ms)
        elif isinstance(message, c.Refused):
            self.refused[message.reason] += 1
        self.links.send(self, one.to, message)
        told = isinstance(message, c.Committed) and any(one.key.startswith("config/") for one in message.delta.entries)
        if told and self.dies_when == "told":
            self.stop()

    def _own(self, born: int, message: f.Message) -> None:
        if self.up and self.born == born:
            self.take(self.name, message)
