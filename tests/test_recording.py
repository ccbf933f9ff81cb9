"""Recordings: replays give the same effects, reading stops at damage, and a replay finds a changed rule."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from oatlink.core import messages as m
from oatlink.core import recording as core
from oatlink.core.engine import Engine
from oatlink.core.recording import Recorder, Recording, RecordingError, replay
from oatlink.lab.day import Report
from oatlink.rules import checks, concurrency
from tests.test_engine import KEY, PLAIN, SETTINGS, Rig


@contextmanager
def traced(recorder: Recorder) -> Iterator[list[bytes]]:
    """Record every engine while the context is open; yields the frames, beginning with the header."""
    frames = [recorder.header]
    original = Engine.handle

    def handle(self: Engine, given: m.AnyInput, now_us: int) -> list[m.AnyEffect]:
        effects = original(self, given, now_us)
        frames.append(recorder.add_input(now_us, given, effects))
        return effects

    Engine.handle = handle  # type: ignore[method-assign]
    try:
        yield frames
    finally:
        Engine.handle = original  # type: ignore[method-assign]


def recorded(steps: list[tuple[int, int]]) -> bytes:
    """The recording of an engine that goes through the steps, each a kind of step and a number."""
    with traced(Recorder("test", SETTINGS, 1_000_000_000)) as frames:
        rig = Rig()
        for kind, number in steps:
            if kind < 2:
                rig.ask(*[("GET", KEY), ("SET", PLAIN, number)][kind])
            elif kind < 5 and rig.sent:
                rig.end(rig.sent[number % len(rig.sent)], how=["reply", "reset", "no room"][kind - 2])
            else:
                rig.pass_us(number * 3_000)
    return b"".join(frames)


STEPS = st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300)), max_size=40)


@hypothesis.given(STEPS)
def test_a_recording_replays_to_the_same_effects(steps: list[tuple[int, int]]) -> None:
    recording = Recording(recorded(steps))
    replayed = replay(recording.header, recording.entries())
    assert replayed.inputs >= 4 and replayed.differences == 0 and not recording.damage


@hypothesis.given(STEPS, st.integers(0, 10**6), st.integers(1, 255))
def test_reading_stops_at_damage_and_names_its_byte(steps: list[tuple[int, int]], position: int, flip: int) -> None:
    data = bytearray(recorded(steps))
    intact_count = len(list(Recording(bytes(data)).entries()))
    position %= len(data)
    data[position] ^= flip
    try:
        recording = Recording(bytes(data), "f")
    except RecordingError as error:
        assert str(error).startswith("f: byte ")
        return
    count = len(list(recording.entries()))
    assert count < intact_count and recording.damage.startswith("f: byte ")
    assert int(recording.damage.split()[2].rstrip(":")) <= position


def test_a_truncated_file_is_read_up_to_its_end() -> None:
    data = recorded([(0, 0), (1, 1), (2, 0), (5, 9)])
    count = len(list(Recording(data).entries()))
    for cut in range(len(data) - 200, len(data)):
        try:
            recording = Recording(data[:cut], "f")
        except RecordingError:
            continue
        assert len(list(recording.entries())) <= count - 1
        assert "cut off" in recording.damage or len(list(recording.entries())) == 0


@pytest.mark.parametrize(
    "data", [b"", b"x" * 50, core.MAGIC, core.MAGIC[:-1] + b"\x09" + b"x" * 20, core.MAGIC + core.frame(b"\x90")]
)
def test_data_that_is_no_recording_gives_an_error_of_one_line(data: bytes) -> None:
    with pytest.raises(RecordingError, match="^f: byte|^$") as caught:
        Recording(data, "f")
    assert "\n" not in str(caught.value)


def parts_of(steps: list[tuple[int, int]], part_bytes: int, parts: int = 1_000, first: int = 0) -> list[bytes]:
    """The parts of a recording that begins after the input with the number `first`."""
    rig, original = Rig(), Engine.handle
    recorder = Recorder("test", SETTINGS, rig.now, part_bytes=part_bytes, parts=parts, engine=rig.engine)
    count = 0

    def handle(self: Engine, given: m.AnyInput, now_us: int) -> list[m.AnyEffect]:
        nonlocal count, recorder
        effects = original(self, given, now_us)
        count += 1
        if count == first:
            recorder = Recorder("test", SETTINGS, now_us, part_bytes=part_bytes, parts=parts, engine=self)
        elif count > first:
            recorder.add_input(now_us, given, effects)
            if recorder.is_full:
                recorder.begin_part(self, now_us)
        return effects

    Engine.handle = handle  # type: ignore[method-assign]
    try:
        for kind, number in steps:
            if kind < 3:
                rig.ask(*[("GET", KEY), ("SET", PLAIN, number), ("MULTI",)][kind])
            elif kind < 5 and rig.sent:
                rig.end(rig.sent[number % len(rig.sent)], how=["reply", "reset"][kind - 3])
            else:
                rig.pass_us(number * 3_000)
    finally:
        Engine.handle = original  # type: ignore[method-assign]
    return [b"".join(part.frames) for part in recorder.kept_parts]


@hypothesis.given(STEPS, st.integers(1, 3_000), st.integers(0, 30))
def test_every_part_replays_by_itself_wherever_it_begins(
    steps: list[tuple[int, int]], part_bytes: int, first: int
) -> None:
    for number, data in enumerate(parts_of(steps, part_bytes, first=first), 1):
        recording = Recording(data)
        assert recording.header.part == number
        assert replay(recording.header, recording.entries()).differences == 0


def test_the_ring_is_bounded_and_its_oldest_part_still_replays() -> None:
    steps = [(number % 6, number * 7 % 300) for number in range(600)]
    all_parts = parts_of(steps, 2_000)
    ring = parts_of(steps, 2_000, parts=3)
    assert len(all_parts) > 10 and len(ring) == 3 and ring == all_parts[-3:]
    assert sum(map(len, ring)) < sum(map(len, all_parts)) / 3
    recording = Recording(ring[0])
    assert recording.header.snapshot and replay(recording.header, recording.entries()).inputs > 3
    # A damaged state is refused before anything is replayed.
    broken = msgspec.structs.replace(recording.header, snapshot=recording.header.snapshot[:-9])
    with pytest.raises(RecordingError, match="half-written"):
        replay(broken, iter(()))


def test_a_day_of_trouble_replays_without_a_difference_and_a_changed_rule_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, day_of_trouble: tuple[Report, list[Path]]
) -> None:
    _, files = day_of_trouble
    inputs = 0
    for file in files:
        recording = Recording(file.read_bytes())
        replayed = replay(recording.header, recording.entries())
        assert replayed.differences == 0, replayed.first
        inputs += replayed.inputs
    assert inputs > 3_000
    path = tmp_path / "day.0"
    path.write_bytes(files[0].read_bytes())
    done = subprocess.run([sys.executable, "-m", "oatlink", "replay", str(path)], capture_output=True, text=True)
    assert done.returncode == 0 and "0 differences" in done.stdout
    path.write_bytes(path.read_bytes()[:-3])
    done = subprocess.run([sys.executable, "-m", "oatlink", "replay", str(path)], capture_output=True, text=True)
    assert done.returncode == 0 and "cut off inside a frame" in done.stderr
    # With two rules changed, the replay differs and names a request.
    monkeypatch.setattr(checks, "is_in_doubt", lambda *_: False)
    monkeypatch.setattr(concurrency, "has_capacity", lambda state, member, share, *_: len(member.outstanding) < 1)
    recording = Recording(files[1].read_bytes())
    replayed = replay(recording.header, recording.entries())
    assert replayed.differences > 0 and replayed.first is not None and replayed.first.request > 0
