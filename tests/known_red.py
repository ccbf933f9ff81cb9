"""Reads KNOWN-RED.txt, the list of known failures, and applies it to test runs.

The list allows a test that shows a real fault to be committed before the fault is fixed. Two rules prevent listed
faults from being forgotten: each line has an issue number, and a listed test that passes is an error. A line may also
name a command that test runs do not execute, such as a scenario of the users' bench; such a line is only printed.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
FORM = "test id or command | seed | what was seen | issue number"
NO_SEED = "-"


class InvalidListError(Exception):
    """The list is invalid; the text is one line."""


@dataclass(frozen=True)
class KnownFailure:
    """A line of the list: the failing test or command, the seed, what was seen, and the issue that tracks it."""

    entry: str
    seed: str
    seen: str
    issue: int

    @property
    def is_test(self) -> bool:
        """Whether the line names a test of this project rather than a command."""
        return "::" in self.entry

    def __str__(self) -> str:
        return f"{self.entry} | {self.seed} | {self.seen} | #{self.issue}"


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Parse the list; blank lines and lines that begin with # are ignored."""
    failures: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        location = f"{NAME} line {number}"
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts):
            raise InvalidListError(f"{location}: expected '{FORM}', found {line.strip()!r}")
        entry, seed, seen, issue = parts
        if "::" not in entry and " " not in entry:
            raise InvalidListError(
                f"{location}: {entry!r} is neither a test id ('tests/file.py::test') nor a command with its words"
            )
        if seed != NO_SEED and not re.fullmatch(r"[0-9]+", seed, re.ASCII):
            raise InvalidListError(
                f"{location}: {seed!r} is no seed, expected a number, or {NO_SEED} where there is none"
            )
        if not re.fullmatch(r"#?[1-9][0-9]{0,8}", issue, re.ASCII):
            raise InvalidListError(f"{location}: {issue!r} is no issue number")
        if any((failure.entry, failure.seed) == (entry, seed) for failure in failures):
            raise InvalidListError(f"{location}: {entry} is listed twice")
        failures.append(KnownFailure(entry, seed, seen, int(issue.removeprefix("#"))))
    return tuple(failures)


def check_known_ids(failures: Iterable[KnownFailure], collected: Iterable[str]) -> None:
    """Refuse a line whose test was not collected: it would stay in the list for ever without having any effect."""
    # xdist workers append "@group" to the ids that they report.
    known_ids = {name for test_id in collected for name in (test_id, test_id.rpartition("@")[0])}
    for failure in failures:
        if failure.is_test and failure.entry not in known_ids:
            raise InvalidListError(f"{NAME}: no collected test has the id {failure.entry}")


KNOWN_FAILURES = pytest.StashKey[tuple[KnownFailure, ...]]()


def load_list(config: pytest.Config) -> None:
    """Read the list from the root directory of pytest, once per process."""
    path = Path(config.rootpath, NAME)
    try:
        config.stash[KNOWN_FAILURES] = parse(path.read_text(encoding="utf-8") if path.exists() else "")
    except (InvalidListError, UnicodeDecodeError) as error:
        raise pytest.UsageError(str(error)) from None


def is_whole_suite(config: pytest.Config) -> bool:
    """Whether all tests were selected; always False in an xdist worker, which cannot tell."""
    selecting_options = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "stepwise")
    return (
        not hasattr(config, "workerinput")
        and config.args_source is not pytest.Config.ArgsSource.ARGS
        and not any(config.getoption(name, None) for name in selecting_options)
    )


def check_ids(config: pytest.Config, collected: Iterable[str]) -> None:
    """Check the listed test ids against the collected ones, if the whole suite was collected."""
    if is_whole_suite(config):
        try:
            failures = config.stash[KNOWN_FAILURES]
            check_known_ids(failures, collected)
        except InvalidListError as error:
            raise pytest.UsageError(str(error)) from None


def mark_expected_failures(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; one that passes is an error (strict)."""
    failures = {failure.entry: failure for failure in config.stash[KNOWN_FAILURES]}
    for item in items:
        if failure := failures.get(item.nodeid):
            # Inserted first: a mark of the test itself that is not strict would hide that the test passes.
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{failure.seen}, #{failure.issue}"), append=False)
    # With xdist, this process collects nothing; the ids of the workers are checked when they are reported.
    if not config.getoption("numprocesses", None):
        check_ids(config, [item.nodeid for item in items])


def print_known_failures(config: pytest.Config, reporter: pytest.TerminalReporter) -> None:
    """Print every line at the end of each run, so that no fault is forgotten."""
    for failure in config.stash.get(KNOWN_FAILURES, ()):
        reporter.write_line(f"known red: {failure}")
