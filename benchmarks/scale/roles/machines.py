"""What runs on the six machines as it is today: keepers, homes, the sequencer; a process each."""

from benchmarks.scale import size as at
from benchmarks.scale.roles import control
from benchmarks.scale.roles.fleet import ASKS_PER_S, tenant_bytes
from benchmarks.scale.row import Row
from oatlink.fleet.limits.shards import SHARDS
from oatlink.fleet.messages import MAX_VALUE_BYTES
from oatlink.fleet.shell.listener import MAX_UNPROVED

LEASES_PER_S = SHARDS * 3 / 2 + 3 / 3  # each renewed three times a term: 2 s for limits, 3 s for versions
LOOK_S = 4 / 3  # between two looks at a lease that is astray
K, H, Q = "Keeper", "Home of a shard of limits", "Sequencer"

KEEPER = (
    Row(
        K,
        "steady",
        "renewals of five leases",
        "ms/s",
        "7/s · time of a change",
        lambda s, k: LEASES_PER_S * k.mean("registers", "keeper_cpu_us_per_change") / 1000,
        at.CORE_MS_PER_S,
        False,
        "registers",
    ),
    Row(
        K,
        "a home lost",
        "looks of all nodes at its lease, sockets left out",
        "ms/s",
        "N / 1.33 s · (a + b · 5 registers + codec)",
        lambda s, k: s.gateways / LOOK_S * (k.line("looks", "us_per_look", 5) + k.mean("looks", "wire_us")) / 1000,
        at.CORE_MS_PER_S,
        False,
        "each node looks by itself",
        "who holds a lease is told by the stream",
    ),
    Row(
        K,
        "common start",
        "connections at its door that have proved nothing yet",
        "",
        "N, where all have something to ask",
        lambda s, k: s.gateways,
        float(MAX_UNPROVED),
        False,
        "the oldest go, and dial again within 2 s",
        "only relays dial; theirs are few",
        "the bound is the code's own: fleet.shell.listener.MAX_UNPROVED",
        after=lambda s, k: control.relays(s),
    ),
    Row(
        K,
        "steady",
        "links",
        "",
        "N, once all have asked",
        lambda s, k: s.gateways,
        at.DESCRIPTORS,
        False,
        "each node dials each keeper",
        "only relays dial",
        "a link a node: fleet.shell.outbound",
    ),
)
HOME = (
    Row(
        H,
        "steady",
        "grants and their codec, sockets left out",
        "ms/s",
        "N · 4/s · (T/4 · (a + b · N) + codec · T/16)",
        lambda s, k: (
            s.gateways
            * ASKS_PER_S
            * s.tenants
            / SHARDS
            * (k.line("grants", "us_per_grant", s.gateways) + k.mean("grants", "wire_us") / 4)
            / 1000
        ),
        at.CORE_MS_PER_S,
        False,
        "each node asks each home",
        "division in levels: a relay asks once for its zone",
    ),
    Row(
        H,
        "steady",
        "questions and answers",
        "bytes/s",
        "N · 4/s · T/4 · bytes of both",
        lambda s, k: s.gateways * ASKS_PER_S * s.tenants / SHARDS * tenant_bytes(k),
        at.MACHINE_BYTES_PER_S,
        False,
        "each node asks each home",
        "division in levels: a relay asks once for its zone",
    ),
    Row(
        H,
        "steady",
        "memory of its books",
        "MB",
        "T/16 · (a + b · N), four tenants measured",
        lambda s, k: s.tenants / SHARDS / 4 * k.line("grants", "book_kb", s.gateways) / 1000,
        None,
        True,
        "a row a node that asks",
    ),
    Row(
        H,
        "steady",
        "least burst of a tenant with a floor of a fifth",
        "requests",
        "N / 0.2",
        lambda s, k: s.gateways / at.BURST_FLOOR,
        None,
        True,
        "a floor for each node",
        "floors by zone, divided there",
        "at least one request a node: settings.fleet.LEAST_BURST",
    ),
)
SEQUENCER = (
    Row(
        Q,
        "steady, once a layout has changed",
        "answers to all nodes",
        "ms/s",
        "N · 3.3/s · (a + b · M/G)",
        lambda s, k: (
            s.gateways * k.mean("layouts", "asks_per_s_a_node") * k.line("layouts", "us_per_answer", s.groups) / 1000
        ),
        at.CORE_MS_PER_S,
        False,
        "each node asks the sequencer",
        "stream of control: changes by group",
        after=lambda s, k: control.relays(s) * k.mean(control.NAME, "us_per_change") / 1000,
    ),
    Row(
        Q,
        "steady, once a layout has changed",
        "bytes of these",
        "bytes/s",
        "N · 3.3/s · (a + b · M/G)",
        lambda s, k: s.gateways * k.mean("layouts", "asks_per_s_a_node") * k.line("layouts", "answer_bytes", s.groups),
        at.MACHINE_BYTES_PER_S,
        False,
        "each node asks the sequencer",
        "stream of control: changes by group",
    ),
    Row(
        Q,
        "change of layout",
        "the register of the state",
        "bytes",
        "a + b · M/G",
        lambda s, k: k.line("layouts", "state_bytes", s.groups),
        float(MAX_VALUE_BYTES),
        True,
        "one register for all groups",
        "a register a group, or by ranges of them",
    ),
)
