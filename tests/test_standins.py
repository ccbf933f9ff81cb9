"""Stand-ins: correct offsets, partial and full resynchronisation, WAIT, failover, faults, the control port."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from oatlink.lab.embedded import Embedded
from oatlink.protocols import resp
from oatlink.standins.bank import Bank
from oatlink.standins.box import Box, Work
from oatlink.standins.store import Store
from tests.gateways import Wire
from tests.scenes import scene


@contextlib.asynccontextmanager
async def replicated() -> AsyncIterator[Bank]:
    bank = Bank("b", ["x", "y", "z"], seed=1, detect_s=(0.1, 0.2), elect_s=(0.05, 0.1))
    bank.start()
    await bank.synced()
    try:
        yield bank
    finally:
        bank.stop()


def write_count(box: Box) -> int:
    """The number of writes in the box's data; each write adds one entry to the list."""
    entries = box.store.data.get(b"l", [])
    assert isinstance(entries, list)
    return len(entries)


@scene(replicated)
async def test_offsets_count_exactly_the_writes_in_the_data(bank: Bank) -> None:
    x, y, _ = bank.boxes
    wire = await Wire.open(x.port)
    size = len(resp.command("RPUSH", "l", 1))
    base = x.offset
    y.faults.lag_ms = 150
    for number in range(1, 10):
        await wire.ask("RPUSH", "l", 1)
        assert x.offset == base + number * size and write_count(x) == number
        for box in bank.boxes:
            assert box.offset >= base and (box.offset - base) // size <= write_count(box)
        await asyncio.sleep(0.02)
    assert y.offset < x.offset
    y.faults.lag_ms = 0
    await bank.synced()
    assert {write_count(box) for box in bank.boxes} == {9}


@scene(replicated)
async def test_a_replica_refuses_writes_and_answers_reads_from_what_it_has(bank: Bank) -> None:
    x, y, _ = bank.boxes
    y.faults.lag_ms = 300
    primary_wire, replica_wire = await Wire.open(x.port), await Wire.open(y.port)
    await primary_wire.ask("SET", "a", 1)
    assert await replica_wire.ask("GET", "a") == resp.Null(b"$")
    refused = await replica_wire.ask("SET", "a", 2)
    assert isinstance(refused, resp.Error) and refused.prefix == b"READONLY"
    role = await replica_wire.ask("ROLE")
    assert isinstance(role, resp.Array) and role.items[0] == b"slave"


@scene(replicated)
async def test_wait_counts_the_replicas_that_have_the_write(bank: Bank) -> None:
    x, y, z = bank.boxes
    wire = await Wire.open(x.port)
    await wire.ask("SET", "a", 1)
    assert await wire.ask("WAIT", 2, 1000) == 2
    y.faults.lag_ms = z.faults.lag_ms = 5_000
    await wire.ask("SET", "a", 2)
    assert await wire.ask("WAIT", 1, 100) == 0


@scene(replicated)
async def test_a_crashed_primarys_unreplicated_write_is_lost_and_its_history_resynchronised(bank: Bank) -> None:
    x = bank.boxes[0]
    wire = await Wire.open(x.port)
    await wire.ask("RPUSH", "l", "kept")
    await bank.synced()
    x.faults.die_on_write = True
    with pytest.raises(ConnectionError):
        await wire.ask("RPUSH", "l", "lost")
    diverged = x.offset
    async with asyncio.timeout(3):
        while bank.primary is None:
            await asyncio.sleep(0.01)
    new = bank.primary
    assert new is not None and new is not x and new.offset < diverged
    assert new.replid2 == x.replid and new.second_offset == new.offset + 1
    x.start()
    await bank.synced()
    assert x.store.data[b"l"] == [b"kept"] and x.offset == new.offset and not x.is_primary


@scene(replicated)
async def test_a_short_interruption_is_resynchronised_partially(bank: Bank) -> None:
    x, y, _ = bank.boxes
    wire = await Wire.open(x.port)
    await wire.ask("RPUSH", "l", 1)
    await bank.synced()
    store = y.store.data
    y.stop()
    await wire.ask("RPUSH", "l", 2)
    y.start()
    await bank.synced()
    assert y.store.data is store and write_count(y) == 2  # a full resynchronisation would have replaced the data


@scene(replicated)
async def test_a_hung_primary_is_fenced_when_it_resumes(bank: Bank) -> None:
    x = bank.boxes[0]
    x.faults.hang = True
    wire = await Wire.open(x.port)
    pending = asyncio.ensure_future(wire.ask("RPUSH", "l", 1))
    async with asyncio.timeout(3):
        while bank.primary is None:
            await asyncio.sleep(0.01)
    x.faults.hang = False
    reply = await pending
    assert isinstance(reply, resp.Error) and reply.prefix == b"READONLY"


@scene(replicated)
async def test_a_handover_loses_no_write(bank: Bank) -> None:
    x = bank.boxes[0]
    wire = await Wire.open(x.port)
    for number in range(50):
        await wire.ask("RPUSH", "l", number)
    chosen = await bank.hand_over()
    assert chosen is not None and write_count(chosen) == 50 and chosen.is_primary and not x.is_primary
    await bank.synced()


@scene(replicated)
async def test_repeats_inside_the_window_are_also_dropped_by_the_next_primary(bank: Bank) -> None:
    wire = await Wire.open(bank.boxes[0].port)
    first = await wire.ask("XADD", "s", "IDMP", "p", "k", "*", "f", "v")
    await bank.synced()
    chosen = await bank.hand_over()
    assert chosen is not None
    other = await Wire.open(chosen.port)
    assert await other.ask("XADD", "s", "IDMP", "p", "k", "*", "f", "v") == first
    assert await other.ask("XLEN", "s") == 1


def test_a_repeat_after_the_window_runs_again() -> None:
    store = Store(window_ms=100)
    command = [b"XADD", b"s", b"IDMP", b"p", b"k", b"*", b"f", b"v"]
    first = store.execute(command, 1_000)[0]
    assert store.execute(command, 1_099) == (first, [])
    assert store.execute(command, 1_100)[0] != first


def test_requests_take_the_configured_time_and_a_cold_box_has_less_capacity() -> None:
    box = Box("x", work=Work(read_us=10_000, cores=2, cold_share=0.25, warm_s=100.0))

    async def test() -> None:
        box.start()
        assert 45 <= box.capacity() <= 60
        wire = await Wire.open(box.port)
        began = asyncio.get_running_loop().time()
        for _ in range(3):
            await wire.ask("GET", "a")
        assert asyncio.get_running_loop().time() - began > 0.1
        box.stop()

    asyncio.run(test())


def test_the_control_port_sets_faults() -> None:
    async def test() -> None:
        embedded = Embedded(1, 2, 1)
        end = await embedded.start()
        wire = await Wire.open(embedded.control())
        assert await wire.ask("FAULT", "box-0-1", "lag_ms", 250) == resp.Simple(b"OK")
        assert embedded.boxes["box-0-1"].faults.lag_ms == 250
        assert isinstance(await wire.ask("FAULT", "box-0-1", "lag_ms", "x"), resp.Error)
        assert isinstance(await wire.ask("FAULT", "nobody", "lag_ms", 1), resp.Error)
        assert await wire.ask("CRASH", "box-0-1") == resp.Simple(b"OK")
        assert not embedded.boxes["box-0-1"].running
        assert await wire.ask("START", "box-0-1") == resp.Simple(b"OK")
        end()

    asyncio.run(test())
