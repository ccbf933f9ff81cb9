"""One process of a gateway: what `fleet.shell.node` does around the cores, with the world in place of the sockets.

What may live here: the order in which a shell carries things out, and where it can be torn: between two effects
(`falls_in`), and between a core's look at the clock and the first effect (`stalls_us`). While a process stands still
what comes is kept for it, as in sockets' buffers and timers; some of it is dropped where that is full.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from oatlink.fleet import messages as f
from oatlink.fleet.gate import Alone
from oatlink.fleet.gating import FleetGate
from oatlink.fleet.node import Node
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.registers.proposer import Proposer
from oatlink.lab.fleetsim.commits import Commits
from oatlink.lab.fleetsim.violation import Violation

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.world import Machine, World

LOOK_US = 100_000
LEAVE_US = 1_300_000
LEAVING_US = 20_000
MOST_HELD = 2_000  # what sockets keep for a process that stands still
PROBE = 1 << 50  # a probe's incarnations are apart from the nodes'


class Process:
    """A gateway from its start to its end. `node` is None where the name was taken: it serves alone."""

    def __init__(self, world: "World", machine: "Machine", seed: int) -> None:
        self.world, self.machine, self.name = world, machine, machine.name
        self.draw = Random(seed)
        self.up, self.alone, self.ends_us = True, False, 0
        self.stopped_until = self.stalls_us = 0
        self.falls_in = -1  # effects until it falls, below 0: it does not
        self.held: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.incarnation = self.draw.getrandbits(48)
        self.gate = FleetGate(world.fleet_of(self.name), world.members, seed)
        self.node: Node | None = None
        self.probe: Proposer | None = None
        self.told: dict[Any, int] = {}  # for the checkers: what was last known of this process
        self.commits = Commits(self)
        self._timer = 0

    # ---- Life ----

    def start(self) -> None:
        """Open the port and the file, and take part."""
        world, clock = self.world, self.clock()
        if not self.machine.bind(self):
            self.alone = True
            self._tell(Alone())
            return
        fleet = world.fleet_of(self.name)
        keeper = None
        if fleet.own_node.keeper:
            file, life = self.machine.disk.file, self.draw.getrandbits(40)
            kept = tuple(file.registers.values()) if file.standing is not None else ()
            keeper = Acceptor(self.name, fleet.keepers, kept, file.standing, life, False)
        seed = self.draw.getrandbits(48) ^ self.incarnation
        members = world.members
        self.node = Node(fleet, members, world.longest_us, self.incarnation, seed, clock, keeper)
        self.probe = Proposer(self.name, self.incarnation | PROBE, fleet.keepers, seed)
        self._look()

    def crash(self) -> None:
        """It is gone; of the commit under way a part may be on disk."""
        if self.up:
            self.up = False
            self.commits.fell()
            self.machine.gone(self)
            self.world.judges.ended(self)

    def falls(self, down_us: int = 100_000) -> None:
        """It falls, and starts again soon."""
        if self.up:
            self.crash()
            self.machine.starts_in(down_us)

    def clock(self) -> int:
        """What this machine's clock shows."""
        return self.machine.clock.reads(self.world.time.now)

    def plan(self, wait_us: int, what: Callable[..., None], *given: Any) -> None:
        """Do something after so long by the own clock."""
        world = self.world
        when = self.machine.clock.reaches(self.clock() + wait_us)
        world.time.at(when, self.come, what, *given)

    def come(self, what: Callable[..., None], *given: Any) -> None:
        """Something happens to this process, now or once it goes on."""
        if not self.up:
            return
        if self.world.time.now >= self.stopped_until and not self.held:
            what(*given)
        elif len(self.held) < MOST_HELD or what == self._look:
            self.held.append((what, given))

    def stop(self, us: int) -> None:
        """It stands still for so long."""
        if self.up:
            self.stopped_until = max(self.stopped_until, self.world.time.now + us)
            self.world.time.at(self.stopped_until, self._goes_on)

    def wake(self) -> None:
        """It goes on now."""
        self.stopped_until = self.world.time.now
        self._goes_on()

    def _goes_on(self) -> None:
        if not self.up or self.world.time.now < self.stopped_until or not self.held:
            return
        held = list(self.held)
        self.held.clear()
        if self.draw.random() < 0.3 and held[0][0] != self._carry_all:
            self.draw.shuffle(held)
        for at, (what, given) in enumerate(held):
            if not self.up:
                return
            if self.world.time.now < self.stopped_until:
                self.held.extend(held[at:])
                return
            what(*given)

    def leave(self) -> None:
        """An orderly end."""
        if self.node is None:
            self.crash()
        elif not self.ends_us:
            self.ends_us = self.clock() + LEAVE_US
            self._do(lambda node, now: node.leave(now))
            self.plan(LEAVING_US, self._leaving)

    def _leaving(self) -> None:
        assert self.node is not None
        if self.node.gone(self.clock()) or self.clock() >= self.ends_us:
            self.plan(50_000, self.falls)
            return
        self._do(lambda node, now: node.tick((), (), now))
        self.plan(LEAVING_US, self._leaving)

    # ---- Inputs ----

    def heard(self, sender: str, message: f.Message) -> None:
        """A frame has come."""
        if isinstance(message, f.Promise | f.Accepted | f.Outbid | f.Looked):
            self.world.judges.registers.answered(self, sender, message)
            if self.probe is not None:
                self.probed(self._call(self.probe.receive, sender, message, self.clock()))
        self._do(lambda node, now: node.receive(sender, message, now))

    def tick(self) -> None:
        """Time has passed, or a request waits."""
        self._do(lambda node, now: node.tick(self.gate.demands(now), self.world.busy(self), now))
        if self.probe is not None and self.probe.due_us <= self.clock():
            self.probed(self._call(self.probe.tick, self.clock()))

    def saw(self, member: str, kind: str, history: str, offset: int) -> None:
        """The gateway sees something of a member."""
        if self.node is not None:
            self.world.judges.verdicts.saw(self, member, kind)
            self._do(lambda node, now: node.saw(member, kind, history, offset, now))

    def given(self, what: Callable[[Node, int], list[f.Effect]]) -> None:
        """Any other input of the node's."""
        self._do(what)

    def _look(self) -> None:
        if not self.ends_us:
            self.plan(LOOK_US, self._look)
            self.tick()

    def _timed(self, number: int) -> None:
        if number == self._timer:
            self.tick()

    # ---- Effects ----

    def _call(self, what: Callable[..., list[f.Effect]], *given: Any) -> list[f.Effect]:
        try:
            return what(*given)
        except Violation:
            raise
        except Exception as error:  # noqa: BLE001
            raise Violation("a core raised", f"{self.name}: {type(error).__name__}: {error}") from error

    def _do(self, what: Callable[[Node, int], list[f.Effect]]) -> None:
        if self.node is None or not self.up:
            return
        effects = self._call(what, self.node, self.clock())
        self.world.judges.looked(self)
        if self.stalls_us:
            # It stands still right after the core's look at the clock.
            self.stop(self.stalls_us)
            self.stalls_us = 0
            self.held.appendleft((self._carry_all, (effects,)))
            return
        self._carry_all(effects)

    def _carry_all(self, effects: list[f.Effect]) -> None:
        assert self.node is not None
        for one in effects:
            if self.falls_in == 0:
                self.falls()
                return
            self.falls_in -= self.falls_in > 0
            self._carry(one)
        wait_us = self.node.due_us - self.clock()
        if wait_us < LOOK_US:
            self._timer += 1
            self.plan(max(wait_us, 1_000), self._timed, self._timer)

    def _carry(self, one: f.Effect) -> None:
        if isinstance(one, f.Tell):
            self.send(one)
        elif isinstance(one, f.Keep):
            self.commits.keep(one)
        elif isinstance(one, f.Tuned):
            self._tell(one.news)
        else:
            self.world.errand(self, one)

    def send(self, one: f.Tell) -> None:
        """A message to a node, or to this one."""
        if isinstance(one.message, f.Accept):
            self.world.judges.registers.offered(one.message)
        if one.to == self.name:
            self.heard(one.to, one.message)
        else:
            self.world.send(self, one.to, one.message)

    def _tell(self, news: Any) -> None:
        now = self.clock()
        try:
            self.gate.hear(news, now)
        except Exception as error:  # noqa: BLE001
            raise Violation("a core raised", f"gate of {self.name}: {error}") from error
        self.world.judges.told(self, news, now)

    def probed(self, effects: list[f.Effect]) -> None:
        """Carry out what the probe asks for."""
        assert self.probe is not None
        for one in effects:
            if isinstance(one, f.Answer):
                self.world.judges.registers.found(self, one)
            elif isinstance(one, f.Tell):
                self.send(one)
