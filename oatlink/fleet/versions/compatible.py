"""Whether a member has applied a marker. No I/O.

Why this is safe: a replication history is one sequence of bytes, so a member at offset `o` of it has applied all that
is below `o`. A promoted replica begins a new history and names the previous one, with the first offset that the two do
not share (INFO replication: `master_replid2`, `second_repl_offset`); what lies below that offset is in both.

What proves nothing: any other history, even if it may be the parent of the parent (the marker is read again at the new
primary, which soon reports it in the new history); and an offset beyond the join, which the new history never had.

The result is only as reliable as the report. A member may be made to copy another primary after it was asked. The
sender of a request must have asked over the connection that it sends on, since servers close those when they start a
new copy.
"""

import msgspec

from oatlink.fleet.messages import Marker


class Place(msgspec.Struct, frozen=True, gc=False):
    """The position that a member reports. `join`: the first offset not shared with `parent`, -1 without a parent."""

    history: str
    offset: int
    parent: str = ""
    join: int = -1


def applied(place: Place, marker: Marker) -> bool:
    """Whether a member at this position has certainly applied the marker."""
    if not marker.history or marker.offset < 0 or place.offset < marker.offset:
        return False
    if place.history == marker.history:
        return True
    return place.parent == marker.history and marker.offset < place.join
