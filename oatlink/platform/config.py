"""What a gateway is told: the GW_ variables and the file they name. Every mistake is one line that names its place."""

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from oatlink.interface import Settings
from oatlink.options import Options, WireError, to_settings

MOST_BYTES = 16 * 1024 * 1024
LEAST_SOCKETS = 64
WATCHES = 4  # watches in the time within which the settings have the list asked for
# A change counts as told 6 s after discovery had it and could be reached, whatever failed before. A silent call takes
# 1.8 s, the pause behind it 1.5 quarters of what is named here, the call that brings the change 1.8 s: 5.85 s.
NOTIFIED_US = 6_000_000
WATCH_S = 2.5  # with 1.8 s until its silence is known, a first pause and a call: 6 s as well


class ConfigError(Exception):
    """A wrong variable or file, in one line."""


class Limits(msgspec.Struct):
    """What the machine allows."""

    cores: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 1_024


class RunOptions(Options):
    """The settings with what must not be in them here, under either case of its name."""

    fleet: msgspec.Raw = msgspec.Raw(b"")


class File(msgspec.Struct):
    """The configuration file. `known` is read by discovery, entry by entry."""

    settings: RunOptions
    seed: str | int = 0
    name: str = ""
    listen: str = ""
    discovery: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: msgspec.Raw = msgspec.Raw(b"")
    fleet: msgspec.Raw = msgspec.Raw(b"")


@dataclass(frozen=True, slots=True)
class Config:
    """What a gateway starts with."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    limits: Limits
    known: bytes
    settings: Settings
    watch_s: float  # how long a watch may wait: its silent break is noticed well before its news counts as told
    dial_s: float
    idle_s: float


def with_polled_roster(settings: Settings, options: Options) -> Settings:
    """The settings as they hold on sockets, where each list has to be asked for.

    Threat: settings whose list is pushed. Nobody pushes it here: unasked, each drain and start is missed. And what the
    agent has counts as told with no watch open, from a process's first moment on: there a gateway asks within the time
    that it has to stop sending. And settings that allow more time to ask than until a change counts as told anyway.
    """
    within_us = min(settings.ask_within_us, NOTIFIED_US)
    if not settings.must_ask_roster and options.obligations.stop_sending_within_us > 0:
        within_us = min(within_us, options.obligations.stop_sending_within_us)
    return replace(settings, must_ask_roster=True, ask_within_us=within_us)


def address(text: str, place: str) -> tuple[str, int]:
    """An address of numbers, as there is no DNS. Raises `ConfigError`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ConfigError(f"{place}: expected ADDRESS:PORT, got {text[:80]!r}") from None
    if not (port.isascii() and port.isdigit() and 0 <= int(port) < 65_536):
        raise ConfigError(f"{place}: expected a port of 0 to 65535, got {port[:80]!r}")
    return host.strip("[]"), int(port)


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """The configuration. What the file says goes before a variable, which may be older. Raises `ConfigError`."""
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: expected the path of the configuration file")
    try:
        with Path(path).open("rb") as source:
            text = source.read(MOST_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}") from None
    if len(text) > MOST_BYTES:
        raise ConfigError(f"{path}: expected at most {MOST_BYTES} bytes")
    try:
        file = msgspec.json.decode(text, type=File)
        seed = int(file.seed, 16) if isinstance(file.seed, str) else file.seed
        settings = with_polled_roster(to_settings(file.settings, seed & (1 << 64) - 1), file.settings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (WireError, ValueError) as error:
        raise ConfigError(f"{path}: settings: {error}") from None
    # Threat: somebody turns on by one line what this platform forbids. Here gateways share nothing.
    for place, part in (("fleet", file.fleet), ("settings.Fleet", file.settings.fleet)):
        if bytes(part) not in (b"", b"null"):
            raise ConfigError(f"{path}: {place}: expected none, gateways share nothing on this platform")
    if file.limits.sockets < LEAST_SOCKETS:
        raise ConfigError(f"{path}: limits.sockets: expected at least {LEAST_SOCKETS}, got {file.limits.sockets}")
    try:
        settings.validate()
    except ValueError as error:
        raise ConfigError(f"{path}: settings: {error}") from None
    return Config(
        name=file.name or environment.get("GW_NAME", ""),
        listen=address(file.listen or environment.get("GW_LISTEN", ""), f"{path}: listen"),
        discovery=address(file.discovery or environment.get("GW_DISCOVERY", ""), f"{path}: discovery"),
        limits=file.limits,
        known=bytes(file.known),
        settings=settings,
        watch_s=min(WATCH_S, file.settings.obligations.ask_within_us / WATCHES / 1e6),
        dial_s=file.settings.limits.dial_timeout_us / 1e6,
        idle_s=file.settings.limits.keepalive_us / 1e6,
    )
