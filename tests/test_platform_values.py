"""The platform gateway's modules without I/O: statements, answers, open requests, configuration, discovery's list."""

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


def parse_statement(text: bytes) -> Statement:
    return parse(text, CLASSES, {1, 2})


# ---- Statements ----


def test_a_statement_is_a_request_and_only_its_wait_is_rewritten() -> None:
    statement = parse_statement(READ)
    fields = (statement.id, statement.request_class, statement.wait_ms, statement.group, statement.session)
    assert fields == (b"9b1f", VIEW, 480, 2, "7f3a")
    assert statement.with_wait(7) == READ.replace(b"d=480", b"d=7")
    assert parse_statement(WRITE).with_wait(1234) == WRITE.replace(b"d=480", b"d=1234")
    decoys = READ.replace(b"id=9b1f", b"id=d.480").replace(b"'7f3a'", b"', d=480,d=1'")
    assert parse_statement(decoys).with_wait(3) == decoys.replace(b",d=480,cluster", b",d=3,cluster")
    assert parse_statement(READ.replace(b"r=1", b"after=1767225600123")).after_ms == 1767225600123
    assert statement.after_ms is None


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_a_malformed_statement_is_rejected_with_a_message_that_names_the_fault(text: bytes, message: str) -> None:
    with pytest.raises(StatementError) as problem:
        parse_statement(text)
    assert message in str(problem.value)
    assert problem.value.sqlstate not in ("53300", "57P03"), "a client's mistake must not look like a refusal"


@given(
    st.binary(max_size=200)
    | st.sampled_from([READ, WRITE]).flatmap(
        lambda whole: st.tuples(st.integers(0, len(whole)), st.binary(max_size=3)).map(
            lambda cut: whole[: cut[0]] + cut[1] + whole[cut[0] :]
        )
    )
)
def test_any_bytes_are_parsed_or_rejected(text: bytes) -> None:
    try:
        statement = parse_statement(text)
    except StatementError:
        return
    assert statement.with_wait(statement.wait_ms) == text or b"d=0" in text


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


def reader_after_handshake() -> ReplyReader:
    reader = ReplyReader()
    assert reader.feed(GREETING) is not None
    return reader


@given(st.lists(st.integers(1, len(GOOD + READY)), max_size=6))
def test_an_answer_is_the_same_at_any_split(cuts: list[int]) -> None:
    reader, whole, answers = reader_after_handshake(), GOOD + READY, []
    for start, end in zip([0, *sorted(cuts)], [*sorted(cuts), len(whole)], strict=True):
        answers.append(reader.feed(whole[start:end]))
    (answer,) = [each for each in answers if each is not None]
    assert answer.outcome is Outcome.SERVED and answer.payload == COLUMNS + ROW + DONE
    assert (answer.value, answer.role(), answer.position_ms()) == (b"\x9f\x03", Role.REPLICA, 1767225600123)
    assert reader.feed(whole) is not None, "the next answer on the same connection"


@pytest.mark.parametrize(
    "malformed",
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
def test_a_malformed_answer_is_not_accepted(malformed: bytes) -> None:
    for size in (1, 3, len(malformed)):
        reader = reader_after_handshake()
        with pytest.raises(InvalidReplyError):
            for offset in range(0, len(malformed), size):
                assert reader.feed(malformed[offset : offset + size]) is None


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
def test_errors_become_outcomes_by_the_platforms_table(sqlstate: str, outcome: Outcome) -> None:
    error = pg.make_error(sqlstate, "no").encode()
    reader = reader_after_handshake()
    assert reader.feed(error) is None
    cut_short = reader.answer_at_close()
    answer = reader.feed(READY)
    assert cut_short is not None and answer is not None and cut_short.outcome is answer.outcome is outcome
    begun = reader_after_handshake()
    assert begun.feed(COLUMNS) is None
    late = begun.feed(error + READY)
    assert late is not None and late.outcome is Outcome.ERROR, "a server that had begun to answer has run the statement"


def test_bytes_after_a_good_answer_are_noticed() -> None:
    reader = reader_after_handshake()
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


class RecordingOwner:
    """Records the final answers that it gets."""

    def __init__(self) -> None:
        self.finals: list[req.Final] = []

    def answered(self, final: req.Final) -> None:
        self.finals.append(final)


class RequestsHarness:
    """`Requests` with a Router, and servers and clients that act in random order."""

    def __init__(self, seed: int, router: Any = None) -> None:
        self.draw = random.Random(seed)
        self.now = 100_000_000
        self.requests = req.Requests(router or Router(replace(SETTINGS, seed=seed)))
        self.running: dict[int, req.Attempt] = {}
        self.delayed_share = 0.0 if router else 0.2  # the share of the attempts that wait for a connection
        self.owners: list[RecordingOwner] = []
        self.open_requests: list[req.Open] = []
        self.checks: list[int] = []
        self.defects: list[str] = []
        self.carry_out(self.requests.handle(api.Start(), self.now))
        entries = tuple(member(number) for number in (1, 2, 3))
        self.carry_out(self.requests.handle(api.Roster(RosterKind.WHOLE, entries), self.now))

    def carry_out(self, actions: list[req.GatewayAction]) -> None:
        for action in actions:
            match action:
                case req.Launch():
                    assert not action.attempt.request.is_closed, "a send after the final answer"
                    action.attempt.is_written = self.draw.random() >= self.delayed_share
                    self.running[id(action.attempt)] = action.attempt
                case req.Abandon():
                    self.running.pop(id(action.attempt), None)
                case req.SendAnswer():
                    action.owner.answered(action.final)
                case api.Check():
                    self.checks.append(action.member)
                case req.Defect():
                    self.defects.append(action.text)

    def add_request(self, text: bytes, number: int) -> None:
        statement = parse_statement(text.replace(b"9b1f", b"%04x" % number).replace(b"cluster=2", b"cluster=1"))
        self.owners.append(RecordingOwner())
        wait_us = statement.wait_ms * 1000
        request, actions = self.requests.handle_arrival(statement, self.owners[-1], wait_us, self.now, None)
        self.open_requests.append(request)
        self.carry_out(actions)

    def step(self, number: int) -> None:
        self.now += self.draw.randrange(30_000)
        self.carry_out(self.requests.expire(self.now))
        match self.draw.randrange(7):
            case 0 | 1:
                self.add_request(self.draw.choice([READ, WRITE]), number)
            case 2 | 3 if self.running:
                attempt = self.running.pop(self.draw.choice(list(self.running)))
                if not attempt.is_written and self.requests.may_write(attempt, self.now):
                    assert not attempt.request.is_closed and not attempt.has_ended, "written though nobody waits for it"
                    attempt.is_written = True
                    self.running[id(attempt)] = attempt
                    return
                if not attempt.is_written:
                    self.carry_out(self.requests.handle_attempt_end(attempt, Outcome.WITHDRAWN, self.now, self.now))
                    return
                outcome = self.draw.choice([*Outcome][:7] + [Outcome.SERVED] * 6 + [Outcome.MISS])
                role = Role.PRIMARY if attempt.member == 1 else Role.REPLICA
                self.carry_out(
                    self.requests.handle_attempt_end(attempt, outcome, self.now, self.now, b"value", Report(None, role))
                )
                assert self.requests.handle_attempt_end(attempt, Outcome.SERVED, self.now, self.now, b"twice") == []
            case 4 if self.checks:
                checked_member = self.checks.pop()
                role = Role.PRIMARY if checked_member == 1 else Role.REPLICA
                event = api.Checked(checked_member, Outcome.SERVED, 2_000, Report(self.now, role))
                self.carry_out(self.requests.handle(event, self.now))
            case 6 if self.open_requests:
                self.requests.shorten_deadline(self.draw.choice(self.open_requests), SLACK_US)
            case 5 if self.open_requests:
                departing = self.draw.choice(self.open_requests)
                self.carry_out(self.requests.handle_departure(departing, self.now))


@pytest.mark.parametrize("seed", range(12))
def test_each_request_has_one_answer_whatever_happens(seed: int) -> None:
    harness = RequestsHarness(seed)
    for number in range(400):
        harness.step(number)
    harness.now += 10_000_000
    harness.carry_out(harness.requests.expire(harness.now))
    unanswered = sum(not owner.finals for owner in harness.owners)
    assert all(len(owner.finals) <= 1 for owner in harness.owners)
    assert unanswered <= sum(request.is_closed for request in harness.open_requests)
    assert all(request.is_closed for request in harness.open_requests)
    assert sum(bool(owner.finals) for owner in harness.owners) > 30
    assert len(harness.requests) == 0 and not harness.requests._open, "no request is kept"
    assert harness.requests.next_deadline_us() is None
    assert not any(attempt for attempt in harness.running.values() if not attempt.has_ended)


class ScriptedRouter:
    """Returns the given actions, one list for each event."""

    def __init__(self, *steps: list[api.Action]) -> None:
        self.steps = list(steps)
        self.events: list[api.Event] = []

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        self.events.append(event)
        return self.steps.pop(0) if self.steps else []


def test_a_request_that_the_router_leaves_unanswered_fails_at_its_deadline_and_is_logged() -> None:
    router = ScriptedRouter([], [], [api.Send("1", 1)])
    harness = RequestsHarness(1, router)
    harness.add_request(READ, 1)
    harness.now += 480_000
    harness.carry_out(harness.requests.expire(harness.now))
    assert harness.owners[0].finals == [req.FAILED] and len(harness.defects) == 1 and not harness.running
    assert any(isinstance(event, api.AttemptEnded) and event.outcome is Outcome.LATE for event in router.events)


def test_a_send_for_an_ended_request_is_never_carried_out() -> None:
    router = ScriptedRouter([], [], [api.Fail("1"), api.Send("1", 1), api.Send("99", 1)])
    harness = RequestsHarness(1, router)
    harness.add_request(READ, 1)
    assert not harness.running and harness.owners[0].finals == [req.FAILED]
    ended = [event for event in router.events if isinstance(event, api.AttemptEnded)]
    assert [event.outcome for event in ended] == [Outcome.NOT_SENT] * 2


def test_a_cancelled_attempt_ends_once_and_its_late_answer_is_dropped() -> None:
    router = ScriptedRouter([], [], [api.Send("1", 1)], [api.Cancel("1", 0), api.Send("1", 2)])
    harness = RequestsHarness(1, router)
    harness.add_request(READ, 1)
    (first,) = harness.running.values()
    harness.carry_out(harness.requests.handle(api.TimerFired("x"), harness.now))
    assert first.has_ended and [attempt.member for attempt in harness.running.values()] == [2]
    assert harness.requests.handle_attempt_end(first, Outcome.SERVED, harness.now, harness.now, b"late") == []
    assert harness.owners[0].finals == []


def test_an_open_id_is_known_until_its_answer() -> None:
    harness = RequestsHarness(1, ScriptedRouter([], [], [api.Send("1", 1)]))
    harness.add_request(READ, 1)
    assert harness.requests.is_open(b"0001") and not harness.requests.is_open(b"0002")
    harness.carry_out(harness.requests.handle_departure(harness.open_requests[0], harness.now))
    assert not harness.requests.is_open(b"0001"), "the same id may come again on a new connection"


def test_numbers_are_never_reused_and_members_that_left_are_forgotten() -> None:
    numbers = req.MemberNumbers()
    first = [numbers.number_for(name) for name in ("a", "b", "a")]
    assert first == [1, 2, 1] and numbers.name_of(2) == "b"
    assert numbers.retain(lambda number: number != 1) == [1]
    assert numbers.number_for("a") == 3 and numbers.name_of(1) == "?"


# ---- Configuration ----


def write_config(folder: Path, **changes: Any) -> dict[str, str]:
    """Write a configuration file and return the environment that names it."""
    content = {
        "name": "n0",
        "listen": "127.0.0.1:6432",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": OPTIONS,
    } | changes
    path = folder / "config.json"
    path.write_text(json.dumps(content))
    return {"GW_CONFIG": str(path), "GW_DISCOVERY": "127.0.0.1:1"}


def test_a_value_in_the_configuration_file_wins_over_a_variable(tmp_path: Path) -> None:
    loaded = config.load(write_config(tmp_path))
    assert loaded.discovery == ("127.0.0.1", 8500) and loaded.settings.seed == 0x8C1F30D27A5BE964
    assert (loaded.dial_s, loaded.idle_s, loaded.limits.sockets) == (0.25, 15.0, 256)
    assert config.load(write_config(tmp_path, discovery="")).discovery == ("127.0.0.1", 1)


@pytest.mark.parametrize("discovery", ["ask", "push"])
def test_the_list_is_followed_even_if_the_settings_say_that_it_is_pushed(tmp_path: Path, discovery: str) -> None:
    loaded = config.load(write_config(tmp_path, settings=OPTIONS | {"Discovery": discovery}))
    assert api.FollowRoster() in Router(loaded.settings).handle(api.Start(), 0)


@pytest.mark.parametrize(
    ("changes", "message"),
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
def test_a_configuration_error_is_one_line_that_names_its_place(
    tmp_path: Path, changes: dict[str, Any], message: str
) -> None:
    with pytest.raises(config.ConfigError) as problem:
        config.load(write_config(tmp_path, **changes))
    assert message in str(problem.value) and "\n" not in str(problem.value)


def test_a_missing_or_broken_file_is_one_line(tmp_path: Path) -> None:
    for environment in ({}, {"GW_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(config.ConfigError, match="GW_CONFIG"):
            config.load(environment)
    environment = write_config(tmp_path)
    (tmp_path / "config.json").write_text('{"name": "n0", "sett')
    with pytest.raises(config.ConfigError, match="config.json"):
        config.load(environment)


# ---- Discovery's list ----

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


def test_a_bad_entry_affects_no_other_entry() -> None:
    bad_entries = [
        ENTRY | {"id": "s-2", "state": "asleep"},
        ENTRY | {"id": "s-3", "addr": "here"},
        {"id": 7},
        7,
        ENTRY | {"id": "s-4", "started_ms": -1},
        ENTRY | {"id": "s-5", "cell": "x"},
    ]
    text = json.dumps({"version": 41, "full": True, "servers": [*bad_entries, ENTRY]}).encode()
    lines: list[str] = []
    news = discovery.read(text, False, lines.append)
    assert (news.version, news.kind) == (41, RosterKind.WHOLE) and len(lines) == len(bad_entries)
    assert news.servers == (discovery.Server("s-1", ("127.0.0.1", 6432), "a", "m", 3, api.Listing.READY, True, 5),)
    assert news.unread == ("s-2", "s-3", "s-4", "s-5"), "they are listed, though the rest cannot be read"
    gone = {"id": "s-9", "state": "terminated"}
    changes = discovery.read(json.dumps({"version": 42, "servers": [gone]}).encode(), False, lines.append)
    assert changes.kind is RosterKind.CHANGES and changes.servers[0].listing is api.Listing.GONE


@given(st.binary(max_size=60))
def test_a_list_that_cannot_be_read_is_a_failed_call(text: bytes) -> None:
    with pytest.raises(discovery.ListError):
        discovery.read(text, False, lambda line: None)
