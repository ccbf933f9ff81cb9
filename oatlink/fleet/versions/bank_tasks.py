"""What is done at the banks, one errand at a time each: a step that is due, or a look at the marker. No I/O.

Steps are retried with a seeded, growing wait, never passed over. The marker is looked at in turn with that: it is how
a failover is found that lost a step, whatever else was or was not heard of it. What hangs at a primary that was failed
over is not waited for: that it may still run is the marker's to catch, as after a time out. Where a bank did not
answer a look and now does, what is due is tried at once: the growing wait is for steps that a server refuses.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from oatlink.fleet.messages import AskMarker, Effect, RunStep
from oatlink.fleet.versions.plan import Commands
from oatlink.fleet.versions.state import State, Step, next_step

STEP_US, ASK_US = 40_000_000, 5_000_000  # an errand not ended by then is taken for lost; its step may still run
LOOK_US, IDLE_LOOK_US = 1_000_000, 5_000_000  # between looks at a marker
FIRST_US, LONGEST_US = 200_000, 10_000_000  # of the wait before a step is tried again, in the mean

CommandsOf = Callable[[str, Step], Commands | None]


@dataclass(slots=True)
class BankTask:
    """What is known of one bank's errands."""

    ask: int = 0  # on its way, 0 without one
    asked_us: int = 0
    step: int = 0  # which it runs; 0: it looks at the marker
    tries: int = 0
    run_us: int = 0  # not before this time
    look_us: int = 0
    silent: bool = False  # the last look at the marker came to nothing


class BankTasks:
    """All banks'."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._ask = 0
        self._banks: dict[str, BankTask] = {}

    def forget(self) -> None:
        """No answer to what was asked counts any more."""
        self._banks.clear()

    def hurry(self, bank: str | None = None) -> None:
        """Another primary: look at this bank's marker at once. Without a bank: try what is due at all of them."""
        for name, errand in self._banks.items():
            if bank is None:
                errand.run_us = errand.tries = 0
            elif bank == name:
                errand.ask = errand.look_us = errand.run_us = errand.tries = 0

    def work(self, state: State, commands_of: CommandsOf, now_us: int) -> list[Effect]:
        """What is to be asked of the banks now."""
        for bank in [one for one in self._banks if one not in state.shards]:
            del self._banks[bank]
        out: list[Effect] = []
        for bank, shard in state.shards.items():
            errand = self._banks.setdefault(bank, BankTask())
            if errand.ask and now_us - errand.asked_us < (STEP_US if errand.step else ASK_US):
                continue
            errand.ask = 0
            due = next_step(shard)
            if now_us >= errand.look_us and shard.steps:
                errand.step = 0
                errand.look_us = now_us + (IDLE_LOOK_US if state.phase == "idle" else LOOK_US)
                out.append(AskMarker(self._sent(errand, now_us), bank))
            elif due is not None and now_us >= errand.run_us:
                step, after = due
                commands = commands_of(bank, step)
                if commands is None:
                    continue
                errand.step = step.number
                ask = self._sent(errand, now_us)
                out.append(RunStep(ask, bank, step.number, after, step.version, step.kind, commands))
        return out

    def _sent(self, errand: BankTask, now_us: int) -> int:
        self._ask += 1
        errand.ask, errand.asked_us = self._ask, now_us
        return self._ask

    def ended(self, ask: int, done: bool, look: bool, now_us: int) -> tuple[str, int] | None:
        """An errand has ended: its bank and step, None where it is not waited for. `look`: at the marker next.

        `done`: the step is done, or the marker was seen.
        """
        for bank, errand in self._banks.items():
            if errand.ask != ask or not ask:
                continue
            errand.ask = 0
            if not errand.step:
                if done and errand.silent:
                    errand.run_us = errand.tries = 0
                errand.silent = not done
            elif done:
                errand.tries = 0
            else:
                wait_us = min(LONGEST_US, FIRST_US << min(errand.tries, 8))
                errand.run_us = now_us + round(wait_us * (0.5 + self._random.random()))
                errand.tries += 1
            if look:
                errand.look_us = now_us
            return bank, errand.step
        return None
