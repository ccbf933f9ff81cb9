"""The RESP gateway without a fleet."""

import math

from benchmarks.scale import size as at
from benchmarks.scale.roles import control
from benchmarks.scale.row import Row

ROLE = "RESP gateway without a fleet"
FILE = "members from a watch instead of one file"

ROWS = (
    Row(
        ROLE,
        "steady",
        "memory of list, engine and links, none open",
        "MB",
        "a + b · M",
        lambda s, k: k.line("resp", "kept_kb", s.databases) / 1000,
        at.MEMORY_MB,
        True,
        "whole list in each",
    ),
    Row(
        ROLE,
        "steady",
        "sweeps",
        "ms/s",
        "a + b · M",
        lambda s, k: k.line("resp", "sweep_cpu_ms_per_s", s.databases),
        at.CPU_MS_PER_S,
        True,
        "all links once a second",
    ),
    Row(
        ROLE,
        "common start, release",
        "list, engine and links made",
        "ms",
        "a + b · M",
        lambda s, k: k.line("resp", "first_ms", s.databases),
        at.CPU_MS_PER_S,
        True,
        "the settings' list",
        FILE,
    ),
    Row(
        ROLE,
        "one replaced, zone lost",
        "the file again",
        "bytes/s",
        "a + b · M",
        lambda s, k: k.line("resp", "file_bytes", s.databases),
        at.BYTES_PER_S,
        True,
        "a file and a signal, by hand",
        FILE,
    ),
    Row(
        ROLE,
        "change of configuration",
        "the file read and checked",
        "ms",
        "a + b · M",
        lambda s, k: k.line("resp", "read_ms", s.databases),
        at.CPU_MS_PER_S,
        True,
        "a file and a signal, by hand",
        "stream of control: changes, not files",
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
        "a file and SIGHUP: gateway.server",
        after=control.in_force_s,
    ),
)
