"""`oatlink`: every command. Exit codes: 0 done, 1 a check or a run failed, 2 bad usage or bad input."""

import asyncio
import json
import sys
import time

import click
import msgspec

from oatlink import __version__
from oatlink.cli.operators import check, explain_command, fail, read_recording, record, status
from oatlink.core.recording import Recording, RecordingError, replay
from oatlink.gateway.links import DialError
from oatlink.gateway.run import bind, format_socket_address, run, set_on_stop_signals
from oatlink.lab.against import clients_of, drive
from oatlink.lab.day import SCENARIOS, Report, load_scenario, play
from oatlink.lab.embedded import Embedded
from oatlink.lab.fleet.harness import play_fleet
from oatlink.lab.fleet.report import FleetReport
from oatlink.lab.fleet.scenarios import BUILT_IN as FLEET_SCENARIOS
from oatlink.lab.fleet.scenarios import load_fleet_scenario
from oatlink.settings import Settings, SettingsError, load, settings_hash


def _settings(path: str) -> Settings:
    try:
        return load(path)
    except SettingsError as error:
        fail(str(error))
        raise


@click.group()
@click.version_option(__version__, prog_name="oatlink")
def main() -> None:
    """A database proxy: writes go to primaries, reads are spread over replicas.

    Exit codes: 0 done, 1 a check or run failed, 2 bad usage or input.
    """


@main.command()
@click.option("--port", default=6380, show_default=True, help="Client port on loopback; 0 takes any free one.")
@click.option("--banks", default=2, show_default=True, type=click.IntRange(1, 64), help="Stand-in banks.")
@click.option("--members", default=3, show_default=True, type=click.IntRange(1, 32), help="Boxes a bank.")
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Gateway processes.")
@click.option("--seed", default=1, show_default=True, help="Seed of all that is drawn.")
@click.option(
    "--log-level", default="warning", show_default=True, type=click.Choice(["debug", "info", "warning", "error"])
)
def up(port: int, banks: int, members: int, workers: int, seed: int, log_level: str) -> None:
    """Run a gateway on an embedded set of stand-in banks, all on loopback.

    Prints `ready 127.0.0.1:PORT` on a line of its own once it serves; logs go to stderr. SIGINT or SIGTERM ends it
    within 2 s: what is held gets its answer first.
    """
    embedded = Embedded(banks, members, seed)
    settings = embedded.settings(port, workers, log_level)
    try:
        sockets = bind(settings)
    except OSError as error:
        fail(f"127.0.0.1:{port}: cannot listen: {error.strerror}")
        return
    where = sockets[0].getsockname()[1]
    sys.exit(run(settings, sockets, embedded.start, lambda: click.echo(f"ready 127.0.0.1:{where}")))


@main.command()
@click.argument("file", metavar="SETTINGS.jsonnet")
def gateway(file: str) -> None:
    """Run a gateway by a settings file, until SIGINT or SIGTERM; SIGHUP has it read the file again.

    Prints `ready ADDRESS` once it serves. With `workers` above 1 that many processes share the listeners and
    nothing else.
    """
    settings = _settings(file)
    if settings.fleet is not None:
        from oatlink.fleet.shell.keys import FleetError, read_keys

        try:
            read_keys(settings.fleet.key_files)
        except FleetError as problem:
            fail(f"{file}: fleet.key_files: {problem}")
            return
    try:
        sockets = bind(settings)
    except OSError as error:
        fail(f"{file}: listen: {error.strerror or error}")
        return
    shown = format_socket_address(sockets[0].getsockname())
    sys.exit(run(settings, sockets, None, lambda: click.echo(f"ready {shown}"), file))


@main.command()
@click.option("--banks", default=1, show_default=True, type=click.IntRange(1, 64))
@click.option("--members", default=3, show_default=True, type=click.IntRange(1, 32))
@click.option("--seed", default=1, show_default=True)
@click.option("--control-port", default=0, show_default=True, help="Takes fault commands; 0 takes any free port.")
def bank(banks: int, members: int, seed: int, control_port: int) -> None:
    """Run stand-in banks alone and print their addresses as JSON, one line.

    The control port speaks RESP: FAULT BOX lag_ms 300, FAULT BOX hang 1, FAULT BOX slow 4, FAULT BOX cut_replies 1,
    FAULT BOX die_on_write 1, CRASH BOX, START BOX, HANDOVER BANK, BOXES.
    """

    async def serve() -> None:
        stop = asyncio.Event()
        set_on_stop_signals(stop)
        embedded = Embedded(banks, members, seed)
        end = await embedded.start()
        port = embedded.control(control_port)
        shown = {
            "control": f"127.0.0.1:{port}",
            "banks": {one.name: {box.name: f"127.0.0.1:{box.port}" for box in one.boxes} for one in embedded.banks},
        }
        click.echo(json.dumps(shown))
        await stop.wait()
        end()

    asyncio.run(serve())


@main.command("check-settings")
@click.argument("file", metavar="SETTINGS.jsonnet")
def check_settings(file: str) -> None:
    """Check a settings file: one line with the first mistake and exit 2, or a summary and exit 0."""
    settings = _settings(file)
    members = sum(len(one.members) for one in settings.banks)
    click.echo(
        f"{file}: good: {len(settings.banks)} banks, {members} members, {len(settings.classes)} classes, "
        f"hash {settings_hash(settings)}"
    )


@main.command()
@click.option(
    "--scenario",
    default="trouble",
    show_default=True,
    help=f"A built-in one ({', '.join([*SCENARIOS, *FLEET_SCENARIOS])}) or a Jsonnet file with the same fields.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(2, 3600))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on stdout.")
@click.option("--record", default="", metavar="PATH", help="Record each gateway's engine to PATH.0, PATH.1 ...")
@click.option("--gateways", default=0, type=click.IntRange(0, 16), help="Gateway processes; 0: as the scenario says.")
def day(scenario: str, seed: int, seconds: float, as_json: bool, record: str, gateways: int) -> None:
    """Play a planned day of trouble on loopback and judge the five rules from what crossed the sockets.

    A day of the fleet (a scenario with a `judge`) is also judged by its own bounds. Exit 0: all rules and bounds kept.
    Exit 1: one was broken; the examples name the requests.
    """
    try:
        fleet = load_fleet_scenario(scenario)
        found = load_scenario(scenario) if fleet is None else None
    except SettingsError as error:
        fail(str(error))
        return
    changes = {"gateways": gateways} if gateways else {}
    report: Report | FleetReport
    if fleet is not None:
        report = play_fleet(msgspec.structs.replace(fleet, **changes), seed, seconds, record_to=record)
    else:
        assert found is not None
        report = play(msgspec.structs.replace(found, **changes), seed, seconds, record_to=record)
    data = report.as_json()
    if as_json:
        click.echo(json.dumps(data))
    else:
        for name, value in data.items():
            click.echo(f"{name}: {json.dumps(value) if isinstance(value, dict | list) else value}")
    sys.exit(0 if report.kept else 1)


@main.command("replay")
@click.argument("files", metavar="RECORDING...", nargs=-1, required=True)
@click.option("--settings", "other", default="", metavar="FILE", help="Replay under these settings: what would differ.")
@click.option("--against", default="", metavar="HOST:PORT", help="Drive a running gateway and compare how it answers.")
@click.option("--pace", default=1.0, show_default=True, help="With --against: 2 is half as fast, 0 at once.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on stdout, a file each.")
def replay_command(files: tuple[str, ...], other: str, against: str, pace: float, as_json: bool) -> None:
    """Feed recordings' inputs to the engine as it is now and compare every effect, each part by itself.

    Exit 0: no difference. Exit 1: at least one; the first is shown with its request. Damage ends the reading at its
    place, which is said on stderr; what lies before it is replayed.
    """
    differ = False
    for file in files:
        recording = read_recording(file)
        if against:
            differ |= _drive(recording, against, pace, as_json)
        else:
            differ |= _replay(file, recording, _settings(other) if other else None, as_json)
    sys.exit(1 if differ else 0)


def _replay(file: str, recording: Recording, other: Settings | None, as_json: bool) -> bool:
    """Replay one part and show it; whether it differs."""
    began = time.perf_counter()
    try:
        found = replay(recording.header, recording.entries(), other)
    except RecordingError as error:
        fail(f"{file}: {error}")
        raise
    took = time.perf_counter() - began
    if recording.damage:
        click.echo(f"oatlink: {recording.damage}; replayed up to there", err=True)
    first = found.first
    data = {
        "program": recording.header.program,
        "settings_hash": recording.header.settings_hash,
        "part": recording.header.part,
        "from_snapshot": bool(recording.header.snapshot),
        "inputs": found.inputs,
        "decisions": found.decisions,
        "differences": found.differences,
        "seconds": round(took, 3),
        "damage": recording.damage,
        "first": None
        if first is None
        else {
            "input": first.number,
            "request": first.request,
            "given": repr(first.given),
            "recorded": [repr(one) for one in first.recorded],
            "replayed": [repr(one) for one in first.replayed],
        },
    }
    if as_json:
        click.echo(json.dumps(data))
    else:
        click.echo(f"{file}: {found.inputs} inputs, {found.decisions} decisions, {found.differences} differences")
        if first is not None:
            click.echo(f"first at input {first.number}, request {first.request}: {first.given!r:.300}")
            for name, effects in (("recorded", first.recorded), ("replayed", first.replayed)):
                for one in effects:
                    click.echo(f"  {name}: {one!r:.300}")
    return bool(found.differences)


def _drive(recording: Recording, against: str, pace: float, as_json: bool) -> bool:
    """`replay --against`: whether a command ended otherwise than it did when recorded."""
    try:
        compared = asyncio.run(drive(clients_of(recording), against, pace))
    except (RecordingError, DialError) as error:
        fail(f"{against}: {error}")
        raise
    rows = [
        {"command": name, "recorded": then, "now": now, "count": count}
        for (name, then, now), count in sorted(compared.pairs.items())
    ]
    if as_json:
        click.echo(json.dumps({"differences": compared.differences, "rows": rows}))
    else:
        for row in rows:
            click.echo(f"{row['command']}: {row['recorded']} then, {row['now']} now: {row['count']}")
        click.echo(f"{compared.differences} ended otherwise")
    return bool(compared.differences)


@main.command("what-if")
@click.argument("file", metavar="RECORDING")
@click.option("--settings", "other", required=True, metavar="FILE", help="The settings to try.")
def what_if(file: str, other: str) -> None:
    """Say which recorded decisions would be others under other settings.

    Exit 0: none. Exit 1: some; the first is named. What comes after it is no longer the same history.
    """
    click.get_current_context().invoke(replay_command, files=(file,), other=other)


main.add_command(check)
main.add_command(explain_command)
main.add_command(record)
main.add_command(status)
