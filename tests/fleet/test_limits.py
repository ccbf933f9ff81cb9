from collections.abc import Callable
from dataclasses import is_dataclass
from fractions import Fraction
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet.gate import ADMITTED, GRANT_PENDING, Granted
from oatlink.fleet.limits import buckets, coordinator, ledger, node, requester, shards
from oatlink.fleet.limits.allowance import REQUEST_UNITS, floor_of, pool_of
from oatlink.fleet.limits.division import divide, divide_burst, nodes_in_turn
from oatlink.fleet.limits.tenants import Tenants
from oatlink.fleet.messages import NEVER_US, Demand, Grant, Grants, Returned, Tell, Tuned, Want
from oatlink.settings.fleet import Tenant
from oatlink.settings.parts import Match
from tests.fleet import fleetsim_mutations, limits_world
from tests.fleet.limits_world import DRIFT, RULES, Machine, World, inject_faults

TERM = coordinator.GRANT_TERM_US
ONE_HAS_ALL = "greed of one"  # the kind of fault that moves all load to one node


def run_with_faults(seed: int, drift: float = DRIFT, faults: tuple[str, ...] = ()) -> World:
    """Run four seconds in which faults occur (`faults`, or random kinds), and each node wants more than there is."""
    world = World(seed, drift=drift)
    world.faults = list(faults) or world.faults
    put_load(world)
    world.run(4_000_000, inject_faults)
    return world


def put_load(world: World, rate: float = 3_000.0) -> list[Machine]:
    """Have every node send this rate for each allowance; returns the machines."""
    for machine in world.machines.values():
        machine.load = dict.fromkeys(RULES, rate)
    return list(world.machines.values())


def is_exceeded(world: World) -> bool:
    """Whether a window admitted too much, or the live buckets would have allowed it."""
    return world.rights > 1 or any(world.excess(name) > burst for name, (_, burst, _) in RULES.items())


# ---- Limits are never exceeded ----


class TakesOvertakenGrants(requester.GrantRequester):
    def receive(self, sender: str, message: Any, now_us: int) -> list[Any]:
        self._newest.clear()
        return super().receive(sender, message, now_us)


class TakesAnySerial(node.Allowances):
    def hear(self, news: Granted, now_us: int) -> None:
        if news.name in self.active:
            self.active[news.name].serial = min(self.active[news.name].serial, news.serial - 1)
        super().hear(news, now_us)


class ExtendsGrants(node.Allowances):
    def hear(self, news: Granted, now_us: int) -> None:
        super().hear(news, now_us)
        if news.name in self.active:
            self.active[news.name].until_us += TERM


def take_overtaken_grants(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(limits_world, "GrantRequester", TakesOvertakenGrants)
    patch.setattr(limits_world, "Allowances", TakesAnySerial)


def extend_grants(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(limits_world, "Allowances", ExtendsGrants)


def mutation(name: str) -> Callable[[pytest.MonkeyPatch], None]:
    return fleetsim_mutations.MUTATIONS[name][1]


MUTATIONS: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], float, tuple[str, ...]]] = {
    "a grant outlives its home": (mutation("grant_outlives_its_home"), DRIFT, ("no lease", ONE_HAS_ALL)),
    "drift is not counted": (mutation("drift_is_not_counted"), 0.1, ("cut", ONE_HAS_ALL)),
    "only the newest grant counts": (mutation("only_the_newest_grant_counts"), DRIFT, ("loss", ONE_HAS_ALL)),
    "a new bucket is full": (mutation("a_new_bucket_is_full"), DRIFT, ("restart",)),
    "a term counts from the answer": (mutation("grant_counts_from_the_answer"), DRIFT, ("stop", ONE_HAS_ALL)),
    "an overtaken answer is taken": (take_overtaken_grants, DRIFT, ("slow", ONE_HAS_ALL)),
    "a grant does not end": (extend_grants, DRIFT, ("cut", ONE_HAS_ALL)),
    "floors are not inside the rate": (mutation("floors_are_not_inside_the_rate"), DRIFT, ("greed",)),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_each_guard_matters(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    take_out, drift, faults = MUTATIONS[name]
    assert not any(is_exceeded(run_with_faults(seed, drift, faults)) for seed in range(2))
    take_out(monkeypatch)
    assert any(is_exceeded(run_with_faults(seed, drift, faults)) for seed in range(20))


def test_whatever_fails_no_window_has_more_than_burst_and_rate() -> None:
    most = 0.0
    for seed in range(8):
        world = run_with_faults(seed, (DRIFT, 0.1)[seed % 2])
        assert not is_exceeded(world), seed
        most = max(most, world.excess("a") / RULES["a"][1])
    assert most > 0.5  # the simulation comes close enough to the bound to reveal a violation


# ---- Use and fairness ----


def test_a_node_cut_off_serves_its_floor_and_all_is_used_two_terms_after_links_heal() -> None:
    world = World(5)
    put_load(world)
    world.run(2_000_000)
    away = [name for name in world.names if name not in {who for who, _, _ in world.holder.values()}][:2]
    world.cut = dict.fromkeys(away, True)
    world.run(1_000_000)  # a grant's term
    since = world.now
    world.run(2_000_000)
    for name, (rate, _, floor) in RULES.items():
        own = floor * rate / len(world.names)
        for one in away:
            assert 0.93 * own <= world.served(name, since, world.now, one) <= 1.03 * own
        # The nodes that are not cut off have the whole pool.
        assert world.served(name, since, world.now) >= 0.95 * rate
    world.cut = {}
    world.run(2 * TERM)
    healed = world.now
    world.run(1_000_000)
    for name, (rate, _, _) in RULES.items():
        assert world.served(name, healed, world.now) >= 0.97 * rate
        parts = [world.served(name, healed, world.now, one) for one in world.names]
        assert min(parts) > 0.9 * rate / len(parts)


@pytest.mark.parametrize("hammer", [False, True])
def test_unequal_and_shifting_demand_has_nine_tenths_of_the_rate(hammer: bool) -> None:
    world = World(3)
    world.hammer = hammer
    loads = [3_000.0, 100.0, 60.0, 600.0]
    world.run(100_000)
    start = world.now
    for _ in range(3):
        for machine, load in zip(world.machines.values(), loads, strict=True):
            machine.load = {"a": load, "b": load}
        world.run(5_000_000)
        settled = [world.served("a", world.now - 2_000_000, world.now, one) for one in world.names]
        for load, part in zip(loads, settled, strict=True):  # max-min: 100 and 60 in full, the others 420 each
            assert 0.9 * min(load, 420) < part <= 1.05 * min(load, 420)
        loads = loads[1:] + loads[:1]
    for name, (rate, _, _) in RULES.items():
        assert world.served(name, start, world.now) >= 0.9 * rate


AMOUNTS = st.integers(0, 10**9)


@given(AMOUNTS, st.lists(AMOUNTS, min_size=1, max_size=12), st.integers(12, 40), st.integers(0, 50))
def test_division_is_max_min_and_never_more_than_there_is(rate: int, asked: list[int], burst: int, turn: int) -> None:
    demands = [(f"n{number}", demand) for number, demand in enumerate(asked)]
    parts = divide(rate, demands)
    assert rate - len(asked) <= sum(parts.values()) <= rate
    if sum(asked) >= rate:  # a node with less than it asks for has, but for rounding, no less than any other
        assert all(parts[one] <= demand for one, demand in demands)
        assert all(parts[one] >= max(parts.values()) - 12 for one, demand in demands if parts[one] < demand)
    else:
        assert all(parts[one] >= demand for one, demand in demands)
    levels = divide_burst(burst * REQUEST_UNITS, parts)
    assert sum(levels.values()) <= burst * REQUEST_UNITS and min(levels.values()) >= REQUEST_UNITS
    for count in range(1, len(asked)):  # no node starves where there are fewer seats than nodes
        turns = range(turn, turn - (-len(asked) // count))
        assert {one for at in turns for one in nodes_in_turn(list(parts), count, at)} == set(parts)


@given(st.tuples(st.floats(0.001, 1e9), st.floats(1, 1e9), st.floats(0, 1)), st.integers(1, 4_096))
def test_floors_and_pool_are_the_whole(allowance: tuple[float, float, float], nodes: int) -> None:
    for floor, pool, whole in zip(floor_of(allowance, nodes), pool_of(allowance, nodes), allowance[:2], strict=True):
        assert floor >= 0 <= pool and -1 < Fraction(whole) * REQUEST_UNITS - (nodes * floor + pool) < 2


# ---- Parts ----


@given(st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 10**8), st.integers(0, 10**7), st.integers(0, 3))))
def test_a_bucket_is_exact_and_tells_when_to_come(steps: list[tuple[int, int, int, int]]) -> None:
    rate, burst, now = 7, 3 * REQUEST_UNITS, 0
    bucket, level = buckets.Bucket(rate, burst, now), Fraction(0)
    for passed, new_rate, new_burst, cost in steps:
        now += passed
        level = min(level + Fraction(rate * passed, 10**6), Fraction(burst))
        if cost:
            wait = bucket.wait_us(cost, now)
            if 0 < wait < NEVER_US:
                need = cost * REQUEST_UNITS
                assert level + Fraction(rate * (wait - 1), 10**6) < need <= level + Fraction(rate * wait, 10**6)
            taken = bucket.take(cost, now)
            assert taken == (level >= cost * REQUEST_UNITS) == (wait == 0)
            level -= cost * REQUEST_UNITS if taken else 0
        rate, burst = new_rate, new_burst
        bucket.set_limits(rate, burst, now)
        level = min(level, Fraction(burst))
        assert bucket.level + Fraction(bucket.rest, 10**6) == level


def _coordinator(nodes: int = 3) -> coordinator.LimitCoordinator:
    core = coordinator.LimitCoordinator(
        shards.shard_of("a"), dict.fromkeys("abcdefgh", RULES["a"]), [f"n{n}" for n in range(nodes)], DRIFT
    )
    core.began(7, 0)
    return core


def _answer_to(core: coordinator.LimitCoordinator, who: str, now: int, *demands: Demand, lease: int = 10**9) -> Any:
    (tell,) = core.want(who, Want(1, core.shard, demands), lease, now)
    assert isinstance(tell, Tell)
    return tell.message


def test_a_home_gives_to_those_it_knows_what_it_has() -> None:
    core, other = _coordinator(), next(name for name in "bcdefgh" if shards.shard_of(name) != shards.shard_of("a"))
    assert core.want("stranger", Want(1, core.shard, (Demand("a", 1.0),)), 10**9, 0) == []
    assert core.want("n0", Want(1, core.shard + 1, (Demand("a", 1.0),)), 10**9, 0) == []
    odd = [float("nan"), float("inf"), -1.0, 1e300]
    assert [grant.name for grant in _answer_to(core, "n0", 0, Demand("?", 9.0), Demand(other, 9.0)).grants] == []
    for rate in odd:
        _answer_to(core, "n0", 0, Demand("a", rate, 2**62))
    # A flooding node has a bounded number of live grants, and its lost answers all count.
    for now in range(0, 900_000, 1_000):
        _answer_to(core, "n0", now, Demand("a", 500.0))
    allowance = core._ledgers["a"]
    assert len(allowance.shares["n0"].grants) <= ledger.MAX_LIVE_GRANTS
    assert _answer_to(core, "n1", 900_000, Demand("a", 500.0)).grants[0].rate == 0
    assert _answer_to(core, "n0", 960_000, Demand("a", 500.0, 2**62)).grants[0].rate < 401  # reduced, but not yet free
    assert _answer_to(core, "n1", 960_000, Demand("a", 500.0)).grants[0].rate == 0
    core.returned("n0", Returned(core.shard, (("a", 2**62), ("?", 1))), 960_000)
    assert _answer_to(core, "n1", 960_001, Demand("a", 500.0)).grants[0].rate == 0  # not a serial of this coordinator
    core.returned("n0", Returned(core.shard, (("a", core._serial),)), 960_002)
    assert _answer_to(core, "n1", 960_003, Demand("a", 500.0)).grants[0].rate > 199
    assert type(_answer_to(core, "n1", 960_004, Demand("a", 5.0), lease=960_005)).__name__ == "NotHome"
    core.want("n2", Want(1, core.shard, ()), 10**9, 10_000_000)
    assert not core._ledgers


def test_a_few_seats_go_round() -> None:
    names = [f"n{number}" for number in range(5)]
    core = coordinator.LimitCoordinator(shards.shard_of("a"), {"a": (100.0, 2.0, 0.0)}, names)
    core.began(1, 0)
    grant_counts: dict[str, int] = dict.fromkeys(names, 0)
    serials = dict.fromkeys(names, 0)
    for now in range(0, 40_000_000, 250_000):
        for name in names:
            (grant,) = _answer_to(core, name, now, Demand("a", 50.0, serials[name])).grants
            serials[name] = grant.serial
            grant_counts[name] += grant.burst >= 1
            assert grant.burst >= 1 or grant.burst == grant.rate == 0
    assert min(grant_counts.values()) >= 20


def test_a_node_takes_only_answers_to_its_own_questions() -> None:
    shard, demands = shards.shard_of("a"), (Demand("a", 9.0), Demand("b", 9.0))
    coordinators = dict.fromkeys(range(shards.SHARDS), "h")
    core = requester.GrantRequester("n0", 1)
    (first,) = [tell for tell in core.request(demands, coordinators, 0) if tell.message.shard == shard]  # type: ignore
    assert isinstance(first, Tell) and isinstance(first.message, Want) and core.due_us <= requester.ASK_US
    ask = first.message.ask
    assert core.request(demands, coordinators, 10_000) == [] == list(core.unanswered(10_000))
    assert shard in core.unanswered(requester.SILENCE_US)

    def answer(serial: int, fence: int = 1, number: int = ask) -> Grants:
        return Grants(number, shard, fence, (Grant("a", serial, 9.0, 2.0, 2 * TERM), Grant("zz", 1, 9.0, 2.0, TERM)))

    reborn = requester.GrantRequester("n0", 2)  # a new process, whose request numbers differ
    reborn.request(demands, coordinators, 500_000)
    assert reborn.receive("h", answer(5), 510_000) == []
    assert core.receive("x", answer(5), 500_000) == core.receive("h", answer(5, number=0), 500_000) == []
    assert core.receive("h", answer(5, 3), 500_000) == [Tuned(Granted("a", 5, 9.0, 2.0, TERM))]
    assert core.receive("h", answer(4, 3), 500_000) == core.receive("h", answer(6, 2), 500_000) == []
    assert core.receive("h", answer(6, 3), TERM) == []  # ended before it arrived
    assert shard not in core.unanswered(500_000)
    ended, back = core.leave(600_000)
    assert ended == Tuned(Granted("a", 5, 0.0, 0.0, TERM)) and back == Tell("h", Returned(shard, (("a", 5),)))
    assert core.request(demands, coordinators, 10**7) == [] == core.receive("h", answer(9, 3), 600_000)


def _plain(value: object) -> bool:
    if is_dataclass(value):
        return all(_plain(getattr(value, name)) for name in value.__dataclass_fields__)
    if isinstance(value, dict):
        return all(_plain(one) for one in (*value, *value.values()))
    return isinstance(value, int | float | str) or (isinstance(value, tuple) and all(map(_plain, value)))


def test_a_gate_holds_the_first_then_refuses_and_spreads() -> None:
    gate = node.Allowances({"a": (100.0, 20.0, 0.1), "b": (100.0, 20.0, 0.0)}, 2, 1)
    assert gate.admit("none", 5, 0) == ADMITTED and gate.demands(0) == ()
    assert gate.admit("a", 1, 0) == GRANT_PENDING and gate.demands(0)[0].serial == 0
    assert gate.admit("a", 1, node.PATIENCE_US) > 0
    assert gate.admit("a", 1, 200_000) == ADMITTED  # 0.1 x 100 / 2 a second
    assert gate.admit("a", 20, 200_000) == node.MAX_RETRY_US  # more than the buckets of this allowance can ever hold
    gate.hear(Granted("a", 1, 50.0, 4.0, 1_000_000), 200_000)
    gate.hear(Granted("a", 2, 50.0, 2.0, 900_000), 260_000)  # the level of 3 is cut to 2
    gate.hear(Granted("a", 1, 90.0, 9.0, 2_000_000), 260_000)  # overtaken
    gate.hear(Granted("a", 2, 90.0, 9.0, 2_000_000), 260_000)  # the same again gives nothing
    assert (gate.active["a"].grant.burst, gate.active["a"].until_us) == (2 * REQUEST_UNITS, 900_000)
    assert [gate.admit("a", 1, 260_000) for _ in range(2)] == [ADMITTED] * 2
    backs = [gate.admit("a", 1, 260_000) for _ in range(200)]
    assert all(node.MIN_RETRY_US <= back <= node.MAX_RETRY_US for back in backs) and len(set(backs)) > 100
    assert gate.demands(260_000)[0].rate <= node.MAX_GROWTH_FACTOR * 55
    gate.hear(Granted("a", 3, 50.0, 9.0, 3_000_000), 2_000_000)  # the previous grant has ended: a new, empty bucket
    assert gate.active["a"].grant.level == 0 and _plain(gate)
    assert gate.admit("b", 1, 20_000_000) == GRANT_PENDING and list(gate.active) == ["b"]  # idle allowances are dropped
    assert gate.admit("b", -5, 20_000_000) == ADMITTED and gate.active["b"].floor.level == 0
    gate.hear(Granted("b", 1, 50.0, 9.0, 99_000_000), 20_000_000)
    gate.alone()
    assert gate.admit("a", 1, 30_000_000) > 0 < gate.admit("b", 1, 30_000_000) and not gate.active


def test_the_first_tenant_that_fits_and_shards_spread() -> None:
    tenants = Tenants([Tenant("k", Match(keys=("k:*",)), 1, 1), Tenant("u", Match(users=("u",)), 1, 1)])
    found = [tenants.name_of("get", [key], user, "") for key in (b"k:1", b"x") for user in ("u", "v")]
    assert found == ["k", "k", "u", ""]
    for number in range(5_000):
        tenants.name_of("get", [b"%d" % number, b"k:1"], "u", f"client {number}")
    tenants.name_of("get", [b"x" * 10_000], "u", "")
    assert len(tenants._cache) == 4_096 and max(len(shape[1]) for shape in tenants._cache) < 10
    nodes = [f"n{number}" for number in range(9)]
    for shard in range(shards.SHARDS):
        order = sorted(nodes, key=lambda name, shard=shard: shards.rank(name, shard, nodes))  # type: ignore
        assert [shards.rank(name, shard, nodes) for name in order] == list(range(9))
        rest = order[1:]
        assert [shards.rank(name, shard, rest) for name in rest] == list(range(8))
