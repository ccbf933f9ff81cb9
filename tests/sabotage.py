"""Gateways that each break one rule on purpose: the judge must find every one. Run as `sabotage.py RULE SETTINGS`."""

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

count = 0


def one_answer() -> None:
    """Every 40th answer is sent twice, every 41st not at all."""
    whole = Gateway._answer

    def answer(self: Gateway, effect: m.Answer) -> None:
        global count
        count += 1
        if count % 40 == 0:
            effect = msgspec.structs.replace(effect, data=effect.data * 2)
        whole(self, effect)

    Gateway._answer = answer  # type: ignore[method-assign]


def no_effect_twice() -> None:
    """Writes that carry no key are handed over twice."""
    whole = links.Connection.enqueue

    def enqueue(self: links.Connection, send: m.Send) -> None:
        if b"RPUSH" in send.payload:
            at = send.payload.find(b"*3\r\n$4\r\nWAIT")
            first = send.payload[:at] if at > 0 else send.payload
            self.outgoing.append(first)
            self.pending.append(links.PendingRequest(m.Send(0, 0, send.box, b"", 1, 2, "", 0), 0, 1, 0))
            self.queued_bytes += len(first)
        whole(self, send)

    links.Connection.enqueue = enqueue  # type: ignore[method-assign]


def drains_kept() -> None:
    """Drains are not heard of."""
    whole = core.Engine._on_roster_listed

    def listed(self: core.Engine, given: m.AnyInput) -> None:
        assert isinstance(given, m.RosterListed)
        boxes = tuple(msgspec.structs.replace(one, state="ready") for one in given.boxes)
        whole(self, m.RosterListed(boxes))

    core.Engine._on_roster_listed = listed  # type: ignore[method-assign, assignment]


def cold_spared() -> None:
    """The youngest member gets every read, whatever it can bear."""
    whole = reads.choose_member

    def choose(state: RouterState, request: Request) -> Member | None:
        group = state.groups[request.group]
        young = [one for one in group.members.values() if one.started_us and one.role is api.Role.REPLICA]
        if request.request_class.freshness is api.Freshness.WRITE or not young:
            return whole(state, request)
        return max(young, key=lambda one: one.started_us)

    reads.choose_member = choose
    cold.within_budget = lambda *_: True


def own_writes_seen() -> None:
    """A session's write that got no answer binds nobody."""
    whole = sessions.settle_write

    def ended(state: RouterState, write: Request, position_us: int | None = None, is_over: bool = False) -> None:
        if is_over:
            state.open_session_writes.remove(write)
        whole(state, write, position_us, is_over)

    sessions.settle_write = ended


def no_stale_read() -> None:
    """Every replica is believed to be up to date."""
    Positions.time_of = lambda self, replid, offset: self.newest_us()  # type: ignore[method-assign]


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.argv = ["oatlink", "gateway", sys.argv[2]]
    from oatlink.cli.main import main

    main()
