"""The judge of layouts: a made-up change that keeps every rule, and each way to break one found."""

import asyncio

import pytest

from oatlink.audit.capture import Capture
from oatlink.audit.versions import VersionsChecker, VersionsResult
from oatlink.protocols.resp import command
from oatlink.standins.bank import Bank

MS = 1_000
BANKS = {"p0": "bank-0", "r0": "bank-0", "p1": "bank-1"}
REFUSED = b"-LAYOUT no member offers it, nothing was run; retry after 250 ms\r\n"


class MadeUp:
    """Layout 2 comes at 1.0 s (at the replica at 1.2 s), layout 1 goes at 3.0 s (there at 3.2 s)."""

    def __init__(self) -> None:
        self.capture, self.number = Capture(), 0
        for kind, at_ms in (("expand", 1_000), ("contract", 3_000)):
            for box, later in (("p0", 0), ("p1", 50), ("r0", 200)):
                self.apply(at_ms + later, box, "SET", f"layout:2:{kind}", "1")

    def apply(self, at_ms: int, box: str, *words: str) -> None:
        self.capture.add_applied(at_ms * MS, box, [one.encode() for one in words])

    def ask(self, at_ms: int, box: str, version: int, took_ms: int = 5, reply: bytes = b"*0\r\n") -> None:
        """A read by a client, at a box or at none."""
        self.number += 1
        place = f"client-view-v{version}-{self.number}" if version else f"client-view-none-{self.number}"
        key = f"v{version}:nav:1" if version else "nav:1"
        words = command("XREVRANGE", key, "+", f"0-{self.number}", "COUNT", 1)
        self.capture.add((at_ms - 1) * MS, place, 1, True, words)
        if box:
            self.capture.add(at_ms * MS, box, self.number, False, words)
            if took_ms >= 0:
                self.capture.add((at_ms + took_ms) * MS, box, self.number, True, reply)
        if took_ms >= 0:
            self.capture.add((at_ms + took_ms + 1) * MS, place, 1, False, reply)

    def judge(self, due: tuple[int, ...] = (2,)) -> VersionsResult:
        return VersionsChecker(self.capture, BANKS, {2: 900 * MS}, due).check()


def good() -> MadeUp:
    made = MadeUp()
    for at_ms, box, version in ((100, "r0", 1), (1_100, "p0", 2), (1_250, "r0", 2), (2_900, "p1", 1), (3_300, "r0", 2)):
        made.ask(at_ms, box, version)
    made.ask(500, "", 2, reply=REFUSED)
    made.ask(3_500, "", 1, reply=REFUSED)
    made.ask(3_100, "p0", 0)
    return made


def test_a_change_that_keeps_every_rule() -> None:
    found = good().judge()
    assert found.passed, found.violations
    assert (dict(found.commands), found.refused["v2"], found.refused["v1"]) == ({1: 2, 2: 3}, 1, 1)
    change = found.changes[2]
    assert change.expanded_s == pytest.approx(0.15) and change.contracted_s == pytest.approx(2.15)
    assert change.first_served_s == pytest.approx(0.206)


def early(made: MadeUp) -> None:
    made.ask(1_100, "r0", 2)  # its primary has it, the replica has not yet


def forgotten(made: MadeUp) -> None:
    made.apply(2_000, "r0", "FLUSHALL")  # a primary that never had the step: all is taken anew
    made.ask(2_100, "r0", 2)


def late(made: MadeUp) -> None:
    made.ask(3_100, "p0", 1)


def still_out(made: MadeUp) -> None:
    made.ask(2_990, "p0", 1, took_ms=20)


def undone(made: MadeUp) -> None:
    made.ask(2_200, "p0", 2, took_ms=20)
    made.apply(2_210, "p0", "DEL", "layout:2:expand")


def skipped(made: MadeUp) -> None:
    made.apply(2_000, "p0", "SET", "layout:3:expand", "1")
    made.ask(2_100, "p0", 3)
    made.ask(2_200, "p1", 1)


def silent(made: MadeUp) -> None:
    made.ask(600, "", 2, reply=b"-LAYOUT no member offers it, nothing was run\r\n")


def unfinished(made: MadeUp) -> None:
    made.capture.applied = [one for one in made.capture.applied if one.at_us != 3_050 * MS]


RULES = {early: "expanded", forgotten: "expanded", late: "not_contracted", still_out: "not_contracted"}
RULES |= {undone: "not_contracted", skipped: "two_at_most", silent: "told", unfinished: "done"}


@pytest.mark.parametrize(("lie", "rule"), RULES.items())
def test_each_broken_rule_is_found_and_no_other(lie: object, rule: str) -> None:
    made = good()
    lie(made)  # type: ignore[operator]
    found = made.judge()
    assert [name for name, texts in found.violations.items() if texts] == [rule], found.violations


def test_a_change_that_went_back_is_not_owed() -> None:
    made = good()
    unfinished(made)
    assert made.judge(due=()).passed


def test_a_command_that_was_never_answered_is_judged_by_when_it_came() -> None:
    made = good()
    made.ask(2_950, "p0", 1, took_ms=-1)
    assert made.judge().passed
    made.ask(3_050, "p0", 1, took_ms=-1)
    assert made.judge().violations["not_contracted"]


def test_a_box_tells_what_its_data_took_and_when_it_began_anew() -> None:
    seen: list[tuple[str, bytes]] = []

    async def run() -> None:
        bank = Bank("bank", ["one", "two"])
        for box in bank.boxes:
            box.on_applied = lambda name, args: seen.append((name, args[0]))
        bank.start()
        try:
            await bank.wait_until_synced()
            one, two = bank.boxes
            connection = one._connections[min(one._connections)]
            one._run(connection, [b"SET", b"layout:2:expand", b"1"])
            assert seen[-1] == ("one", b"SET") and ("two", b"SET") not in seen  # the log is on its way
            one._run(connection, [b"GET", b"layout:2:expand"])
            await bank.wait_until_synced()
            assert seen.count(("two", b"SET")) == 1 and ("one", b"GET") not in seen
            # A history that the replica does not share: all is let go, and taken anew.
            one.replid, one.replid2 = "f" * 40, ""
            two.follow(one)
            await bank.wait_until_synced()
            assert seen[-2:] == [("two", b"FLUSHALL"), ("two", b"SET")]
        finally:
            bank.stop()

    asyncio.run(run())
