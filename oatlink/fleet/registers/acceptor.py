"""A keeper of registers, which votes, sends copies of its registers, and recovers after its file was lost. No I/O.

`voting` handles the votes, `recovery` the lives. Both work on the same registers: those of the keeper's file, and those
written since. This module passes each message to the part that it is for.
"""

from collections.abc import Iterable
from random import Random

from oatlink.fleet.messages import Copied, Copy, Effect, Kept, Message, Standing
from oatlink.fleet.registers.recovery import Recovery, draw_life
from oatlink.fleet.registers.voting import Voting


class Acceptor:
    """The acceptor of a keeper.

    `kept` and `standing` are the content of its file; `standing` is None if there was no file or no readable one.
    `seed` must come from the system's randomness: a life is drawn from it, and two lives of one keeper must differ.
    `trusted`: an operator states that nothing was ever voted, or that what was voted is lost, so that it may vote
    without the copies of a majority.

    The caller carries out one `Keep` after the other (see `voting`), and writes `Keep.standing` with the registers.
    """

    def __init__(
        self,
        node: str,
        keepers: tuple[str, ...],
        kept: Iterable[Kept],
        standing: Standing | None,
        seed: int,
        trusted: bool = False,
    ) -> None:
        rng = Random(seed)
        self._voting = Voting(kept, standing or Standing(draw_life(rng)))
        self._recovery = Recovery(node, keepers, self._voting, rng, trusted)

    @property
    def due_us(self) -> int:
        """When `tick` has something to do: never, once it votes."""
        return self._recovery.due_us

    @property
    def begun(self) -> bool:
        """Whether this keeper votes."""
        return self._voting.standing.begun

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Handle a message of another node or of this one. A message that is not for a keeper has no answer."""
        if isinstance(message, Copy | Copied):
            return self._recovery.receive(sender, message, now_us)
        return self._voting.receive(sender, message)

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        return self._recovery.tick(now_us)
