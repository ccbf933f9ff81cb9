"""Stand-in boxes: correct offsets, partial and full resynchronisation, WAIT, failover, faults, the control port."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from oatlink.lab.embedded import Embedded
from oatlink.protocols import resp
from oatlink.standins.bank import Bank
from oatlink.standins.box import Box, WorkProfile
from oatlink.standins.store import Store
from tests.gateways import Wire
from tests.scenes import scene


@contextlib.asynccontextmanager
async def replicated_bank() -> AsyncIterator[Bank]:
    """A running bank of three synchronised boxes; the first one, `x`, is the primary."""
    bank = Bank("b", ["x", "y", "z"], seed=1, detect_s=(0.1, 0.2), elect_s=(0.05, 0.1))
    bank.start()
    await bank.wait_until_synced()
    try:
        yield bank
    finally:
        bank.stop()


def count_writes(box: Box) -> int:
    """Count the writes that a box has applied: each one adds an entry to the list `l`."""
    value = box.store.data.get(b"l", [])
    assert isinstance(value, list)
    return len(value)


@scene(replicated_bank)
async def test_offsets_match_the_writes_applied(bank: Bank) -> None:
    x, y, _ = bank.boxes
    wire = await Wire.open(x.port)
    write_bytes = len(resp.command("RPUSH", "l", 1))
    base = x.offset
    y.faults.lag_ms = 150
    for number in range(1, 10):
        await wire.ask("RPUSH", "l", 1)
        assert x.offset == base + number * write_bytes and count_writes(x) == number
        for box in bank.boxes:
            assert box.offset >= base and (box.offset - base) // write_bytes <= count_writes(box)
        await asyncio.sleep(0.02)
    assert y.offset < x.offset
    y.faults.lag_ms = 0
    await bank.wait_until_synced()
    assert {count_writes(box) for box in bank.boxes} == {9}


@scene(replicated_bank)
async def test_a_replica_refuses_writes_and_answers_reads_from_its_own_data(bank: Bank) -> None:
    x, y, _ = bank.boxes
    y.faults.lag_ms = 300
    primary, replica = await Wire.open(x.port), await Wire.open(y.port)
    await primary.ask("SET", "a", 1)
    assert await replica.ask("GET", "a") == resp.Null(b"$")
    refused = await replica.ask("SET", "a", 2)
    assert isinstance(refused, resp.Error) and refused.prefix == b"READONLY"
    role = await replica.ask("ROLE")
    assert isinstance(role, resp.Array) and role.items[0] == b"slave"


@scene(replicated_bank)
async def test_wait_counts_the_replicas_that_have_the_write(bank: Bank) -> None:
    x, y, z = bank.boxes
    wire = await Wire.open(x.port)
    await wire.ask("SET", "a", 1)
    assert await wire.ask("WAIT", 2, 1000) == 2
    y.faults.lag_ms = z.faults.lag_ms = 5_000
    await wire.ask("SET", "a", 2)
    assert await wire.ask("WAIT", 1, 100) == 0


@scene(replicated_bank)
async def test_a_crashed_primarys_unreplicated_write_is_lost_and_the_primary_resynchronised(bank: Bank) -> None:
    x = bank.boxes[0]
    wire = await Wire.open(x.port)
    await wire.ask("RPUSH", "l", "kept")
    await bank.wait_until_synced()
    x.faults.die_on_write = True
    with pytest.raises(ConnectionError):
        await wire.ask("RPUSH", "l", "lost")
    diverged_offset = x.offset
    async with asyncio.timeout(3):
        while bank.primary is None:
            await asyncio.sleep(0.01)
    elected = bank.primary
    assert elected is not None and elected is not x and elected.offset < diverged_offset
    assert elected.replid2 == x.replid and elected.second_offset == elected.offset + 1
    x.start()
    await bank.wait_until_synced()
    assert x.store.data[b"l"] == [b"kept"] and x.offset == elected.offset and not x.is_primary


@scene(replicated_bank)
async def test_a_short_disconnection_causes_a_partial_resynchronisation(bank: Bank) -> None:
    x, y, _ = bank.boxes
    wire = await Wire.open(x.port)
    await wire.ask("RPUSH", "l", 1)
    await bank.wait_until_synced()
    store = y.store.data
    y.stop()
    await wire.ask("RPUSH", "l", 2)
    y.start()
    await bank.wait_until_synced()
    # A full resynchronisation would have replaced the data object.
    assert y.store.data is store and count_writes(y) == 2


@scene(replicated_bank)
async def test_a_primary_that_hung_is_fenced_when_it_continues(bank: Bank) -> None:
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


@scene(replicated_bank)
async def test_a_hand_over_loses_no_writes(bank: Bank) -> None:
    x = bank.boxes[0]
    wire = await Wire.open(x.port)
    for number in range(50):
        await wire.ask("RPUSH", "l", number)
    new_primary = await bank.hand_over()
    assert new_primary is not None and count_writes(new_primary) == 50 and new_primary.is_primary and not x.is_primary
    await bank.wait_until_synced()


@scene(replicated_bank)
async def test_repeats_inside_the_window_are_dropped_on_the_next_primary_too(bank: Bank) -> None:
    wire = await Wire.open(bank.boxes[0].port)
    first = await wire.ask("XADD", "s", "IDMP", "p", "k", "*", "f", "v")
    await bank.wait_until_synced()
    new_primary = await bank.hand_over()
    assert new_primary is not None
    other = await Wire.open(new_primary.port)
    assert await other.ask("XADD", "s", "IDMP", "p", "k", "*", "f", "v") == first
    assert await other.ask("XLEN", "s") == 1


def test_repeats_are_executed_again_after_the_window() -> None:
    store = Store(window_ms=100)
    args = [b"XADD", b"s", b"IDMP", b"p", b"k", b"*", b"f", b"v"]
    first = store.execute(args, 1_000)[0]
    assert store.execute(args, 1_099) == (first, [])
    assert store.execute(args, 1_100)[0] != first


def test_work_takes_time_and_a_cold_box_has_less_capacity() -> None:
    box = Box("x", work=WorkProfile(read_us=10_000, cores=2, cold_share=0.25, warm_s=100.0))

    async def test() -> None:
        box.start()
        assert 45 <= box.capacity() <= 60
        wire = await Wire.open(box.port)
        start_s = asyncio.get_running_loop().time()
        for _ in range(3):
            await wire.ask("GET", "a")
        assert asyncio.get_running_loop().time() - start_s > 0.1
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
