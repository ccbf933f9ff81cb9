"""The settings of a gateway. Names contain units; all values are immutable; `check` finds what types cannot express."""

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta

from oatlink.core.commands import SLOTS
from oatlink.settings.fleet import Fleet, check_fleet
from oatlink.settings.parts import Match, Name, NotNegative, Part, Positive, Share, is_address

LOOPBACK_PREFIXES = ("127.", "[::1]", "localhost:", "unix:")


class RequestClass(Part, frozen=True):
    """A class of requests. A keyed class only accepts commands with a key by which servers drop repeats."""

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
    """A further address of a db box. 0 means the value in `links`, an empty `hall` the hall of the box."""

    address: str
    hall: str = ""
    connect_timeout_ms: NotNegative = 0
    keepalive_s: NotNegative = 0


class Member(Part, frozen=True):
    """A db box. `address` is host:port or unix:PATH, `paths` are further addresses; discovery reports `state`."""

    name: Name
    address: str
    hall: str = ""
    kind: str = ""
    state: Literal["ready", "terminating"] = "ready"
    primary: bool = False
    paths: Annotated[tuple[Path, ...], Meta(max_length=7)] = ()


class Bank(Part, frozen=True):
    """A primary, its replicas, and the hash slots that they serve, as pairs of first and last slot."""

    name: Name
    slots: tuple[tuple[int, int], ...]
    members: tuple[Member, ...]


class Limits(Part, frozen=True):
    """Limits on every queue, for each peer."""

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
    """How much load a member that has just started is given (rule 32)."""

    share: Share = 1.0
    warm_after_ms: NotNegative = 0
    overload_factor: Annotated[float, Meta(gt=0)] = 3.0
    fall_ms: Positive = 2_000


class Logs(Part, frozen=True):
    """Structured logging to stderr."""

    form: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: Positive = 50


class Users(Part, frozen=True):
    """A user and password with which clients authenticate by AUTH and HELLO."""

    name: str
    password: str


class Settings(Part, frozen=True):
    """All settings of a gateway."""

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
    """Yield each mistake that the types do not exclude, as `path: expected ...`."""
    if not settings.banks:
        yield "banks: expected at least one bank"
    if not settings.listen:
        yield "listen: expected at least one address"
    for index, address in enumerate(settings.listen):
        if not is_address(address):
            yield f"listen[{index}]: expected host:port or unix:PATH, got {address!r}"
    if settings.metrics_listen and not is_address(settings.metrics_listen):
        yield f"metrics_listen: expected host:port, got {settings.metrics_listen!r}"
    if settings.admin_listen:
        if not is_address(settings.admin_listen):
            yield f"admin_listen: expected host:port or unix:PATH, got {settings.admin_listen!r}"
        elif not settings.admin_beyond_loopback and not settings.admin_listen.startswith(LOOPBACK_PREFIXES):
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
    slot_ranges: list[tuple[int, int, str]] = []
    for bank_index, bank in enumerate(banks):
        path = f"banks[{bank_index}]"
        if bank.name in names:
            yield f"{path}.name: expected a name of its own, {bank.name!r} is also {names[bank.name]}"
        names[bank.name] = path
        if not bank.members:
            yield f"{path}.members: expected at least one member"
        for index, (low, high) in enumerate(bank.slots):
            if not 0 <= low <= high < SLOTS:
                yield f"{path}.slots[{index}]: expected 0 <= low <= high < {SLOTS}, got [{low}, {high}]"
            slot_ranges.append((low, high, f"{path}.slots[{index}]"))
        for member_index, member in enumerate(bank.members):
            member_path = f"{path}.members[{member_index}]"
            if member.name in names:
                yield f"{member_path}.name: expected a name of its own, {member.name!r} is also {names[member.name]}"
            names[member.name] = member_path
            member_addresses = [("address", member.address)]
            member_addresses += [(f"paths[{index}].address", extra.address) for index, extra in enumerate(member.paths)]
            for key, address in member_addresses:
                if not is_address(address):
                    yield f"{member_path}.{key}: expected host:port or unix:PATH, got {address!r}"
                if address in addresses:
                    yield f"{member_path}.{key}: expected an address of its own, it is also {addresses[address]}"
                addresses[address] = member_path
    slot_ranges.sort()
    for (_, high, first), (low, _, second) in zip(slot_ranges, slot_ranges[1:], strict=False):
        if low <= high:
            yield f"{second}: expected slots of its own, {low} is also in {first}"
    covered = sum(high - low + 1 for low, high, _ in slot_ranges)
    if banks and covered < SLOTS:
        yield f"banks: expected all {SLOTS} slots to be held, {SLOTS - covered} are not"


def _check_classes(classes: tuple[RequestClass, ...]) -> Iterator[str]:
    names: set[str] = set()
    for index, request_class in enumerate(classes):
        path = f"classes[{index}]"
        if request_class.name in names:
            yield f"{path}.name: expected a name of its own, got {request_class.name!r} again"
        names.add(request_class.name)
        if request_class.aim_ms > request_class.deadline_ms:
            aim_ms, deadline_ms = request_class.aim_ms, request_class.deadline_ms
            yield f"{path}.aim_ms: expected at most deadline_ms ({deadline_ms}), got {aim_ms}"
        if request_class.effect == "keyed" and not request_class.repeat_window_ms:
            yield f"{path}.repeat_window_ms: expected above 0 for a keyed class"
        if request_class.freshness == "bounded" and not request_class.staleness_ms:
            yield f"{path}.staleness_ms: expected above 0 for a bounded class"
        if request_class.freshness != "write" and request_class.effect != "idempotent":
            yield f"{path}.effect: expected idempotent for a class of reads, got {request_class.effect}"
        if request_class.freshness != "write" and request_class.wait_replicas:
            yield f"{path}.wait_replicas: expected 0 for a class of reads"
