"""Tests that a reader has one upstream, uses its spare at once, and spreads its questions to sources."""

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


def receivers_of(effects: list[Effect], message_type: type) -> list[str]:
    return [tell.to for tell in effects if isinstance(tell, Tell) and isinstance(tell.message, message_type)]


def upstream_with_seat(seat: c.Seat | None = None) -> tuple[u.Upstream, int]:
    reader_upstream, now_us = upstream(), 0
    now_us = reader_upstream.due_us
    (source,) = receivers_of(reader_upstream.tick(now_us), c.Join)
    assert reader_upstream.take_seat(source, seat or c.Seat(7, A, B), now_us)
    assert receivers_of(reader_upstream.tick(now_us), c.Subscribe) == ["relay-a"] and reader_upstream.peer == "relay-a"
    return reader_upstream, now_us


@pytest.mark.parametrize("cause", ["silent", "link", "refused", "leaves"])
def test_the_spare_is_used_at_once_and_a_new_spare_is_asked_for_later(cause: str) -> None:
    reader_upstream, now_us = upstream_with_seat()
    reader_upstream.beat_received(now_us, False)
    effects: list[Effect] = []
    if cause == "silent":
        now_us += u.UPSTREAM_TIMEOUT_US
        assert not receivers_of(reader_upstream.tick(now_us - 1), c.Subscribe) and reader_upstream.due_us <= now_us
    elif cause == "refused":
        effects = reader_upstream.handle_refusal("relay-a", c.Refused(7, "full"), now_us) or []
    else:
        effects = reader_upstream.peer_lost("relay-a", cause, now_us)
    effects += reader_upstream.tick(now_us)
    assert (
        receivers_of(effects, c.Subscribe) == ["relay-b"]
        and reader_upstream.peer == "relay-b"
        and reader_upstream.spare is None
    )
    assert c.Known(A, forget=True) in effects and receivers_of(effects, c.Leave) == ["relay-a"]
    asked: list[str] = []
    lost_us = now_us
    while not asked and now_us < lost_us + 10 * SECOND:
        now_us = reader_upstream.due_us
        reader_upstream.beat_received(now_us, False)
        asked = receivers_of(reader_upstream.tick(now_us), c.Join)
    assert lost_us < now_us <= lost_us + u.DEFAULT_ZONE_READERS * u.WINDOW_PER_READER_US
    assert reader_upstream.take_seat(asked[0], c.Seat(7, A, D), now_us) and not receivers_of(
        reader_upstream.tick(now_us), c.Subscribe
    )
    assert reader_upstream.peer == "relay-b" and reader_upstream.spare == D  # the upstream stays as long as it is heard


def test_a_seat_counts_only_if_asked_for_possible_and_for_this_process() -> None:
    reader_upstream = upstream()
    assert not reader_upstream.take_seat("source-0", c.Seat(7, A, B), 0)
    now_us = reader_upstream.due_us
    (source,) = receivers_of(reader_upstream.tick(now_us), c.Join)
    other_source = next(place.name for place in SOURCES if place.name != source)
    assert not reader_upstream.take_seat(other_source, c.Seat(7, A, B), now_us) and not reader_upstream.take_seat(
        source, c.Seat(6, A, B), now_us
    )
    assert (
        reader_upstream.handle_refusal(other_source, c.Refused(7, "full"), now_us) is None
        and reader_upstream.handle_refusal(source, c.Refused(6, ""), now_us) is None
    )
    assert not reader_upstream.take_seat(source, c.Seat(7, c.Place("", "x"), B), now_us)
    assert not receivers_of(reader_upstream.tick(now_us), c.Subscribe) and reader_upstream.due_us > now_us
    waiting, now_us = upstream(seed=2), 0
    now_us = waiting.due_us
    (source,) = receivers_of(waiting.tick(now_us), c.Join)
    assert waiting.take_seat(source, c.Seat(7, A, B, wait_ms=3_000), now_us)
    assert not receivers_of(waiting.tick(now_us + 3 * SECOND - 1), c.Subscribe)
    assert receivers_of(waiting.tick(now_us + 3 * SECOND), c.Subscribe) == ["relay-a"]


def test_without_a_spare_a_source_is_asked_again_soon() -> None:
    reader_upstream, now_us = upstream_with_seat(c.Seat(7, A, c.Place("", "")))
    reader_upstream.beat_received(now_us, False)
    assert reader_upstream.spare is None and reader_upstream._join_us <= now_us + 2 * u.MAX_WINDOW_US


def test_a_gap_is_asked_for_at_a_bounded_rate() -> None:
    reader_upstream, now_us = upstream_with_seat()
    subscriptions = 0
    for step in range(100):
        reader_upstream.beat_received(now_us + step * 50_000, False)
        reader_upstream.request_resubscribe(now_us + step * 50_000)
        subscriptions += len(receivers_of(reader_upstream.tick(now_us + step * 50_000), c.Subscribe))
    assert subscriptions == 4  # in 5 s, one of which followed the first subscription


def test_an_upstream_with_stale_data_is_kept_until_a_seat_is_taken() -> None:
    reader_upstream, now_us = upstream_with_seat()
    reader_upstream.beat_received(now_us, False)
    asked: list[str] = []
    while not asked:
        now_us = min(reader_upstream.due_us, now_us + SECOND)
        reader_upstream.beat_received(now_us, True)
        asked = receivers_of(reader_upstream.tick(now_us), c.Join)
        assert reader_upstream.peer == "relay-a" and now_us < 60 * SECOND
    assert reader_upstream.take_seat(asked[0], c.Seat(7, A, D), now_us)
    assert (
        receivers_of(reader_upstream.tick(now_us), c.Subscribe) == ["relay-d"]
        and reader_upstream.peer == "relay-d"
        and reader_upstream.spare == A
    )


@pytest.mark.parametrize("zone_size", [20, 190, 720])
def test_a_zone_without_upstreams_spreads_its_questions_and_asks_less_often_while_nobody_answers(
    zone_size: int,
) -> None:
    upstreams = [upstream(f"reader-{number}", number) for number in range(zone_size)]
    for reader_upstream in upstreams:
        reader_upstream.set_zone_readers(zone_size)
        reader_upstream.beat_received(0, False)
    joins: Counter[int] = Counter()
    sources: Counter[str] = Counter()
    window = max(u.MIN_WINDOW_US, zone_size * u.WINDOW_PER_READER_US)
    for reader_upstream in upstreams:
        reader_upstream._join_us = reader_upstream._window()  # as after `drop_current`; all at the same moment
        now_us = -1
        while now_us < (due_us := reader_upstream.due_us) < 300 * SECOND:
            now_us = due_us
            asked = receivers_of(reader_upstream.tick(now_us), c.Join)
            sources.update(asked)
            joins[now_us // SECOND] += len(asked)
    assert (
        max(joins.values()) <= 1.5 * SECOND / u.WINDOW_PER_READER_US
        and sum(joins[second] for second in range(window // SECOND)) > zone_size / 2
    )
    mean = zone_size * SECOND / (u.MAX_WINDOW_US / 2 + u.JOIN_TIMEOUT_US)  # half a window and the wait for an answer
    assert max(joins[second] for second in range(200, 300)) <= mean + 4 * mean**0.5 + 2
    assert (
        min(reader_upstream.due_us for reader_upstream in upstreams) >= 300 * SECOND
    )  # none was due twice in one moment
    assert len(sources) == 6 and max(sources.values()) < 1.5 * min(sources.values())
