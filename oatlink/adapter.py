"""The simulator's wire protocol on standard input and output, for many independent routers in one process.

Run as `python -m oatlink.adapter`. This module converts messages and makes no routing decisions.
"""

import math
import sys
from typing import BinaryIO

import msgspec
from msgspec import field

from oatlink import interface as api
from oatlink.options import Options, Wire, WireError, to_settings, translate
from oatlink.rules import Router

OUTCOMES = {
    "GOOD": api.Outcome.SERVED,
    "BAD": api.Outcome.ERROR,
    "FULL": api.Outcome.FULL,
    "LATE": api.Outcome.LATE,
    "NOCONN": api.Outcome.NO_CONNECTION,
    "RST": api.Outcome.RESET,
    "CXL": api.Outcome.CANCELLED,
    "NOP": api.Outcome.NOT_SENT,
    "MISS": api.Outcome.MISS,
}
LISTINGS = {"Ready": api.Listing.READY, "Terminating": api.Listing.TERMINATING, "Gone": api.Listing.GONE}
ROSTERS = {
    "diff": api.RosterKind.CHANGES,
    "snapshot": api.RosterKind.WHOLE,
    "disk": api.RosterKind.SAVED,
    "error": api.RosterKind.FAILED,
}
NOTE_ROLES = {1: api.Role.PRIMARY, 2: api.Role.REPLICA}


class Line(Wire):
    """A member in a roster list."""

    server: int
    group: int
    locality: str = ""
    sku: str = ""
    health: str = "Ready"
    is_primary: float = 0
    came_up_us: int = 0


class Roster(Wire, tag_field="event_type", tag="Roster"):
    """A roster list, stored under a number (`bank`) that later `Membership` events refer to."""

    bank: int
    lines: list[Line]


class Addressed(Wire, tag_field="event_type"):
    """Base of the events for one instance."""

    gateway_id: str


class Boot(Addressed, tag="Boot"):
    """An instance starts; one of the same name is replaced."""

    nonce64: int
    options: Options


class Membership(Addressed, tag="Membership"):
    """The instance's discovery returned a roster list or failed."""

    mode: str
    bank: int = 0


class JobIn(Addressed, tag="JobIn"):
    """A request arrives."""

    rid: str
    qos: str
    shard: int
    expires_in_us: int
    owner: str | int = 0
    user: str | None = None
    last_write_ms: float | None = None


class Aborted(Addressed, tag="Aborted"):
    """The client has abandoned its request."""

    rid: str


class AttemptEnd(Addressed, tag="AttemptEnd"):
    """An attempt of a request has ended."""

    rid: str
    hop: int
    server: int
    ending: str
    duration_us: int = 0
    over: bool = False
    pos_role: int = 0
    metrics: dict[str, float] | None = None


class Sampled(Addressed, tag="Sampled"):
    """A health check has ended."""

    server: int
    ending: str
    duration_us: int = 0
    metrics: dict[str, float] | None = None


class Fired(Addressed, tag="Fired"):
    """A timer is due."""

    cookie: str


class Halt(Addressed, tag="Halt"):
    """The instance stops; its state is discarded."""


class Mail(Addressed, tag="Mail"):
    """A message from a peer; ignored, since routers here do not exchange messages."""


class Established(Addressed, tag="Established"):
    """A stream has started; ignored, since no request class here streams."""


WireEvent = Roster | Boot | Membership | JobIn | Aborted | AttemptEnd | Sampled | Fired | Halt | Mail | Established


class Batch(msgspec.Struct):
    """One line of input: events that happen at the same time."""

    events: list[WireEvent]
    now_us: int = field(name="NowUs")


class Instance:
    """One router and the base time to which positions on its wire are relative."""

    def __init__(self, boot: Boot) -> None:
        self.router = Router(to_settings(boot.options, boot.nonce64))
        self.base_us = boot.options.family_info.base_time_us

    def decode_answer_note(self, pos_role: int) -> api.Report | None:
        """Decode the note on an answer: position in milliseconds * 4 + role, 0 if there is none."""
        if pos_role == 0:
            return None
        position_ms, role = divmod(pos_role, 4)
        return api.Report(
            self.base_us + position_ms * 1000 if position_ms else None, NOTE_ROLES.get(role, api.Role.UNKNOWN)
        )

    def decode_load_report(self, metrics: dict[str, float] | None) -> api.Report | None:
        """Decode a load report: `x0` is the position in seconds, `x1` the role (1 at a primary)."""
        if not metrics:
            return None
        position_s, primary_value = metrics.get("x0"), metrics.get("x1")
        role = api.Role.UNKNOWN
        if primary_value is not None:
            role = api.Role.PRIMARY if primary_value >= 0.5 else api.Role.REPLICA
        return api.Report(None if position_s is None else self.base_us + math.floor(position_s * 1e6), role)

    def to_event(self, event: WireEvent, lists: dict[int, tuple[api.RosterEntry, ...]]) -> api.Event | None:
        """Convert a wire event to the router's; None if the router has no use for it."""
        match event:
            case JobIn():
                return api.Arrival(
                    request=event.rid,
                    class_name=event.qos,
                    group=event.shard,
                    expires_in_us=event.expires_in_us,
                    session=event.user,
                    tenant=event.owner if isinstance(event.owner, str) else None,
                    since_write_us=math.floor(event.last_write_ms * 1000) if event.last_write_ms else None,
                )
            case AttemptEnd():
                return api.AttemptEnded(
                    request=event.rid,
                    attempt=event.hop,
                    member=event.server,
                    outcome=translate(OUTCOMES, event.ending, "outcome"),
                    duration_us=event.duration_us,
                    over=event.over,
                    answer=self.decode_answer_note(event.pos_role),
                    report=self.decode_load_report(event.metrics),
                )
            case Fired():
                return api.TimerFired(event.cookie)
            case Sampled():
                return api.Checked(
                    event.server,
                    translate(OUTCOMES, event.ending, "outcome"),
                    event.duration_us,
                    self.decode_load_report(event.metrics),
                )
            case Aborted():
                return api.Departure(event.rid)
            case Membership():
                kind = translate(ROSTERS, event.mode, "membership mode")
                if kind is api.RosterKind.FAILED:
                    return api.Roster(kind)
                if event.bank not in lists:
                    raise WireError(f"membership names an unknown list {event.bank}")
                return api.Roster(kind, lists[event.bank])
        return None


def to_wire(action: api.Action, gateway: str) -> dict[str, object]:
    """Convert one of the router's actions to the wire."""
    match action:
        case api.Send():
            return {
                "event_type": "Dispatch",
                "GatewayId": gateway,
                "Rid": action.request,
                "Server": action.member,
            }
        case api.SetTimer():
            return {
                "event_type": "SetTimer",
                "GatewayId": gateway,
                "Cookie": action.name,
                "TimeUs": action.at_us,
            }
        case api.Refuse():
            return {
                "event_type": "Deny",
                "GatewayId": gateway,
                "Rid": action.request,
                "RetryAfterUs": action.retry_after_us,
            }
        case api.Fail():
            return {"event_type": "FinishError", "GatewayId": gateway, "Rid": action.request}
        case api.Cancel():
            return {
                "event_type": "AbortAttempt",
                "GatewayId": gateway,
                "Rid": action.request,
                "Hop": action.attempt,
            }
        case api.Check():
            return {"event_type": "Sample", "GatewayId": gateway, "Server": action.member}
        case api.DropIdle():
            return {"event_type": "Disconnect", "GatewayId": gateway, "Server": action.member}
        case api.FollowRoster():
            return {"event_type": "Follow", "GatewayId": gateway, "Want": True}
        case api.FetchRoster():
            return {"event_type": "Lookup", "GatewayId": gateway}
        case api.Log():
            return {"event_type": "Debug", "GatewayId": gateway, "ReasonText": action.text}


class Adapter:
    """Passes batches of events to the instances and collects their actions."""

    def __init__(self) -> None:
        self._decoder = msgspec.json.Decoder(Batch)
        self._instances: dict[str, Instance] = {}
        self._lists: dict[int, tuple[api.RosterEntry, ...]] = {}

    def _handle(self, event: WireEvent, now_us: int) -> list[dict[str, object]]:
        """Handle one event and return the resulting actions."""
        if isinstance(event, Roster):
            self._lists[event.bank] = tuple(
                api.RosterEntry(
                    member=line.server,
                    group=line.group,
                    zone=line.locality,
                    kind=line.sku,
                    listing=translate(LISTINGS, line.health, "health"),
                    primary=line.is_primary >= 0.5,
                    started_us=line.came_up_us,
                )
                for line in event.lines
            )
            return []
        gateway = event.gateway_id
        if isinstance(event, Boot):
            self._instances[gateway] = Instance(event)
            router_event: api.Event | None = api.Start()
        else:
            if gateway not in self._instances:
                raise WireError(f"unknown instance {gateway!r}")
            if isinstance(event, Halt):
                del self._instances[gateway]
                return []
            router_event = self._instances[gateway].to_event(event, self._lists)
        if router_event is None:
            return []
        try:
            actions = self._instances[gateway].router.handle(router_event, now_us)
        except Exception as error:  # a fault in the routing rules is reported on the wire rather than hidden
            text = f"{type(error).__name__}: {error}"
            print(f"oatlink: {text}", file=sys.stderr)
            return [{"event_type": "InternalError", "GatewayId": gateway, "ReasonText": text}]
        return [to_wire(action, gateway) for action in actions]

    def reply(self, line: bytes) -> bytes:
        """Handle one batch and return the reply line's content."""
        try:
            batch = self._decoder.decode(line)
        except msgspec.DecodeError as error:
            raise WireError(str(error)) from error
        actions = [action for event in batch.events for action in self._handle(event, batch.now_us)]
        return msgspec.json.encode({"do": actions})


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each batch until the input ends."""
    adapter = Adapter()
    for line in source:
        if line.strip():
            sink.write(adapter.reply(line) + b"\n")
            sink.flush()


def main() -> int:
    """Run the adapter. Malformed input ends it with one line on standard error and status 2."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"oatlink: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
