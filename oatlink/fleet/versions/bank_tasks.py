"""The tasks at the banks, one at a time for each: a step that is due, or a check of the marker. No I/O.

A failed step is retried after a growing wait drawn from a seed, and is never skipped. Between steps the marker is
checked regularly: this detects a failover that lost a step, whether or not the failover was reported. A task that hangs
at a former primary is abandoned, as after a timeout: the marker fences it if it still runs. If a bank did not answer a
check and now does, the due step is tried at once: the growing wait is for steps that a server refuses.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from oatlink.fleet.messages import AskMarker, Effect, RunStep
from oatlink.fleet.versions.plan import Commands
from oatlink.fleet.versions.state import State, Step, next_step

STEP_TIMEOUT_US, CHECK_TIMEOUT_US = 40_000_000, 5_000_000  # after a timeout the step may still run
CHECK_INTERVAL_US, IDLE_CHECK_INTERVAL_US = 1_000_000, 5_000_000  # between checks of a marker
FIRST_RETRY_US, MAX_RETRY_US = 200_000, 10_000_000  # the mean wait before a step is retried

CommandsOf = Callable[[str, Step], Commands | None]


@dataclass(slots=True)
class BankTask:
    """The task of one bank, and when the next ones are due."""

    ask: int = 0  # the number of the pending task, 0 without one
    asked_us: int = 0
    step: int = 0  # the step that it runs; 0: it checks the marker
    tries: int = 0
    run_us: int = 0  # the earliest time of the next step
    check_us: int = 0  # the earliest time of the next check
    is_silent: bool = False  # the last check of the marker failed


class BankTasks:
    """The tasks of all banks."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._ask = 0
        self._tasks: dict[str, BankTask] = {}

    def forget(self) -> None:
        """Drop all tasks, and ignore their answers."""
        self._tasks.clear()

    def retry_now(self, bank: str | None = None) -> None:
        """After a failover, check this bank's marker at once. Without a bank: retry the due steps of all banks."""
        for name, task in self._tasks.items():
            if bank is None:
                task.run_us = task.tries = 0
            elif bank == name:
                task.ask = task.check_us = task.run_us = task.tries = 0

    def work(self, state: State, commands_of: CommandsOf, now_us: int) -> list[Effect]:
        """Start the tasks that are due."""
        for bank in [bank for bank in self._tasks if bank not in state.shards]:
            del self._tasks[bank]
        effects: list[Effect] = []
        for bank, shard in state.shards.items():
            task = self._tasks.setdefault(bank, BankTask())
            if task.ask and now_us - task.asked_us < (STEP_TIMEOUT_US if task.step else CHECK_TIMEOUT_US):
                continue
            task.ask = 0
            due = next_step(shard)
            if now_us >= task.check_us and shard.steps:
                task.step = 0
                task.check_us = now_us + (IDLE_CHECK_INTERVAL_US if state.phase == "idle" else CHECK_INTERVAL_US)
                effects.append(AskMarker(self._start(task, now_us), bank))
            elif due is not None and now_us >= task.run_us:
                step, after = due
                commands = commands_of(bank, step)
                if commands is None:
                    continue
                task.step = step.number
                ask = self._start(task, now_us)
                effects.append(RunStep(ask, bank, step.number, after, step.version, step.kind, commands))
        return effects

    def _start(self, task: BankTask, now_us: int) -> int:
        self._ask += 1
        task.ask, task.asked_us = self._ask, now_us
        return self._ask

    def ended(self, ask: int, done: bool, check_next: bool, now_us: int) -> tuple[str, int] | None:
        """Handle the end of a task. Returns its bank and step, None if it is no longer waited for.

        `done`: the step is done, or the marker was read. `check_next`: check the marker next.
        """
        for bank, task in self._tasks.items():
            if task.ask != ask or not ask:
                continue
            task.ask = 0
            if not task.step:
                if done and task.is_silent:
                    task.run_us = task.tries = 0
                task.is_silent = not done
            elif done:
                task.tries = 0
            else:
                wait_us = min(MAX_RETRY_US, FIRST_RETRY_US << min(task.tries, 8))
                task.run_us = now_us + round(wait_us * (0.5 + self._random.random()))
                task.tries += 1
            if check_next:
                task.check_us = now_us
            return bank, task.step
        return None
