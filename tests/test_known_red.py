"""The list of known failures: which lines are valid, and how test runs treat listed tests."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import InvalidListError, KnownFailure, check_known_ids, parse

ROOT = Path(__file__).parents[1]

# The hooks of this project's conftest.py that apply the list.
HOOKS = "from tests.conftest import " + ", ".join(
    f"pytest_{name}"
    for name in ("configure", "terminal_summary", "xdist_node_collection_finished", "collection_modifyitems")
)
LISTED_FAILURE = "checks/test_it.py::test_red | - | sums are wrong | 12\n"
UNKNOWN_TEST = "checks/test_it.py::test_gone | 7 | seen | 3\n"  # the file exists, the test does not
UNKNOWN_FILE = "checks/test_gone.py::test_gone | 7 | seen | 3\n"
LISTED_COMMAND = "bench score site.toml --panel short | 82301 | stale on eight days | 45\n"
FIVE_LISTED = "".join(f"checks/test_it.py::test_{number} | - | seen | 3\n" for number in range(5))


def run_suite(folder: Path, listed: str, tests: str, *options: str, exit_code: int = 0) -> str:
    """Run a small test suite with the same hooks, check its exit code and return its output."""
    checks = folder / "checks"
    checks.mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = checks\n")
    (folder / known_red.NAME).write_text(listed)
    (checks / "conftest.py").write_text(HOOKS)
    (checks / "test_it.py").write_text(tests)
    # The inner run must not inherit the outer run's options, nor take itself for one of its xdist workers.
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    env = inherited | {"PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1", "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options]
    done = subprocess.run(command, cwd=folder, env=env, capture_output=True, text=True, timeout=60)
    assert done.returncode == exit_code, done.stdout + done.stderr
    return done.stdout + done.stderr


ONE_FAILS = "def test_red():\n    assert 1 + 1 == 3\n\ndef test_good():\n    pass\n"
ONE_PASSES = "def test_red():\n    assert 1 + 1 == 2\n"
WITHOUT_AND_WITH_XDIST = pytest.mark.parametrize(
    "options", [(), ("-p", "xdist", "-n", "2", "--dist", "loadgroup")], ids=["one-process", "xdist"]
)


def test_the_list_of_this_project_is_valid() -> None:
    parse((ROOT / known_red.NAME).read_text())


def test_lines_are_parsed_and_comments_ignored() -> None:
    text = f"# why\n\n{LISTED_FAILURE}  tests/a.py::test_b[x-1]|12|late by one | #7 \n{LISTED_COMMAND}"
    expected = (
        KnownFailure("checks/test_it.py::test_red", "-", "sums are wrong", 12),
        KnownFailure("tests/a.py::test_b[x-1]", "12", "late by one", 7),
        KnownFailure("bench score site.toml --panel short", "82301", "stale on eight days", 45),
    )
    assert parse(text) == expected and parse("") == ()
    assert [failure.is_test for failure in expected] == [True, True, False]


FORM = "expected 'test id or command | seed | what was seen | issue number'"


@pytest.mark.parametrize(
    ("line", "problem"),
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
def test_errors_of_malformed_lines_name_the_line(line: str, problem: str) -> None:
    with pytest.raises(InvalidListError) as caught:
        parse(f"# comment\n{line}\n")
    message = str(caught.value)
    assert message.startswith("KNOWN-RED.txt line 2: ") and problem in message and "\n" not in message


def test_a_test_may_be_listed_only_once() -> None:
    with pytest.raises(InvalidListError, match="line 2: .*test_red is listed twice"):
        parse(LISTED_FAILURE + "checks/test_it.py::test_red | - | something else | 13\n")
    other_seed = LISTED_COMMAND.replace("82301", "82302")
    assert len(parse(LISTED_COMMAND + other_seed)) == 2, "a command may be listed once for each seed"
    with pytest.raises(InvalidListError, match="line 2: .* is listed twice"):
        parse(LISTED_COMMAND + LISTED_COMMAND)


def test_ids_are_compared_exactly_and_without_the_xdist_group() -> None:
    check_known_ids(parse(LISTED_FAILURE), ["checks/test_it.py::test_red@one"])
    check_known_ids(parse(LISTED_FAILURE), ["checks/test_it.py::test_red"])
    with pytest.raises(InvalidListError, match="no collected test has the id checks/test_it.py::test_red$"):
        check_known_ids(parse(LISTED_FAILURE), ["checks/test_it.py::test_red_too", "checks/test_it.py::test_re"])


@WITHOUT_AND_WITH_XDIST
def test_a_listed_failure_does_not_fail_the_run_and_is_printed(tmp_path: Path, options: tuple[str, ...]) -> None:
    out = run_suite(tmp_path, LISTED_FAILURE, ONE_FAILS, *options)
    assert "1 passed, 1 xfailed" in out
    assert out.count("known red: checks/test_it.py::test_red | - | sums are wrong | #12") == 1


@WITHOUT_AND_WITH_XDIST
def test_a_listed_command_is_only_printed(tmp_path: Path, options: tuple[str, ...]) -> None:
    out = run_suite(tmp_path, LISTED_COMMAND, ONE_FAILS, *options, exit_code=1)
    line = LISTED_COMMAND.strip().replace("| 45", "| #45")
    assert "1 failed, 1 passed" in out and out.count(f"known red: {line}") == 1


@WITHOUT_AND_WITH_XDIST
def test_the_list_may_have_any_number_of_lines(tmp_path: Path, options: tuple[str, ...]) -> None:
    tests = "".join(f"def test_{number}():\n    assert 0\n" for number in range(5)) + ONE_FAILS
    assert "1 passed, 6 xfailed" in run_suite(tmp_path, LISTED_FAILURE + FIVE_LISTED, tests, *options)


UNKNOWN_ID_ERROR = "ERROR: KNOWN-RED.txt: no collected test has the id checks/test_it.py::test_gone"
USAGE_ERROR = pytest.ExitCode.USAGE_ERROR
FAILING_RUNS = {
    "a listed test that passes": (LISTED_FAILURE, ONE_PASSES, 1, "[XPASS(strict)] sums are wrong, #12"),
    "a listed test that passes with its own non-strict mark": (
        LISTED_FAILURE,
        "import pytest\n\n@pytest.mark.xfail(strict=False)\n" + ONE_PASSES,
        1,
        "",
    ),
    "a failure that is not listed": (
        LISTED_FAILURE,
        ONE_FAILS + "\ndef test_x():\n    assert 0\n",
        1,
        "1 failed, 1 passed, 1 xfailed",
    ),
    "a line in the former format": (
        "checks/test_it.py::test_red | sums are wrong | 12\n",
        ONE_FAILS,
        USAGE_ERROR,
        FORM,
    ),
    "an unknown id": (UNKNOWN_TEST, ONE_PASSES, USAGE_ERROR, UNKNOWN_ID_ERROR),
}


@WITHOUT_AND_WITH_XDIST
@pytest.mark.parametrize(("listed", "tests", "exit_code", "output"), FAILING_RUNS.values(), ids=FAILING_RUNS)
def test_runs_that_fail_or_are_refused(
    tmp_path: Path, listed: str, tests: str, exit_code: int, output: str, options: tuple[str, ...]
) -> None:
    assert output in run_suite(tmp_path, listed, tests, *options, exit_code=exit_code)


@pytest.mark.parametrize(
    "options", [("checks/test_it.py",), ("-k", "good"), ("-p", "xdist", "-n", "2", "checks/test_it.py")]
)
def test_a_partial_run_need_not_collect_all_listed_tests(tmp_path: Path, options: tuple[str, ...]) -> None:
    out = run_suite(tmp_path, UNKNOWN_FILE, "def test_good():\n    pass\n", *options)
    assert "known red: checks/test_gone.py::test_gone | 7 | seen | #3" in out
