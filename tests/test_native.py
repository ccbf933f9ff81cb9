"""Compiled modules make the same decisions as plain Python; without a compiler the wheel is plain Python."""

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

ROOT = Path(__file__).parent.parent

# Run in the unpacked wheel: prints `code_kind()` and, for each recording, the counts of inputs and differences, the
# sends recorded by `recorded_sends`, and the final state of an engine that was restored from snapshots on the way.
REPORT_SCRIPT = """
import sys
from itertools import islice
from oatlink import native
from oatlink.core.engine import Engine
from oatlink.core.explain import recorded_sends
from oatlink.core.recording import Recording, replay
from oatlink.core.snapshot import restore_engine, take_snapshot
print(native.code_kind())
for file in sys.argv[1:]:
    data = open(file, "rb").read()
    recording = Recording(data)
    replayed = replay(recording.header, recording.entries())
    print(replayed.inputs, replayed.differences, replayed.first)
    recording = Recording(data)
    print(list(islice(recorded_sends(recording.header, recording.entries()), 500)))
    recording = Recording(data)
    engine = Engine(recording.header.settings, recording.header.began_us)
    for index, entry in enumerate(islice(recording.entries(), 1500)):
        engine.handle(entry.given, entry.now_us)
        if index % 500 == 250:
            engine = restore_engine(take_snapshot(engine, entry.now_us), recording.header.settings)
    print(sorted(map(repr, engine.box_statuses())))
"""

# Run in the unpacked wheel with the stored files: prints `code_kind()`, the replay's differences and the snapshot
# as that program writes it again.
STORED_NAMES_SCRIPT = """
import sys
from oatlink import native
from oatlink.core import snapshot
from oatlink.core.recording import Recording, replay
snapshot.__version__ = "0.3.0"
recording, stored = (open(file, "rb").read() for file in sys.argv[1:])
recording = Recording(recording)
print(native.code_kind())
print(replay(recording.header, recording.entries()).differences)
engine = snapshot.restore_engine(stored, recording.header.settings, expected_hash=recording.header.settings_hash)
print(snapshot.take_snapshot(engine, snapshot.read_head(stored).taken_us).hex())
"""


def build_wheel(folder: Path, **environment: str) -> Path:
    """Build the project's wheel as `pip install .` does, and return the folder to which it was unpacked."""
    done = subprocess.run(
        [sys.executable, "-m", "pip", "wheel", "-q", "--no-deps", "--no-build-isolation", "-w", str(folder), str(ROOT)],
        env={**os.environ, "OATLINK_OPTIMIZE": "0", **environment},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    (wheel,) = folder.glob("*.whl")
    with zipfile.ZipFile(wheel) as archive:
        archive.extractall(folder / "unpacked")
    return folder / "unpacked"


@pytest.fixture(scope="module")
def compiled_wheel(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The compiled wheel, built once."""
    return build_wheel(tmp_path_factory.mktemp("compiled"))


def report(folder: Path, files: list[Path], script: str = REPORT_SCRIPT) -> list[str]:
    """Run a script with the package in a folder on recordings or other files and return the lines printed."""
    done = subprocess.run(
        [sys.executable, "-c", script, *map(str, files)],
        env={**os.environ, "PYTHONPATH": str(folder)},
        cwd=folder,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


def test_a_recording_replays_to_the_same_decisions_compiled_and_plain(
    compiled_wheel: Path, day_of_trouble: tuple[Report, list[Path]]
) -> None:
    _, recordings = day_of_trouble
    compiled = report(compiled_wheel, recordings)
    plain = report(ROOT, recordings)
    assert compiled[0] == native.COMPILED and plain[0] == native.PLAIN
    assert compiled[1:] == plain[1:]
    assert int(plain[1].split()[0]) > 1_000 and plain[1].split()[1] == "0"


def test_the_compiled_program_reads_and_writes_the_stored_names(
    compiled_wheel: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A compiled engine lists its attributes in another order and makes 50000 of a float attribute 50000.0. So its bytes
    # differ, and the values that the plain program reads from them are compared instead.
    files = [DATA / "recording-0.3.0.bin", DATA / "snapshot-0.3.0.bin"]
    form, differences, written = report(compiled_wheel, files, STORED_NAMES_SCRIPT)
    assert form == native.COMPILED and differences == "0"
    again, stored = read_head(bytes.fromhex(written)), read_head(SNAPSHOT)
    assert sorted(again.engine) == sorted(stored.engine) and list(again.router) == list(stored.router)
    monkeypatch.setattr(snapshot, "__version__", "0.3.0")
    assert read_head(take_snapshot(restored(bytes.fromhex(written)), stored.taken_us)) == stored


def test_without_a_compiler_the_wheel_is_complete_and_plain_python(tmp_path: Path) -> None:
    folder = build_wheel(tmp_path, CC=str(tmp_path / "no-such-compiler"))
    assert not list(folder.rglob("*.so")) and (folder / "oatlink" / "rules" / "router.py").exists()
    assert report(folder, []) == [native.PLAIN]


def test_snapshots_of_compiled_and_plain_engines_are_equal(monkeypatch: pytest.MonkeyPatch) -> None:
    # A compiled class has no __dict__; a snapshot then depends on the attributes listed in __mypyc_attrs__.
    engine = Engine(SETTINGS)
    whole = take_snapshot(engine, 1)
    monkeypatch.setattr(Engine, "__mypyc_attrs__", (*vars(engine), "__dict__"), raising=False)
    assert take_snapshot(engine, 1) == whole
