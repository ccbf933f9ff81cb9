"""Gateways of a fleet that each lack one guard of a node's life. Run as `life_sabotage.py WHICH SETTINGS`."""

import sys
from collections.abc import Callable

import msgspec


def never_over() -> None:
    """What the quota refuses is let through."""
    from oatlink.fleet.gate import ADMITTED
    from oatlink.fleet.gating import FleetGate

    whole = FleetGate.admit
    FleetGate.admit = lambda *given, **more: min(ADMITTED, whole(*given, **more))  # type: ignore[method-assign]


def leaves() -> None:
    """A node ends without giving anything back."""
    from oatlink.fleet.node import Node

    Node.leave = lambda self, now_us: []  # type: ignore[method-assign]


def alone() -> None:
    """One whose name another process has goes on with a share of its own."""
    from oatlink.fleet.shell import node

    whole: Callable[..., None] = node.FleetNode.__init__
    deaf = {"tell": lambda news: None}
    node.FleetNode.__init__ = lambda *given, **more: whole(*given, **more | deaf)  # type: ignore[method-assign]


def terms() -> None:
    """A grant lasts for as long as nobody gives another."""
    from oatlink.fleet.gate import Granted
    from oatlink.fleet.limits.node import Allowances

    whole = Allowances.hear

    def hear(self: Allowances, news: Granted, now_us: int) -> None:
        whole(self, msgspec.structs.replace(news, until_us=now_us + 3_600_000_000), now_us)

    Allowances.hear = hear  # type: ignore[method-assign]


def damage() -> None:
    """A keeper's file is taken however it ends."""
    from oatlink.fleet.shell import files, history

    whole = history.replay

    def replay(data: bytes, node: str) -> history.History:
        try:
            return whole(data, node)
        except history.DamageError:
            return history.History(7, {}, history.BEGIN, history.first_chain(node, 7), 9)

    files.__dict__["replay"] = replay


def versions() -> None:
    """A peer's version is not looked at."""
    from oatlink.fleet.shell import listener

    listener.__dict__["VERSION"] = 99


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.argv = ["oatlink", "gateway", sys.argv[2]]
    from oatlink.cli.main import main

    main()
