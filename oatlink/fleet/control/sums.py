"""What is below a relay or a source, in sums: versions in force, laggards by name and number. No I/O.

What may live here: the last report of each child, what they come to, and when that is told upward. A report is told
each `REPORT_US`, give or take a part, and after news at `LEAST_US` after the last one at the earliest.

A child that reports a head older than ours has heard of less: all that it told counts as behind until it tells more. So
no laggard is hidden by an old report; the price is that a laggard may be counted until the next one.
"""

from collections.abc import Mapping
from random import Random

import msgspec

from oatlink.fleet.control.bounds import is_report
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages.base import NEVER_US
from oatlink.fleet.messages.control import MAX_NAMED_LAGGARDS, MAX_REPORTED_CHILDREN, Head, Lag, Report

REPORT_US = 5_000_000
LEAST_US = 1_000_000  # between two
NEWS_US = 200_000  # drawn over this: all below hear of one change in the same moment


class _Below(msgspec.Struct):
    """One child. `reported`: it has told its sums in this incarnation; before that it stands for itself."""

    incarnation: int
    lags: dict[str, Lag]
    alive: tuple[tuple[str, int], ...] = ()
    children: int = 0
    reported: bool = False


class Sums:
    """`own`: the scopes that the owner itself is a reader of; a source has none."""

    def __init__(self, name: str, tables: Mapping[str, Table], own: tuple[str, ...], seed: int, now_us: int) -> None:
        self._name, self._tables, self._own = name, tables, own
        self._below: dict[str, _Below] = {}
        self._draw = Random(f"sums/{seed}/{name}")
        self._sent_us = now_us - LEAST_US
        self._round_us = now_us + self._draw.randrange(REPORT_US)
        self._news_us = NEVER_US

    @property
    def due_us(self) -> int:
        """When a report is due."""
        return min(self._round_us, self._news_us)

    # ---- Children ----

    def begins(self, child: str, incarnation: int, heads: tuple[Head, ...]) -> None:
        """It has subscribed. What it reported before is kept as far as it takes the scope still."""
        one = self._below.get(child)
        if one is None or one.incarnation != incarnation:
            one = self._below[child] = _Below(incarnation, {})
        old, one.lags = one.lags, {}
        for head in heads:
            alone = Lag(head, 1, head.version)
            one.lags[head.scope] = old.get(head.scope, alone) if one.reported else alone

    def ends(self, child: str) -> None:
        """It is not a child any more."""
        self._below.pop(child, None)

    def take(self, child: str, report: Report, now_us: int) -> str:
        """A report. Empty where it is taken whole, else why it was dropped, or a scope of it."""
        one = self._below.get(child)
        if one is None or one.incarnation != report.incarnation:
            return "report of a stranger"
        if not is_report(report):
            return "impossible report"
        why = ""
        for lag in report.lags:
            table = self._tables.get(lag.head.scope)
            if table is None or lag.head.scope not in one.lags:
                why = "report on a scope not taken"
            elif (lag.head.epoch, lag.head.version) > (table.head.epoch, table.head.version):
                why = "report ahead of ours"  # it came from another upstream and is right soon, or never was
            else:
                if lag != one.lags[lag.head.scope]:
                    self.news(now_us)
                one.lags[lag.head.scope] = lag
        one.reported, one.children = True, report.children
        if report.alive or not report.children:
            one.alive = report.alive
        return why

    # ---- What it comes to ----

    def lag(self, scope: str) -> Lag:
        """Everybody below in this scope, ourselves included, against our own head."""
        return self.against(self._tables[scope].head)

    def against(self, head: Head) -> Lag:
        """Everybody below, against this version. In force everywhere below: `behind` is 0."""
        readers = behind = 0
        least = head.version
        named: list[str] = []
        if head.scope in self._own:
            ours = self._tables[head.scope].head
            readers = 1
            if (ours.epoch, ours.version) < (head.epoch, head.version):
                behind, least, named = 1, ours.version if ours.epoch == head.epoch else 0, [self._name]
        for name, one in self._below.items():
            lag = one.lags.get(head.scope)
            if lag is None or not lag.readers:
                continue
            readers += lag.readers
            if (lag.head.epoch, lag.head.version) < (head.epoch, head.version):  # it cannot have more than it knows of
                behind += lag.readers
                least = min(least, lag.least if lag.head.epoch == head.epoch else 0)
                who: tuple[str, ...] = (*lag.named, name)
            elif lag.head.epoch > head.epoch or lag.least >= head.version:
                continue
            else:  # those behind its head may have ours; where they don't all, they all count
                behind += lag.behind
                least, who = min(least, lag.least), lag.named
            named += [text for text in who if text not in named][: max(0, MAX_NAMED_LAGGARDS - len(named))]
        return Lag(head, readers, least, behind, tuple(named))

    @property
    def children(self) -> int:
        """All processes below, as far as they are told."""
        return sum(1 + one.children for one in self._below.values())

    def alive(self) -> tuple[tuple[str, int], ...]:
        """Names and incarnations below, the first `MAX_REPORTED_CHILDREN` of them."""
        found: list[tuple[str, int]] = []
        for name, one in self._below.items():
            found += ((name, one.incarnation), *one.alive)
            if len(found) >= MAX_REPORTED_CHILDREN:
                break
        return tuple(found[:MAX_REPORTED_CHILDREN])

    # ---- Upward ----

    def news(self, now_us: int) -> None:
        """Something is in force here or below that was not."""
        soon_us = max(now_us + self._draw.randrange(NEWS_US), self._sent_us + LEAST_US)
        self._news_us = min(self._news_us, soon_us)

    def report(self, incarnation: int, mark: int, now_us: int) -> Report:
        """What to tell the upstream; call it when it is due."""
        whole = now_us >= self._round_us
        if whole:
            self._round_us = now_us + REPORT_US + self._draw.randrange(-REPORT_US // 10, REPORT_US // 10)
        else:
            self._round_us = max(self._round_us, now_us + LEAST_US)
        self._sent_us, self._news_us = now_us, NEVER_US
        lags = tuple(map(self.lag, self._tables))  # those that nobody takes any more, too: else an old sum would stand
        return Report(incarnation, lags, self.children, self.alive() if whole else (), mark)
