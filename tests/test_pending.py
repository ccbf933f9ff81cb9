"""Compares the pending requests with simple models: the queue with a list, and dispatch with one that tries everything.

The code of the two tests with `@given` determines the examples that hypothesis draws for them.
"""

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
from tests.conftest import ANY, CHECK, OWN, POST, SETTINGS, START_US, SUBMIT, VIEW, Driver, member, of_type, sends


def request(number: int, arrived: int = 0) -> Request:
    return Request(f"r{number}", VIEW, 1, arrived, arrived + 1_000, None, None, 1.0, number)


# A queue finds the same oldest and newest request for each position as a search through all of its requests.
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


# The requests that are given up at each time are those that a check of every request yields.
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


def dispatch_each(state: RouterState, group: Group) -> None:
    """The model of dispatch: tries every pending request, the most urgent first.

    A latest read that finds no member blocks the later ones of its kind: if members check reads themselves, a later one
    could otherwise be sent to a member that will reject it.
    """
    blocked_keys = set()
    pending = [request for request, _ in state.pending[group.id].entries.values()]
    if any(concurrency.has_capacity(state, member, 1.0) for member in group.members.values()):
        pending.sort(
            key=lambda each: (queueing.urgency(state, each), queueing.queue_key(state, each), each.arrival_number)
        )
        for request in pending:
            key = queueing.queue_key(state, request)
            member = state.choose_member(state, request) if key not in blocked_keys else None
            if member is not None:
                sending.send(state, request, member)
            elif request.request_class.freshness is api.Freshness.LATEST:
                blocked_keys.add(queueing.queue_key(state, request))


class ComparedDispatch:
    """Compares each dispatch with the model, which runs on a copy of the router's state."""

    dispatches_count = sends_count = max_pending_count = 0

    def __init__(self) -> None:
        self.original = dispatch.dispatch_pending

    def dispatch(self, state: RouterState, group: Group) -> None:
        if state.more_follow:
            return self.original(state, group)
        model = deepcopy(state)
        model.actions = []
        dispatch_each(model, model.groups[group.id])
        earlier_count = len(state.actions)
        pending_count = len(state.pending[group.id])
        self.original(state, group)
        actions = state.actions[earlier_count:]
        assert sends(actions) == sends(model.actions)
        assert bool(of_type(api.Check, actions)) == bool(of_type(api.Check, model.actions))
        self.dispatches_count += 1
        self.sends_count += len(sends(actions))
        self.max_pending_count = max(self.max_pending_count, pending_count)


CLASSES = (VIEW, CHECK, OWN, ANY, POST, SUBMIT, replace(VIEW, name="loose", staleness_us=1_500_000, worth=1.0))


def play(seed: int, steps: int, **changes: object) -> None:
    """Run random events for a group of four members, with many open requests and sessions that write and read."""
    rng = random.Random(seed)
    settings = replace(SETTINGS, classes=CLASSES, router_remembers_sessions=True, peers=1, **changes)  # type: ignore[arg-type]
    driver = Driver()
    driver.router = Router(settings)
    driver.roster(*[member(number) for number in (1, 2, 3, 4)])
    primary, lags = 1, {1: 0, 2: 0, 3: 0, 4: 0}
    open_sends: list[tuple[api.Send, int]] = []
    attempts: dict[str, int] = {}

    def carry_out(actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                open_sends.append((action, attempts.get(action.request, 0)))
                attempts[action.request] = attempts.get(action.request, 0) + 1
            elif isinstance(action, api.Check) and rng.random() < 0.8:
                checks.append(action.member)

    checks: list[int] = []
    for _ in range(steps):
        choice = rng.random()
        if choice < 0.5:
            for _ in range(rng.choice((1, 1, 8))):
                name = rng.choice(CLASSES).name
                session = f"s{rng.randrange(6)}" if rng.random() < 0.8 else None
                carry_out(driver.arrive(name, expires=rng.choice((400_000, 1_500_000)), session=session))
        elif choice < 0.8 and open_sends:
            send, attempt = open_sends.pop(rng.randrange(len(open_sends)))
            outcome = rng.choices(
                (Outcome.SERVED, Outcome.RESET, Outcome.ERROR, Outcome.FULL, Outcome.LATE), (20, 1, 1, 1, 1)
            )[0]
            report = None
            if outcome is Outcome.SERVED:
                role = Role.PRIMARY if send.member == primary else Role.REPLICA
                report = api.Report(driver.now - lags[send.member], role)
            more_follow = rng.random() < 0.5
            ended = api.AttemptEnded(
                send.request,
                attempt,
                send.member,
                outcome,
                rng.randrange(2_000, 200_000),
                outcome is Outcome.SERVED,
                report,
            )
            carry_out(driver.router.handle(ended, driver.now, more_follow))
        elif choice < 0.9 and checks:
            number = checks.pop(rng.randrange(len(checks)))
            role = Role.PRIMARY if number == primary else Role.REPLICA
            carry_out(driver.checked(number, role, lags[number]) if rng.random() < 0.9 else driver.check_failed(number))
        elif choice < 0.93:
            lags[rng.choice([number for number in lags if number != primary])] = rng.choice(
                (0, 50_000, 400_000, 900_000)
            )
        elif choice < 0.94:
            primary = rng.choice((1, 2, 3, 4))
            lags[primary] = 0
        else:
            carry_out(driver.wait(rng.choice((1_000, 20_000, 150_000))))
    assert driver.now >= START_US


def test_dispatch_sends_the_same_requests_in_the_same_order_as_the_model(monkeypatch: pytest.MonkeyPatch) -> None:
    compared = ComparedDispatch()
    monkeypatch.setattr(dispatch, "dispatch_pending", compared.dispatch)
    for seed in range(4):
        play(seed, 160)
        play(seed, 160, members_check_reads=True)
        play(seed, 120, may_probe=False)
    assert compared.dispatches_count > 500 and compared.sends_count > 300 and compared.max_pending_count > 40


def test_a_dispatch_with_a_thousand_pending_session_reads_tries_few_of_them(monkeypatch: object) -> None:
    """Each answer tried every pending read of a session, which took 8 ms for 300 pending reads."""
    driver = Driver(router_remembers_sessions=True).ready()
    driver.router.state.groups[1].members[1].concurrency_limit = 1.0
    for number in range(1_000):
        session = f"s{number}"
        driver.router.state.record_session_write(session, driver.now + 1)  # no replica has it yet
        driver.arrive("own", session=session)
    assert len(driver.router.state.pending[1]) > 900
    tried_count = 0
    state = driver.router.state
    original = state.choose_member

    def counting_choose_member(state: RouterState, request: Request) -> Member | None:
        nonlocal tried_count
        tried_count += 1
        return original(state, request)

    state.choose_member = counting_choose_member
    dispatch.dispatch_pending(state, state.groups[1])
    assert tried_count < 10
