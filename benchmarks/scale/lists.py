"""A list of databases as discovery writes it."""

import msgspec

from benchmarks.scale.site import GROUP, ZONES


def server(at: int, state: str = "in_service") -> dict[str, object]:
    """One entry."""
    return {
        "id": f"db-{at // GROUP:04}-{at % GROUP:02}",
        "state": state,
        "addr": f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:5432",
        "zone": f"zone-{at % ZONES:02}",
        "kind": "std",
        "cell": at // GROUP,
        "started_ms": 1_767_225_600_000 + at,
        "recovery": "off" if at % GROUP == 0 else "on",
    }


def page(members: int, version: int = 1) -> bytes:
    """The whole list."""
    servers = [server(at) for at in range(members)]
    return msgspec.json.encode({"version": version, "full": True, "servers": servers})


def unchanged(version: int) -> bytes:
    """A watch's answer when its time is up."""
    return msgspec.json.encode({"version": version, "full": False, "servers": []})


def change(at: int, version: int, state: str = "terminating") -> bytes:
    """A change of one server."""
    return msgspec.json.encode({"version": version, "full": False, "servers": [server(at, state)]})
