"""What the nodes of a fleet say to one another, and what its cores are told and ask for: values only, no logic.

A *node* is a gateway that takes part; a *keeper* is a node that also stores registers. Times are integer microseconds
of one node's monotonic clock and never leave it: what crosses a link is a length of time, reckoned by each side from
the moment that is safe for it. Rates are requests a second.

Messages are arrays, so that a later version may append fields: an older node passes over what it does not know, a
newer one takes the default. `VERSION` changes only where that does not do.
"""

from oatlink.fleet.messages.base import (
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    NEVER_US,
    VERSION,
    Message,
)
from oatlink.fleet.messages.control import (
    AnyControl,
)
from oatlink.fleet.messages.effects import (
    Answer,
    AskMarker,
    Change,
    Effect,
    Keep,
    Note,
    Read,
    Replied,
    RunStep,
    Tell,
    Tuned,
)
from oatlink.fleet.messages.limits import (
    Demand,
    Grant,
    Grants,
    NotHome,
    Returned,
    Want,
)
from oatlink.fleet.messages.membership import (
    Alive,
)
from oatlink.fleet.messages.registers import (
    Accept,
    Accepted,
    Ballot,
    Copied,
    Copy,
    Kept,
    Look,
    Looked,
    Met,
    Outbid,
    Prepare,
    Promise,
    Record,
    Standing,
)
from oatlink.fleet.messages.verdicts import (
    Evidence,
    Gossip,
)
from oatlink.fleet.messages.versions import (
    Adopt,
    Adopted,
    Marker,
    NotSequencer,
    ShardOffer,
)

AnyMessage = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Outbid
    | Look
    | Looked
    | Copy
    | Copied
    | Want
    | Grants
    | Returned
    | NotHome
    | Gossip
    | Adopt
    | Adopted
    | NotSequencer
    | Alive
    | AnyControl
)

__all__ = [
    "Accept",
    "Accepted",
    "Adopt",
    "Adopted",
    "Alive",
    "Answer",
    "AnyControl",
    "AnyMessage",
    "AskMarker",
    "Ballot",
    "Change",
    "Copied",
    "Copy",
    "Demand",
    "Effect",
    "Evidence",
    "Gossip",
    "Grant",
    "Grants",
    "Keep",
    "Kept",
    "Look",
    "Looked",
    "MAX_KEY_BYTES",
    "MAX_VALUE_BYTES",
    "Marker",
    "Message",
    "Met",
    "NEVER_US",
    "NotHome",
    "NotSequencer",
    "Note",
    "Outbid",
    "Prepare",
    "Promise",
    "Read",
    "Record",
    "Replied",
    "Returned",
    "RunStep",
    "ShardOffer",
    "Standing",
    "Tell",
    "Tuned",
    "VERSION",
    "Want",
]
