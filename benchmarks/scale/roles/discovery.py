"""Discovery, as its callers see it: it is not ours, so of its own costs only what crosses its sockets is known."""

from benchmarks.scale import size as at
from benchmarks.scale.roles.shared import list_bytes
from benchmarks.scale.row import Row

ROLE = "Discovery, as its callers see it"
SAVED = "list saved on disk, then changes since its version"
RELAY = "one watch a zone; the stream carries it on"

ROWS = (
    Row(
        ROLE,
        "steady",
        "calls, a new connection each",
        "/s",
        "N / 2.5 s",
        lambda s, k: s.gateways / at.WATCH_S,
        None,
        True,
        "a watch a gateway",
        RELAY,
        "a call each quarter of ask_within: platform.config.WATCHES",
    ),
    Row(
        ROLE,
        "steady",
        "bytes",
        "bytes/s",
        "N · bytes of a call / 2.5 s",
        lambda s, k: s.gateways / at.WATCH_S * (k.last("calls", "bytes_out") + k.point("calls", "bytes_in", 0)),
        at.MACHINE_BYTES_PER_S,
        False,
        "a watch a gateway",
        RELAY,
    ),
    Row(
        ROLE,
        "one replaced",
        "all watches answered at once",
        "bytes/s",
        "N · bytes of a call with one",
        lambda s, k: s.gateways * (k.last("calls", "bytes_out") + k.point("calls", "bytes_in", 1)),
        at.MACHINE_BYTES_PER_S,
        False,
        "a watch a gateway",
        RELAY,
    ),
    Row(
        ROLE,
        "common start",
        "whole lists",
        "bytes/s",
        "N · (a + b · M) / 2.5 s",
        lambda s, k: s.gateways * list_bytes(s, k) / at.WATCH_S,
        at.MACHINE_BYTES_PER_S,
        False,
        "the first calls spread over 2.5 s",
        SAVED,
    ),
    Row(
        ROLE,
        "release in tenths",
        "whole lists",
        "bytes/s",
        "N/10 · (a + b · M) / 2.5 s",
        lambda s, k: s.gateways / 10 * list_bytes(s, k) / at.WATCH_S,
        at.MACHINE_BYTES_PER_S,
        False,
        "the first calls spread over 2.5 s",
        SAVED,
    ),
    Row(
        ROLE,
        "zone back",
        "whole lists to its gateways",
        "bytes/s",
        "N/Z · (a + b · M) / 2.5 s",
        lambda s, k: s.gateways / s.zones * list_bytes(s, k) / at.WATCH_S,
        at.MACHINE_BYTES_PER_S,
        False,
        "the first calls spread over 2.5 s",
        SAVED,
    ),
    Row(
        ROLE,
        "region back after an hour",
        "whole lists to its gateways",
        "bytes/s",
        "N/R · (a + b · M) / 2.5 s",
        lambda s, k: s.gateways / s.regions * list_bytes(s, k) / at.WATCH_S,
        at.MACHINE_BYTES_PER_S,
        False,
        "calls again over 1.25 to 3.75 s",
        "changes since the version held, at a bounded rate",
    ),
)
