"""The judge of layouts: from what reached the boxes and what their data took, knowing nothing of markers. No I/O.

The traffic is made so that it can be judged: a command made for layout N touches only keys that begin with `vN:` (or
`log:vN:`). A plan's step to layout N sets `layout:N:expand` at each bank, its contract sets `layout:N:contract`, which
takes layout N - 1 away, and its undo deletes `layout:N:expand`. When each box applied these is known from the box.

- Expanded: a command of layout N reaches only a box that has applied the expand of N by then (the first layout is
  there from the begin). What a box let go to take its primary's data anew it no longer has.
- Not contracted: a command of layout N reaches no box that has applied what takes N away (the contract of N + 1, or
  the undo of N), and none that applies it before the command is answered.
- Two at most: no command of layout N reaches any box after one of layout N + 2 has.
- Told: no refusal without a time to come back.
- Done: what was to be finished on this day is, at every bank.
"""

import re
from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from oatlink.audit.capture import Call, Capture, read_line

RULES = ("expanded", "not_contracted", "two_at_most", "told", "done")
KEY = re.compile(rb"(?:log:)?v(\d+):")
STEP = re.compile(rb"layout:(\d+):(expand|contract)")
BACK = re.compile(rb"retry after \d+ ms")
DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET"))


@dataclass(slots=True)
class Change:
    """When what came of one plan, in seconds after it was proposed; -1: never."""

    expanded_s: float = -1.0  # at the last bank
    first_served_s: float = -1.0  # the first answer to a command of it
    contracted_s: float = -1.0  # at the last bank


@dataclass(slots=True)
class VersionsResult:
    """Counts, and for each rule what broke it."""

    commands: Counter[int] = field(default_factory=Counter)  # at boxes, by layout
    asked: Counter[str] = field(default_factory=Counter)  # by clients, by the third part of their place
    refused: Counter[str] = field(default_factory=Counter)
    changes: dict[int, Change] = field(default_factory=dict)
    unpinned_unserved_s: float = 0.0  # the longest time in which clients of no layout were refused and none was served
    violations: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.violations.values())


class _Shelf:
    """Which steps one box has applied, over time."""

    def __init__(self) -> None:
        self._times: list[int] = []
        self._states: list[frozenset[tuple[int, str]]] = []
        self.gone: list[tuple[int, int]] = []  # when what took which layout away

    def take(self, at_us: int, args: list[bytes]) -> None:
        """A command was applied; times only grow."""
        held = self._states[-1] if self._states else frozenset()
        name = args[0].upper()
        if name == b"FLUSHALL":
            held = frozenset()
        for key in args[1:2] if name == b"SET" else args[1:] if name in (b"DEL", b"UNLINK") else ():
            found = STEP.fullmatch(key)
            if found is None:
                continue
            step = int(found[1]), found[2].decode()
            if name == b"SET":
                held |= {step}
                if step[1] == "contract":
                    self.gone.append((at_us, step[0] - 1))
            else:
                held -= {step}
                if step[1] == "expand":
                    self.gone.append((at_us, step[0]))
        self._times.append(at_us)
        self._states.append(held)

    def at(self, at_us: int) -> frozenset[tuple[int, str]]:
        """What it has applied by then."""
        place = bisect_right(self._times, at_us)
        return self._states[place - 1] if place else frozenset()


class VersionsChecker:
    """Judges one day."""

    def __init__(
        self,
        capture: Capture,
        banks: dict[str, str],
        proposed: dict[int, int],
        due: tuple[int, ...] = (),
        first: int = 1,
    ) -> None:
        """`banks`: by box; `proposed`: when each layout's plan was; `due`: layouts that are to be there alone."""
        self._capture, self._banks, self._proposed = capture, banks, proposed
        self._due, self._first = due, first
        self._shelves: dict[str, _Shelf] = defaultdict(_Shelf)
        self._unpinned: list[tuple[int, bool]] = []  # when answered, and whether served
        self.found = VersionsResult()

    def check(self) -> VersionsResult:
        """Read the capture."""
        for one in sorted(self._capture.applied, key=lambda one: one.at_us):
            self._shelves[one.box].take(one.at_us, one.args)
        arrived: list[tuple[int, int, str]] = []
        for (place, number), chunks in sorted(self._capture.chunks.items()):
            client = place.startswith("client")
            line = read_line(place, number, chunks, commands_out=client)
            if client:
                self._client(place, line.calls)
            elif not line.replication:
                arrived += self._box(place, line.calls)
        self._two_at_most(arrived)
        self._unserved()
        for version, at_us in sorted(self._proposed.items()):
            self._change(version, at_us)
        return self.found

    def _client(self, place: str, calls: list[Call]) -> None:
        group = place.split("-")[2]
        for call in calls:
            if call.args[0].upper() not in DATA or call.replied_us < 0:
                continue
            self.found.asked[group] += 1
            refused = call.reply[:1] == b"-" and b"nothing was run" in call.reply
            if group == "none" and (refused or call.reply[:1] != b"-"):
                self._unpinned.append((call.replied_us, not refused))
            if refused:
                self.found.refused[group] += 1
                if BACK.search(call.reply) is None:
                    self.found.violations["told"].append(f"{place}: {call.reply[:60]!r}")
            elif call.reply[:1] != b"-" and (version := version_of(call)) in self._proposed:
                change = self.found.changes.setdefault(version, Change())
                after = (call.replied_us - self._proposed[version]) / 1e6
                change.first_served_s = after if change.first_served_s < 0 else min(after, change.first_served_s)

    def _box(self, box: str, calls: list[Call]) -> list[tuple[int, int, str]]:
        arrived: list[tuple[int, int, str]] = []
        shelf = self._shelves[box]
        for call in calls:
            version = version_of(call)
            if not version:
                continue
            self.found.commands[version] += 1
            arrived.append((call.sent_us, version, box))
            what = f"{box}: {call.args[0].decode()} {call.args[1].decode('utf-8', 'replace')}"
            held = shelf.at(call.sent_us)
            if version != self._first and (version, "expand") not in held:
                self.found.violations["expanded"].append(f"{what} came, and its layout was not there")
            until_us = max(call.sent_us, call.replied_us)
            if (version + 1, "contract") in held or any(
                one == version and call.sent_us < at_us < until_us for at_us, one in shelf.gone
            ):
                self.found.violations["not_contracted"].append(f"{what} was out, and its layout was taken away")
        return arrived

    def _two_at_most(self, arrived: list[tuple[int, int, str]]) -> None:
        newest = 0
        for _, version, box in sorted(arrived):
            newest = max(newest, version)
            if version < newest - 1:
                self.found.violations["two_at_most"].append(f"{box}: layout {version} after {newest}")

    def _unserved(self) -> None:
        since, refused = -1, False
        for at_us, served in sorted(self._unpinned):
            if served and refused and since >= 0:
                self.found.unpinned_unserved_s = max(self.found.unpinned_unserved_s, (at_us - since) / 1e6)
            since, refused = (at_us, False) if served else (since, True)

    def _change(self, version: int, at_us: int) -> None:
        change = self.found.changes.setdefault(version, Change())
        change.expanded_s = self._last_bank(version, b"expand", at_us)
        change.contracted_s = self._last_bank(version, b"contract", at_us)
        if version in self._due and change.contracted_s < 0:
            self.found.violations["done"].append(f"layout {version} is not there alone at every bank")

    def _last_bank(self, version: int, kind: bytes, from_us: int) -> float:
        """When the last bank first applied a step, after the plan; -1 where one has not."""
        first: dict[str, int] = {}
        for one in self._capture.applied:
            if one.args[0].upper() == b"SET" and one.args[1] == b"layout:%d:%b" % (version, kind):
                bank = self._banks[one.box]
                first[bank] = min(one.at_us, first.get(bank, one.at_us))
        if set(first) != set(self._banks.values()):
            return -1.0
        return (max(first.values()) - from_us) / 1e6


def version_of(call: Call) -> int:
    """The layout that a command is made for, 0 where it is for any."""
    if call.args[0].upper() not in DATA or len(call.args) < 2:
        return 0
    found = KEY.match(call.args[1])
    return int(found[1]) if found else 0
