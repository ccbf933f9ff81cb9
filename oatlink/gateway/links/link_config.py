"""What is so of a link now: its box's name and addresses, the settings, whether it has been left.

What may live here: what all parts of a link read and `Link` alone writes.
"""

from dataclasses import dataclass

from oatlink.core import messages as m
from oatlink.settings.model import Links


@dataclass(slots=True)
class Facts:
    """One link, as its gateway wants it."""

    name: str
    ways: dict[str, m.Way]  # by address
    settings: Links
    closed: bool = False  # makes no connection any more
