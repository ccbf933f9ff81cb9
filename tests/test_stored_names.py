"""Stored files of version 0.3.0 are read, and the same names are written, whatever names the code has now."""

from pathlib import Path
from typing import Any

import msgspec
import pytest

from oatlink.core import snapshot, stored_names
from oatlink.core.engine import Engine
from oatlink.core.recording import Entry, Header, Recording, replay
from oatlink.core.shared import GroupState
from oatlink.core.snapshot import Head, read_head, restore_engine, take_snapshot
from oatlink.fleet.gate import Served
from oatlink.fleet.limits.node import AllowanceState

DATA = Path(__file__).parent / "data"
SNAPSHOT = (DATA / "snapshot-0.3.0.bin").read_bytes()
RECORDING = (DATA / "recording-0.3.0.bin").read_bytes()


@pytest.fixture(autouse=True)
def as_version_0_3_0(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshot, "__version__", "0.3.0")


def restored(data: bytes = SNAPSHOT) -> Engine:
    """The engine of a snapshot with the stored settings."""
    header = Recording(RECORDING).header
    return restore_engine(data, header.settings, expected_hash=header.settings_hash)


def record_names(value: Any) -> set[str]:
    """The names of the records and enums in a snapshot's values."""
    if not isinstance(value, list):
        return set()
    own_name = {value[2]} if value and value[0] == "i" else {value[1]} if value and value[0] == "e" else set()
    return own_name.union(*map(record_names, value))


def outer_names(*types: Any) -> list[str]:
    """For each structure reachable from the types, its tag and its fields in order, without the name of its class."""
    structures: dict[Any, str] = {}

    def walk(info: Any) -> None:
        if isinstance(info, list | tuple):
            for part in info:
                walk(part)
        elif isinstance(info, msgspec.inspect.Type | msgspec.inspect.Field):
            if isinstance(info, msgspec.inspect.StructType | msgspec.inspect.DataclassType):
                if info.cls in structures:
                    return
                tag = getattr(info, "tag", None) or "-"
                structures[info.cls] = " ".join([f"{tag}:", *(field.encode_name for field in info.fields)])
            for name in info.__struct_fields__:
                walk(getattr(info, name))

    walk(msgspec.inspect.multi_type_info(types))
    return sorted(structures.values())


def test_a_stored_snapshot_is_restored_and_written_again_as_the_same_bytes() -> None:
    assert take_snapshot(restored(), read_head(SNAPSHOT).taken_us) == SNAPSHOT


def test_the_stored_snapshot_has_every_kind_of_record() -> None:
    head = read_head(SNAPSHOT)
    assert record_names([*head.engine.values(), *head.router.values()]) == set(snapshot.KINDS)


def test_a_stored_recording_replays_without_a_difference() -> None:
    recording = Recording(RECORDING)
    assert recording.header.snapshot
    replayed = replay(recording.header, recording.entries())
    assert (replayed.inputs, replayed.decisions, replayed.differences) == (106, 15, 0), replayed.first
    assert not recording.damage


def test_a_stored_recording_is_encoded_again_as_the_same_bytes() -> None:
    recording = Recording(RECORDING)
    payloads = [msgspec.msgpack.encode(record) for record in (recording.header, *recording.entries())]
    position = 0
    for payload in payloads:
        position = RECORDING.index(payload, position) + len(payload)
    assert position == len(RECORDING)


def test_the_names_in_recordings_and_heads_are_the_stored_ones() -> None:
    names = outer_names(Header, Entry, Head, AllowanceState, Served)
    assert "\n".join(names) + "\n" == (DATA / "names-0.3.0.txt").read_text()


def test_an_attribute_that_is_missing_in_the_tables_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a new or renamed attribute that would be left out of snapshots without any error."""
    engine, unchanged_engine = restored(), restored()
    engine.another = 1  # type: ignore[attr-defined]
    with pytest.raises(TypeError, match="the engine: .* differ about another"):
        take_snapshot(engine, 1)
    stored_names._check_tables()
    for table, name in ((stored_names.ROUTER, "lend"), (stored_names.ENGINE, "_boxes")):
        with monkeypatch.context() as patch:
            attribute = table[name]
            patch.delitem(table, name)
            with pytest.raises(TypeError, match=f"differ about {attribute}$"):
                stored_names._check_tables()
                take_snapshot(unchanged_engine, 1)
    name = "oatlink.core.shared.GroupState"
    attributes = stored_names.RECORDS[name][1]
    for changed in (attributes[1:], (*attributes, "another"), (attributes[1], attributes[0], *attributes[2:])):
        with monkeypatch.context() as patch:
            patch.setitem(stored_names.RECORDS, name, (GroupState, changed))
            with pytest.raises(TypeError, match=name):
                stored_names._check_tables()
    name = "oatlink.core.positions.Positions"
    record, attributes = stored_names.RECORDS[name]
    with monkeypatch.context() as patch:
        patch.setitem(stored_names.RECORDS, name, (record, attributes[1:]))
        with pytest.raises(TypeError, match=f"differ about {attributes[0]}$"):
            stored_names._check_tables()
