"""The operators' commands (status, check, explain, replay, record) agree with the gateway: they use its engine."""

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from oatlink.cli import operators
from oatlink.core import messages as m
from oatlink.core.explain import explain, recorded_sends
from oatlink.core.recording import Recording, replay
from oatlink.gateway.listeners import listen
from oatlink.gateway.server import Gateway
from oatlink.lab.day import Report
from oatlink.lab.embedded import Embedded, port_of, reserve
from oatlink.protocols import resp
from oatlink.settings import load
from tests.gateways import Wire, start_gateway, start_program
from tests.test_engine import KEY, PLAIN, Rig, info, sent
from tests.test_recording import recorded


def run(*words: str, code: int = 0) -> str:
    """Run an `oatlink` command, check its exit code and return its output."""
    process = subprocess.run([sys.executable, "-m", "oatlink", *words], capture_output=True, text=True, timeout=30)
    assert process.returncode == code, process.stdout + process.stderr
    return process.stdout + process.stderr


class Site:
    """A bank of stand-in servers and a gateway in front of it, each in a process of its own as in production."""

    def __init__(self, folder: Path) -> None:
        self.bank, first_line = start_program("bank")
        self.boxes = json.loads(first_line)["banks"]["bank-0"]
        self.folder = folder
        self.roster = folder / "roster.json"
        self.recording = folder / "recording"
        self.write_roster()
        self.settings = folder / "site.jsonnet"
        self.settings.write_text(
            f"{{ listen: ['127.0.0.1:0'], roster_file: '{self.roster}', record_file: '{self.recording}',\n"
            f"  classes: [{{ name: 'view', freshness: 'bounded', effect: 'idempotent', aim_ms: 600,\n"
            f"    deadline_ms: 2000, staleness_ms: 500, match: {{ keys: ['v:*'] }} }}],\n"
            f"  banks: (import 'roster.json').banks }}"
        )
        self.start()

    def start(self) -> None:
        self.gateway, line = start_program("gateway", str(self.settings))
        assert line.startswith("ready 127.0.0.1:") and not line.startswith("ready 127.0.0.1:0\n"), line
        self.address = line.split()[1]
        self.port = int(self.address.rsplit(":")[-1])

    def stop(self) -> None:
        self.gateway.terminate()
        self.gateway.wait(5)

    def restart(self) -> None:
        self.stop()
        self.start()

    def change(self, *pairs: tuple[str, str]) -> None:
        """Replace parts of the settings' text."""
        text = self.settings.read_text()
        for old, new in pairs:
            text = text.replace(old, new)
        self.settings.write_text(text)

    def status(self) -> Any:
        return json.loads(run("status", self.address, "--json"))

    def with_admin(self, more: str) -> str:
        """Restart the gateway with an operators' port and more settings; returns the port's address."""
        reserved = reserve()
        address = f"127.0.0.1:{port_of(reserved)}"
        self.change(("record_file:", f"admin_listen: '{address}', {more} record_file:"))
        self.restart()
        reserved.close()
        return address

    def write_roster(self, **states: str) -> None:
        """Replace the roster file; boxes are `ready` unless `states` has another state for them."""
        members = [
            {"name": name, "address": address, "state": states.get(name.replace("-", "_"), "ready")}
            for name, address in self.boxes.items()
        ]
        new_file = self.roster.with_suffix(".new")
        new_file.write_text(json.dumps({"banks": [{"name": "b", "slots": [[0, 16383]], "members": members}]}))
        new_file.rename(self.roster)

    def close(self) -> None:
        for process in (self.gateway, self.bank):
            process.terminate()
            process.wait(5)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with contextlib.closing(Site(tmp_path)) as opened:
        yield opened


async def send_requests(port: int, count: int) -> None:
    """Send `count` writes, each followed by a read."""
    wire = await Wire.open(port)
    for number in range(count):
        await wire.ask("SET", "v:1", number)
        assert not isinstance(await wire.ask("GET", "v:1"), resp.Error)
        await asyncio.sleep(0.01)


def test_check_and_status_agree_with_the_gateway(site: Site) -> None:
    asyncio.run(send_requests(site.port, 40))
    status = site.status()
    assert status["members"]["box-0-0"]["takes"] == "writes and current reads"
    assert int(status["stats"]["requests_served"]) == 80
    checked = json.loads(run("check", str(site.settings), "--against", site.address, "--json"))
    assert checked["differ"] == [] and checked["boxes"]["box-0-1"]["takes"] == "reads that allow its age"
    assert "box-0-0" in run("status", site.address) and "box-0-2" in run("check", str(site.settings))


def test_check_agrees_with_the_gateway_on_a_draining_box(site: Site) -> None:
    asyncio.run(send_requests(site.port, 20))
    site.write_roster(box_0_1="terminating")
    asyncio.run(send_requests(site.port, 30))
    checked = json.loads(run("check", str(site.settings), "--against", site.address, "--json", code=1))
    assert checked["differ"] == []
    assert checked["boxes"]["box-0-1"]["takes"] == checked["boxes"]["box-0-1"]["gateway"] == "nothing: draining"
    run("check", str(site.settings), "box-0-2")
    assert "no box 'nobody'" in run("check", str(site.settings), "nobody", code=2)


def test_explain_names_the_rules_that_excluded_members(site: Site) -> None:
    asyncio.run(send_requests(site.port, 20))
    site.write_roster(box_0_1="terminating")
    asyncio.run(send_requests(site.port, 10))
    site.stop()
    recording = Recording(site.recording.read_bytes())
    assert replay(recording.header, recording.entries()).differences == 0
    text = run("explain", str(site.recording), "59")
    assert "class default-write" in text and "chose box-0-0" in text and "not the primary" in text
    explanation = explain(recording.header, Recording(site.recording.read_bytes()).entries(), 60)
    assert explanation.class_name == "view" and explanation.choices
    for choice in explanation.choices:
        drained = [candidate for candidate in choice.candidates if candidate.box == "box-0-1"]
        assert all("draining" in candidate.against for candidate in drained) and choice.chosen != "box-0-1"
    assert "no request 999" in run("explain", str(site.recording), "999", code=1)


def test_a_recording_is_replayed_against_a_gateway_and_what_if_names_the_first_difference(site: Site) -> None:
    asyncio.run(send_requests(site.port, 15))
    site.stop()
    copy = site.folder / "copy"
    copy.write_bytes(site.recording.read_bytes())
    site.start()
    replayed = json.loads(run("replay", str(copy), "--against", site.address, "--pace", "0.2", "--json"))
    assert replayed["differences"] == 0 and sum(row["count"] for row in replayed["rows"]) == 30
    run("what-if", str(copy), "--settings", str(site.settings))
    other_settings = site.folder / "other.jsonnet"
    other_settings.write_text(
        site.settings.read_text().replace("'bounded'", "'latest'").replace("staleness_ms: 500,", "")
    )
    assert "first at input" in run("what-if", str(copy), "--settings", str(other_settings), code=1)
    assert "127.0.0.1:1: refused" in run("replay", str(copy), "--against", "127.0.0.1:1", code=2)


def test_a_gateway_of_another_version_is_refused(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operators, "__version__", "9.9")
    result = CliRunner().invoke(operators.check, [str(site.settings), "--against", site.address])
    assert result.exit_code == 2 and "they may decide differently" in result.output


def test_a_gateway_starts_from_its_snapshot(site: Site) -> None:
    path = site.folder / "state"
    site.change(
        (f"record_file: '{site.recording}'", f"snapshot_file: '{path}'"),
        ("classes:", "sessions: 'client-name', classes:"),
    )
    site.stop()

    async def restart_twice() -> None:
        settings = load(str(site.settings))
        for start in range(2):
            gateway, port = start_gateway(settings)
            wire = await Wire.open(port)
            assert ("teller@0" in gateway.engine.router.state.session_positions) is bool(start)
            await wire.ask("CLIENT", "SETNAME", "teller")
            assert await wire.ask("SET", "v:1", 1) == resp.Simple(b"OK")
            await gateway.stop()
        path.write_bytes(path.read_bytes()[:-9])  # as if it was written only in part; the gateway starts nevertheless
        gateway = Gateway(settings)
        assert not gateway.engine.router.state.session_positions
        await gateway.stop()

    asyncio.run(restart_twice())


def test_the_operators_port_answers_a_thousand_commands_beside_the_service() -> None:
    async def test() -> None:
        embedded = Embedded(2, 3, 1)
        end = await embedded.start()
        gateway = Gateway(embedded.settings(0, log_level="error"))
        clients, admins = listen("127.0.0.1:0"), listen("127.0.0.1:0")
        gateway.start(clients, admins)
        wire = await Wire.open(clients[0].getsockname()[1])
        admin = await Wire.open(admins[0].getsockname()[1])
        await wire.ask("HELLO", 3)
        await admin.ask("HELLO", 3)
        assert await wire.ask("SET", "a", 1) == resp.Simple(b"OK")

        async def ask_admin(count: int) -> None:
            for number in range(count):
                reply = await admin.ask(["MEMBERS", "BANKS", "ELECTIONS", "SESSIONS", "INFO"][number % 5])
                assert not isinstance(reply, resp.Error)

        asking = asyncio.ensure_future(ask_admin(1_000))
        served_count = 0
        while not asking.done():
            assert await wire.ask("GET", "a") == b"1"
            served_count += 1
        await asking
        assert served_count > 100
        members = await admin.ask("MEMBERS")
        assert isinstance(members, resp.Array) and len(members.items) == 6
        assert await admin.ask("INSPECT") == resp.Simple(b"OK")
        assert isinstance(await admin.ask("GET", "a"), resp.Error)
        assert isinstance(await wire.ask("MEMBERS"), resp.Error)
        chosen = await embedded.banks[0].hand_over()
        assert chosen is not None and chosen.is_primary
        for _ in range(500):
            await admin.ask("INSPECT")
            await asyncio.sleep(0.02)
            elections = await admin.ask("ELECTIONS")
            assert isinstance(elections, resp.Array)
            election_count = len(elections.items)
            if election_count > 2:
                break
        assert election_count > 2, (elections, gateway.engine.box_statuses(), gateway.engine._groups[0])
        await gateway.stop()
        end()

    asyncio.run(test())


def test_a_recording_that_is_started_in_service_replays_across_a_reload(site: Site) -> None:
    admin = site.with_admin("record: 'on-request',")
    assert run("record", admin, "status") == "off\n"
    assert "no ring is kept" in run("record", admin, "dump", code=2)
    asyncio.run(send_requests(site.port, 20))

    async def record_requests() -> None:
        wire = await Wire.open(site.port)
        assert await wire.ask("CLIENT", "SETNAME", "teller") == resp.Simple(b"OK")
        assert str(site.recording) in run("record", admin, "start")
        assert await wire.ask("SET", "v:1", 1) == resp.Simple(b"OK")
        site.change(("staleness_ms: 500", "staleness_ms: 40"))
        site.gateway.send_signal(signal.SIGHUP)
        for number in range(30):
            assert await wire.ask("SET", "v:1", number) == resp.Simple(b"OK")
            assert await wire.ask("GET", "v:1") is not None
            await asyncio.sleep(0.01)

    asyncio.run(record_requests())
    assert "already recording" in run("record", admin, "start", code=2)
    assert "part 1" in run("record", admin, "status")
    run("record", admin, "stop")
    assert oct(site.recording.stat().st_mode)[-3:] == "600"
    recording = Recording(site.recording.read_bytes())
    inputs = [entry.given for entry in recording.entries()]
    assert recording.header.snapshot and any(isinstance(given, m.Reloaded) for given in inputs)
    assert run("replay", str(site.recording)).endswith(" 0 differences\n")
    replayed = json.loads(run("replay", str(site.recording), "--against", site.address, "--pace", "0.2", "--json"))
    assert replayed["differences"] == 0 and sum(row["count"] for row in replayed["rows"]) == 61
    # A second start begins another recording. An unknown word gives one line.
    assert f"{site.recording}.run2" in run("record", admin, "start")
    run("record", admin, "stop")
    assert "Invalid value" in run("record", admin, "eject", code=2)
    site.change(("staleness_ms: 40", "staleness_ms: 0"))
    site.gateway.send_signal(signal.SIGHUP)
    asyncio.run(send_requests(site.port, 3))


def test_the_ring_is_written_to_files_by_dump(site: Site) -> None:
    admin = site.with_admin("record: 'ring', record_ring_bytes: 60000,")
    asyncio.run(send_requests(site.port, 200))
    files = run("record", admin, "dump").split()[2:]
    assert len(files) == 8 and all(Path(file).stat().st_size < 40_000 for file in files)
    lines = run("replay", *files).splitlines()
    assert len(lines) == 8 and all(line.endswith(" 0 differences") for line in lines)


def test_replays_give_the_answers_and_sends_of_the_gateways(
    day_of_trouble: tuple[Report, list[Path]],
) -> None:
    """Two gateway processes answer MEMBERS and BANKS during the scenario "trouble"; all their choices are compared."""
    members_count = send_count = 0
    for file in day_of_trouble[1]:
        data = file.read_bytes()
        recording = Recording(data)
        members_count += sum(
            isinstance(entry.given, m.CommandReceived) and entry.given.args[0] == b"MEMBERS"
            for entry in recording.entries()
        )
        recording = Recording(data)
        assert replay(recording.header, recording.entries()).differences == 0
        for request, chosen, sent_to in recorded_sends(recording.header, Recording(data).entries()):
            assert chosen == sent_to, request
            send_count += 1
    assert members_count > 150 and send_count > 800


def test_explain_does_not_affect_replays() -> None:
    data = recorded([(0, 0), (1, 1), (5, 40), (0, 2), (3, 1), (5, 200), (1, 3), (2, 2), (0, 9)])
    recording = Recording(data)
    explanation = explain(recording.header, recording.entries(), 2)
    assert explanation.asked.startswith("client 1: SET") and explanation.events
    replayed = replay(Recording(data).header, Recording(data).entries())
    assert replayed.differences == 0


def test_a_primary_role_that_a_later_report_supersedes_is_not_used() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 0)))
    rig.pass_us(1_000)
    rig.says["r"] = info("primary", 100, "h2", "r", "h1", 101)
    rig.give(m.RefreshRequested())
    rig.give(m.RefreshRequested())
    takes = {status.name: status.takes for status in rig.engine.box_statuses()}
    assert takes["r"] == "writes and current reads"
    assert takes["p"] == "nothing: role unknown"  # it still reports that it is the primary
    assert takes["s"].startswith("reads") and rig.ask("GET", KEY) is not None


def test_an_address_without_a_gateway_gives_one_line(tmp_path: Path) -> None:
    assert "Connection refused" in run("status", "127.0.0.1:1", code=2)
    assert "expected host:port" in run("status", "nowhere", code=2)
