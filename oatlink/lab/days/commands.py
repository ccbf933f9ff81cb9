"""What clients ask: commands that the judge knows again, each token used once."""

import random

from oatlink.protocols.resp import command

KEYS = 24


class Commands:
    """Makes the commands of all clients of one day."""

    def __init__(self) -> None:
        self._tokens = 0

    def next(self, kind: str, place: str, rng: random.Random, space: str = "") -> bytes:
        """The next command of a client of this kind: view, check, own or post; its keys begin with `space`."""
        self._tokens += 1
        key = f"{space}nav:{rng.randrange(KEYS)}"
        if kind == "own":
            key = f"{space}own:{place}:{rng.randrange(2)}"
        writes = kind == "post" or (kind == "own" and rng.random() < 0.35)
        if not writes:
            return command("XREVRANGE", key, "+", f"0-{self._tokens}", "COUNT", 1)
        token = f"t{self._tokens}"
        if kind == "post" and rng.random() < 0.2:
            return command("RPUSH", f"log:{key}", token)
        return command("XADD", key, "IDMP", place, token, "*", "n", token)

    def push(self, key: str) -> bytes:
        """A post that is never repeated."""
        self._tokens += 1
        return command("RPUSH", f"log:{key}", f"t{self._tokens}")
