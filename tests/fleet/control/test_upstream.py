"""One upstream, a spare at once, and sources that are asked without a herd."""

from collections import Counter

import pytest

from oatlink.fleet.control import upstream as u
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.effects import Effect, Tell

SECOND = 1_000_000
A, B, D = (c.Place(name, "a:1") for name in ("relay-a", "relay-b", "relay-d"))
SOURCES = tuple(c.Place(f"source-{n}", "s:1") for n in range(6))


def upstream(name: str = "reader", seed: int = 1) -> u.Upstream:
    return u.Upstream(c.Join(7, "r", "z", "a:2"), name, SOURCES, lambda now: c.Subscribe(7, ()), seed, 0)


def told(effects: list[Effect], kind: type) -> list[str]:
    return [one.to for one in effects if isinstance(one, Tell) and isinstance(one.message, kind)]


def seated(seat: c.Seat | None = None) -> tuple[u.Upstream, int]:
    one, now = upstream(), 0
    now = one.due_us
    (source,) = told(one.tick(now), c.Join)
    assert one.take_seat(source, seat or c.Seat(7, A, B), now)
    assert told(one.tick(now), c.Subscribe) == ["relay-a"] and one.peer == "relay-a"
    return one, now


@pytest.mark.parametrize("how", ["silent", "link", "refused", "leaves"])
def test_the_spare_is_used_at_once_and_a_new_spare_is_asked_for_later(how: str) -> None:
    one, now = seated()
    one.beat_received(now, False)
    effects: list[Effect] = []
    if how == "silent":
        now += u.UPSTREAM_TIMEOUT_US
        assert not told(one.tick(now - 1), c.Subscribe) and one.due_us <= now
    elif how == "refused":
        effects = one.handle_refusal("relay-a", c.Refused(7, "full"), now) or []
    else:
        effects = one.peer_lost("relay-a", how, now)
    effects += one.tick(now)
    assert told(effects, c.Subscribe) == ["relay-b"] and one.peer == "relay-b" and one.spare is None
    assert c.Known(A, forget=True) in effects and told(effects, c.Leave) == ["relay-a"]
    asked: list[str] = []
    began = now
    while not asked and now < began + 10 * SECOND:
        now = one.due_us
        one.beat_received(now, False)
        asked = told(one.tick(now), c.Join)
    assert began < now <= began + u.DEFAULT_ZONE_READERS * u.WINDOW_PER_READER_US
    assert one.take_seat(asked[0], c.Seat(7, A, D), now) and not told(one.tick(now), c.Subscribe)
    assert one.peer == "relay-b" and one.spare == D  # the upstream stays while it is heard


def test_a_seat_counts_only_if_asked_for_possible_and_for_this_process() -> None:
    one = upstream()
    assert not one.take_seat("source-0", c.Seat(7, A, B), 0)
    now = one.due_us
    (source,) = told(one.tick(now), c.Join)
    other = next(place.name for place in SOURCES if place.name != source)
    assert not one.take_seat(other, c.Seat(7, A, B), now) and not one.take_seat(source, c.Seat(6, A, B), now)
    assert (
        one.handle_refusal(other, c.Refused(7, "full"), now) is None
        and one.handle_refusal(source, c.Refused(6, ""), now) is None
    )
    assert not one.take_seat(source, c.Seat(7, c.Place("", "x"), B), now)
    assert not told(one.tick(now), c.Subscribe) and one.due_us > now
    late, now = upstream(seed=2), 0
    now = late.due_us
    (source,) = told(late.tick(now), c.Join)
    assert late.take_seat(source, c.Seat(7, A, B, wait_ms=3_000), now)
    assert not told(late.tick(now + 3 * SECOND - 1), c.Subscribe)
    assert told(late.tick(now + 3 * SECOND), c.Subscribe) == ["relay-a"]


def test_without_a_spare_a_source_is_asked_again_soon() -> None:
    one, now = seated(c.Seat(7, A, c.Place("", "")))
    one.beat_received(now, False)
    assert one.spare is None and one._join_us <= now + 2 * u.MAX_WINDOW_US


def test_a_gap_is_asked_for_at_a_bounded_rate() -> None:
    one, now = seated()
    asked = 0
    for step in range(100):
        one.beat_received(now + step * 50_000, False)
        one.request_resubscribe(now + step * 50_000)
        asked += len(told(one.tick(now + step * 50_000), c.Subscribe))
    assert asked == 4  # in 5 s, one of which followed the first subscription


def test_an_upstream_with_stale_data_is_kept_until_a_seat_is_taken() -> None:
    one, now = seated()
    one.beat_received(now, False)
    asked: list[str] = []
    while not asked:
        now = min(one.due_us, now + SECOND)
        one.beat_received(now, True)
        asked = told(one.tick(now), c.Join)
        assert one.peer == "relay-a" and now < 60 * SECOND
    assert one.take_seat(asked[0], c.Seat(7, A, D), now)
    assert told(one.tick(now), c.Subscribe) == ["relay-d"] and one.peer == "relay-d" and one.spare == A


@pytest.mark.parametrize("zone", [20, 190, 720])
def test_a_zone_without_upstreams_spreads_its_questions_and_asks_less_often_while_nobody_answers(zone: int) -> None:
    ones = [upstream(f"reader-{n}", n) for n in range(zone)]
    for one in ones:
        one.set_zone_readers(zone)
        one.beat_received(0, False)
    joins: Counter[int] = Counter()
    sources: Counter[str] = Counter()
    window = max(u.MIN_WINDOW_US, zone * u.WINDOW_PER_READER_US)
    for one in ones:
        one._join_us = one._window()  # as after `lose`; all in the same moment
        now = -1
        while now < (due := one.due_us) < 300 * SECOND:
            now = due
            asked = told(one.tick(now), c.Join)
            sources.update(asked)
            joins[now // SECOND] += len(asked)
    assert (
        max(joins.values()) <= 1.5 * SECOND / u.WINDOW_PER_READER_US
        and sum(joins[s] for s in range(window // SECOND)) > zone / 2
    )
    mean = zone * SECOND / (u.MAX_WINDOW_US / 2 + u.JOIN_TIMEOUT_US)  # half a window and the wait for an answer
    assert max(joins[s] for s in range(200, 300)) <= mean + 4 * mean**0.5 + 2
    assert min(one.due_us for one in ones) >= 300 * SECOND  # none was due twice in one moment
    assert len(sources) == 6 and max(sources.values()) < 1.5 * min(sources.values())
