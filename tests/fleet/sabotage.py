"""Gateways of a fleet that each break one bound on purpose. Run as `sabotage.py RULE SETTINGS`."""

import sys

from oatlink.fleet.gate import ADMITTED, Layout
from oatlink.fleet.gating import FleetGate

count = 0


def never_over() -> None:
    """Every 5th request that its tenant's quota refuses is let through."""
    whole = FleetGate.admit

    def admit(self: FleetGate, *given: object, **more: object) -> int:
        global count
        back_us = whole(self, *given, **more)  # type: ignore[arg-type]
        count += back_us > 0
        return ADMITTED if back_us > 0 and count % 5 == 0 else back_us

    FleetGate.admit = admit  # type: ignore[method-assign]


def told() -> None:
    """A refusal does not say when to come back."""
    from oatlink.core import requests

    requests.__dict__["over_quota"] = lambda retry_after_us: b"-QUOTA over the tenant's rate, nothing was run\r\n"


def layouts() -> None:
    """Each client has the layout that it asks for, whatever is served."""

    def layout(self: FleetGate, client: str, pinned: int, now_us: int) -> Layout:
        return Layout(int(client.partition(";layout=")[2] or pinned or 1))

    FleetGate.layout = layout  # type: ignore[method-assign]
    FleetGate.offered = lambda self, bank, version: True  # type: ignore[method-assign]
    FleetGate.marker = lambda self, bank, version: None  # type: ignore[method-assign]


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.argv = ["oatlink", "gateway", sys.argv[2]]
    from oatlink.cli.main import main

    main()
