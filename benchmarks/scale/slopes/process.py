"""A real process of the platform's gateway that nobody asks for anything, by its list: what values alone left out."""

import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.slopes.calls import Discovery

SETTLE_S, IDLE_S = 4, 20  # one line of state at least lies in the idle time
OPTIONS = {
    "Classes": [
        {"Name": "view", "DeadlineUs": 1_000_000, "GoalTimeUs": 200_000, "Effect": "idempotent", "Gain": 1},
    ],
    "FamilyInfo": {"Freshness": ["recent"], "LagAllowedUs": [500_000]},
    "Zone": "zone-00",
    "Discovery": "ask",
    "PeersTotal": 3_600,
    "Limits": {"MayProbe": True},
}


def _cpu_s(process: int) -> float:
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _kept_mb(process: int) -> float:
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


def _run(members: int) -> Values:
    discovery = Discovery(members, waits=True)
    discovery.begin()
    with tempfile.TemporaryDirectory(prefix="oatlink-scale-") as folder:
        path, log = Path(folder) / "config.json", Path(folder) / "log"
        text = {
            "name": "gw",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "7",
            "limits": {"sockets": 16_384},
            "settings": OPTIONS,
        }
        path.write_text(json.dumps(text))
        with log.open("wb") as lines:
            words = [sys.executable, "-m", "oatlink.platform"]
            process = subprocess.Popen(words, env=os.environ | {"GW_CONFIG": str(path)}, stderr=lines)
            try:
                time.sleep(SETTLE_S)
                started_s, logged = _cpu_s(process.pid), log.stat().st_size
                time.sleep(IDLE_S)
                idle_s, kept = _cpu_s(process.pid) - started_s, _kept_mb(process.pid)
                written = log.stat().st_size - logged
                descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                assert process.poll() is None
            finally:
                process.kill()
                process.wait()
        assert "state: " in log.read_text()  # each 100 sweeps and what those take, so the more members the rarer
    discovery.end()
    return {
        "start_cpu_ms": 1000 * started_s,
        "idle_cpu_ms_per_s": 1000 * idle_s / IDLE_S,
        "resident_mb": kept,
        "log_bytes_per_s": written / IDLE_S,
        "descriptors": descriptors,
    }


MEASUREMENT = Measurement(
    "process",
    "a process of the platform's gateway, nobody asks; the list over a socket, 20 s",
    "members",
    (12, 600, 2_400, 4_800, 7_200),
    _run,
)
