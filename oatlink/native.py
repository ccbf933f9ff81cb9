"""Whether this process runs the modules that setup.py compiles as machine code, or as plain Python."""

from oatlink import pending, router_state, state
from oatlink.core import engine, requests, sessions
from oatlink.protocols import resp
from oatlink.rules import router

COMPILED, PLAIN = "compiled", "plain Python"


def code_kind() -> str:
    """Return `COMPILED` or `PLAIN`; both behave the same, byte for byte."""
    modules = (router, router_state, pending, state, engine, requests, sessions, resp)
    return PLAIN if any((module.__file__ or "").endswith(".py") for module in modules) else COMPILED
