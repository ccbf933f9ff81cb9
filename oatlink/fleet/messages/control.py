"""Messages of the control stream between sources, relays and gateways (docs/design/control.md). No logic.

State flows down the tree, aggregates flow up. A *source* runs on one of the machines dedicated to the stream. A
*reader* is any process that subscribes to the stream, and a reader that serves other readers is a *relay*. These are
roles of a process, not kinds of machines.
"""

import msgspec

from oatlink.fleet.messages.base import Message
from oatlink.fleet.messages.effects import Effect

MAX_ENTRY_KEY_BYTES = 128
MAX_ENTRY_VALUE_BYTES = 4_096
MAX_CHANGE_BYTES = 7_168  # of one encoded change, which has to fit into a register together with its frame
MAX_SCOPE_NAME_BYTES = 64
MAX_SCOPES_PER_READER = 16
MAX_NAMED_LAGGARDS = 8  # in one `Lag`
MAX_REPORTED_CHILDREN = 256  # in one `Report`


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One key of the state of a scope. An empty value deletes the key."""

    key: str
    value: bytes = b""


class Head(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """The version of a scope that a process has.

    The epoch is compared first: it is raised when the history of a scope is started again.
    """

    scope: str
    epoch: int = 0
    version: int = 0


class Delta(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The changes of one version of a scope. It is applied as a whole, and only to the version before it."""

    epoch: int
    version: int
    entries: tuple[Entry, ...] = ()


class Place(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Name of a process and the address where it listens for its fleet."""

    name: str
    address: str


# ---- Position in the tree ----


class Join(Message, frozen=True, gc=False):
    """Sent to a source: this process has started or lost its upstream and requests a place in the tree.

    The key of the link proves its name. `relays`: how many others it may serve, 0 if it is no relay. `lost`: the
    upstream that it has just lost, if any.
    """

    incarnation: int
    region: str
    zone: str
    address: str
    relays: int = 0
    lost: str = ""


class Seat(Message, frozen=True, gc=False):
    """Answer of a source: whom to subscribe to, after waiting `wait_ms` at least.

    `spare`: whom to subscribe to if the upstream becomes silent; one without a name means that there is none.
    `incarnation` is that of the requester, so that it does not accept an answer to the process before it.
    """

    incarnation: int
    upstream: Place
    spare: Place
    wait_ms: int = 0


class Refused(Message, frozen=True, gc=False):
    """The request is refused: `twice` (a live process has the same name), `full`, `unknown` or `bad`.

    `incarnation`: that of the requester.
    """

    incarnation: int
    reason: str
    wait_ms: int = 0


class Leave(Message, frozen=True, gc=False):
    """Orderly shutdown, sent to the upstream and to all children: they switch to another process at once."""

    incarnation: int


# ---- Down ----


class Subscribe(Message, frozen=True, gc=False):
    """Sent to an upstream: the version that this reader has of each of its scopes. The upstream continues from there.

    `resume`: snapshots in progress, each as (scope, its epoch, its first version, last key received). `mark`: see
    `Beat`. `address`: where the reader listens, for a transport whose connections carry messages one way only.
    """

    incarnation: int
    heads: tuple[Head, ...]
    resume: tuple[tuple[str, int, int, str], ...] = ()
    mark: int = 0
    address: str = ""


class Changes(Message, frozen=True, gc=False):
    """Consecutive versions of one scope."""

    scope: str
    deltas: tuple[Delta, ...]


class Page(Message, frozen=True, gc=False):
    """Part of a snapshot: the entries whose keys are after `after`, in the order of their keys, as of version `now`.

    All changes after version `first` are sent too. The last page and all changes up to its `now` give the state of
    version `now`. A reader that is further behind than `floor` cannot be served with changes.
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
    """Heartbeat: the versions that the sender has of the child's scopes, and the age of its information from a source.

    `mark` is that of the child's last `Subscribe` or `Report`, received `since_ms` ago. The child knows when it sent
    that message, and so how long the link can have delayed this beat at most. Prevents stale state from being taken for
    fresh when a link delays messages and delivers them late.
    """

    age_ms: int
    heads: tuple[Head, ...] = ()
    mark: int = 0
    since_ms: int = 0


# ---- Up ----


class Lag(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Aggregate of one scope over the subtree of a process, itself included.

    `readers`: number of readers of the scope; `least`: their lowest version; `behind`: number of readers that do not
    have `head` yet; `named`: the names of some of these. `head` is the newest version that the sender knows of.
    """

    head: Head
    readers: int
    least: int
    behind: int = 0
    named: tuple[str, ...] = ()


class Report(Message, frozen=True, gc=False):
    """Aggregates of a child's subtree, itself included, sent to its upstream periodically and after changes.

    `alive`: names and incarnations of its children, which relays pass on to the source that tracks names. It is empty
    in a report after a change, and then says nothing about them. `mark`: see `Beat`.
    """

    incarnation: int
    lags: tuple[Lag, ...]
    children: int = 0
    alive: tuple[tuple[str, int], ...] = ()
    mark: int = 0


# ---- Between sources ----


class Committed(Message, frozen=True, gc=False):
    """A version is agreed: the register of its slot contains it.

    A source that missed this message learns of the version from the next `Beat`.
    """

    scope: str
    delta: Delta


AnyControl = Join | Seat | Refused | Leave | Subscribe | Changes | Page | Beat | Report | Committed


# ---- Effects of the cores, in addition to `Tell`, `Note`, `Read`, `Change` and `Replied` ----


class Known(Effect, frozen=True, gc=False):
    """Address of a peer, given before a message is sent to it. `forget`: no more messages will be sent to it."""

    place: Place
    forget: bool = False


class InForce(Effect, frozen=True, gc=False):
    """A scope has reached this version here. `entries`: the changes, or the whole state if `whole`."""

    head: Head
    entries: tuple[Entry, ...]
    whole: bool = False
