"""The figures of a day's trouble with boxes: who knew what when, and who was passed over though well."""

from oatlink.audit.capture import Capture
from oatlink.audit.evidence import EvidenceChecker, EvidenceResult, InjectedFault, Observation
from oatlink.protocols.resp import command

MS = 1_000
BANKS = {"p0": "bank-0", "r0": "bank-0", "p1": "bank-1", "r1": "bank-1"}
HARMS = [
    InjectedFault("hang", ("r0",), (), 1_000 * MS, 2_000 * MS),
    InjectedFault("crash", ("p1",), ("bank-1",), 10_000 * MS, 11_000 * MS),
]


def judge(*sightings: Observation, capture: Capture | None = None) -> EvidenceResult:
    given = [(at_ms * MS, gateway, member, what) for at_ms, gateway, member, what in sightings]
    return EvidenceChecker(capture or Capture(), HARMS, given, BANKS, ("g0", "g1", "g2")).check()


def test_what_is_stale_is_reckoned_from_the_first_gateways_knowledge() -> None:
    found = judge((1_300, "g1", "r0", "later"), (1_100, "g0", "r0", "doubted"), (1_200, "g0", "r0", "later"))
    one, other = found.detections
    assert (one.first_ms, one.others_later_ms, one.never) == (100, [200], 1)
    assert (other.first_ms, other.never) == (-1, 3)


def test_knowledge_of_before_the_harm_is_none_of_it() -> None:
    found = judge((900, "g0", "r0", "doubted"), (1_050, "g0", "r0", "later"), (1_400, "g1", "r0", "doubted"))
    assert (found.detections[0].first_ms, found.detections[0].never) == (400, 2)
    found = judge((500, "g0", "r0", "doubted"), (800, "g0", "r0", "well"), (1_100, "g0", "r0", "doubted"))
    assert (found.detections[0].first_ms, found.detections[0].never) == (100, 2)


def test_only_members_that_nothing_was_done_to_are_passed_over() -> None:
    assert not judge(
        (1_100, "g0", "r0", "later"), (4_000, "g1", "r0", "later")
    ).healthy_passed_over  # it had just come back
    assert not judge((10_500, "g0", "r1", "later")).healthy_passed_over  # its bank elects
    assert judge((1_100, "g0", "p0", "later")).healthy_passed_over == ["g0: p0"]
    assert judge((5_500, "g0", "r0", "later")).healthy_passed_over == ["g0: r0"]
    found = judge((1_100, "g0", "p0", "doubted"))
    assert not found.healthy_passed_over and found.healthy_doubted == 1


def test_checks_and_failed_attempts_are_counted_where_they_came() -> None:
    capture, info, get = Capture(), command("INFO", "replication"), command("GET", "k")
    for number, (box, at_ms, reply) in enumerate(
        [("r0", 1_100, b""), ("r0", 3_000, b"$-1\r\n"), ("p0", 1_100, b"-READONLY no\r\n"), ("p0", 1_200, b"$-1\r\n")]
    ):
        capture.add(at_ms * MS, box, number, False, info + get)
        if reply:
            capture.add(at_ms * MS + 10, box, number, True, b"$0\r\n\r\n" + reply)
    capture.add(0, "client-view-none-0", 1, True, info)
    found = judge(capture=capture)
    assert (found.checks, found.checks_at_faulty, found.attempts) == (4, 1, 4)
    assert (found.failed_attempts, found.failed_at_faulty) == (2, 1)
