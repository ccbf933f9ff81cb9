"""Tests the shell of the stream: what a source stores on disk, commands, and who reaches the acceptors."""

import asyncio
import tempfile
from pathlib import Path

import msgspec
import pytest

from oatlink.fleet import messages as m
from oatlink.fleet.control.participant import Participant
from oatlink.fleet.messages import control as c
from oatlink.fleet.shell.control import ControlNode
from oatlink.fleet.shell.control_commands import USAGE, find_mistake
from oatlink.fleet.shell.history import Row
from oatlink.fleet.shell.journal import COMPACT_BYTES, Journal, Records
from oatlink.fleet.shell.scope_records import ScopeRecords, scopes_in
from oatlink.settings.fleet import Control, Fleet, FleetNode
from tests.fleet.life_world import SECRET


def store(records: Records, rows: list[Row]) -> None:
    for row in rows:
        records[row.kind, row.key] = row.payload


def version(number: int, *entries: tuple[str, bytes], whole: bool = False) -> c.InForce:
    return c.InForce(c.Head("all", 0, number), tuple(c.Entry(*entry) for entry in entries), whole)


def test_a_source_stores_what_was_in_force() -> None:
    records: Records = {}
    kept = ScopeRecords(records)
    store(records, kept.rows(version(1, ("a", b"1"), ("b", b"1"))))
    store(records, kept.rows(version(2, ("a", b""), ("c", b"2"))))
    assert scopes_in(records) == [(c.Head("all", 0, 2), {"b": b"1", "c": b"2"})]
    store(records, ScopeRecords(records).rows(version(9, ("d", b"9"), whole=True)))
    assert scopes_in(records) == [(c.Head("all", 0, 9), {"d": b"9"})]


def test_a_version_stored_only_in_part_is_not_restored() -> None:
    before: Records = {}
    kept = ScopeRecords(before)
    store(before, kept.rows(version(1, ("a", b"1"), ("b", b"1"))))
    rows = kept.rows(version(2, ("a", b"2"), ("b", b"2")))
    for row_count in range(1, len(rows)):
        records = dict(before)
        store(records, rows[:row_count])
        assert scopes_in(records) == []
    store(before, rows)
    assert scopes_in(before) == [(c.Head("all", 0, 2), {"a": b"2", "b": b"2"})]


def test_a_removed_record_is_gone_when_the_file_is_rewritten(tmp_path: Path) -> None:
    async def write() -> None:
        journal, *_ = Journal.open(str(tmp_path / "state"), "s", 1)
        for number in range(40):
            journal.append([Row("entry/all", f"k{number}", b"x" * 60_000)])
            await journal.commit()
            journal.append([Row("entry/all", f"k{number}", b"")])
            await journal.commit()
        await journal.close()

    asyncio.run(write())
    _, records, *_ = Journal.open(str(tmp_path / "state"), "s", 1)
    assert not any(records.values()) and len(records) < 40
    assert (tmp_path / "state" / "keeper.journal").stat().st_size < COMPACT_BYTES + 100_000


# ---- Commands ----

SOURCES = tuple(FleetNode(f"s{number}", f"127.0.0.1:{number + 1}", True) for number in range(3))


def fleet(node: str, folder: str) -> Fleet:
    key = Path(folder, "key")
    key.touch(mode=0o600)
    key.write_bytes(SECRET)
    own = SOURCES[0] if node == "s0" else FleetNode(node, "127.0.0.1:9")
    return Fleet(node, (own,), (str(key),), folder, control=Control(SOURCES, "r", "z"))


def answer_to(node: str, *words: str | bytes) -> str:
    """Return the answer to an operator of a process whose sockets are not open."""

    async def ask(folder: str) -> str:
        settings = fleet(node, folder)
        assert settings.control is not None
        control_node = ControlNode(settings, 1, lambda event, text: None)
        control_node._participant = Participant(settings, settings.control, 1, 1, find_mistake, 0)
        try:
            command = [word.encode() if isinstance(word, str) else word for word in words]
            return await control_node.word("control", msgspec.msgpack.encode(command))
        finally:
            await control_node.stop()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(ask(folder))


@pytest.mark.parametrize(
    ("words", "reason"),
    [
        (("PUT", "all", "k"), USAGE),
        (("PUT", "all", "k", "1", "2", "3"), USAGE),
        (("TAKE", "all", "k", "1"), USAGE),
        (("PUT", "all", "k", "1", "-1"), "expected a version's number, got '-1'"),
        (("PUT", "all", "k", "1", "²"), "expected a version's number"),
        (("PUT", "all", b"\xff", "1"), "expected UTF-8"),
        (("PUT", "nowhere", "k", "1"), "'nowhere' is no scope for changes"),
        (("PUT", "names/r/z", "k", "1"), "no scope for changes"),
        (("PUT", "all", "k" * 129, "1"), "a key has 1 to 128 bytes"),
        (("PUT", "all", "k", "1" * 4_097), "a value 4096 at most"),
    ],
)
def test_a_bad_command_is_refused_in_one_line(words: tuple[str | bytes, ...], reason: str) -> None:
    answer = answer_to("s0", *words)
    assert answer.startswith("refused: ") and reason in answer and "\n" not in answer


def test_a_reader_names_the_sources_and_any_process_shows_its_state() -> None:
    assert answer_to("g", "PUT", "all", "k", "1") == "refused: no source; offer it at one of s0 s1 s2"
    assert answer_to("g", "STATUS").startswith("node: g\ncontrol: behind, never heard")
    assert answer_to("s0").startswith("node: s0\nsource: s0 1")


def test_a_value_is_json() -> None:
    assert find_mistake("all", {}, (c.Entry("a", b'{"b": 1}'), c.Entry("c"))) == ""
    assert find_mistake("all", {}, (c.Entry("a", b"1"), c.Entry("b", b"{"))) == "'b': expected JSON"


def test_only_sources_are_heard_on_registers() -> None:
    with tempfile.TemporaryDirectory() as folder:
        settings = fleet("s0", folder)
    assert settings.control is not None
    participant = Participant(settings, settings.control, 1, 1, find_mistake, 0)
    for message in (m.Prepare("k", m.Ballot(1, "g", 1)), m.Copy(1), m.Outbid("k", m.Ballot(), m.Ballot(9, "g", 1))):
        assert participant.receive("g", message, 0) == []
    assert participant.dropped["register"] == 3
