"""What a day's trouble with boxes cost, and how soon each gateway knew: from captures and what operators saw. No I/O.

Two days with the same trouble, with and without the fleet's verdicts, are compared by these figures. At the boxes:
*checks* (INFO that reached a box) and *failed attempts* (data commands that got no answer, or an error). An attempt at
an address that takes no connection leaves no trace at a box and is not in either.

A gateway *knows* of a harm from the first time that an operator saw it doubt the member, while it lasted; what is
*stale* at the others is reckoned from the first gateway's knowledge, whoever had it. A *healthy* member is one that
nothing was done to, in a bank whose primary was left alone, until `settle_us` after. To put it later on others' words
is to pass it over.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from oatlink.audit.capture import Capture, read_line

DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET", b"EXEC"))
Observation = tuple[int, str, str, str]
"""When, at which gateway, of which member, what it is taken for: well, doubted, later. Only changes are kept."""


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """Something done to members, and those of their bank that may suffer with them (an election)."""

    what: str
    members: tuple[str, ...]
    banks: tuple[str, ...]  # whose primary it was done to
    from_us: int
    to_us: int


@dataclass(slots=True)
class Detection:
    """One harm: how long the first gateway took to know, and how much later each other one did; missing: never."""

    what: str
    members: tuple[str, ...]
    first_ms: float = -1.0
    others_later_ms: list[float] = field(default_factory=list)
    never: int = 0


@dataclass(slots=True)
class EvidenceResult:
    """The figures of one day."""

    checks: int = 0
    checks_at_faulty: int = 0
    attempts: int = 0
    failed_attempts: int = 0
    failed_at_faulty: int = 0
    detections: list[Detection] = field(default_factory=list)
    healthy_doubted: int = 0  # healthy members, by a gateway's own eyes: a late answer does that
    healthy_passed_over: list[str] = field(default_factory=list)  # healthy members, on others' words


class EvidenceChecker:
    """Judges one day."""

    def __init__(
        self,
        capture: Capture,
        harms: list[InjectedFault],
        sightings: list[Observation],
        banks: dict[str, str],
        gateways: tuple[str, ...],
        settle_us: int = 3_000_000,
    ) -> None:
        """`banks`: by member."""
        self._capture, self._harms, self._banks = capture, harms, banks
        self._gateways, self._settle_us = gateways, settle_us
        self._sightings = sorted(sightings)
        self.found = EvidenceResult()

    def check(self) -> EvidenceResult:
        """Count."""
        for place, number in sorted(self._capture.chunks):
            if not place.startswith("client"):
                self._box(place, number)
        for harm in self._harms:
            self.found.detections.append(self._known(harm))
        for at_us, gateway, member, what in self._sightings:
            if what == "well" or self._harmed(member, at_us):
                continue
            if what == "later":
                self.found.healthy_passed_over.append(f"{gateway}: {member}")
            else:
                self.found.healthy_doubted += 1
        return self.found

    def _box(self, box: str, number: int) -> None:
        line = read_line(box, number, self._capture.chunks[box, number], commands_out=False)
        if line.replication:
            return
        found = self.found
        for call in line.calls:
            harmed = any(box in harm.members and harm.from_us <= call.sent_us < harm.to_us for harm in self._harms)
            name = call.args[0].upper()
            if name == b"INFO":
                found.checks += 1
                found.checks_at_faulty += harmed
            elif name in DATA:
                found.attempts += 1
                if call.replied_us < 0 or call.reply[:1] == b"-":
                    found.failed_attempts += 1
                    found.failed_at_faulty += harmed

    def _known(self, harm: InjectedFault) -> Detection:
        """When each gateway first took one of the members for less than well."""
        first: dict[str, int] = {}
        before: dict[tuple[str, str], str] = defaultdict(lambda: "well")
        times = [one[0] for one in self._sightings]
        for _, gateway, member, what in self._sightings[: bisect_right(times, harm.from_us)]:
            before[gateway, member] = what
        for at_us, gateway, member, what in self._sightings:
            inside = harm.from_us < at_us <= harm.to_us
            if inside and member in harm.members and what != "well" and before[gateway, member] == "well":
                first.setdefault(gateway, at_us)
        known = Detection(harm.what, harm.members, never=len(self._gateways) - len(first))
        if first:
            begin_us = min(first.values())
            known.first_ms = (begin_us - harm.from_us) / 1e3
            known.others_later_ms = sorted((at_us - begin_us) / 1e3 for at_us in first.values())[1:]
        return known

    def _harmed(self, member: str, at_us: int) -> bool:
        return any(
            (member in harm.members or self._banks[member] in harm.banks)
            and harm.from_us <= at_us < harm.to_us + self._settle_us
            for harm in self._harms
        )
