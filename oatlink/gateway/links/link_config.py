"""The present configuration of a link: its box's name and addresses, the settings, and whether it is closed.

All parts of a link read it; only `Link` writes it.
"""

from dataclasses import dataclass

from oatlink.core import messages as m
from oatlink.settings.model import Links


@dataclass(slots=True)
class LinkConfig:
    """The configuration of one link, as its gateway has set it."""

    name: str
    paths: dict[str, m.Way]  # by address
    settings: Links
    is_closed: bool = False  # no new connection is made any more
