"""Requests before the fleet's gate, by values alone: quota, holding, order, transactions, versions, snapshots."""

import subprocess
import sys

import pytest

from oatlink.core import messages as m
from oatlink.core.snapshot import restore, take
from oatlink.fleet.gate import Alone, Granted, Served
from oatlink.fleet.messages import Marker
from oatlink.settings import load_text
from tests.test_engine import PLAIN, TEMPLATE, Rig, info

PART = """{ fleet: { node: 'a', key_files: ['k'], state_dir: 's',
  nodes: [{ name: 'a', address: '127.0.0.1:7001', keeper: true }, { name: 'b', address: '127.0.0.1:7002' }],
  tenants: [{ name: 't', match: { client_names: ['t*'] }, rate: 100, burst: 20, floor: 0.2 }], %s } }"""
LIMITED = load_text(f"{TEMPLATE} + {PART % ''}", "test")
VERSIONED = load_text(f"{TEMPLATE} + {PART % 'versions: { first: 1 }'}", "test")
SERVED = Served(7, 2**60, (1,), 1, (), (("one", (1,)), ("two", (1,))))


def rig(settings: object = LIMITED, name: str = "t") -> Rig:
    made = Rig(settings)  # type: ignore[arg-type]
    made.ask("CLIENT", "SETNAME", name)
    made.answers.clear()
    return made


def seeks(one: Rig) -> int:
    return sum(isinstance(effect, m.QueryFleet) for effect in one.other)


def granted(one: Rig, rate: float = 40, burst: float = 10, serial: int = 1, term_us: int = 1_000_000) -> None:
    one.give(m.FleetNews(Granted("tenant/t", serial, rate, burst, one.now + term_us)))


def test_a_tenants_first_request_waits_for_a_grant_and_goes_on_with_it() -> None:
    one = rig()
    assert one.ask("SET", PLAIN, 1) is None and seeks(one) == 1 and not one.answers
    granted(one)
    assert not one.sent  # a new bucket is empty
    one.pass_us(60_000)
    assert len(one.sent) == 1
    one.end(one.sent[0])
    assert one.answers[1] == [b"+OK\r\n"]


def test_without_a_grant_the_floor_serves_and_the_rest_is_refused_with_a_time() -> None:
    one = rig()
    for _ in range(10):
        one.ask("GET", PLAIN)
    one.pass_us(200_000)
    refused = [data for data in one.answers.get(1, []) if data.startswith(b"-QUOTA")]
    # Answers leave in order, so those behind a served one wait for it: end what was sent.
    for send in list(one.sent):
        one.end(send, [b"$-1\r\n"])
    answers = b"".join(one.answers[1])
    assert 1 <= len(one.sent) <= 2 and answers.count(b"-QUOTA") == 10 - len(one.sent)
    assert b"retry after " in answers and refused is not None
    assert one.engine.counts["over_quota"] == 10 - len(one.sent) and one.engine.counts["shed"] == 0


def test_a_held_commands_order_is_kept() -> None:
    one = rig()
    one.ask("SET", PLAIN, 1)
    one.ask("SET", PLAIN, 2)
    granted(one, rate=80, burst=16)
    one.pass_us(140_000)
    assert [send.payload.count(b"$1\r\n1\r\n") for send in one.sent] == [1]  # the second waits for the first
    one.end(one.sent[0])
    assert len(one.sent) == 2


def test_another_client_of_no_tenant_is_not_asked_for_anything() -> None:
    one = rig()
    assert one.ask("SET", PLAIN, 1, client=2) is not None and not seeks(one)


def test_a_transaction_counts_its_commands() -> None:
    one = rig()
    one.ask("GET", PLAIN)  # opens the allowance
    granted(one, rate=1, burst=8, term_us=60_000_000)
    one.pass_us(2_500_000)  # the floor holds 2 by now, the grant 2.5
    for send in list(one.sent):
        one.end(send, [b"$-1\r\n"])
    one.answers.clear()
    one.ask("MULTI")
    for _ in range(6):
        one.ask("GET", PLAIN)
    before = len(one.sent)
    one.ask("EXEC")
    assert len(one.sent) == before and b"".join(one.answers[1]).rpartition(b"-QUOTA")[1]
    one.ask("MULTI")
    one.ask("GET", PLAIN)
    assert one.ask("EXEC") is not None


def test_a_client_that_leaves_while_held_is_forgotten_and_nothing_is_sent() -> None:
    one = rig()
    one.ask("SET", PLAIN, 1)
    one.give(m.Closed(1))
    granted(one, rate=80, burst=16)
    one.pass_us(2_000_000)
    assert not one.sent and one.engine.idle and not one.engine.busy()


def test_a_node_that_is_alone_has_no_floor() -> None:
    one = rig()
    one.give(m.FleetNews(Alone()))
    one.pass_us(3_000_000)
    one.ask("GET", PLAIN)
    assert not one.sent and one.answers[1][0].startswith(b"-QUOTA")


def test_a_snapshot_holds_what_was_spent() -> None:
    one = rig()
    one.ask("GET", PLAIN)
    granted(one, rate=40, burst=10, term_us=30_000_000)
    one.pass_us(1_000_000)
    for send in list(one.sent):
        one.end(send, [b"$-1\r\n"])
    engine = restore(take(one.engine, one.now), LIMITED)
    given = [m.CommandReceived(1, [b"GET", PLAIN.encode()]) for _ in range(30)]
    restored = [engine.handle(one_given, one.now) for one_given in given]
    assert restored == [one.engine.handle(one_given, one.now) for one_given in given]
    assert one.engine.counts["over_quota"] > 5


# ---- Versions ----


def test_nothing_is_served_before_the_fleet_has_said_what_may_be() -> None:
    one = rig(VERSIONED, "x")
    one.ask("GET", PLAIN)
    assert not one.sent and one.answers[1][0].startswith(b"-LAYOUT 0 is not served") and b"retry" in one.answers[1][0]
    one.give(m.FleetNews(SERVED))
    assert one.ask("GET", PLAIN) is not None
    assert one.engine.busy() == (1,)
    one.end(one.sent[0], [b"$-1\r\n"])
    assert one.engine.busy() == ()


def test_a_client_that_names_a_version_not_served_is_told_to_come_back() -> None:
    one = rig(VERSIONED, "x;layout=2")
    one.give(m.FleetNews(SERVED))
    one.ask("GET", PLAIN)
    assert not one.sent and one.answers[1][0].startswith(b"-LAYOUT 2")


def test_a_connection_stays_with_the_version_that_it_began_with() -> None:
    one = rig(VERSIONED, "x")
    one.give(m.FleetNews(SERVED))
    one.end(one.ask("GET", PLAIN), [b"$-1\r\n"])  # type: ignore[arg-type]
    one.give(m.FleetNews(Served(8, 2**60, (1, 2), 2, (), (("one", (1, 2)), ("two", (1, 2))))))
    assert one.ask("GET", PLAIN) is not None and one.engine.busy() == (1,)
    assert one.ask("GET", PLAIN, client=2) is not None and sorted(one.engine.busy()) == [1, 2]
    one.give(m.FleetNews(Served(9, 2**60, (2,), 2, (), (("one", (2,)), ("two", (2,))))))
    one.answers.clear()
    for send in list(one.sent)[1:]:
        one.end(send, [b"$-1\r\n"])
    before = len(one.sent)
    one.ask("GET", PLAIN)
    assert len(one.sent) == before and one.answers[1][-1].startswith(b"-LAYOUT 1")


@pytest.mark.parametrize("has_it", [True, False])
def test_a_request_goes_only_to_a_primary_that_has_applied_the_step(has_it: bool) -> None:
    one = rig(VERSIONED, "x;layout=2")
    one.says["p"] = info("primary", 500 if has_it else 300, run="p")
    marker = ("one", Marker(2, "h1", 400))
    one.give(m.FleetNews(Served(8, 2**60, (1, 2), 1, (marker,), (("one", (1, 2)), ("two", (1, 2))))))
    one.ask("SET", PLAIN, 1)
    if has_it:
        assert len(one.sent) == 1
    else:
        assert not one.sent and one.answers[1][0].startswith(b"-LAYOUT 2") and one.engine.idle
        one.says["p"] = info("primary", 450, run="p")  # the step is done again
        one.ask("SET", PLAIN, 1)
        assert one.ask("SET", PLAIN, 1) is not None


def test_a_request_that_was_held_past_the_end_of_the_term_is_not_sent() -> None:
    one = rig(VERSIONED, "x")
    one.list(p="gone")  # no primary: a write is held
    one.give(m.FleetNews(Served(8, one.now + 100_000, (1,), 1, (), (("one", (1,)), ("two", (1,))))))
    one.says["r"] = info("replica", 100, run="r")
    assert one.ask("SET", PLAIN, 1) is None and not one.answers
    one.pass_us(150_000)
    one.says["r"] = info("primary", 120, "h2", run="r", replid2="h1", second=110)
    one.pass_us(1_500_000)
    assert not one.sent and one.answers[1][0].startswith(b"-LAYOUT 1")


# ---- Dials ----


def test_dials_to_a_box_beyond_the_fleets_rate_wait_and_none_is_lost() -> None:
    part = PART % "members: { dials_per_s: 20, dials_burst: 10, floor: 0.4 }"
    one = rig(load_text(f"{TEMPLATE} + {part}", "test"), "x")
    one.pass_us(1_000_000)
    for number in range(1, 9):
        one.give(m.ConnectionWanted("p", number))

    def dialled() -> list[int]:
        return [effect.dial for effect in one.other if isinstance(effect, m.Dial)]

    assert not dialled() and seeks(one)  # nothing was asked before, so the floor's bucket was not there to fill
    one.pass_us(1_000_000)
    assert 2 <= len(dialled()) <= 5  # the node's floor: 4 a second
    one.give(m.FleetNews(Granted("dials/p", 1, 12.0, 6.0, one.now + 60_000_000)))
    one.pass_us(6_000_000)
    assert sorted(dialled()) == list(range(1, 9))


# ---- Off is off ----

QUIET = """
import sys
from oatlink.gateway import run, server
from oatlink.settings import load_text
settings = load_text(sys.argv[1], 'test')
server.Gateway(settings)
loaded = [one for one in sys.modules if one.startswith('oatlink.fleet')]
parts = ('shell', 'control', 'limits', 'registers', 'leases', 'verdicts', 'membership', 'gating', 'node')
assert not [one for one in loaded if one.startswith(tuple(f'oatlink.fleet.{part}' for part in parts))], loaded
print('quiet')
"""


def test_the_gateway_of_run_imports_nothing_of_it() -> None:
    words = "import sys, oatlink.platform.gateway; print([one for one in sys.modules if 'oatlink.fleet' in one])"
    done = subprocess.run([sys.executable, "-c", words], capture_output=True, text=True, check=False)
    assert done.stdout == "[]\n", done.stderr


def test_without_a_fleet_part_nothing_of_it_is_imported() -> None:
    done = subprocess.run([sys.executable, "-c", QUIET, TEMPLATE], capture_output=True, text=True, check=False)
    assert done.stdout == "quiet\n", done.stderr
