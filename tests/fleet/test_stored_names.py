"""What the fleet stores and sends keeps its bytes: class names as tags, order of fields, keys and texts.

Prevents a rename or a moved field after which a gateway cannot read its own files or the messages of an older one. The
files in `tests/data/fleet` were written by an earlier version and are never written anew; see the README there.
"""

import asyncio
from pathlib import Path
from typing import get_args

import msgspec
import pytest
from msgspec.structs import replace

from oatlink.fleet import envelope, gate
from oatlink.fleet import messages as m
from oatlink.fleet.control.logs import Logs
from oatlink.fleet.control.names import Named
from oatlink.fleet.control.peers import Peers
from oatlink.fleet.control.slots import Slot, decoded, key_of_slot
from oatlink.fleet.leases.observer import Lease
from oatlink.fleet.messages import control as c
from oatlink.fleet.shell import files, history
from oatlink.fleet.shell.history import Row
from oatlink.fleet.shell.journal import Journal, registers_in, row_of_register, row_of_standing, standing_in
from oatlink.fleet.shell.keys import read_keys
from oatlink.fleet.shell.scope_records import ScopeRecords, scopes_in
from oatlink.fleet.versions import marker, plan, state

DATA = Path(__file__).parent.parent / "data" / "fleet"
NONCE = bytes(range(16))
KEY = envelope.derive_key(b"k" * 32)

# Each value gives every field under its own name, and no two fields of a class the same value, so that two fields that
# change places change the bytes.
BALLOT = m.Ballot(counter=3, node="node-a", incarnation=1_700_000_000_123)
LOWER = m.Ballot(counter=2, node="node-b", incarnation=1_700_000_000_045)
HIGHER = m.Ballot(counter=4, node="node-c", incarnation=1_700_000_000_067)
RECORD = m.Record(fence=9, writer="node-b", value=b"value")
MET = (("node-b", 21), ("node-c", 22))
KEPT = m.Kept(key="limits/0", promised=BALLOT, accepted=LOWER, record=RECORD, copied=True)
ENTRY = c.Entry(key="group/blue", value=b"7")
HEAD = c.Head(scope="zone/r1/z1", epoch=2, version=41)
DELTA = c.Delta(epoch=2, version=42, entries=(ENTRY, c.Entry(key="old")))
PLACE = c.Place(name="source-a", address="10.0.0.1:7000")
SPARE = c.Place(name="source-b", address="10.0.0.2:7000")
LAG = c.Lag(head=HEAD, readers=12, least=38, behind=5, named=("node-a", "node-b"))
DEMAND = m.Demand(name="tenant-a", rate=120.5, serial=6)
GRANT = m.Grant(name="tenant-a", serial=7, rate=60.25, burst=30.5, term_us=2_000_000)
EVIDENCE = m.Evidence(
    witness="node-a",
    incarnation=8,
    serial=9,
    member="box-1",
    kind="position",
    age_us=1_500,
    history="f" * 40,
    offset=77,
)
MARKER = m.Marker(version=2, history="e" * 40, offset=1_234)
OFFER = m.ShardOffer(shard="bank-a", versions=(1, 2), markers=(MARKER,))
COPIED = m.Copied(life=31, after="limits/0", own=32, begun=False, newest=33, met=MET, registers=(KEPT,))
STEP = state.Step(kind="expand", version=2, number=5, done=True, history="d" * 40, offset=99)
SHARD = state.Shard(steps=(STEP,), floor=4)
SHARD_PLAN = plan.ShardPlan(
    expand=(("HSET", "layout", "v", "2"),),
    contract=(("HDEL", "layout", "v"),),
    undo=(("DEL", "new"),),
    after=("bank-b",),
)
PLAN = plan.Plan(version=3, base=2, shards={"bank-a": SHARD_PLAN}, stay_ms=5_000, hash="0123456789abcdef")

MESSAGES: tuple[tuple[str, m.Message], ...] = (
    ("Prepare", m.Prepare(key="limits/1", ballot=BALLOT)),
    ("Promise", m.Promise(key="limits/1", ballot=BALLOT, accepted=LOWER, record=RECORD, life=11, met=MET)),
    ("Accept", m.Accept(key="limits/1", ballot=BALLOT, record=RECORD, next=HIGHER)),
    ("Accepted", m.Accepted(key="limits/1", ballot=BALLOT, life=11, met=MET, next=HIGHER)),
    ("Outbid", m.Outbid(key="limits/1", ballot=BALLOT, promised=HIGHER)),
    ("Look", m.Look(key="limits/1", ballot=BALLOT)),
    ("Looked", m.Looked(key="a/1", ballot=BALLOT, accepted=LOWER, record=RECORD, life=11, met=MET, copied=True)),
    ("Copy", m.Copy(life=31, after="limits/0")),
    ("Copied", replace(COPIED, begun=True)),
    ("Copied", replace(COPIED, fresh=True)),
    ("Copied", replace(COPIED, last=True)),
    ("Want", m.Want(ask=41, shard=3, demands=(DEMAND,))),
    ("Grants", m.Grants(ask=41, shard=3, fence=17, grants=(GRANT,))),
    ("Returned", m.Returned(shard=3, grants=(("tenant-a", 7),))),
    ("NotHome", m.NotHome(ask=41, shard=3, home="node-b")),
    ("Gossip", m.Gossip(evidence=(EVIDENCE,))),
    ("Adopt", m.Adopt(ask=51, fence=18, busy=(1, 2), heard=50, since=49)),
    ("Adopted", m.Adopted(ask=51, fence=18, term_us=3_000_000, versions=(1, 2), default=2, offers=(OFFER,))),
    ("NotSequencer", m.NotSequencer(ask=51, sequencer="node-b")),
    ("Alive", m.Alive(incarnation=8, leaving=True, heard=((0, 120), (2, 250)))),
    ("Join", c.Join(incarnation=8, region="r1", zone="z1", address="10.0.0.3:7000", relays=16, lost="node-b")),
    ("Seat", c.Seat(incarnation=8, upstream=PLACE, spare=SPARE, wait_ms=400)),
    ("Refused", c.Refused(incarnation=8, reason="twice", wait_ms=400)),
    ("Leave", c.Leave(incarnation=8)),
    (
        "Subscribe",
        c.Subscribe(
            incarnation=8, heads=(HEAD,), resume=(("zone/r1/z1", 2, 40, "k"),), mark=61, address="10.0.0.3:7000"
        ),
    ),
    ("Changes", c.Changes(scope="zone/r1/z1", deltas=(DELTA,))),
    ("Page", c.Page(scope="all", epoch=2, first=40, now=42, floor=38, after="a", entries=(ENTRY,), last=True)),
    ("Beat", c.Beat(age_ms=250, heads=(HEAD,), mark=61, since_ms=35)),
    ("Report", c.Report(incarnation=8, lags=(LAG,), children=4, alive=(("node-a", 8), ("node-b", 9)), mark=61)),
    ("Committed", c.Committed(scope="zone/r1/z1", delta=DELTA)),
)
PARTS: tuple[tuple[str, msgspec.Struct], ...] = (
    ("Ballot", BALLOT),
    ("Record", RECORD),
    ("Kept", KEPT),
    ("Met", m.Met(keeper="node-b", life=21, fresh=True)),
    ("Standing", m.Standing(life=31, begun=True, met=(m.Met(keeper="node-b", life=21, fresh=True),))),
    ("Demand", DEMAND),
    ("Grant", GRANT),
    ("Evidence", EVIDENCE),
    ("Marker", MARKER),
    ("ShardOffer", OFFER),
    ("Entry", ENTRY),
    ("Head", HEAD),
    ("Delta", DELTA),
    ("Place", PLACE),
    ("Lag", LAG),
    ("Challenge", envelope.Challenge(magic=b"OATFLEET", version=1, nonce=NONCE, node="node-a", fleet="f0f0")),
    (
        "Hello",
        envelope.Hello(version=1, node="node-a", incarnation=8, fleet="f0f0", to="node-b", address="10.0.0.3:7000"),
    ),
    ("Row", Row(kind="register", key="limits/0", payload=b"payload")),
    ("Slot", Slot(epoch=2, version=42, source="source-a", incarnation=8, number=6, entries=(ENTRY,))),
    ("Named", Named(incarnation=8, address="10.0.0.3:7000", serves=16)),
    ("Lease", Lease(node="node-a", incarnation=8, turn=5, term_us=2_000_000, released=True, body=b"body")),
    ("Step", STEP),
    ("Shard", SHARD),
    (
        "State",
        state.State(
            old=1,
            served=(1, 2),
            default=2,
            phase="serving",
            new=3,
            plan="p",
            count=5,
            fence=18,
            shards={"bank-a": SHARD},
        ),
    ),
)
NEWS: tuple[tuple[str, gate.News], ...] = (
    ("Granted", gate.Granted(name="tenant-a", serial=7, rate=60.25, burst=30.5, until_us=9_000)),
    (
        "Served",
        gate.Served(
            fence=18,
            until_us=9_000,
            versions=(1, 2),
            default=2,
            markers=(("bank-a", MARKER),),
            offers=(("bank-a", (1,)),),
        ),
    ),
    ("Seen", gate.Seen(member="box-1", act="position", at_us=8_000, until_us=9_000, history="f" * 40, offset=77)),
    ("Alone", gate.Alone()),
)
BINARY = (*MESSAGES, *PARTS)


def lines(name: str) -> list[tuple[str, str]]:
    """The lines of a file: an outer name and what stands behind it."""
    found = []
    for line in (DATA / name).read_text().splitlines():
        outer, _, content = line.partition(" ")
        found.append((outer, content))
    return found


# ---- Messages and the values in them ----


def test_messages_and_structures_are_encoded_as_before() -> None:
    assert [(outer, envelope.encode(value).hex()) for outer, value in BINARY] == lines("structures.hex")


def test_what_was_encoded_before_is_read_as_the_same_values() -> None:
    for (outer, value), (name, content) in zip(BINARY, lines("structures.hex"), strict=True):
        body = bytes.fromhex(content)
        assert outer == name and msgspec.msgpack.decode(body, type=type(value)) == value
        if isinstance(value, m.Message):
            assert envelope.decode(body) == value and msgspec.msgpack.decode(body)[0] == outer


def test_every_message_is_in_the_file() -> None:
    assert {type(value) for _, value in MESSAGES} == set(get_args(m.AnyMessage))
    assert {type(value) for _, value in NEWS} == set(get_args(gate.AnyNews))


@pytest.mark.parametrize("outer", sorted({outer for outer, _ in (*BINARY, *NEWS)}))
def test_fields_that_change_places_would_be_noticed(outer: str) -> None:
    values = [value for name, value in (*BINARY, *NEWS) if name == outer]
    fields = msgspec.structs.fields(type(values[0]))
    contents = [msgspec.msgpack.encode([getattr(value, field.name) for value in values]) for field in fields]
    assert len(set(contents)) == len(fields)
    for field in fields:  # a default could be left out, and a field that is only added at the end would not be
        assert any(getattr(value, field.name) != field.default for value in values), field.name


def test_news_for_the_gate_are_encoded_as_before() -> None:
    assert [(outer, msgspec.json.encode(value).decode()) for outer, value in NEWS] == lines("news.json")
    for (_, value), (_, content) in zip(NEWS, lines("news.json"), strict=True):
        assert msgspec.json.decode(content, type=gate.AnyNews) == value


def texts() -> list[tuple[str, str]]:
    """Frames, keys and register values that are no plain structure, by name."""
    seal = envelope.Seal(KEY, NONCE, "node-a", 8)
    hello = dict(PARTS)["Hello"]
    return [
        ("challenge-frame", envelope.challenge(NONCE, "node-a", "f0f0").hex()),
        ("hello-frame", seal.seal(0, envelope.encode(hello)).hex()),
        ("message-frame", seal.seal(7, envelope.encode(m.Alive(incarnation=8))).hex()),
        ("ack-frame", envelope.ack(7).hex()),
        ("key", KEY.hex()),
        ("slot-register", key_of_slot("zone/r1/z1", 42)),
        ("plan-register", plan.encode_wanted("go", "0123456789abcdef", PLAN).decode()),
        ("plan-register-without-plan", plan.encode_wanted("back", "0123456789abcdef", None).decode()),
        ("plan-name", plan.name_of(PLAN)),
        ("marker-key", marker.KEY),
        ("marker-begun", marker.encode(5, 2, done=False).decode()),
        ("marker-done", marker.encode(5, 2, done=True).decode()),
    ]


def test_frames_keys_and_register_values_are_written_as_before(tmp_path: Path) -> None:
    stored = dict(lines("texts.txt"))
    assert texts() == lines("texts.txt")
    assert plan.decode_wanted(stored["plan-register"].encode()) == plan.Wanted(
        word="go", name="0123456789abcdef", plan=PLAN
    )
    assert plan.decode_wanted(stored["plan-register-without-plan"].encode()) == plan.Wanted("back", "0123456789abcdef")
    assert marker.completed_step(stored["marker-done"].encode()) == 5
    assert marker.completed_step(stored["marker-begun"].encode()) == 4
    frame = bytes.fromhex(stored["hello-frame"])[envelope.LENGTH_BYTES :]
    assert envelope.read_hello(frame) == dict(PARTS)["Hello"]
    assert envelope.read_challenge(bytes.fromhex(stored["challenge-frame"])[envelope.LENGTH_BYTES :]) is not None
    assert envelope.read_ack(bytes.fromhex(stored["ack-frame"])[envelope.LENGTH_BYTES :]) == 7
    key_file = tmp_path / "key"
    key_file.write_bytes((DATA / "fleet.key").read_bytes())
    key_file.chmod(0o600)
    assert read_keys((str(key_file),)) == (bytes.fromhex(stored["key"]),)


# ---- Files ----


REGISTER_COMMITS: tuple[tuple[m.Kept | m.Standing, ...], ...] = (
    (m.Standing(life=31), m.Kept("limits/0", BALLOT, m.Ballot(), m.Record())),
    (m.Kept("limits/0", BALLOT, BALLOT, m.Record(fence=1, writer="node-a", value=b"first")),),
    (KEPT, m.Kept("versions/state", HIGHER, LOWER, RECORD)),
    (m.Standing(31, True, (m.Met("node-b", 21, True), m.Met("node-c", 22))),),
)


def written(place: Path, node: str, life: int, commits: list[list[Row]]) -> bytes:
    """The journal's file after these commits."""

    async def write() -> None:
        one, records, _, is_new = Journal.open(str(place), node, life)
        assert is_new and not records
        for rows in commits:
            one.append(rows)
            await one.commit()
        await one.close()

    asyncio.run(write())
    return (place / files.NAME).read_bytes()


def opened(place: Path, name: str, node: str) -> tuple[dict[tuple[str, str], bytes], int]:
    """The records and the life of a stored file, as a node that starts finds them."""
    place.mkdir()
    (place / files.NAME).write_bytes((DATA / name).read_bytes())

    async def read() -> tuple[dict[tuple[str, str], bytes], int]:
        one, records, life, is_new = Journal.open(str(place), node, 99)
        assert not is_new
        await one.close()
        return records, life

    return asyncio.run(read())


def register_rows() -> list[list[Row]]:
    return [
        [row_of_register(one) if isinstance(one, m.Kept) else row_of_standing(one) for one in commit]
        for commit in REGISTER_COMMITS
    ]


def test_a_journal_with_votes_and_lives_is_read_and_written_as_before(tmp_path: Path) -> None:
    assert files.NAME == "keeper.journal"
    assert written(tmp_path / "new", "node-a", 31, register_rows()) == (DATA / "registers.journal").read_bytes()
    records, life = opened(tmp_path / "old", "registers.journal", "node-a")
    assert life == 31 and standing_in(records) == REGISTER_COMMITS[-1][0]
    assert registers_in(records) == REGISTER_COMMITS[2]
    stored = history.replay((DATA / "registers.journal").read_bytes(), "node-a")
    assert history.encode_head("node-a", 31) == (DATA / "registers.journal").read_bytes()[: history.BLOCK]
    # A file that is made begins with a mark, and each opening and each commit adds one.
    assert stored.rows == records and stored.serial == files.FIRST_SERIAL + 1 + len(REGISTER_COMMITS)


def control_rows() -> list[list[Row]]:
    """What a source writes while four versions are agreed: each slot's register as its keeper has it, and the scope."""
    registers: dict[str, tuple[int, bytes]] = {}
    commits: list[list[Row]] = []
    kept = ScopeRecords({})

    def moved(head: c.Head, entries: tuple[c.Entry, ...], is_whole: bool, _: int) -> list[m.Effect]:
        commits.append(kept.rows(c.InForce(head, entries, is_whole)))
        return []

    def ignore(version: int, why: str) -> list[m.Effect]:
        assert version, why
        return []

    logs = Logs("source-a", 8, Peers("source-a", (PLACE,), 1, 0), 0.001, 1, lambda scope, now, entries: "", moved)

    def run(effects: list[m.Effect], now_us: int) -> None:
        """Answer each question to a register at once, from the one that holds all of them."""
        for _ in range(20):  # a log that does not take a slot for its own asks without end
            if not effects:
                return
            effect = effects.pop(0)
            if isinstance(effect, m.Change):
                assert registers.get(effect.key, (0, b""))[0] == effect.fence
                registers[effect.key] = effect.fence + 1, effect.value
                record = m.Record(effect.fence + 1, "source-a", effect.value)
                commits.append([row_of_register(m.Kept(effect.key, BALLOT, BALLOT, record))])
            assert isinstance(effect, (m.Change, m.Read))
            how = "changed" if isinstance(effect, m.Change) else "found"
            fence, value = registers.get(effect.key, (0, b""))
            effects += logs.answered(m.Answer(effect.ask, effect.key, how, fence, value, now_us), now_us)
        raise AssertionError("the control log does not come to rest")

    offers = (
        (c.Entry("group/blue", b"1"), c.Entry("readers/r1", b"12")),
        (c.Entry("group/blue", b"2"), c.Entry("group/green", b"{}")),
        (c.Entry("readers/r1"),),
    )
    for number, entries in enumerate(offers):
        run(logs.offer("all", entries, -1, ignore, 1_000 * number), 1_000 * number)
    run(logs.offer("all", (ENTRY,), -1, ignore, 5_000, True), 5_000)
    return commits


def test_a_control_log_with_versions_is_read_and_written_as_before(tmp_path: Path) -> None:
    assert written(tmp_path / "new", "source-a", 32, control_rows()) == (DATA / "control.journal").read_bytes()
    records, life = opened(tmp_path / "old", "control.journal", "source-a")
    assert life == 32 and scopes_in(records) == [(c.Head("all", 1, 1), {"group/blue": b"7"})]
    slots = {one.key: decoded(one.record.value) for one in registers_in(records)}
    assert slots == {
        "control/all/1": Slot(1, 1, "source-a", 8, 4, (ENTRY,)),
        "control/all/2": Slot(0, 2, "source-a", 8, 2, (c.Entry("group/blue", b"2"), c.Entry("group/green", b"{}"))),
        "control/all/3": Slot(0, 3, "source-a", 8, 3, (c.Entry("readers/r1"),)),
    }
    assert [key for key, payload in records.items() if not payload] == [
        ("entry/all", "readers/r1"),
        ("entry/all", "group/green"),
    ]
