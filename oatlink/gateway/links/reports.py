"""What a link tells its gateway and asks of it; the only place that feeds the engine.

What may live here: how each event of a link is put to the engine, and the last look at a request. No state.
"""

from oatlink.core import messages as m
from oatlink.gateway.links.turn import Shell


class Reports:
    """The gateway, as the parts of the link to box `name` see it."""

    def __init__(self, name: str, shell: Shell) -> None:
        self._name, self._shell = name, shell
        self.now, self.turn, self.dirty, self.marks = shell.now, shell.turn, shell.dirty, shell.marks

    def ended(self, send: m.Send, how: str, sent_us: int, frames: list[bytes], info: bytes, address: str = "") -> None:
        """A request has ended."""
        now = self.now()
        self._shell.feed(
            m.Ended(send.request, send.attempt, self._name, how, now - sent_us, sent_us, frames, info, False, address)
        )

    def replied(
        self, send: m.Send, sent_us: int, took_us: int, frames: list[bytes], info: bytes, more: bool, address: str
    ) -> None:
        """A request has its replies."""
        self._shell.feed(
            m.Ended(send.request, send.attempt, self._name, "reply", took_us, sent_us, frames, info, more, address)
        )

    def settle(self) -> None:
        """Nothing follows the replies told so far."""
        self._shell.feed(m.Ticked())

    def may_write(self, send: m.Send) -> bool:
        """The last look at a request. Its write commits it; until then it may be taken back.

        Threat: a request that has waited for a connection while its client left, its time ended or its box began to
        drain, moved or left the list.
        """
        return self.now() < send.until_us and self._shell.may_write(send)

    def withdraw(self, send: m.Send) -> None:
        """A request has been taken back before its write."""
        self.ended(send, "withdrawn", self.now(), [], b"")

    def wanted(self, dial: int, address: str) -> None:
        """A connection is asked for."""
        self._shell.feed(m.ConnectionWanted(self._name, dial, address))

    def dialled(self, dial: int, address: str, how: str, asked_us: int, took_us: int, info: bytes = b"") -> None:
        """An attempt to connect has ended."""
        self._shell.feed(m.Dialled(self._name, dial, address, how, asked_us, took_us, info))

    def probed(self, how: str, asked_us: int, took_us: int, info: bytes, address: str) -> None:
        """A probe has ended."""
        self._shell.feed(m.Probed(self._name, how, asked_us, took_us, info, address))

    def wrong(self, text: str) -> None:
        """See `Shell.wrong`."""
        self._shell.wrong(text)
