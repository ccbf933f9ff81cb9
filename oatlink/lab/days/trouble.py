"""What the schedule does to boxes and clients, and how it is undone."""

import asyncio
import time
from dataclasses import dataclass

from oatlink.lab.days.clients import Clients
from oatlink.lab.days.schedule import PATHS, Step
from oatlink.lab.days.world import World, now_us
from oatlink.standins.box import Box


@dataclass
class Episode:
    """One step as it was played; -1: it was not undone."""

    step: Step
    boxes: list[Box]
    from_us: int
    to_us: int = -1


class Trouble:
    """Plays the steps of a scenario."""

    def __init__(self, world: World, clients: Clients) -> None:
        self._world, self._clients = world, clients
        self.episodes: list[Episode] = []

    async def run(self) -> None:
        """Do each step at its time, and undo it when that is due; until all is done or this is cancelled."""
        begin = time.monotonic()
        plan: list[tuple[float, int, Step, list[Box]]] = []
        for number, step in enumerate(self._world.scenario.steps):
            plan.append((step.at * self._world.seconds, number, step, []))
        undo: list[tuple[float, int, Step, list[Box]]] = []
        while plan or undo:
            queue = sorted([(one, 0) for one in plan] + [(one, 1) for one in undo], key=lambda one: one[0][:2])
            (at, number, step, boxes), back = queue[0]
            (undo if back else plan).remove(queue[0][0])
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            if back:
                self._undo(step, boxes)
                for one in self.episodes:
                    if one.step is step:
                        one.to_us = now_us()
                continue
            began_us = now_us()
            touched = await self._do(step, number)
            self.episodes.append(Episode(step, touched, began_us))
            self._world.steps.append(f"{at:.1f}s {step.do} {' '.join(one.name for one in touched)}")
            if step.back:
                undo.append((at + step.back * self._world.seconds, number, step, touched))

    def _find(self, step: Step) -> list[Box]:
        banks = self._world.embedded.banks
        if step.do in ("lose_hall", "return_hall"):
            return [box for bank in banks for at, box in enumerate(bank.boxes) if at % 3 == step.hall]
        part, _, number = step.box.partition(":")
        if part == "primary":
            found = banks[int(number)].primary
            return [found] if found is not None else []
        if part == "replica":
            bank = banks[int(number)]
            return [
                one
                for one in bank.boxes
                if one.running and not one.is_primary and self._world.embedded.states.get(one.name, "ready") == "ready"
            ][:1]
        return [self._world.embedded.boxes[step.box]] if step.box else []

    async def _do(self, step: Step, number: int) -> list[Box]:
        boxes = self._find(step)
        for box in boxes:
            faults = box.faults
            if step.do == "lag":
                faults.lag_ms = step.value
            elif step.do == "hang":
                faults.hang = True
            elif step.do == "slow":
                faults.slow = step.value
            elif step.do == "cut":
                faults.cut_replies = int(step.value)
            elif step.do == "die_on_write":
                faults.die_on_write = True
            elif step.do in PATHS:
                self._harm(box, step)
            elif step.do in ("crash", "lose_hall"):
                self._world.capture.add_event(now_us(), box.name, "stopped")
                box.stop()
            elif step.do in ("start", "return_hall"):
                self._start(box)
            elif step.do in ("drain", "remove", "ready"):
                self._tell(box, {"drain": "terminating", "remove": "gone", "ready": "ready"}[step.do])
                bank = next(one for one in self._world.embedded.banks if box in one.boxes)
                if step.do == "drain" and box.is_primary:
                    await bank.hand_over()
        if step.do == "crowd":
            await self._clients.gather_crowd(number, int(step.value))
        elif step.do == "flood":
            self._clients.flood(number, int(step.value), step.back * self._world.seconds)
        if step.do == "hand_over":
            chosen = await self._world.embedded.banks[step.bank].hand_over()
            boxes = [chosen] if chosen is not None else []
        return boxes

    def _harm(self, box: Box, step: Step, back: bool = False) -> None:
        """Something happens to one address, or is over."""
        if step.path not in box.paths:
            return
        faults = box.paths[step.path]
        if step.do == "silence":
            faults.holds_replies = not back
            if back:
                box.release_replies(step.path)
        elif step.do == "deafen":
            faults.reads_nothing = not back
        elif step.do == "lose_answers":
            faults.drops_data_replies = not back
            box.reset_connections(step.path)
        elif step.do == "slow_path":
            faults.reply_delay_ms = 0.0 if back else step.value
        elif step.do == "reset_requests":
            faults.reset_requests = int(step.value)
        elif step.do == "reset_replies":
            faults.reset_replies = int(step.value)
        elif back and box.running:
            box.open_listener(step.path)
        elif not back:
            box.close_listener(step.path)
            box.reset_connections(step.path)

    def _tell(self, box: Box, state: str) -> None:
        self._world.embedded.states[box.name] = state
        self._world.write_roster()
        self._world.capture.add_event(now_us(), box.name, {"terminating": "draining"}.get(state, state))

    def _start(self, box: Box) -> None:
        box.faults.die_on_write = False
        if not box.running:
            self._world.capture.add_event(now_us(), box.name, "started")
            box.start()

    def _undo(self, step: Step, boxes: list[Box]) -> None:
        for box in boxes:
            if step.do == "lag":
                box.faults.lag_ms = 0
            elif step.do == "hang":
                box.faults.hang = False
            elif step.do == "slow":
                box.faults.slow = 1.0
            elif step.do in PATHS:
                self._harm(box, step, back=True)
            elif step.do in ("die_on_write", "crash", "lose_hall"):
                self._start(box)
            elif step.do in ("drain", "remove"):
                self._tell(box, "ready")
        self._world.steps.append(f"back: {step.do} {' '.join(one.name for one in boxes)}")
