"""The `oatlink` command with all subcommands. Exit codes: 0 done, 1 a check or run failed, 2 bad usage or input."""

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


def _load_settings(path: str) -> Settings:
    """Load a settings file, or print one line and exit with code 2."""
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
@click.option("--port", default=6380, show_default=True, help="Client port on loopback; 0 uses any free one.")
@click.option("--banks", default=2, show_default=True, type=click.IntRange(1, 64), help="Stand-in banks.")
@click.option("--members", default=3, show_default=True, type=click.IntRange(1, 32), help="Boxes in each bank.")
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Gateway processes.")
@click.option("--seed", default=1, show_default=True, help="Seed of all random draws.")
@click.option(
    "--log-level", default="warning", show_default=True, type=click.Choice(["debug", "info", "warning", "error"])
)
def up(port: int, banks: int, members: int, workers: int, seed: int, log_level: str) -> None:
    """Run a gateway with embedded stand-in banks, all on loopback.

    Prints `ready 127.0.0.1:PORT` on a line of its own once it serves; logs go to stderr. SIGINT or SIGTERM stops it
    within 2 s; pending requests are answered first.
    """
    embedded = Embedded(banks, members, seed)
    settings = embedded.settings(port, workers, log_level)
    try:
        sockets = bind(settings)
    except OSError as error:
        fail(f"127.0.0.1:{port}: cannot listen: {error.strerror}")
        return
    bound_port = sockets[0].getsockname()[1]
    sys.exit(run(settings, sockets, embedded.start, lambda: click.echo(f"ready 127.0.0.1:{bound_port}")))


@main.command()
@click.argument("file", metavar="SETTINGS.jsonnet")
def gateway(file: str) -> None:
    """Run a gateway with a settings file until SIGINT or SIGTERM; SIGHUP makes it read the file again.

    Prints `ready ADDRESS` once it serves. With `workers` above 1, that many processes share the listening sockets and
    nothing else.
    """
    settings = _load_settings(file)
    if settings.fleet is not None:
        from oatlink.fleet.shell.keys import FleetError, read_keys

        try:
            read_keys(settings.fleet.key_files)
        except FleetError as error:
            fail(f"{file}: fleet.key_files: {error}")
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
@click.option("--control-port", default=0, show_default=True, help="Accepts fault commands; 0 uses any free port.")
def bank(banks: int, members: int, seed: int, control_port: int) -> None:
    """Run stand-in banks without a gateway and print their addresses as one line of JSON.

    The control port speaks RESP: FAULT BOX lag_ms 300, FAULT BOX hang 1, FAULT BOX slow 4, FAULT BOX cut_replies 1,
    FAULT BOX die_on_write 1, CRASH BOX, START BOX, HANDOVER BANK, BOXES.
    """

    async def serve() -> None:
        stop = asyncio.Event()
        set_on_stop_signals(stop)
        embedded = Embedded(banks, members, seed)
        end = await embedded.start()
        port = embedded.control(control_port)
        addresses = {
            "control": f"127.0.0.1:{port}",
            "banks": {bank.name: {box.name: f"127.0.0.1:{box.port}" for box in bank.boxes} for bank in embedded.banks},
        }
        click.echo(json.dumps(addresses))
        await stop.wait()
        end()

    asyncio.run(serve())


@main.command("check-settings")
@click.argument("file", metavar="SETTINGS.jsonnet")
def check_settings(file: str) -> None:
    """Check a settings file: print the first mistake in one line and exit 2, or print a summary and exit 0."""
    settings = _load_settings(file)
    member_count = sum(len(bank.members) for bank in settings.banks)
    click.echo(
        f"{file}: good: {len(settings.banks)} banks, {member_count} members, {len(settings.classes)} classes, "
        f"hash {settings_hash(settings)}"
    )


@main.command()
@click.option(
    "--scenario",
    default="trouble",
    show_default=True,
    help=f"A built-in scenario ({', '.join([*SCENARIOS, *FLEET_SCENARIOS])}) or a Jsonnet file with the same fields.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(2, 3600))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object to stdout.")
@click.option("--record", default="", metavar="PATH", help="Record each gateway's engine to PATH.0, PATH.1 ...")
@click.option("--gateways", default=0, type=click.IntRange(0, 16), help="Gateway processes; 0: as in the scenario.")
def day(scenario: str, seed: int, seconds: float, as_json: bool, record: str, gateways: int) -> None:
    """Run a scenario of planned faults on loopback and check the five rules against the traffic on the sockets.

    A fleet scenario (one with a `judge`) is also checked against its own bounds. Exit 0: all rules and bounds were
    kept. Exit 1: one was broken; the examples name the requests.
    """
    try:
        fleet_scenario = load_fleet_scenario(scenario)
        day_scenario = load_scenario(scenario) if fleet_scenario is None else None
    except SettingsError as error:
        fail(str(error))
        return
    overrides = {"gateways": gateways} if gateways else {}
    report: Report | FleetReport
    if fleet_scenario is not None:
        report = play_fleet(msgspec.structs.replace(fleet_scenario, **overrides), seed, seconds, record_to=record)
    else:
        assert day_scenario is not None
        report = play(msgspec.structs.replace(day_scenario, **overrides), seed, seconds, record_to=record)
    data = report.as_json()
    if as_json:
        click.echo(json.dumps(data))
    else:
        for name, value in data.items():
            click.echo(f"{name}: {json.dumps(value) if isinstance(value, dict | list) else value}")
    sys.exit(0 if report.kept else 1)


@main.command("replay")
@click.argument("files", metavar="RECORDING...", nargs=-1, required=True)
@click.option(
    "--settings",
    "other",
    default="",
    metavar="FILE",
    help="Replay with these settings instead, to see what would differ.",
)
@click.option(
    "--against",
    default="",
    metavar="HOST:PORT",
    help="Send the commands to a running gateway instead and compare its answers.",
)
@click.option(
    "--pace",
    default=1.0,
    show_default=True,
    help="With --against: factor on the recorded times; 2 is half as fast, 0 at once.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object for each file to stdout.")
def replay_command(files: tuple[str, ...], other: str, against: str, pace: float, as_json: bool) -> None:
    """Feed the inputs of recordings to the present engine and compare every effect, each part by itself.

    Exit 0: no difference. Exit 1: at least one; the first is shown with its request. A damaged recording is replayed up
    to the damage, whose position is printed to stderr.
    """
    has_differences = False
    for file in files:
        recording = read_recording(file)
        if against:
            has_differences |= _replay_against(recording, against, pace, as_json)
        else:
            has_differences |= _replay(file, recording, _load_settings(other) if other else None, as_json)
    sys.exit(1 if has_differences else 0)


def _replay(file: str, recording: Recording, other: Settings | None, as_json: bool) -> bool:
    """Replay one part and print the result; return whether there are differences."""
    start_s = time.perf_counter()
    try:
        replayed = replay(recording.header, recording.entries(), other)
    except RecordingError as error:
        fail(f"{file}: {error}")
        raise
    duration_s = time.perf_counter() - start_s
    if recording.damage:
        click.echo(f"oatlink: {recording.damage}; replayed up to there", err=True)
    first = replayed.first
    data = {
        "program": recording.header.program,
        "settings_hash": recording.header.settings_hash,
        "part": recording.header.part,
        "from_snapshot": bool(recording.header.snapshot),
        "inputs": replayed.inputs,
        "decisions": replayed.decisions,
        "differences": replayed.differences,
        "seconds": round(duration_s, 3),
        "damage": recording.damage,
        "first": None
        if first is None
        else {
            "input": first.number,
            "request": first.request,
            "given": repr(first.given),
            "recorded": [repr(effect) for effect in first.recorded],
            "replayed": [repr(effect) for effect in first.replayed],
        },
    }
    if as_json:
        click.echo(json.dumps(data))
    else:
        click.echo(
            f"{file}: {replayed.inputs} inputs, {replayed.decisions} decisions, {replayed.differences} differences"
        )
        if first is not None:
            click.echo(f"first at input {first.number}, request {first.request}: {first.given!r:.300}")
            for name, effects in (("recorded", first.recorded), ("replayed", first.replayed)):
                for effect in effects:
                    click.echo(f"  {name}: {effect!r:.300}")
    return bool(replayed.differences)


def _replay_against(recording: Recording, against: str, pace: float, as_json: bool) -> bool:
    """Send a recording to a running gateway; return whether any command ended differently than when recorded."""
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
    """Show which recorded decisions would differ with other settings.

    Exit 0: none. Exit 1: some; the first is shown. From there on the replay no longer follows the recorded history.
    """
    click.get_current_context().invoke(replay_command, files=(file,), other=other)


main.add_command(check)
main.add_command(explain_command)
main.add_command(record)
main.add_command(status)
