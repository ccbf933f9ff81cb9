"""Whether a member has applied a marker. No I/O.

The proof: a history is one sequence of bytes, so whoever holds offset `o` of it has applied all that lies below. A
promoted replica begins a new history and names the one before with the first offset that the two do not share (INFO
replication: `master_replid2`, `second_repl_offset`); what lies below that offset is in both.

What proves nothing: a history that is neither, even where it may be the parent's parent (the marker is asked for at
the new primary, and is soon told in the new history); an offset past the join, which the new history never had.

What it is worth: as much as the report. A member may be made to copy another primary after it was asked. The one who
sends a request must have asked over the connection that it sends on, and servers close those when they copy anew.
"""

import msgspec

from oatlink.fleet.messages import Marker


class Place(msgspec.Struct, frozen=True, gc=False):
    """Where a member says that it stands. `join`: the first offset not shared with `parent`, -1 without one."""

    history: str
    offset: int
    parent: str = ""
    join: int = -1


def applied(place: Place, marker: Marker) -> bool:
    """Whether a member that stands there has surely applied the marker."""
    if not marker.history or marker.offset < 0 or place.offset < marker.offset:
        return False
    if place.history == marker.history:
        return True
    return place.parent == marker.history and marker.offset < place.join
