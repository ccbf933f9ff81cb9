"""What is put on connections to servers: an attempt of a request, or a check."""

from dataclasses import dataclass
from typing import Protocol

from oatlink.gateway.clock import now_us
from oatlink.interface import Outcome
from oatlink.platform import requests as req
from oatlink.platform.reply import Answer
from oatlink.platform.servers import CHECK, Pool
from oatlink.protocols import pgwire as pg


class Carrier(Protocol):
    """Who is told how they end."""

    def may_write(self, attempt: req.Attempt) -> bool:
        """Whether an attempt may be written at this moment."""
        ...

    def attempt_ended(self, sent: "Sent", outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """An attempt's end."""
        ...

    def check_ended(self, check: "Checking", outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """A check's end."""
        ...


@dataclass(slots=True, eq=False)
class Sent:
    """An attempt on its way."""

    carrier: Carrier
    attempt: req.Attempt
    pool: Pool | None

    def may_write(self) -> bool:
        """See `Job`."""
        return self.carrier.may_write(self.attempt)

    def payload(self) -> bytes:
        """The statement as a query."""
        self.attempt.is_written = True
        return pg.make_query(self.attempt.payload(now_us())).encode()

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """See `Job`."""
        self.carrier.attempt_ended(self, outcome, at_us, answer)


@dataclass(slots=True, eq=False)
class Checking:
    """A check on its way."""

    carrier: Carrier
    member: int
    pool: Pool | None
    since_us: int
    done: bool = False

    def may_write(self) -> bool:
        """See `Job`."""
        return not self.done

    def payload(self) -> bytes:
        """The platform's question for a load report."""
        return CHECK

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """See `Job`."""
        self.carrier.check_ended(self, outcome, at_us, answer)
