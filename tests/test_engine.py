"""The engine without sockets: order, sessions, identities, positions, deadlines, refusals, repeats."""

import random
from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink.core import messages as m
from oatlink.core import outcomes
from oatlink.core.classify import Classifier
from oatlink.core.commands import COMMANDS, find_command, idempotency_key, slot_of
from oatlink.core.engine import Engine
from oatlink.interface import Outcome, Role
from oatlink.protocols import resp
from oatlink.protocols.resp import command
from oatlink.settings import Settings, load_text
from oatlink.settings.model import Member

TEMPLATE = """{
  listen: ['127.0.0.1:0'], hall: 'a', seed: 3,
  cold: { share: 0.2, warm_after_ms: 10000 },
  classes: [
    { name: 'post', freshness: 'write', effect: 'keyed', aim_ms: 1000, deadline_ms: 3000, worth: 6,
      repeat_window_ms: 2000, match: { commands: ['XADD'] } },
    { name: 'view', freshness: 'bounded', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000,
      staleness_ms: 500, match: { keys: ['v:*'] } },
    { name: 'own', freshness: 'session', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000,
      match: { keys: ['o:*'] } },
  ],
  banks: [
    { name: 'one', slots: [[0, 8191]], members: [
      { name: 'p', address: '127.0.0.1:1001', hall: 'a' }, { name: 'r', address: '127.0.0.1:1002', hall: 'a' },
      { name: 's', address: '127.0.0.1:1003', hall: 'a' }] },
    { name: 'two', slots: [[8192, 16383]], members: [{ name: 'q', address: '127.0.0.1:1004' }] },
  ],
}"""
SETTINGS = load_text(TEMPLATE, "test")
KEY = next(f"v:{n}" for n in range(99) if slot_of(f"v:{n}".encode()) < 8192)
OWN = next(f"o:{n}" for n in range(99) if slot_of(f"o:{n}".encode()) < 8192)
PLAIN = next(f"k{n}" for n in range(99) if slot_of(f"k{n}".encode()) < 8192)
OTHER = next(f"k{n}" for n in range(99) if slot_of(f"k{n}".encode()) >= 8192)


def info(
    role: str,
    offset: int,
    replid: str = "h1",
    run: str = "run",
    replid2: str = "",
    second: int = -1,
    uptime: int = 999,
    more: str = "",
) -> bytes:
    """The answer of a box to INFO."""
    kind = "slave" if role == "replica" else "master"
    return (
        f"run_id:{run}\r\nuptime_in_seconds:{uptime}\r\nrole:{kind}\r\nslave_repl_offset:{offset}\r\n"
        f"master_repl_offset:{offset}\r\nmaster_replid:{replid}\r\nmaster_replid2:{replid2 or '0' * 40}\r\n"
        f"second_repl_offset:{second}\r\n{more}"
    ).encode()


def ways(member: Member) -> tuple[m.Way, ...]:
    """The further addresses of a member of the settings."""
    return tuple(m.Way(path.address, path.hall, path.connect_timeout_ms, path.keepalive_s) for path in member.paths)


class Rig:
    """An engine with a manual clock, boxes that answer probes, and a record of the engine's effects.

    `says` has the report of each box, or of a box over one address. It is empty for a box that does not answer.
    """

    def __init__(self, settings: Settings = SETTINGS) -> None:
        self.now = 1_000_000_000
        self.engine = Engine(settings, self.now)
        self.says = {
            "p": info("primary", 100, run="p"),
            "r": info("replica", 100, run="r"),
            "s": info("replica", 100, run="s"),
            "q": info("primary", 5, "h9", run="q"),
        }
        self.sent: list[m.Send] = []
        self.answers: dict[int, list[bytes]] = {}
        self.hung: set[int] = set()
        self.paused: dict[int, int] = {}
        self.probes: list[m.Probe] = []
        self.mute: set[str] = set()  # addresses over which probes never end
        self.other: list[m.AnyEffect] = []
        self.wake = 2**62
        self.give(m.Started())
        self.list()
        for client in (1, 2):
            self.give(m.Opened(client))

    def list(self, **states: str) -> None:
        """Feed a roster with the members of the settings, in the given states."""
        boxes = [
            m.Box(
                member.name,
                number,
                member.address,
                member.hall,
                state=states.get(member.name, "ready"),
                ways=ways(member),
            )
            for number, bank in enumerate(self.engine.settings.banks)
            for member in bank.members
            if states.get(member.name) != "gone"
        ]
        self.give(m.RosterListed(tuple(boxes)))

    def give(self, given: m.AnyInput) -> None:
        """Feed an input, answer the probes that follow, and record all other effects."""
        inputs = [given]
        while inputs:
            for effect in self.engine.handle(inputs.pop(0), self.now):
                if isinstance(effect, m.Send):
                    self.sent.append(effect)
                elif isinstance(effect, m.Answer):
                    self.answers.setdefault(effect.client, []).append(effect.data)
                elif isinstance(effect, m.Pause):
                    self.paused[effect.client] = effect.until_us
                elif isinstance(effect, m.Hangup):
                    self.hung.add(effect.client)
                elif isinstance(effect, m.Wake):
                    self.wake = effect.at_us
                elif isinstance(effect, m.Probe):
                    report = self.says.get(f"{effect.box} {effect.address}", self.says.get(effect.box))
                    how = "reply" if report else "late"
                    self.probes.append(effect)
                    if effect.address not in self.mute:
                        inputs.append(m.Probed(effect.box, how, self.now, 300, report or b"", effect.address))
                else:
                    self.other.append(effect)

    def ask(self, *words: str | int, client: int = 1) -> m.Send | None:
        """Send a command of a client. Returns the attempt that it starts, if any."""
        sent_before = len(self.sent)
        self.give(m.CommandReceived(client, [str(word).encode() for word in words]))
        return self.sent[-1] if len(self.sent) > sent_before else None

    def end(self, send: m.Send, frames: Iterable[bytes] = (b"+OK\r\n",), how: str = "reply", info: bytes = b"") -> None:
        """End an attempt."""
        frames = list(frames) if how == "reply" else []
        self.give(m.Ended(send.request, send.attempt, send.box, how, 1_000, self.now - 1_000, frames, info))

    def pass_us(self, us: int) -> None:
        """Advance time, with the wake-ups that the engine has requested."""
        end = self.now + us
        while self.wake <= end:
            self.now = max(self.now, self.wake)
            self.wake = 2**62
            self.give(m.Ticked())
        self.now = end

    def text(self, client: int = 1) -> bytes:
        """Take all answers that a client has received since the last call."""
        return b"".join(self.answers.pop(client, []))


@pytest.fixture
def rig() -> Rig:
    return Rig()


def met(box: str, report: bytes, now_us: int) -> m.Dialled:
    """A box's report over a new connection that no link waits for any more."""
    address = {"p": "127.0.0.1:1001", "r": "127.0.0.1:1002"}[box]
    return m.Dialled(box, 99, address, "reply", now_us, 300, report)


def sent(attempt: m.Send | None) -> m.Send:
    """Assert that a command has started an attempt, and return it."""
    assert attempt is not None
    return attempt


def test_a_write_goes_to_the_primary_and_its_answer_comes_back(rig: Rig) -> None:
    send = sent(rig.ask("SET", PLAIN, 1))
    assert send.box == "p" and send.payload == command("SET", PLAIN, 1) and send.run_id == "p"
    rig.end(send)
    assert rig.text() == b"+OK\r\n"


def test_a_bounded_read_goes_to_a_replica_and_a_current_one_to_the_primary(rig: Rig) -> None:
    rig.end(sent(rig.ask("GET", KEY)))  # the first read goes to the first member whose report has arrived
    assert sent(rig.ask("GET", KEY)).box in ("r", "s")
    assert sent(rig.ask("GET", PLAIN)).box == "p"


def test_a_replica_that_lags_is_not_asked_however_fast_it_answers(rig: Rig) -> None:
    rig.says["r"] = rig.says["s"] = info("replica", 50, run="r")
    rig.says["p"] = info("primary", 100, run="p")
    assert sent(rig.ask("GET", KEY)).box == "p"


def test_bounded_reads_use_every_replica(rig: Rig) -> None:
    rig.end(sent(rig.ask("GET", KEY)))
    boxes = set()
    for _ in range(40):
        rig.pass_us(20_000)
        send = sent(rig.ask("GET", KEY))
        boxes.add(send.box)
        rig.end(send, [b"$-1\r\n"])
    assert boxes == {"r", "s"}


def test_answers_leave_in_order_and_one_slot_keeps_its_order(rig: Rig) -> None:
    first = sent(rig.ask("SET", PLAIN, 1))
    assert rig.ask("GET", PLAIN) is None  # this read waits for the write to the same slot
    other = sent(rig.ask("GET", OTHER))  # another slot does not wait
    rig.end(other, [b"$1\r\nx\r\n"])
    assert rig.text() == b""
    rig.end(first)
    assert rig.text() == b"+OK\r\n"
    rig.end(rig.sent[-1], [b"$1\r\n1\r\n"])
    assert rig.text() == b"$1\r\n1\r\n$1\r\nx\r\n"


def test_a_sessions_own_write_binds_its_reads_and_no_one_elses(rig: Rig) -> None:
    rig.end(sent(rig.ask("SET", OWN, 1)))
    rig.says["p"] = info("primary", 150, run="p")  # the write is between 101 and 150; the replicas are at 100
    assert sent(rig.ask("GET", OWN)).box == "p"
    assert sent(rig.ask("GET", OWN, client=2)).box in ("r", "s")


@pytest.mark.parametrize("words", [("SET", PLAIN, 1), ("XADD", PLAIN, "*", "f", "v")], ids=["set", "no key"])
def test_an_unsafe_write_that_may_have_run_is_failed_and_not_sent_again(rig: Rig, words: tuple[str | int, ...]) -> None:
    rig.end(sent(rig.ask(*words)), how="reset")
    assert rig.text().startswith(b"-ERR failed") and len(rig.sent) == 1


def test_an_unsafe_write_that_never_ran_is_sent_again(rig: Rig) -> None:
    send = sent(rig.ask("SET", PLAIN, 1))
    rig.says["p"], rig.says["r"] = b"", info("primary", 100, "h2", "r", "h1", 101)
    rig.end(send, [b"-READONLY You can't write against a read only replica.\r\n"])
    rig.pass_us(600_000)
    assert rig.sent[-1].box == "r" and rig.sent[-1].attempt == 1
    rig.end(rig.sent[-1])
    assert rig.text() == b"+OK\r\n"


def test_a_keyed_write_is_sent_again_inside_its_window_only(rig: Rig) -> None:
    send = sent(rig.ask("XADD", PLAIN, "IDMP", "me", "k1", "*", "f", "v"))
    rig.says["p"] = b""
    rig.end(send, how="reset")
    assert rig.text() == b""
    rig.says["r"] = info("primary", 100, "h2", "r", "h1", 101)
    rig.pass_us(700_000)
    again = rig.sent[-1]
    assert again.box == "r" and again.until_us <= 1_000_000_000 + 2_000_000
    rig.end(again, how="reset")
    rig.pass_us(2_500_000)
    assert rig.text().startswith(b"-ERR failed") and all(attempt.until_us <= 1_002_000_000 for attempt in rig.sent[1:])


def test_writes_are_held_over_an_election_and_then_served(rig: Rig) -> None:
    rig.end(sent(rig.ask("SET", PLAIN, 0)))
    rig.text()
    rig.says["p"] = b""
    rig.end(sent(rig.ask("GET", PLAIN)), how="reset")
    assert rig.ask("SET", PLAIN, 1) is None or rig.sent[-1].payload != command("SET", PLAIN, 1)
    rig.pass_us(500_000)
    rig.says["r"] = info("primary", 100, "h2", "r", "h1", 101)
    rig.pass_us(600_000)
    assert rig.sent[-1].box == "r"


def test_every_request_is_answered_before_its_time_is_up(rig: Rig) -> None:
    rig.ask("SET", PLAIN, 1)
    rig.ask("GET", PLAIN)
    rig.ask("GET", KEY)
    rig.pass_us(5_100_000)
    text = rig.text()
    assert text.count(b"\r\n") == 3 and text.startswith(b"-ERR failed") and rig.engine.idle
    for send in list(rig.sent):
        rig.end(send)  # long after the answer
    assert rig.text() == b""


def test_a_waiting_command_past_its_time_is_refused_for_it_never_ran(rig: Rig) -> None:
    rig.ask("SET", KEY, 1)
    rig.ask("GET", KEY)
    rig.pass_us(2_100_000)
    rig.end(rig.sent[0])
    assert rig.text().startswith(b"+OK\r\n-TRYAGAIN refused, nothing was run")


def test_a_box_that_started_again_is_a_new_member_with_nothing_proven(rig: Rig) -> None:
    rig.end(sent(rig.ask("GET", KEY)), [b"$-1\r\n"])
    boxes = rig.engine._boxes
    old = boxes["r"].member
    rig.give(met("r", info("replica", 20, run="r-again", uptime=0), rig.now))
    assert boxes["r"].member != old and boxes["r"].started_us > 0
    members = rig.engine.router.state.members
    assert old not in members and members[boxes["r"].member].position_us < 0


def test_a_full_resynchronisation_takes_a_position_back(rig: Rig) -> None:
    rig.ask("GET", KEY)
    old = rig.engine._boxes["r"].member
    rig.now += 1_000
    rig.give(met("r", info("replica", 40, run="r"), rig.now))
    assert rig.engine._boxes["r"].member != old


def test_an_old_primary_on_its_island_is_not_believed(rig: Rig) -> None:
    rig.end(sent(rig.ask("SET", PLAIN, 0)))
    rig.now += 10_000
    rig.give(met("r", info("primary", 100, "h2", "r", "h1", 101), rig.now))
    rig.now += 10_000
    state = rig.engine._boxes["p"]
    rig.give(met("p", info("primary", 180, run="p"), rig.now))
    report = rig.engine._router_report(state, rig.now)
    assert report is not None and report.role is Role.UNKNOWN


def test_nothing_new_goes_to_a_draining_member(rig: Rig) -> None:
    rig.list(r="terminating")
    for _ in range(30):
        send = sent(rig.ask("GET", KEY))
        assert send.box != "r"
        rig.end(send, [b"$-1\r\n"])
        rig.pass_us(10_000)
    rig.list(r="gone", s="terminating")
    assert sent(rig.ask("GET", KEY)).box == "p"


def test_transactions_are_one_request_and_show_queueing_errors(rig: Rig) -> None:
    rig.ask("MULTI")
    rig.ask("SET", PLAIN, 1)
    assert rig.ask("NOSUCH", 1) is None
    rig.ask("EXEC")
    assert rig.text() == (
        b"+OK\r\n+QUEUED\r\n-ERR unknown command 'NOSUCH', with args beginning with: '1'\r\n"
        b"-EXECABORT Transaction discarded because of previous errors.\r\n"
    )
    rig.ask("MULTI")
    rig.ask("SET", PLAIN, 1)
    send = sent(rig.ask("EXEC"))
    assert send.payload == command("MULTI") + command("SET", PLAIN, 1) + command("EXEC") and send.replies == 3
    rig.text()
    rig.end(send, [b"+OK\r\n", b"+QUEUED\r\n", b"*1\r\n+OK\r\n"])
    assert rig.text() == b"*1\r\n+OK\r\n"


def test_a_transaction_at_a_replica_is_a_miss_and_goes_on(rig: Rig) -> None:
    rig.ask("MULTI")
    rig.ask("SET", PLAIN, 1)
    send = sent(rig.ask("EXEC"))
    rig.text()
    rig.says["p"], rig.says["r"] = info("replica", 100, "h2", "p"), info("primary", 100, "h2", "r", "h1", 101)
    rig.end(send, [b"+OK\r\n", b"-READONLY x\r\n", b"-EXECABORT x\r\n"])
    rig.pass_us(600_000)
    assert rig.sent[-1].box == "r" and rig.sent[-1].request == send.request


def test_watch_binds_a_connection_and_a_lost_one_gives_up_exec(rig: Rig) -> None:
    watch = sent(rig.ask("WATCH", PLAIN))
    assert watch.lease and watch.box == "p"
    rig.end(watch)
    read = sent(rig.ask("GET", PLAIN))
    assert read.lease == watch.lease
    rig.end(read, how="reset")
    again = rig.sent[-1]
    assert again.request == read.request and again.lease == 0  # a read may be sent again elsewhere
    rig.end(again, [b"$1\r\n5\r\n"])
    rig.text()
    assert rig.ask("WATCH", PLAIN) is None  # WATCH is never sent on a connection that others share
    rig.ask("MULTI")
    rig.ask("SET", PLAIN, 1)
    assert rig.ask("EXEC") is None and rig.text().endswith(b"+QUEUED\r\n*-1\r\n")


def test_an_exec_that_never_reached_its_connection_does_not_run_unwatched(rig: Rig) -> None:
    rig.end(sent(rig.ask("WATCH", PLAIN)))
    rig.ask("MULTI")
    rig.ask("SET", PLAIN, 1)
    rig.end(sent(rig.ask("EXEC")), how="unsent")
    rig.pass_us(1_000_000)
    assert [attempt.payload for attempt in rig.sent if b"EXEC" in attempt.payload][1:] == []
    assert rig.text().endswith(b"+QUEUED\r\n*-1\r\n")


def test_a_departed_clients_requests_are_let_go(rig: Rig) -> None:
    send = sent(rig.ask("SET", PLAIN, 1))
    rig.ask("SET", PLAIN, 2)
    rig.give(m.Closed(1))
    rig.end(send)
    rig.pass_us(6_000_000)
    assert len(rig.sent) == 1 and not rig.engine._requests


def test_a_broken_protocol_ends_after_what_was_owed(rig: Rig) -> None:
    send = sent(rig.ask("GET", PLAIN))
    rig.give(m.ProtocolViolated(1, "ERR Protocol error: x"))
    assert rig.text() == b""
    rig.end(send, [b"$-1\r\n"])
    assert rig.text() == b"$-1\r\n-ERR Protocol error: x\r\n" and rig.hung == {1}


def test_draining_refuses_new_work_and_ends_the_old(rig: Rig) -> None:
    send = sent(rig.ask("GET", PLAIN))
    rig.give(m.Draining())
    assert rig.ask("GET", OTHER) is None
    rig.end(send, [b"$-1\r\n"])
    assert rig.text().startswith(b"$-1\r\n-TRYAGAIN") and rig.engine.idle


@pytest.mark.parametrize(
    ("words", "start"),
    [
        (("MGET", PLAIN, OTHER), b"-CROSSSLOT"),
        (("BLPOP", PLAIN, 1), b"-ERR blpop is not served"),
        (("SUBSCRIBE", "x"), b"-ERR subscribe is not served"),
        (("GET",), b"-ERR wrong number"),
        (("DBSIZE",), b"-ERR dbsize"),
        (("EVAL", "x", 9, "k"), b"-ERR Number of keys"),
        (("SELECT", 1), b"-ERR DB index"),
        (("EXEC",), b"-ERR EXEC without"),
        (("HELLO", 9), b"-NOPROTO"),
        (("CLIENT", "NOPE"), b"-ERR unknown subcommand"),
        (("XREAD", "STREAMS", "a"), b"-ERR"),
    ],
)
def test_what_is_not_served_says_so(rig: Rig, words: tuple[str | int, ...], start: bytes) -> None:
    rig.ask(*words)
    assert rig.text().startswith(start)


def test_users_must_be_named_first() -> None:
    named = msgspec.structs.replace(
        SETTINGS, users=load_text(TEMPLATE[:-1] + "users: [{name: 'u', password: 'x'}]}", "t").users
    )
    rig = Rig()
    rig.engine = Engine(named, rig.now)
    rig.give(m.Opened(1))
    rig.ask("GET", PLAIN)
    rig.ask("AUTH", "u", "wrong")
    rig.ask("AUTH", "u", "x")
    rig.ask("PING")
    assert [line[:9] for line in rig.text().split(b"\r\n")[:4]] == [b"-NOAUTH A", b"-WRONGPAS", b"+OK", b"+PONG"]


def test_outcome_table_tells_what_never_ran() -> None:
    for prefix in (b"READONLY", b"LOADING", b"MASTERDOWN", b"MOVED", b"BUSY", b"OOM", b"NOREPLICAS"):
        assert not outcomes.of_reply([b"-" + prefix + b" text\r\n"], False).may_have_run
    assert outcomes.of_reply([b"-ERR mine\r\n"], False) is Outcome.SERVED
    assert [how for how, outcome in outcomes.ENDINGS.items() if outcome.may_have_run] == ["reset", "late", "bad reply"]
    assert outcomes.enough_replicas(b":2\r\n", 1) and not outcomes.enough_replicas(b":0\r\n", 1)


def test_a_class_of_reads_never_takes_a_write() -> None:
    classifier = Classifier(SETTINGS)
    for name, spec in COMMANDS.items():
        args = [name, KEY.encode(), b"x", b"y"]
        rule = classifier.class_of(spec, args, [KEY.encode()], "", "")
        if spec.kind.value not in ("read", "keyless read"):
            assert rule.freshness == "write", spec


def test_ten_thousand_mutated_replies_from_members_harm_nothing() -> None:
    rng = random.Random(5)
    good = [
        b"+OK\r\n",
        b"-READONLY x\r\n",
        b"-LOADING x\r\n",
        b"*2\r\n:1\r\n$1\r\nx\r\n",
        b"%1\r\n+a\r\n#t\r\n",
        b":7\r\n",
    ]
    report = info("replica", 100, run="r")
    rig, ended = Rig(), 0
    for _ in range(10_000):
        data = bytearray(rng.choice(good))
        mutated_report = bytearray(report)
        for target in (data, mutated_report):
            for _ in range(rng.randrange(3)):
                target[rng.randrange(len(target))] = rng.randrange(256)
        reader = resp.ReplyReader()
        reader.feed(bytes(data))
        frames, how = [], "reply"
        try:
            while (frame := reader.take()) is not None:
                frames.append(frame)
        except resp.ProtocolError:
            how = "bad reply"
        send = rig.ask("GET", KEY) or rig.sent[-1]
        if frames or how != "reply":
            ended += 1
            rig.end(send, frames[:1], how, bytes(mutated_report) if rng.random() < 0.2 else b"")
        rig.pass_us(rng.randrange(100, 50_000))
    rig.pass_us(6_000_000)
    assert rig.engine.idle and ended > 5_000
    assert len(rig.engine._box_names) < 3_000  # not every box that once was a member is kept


@given(st.lists(st.sampled_from([b"IDMP", b"*", b"MAXLEN", b"p", b"k", b"1-1", b"~", b"5", b"NOMKSTREAM"]), max_size=8))
def test_a_key_is_seen_only_before_the_entry_id(words: list[bytes]) -> None:
    spec = find_command(b"xadd")
    assert spec is not None
    args = [b"XADD", b"s", *words]
    key = idempotency_key(spec, args)
    if key is not None:
        assert b"IDMP" in words and (b"*" not in words or words.index(b"IDMP") < words.index(b"*"))


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 400)), max_size=60))
def test_whatever_happens_each_command_is_answered_once_and_in_time(steps: list[tuple[int, int]]) -> None:
    rig = Rig()
    command_count = 0
    for action, number in steps:
        if action < 3:
            command_count += 1
            rig.ask(
                *[("GET", KEY), ("SET", PLAIN, 1), ("XADD", PLAIN, "IDMP", "p", command_count, "*", "f", "v")][action]
            )
        elif action < 7 and rig.sent:
            how = ["reply", "reset", "refused", "no room"][action - 3]
            rig.end(rig.sent[number % len(rig.sent)], how=how)
        elif action == 7:
            rig.pass_us(number * 1_000)
        elif action == 8:
            rig.says["p"], rig.says["r"] = b"", info("primary", 100 + number, "h2", "r", "h1", 101)
        else:
            rig.list(**{["p", "r", "s"][number % 3]: ["ready", "terminating", "gone"][number % 2]})
    rig.pass_us(6_000_000)
    assert (
        rig.engine.idle
        and not rig.engine._sessions[1].unfinished_by_slot
        and rig.text().count(b"\r\n") == command_count
    )
    for request in {attempt.request for attempt in rig.sent}:
        attempts = [attempt for attempt in rig.sent if attempt.request == request]
        assert sum(attempt.payload.startswith(b"*3\r\n$3\r\nSET") for attempt in attempts) <= 6
