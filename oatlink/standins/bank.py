"""A bank of stand-ins: one primary, its replicas, and the failover that the servers' own keepers would do."""

import asyncio
import random

from oatlink.standins.box import Box, Tap, WorkProfile


class Bank:
    """Members of one group. `keep` watches the primary; the most advanced replica takes over."""

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
        self.boxes = [Box(one, seed=seed, work=work, tap=tap, window_ms=window_ms) for one in members]
        self.elections = 0
        self._random = random.Random(f"{seed}/{name}")
        self._detect_s, self._elect_s = detect_s, elect_s
        self._keeper: asyncio.Task[None] | None = None
        self._busy = False

    def start(self, ports: list[int] | None = None) -> None:
        """Start all members; the first one is primary."""
        for at, box in enumerate(self.boxes):
            if at:
                box.primary = self.boxes[0]
            box.start(ports[at] if ports else 0)
        self._keeper = asyncio.ensure_future(self._keep())

    def stop(self) -> None:
        """Stop all members."""
        if self._keeper is not None:
            self._keeper.cancel()
        for box in self.boxes:
            box.stop()

    @property
    def primary(self) -> Box | None:
        """The member that takes writes now, if one does."""
        return next((one for one in self.boxes if one.running and one.is_primary and not one.faults.hang), None)

    async def wait_until_synced(self, limit_s: float = 5.0) -> None:
        """Until every replica is linked and has all that the primary has. Raises `TimeoutError`."""
        async with asyncio.timeout(limit_s):
            while True:
                primary = self.primary
                if primary is not None and all(
                    one.link_up and one.offset == primary.offset and one.replid == primary.replid
                    for one in self.boxes
                    if one is not primary and one.running
                ):
                    return
                await asyncio.sleep(0.01)

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.primary is not None or self._busy:
                continue
            await asyncio.sleep(self._random.uniform(*self._detect_s))
            if self.primary is not None:
                continue
            # The old primary is fenced at this moment: one that only hung refuses writes when it wakes.
            old = [one for one in self.boxes if one.is_primary]
            await asyncio.sleep(self._random.uniform(*self._elect_s))
            self.elect(old)

    def elect(self, old: list[Box]) -> Box | None:
        """Promote the replica that has most of the current history; all others follow it."""
        lines = {one.replid for one in old} | {one.replid2 for one in old}
        ready = [one for one in self.boxes if one.running and not one.faults.hang and one not in old]
        ready = [one for one in ready if one.replid in lines] or ready
        if not ready:
            return None
        return self._promote(max(ready, key=lambda one: one.offset))

    def _promote(self, chosen: Box) -> Box:
        """Make a replica primary; all others follow it."""
        chosen.promote()
        self.elections += 1
        for box in self.boxes:
            if box is not chosen:
                box.follow(chosen)
        return chosen

    async def hand_over(self, limit_s: float = 2.0) -> Box | None:
        """A planned change (FAILOVER): the primary takes no more writes, a replica catches up and takes over."""
        old = self.primary
        if old is None:
            return None
        self._busy = True
        try:
            candidates = [one for one in self.boxes if one is not old and one.running and one.link_up]
            if not candidates:
                return None
            chosen = max(candidates, key=lambda one: one.offset)
            old.primary = chosen  # refuses writes from here on, and still ships what it has
            async with asyncio.timeout(limit_s):
                while chosen.offset < old.offset:
                    await asyncio.sleep(0.005)
        except TimeoutError:
            old.primary = None
            return None
        finally:
            self._busy = False
        return self._promote(chosen)
