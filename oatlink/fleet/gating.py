"""The gate of a gateway in a fleet: tenants, allowances and layouts behind the `Gate` interface. No I/O."""

import random
from collections.abc import Iterable
from typing import Any

import msgspec

from oatlink.fleet.gate import ADMITTED, NO_LAYOUT, Alone, AnyNews, Granted, Layout, Served
from oatlink.fleet.limits.allowance import Allowance
from oatlink.fleet.limits.node import Allowances, AllowanceState
from oatlink.fleet.limits.tenants import Tenants
from oatlink.fleet.messages import Demand, Marker
from oatlink.fleet.versions.node import Layouts
from oatlink.settings.fleet import Fleet

TENANT = "tenant/"
DIALS = "dials/"
DIAL_AGAIN_US = 20_000  # until the next attempt to dial while a grant is being requested


def allowances_of(fleet: Fleet, members: Iterable[str]) -> dict[str, Allowance]:
    """Return all allowances by name: those of the tenants, and that of the dials to each member."""
    allowances: dict[str, Allowance] = {
        TENANT + tenant.name: (tenant.rate, tenant.burst, tenant.floor) for tenant in fleet.tenants
    }
    if fleet.members.dials_per_s:
        limits = fleet.members
        dials = limits.dials_per_s, limits.dials_burst, limits.floor
        allowances |= {DIALS + member: dials for member in members}
    return allowances


class FleetGate:
    """The gate of a gateway with a fleet; implements `oatlink.fleet.gate.Gate`."""

    on = True

    def __init__(self, fleet: Fleet, members: Iterable[str], seed: int) -> None:
        self._tenants = Tenants(fleet.tenants)
        self._allowances = Allowances(allowances_of(fleet, members), len(fleet.nodes), seed)
        self._limits_dials = fleet.members.dials_per_s > 0
        self._layouts = None if fleet.versions is None else Layouts(fleet.versions.word, seed)

    def admit(
        self, user: str, client: str, keys: list[bytes], command: str, cost: int, now_us: int, again: bool = False
    ) -> int:
        """See `Gate.admit`."""
        tenant = self._tenants.name_of(command, keys, user, client)
        return self._allowances.admit(TENANT + tenant, cost, now_us, again) if tenant else ADMITTED

    def layout(self, client: str, pinned: int, now_us: int) -> Layout:
        """See `Gate.layout`."""
        return NO_LAYOUT if self._layouts is None else self._layouts.layout(client, pinned, now_us)

    @property
    def versions(self) -> tuple[int, ...]:
        """See `Gate.versions`."""
        served = self._layouts.served if self._layouts is not None else None
        return served.versions if served is not None else ()

    def marker(self, bank: str, version: int) -> Marker | None:
        """See `Gate.marker`."""
        return None if self._layouts is None else self._layouts.marker(bank, version)

    def offered(self, bank: str, version: int) -> bool:
        """See `Gate.offered`."""
        return self._layouts is None or self._layouts.offered(bank, version)

    def dial(self, member: str, now_us: int) -> int:
        """See `Gate.dial`."""
        back_us = self._allowances.admit(DIALS + member, 1, now_us) if self._limits_dials else ADMITTED
        return back_us if back_us >= 0 else DIAL_AGAIN_US

    def hear(self, news: AnyNews, now_us: int) -> bool:
        """See `Gate.hear`."""
        if isinstance(news, Granted):
            self._allowances.hear(news, now_us)
        elif isinstance(news, Alone):
            self._allowances.alone()
        elif isinstance(news, Served) and self._layouts is not None:
            before = self._layouts.served
            self._layouts.hear(news)
            return bool(news.markers) and (before is None or before.markers != news.markers)
        return False

    def demands(self, now_us: int) -> tuple[Demand, ...]:
        """See `Gate.demands`."""
        return self._allowances.demands(now_us)

    def snapshot(self) -> object:
        """See `Gate.snapshot`."""
        allowances, layouts = self._allowances, self._layouts
        drawn = served = None
        if layouts is not None:
            version, numbers, gauss = layouts.random.getstate()
            drawn, served = [version, list(numbers), gauss], msgspec.to_builtins(layouts.served)
        active = {name: msgspec.to_builtins(state) for name, state in allowances.active.items()}
        return [active, allowances.draws, allowances.swept_us, allowances.is_suspended, drawn, served]

    def restore(self, value: object) -> None:
        """See `Gate.restore`."""
        stored: tuple[dict[str, AllowanceState], int, int, bool, Any, Served | None] = msgspec.convert(
            value, tuple[dict[str, AllowanceState], int, int, bool, Any, Served | None]
        )
        allowances = self._allowances
        allowances.active, allowances.draws, allowances.swept_us, allowances.is_suspended = stored[:4]
        random_state, served = stored[4:]
        if self._layouts is not None and random_state is not None:
            version, numbers, gauss = random_state
            self._layouts.random = random.Random()
            self._layouts.random.setstate((version, tuple(numbers), gauss))
            if served is not None:
                self._layouts.hear(served)
