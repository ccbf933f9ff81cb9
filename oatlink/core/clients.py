"""A client's connection: what it may say, what is answered here, the order of its answers, its leaving. No I/O."""

from collections.abc import Mapping

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.commands import Kind, Spec, blocks, find_command
from oatlink.core.requests import Requests
from oatlink.core.sessions import PendingReply, Session, refusal
from oatlink.protocols.resp import error


class Clients(Requests):
    """Client connections."""

    @property
    def sessions(self) -> Mapping[int, Session]:
        """The clients' sessions by number; to look at only."""
        return self._sessions

    def _on_opened(self, given: m.AnyInput) -> None:
        assert isinstance(given, m.Opened)
        self._sessions[given.client] = Session(given.client, peer=given.peer, since_us=self._now, admin=given.admin)

    def _on_closed(self, given: m.AnyInput) -> None:
        """A client has left. What it asked for may be running; nothing more is sent for it."""
        assert isinstance(given, m.Closed)
        session = self._sessions.pop(given.client, None)
        if session is None:
            return
        self._release(session)
        for ask in list(session.requests.values()):
            ask.pending_reply.answer = b""
            if ask.started:
                self._route(api.Departure(str(ask.id)))
            if not ask.open_attempts:
                self._forget(ask.id)
                self._at_gate.pop(ask.id, None)

    def _on_protocol_violated(self, given: m.AnyInput) -> None:
        """Outside the protocol: the error in its turn, then the end of the connection."""
        assert isinstance(given, m.ProtocolViolated)
        session = self._sessions.get(given.client)
        if session is not None and not session.closing:
            session.closing = True
            session.pending_replies.append(PendingReply(error(given.text), hangup=True))
            self._flush(session)

    def _on_draining(self, given: m.AnyInput) -> None:
        """New commands are refused from now on; what is held goes on to its end."""
        self._draining = True

    def _flush(self, session: Session) -> None:
        parts, done, over = session.take_answers()
        if parts:
            session.answered += done
            self._out.append(m.Answer(session.client, parts[0] if len(parts) == 1 else b"".join(parts), done))
        if over:
            self._out.append(m.Hangup(session.client))

    def _reply(self, session: Session, data: bytes, hangup: bool = False) -> None:
        """An answer of the gateway's own, in its turn."""
        session.pending_replies.append(PendingReply(data, hangup))
        self._flush(session)

    def _on_command_received(self, given: m.AnyInput) -> None:
        """A command has come in."""
        assert isinstance(given, m.CommandReceived)
        session = self._sessions.get(given.client)
        if session is None or session.closing:
            return
        self._late_us, self._behind = given.late_us, given.behind
        self._waited_us = max(given.late_us, given.waited_us)
        # Threat: a long pipeline that is served as fast as it can be, refused for its own length. What lay behind its
        # client's own commands loses that time only where one of them hung meanwhile.
        has_hung = session.last_unserved_us >= self._now - self._waited_us - given.own_us
        self._pipelined_us = given.own_us if has_hung else 0
        args = given.args
        if session.admin:
            self._administer(session, args)
            return
        spec = find_command(args[0])
        if spec is None:
            session.transaction_failed = session.queued is not None
            shown = args[0][:128].decode("utf-8", "replace")
            begin = " ".join(f"'{one[:32].decode('utf-8', 'replace')}'" for one in args[1:5])
            self._reply(session, error(f"ERR unknown command '{shown}', with args beginning with: {begin}"))
            return
        if not spec.arity_fits(len(args)):
            session.transaction_failed = session.queued is not None
            self._reply(session, error(f"ERR wrong number of arguments for '{spec.name}' command"))
            return
        if not self._local.admits(session, spec):
            self._reply(session, error("NOAUTH Authentication required."))
            return
        if spec.kind is Kind.LOCAL:
            self._answer_locally(session, spec, args)
        elif spec.kind is Kind.TRANSACTION:
            self._transaction(session, spec, args)
        elif blocks(spec, args):
            session.transaction_failed = session.queued is not None
            self._reply(
                session,
                error(
                    f"ERR {spec.name} is not served by this gateway: it would wait at the server "
                    "on a connection that others share"
                ),
            )
        elif self._draining:
            self._reply(session, refusal(self.settings.limits.retry_after_max_ms * 1_000))
        else:
            self._submit(session, spec, args)

    def _answer_locally(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        if session.queued is not None and spec.name not in ("quit", "reset"):
            session.transaction_failed = True
            self._reply(session, error(f"ERR {spec.name} is not served inside a transaction by this gateway"))
            return
        if spec.name == "reset":
            session.forget_transaction()
            self._release(session)
        self.counts["local"] += 1
        data = self._local.answer(spec, session, args)
        quits = spec.name == "quit"
        session.closing = session.closing or quits
        self._reply(session, data, hangup=quits)
