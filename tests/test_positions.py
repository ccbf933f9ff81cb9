"""Offsets made into times: the hard cases one by one, and the proof itself against a model that knows all."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink.core import positions as core
from oatlink.core.positions import Positions
from oatlink.core.reports import parse_info


def test_a_replica_is_as_recent_as_the_latest_sample_it_holds() -> None:
    at = Positions()
    at.sample("a", 100, 1_000, 1_100)
    at.sample("a", 200, 2_000, 2_100)
    assert [at.time_of("a", one) for one in (99, 100, 199, 200, 999)] == [None, 1_000, 1_000, 2_000, 2_000]


def test_samples_out_of_order_say_the_same() -> None:
    one, two = Positions(), Positions()
    points = [(100, 1_000), (150, 1_500), (150, 1_700), (200, 2_000), (120, 1_800)]
    for offset, asked in points:
        one.sample("a", offset, asked, 9_000)
    for offset, asked in reversed(points):
        two.sample("a", offset, asked, 9_000)
    assert [one.time_of("a", o) for o in range(90, 210)] == [two.time_of("a", o) for o in range(90, 210)]
    assert one.time_of("a", 130) == 1_800  # a later time with a smaller offset says more


def test_an_idle_primary_keeps_proving() -> None:
    at = Positions()
    for asked in range(1_000, 9_000, 1_000):
        assert at.sample("a", 100, asked, asked)
    assert at.time_of("a", 100) == 8_000
    assert at.newest_us() == 8_000


def test_a_promoted_replica_joins_two_histories() -> None:
    at = Positions()
    at.sample("a", 100, 1_000, 1_000)
    at.sample("a", 200, 2_000, 2_000)
    at.sample("b", 180, 5_000, 5_000, parent="a", join=171)
    assert at.time_of("b", 150) == 1_000  # below the join the old points hold
    assert at.time_of("b", 179) == 1_000  # 200 was never the new primary's
    assert at.time_of("b", 180) == 5_000
    assert at.time_of("a", 5_000) == 1_000  # the old primary with writes that nobody else has


def test_an_old_primary_that_comes_back_proves_nothing_new() -> None:
    at = Positions()
    at.sample("a", 100, 1_000, 1_000)
    at.sample("b", 101, 2_000, 2_000, parent="a", join=101)
    assert not at.sample("a", 300, 3_000, 3_000)
    assert at.time_of("a", 300) == 1_000
    assert at.current == "b"


def test_a_join_told_late_still_cuts() -> None:
    at = Positions()
    at.sample("a", 100, 1_000, 1_000)
    at.sample("b", 200, 2_000, 2_000)
    assert at.time_of("b", 150) is None
    at.sample("b", 200, 3_000, 3_000, parent="a", join=90)
    assert at.time_of("a", 100) is None


def test_only_replicas_met_prove_nothing() -> None:
    at = Positions()
    assert at.time_of("a", 10**9) is None
    assert not at.known("a")


def test_a_clock_gap_forgets_and_the_future_is_not_believed() -> None:
    at = Positions()
    at.sample("a", 100, 1_000, 1_000)
    assert not at.sample("a", 200, 5_000, 4_000)
    at.gap(6_000)
    assert at.time_of("a", 100) is None
    assert not at.sample("a", 100, 5_500, 7_000)
    assert at.sample("a", 100, 6_500, 7_000)


def test_memory_is_bounded_and_thinning_only_makes_older() -> None:
    at, exact = Positions(), {}
    for step in range(5_000):
        at.sample("a", step * 10, step * 100, 10**9)
        exact[step * 10] = step * 100
    history = at._histories["a"]
    assert len(history.offsets) <= core.POINTS
    for offset, asked in exact.items():
        assert (at.time_of("a", offset) or 0) <= asked
    assert at.time_of("a", 49_990) == 499_900
    for number in range(50):
        at.sample(f"h{number}", 1, 10**6 + number, 10**9)
    assert len(at._histories) <= 8


@settings(max_examples=300)
@given(st.integers(0, 2**32))
def test_no_answer_is_ever_taken_for_newer_than_it_is(seed: int) -> None:
    """A world that knows every write: the time claimed for a holder never lies past a write that it lacks."""
    rng = random.Random(seed)
    at = Positions()
    now, replid, offset, number = 0, "h0", 0, 0
    writes: list[tuple[int, int]] = []  # (time, offset after) on the line of true primaries
    offsets: list[tuple[int, str, int]] = []  # replicas' states: (time, history, offset)
    late: list[tuple[str, int, int, str | None, int]] = []
    parent: str | None = None
    join = -1
    for _ in range(rng.randrange(5, 80)):
        now += rng.randrange(1, 1_000)
        match rng.randrange(5):
            case 0 | 1:
                offset += rng.randrange(1, 100)
                writes.append((now, offset))
            case 2:
                late.append((replid, offset, now, parent, join))
            case 3:
                offsets.append((now, replid, rng.randrange(offset + 1)))
            case 4 if rng.random() < 0.4:
                # The replica promoted may lack the newest writes: those are lost, and no longer asked for.
                kept = rng.randrange(max(0, offset - 50), offset + 1)
                writes = [one for one in writes if one[1] <= kept]
                number += 1
                parent, join, replid, offset = replid, kept + 1, f"h{number}", kept
                at.sample(replid, offset, now, now, parent=parent, join=join)
        while late and rng.random() < 0.6:
            name, found, asked, old, cut = late.pop(rng.randrange(len(late)))
            at.sample(name, found, asked, now, parent=old, join=cut)
        for _, name, held in offsets[-5:]:
            claimed = at.time_of(name, held)
            if name == replid and claimed is not None:
                missing = [when for when, end in writes if end > held]
                assert not missing or claimed <= min(missing)


def test_info_is_read_and_nonsense_says_nothing() -> None:
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
