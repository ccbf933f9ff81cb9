"""What a scenario's faults at boxes cost, and how soon each gateway noticed them. No I/O.

The figures come from captures and from what operators observed. Two runs with the same faults, with and without
health reports between gateways, are compared by these figures. Two counts are taken at the boxes: *checks* (INFO that
reached a box) and *failed attempts* (data commands that got no answer, or an error). An attempt at an address that
accepts no connection leaves no trace at a box and is in neither count.

A gateway *notices* a fault when an operator first observes that it doubts the member, while the fault lasts. The
delay of the other gateways is counted from the first one's observation, whichever gateway that is. A *healthy* member
is one that no fault was injected into, in a bank whose primary was left alone, until `settle_us` after. It is *passed
over* where a gateway uses it later because other gateways reported it.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from oatlink.audit.capture import Capture, parse_connection

DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET", b"EXEC"))
Observation = tuple[int, str, str, str]
"""Time, gateway, member, and what the gateway takes it for: well, doubted, later. Only changes are recorded."""


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault injected into members, with the banks whose other members may suffer from it (an election)."""

    what: str
    members: tuple[str, ...]
    banks: tuple[str, ...]  # the banks whose primary has the fault
    from_us: int
    to_us: int


@dataclass(slots=True)
class Detection:
    """How long the first gateway took to notice one fault, and how much later each other one did."""

    what: str
    members: tuple[str, ...]
    first_ms: float = -1.0
    others_later_ms: list[float] = field(default_factory=list)
    never: int = 0  # gateways that did not notice it


@dataclass(slots=True)
class EvidenceResult:
    """The figures of one run."""

    checks: int = 0
    checks_at_faulty: int = 0
    attempts: int = 0
    failed_attempts: int = 0
    failed_at_faulty: int = 0
    detections: list[Detection] = field(default_factory=list)
    healthy_doubted: int = 0  # by a gateway's own observation: a late answer is enough for that
    healthy_passed_over: list[str] = field(default_factory=list)  # because of other gateways' reports


class EvidenceChecker:
    """Evaluates one run."""

    def __init__(
        self,
        capture: Capture,
        faults: list[InjectedFault],
        observations: list[Observation],
        banks: dict[str, str],
        gateways: tuple[str, ...],
        settle_us: int = 3_000_000,
    ) -> None:
        """`banks`: the bank of each member."""
        self._capture, self._faults, self._banks = capture, faults, banks
        self._gateways, self._settle_us = gateways, settle_us
        self._observations = sorted(observations)
        self.result = EvidenceResult()

    def check(self) -> EvidenceResult:
        """Compute the figures."""
        for place, number in sorted(self._capture.chunks):
            if not place.startswith("client"):
                self._count_calls(place, number)
        for fault in self._faults:
            self.result.detections.append(self._detection(fault))
        for at_us, gateway, member, what in self._observations:
            if what == "well" or self._is_affected(member, at_us):
                continue
            if what == "later":
                self.result.healthy_passed_over.append(f"{gateway}: {member}")
            else:
                self.result.healthy_doubted += 1
        return self.result

    def _count_calls(self, box: str, number: int) -> None:
        parsed = parse_connection(box, number, self._capture.chunks[box, number], commands_out=False)
        if parsed.is_replication:
            return
        result = self.result
        for call in parsed.calls:
            is_faulty = any(box in each.members and each.from_us <= call.sent_us < each.to_us for each in self._faults)
            name = call.args[0].upper()
            if name == b"INFO":
                result.checks += 1
                result.checks_at_faulty += is_faulty
            elif name in DATA:
                result.attempts += 1
                if call.replied_us < 0 or call.reply[:1] == b"-":
                    result.failed_attempts += 1
                    result.failed_at_faulty += is_faulty

    def _detection(self, fault: InjectedFault) -> Detection:
        """When each gateway first rated one of the fault's members worse than `well`."""
        noticed_us: dict[str, int] = {}
        before: dict[tuple[str, str], str] = defaultdict(lambda: "well")
        times = [each[0] for each in self._observations]
        for _, gateway, member, what in self._observations[: bisect_right(times, fault.from_us)]:
            before[gateway, member] = what
        for at_us, gateway, member, what in self._observations:
            is_during = fault.from_us < at_us <= fault.to_us
            if is_during and member in fault.members and what != "well" and before[gateway, member] == "well":
                noticed_us.setdefault(gateway, at_us)
        detection = Detection(fault.what, fault.members, never=len(self._gateways) - len(noticed_us))
        if noticed_us:
            first_us = min(noticed_us.values())
            detection.first_ms = (first_us - fault.from_us) / 1e3
            detection.others_later_ms = sorted((at_us - first_us) / 1e3 for at_us in noticed_us.values())[1:]
        return detection

    def _is_affected(self, member: str, at_us: int) -> bool:
        return any(
            (member in fault.members or self._banks[member] in fault.banks)
            and fault.from_us <= at_us < fault.to_us + self._settle_us
            for fault in self._faults
        )
