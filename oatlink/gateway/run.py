"""Runs gateways until a signal: one in this process, or workers that share the port and nothing else."""

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
from oatlink.native import code
from oatlink.settings import Settings, SettingsError, load

Prepare = Callable[[], Awaitable[Callable[[], None]]]
"""Starts what a gateway needs beside it; what it returns ends that."""


def as_worker(settings: Settings, number: int) -> Settings:
    """The settings of one worker: a gateway of its own, with a seed of its own, among more of them."""
    record = f"{settings.record_file}.{number}" if settings.record_file else ""
    return msgspec.structs.replace(
        settings,
        seed=settings.seed + number,
        peers=settings.peers * settings.workers,
        workers=1,
        record_file=record,
        snapshot_file=f"{settings.snapshot_file}.{number}" if settings.snapshot_file else "",
    )


def boxes_from(settings: Settings, roster: RosterFile) -> tuple[m.Box, ...]:
    """The boxes of a roster file; banks that the settings do not know are passed over."""
    numbers = {bank.name: at for at, bank in enumerate(settings.banks)}
    known = [bank for bank in roster.banks if bank.name in numbers]
    boxes = boxes_of(msgspec.structs.replace(settings, banks=tuple(known)))
    return tuple(msgspec.structs.replace(box, bank=numbers[known[box.bank].name]) for box in boxes)


def reload(gateway: Gateway, path: str, as_read: Callable[[Settings], Settings]) -> None:
    """Read the settings file again: all of it holds from now on, or nothing does and the log says why."""
    try:
        new = as_read(load(path))
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
    ready: Callable[[], None],
    number: int = 0,
    source: str = "",
    as_read: Callable[[Settings], Settings] = lambda one: one,
) -> None:
    """One gateway on bound sockets, until `stop`; SIGHUP has it read its settings file, `source`, again."""
    notes = Notes(settings.logs, worker=number)
    gateway = Gateway(settings, notes)
    if source:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload, gateway, source, as_read)
    seat = None
    if settings.fleet is not None:
        from oatlink.gateway.fleet import Seat  # nothing of a fleet is imported without one

        gateway.fleet = seat = Seat(gateway, settings)
        await seat.node.start()
    # With several workers the first one serves operators: the others share only the clients' port.
    gateway.start(sockets, listen(settings.admin_listen) if settings.admin_listen and number == 0 else None)
    follower = None
    if settings.roster_file:

        def told(roster: RosterFile) -> None:
            gateway.apply_roster(boxes_from(settings, roster))

        follower = asyncio.ensure_future(follow(settings.roster_file, told, lambda text: notes.note("roster", text)))
    shown = None
    if settings.metrics_listen and number == 0:
        shown = serve(gateway.metrics, settings.metrics_listen, lambda: gateway.engine.without_primary)
    end = time.monotonic() + settings.ready_wait_ms / 1000
    while gateway.engine.without_primary and time.monotonic() < end and not stop.is_set():
        await asyncio.sleep(0.005)
    if gateway.engine.without_primary:
        notes.note("ready without a primary", ", ".join(gateway.engine.without_primary))
    notes.note("serving", f"{', '.join(settings.listen)}; {code()}")
    ready()
    await stop.wait()
    if follower is not None:
        follower.cancel()
    if shown is not None:
        shown.stop()
    leaving = asyncio.ensure_future(seat.stop()) if seat is not None else None
    await gateway.stop()
    if leaving is not None:
        await leaving
    notes.note("stopped")


def set_on_stop_signals(stop: asyncio.Event) -> None:
    """SIGINT and SIGTERM ask for an orderly end."""
    loop = asyncio.get_running_loop()
    for one in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(one, stop.set)


def bind(settings: Settings) -> list[socket.socket]:
    """All listeners of the settings. Raises `OSError`."""
    return [one for address in settings.listen for one in listen(address)]


def format_socket_address(name: object) -> str:
    """A socket's own address as settings write it; port 0 has become a real one."""
    if isinstance(name, tuple):
        return f"[{name[0]}]:{name[1]}" if ":" in name[0] else f"{name[0]}:{name[1]}"
    return f"unix:{name}"


def run(
    settings: Settings,
    sockets: list[socket.socket],
    prepare: Prepare | None = None,
    announce: Callable[[], None] = lambda: None,
    source: str = "",
) -> int:
    """Serve until a signal; returns the exit code. With several workers this process only keeps them."""
    if settings.workers == 1:
        return uvloop.run(_alone(settings, sockets, prepare, announce, source))
    reader, writer = os.pipe()
    children = []
    for number in range(settings.workers):
        child = os.fork()
        if child == 0:
            os.close(reader)
            code = 1
            try:
                code = uvloop.run(_worker(settings, sockets, number, writer, source))
            finally:
                sys.stderr.flush()
                os._exit(code)
        children.append(child)
    os.close(writer)
    for one in sockets:
        one.close()
    return uvloop.run(_keeper(children, reader, prepare, announce))


async def _alone(
    settings: Settings,
    sockets: list[socket.socket],
    prepare: Prepare | None,
    announce: Callable[[], None],
    source: str,
) -> int:
    stop = asyncio.Event()
    set_on_stop_signals(stop)
    end = await prepare() if prepare is not None else None
    try:
        await serve_until(settings, sockets, stop, announce, source=source)
    finally:
        if end is not None:
            end()
    return 0


async def _worker(settings: Settings, sockets: list[socket.socket], number: int, writer: int, source: str) -> int:
    stop = asyncio.Event()
    set_on_stop_signals(stop)

    def tell() -> None:
        os.write(writer, b"r")

    def mine(one: Settings) -> Settings:
        if one.workers != settings.workers:
            raise SettingsError(f"{source}: workers: expected {settings.workers} as at the start")
        return as_worker(one, number)

    await serve_until(mine(settings), sockets, stop, tell, number, source, mine)
    return 0


async def _keeper(children: list[int], reader: int, prepare: Prepare | None, announce: Callable[[], None]) -> int:
    """Wait for the workers; one that dies unasked ends the others, and the exit code says so."""
    stop = asyncio.Event()
    set_on_stop_signals(stop)
    loop = asyncio.get_running_loop()
    end = await prepare() if prepare is not None else None
    got = 0
    while got < len(children):
        data = await loop.run_in_executor(None, os.read, reader, len(children))
        if not data:
            break
        got += len(data)
    if got == len(children):
        announce()
    waiting: set[asyncio.Future[object]] = {loop.run_in_executor(None, os.waitpid, child, 0) for child in children}
    asked: asyncio.Future[object] = asyncio.ensure_future(stop.wait())

    def pass_on() -> None:
        for child in children:
            with contextlib.suppress(ProcessLookupError):
                os.kill(child, signal.SIGHUP)

    loop.add_signal_handler(signal.SIGHUP, pass_on)
    done, _ = await asyncio.wait({*waiting, asked}, return_when=asyncio.FIRST_COMPLETED)
    code = 0 if asked in done else 1
    for child in children:
        with contextlib.suppress(ProcessLookupError):
            os.kill(child, signal.SIGTERM)
    await asyncio.wait(waiting, timeout=5)
    asked.cancel()
    if end is not None:
        end()
    return code
