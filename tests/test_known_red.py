"""The list of tests known to fail: what it may say, and what a run makes of it."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import ListError, Red, parse, unknown

ROOT = Path(__file__).parents[1]

# What this project's own conftest.py does for the list.
HOOKS = "from tests.conftest import " + ", ".join(
    f"pytest_{name}"
    for name in ("configure", "terminal_summary", "xdist_node_collection_finished", "collection_modifyitems")
)
RED = "checks/test_it.py::test_red | - | sums are wrong | 12\n"
LOST = "checks/test_it.py::test_gone | 7 | seen | 3\n"  # its file is there
GONE = "checks/test_gone.py::test_gone | 7 | seen | 3\n"
COMMAND = "bench score site.toml --panel short | 82301 | stale on eight days | 45\n"
FIVE_MORE = "".join(f"checks/test_it.py::test_{number} | - | seen | 3\n" for number in range(5))


def run(place: Path, listed: str, tests: str, *options: str, ends: int = 0) -> str:
    """Play a small suite of its own under the same hooks; what it prints, once it has ended so."""
    checks = place / "checks"
    checks.mkdir()
    (place / "pytest.ini").write_text("[pytest]\ntestpaths = checks\n")
    (place / known_red.NAME).write_text(listed)
    (checks / "conftest.py").write_text(HOOKS)
    (checks / "test_it.py").write_text(tests)
    # A run inside a run must not take over the outer one's options, nor believe that it is one of its workers.
    kept = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    env = kept | {"PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1", "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options]
    done = subprocess.run(words, cwd=place, env=env, capture_output=True, text=True, timeout=60)
    assert done.returncode == ends, done.stdout + done.stderr
    return done.stdout + done.stderr


FAILS = "def test_red():\n    assert 1 + 1 == 3\n\ndef test_good():\n    pass\n"
PASSES = "def test_red():\n    assert 1 + 1 == 2\n"
ALONE_AND_SHARED = pytest.mark.parametrize(
    "options", [(), ("-p", "xdist", "-n", "2", "--dist", "loadgroup")], ids=["alone", "shared"]
)


def test_the_list_of_this_project_can_be_read() -> None:
    parse((ROOT / known_red.NAME).read_text())


def test_lines_and_comments() -> None:
    text = f"# why\n\n{RED}  tests/a.py::test_b[x-1]|12|late by one | #7 \n{COMMAND}"
    three = (
        Red("checks/test_it.py::test_red", "-", "sums are wrong", 12),
        Red("tests/a.py::test_b[x-1]", "12", "late by one", 7),
        Red("bench score site.toml --panel short", "82301", "stale on eight days", 45),
    )
    assert parse(text) == three and parse("") == ()
    assert [red.is_test for red in three] == [True, True, False]


FORM = "expected 'test id or command | seed | what was seen | issue number'"


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        ("tests/a.py::test_b", FORM),
        ("tests/a.py::test_b | - | seen", FORM),
        (" | - | seen | 3", FORM),
        ("tests/a.py::test_b | - | seen | 3 | more", FORM),
        ("tests/a.py::test_b | - | | 3", FORM),
        ("tests/a.py::test_b | | seen | 3", FORM),
        ("tests/a.py::test_b | cause | 3", FORM),
        ("tests/a.py | - | seen | 3", "'tests/a.py' is neither a test id"),
        ("tests/a.py::test_b | one | seen | 3", "'one' is no seed"),
        ("tests/a.py::test_b | - | seen | soon", "'soon' is no issue number"),
        ("tests/a.py::test_b | - | seen | 0", "'0' is no issue number"),
        ("tests/a.py::test_b | - | seen | ٣", "is no issue number"),
    ],
)
def test_malformed_lines_name_their_place(line: str, complaint: str) -> None:
    with pytest.raises(ListError) as caught:
        parse(f"# comment\n{line}\n")
    said = str(caught.value)
    assert said.startswith("KNOWN-RED.txt line 2: ") and complaint in said and "\n" not in said


def test_one_test_is_listed_once() -> None:
    with pytest.raises(ListError, match="line 2: .*test_red is listed twice"):
        parse(RED + "checks/test_it.py::test_red | - | something else | 13\n")
    assert len(parse(COMMAND + COMMAND.replace("82301", "82302"))) == 2, "a command is listed once for each seed"
    with pytest.raises(ListError, match="line 2: .* is listed twice"):
        parse(COMMAND + COMMAND)


def test_ids_are_compared_whole_and_without_the_group() -> None:
    unknown(parse(RED), ["checks/test_it.py::test_red@one"])
    unknown(parse(RED), ["checks/test_it.py::test_red"])
    with pytest.raises(ListError, match="no collected test has the id checks/test_it.py::test_red$"):
        unknown(parse(RED), ["checks/test_it.py::test_red_too", "checks/test_it.py::test_re"])


@ALONE_AND_SHARED
def test_a_listed_failure_passes_and_is_printed(tmp_path: Path, options: tuple[str, ...]) -> None:
    out = run(tmp_path, RED, FAILS, *options)
    assert "1 passed, 1 xfailed" in out
    assert out.count("known red: checks/test_it.py::test_red | - | sums are wrong | #12") == 1


@ALONE_AND_SHARED
def test_a_listed_command_is_printed_and_excuses_nothing(tmp_path: Path, options: tuple[str, ...]) -> None:
    out = run(tmp_path, COMMAND, FAILS, *options, ends=1)
    assert "1 failed, 1 passed" in out and out.count(f"known red: {COMMAND.strip().replace('| 45', '| #45')}") == 1


@ALONE_AND_SHARED
def test_as_many_lines_as_there_are_faults(tmp_path: Path, options: tuple[str, ...]) -> None:
    tests = "".join(f"def test_{number}():\n    assert 0\n" for number in range(5)) + FAILS
    assert "1 passed, 6 xfailed" in run(tmp_path, RED + FIVE_MORE, tests, *options)


UNKNOWN = "ERROR: KNOWN-RED.txt: no collected test has the id checks/test_it.py::test_gone"
STOPPED = pytest.ExitCode.USAGE_ERROR
REFUSED = {
    "a listed test that passes": (RED, PASSES, 1, "[XPASS(strict)] sums are wrong, #12"),
    "one whose own mark is lenient": (RED, "import pytest\n\n@pytest.mark.xfail(strict=False)\n" + PASSES, 1, ""),
    "one that fails unlisted": (RED, FAILS + "\ndef test_x():\n    assert 0\n", 1, "1 failed, 1 passed, 1 xfailed"),
    "a line of the older form": ("checks/test_it.py::test_red | sums are wrong | 12\n", FAILS, STOPPED, FORM),
    "an unknown id": (LOST, PASSES, STOPPED, UNKNOWN),
}


@ALONE_AND_SHARED
@pytest.mark.parametrize(("listed", "tests", "ends", "said"), REFUSED.values(), ids=REFUSED)
def test_what_fails_or_stops_the_whole_suite(
    tmp_path: Path, listed: str, tests: str, ends: int, said: str, options: tuple[str, ...]
) -> None:
    assert said in run(tmp_path, listed, tests, *options, ends=ends)


@pytest.mark.parametrize(
    "options", [("checks/test_it.py",), ("-k", "good"), ("-p", "xdist", "-n", "2", "checks/test_it.py")]
)
def test_a_part_of_the_suite_may_lack_listed_tests(tmp_path: Path, options: tuple[str, ...]) -> None:
    out = run(tmp_path, GONE, "def test_good():\n    pass\n", *options)
    assert "known red: checks/test_gone.py::test_gone | 7 | seen | #3" in out
