"""What operators see: verdicts, banks, elections, sessions, INFO; and what they may ask the recorder for. No I/O."""

from collections.abc import Mapping

import msgspec

from oatlink.beliefs import belief as belief_of
from oatlink.core import messages as m
from oatlink.core.commands import find_command
from oatlink.core.local import server_section
from oatlink.core.reports import BoxReport
from oatlink.core.sessions import PendingReply, Session
from oatlink.core.shared import BoxState
from oatlink.core.transactions import Transactions
from oatlink.interface import Role
from oatlink.protocols.resp import Array, Map, Simple, Value, encode, error

ADMIN = frozenset((b"MEMBERS", b"BANKS", b"ELECTIONS", b"SESSIONS", b"INSPECT", b"PATHS"))
MOST_WORDS = 6  # of CONTROL PUT scope key value version
MOST_SESSIONS = 1_000  # shown to operators at once


class Verdict(msgspec.Struct, frozen=True):
    """What a gateway believes of a box. `says` is the box's own word, `role` what counts; -1 is not known."""

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
    """The operators' view."""

    def verdicts(self) -> list[Verdict]:
        """What is believed of each box, and what it would be given now."""
        return [self._verdict(state) for _, state in sorted(self._boxes.items())]

    def _verdict(self, state: BoxState) -> Verdict:
        report = state.report or BoxReport()
        believed = belief_of(self.router, state.member)
        at = self._report(state, state.asked_us)
        age = -1 if at is None or at.position_us is None else (self._now - at.position_us) // 1_000
        if believed is None or state.box.state != "ready":
            takes = "nothing: draining"
        elif believed.in_doubt:
            takes = "nothing for now: a check is overdue"
        elif state.doubt[1] > self._now and state.heard_us < state.doubt[0]:
            takes = "reads later in the turn: others saw it fail"
        elif believed.primary:
            takes = "writes and current reads"
        elif believed.role is Role.REPLICA:
            takes = "reads that allow its age" if age >= 0 else "reads of any age only: nothing is proven"
        else:
            takes = "nothing: role unknown"
        return Verdict(
            state.box.name,
            self.settings.banks[state.box.bank].name,
            state.box.address,
            report.role or "unknown",
            believed.role.value if believed is not None else "unknown",
            takes,
            state.box.state,
            report.replid,
            report.offset,
            age,
            (self._now - state.heard_us) // 1_000 if state.heard_us else -1,
            believed.warmth if believed is not None else 0.0,
            believed.out if believed is not None else 0,
            believed.room if believed is not None else 0.0,
            report.run_id,
        )

    def _administer(self, session: Session, args: list[bytes]) -> None:
        """A command on the operators' listener: a few of the specification's, and the words of `ADMIN`."""
        name = args[0].upper()
        if name == b"RECORD" and len(args) == 2:
            session.recorder_replies.append(PendingReply())
            session.pending_replies.append(session.recorder_replies[-1])
            self._out.append(m.Record(session.client, args[1][:16].decode("utf-8", "replace").lower()))
            return
        if name in (b"FLEET", b"LAYOUT") and len(args) <= 3:
            self._send_errand(session, name, args)
            return
        if name == b"CONTROL" and len(args) <= MOST_WORDS:
            self._begin_errand(session, "control", msgspec.msgpack.encode(args[1:]))
            return
        if name in ADMIN and len(args) == 1:
            self._reply(session, encode(self._admin_value(name), session.protocol))
            return
        spec = find_command(args[0])
        if spec is None or spec.name not in ("ping", "info", "hello", "auth", "client", "command", "quit", "echo"):
            words = " ".join(sorted(one.decode() for one in ADMIN))
            words = f"INFO, PING, RECORD WORD, FLEET, LAYOUT WORD, CONTROL WORD and {words}"
            self._reply(session, error(f"ERR not served to operators; they have {words}"))
        elif not spec.arity_fits(len(args)):
            self._reply(session, error(f"ERR wrong number of arguments for '{spec.name}' command"))
        elif not self._local.admits(session, spec):
            self._reply(session, error("NOAUTH Authentication required."))
        else:
            self._answer_locally(session, spec, args)

    def _on_recorded(self, given: m.AnyInput) -> None:
        """The recorder has done what an operator asked."""
        assert isinstance(given, m.Recorded)
        session = self._sessions.get(given.client)
        if session is not None and session.recorder_replies:
            text = given.text.encode("utf-8", "replace")
            session.recorder_replies.popleft().answer = (
                encode(Simple(text)) if given.done else error("ERR " + given.text)
            )
            self._flush(session)

    def _send_errand(self, session: Session, name: bytes, args: list[bytes]) -> None:
        """`FLEET`, or `LAYOUT` with a word of its own: the fleet's node answers later."""
        word = "rows" if name == b"FLEET" else args[1][:16].decode("utf-8", "replace").lower() if args[1:] else "status"
        texts = 3 if word == "propose" else 2 - (name == b"FLEET" or len(args) == 1)
        if word not in ("rows", "status", "propose", "back", "resume") or len(args) != texts:
            self._reply(session, error("ERR expected FLEET, or LAYOUT with STATUS, PROPOSE TEXT, BACK or RESUME"))
            return
        self._begin_errand(session, word, args[2] if word == "propose" else b"")

    def _begin_errand(self, session: Session, word: str, text: bytes) -> None:
        if not self._gate.on:
            self._reply(session, error("ERR no fleet in the settings"))
            return
        session.fleet_replies.append(PendingReply())
        session.pending_replies.append(session.fleet_replies[-1])
        self._out.append(m.FleetCommand(session.client, word, text))

    def _on_fleet_replied(self, given: m.AnyInput) -> None:
        """The fleet's node has answered an operator; answers come in the order of the words."""
        assert isinstance(given, m.FleetReplied)
        session = self._sessions.get(given.client)
        if session is not None and session.fleet_replies:
            session.fleet_replies.popleft().answer = encode(given.text.encode("utf-8", "replace"))
            self._flush(session)

    def _admin_value(self, name: bytes) -> Value:
        """What an operators' word shows; `INSPECT` asks every box anew and shows nothing."""
        now = self._now
        if name == b"MEMBERS":
            return Array(tuple(_table(msgspec.structs.asdict(one)) for one in self.verdicts()))
        if name == b"PATHS":
            return Array(tuple(_table(one) for one in self.path_rows()))
        if name == b"BANKS":
            rows = []
            for number, group in enumerate(self._groups):
                asks = [
                    one for one in self._requests.values() if one.group == number and one.pending_reply.answer is None
                ]
                held = [one for one in asks if one.started and not one.open_attempts]
                oldest = max((now - one.arrived_us for one in held), default=0)
                newest = group.positions.newest_us()
                rows.append(
                    _table(
                        {
                            "name": self.settings.banks[number].name,
                            "primary": group.primary or "unknown",
                            "history": group.positions.current or "",
                            "elections": group.elections,
                            "open": len(asks),
                            "held": len(held),
                            "longest_held_ms": oldest // 1_000,
                            "sample_age_ms": (now - newest) // 1_000 if newest >= 0 else -1,
                        }
                    )
                )
            return Array(tuple(rows))
        if name == b"ELECTIONS":
            return Array(
                tuple(
                    _table(
                        {
                            "bank": self.settings.banks[number].name,
                            "ago_ms": (now - at_us) // 1_000,
                            "from": old,
                            "to": new,
                        }
                    )
                    for number, group in enumerate(self._groups)
                    for at_us, old, new in group.recent
                )
            )
        if name == b"SESSIONS":
            return Array(
                tuple(
                    _table(
                        {
                            "id": one.client,
                            "peer": one.peer,
                            "name": one.name,
                            "user": one.user,
                            "age_ms": (now - one.since_us) // 1_000,
                            "owed": len(one.pending_replies),
                            "waiting": len(one.waiting),
                            "multi": -1 if one.queued is None else len(one.queued),
                            "watching": len(one.watching),
                        }
                    )
                    for one in list(self._sessions.values())[:MOST_SESSIONS]
                )
            )
        self._on_refresh_requested(m.RefreshRequested())
        return Simple(b"OK")

    def _info(self) -> dict[str, dict[str, object]]:
        boxes: dict[str, object] = {}
        for one in self.verdicts():
            fields = msgspec.structs.asdict(one)
            name = fields.pop("name")
            boxes[name] = ",".join(f"{key}={value}" for key, value in fields.items())
        paths: dict[str, object] = {}
        for row in self.path_rows():
            name = f"{row.pop('box')}/{row.pop('place')}"
            paths[name] = ",".join(f"{key}={value}" for key, value in row.items())
        groups: dict[str, object] = {
            self.settings.banks[number].name: f"primary={one.primary or 'unknown'},elections={one.elections}"
            for number, one in enumerate(self._groups)
        }
        return {
            "server": {**server_section(self._started_us, self._now), "oatlink_code": self._code or "unknown"},
            "clients": {"connected_clients": len(self._sessions), "open_requests": len(self._requests)},
            "stats": {f"requests_{name}": count for name, count in self.counts.items()},
            "replication": {"role": "master", "connected_slaves": 0},
            "banks": groups,
            "members": boxes,
            "paths": paths,
        }


def _table(fields: Mapping[str, object]) -> Value:
    """A row for operators."""
    return Map(tuple((key.encode(), one if isinstance(one, int) else str(one).encode()) for key, one in fields.items()))
