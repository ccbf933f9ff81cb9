"""The capacity page and its program hold together. Nothing is measured here: all rests on the committed slopes."""

import dataclasses
import math
import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.scale import measure, page
from benchmarks.scale.__main__ import MEASUREMENTS, main
from benchmarks.scale.capacity import parts
from benchmarks.scale.fit import line
from benchmarks.scale.reading import Slopes
from benchmarks.scale.roles import ROLES, control
from benchmarks.scale.row import Row, work
from benchmarks.scale.size import Size
from benchmarks.scale.tables import number

SLOPES = Slopes()
ROWS = [row for rows in ROLES.values() for row in rows]
OWN = ("watch of discovery", "links", "renewals of five leases")  # a gateway's, a keeper's own: the same in any fleet
CONTROL = measure.KEPT / f"{control.NAME}.json"
LATER = {control.NAME}  # measured by whoever builds the stream


def test_the_page_holds_what_the_program_makes() -> None:
    text = page.PAGE.read_text()
    for name, part in parts(Size(), SLOPES).items():
        assert page.put(text, name, part) == text, f"{name}: run python -m benchmarks.scale capacity --page"


def test_each_factor_of_the_list_written_by_hand_is_one_of_a_row() -> None:
    text = page.PAGE.read_text()
    listed = text[text.index("\n## What is missing, in order") : text.index("<!-- ranking")]
    said = re.findall(r"\((\d+(?:\.\d+)?)|(?<= )(\d+(?:\.\d+)?) (?:at|with|by|as)\b", listed)
    factors = [work(row, Size(), SLOPES).factor or 0 for row in ROWS]
    for one in filter(None, (a or b for a, b in said)):
        digits = len(one.partition(".")[2])
        assert float(one) in [round(factor, digits) for factor in factors if math.isfinite(factor)], one
    assert len(said) > 15


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row.role}: {row.event}: {row.what}")
def test_each_row_rests_on_a_slope_or_names_what_it_is_counted_from(row: Row) -> None:
    worked = work(row, Size(), SLOPES)
    if worked.figure is None:
        assert row.role == control.ROLE and not CONTROL.exists()
        return
    assert bool(worked.used) != bool(row.counted)
    for name in worked.used:
        measurement, value = name.split(".")
        kept = SLOPES.kept(measurement)
        assert measurement in MEASUREMENTS.keys() | LATER
        assert len({one.size for one in kept.found}) >= measure.LEAST_SIZES
        assert all(value in one.values and one.load >= 0 for one in kept.found)


def test_the_rows_of_the_stream_are_filled_once_it_is_measured(tmp_path: Path) -> None:
    for kept in measure.KEPT.glob("*.json"):
        (tmp_path / kept.name).write_bytes(kept.read_bytes())

    def run(readers: int) -> measure.Values:
        return dict.fromkeys(control.VALUES, float(readers))

    measure.measure(measure.Measurement(control.NAME, "a probe", "readers", (10, 20, 40, 80), run), True, tmp_path)
    slopes = Slopes(tmp_path)
    for row in ROWS:
        worked = work(row, Size(), slopes)
        assert worked.figure is not None
        assert (worked.after is None) == (row.after is None)
    forced = next(work(row, Size(), slopes) for row in ROWS if row.what == "until in force everywhere")
    assert forced.after == pytest.approx(2 * 60 / 1000), "two levels of 60 readers, a millisecond for each"


def test_each_slope_kept_has_all_its_sizes() -> None:
    for name, one in MEASUREMENTS.items():
        assert len(one.sizes) >= measure.LEAST_SIZES
        assert tuple(found.size for found in SLOPES.kept(name).found) == one.sizes


def test_another_size_gives_other_figures() -> None:
    other = Size(1_200, 3_600, 6_500_000, 5_000_000, 4, 18, 10, 800, 3_000, 10, 0.5, 20, 30, 3)
    for row in ROWS:
        was, now = work(row, Size(), SLOPES), work(row, other, SLOPES)
        if was.figure is not None and math.isfinite(was.figure) and row.what not in OWN:
            assert was.figure != now.figure, row


def test_a_formula_follows_its_terms() -> None:
    def figure(what: str, **changed: float) -> float:
        row = next(row for row in ROWS if row.what == what)
        found = work(row, dataclasses.replace(Size(), **changed), SLOPES).figure
        assert found is not None
        return found

    assert figure("least burst of a tenant with a floor of a fifth", gateways=100) == pytest.approx(500)
    limits = "limits, T tenants active"
    assert figure(limits, tenants=40) == pytest.approx(2 * figure(limits, tenants=20))
    grants = "questions and answers"
    assert figure(grants, gateways=7_200) == pytest.approx(2 * figure(grants))
    bytes_of = "bytes of these checks"
    assert figure(bytes_of, bounded=0.1) < 0.5 * figure(bytes_of)
    assert figure("until in force everywhere") == math.inf


def test_the_fit_finds_a_line_and_tells_what_it_leaves() -> None:
    exact = line([(size, 3 + 0.5 * size) for size in (1, 2, 4, 8)])
    assert (exact.base, exact.slope) == pytest.approx((3, 0.5))
    assert exact.remainder == pytest.approx(0, abs=1e-12)
    assert exact.at(16) == pytest.approx(11) and exact.beyond(16) == pytest.approx(2)
    bent = line([(0, 1), (1, 0), (2, 0), (3, 1)])
    assert (bent.base, bent.slope, bent.remainder, bent.remainder_share) == pytest.approx((0.5, 0, 0.5, 0.5))
    with pytest.raises(ValueError, match="four different sizes"):
        line([(1, 1), (2, 2), (3, 3), (3, 4)])


def test_a_measurement_that_was_cut_off_goes_on_where_it_was(tmp_path: Path) -> None:
    ran: list[int] = []

    def run(size: int) -> measure.Values:
        ran.append(size)
        if size == 4 and ran.count(4) == 1:
            raise KeyboardInterrupt
        return {"twice": 2.0 * size}

    one = measure.Measurement("probe", "twice", "sizes", (1, 2, 4, 8), run)
    with pytest.raises(KeyboardInterrupt):
        measure.measure(one, False, tmp_path)
    kept = measure.measure(one, False, tmp_path)
    assert ran == [1, 2, 4, 4, 8]
    assert kept.line("twice").slope == pytest.approx(2)
    measure.measure(one, True, tmp_path)
    assert ran[5:] == [1, 2, 4, 8]


def test_the_command_prints_a_size_and_refuses_nonsense() -> None:
    ran = CliRunner().invoke(main, ["capacity", "--gateways", "100", "--databases", "200"])
    assert ran.exit_code == 0 and "| 500 | not stated" in ran.output
    wrong = CliRunner().invoke(main, ["capacity", "--gateways", "0"])
    assert wrong.exit_code == 1 and "gateways: expected a number above 0" in wrong.output
    other = CliRunner().invoke(main, ["capacity", "--page", "--zones", "3"])
    assert other.exit_code == 1 and "the size designed for" in other.output


def test_numbers_have_three_digits() -> None:
    said = [number(one) for one in (0, 0.01234, 1.0, 38, 999.6, 48_512, math.inf, None)]
    assert said == ["0", "0.0123", "1.00", "38.0", "1,000", "48,500", "never", "not measured"]
