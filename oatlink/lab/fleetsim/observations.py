"""Members of banks as gateways see them: ill or well, and how far in their history.

What may live here: what is true of a member, and which of it a gateway notices when.
"""

from random import Random
from typing import TYPE_CHECKING

from oatlink.fleet.verdicts.spread import ROUND_US, most_rounds

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.world import World

EACH_US = 70_000
ILL = ("hung", "refused", "reset", "full")


class Sights:
    """All members. `ill`: until when, and how it shows."""

    def __init__(self, world: "World", seed: int, on: bool) -> None:
        self._world, self._draw = world, Random(f"{seed}/sights")
        self.ill: dict[str, tuple[int, str]] = {}
        self._births: dict[str, list[tuple[str, int]]] = {name: [("h0", 0)] for name in world.members}
        self.fresh = False  # one word at a time, and a look at how far it came
        self._turn = 0
        if on:
            world.time.after(EACH_US, self._come)

    def offset(self, member: str) -> int:
        """How far it is in its present history."""
        return (self._world.time.now - self._births[member][-1][1]) // 1_000

    def holds(self, member: str, history: str) -> int:
        """The most that it ever held of a history, -1 for one that it never had."""
        births = self._births[member]
        for at, (name, born) in enumerate(births):
            if name == history:
                end = births[at + 1][1] if at + 1 < len(births) else self._world.time.now
                return (end - born) // 1_000
        return -1

    def anew(self, member: str) -> None:
        """It starts again with nothing, in a history of its own."""
        births = self._births[member]
        births.append((f"h{len(births)}", self._world.time.now))

    def _come(self) -> None:
        world, draw = self._world, self._draw
        if self.fresh:
            world.time.after(1_000_000, self._come)
            self._one_word()
            return
        world.time.after(EACH_US, self._come)
        for name in world.names:
            member = draw.choice(list(world.members))
            until, how = self.ill.get(member, (0, ""))
            ill, chance = world.time.now < until, draw.random()
            process = world.machines[name].process
            if process is None:
                continue
            if chance < 0.2 and not ill:
                births = self._births[member]
                # Old news at times: what it held a while ago.
                offset = max(0, self.offset(member) - draw.randrange(2_000))
                process.come(process.saw, member, "position", births[-1][0], offset)
            elif chance < 0.25:
                process.come(process.saw, member, draw.choice(("primary", "cold_fall")), "", -1)
            elif ill or chance < 0.8:
                process.come(process.saw, member, how if ill else "served", "", -1)

    def _one_word(self) -> None:
        world = self._world
        self._turn += 1
        member = list(world.members)[self._turn % len(world.members)]
        name = self._draw.choice(world.names)
        process = world.machines[name].process
        if process is not None and process.node is not None:
            process.come(process.saw, member, "hung", "", -1)
            bound_us = int(most_rounds(len(world.names)) * (ROUND_US + 1_000) * (1 + 2 * world.drift))
            world.time.after(bound_us, world.judges.verdicts.look, (name, member, "hung"), world.time.now)
