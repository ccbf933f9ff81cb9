"""Checks changes of layout from the traffic at the boxes and the changes of their data, without the layout markers.

No I/O. The traffic is made so that it can be checked: a command made for layout N touches only keys that begin with
`vN:` (or `log:vN:`). A plan's step to layout N sets `layout:N:expand` at each bank, its contract sets
`layout:N:contract`, which removes layout N - 1, and its undo deletes `layout:N:expand`. The boxes record when they
applied each of these.

- Expanded: a command of layout N reaches only a box that has applied the expand of N by then (the first layout is
  there from the start). A box that drops its data for a full resynchronisation with its primary drops its steps too.
- Not contracted: a command of layout N reaches no box that has applied a step that removes N (the contract of N + 1,
  or the undo of N), and none that applies one before the command is answered.
- Two at most: no command of layout N reaches any box after a command of layout N + 2 has reached one.
- Told: every refusal names a time to retry.
- Done: the changes that had to finish in this run have finished at every bank.
"""

import re
from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from oatlink.audit.capture import Call, Capture, parse_connection

RULES = ("expanded", "not_contracted", "two_at_most", "told", "done")
KEY = re.compile(rb"(?:log:)?v(\d+):")
STEP = re.compile(rb"layout:(\d+):(expand|contract)")
RETRY = re.compile(rb"retry after \d+ ms")
DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET"))


@dataclass(slots=True)
class LayoutChange:
    """When the parts of one plan took effect, in seconds after it was proposed; -1: never."""

    expanded_s: float = -1.0  # at the last bank
    first_served_s: float = -1.0  # the first served command of the new layout
    contracted_s: float = -1.0  # at the last bank


@dataclass(slots=True)
class VersionsResult:
    """Counts, and the violations of each rule."""

    commands: Counter[int] = field(default_factory=Counter)  # at boxes, by layout
    asked: Counter[str] = field(default_factory=Counter)  # commands of clients, by the third part of their place
    refused: Counter[str] = field(default_factory=Counter)  # likewise
    changes: dict[int, LayoutChange] = field(default_factory=dict)
    # The longest time without a served command, but with refused ones, among clients that are pinned to no layout.
    unpinned_unserved_s: float = 0.0
    violations: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not any(self.violations.values())


class _StepHistory:
    """The steps that one box has applied, over time."""

    def __init__(self) -> None:
        self._times: list[int] = []
        self._states: list[frozenset[tuple[int, str]]] = []
        self.removals: list[tuple[int, int]] = []  # time and layout, for each step that removes one

    def add(self, at_us: int, args: list[bytes]) -> None:
        """Add a command that was applied; times must not go back."""
        steps = self._states[-1] if self._states else frozenset()
        name = args[0].upper()
        if name == b"FLUSHALL":
            steps = frozenset()
        for key in args[1:2] if name == b"SET" else args[1:] if name in (b"DEL", b"UNLINK") else ():
            match = STEP.fullmatch(key)
            if match is None:
                continue
            step = int(match[1]), match[2].decode()
            if name == b"SET":
                steps |= {step}
                if step[1] == "contract":
                    self.removals.append((at_us, step[0] - 1))
            else:
                steps -= {step}
                if step[1] == "expand":
                    self.removals.append((at_us, step[0]))
        self._times.append(at_us)
        self._states.append(steps)

    def at(self, at_us: int) -> frozenset[tuple[int, str]]:
        """The steps in effect at a time."""
        count = bisect_right(self._times, at_us)
        return self._states[count - 1] if count else frozenset()


class VersionsChecker:
    """Checks one run."""

    def __init__(
        self,
        capture: Capture,
        banks: dict[str, str],
        proposed: dict[int, int],
        due: tuple[int, ...] = (),
        first: int = 1,
    ) -> None:
        """`banks`: each box's bank; `proposed`: when each layout was proposed; `due`: layouts that must be final."""
        self._capture, self._banks, self._proposed = capture, banks, proposed
        self._due, self._first = due, first
        self._steps: dict[str, _StepHistory] = defaultdict(_StepHistory)
        self._unpinned: list[tuple[int, bool]] = []  # time of the answer, and whether it was served
        self.result = VersionsResult()

    def check(self) -> VersionsResult:
        """Check all rules."""
        for applied in sorted(self._capture.applied, key=lambda each: each.at_us):
            self._steps[applied.box].add(applied.at_us, applied.args)
        arrived: list[tuple[int, int, str]] = []
        for (place, number), chunks in sorted(self._capture.chunks.items()):
            is_client = place.startswith("client")
            parsed = parse_connection(place, number, chunks, commands_out=is_client)
            if is_client:
                self._check_client(place, parsed.calls)
            elif not parsed.is_replication:
                arrived += self._check_box(place, parsed.calls)
        self._check_two_at_most(arrived)
        self._measure_unserved()
        for version, at_us in sorted(self._proposed.items()):
            self._measure_change(version, at_us)
        return self.result

    def _check_client(self, place: str, calls: list[Call]) -> None:
        group = place.split("-")[2]
        for call in calls:
            if call.args[0].upper() not in DATA or call.replied_us < 0:
                continue
            self.result.asked[group] += 1
            is_refused = call.reply[:1] == b"-" and b"nothing was run" in call.reply
            if group == "none" and (is_refused or call.reply[:1] != b"-"):
                self._unpinned.append((call.replied_us, not is_refused))
            if is_refused:
                self.result.refused[group] += 1
                if RETRY.search(call.reply) is None:
                    self.result.violations["told"].append(f"{place}: {call.reply[:60]!r}")
            elif call.reply[:1] != b"-" and (version := version_of(call)) in self._proposed:
                change = self.result.changes.setdefault(version, LayoutChange())
                after_s = (call.replied_us - self._proposed[version]) / 1e6
                change.first_served_s = after_s if change.first_served_s < 0 else min(after_s, change.first_served_s)

    def _check_box(self, box: str, calls: list[Call]) -> list[tuple[int, int, str]]:
        arrived: list[tuple[int, int, str]] = []
        steps = self._steps[box]
        for call in calls:
            version = version_of(call)
            if not version:
                continue
            self.result.commands[version] += 1
            arrived.append((call.sent_us, version, box))
            what = f"{box}: {call.args[0].decode()} {call.args[1].decode('utf-8', 'replace')}"
            applied = steps.at(call.sent_us)
            if version != self._first and (version, "expand") not in applied:
                self.result.violations["expanded"].append(f"{what} came while its layout was not applied")
            until_us = max(call.sent_us, call.replied_us)
            if (version + 1, "contract") in applied or any(
                removed == version and call.sent_us < at_us < until_us for at_us, removed in steps.removals
            ):
                self.result.violations["not_contracted"].append(
                    f"{what} came after its layout was removed, or was pending then"
                )
        return arrived

    def _check_two_at_most(self, arrived: list[tuple[int, int, str]]) -> None:
        newest = 0
        for _, version, box in sorted(arrived):
            newest = max(newest, version)
            if version < newest - 1:
                self.result.violations["two_at_most"].append(f"{box}: layout {version} after {newest}")

    def _measure_unserved(self) -> None:
        since_us, has_refusal = -1, False
        for at_us, served in sorted(self._unpinned):
            if served and has_refusal and since_us >= 0:
                self.result.unpinned_unserved_s = max(self.result.unpinned_unserved_s, (at_us - since_us) / 1e6)
            since_us, has_refusal = (at_us, False) if served else (since_us, True)

    def _measure_change(self, version: int, at_us: int) -> None:
        change = self.result.changes.setdefault(version, LayoutChange())
        change.expanded_s = self._last_bank(version, b"expand", at_us)
        change.contracted_s = self._last_bank(version, b"contract", at_us)
        if version in self._due and change.contracted_s < 0:
            self.result.violations["done"].append(f"layout {version} is not final at every bank")

    def _last_bank(self, version: int, kind: bytes, from_us: int) -> float:
        """How long after the proposal every bank had applied a step, in seconds; -1 where one has not."""
        first: dict[str, int] = {}
        for applied in self._capture.applied:
            if applied.args[0].upper() == b"SET" and applied.args[1] == b"layout:%d:%b" % (version, kind):
                bank = self._banks[applied.box]
                first[bank] = min(applied.at_us, first.get(bank, applied.at_us))
        if set(first) != set(self._banks.values()):
            return -1.0
        return (max(first.values()) - from_us) / 1e6


def version_of(call: Call) -> int:
    """The layout that a command is made for, 0 where it is for none in particular."""
    if call.args[0].upper() not in DATA or len(call.args) < 2:
        return 0
    match = KEY.match(call.args[1])
    return int(match[1]) if match else 0
