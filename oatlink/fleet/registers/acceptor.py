"""One keeper of registers: it votes, hands over what it has, and finds its way back after a lost file. No I/O.

What may live here: which part a message is for. `voting` has the votes, `recovery` the lives; both work on the same
registers, which are what the keeper's file held and then what was kept.
"""

from collections.abc import Iterable
from random import Random

from oatlink.fleet.messages import Copied, Copy, Effect, Kept, Message, Standing
from oatlink.fleet.registers.recovery import Recovery, drawn
from oatlink.fleet.registers.voting import Voting


class Acceptor:
    """What a keeper does.

    `kept` and `standing` are what its file held; `standing` None where there was no file, or none that could be read.
    `seed` must come from the system's randomness: a life is drawn from it, and two of one keeper must differ.
    `trusted`: an operator says that nothing was ever voted, or that what was is lost: it votes at once.

    The shell carries out one `Keep` after the other (`voting`), and writes `Keep.standing` with the registers.
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
        self._voting = Voting(kept, standing or Standing(drawn(rng)))
        self._recovery = Recovery(node, keepers, self._voting, rng, trusted)

    @property
    def due_us(self) -> int:
        """When `tick` has something to do: never, once it votes."""
        return self._recovery.due_us

    @property
    def begun(self) -> bool:
        """Whether it votes."""
        return self._voting.standing.begun

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Take a message of another node or of the own one; what is not for a keeper has no answer."""
        if isinstance(message, Copy | Copied):
            return self._recovery.receive(sender, message, now_us)
        return self._voting.receive(sender, message)

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        return self._recovery.tick(now_us)
