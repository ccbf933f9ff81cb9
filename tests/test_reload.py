"""Reload of the settings: what may change, what may not; no open request is lost or replays differently."""

import msgspec
import pytest

from oatlink.core import messages as m
from oatlink.core.recording import Recorder, Recording, replay
from oatlink.core.reload import FIXED_SETTINGS, changes, objections
from oatlink.core.snapshot import restore_engine, take_snapshot
from oatlink.settings import Settings, load_text
from tests.test_engine import KEY, PLAIN, SETTINGS, TEMPLATE, Rig, sent
from tests.test_recording import traced

NEW = load_text(
    TEMPLATE.replace("'view'", "'look'").replace("staleness_ms: 500", "staleness_ms: 300").replace("'v:*'", "'k*'"),
    "new",
)


def test_fixed_settings_are_settings() -> None:
    assert set(FIXED_SETTINGS) <= set(Settings.__struct_fields__)


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("seed: 3", "seed: 4", "seed"),
        ("127.0.0.1:0", "127.0.0.1:7", "listen"),
        ("hall: 'a', seed", "sessions: 'client-name', seed", "sessions"),
        ("'one'", "'uno'", "banks"),
        ("[0, 8191]", "[0, 8190], [8191, 8191]", "banks[0].slots"),
    ],
)
def test_what_may_not_change_is_named(old: str, new: str, place: str) -> None:
    other = load_text(TEMPLATE.replace(old, new), "other")
    texts = list(objections(SETTINGS, other))
    assert texts[0].startswith(f"{place}: expected ")
    assert not list(objections(SETTINGS, NEW)) and changes(SETTINGS, NEW) == ["classes"]


def test_requests_of_a_removed_class_keep_that_class() -> None:
    recorder = Recorder("test", SETTINGS, 1_000_000_000)
    with traced(recorder) as parts:
        rig = Rig()
        write = sent(rig.ask("SET", KEY, 1))
        assert rig.ask("GET", KEY) is None  # this read waits for the write, and the reload removes its class
        rig.give(m.Reloaded(NEW))
        rig.engine = restore_engine(take_snapshot(rig.engine, rig.now), NEW)
        rig.end(write)
        rig.end(rig.sent[-1], [b"$1\r\n1\r\n"])
        assert rig.text() == b"+OK\r\n$1\r\n1\r\n"
        boxes = []
        for number in range(4):
            rig.pass_us(20_000)
            rig.end(sent(rig.ask("GET", PLAIN)), [b"$-1\r\n"])
            boxes.append(rig.sent[-1].box)
            rig.pass_us(number)
        assert set(boxes) & {"r", "s"}  # these keys are of the class `look` now, whose reads use the replicas
    recording = Recording(b"".join(parts))
    assert replay(recording.header, recording.entries()).differences == 0


def test_a_tighter_bound_holds_from_the_next_read_on() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("GET", KEY)))
    tight = load_text(TEMPLATE.replace("staleness_ms: 500", "staleness_ms: 40"), "tight")
    rig.give(m.Reloaded(tight))
    rig.says["r"] = rig.says["s"] = b""  # no further report of the replicas arrives
    rig.pass_us(60_000)
    assert sent(rig.ask("GET", KEY)).box == "p"
    assert rig.engine.settings is tight and msgspec.structs.asdict(rig.engine.settings)["seed"] == 3


def test_a_reload_during_a_flood_keeps_the_limit() -> None:
    rig = Rig()
    rig.engine._admission.limit = 100.0
    rig.engine._admission.retry_after_us = 700_000
    slower = TEMPLATE.replace("aim_ms: 600", "aim_ms: 1200").replace("aim_ms: 1000", "aim_ms: 1500")
    rig.give(m.Reloaded(load_text(slower, "slower")))
    admission = rig.engine._admission
    assert admission.limit == 100.0 and admission.retry_after_us == 700_000
    assert admission.target_us == 150_000  # a share of the shortest aim after the reload
    stagger = load_text(TEMPLATE.replace("classes:", "links: { stagger_ms: 77 }, classes:"), "stagger")
    rig.give(m.Reloaded(stagger))
    assert all(state.paths.stagger_us == 77_000 for state in rig.engine._boxes.values())
