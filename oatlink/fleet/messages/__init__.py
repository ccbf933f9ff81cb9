"""Messages between the nodes of a fleet, and the effects that its cores return. Values only, no logic.

A *node* is a gateway that takes part in the fleet. A *keeper* is a node that is also an acceptor: it stores registers.

Points in time are integer microseconds of one node's monotonic clock and are never sent. A message carries a duration,
and each side counts it from the moment that is safe for that side. Rates are in requests per second.

Messages are encoded as arrays so that a later version can append fields: an older node ignores fields that it does not
know, and a newer node uses the defaults of fields that are missing. `VERSION` changes only where this is not enough.
The first element of an array is the class name as a tag: a class that is renamed keeps its old name as `tag`.
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
