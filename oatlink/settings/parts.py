"""Types shared by all parts of the settings."""

from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[int, Meta(gt=0)]
NotNegative = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(gt=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.:-]+$")]


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all settings: immutable, and unknown keys are refused so that misspelt ones are found."""


class Match(Part, frozen=True):
    """Which commands belong to a class or tenant: every list that is not empty must contain a match."""

    commands: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    users: tuple[str, ...] = ()
    client_names: tuple[str, ...] = ()


def is_address(text: str) -> bool:
    """Whether the text is host:port, with an IPv6 host in brackets, or unix:PATH."""
    if text.startswith("unix:"):
        return len(text) > 5
    host, colon, port = text.rpartition(":")
    bare_host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    return bool(
        colon and host and port.isdigit() and int(port) < 65_536 and (":" not in bare_host or host.startswith("["))
    )
