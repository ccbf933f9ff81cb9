"""A bank of stand-in servers: a primary, its replicas, and the failover that the servers' own monitors would do."""

import asyncio
import random

from oatlink.standins.box import Box, Tap, WorkProfile


class Bank:
    """The members of one group. A monitor watches the primary and has the most advanced replica take over."""

    def __init__(
        self,
        name: str,
        members: list[str],
        *,
        seed: int = 1,
        work: WorkProfile | None = None,
        tap: Tap | None = None,
        window_ms: int = 2_000,
        detect_s: tuple[float, float] = (0.6, 1.0),
        elect_s: tuple[float, float] = (0.2, 0.5),
    ) -> None:
        self.name = name
        self.boxes = [Box(member, seed=seed, work=work, tap=tap, window_ms=window_ms) for member in members]
        self.elections = 0
        self._random = random.Random(f"{seed}/{name}")
        self._detect_s, self._elect_s = detect_s, elect_s
        self._monitor_task: asyncio.Task[None] | None = None
        self._is_handing_over = False

    def start(self, ports: list[int] | None = None) -> None:
        """Start all members; the first one is primary."""
        for index, box in enumerate(self.boxes):
            if index:
                box.primary = self.boxes[0]
            box.start(ports[index] if ports else 0)
        self._monitor_task = asyncio.ensure_future(self._monitor())

    def stop(self) -> None:
        """Stop all members."""
        if self._monitor_task is not None:
            self._monitor_task.cancel()
        for box in self.boxes:
            box.stop()

    @property
    def primary(self) -> Box | None:
        """The member that accepts writes now, if any."""
        return next((box for box in self.boxes if box.running and box.is_primary and not box.faults.hang), None)

    async def wait_until_synced(self, limit_s: float = 5.0) -> None:
        """Wait until every replica is linked and has all that the primary has. Raises `TimeoutError`."""
        async with asyncio.timeout(limit_s):
            while True:
                primary = self.primary
                if primary is not None and all(
                    box.link_up and box.offset == primary.offset and box.replid == primary.replid
                    for box in self.boxes
                    if box is not primary and box.running
                ):
                    return
                await asyncio.sleep(0.01)

    async def _monitor(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.primary is not None or self._is_handing_over:
                continue
            await asyncio.sleep(self._random.uniform(*self._detect_s))
            if self.primary is not None:
                continue
            # The old primary is fenced from now on: if it only hung, it refuses writes when it resumes.
            old = [box for box in self.boxes if box.is_primary]
            await asyncio.sleep(self._random.uniform(*self._elect_s))
            self.elect(old)

    def elect(self, old: list[Box]) -> Box | None:
        """Promote the most advanced replica of the current history; all others follow it.

        Where no replica has that history, the most advanced one of all is promoted.
        """
        histories = {box.replid for box in old} | {box.replid2 for box in old}
        candidates = [box for box in self.boxes if box.running and not box.faults.hang and box not in old]
        candidates = [box for box in candidates if box.replid in histories] or candidates
        if not candidates:
            return None
        return self._promote(max(candidates, key=lambda box: box.offset))

    def _promote(self, chosen: Box) -> Box:
        """Make a replica primary; all others follow it."""
        chosen.promote()
        self.elections += 1
        for box in self.boxes:
            if box is not chosen:
                box.follow(chosen)
        return chosen

    async def hand_over(self, limit_s: float = 2.0) -> Box | None:
        """Do a planned failover (FAILOVER): the primary accepts no more writes, a replica catches up and takes over.

        Returns the new primary, or None where no replica could take over.
        """
        old = self.primary
        if old is None:
            return None
        self._is_handing_over = True
        try:
            candidates = [box for box in self.boxes if box is not old and box.running and box.link_up]
            if not candidates:
                return None
            chosen = max(candidates, key=lambda box: box.offset)
            old.primary = chosen  # it refuses writes from now on, and still sends its replicas what they lack
            async with asyncio.timeout(limit_s):
                while chosen.offset < old.offset:
                    await asyncio.sleep(0.005)
        except TimeoutError:
            old.primary = None
            return None
        finally:
            self._is_handing_over = False
        return self._promote(chosen)
