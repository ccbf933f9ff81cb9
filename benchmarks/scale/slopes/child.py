"""The process of `host`, as its parent sees it."""

import json
import subprocess
import sys


class Child:
    """One process; ended by `close`."""

    def __init__(self, *ports: int) -> None:
        words = [sys.executable, "-m", "benchmarks.scale.slopes.host", *map(str, ports)]
        self._process = subprocess.Popen(words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None and self._process.stdin is not None
        self._out, self._in = self._process.stdout, self._process.stdin
        self.port = int(self._out.readline())

    def ask(self, word: str, count: int) -> dict[str, float]:
        """Have it do so, and what it says of itself then. Raises `ValueError` where it has ended."""
        self._in.write(f"{word} {count}\n")
        self._in.flush()
        found: dict[str, float] = json.loads(self._out.readline())
        return found

    def close(self) -> None:
        """End it."""
        self._in.close()
        self._process.wait(10)
