"""What a fleet adds to a RESP gateway, as it is today."""

import math

from benchmarks.scale import size as at
from benchmarks.scale.reading import Reading
from benchmarks.scale.roles import control
from benchmarks.scale.row import Row
from benchmarks.scale.size import Size
from oatlink.fleet.membership.view import MAX_HEARD

ROLE = "RESP gateway with a fleet, on top"
STREAM = "stream of control"
LINK_S = 30  # without a word after which a link is closed
ASKS_PER_S = 4  # of a home, for what is in use


def _idle_bytes(size: Size, k: Reading) -> float:
    # A message names so many nodes at most, and is measured to 320 of them; beyond, places take more bytes.
    message = k.over("idle", "bytes_per_message", "words", min(size.gateways - 1, MAX_HEARD))
    grown = k.line("view", "message_bytes", size.gateways) / k.line("view", "message_bytes", 320)
    return 2 * k.mean("idle", "messages_per_s") * message * max(1.0, grown)


def _idle_ms(size: Size, k: Reading) -> float:
    shell = k.last("idle", "cpu_ms_per_s") - k.line("node", "tick_cpu_ms_per_s", 320)
    return k.line("node", "tick_cpu_ms_per_s", size.gateways) + k.last("node", "take_cpu_ms_per_s") + max(0.0, shell)


def tenant_bytes(k: Reading) -> float:
    """Bytes of one question and its answer, a tenant, both ways."""
    return (k.mean("grants", "want_bytes") + k.mean("grants", "grants_bytes")) / 4


ROWS = (
    Row(
        ROLE,
        "steady",
        "words of who is there, both ways",
        "bytes/s",
        "2 · messages · (a + b · min(N - 1, 128)) · (c + d · N) / (c + d · 320)",
        _idle_bytes,
        at.BYTES_PER_S,
        True,
        "gossip of everybody",
        "membership by the stream: own zone only",
        after=control.reader("idle_bytes_per_s"),
    ),
    Row(
        ROLE,
        "steady",
        "processor time, idle",
        "ms/s",
        "a + b · N, and the shell's at 320 nodes",
        _idle_ms,
        at.CPU_MS_PER_S,
        True,
        "gossip of everybody",
        "membership by the stream: own zone only",
        after=control.reader("idle_cpu_ms_per_s"),
    ),
    Row(
        ROLE,
        "steady",
        "memory of node and settings",
        "MB",
        "a + b · N",
        lambda s, k: (k.line("node", "memory_kb", s.gateways) + k.line("settings", "memory_kb", s.gateways)) / 1000,
        at.MEMORY_MB,
        True,
        "all names in each",
        after=lambda s, k: k.mean(control.NAME, "memory_kb") / 1000,
    ),
    Row(
        ROLE,
        "steady",
        "links",
        "",
        "2 · messages a second · 30 s",
        lambda s, k: 2 * LINK_S * k.last("idle", "messages_per_s"),
        at.DESCRIPTORS,
        False,
        "a link closed after 30 s without a word",
        "one upstream and a spare",
        after=lambda s, k: 2.0,
    ),
    Row(
        ROLE,
        "steady",
        "limits, T tenants active",
        "bytes/s",
        "T · 4/s · bytes of question and answer",
        lambda s, k: s.tenants * ASKS_PER_S * tenant_bytes(k),
        at.BYTES_PER_S,
        True,
        "each node asks each home",
        "division in levels: a relay asks once for its zone",
    ),
    Row(
        ROLE,
        "steady, once a layout has changed",
        "versions' answers",
        "bytes/s",
        "3.3/s · (a + b · M/G)",
        lambda s, k: (
            k.mean("layouts", "asks_per_s_a_node")
            * (k.mean("layouts", "ask_bytes") + k.line("layouts", "answer_bytes", s.groups))
        ),
        at.BYTES_PER_S,
        True,
        "the whole state in each answer",
        STREAM + ": changes by group",
        after=control.reader("idle_bytes_per_s"),
    ),
    Row(
        ROLE,
        "one failed",
        "until a dead node is missed",
        "s",
        "a + b · N",
        lambda s, k: k.line("view", "patience_s", s.gateways),
        at.PRIMARY_S,
        False,
        "gossip of everybody",
        "leases at the six machines, told by the stream",
        after=control.reader("missed_after_s"),
    ),
    Row(
        ROLE,
        "zone lost",
        "verdicts, both ways, worst second",
        "bytes/s",
        "2 · (a + b · M/Z)",
        lambda s, k: 2 * k.line("spread", "worst_second_bytes", s.databases / s.zones),
        at.BYTES_PER_S,
        True,
        "gossip under a ceiling",
        "one word for a zone; sums go up",
        after=control.reader("change_bytes"),
    ),
    Row(
        ROLE,
        "zone lost",
        "share of these words that is never sent",
        "%",
        "(a + b · M/Z) / (M/Z)",
        lambda s, k: 100 * k.line("spread", "unsent_words", s.databases / s.zones) / (s.databases / s.zones),
        None,
        True,
        "gossip under a ceiling",
        "one word for a zone; sums go up",
    ),
    Row(
        ROLE,
        "one replaced",
        "the file again, at every node",
        "bytes/s",
        "a + b · N",
        lambda s, k: k.line("settings", "file_bytes", s.gateways),
        at.BYTES_PER_S,
        True,
        "a file and a restart, by hand",
        STREAM,
        after=control.reader("change_bytes"),
    ),
    Row(
        ROLE,
        "change of configuration",
        "until in force everywhere",
        "s",
        "never: other hashes refuse each other",
        lambda s, k: math.inf,
        at.IN_FORCE_S,
        True,
        "none",
        STREAM,
        "the hash in each greeting: settings.fleet.fleet_hash",
        after=control.in_force_s,
    ),
)
