"""Sums up all processes below a relay or a source: versions in force, laggards by name and number. No I/O.

This module keeps the last report of each child, adds them up, and decides when the sum is reported to the upstream. A
report is sent each `REPORT_INTERVAL_US` with some jitter, and after a change no sooner than `MIN_REPORT_GAP_US` after
the last one.

A child that reports an older head than this process has does not know of the newer versions: all it reported counts as
behind until it reports again. So no old report hides a laggard; in return a laggard may be counted until the next one.
"""

from collections.abc import Mapping
from random import Random

import msgspec

from oatlink.fleet.control.bounds import is_report
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages.base import NEVER_US
from oatlink.fleet.messages.control import MAX_NAMED_LAGGARDS, MAX_REPORTED_CHILDREN, Head, Lag, Report

REPORT_INTERVAL_US = 5_000_000
MIN_REPORT_GAP_US = 1_000_000  # between two reports
MAX_REPORT_DELAY_US = 200_000  # reports are spread over this time: all processes below get a change at the same moment


class _ChildSums(msgspec.Struct):
    """The sums of one child.

    `reported`: it has sent a report in this incarnation; before that it counts as one process.
    """

    incarnation: int
    lags: dict[str, Lag]
    alive: tuple[tuple[str, int], ...] = ()
    children: int = 0
    reported: bool = False


class Sums:
    """Adds up the children's reports. `own`: the scopes of which the owner is itself a reader; a source has none."""

    def __init__(self, name: str, tables: Mapping[str, Table], own: tuple[str, ...], seed: int, now_us: int) -> None:
        self._name, self._tables, self._own = name, tables, own
        self._below: dict[str, _ChildSums] = {}
        self._draw = Random(f"sums/{seed}/{name}")
        self._sent_us = now_us - MIN_REPORT_GAP_US
        self._full_report_us = now_us + self._draw.randrange(REPORT_INTERVAL_US)
        self._change_report_us = NEVER_US

    @property
    def due_us(self) -> int:
        """When a report is due."""
        return min(self._full_report_us, self._change_report_us)

    # ---- Children ----

    def add_child(self, child: str, incarnation: int, heads: tuple[Head, ...]) -> None:
        """Add a child that has subscribed. Its earlier report is kept for the scopes that it still takes."""
        sums = self._below.get(child)
        if sums is None or sums.incarnation != incarnation:
            sums = self._below[child] = _ChildSums(incarnation, {})
        lags_before, sums.lags = sums.lags, {}
        for head in heads:
            own_lag = Lag(head, 1, head.version)
            sums.lags[head.scope] = lags_before.get(head.scope, own_lag) if sums.reported else own_lag

    def remove_child(self, child: str) -> None:
        """Drop a process that is not a child any more."""
        self._below.pop(child, None)

    def take_report(self, child: str, report: Report, now_us: int) -> str:
        """Store a report. Return '' if all of it is stored, else why it or one of its scopes was dropped."""
        sums = self._below.get(child)
        if sums is None or sums.incarnation != report.incarnation:
            return "report of a process that is no child"
        if not is_report(report):
            return "impossible report"
        reason = ""
        for lag in report.lags:
            table = self._tables.get(lag.head.scope)
            if table is None or lag.head.scope not in sums.lags:
                reason = "report on a scope not taken"
            elif (lag.head.epoch, lag.head.version) > (table.head.epoch, table.head.version):
                # The child got that version from another upstream and it arrives here soon, or no such version exists.
                reason = "report ahead of this process"
            else:
                if lag != sums.lags[lag.head.scope]:
                    self.schedule_report(now_us)
                sums.lags[lag.head.scope] = lag
        sums.reported, sums.children = True, report.children
        if report.alive or not report.children:
            sums.alive = report.alive
        return reason

    # ---- Sums ----

    def lag(self, scope: str) -> Lag:
        """Return how far all processes below, and this one, are behind this process's own head of a scope."""
        return self.lag_against(self._tables[scope].head)

    def lag_against(self, head: Head) -> Lag:
        """Return how far all processes below are behind this version.

        If it is in force at all of them, `behind` is 0.
        """
        readers = behind = 0
        least = head.version
        named: list[str] = []
        if head.scope in self._own:
            own_head = self._tables[head.scope].head
            readers = 1
            if (own_head.epoch, own_head.version) < (head.epoch, head.version):
                behind, least, named = 1, own_head.version if own_head.epoch == head.epoch else 0, [self._name]
        for name, sums in self._below.items():
            lag = sums.lags.get(head.scope)
            if lag is None or not lag.readers:
                continue
            readers += lag.readers
            if (lag.head.epoch, lag.head.version) < (head.epoch, head.version):  # it cannot have more than it knows of
                behind += lag.readers
                least = min(least, lag.least if lag.head.epoch == head.epoch else 0)
                names: tuple[str, ...] = (*lag.named, name)
            elif lag.head.epoch > head.epoch or lag.least >= head.version:
                continue
            else:  # those behind its head may have this version; unless all have it, all of them count
                behind += lag.behind
                least, names = min(least, lag.least), lag.named
            named += [laggard for laggard in names if laggard not in named][: max(0, MAX_NAMED_LAGGARDS - len(named))]
        return Lag(head, readers, least, behind, tuple(named))

    @property
    def children(self) -> int:
        """The number of all processes below, as far as they are reported."""
        return sum(1 + sums.children for sums in self._below.values())

    def alive(self) -> tuple[tuple[str, int], ...]:
        """Return names and incarnations of processes below, the first `MAX_REPORTED_CHILDREN` of them."""
        processes: list[tuple[str, int]] = []
        for name, sums in self._below.items():
            processes += ((name, sums.incarnation), *sums.alive)
            if len(processes) >= MAX_REPORTED_CHILDREN:
                break
        return tuple(processes[:MAX_REPORTED_CHILDREN])

    # ---- Reports to the upstream ----

    def schedule_report(self, now_us: int) -> None:
        """Schedule a report after a version came into force here or below."""
        at_us = max(now_us + self._draw.randrange(MAX_REPORT_DELAY_US), self._sent_us + MIN_REPORT_GAP_US)
        self._change_report_us = min(self._change_report_us, at_us)

    def report(self, incarnation: int, mark: int, now_us: int) -> Report:
        """Build the report for the upstream; call it when one is due."""
        is_full = now_us >= self._full_report_us
        if is_full:
            self._full_report_us = (
                now_us + REPORT_INTERVAL_US + self._draw.randrange(-REPORT_INTERVAL_US // 10, REPORT_INTERVAL_US // 10)
            )
        else:
            self._full_report_us = max(self._full_report_us, now_us + MIN_REPORT_GAP_US)
        self._sent_us, self._change_report_us = now_us, NEVER_US
        # Includes scopes that no process below takes any more: otherwise their old sum would stay at the upstream.
        lags = tuple(map(self.lag, self._tables))
        return Report(incarnation, lags, self.children, self.alive() if is_full else (), mark)
