"""Whether this process runs the compiled decisions and codecs, or the same as plain Python (setup.py)."""

from oatlink import pending, router_state, state
from oatlink.core import engine, requests, sessions
from oatlink.protocols import resp
from oatlink.rules import router

COMPILED, PLAIN = "compiled", "plain Python"


def code() -> str:
    """`COMPILED` or `PLAIN`; both decide the same, byte for byte."""
    parts = (router, router_state, pending, state, engine, requests, sessions, resp)
    return PLAIN if any((one.__file__ or "").endswith(".py") for one in parts) else COMPILED
