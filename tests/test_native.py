"""The compiled program decides what the plain one decides; where nothing compiles, the same wheel is plain."""

import os
import subprocess
import sys
import zipfile
from pathlib import Path

import pytest

from oatlink import native
from oatlink.core import snapshot
from oatlink.core.engine import Engine
from oatlink.core.snapshot import read_head, take_snapshot
from oatlink.lab.day import Report
from tests.test_engine import SETTINGS
from tests.test_stored_names import DATA, SNAPSHOT, restored

HERE = Path(__file__).parent.parent

# What a wheel's own program says of recordings: its form, and of each the inputs, the differences, what a witness saw
# chosen, and the state after.
TELLS = """
import sys
from itertools import islice
from oatlink import native
from oatlink.core.engine import Engine
from oatlink.core.explain import recorded_sends
from oatlink.core.recording import Recording, replay
from oatlink.core.snapshot import restore_engine, take_snapshot
print(native.code())
for file in sys.argv[1:]:
    data = open(file, "rb").read()
    recording = Recording(data)
    found = replay(recording.header, recording.entries())
    print(found.inputs, found.differences, found.first)
    recording = Recording(data)
    print(list(islice(recorded_sends(recording.header, recording.entries()), 500)))
    recording = Recording(data)
    engine = Engine(recording.header.settings, recording.header.began_us)
    for at, entry in enumerate(islice(recording.entries(), 1500)):
        engine.handle(entry.given, entry.now_us)
        if at % 500 == 250:
            engine = restore_engine(take_snapshot(engine, entry.now_us), recording.header.settings)
    print(sorted(map(repr, engine.box_statuses())))
"""

# What a wheel's own program makes of the stored files: its form, the replay, and the snapshot written again.
STORED = """
import sys
from oatlink import native
from oatlink.core import snapshot
from oatlink.core.recording import Recording, replay
snapshot.__version__ = "0.3.0"
recording, stored = (open(file, "rb").read() for file in sys.argv[1:])
recording = Recording(recording)
print(native.code())
print(replay(recording.header, recording.entries()).differences)
engine = snapshot.restore_engine(stored, recording.header.settings, expected_hash=recording.header.settings_hash)
print(snapshot.take_snapshot(engine, snapshot.read_head(stored).taken_us).hex())
"""


def wheel(to: Path, **environment: str) -> Path:
    """The project's wheel as `pip install .` builds it, unpacked."""
    done = subprocess.run(
        [sys.executable, "-m", "pip", "wheel", "-q", "--no-deps", "--no-build-isolation", "-w", str(to), str(HERE)],
        env={**os.environ, "OATLINK_OPTIMIZE": "0", **environment},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    (found,) = to.glob("*.whl")
    with zipfile.ZipFile(found) as packed:
        packed.extractall(to / "unpacked")
    return to / "unpacked"


@pytest.fixture(scope="module")
def compiled_wheel(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The compiled wheel, built once."""
    return wheel(tmp_path_factory.mktemp("compiled"))


def told(place: Path, files: list[Path], script: str = TELLS) -> list[str]:
    """What the program in a folder says of recordings."""
    done = subprocess.run(
        [sys.executable, "-c", script, *map(str, files)],
        env={**os.environ, "PYTHONPATH": str(place)},
        cwd=place,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


def test_a_recording_replays_to_the_same_decisions_compiled_and_plain(
    compiled_wheel: Path, day_of_trouble: tuple[Report, list[Path]]
) -> None:
    _, files = day_of_trouble
    compiled = told(compiled_wheel, files)
    plain = told(HERE, files)
    assert compiled[0] == native.COMPILED and plain[0] == native.PLAIN
    assert compiled[1:] == plain[1:]
    assert int(plain[1].split()[0]) > 1_000 and plain[1].split()[1] == "0"


def test_the_compiled_program_reads_and_writes_the_stored_names(
    compiled_wheel: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A compiled engine lists its attributes in another order and makes 50000 of a float attribute 50000.0. So its bytes
    # differ, and what the plain program makes of them is compared by value.
    files = [DATA / "recording-0.3.0.bin", DATA / "snapshot-0.3.0.bin"]
    form, differences, written = told(compiled_wheel, files, STORED)
    assert form == native.COMPILED and differences == "0"
    again, stored = read_head(bytes.fromhex(written)), read_head(SNAPSHOT)
    assert sorted(again.engine) == sorted(stored.engine) and list(again.router) == list(stored.router)
    monkeypatch.setattr(snapshot, "__version__", "0.3.0")
    assert read_head(take_snapshot(restored(bytes.fromhex(written)), stored.taken_us)) == stored


def test_without_a_compiler_the_wheel_is_whole_and_plain(tmp_path: Path) -> None:
    place = wheel(tmp_path, CC=str(tmp_path / "no-such-compiler"))
    assert not list(place.rglob("*.so")) and (place / "oatlink" / "rules" / "router.py").exists()
    assert told(place, []) == [native.PLAIN]


def test_a_snapshot_knows_what_a_compiled_engine_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    # A compiled class has no __dict__; what it says of itself is all that a snapshot has.
    engine = Engine(SETTINGS)
    whole = take_snapshot(engine, 1)
    monkeypatch.setattr(Engine, "__mypyc_attrs__", (*vars(engine), "__dict__"), raising=False)
    assert take_snapshot(engine, 1) == whole
