"""Reads a gateway's configuration: the GW_ variables and the file that they name.

Every mistake is reported in one line that names its place.
"""

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from oatlink.interface import Settings
from oatlink.options import Options, WireError, to_settings

MAX_FILE_BYTES = 16 * 1024 * 1024
MIN_SOCKETS = 64
WATCHES_PER_PERIOD = 4  # watch calls within the period (`ask_within_us`) in which the roster has to be requested
# The platform counts a gateway as notified of a change 6 s after discovery had it and could be reached, whatever
# failed before. An unanswered call takes 1.8 s, the pause after it 1.5 times a quarter of this period (2.25 s), and the
# call that brings the change 1.8 s: 5.85 s together.
NOTIFIED_US = 6_000_000
# Together with the 1.8 s until the call counts as unanswered, a first pause and another call, this is 6 s too.
MAX_WATCH_S = 2.5


class ConfigError(Exception):
    """A variable or file is wrong; the message is one line."""


class Limits(msgspec.Struct):
    """The machine's resource limits for this process."""

    cores: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 1_024


class RunOptions(Options):
    """The settings, with the `fleet` part that is forbidden on this platform, so that it can be reported.

    It is recognised in either spelling of its name (`fleet`, `Fleet`).
    """

    fleet: msgspec.Raw = msgspec.Raw(b"")


class ConfigFile(msgspec.Struct):
    """The configuration file. `known` is left encoded: `discovery.read` decodes it entry by entry."""

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
    """A gateway's validated configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    limits: Limits
    known: bytes
    settings: Settings
    watch_s: float  # how long a watch call may wait; short enough to notice a silent break before `NOTIFIED_US`
    dial_s: float
    idle_s: float
    is_list_pushed: bool = False  # the platform's agent has the newest list, and the gateway counts as notified of it


def with_polled_roster(settings: Settings, options: Options) -> Settings:
    """Return the settings as they apply on sockets, where the gateway has to request each roster itself.

    Prevents missed drains and starts when the settings say that the roster is pushed: nothing pushes it on sockets.
    With such settings, the gateway counts as notified of whatever the platform's agent has, from the process's first
    moment on, even while no watch is open. It therefore requests the roster within the time in which it has to stop
    sending. If the settings allow more time for the request than passes until a change counts as notified anyway, the
    shorter time applies.
    """
    within_us = min(settings.ask_within_us, NOTIFIED_US)
    if not settings.must_ask_roster and options.obligations.stop_sending_within_us > 0:
        within_us = min(within_us, options.obligations.stop_sending_within_us)
    return replace(settings, must_ask_roster=True, ask_within_us=within_us)


def parse_address(text: str, place: str) -> tuple[str, int]:
    """Parse a numeric IP address with its port; names are not resolved, as there is no DNS. Raises `ConfigError`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ConfigError(f"{place}: expected ADDRESS:PORT, got {text[:80]!r}") from None
    if not (port.isascii() and port.isdigit() and 0 <= int(port) < 65_536):
        raise ConfigError(f"{place}: expected a port of 0 to 65535, got {port[:80]!r}")
    return host.strip("[]"), int(port)


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Load the configuration. A value in the file wins over a variable, which may be older. Raises `ConfigError`."""
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: expected the path of the configuration file")
    try:
        with Path(path).open("rb") as source:
            text = source.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}") from None
    if len(text) > MAX_FILE_BYTES:
        raise ConfigError(f"{path}: expected at most {MAX_FILE_BYTES} bytes")
    try:
        file = msgspec.json.decode(text, type=ConfigFile)
        seed = int(file.seed, 16) if isinstance(file.seed, str) else file.seed
        settings = to_settings(file.settings, seed & (1 << 64) - 1)
        is_list_pushed = not settings.must_ask_roster
        settings = with_polled_roster(settings, file.settings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (WireError, ValueError) as error:
        raise ConfigError(f"{path}: settings: {error}") from None
    # Prevents one line of configuration from enabling what this platform forbids: gateways here share nothing.
    for place, part in (("fleet", file.fleet), ("settings.Fleet", file.settings.fleet)):
        if bytes(part) not in (b"", b"null"):
            raise ConfigError(f"{path}: {place}: expected none, gateways share nothing on this platform")
    if file.limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"{path}: limits.sockets: expected at least {MIN_SOCKETS}, got {file.limits.sockets}")
    try:
        settings.validate()
    except ValueError as error:
        raise ConfigError(f"{path}: settings: {error}") from None
    return Config(
        name=file.name or environment.get("GW_NAME", ""),
        listen=parse_address(file.listen or environment.get("GW_LISTEN", ""), f"{path}: listen"),
        discovery=parse_address(file.discovery or environment.get("GW_DISCOVERY", ""), f"{path}: discovery"),
        limits=file.limits,
        known=bytes(file.known),
        settings=settings,
        watch_s=min(MAX_WATCH_S, file.settings.obligations.ask_within_us / WATCHES_PER_PERIOD / 1e6),
        dial_s=file.settings.limits.dial_timeout_us / 1e6,
        idle_s=file.settings.limits.keepalive_us / 1e6,
        is_list_pushed=is_list_pushed,
    )
