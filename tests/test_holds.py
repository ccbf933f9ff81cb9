"""What is held: the structure against a list, and the Router's pump against the plain one that tries every hold."""

import random
from copy import deepcopy
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink import interface as api
from oatlink.interface import Outcome, Role
from oatlink.pending import PendingQueue, PendingRequests
from oatlink.router_state import RouterState
from oatlink.rules import Router, concurrency, dispatch, queueing, sending
from oatlink.state import Group, Member, Request
from tests.conftest import ANY, CHECK, OWN, POST, SETTINGS, START_US, SUBMIT, VIEW, Driver, member, sends


def request(number: int, arrived: int = 0) -> Request:
    return Request(f"r{number}", VIEW, 1, arrived, arrived + 1_000, None, None, 1.0, number)


@given(st.lists(st.tuples(st.sampled_from("pda"), st.integers(0, 400), st.integers(-5, 5)), max_size=80))
def test_a_row_finds_what_going_through_it_would(steps: list[tuple[str, int, int]]) -> None:
    row, model = PendingQueue(), dict[int, int]()
    for what, number, need in steps:
        one = request(number if what != "a" else max([0, *model]) + number)
        if what == "d":
            row.remove(one)
            model.pop(one.arrival_number, None)
        else:
            row.add(one, need)
            model[one.arrival_number] = need
        for bound in range(-6, 7):
            least = min((n for n, needs in model.items() if needs <= bound), default=None)
            most = max((n for n, needs in model.items() if needs > bound), default=None)
            oldest, newest = row.oldest(bound), row.newest(bound)
            assert (oldest.arrival_number if oldest else None) == least
            assert (newest.arrival_number if newest else None) == most


@given(
    st.lists(st.tuples(st.integers(0, 50), st.integers(0, 60), st.integers(0, 100), st.integers(0, 99)), max_size=40),
    st.lists(st.tuples(st.integers(0, 20), st.integers(0, 60)), max_size=20),
)
def test_ends_come_when_counting_them_all_says_so(
    made: list[tuple[int, int, int, int]], looks: list[tuple[int, int]]
) -> None:
    holds, model = PendingRequests(), dict[str, tuple[int, int, int]]()
    for number, (half, length, last, _) in enumerate(made):
        one = request(number)
        holds.add(one, ("k", 1.0, False, (), False, 0.0), 0)
        holds.set_ends(one, half, half + length, last)
        model[one.id] = half, half + length, last
    now = 0
    for passed, usual in looks:
        now += passed
        due = [name for name, (half, end, last) in model.items() if now >= max(half, end - usual) or now >= last]
        found = [one.id for one in holds.ended(now, usual)]
        assert found == sorted(due, key=lambda name: int(name[1:]))
        for name in found:
            holds.remove(name)
            del model[name]
    assert len(holds) == len(model)


def plain_pump(book: RouterState, group: Group) -> None:
    """The model: every held request is tried, the most urgent first.

    But a current read that finds no member keeps the later ones of its class back, as it always has: where members
    check reads themselves, a later one could still be sent to a member that will turn it away.
    """
    kept_back = set()
    held = [one for one, _ in book.pending[group.id].entries.values()]
    if any(concurrency.has_capacity(book, one, 1.0) for one in group.members.values()):
        for one in sorted(
            held, key=lambda one: (queueing.urgency(book, one), queueing.queue_key(book, one), one.arrival_number)
        ):
            found = book.choose_member(book, one) if queueing.queue_key(book, one) not in kept_back else None
            if found is not None:
                sending.send(book, one, found)
            elif one.request_class.freshness is api.Freshness.LATEST:
                kept_back.add(queueing.queue_key(book, one))


class Compared:
    """Checks each pump against the plain one, on a copy of the book."""

    pumps = sent = most = 0

    def __init__(self) -> None:
        self.whole = dispatch.dispatch_pending

    def pump(self, book: RouterState, group: Group) -> None:
        if book.more_follow:
            return self.whole(book, group)
        model = deepcopy(book)
        model.actions = []
        plain_pump(model, model.groups[group.id])
        before = len(book.actions)
        held = len(book.pending[group.id])
        self.whole(book, group)
        mine = sends(book.actions[before:])
        assert mine == sends(model.actions)
        checks = [
            [one for one in done if isinstance(one, api.Check)] for done in (book.actions[before:], model.actions)
        ]
        assert bool(checks[0]) == bool(checks[1])
        self.pumps += 1
        self.sent += len(mine)
        self.most = max(self.most, held)


CLASSES = (VIEW, CHECK, OWN, ANY, POST, SUBMIT, replace(VIEW, name="loose", staleness_us=1_500_000, worth=1.0))


def play(seed: int, steps: int, **changes: object) -> None:
    """Random news for a group of four, many requests in flight, sessions that write and read."""
    rng = random.Random(seed)
    settings = replace(SETTINGS, classes=CLASSES, router_remembers_sessions=True, peers=1, **changes)  # type: ignore[arg-type]
    driver = Driver()
    driver.router = Router(settings)
    driver.roster(*[member(number) for number in (1, 2, 3, 4)])
    primary, lags = 1, {1: 0, 2: 0, 3: 0, 4: 0}
    out: list[tuple[api.Send, int]] = []
    tries: dict[str, int] = {}

    def take(done: list[api.Action]) -> None:
        for one in done:
            if isinstance(one, api.Send):
                out.append((one, tries.get(one.request, 0)))
                tries[one.request] = tries.get(one.request, 0) + 1
            elif isinstance(one, api.Check) and rng.random() < 0.8:
                checks.append(one.member)

    checks: list[int] = []
    for _ in range(steps):
        what = rng.random()
        if what < 0.5:
            for _ in range(rng.choice((1, 1, 8))):
                name = rng.choice(CLASSES).name
                session = f"s{rng.randrange(6)}" if rng.random() < 0.8 else None
                take(driver.arrive(name, expires=rng.choice((400_000, 1_500_000)), session=session))
        elif what < 0.8 and out:
            send, attempt = out.pop(rng.randrange(len(out)))
            outcome = rng.choices(
                (Outcome.SERVED, Outcome.RESET, Outcome.ERROR, Outcome.FULL, Outcome.LATE), (20, 1, 1, 1, 1)
            )[0]
            report = None
            if outcome is Outcome.SERVED:
                role = Role.PRIMARY if send.member == primary else Role.REPLICA
                report = api.Report(driver.now - lags[send.member], role)
            more = rng.random() < 0.5
            ended = api.AttemptEnded(
                send.request,
                attempt,
                send.member,
                outcome,
                rng.randrange(2_000, 200_000),
                outcome is Outcome.SERVED,
                report,
            )
            take(driver.router.handle(ended, driver.now, more))
        elif what < 0.9 and checks:
            number = checks.pop(rng.randrange(len(checks)))
            role = Role.PRIMARY if number == primary else Role.REPLICA
            take(driver.checked(number, role, lags[number]) if rng.random() < 0.9 else driver.check_failed(number))
        elif what < 0.93:
            lags[rng.choice([one for one in lags if one != primary])] = rng.choice((0, 50_000, 400_000, 900_000))
        elif what < 0.94:
            primary = rng.choice((1, 2, 3, 4))
            lags[primary] = 0
        else:
            take(driver.wait(rng.choice((1_000, 20_000, 150_000))))
    assert driver.now >= START_US


def test_the_indexed_pump_sends_what_the_plain_one_sends_in_the_same_order(monkeypatch: pytest.MonkeyPatch) -> None:
    compared = Compared()
    monkeypatch.setattr(dispatch, "dispatch_pending", compared.pump)
    for seed in range(4):
        play(seed, 160)
        play(seed, 160, members_check_reads=True)
        play(seed, 120, may_probe=False)
    assert compared.pumps > 500 and compared.sent > 300 and compared.most > 40


def test_a_thousand_held_session_reads_cost_a_pump_few_choices(monkeypatch: object) -> None:
    """The failure: each answer tried every held read of a session, 8 ms at 300 held."""
    driver = Driver(router_remembers_sessions=True).ready()
    driver.router.state.groups[1].members[1].concurrency_limit = 1.0
    for number in range(1_000):
        session = f"s{number}"
        driver.router.state.record_session_write(session, driver.now + 1)  # no replica has it yet
        driver.arrive("own", session=session)
    assert len(driver.router.state.pending[1]) > 900
    tried = 0
    book = driver.router.state
    choose = book.choose_member

    def counted(book: RouterState, one: Request) -> Member | None:
        nonlocal tried
        tried += 1
        return choose(book, one)

    book.choose_member = counted
    dispatch.dispatch_pending(book, book.groups[1])
    assert tried < 10
