"""Commands for operators: what a gateway believes, what a helper would believe, why a request went where it went."""

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


class AskError(Exception):
    """A gateway that cannot be asked; the text is one line."""


def fail(text: str) -> None:
    """One clear line on stderr, exit 2."""
    click.echo(f"oatlink: {text}", err=True)
    sys.exit(2)


def read_recording(file: str) -> Recording:
    """A recording from a file, or one line and exit 2."""
    try:
        return Recording(Path(file).read_bytes(), file)
    except OSError as error:
        fail(f"{file}: {error.strerror}")
    except RecordingError as error:
        fail(str(error))
    raise AssertionError("fail() ends the process")


def ask(address: str, *words: str, timeout_s: float = 3.0) -> Value:
    """A running gateway's answer to one command. Raises `AskError`, also where the answer is an error."""
    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise AskError(f"{address}: expected host:port")
    reader = ReplyReader()
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout_s) as one:
            one.settimeout(timeout_s)
            one.sendall(command(*words))
            while (frame := reader.take()) is None:
                data = one.recv(65_536)
                if not data:
                    raise AskError(f"{address}: closed the connection")
                reader.feed(data)
        value = decode(frame)
    except OSError as error:
        raise AskError(f"{address}: {error.strerror or error}") from None
    except ProtocolError as error:
        raise AskError(f"{address}: not RESP: {error}") from None
    if isinstance(value, Error):
        raise AskError(f"{address}: {value.text.decode('utf-8', 'replace')}")
    return value


def ask_info(address: str) -> Sections:
    """The sections of a running gateway's INFO. Raises `AskError`."""
    value = ask(address, "INFO")
    text = value.data if isinstance(value, Verbatim) else value
    if not isinstance(text, bytes):
        raise AskError(f"{address}: INFO was not answered with text")
    return read_sections(text.decode("utf-8", "replace"), address)


def read_sections(text: str, address: str) -> Sections:
    """INFO's text by section. Raises `AskError` where it is not a gateway's."""
    found: Sections = {}
    name = ""
    for line in text.split("\r\n"):
        if line.startswith("# "):
            name = line[2:].lower()
            found[name] = {}
        elif ":" in line:
            key, _, value = line.partition(":")
            found.setdefault(name, {})[key] = value
    if "oatlink_version" not in found.get("server", {}):
        raise AskError(f"{address}: not a gateway of oatlink")
    return found


def member_rows(sections: Sections) -> dict[str, dict[str, str]]:
    """The members of an INFO: a table by name."""
    return {
        name: dict(part.partition("=")[::2] for part in value.split(","))
        for name, value in sections.get("members", {}).items()
    }


PATH_COLUMNS = ("address", "state", "current", "out", "answer_us", "probe_us", "heard_ms", "failures", "lost", "why")


def path_rows(sections: Sections) -> dict[str, dict[str, str]]:
    """The paths of an INFO: a table by box and place; empty where every box has one address only."""
    rows = {
        name: dict(part.partition("=")[::2] for part in value.split(",", 10))
        for name, value in sections.get("paths", {}).items()
    }
    return where_several(rows)


def where_several(rows: dict[str, dict[str, str]]) -> dict[str, dict[str, str]]:
    """Paths by box and place, or none where every box has one address only."""
    return rows if any(not name.endswith("/0") for name in rows) else {}


COLUMNS = ("bank", "role", "says", "state", "offset", "age_ms", "heard_ms", "warmth", "out", "room", "takes")


def table(rows: dict[str, dict[str, str]], columns: tuple[str, ...] = COLUMNS) -> str:
    """Rows in aligned columns."""
    lines = [("box", *columns)] + [(name, *[row.get(one, "") for one in columns]) for name, row in rows.items()]
    widths = [max(len(line[at]) for line in lines) for at in range(len(lines[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip() for line in lines
    )


@click.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a reading.")
@click.option("--watch", default=0.0, metavar="SECONDS", help="Ask again after so many seconds, until interrupted.")
def status(address: str, as_json: bool, watch: float) -> None:
    """What a running gateway believes: members, roles, offsets, ages, room, elections, final answers.

    Exit 0: answered. Exit 2: nobody there, or not a gateway.
    """
    while True:
        try:
            sections = ask_info(address)
        except AskError as error:
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


async def inspect(path: str) -> tuple[dict[str, dict[str, str]], dict[str, dict[str, str]]]:
    """Ask every box of a settings file by an engine of our own, as the gateway would, over each of its addresses.

    Returns the boxes and the paths to those that have several. Raises `SettingsError`.
    """
    settings = load(path)
    gateway = Gateway(
        msgspec.structs.replace(settings, record_file="", snapshot_file="", drain_ms=1, logs=Logs(level="error"))
    )
    gateway.start([])
    wait_s = (settings.links.connect_timeout_ms + settings.links.probe_timeout_ms) / 1000 + 0.1
    # Twice: a replica's offset says how old it is only beside a primary's that was asked before it.
    for _ in range(2):
        gateway.feed(m.RefreshRequested())
        end = time.monotonic() + wait_s
        while gateway.probing and time.monotonic() < end:
            await asyncio.sleep(0.005)
    rows = {}
    for one in gateway.engine.verdicts():
        fields = {key: str(value) for key, value in msgspec.structs.asdict(one).items()}
        rows[fields.pop("name")] = fields
    end = time.monotonic() + wait_s
    while time.monotonic() < end and any(row["state"] == "untried" for row in gateway.engine.path_rows()):
        await asyncio.sleep(0.005)
    paths = {f"{row.pop('box')}/{row.pop('place')}": row for row in gateway.engine.path_rows()}
    await gateway.stop()
    shown = {name: {key: str(value) for key, value in row.items()} for name, row in paths.items()}
    return rows, where_several(shown)


@click.command()
@click.argument("file", metavar="SETTINGS.jsonnet")
@click.argument("boxes", nargs=-1, metavar="[BOX]...")
@click.option("--against", default="", metavar="HOST:PORT", help="Show a running gateway's verdict beside.")
@click.option("--json", "as_json", is_flag=True)
def check(file: str, boxes: tuple[str, ...], against: str, as_json: bool) -> None:
    """Ask boxes for role, history and offset, and say what a gateway by these settings would give them.

    Where a box has several addresses, each is tried and shown.

    Exit 0: every box named (or all) would be given work. Exit 1: one would not, or, with --against, the running
    gateway's verdict is another one. Exit 2: bad settings, an unknown box, no gateway there.
    """
    try:
        rows, paths = asyncio.run(inspect(file))
        sections = ask_info(against) if against else {}
        if against and sections["server"]["oatlink_version"] != __version__:
            raise AskError(
                f"{against}: version {sections['server']['oatlink_version']}, this is {__version__}: "
                "they may decide differently"
            )
        other = member_rows(sections)
    except (SettingsError, AskError) as error:
        fail(str(error))
        return
    for name in boxes:
        if name not in rows:
            fail(f"{file}: no box {name!r}; it names {', '.join(rows)}")
    rows = {name: row for name, row in rows.items() if not boxes or name in boxes}
    differ = []
    if against:
        for name, row in rows.items():
            row["gateway"] = other.get(name, {}).get("takes", "not listed")
            if row["gateway"] != row["takes"]:
                differ.append(name)
    if as_json:
        click.echo(json.dumps({"boxes": rows, "differ": differ, "paths": paths}))
    else:
        columns = ("bank", "role", "says", "state", "replid", "offset", "age_ms", "warmth", "takes")
        click.echo(table(rows, (*columns, "gateway") if against else columns))
        shown = {name: row for name, row in paths.items() if name.rpartition("/")[0] in rows}
        if shown:
            click.echo(table(shown, PATH_COLUMNS))
        for name in differ:
            click.echo(f"{name}: the running gateway says otherwise")
    idle = [name for name, row in rows.items() if row["takes"].startswith("nothing")]
    sys.exit(1 if idle or differ else 0)


@click.command()
@click.argument("address", metavar="HOST:PORT")
@click.argument("word", metavar="WORD", type=click.Choice(["start", "stop", "dump", "status"]))
def record(address: str, word: str) -> None:
    """Start, stop or write down a running gateway's recording; HOST:PORT is its admin_listen.

    start: record to files from now on, beginning with the gateway's whole state. stop: end that. dump: write the ring
    in memory (record: 'ring') to files beside record_file. status: what is recorded now. With workers, the first one.

    Exit 0: done, the line names the files. Exit 2: not done, and why.
    """
    try:
        value = ask(address, "RECORD", word)
    except AskError as error:
        fail(str(error))
        return
    click.echo(value.text.decode("utf-8", "replace") if isinstance(value, Simple) else str(value))


@click.command("explain")
@click.argument("file", metavar="RECORDING")
@click.argument("request", type=int)
@click.option("--json", "as_json", is_flag=True)
def explain_command(file: str, request: int, as_json: bool) -> None:
    """Say why a recorded request went where it went: each choice, each member, which guard spoke against it.

    The guards are the Router's own, asked during a replay. Exit 1: the recording does not know the request.
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
        need = f", data at most {choice.need_ms} ms old" if choice.need_ms >= 0 else ""
        click.echo(f"{choice.at_us} chose {choice.chosen or 'nobody'}{need}")
        for one in choice.candidates:
            click.echo(
                f"  {one.box}: {one.role}, {one.behind_ms} ms behind, {one.out} of {one.room} out: "
                f"{', '.join(one.against) or 'fit'}"
            )
