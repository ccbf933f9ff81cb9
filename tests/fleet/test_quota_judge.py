"""The quota checker: its window search against all windows, and each violation found in a made-up capture.

Also which missing answers the invariant checker excuses where a gateway was killed, asked to end or halted.
"""

import random

import pytest

from oatlink.audit.capture import Capture
from oatlink.audit.invariants import InvariantChecker, Terms
from oatlink.audit.quota import (
    Allowance,
    QuotaChecker,
    QuotaResult,
    QuotaTerms,
    RequestOutcome,
    Span,
    refused_despite_capacity,
)
from oatlink.audit.windows import Done, largest_excess
from oatlink.protocols.resp import command

RATE, BURST, FLOOR = 100.0, 20.0, 0.5
SECOND = 1_000_000


def largest_of_all_windows(done: list[Done], rate: float, burst: float) -> float:
    """The largest excess by trying every window."""
    windows = [(begin, end) for begin, _, _ in done for _, end, _ in done if begin <= end]
    counts = [sum(weight for low, high, weight in done if begin <= low and high <= end) for begin, end in windows]
    return max(
        count - burst - rate * (end - begin) / SECOND for count, (begin, end) in zip(counts, windows, strict=True)
    )


@pytest.mark.parametrize("seed", range(60))
def test_the_largest_excess_is_that_of_all_windows(seed: int) -> None:
    rng = random.Random(seed)
    done: list[Done] = []
    for _ in range(rng.randrange(1, 40)):
        begin = rng.randrange(0, 60) * 10_000
        done.append((begin, begin + rng.choice((0, 0, 5_000, 200_000)), float(rng.choice((1, 1, 3)))))
    rate, burst = rng.choice((1.0, 40.0, 300.0)), rng.choice((0.0, 5.0))
    excess = largest_excess(done, rate, burst)
    assert excess.amount == pytest.approx(largest_of_all_windows(done, rate, burst), abs=1e-6)
    counted = sum(weight for low, high, weight in done if excess.from_us <= low and high <= excess.to_us)
    assert excess.counted == counted
    assert excess.amount == pytest.approx(counted - burst - rate * (excess.to_us - excess.from_us) / SECOND, abs=1e-6)


def test_without_items_no_window_exceeds_the_allowance() -> None:
    assert largest_excess([], 10.0, 5.0).amount == -5.0


# ---- Made-up runs: a correct bucket at one gateway, and clients that request twice its rate ----


class SimulatedRun:
    """A capture of commands of tenant `a` at fixed intervals, admitted by one bucket; `defect` breaks a rule."""

    def __init__(self, defect: str = "") -> None:
        self.defect, self.capture = defect, Capture()
        self.number, self.level, self.filled_us = 0, BURST, 0
        for gateway in ("g0", "g1"):
            self.capture.set_gateway(f"client-view-a-{gateway}", 1, gateway)

    def send(self, at_us: int, gateway: str, rate: float, cost: int = 1) -> None:
        self.level = min(BURST, self.level + rate * (at_us - self.filled_us) / SECOND)
        self.filled_us = at_us
        place = f"client-view-a-{gateway}"
        sent = [command("XREVRANGE", "nav:1", "+", f"0-{self.number}", "COUNT", 1)] * cost
        if cost > 1:
            sent = [command("MULTI"), *sent, command("EXEC")]
        self.number += 1
        self.capture.add(at_us - 500, place, 1, True, b"".join(sent))
        is_free = self.defect == "free" and self.number % 11 == 0
        charged = 1 if self.defect == "cheap_multi" else cost
        replies = [b"+OK\r\n", *([b"+QUEUED\r\n"] * cost)] if cost > 1 else []
        if is_free or self.level >= charged:
            self.level -= 0 if is_free else charged
            replies.append(b"*0\r\n")
        elif self.defect == "no_time" and self.number % 50 == 0:
            replies.append(b"-QUOTA over the tenant's rate\r\n")
        else:
            replies.append(b"-QUOTA over the tenant's rate, nothing was run; retry after 5 ms\r\n")
        self.capture.add(at_us + 500, place, 1, False, b"".join(replies))


def check_run(defect: str = "", multi: bool = False) -> QuotaResult:
    """Check 20 s: all links up, from 8 s to 12 s g1 is cut off and has only its floor, then all links up again."""
    run = SimulatedRun(defect)
    cut = SimulatedRun()
    cut.capture, cut.level = run.capture, 0.0
    for number in range(4_000):
        at_us = 10_000 + number * 5_000
        is_cut_off = 8 * SECOND <= at_us < 12 * SECOND
        rate = RATE
        if defect == "idle" and at_us < 8 * SECOND:
            rate = 0.6 * RATE
        if defect == "slow_back" and 12 * SECOND <= at_us < 17 * SECOND:
            rate = 0.5 * RATE
        if is_cut_off:
            floor = RATE * FLOOR / 2
            if number % 2:
                cut.send(at_us, "g1", 0.3 * floor if defect == "no_floor" else floor)
            else:
                run.send(at_us, "g0", rate - floor)
        else:
            run.send(at_us, f"g{number % 2}", rate, 3 if multi and number % 4 == 0 else 1)
            cut.filled_us = at_us
    terms = QuotaTerms(
        {"a": Allowance(RATE, BURST, FLOOR)},
        nodes=2,
        spans=(Span(SECOND, 8 * SECOND), Span(9 * SECOND, 12 * SECOND, ("g1",)), Span(17 * SECOND, 20 * SECOND)),
        heals=((12 * SECOND, 20 * SECOND),),
        recovery_us=4 * SECOND,
    )
    return QuotaChecker(run.capture, terms).check()


@pytest.mark.parametrize("multi", (False, True))
def test_a_correct_bucket_violates_no_rule(multi: bool) -> None:
    result = check_run(multi=multi)
    assert result.passed, result.violations
    tenant = result.tenants["a"]
    assert tenant.refused > 1_000 and tenant.admitted > 1_500
    # The run begins with a full bucket and more demand than its rate: the worst window is just at the allowance.
    assert -3.1 < tenant.excess.amount <= 0
    assert tenant.stranded_floor_shares == [0, 0]
    assert (
        len(tenant.used_shares) == 2
        and len(tenant.floor_shares) == 1
        and tenant.recovery_s
        and tenant.recovery_s[0] < 1
    )


DEFECTS = [("free", "never_over"), ("cheap_multi", "never_over"), ("no_time", "told"), ("idle", "used")]


@pytest.mark.parametrize(("defect", "rule"), [*DEFECTS, ("no_floor", "floor"), ("slow_back", "back")])
def test_each_violated_rule_is_found_and_no_other(defect: str, rule: str) -> None:
    result = check_run(defect, multi=defect == "cheap_multi")
    assert [name for name, texts in result.violations.items() if texts] == [rule], result.violations


def test_a_floor_without_demand_at_its_gateway_is_reported_as_stranded() -> None:
    capture = Capture()
    for number in range(40):
        place = f"client-view-a-{number}"
        capture.set_gateway(place, 1, f"g{number % 4 == 0:d}")
        capture.add(number * 100_000, place, 1, True, command("GET", "k"))
        reply = b"-QUOTA over, nothing was run; retry after 9 ms\r\n" if number % 4 == 1 else b"$-1\r\n"
        capture.add(number * 100_000 + 1, place, 1, False, reply)
    terms = QuotaTerms({"a": Allowance(10, 20, 0.8)}, nodes=2, spans=(Span(0, 4 * SECOND),), min_used_share=0)
    # g1 admitted 10 in 4 s with a floor of 4 per second, and refused none.
    assert QuotaChecker(capture, terms).check().tenants["a"].stranded_floor_shares == [pytest.approx(6 / 40)]


def test_unanswered_requests_and_overload_refusals_do_not_count_as_admitted() -> None:
    capture = Capture()
    for number in range(50):
        place = f"client-view-a-{number}"
        capture.add(1_000, place, 1, True, command("GET", "k"))
        if number % 2:
            capture.add(2_000, place, 1, False, b"-TRYAGAIN refused, nothing was run; retry after 9 ms\r\n")
    result = QuotaChecker(capture, QuotaTerms({"a": Allowance(1, 20, 0)}, nodes=1)).check().tenants["a"]
    assert (result.overloads, result.unknown, result.excess.amount) == (25, 25, -20)
    assert result.excess_with_overloads.amount == pytest.approx(5 - 0.001, abs=0.01)


def test_a_floor_refusal_is_wrong_only_where_its_bucket_surely_has_capacity() -> None:
    def wrong_refusals(*events: tuple[int, str, int]) -> int:
        outcomes = [RequestOutcome("g1", at_ms * 1_000, at_ms * 1_000, cost, how) for at_ms, how, cost in events]
        return refused_despite_capacity(outcomes, rate=4.0, burst=2.0, from_us=0)

    assert wrong_refusals((300, "quota", 1)) == 0  # the level is 1.2: within the margin
    assert wrong_refusals((400, "quota", 1)) == 1
    assert wrong_refusals((400, "admitted", 1), (450, "quota", 1)) == 0
    assert wrong_refusals((5_000, "quota", 2)) == 0  # the level never exceeds the burst
    # More than the floor was admitted: the excess leaves no debt in the bucket.
    assert wrong_refusals((500, "admitted", 3), (510, "admitted", 3), (1_000, "quota", 1)) == 1


# ---- The five rules, where a gateway was killed, asked to end, or halted ----


def check_read(what: str, event_us: int, sent_us: int, answered_us: int = -1, resumed_us: int = 0) -> tuple[int, int]:
    """The counts of violations and lost requests for one read, at a gateway to which the event `what` happened."""
    capture = Capture()
    place = "client-check-none-0"
    capture.set_gateway(place, 1, "g0")
    capture.add(sent_us - 500_000, place, 1, True, command("CLIENT", "SETNAME", "x"))
    capture.add(sent_us - 499_000, place, 1, False, b"+OK\r\n")
    capture.add(sent_us, place, 1, True, command("XREVRANGE", "k", "+", "0-1", "COUNT", 1))
    if answered_us >= 0:
        capture.add(answered_us, place, 1, False, b"-TRYAGAIN refused\r\n")
    if what:
        capture.add_event(event_us, "g0", what)
    if resumed_us:
        capture.add_event(resumed_us, "g0", "resumed")
    checked = InvariantChecker(capture, Terms({"check": ("latest", SECOND, 0)}, slack_us=100_000), 60 * SECOND).check(
        {}
    )
    return len(checked.violations["one_answer"]), checked.lost_with_gateways


def test_a_stop_of_a_gateway_excuses_only_answers_that_were_not_yet_late() -> None:
    sent_us = 10 * SECOND
    assert check_read("", 0, sent_us) == (1, 0)
    assert check_read("killed", sent_us + 500_000, sent_us) == (0, 1)
    assert check_read("killed", sent_us + 2 * SECOND, sent_us) == (1, 0)  # it was late already
    assert check_read("killed", sent_us - 5 * SECOND, sent_us) == (1, 0)  # an earlier process of that name
    assert check_read("ending", sent_us - 50_000, sent_us) == (0, 1)
    assert check_read("ending", sent_us + 500_000, sent_us) == (1, 0)  # the request came before it was asked to end
    assert check_read("halted", sent_us + 100_000, sent_us, sent_us + 3 * SECOND, sent_us + 2_900_000) == (0, 0)
    assert check_read("halted", sent_us + 100_000, sent_us, sent_us + 5 * SECOND, sent_us + 2_900_000) == (1, 0)
