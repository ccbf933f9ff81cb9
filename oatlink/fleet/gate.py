"""The one seam between a gateway and its fleet. No I/O.

What may live here: the questions that a request's path asks (may this tenant's request go on, which version is it
made for and who offers that), the news that answers them, and the twin that is there without a fleet. Each question
is answered at once from what was heard before; nothing here waits. The engine owns its gate, so that what it decided
follows from its inputs alone and a recording replays it.
"""

from typing import Protocol

import msgspec

from oatlink.fleet.messages import Demand, Marker
from oatlink.settings.model import Settings

ADMITTED = 0
GRANT_PENDING = -1
"""No grant is known yet and one was asked for: ask again soon. A gate says so for a short time only."""


# ---- News: what a gate is told ----


class News(msgspec.Struct, frozen=True, tag=True, gc=False):
    """Base of all news. Times are the gateway's clock."""


class Granted(News, frozen=True, gc=False):
    """A part of an allowance is this node's until then; a newer serial of the same home replaces an older one."""

    name: str
    serial: int
    rate: float
    burst: float
    until_us: int


class Served(News, frozen=True, gc=False):
    """These versions may be served until then. `markers`: (bank, marker) of each version that is not everywhere."""

    fence: int
    until_us: int
    versions: tuple[int, ...]
    default: int
    markers: tuple[tuple[str, Marker], ...] = ()
    offers: tuple[tuple[str, tuple[int, ...]], ...] = ()  # by bank


class Seen(News, frozen=True, gc=False):
    """Others saw this of a member, `at_us` at the latest; weighed already (`verdicts.weigh`): what it may do here.

    `act`: check (ask the member now), later (put it later in the turn until `until_us` or until it serves us; a time
    that is past takes it back), position (it held `offset` of `history` at `at_us` or before: no primary's sample).
    """

    member: str
    act: str
    at_us: int
    until_us: int = 0
    history: str = ""
    offset: int = -1


class Alone(News, frozen=True, gc=False):
    """The fleet's port could not be opened, or another process has this node's name: nothing is this node's."""


AnyNews = Granted | Served | Seen | Alone


# ---- Questions ----


class Layout(msgspec.Struct, frozen=True, gc=False):
    """The version of a request. 0: no versions here. `back_us` above 0: refuse, and that is when to come back."""

    version: int = 0
    back_us: int = 0


NO_LAYOUT = Layout()


class Gate(Protocol):
    """What a request's path asks of the fleet. Times are microseconds of the gateway's clock."""

    on: bool

    def admit(
        self, user: str, client: str, keys: list[bytes], command: str, cost: int, now_us: int, again: bool = False
    ) -> int:
        """`ADMITTED`, `GRANT_PENDING`, or above 0: refused, and in how many microseconds to come back.

        What was admitted is spent, whatever becomes of the request. `cost` is in commands; `again` says
        that the answer was `GRANT_PENDING` before.
        """
        ...

    def layout(self, client: str, pinned: int, now_us: int) -> Layout:
        """The version of a request by its client's name, else what its session is pinned to (0: nothing), else ours."""
        ...

    @property
    def versions(self) -> tuple[int, ...]:
        """The versions that may be served now, none without layouts."""
        ...

    def marker(self, bank: str, version: int) -> Marker | None:
        """What a member of the bank must have applied to serve the version; None: every member serves it."""
        ...

    def offered(self, bank: str, version: int) -> bool:
        """Whether the bank as a whole offers the version."""
        ...

    def dial(self, member: str, now_us: int) -> int:
        """`ADMITTED`, or in how many microseconds a connection to this member may be begun."""
        ...

    def hear(self, news: AnyNews, now_us: int) -> bool:
        """Take in news. Whether members must show something that they need not have shown before."""
        ...

    def demands(self, now_us: int) -> tuple[Demand, ...]:
        """What was asked of each allowance that is in use; changes nothing."""
        ...

    def snapshot(self) -> object:
        """All that was heard and spent, as plain values, for a snapshot."""
        ...

    def restore(self, value: object) -> None:
        """Take over what `snapshot` gave. Raises `ValueError` where it is nothing of the kind."""
        ...


class OpenGate:
    """No fleet: every question is answered so that nothing is other than without the question."""

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
    """The gate that the settings call for. Without a `fleet` part nothing of the fleet's cores is even imported."""
    if settings.fleet is None:
        return OPEN_GATE
    from oatlink.fleet.gating import FleetGate

    members = (one.name for bank in settings.banks for one in bank.members)
    return FleetGate(settings.fleet, members, settings.seed)
