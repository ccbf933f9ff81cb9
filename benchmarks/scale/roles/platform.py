"""The gateway on the platform."""

import math

from benchmarks.scale import size as at
from benchmarks.scale.reading import Reading
from benchmarks.scale.roles import control
from benchmarks.scale.roles.shared import check_bytes, checks, list_bytes, open_share
from benchmarks.scale.row import Row
from benchmarks.scale.size import Size

ROLE = "Gateway on the platform"
PULL = "freshness told by relay: one check a zone, not one a gateway; a subset of each group's members"
OWN = "within the process: by what is due, not by walking all"


def _memory(size: Size, k: Reading) -> float:
    connections = k.line("servers", "kept_kb", size.databases * open_share(size))
    return (connections + k.line("clients", "kept_kb", size.clients / size.gateways)) / 1000


def _descriptors(size: Size, k: Reading) -> float:
    clients = k.line("clients", "descriptors", size.clients / size.gateways) / 0.25 / 0.55
    servers = k.line("servers", "descriptors", size.databases * open_share(size)) / 0.45
    return max(clients, servers) + 24


def _swept(busy_ms: float) -> float:
    """What sweeps take of a second, where ten without a rest would take so much: each is followed by its rest."""
    return 1000 * busy_ms / (1000 + busy_ms)


def _cold_ms(size: Size, k: Reading, cold: float) -> float:
    share = 1 - math.exp(-cold / size.groups)
    return size.rate * share * k.line("cold", "more_us_per_request", size.databases) / 1000


ROWS = (
    Row(
        ROLE,
        "steady",
        "checks, if all reads have a bound of 500 ms",
        "/s",
        "S/N · (a + b · exp(-470 ms · G·S/(N·M)))",
        checks,
        None,
        True,
        "each gateway checks by itself",
        PULL,
    ),
    Row(
        ROLE,
        "steady",
        "bytes of these checks",
        "bytes/s",
        "checks · bytes of a check",
        lambda s, k: checks(s, k) * check_bytes(k),
        at.BYTES_PER_S,
        True,
        "each gateway checks by itself",
        PULL,
    ),
    Row(
        ROLE,
        "steady",
        "processor time of these checks",
        "ms/s",
        "checks · time of a check",
        lambda s, k: checks(s, k) * k.mean("servers", "check_us") / 1000,
        at.CPU_MS_PER_S,
        True,
        "each gateway checks by itself",
        PULL,
    ),
    Row(
        ROLE,
        "steady",
        "sweeps, no connection open, by values",
        "ms/s",
        "t / (0.1 s + t), t = a + b · M a sweep",
        lambda s, k: _swept(k.line("members", "sweep_cpu_ms_per_s", s.databases)),
        at.CPU_MS_PER_S,
        True,
        "pools with something open, then 0.1 s of rest",
        OWN,
    ),
    Row(
        ROLE,
        "steady",
        "a real process that nobody asks",
        "ms/s",
        "a + b · M",
        lambda s, k: k.line("process", "idle_cpu_ms_per_s", s.databases),
        at.CPU_MS_PER_S,
        True,
        "sweeps and the line of state",
        OWN,
    ),
    Row(
        ROLE,
        "steady",
        "sweeps of connections and clients, as open as they are",
        "ms/s",
        "t / (0.1 s + t), t = a + b · M · share open + c + d · C/N",
        lambda s, k: _swept(
            k.line("servers", "idle_cpu_ms_per_s", s.databases * open_share(s))
            + k.line("clients", "idle_cpu_ms_per_s", s.clients / s.gateways)
        ),
        at.CPU_MS_PER_S,
        True,
        "pools with something open and all clients, then 0.1 s of rest",
        OWN,
    ),
    Row(
        ROLE,
        "steady",
        "resident memory of a process that nobody asks",
        "MB",
        "a + b · M",
        lambda s, k: k.line("process", "resident_mb", s.databases),
        at.MEMORY_MB,
        True,
        "whole list in each",
    ),
    Row(
        ROLE,
        "steady",
        "memory of the list and the Router",
        "MB",
        "a + b · M",
        lambda s, k: k.line("members", "kept_kb", s.databases) / 1000,
        at.MEMORY_MB,
        True,
        "whole list in each",
    ),
    Row(
        ROLE,
        "steady",
        "memory of its connections, user's side",
        "MB",
        "a + b · M · share open + c + d · C/N",
        _memory,
        None,
        True,
        "a connection to nearly each database",
        "a subset of each group's members",
    ),
    Row(
        ROLE,
        "steady",
        "descriptors that the settings must allow",
        "",
        "max(C/N / 0.25 / 0.55, M · share open / 0.45)",
        _descriptors,
        at.DESCRIPTORS,
        False,
        "idle clients closed past a quarter of their part",
    ),
    Row(
        ROLE,
        "steady",
        "watch of discovery",
        "bytes/s",
        "bytes of a call / 2.5 s",
        lambda s, k: (k.last("calls", "bytes_out") + k.point("calls", "bytes_in", 0)) / at.WATCH_S,
        at.BYTES_PER_S,
        True,
        "a call each 2.5 s",
    ),
    Row(
        ROLE,
        "steady",
        "line of state in the log",
        "bytes/s",
        "(a + b · M) / 100 sweeps with their rests",
        lambda s, k: (
            k.line("members", "state_line_bytes", s.databases)
            / (10 + k.line("members", "sweep_cpu_ms_per_s", s.databases) / 100)
        ),
        at.BYTES_PER_S,
        False,
        "names members with something open",
        "only what is not usual, counts for the rest",
    ),
    Row(
        ROLE,
        "steady",
        "loop stands still for that line",
        "ms",
        "a + b · M",
        lambda s, k: k.line("members", "state_line_ms", s.databases),
        at.STILL_MS,
        False,
        "names members with something open",
        "only what is not usual, counts for the rest",
    ),
    Row(
        ROLE,
        "steady",
        "walk over all members for cold ones",
        "ms/s",
        "S/N · share of groups with a cold one · (a + b · M)",
        lambda s, k: _cold_ms(s, k, s.cold),
        at.CPU_MS_PER_S,
        True,
        "a walk a request",
        OWN,
    ),
    Row(
        ROLE,
        "common start, release",
        "whole list in a second",
        "bytes/s",
        "a + b · M",
        list_bytes,
        at.BYTES_PER_S,
        True,
        "discovery's whole list",
        "list saved on disk, then changes since its version",
    ),
    Row(
        ROLE,
        "common start, release",
        "whole list's processor time",
        "ms",
        "a + b · M",
        lambda s, k: k.line("members", "first_ms", s.databases) + k.line("calls", "call_ms", s.databases),
        at.CPU_MS_PER_S,
        True,
        "discovery's whole list",
        "list saved on disk, then changes since its version",
    ),
    Row(
        ROLE,
        "common start, release",
        "checks of the first 10 s",
        "bytes/s",
        "(a + b · M) · bytes of a check",
        lambda s, k: k.line("checks", "checks_first_10_s_per_s", s.databases) * check_bytes(k),
        at.BYTES_PER_S,
        True,
        "the first request of a group asks all of it",
        PULL,
    ),
    Row(
        ROLE,
        "common start, release",
        "dials of the first 10 s",
        "ms/s",
        "M / 10 s · time of a dial and check",
        lambda s, k: s.databases / 10 * k.mean("servers", "dial_and_check_us") / 1000,
        at.CPU_MS_PER_S,
        True,
        "the first request of a group asks all of it",
        PULL,
    ),
    Row(
        ROLE,
        "one replaced",
        "three changes of the list in a second",
        "ms",
        "3 · (a + b · M)",
        lambda s, k: 3 * k.line("members", "change_ms", s.databases),
        at.CPU_MS_PER_S,
        True,
        "watch",
    ),
    Row(
        ROLE,
        "rack lost",
        "a change of the list for each of its databases",
        "ms",
        "rack · (a + b · M)",
        lambda s, k: s.rack * k.line("members", "change_ms", s.databases),
        at.CPU_MS_PER_S,
        True,
        "watch",
        "changes gathered for a moment; " + OWN,
    ),
    Row(
        ROLE,
        "rack lost",
        "bytes of these changes",
        "bytes/s",
        "rack · bytes of a change",
        lambda s, k: s.rack * k.mean("members", "change_bytes"),
        at.BYTES_PER_S,
        True,
        "watch",
        "changes by number and new state only",
    ),
    Row(
        ROLE,
        "zone lost",
        "a change of the list for each of its databases",
        "ms",
        "M/Z · (a + b · M)",
        lambda s, k: s.databases / s.zones * k.line("members", "change_ms", s.databases),
        at.CPU_MS_PER_S,
        True,
        "watch",
        "one word for a zone; " + OWN,
    ),
    Row(
        ROLE,
        "zone lost",
        "bytes of these changes",
        "bytes/s",
        "M/Z · bytes of a change",
        lambda s, k: s.databases / s.zones * k.mean("members", "change_bytes"),
        at.BYTES_PER_S,
        True,
        "watch",
        "one word for a zone",
    ),
    Row(
        ROLE,
        "zone back",
        "walk over all members for cold ones",
        "ms/s",
        "S/N · share of groups with a cold one · (a + b · M)",
        lambda s, k: _cold_ms(s, k, s.databases / s.zones),
        at.CPU_MS_PER_S,
        True,
        "a walk a request",
        OWN,
    ),
    Row(
        ROLE,
        "region cut off, others' gateways",
        "dials that fail, steady",
        "ms/s",
        "(a + b · M/R) · time of a dial",
        lambda s, k: (
            k.line("cut", "checks_per_s", s.databases / s.regions) * k.mean("servers", "dial_and_check_us") / 1000
        ),
        at.CPU_MS_PER_S,
        True,
        "each gateway tries each lost member",
        "one word for a region",
    ),
    Row(
        ROLE,
        "region back",
        "checks in the worst second",
        "ms",
        "(a + b · M/R) · time of a dial and check",
        lambda s, k: (
            k.line("cut", "back_worst_s", s.databases / s.regions) * k.mean("servers", "dial_and_check_us") / 1000
        ),
        at.CPU_MS_PER_S,
        True,
        "each gateway tries each lost member",
        "one word for a region, spread by seed",
    ),
    Row(
        ROLE,
        "change of primary",
        "checks of its group",
        "bytes/s",
        "(a + b · M) · bytes of a check",
        lambda s, k: k.line("failover", "group_checks_per_s", s.databases) * check_bytes(k),
        at.BYTES_PER_S,
        True,
        "each gateway asks the group",
    ),
    Row(
        ROLE,
        "change of configuration",
        "until in force everywhere",
        "s",
        "never: a file and a signal, by hand",
        lambda s, k: math.inf,
        at.IN_FORCE_S,
        True,
        "none",
        "stream of control",
        "a file and SIGHUP: platform.gateway",
        after=control.in_force_s,
    ),
)
