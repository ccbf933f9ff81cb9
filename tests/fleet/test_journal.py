"""What a keeper has promised is there again after any fall, or the keeper says that it is not."""

import asyncio
import errno
import os
import random
import stat
from pathlib import Path

import pytest
import xxhash

from oatlink.fleet.messages import Ballot, Kept, Record
from oatlink.fleet.shell import files, history, journal
from oatlink.fleet.shell.disk import Disk
from oatlink.fleet.shell.history import BEGIN, BLOCK, DamageError, Row
from oatlink.fleet.shell.journal import Journal
from oatlink.fleet.shell.keys import FleetError

Rows = dict[tuple[str, str], bytes]


class Quick(Disk):
    """A disk that is asked for nothing that takes time: no test pulls a plug out of this machine."""

    def sync(self, handle: int) -> None:
        pass


def rows(number: int) -> list[Row]:
    return [Row("register", f"k{number % 3}", b"%09d" % number), Row("life", f"n{number % 2}", b"%d" % number)]


async def keep(place: Path, numbers: range, disk: Disk | None = None) -> Rows:
    """Commit so many batches; what holds then."""
    one, found, _, _ = Journal.open(str(place), "a", 7, disk or Quick())
    for number in numbers:
        one.append(rows(number))
        found |= {(row.kind, row.key): row.payload for row in rows(number)}
        await one.commit()
    await one.close()
    return found


def test_what_was_committed_is_there_again(tmp_path: Path) -> None:
    async def test() -> None:
        place = tmp_path / "state"
        one, found, life, is_new = Journal.open(str(place), "a", 7)
        assert (found, life, is_new) == ({}, 7, True)
        kept = Kept("limits/0", Ballot(3, "a", 2**40), Ballot(2, "b", 1), Record(4, "b", b"v" * 8_192))
        one.append([journal.row_of_register(kept)])
        await one.commit()
        with pytest.raises(FleetError, match="another process"):
            Journal.open(str(place), "a", 8)
        await one.close()
        await one.close()
        with pytest.raises(FleetError, match="closed"):
            await one.commit()
        one, found, life, is_new = Journal.open(str(place), "a", 8)
        assert journal.registers_in(found) == (kept,) and (life, is_new) == (7, False)
        await one.close()
        assert stat.S_IMODE((place / files.NAME).stat().st_mode) == 0o600

    asyncio.run(test())


def test_what_comes_meanwhile_shares_a_commit_and_is_told_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        class Counting(Quick):
            syncs = 0

            def sync(self, handle: int) -> None:
                self.syncs += 1

        disk, told = Counting(), list[int]()
        one, *_ = Journal.open(str(tmp_path / "s"), "a", 7, disk)
        before = disk.syncs

        async def commit(number: int) -> None:
            one.append(rows(number))
            await one.commit()
            told.append(number)

        await asyncio.gather(*(commit(number) for number in range(50)))
        assert told == list(range(50)) and disk.syncs == before + 2
        await one.close()

    asyncio.run(test())


def test_the_file_stays_small(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "COMPACT_BYTES", BEGIN + 500)
    whole = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda handle, data, at: whole(handle, data[:1_000], at))  # the kernel may
    found = asyncio.run(keep(tmp_path / "s", range(200)))
    assert (tmp_path / "s" / files.NAME).stat().st_size < BEGIN + 700
    assert asyncio.run(keep(tmp_path / "s", range(0))) == found


# ---- Damage ----


@pytest.fixture(scope="module")
def written(tmp_path_factory: pytest.TempPathFactory) -> tuple[bytes, Rows]:
    place = tmp_path_factory.mktemp("written") / "s"
    found = asyncio.run(keep(place, range(4)))
    return (place / files.NAME).read_bytes(), found


def silent_losses(data: bytes, promised: Rows) -> list[int]:
    """At which bytes one flipped bit, an end there, or an end behind a mark that is gone, is passed over."""
    losses = []
    for at in range(len(data)):
        flipped = bytearray(data)
        flipped[at] ^= 1 << at % 8
        damaged = [bytes(flipped), data[:at]]
        if at in (BLOCK, 2 * BLOCK):
            damaged.append((data[:at] + b"\xff" * 24 + data[at + 24 :])[:-1])
        for one in damaged:
            try:
                if history.replay(one, "a").rows != promised:
                    losses.append(at)
            except DamageError:
                pass
    return losses


def test_a_flipped_bit_or_a_lost_end_of_what_was_promised_is_never_passed_over(written: tuple[bytes, Rows]) -> None:
    assert history.replay(written[0], "a").rows == written[1]
    assert silent_losses(*written) == []


@pytest.mark.parametrize("guard", ["what was promised", "both marks", "checksums"])
def test_each_guard_against_damage_is_needed(guard: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    honest = history._newest_mark
    if guard == "what was promised":
        monkeypatch.setattr(history, "_newest_mark", lambda data: (1, BEGIN, True))
    elif guard == "both marks":
        monkeypatch.setattr(history, "_newest_mark", lambda data: (*honest(data)[:2], True))
    else:
        monkeypatch.setattr(history, "_checksum", lambda body, chain: 5)
    promised = asyncio.run(keep(tmp_path / "s", range(4)))
    data = (tmp_path / "s" / files.NAME).read_bytes()
    assert history.replay(data, "a").rows == promised
    assert silent_losses(data, promised) != []


def test_what_was_not_answered_for_may_end_anywhere(written: tuple[bytes, Rows], tmp_path: Path) -> None:
    data, promised = written
    found = history.replay(data, "a")
    tail, _ = history.frames(rows(4), found.chain)
    after = promised | {(row.kind, row.key): row.payload for row in rows(4)}
    place = tmp_path / "s"
    place.mkdir()
    for at in range(len(tail) + 1):
        for end in (tail[:at], tail[:at] + bytes(len(tail) - at), tail[:at] + b"\xff" * 40):
            (place / files.NAME).write_bytes(data + end)
            if at == len(tail) or end == tail:
                assert asyncio.run(keep(place, range(0))) == after
            elif at % 25 == 0:
                # Cut off for good: what is added now stands in its place.
                asyncio.run(keep(place, range(0)))
                left = (place / files.NAME).read_bytes()
                assert history.replay(left, "a").end == len(left)
                kept = asyncio.run(keep(place, range(9, 11)))
                assert asyncio.run(keep(place, range(0))) == kept
            else:
                kept = history.replay(data + end, "a").rows
                assert {*promised} <= {*kept} and all(one in (promised.get(k), after[k]) for k, one in kept.items())
    # With one mark unreadable nothing tells whether the last records were answered for: the file must be whole.
    torn = data[: 2 * BLOCK] + b"\xff" * 24 + data[2 * BLOCK + 24 :]
    assert history.replay(torn, "a").rows == promised
    with pytest.raises(DamageError):
        history.replay(torn + tail[:-1], "a")


def test_a_file_that_is_not_this_keepers_is_refused_in_one_line(written: tuple[bytes, Rows], tmp_path: Path) -> None:
    data, _ = written
    newer = bytearray(history.head("a", 7)[:-8])
    newer[8:12] = (history.FORM + 1).to_bytes(4, "big")
    newer += xxhash.xxh64_digest(bytes(newer))
    slot, gap = history.mark(history.replay(data, "a").serial + 3, len(data))  # a mark in between was never written
    place = tmp_path / "s"
    place.mkdir()
    for content, node, text in (
        (data, "b", "expected the file of 'b', got that of 'a'"),
        (bytes(newer) + data[BLOCK:], "a", "form 2"),
        (b"", "a", "damaged"),
        (random.Random(1).randbytes(20_000), "a", "damaged"),
        (data[:BEGIN] + data[BEGIN + 1 :], "a", "promised"),
        (data[:slot] + gap + data[slot + len(gap) :], "a", "two marks"),
        (data[:BLOCK] + bytes(2 * BLOCK) + data[BEGIN:], "a", "two marks"),
    ):
        (place / files.NAME).write_bytes(content)
        with pytest.raises(FleetError, match=text) as refused:
            Journal.open(str(place), node, 7)
        assert "\n" not in str(refused.value) and str(place) in str(refused.value)
        assert (place / files.NAME).read_bytes() == content  # left as it is, for a person to look at
    with pytest.raises(FleetError, match="No such file"):
        Journal.open(str(tmp_path / "no" / "s"), "a", 7)


# ---- A disk that fails, and a machine that falls ----


@pytest.mark.parametrize("how", ["write", "sync", "full"])
def test_a_disk_that_fails_makes_the_keeper_silent_for_good(how: str, tmp_path: Path) -> None:
    class Failing(Quick):
        failing = False

        def write(self, handle: int, at: int, data: bytes) -> None:
            super().write(handle, at, data[: len(data) // 2] if self.failing and how == "write" else data)
            if self.failing and how == "write":
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        def sync(self, handle: int) -> None:
            if self.failing and how == "sync":
                raise OSError(errno.EIO, os.strerror(errno.EIO))

    async def test() -> None:
        place = tmp_path / "s"
        found = await keep(place, range(3))
        disk = Failing()
        one, *_ = Journal.open(str(place), "a", 7, disk)
        if how == "full":
            full = os.open("/dev/full", os.O_WRONLY)
            os.dup2(full, one._handle)  # the kernel's own answer
            os.close(full)
        disk.failing = True
        one.append(rows(3))
        with pytest.raises(FleetError, match="nothing more is kept"):
            await one.commit()
        disk.failing = False
        with pytest.raises(FleetError, match="nothing more is kept"):
            await one.commit()
        await one.close()
        kept = await keep(place, range(0))
        assert {*found} <= {*kept}

    asyncio.run(test())


def test_a_file_that_cannot_be_made_anew_goes_on_as_it_is(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "COMPACT_BYTES", BEGIN + 100)

    class Full(Quick):
        asked = 0

        def make(self, path: str) -> int:
            self.asked += 1
            if self.asked > 1:
                raise OSError(errno.ENOSPC, "full")
            return super().make(path)

    disk = Full()
    found = asyncio.run(keep(tmp_path / "s", range(300), disk))
    assert 2 < disk.asked < 12
    assert asyncio.run(keep(tmp_path / "s", range(0))) == found


class Fallen(BaseException):
    """The machine is gone."""


class Image:
    """What a disk surely has of one file, and what it may have."""

    def __init__(self, content: bytes) -> None:
        self.sure = bytearray(content)
        self.maybe: list[tuple[int, bytes]] = []

    def sync(self) -> None:
        for at, data in self.maybe:
            self._put(self.sure, at, data)
        self.maybe = []

    def fallen(self, draws: random.Random) -> bytes:
        """After a fall: of each write nothing, all, or any sectors, in any order."""
        content = bytearray(self.sure)
        for at, data in self.maybe:
            how = draws.choice(("none", "all", "sectors", "end"))
            size = draws.choice((16, 64, 512))
            for start in range(0, len(data), size):
                if how == "all" or (how == "sectors" and draws.random() < 0.5):
                    self._put(content, at + start, data[start : start + size])
            if how == "end":
                self._put(content, at, data[: draws.randrange(len(data) + 1)])
        return bytes(content)

    @staticmethod
    def _put(content: bytearray, at: int, data: bytes) -> None:
        content.extend(bytes(max(0, at + len(data) - len(content))))
        content[at : at + len(data)] = data


class Falling(Disk):
    """A disk of a machine that falls at its nth step. `lies`: a sync that is said to be done, and is not."""

    def __init__(self, steps: int, lies: str = "") -> None:
        self.steps, self.lies = steps, lies
        self.images: dict[int, Image] = {}
        self.names: dict[str, Image] = {}
        self.sure_names: dict[str, Image] = {}
        self.last_at = 0

    def step(self) -> None:
        self.steps -= 1
        if self.steps < 0:
            raise Fallen

    def make(self, path: str) -> int:
        self.step()
        handle = super().make(path)
        self.images[handle] = self.names[os.path.basename(path)] = Image(b"")
        return handle

    def write(self, handle: int, at: int, data: bytes) -> None:
        self.images[handle].maybe.append((at, data))
        self.last_at = at
        self.step()
        super().write(handle, at, data)

    def sync(self, handle: int) -> None:
        self.step()
        if stat.S_ISDIR(os.fstat(handle).st_mode):
            if self.lies != "names" or not self.sure_names:
                self.sure_names = dict(self.names)
        elif not (
            (self.lies == "records" and self.last_at >= BEGIN)
            or (self.lies == "new" and self.images[handle] is self.names.get(files.NEW))
        ):
            self.images[handle].sync()

    def cut(self, handle: int, size: int) -> None:
        self.step()
        super().cut(handle, size)

    def rename(self, old: str, new: str) -> None:
        self.step()
        super().rename(old, new)
        self.names[os.path.basename(new)] = self.names.pop(os.path.basename(old))


def violations(tmp_path: Path, lies: str = "") -> list[str]:
    """Fall at every step of a short life with compactions, and begin again on what a disk may have then."""
    found, steps, done = [], -1, False
    while not done:
        steps += 1
        disk = Falling(steps, lies)
        place, sure = tmp_path / f"{steps}", Rows()

        async def live(disk: Falling = disk, place: Path = place, sure: Rows = sure) -> bool:
            try:
                one, *_ = Journal.open(str(place), "a", 7, disk)
            except Fallen:
                return False
            try:
                for number in range(14):
                    one.append(rows(number))
                    await one.commit()
                    sure.update({(row.kind, row.key): row.payload for row in rows(number)})
            except FleetError:
                return False
            finally:
                await one.close()
            return not one.broken.endswith("Fallen()")

        asyncio.run(live())
        done = disk.steps >= 0
        for seed in range(3):
            draws = random.Random(f"{steps} {seed}")
            again = tmp_path / f"{steps}-{seed}"
            again.mkdir()
            for name, image in draws.choice((disk.names, disk.sure_names)).items():
                (again / name).write_bytes(image.fallen(draws))
            try:
                kept = asyncio.run(keep(again, range(0)))
            except FleetError as error:
                found.append(f"step {steps}, seed {seed}: {error}")
                continue
            found += [f"step {steps}, seed {seed}: {key}" for key in sure if int(kept.get(key, -1)) < int(sure[key])]
    return found


@pytest.mark.parametrize("lies", ["", "records", "new", "names"])
def test_a_machine_that_falls_at_any_step_has_what_it_promised(
    lies: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(journal, "COMPACT_BYTES", BEGIN + 300)
    found = violations(tmp_path, lies)
    # Without any one of the syncs the falls find it.
    assert bool(found) == bool(lies), found[:5]
