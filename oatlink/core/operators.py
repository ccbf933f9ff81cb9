"""The operators' commands: state of boxes, banks, elections, sessions and paths, INFO, and requests. No I/O.

Requests go to the recorder (RECORD) or to the fleet's node (FLEET, LAYOUT, CONTROL), which answer later.
"""

from collections.abc import Mapping

import msgspec

from oatlink.core import messages as m
from oatlink.core.commands import find_command
from oatlink.core.local import server_section
from oatlink.core.reports import BoxReport
from oatlink.core.sessions import PendingReply, Session
from oatlink.core.shared import BoxState
from oatlink.core.transactions import Transactions
from oatlink.interface import Role
from oatlink.member_status import member_status
from oatlink.protocols.resp import Array, Map, Simple, Value, encode, error

ADMIN_COMMANDS = frozenset((b"MEMBERS", b"BANKS", b"ELECTIONS", b"SESSIONS", b"INSPECT", b"PATHS"))
MAX_CONTROL_ARGS = 6  # CONTROL PUT scope key value version
MAX_SHOWN_SESSIONS = 1_000


class BoxStatus(msgspec.Struct, frozen=True):
    """What a gateway knows of a box, in the columns of `MEMBERS`. A value of -1 is not known.

    `says` is the role that the box reports, `role` the one that the gateway goes by, and `takes` the work that the box
    would be given now. `out` is the number of its open attempts, `room` its concurrency limit. `heard_ms` is how long
    ago it last answered, and `age_ms` the proven age of its data.
    """

    name: str
    bank: str
    address: str
    says: str
    role: str
    takes: str
    state: str
    replid: str
    offset: int
    age_ms: int
    heard_ms: int
    warmth: float
    out: int
    room: float
    run_id: str


class Operators(Transactions):
    """Answers the commands of the operators' listener."""

    def box_statuses(self) -> list[BoxStatus]:
        """The state of each box, and the work that it would be given now."""
        return [self._box_status(state) for _, state in sorted(self._boxes.items())]

    def _box_status(self, state: BoxState) -> BoxStatus:
        report = state.report or BoxReport()
        belief = member_status(self.router, state.member)
        position = self._router_report(state, state.report_asked_us)
        age_ms = -1
        if position is not None and position.position_us is not None:
            age_ms = (self._now - position.position_us) // 1_000
        if belief is None or state.box.state != "ready":
            takes = "nothing: draining"
        elif belief.is_in_doubt:
            takes = "nothing for now: a check is overdue"
        elif state.doubt[1] > self._now and state.heard_us < state.doubt[0]:
            takes = "reads later in the turn: others saw it fail"
        elif belief.is_primary:
            takes = "writes and current reads"
        elif belief.role is Role.REPLICA:
            takes = "reads that allow its age" if age_ms >= 0 else "reads of any age only: nothing is proven"
        else:
            takes = "nothing: role unknown"
        return BoxStatus(
            state.box.name,
            self.settings.banks[state.box.bank].name,
            state.box.address,
            report.role or "unknown",
            belief.role.value if belief is not None else "unknown",
            takes,
            state.box.state,
            report.replid,
            report.offset,
            age_ms,
            (self._now - state.heard_us) // 1_000 if state.heard_us else -1,
            belief.warmth if belief is not None else 0.0,
            belief.outstanding if belief is not None else 0,
            belief.concurrency_limit if belief is not None else 0.0,
            report.run_id,
        )

    def _administer(self, session: Session, args: list[bytes]) -> None:
        """Handle a command of the operators' listener: `ADMIN_COMMANDS`, requests, and a few commands of RESP."""
        name = args[0].upper()
        if name == b"RECORD" and len(args) == 2:
            session.recorder_replies.append(PendingReply())
            session.pending_replies.append(session.recorder_replies[-1])
            self._out.append(m.Record(session.client, args[1][:16].decode("utf-8", "replace").lower()))
            return
        if name in (b"FLEET", b"LAYOUT") and len(args) <= 3:
            self._request_layout(session, name, args)
            return
        if name == b"CONTROL" and len(args) <= MAX_CONTROL_ARGS:
            self._request_of_fleet(session, "control", msgspec.msgpack.encode(args[1:]))
            return
        if name in ADMIN_COMMANDS and len(args) == 1:
            self._reply(session, encode(self._admin_value(name), session.protocol))
            return
        spec = find_command(args[0])
        if spec is None or spec.name not in ("ping", "info", "hello", "auth", "client", "command", "quit", "echo"):
            commands = " ".join(sorted(command.decode() for command in ADMIN_COMMANDS))
            commands = f"INFO, PING, RECORD WORD, FLEET, LAYOUT WORD, CONTROL WORD and {commands}"
            self._reply(session, error(f"ERR not served to operators; they have {commands}"))
        elif not spec.arity_fits(len(args)):
            self._reply(session, error(f"ERR wrong number of arguments for '{spec.name}' command"))
        elif not self._local.admits(session, spec):
            self._reply(session, error("NOAUTH Authentication required."))
        else:
            self._answer_locally(session, spec, args)

    def _on_recorded(self, result: m.AnyInput) -> None:
        """Answer the operator's oldest open RECORD with the recorder's result."""
        assert isinstance(result, m.Recorded)
        session = self._sessions.get(result.client)
        if session is not None and session.recorder_replies:
            text = result.text.encode("utf-8", "replace")
            session.recorder_replies.popleft().answer = (
                encode(Simple(text)) if result.done else error("ERR " + result.text)
            )
            self._flush(session)

    def _request_layout(self, session: Session, name: bytes, args: list[bytes]) -> None:
        """Pass `FLEET`, or `LAYOUT` with its subcommand, to the fleet's node."""
        word = "rows" if name == b"FLEET" else args[1][:16].decode("utf-8", "replace").lower() if args[1:] else "status"
        expected_args = 3 if word == "propose" else 2 - (name == b"FLEET" or len(args) == 1)
        if word not in ("rows", "status", "propose", "back", "resume") or len(args) != expected_args:
            self._reply(session, error("ERR expected FLEET, or LAYOUT with STATUS, PROPOSE TEXT, BACK or RESUME"))
            return
        self._request_of_fleet(session, word, args[2] if word == "propose" else b"")

    def _request_of_fleet(self, session: Session, word: str, text: bytes) -> None:
        """Send a request to the fleet's node, which answers later."""
        if not self._gate.on:
            self._reply(session, error("ERR no fleet in the settings"))
            return
        session.fleet_replies.append(PendingReply())
        session.pending_replies.append(session.fleet_replies[-1])
        self._out.append(m.FleetCommand(session.client, word, text))

    def _on_fleet_replied(self, reply: m.AnyInput) -> None:
        """Answer the operator's oldest open request to the fleet's node; replies come in the order of requests."""
        assert isinstance(reply, m.FleetReplied)
        session = self._sessions.get(reply.client)
        if session is not None and session.fleet_replies:
            session.fleet_replies.popleft().answer = encode(reply.text.encode("utf-8", "replace"))
            self._flush(session)

    def _admin_value(self, name: bytes) -> Value:
        """The answer to one of `ADMIN_COMMANDS`. `INSPECT` checks every box again and answers OK."""
        now = self._now
        if name == b"MEMBERS":
            return Array(tuple(_row(msgspec.structs.asdict(status)) for status in self.box_statuses()))
        if name == b"PATHS":
            return Array(tuple(_row(row) for row in self.path_rows()))
        if name == b"BANKS":
            rows = []
            for number, group in enumerate(self._groups):
                requests = [
                    ask for ask in self._requests.values() if ask.group == number and ask.pending_reply.answer is None
                ]
                pending = [ask for ask in requests if ask.started and not ask.open_attempts]
                longest_pending_us = max((now - ask.arrived_us for ask in pending), default=0)
                newest_us = group.positions.newest_us()
                rows.append(
                    _row(
                        {
                            "name": self.settings.banks[number].name,
                            "primary": group.primary or "unknown",
                            "history": group.positions.current or "",
                            "elections": group.elections,
                            "open": len(requests),
                            "held": len(pending),
                            "longest_held_ms": longest_pending_us // 1_000,
                            "sample_age_ms": (now - newest_us) // 1_000 if newest_us >= 0 else -1,
                        }
                    )
                )
            return Array(tuple(rows))
        if name == b"ELECTIONS":
            return Array(
                tuple(
                    _row(
                        {
                            "bank": self.settings.banks[number].name,
                            "ago_ms": (now - at_us) // 1_000,
                            "from": old,
                            "to": new,
                        }
                    )
                    for number, group in enumerate(self._groups)
                    for at_us, old, new in group.recent_elections
                )
            )
        if name == b"SESSIONS":
            return Array(
                tuple(
                    _row(
                        {
                            "id": session.client,
                            "peer": session.peer,
                            "name": session.name,
                            "user": session.user,
                            "age_ms": (now - session.since_us) // 1_000,
                            "owed": len(session.pending_replies),
                            "waiting": len(session.waiting),
                            "multi": -1 if session.queued is None else len(session.queued),
                            "watching": len(session.watching),
                        }
                    )
                    for session in list(self._sessions.values())[:MAX_SHOWN_SESSIONS]
                )
            )
        self._on_refresh_requested(m.RefreshRequested())
        return Simple(b"OK")

    def _info(self) -> dict[str, dict[str, object]]:
        """The sections of INFO, each with its lines by name."""
        boxes: dict[str, object] = {}
        for status in self.box_statuses():
            fields = msgspec.structs.asdict(status)
            name = fields.pop("name")
            boxes[name] = ",".join(f"{key}={value}" for key, value in fields.items())
        paths: dict[str, object] = {}
        for row in self.path_rows():
            name = f"{row.pop('box')}/{row.pop('place')}"
            paths[name] = ",".join(f"{key}={value}" for key, value in row.items())
        banks: dict[str, object] = {
            self.settings.banks[number].name: f"primary={group.primary or 'unknown'},elections={group.elections}"
            for number, group in enumerate(self._groups)
        }
        return {
            "server": {**server_section(self._started_us, self._now), "oatlink_code": self._program_form or "unknown"},
            "clients": {"connected_clients": len(self._sessions), "open_requests": len(self._requests)},
            "stats": {f"requests_{name}": count for name, count in self.counts.items()},
            "replication": {"role": "master", "connected_slaves": 0},
            "banks": banks,
            "members": boxes,
            "paths": paths,
        }


def _row(fields: Mapping[str, object]) -> Value:
    """One row of an answer: integers stay integers, any other value becomes text."""
    return Map(
        tuple((key.encode(), value if isinstance(value, int) else str(value).encode()) for key, value in fields.items())
    )
