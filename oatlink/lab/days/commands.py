"""Makes the commands of clients. Each token is used once, so that the invariant checker can identify every request."""

import random

from oatlink.protocols.resp import command

KEYS = 24


class CommandFactory:
    """Makes the commands of all clients of one run."""

    def __init__(self) -> None:
        self._tokens = 0

    def next_command(self, kind: str, place: str, rng: random.Random, space: str = "") -> bytes:
        """Return the next command of a client whose kind is view, check, own or post; keys begin with `space`."""
        self._tokens += 1
        key = f"{space}nav:{rng.randrange(KEYS)}"
        if kind == "own":
            key = f"{space}own:{place}:{rng.randrange(2)}"
        is_write = kind == "post" or (kind == "own" and rng.random() < 0.35)
        if not is_write:
            return command("XREVRANGE", key, "+", f"0-{self._tokens}", "COUNT", 1)
        token = f"t{self._tokens}"
        if kind == "post" and rng.random() < 0.2:
            return command("RPUSH", f"log:{key}", token)
        return command("XADD", key, "IDMP", place, token, "*", "n", token)

    def next_push(self, key: str) -> bytes:
        """Return an RPUSH, which a gateway must never repeat."""
        self._tokens += 1
        return command("RPUSH", f"log:{key}", f"t{self._tokens}")
