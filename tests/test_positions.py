"""Offsets converted into times: the hard cases one by one, and the proof against a model that knows every write."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink.core.positions import MAX_POINTS, Positions
from oatlink.core.reports import parse_info


def test_a_replica_is_as_recent_as_the_latest_sample_it_holds() -> None:
    positions = Positions()
    positions.sample("a", 100, 1_000, 1_100)
    positions.sample("a", 200, 2_000, 2_100)
    assert [positions.time_of("a", offset) for offset in (99, 100, 199, 200, 999)] == [None, 1_000, 1_000, 2_000, 2_000]


def test_samples_out_of_order_prove_the_same() -> None:
    first, second = Positions(), Positions()
    points = [(100, 1_000), (150, 1_500), (150, 1_700), (200, 2_000), (120, 1_800)]
    for offset, asked in points:
        first.sample("a", offset, asked, 9_000)
    for offset, asked in reversed(points):
        second.sample("a", offset, asked, 9_000)
    assert [first.time_of("a", offset) for offset in range(90, 210)] == [
        second.time_of("a", offset) for offset in range(90, 210)
    ]
    assert first.time_of("a", 130) == 1_800  # a later time with a smaller offset proves more


def test_an_idle_primary_keeps_proving() -> None:
    positions = Positions()
    for asked in range(1_000, 9_000, 1_000):
        assert positions.sample("a", 100, asked, asked)
    assert positions.time_of("a", 100) == 8_000
    assert positions.newest_us() == 8_000


def test_a_promoted_replica_joins_two_histories() -> None:
    positions = Positions()
    positions.sample("a", 100, 1_000, 1_000)
    positions.sample("a", 200, 2_000, 2_000)
    positions.sample("b", 180, 5_000, 5_000, parent="a", join=171)
    assert positions.time_of("b", 150) == 1_000  # below the join the old points are valid
    assert positions.time_of("b", 179) == 1_000  # the new primary never had offset 200
    assert positions.time_of("b", 180) == 5_000
    assert positions.time_of("a", 5_000) == 1_000  # the old primary reports writes that no other box has


def test_an_old_primary_that_comes_back_proves_nothing_new() -> None:
    positions = Positions()
    positions.sample("a", 100, 1_000, 1_000)
    positions.sample("b", 101, 2_000, 2_000, parent="a", join=101)
    assert not positions.sample("a", 300, 3_000, 3_000)
    assert positions.time_of("a", 300) == 1_000
    assert positions.current == "b"


def test_a_join_that_is_learned_late_still_removes_the_points_past_it() -> None:
    positions = Positions()
    positions.sample("a", 100, 1_000, 1_000)
    positions.sample("b", 200, 2_000, 2_000)
    assert positions.time_of("b", 150) is None
    positions.sample("b", 200, 3_000, 3_000, parent="a", join=90)
    assert positions.time_of("a", 100) is None


def test_replicas_without_a_primary_prove_nothing() -> None:
    positions = Positions()
    assert positions.time_of("a", 10**9) is None
    assert not positions.known("a")


def test_a_clock_gap_forgets_and_the_future_is_not_believed() -> None:
    positions = Positions()
    positions.sample("a", 100, 1_000, 1_000)
    assert not positions.sample("a", 200, 5_000, 4_000)
    positions.mark_gap(6_000)
    assert positions.time_of("a", 100) is None
    assert not positions.sample("a", 100, 5_500, 7_000)
    assert positions.sample("a", 100, 6_500, 7_000)


def test_memory_is_bounded_and_thinning_only_makes_older() -> None:
    positions, exact = Positions(), {}
    for step in range(5_000):
        positions.sample("a", step * 10, step * 100, 10**9)
        exact[step * 10] = step * 100
    history = positions._histories["a"]
    assert len(history.offsets) <= MAX_POINTS
    for offset, asked in exact.items():
        assert (positions.time_of("a", offset) or 0) <= asked
    assert positions.time_of("a", 49_990) == 499_900
    for number in range(50):
        positions.sample(f"h{number}", 1, 10**6 + number, 10**9)
    assert len(positions._histories) <= 8


@settings(max_examples=300)
@given(st.integers(0, 2**32))
def test_no_answer_is_ever_taken_for_newer_than_it_is(seed: int) -> None:
    """The model knows every write: the time proven for a holder is never later than a write that it lacks."""
    rng = random.Random(seed)
    positions = Positions()
    now, replid, offset, number = 0, "h0", 0, 0
    writes: list[tuple[int, int]] = []  # (time, offset after) on the true primaries
    replicas: list[tuple[int, str, int]] = []  # their states: (time, history, offset)
    delayed_samples: list[tuple[str, int, int, str | None, int]] = []
    parent: str | None = None
    join = -1
    for _ in range(rng.randrange(5, 80)):
        now += rng.randrange(1, 1_000)
        match rng.randrange(5):
            case 0 | 1:
                offset += rng.randrange(1, 100)
                writes.append((now, offset))
            case 2:
                delayed_samples.append((replid, offset, now, parent, join))
            case 3:
                replicas.append((now, replid, rng.randrange(offset + 1)))
            case 4 if rng.random() < 0.4:
                # The promoted replica may lack the newest writes: those are lost, and no longer expected.
                kept_offset = rng.randrange(max(0, offset - 50), offset + 1)
                writes = [write for write in writes if write[1] <= kept_offset]
                number += 1
                parent, join, replid, offset = replid, kept_offset + 1, f"h{number}", kept_offset
                positions.sample(replid, offset, now, now, parent=parent, join=join)
        while delayed_samples and rng.random() < 0.6:
            history, sampled, asked, old, first = delayed_samples.pop(rng.randrange(len(delayed_samples)))
            positions.sample(history, sampled, asked, now, parent=old, join=first)
        for _, history, held in replicas[-5:]:
            proven = positions.time_of(history, held)
            if history == replid and proven is not None:
                missing = [written for written, end in writes if end > held]
                assert not missing or proven <= min(missing)


def test_info_is_parsed_and_malformed_values_are_ignored() -> None:
    text = (
        b"# Server\r\nrun_id:abc\r\nuptime_in_seconds:12\r\n# Replication\r\nrole:slave\r\nmaster_link_status:up\r\n"
        b"slave_repl_offset:70\r\nmaster_replid:aa\r\nmaster_replid2:" + b"0" * 40 + b"\r\nsecond_repl_offset:-1\r\n"
    )
    report = parse_info(text)
    assert (report.role, report.offset, report.replid, report.replid2, report.run_id) == (
        "replica",
        70,
        "aa",
        "",
        "abc",
    )
    assert parse_info(b"role:king\r\nslave_repl_offset:-x\r\n\xff\xfe").offset == -1
