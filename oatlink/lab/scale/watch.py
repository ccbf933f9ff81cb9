"""Which gateway goes by which version when, looked at each tenth of a simulated second, or more rarely: no change.

Waits are kept as counts by length, so that 6,100 changes at 3,600 gateways take no more room than a few do.
"""

from collections import Counter, defaultdict

from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.carrier import Carrier, Change, Scope
from oatlink.lab.scale.judge import Forward, Waits

LOOK_US = 100_000


class Watch:
    """Offers changes to a carrier, and sees when each gateway that takes the scope goes by them."""

    def __init__(
        self, time: Timeline, carrier: Carrier, gateways: int, forward: Forward, look_us: int = LOOK_US
    ) -> None:
        """`look_us`: how often it looks, which is how exact its waits are."""
        self._look_us = look_us
        self._time, self._carrier, self._gateways, self._forward = time, carrier, gateways, forward
        self._offers: dict[Scope, list[tuple[int, int]]] = defaultdict(list)  # version, when
        self._next: Counter[tuple[Scope, int]] = Counter()  # the first offer that a gateway does not go by yet
        self._takers: dict[Scope, list[int]] = {}
        self._waits = Waits()
        self._down: set[int] = set()
        time.after(look_us, self._look)

    def offer(self, scope: Scope, body: bytes) -> None:
        """The next version of a scope."""
        version = len(self._offers[scope]) + 1
        self._offers[scope].append((version, self._time.now))
        if scope not in self._takers:
            self._takers[scope] = [one for one in range(self._gateways) if scope.takes(one)]
        self._waits.expect(f"{scope}/{version}", len(self._takers[scope]))
        self._carrier.offer(Change(scope, version, body))

    def down(self, gateway: int) -> None:
        """Its process has ended: what it held binds the next one no more."""
        self._down.add(gateway)
        self._forward.begins(gateway)

    def up(self, gateway: int) -> None:
        """Its process has begun."""
        self._down.discard(gateway)

    def _look(self) -> None:
        self._time.after(self._look_us, self._look)
        now = self._time.now
        for scope, offers in self._offers.items():
            for one in self._takers[scope]:
                if one in self._down:
                    continue
                held = self._carrier.held(one, scope)
                self._forward.look(one, scope, held)
                at = self._next[scope, one]
                while at < len(offers) and offers[at][0] <= held:
                    self._waits.saw(f"{scope}/{offers[at][0]}", now - offers[at][1])
                    at += 1
                self._next[scope, one] = at

    def waits(self) -> Waits:
        """All of it, with some of those named that do not go by the newest."""
        for scope, offers in self._offers.items():
            for one in self._takers[scope]:
                if self._next[scope, one] < len(offers):
                    self._waits.name(f"gateway {one}")
        return self._waits
