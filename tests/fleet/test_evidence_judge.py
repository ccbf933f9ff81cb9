"""How fast gateways notice faults at boxes, and which healthy members they pass over, from made-up captures."""

from oatlink.audit.capture import Capture
from oatlink.audit.evidence import EvidenceChecker, EvidenceResult, InjectedFault, Observation
from oatlink.protocols.resp import command

MS = 1_000
BANKS = {"p0": "bank-0", "r0": "bank-0", "p1": "bank-1", "r1": "bank-1"}
FAULTS = [
    InjectedFault("hang", ("r0",), (), 1_000 * MS, 2_000 * MS),
    InjectedFault("crash", ("p1",), ("bank-1",), 10_000 * MS, 11_000 * MS),
]


def check(*observations: Observation, capture: Capture | None = None) -> EvidenceResult:
    """The figures for observations whose times are in ms."""
    in_us = [(at_ms * MS, gateway, member, what) for at_ms, gateway, member, what in observations]
    return EvidenceChecker(capture or Capture(), FAULTS, in_us, BANKS, ("g0", "g1", "g2")).check()


def test_delays_are_counted_from_the_first_gateway_that_noticed() -> None:
    result = check((1_300, "g1", "r0", "later"), (1_100, "g0", "r0", "doubted"), (1_200, "g0", "r0", "later"))
    hang, crash = result.detections
    assert (hang.first_ms, hang.others_later_ms, hang.never) == (100, [200], 1)
    assert (crash.first_ms, crash.never) == (-1, 3)


def test_a_member_doubted_before_the_fault_does_not_count_as_noticed() -> None:
    result = check((900, "g0", "r0", "doubted"), (1_050, "g0", "r0", "later"), (1_400, "g1", "r0", "doubted"))
    assert (result.detections[0].first_ms, result.detections[0].never) == (400, 2)
    result = check((500, "g0", "r0", "doubted"), (800, "g0", "r0", "well"), (1_100, "g0", "r0", "doubted"))
    assert (result.detections[0].first_ms, result.detections[0].never) == (100, 2)


def test_only_members_that_no_fault_affects_count_as_passed_over() -> None:
    recovering = check((1_100, "g0", "r0", "later"), (4_000, "g1", "r0", "later"))
    assert not recovering.healthy_passed_over  # the hang ended just before the second observation
    assert not check((10_500, "g0", "r1", "later")).healthy_passed_over  # its bank holds an election
    assert check((1_100, "g0", "p0", "later")).healthy_passed_over == ["g0: p0"]
    assert check((5_500, "g0", "r0", "later")).healthy_passed_over == ["g0: r0"]
    result = check((1_100, "g0", "p0", "doubted"))
    assert not result.healthy_passed_over and result.healthy_doubted == 1


def test_checks_and_failed_attempts_are_counted_by_box() -> None:
    capture, info, get = Capture(), command("INFO", "replication"), command("GET", "k")
    for number, (box, at_ms, reply) in enumerate(
        [("r0", 1_100, b""), ("r0", 3_000, b"$-1\r\n"), ("p0", 1_100, b"-READONLY no\r\n"), ("p0", 1_200, b"$-1\r\n")]
    ):
        capture.add(at_ms * MS, box, number, False, info + get)
        if reply:
            capture.add(at_ms * MS + 10, box, number, True, b"$0\r\n\r\n" + reply)
    capture.add(0, "client-view-none-0", 1, True, info)
    result = check(capture=capture)
    assert (result.checks, result.checks_at_faulty, result.attempts) == (4, 1, 4)
    assert (result.failed_attempts, result.failed_at_faulty) == (2, 1)
