"""Snapshots: a restored engine gives the same effects, and a new process takes over what is still valid."""

from itertools import islice
from pathlib import Path

import msgspec
import pytest

from oatlink.core import messages as m
from oatlink.core import snapshot as core
from oatlink.core.engine import Engine
from oatlink.core.recording import Recording
from oatlink.core.snapshot import SnapshotError, engine_from_snapshot, restore_engine, take_snapshot
from oatlink.lab.day import Report
from oatlink.settings import load_text
from tests.test_engine import OWN, PLAIN, SETTINGS, TEMPLATE, Rig, info, sent


def test_a_day_goes_on_from_snapshots_with_the_same_effects(day_of_trouble: tuple[Report, list[Path]]) -> None:
    encode = msgspec.msgpack.encode
    compared = snapshots = 0
    for file in day_of_trouble[1]:
        recording = Recording(file.read_bytes())
        engine = Engine(recording.header.settings, recording.header.began_us)
        for index, entry in enumerate(islice(recording.entries(), 4_000)):
            if index % 500 == 499 or index == 37:
                engine = restore_engine(take_snapshot(engine, entry.now_us), recording.header.settings)
                snapshots += 1
            assert encode(engine.handle(entry.given, entry.now_us)) == encode(entry.effects), index
            compared += 1
    assert compared > 1_500 and snapshots >= 4


def test_a_snapshot_contains_open_and_pending_requests_and_transactions() -> None:
    rig = Rig()
    first = sent(rig.ask("SET", PLAIN, 1))
    rig.ask("GET", PLAIN)
    rig.ask("MULTI", client=2)
    rig.ask("SET", OWN, 5, client=2)
    rig.engine = restore_engine(take_snapshot(rig.engine, rig.now), SETTINGS)
    rig.end(first)
    rig.end(rig.sent[-1], [b"$1\r\n1\r\n"])
    assert rig.text() == b"+OK\r\n$1\r\n1\r\n"
    assert sent(rig.ask("EXEC", client=2)).payload.startswith(b"*1\r\n$5\r\nMULTI")


def test_another_version_other_settings_and_damage_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig()
    data = take_snapshot(rig.engine, rig.now)
    other = load_text(TEMPLATE.replace("seed: 3", "seed: 4"), "test")
    with pytest.raises(SnapshotError, match="taken with settings"):
        restore_engine(data, other)
    for cut in (0, 3, len(core.MAGIC), 40, len(data) - 1):
        with pytest.raises(SnapshotError) as caught:
            restore_engine(data[:cut], SETTINGS, "f")
        assert str(caught.value).startswith("f: ") and "\n" not in str(caught.value)
    with pytest.raises(SnapshotError, match="checksum"):
        restore_engine(data[:-5] + b"xxxxx", SETTINGS)
    monkeypatch.setattr(core, "__version__", "9.9")
    with pytest.raises(SnapshotError, match="taken by version"):
        restore_engine(data, SETTINGS)


def restart_from(rig: Rig, pass_us: int, data: bytes = b"") -> Rig:
    """A new process that starts from a snapshot of the old one: from `data`, or from one that is taken now."""
    new = Rig()
    new.now = rig.now + pass_us
    new.engine = engine_from_snapshot(data or take_snapshot(rig.engine, rig.now), SETTINGS, new.now)
    new.says = rig.says
    new.give(m.Started())
    new.list()
    new.give(m.Opened(1))
    return new


def test_a_reconnected_session_still_reads_its_own_writes() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", OWN, 1)))
    rig.says["p"] = info("primary", 150, run="p")
    new = restart_from(rig, 100_000)
    for _ in range(3):  # a gateway's first read may reach the primary by chance, so all are checked
        send = sent(new.ask("GET", OWN))
        assert send.box == "p"  # the replicas are still at 100
        new.end(send, [b"$1\r\n1\r\n"])
        new.pass_us(1_000)


def reads_go_to(rig: Rig, count: int = 3) -> set[str]:
    """The boxes that a session's next reads are sent to."""
    boxes = set()
    for _ in range(count):
        send = sent(rig.ask("GET", OWN))
        boxes.add(send.box)
        rig.end(send, [b"$1\r\n1\r\n"])
        rig.pass_us(1_000)
    return boxes


def test_a_reconnected_session_reads_its_write_that_was_open_at_the_snapshot() -> None:
    """Guards against a client's read from a replica without the client's own write, after its gateway died.

    A new process took over only the writes that had been answered. A write that was still open was lost with its
    request, although the primary had committed it (here the primary is at 150, the replicas at 100).
    """
    rig = Rig()
    sent(rig.ask("SET", OWN, 1))
    rig.says["p"] = info("primary", 150, run="p")
    assert reads_go_to(restart_from(rig, 100_000)) == {"p"}


def test_a_reconnected_session_reads_its_write_that_came_after_the_snapshot() -> None:
    """Guards against the same failure when the write came after the snapshot, so that the new process lacks it."""
    rig = Rig()
    data = take_snapshot(rig.engine, rig.now)
    rig.end(sent(rig.ask("SET", OWN, 1)))
    rig.says["p"] = info("primary", 150, run="p")
    assert reads_go_to(restart_from(rig, 100_000, data)) == {"p"}


def test_an_election_after_the_snapshot_is_noticed() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 1)))
    rig.says["p"], rig.says["r"] = info("replica", 100, "h2", "p"), info("primary", 100, "h2", "r", "h1", 101)
    new = restart_from(rig, 1_000_000)
    assert sent(new.ask("SET", PLAIN, 2)).box == "r"


def test_a_snapshot_that_is_too_old_or_ahead_of_the_clock_is_refused() -> None:
    rig = Rig()
    data = take_snapshot(rig.engine, rig.now)
    with pytest.raises(SnapshotError, match="began anew"):
        engine_from_snapshot(data, SETTINGS, 5_000)
    with pytest.raises(SnapshotError, match="60 at most"):
        engine_from_snapshot(data, SETTINGS, rig.now + 61_000_000)
