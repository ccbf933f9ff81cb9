"""oatlink: the decisions of a query router for sharded, replicated databases."""

from oatlink.interface import *  # noqa: F403
from oatlink.rules import Router

__all__ = ["Router", "interface"]  # noqa: F405
__version__ = "0.3.0"
