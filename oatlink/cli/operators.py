"""Commands for operators: show the state of a running gateway, check boxes, control recording, explain routing."""

import asyncio
import json
import socket
import sys
import time
from pathlib import Path

import click
import msgspec

from oatlink import __version__
from oatlink.core import messages as m
from oatlink.core.explain import explain
from oatlink.core.recording import Recording, RecordingError
from oatlink.gateway.server import Gateway
from oatlink.protocols.resp import Error, ProtocolError, ReplyReader, Simple, Value, Verbatim, command, decode
from oatlink.settings import SettingsError, load
from oatlink.settings.model import Logs

Sections = dict[str, dict[str, str]]


class QueryError(Exception):
    """A gateway could not be queried; the text is one line."""


def fail(text: str) -> None:
    """Print one line to stderr and exit with code 2."""
    click.echo(f"oatlink: {text}", err=True)
    sys.exit(2)


def read_recording(file: str) -> Recording:
    """Read a recording from a file, or print one line and exit with code 2."""
    try:
        return Recording(Path(file).read_bytes(), file)
    except OSError as error:
        fail(f"{file}: {error.strerror}")
    except RecordingError as error:
        fail(str(error))
    raise AssertionError("fail() ends the process")


def send_command(address: str, *words: str, timeout_s: float = 3.0) -> Value:
    """Return a running gateway's reply to one command. Raises `QueryError`, also if the reply is an error."""
    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise QueryError(f"{address}: expected host:port")
    reader = ReplyReader()
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout_s) as connection:
            connection.settimeout(timeout_s)
            connection.sendall(command(*words))
            while (reply := reader.take()) is None:
                data = connection.recv(65_536)
                if not data:
                    raise QueryError(f"{address}: closed the connection")
                reader.feed(data)
        value = decode(reply)
    except OSError as error:
        raise QueryError(f"{address}: {error.strerror or error}") from None
    except ProtocolError as error:
        raise QueryError(f"{address}: not RESP: {error}") from None
    if isinstance(value, Error):
        raise QueryError(f"{address}: {value.text.decode('utf-8', 'replace')}")
    return value


def request_info(address: str) -> Sections:
    """Return the sections of a running gateway's INFO. Raises `QueryError`."""
    value = send_command(address, "INFO")
    text = value.data if isinstance(value, Verbatim) else value
    if not isinstance(text, bytes):
        raise QueryError(f"{address}: INFO was not answered with text")
    return parse_sections(text.decode("utf-8", "replace"), address)


def parse_sections(text: str, address: str) -> Sections:
    """Split the text of INFO into sections. Raises `QueryError` if it is not from a gateway."""
    sections: Sections = {}
    name = ""
    for line in text.split("\r\n"):
        if line.startswith("# "):
            name = line[2:].lower()
            sections[name] = {}
        elif ":" in line:
            key, _, value = line.partition(":")
            sections.setdefault(name, {})[key] = value
    if "oatlink_version" not in sections.get("server", {}):
        raise QueryError(f"{address}: not a gateway of oatlink")
    return sections


def member_rows(sections: Sections) -> dict[str, dict[str, str]]:
    """Return the member rows of an INFO by member name."""
    return {
        name: dict(part.partition("=")[::2] for part in value.split(","))
        for name, value in sections.get("members", {}).items()
    }


PATH_COLUMNS = ("address", "state", "current", "out", "answer_us", "probe_us", "heard_ms", "failures", "lost", "why")


def path_rows(sections: Sections) -> dict[str, dict[str, str]]:
    """Return the path rows of an INFO by `box/place` (place: index of the address), or none if no box has several."""
    rows = {
        name: dict(part.partition("=")[::2] for part in value.split(",", 10))
        for name, value in sections.get("paths", {}).items()
    }
    return omit_single_paths(rows)


def omit_single_paths(rows: dict[str, dict[str, str]]) -> dict[str, dict[str, str]]:
    """Return the path rows (by `box/place`), or none if no box has several addresses."""
    return rows if any(not name.endswith("/0") for name in rows) else {}


MEMBER_COLUMNS = ("bank", "role", "says", "state", "offset", "age_ms", "heard_ms", "warmth", "out", "room", "takes")


def table(rows: dict[str, dict[str, str]], columns: tuple[str, ...] = MEMBER_COLUMNS) -> str:
    """Format rows as a table with aligned columns."""
    lines = [("box", *columns)] + [(name, *[row.get(column, "") for column in columns]) for name, row in rows.items()]
    widths = [max(len(line[index]) for line in lines) for index in range(len(lines[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip() for line in lines
    )


@click.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object for each reading.")
@click.option("--watch", default=0.0, metavar="SECONDS", help="Read again after this many seconds, until interrupted.")
def status(address: str, as_json: bool, watch: float) -> None:
    """Show the state of a running gateway: members, roles, offsets, ages, concurrency limits, elections, final answers.

    Exit 0: the gateway answered. Exit 2: nothing listens there, or it is not a gateway.
    """
    while True:
        try:
            sections = request_info(address)
        except QueryError as error:
            fail(str(error))
            return
        rows = member_rows(sections)
        if as_json:
            click.echo(json.dumps({**sections, "members": rows, "paths": path_rows(sections)}))
        else:
            click.echo(
                f"oatlink {sections['server']['oatlink_version']} ({sections['server'].get('oatlink_code', '?')}), up "
                f"{sections['server'].get('uptime_in_seconds', '?')} s, "
                + ", ".join(
                    f"{key}: {value}"
                    for key, value in {**sections.get("clients", {}), **sections.get("stats", {})}.items()
                )
            )
            for name, value in sections.get("banks", {}).items():
                click.echo(f"{name}: {value}")
            click.echo(table(rows))
            paths = path_rows(sections)
            if paths:
                click.echo(table(paths, PATH_COLUMNS))
        if watch <= 0:
            return
        time.sleep(watch)


async def probe_boxes(path: str) -> tuple[dict[str, dict[str, str]], dict[str, dict[str, str]]]:
    """Probe every box of a settings file over each of its addresses, with an engine of this process.

    The engine evaluates the boxes as a gateway would. Returns the rows of the boxes, and those of the paths if any box
    has several. Raises `SettingsError`.
    """
    settings = load(path)
    gateway = Gateway(
        msgspec.structs.replace(settings, record_file="", snapshot_file="", drain_ms=1, logs=Logs(level="error"))
    )
    gateway.start([])
    wait_s = (settings.links.connect_timeout_ms + settings.links.probe_timeout_ms) / 1000 + 0.1
    # Two rounds: the age of a replica's offset follows only from a primary's offset that was read before it.
    for _ in range(2):
        gateway.feed(m.RefreshRequested())
        deadline_s = time.monotonic() + wait_s
        while gateway.is_probing and time.monotonic() < deadline_s:
            await asyncio.sleep(0.005)
    rows = {}
    for one in gateway.engine.box_statuses():
        fields = {key: str(value) for key, value in msgspec.structs.asdict(one).items()}
        rows[fields.pop("name")] = fields
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s and any(row["state"] == "untried" for row in gateway.engine.path_rows()):
        await asyncio.sleep(0.005)
    paths = {f"{row.pop('box')}/{row.pop('place')}": row for row in gateway.engine.path_rows()}
    await gateway.stop()
    texts = {name: {key: str(value) for key, value in row.items()} for name, row in paths.items()}
    return rows, omit_single_paths(texts)


@click.command()
@click.argument("file", metavar="SETTINGS.jsonnet")
@click.argument("boxes", nargs=-1, metavar="[BOX]...")
@click.option("--against", default="", metavar="HOST:PORT", help="Also show how a running gateway uses each box.")
@click.option("--json", "as_json", is_flag=True)
def check(file: str, boxes: tuple[str, ...], against: str, as_json: bool) -> None:
    """Probe boxes for role, history and offset, and show which requests a gateway with these settings would send them.

    If a box has several addresses, each one is probed and shown.

    Exit 0: every box named (or all) would be sent requests. Exit 1: one would not, or, with --against, the running
    gateway uses a box differently. Exit 2: bad settings, an unknown box, no gateway at the address.
    """
    try:
        rows, paths = asyncio.run(probe_boxes(file))
        sections = request_info(against) if against else {}
        if against and sections["server"]["oatlink_version"] != __version__:
            raise QueryError(
                f"{against}: version {sections['server']['oatlink_version']}, this is {__version__}: "
                "they may decide differently"
            )
        gateway_rows = member_rows(sections)
    except (SettingsError, QueryError) as error:
        fail(str(error))
        return
    for name in boxes:
        if name not in rows:
            fail(f"{file}: no box {name!r}; it names {', '.join(rows)}")
    rows = {name: row for name, row in rows.items() if not boxes or name in boxes}
    differing = []
    if against:
        for name, row in rows.items():
            row["gateway"] = gateway_rows.get(name, {}).get("takes", "not listed")
            if row["gateway"] != row["takes"]:
                differing.append(name)
    if as_json:
        click.echo(json.dumps({"boxes": rows, "differ": differing, "paths": paths}))
    else:
        columns = ("bank", "role", "says", "state", "replid", "offset", "age_ms", "warmth", "takes")
        click.echo(table(rows, (*columns, "gateway") if against else columns))
        paths_of_boxes = {name: row for name, row in paths.items() if name.rpartition("/")[0] in rows}
        if paths_of_boxes:
            click.echo(table(paths_of_boxes, PATH_COLUMNS))
        for name in differing:
            click.echo(f"{name}: the running gateway says otherwise")
    idle = [name for name, row in rows.items() if row["takes"].startswith("nothing")]
    sys.exit(1 if idle or differing else 0)


@click.command()
@click.argument("address", metavar="HOST:PORT")
@click.argument("word", metavar="WORD", type=click.Choice(["start", "stop", "dump", "status"]))
def record(address: str, word: str) -> None:
    """Start, stop or dump the recording of a running gateway; HOST:PORT is its admin_listen.

    start: record to files from now on, beginning with the gateway's whole state. stop: end the recording. dump: write
    the in-memory ring (record: 'ring') to files beside record_file. status: what is being recorded. With several
    workers, the command applies to the first one.

    Exit 0: done; the line printed names the files. Exit 2: not done; the line printed gives the reason.
    """
    try:
        value = send_command(address, "RECORD", word)
    except QueryError as error:
        fail(str(error))
        return
    click.echo(value.text.decode("utf-8", "replace") if isinstance(value, Simple) else str(value))


@click.command("explain")
@click.argument("file", metavar="RECORDING")
@click.argument("request", type=int)
@click.option("--json", "as_json", is_flag=True)
def explain_command(file: str, request: int, as_json: bool) -> None:
    """Explain the routing of a recorded request: each choice, each member, and which guards excluded it.

    The guards are those of the Router, evaluated during a replay. Exit 1: the request is not in the recording.
    """
    recording = read_recording(file)
    account = explain(recording.header, recording.entries(), request)
    if recording.damage:
        click.echo(f"oatlink: {recording.damage}", err=True)
    if not account.events:
        click.echo(f"{file}: no request {request}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(msgspec.json.encode(account))
        return
    click.echo(f"request {request}, class {account.class_name}, {account.bank}: {account.asked}")
    for line in account.events:
        click.echo(f"  {line}")
    for choice in account.choices:
        age_limit = f", data at most {choice.need_ms} ms old" if choice.need_ms >= 0 else ""
        click.echo(f"{choice.at_us} chose {choice.chosen or 'nobody'}{age_limit}")
        for candidate in choice.candidates:
            click.echo(
                f"  {candidate.box}: {candidate.role}, {candidate.behind_ms} ms behind, "
                f"{candidate.out} of {candidate.room} out: {', '.join(candidate.against) or 'fit'}"
            )
