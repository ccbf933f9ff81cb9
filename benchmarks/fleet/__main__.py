"""`python -m benchmarks.fleet gate|idle|registers|grants|verdict`: each ends by itself within a minute."""

import signal
from types import FrameType

import click

from benchmarks.fleet.gate import gate
from benchmarks.fleet.grants import grants
from benchmarks.fleet.idle import idle
from benchmarks.fleet.registers import registers
from benchmarks.fleet.verdict import verdict

MOST_S = 58  # a run that takes longer ends with an error, and its children with it


def _late(_signal: int, _frame: FrameType | None) -> None:
    raise TimeoutError(f"not done within {MOST_S} s")


@click.group()
def main() -> None:
    """Measure one part. The load of the machine stands with each table: compare within one run only."""
    signal.signal(signal.SIGALRM, _late)
    signal.alarm(MOST_S)


for one in (gate, idle, registers, grants, verdict):
    main.add_command(one)

if __name__ == "__main__":
    main()
