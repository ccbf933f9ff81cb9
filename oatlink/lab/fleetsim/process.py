"""One gateway process: what the fleet's shell does around the cores, with the simulated world in place of sockets.

It models the order in which a shell applies effects, and where that can be interrupted: between two effects
(`effects_until_crash`), and between a core's reading of the clock and the first effect (`next_stall_us`). While a
process is paused, its input waits, as in the buffers of sockets and in timers; input beyond the limit is dropped.
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

TICK_INTERVAL_US = 100_000
MAX_LEAVE_US = 1_300_000
LEAVE_TICK_INTERVAL_US = 20_000
MAX_PENDING = 2_000  # inputs that the buffers of sockets keep for a paused process
PROBE_INCARNATION_BIT = 1 << 50  # keeps the incarnations of probes apart from those of nodes


class Process:
    """A gateway process from start to end.

    `node` is None if another process has taken the name; the gateway then runs without the fleet.
    """

    def __init__(self, world: "World", machine: "Machine", seed: int) -> None:
        self.world, self.machine, self.name = world, machine, machine.name
        self.draw = Random(seed)
        self.up, self.is_alone, self.leave_deadline_us = True, False, 0
        self.paused_until_us = self.next_stall_us = 0
        self.effects_until_crash = -1  # below 0: it does not crash
        self.pending: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.incarnation = self.draw.getrandbits(48)
        self.gate = FleetGate(world.fleet_of(self.name), world.members, seed)
        self.node: Node | None = None
        self.probe: Proposer | None = None
        self.known_lease_ends: dict[Any, int] = {}  # used by the lease checker
        self.commits = Commits(self)
        self._timer = 0

    # ---- Lifecycle ----

    def start(self) -> None:
        """Bind the port, read the file and join the fleet."""
        world, clock = self.world, self.clock()
        if not self.machine.bind(self):
            self.is_alone = True
            self._notify_gate(Alone())
            return
        fleet = world.fleet_of(self.name)
        acceptor = None
        if fleet.own_node.keeper:
            file, life = self.machine.disk.file, self.draw.getrandbits(40)
            kept = tuple(file.registers.values()) if file.standing is not None else ()
            acceptor = Acceptor(self.name, fleet.keepers, kept, file.standing, life, False)
        seed = self.draw.getrandbits(48) ^ self.incarnation
        members = world.members
        self.node = Node(fleet, members, world.max_request_us, self.incarnation, seed, clock, acceptor)
        self.probe = Proposer(self.name, self.incarnation | PROBE_INCARNATION_BIT, fleet.keepers, seed)
        self._periodic_tick()

    def crash(self) -> None:
        """End the process at once; a part of the commit in progress may reach the disk."""
        if self.up:
            self.up = False
            self.commits.process_crashed()
            self.machine.process_ended(self)
            self.world.checkers.process_ended(self)

    def crash_and_restart(self, down_us: int = 100_000) -> None:
        """Crash, and start a new process after `down_us`."""
        if self.up:
            self.crash()
            self.machine.start_after(down_us)

    def clock(self) -> int:
        """What this machine's clock shows."""
        return self.machine.clock.reads(self.world.time.now)

    def schedule(self, wait_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay by the machine's own clock."""
        world = self.world
        when = self.machine.clock.reaches(self.clock() + wait_us)
        world.time.at(when, self.deliver, callback, *arguments)

    def deliver(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Make a call now, or once the process is no longer paused."""
        if not self.up:
            return
        if self.world.time.now >= self.paused_until_us and not self.pending:
            callback(*arguments)
        elif len(self.pending) < MAX_PENDING or callback == self._periodic_tick:
            self.pending.append((callback, arguments))

    def pause(self, us: int) -> None:
        """Pause the process for a while."""
        if self.up:
            self.paused_until_us = max(self.paused_until_us, self.world.time.now + us)
            self.world.time.at(self.paused_until_us, self._run_pending)

    def resume(self) -> None:
        """End a pause now."""
        self.paused_until_us = self.world.time.now
        self._run_pending()

    def _run_pending(self) -> None:
        if not self.up or self.world.time.now < self.paused_until_us or not self.pending:
            return
        pending = list(self.pending)
        self.pending.clear()
        if self.draw.random() < 0.3 and pending[0][0] != self._apply_effects:
            self.draw.shuffle(pending)
        for index, (callback, arguments) in enumerate(pending):
            if not self.up:
                return
            if self.world.time.now < self.paused_until_us:
                self.pending.extend(pending[index:])
                return
            callback(*arguments)

    def leave(self) -> None:
        """Begin an orderly shutdown."""
        if self.node is None:
            self.crash()
        elif not self.leave_deadline_us:
            self.leave_deadline_us = self.clock() + MAX_LEAVE_US
            self.call_node(lambda node, now: node.leave(now))
            self.schedule(LEAVE_TICK_INTERVAL_US, self._continue_leave)

    def _continue_leave(self) -> None:
        assert self.node is not None
        if self.node.gone(self.clock()) or self.clock() >= self.leave_deadline_us:
            self.schedule(50_000, self.crash_and_restart)
            return
        self.call_node(lambda node, now: node.tick((), (), now))
        self.schedule(LEAVE_TICK_INTERVAL_US, self._continue_leave)

    # ---- Inputs ----

    def receive(self, sender: str, message: f.Message) -> None:
        """Handle a frame that has arrived."""
        if isinstance(message, f.Promise | f.Accepted | f.Outbid | f.Looked):
            self.world.checkers.registers.vote_received(self, sender, message)
            if self.probe is not None:
                self.apply_probe_effects(self._call_core(self.probe.receive, sender, message, self.clock()))
        self.call_node(lambda node, now: node.receive(sender, message, now))

    def tick(self) -> None:
        """Let the cores act on the passing of time and on requests that wait."""
        self.call_node(lambda node, now: node.tick(self.gate.demands(now), self.world.busy_versions(self), now))
        if self.probe is not None and self.probe.due_us <= self.clock():
            self.apply_probe_effects(self._call_core(self.probe.tick, self.clock()))

    def observe(self, member: str, kind: str, history: str, offset: int) -> None:
        """Handle the gateway's own observation of a member."""
        if self.node is not None:
            self.world.checkers.verdicts.member_observed(self, member, kind)
            self.call_node(lambda node, now: node.saw(member, kind, history, offset, now))

    def call_node(self, method: Callable[[Node, int], list[f.Effect]]) -> None:
        """Call the node, check its leases and apply the effects that it returns."""
        if self.node is None or not self.up:
            return
        effects = self._call_core(method, self.node, self.clock())
        self.world.checkers.node_called(self)
        if self.next_stall_us:
            # The process is paused right after the core has read the clock.
            self.pause(self.next_stall_us)
            self.next_stall_us = 0
            self.pending.appendleft((self._apply_effects, (effects,)))
            return
        self._apply_effects(effects)

    def _periodic_tick(self) -> None:
        if not self.leave_deadline_us:
            self.schedule(TICK_INTERVAL_US, self._periodic_tick)
            self.tick()

    def _timer_expired(self, number: int) -> None:
        if number == self._timer:
            self.tick()

    # ---- Effects ----

    def _call_core(self, method: Callable[..., list[f.Effect]], *arguments: Any) -> list[f.Effect]:
        try:
            return method(*arguments)
        except Violation:
            raise
        except Exception as error:  # noqa: BLE001
            raise Violation("a core raised", f"{self.name}: {type(error).__name__}: {error}") from error

    def _apply_effects(self, effects: list[f.Effect]) -> None:
        assert self.node is not None
        for effect in effects:
            if self.effects_until_crash == 0:
                self.crash_and_restart()
                return
            self.effects_until_crash -= self.effects_until_crash > 0
            self._apply_effect(effect)
        wait_us = self.node.due_us - self.clock()
        if wait_us < TICK_INTERVAL_US:
            self._timer += 1
            self.schedule(max(wait_us, 1_000), self._timer_expired, self._timer)

    def _apply_effect(self, effect: f.Effect) -> None:
        if isinstance(effect, f.Tell):
            self.send(effect)
        elif isinstance(effect, f.Keep):
            self.commits.enqueue(effect)
        elif isinstance(effect, f.Tuned):
            self._notify_gate(effect.news)
        else:
            self.world.run_task(self, effect)

    def send(self, tell: f.Tell) -> None:
        """Send a message to another node, or hand it to this one."""
        if isinstance(tell.message, f.Accept):
            self.world.checkers.registers.accept_sent(tell.message)
        if tell.to == self.name:
            self.receive(tell.to, tell.message)
        else:
            self.world.send(self, tell.to, tell.message)

    def _notify_gate(self, news: Any) -> None:
        now = self.clock()
        try:
            self.gate.hear(news, now)
        except Exception as error:  # noqa: BLE001
            raise Violation("a core raised", f"gate of {self.name}: {error}") from error
        self.world.checkers.gate_notified(self, news, now)

    def apply_probe_effects(self, effects: list[f.Effect]) -> None:
        """Apply the effects that the probe has returned."""
        assert self.probe is not None
        for effect in effects:
            if isinstance(effect, f.Answer):
                self.world.checkers.registers.probe_answered(self, effect)
            elif isinstance(effect, f.Tell):
                self.send(effect)
