"""A few registers as one process last knew them: when to read them again, and what a change has come to. No I/O.

A value here may be old: that a register is still so is only known from a change that was conditional on its fence.
"""

from dataclasses import dataclass

from oatlink.fleet.messages import Answer, Change, Effect, Read

POLL_US = 1_000_000
PATIENCE_US = 5_000_000  # an answer that has not come by then is not waited for


@dataclass(slots=True)
class CachedRegister:
    """One register. `fence` -1: not read yet."""

    fence: int = -1
    value: bytes = b""
    poll_us: int = 0
    reading: int = 0  # the ask on its way, 0 without one
    changing: int = 0
    put_fence: int = -1  # what the newest change was conditional on
    unsure_fence: int = -1  # what the newest one that ended unknown was
    asked_us: int = 0  # of the later of reading and changing


class RegisterCache:
    """These registers, by their names."""

    def __init__(self, keys: tuple[str, ...], first_ask: int) -> None:
        self._keys = keys
        self._ask = first_ask
        self._known: dict[str, CachedRegister] = {}
        self.forget()

    def forget(self) -> None:
        """Nothing is known any more, and no answer to what was asked counts."""
        self._known = {key: CachedRegister() for key in self._keys}

    def fence(self, key: str) -> int:
        """The fence last known, -1 before the first answer."""
        return self._known[key].fence

    def value(self, key: str) -> bytes:
        """The value last known, empty before the first answer and where the register was never changed."""
        return self._known[key].value

    def changing(self, key: str) -> bool:
        """Whether a change is on its way, or one ended unknown and the register was not read since."""
        known = self._known[key]
        return known.changing != 0 or known.poll_us == 0

    def unsure(self, key: str) -> bool:
        """Whether a change of ours that ended unknown may still happen: no later one has happened since."""
        known = self._known[key]
        return known.unsure_fence >= known.fence

    def poll(self, now_us: int) -> list[Effect]:
        """Ask for what was not asked for lately."""
        out: list[Effect] = []
        for key, known in self._known.items():
            if (known.reading or known.changing) and now_us - known.asked_us >= PATIENCE_US:
                if known.changing:
                    known.unsure_fence = known.put_fence
                known.reading = known.changing = known.poll_us = 0
            if not known.reading and not known.changing and now_us >= known.poll_us:
                self._ask += 1
                known.reading, known.asked_us = self._ask, now_us
                out.append(Read(self._ask, key))
        return out

    def put(self, key: str, value: bytes, now_us: int) -> list[Effect]:
        """Change a register from what is known of it; nothing while another change is on its way."""
        known = self._known[key]
        if known.changing or known.fence < 0:
            return []
        self._ask += 1
        known.changing, known.asked_us, known.put_fence = self._ask, now_us, known.fence
        return [Change(self._ask, key, known.fence, value)]

    def answer(self, answer: Answer, now_us: int) -> bool:
        """Take in an answer. True where it is that of our change, and the change has happened."""
        known = self._known.get(answer.key)
        if known is None or not answer.ask or answer.ask not in (known.reading, known.changing):
            return False
        ours = answer.ask == known.changing
        if ours:
            known.changing = 0
        else:
            known.reading = 0
        if answer.how not in ("found", "changed", "differs"):
            known.poll_us = 0  # a change that may have happened: nothing is changed before it was read again
            if ours:
                known.unsure_fence = known.put_fence
            return False
        if answer.fence >= known.fence:
            known.fence, known.value = answer.fence, answer.value
        known.poll_us = now_us + POLL_US
        return ours and answer.how == "changed"
