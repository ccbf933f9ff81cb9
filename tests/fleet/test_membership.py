"""Nodes know which others are alive at a bounded cost, and find out when they are cut off themselves."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet.membership import view
from oatlink.fleet.membership.suspicion import CALM_US, MAX_HOLD_US, Suspicion
from oatlink.fleet.membership.view import ALIVE_US, FAN_OUT, QUIET_US, View, patience_us
from oatlink.fleet.messages import Alive, Tell

DRIFT = 0.001
STEP_US = 100_000


class Net:
    """Nodes that send only `Alive` messages, over links that lose one message in ten."""

    def __init__(self, size: int, seed: int) -> None:
        self.draw = random.Random(seed)
        self.names = tuple(f"gateway-{n}" for n in range(size))
        self.start = {name: self.draw.randrange(10**9) for name in self.names}
        self.views = {
            name: View(name, 1, self.names, seed, DRIFT, self.start[name]) for seed, name in enumerate(self.names)
        }
        self.now, self.max_bytes, self.messages = 0, 0, 0
        self.dead: dict[str, None] = {}
        self.part: dict[str, int] = {}  # the part of a partitioned network that a node is in; None for the others

    def clock(self, name: str) -> int:
        return self.start[name] + self.now

    def run(self, us: int) -> None:
        for _ in range(us // STEP_US):
            self.now += STEP_US
            for name, node_view in self.views.items():
                if name in self.dead or self.clock(name) < node_view.due_us:
                    continue
                for effect in node_view.tick(self.clock(name)):
                    assert isinstance(effect, Tell) and isinstance(effect.message, Alive)
                    self.messages += 1
                    self.max_bytes = max(self.max_bytes, len(msgspec.msgpack.encode(effect.message)))
                    is_connected = self.part.get(name) == self.part.get(effect.to)
                    if is_connected and effect.to not in self.dead and self.draw.random() >= 0.1:
                        self.views[effect.to].receive(name, effect.message, self.clock(effect.to))

    def missed(self) -> int:
        """Return how many times a live node does not count as present at another live node."""
        live = [name for name in self.names if name not in self.dead]
        return sum(
            len(live) - 1 - len([other for other in self.alive(name) if other not in self.dead]) for name in live
        )

    def alive(self, name: str) -> tuple[str, ...]:
        return self.views[name].alive(self.clock(name))


def _bound(size: int) -> int:
    """Return within which time a dead node is missed by all others."""
    return patience_us(size) + 2 * ALIVE_US * (size - 1).bit_length()


@pytest.mark.parametrize("size", [2, 5, 50])
def test_who_lives_is_known_who_died_is_missed_and_who_is_back_is_found(size: int) -> None:
    net = Net(size, size)
    for _ in range(4):
        net.run(patience_us(size) // 2)
        assert net.missed() == 0
    intervals = net.now / (ALIVE_US * 0.9)
    assert net.messages <= size * FAN_OUT * (intervals + 1) and net.max_bytes < 1_200
    gone = net.names[0]
    net.dead[gone] = None
    net.run(_bound(size))
    assert not any(gone in net.alive(name) for name in net.names[1:])
    assert net.missed() == 0
    del net.dead[gone]
    net.views[gone] = View(gone, 77, net.names, 5, DRIFT, net.clock(gone))
    net.run(_bound(size))
    assert net.missed() == 0


def test_the_smaller_part_of_a_cut_knows_it_and_all_meet_again() -> None:
    net = Net(30, 1)
    net.run(patience_us(30))
    assert not any(node_view.is_cut_off(net.clock(name)) for name, node_view in net.views.items())
    net.part = {name: 1 for name in net.names[:8]}
    net.run(_bound(30))
    for name, node_view in net.views.items():
        assert node_view.is_cut_off(net.clock(name)) == (name in net.part)
        assert all((other in net.part) == (name in net.part) for other in net.alive(name))
    net.part = {}
    net.run(_bound(30))
    assert net.missed() == 0
    assert not any(node_view.is_cut_off(net.clock(name)) for name, node_view in net.views.items())


def test_ages_that_do_not_grow_keep_the_dead_alive(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(View, "_grown", lambda self, age_us: 0)
    monkeypatch.setattr(view, "HOP_US", 0)
    net = Net(50, 3)
    net.run(patience_us(50))
    net.dead[net.names[0]] = None
    net.run(_bound(50))
    assert any(net.names[0] in net.alive(name) for name in net.names[1:])


def test_a_node_that_never_was_there_is_not_spoken_of() -> None:
    node_view = View("a", 1, ("a", "b", "ghost"), 1, DRIFT, 0)
    node_view.heard("b", 5, 1_000)
    messages = [effect.message for effect in node_view.tick(ALIVE_US) if isinstance(effect, Tell)]
    assert [[place for place, _ in one.heard] for one in messages if isinstance(one, Alive)] == [[1], [1]]


def test_leaving_a_failed_link_and_incarnations() -> None:
    node_view = View("a", 1, ("a", "b", "c"), 1, DRIFT, 0)
    assert node_view.alive(0) == ("b", "c")  # nodes count as present until the patience ends
    assert node_view.heard("b", 5, 1_000) and not node_view.heard("b", 5, 2_000) and not node_view.heard("x", 5, 2_000)
    node_view.leaving("b", 5, 3_000)
    node_view.heard("b", 5, 4_000)
    node_view.receive("c", Alive(9, False, ((1, 0),)), 5_000)  # c has heard of b
    assert node_view.alive(6_000) == ("c",)
    assert node_view.heard("b", 6, 7_000) and node_view.alive(8_000) == ("b", "c")  # another process with the same name
    node_view.link_failed("b", 9_000)
    node_view.receive(
        "c", Alive(9, False, ((1, 0),)), 10_000
    )  # what c has heard does not count while our link has failed
    assert node_view.alive(11_000) == ("c",)
    node_view.receive("b", Alive(6, True), 12_000)
    assert (
        node_view.alive(13_000) == ("c",)
        and not node_view.is_cut_off(14_000)
        and node_view.is_cut_off(QUIET_US + 20_000)
    )
    assert [effect.to for effect in node_view.leave(15_000) if isinstance(effect, Tell)] == ["c"]
    many = View("n0", 1, tuple(f"n{n}" for n in range(50)), 1, DRIFT, 0)
    assert not many.is_cut_off(QUIET_US) and many.is_cut_off(QUIET_US + 1) and len(many.alive(QUIET_US + 1)) == 49


def _present_count_while_flapping(returns: int) -> int:
    """Return at how many of its returns a node, which returns each second and fails at once, counts as present."""
    node, count = Suspicion(0), 0
    for n in range(1, returns + 1):
        node.has_link_failed = True
        node.heard(1, n * 1_000_000, 10**9)
        count += node.is_present(n * 1_000_000, 10**9)
    assert node.is_present((returns * 1_000_000) + MAX_HOLD_US, 10**9)
    node.has_link_failed = True
    node.heard(1, 3 * CALM_US, 10**9)
    assert node.is_present(3 * CALM_US, 10**9)  # after a long calm it is trusted at once again
    return count


def test_what_is_back_too_often_must_stay_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _present_count_while_flapping(20) == 1
    monkeypatch.setattr(Suspicion, "_returned", lambda self, now_us: None)
    assert _present_count_while_flapping(20) == 20


PLACES = st.tuples(st.integers(-1, 3) | st.just(2**66), st.integers(-(2**66), 2**66))


@given(st.lists(st.tuples(st.sampled_from("abcx"), st.integers(0, 3), st.lists(PLACES, max_size=140)), max_size=9))
def test_nothing_that_comes_raises_or_speaks_for_the_future(
    words: list[tuple[str, int, list[tuple[int, int]]]],
) -> None:
    node_view = View("a", 1, ("a", "b", "c"), 1, DRIFT, 0)
    for at, (sender, incarnation, heard) in enumerate(words):
        node_view.receive(sender, Alive(incarnation, False, tuple(heard)), at)
    assert node_view.alive(patience_us(3) + len(words) + 1) == ()
    assert node_view.is_cut_off(patience_us(3) + len(words) + 1)
