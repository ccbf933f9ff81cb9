"""A carrier for tests: every change is at every gateway after a while of its own. It can be spoilt on purpose."""

from random import Random

from oatlink.lab.scale.carrier import BYTES, MESSAGES, Change, Scope, World

WAY_US = 400_000


class Direct:
    """One machine tells each gateway. Faults: `deaf` gateways, `slow` ones by so long, `takes_old` news."""

    name = "direct"
    deaf: frozenset[int] = frozenset()
    slow: dict[int, int] = {}
    takes_old = False

    def __init__(self, world: World) -> None:
        self._world, self._draw = world, Random(world.seed)
        self._newest: dict[Scope, int] = {}
        self._held: dict[tuple[int, Scope], int] = {}
        self._up: set[int] = set()

    def offer(self, change: Change) -> None:
        self._newest[change.scope] = change.version
        for one in sorted(self._up):
            self._tell(one, change.scope, change.version, len(change.body))

    def _tell(self, gateway: int, scope: Scope, version: int, size: int) -> None:
        world = self._world
        if scope.takes(gateway) and gateway not in self.deaf:
            world.tally.spread("six", BYTES, world.time.now, size)
            world.tally.spread("six", MESSAGES, world.time.now, 1)
            wait_us = self._draw.randrange(WAY_US) + self.slow.get(gateway, 0)
            world.time.after(wait_us, self._take, gateway, scope, version, size)

    def _take(self, gateway: int, scope: Scope, version: int, size: int) -> None:
        world = self._world
        world.tally.add("gateway", gateway, BYTES, world.time.now, size)
        world.tally.add("gateway", gateway, MESSAGES, world.time.now)
        if gateway in self._up and (self.takes_old or version > self.held(gateway, scope)):
            self._held[gateway, scope] = version

    def held(self, gateway: int, scope: Scope) -> int:
        return self._held.get((gateway, scope), 0)

    def start(self, gateway: int) -> None:
        self._up.add(gateway)
        for scope, version in self._newest.items():
            self._tell(gateway, scope, version, 200)

    def stop(self, gateway: int) -> None:
        self._up.discard(gateway)
        self._held = {key: version for key, version in self._held.items() if key[0] != gateway}

    def replay(self, gateway: int) -> None:
        for scope in self._newest:
            for one in sorted(self._up):
                self._tell(one, scope, 1, 200)

    def twin(self, gateway: int) -> None:
        """It is told what the first one is told."""

    def bytes_so_far(self, role: str) -> float:
        return self._world.tally.total(role, BYTES)

    def messages_so_far(self, role: str) -> float:
        return self._world.tally.total(role, MESSAGES)


class Deaf(Direct):
    deaf = frozenset({7})


class Slow(Direct):
    slow = {3: 9_000_000}


class TakesOld(Direct):
    takes_old = True
