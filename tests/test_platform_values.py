"""The platform gateway's parts without I/O: statements, answers, open requests, the configuration, the list."""

import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink import interface as api
from oatlink.interface import Outcome, Report, Role, RosterKind
from oatlink.platform import config, discovery
from oatlink.platform import requests as req
from oatlink.platform.clients.pipeline import SLACK_US
from oatlink.platform.reply import Answer, InvalidReplyError, ReplyReader, parse_load_report
from oatlink.platform.statement import Statement, StatementError, parse
from oatlink.protocols import pgwire as pg
from oatlink.rules import Router
from tests.conftest import POST, SETTINGS, VIEW, member
from tests.test_adapter import OPTIONS

CLASSES = {rule.name: rule for rule in (VIEW, POST)}
READ = b"/* id=9b1f,c=view,d=480,cluster=2,r=1 */ SELECT content FROM kv WHERE name = '7f3a'"
WRITE = (
    b"/* id=9b1f,c=post,d=480,k=5c0f,cluster=2 */ "
    b"INSERT INTO kv (name, content) VALUES ('7f3a', '\\x9f03') RETURNING content"
)


def read(text: bytes) -> Statement:
    return parse(text, CLASSES, {1, 2})


# ---- Statements ----


def test_a_statement_is_a_request_and_only_its_wait_is_rewritten() -> None:
    one = read(READ)
    assert (one.id, one.request_class, one.wait_ms, one.group, one.session) == (b"9b1f", VIEW, 480, 2, "7f3a")
    assert one.with_wait(7) == READ.replace(b"d=480", b"d=7")
    assert read(WRITE).with_wait(1234) == WRITE.replace(b"d=480", b"d=1234")
    odd = READ.replace(b"id=9b1f", b"id=d.480").replace(b"'7f3a'", b"', d=480,d=1'")
    assert read(odd).with_wait(3) == odd.replace(b",d=480,cluster", b",d=3,cluster")
    assert read(READ.replace(b"r=1", b"after=1767225600123")).after_ms == 1767225600123
    assert one.after_ms is None


@pytest.mark.parametrize(
    ("text", "names"),
    [
        (READ[:-1], "expected /"),
        (READ + b"; DROP TABLE kv", "expected /"),
        (READ + b";", "expected /"),
        (b"SELECT content FROM kv WHERE name = 'a'", "expected /"),
        (READ.replace(b"'7f3a'", b"'a'' OR 1=1'"), "expected /"),
        (READ.replace(b"'7f3a'", b"'" + b"a" * 300 + b"'"), "expected /"),
        (READ.replace(b"id=9b1f,", b""), "id: "),
        (READ.replace(b"c=view", b"c=nothing"), "c: "),
        (READ.replace(b"d=480", b"d=soon"), "d: "),
        (READ.replace(b"d=480", b"d=-480"), "d: "),
        (READ.replace(b"d=480", b"d=0"), "d: "),
        (READ.replace(b"d=480", b"d=999999999999"), "d: "),
        (READ.replace(b"d=480", b"d=480,d=480"), "d: "),
        (READ.replace(b"cluster=2", b"cluster=x"), "cluster: "),
        (READ.replace(b"cluster=2", b"cluster=77"), "cluster: "),
        (READ.replace(b"r=1", b"after=yesterday"), "after: "),
        (READ.replace(b"c=view", b"c=post"), "c: post expects an INSERT"),
        (WRITE.replace(b"c=post", b"c=view"), "c: view expects a SELECT"),
        (WRITE.replace(b"k=5c0f,", b""), "k: "),
        (WRITE.replace(b"9f03", b"9f0"), "expected /"),
        (WRITE.replace(b"9f03", b"00" * 65_537), "65536 bytes"),
        (READ.replace(b"c=view", b"c=vi\xff"), "expected /"),
    ],
)
def test_what_is_not_in_the_form_is_one_clear_mistake(text: bytes, names: str) -> None:
    with pytest.raises(StatementError) as problem:
        read(text)
    assert names in str(problem.value)
    assert problem.value.sqlstate not in ("53300", "57P03"), "a mistake is no refusal"


@given(
    st.binary(max_size=200)
    | st.sampled_from([READ, WRITE]).flatmap(
        lambda whole: st.tuples(st.integers(0, len(whole)), st.binary(max_size=3)).map(
            lambda cut: whole[: cut[0]] + cut[1] + whole[cut[0] :]
        )
    )
)
def test_no_bytes_are_more_than_a_mistake(text: bytes) -> None:
    try:
        one = read(text)
    except StatementError:
        return
    assert one.with_wait(one.wait_ms) == text or b"d=0" in text


# ---- Answers ----

COLUMNS = pg.make_columns((b"content",), (17,)).encode()
ROW = pg.make_row((b"\x9f\x03",)).encode()
DONE = pg.make_complete(b"SELECT 1").encode()
READY = pg.make_ready().encode()
GOOD = (
    COLUMNS
    + ROW
    + DONE
    + pg.make_status("recovery", "on").encode()
    + pg.make_status("lsn_ms", "1767225600123").encode()
)
GREETING = pg.make_authentication(0).encode() + pg.Message(b"K", b"\0" * 8).encode() + READY


def greeted() -> ReplyReader:
    reader = ReplyReader()
    assert reader.feed(GREETING) is not None
    return reader


@given(st.lists(st.integers(1, len(GOOD + READY)), max_size=6))
def test_an_answer_is_the_same_at_any_split(cuts: list[int]) -> None:
    reader, whole, answers = greeted(), GOOD + READY, []
    for start, end in zip([0, *sorted(cuts)], [*sorted(cuts), len(whole)], strict=True):
        answers.append(reader.feed(whole[start:end]))
    (answer,) = [one for one in answers if one is not None]
    assert answer.outcome is Outcome.SERVED and answer.payload == COLUMNS + ROW + DONE
    assert (answer.value, answer.role(), answer.position_ms()) == (b"\x9f\x03", Role.REPLICA, 1767225600123)
    assert reader.feed(whole) is not None, "the next answer on the same connection"


@pytest.mark.parametrize(
    "spoilt",
    [
        ROW + DONE + READY,
        COLUMNS + DONE + READY,
        COLUMNS + ROW + ROW + DONE + READY,
        COLUMNS + ROW + READY,
        COLUMNS + COLUMNS + ROW + DONE + READY,
        DONE + COLUMNS + ROW + READY,
        pg.make_columns((b"a", b"b"), (17, 17)).encode() + pg.make_row((b"", b"")).encode() + DONE + READY,
        COLUMNS + pg.make_row((None,)).encode() + DONE + READY,
        COLUMNS + b"D\0\0\0\x0d\0\x01\0\0\0\x08abc" + DONE + READY,
        COLUMNS + b"D\xb2\xd0\x5e\0\0\x01",
        COLUMNS + b"D\xff\xff\xff\xff",
        COLUMNS + b"D\0\x7f\xff\xff\0\x01",
        b"\0\1\2noise",
        READY,
        GREETING,
        pg.make_status("a", "b").encode() * 100,
    ],
)
def test_a_spoilt_answer_is_none(spoilt: bytes) -> None:
    for size in (1, 3, len(spoilt)):
        reader = greeted()
        with pytest.raises(InvalidReplyError):
            for at in range(0, len(spoilt), size):
                assert reader.feed(spoilt[at : at + size]) is None


@pytest.mark.parametrize(
    ("sqlstate", "outcome"),
    [
        ("25006", Outcome.MISS),
        ("72000", Outcome.MISS),
        ("53300", Outcome.FULL),
        ("XX000", Outcome.ERROR),
        ("57P03", Outcome.ERROR),
        ("", Outcome.ERROR),
    ],
)
def test_errors_are_outcomes_by_the_platforms_table(sqlstate: str, outcome: Outcome) -> None:
    refused = pg.make_error(sqlstate, "no").encode()
    reader = greeted()
    assert reader.feed(refused) is None
    cut = reader.answer_at_close()
    answer = reader.feed(READY)
    assert cut is not None and answer is not None and cut.outcome is answer.outcome is outcome
    begun = greeted()
    assert begun.feed(COLUMNS) is None
    late = begun.feed(refused + READY)
    assert late is not None and late.outcome is Outcome.ERROR, "what had begun to answer has run"


def test_more_behind_a_good_answer_is_seen() -> None:
    reader = greeted()
    answer = reader.feed(GOOD + READY + GOOD)
    assert answer is not None and answer.outcome is Outcome.SERVED and reader.pending == len(GOOD)


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (b"x0=1767225600.25,x1=1", Report(1767225600250000, Role.PRIMARY)),
        (b"x0=1.5,x1=0", Report(1500000, Role.REPLICA)),
        (b"x1=0", Report(None, Role.REPLICA)),
        (b"x0=nan,x1=1", None),
        (b"x0=1e300", None),
        (b"x0=-1", None),
        (b"noise", None),
        (b"\xff=\xff", None),
    ],
)
def test_a_report_that_cannot_be_read_is_none(text: bytes, report: Report | None) -> None:
    assert parse_load_report(text) == report


def test_a_position_that_cannot_be_read_is_none() -> None:
    for text in ("", "-5", "1e9", "９", "9" * 30, "0"):
        assert Answer(Outcome.SERVED, parameters={"lsn_ms": text}).position_ms() is None


# ---- Open requests ----


class Asked:
    def __init__(self) -> None:
        self.finals: list[req.Final] = []

    def answered(self, final: req.Final) -> None:
        self.finals.append(final)


class World:
    """Requests around a Router, with servers that do anything in any order."""

    def __init__(self, seed: int, decider: Any = None) -> None:
        self.draw = random.Random(seed)
        self.now = 100_000_000
        self.book = req.Requests(decider or Router(replace(SETTINGS, seed=seed)))
        self.out: dict[int, req.Attempt] = {}
        self.slow = 0.0 if decider else 0.2  # of the attempts wait for a connection
        self.told: dict[int, int] = {}
        self.owners: list[Asked] = []
        self.open: list[req.Open] = []
        self.checks: list[int] = []
        self.defects: list[str] = []
        self.do(self.book.handle(api.Start(), self.now))
        entries = tuple(member(number) for number in (1, 2, 3))
        self.do(self.book.handle(api.Roster(RosterKind.WHOLE, entries), self.now))

    def do(self, done: list[req.Do]) -> None:
        for one in done:
            match one:
                case req.Launch():
                    assert not one.attempt.open.over, "a send after the final answer"
                    one.attempt.written = self.draw.random() >= self.slow
                    self.out[id(one.attempt)] = one.attempt
                case req.Abandon():
                    self.out.pop(id(one.attempt), None)
                case req.Tell():
                    one.owner.answered(one.final)
                case api.Check():
                    self.checks.append(one.member)
                case req.Defect():
                    self.defects.append(one.text)

    def ask(self, text: bytes, number: int) -> None:
        statement = read(text.replace(b"9b1f", b"%04x" % number).replace(b"cluster=2", b"cluster=1"))
        self.owners.append(Asked())
        one, done = self.book.arrived(statement, self.owners[-1], statement.wait_ms * 1000, self.now, None)
        self.open.append(one)
        self.do(done)

    def step(self, number: int) -> None:
        self.now += self.draw.randrange(30_000)
        self.do(self.book.expire(self.now))
        match self.draw.randrange(7):
            case 0 | 1:
                self.ask(self.draw.choice([READ, WRITE]), number)
            case 2 | 3 if self.out:
                attempt = self.out.pop(self.draw.choice(list(self.out)))
                if not attempt.written and self.book.may_write(attempt, self.now):
                    assert not attempt.open.over and not attempt.ended, "written for nobody"
                    attempt.written = True
                    self.out[id(attempt)] = attempt
                    return
                if not attempt.written:
                    self.do(self.book.ended(attempt, Outcome.WITHDRAWN, self.now, self.now))
                    return
                outcome = self.draw.choice([*Outcome][:7] + [Outcome.SERVED] * 6 + [Outcome.MISS])
                role = Role.PRIMARY if attempt.member == 1 else Role.REPLICA
                self.do(self.book.ended(attempt, outcome, self.now, self.now, b"value", Report(None, role)))
                assert self.book.ended(attempt, Outcome.SERVED, self.now, self.now, b"twice") == []
            case 4 if self.checks:
                numbered = self.checks.pop()
                role = Role.PRIMARY if numbered == 1 else Role.REPLICA
                event = api.Checked(numbered, Outcome.SERVED, 2_000, Report(self.now, role))
                self.do(self.book.handle(event, self.now))
            case 6 if self.open:
                self.book.hurry(self.draw.choice(self.open), SLACK_US)
            case 5 if self.open:
                gone = self.draw.choice(self.open)
                self.do(self.book.departed(gone, self.now))


@pytest.mark.parametrize("seed", range(12))
def test_each_request_has_one_answer_whatever_happens(seed: int) -> None:
    world = World(seed)
    for number in range(400):
        world.step(number)
    world.now += 10_000_000
    world.do(world.book.expire(world.now))
    left = sum(not owner.finals for owner in world.owners)
    assert all(len(owner.finals) <= 1 for owner in world.owners)
    assert left <= sum(one.over for one in world.open) and all(one.over for one in world.open)
    assert sum(bool(owner.finals) for owner in world.owners) > 30
    assert len(world.book) == 0 and not world.book._open and world.book.next_end_us() is None, "nothing is kept"
    assert not any(attempt for attempt in world.out.values() if not attempt.ended)


class Scripted:
    """A decider that says what it is told to."""

    def __init__(self, *answers: list[api.Action]) -> None:
        self.answers = list(answers)
        self.heard: list[api.Event] = []

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        self.heard.append(event)
        return self.answers.pop(0) if self.answers else []


def test_what_the_decider_leaves_unanswered_is_failed_at_its_deadline_and_logged() -> None:
    decider = Scripted([], [], [api.Send("1", 1)])
    world = World(1, decider)
    world.ask(READ, 1)
    world.now += 480_000
    world.do(world.book.expire(world.now))
    assert world.owners[0].finals == [req.FAILED] and len(world.defects) == 1 and not world.out
    assert any(isinstance(one, api.AttemptEnded) and one.outcome is Outcome.LATE for one in decider.heard)


def test_a_send_for_what_has_ended_is_never_carried_out() -> None:
    decider = Scripted([], [], [api.Fail("1"), api.Send("1", 1), api.Send("99", 1)])
    world = World(1, decider)
    world.ask(READ, 1)
    assert not world.out and world.owners[0].finals == [req.FAILED]
    ended = [one for one in decider.heard if isinstance(one, api.AttemptEnded)]
    assert [one.outcome for one in ended] == [Outcome.NOT_SENT] * 2


def test_a_cancelled_attempt_ends_once_and_its_late_answer_is_nobodys() -> None:
    decider = Scripted([], [], [api.Send("1", 1)], [api.Cancel("1", 0), api.Send("1", 2)])
    world = World(1, decider)
    world.ask(READ, 1)
    (first,) = world.out.values()
    world.do(world.book.handle(api.TimerFired("x"), world.now))
    assert first.ended and [one.member for one in world.out.values()] == [2]
    assert world.book.ended(first, Outcome.SERVED, world.now, world.now, b"late") == []
    assert world.owners[0].finals == []


def test_an_open_id_is_known_until_its_answer() -> None:
    world = World(1, Scripted([], [], [api.Send("1", 1)]))
    world.ask(READ, 1)
    assert world.book.is_open(b"0001") and not world.book.is_open(b"0002")
    world.do(world.book.departed(world.open[0], world.now))
    assert not world.book.is_open(b"0001"), "the same id may come again on a new connection"


def test_numbers_are_never_given_again_and_what_left_is_let_go() -> None:
    numbers = req.Numbers()
    first = [numbers.of(name) for name in ("a", "b", "a")]
    assert first == [1, 2, 1] and numbers.name(2) == "b"
    assert numbers.keep(lambda number: number != 1) == [1]
    assert numbers.of("a") == 3 and numbers.name(1) == "?"


# ---- Configuration ----


def written(place: Path, **changes: Any) -> dict[str, str]:
    text = {
        "name": "n0",
        "listen": "127.0.0.1:6432",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": OPTIONS,
    } | changes
    path = place / "config.json"
    path.write_text(json.dumps(text))
    return {"GW_CONFIG": str(path), "GW_DISCOVERY": "127.0.0.1:1"}


def test_a_configuration_is_read_and_the_file_goes_before_a_variable(tmp_path: Path) -> None:
    told = config.read(written(tmp_path))
    assert told.discovery == ("127.0.0.1", 8500) and told.settings.seed == 0x8C1F30D27A5BE964
    assert (told.dial_s, told.idle_s, told.limits.sockets) == (0.25, 15.0, 256)
    assert config.read(written(tmp_path, discovery="")).discovery == ("127.0.0.1", 1)


@pytest.mark.parametrize("discovery", ["ask", "push"])
def test_the_list_is_followed_whatever_the_settings_call_it_as_nobody_pushes_it(tmp_path: Path, discovery: str) -> None:
    told = config.read(written(tmp_path, settings=OPTIONS | {"Discovery": discovery}))
    assert api.FollowRoster() in Router(told.settings).handle(api.Start(), 0)


@pytest.mark.parametrize(
    ("changes", "names"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": "127.0.0.1:99999"}, "discovery"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"seed": "xyz"}, "settings"),
        ({"settings": {}}, "settings"),
        ({"settings": OPTIONS | {"Classes": []}}, "Classes"),
        ({"settings": OPTIONS | {"StepUs": 0}}, "step_us"),
        ({"fleet": {"node": "a"}}, "fleet: expected none, gateways share nothing"),
        ({"fleet": {"node": "a", "control": {"relays": 1}}}, "fleet: expected none, gateways share nothing"),
        ({"settings": OPTIONS | {"Fleet": {}}}, "settings.Fleet: expected none, gateways share nothing"),
    ],
)
def test_a_wrong_configuration_is_one_line_that_names_its_place(
    tmp_path: Path, changes: dict[str, Any], names: str
) -> None:
    with pytest.raises(config.ConfigError) as problem:
        config.read(written(tmp_path, **changes))
    assert names in str(problem.value) and "\n" not in str(problem.value)


def test_a_missing_or_broken_file_is_one_line(tmp_path: Path) -> None:
    for environment in ({}, {"GW_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(config.ConfigError, match="GW_CONFIG"):
            config.read(environment)
    environment = written(tmp_path)
    (tmp_path / "config.json").write_text('{"name": "n0", "sett')
    with pytest.raises(config.ConfigError, match="config.json"):
        config.read(environment)


# ---- The list ----

ENTRY = {
    "id": "s-1",
    "addr": "127.0.0.1:6432",
    "zone": "a",
    "kind": "m",
    "cell": 3,
    "state": "in_service",
    "weight": 1.0,
    "started_ms": 5,
    "recovery": "off",
}


def test_a_list_is_read_and_a_bad_entry_harms_only_itself() -> None:
    bad = [
        ENTRY | {"id": "s-2", "state": "asleep"},
        ENTRY | {"id": "s-3", "addr": "here"},
        {"id": 7},
        7,
        ENTRY | {"id": "s-4", "started_ms": -1},
        ENTRY | {"id": "s-5", "cell": "x"},
    ]
    text = json.dumps({"version": 41, "full": True, "servers": [*bad, ENTRY]}).encode()
    lines: list[str] = []
    news = discovery.read(text, False, lines.append)
    assert (news.version, news.kind) == (41, RosterKind.WHOLE) and len(lines) == len(bad)
    assert news.servers == (discovery.Server("s-1", ("127.0.0.1", 6432), "a", "m", 3, api.Listing.READY, True, 5),)
    assert news.unread == ("s-2", "s-3", "s-4", "s-5"), "they are there, whatever else is said of them"
    gone = {"id": "s-9", "state": "terminated"}
    changes = discovery.read(json.dumps({"version": 42, "servers": [gone]}).encode(), False, lines.append)
    assert changes.kind is RosterKind.CHANGES and changes.servers[0].listing is api.Listing.GONE


@given(st.binary(max_size=60))
def test_a_list_that_cannot_be_read_is_a_failed_call(text: bytes) -> None:
    with pytest.raises(discovery.ListError):
        discovery.read(text, False, lambda line: None)
