"""Layout versions over shards: what is refused, which invariants hold, and that each safeguard matters."""

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
        seen += world.counts
        seen["versions"] += world.current_state().old - 1
        seen["failovers"] += sum(bank.failovers for bank in world.banks.values())
    least = {"served": 10_000, "versions": 10, "undoing": 8, "failovers": 200}
    least |= {"reigns": 100, "failed": 5, "unknown": 20}
    assert all(seen[what] >= number for what, number in least.items()), seen


@pytest.mark.parametrize("name", sabotage.MUTATIONS)
def test_each_guard_that_is_taken_out_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    (scenario, seed), apply_mutation = sabotage.MUTATIONS[name]
    scenario(seed)  # passes with the safeguard
    apply_mutation(monkeypatch)
    with pytest.raises(Violation):
        scenario(seed)


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
    mistakes = list(plan.check(wrong, ("a", "b"), state.first(1)))
    assert len(mistakes) == 1 and mistakes[0].startswith(line), mistakes


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
def test_text_that_is_no_plan_gives_one_line_of_what_is_wrong(text: bytes, line: str) -> None:
    mistake = plan.parse(text)
    assert isinstance(mistake, str) and mistake.startswith(line), mistake


def test_a_marker_lets_a_step_run_once_in_its_turn() -> None:
    value: bytes | None = None
    assert marker.decide(value, 5, 0) == "run" and marker.decide(value, 5, 3) == "behind"
    value = marker.encode(3, 2, True)
    assert marker.completed_step(value) == 3
    assert marker.decide(value, 3, 0) == "done" and marker.decide(value, 5, 3) == "run"
    value = marker.encode(5, 2, False)  # begun: one of its commands may have failed
    assert marker.completed_step(value) == 4 and marker.decide(value, 5, 3) == "run"
    assert marker.decide(value, 4, 0) == marker.decide(value, 3, 0) == "fenced"
    assert marker.decide(value, 7, 5) == "behind"
    for strange in (b"", b"5", b"5 2 gone", b"-5 2 done", b"9" * 40 + b" 2 done", b"\xff"):
        assert marker.completed_step(strange) == -1 and marker.decide(strange, 5, 0) == "failed"


@given(st.lists(st.integers(0, 30), min_size=2, max_size=2), st.integers(0, 30), st.integers(0, 30), st.booleans())
def test_a_member_has_a_marker_only_where_its_history_says_so(
    ends: list[int], mark: int, stands: int, promoted: bool
) -> None:
    """Two histories as byte strings; below the join the second is the same as the first."""
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
    passed = term / (1 + there * drift)  # in true time
    assert passed * (1 + here * drift) <= max_elapsed_us(term, drift) + 1e-6 * term


def test_a_version_is_drained_by_a_word_that_was_sent_late_enough_or_by_time() -> None:
    ledger = Ledger(0.0, 5_000, 1_000)
    ledger.began(0)  # terms that another granted before end after 1_001, and requests begun in them after 5_001 more
    assert not ledger.drained(1, 6_001) and ledger.drained(1, 6_002)
    now = 100_000
    assert ledger.record_grant("n", 10, 10, (1, 2), 1_000, now)
    ledger.record_status("n", 10, 9, (), now + 100)
    assert ledger.record_grant("n", 10, 11, (2,), 1_000, now + 100)
    ledger.record_status("n", 10, 10, (), now + 200)  # it serves by the answer with the version
    assert not ledger.drained(1, now + 201)
    ledger.record_status("n", 7, 99, (), now + 210)  # a report of another process
    assert not ledger.drained(1, now + 211)
    ledger.record_status("n", 10, 11, (1,), now + 220)  # it begins no request, and has unfinished ones
    assert not ledger.drained(1, now + 221) and not ledger.drained(1, now + 6_001)
    ledger.record_status("n", 10, 11, (), now + 230)  # sooner than its term ends
    assert ledger.drained(1, now + 231) and not ledger.drained(2, now + 231)
    assert ledger.record_grant("n", 10, 9, (1,), 1_000, now + 240)  # an answer that the node will not accept
    assert not ledger.drained(1, now + 241)
    ledger.record_status("n", 10, 11, (), now + 250)
    assert ledger.drained(1, now + 251)
    assert ledger.record_grant("n", 10, 12, (1, 2), 1_000, now + 300)
    ledger.record_status("n", 10, 11, (), now + 310)
    assert not ledger.drained(1, now + 6_301) and ledger.drained(1, now + 6_302)  # silent for the term and the deadline
    assert len(ledger) == 1


def sequencer(now: int = 0, lease: int = 3_000_000) -> Sequencer:
    """A sequencer that has claimed its lease and read registers that were never changed."""
    claimed = Sequencer("n", ("a", "b"), 1, 0.01, 1_000_000, 7)
    claimed.began(4, now)
    until = now + lease
    reads = [effect for effect in claimed.tick(until, now) if isinstance(effect, f.Read)]
    assert [effect.key for effect in reads][:2] == [STATE, PLAN]
    effects: list[f.Effect] = []
    for effect in reads:
        assert isinstance(claimed.adopt("m", f.Adopt(1, 0), until, now)[0], f.Tell)
        refusal = claimed.adopt("m", f.Adopt(1, 0), until, now)
        assert refusal == [f.Tell("m", f.NotSequencer(1))]  # it grants nothing before it has claimed the lease
        effects += claimed.answer(f.Answer(effect.ask, effect.key, "found", 0, b"", now), until, now)
    claim = [effect for effect in effects if isinstance(effect, f.Change)]
    assert [effect.key for effect in claim] == [STATE] and not any(isinstance(effect, f.RunStep) for effect in effects)
    claimed.answer(f.Answer(claim[0].ask, STATE, "changed", 1, claim[0].value, now), until, now)
    return claimed


@pytest.mark.parametrize("left", [0, 1, 3_000_000])
def test_a_whole_term_is_granted_while_the_lease_is_here(left: int) -> None:
    claimed = sequencer()
    answer = claimed.adopt("m", f.Adopt(3, 0), 1_000_000 + left, 1_000_000)[0]
    assert isinstance(answer, f.Tell)
    if not left:
        assert answer.message == f.NotSequencer(3)
        return
    assert isinstance(answer.message, f.Adopted) and answer.message.fence == 4 and answer.message.versions == (1,)
    assert answer.message.term_us == VERSION_TERM_US <= MAX_TERM_US
    claimed.ended()
    assert claimed.adopt("m", f.Adopt(4, 0), FAR, 1_100_000) == [f.Tell("m", f.NotSequencer(4))]


def test_a_node_takes_each_answer_once_and_never_an_older_one() -> None:
    adopter = Adopter("n", 3)
    assert adopter.poll("", (), 1_000) == [] and not adopter.unanswered
    asks = []
    for at in range(40):
        sent = adopter.poll("s", (1,), 1_000_000 * (at + 1))[0]
        assert isinstance(sent, f.Tell) and isinstance(sent.message, f.Adopt)
        asks.append(sent.message.ask)
    assert adopter.unanswered and len(adopter._asked) == MAX_QUESTIONS and sent.message.since == asks[0]

    def answer(ask: int, fence: int = 5, term: int = 700, versions: tuple[int, ...] = (1, 2)) -> list[f.Effect]:
        offers = (ShardOffer("a", (1,), (Marker(2, "h", 9),)),)
        return adopter.receive("s", f.Adopted(ask, fence, term, versions, versions[-1], offers), 99_000_000)

    assert answer(asks[0]) == [] and answer(7) == [] and answer(asks[-1], versions=(1, 3)) == []
    assert answer(asks[-1], term=0) == [] and answer(asks[-1], versions=(1, 2, 3)) == []
    news = answer(asks[-3])
    # The term counts from when it asked.
    assert news == [f.Tuned(Served(5, 38_000_700, (1, 2), 2, (("a", Marker(2, "h", 9)),), (("a", (1,)),)))]
    assert not adopter.unanswered and answer(asks[-3]) == [] and answer(asks[-4]) == []
    assert answer(asks[-1], fence=4) == [] and answer(asks[-1], fence=6) != [] and answer(asks[-2], fence=6) == []
    adopter.poll("s", (), 99_000_000)
    assert adopter.receive("s", f.NotSequencer(asks[-1] + 1), 99_000_000) == [] and adopter.unanswered


@pytest.mark.parametrize(
    ("client", "version"),
    [("app;layout=2", 2), ("app;layout=02;x=1", 2), ("app;layout=", 0), ("app;layout=x", 0), ("app", 0), ("", 0)]
    + [("app;layout=-2", 0), ("app;layout=²", 0), ("app;layout=99999999", 0), ("a;layout=1;layout=3", 3)],
)
def test_the_version_that_a_clients_name_asks_for(client: str, version: int) -> None:
    assert version_in_name(client, ";layout=") == version


def test_a_request_has_a_version_that_is_served_now_or_a_time_to_come_back() -> None:
    layouts = Layouts(";layout=", 5)
    assert 0 < layouts.layout("app", 0, 0).back_us <= 600_000 and not layouts.offered("a", 1)
    layouts.hear(Served(1, 1_000, (1, 2), 1, (("a", Marker(2, "h", 9)),), (("a", (1, 2)), ("b", (1,)))))
    assert layouts.layout("app", 0, 999) == Layout(1) and layouts.layout("app", 2, 999) == Layout(2)
    assert layouts.layout("app;layout=2", 1, 999) == Layout(2)
    backs = {layouts.layout("app;layout=3", 1, 999).back_us for _ in range(50)}
    assert len(backs) > 40 and min(backs) >= 500_000 and max(backs) <= 1_500_000
    assert layouts.layout("app", 0, 1_000).back_us > 0
    assert layouts.marker("a", 2) == Marker(2, "h", 9)
    assert layouts.marker("a", 1) is None and layouts.marker("b", 1) is None
    nowhere = layouts.marker("b", 2)
    assert nowhere is not None and not applied(Place("h", NEVER_US, "", -1), nowhere) and not layouts.offered("b", 2)
    assert not layouts.offered("new", 2) and not layouts.offered("a", 3)  # a bank that the news does not name
    layouts.hear(Served(1, 2_000, (2,), 2))
    assert layouts.offered("new", 2) and layouts.marker("new", 2) is None


def test_each_request_of_an_operator_gets_a_reply_in_plain_text() -> None:
    sequencer = Sequencer("n", ("a", "b"), 1, 0.01, 1_000_000, 7)

    def reply_to(effects: list[f.Effect], known: state.State, want: bytes = b"", how: str = "changed") -> str:
        while not isinstance(effects[0], f.Replied):
            more: list[f.Effect] = []
            for effect in effects:
                if isinstance(effect, f.Read):
                    value = state.encode(known) if effect.key == STATE else want
                    more += sequencer.answer(f.Answer(effect.ask, effect.key, "found", 3, value, 0), 0, 0)
                elif isinstance(effect, f.Change):
                    assert (effect.key, effect.fence) == (PLAN, 3) and plan.decode_wanted(effect.value) is not None
                    more += sequencer.answer(f.Answer(effect.ask, PLAN, how, 4, effect.value, 0), 0, 0)
            effects = more
        return effects[0].text

    text, name = msgspec.json.encode(GOOD), plan.name_of(GOOD)
    idle, shards = state.first(1), {"a": state.Shard(), "b": state.Shard()}
    busy = msgspec.structs.replace(idle, phase="moved", new=2, served=(1, 2), plan=name, shards=shards)
    want = plan.encode_wanted("go", name, GOOD)
    assert reply_to(sequencer.propose(1, text, 0), idle).startswith(f"plan {name} to version 2 is written")
    assert reply_to(sequencer.propose(1, text, 0), idle, how="differs").startswith("refused: another word")
    assert "may have been written or not" in reply_to(sequencer.propose(1, text, 0), idle, how="unknown")
    assert reply_to(sequencer.propose(1, text, 0), busy).startswith("base: expected")
    assert reply_to(sequencer.propose(1, b"{", 0), idle).startswith("top level: expected JSON")
    assert reply_to(sequencer.back(1, 0), idle).startswith("nothing to back")
    assert reply_to(sequencer.back(1, 0), busy, want)[:7] == "written"
    late = msgspec.structs.replace(busy, phase="contracting", served=(2,), default=2)
    assert reply_to(sequencer.back(1, 0), late, want).startswith("refused: a contract was begun")
    assert reply_to(sequencer.resume(1, 0), idle, want) == "written: the plan is begun"
    assert reply_to(sequencer.resume(1, 0), busy, want) == "written: on to version 2"
    assert reply_to(sequencer.status(1, 0), busy, want).splitlines()[1] == f"wanted: go, plan {name}"
    for ticket in range(MAX_REQUESTS):
        assert len(sequencer.status(ticket, 0)) == 2
    assert isinstance(sequencer.status(9, 0)[0], f.Replied)
    assert len(sequencer.tick(0, 10_000_000)) == MAX_REQUESTS and sequencer.due_us == NEVER_US


def test_a_step_is_tried_again_as_soon_as_its_bank_is_there() -> None:
    shards = {"a": state.Shard((state.Step("expand", 2, 1),))}
    tasks, known = BankTasks(5), msgspec.structs.replace(state.first(1), phase="expanding", new=2, shards=shards)

    def work(now: int) -> f.AskMarker | f.RunStep | None:
        out = tasks.work(known, lambda bank, step: (), now)
        assert all(isinstance(effect, f.AskMarker | f.RunStep) for effect in out) and len(out) <= 1
        return out[0] if out else None  # type: ignore[return-value]

    def check(seen: bool, now: int) -> None:
        asked = work(now)
        assert isinstance(asked, f.AskMarker) and tasks.ended(asked.ask, seen, False, now) == ("a", 0)

    now = 10_000_000
    check(True, now)
    hanging = work(now)
    assert isinstance(hanging, f.RunStep) and work(now + 20_000_000) is None
    tasks.retry_now("a")  # after a failover
    now += 20_000_000
    check(True, now)
    retried = work(now)
    assert isinstance(retried, f.RunStep) and retried.step == hanging.step
    assert tasks.ended(hanging.ask, False, False, now) is None  # it is no longer waited for
    for tries in range(9):  # refused: the wait grows, although the marker is read
        assert tasks.ended(retried.ask, False, False, now) == ("a", 1)
        waited = now
        while not isinstance(retried := work(now), f.RunStep):
            if retried is not None:
                tasks.ended(retried.ask, True, False, now)
            now += 10_000
        assert now - waited >= min(MAX_RETRY_US, FIRST_RETRY_US << tries) // 2
    assert tasks.ended(retried.ask, False, False, now) == ("a", 1)
    now += 1_000_000
    check(False, now)
    assert work(now) is None
    now += 1_000_000
    check(True, now)  # the bank was unreachable and answers again
    assert isinstance(work(now), f.RunStep)


def test_nonsense_raises_nothing_and_changes_nothing() -> None:
    random = Random(3)
    claimed = sequencer()
    for at in range(3_000):
        now, until = at * 40_000, at * 40_000 + random.choice((0, 3_000_000))
        value = random.choice((b"", b"\x90", random.randbytes(9), plan.encode_wanted("go", "x", None), b"[" * 5_000))
        how, number = random.choice(("found", "changed", "differs", "unknown", "done", "?")), random.randint(-9, 60)
        for effect in claimed.tick(until, now):
            assert not isinstance(effect, f.RunStep | f.Change)
        key = random.choice((STATE, PLAN, "versions/run/0", "versions/run/1", "x"))
        if key != STATE:
            claimed.answer(f.Answer(number, key, how, number, value, 0), until, now)
        claimed.ran(number, how, "h", number, until, now)
        claimed.marked(number, number, "", number, until, now)
        claimed.adopt("m", f.Adopt(number, number, (number, -1, 2**70), number, number), until, now)
        claimed.failed_over("zz", until, now)
    assert state.decode(b"\x93") is None and state.decode(b"[" * 9) is None
