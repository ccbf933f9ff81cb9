"""What is put on connections to servers: an attempt of a request, or a check."""

from dataclasses import dataclass
from typing import Protocol

from oatlink.gateway.clock import now_us
from oatlink.interface import Outcome
from oatlink.platform import requests as req
from oatlink.platform.reply import Answer
from oatlink.platform.servers import CHECK, Pool
from oatlink.protocols import pgwire as pg


class JobOwner(Protocol):
    """Who is told how they end."""

    def may_write(self, attempt: req.Attempt) -> bool:
        """Whether an attempt may be written at this moment."""
        ...

    def attempt_ended(self, sent: "AttemptJob", outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """An attempt's end."""
        ...

    def check_ended(self, check: "CheckJob", outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """A check's end."""
        ...


@dataclass(slots=True, eq=False)
class AttemptJob:
    """An attempt on its way."""

    owner: JobOwner
    attempt: req.Attempt
    pool: Pool | None

    def may_write(self) -> bool:
        """See `Job`."""
        return self.owner.may_write(self.attempt)

    def payload(self) -> bytes:
        """The statement as a query."""
        self.attempt.written = True
        return pg.make_query(self.attempt.payload(now_us())).encode()

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """See `Job`."""
        self.owner.attempt_ended(self, outcome, at_us, answer)


@dataclass(slots=True, eq=False)
class CheckJob:
    """A check on its way."""

    owner: JobOwner
    member: int
    pool: Pool | None
    started_us: int
    done: bool = False

    def may_write(self) -> bool:
        """See `Job`."""
        return not self.done

    def payload(self) -> bytes:
        """The platform's question for a load report."""
        return CHECK

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """See `Job`."""
        self.owner.check_ended(self, outcome, at_us, answer)
