"""Runs gateways until a signal: one in this process, or several workers that share only the port."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable

import msgspec
import uvloop

from oatlink.core import messages as m
from oatlink.core.reload import changes, objections
from oatlink.discovery.file import RosterFile, follow
from oatlink.gateway.listeners import boxes_of, listen
from oatlink.gateway.metrics import serve
from oatlink.gateway.notes import Notes
from oatlink.gateway.server import Gateway
from oatlink.native import code_kind
from oatlink.settings import Settings, SettingsError, load

READY_BYTE = b"r"  # a worker writes it to its parent's pipe once it serves

Prepare = Callable[[], Awaitable[Callable[[], None]]]
"""Starts what has to run alongside a gateway, and returns the function that ends it."""


def worker_settings(settings: Settings, number: int) -> Settings:
    """The settings of one worker, which is a separate gateway with its own seed and its own files."""
    record = f"{settings.record_file}.{number}" if settings.record_file else ""
    return msgspec.structs.replace(
        settings,
        seed=settings.seed + number,
        peers=settings.peers * settings.workers,
        workers=1,
        record_file=record,
        snapshot_file=f"{settings.snapshot_file}.{number}" if settings.snapshot_file else "",
    )


def boxes_from_roster(settings: Settings, roster: RosterFile) -> tuple[m.Box, ...]:
    """The boxes of a roster file; banks that are not in the settings are skipped."""
    bank_numbers = {bank.name: number for number, bank in enumerate(settings.banks)}
    known_banks = [bank for bank in roster.banks if bank.name in bank_numbers]
    boxes = boxes_of(msgspec.structs.replace(settings, banks=tuple(known_banks)))
    return tuple(msgspec.structs.replace(box, bank=bank_numbers[known_banks[box.bank].name]) for box in boxes)


def reload(gateway: Gateway, path: str, adapt: Callable[[Settings], Settings]) -> None:
    """Read the settings file again. Either all of it takes effect, or none of it and the log says why."""
    try:
        new = adapt(load(path))
    except SettingsError as error:
        gateway.notes.note("reload refused", str(error))
        return
    problem = next(objections(gateway.settings, new), "")
    if problem:
        gateway.notes.note("reload refused", f"{path}: {problem}")
        return
    gateway.notes.note("reload", ", ".join(changes(gateway.settings, new)) or "nothing has changed")
    gateway.reload(new)


async def serve_until(
    settings: Settings,
    sockets: list[socket.socket],
    stop: asyncio.Event,
    on_ready: Callable[[], None],
    worker_number: int = 0,
    settings_path: str = "",
    adapt: Callable[[Settings], Settings] = lambda settings: settings,
) -> None:
    """Run one gateway on bound sockets until `stop`. On SIGHUP it reads the file at `settings_path` again.

    `adapt` is applied to the settings that are read then.
    """
    notes = Notes(settings.logs, worker=worker_number)
    gateway = Gateway(settings, notes)
    if settings_path:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload, gateway, settings_path, adapt)
    fleet_connector = None
    if settings.fleet is not None:
        from oatlink.gateway.fleet import FleetConnector  # without a fleet, none of its modules is imported

        gateway.fleet = fleet_connector = FleetConnector(gateway, settings)
        await fleet_connector.node.start()
    # With several workers, the first one serves operators; the others share only the clients' port.
    is_first = worker_number == 0
    gateway.start(sockets, listen(settings.admin_listen) if settings.admin_listen and is_first else None)
    follower = None
    if settings.roster_file:

        def on_roster(roster: RosterFile) -> None:
            gateway.apply_roster(boxes_from_roster(settings, roster))

        follower = asyncio.ensure_future(
            follow(settings.roster_file, on_roster, lambda text: notes.note("roster", text))
        )
    metrics_server = None
    if settings.metrics_listen and is_first:
        metrics_server = serve(gateway.metrics, settings.metrics_listen, lambda: gateway.engine.without_primary)
    ready_deadline_s = time.monotonic() + settings.ready_wait_ms / 1000
    while gateway.engine.without_primary and time.monotonic() < ready_deadline_s and not stop.is_set():
        await asyncio.sleep(0.005)
    if gateway.engine.without_primary:
        notes.note("ready without a primary", ", ".join(gateway.engine.without_primary))
    notes.note("serving", f"{', '.join(settings.listen)}; {code_kind()}")
    on_ready()
    await stop.wait()
    if follower is not None:
        follower.cancel()
    if metrics_server is not None:
        metrics_server.stop()
    leaving_fleet = asyncio.ensure_future(fleet_connector.stop()) if fleet_connector is not None else None
    await gateway.stop()
    if leaving_fleet is not None:
        await leaving_fleet
    notes.note("stopped")


def set_on_stop_signals(stop: asyncio.Event) -> None:
    """Set an event on SIGINT and SIGTERM, for an orderly end."""
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(stop_signal, stop.set)


def bind(settings: Settings) -> list[socket.socket]:
    """Bind all listeners of the settings. Raises `OSError`."""
    return [sock for address in settings.listen for sock in listen(address)]


def format_socket_address(name: object) -> str:
    """A socket's own address as settings write it; port 0 has been replaced by the real port."""
    if isinstance(name, tuple):
        return f"[{name[0]}]:{name[1]}" if ":" in name[0] else f"{name[0]}:{name[1]}"
    return f"unix:{name}"


def run(
    settings: Settings,
    sockets: list[socket.socket],
    prepare: Prepare | None = None,
    on_ready: Callable[[], None] = lambda: None,
    settings_path: str = "",
) -> int:
    """Serve until a signal; returns the exit code. With several workers, this process only supervises them."""
    if settings.workers == 1:
        return uvloop.run(_run_single(settings, sockets, prepare, on_ready, settings_path))
    ready_reader, ready_writer = os.pipe()
    children = []
    for number in range(settings.workers):
        child = os.fork()
        if child == 0:
            os.close(ready_reader)
            exit_code = 1
            try:
                exit_code = uvloop.run(_run_worker(settings, sockets, number, ready_writer, settings_path))
            finally:
                sys.stderr.flush()
                os._exit(exit_code)
        children.append(child)
    os.close(ready_writer)
    for sock in sockets:
        sock.close()
    return uvloop.run(_supervise_workers(children, ready_reader, prepare, on_ready))


async def _run_single(
    settings: Settings,
    sockets: list[socket.socket],
    prepare: Prepare | None,
    on_ready: Callable[[], None],
    settings_path: str,
) -> int:
    stop = asyncio.Event()
    set_on_stop_signals(stop)
    end_prepared = await prepare() if prepare is not None else None
    try:
        await serve_until(settings, sockets, stop, on_ready, settings_path=settings_path)
    finally:
        if end_prepared is not None:
            end_prepared()
    return 0


async def _run_worker(
    settings: Settings, sockets: list[socket.socket], number: int, ready_writer: int, settings_path: str
) -> int:
    stop = asyncio.Event()
    set_on_stop_signals(stop)

    def on_ready() -> None:
        os.write(ready_writer, READY_BYTE)

    def adapt(new: Settings) -> Settings:
        if new.workers != settings.workers:
            raise SettingsError(f"{settings_path}: workers: expected {settings.workers} as at the start")
        return worker_settings(new, number)

    await serve_until(adapt(settings), sockets, stop, on_ready, number, settings_path, adapt)
    return 0


async def _supervise_workers(
    children: list[int], ready_reader: int, prepare: Prepare | None, on_ready: Callable[[], None]
) -> int:
    """Wait for the workers. If one ends without a stop signal, the others are ended and the exit code is 1."""
    stop = asyncio.Event()
    set_on_stop_signals(stop)
    loop = asyncio.get_running_loop()
    end_prepared = await prepare() if prepare is not None else None
    ready_count = 0
    while ready_count < len(children):
        data = await loop.run_in_executor(None, os.read, ready_reader, len(children))
        if not data:
            break
        ready_count += len(data)
    if ready_count == len(children):
        on_ready()
    exits: set[asyncio.Future[object]] = {loop.run_in_executor(None, os.waitpid, child, 0) for child in children}
    stop_requested: asyncio.Future[object] = asyncio.ensure_future(stop.wait())

    def forward_reload() -> None:
        for child in children:
            with contextlib.suppress(ProcessLookupError):
                os.kill(child, signal.SIGHUP)

    loop.add_signal_handler(signal.SIGHUP, forward_reload)
    done, _ = await asyncio.wait({*exits, stop_requested}, return_when=asyncio.FIRST_COMPLETED)
    exit_code = 0 if stop_requested in done else 1
    for child in children:
        with contextlib.suppress(ProcessLookupError):
            os.kill(child, signal.SIGTERM)
    await asyncio.wait(exits, timeout=5)
    stop_requested.cancel()
    if end_prepared is not None:
        end_prepared()
    return exit_code
