"""Mutations of the gateway that each break one rule; the invariant checker must find every one.

Run as `mutations.py RULE SETTINGS`: starts a gateway with the mutation named RULE.
"""

import sys

import msgspec

from oatlink import interface as api
from oatlink.core import engine as core
from oatlink.core import messages as m
from oatlink.core.positions import Positions
from oatlink.gateway import links
from oatlink.gateway.server import Gateway
from oatlink.router_state import Member, Request, RouterState
from oatlink.rules import cold, reads, sessions

answer_count = 0


def one_answer() -> None:
    """Sends every 40th answer twice."""
    original = Gateway._answer

    def answer(self: Gateway, effect: m.Answer) -> None:
        global answer_count
        answer_count += 1
        if answer_count % 40 == 0:
            effect = msgspec.structs.replace(effect, data=effect.data * 2)
        original(self, effect)

    Gateway._answer = answer  # type: ignore[method-assign]


def no_effect_twice() -> None:
    """Sends each write that carries no key twice."""
    original = links.Connection.enqueue

    def enqueue(self: links.Connection, send: m.Send) -> None:
        if b"RPUSH" in send.payload:
            wait_index = send.payload.find(b"*3\r\n$4\r\nWAIT")
            write = send.payload[:wait_index] if wait_index > 0 else send.payload
            self.outgoing.append(write)
            self.pending.append(links.PendingRequest(m.Send(0, 0, send.box, b"", 1, 2, "", 0), 0, 1, 0))
            self.queued_bytes += len(write)
        original(self, send)

    links.Connection.enqueue = enqueue  # type: ignore[method-assign]


def drains_kept() -> None:
    """Ignores drains."""
    original = core.Engine._on_roster_listed

    def on_listed(self: core.Engine, message: m.AnyInput) -> None:
        assert isinstance(message, m.RosterListed)
        boxes = tuple(msgspec.structs.replace(box, state="ready") for box in message.boxes)
        original(self, m.RosterListed(boxes))

    core.Engine._on_roster_listed = on_listed  # type: ignore[method-assign, assignment]


def cold_spared() -> None:
    """Sends every read to the most recently started replica, whatever its capacity."""
    original = reads.choose_member

    def choose_member(state: RouterState, request: Request) -> Member | None:
        group = state.groups[request.group]
        started = [each for each in group.members.values() if each.started_us and each.role is api.Role.REPLICA]
        if request.request_class.freshness is api.Freshness.WRITE or not started:
            return original(state, request)
        return max(started, key=lambda member: member.started_us)

    reads.choose_member = choose_member
    cold.within_budget = lambda *_: True


def own_writes_seen() -> None:
    """Discards a session's write that got no answer, so that its reads need not see it."""
    original = sessions.settle_write

    def settle_write(state: RouterState, write: Request, position_us: int | None = None, is_over: bool = False) -> None:
        if is_over:
            state.open_session_writes.remove(write)
        original(state, write, position_us, is_over)

    sessions.settle_write = settle_write


def no_stale_read() -> None:
    """Treats every replica as up to date."""
    Positions.time_of = lambda self, replid, offset: self.newest_us()  # type: ignore[method-assign]


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.argv = ["oatlink", "gateway", sys.argv[2]]
    from oatlink.cli.main import main

    main()
