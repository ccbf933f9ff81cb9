"""What a link reports to its gateway and requests from it. No other module of the package feeds the engine.

The module translates each event of a link to an input of the engine and makes the final check of a request before its
write. It has no state.
"""

from oatlink.core import messages as m
from oatlink.gateway.links.gateway_interface import GatewayInterface


class Reports:
    """The gateway, as the parts of the link to box `name` see it."""

    def __init__(self, name: str, gateway: GatewayInterface) -> None:
        self._name, self._gateway = name, gateway
        self.now, self.batch, self.schedule_flush = gateway.now, gateway.batch, gateway.schedule_flush
        self.turn_clock = gateway.turn_clock

    def ended(self, send: m.Send, how: str, sent_us: int, frames: list[bytes], info: bytes, address: str = "") -> None:
        """A request has ended."""
        now = self.now()
        self._gateway.feed(
            m.Ended(send.request, send.attempt, self._name, how, now - sent_us, sent_us, frames, info, False, address)
        )

    def replied(
        self, send: m.Send, sent_us: int, took_us: int, frames: list[bytes], info: bytes, more: bool, address: str
    ) -> None:
        """All replies to a request have arrived; `more` says that replies to further requests follow."""
        self._gateway.feed(
            m.Ended(send.request, send.attempt, self._name, "reply", took_us, sent_us, frames, info, more, address)
        )

    def no_more_replies(self) -> None:
        """No further reply follows those that were reported with `more`."""
        self._gateway.feed(m.Ticked())

    def may_write(self, send: m.Send) -> bool:
        """The final check of a request. Its write commits it; until then it may be withdrawn.

        Prevents a write when the request waited for a connection and meanwhile its client left, its time ended or its
        box began to drain, moved or left the roster.
        """
        return self.now() < send.until_us and self._gateway.may_write(send)

    def withdraw(self, send: m.Send) -> None:
        """A request has been withdrawn before its write."""
        self.ended(send, "withdrawn", self.now(), [], b"")

    def wanted(self, dial: int, address: str) -> None:
        """A connection is requested."""
        self._gateway.feed(m.ConnectionWanted(self._name, dial, address))

    def dialled(self, dial: int, address: str, how: str, asked_us: int, took_us: int, info: bytes = b"") -> None:
        """An attempt to connect has ended."""
        self._gateway.feed(m.Dialled(self._name, dial, address, how, asked_us, took_us, info))

    def probed(self, how: str, asked_us: int, took_us: int, info: bytes, address: str) -> None:
        """A probe has ended."""
        self._gateway.feed(m.Probed(self._name, how, asked_us, took_us, info, address))

    def report_fault(self, text: str) -> None:
        """See `GatewayInterface.report_fault`."""
        self._gateway.report_fault(text)
