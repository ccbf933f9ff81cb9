"""Runs the steps of a schedule against boxes and clients, and undoes them."""

import asyncio
import time
from dataclasses import dataclass

from oatlink.lab.days.clients import Clients
from oatlink.lab.days.schedule import PATH_FAULTS, Step
from oatlink.lab.days.world import World, now_us
from oatlink.standins.box import Box


@dataclass
class Episode:
    """One step as it was run; `to_us` is -1 if it was not undone."""

    step: Step
    boxes: list[Box]
    from_us: int
    to_us: int = -1


class StepRunner:
    """Runs the steps of a scenario."""

    def __init__(self, world: World, clients: Clients) -> None:
        self._world, self._clients = world, clients
        self.episodes: list[Episode] = []

    async def run(self) -> None:
        """Run each step at its time and undo it when that is due, until all is done or this is cancelled."""
        start_s = time.monotonic()
        pending: list[tuple[float, int, Step, list[Box]]] = []
        for number, step in enumerate(self._world.scenario.steps):
            pending.append((step.at * self._world.seconds, number, step, []))
        undos: list[tuple[float, int, Step, list[Box]]] = []
        while pending or undos:
            queue = sorted(
                [(item, 0) for item in pending] + [(item, 1) for item in undos], key=lambda entry: entry[0][:2]
            )
            (at_s, number, step, boxes), is_undo = queue[0]
            (undos if is_undo else pending).remove(queue[0][0])
            await asyncio.sleep(max(0.0, start_s + at_s - time.monotonic()))
            if is_undo:
                self._undo(step, boxes)
                for episode in self.episodes:
                    if episode.step is step:
                        episode.to_us = now_us()
                continue
            from_us = now_us()
            affected = await self._run_step(step, number)
            self.episodes.append(Episode(step, affected, from_us))
            self._world.steps.append(f"{at_s:.1f}s {step.do} {' '.join(box.name for box in affected)}")
            if step.back:
                undos.append((at_s + step.back * self._world.seconds, number, step, affected))

    def _select_boxes(self, step: Step) -> list[Box]:
        banks = self._world.embedded.banks
        if step.do in ("lose_hall", "return_hall"):
            return [box for bank in banks for index, box in enumerate(bank.boxes) if index % 3 == step.hall]
        role, _, number = step.box.partition(":")
        if role == "primary":
            primary = banks[int(number)].primary
            return [primary] if primary is not None else []
        if role == "replica":
            bank = banks[int(number)]
            return [
                box
                for box in bank.boxes
                if box.running and not box.is_primary and self._world.embedded.states.get(box.name, "ready") == "ready"
            ][:1]
        return [self._world.embedded.boxes[step.box]] if step.box else []

    async def _run_step(self, step: Step, number: int) -> list[Box]:
        boxes = self._select_boxes(step)
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
            elif step.do in PATH_FAULTS:
                self._set_path_fault(box, step)
            elif step.do in ("crash", "lose_hall"):
                self._world.capture.add_event(now_us(), box.name, "stopped")
                box.stop()
            elif step.do in ("start", "return_hall"):
                self._start(box)
            elif step.do in ("drain", "remove", "ready"):
                self._announce(box, {"drain": "terminating", "remove": "gone", "ready": "ready"}[step.do])
                bank = next(bank for bank in self._world.embedded.banks if box in bank.boxes)
                if step.do == "drain" and box.is_primary:
                    await bank.hand_over()
        if step.do == "crowd":
            await self._clients.start_crowd(number, int(step.value))
        elif step.do == "flood":
            self._clients.start_flood(number, int(step.value), step.back * self._world.seconds)
        if step.do == "hand_over":
            promoted = await self._world.embedded.banks[step.bank].hand_over()
            boxes = [promoted] if promoted is not None else []
        return boxes

    def _set_path_fault(self, box: Box, step: Step, undo: bool = False) -> None:
        """Set a fault of one address of a box, or undo it."""
        if step.path not in box.paths:
            return
        faults = box.paths[step.path]
        if step.do == "silence":
            faults.holds_replies = not undo
            if undo:
                box.release_replies(step.path)
        elif step.do == "deafen":
            faults.reads_nothing = not undo
        elif step.do == "lose_answers":
            faults.drops_data_replies = not undo
            box.reset_connections(step.path)
        elif step.do == "slow_path":
            faults.reply_delay_ms = 0.0 if undo else step.value
        elif step.do == "reset_requests":
            faults.reset_requests = int(step.value)
        elif step.do == "reset_replies":
            faults.reset_replies = int(step.value)
        elif undo and box.running:
            box.open_listener(step.path)
        elif not undo:
            box.close_listener(step.path)
            box.reset_connections(step.path)

    def _announce(self, box: Box, state: str) -> None:
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
            elif step.do in PATH_FAULTS:
                self._set_path_fault(box, step, undo=True)
            elif step.do in ("die_on_write", "crash", "lose_hall"):
                self._start(box)
            elif step.do in ("drain", "remove"):
                self._announce(box, "ready")
        self._world.steps.append(f"back: {step.do} {' '.join(box.name for box in boxes)}")
