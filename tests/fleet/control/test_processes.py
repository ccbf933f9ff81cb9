"""Tests the stream of control between real processes: faults between them, states waited for, nothing timed."""

import asyncio
import contextlib
import signal
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from benchmarks.fleet.stream import Look
from benchmarks.fleet.stream_site import READERS, RELAYS, SOURCES, Place
from oatlink.fleet.control.slots import SLOTS
from tests.fleet.life_world import PATIENCE_S, SECRET
from tests.scenes import scene


@contextlib.asynccontextmanager
async def stream_place(*names: str) -> AsyncIterator[Place]:
    """Run a place with the sources and these processes; at its end no process has logged a fault."""
    with tempfile.TemporaryDirectory() as folder:
        place = Place(Path(folder), names, SECRET)
        try:
            yield place
            fault_lines = [
                line
                for process in place.all.values()
                for line in process.lines
                if "fault" in line or "Traceback" in line
            ]
            assert not fault_lines, fault_lines[:3]
        finally:
            await place.stop()


stream_place.most_s = 200.0  # type: ignore[attr-defined]  # includes windows of joins and timeouts of the log, on a busy machine


def upstream(look: Look) -> str:
    """Return the name of a reader's upstream, '' for none."""
    return look.rows["control"].partition("upstream ")[2].partition(",")[0].replace("none", "")


def versions(look: Look, scope: str = "all") -> list[int]:
    """Return the versions of a scope in the order in which they came into force in a process."""
    return [int(version.partition(".")[2]) for version in look.moved.get(scope, {})]


async def start_all(place: Place, *names: str, relays: tuple[str, ...] = ()) -> None:
    """Start sources, `relays` and then these, until a change that makes the group's scope is in force at all."""
    sources = await place.started(*SOURCES)
    await place.started(*relays)
    for source in sources:
        await source.shows(lambda look: look.rows["keeper"] == "votes" and look.age_us == 0)
        if relays:  # a process that comes before the relays is seated at a source and stays there
            await source.shows(lambda look: look.rows["relays"] == f"north/n1={len(relays)}")
    await place.started(*names)
    assert (await sources[0].offer("all", {"group/g": "1"})).startswith("all is at version ")
    await place.in_force("group/g", "1")


async def wait_until_equal(place: Place, *excluded: str) -> None:
    """Wait until all have the same entries and the same head of `all`."""
    async with asyncio.timeout(PATIENCE_S):
        while True:
            states = [
                (await process.entries(), versions(await process.look())[-1])
                for name, process in place.all.items()
                if name not in excluded
            ]
            if all(process == states[0] for process in states):
                return
            await asyncio.sleep(0.1)


async def check_no_version_went_back(place: Place) -> None:
    for process in place.all.values():
        in_force = versions(await process.look())
        assert in_force == sorted(set(in_force)), (process.name, in_force)


@scene(stream_place, *RELAYS, *READERS)
async def test_a_change_is_in_force_everywhere_whichever_process_is_killed_or_paused(place: Place) -> None:
    await start_all(place, *READERS, relays=RELAYS)
    s0, s1, s2 = (place.all[process] for process in SOURCES)
    readers = [place.all[process] for process in READERS]
    # No settings file names the others: relays came by their joins, and readers are seated at them.
    for process in readers:
        await process.shows(lambda look: upstream(look) in RELAYS)

    # Two at once, at two sources, on one key: both in force, in one order.
    answers = await asyncio.gather(s0.offer("all", {"k": "1", "a": "1"}), s1.offer("all", {"k": "2", "b": "1"}))
    assert all(process.startswith("all is at version ") for process in answers) and answers[0] != answers[1]
    last = "2" if int(answers[1].split()[-1]) > int(answers[0].split()[-1]) else "1"
    await place.in_force("k", last)
    await place.in_force("a" if last == "2" else "b", "1")

    # Bad ones are refused, and change nothing.
    before = versions(await s0.look())
    for scope, entries, base in (
        ("all", {"k": "{"}, -1),
        ("all", {"": "1"}, -1),
        ("all", {"readers/north": "5"}, -1),
        ("zone/nowhere", {"k": "1"}, -1),
        ("names/north/n1", {"g0": "1"}, -1),
        ("all", {"k": "3"}, 0),
    ):
        answer = await s1.offer(scope, entries, base)
        assert answer.startswith("refused: ") and "\n" not in answer, answer
    assert (await readers[0].offer("all", {"k": "3"})).startswith("refused: no source")
    assert versions(await s0.look()) == before and (await s0.entries())["k"] == last

    # A relay is killed in the middle of a change, then the source that offers one.
    offered = asyncio.ensure_future(s1.offer("group/g", {"k": "4"}))
    await place.all["r0"].end()
    await offered
    await place.in_force("k", "4", "r0", scope="group/g")
    s2.ask("offer", scope="all", entries={"k": "5"})
    await s2.end()
    assert (await s0.offer("all", {"c": "1"})).startswith("all is at version ")
    await place.in_force("c", "1", "r0", "s2")
    await wait_until_equal(place, "r0", "s2")  # the killed source's change, too, is in force everywhere or nowhere

    # The other relay is paused until nobody hears it; when it goes on, it gets what it missed.
    r1 = place.all["r1"]
    r1.send(signal.SIGSTOP)
    for process in readers:
        await process.shows(lambda look: upstream(look) in ("s0", "s1"))
    assert (await s1.offer("all", {"d": "1"})).startswith("all is at version ")
    await place.in_force("d", "1", "r0", "r1", "s2")
    r1.send(signal.SIGCONT)
    await place.in_force("d", "1", "r0", "s2")
    place.all.pop("r0"), place.all.pop("s2")
    await check_no_version_went_back(place)


async def run_duplicate_and_stranger(place: Place) -> None:
    """Run a second process with the name of `g0` that listens elsewhere, and one with another key.

    Neither gets anything.
    """
    duplicate = await place.process("g0", port_as="g2").start()
    stranger = await place.process("g3", key_files=(place.secret("other", b"o" * 40),)).start()

    async def is_noticed() -> bool:
        """A source did not know the key, and one has said that the name is another's."""
        looks = [await place.all[name].look() for name in SOURCES]
        lines = [line for name in place.all.values() for line in name.lines]
        keyless = any(look.counters.get("dropped_tag") for look in looks)
        return keyless and any("twice" in line or "another process" in line for line in lines)

    async with asyncio.timeout(PATIENCE_S):
        while not await is_noticed():
            await asyncio.sleep(0.1)
    assert (await place.all["s1"].offer("all", {"i": "1"})).startswith("all is at version ")
    await place.in_force("i", "1", "g2", "g3")
    assert not await duplicate.entries() and not await stranger.entries()
    for name in ("g2", "g3"):
        await place.all.pop(name).end()


@scene(stream_place, "r0", "g0", "g1", "g2", "g3")
async def test_without_a_majority_a_change_waits_and_no_version_goes_back(place: Place) -> None:
    await start_all(place, "r0", "g0", "g1")
    await run_duplicate_and_stranger(place)
    s0, g0 = place.all["s0"], place.all["g0"]
    for name in ("s1", "s2"):
        await place.all[name].end()
    pending_offer = asyncio.ensure_future(s0.offer("all", {"k": "1"}))
    await s0.shows(lambda look: look.age_us > 5_000_000)
    await g0.shows(lambda look: look.age_us > 5_000_000 and "behind" in look.rows["control"])
    assert (await g0.entries())["group/g"] == "1"
    await asyncio.gather(*(place.all[name].start() for name in ("s1", "s2")))
    answer = await pending_offer
    await place.in_force("k", "1") if answer.startswith("all is at version ") else await wait_until_equal(place)
    assert (await place.all["s1"].offer("all", {"j": "1"})).startswith("all is at version ")
    await place.in_force("j", "1")
    await g0.shows(lambda look: look.age_us < 5_000_000)
    await check_no_version_went_back(place)

    # All are killed at once: what was agreed is there again, also what no register holds any more.
    for number in range(SLOTS + 8):
        assert (await place.all["s1"].offer("all", {"n": str(number)})).startswith("all is at version ")
    await place.in_force("n", str(SLOTS + 7))
    await asyncio.gather(*(process.end() for process in place.all.values()))
    await asyncio.gather(*(process.start() for process in place.all.values()))
    await place.in_force("j", "1")
    await place.in_force("n", str(SLOTS + 7))
    assert (await place.all["s2"].offer("all", {"j": "2"})).startswith("all is at version ")
    await place.in_force("j", "2")
