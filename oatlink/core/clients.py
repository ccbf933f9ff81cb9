"""Client connections: which commands are accepted, local answers, the order of answers, disconnection. No I/O."""

from collections.abc import Mapping

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.commands import Kind, Spec, blocks, find_command
from oatlink.core.requests import Requests
from oatlink.core.sessions import PendingReply, Session, refusal
from oatlink.protocols.resp import error


class Clients(Requests):
    """Handles client connections and their commands."""

    @property
    def sessions(self) -> Mapping[int, Session]:
        """The clients' sessions by client number, read-only."""
        return self._sessions

    def _on_opened(self, event: m.AnyInput) -> None:
        assert isinstance(event, m.Opened)
        self._sessions[event.client] = Session(event.client, peer=event.peer, since_us=self._now, admin=event.admin)

    def _on_closed(self, event: m.AnyInput) -> None:
        """Drop a client that has disconnected. Its requests may be running; no further attempt is sent for them."""
        assert isinstance(event, m.Closed)
        session = self._sessions.pop(event.client, None)
        if session is None:
            return
        self._release(session)
        for request in list(session.requests.values()):
            request.pending_reply.answer = b""
            if request.started:
                self._route(api.Departure(str(request.id)))
            if not request.open_attempts:
                self._forget_request(request.id)
                self._waiting_for_grant.pop(request.id, None)

    def _on_protocol_violated(self, event: m.AnyInput) -> None:
        """Answer a protocol violation with its error, after the answers owed before, and close the connection."""
        assert isinstance(event, m.ProtocolViolated)
        session = self._sessions.get(event.client)
        if session is not None and not session.closing:
            session.closing = True
            session.pending_replies.append(PendingReply(error(event.text), hangup=True))
            self._flush(session)

    def _on_draining(self, event: m.AnyInput) -> None:
        """Refuse new commands from now on. Pending requests run to their end."""
        self._draining = True

    def _flush(self, session: Session) -> None:
        """Send the answers that can be sent now."""
        parts, done, hangs_up = session.take_answers()
        if parts:
            session.answered += done
            self._out.append(m.Answer(session.client, parts[0] if len(parts) == 1 else b"".join(parts), done))
        if hangs_up:
            self._out.append(m.Hangup(session.client))

    def _reply(self, session: Session, data: bytes, hangup: bool = False) -> None:
        """Queue an answer of the gateway itself behind the answers owed before it."""
        session.pending_replies.append(PendingReply(data, hangup))
        self._flush(session)

    def _on_command_received(self, event: m.AnyInput) -> None:
        """Check a client's command and pass it on by its kind."""
        assert isinstance(event, m.CommandReceived)
        session = self._sessions.get(event.client)
        if session is None or session.closing:
            return
        self._late_us, self._waiting_client_count = event.late_us, event.behind
        self._waited_us = max(event.late_us, event.waited_us)
        # The time behind the client's own earlier commands counts only if one of them timed out meanwhile. Otherwise
        # a long pipeline that is served as fast as possible would be refused for its own length.
        has_timed_out = session.last_unserved_us >= self._now - self._waited_us - event.own_us
        self._pipeline_wait_us = event.own_us if has_timed_out else 0
        args = event.args
        if session.admin:
            self._administer(session, args)
            return
        spec = find_command(args[0])
        if spec is None:
            session.transaction_failed = session.queued is not None
            name = args[0][:128].decode("utf-8", "replace")
            first_args = " ".join(f"'{arg[:32].decode('utf-8', 'replace')}'" for arg in args[1:5])
            self._reply(session, error(f"ERR unknown command '{name}', with args beginning with: {first_args}"))
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
        """Answer a command that needs no box."""
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
