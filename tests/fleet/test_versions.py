"""Layouts over shards: what is refused, what is proven, and that each guard matters."""

from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet import messages as f
from oatlink.fleet.gate import Layout, Served
from oatlink.fleet.messages import MAX_VALUE_BYTES, NEVER_US, Marker, ShardOffer
from oatlink.fleet.versions import marker, plan, state
from oatlink.fleet.versions.asking import MAX_QUESTIONS, MAX_TERM_US, Adopter
from oatlink.fleet.versions.bank_tasks import FIRST_RETRY_US, MAX_RETRY_US, BankTasks
from oatlink.fleet.versions.compatible import Place, applied
from oatlink.fleet.versions.ledger import Ledger, max_elapsed_us
from oatlink.fleet.versions.node import Layouts, version_in_name
from oatlink.fleet.versions.operator_requests import MAX_REQUESTS, PLAN, STATE
from oatlink.fleet.versions.sequencer import VERSION_TERM_US, Sequencer
from tests.fleet import versions_sabotage as sabotage
from tests.fleet.versions_world import Violation, World

FAR = 10**15


def test_whatever_fails_no_request_meets_a_layout_that_is_not_there_and_each_plan_ends() -> None:
    seen: Counter[str] = Counter()
    for seed in range(24):
        world = World(seed)
        world.play()
        seen += world.seen
        seen["versions"] += world.known().old - 1
        seen["failovers"] += sum(bank.failovers for bank in world.banks.values())
    least = {"served": 10_000, "versions": 10, "undoing": 8, "failovers": 200}
    least |= {"reigns": 100, "failed": 5, "unknown": 20}
    assert all(seen[what] >= number for what, number in least.items()), seen


@pytest.mark.parametrize("name", sabotage.SABOTAGES)
def test_each_guard_that_is_taken_out_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    (play, seed), take_out = sabotage.SABOTAGES[name]
    play(seed)  # with the guard it holds
    take_out(monkeypatch)
    with pytest.raises(Violation):
        play(seed)


GOOD = plan.Plan(2, 1, {"a": plan.ShardPlan((("SET", "k", "1"),)), "b": plan.ShardPlan(after=("a",))})


def changed(**shard: object) -> plan.Plan:
    return msgspec.structs.replace(GOOD, shards=GOOD.shards | {"a": plan.ShardPlan(**shard)})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("wrong", "line"),
    [
        (msgspec.structs.replace(GOOD, version=3), "version: expected 2"),
        (msgspec.structs.replace(GOOD, version=1, base=0), "base: expected the version that is served alone"),
        (msgspec.structs.replace(GOOD, hash="00"), f"hash: expected {plan.name_of(GOOD)}, got '00'"),
        (msgspec.structs.replace(GOOD, shards={"b": plan.ShardPlan()}), "shards: expected one for each bank, 'a' is"),
        (msgspec.structs.replace(GOOD, shards=GOOD.shards | {"c": plan.ShardPlan()}), "shards['c']: expected a bank"),
        (changed(after=("z",)), "shards['a'].after: expected banks of the plan, got 'z'"),
        (changed(after=("b",)), "shards: expected an order of banks, `after` goes round: a after b after a"),
        (changed(after=("a",)), "shards: expected an order of banks, `after` goes round: a after a"),
        (changed(expand=((),)), "shards['a'].expand[0]: expected a command, got an empty one"),
        (changed(contract=(("GET", "k"), ("multi",))), "shards['a'].contract[1][0]: expected a command that may stand"),
        (changed(undo=(("BLPOP", "k", "0"),)), "shards['a'].undo[0][0]: expected a command that may stand"),
        (changed(expand=((" EXEC",),)), "shards['a'].expand[0][0]: expected a command that may stand"),
        (changed(expand=(("DEL", marker.KEY),)), "shards['a'].expand[0]: expected to leave the key"),
        (
            changed(expand=(("SET", "k", "v" * MAX_VALUE_BYTES),)),
            f"top level: expected at most {MAX_VALUE_BYTES} bytes",
        ),
    ],
)
def test_a_mistake_in_a_plan_is_one_line(wrong: plan.Plan, line: str) -> None:
    found = list(plan.check(wrong, ("a", "b"), state.first(1)))
    assert len(found) == 1 and found[0].startswith(line), found


def test_a_plan_fits_where_it_is_kept() -> None:
    known = state.first(1)
    assert list(plan.check(msgspec.structs.replace(GOOD, hash=plan.name_of(GOOD)), ("a", "b"), known)) == []
    served = msgspec.structs.replace(known, phase="serving", new=2, served=(1, 2))
    assert [line.split(":")[0] for line in plan.check(GOOD, ("a", "b"), served)] == ["base"]
    many = tuple(f"bank{number}" for number in range(200))
    long = plan.Plan(2, 1, dict.fromkeys(many, plan.ShardPlan()))
    assert any(line.startswith("shards: expected fewer banks") for line in plan.check(long, many, known))
    deep = plan.Plan(2, 1, {bank: plan.ShardPlan(after=many[at + 1 :][:1]) for at, bank in enumerate(many)})
    assert not any("goes round" in line for line in plan.check(deep, many, known))


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (b"{", "top level: expected JSON"),
        (b"\xff", "top level: expected JSON"),
        (b'{"version":2,"base":1}', "top level: object missing required field `shards`"),
        (b'{"version":2,"base":1,"shards":{"a":{"expnad":[]}}}', "shards[...]: object contains unknown field `expnad`"),
        (b'{"version":2,"base":1,"shards":{"a":{"expand":["GET"]}}}', "shards[...].expand[0]: expected `array`"),
    ],
)
def test_a_plan_that_is_none_is_one_line(text: bytes, line: str) -> None:
    found = plan.parse(text)
    assert isinstance(found, str) and found.startswith(line), found


def test_a_marker_lets_a_step_run_once_in_its_turn() -> None:
    held: bytes | None = None
    assert marker.decide(held, 5, 0) == "run" and marker.decide(held, 5, 3) == "behind"
    held = marker.encode(3, 2, True)
    assert marker.completed_step(held) == 3
    assert marker.decide(held, 3, 0) == "done" and marker.decide(held, 5, 3) == "run"
    held = marker.encode(5, 2, False)  # begun: a command of it may have failed
    assert marker.completed_step(held) == 4 and marker.decide(held, 5, 3) == "run"
    assert marker.decide(held, 4, 0) == marker.decide(held, 3, 0) == "fenced"
    assert marker.decide(held, 7, 5) == "behind"
    for strange in (b"", b"5", b"5 2 gone", b"-5 2 done", b"9" * 40 + b" 2 done", b"\xff"):
        assert marker.completed_step(strange) == -1 and marker.decide(strange, 5, 0) == "failed"


@given(st.lists(st.integers(0, 30), min_size=2, max_size=2), st.integers(0, 30), st.integers(0, 30), st.booleans())
def test_a_member_has_a_marker_only_where_its_history_says_so(
    ends: list[int], mark: int, stands: int, promoted: bool
) -> None:
    """Two histories as byte strings, the second sharing what lies below the join with the first."""
    first, join = [("first", at) for at in range(ends[0] + 1)], min(ends[0], ends[1])
    second = first[:join] + [("second", at) for at in range(join, 31)]
    held = (second if promoted else first)[: stands + 1]
    stands = len(held) - 1
    place = Place("h2", stands, "h1", join) if promoted else Place("h1", stands)
    says = applied(place, Marker(2, "h1", mark))
    has = mark < len(first) and first[mark] in held
    assert not says or has or mark >= len(first)
    assert says == (stands >= mark and (not promoted or mark < join))
    assert not applied(Place("h3", stands, "h2", stands), Marker(2, "h1", mark))
    assert not applied(Place("", stands), Marker(2, "", mark)) and not applied(place, Marker(2, "h1", -1))


@given(st.integers(0, 100_000_000), st.floats(0, 0.1), st.floats(-1, 1), st.floats(-1, 1))
def test_a_term_ends_there_before_it_ends_here(term: int, drift: float, there: float, here: float) -> None:
    passed = term / (1 + there * drift)  # by a perfect clock
    assert passed * (1 + here * drift) <= max_elapsed_us(term, drift) + 1e-6 * term


def test_a_version_is_drained_by_a_word_that_was_sent_late_enough_or_by_time() -> None:
    ledger = Ledger(0.0, 5_000, 1_000)
    ledger.began(0)  # what another granted until then ends after 1_001, and what was begun then after 5_001 more
    assert not ledger.drained(1, 6_001) and ledger.drained(1, 6_002)
    now = 100_000
    assert ledger.record_grant("n", 10, 10, (1, 2), 1_000, now)
    ledger.record_status("n", 10, 9, (), now + 100)
    assert ledger.record_grant("n", 10, 11, (2,), 1_000, now + 100)
    ledger.record_status("n", 10, 10, (), now + 200)  # it serves by the answer that had it
    assert not ledger.drained(1, now + 201)
    ledger.record_status("n", 7, 99, (), now + 210)  # another process
    assert not ledger.drained(1, now + 211)
    ledger.record_status("n", 10, 11, (1,), now + 220)  # it begins none, and has some out
    assert not ledger.drained(1, now + 221) and not ledger.drained(1, now + 6_001)
    ledger.record_status("n", 10, 11, (), now + 230)  # within its term
    assert ledger.drained(1, now + 231) and not ledger.drained(2, now + 231)
    assert ledger.record_grant("n", 10, 9, (1,), 1_000, now + 240)  # which it will not take
    assert not ledger.drained(1, now + 241)
    ledger.record_status("n", 10, 11, (), now + 250)
    assert ledger.drained(1, now + 251)
    assert ledger.record_grant("n", 10, 12, (1, 2), 1_000, now + 300)
    ledger.record_status("n", 10, 11, (), now + 310)
    assert not ledger.drained(1, now + 6_301) and ledger.drained(1, now + 6_302)  # silent for term and deadline
    assert len(ledger) == 1


def sequencer(now: int = 0, lease: int = 3_000_000) -> Sequencer:
    """One that has claimed its lease and knows that nothing was ever changed."""
    one = Sequencer("n", ("a", "b"), 1, 0.01, 1_000_000, 7)
    one.began(4, now)
    until = now + lease
    asked = [effect for effect in one.tick(until, now) if isinstance(effect, f.Read)]
    assert [effect.key for effect in asked][:2] == [STATE, PLAN]
    out: list[f.Effect] = []
    for effect in asked:
        assert isinstance(one.adopt("m", f.Adopt(1, 0), until, now)[0], f.Tell)
        told = one.adopt("m", f.Adopt(1, 0), until, now)
        assert told == [f.Tell("m", f.NotSequencer(1))]  # not before it has claimed
        out += one.answer(f.Answer(effect.ask, effect.key, "found", 0, b"", now), until, now)
    claim = [effect for effect in out if isinstance(effect, f.Change)]
    assert [effect.key for effect in claim] == [STATE] and not any(isinstance(effect, f.RunStep) for effect in out)
    one.answer(f.Answer(claim[0].ask, STATE, "changed", 1, claim[0].value, now), until, now)
    return one


@pytest.mark.parametrize("left", [0, 1, 3_000_000])
def test_a_whole_term_is_granted_while_the_lease_is_here(left: int) -> None:
    one = sequencer()
    told = one.adopt("m", f.Adopt(3, 0), 1_000_000 + left, 1_000_000)[0]
    assert isinstance(told, f.Tell)
    if not left:
        assert told.message == f.NotSequencer(3)
        return
    assert isinstance(told.message, f.Adopted) and told.message.fence == 4 and told.message.versions == (1,)
    assert told.message.term_us == VERSION_TERM_US <= MAX_TERM_US
    one.ended()
    assert one.adopt("m", f.Adopt(4, 0), FAR, 1_100_000) == [f.Tell("m", f.NotSequencer(4))]


def test_a_node_takes_each_answer_once_and_never_an_older_one() -> None:
    one = Adopter("n", 3)
    assert one.poll("", (), 1_000) == [] and not one.unanswered
    asks = []
    for at in range(40):
        sent = one.poll("s", (1,), 1_000_000 * (at + 1))[0]
        assert isinstance(sent, f.Tell) and isinstance(sent.message, f.Adopt)
        asks.append(sent.message.ask)
    assert one.unanswered and len(one._asked) == MAX_QUESTIONS and sent.message.since == asks[0]

    def answer(ask: int, fence: int = 5, term: int = 700, versions: tuple[int, ...] = (1, 2)) -> list[f.Effect]:
        offers = (ShardOffer("a", (1,), (Marker(2, "h", 9),)),)
        return one.receive("s", f.Adopted(ask, fence, term, versions, versions[-1], offers), 99_000_000)

    assert answer(asks[0]) == [] and answer(7) == [] and answer(asks[-1], versions=(1, 3)) == []
    assert answer(asks[-1], term=0) == [] and answer(asks[-1], versions=(1, 2, 3)) == []
    news = answer(asks[-3])
    # From when it asked.
    assert news == [f.Tuned(Served(5, 38_000_700, (1, 2), 2, (("a", Marker(2, "h", 9)),), (("a", (1,)),)))]
    assert not one.unanswered and answer(asks[-3]) == [] and answer(asks[-4]) == []
    assert answer(asks[-1], fence=4) == [] and answer(asks[-1], fence=6) != [] and answer(asks[-2], fence=6) == []
    one.poll("s", (), 99_000_000)
    assert one.receive("s", f.NotSequencer(asks[-1] + 1), 99_000_000) == [] and one.unanswered


@pytest.mark.parametrize(
    ("client", "version"),
    [("app;layout=2", 2), ("app;layout=02;x=1", 2), ("app;layout=", 0), ("app;layout=x", 0), ("app", 0), ("", 0)]
    + [("app;layout=-2", 0), ("app;layout=²", 0), ("app;layout=99999999", 0), ("a;layout=1;layout=3", 3)],
)
def test_a_clients_word(client: str, version: int) -> None:
    assert version_in_name(client, ";layout=") == version


def test_a_request_has_a_version_that_is_served_now_or_a_time_to_come_back() -> None:
    one = Layouts(";layout=", 5)
    assert 0 < one.layout("app", 0, 0).back_us <= 600_000 and not one.offered("a", 1)
    one.hear(Served(1, 1_000, (1, 2), 1, (("a", Marker(2, "h", 9)),), (("a", (1, 2)), ("b", (1,)))))
    assert one.layout("app", 0, 999) == Layout(1) and one.layout("app", 2, 999) == Layout(2)
    assert one.layout("app;layout=2", 1, 999) == Layout(2)
    backs = {one.layout("app;layout=3", 1, 999).back_us for _ in range(50)}
    assert len(backs) > 40 and min(backs) >= 500_000 and max(backs) <= 1_500_000
    assert one.layout("app", 0, 1_000).back_us > 0
    assert one.marker("a", 2) == Marker(2, "h", 9) and one.marker("a", 1) is None and one.marker("b", 1) is None
    nowhere = one.marker("b", 2)
    assert nowhere is not None and not applied(Place("h", NEVER_US, "", -1), nowhere) and not one.offered("b", 2)
    assert not one.offered("new", 2) and not one.offered("a", 3)  # a bank of which nothing is known
    one.hear(Served(1, 2_000, (2,), 2))
    assert one.offered("new", 2) and one.marker("new", 2) is None


def test_a_word_is_answered_in_words() -> None:
    one = Sequencer("n", ("a", "b"), 1, 0.01, 1_000_000, 7)

    def say(effects: list[f.Effect], known: state.State, want: bytes = b"", how: str = "changed") -> str:
        while not isinstance(effects[0], f.Replied):
            more: list[f.Effect] = []
            for effect in effects:
                if isinstance(effect, f.Read):
                    value = state.encode(known) if effect.key == STATE else want
                    more += one.answer(f.Answer(effect.ask, effect.key, "found", 3, value, 0), 0, 0)
                elif isinstance(effect, f.Change):
                    assert (effect.key, effect.fence) == (PLAN, 3) and plan.decode_wanted(effect.value) is not None
                    more += one.answer(f.Answer(effect.ask, PLAN, how, 4, effect.value, 0), 0, 0)
            effects = more
        return effects[0].text

    text, name = msgspec.json.encode(GOOD), plan.name_of(GOOD)
    idle, shards = state.first(1), {"a": state.Shard(), "b": state.Shard()}
    busy = msgspec.structs.replace(idle, phase="moved", new=2, served=(1, 2), plan=name, shards=shards)
    want = plan.encode_wanted("go", name, GOOD)
    assert say(one.propose(1, text, 0), idle).startswith(f"plan {name} to version 2 is written")
    assert say(one.propose(1, text, 0), idle, how="differs").startswith("refused: another word")
    assert "may have been written or not" in say(one.propose(1, text, 0), idle, how="unknown")
    assert say(one.propose(1, text, 0), busy).startswith("base: expected")
    assert say(one.propose(1, b"{", 0), idle).startswith("top level: expected JSON")
    assert say(one.back(1, 0), idle).startswith("nothing to back") and say(one.back(1, 0), busy, want)[:7] == "written"
    late = msgspec.structs.replace(busy, phase="contracting", served=(2,), default=2)
    assert say(one.back(1, 0), late, want).startswith("refused: a contract was begun")
    assert say(one.resume(1, 0), idle, want) == "written: the plan is begun"
    assert say(one.resume(1, 0), busy, want) == "written: on to version 2"
    assert say(one.status(1, 0), busy, want).splitlines()[1] == f"wanted: go, plan {name}"
    for ticket in range(MAX_REQUESTS):
        assert len(one.status(ticket, 0)) == 2
    assert isinstance(one.status(9, 0)[0], f.Replied)
    assert len(one.tick(0, 10_000_000)) == MAX_REQUESTS and one.due_us == NEVER_US


def test_a_step_is_tried_again_as_soon_as_its_bank_is_there() -> None:
    shards = {"a": state.Shard((state.Step("expand", 2, 1),))}
    one, known = BankTasks(5), msgspec.structs.replace(state.first(1), phase="expanding", new=2, shards=shards)

    def work(now: int) -> f.AskMarker | f.RunStep | None:
        out = one.work(known, lambda bank, step: (), now)
        assert all(isinstance(effect, f.AskMarker | f.RunStep) for effect in out) and len(out) <= 1
        return out[0] if out else None  # type: ignore[return-value]

    def look(seen: bool, now: int) -> None:
        asked = work(now)
        assert isinstance(asked, f.AskMarker) and one.ended(asked.ask, seen, False, now) == ("a", 0)

    now = 10_000_000
    look(True, now)
    hangs = work(now)
    assert isinstance(hangs, f.RunStep) and work(now + 20_000_000) is None
    one.retry_now("a")  # another primary
    now += 20_000_000
    look(True, now)
    again = work(now)
    assert isinstance(again, f.RunStep) and again.step == hangs.step
    assert one.ended(hangs.ask, False, False, now) is None  # it is not waited for any more
    for tries in range(9):  # refused: it waits longer and longer, though the marker is seen
        assert one.ended(again.ask, False, False, now) == ("a", 1)
        waited = now
        while not isinstance(again := work(now), f.RunStep):
            if again is not None:
                one.ended(again.ask, True, False, now)
            now += 10_000
        assert now - waited >= min(MAX_RETRY_US, FIRST_RETRY_US << tries) // 2
    assert one.ended(again.ask, False, False, now) == ("a", 1)
    now += 1_000_000
    look(False, now)
    assert work(now) is None
    now += 1_000_000
    look(True, now)  # it was out of reach, and is there
    assert isinstance(work(now), f.RunStep)


def test_nonsense_raises_nothing_and_changes_nothing() -> None:
    random = Random(3)
    one = sequencer()
    for at in range(3_000):
        now, until = at * 40_000, at * 40_000 + random.choice((0, 3_000_000))
        value = random.choice((b"", b"\x90", random.randbytes(9), plan.encode_wanted("go", "x", None), b"[" * 5_000))
        how, number = random.choice(("found", "changed", "differs", "unknown", "done", "?")), random.randint(-9, 60)
        for effect in one.tick(until, now):
            assert not isinstance(effect, f.RunStep | f.Change)
        key = random.choice((STATE, PLAN, "versions/run/0", "versions/run/1", "x"))
        if key != STATE:
            one.answer(f.Answer(number, key, how, number, value, 0), until, now)
        one.ran(number, how, "h", number, until, now)
        one.marked(number, number, "", number, until, now)
        one.adopt("m", f.Adopt(number, number, (number, -1, 2**70), number, number), until, now)
        one.failed_over("zz", until, now)
    assert state.decode(b"\x93") is None and state.decode(b"[" * 9) is None
