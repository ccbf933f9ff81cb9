"""The stream of control: what sources, relays and gateways say to one another (docs/design/control.md). No logic.

State flows down, sums flow up. A *source* is one of the machines set aside; a *reader* is any process that takes the
stream; a reader that serves others is a *relay*. All three are told apart by what they do and not by what they are.
"""

import msgspec

from oatlink.fleet.messages.base import Message
from oatlink.fleet.messages.effects import Effect

MAX_ENTRY_KEY_BYTES = 128  # bytes
MAX_ENTRY_VALUE_BYTES = 4_096  # bytes of an entry's value
MAX_CHANGE_BYTES = 7_168  # bytes of one change, encoded: it has to fit a register beside its frame
MAX_SCOPE_NAME_BYTES = 64  # bytes of a scope's name
MAX_SCOPES_PER_READER = 16  # that one reader takes
MAX_NAMED_LAGGARDS = 8  # laggards told by name
MAX_REPORTED_CHILDREN = 256  # told in one report


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One line of a scope's state; an empty value takes the key out."""

    key: str
    value: bytes = b""


class Head(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """How far somebody is in a scope. Epoch first: a scope whose history was begun anew has a higher one."""

    scope: str
    epoch: int = 0
    version: int = 0


class Delta(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One version of a scope: what it changes. Applied whole, and only on the version before it."""

    epoch: int
    version: int
    entries: tuple[Entry, ...] = ()


class Place(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where a process listens for its fleet."""

    name: str
    address: str


# ---- A place in the tree ----


class Join(Message, frozen=True, gc=False):
    """To a source: this process is there and wants a place. Its name is proved by the link's key.

    `relays`: whether it may serve others, and how many; `lost`: the upstream that it has just lost, if any.
    """

    incarnation: int
    region: str
    zone: str
    address: str
    relays: int = 0
    lost: str = ""


class Seat(Message, frozen=True, gc=False):
    """A source's answer: whom to subscribe to, whom where that one falls silent, after how long at the earliest.

    `incarnation`: the asker's, so that an answer to the process before it is not taken. A spare without a name is none.
    """

    incarnation: int
    upstream: Place
    spare: Place
    wait_ms: int = 0


class Refused(Message, frozen=True, gc=False):
    """Not now, or not this one: `twice` (another process has the name and is alive), `full`, `unknown`, `bad`.

    `incarnation`: the asker's.
    """

    incarnation: int
    reason: str
    wait_ms: int = 0


class Leave(Message, frozen=True, gc=False):
    """An orderly end, to the upstream and to all children: the next one is taken at once."""

    incarnation: int


# ---- Down ----


class Subscribe(Message, frozen=True, gc=False):
    """To an upstream: what this reader has of each scope that it takes. The upstream goes on from there.

    `resume`: a snapshot under way, as (scope, its epoch, its first version, last key taken). `mark`: see `Beat`.
    `address`: where the reader listens, for a transport whose connections carry words one way.
    """

    incarnation: int
    heads: tuple[Head, ...]
    resume: tuple[tuple[str, int, int, str], ...] = ()
    mark: int = 0
    address: str = ""


class Changes(Message, frozen=True, gc=False):
    """Versions of one scope, one after the other."""

    scope: str
    deltas: tuple[Delta, ...]


class Page(Message, frozen=True, gc=False):
    """A part of a snapshot: the entries behind `after`, in order of their keys, as they were at `now`.

    All changes after `first` follow or have followed; with the last page and all of them up to its `now`, the state is
    that of `now`. A reader that is further behind than `floor` cannot be served by changes.
    """

    scope: str
    epoch: int
    first: int
    now: int
    floor: int
    after: str
    entries: tuple[Entry, ...]
    last: bool = False


class Beat(Message, frozen=True, gc=False):
    """Nothing is missing: how far the sender is in what this child takes, and how old its word from a source is.

    `mark`: of the child's last `Subscribe` or `Report`, which came `since_ms` ago. By it the child knows how long the
    link can have held the beat, from when it asked itself. Threat: a link that holds words and gives them late.
    """

    age_ms: int
    heads: tuple[Head, ...] = ()
    mark: int = 0
    since_ms: int = 0


# ---- Up ----


class Lag(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One scope below somebody, itself included: readers that take it, the least version, who is behind `head`.

    `named`: some of those behind, `behind` all of them; `head` is the newest version that the sender itself knows of.
    """

    head: Head
    readers: int
    least: int
    behind: int = 0
    named: tuple[str, ...] = ()


class Report(Message, frozen=True, gc=False):
    """From a child to its upstream, now and then and after news: sums, its own part included.

    `alive`: names and incarnations of its own children, for the source that knows names (`relays` pass them on); empty
    in a report after news, which says nothing of them then. `mark`: see `Beat`.
    """

    incarnation: int
    lags: tuple[Lag, ...]
    children: int = 0
    alive: tuple[tuple[str, int], ...] = ()
    mark: int = 0


# ---- Among sources ----


class Committed(Message, frozen=True, gc=False):
    """A version is agreed: its slot's register holds it. Lost ones are noticed by the next `Beat` among sources."""

    scope: str
    delta: Delta


AnyControl = Join | Seat | Refused | Leave | Subscribe | Changes | Page | Beat | Report | Committed


# ---- What the cores ask of their shell, beside `Tell`, `Note`, `Read`, `Change` and `Replied` ----


class Known(Effect, frozen=True, gc=False):
    """Where a peer listens, before something is told to it; `forget` where nothing more will be."""

    place: Place
    forget: bool = False


class InForce(Effect, frozen=True, gc=False):
    """A scope has come to this version here. `entries`: what changed, all of it where `whole`."""

    head: Head
    entries: tuple[Entry, ...]
    whole: bool = False
