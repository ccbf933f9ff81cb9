"""Gateways of a fleet that each break one rule on purpose. Run as `sabotage.py RULE SETTINGS`.

RULE is the name of one of the functions here.
"""

import sys

from oatlink.fleet.gate import ADMITTED, Layout
from oatlink.fleet.gating import FleetGate

refusal_count = 0


def never_over() -> None:
    """Admit every 5th request that the quota of its tenant refuses."""
    original_admit = FleetGate.admit

    def admit(self: FleetGate, *args: object, **kwargs: object) -> int:
        global refusal_count
        back_us = original_admit(self, *args, **kwargs)  # type: ignore[arg-type]
        refusal_count += back_us > 0
        return ADMITTED if back_us > 0 and refusal_count % 5 == 0 else back_us

    FleetGate.admit = admit  # type: ignore[method-assign]


def told() -> None:
    """Refuse requests without saying when to retry."""
    from oatlink.core import requests

    requests.__dict__["over_quota"] = lambda retry_after_us: b"-QUOTA over the tenant's rate, nothing was run\r\n"


def layouts() -> None:
    """Give each client the layout that it requests, whichever versions are served."""

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
