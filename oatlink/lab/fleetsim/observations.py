"""Members of banks as gateways observe them: healthy or not, and how far they are in their replication history.

The module decides what is true of a member, and what each gateway observes of it and when.
"""

from random import Random
from typing import TYPE_CHECKING

from oatlink.fleet.verdicts.spread import ROUND_US, most_rounds

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.world import World

INTERVAL_US = 70_000
FAILURE_KINDS = ("hung", "refused", "reset", "full")


class Observations:
    """The observations of all members. `unhealthy` has when a member's fault ends, and what gateways observe of it.

    With `is_measuring_spread` there is one observation a second, and the spread of each is counted.
    """

    def __init__(self, world: "World", seed: int, is_enabled: bool, is_measuring_spread: bool) -> None:
        self._world, self._draw = world, Random(f"{seed}/sights")
        self.unhealthy: dict[str, tuple[int, str]] = {}
        # Each member's histories with the times at which they began.
        self._histories: dict[str, list[tuple[str, int]]] = {name: [("h0", 0)] for name in world.members}
        self._is_measuring_spread = is_measuring_spread
        self._observation_count = 0
        if is_enabled:
            world.time.after(INTERVAL_US, self._observe)

    def offset(self, member: str) -> int:
        """The member's offset in its present history."""
        return (self._world.time.now - self._histories[member][-1][1]) // 1_000

    def highest_offset(self, member: str, history: str) -> int:
        """The highest offset that the member ever reached in a history, -1 for a history that it never had."""
        histories = self._histories[member]
        for index, (name, begin_us) in enumerate(histories):
            if name == history:
                end_us = histories[index + 1][1] if index + 1 < len(histories) else self._world.time.now
                return (end_us - begin_us) // 1_000
        return -1

    def restart_member(self, member: str) -> None:
        """Start the member again without data, in a new history."""
        histories = self._histories[member]
        histories.append((f"h{len(histories)}", self._world.time.now))

    def _observe(self) -> None:
        world, draw = self._world, self._draw
        if self._is_measuring_spread:
            world.time.after(1_000_000, self._observe)
            self._observe_once()
            return
        world.time.after(INTERVAL_US, self._observe)
        for name in world.names:
            member = draw.choice(list(world.members))
            until_us, failure = self.unhealthy.get(member, (0, ""))
            is_unhealthy, chance = world.time.now < until_us, draw.random()
            process = world.machines[name].process
            if process is None:
                continue
            if chance < 0.2 and not is_unhealthy:
                histories = self._histories[member]
                # The position may be outdated by up to two seconds.
                offset = max(0, self.offset(member) - draw.randrange(2_000))
                process.deliver(process.observe, member, "position", histories[-1][0], offset)
            elif chance < 0.25:
                process.deliver(process.observe, member, draw.choice(("primary", "cold_fall")), "", -1)
            elif is_unhealthy or chance < 0.8:
                process.deliver(process.observe, member, failure if is_unhealthy else "served", "", -1)

    def _observe_once(self) -> None:
        world = self._world
        self._observation_count += 1
        member = list(world.members)[self._observation_count % len(world.members)]
        name = self._draw.choice(world.names)
        process = world.machines[name].process
        if process is not None and process.node is not None:
            process.deliver(process.observe, member, "hung", "", -1)
            bound_us = int(most_rounds(len(world.names)) * (ROUND_US + 1_000) * (1 + 2 * world.drift))
            world.time.after(bound_us, world.checkers.verdicts.count_spread, (name, member, "hung"))
