"""The jobs that connections to servers carry out: an attempt of a request, or a check."""

from dataclasses import dataclass
from typing import Protocol

from oatlink.gateway.clock import now_us
from oatlink.interface import Outcome
from oatlink.platform import requests as req
from oatlink.platform.reply import Answer
from oatlink.platform.servers import CHECK, Pool
from oatlink.protocols import pgwire as pg


class JobOwner(Protocol):
    """Creates jobs and is notified when they end."""

    def may_write(self, attempt: req.Attempt) -> bool:
        """Whether an attempt may be written now."""
        ...

    def attempt_ended(self, job: "AttemptJob", outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """Handle the end of an attempt."""
        ...

    def check_ended(self, check: "CheckJob", outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """Handle the end of a check."""
        ...


@dataclass(slots=True, eq=False)
class AttemptJob:
    """A job that sends one attempt of a request."""

    owner: JobOwner
    attempt: req.Attempt
    pool: Pool | None

    def may_write(self) -> bool:
        """See `Job`."""
        return self.owner.may_write(self.attempt)

    def payload(self) -> bytes:
        """Return the statement as a query message, and mark the attempt as written."""
        self.attempt.is_written = True
        return pg.make_query(self.attempt.payload(now_us())).encode()

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """See `Job`."""
        self.owner.attempt_ended(self, outcome, at_us, answer)


@dataclass(slots=True, eq=False)
class CheckJob:
    """A job that asks a server for its load report."""

    owner: JobOwner
    member: int
    pool: Pool | None
    started_us: int
    done: bool = False

    def may_write(self) -> bool:
        """See `Job`."""
        return not self.done

    def payload(self) -> bytes:
        """Return the platform's query for a load report."""
        return CHECK

    def ended(self, outcome: Outcome, at_us: int, answer: Answer | None) -> None:
        """See `Job`."""
        self.owner.check_ended(self, outcome, at_us, answer)
