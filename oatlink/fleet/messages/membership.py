"""What nodes say of themselves. No logic."""

from oatlink.fleet.messages.base import Message


class Alive(Message, frozen=True, gc=False):
    """A node says that it is there; `leaving` where it is about to stop in an orderly way.

    `heard`: some of the others it has heard of: (place among all nodes by name, how many milliseconds ago).
    """

    incarnation: int
    leaving: bool = False
    heard: tuple[tuple[int, int], ...] = ()
