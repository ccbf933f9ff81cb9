"""The judge of quotas: its windows against all windows tried, and each broken bound found in a made-up capture."""

import random

import pytest

from oatlink.audit.capture import Capture
from oatlink.audit.invariants import InvariantChecker, Terms
from oatlink.audit.quota import Allowance, Asked, QuotaChecker, QuotaResult, QuotaTerms, Span, with_room
from oatlink.audit.windows import Done, largest_excess
from oatlink.protocols.resp import command

RATE, BURST, FLOOR = 100.0, 20.0, 0.5
SECOND = 1_000_000


def all_windows(done: list[Done], rate: float, burst: float) -> float:
    """The same by trying every window."""
    spans = [(begin, end) for begin, _, _ in done for _, end, _ in done if begin <= end]
    inside = [sum(weight for low, high, weight in done if begin <= low and high <= end) for begin, end in spans]
    return max(n - burst - rate * (end - begin) / SECOND for n, (begin, end) in zip(inside, spans, strict=True))


@pytest.mark.parametrize("seed", range(60))
def test_the_largest_excess_is_that_of_all_windows(seed: int) -> None:
    rng = random.Random(seed)
    done: list[Done] = []
    for _ in range(rng.randrange(1, 40)):
        begin = rng.randrange(0, 60) * 10_000
        done.append((begin, begin + rng.choice((0, 0, 5_000, 200_000)), float(rng.choice((1, 1, 3)))))
    rate, burst = rng.choice((1.0, 40.0, 300.0)), rng.choice((0.0, 5.0))
    found = largest_excess(done, rate, burst)
    assert found.amount == pytest.approx(all_windows(done, rate, burst), abs=1e-6)
    inside = sum(one[2] for one in done if found.from_us <= one[0] and one[1] <= found.to_us)
    assert found.counted == inside
    assert found.amount == pytest.approx(inside - burst - rate * (found.to_us - found.from_us) / SECOND, abs=1e-6)


def test_nothing_done_is_nowhere_over() -> None:
    assert largest_excess([], 10.0, 5.0).amount == -5.0


# ---- Days made up: a true bucket at one gateway, clients that want twice its rate ----


class MadeUp:
    """A day's capture: commands of tenant `a` at fixed distances, let through by one bucket."""

    def __init__(self, lie: str = "") -> None:
        self.lie, self.capture = lie, Capture()
        self.number, self.level, self.filled_us = 0, BURST, 0
        for gateway in ("g0", "g1"):
            self.capture.set_gateway(f"client-view-a-{gateway}", 1, gateway)

    def ask(self, at_us: int, gateway: str, rate: float, cost: int = 1) -> None:
        self.level = min(BURST, self.level + rate * (at_us - self.filled_us) / SECOND)
        self.filled_us = at_us
        place = f"client-view-a-{gateway}"
        sent = [command("XREVRANGE", "nav:1", "+", f"0-{self.number}", "COUNT", 1)] * cost
        if cost > 1:
            sent = [command("MULTI"), *sent, command("EXEC")]
        self.number += 1
        self.capture.add(at_us - 500, place, 1, True, b"".join(sent))
        free = self.lie == "free" and self.number % 11 == 0
        charged = 1 if self.lie == "cheap_multi" else cost
        replies = [b"+OK\r\n", *([b"+QUEUED\r\n"] * cost)] if cost > 1 else []
        if free or self.level >= charged:
            self.level -= 0 if free else charged
            replies.append(b"*0\r\n")
        elif self.lie == "no_time" and self.number % 50 == 0:
            replies.append(b"-QUOTA over the tenant's rate\r\n")
        else:
            replies.append(b"-QUOTA over the tenant's rate, nothing was run; retry after 5 ms\r\n")
        self.capture.add(at_us + 500, place, 1, False, b"".join(replies))


def day(lie: str = "", multi: bool = False) -> QuotaResult:
    """20 s: all well, from 8 s to 12 s g1 is cut off and has only its floor, then all well again."""
    made = MadeUp(lie)
    cut = MadeUp()
    cut.capture, cut.level = made.capture, 0.0
    for number in range(4_000):
        at_us = 10_000 + number * 5_000
        away = 8 * SECOND <= at_us < 12 * SECOND
        rate = RATE
        if lie == "idle" and at_us < 8 * SECOND:
            rate = 0.6 * RATE
        if lie == "slow_back" and 12 * SECOND <= at_us < 17 * SECOND:
            rate = 0.5 * RATE
        if away:
            floor = RATE * FLOOR / 2
            if number % 2:
                cut.ask(at_us, "g1", 0.3 * floor if lie == "no_floor" else floor)
            else:
                made.ask(at_us, "g0", rate - floor)
        else:
            made.ask(at_us, f"g{number % 2}", rate, 3 if multi and number % 4 == 0 else 1)
            cut.filled_us = at_us
    terms = QuotaTerms(
        {"a": Allowance(RATE, BURST, FLOOR)},
        nodes=2,
        spans=(Span(SECOND, 8 * SECOND), Span(9 * SECOND, 12 * SECOND, ("g1",)), Span(17 * SECOND, 20 * SECOND)),
        heals=((12 * SECOND, 20 * SECOND),),
        recovery_us=4 * SECOND,
    )
    return QuotaChecker(made.capture, terms).check()


@pytest.mark.parametrize("multi", (False, True))
def test_a_true_bucket_keeps_every_bound(multi: bool) -> None:
    found = day(multi=multi)
    assert found.passed, found.violations
    one = found.tenants["a"]
    assert one.refused > 1_000 and one.admitted > 1_500
    # The day begins with a full bucket under more demand than its rate: the worst window is right at the bound.
    assert -3.1 < one.excess.amount <= 0
    assert one.stranded_floor_shares == [0, 0]
    assert len(one.used_shares) == 2 and len(one.floor_shares) == 1 and one.recovery_s and one.recovery_s[0] < 1


LIES = [("free", "never_over"), ("cheap_multi", "never_over"), ("no_time", "told"), ("idle", "used")]


@pytest.mark.parametrize(("lie", "rule"), [*LIES, ("no_floor", "floor"), ("slow_back", "back")])
def test_each_broken_bound_is_found_and_no_other(lie: str, rule: str) -> None:
    found = day(lie, multi=lie == "cheap_multi")
    assert [name for name, texts in found.violations.items() if texts] == [rule], found.violations


def test_a_floor_that_nobody_wants_at_its_gateway_is_shown_as_stranded() -> None:
    capture = Capture()
    for number in range(40):
        place = f"client-view-a-{number}"
        capture.set_gateway(place, 1, f"g{number % 4 == 0:d}")
        capture.add(number * 100_000, place, 1, True, command("GET", "k"))
        reply = b"-QUOTA over, nothing was run; retry after 9 ms\r\n" if number % 4 == 1 else b"$-1\r\n"
        capture.add(number * 100_000 + 1, place, 1, False, reply)
    terms = QuotaTerms({"a": Allowance(10, 20, 0.8)}, nodes=2, spans=(Span(0, 4 * SECOND),), min_used_share=0)
    # g1 had 10 in 4 s of a floor of 4 a second, and refused none.
    assert QuotaChecker(capture, terms).check().tenants["a"].stranded_floor_shares == [pytest.approx(6 / 40)]


def test_what_was_never_answered_or_refused_for_overload_is_not_held_against_a_gateway() -> None:
    capture = Capture()
    for number in range(50):
        place = f"client-view-a-{number}"
        capture.add(1_000, place, 1, True, command("GET", "k"))
        if number % 2:
            capture.add(2_000, place, 1, False, b"-TRYAGAIN refused, nothing was run; retry after 9 ms\r\n")
    found = QuotaChecker(capture, QuotaTerms({"a": Allowance(1, 20, 0)}, nodes=1)).check().tenants["a"]
    assert (found.overloads, found.unknown, found.excess.amount) == (25, 25, -20)
    assert found.excess_with_overloads.amount == pytest.approx(5 - 0.001, abs=0.01)


def test_a_floor_refuses_wrongly_only_where_its_bucket_surely_has_room() -> None:
    def wrong(*events: tuple[int, str, int]) -> int:
        made = [Asked("g1", at_ms * 1_000, at_ms * 1_000, cost, how) for at_ms, how, cost in events]
        return with_room(made, rate=4.0, burst=2.0, from_us=0)

    assert wrong((300, "quota", 1)) == 0  # 1.2 by now: not surely
    assert wrong((400, "quota", 1)) == 1
    assert wrong((400, "admitted", 1), (450, "quota", 1)) == 0
    assert wrong((5_000, "quota", 2)) == 0  # it never holds more than its burst
    # More than the floor was there: what was admitted beyond it is not owed back by the floor.
    assert wrong((500, "admitted", 3), (510, "admitted", 3), (1_000, "quota", 1)) == 1


# ---- The five rules, where a gateway was killed, asked to end, or stood still ----


def judged(what: str, notice_us: int, asked_us: int, answered_us: int = -1, resumed_us: int = 0) -> tuple[int, int]:
    """(broken, lost) of one read at a gateway that something was done to."""
    capture = Capture()
    place = "client-check-none-0"
    capture.set_gateway(place, 1, "g0")
    capture.add(asked_us - 500_000, place, 1, True, command("CLIENT", "SETNAME", "x"))
    capture.add(asked_us - 499_000, place, 1, False, b"+OK\r\n")
    capture.add(asked_us, place, 1, True, command("XREVRANGE", "k", "+", "0-1", "COUNT", 1))
    if answered_us >= 0:
        capture.add(answered_us, place, 1, False, b"-TRYAGAIN refused\r\n")
    if what:
        capture.add_event(notice_us, "g0", what)
    if resumed_us:
        capture.add_event(resumed_us, "g0", "resumed")
    verdict = InvariantChecker(capture, Terms({"check": ("latest", SECOND, 0)}, slack_us=100_000), 60 * SECOND).check(
        {}
    )
    return len(verdict.violations["one_answer"]), verdict.lost_with_gateways


def test_only_what_a_gateway_owed_in_time_is_lost_with_it() -> None:
    at = 10 * SECOND
    assert judged("", 0, at) == (1, 0)
    assert judged("killed", at + 500_000, at) == (0, 1)
    assert judged("killed", at + 2 * SECOND, at) == (1, 0)  # it was late already
    assert judged("killed", at - 5 * SECOND, at) == (1, 0)  # an earlier process of that name
    assert judged("ending", at - 50_000, at) == (0, 1)
    assert judged("ending", at + 500_000, at) == (1, 0)  # it had it before it was asked to end
    assert judged("halted", at + 100_000, at, at + 3 * SECOND, at + 2_900_000) == (0, 0)
    assert judged("halted", at + 100_000, at, at + 5 * SECOND, at + 2_900_000) == (1, 0)
