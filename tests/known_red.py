"""The tests that may fail, by KNOWN-RED.txt: what it says, and how a run of tests treats them.

The list is there so that a real fault can be shown by its test before it is mended. It must not become a place where
faults are forgotten: hence so few lines, each with an issue, and an error as soon as a line is no longer true.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
FORM = "test id | cause | issue number"


class ListError(Exception):
    """The list says what it may not, in one line."""


@dataclass(frozen=True)
class Red:
    """One line: a test that fails, why, and where that is followed up."""

    test: str
    cause: str
    issue: int

    def __str__(self) -> str:
        return f"{self.test} | {self.cause} | #{self.issue}"


def parse(text: str) -> tuple[Red, ...]:
    """Read the list; blank lines and lines that begin with # say nothing."""
    reds: list[Red] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        where = f"{NAME} line {number}"
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ListError(f"{where}: expected '{FORM}', found {line.strip()!r}")
        test, cause, issue = parts
        if "::" not in test:
            raise ListError(f"{where}: {test!r} is no test id, expected 'tests/file.py::test'")
        if not re.fullmatch(r"#?[1-9][0-9]{0,8}", issue, re.ASCII):
            raise ListError(f"{where}: {issue!r} is no issue number")
        if any(red.test == test for red in reds):
            raise ListError(f"{where}: {test} is listed twice")
        if len(reds) == MOST:
            raise ListError(f"{where}: {MOST} tests at most may be listed; mend one first")
        reds.append(Red(test, cause, int(issue.removeprefix("#"))))
    return tuple(reds)


def unknown(reds: Iterable[Red], collected: Iterable[str]) -> None:
    """Refuse a line whose test is not among all that were collected: it would stay for good, and excuse nothing."""
    # Workers add "@group" to the ids that they hand over.
    there = {end for one in collected for end in (one, one.rpartition("@")[0])}
    for red in reds:
        if red.test not in there:
            raise ListError(f"{NAME}: no collected test has the id {red.test}")


# What a conftest.py takes over.

REDS = pytest.StashKey[tuple[Red, ...]]()


def load(config: pytest.Config) -> None:
    """Read the list beside the settings of pytest, once a process."""
    path = Path(config.rootpath, NAME)
    try:
        config.stash[REDS] = parse(path.read_text(encoding="utf-8") if path.exists() else "")
    except (ListError, UnicodeDecodeError) as error:
        raise pytest.UsageError(str(error)) from None


def whole_suite(config: pytest.Config) -> bool:
    """Say whether all tests were asked for; a worker of xdist is told a part and never knows."""
    chosen = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "stepwise")
    return (
        not hasattr(config, "workerinput")
        and config.args_source is not pytest.Config.ArgsSource.ARGS
        and not any(config.getoption(name, None) for name in chosen)
    )


def check_ids(config: pytest.Config, collected: Iterable[str]) -> None:
    """Compare the list with what was collected, where that is everything."""
    if whole_suite(config):
        try:
            reds = config.stash[REDS]
            unknown(reds, collected)
        except ListError as error:
            raise pytest.UsageError(str(error)) from None


def mark(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes is an error (strict)."""
    reds = {red.test: red for red in config.stash[REDS]}
    for item in items:
        if red := reds.get(item.nodeid):
            # First among its marks: a test's own, lenient one would let it pass unseen.
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{red.cause}, #{red.issue}"), append=False)
    # With xdist this process collects nothing; the workers' ids are checked as they come in.
    if not config.getoption("numprocesses", None):
        check_ids(config, [item.nodeid for item in items])


def tell(config: pytest.Config, reporter: pytest.TerminalReporter) -> None:
    """Print every line at the end of each run, so that none is forgotten."""
    for red in config.stash.get(REDS, ()):
        reporter.write_line(f"known red: {red}")
