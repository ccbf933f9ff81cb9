"""The interface between a gateway and its fleet. No I/O.

This module defines the questions that the path of a request asks (may this tenant's request go on, which version is it
for and which members offer that), the news that answers them, and the implementation for a gateway without a fleet.
Each question is answered at once from news received before; nothing here waits. The engine owns its gate, so that its
decisions follow from its inputs alone and a recording replays them.
"""

from typing import Protocol

import msgspec

from oatlink.fleet.messages import Demand, Marker
from oatlink.settings.model import Settings

ADMITTED = 0
GRANT_PENDING = -1
"""No grant is known yet and one was requested: ask again soon. A gate returns this for a short time only."""


# ---- News that a gate receives ----


class News(msgspec.Struct, frozen=True, tag=True, gc=False):
    """Base of all news. Times are by the gateway's clock."""


class Granted(News, frozen=True, tag="Granted", gc=False):
    """A part of an allowance, usable until `until_us`; a newer serial from the coordinator replaces an older one."""

    name: str
    serial: int
    rate: float
    burst: float
    until_us: int


class Served(News, frozen=True, tag="Served", gc=False):
    """Versions that may be served until `until_us`. `markers`: (bank, marker) of each version not on all members."""

    fence: int
    until_us: int
    versions: tuple[int, ...]
    default: int
    markers: tuple[tuple[str, Marker], ...] = ()
    offers: tuple[tuple[str, tuple[int, ...]], ...] = ()  # by bank


class Seen(News, frozen=True, tag="Seen", gc=False):
    """What others' observations of a member, made at `at_us` at the latest, cause at this node (`verdicts.weigh`).

    `act`: check (ask the member now), later (choose it later than others until `until_us` or until it serves us; a
    time in the past takes this back), position (it had `offset` of `history` at `at_us` or before: no sample of a
    primary).
    """

    member: str
    act: str
    at_us: int
    until_us: int = 0
    history: str = ""
    offset: int = -1


class Alone(News, frozen=True, tag="Alone", gc=False):
    """The fleet's port could not be opened, or another process has this node's name: this node may use nothing."""


AnyNews = Granted | Served | Seen | Alone


# ---- Questions ----


class Layout(msgspec.Struct, frozen=True, gc=False):
    """The version of a request. 0: no versions here. `back_us` above 0: refuse it, to be retried after that time."""

    version: int = 0
    back_us: int = 0


NO_LAYOUT = Layout()


class Gate(Protocol):
    """The questions that the path of a request asks the fleet. Times are microseconds of the gateway's clock."""

    on: bool

    def admit(
        self, user: str, client: str, keys: list[bytes], command: str, cost: int, now_us: int, again: bool = False
    ) -> int:
        """`ADMITTED`, `GRANT_PENDING`, or above 0: refused, to be retried after so many microseconds.

        An admission is spent, whatever becomes of the request. `cost` is in commands; `again` says that the answer was
        `GRANT_PENDING` before.
        """
        ...

    def layout(self, client: str, pinned: int, now_us: int) -> Layout:
        """The version of a request: by its client's name, else by its session's pin (0: none), else the default."""
        ...

    @property
    def versions(self) -> tuple[int, ...]:
        """The versions that may be served now; empty without layouts."""
        ...

    def marker(self, bank: str, version: int) -> Marker | None:
        """What a member of the bank must have applied to serve the version; None: every member serves it."""
        ...

    def offered(self, bank: str, version: int) -> bool:
        """Whether the bank as a whole offers the version."""
        ...

    def dial(self, member: str, now_us: int) -> int:
        """`ADMITTED`, or after how many microseconds a connection to this member may be opened."""
        ...

    def hear(self, news: AnyNews, now_us: int) -> bool:
        """Accept news. Returns whether members must now prove something that was not required before."""
        ...

    def demands(self, now_us: int) -> tuple[Demand, ...]:
        """The demand for each allowance that is in use; changes nothing."""
        ...

    def snapshot(self) -> object:
        """All news received and all amounts spent, as plain values, for a snapshot."""
        ...

    def restore(self, value: object) -> None:
        """Restore what `snapshot` returned. Raises `ValueError` if the value is no such snapshot."""
        ...


class OpenGate:
    """The gate without a fleet: each answer leaves the request as it would be without the question."""

    on = False
    versions: tuple[int, ...] = ()

    def admit(
        self, user: str, client: str, keys: list[bytes], command: str, cost: int, now_us: int, again: bool = False
    ) -> int:
        """See `Gate.admit`."""
        return ADMITTED

    def layout(self, client: str, pinned: int, now_us: int) -> Layout:
        """See `Gate.layout`."""
        return NO_LAYOUT

    def marker(self, bank: str, version: int) -> Marker | None:
        """See `Gate.marker`."""
        return None

    def offered(self, bank: str, version: int) -> bool:
        """See `Gate.offered`."""
        return True

    def dial(self, member: str, now_us: int) -> int:
        """See `Gate.dial`."""
        return ADMITTED

    def hear(self, news: AnyNews, now_us: int) -> bool:
        """See `Gate.hear`."""
        return False

    def demands(self, now_us: int) -> tuple[Demand, ...]:
        """See `Gate.demands`."""
        return ()

    def snapshot(self) -> object:
        """See `Gate.snapshot`."""
        return None

    def restore(self, value: object) -> None:
        """See `Gate.restore`."""


OPEN_GATE = OpenGate()


def gate_of(settings: Settings) -> Gate:
    """The gate for these settings. Without a `fleet` part none of the fleet's modules is imported."""
    if settings.fleet is None:
        return OPEN_GATE
    from oatlink.fleet.gating import FleetGate

    members = (member.name for bank in settings.banks for member in bank.members)
    return FleetGate(settings.fleet, members, settings.seed)
