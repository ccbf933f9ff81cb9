"""Requests before the fleet's gate, in the engine alone: quota, waiting, order, transactions, versions, snapshots."""

import subprocess
import sys

import pytest

from oatlink.core import messages as m
from oatlink.core.snapshot import restore_engine, take_snapshot
from oatlink.fleet.gate import Alone, Granted, Served
from oatlink.fleet.messages import Marker
from oatlink.settings import load_text
from tests.test_engine import PLAIN, TEMPLATE, Rig, info

FLEET_PART = """{ fleet: { node: 'a', key_files: ['k'], state_dir: 's',
  nodes: [{ name: 'a', address: '127.0.0.1:7001', keeper: true }, { name: 'b', address: '127.0.0.1:7002' }],
  tenants: [{ name: 't', match: { client_names: ['t*'] }, rate: 100, burst: 20, floor: 0.2 }], %s } }"""
LIMITED = load_text(f"{TEMPLATE} + {FLEET_PART % ''}", "test")
VERSIONED = load_text(f"{TEMPLATE} + {FLEET_PART % 'versions: { first: 1 }'}", "test")
SERVED = Served(7, 2**60, (1,), 1, (), (("one", (1,)), ("two", (1,))))


def new_rig(settings: object = LIMITED, name: str = "t") -> Rig:
    rig = Rig(settings)  # type: ignore[arg-type]
    rig.ask("CLIENT", "SETNAME", name)
    rig.answers.clear()
    return rig


def count_seeks(rig: Rig) -> int:
    return sum(isinstance(effect, m.QueryFleet) for effect in rig.other)


def grant(rig: Rig, rate: float = 40, burst: float = 10, serial: int = 1, term_us: int = 1_000_000) -> None:
    rig.give(m.FleetNews(Granted("tenant/t", serial, rate, burst, rig.now + term_us)))


def test_a_tenants_first_request_waits_for_a_grant_and_goes_on_with_it() -> None:
    rig = new_rig()
    assert rig.ask("SET", PLAIN, 1) is None and count_seeks(rig) == 1 and not rig.answers
    grant(rig)
    assert not rig.sent  # a new bucket is empty
    rig.pass_us(60_000)
    assert len(rig.sent) == 1
    rig.end(rig.sent[0])
    assert rig.answers[1] == [b"+OK\r\n"]


def test_without_a_grant_the_floor_serves_and_the_rest_is_refused_with_a_time() -> None:
    rig = new_rig()
    for _ in range(10):
        rig.ask("GET", PLAIN)
    rig.pass_us(200_000)
    refused = [data for data in rig.answers.get(1, []) if data.startswith(b"-QUOTA")]
    # Answers leave in order, so refusals wait for the served requests before them: end what was sent.
    for send in list(rig.sent):
        rig.end(send, [b"$-1\r\n"])
    answers = b"".join(rig.answers[1])
    assert 1 <= len(rig.sent) <= 2 and answers.count(b"-QUOTA") == 10 - len(rig.sent)
    assert b"retry after " in answers and refused is not None
    assert rig.engine.counts["over_quota"] == 10 - len(rig.sent) and rig.engine.counts["shed"] == 0


def test_the_order_of_a_waiting_command_is_kept() -> None:
    rig = new_rig()
    rig.ask("SET", PLAIN, 1)
    rig.ask("SET", PLAIN, 2)
    grant(rig, rate=80, burst=16)
    rig.pass_us(140_000)
    assert [send.payload.count(b"$1\r\n1\r\n") for send in rig.sent] == [1]  # the second waits for the first
    rig.end(rig.sent[0])
    assert len(rig.sent) == 2


def test_another_client_of_no_tenant_is_not_asked_for_anything() -> None:
    rig = new_rig()
    assert rig.ask("SET", PLAIN, 1, client=2) is not None and not count_seeks(rig)


def test_a_transaction_counts_its_commands() -> None:
    rig = new_rig()
    rig.ask("GET", PLAIN)  # creates the tenant's buckets
    grant(rig, rate=1, burst=8, term_us=60_000_000)
    rig.pass_us(2_500_000)  # by now the floor's bucket has 2, the grant's 2.5
    for send in list(rig.sent):
        rig.end(send, [b"$-1\r\n"])
    rig.answers.clear()
    rig.ask("MULTI")
    for _ in range(6):
        rig.ask("GET", PLAIN)
    sent_count = len(rig.sent)
    rig.ask("EXEC")
    assert len(rig.sent) == sent_count and b"".join(rig.answers[1]).rpartition(b"-QUOTA")[1]
    rig.ask("MULTI")
    rig.ask("GET", PLAIN)
    assert rig.ask("EXEC") is not None


def test_a_client_that_leaves_while_its_request_waits_is_forgotten_and_nothing_is_sent() -> None:
    rig = new_rig()
    rig.ask("SET", PLAIN, 1)
    rig.give(m.Closed(1))
    grant(rig, rate=80, burst=16)
    rig.pass_us(2_000_000)
    assert not rig.sent and rig.engine.idle and not rig.engine.versions_in_use()


def test_a_node_that_is_alone_has_no_floor() -> None:
    rig = new_rig()
    rig.give(m.FleetNews(Alone()))
    rig.pass_us(3_000_000)
    rig.ask("GET", PLAIN)
    assert not rig.sent and rig.answers[1][0].startswith(b"-QUOTA")


def test_a_snapshot_holds_what_was_spent() -> None:
    rig = new_rig()
    rig.ask("GET", PLAIN)
    grant(rig, rate=40, burst=10, term_us=30_000_000)
    rig.pass_us(1_000_000)
    for send in list(rig.sent):
        rig.end(send, [b"$-1\r\n"])
    engine = restore_engine(take_snapshot(rig.engine, rig.now), LIMITED)
    messages = [m.CommandReceived(1, [b"GET", PLAIN.encode()]) for _ in range(30)]
    restored = [engine.handle(message, rig.now) for message in messages]
    assert restored == [rig.engine.handle(message, rig.now) for message in messages]
    assert rig.engine.counts["over_quota"] > 5


# ---- Versions ----


def test_nothing_is_served_before_the_fleet_has_named_the_versions() -> None:
    rig = new_rig(VERSIONED, "x")
    rig.ask("GET", PLAIN)
    assert not rig.sent and rig.answers[1][0].startswith(b"-LAYOUT 0 is not served") and b"retry" in rig.answers[1][0]
    rig.give(m.FleetNews(SERVED))
    assert rig.ask("GET", PLAIN) is not None
    assert rig.engine.versions_in_use() == (1,)
    rig.end(rig.sent[0], [b"$-1\r\n"])
    assert rig.engine.versions_in_use() == ()


def test_a_client_that_names_a_version_not_served_is_refused_with_a_time_to_retry() -> None:
    rig = new_rig(VERSIONED, "x;layout=2")
    rig.give(m.FleetNews(SERVED))
    rig.ask("GET", PLAIN)
    assert not rig.sent and rig.answers[1][0].startswith(b"-LAYOUT 2")


def test_a_connection_stays_with_the_version_that_it_began_with() -> None:
    rig = new_rig(VERSIONED, "x")
    rig.give(m.FleetNews(SERVED))
    rig.end(rig.ask("GET", PLAIN), [b"$-1\r\n"])  # type: ignore[arg-type]
    rig.give(m.FleetNews(Served(8, 2**60, (1, 2), 2, (), (("one", (1, 2)), ("two", (1, 2))))))
    assert rig.ask("GET", PLAIN) is not None and rig.engine.versions_in_use() == (1,)
    assert rig.ask("GET", PLAIN, client=2) is not None and sorted(rig.engine.versions_in_use()) == [1, 2]
    rig.give(m.FleetNews(Served(9, 2**60, (2,), 2, (), (("one", (2,)), ("two", (2,))))))
    rig.answers.clear()
    for send in list(rig.sent)[1:]:
        rig.end(send, [b"$-1\r\n"])
    sent_count = len(rig.sent)
    rig.ask("GET", PLAIN)
    assert len(rig.sent) == sent_count and rig.answers[1][-1].startswith(b"-LAYOUT 1")


@pytest.mark.parametrize("is_applied", [True, False])
def test_a_request_goes_only_to_a_primary_that_has_applied_the_step(is_applied: bool) -> None:
    rig = new_rig(VERSIONED, "x;layout=2")
    rig.says["p"] = info("primary", 500 if is_applied else 300, run="p")
    marker = ("one", Marker(2, "h1", 400))
    rig.give(m.FleetNews(Served(8, 2**60, (1, 2), 1, (marker,), (("one", (1, 2)), ("two", (1, 2))))))
    rig.ask("SET", PLAIN, 1)
    if is_applied:
        assert len(rig.sent) == 1
    else:
        assert not rig.sent and rig.answers[1][0].startswith(b"-LAYOUT 2") and rig.engine.idle
        rig.says["p"] = info("primary", 450, run="p")  # the step was repeated
        rig.ask("SET", PLAIN, 1)
        assert rig.ask("SET", PLAIN, 1) is not None


def test_a_request_that_waited_past_the_end_of_the_term_is_not_sent() -> None:
    rig = new_rig(VERSIONED, "x")
    rig.list(p="gone")  # without a primary, a write is kept pending
    rig.give(m.FleetNews(Served(8, rig.now + 100_000, (1,), 1, (), (("one", (1,)), ("two", (1,))))))
    rig.says["r"] = info("replica", 100, run="r")
    assert rig.ask("SET", PLAIN, 1) is None and not rig.answers
    rig.pass_us(150_000)
    rig.says["r"] = info("primary", 120, "h2", run="r", replid2="h1", second=110)
    rig.pass_us(1_500_000)
    assert not rig.sent and rig.answers[1][0].startswith(b"-LAYOUT 1")


# ---- Dials ----


def test_dials_to_a_box_beyond_the_fleets_rate_wait_and_none_is_lost() -> None:
    part = FLEET_PART % "members: { dials_per_s: 20, dials_burst: 10, floor: 0.4 }"
    rig = new_rig(load_text(f"{TEMPLATE} + {part}", "test"), "x")
    rig.pass_us(1_000_000)
    for number in range(1, 9):
        rig.give(m.ConnectionWanted("p", number))

    def dial_numbers() -> list[int]:
        return [effect.dial for effect in rig.other if isinstance(effect, m.Dial)]

    assert not dial_numbers() and count_seeks(rig)  # the floor's bucket is created empty by the first question
    rig.pass_us(1_000_000)
    assert 2 <= len(dial_numbers()) <= 5  # the node's floor is 4 per second
    rig.give(m.FleetNews(Granted("dials/p", 1, 12.0, 6.0, rig.now + 60_000_000)))
    rig.pass_us(6_000_000)
    assert sorted(dial_numbers()) == list(range(1, 9))


# ---- No fleet in the settings ----

IMPORT_CHECK = """
import sys
from oatlink.gateway import run, server
from oatlink.settings import load_text
settings = load_text(sys.argv[1], 'test')
server.Gateway(settings)
loaded = [module for module in sys.modules if module.startswith('oatlink.fleet')]
parts = ('shell', 'control', 'limits', 'registers', 'leases', 'verdicts', 'membership', 'gating', 'node')
assert not [module for module in loaded if module.startswith(tuple(f'oatlink.fleet.{part}' for part in parts))], loaded
print('quiet')
"""


def test_the_gateway_of_run_imports_nothing_of_it() -> None:
    program = "import sys, oatlink.platform.gateway; print([name for name in sys.modules if 'oatlink.fleet' in name])"
    process = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=False)
    assert process.stdout == "[]\n", process.stderr


def test_without_a_fleet_part_nothing_of_it_is_imported() -> None:
    process = subprocess.run(
        [sys.executable, "-c", IMPORT_CHECK, TEMPLATE], capture_output=True, text=True, check=False
    )
    assert process.stdout == "quiet\n", process.stderr
