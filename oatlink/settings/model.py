"""What can be set. Units stand in the names; every value is immutable; `check` finds what types cannot say."""

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta

from oatlink.core.commands import SLOTS
from oatlink.settings.fleet import Fleet, check_fleet
from oatlink.settings.parts import Match, Name, NotNegative, Part, Positive, Share, is_address

LOOPBACK = ("127.", "[::1]", "localhost:", "unix:")


class RequestClass(Part, frozen=True):
    """One class of requests. A keyed class takes only commands that carry a key."""

    name: Name
    freshness: Literal["write", "latest", "session", "bounded", "any"]
    effect: Literal["idempotent", "keyed", "unsafe"]
    aim_ms: Positive
    deadline_ms: Positive
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1)] = 0.0
    staleness_ms: NotNegative = 0
    repeat_window_ms: NotNegative = 0
    wait_replicas: NotNegative = 0
    wait_ms: Positive = 500
    match: Match = Match()


class Path(Part, frozen=True):
    """One more address of a db box; 0 stands for what `links` has for all, an empty hall for the box's own."""

    address: str
    hall: str = ""
    connect_timeout_ms: NotNegative = 0
    keepalive_s: NotNegative = 0


class Member(Part, frozen=True):
    """One db box: `address` is host:port or unix:PATH, `paths` are further ones; `state` is what discovery says."""

    name: Name
    address: str
    hall: str = ""
    kind: str = ""
    state: Literal["ready", "terminating"] = "ready"
    primary: bool = False
    paths: Annotated[tuple[Path, ...], Meta(max_length=7)] = ()


class Bank(Part, frozen=True):
    """A primary and its replicas, and the hash slots they hold: pairs, both ends included."""

    name: Name
    slots: tuple[tuple[int, int], ...]
    members: tuple[Member, ...]


class Limits(Part, frozen=True):
    """Bounds of every queue, for each peer."""

    clients: Positive = 10_000
    client_pipeline: Positive = 64
    client_output_bytes: Positive = 32 * 1024 * 1024
    client_write_timeout_ms: Positive = 10_000
    bulk_bytes: Positive = 64 * 1024 * 1024
    message_bytes: Positive = 128 * 1024 * 1024
    items: Positive = 1_048_576
    transaction_commands: Positive = 10_000
    attempts: Positive = 6
    open_requests: Positive = 20_000
    retry_after_max_ms: NotNegative = 1_000


class Links(Part, frozen=True):
    """Connections to each member."""

    connections: Positive = 8
    exclusive_connections: Positive = 32
    pipeline: Positive = 256
    connect_timeout_ms: Positive = 250
    stagger_ms: Annotated[int, Meta(ge=10, le=2_000)] = 25
    keepalive_s: NotNegative = 0
    probe_timeout_ms: Positive = 250
    reply_timeout_ms: Positive = 10_000
    idle_close_ms: Positive = 60_000
    user: str = ""
    password: str = ""


class Cold(Part, frozen=True):
    """What a member that has just started can bear (rule 32)."""

    share: Share = 1.0
    warm_after_ms: NotNegative = 0
    overload_factor: Annotated[float, Meta(gt=0)] = 3.0
    fall_ms: Positive = 2_000


class Logs(Part, frozen=True):
    """Structured logs on stderr."""

    form: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: Positive = 50


class Users(Part, frozen=True):
    """A client's user and password, for AUTH and HELLO."""

    name: str
    password: str


class Settings(Part, frozen=True):
    """All that a gateway is told."""

    banks: tuple[Bank, ...]
    classes: tuple[RequestClass, ...]
    listen: tuple[str, ...] = ("127.0.0.1:6380",)
    hall: str = ""
    seed: NotNegative = 1
    peers: Positive = 1
    workers: Annotated[int, Meta(gt=0, le=64)] = 1
    sessions: Literal["connection", "client-name"] = "connection"
    users: tuple[Users, ...] = ()
    limits: Limits = Limits()
    links: Links = Links()
    cold: Cold = Cold()
    logs: Logs = Logs()
    metrics_listen: str = ""
    admin_listen: str = ""
    admin_beyond_loopback: bool = False
    roster_file: str = ""
    drain_ms: Positive = 1_500
    ready_wait_ms: NotNegative = 2_000
    record_file: str = ""
    record: Literal["always", "on-request", "ring"] = "always"
    record_max_bytes: Positive = 1 << 30
    record_ring_bytes: Positive = 16 << 20
    record_parts: Annotated[int, Meta(ge=2, le=1000)] = 8
    record_redact: Literal["none", "values", "keys"] = "none"
    snapshot_file: str = ""
    snapshot_every_ms: Positive = 5_000
    fleet: Fleet | None = None


def check(settings: Settings) -> Iterator[str]:
    """Each mistake that the types allow, as `path: expected ...`."""
    if not settings.banks:
        yield "banks: expected at least one bank"
    if not settings.listen:
        yield "listen: expected at least one address"
    for at, address in enumerate(settings.listen):
        if not is_address(address):
            yield f"listen[{at}]: expected host:port or unix:PATH, got {address!r}"
    if settings.metrics_listen and not is_address(settings.metrics_listen):
        yield f"metrics_listen: expected host:port, got {settings.metrics_listen!r}"
    if settings.admin_listen:
        if not is_address(settings.admin_listen):
            yield f"admin_listen: expected host:port or unix:PATH, got {settings.admin_listen!r}"
        elif not settings.admin_beyond_loopback and not settings.admin_listen.startswith(LOOPBACK):
            yield "admin_listen: expected an address of loopback, or admin_beyond_loopback: true"
    if settings.record != "always" and not settings.record_file:
        yield f"record_file: expected a path, where record: {settings.record!r} writes when asked"
    yield from _check_banks(settings.banks)
    yield from _check_classes(settings.classes)
    if settings.fleet is not None:
        yield from check_fleet(settings.fleet)
        if settings.workers > 1:
            yield f"workers: expected 1 with a fleet part, a node is one process, got {settings.workers}"


def _check_banks(banks: tuple[Bank, ...]) -> Iterator[str]:
    names: dict[str, str] = {}
    addresses: dict[str, str] = {}
    owners: list[tuple[int, int, str]] = []
    for number, bank in enumerate(banks):
        path = f"banks[{number}]"
        if bank.name in names:
            yield f"{path}.name: expected a name of its own, {bank.name!r} is also {names[bank.name]}"
        names[bank.name] = path
        if not bank.members:
            yield f"{path}.members: expected at least one member"
        for at, (low, high) in enumerate(bank.slots):
            if not 0 <= low <= high < SLOTS:
                yield f"{path}.slots[{at}]: expected 0 <= low <= high < {SLOTS}, got [{low}, {high}]"
            owners.append((low, high, f"{path}.slots[{at}]"))
        for at, member in enumerate(bank.members):
            where = f"{path}.members[{at}]"
            if member.name in names:
                yield f"{where}.name: expected a name of its own, {member.name!r} is also {names[member.name]}"
            names[member.name] = where
            ways = [("address", member.address)]
            ways += [(f"paths[{way}].address", one.address) for way, one in enumerate(member.paths)]
            for part, address in ways:
                if not is_address(address):
                    yield f"{where}.{part}: expected host:port or unix:PATH, got {address!r}"
                if address in addresses:
                    yield f"{where}.{part}: expected an address of its own, it is also {addresses[address]}"
                addresses[address] = where
    owners.sort()
    for (_, high, first), (low, _, second) in zip(owners, owners[1:], strict=False):
        if low <= high:
            yield f"{second}: expected slots of its own, {low} is also in {first}"
    covered = sum(high - low + 1 for low, high, _ in owners)
    if banks and covered < SLOTS:
        yield f"banks: expected all {SLOTS} slots to be held, {SLOTS - covered} are not"


def _check_classes(classes: tuple[RequestClass, ...]) -> Iterator[str]:
    seen: set[str] = set()
    for number, one in enumerate(classes):
        path = f"classes[{number}]"
        if one.name in seen:
            yield f"{path}.name: expected a name of its own, got {one.name!r} again"
        seen.add(one.name)
        if one.aim_ms > one.deadline_ms:
            yield f"{path}.aim_ms: expected at most deadline_ms ({one.deadline_ms}), got {one.aim_ms}"
        if one.effect == "keyed" and not one.repeat_window_ms:
            yield f"{path}.repeat_window_ms: expected above 0 for a keyed class"
        if one.freshness == "bounded" and not one.staleness_ms:
            yield f"{path}.staleness_ms: expected above 0 for a bounded class"
        if one.freshness != "write" and one.effect != "idempotent":
            yield f"{path}.effect: expected idempotent for a class of reads, got {one.effect}"
        if one.freshness != "write" and one.wait_replicas:
            yield f"{path}.wait_replicas: expected 0 for a class of reads"
