"""A keeper's journal: after any crash it has everything that was promised, or it refuses to open."""

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


class UnsyncedDisk(Disk):
    """A disk without syncs, which take long. Real ones are not needed: no test cuts the power of this machine."""

    def sync(self, handle: int) -> None:
        pass


def rows(number: int) -> list[Row]:
    return [Row("register", f"k{number % 3}", b"%09d" % number), Row("life", f"n{number % 2}", b"%d" % number)]


async def commit_batches(directory: Path, numbers: range, disk: Disk | None = None) -> Rows:
    """Open the journal and commit these batches of rows; the records that it has then."""
    opened, records, _, _ = Journal.open(str(directory), "a", 7, disk or UnsyncedDisk())
    for number in numbers:
        opened.append(rows(number))
        records |= {(row.kind, row.key): row.payload for row in rows(number)}
        await opened.commit()
    await opened.close()
    return records


def test_committed_records_are_read_again(tmp_path: Path) -> None:
    async def test() -> None:
        directory = tmp_path / "state"
        opened, found, life, is_new = Journal.open(str(directory), "a", 7)
        assert (found, life, is_new) == ({}, 7, True)
        kept = Kept("limits/0", Ballot(3, "a", 2**40), Ballot(2, "b", 1), Record(4, "b", b"v" * 8_192))
        opened.append([journal.row_of_register(kept)])
        await opened.commit()
        with pytest.raises(FleetError, match="another process"):
            Journal.open(str(directory), "a", 8)
        await opened.close()
        await opened.close()
        with pytest.raises(FleetError, match="closed"):
            await opened.commit()
        opened, found, life, is_new = Journal.open(str(directory), "a", 8)
        assert journal.registers_in(found) == (kept,) and (life, is_new) == (7, False)
        await opened.close()
        assert stat.S_IMODE((directory / files.NAME).stat().st_mode) == 0o600

    asyncio.run(test())


def test_concurrent_commits_share_one_write_and_return_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        class Counting(UnsyncedDisk):
            syncs = 0

            def sync(self, handle: int) -> None:
                self.syncs += 1

        disk, committed = Counting(), list[int]()
        opened, *_ = Journal.open(str(tmp_path / "s"), "a", 7, disk)
        before = disk.syncs

        async def commit(number: int) -> None:
            opened.append(rows(number))
            await opened.commit()
            committed.append(number)

        await asyncio.gather(*(commit(number) for number in range(50)))
        assert committed == list(range(50)) and disk.syncs == before + 2
        await opened.close()

    asyncio.run(test())


def test_the_file_stays_small(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "COMPACT_BYTES", BEGIN + 500)
    pwrite = os.pwrite
    # The kernel may write less than it is given.
    monkeypatch.setattr(os, "pwrite", lambda handle, data, at: pwrite(handle, data[:1_000], at))
    records = asyncio.run(commit_batches(tmp_path / "s", range(200)))
    assert (tmp_path / "s" / files.NAME).stat().st_size < BEGIN + 700
    assert asyncio.run(commit_batches(tmp_path / "s", range(0))) == records


# ---- Damage ----


@pytest.fixture(scope="module")
def written(tmp_path_factory: pytest.TempPathFactory) -> tuple[bytes, Rows]:
    directory = tmp_path_factory.mktemp("written") / "s"
    records = asyncio.run(commit_batches(directory, range(4)))
    return (directory / files.NAME).read_bytes(), records


def silent_losses(data: bytes, promised: Rows) -> list[int]:
    """Offsets at which a flipped bit, a truncation, or a lost mark with a truncation loses records undetected."""
    losses = []
    for offset in range(len(data)):
        flipped = bytearray(data)
        flipped[offset] ^= 1 << offset % 8
        damaged = [bytes(flipped), data[:offset]]
        if offset in (BLOCK, 2 * BLOCK):
            damaged.append((data[:offset] + b"\xff" * 24 + data[offset + 24 :])[:-1])
        for content in damaged:
            try:
                if history.replay(content, "a").rows != promised:
                    losses.append(offset)
            except DamageError:
                pass
    return losses


def test_a_flipped_bit_or_a_truncation_of_promised_records_is_detected(written: tuple[bytes, Rows]) -> None:
    assert history.replay(written[0], "a").rows == written[1]
    assert silent_losses(*written) == []


@pytest.mark.parametrize("guard", ["what was promised", "both marks", "checksums"])
def test_each_check_against_damage_is_needed(guard: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    honest = history._newest_mark
    if guard == "what was promised":
        monkeypatch.setattr(history, "_newest_mark", lambda data: (1, BEGIN, True))
    elif guard == "both marks":
        monkeypatch.setattr(history, "_newest_mark", lambda data: (*honest(data)[:2], True))
    else:
        monkeypatch.setattr(history, "_checksum", lambda body, chain: 5)
    promised = asyncio.run(commit_batches(tmp_path / "s", range(4)))
    data = (tmp_path / "s" / files.NAME).read_bytes()
    assert history.replay(data, "a").rows == promised
    assert silent_losses(data, promised) != []


def test_records_that_were_not_promised_may_be_torn_anywhere(written: tuple[bytes, Rows], tmp_path: Path) -> None:
    data, promised = written
    stored = history.replay(data, "a")
    tail, _ = history.encode_rows(rows(4), stored.chain)
    after = promised | {(row.kind, row.key): row.payload for row in rows(4)}
    directory = tmp_path / "s"
    directory.mkdir()
    for size in range(len(tail) + 1):
        for end in (tail[:size], tail[:size] + bytes(len(tail) - size), tail[:size] + b"\xff" * 40):
            (directory / files.NAME).write_bytes(data + end)
            if size == len(tail) or end == tail:
                assert asyncio.run(commit_batches(directory, range(0))) == after
            elif size % 25 == 0:
                # The torn end is cut off for good, and new records take its place.
                asyncio.run(commit_batches(directory, range(0)))
                left = (directory / files.NAME).read_bytes()
                assert history.replay(left, "a").end == len(left)
                kept = asyncio.run(commit_batches(directory, range(9, 11)))
                assert asyncio.run(commit_batches(directory, range(0))) == kept
            else:
                kept = history.replay(data + end, "a").rows
                assert {*promised} <= {*kept} and all(kept[key] in (promised.get(key), after[key]) for key in kept)
    # With one mark unreadable it is unknown whether the last records were promised: the file must be complete.
    torn = data[: 2 * BLOCK] + b"\xff" * 24 + data[2 * BLOCK + 24 :]
    assert history.replay(torn, "a").rows == promised
    with pytest.raises(DamageError):
        history.replay(torn + tail[:-1], "a")


def test_a_file_that_is_not_this_keepers_is_refused_in_one_line(written: tuple[bytes, Rows], tmp_path: Path) -> None:
    data, _ = written
    newer = bytearray(history.encode_head("a", 7)[:-8])
    newer[8:12] = (history.FORM + 1).to_bytes(4, "big")
    newer += xxhash.xxh64_digest(bytes(newer))
    # A newest mark whose predecessor was never written.
    slot, gap = history.encode_mark(history.replay(data, "a").serial + 3, len(data))
    directory = tmp_path / "s"
    directory.mkdir()
    for content, node, text in (
        (data, "b", "expected the file of 'b', got that of 'a'"),
        (bytes(newer) + data[BLOCK:], "a", "form 2"),
        (b"", "a", "damaged"),
        (random.Random(1).randbytes(20_000), "a", "damaged"),
        (data[:BEGIN] + data[BEGIN + 1 :], "a", "promised"),
        (data[:slot] + gap + data[slot + len(gap) :], "a", "two marks"),
        (data[:BLOCK] + bytes(2 * BLOCK) + data[BEGIN:], "a", "two marks"),
    ):
        (directory / files.NAME).write_bytes(content)
        with pytest.raises(FleetError, match=text) as refused:
            Journal.open(str(directory), node, 7)
        assert "\n" not in str(refused.value) and str(directory) in str(refused.value)
        assert (directory / files.NAME).read_bytes() == content  # left unchanged, for an operator to examine
    with pytest.raises(FleetError, match="No such file"):
        Journal.open(str(tmp_path / "no" / "s"), "a", 7)


# ---- Failing disks and crashes ----


@pytest.mark.parametrize("how", ["write", "sync", "full"])
def test_a_disk_that_fails_makes_the_keeper_silent_for_good(how: str, tmp_path: Path) -> None:
    class Failing(UnsyncedDisk):
        failing = False

        def write(self, handle: int, at: int, data: bytes) -> None:
            super().write(handle, at, data[: len(data) // 2] if self.failing and how == "write" else data)
            if self.failing and how == "write":
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        def sync(self, handle: int) -> None:
            if self.failing and how == "sync":
                raise OSError(errno.EIO, os.strerror(errno.EIO))

    async def test() -> None:
        directory = tmp_path / "s"
        found = await commit_batches(directory, range(3))
        disk = Failing()
        opened, *_ = Journal.open(str(directory), "a", 7, disk)
        if how == "full":
            full = os.open("/dev/full", os.O_WRONLY)
            os.dup2(full, opened._handle)  # the error then comes from the kernel
            os.close(full)
        disk.failing = True
        opened.append(rows(3))
        with pytest.raises(FleetError, match="nothing more is kept"):
            await opened.commit()
        disk.failing = False
        with pytest.raises(FleetError, match="nothing more is kept"):
            await opened.commit()
        await opened.close()
        kept = await commit_batches(directory, range(0))
        assert {*found} <= {*kept}

    asyncio.run(test())


def test_a_failed_compaction_leaves_the_file_in_use(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "COMPACT_BYTES", BEGIN + 100)

    class Full(UnsyncedDisk):
        attempts = 0

        def make(self, path: str) -> int:
            self.attempts += 1
            if self.attempts > 1:
                raise OSError(errno.ENOSPC, "full")
            return super().make(path)

    disk = Full()
    records = asyncio.run(commit_batches(tmp_path / "s", range(300), disk))
    assert 2 < disk.attempts < 12
    assert asyncio.run(commit_batches(tmp_path / "s", range(0))) == records


class CrashError(BaseException):
    """The simulated machine has crashed."""


class Image:
    """The content of one file that is durable on a simulated disk, and the writes that may or may not be."""

    def __init__(self, content: bytes) -> None:
        self.durable = bytearray(content)
        self.pending: list[tuple[int, bytes]] = []

    def sync(self) -> None:
        for at, data in self.pending:
            self._put(self.durable, at, data)
        self.pending = []

    def after_crash(self, draws: random.Random) -> bytes:
        """The content after a crash: of each pending write nothing, all, or any sectors, in any order."""
        content = bytearray(self.durable)
        for at, data in self.pending:
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


class CrashingDisk(Disk):
    """The disk of a machine that crashes at its nth step. `lies`: which sync reports success without being done."""

    def __init__(self, steps: int, lies: str = "") -> None:
        self.steps, self.lies = steps, lies
        self.images: dict[int, Image] = {}
        self.names: dict[str, Image] = {}
        self.durable_names: dict[str, Image] = {}
        self.last_at = 0

    def step(self) -> None:
        self.steps -= 1
        if self.steps < 0:
            raise CrashError

    def make(self, path: str) -> int:
        self.step()
        handle = super().make(path)
        self.images[handle] = self.names[os.path.basename(path)] = Image(b"")
        return handle

    def write(self, handle: int, at: int, data: bytes) -> None:
        self.images[handle].pending.append((at, data))
        self.last_at = at
        self.step()
        super().write(handle, at, data)

    def sync(self, handle: int) -> None:
        self.step()
        if stat.S_ISDIR(os.fstat(handle).st_mode):
            if self.lies != "names" or not self.durable_names:
                self.durable_names = dict(self.names)
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
    """Crash at every step of a short run with compactions, and restart on what a disk may have then."""
    lost, steps, done = [], -1, False
    while not done:
        steps += 1
        disk = CrashingDisk(steps, lies)
        directory, committed = tmp_path / f"{steps}", Rows()

        async def run(disk: CrashingDisk = disk, directory: Path = directory, committed: Rows = committed) -> bool:
            try:
                opened, *_ = Journal.open(str(directory), "a", 7, disk)
            except CrashError:
                return False
            try:
                for number in range(14):
                    opened.append(rows(number))
                    await opened.commit()
                    committed.update({(row.kind, row.key): row.payload for row in rows(number)})
            except FleetError:
                return False
            finally:
                await opened.close()
            return not opened.broken.endswith("CrashError()")

        asyncio.run(run())
        done = disk.steps >= 0
        for seed in range(3):
            draws = random.Random(f"{steps} {seed}")
            again = tmp_path / f"{steps}-{seed}"
            again.mkdir()
            for name, image in draws.choice((disk.names, disk.durable_names)).items():
                (again / name).write_bytes(image.after_crash(draws))
            try:
                kept = asyncio.run(commit_batches(again, range(0)))
            except FleetError as error:
                lost.append(f"step {steps}, seed {seed}: {error}")
                continue
            lost += [
                f"step {steps}, seed {seed}: {key}" for key in committed if int(kept.get(key, -1)) < int(committed[key])
            ]
    return lost


@pytest.mark.parametrize("lies", ["", "records", "new", "names"])
def test_a_crash_at_any_step_loses_nothing_that_was_promised(
    lies: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(journal, "COMPACT_BYTES", BEGIN + 300)
    lost = violations(tmp_path, lies)
    # Each sync is needed: where one is not done, a crash loses records.
    assert bool(lost) == bool(lies), lost[:5]
