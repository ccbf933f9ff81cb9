"""Tests what children of a relay are sent, when and at which rate, and what their reports add up to."""

from collections import Counter

import pytest

from oatlink.fleet.control import downstream as d
from oatlink.fleet.control import feed as f
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.sums import MIN_REPORT_GAP_US, REPORT_INTERVAL_US, Sums
from oatlink.fleet.control.table import Table, size_of
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.effects import Effect, Tell

MS, SECOND = 1_000, 1_000_000


class Relay:
    def __init__(self, max_children: int = 64, kept_bytes: int = 4_000) -> None:
        self.tables = {"all": Table("all", kept_bytes)}
        self.drops, self.now = Drops(), 0
        self.sums = Sums("relay", self.tables, ("all",), 1, 0)
        has_table = self.tables.__contains__
        callbacks = (lambda _: 250_000), (lambda scopes: all(map(has_table, scopes))), has_table
        self.downstream = d.Downstream(self.tables, self.sums, self.drops, max_children, *callbacks, 1, 0)
        self.sent: list[tuple[int, Tell]] = []

    def add(self, effects: list[Effect]) -> list[Tell]:
        tells = [effect for effect in effects if isinstance(effect, Tell)]
        self.sent += [(self.now, effect) for effect in tells]
        return tells

    def child(self, name: str, version: int = 0, resume: tuple[tuple[str, int, int, str], ...] = ()) -> list[Tell]:
        message = c.Subscribe(1, (c.Head("all", 0, version),), resume, mark=5)
        return self.add(self.downstream.subscribe(name, message, self.now))

    def commit(self, count: int = 1, size: int = 20) -> None:
        for _ in range(count):
            version = self.tables["all"].head.version + 1
            self.tables["all"].apply(c.Delta(0, version, (c.Entry(f"k{version}", bytes([1] * size)),)))
        self.downstream.scope_changed("all", self.now)
        self.add(self.downstream.tick(self.now))

    def run(self, us: int, with_reports: bool = True) -> None:
        end_us = self.now + us
        while self.downstream.due_us <= end_us:
            self.now = max(self.now, self.downstream.due_us)
            self.add(self.downstream.tick(self.now))
            for child in self.downstream.names() if with_reports else ():
                self.report(child)
        self.now = end_us

    def report(self, child: str, *lags: c.Lag, incarnation: int = 1, children: int = 0) -> list[Effect]:
        return self.downstream.report(child, c.Report(incarnation, lags, children, mark=9), self.now)

    def changes(self, child: str) -> list[tuple[int, int]]:
        """Return when changes were sent to a child, and how many versions each message had."""
        messages = [(at_us, tell.message) for at_us, tell in self.sent if tell.to == child]
        return [(at_us, len(message.deltas)) for at_us, message in messages if isinstance(message, c.Changes)]


def test_a_change_is_sent_at_once_and_more_of_them_are_batched() -> None:
    relay = Relay()
    relay.child("a")
    relay.run(SECOND)
    start_us = relay.now
    for _ in range(5):
        relay.commit()
        relay.run(10 * MS)
    relay.run(SECOND)
    first, *rest = relay.changes("a")
    assert (
        first == (start_us, 1) and sum(count for _, count in rest) == 4 and len(rest) <= 2
    )  # a beat may come in between
    assert rest[-1][0] <= start_us + f.BATCH_US


def test_a_beat_names_no_version_that_was_not_sent_before_it() -> None:
    relay = Relay()
    relay.child("a")
    for _ in range(100):
        relay.commit()
        relay.run(37 * MS)
    sent = 0
    for message in [tell.message for _, tell in relay.sent]:
        if isinstance(message, c.Changes):
            sent = message.deltas[-1].version
        assert not isinstance(message, c.Beat) or message.heads[0].version <= sent


def test_children_are_bounded_get_a_beat_each_second_and_are_removed_when_silent() -> None:
    relay = Relay(max_children=50)
    for number in range(50):
        (first,) = relay.child(f"c{number}")
        assert first.message == c.Beat(250, (c.Head("all"),), 5, 0)
    (refused,) = relay.child("one more")
    assert isinstance(refused.message, c.Refused) and refused.message.reason == "full" and len(relay.downstream) == 50
    relay.child("c0")  # subscribed again: neither a second beat at once nor a second series of beats
    relay.run(20 * SECOND)
    beats = [(at_us, tell.to) for at_us, tell in relay.sent if isinstance(tell.message, c.Beat) and at_us > 2 * SECOND]
    assert len(beats) == 50 * 18
    assert max(Counter(at_us // (100 * MS) for at_us, _ in beats).values()) <= 15  # spread over the second
    (last,) = [tell for at_us, tell in relay.sent if tell.to == "c3"][-1:]
    assert isinstance(last.message, c.Beat) and last.message.mark == 9
    relay.run(d.CHILD_TIMEOUT_US + 2 * SECOND, with_reports=False)
    assert len(relay.downstream) == 0 and not relay.downstream.feed.has_takers("all") and relay.sums.children == 0


def test_children_behind_share_a_rate_resume_where_they_stopped_and_do_not_delay_changes() -> None:
    relay = Relay()
    relay.commit(3_000, 100)
    relay.child("near", relay.tables["all"].head.version)
    for number in range(8):
        relay.child(f"far{number}")
    relay.run(2 * SECOND)
    at_us = relay.now
    relay.commit()
    assert relay.changes("near") == [(at_us, 1)]
    pages = [tell.message for _, tell in relay.sent if tell.to == "far0" and isinstance(tell.message, c.Page)]
    assert pages and not pages[-1].last
    first_page = pages[0]
    relay.downstream.remove("far0")
    relay.child("far0", resume=(("all", 0, first_page.first, first_page.entries[-1].key),))
    relay.run(40 * SECOND)
    page_bytes: Counter[int] = Counter()
    for sent_us, tell in relay.sent:
        if isinstance(tell.message, c.Page):
            page_bytes[sent_us // SECOND] += size_of(tell.message.entries)
    assert (
        max(page_bytes.values()) <= f.CATCH_UP_BYTES_PER_S + f.CATCH_UP_BURST_BYTES
        and sum(page_bytes.values()) > 8 * 300_000
    )
    for number in range(8):
        messages = [tell.message for _, tell in relay.sent if tell.to == f"far{number}"]
        reader = Table("all")
        for message in messages:
            if isinstance(message, c.Page):
                reader.add_page(message)
            elif isinstance(message, c.Changes):
                assert all(reader.apply(delta) for delta in message.deltas)
        assert reader.head == relay.tables["all"].head and reader.entries == relay.tables["all"].entries
        page_starts = [message.after for message in messages if isinstance(message, c.Page)]
        assert page_starts.count("") == 1, "a snapshot was begun again"


def test_a_child_that_is_ahead_gets_nothing_and_an_impossible_subscription_is_refused() -> None:
    relay = Relay()
    relay.commit(5)
    assert [type(tell.message) for tell in relay.child("ahead", 9)] == [c.Beat]
    relay.commit()
    assert not relay.changes("ahead")
    impossible = (
        (c.Head("all", 0, -1),),
        (),
        (c.Head("all"), c.Head("all")),
        tuple(c.Head(f"group/{number}") for number in range(17)),
    )
    for heads in impossible:
        (answer,) = relay.add(relay.downstream.subscribe("odd", c.Subscribe(1, heads), 0))
        assert isinstance(answer.message, c.Refused) and answer.message.reason == "bad"
    (answer,) = relay.add(relay.downstream.subscribe("odd", c.Subscribe(1, (c.Head("group/none"),)), 0))
    assert isinstance(answer.message, c.Refused) and answer.message.reason == "unknown"
    assert "odd" not in relay.downstream and relay.drops.counts == {"impossible subscription": 4}


LAG = c.Lag(c.Head("all", 0, 5), 10, 4, 2, ("x", "y"))


@pytest.mark.parametrize(
    ("lag", "more"),
    [
        (c.Lag(c.Head("all", 0, 5), 10, 4, -1), {}),
        (c.Lag(c.Head("all", 0, 5), 70_000, 5), {}),
        (c.Lag(c.Head("all", 0, 5), 1, 4, 2), {}),
        (c.Lag(c.Head("all", 0, 5), 1, 6), {}),
        (c.Lag(c.Head("all", 0, 6), 1, 6), {}),
        (c.Lag(c.Head("group/g", 0, 1), 1, 1), {}),
        (c.Lag(c.Head("all", 0, 5), 10, 4, 2, ("x",) * 9), {}),
        (LAG, {"children": -1}),
        (LAG, {"incarnation": 2}),
    ],
)
def test_a_wrong_report_is_dropped_counted_and_named(lag: c.Lag, more: dict[str, int]) -> None:
    relay = Relay()
    relay.commit(5)
    relay.child("a", 5)
    assert not relay.report("a", LAG)
    before = relay.sums.lag("all")
    assert before == c.Lag(c.Head("all", 0, 5), 11, 4, 2, ("x", "y"))
    (note,) = relay.report("a", lag, **more)
    assert "of a" in str(note) and sum(relay.drops.counts.values()) == 1 and relay.sums.lag("all") == before


def test_sums_name_laggards_and_an_old_report_hides_none() -> None:
    relay = Relay()
    relay.commit(5)
    relay.child("a", 5)
    relay.child("b", 3)
    assert relay.sums.lag("all") == c.Lag(c.Head("all", 0, 5), 3, 3, 1, ("b",))
    relay.report("a", LAG, children=9)
    assert relay.sums.lag("all") == c.Lag(c.Head("all", 0, 5), 12, 3, 3, ("x", "y", "b"))
    relay.commit()
    assert relay.sums.lag("all") == c.Lag(
        c.Head("all", 0, 6), 12, 3, 11, ("x", "y", "a", "b")
    )  # all but the relay itself
    assert relay.sums.lag_against(c.Head("all", 0, 3)).behind == 0 and relay.sums.children == 11
    for name in ("a", "b"):
        relay.report(name, c.Lag(c.Head("all", 0, 6), 1, 6))
    assert relay.sums.lag("all") == c.Lag(c.Head("all", 0, 6), 3, 6) and not relay.sums.report(1, 1, 0).alive


def test_reports_are_sent_now_and_then_and_after_changes_at_a_bounded_rate() -> None:
    relay, sent = Relay(), []
    relay.child("a")
    for now in range(0, 60 * SECOND, 20 * MS):
        if 20 * SECOND < now < 40 * SECOND:
            relay.sums.schedule_report(now)
        if now >= relay.sums.due_us:
            sent.append((now, relay.sums.report(1, 1, now)))
    assert all(b - a >= MIN_REPORT_GAP_US - 20 * MS for (a, _), (b, _) in zip(sent, sent[1:], strict=False))
    without_changes = [at_us for at_us, _ in sent if at_us < 20 * SECOND]
    assert (
        3 <= len(without_changes) <= 6
        and len(sent) <= 40
        and all(b - a < 1.2 * REPORT_INTERVAL_US for a, b in zip(without_changes, without_changes[1:], strict=False))
    )
    assert ("a", 1) in sent[0][1].alive
