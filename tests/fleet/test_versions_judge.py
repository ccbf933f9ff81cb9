"""The layout checker: it passes a made-up change that keeps every rule and finds each way to violate one."""

import asyncio
from collections.abc import Callable

import pytest

from oatlink.audit.capture import Capture
from oatlink.audit.versions import VersionsChecker, VersionsResult
from oatlink.protocols.resp import command
from oatlink.standins.bank import Bank

MS = 1_000
BANKS = {"p0": "bank-0", "r0": "bank-0", "p1": "bank-1"}
REFUSED = b"-LAYOUT no member offers it, nothing was run; retry after 250 ms\r\n"


class SimulatedChange:
    """Layout 2 is added at 1.0 s (at the replica at 1.2 s), layout 1 is removed at 3.0 s (there at 3.2 s)."""

    def __init__(self) -> None:
        self.capture, self.number = Capture(), 0
        for kind, at_ms in (("expand", 1_000), ("contract", 3_000)):
            for box, delay_ms in (("p0", 0), ("p1", 50), ("r0", 200)):
                self.apply(at_ms + delay_ms, box, "SET", f"layout:2:{kind}", "1")

    def apply(self, at_ms: int, box: str, *words: str) -> None:
        self.capture.add_applied(at_ms * MS, box, [word.encode() for word in words])

    def read(self, at_ms: int, box: str, version: int, reply_ms: int = 5, reply: bytes = b"*0\r\n") -> None:
        """A read by a client, sent on to `box` unless it is empty; without a reply where `reply_ms` is below 0."""
        self.number += 1
        place = f"client-view-v{version}-{self.number}" if version else f"client-view-none-{self.number}"
        key = f"v{version}:nav:1" if version else "nav:1"
        data = command("XREVRANGE", key, "+", f"0-{self.number}", "COUNT", 1)
        self.capture.add((at_ms - 1) * MS, place, 1, True, data)
        if box:
            self.capture.add(at_ms * MS, box, self.number, False, data)
            if reply_ms >= 0:
                self.capture.add((at_ms + reply_ms) * MS, box, self.number, True, reply)
        if reply_ms >= 0:
            self.capture.add((at_ms + reply_ms + 1) * MS, place, 1, False, reply)

    def check(self, due: tuple[int, ...] = (2,)) -> VersionsResult:
        return VersionsChecker(self.capture, BANKS, {2: 900 * MS}, due).check()


def valid_change() -> SimulatedChange:
    change = SimulatedChange()
    for at_ms, box, version in ((100, "r0", 1), (1_100, "p0", 2), (1_250, "r0", 2), (2_900, "p1", 1), (3_300, "r0", 2)):
        change.read(at_ms, box, version)
    change.read(500, "", 2, reply=REFUSED)
    change.read(3_500, "", 1, reply=REFUSED)
    change.read(3_100, "p0", 0)
    return change


def test_a_change_that_keeps_every_rule() -> None:
    result = valid_change().check()
    assert result.passed, result.violations
    assert (dict(result.commands), result.refused["v2"], result.refused["v1"]) == ({1: 2, 2: 3}, 1, 1)
    measured = result.changes[2]
    assert measured.expanded_s == pytest.approx(0.15) and measured.contracted_s == pytest.approx(2.15)
    assert measured.first_served_s == pytest.approx(0.206)


def replica_before_expand(change: SimulatedChange) -> None:
    change.read(1_100, "r0", 2)  # its primary has applied the step, the replica has not yet


def replica_after_resync(change: SimulatedChange) -> None:
    change.apply(2_000, "r0", "FLUSHALL")  # it synchronises anew with a primary that has not applied the step
    change.read(2_100, "r0", 2)


def after_contract(change: SimulatedChange) -> None:
    change.read(3_100, "p0", 1)


def pending_at_contract(change: SimulatedChange) -> None:
    change.read(2_990, "p0", 1, reply_ms=20)


def pending_at_undo(change: SimulatedChange) -> None:
    change.read(2_200, "p0", 2, reply_ms=20)
    change.apply(2_210, "p0", "DEL", "layout:2:expand")


def two_layouts_back(change: SimulatedChange) -> None:
    change.apply(2_000, "p0", "SET", "layout:3:expand", "1")
    change.read(2_100, "p0", 3)
    change.read(2_200, "p1", 1)


def refusal_without_time(change: SimulatedChange) -> None:
    change.read(600, "", 2, reply=b"-LAYOUT no member offers it, nothing was run\r\n")


def unfinished(change: SimulatedChange) -> None:
    change.capture.applied = [each for each in change.capture.applied if each.at_us != 3_050 * MS]


VIOLATIONS = {
    replica_before_expand: "expanded",
    replica_after_resync: "expanded",
    after_contract: "not_contracted",
    pending_at_contract: "not_contracted",
    pending_at_undo: "not_contracted",
    two_layouts_back: "two_at_most",
    refusal_without_time: "told",
    unfinished: "done",
}


@pytest.mark.parametrize(("violate", "rule"), VIOLATIONS.items())
def test_each_violated_rule_is_found_and_no_other(violate: Callable[[SimulatedChange], None], rule: str) -> None:
    change = valid_change()
    violate(change)
    result = change.check()
    assert [name for name, texts in result.violations.items() if texts] == [rule], result.violations


def test_a_change_that_was_undone_need_not_finish() -> None:
    change = valid_change()
    unfinished(change)
    assert change.check(due=()).passed


def test_a_command_without_an_answer_is_checked_by_the_time_it_arrived() -> None:
    change = valid_change()
    change.read(2_950, "p0", 1, reply_ms=-1)
    assert change.check().passed
    change.read(3_050, "p0", 1, reply_ms=-1)
    assert change.check().violations["not_contracted"]


def test_a_box_reports_changes_of_its_data_and_full_resynchronisations() -> None:
    applied: list[tuple[str, bytes]] = []

    async def run() -> None:
        bank = Bank("bank", ["one", "two"])
        for box in bank.boxes:
            box.on_applied = lambda name, args: applied.append((name, args[0]))
        bank.start()
        try:
            await bank.wait_until_synced()
            primary, replica = bank.boxes
            connection = primary._connections[min(primary._connections)]
            primary._run(connection, [b"SET", b"layout:2:expand", b"1"])
            # The command is still on its way to the replica.
            assert applied[-1] == ("one", b"SET") and ("two", b"SET") not in applied
            primary._run(connection, [b"GET", b"layout:2:expand"])
            await bank.wait_until_synced()
            assert applied.count(("two", b"SET")) == 1 and ("one", b"GET") not in applied
            # The replica does not share this history: it drops its data and synchronises anew.
            primary.replid, primary.replid2 = "f" * 40, ""
            replica.follow(primary)
            await bank.wait_until_synced()
            assert applied[-2:] == [("two", b"FLUSHALL"), ("two", b"SET")]
        finally:
            bank.stop()

    asyncio.run(run())
