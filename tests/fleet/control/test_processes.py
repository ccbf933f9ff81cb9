"""The stream of control between real processes: faults between them, states waited for, nothing timed."""

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
async def streamed(*names: str) -> AsyncIterator[Place]:
    """A place for sources and these. At its end no process has a fault in what it said."""
    with tempfile.TemporaryDirectory() as folder:
        place = Place(Path(folder), names, SECRET)
        try:
            yield place
            said = [line for one in place.all.values() for line in one.lines if "fault" in line or "Traceback" in line]
            assert not said, said[:3]
        finally:
            await place.stop()


streamed.most_s = 200.0  # type: ignore[attr-defined]  # windows of joins, a patience of the log, on a busy machine


def upstream(look: Look) -> str:
    """Whom a reader hears, empty for none."""
    return look.rows["control"].partition("upstream ")[2].partition(",")[0].replace("none", "")


def versions(look: Look, scope: str = "all") -> list[int]:
    """The versions that came into force in a process, in the order in which they did."""
    return [int(one.partition(".")[2]) for one in look.moved.get(scope, {})]


async def began(place: Place, *names: str, relays: tuple[str, ...] = ()) -> None:
    """Start sources, `relays` and then these, until a change that makes the group's scope is in force at all."""
    sources = await place.started(*SOURCES)
    await place.started(*relays)
    for one in sources:
        await one.shows(lambda look: look.rows["keeper"] == "votes" and look.age_us == 0)
        if relays:  # who comes before them sits at a source, and stays there
            await one.shows(lambda look: look.rows["relays"] == f"north/n1={len(relays)}")
    await place.started(*names)
    assert (await sources[0].offer("all", {"group/g": "1"})).startswith("all is at version ")
    await place.in_force("group/g", "1")


async def same_everywhere(place: Place, *but: str) -> None:
    """All have the same entries and the same head of `all`."""
    async with asyncio.timeout(PATIENCE_S):
        while True:
            found = [
                (await one.entries(), versions(await one.look())[-1]) for n, one in place.all.items() if n not in but
            ]
            if all(one == found[0] for one in found):
                return
            await asyncio.sleep(0.1)


async def no_version_went_back(place: Place) -> None:
    for one in place.all.values():
        come = versions(await one.look())
        assert come == sorted(set(come)), (one.name, come)


@scene(streamed, *RELAYS, *READERS)
async def test_a_change_is_in_force_everywhere_whichever_process_is_killed_or_paused(place: Place) -> None:
    await began(place, *READERS, relays=RELAYS)
    s0, s1, s2 = (place.all[one] for one in SOURCES)
    readers = [place.all[one] for one in READERS]
    # Nobody's file names the others: relays came by their joins, and readers sit at them.
    for one in readers:
        await one.shows(lambda look: upstream(look) in RELAYS)

    # Two at once, at two sources, on one key: both in force, in one order.
    both = await asyncio.gather(s0.offer("all", {"k": "1", "a": "1"}), s1.offer("all", {"k": "2", "b": "1"}))
    assert all(one.startswith("all is at version ") for one in both) and both[0] != both[1]
    last = "2" if int(both[1].split()[-1]) > int(both[0].split()[-1]) else "1"
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
    await same_everywhere(place, "r0", "s2")  # the dead source's change, too, is in force at all or at nobody

    # The other relay stands still until nobody hears it, and goes on: it has what it missed.
    r1 = place.all["r1"]
    r1.send(signal.SIGSTOP)
    for one in readers:
        await one.shows(lambda look: upstream(look) in ("s0", "s1"))
    assert (await s1.offer("all", {"d": "1"})).startswith("all is at version ")
    await place.in_force("d", "1", "r0", "r1", "s2")
    r1.send(signal.SIGCONT)
    await place.in_force("d", "1", "r0", "s2")
    place.all.pop("r0"), place.all.pop("s2")
    await no_version_went_back(place)


async def others_under_a_name_or_key(place: Place) -> None:
    """A second process under the name of `g0`, that listens elsewhere, and one with another key: nothing for either."""
    twin = await place.process("g0", port_as="g2").start()
    stranger = await place.process("g3", key_files=(place.secret("other", b"o" * 40),)).start()

    async def seen() -> bool:
        """A source did not know the key, and one has said that the name is another's."""
        looks = [await place.all[one].look() for one in SOURCES]
        lines = [line for one in place.all.values() for line in one.lines]
        keyless = any(look.counters.get("dropped_tag") for look in looks)
        return keyless and any("twice" in line or "another process" in line for line in lines)

    async with asyncio.timeout(PATIENCE_S):
        while not await seen():
            await asyncio.sleep(0.1)
    assert (await place.all["s1"].offer("all", {"i": "1"})).startswith("all is at version ")
    await place.in_force("i", "1", "g2", "g3")
    assert not await twin.entries() and not await stranger.entries()
    for one in ("g2", "g3"):
        await place.all.pop(one).end()


@scene(streamed, "r0", "g0", "g1", "g2", "g3")
async def test_without_a_majority_a_change_waits_and_no_version_goes_back(place: Place) -> None:
    await began(place, "r0", "g0", "g1")
    await others_under_a_name_or_key(place)
    s0, g0 = place.all["s0"], place.all["g0"]
    for name in ("s1", "s2"):
        await place.all[name].end()
    waits = asyncio.ensure_future(s0.offer("all", {"k": "1"}))
    await s0.shows(lambda look: look.age_us > 5_000_000)
    await g0.shows(lambda look: look.age_us > 5_000_000 and "behind" in look.rows["control"])
    assert (await g0.entries())["group/g"] == "1"
    await asyncio.gather(*(place.all[name].start() for name in ("s1", "s2")))
    how = await waits
    await place.in_force("k", "1") if how.startswith("all is at version ") else await same_everywhere(place)
    assert (await place.all["s1"].offer("all", {"j": "1"})).startswith("all is at version ")
    await place.in_force("j", "1")
    await g0.shows(lambda look: look.age_us < 5_000_000)
    await no_version_went_back(place)

    # All are killed at once: what was agreed is there again, also what no register holds any more.
    for number in range(SLOTS + 8):
        assert (await place.all["s1"].offer("all", {"n": str(number)})).startswith("all is at version ")
    await place.in_force("n", str(SLOTS + 7))
    await asyncio.gather(*(one.end() for one in place.all.values()))
    await asyncio.gather(*(one.start() for one in place.all.values()))
    await place.in_force("j", "1")
    await place.in_force("n", str(SLOTS + 7))
    assert (await place.all["s2"].offer("all", {"j": "2"})).startswith("all is at version ")
    await place.in_force("j", "2")
