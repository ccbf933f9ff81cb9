"""Compiled modules make the same decisions as plain Python; without a compiler the wheel is plain Python."""

import os
import subprocess
import sys
import zipfile
from pathlib import Path

import pytest

from oatlink import native
from oatlink.core.engine import Engine
from oatlink.core.snapshot import take
from oatlink.lab.day import Report
from tests.test_engine import SETTINGS

ROOT = Path(__file__).parent.parent

# Run in the unpacked wheel: prints `code_kind()` and, for each recording, the counts of inputs and differences, the
# choices recorded by `told`, and the final state of an engine that was restored from snapshots on the way.
REPORT_SCRIPT = """
import sys
from itertools import islice
from oatlink import native
from oatlink.core.engine import Engine
from oatlink.core.explain import told
from oatlink.core.recording import Recording, replay
from oatlink.core.snapshot import restore, take
print(native.code_kind())
for file in sys.argv[1:]:
    data = open(file, "rb").read()
    recording = Recording(data)
    replayed = replay(recording.header, recording.entries())
    print(replayed.inputs, replayed.differences, replayed.first)
    recording = Recording(data)
    print(list(islice(told(recording.header, recording.entries()), 500)))
    recording = Recording(data)
    engine = Engine(recording.header.settings, recording.header.began_us)
    for index, entry in enumerate(islice(recording.entries(), 1500)):
        engine.handle(entry.given, entry.now_us)
        if index % 500 == 250:
            engine = restore(take(engine, entry.now_us), recording.header.settings)
    print(sorted(map(repr, engine.verdicts())))
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


def report(folder: Path, recordings: list[Path]) -> list[str]:
    """Run `REPORT_SCRIPT` with the package in a folder and return the lines printed."""
    done = subprocess.run(
        [sys.executable, "-c", REPORT_SCRIPT, *map(str, recordings)],
        env={**os.environ, "PYTHONPATH": str(folder)},
        cwd=folder,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


def test_a_recording_replays_to_the_same_decisions_compiled_and_plain(
    tmp_path: Path, day_of_trouble: tuple[Report, list[Path]]
) -> None:
    _, recordings = day_of_trouble
    compiled = report(build_wheel(tmp_path), recordings)
    plain = report(ROOT, recordings)
    assert compiled[0] == native.COMPILED and plain[0] == native.PLAIN
    assert compiled[1:] == plain[1:]
    assert int(plain[1].split()[0]) > 1_000 and plain[1].split()[1] == "0"


def test_without_a_compiler_the_wheel_is_complete_and_plain_python(tmp_path: Path) -> None:
    folder = build_wheel(tmp_path, CC=str(tmp_path / "no-such-compiler"))
    assert not list(folder.rglob("*.so")) and (folder / "oatlink" / "rules" / "router.py").exists()
    assert report(folder, []) == [native.PLAIN]


def test_snapshots_of_compiled_and_plain_engines_are_equal(monkeypatch: pytest.MonkeyPatch) -> None:
    # A compiled class has no __dict__; a snapshot then depends on the attributes listed in __mypyc_attrs__.
    engine = Engine(SETTINGS)
    snapshot = take(engine, 1)
    monkeypatch.setattr(Engine, "__mypyc_attrs__", (*vars(engine), "__dict__"), raising=False)
    assert take(engine, 1) == snapshot
