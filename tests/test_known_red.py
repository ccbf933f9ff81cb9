"""The list of tests known to fail: what it may say, and what a run makes of it."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import ListError, Red, parse, unknown

ROOT = Path(__file__).parents[1]

# The conftest.py of this project, less what it does for other tests.
HOOKS = """
import pytest
from tests import known_red

def pytest_configure(config):
    known_red.load(config)

def pytest_terminal_summary(terminalreporter, config):
    known_red.tell(config, terminalreporter)

@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node, ids):
    known_red.check_ids(node.config, ids)

@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    known_red.mark(config, items)
    for item in items:
        item.add_marker(pytest.mark.xdist_group("one"))
"""

RED = "checks/test_it.py::test_red | sums are wrong | 12\n"


def run(place: Path, listed: str, tests: str, *options: str) -> tuple[int, str]:
    """Play a small suite of its own under the same hooks."""
    checks = place / "checks"
    checks.mkdir()
    (place / "pytest.ini").write_text("[pytest]\ntestpaths = checks\n")
    (place / known_red.NAME).write_text(listed)
    (checks / "conftest.py").write_text(HOOKS)
    (checks / "test_it.py").write_text(tests)
    # A run inside a run must not take over the outer one's options, nor believe that it is one of its workers.
    kept = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options],
        cwd=place,
        env=kept | {"PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1", "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


FAILS = "def test_red():\n    assert 1 + 1 == 3\n\ndef test_good():\n    pass\n"
PASSES = "def test_red():\n    assert 1 + 1 == 2\n"
ALONE_AND_SHARED = pytest.mark.parametrize(
    "options", [(), ("-p", "xdist", "-n", "2", "--dist", "loadgroup")], ids=["alone", "shared"]
)


def test_the_list_of_this_project_can_be_read() -> None:
    parse((ROOT / known_red.NAME).read_text())


def test_lines_and_comments() -> None:
    text = f"# why\n\n{RED}  tests/a.py::test_b[x-1]|late by one | #7 \n"
    assert parse(text) == (
        Red("checks/test_it.py::test_red", "sums are wrong", 12),
        Red("tests/a.py::test_b[x-1]", "late by one", 7),
    )
    assert parse("") == ()


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        ("tests/a.py::test_b", "expected 'test id | cause | issue number'"),
        ("tests/a.py::test_b | cause", "expected 'test id | cause | issue number'"),
        ("tests/a.py::test_b | cause | 3 | more", "expected 'test id | cause | issue number'"),
        ("tests/a.py::test_b | | 3", "expected 'test id | cause | issue number'"),
        (" | cause | 3", "expected 'test id | cause | issue number'"),
        ("tests/a.py | cause | 3", "'tests/a.py' is no test id"),
        ("tests/a.py::test_b | cause | soon", "'soon' is no issue number"),
        ("tests/a.py::test_b | cause | 0", "'0' is no issue number"),
        ("tests/a.py::test_b | cause | ٣", "is no issue number"),
    ],
)
def test_malformed_lines_name_their_place(line: str, complaint: str) -> None:
    with pytest.raises(ListError) as caught:
        parse(f"# comment\n{line}\n")
    assert str(caught.value).startswith("KNOWN-RED.txt line 2: ")
    assert complaint in str(caught.value)
    assert "\n" not in str(caught.value)


def test_one_test_is_listed_once() -> None:
    with pytest.raises(ListError, match="line 2: .*test_red is listed twice"):
        parse(RED + "checks/test_it.py::test_red | another cause | 13\n")


def test_a_fourth_line_is_refused() -> None:
    lines = [f"tests/a.py::test_{number} | cause | {number}\n" for number in range(1, 5)]
    assert len(parse("".join(lines[:3]))) == 3
    with pytest.raises(ListError, match="line 4: 3 tests at most"):
        parse("".join(lines))


def test_ids_are_compared_whole_and_without_the_group() -> None:
    unknown(parse(RED), ["checks/test_it.py::test_red@one"])
    unknown(parse(RED), ["checks/test_it.py::test_red"])
    with pytest.raises(ListError, match="no collected test has the id checks/test_it.py::test_red$"):
        unknown(parse(RED), ["checks/test_it.py::test_red_too", "checks/test_it.py::test_re"])


@ALONE_AND_SHARED
def test_a_listed_failure_passes_and_is_printed(tmp_path: Path, options: tuple[str, ...]) -> None:
    code, out = run(tmp_path, RED, FAILS, *options)
    assert code == 0, out
    assert "1 passed, 1 xfailed" in out
    assert out.count("known red: checks/test_it.py::test_red | sums are wrong | #12") == 1


@ALONE_AND_SHARED
def test_a_listed_test_that_passes_is_an_error(tmp_path: Path, options: tuple[str, ...]) -> None:
    code, out = run(tmp_path, RED, PASSES, *options)
    assert code == 1, out
    assert "[XPASS(strict)] sums are wrong, #12" in out


def test_a_lenient_mark_of_its_own_does_not_hide_that_it_passes(tmp_path: Path) -> None:
    code, out = run(tmp_path, RED, "import pytest\n\n@pytest.mark.xfail(strict=False)\n" + PASSES)
    assert code == 1, out


def test_a_failure_not_listed_fails(tmp_path: Path) -> None:
    code, out = run(tmp_path, RED, FAILS + "\ndef test_other():\n    assert False\n")
    assert code == 1, out
    assert "1 failed, 1 passed, 1 xfailed" in out


def test_four_lines_stop_the_run(tmp_path: Path) -> None:
    listed = RED + "".join(f"checks/test_it.py::test_{number} | cause | 3\n" for number in range(3))
    code, out = run(tmp_path, listed, FAILS)
    assert code == pytest.ExitCode.USAGE_ERROR, out
    assert "ERROR: KNOWN-RED.txt line 4: 3 tests at most may be listed" in out


@ALONE_AND_SHARED
def test_an_id_that_no_test_has_stops_the_whole_suite(tmp_path: Path, options: tuple[str, ...]) -> None:
    code, out = run(tmp_path, "checks/test_it.py::test_gone | cause | 3\n", PASSES, *options)
    assert code == pytest.ExitCode.USAGE_ERROR, out
    assert "ERROR: KNOWN-RED.txt: no collected test has the id checks/test_it.py::test_gone" in out


@pytest.mark.parametrize(
    "options", [("checks/test_it.py",), ("-k", "good"), ("-p", "xdist", "-n", "2", "checks/test_it.py")]
)
def test_a_part_of_the_suite_may_lack_listed_tests(tmp_path: Path, options: tuple[str, ...]) -> None:
    code, out = run(tmp_path, "checks/test_gone.py::test_gone | cause | 3\n", "def test_good():\n    pass\n", *options)
    assert code == 0, out
    assert "known red: checks/test_gone.py::test_gone | cause | #3" in out
