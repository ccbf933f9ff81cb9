"""MULTI, EXEC, DISCARD, WATCH, UNWATCH, and the connection reserved for a client while it watches keys. No I/O.

The reserved connection is called a lease.
"""

from oatlink.core import messages as m
from oatlink.core.classify import PINNED, slots_of
from oatlink.core.clients import Clients
from oatlink.core.commands import Spec
from oatlink.core.sessions import PendingRequest, Session, over_quota, refusal, unserved
from oatlink.protocols.resp import OK, QUEUED, Null, encode, encode_command, error


class Transactions(Clients):
    """Handles transactions and leases."""

    def _queue_command(self, session: Session, args: list[bytes], writes: bool, slots: list[int]) -> None:
        """Queue a command between MULTI and EXEC. All commands of a transaction must belong to one group."""
        assert session.queued is not None
        limits = self.settings.limits
        session.queued_bytes += sum(map(len, args))
        if len(session.queued) >= limits.transaction_commands or session.queued_bytes > limits.message_bytes:
            session.transaction_failed = True
            session.queued = []
            self._reply(session, error("ERR transaction too large"))
            return
        if slots and session.queued_slots and self._classifier.group_of([slots[0], session.queued_slots[0]]) is None:
            session.transaction_failed = True
            self._reply(session, error("CROSSSLOT Keys in request don't hash to the same slot"))
            return
        session.queued_slots += [slot for slot in slots if slot not in session.queued_slots]
        session.queued.append((args, writes))
        self._reply(session, QUEUED)

    def _transaction(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        """Handle MULTI, EXEC, DISCARD, WATCH and UNWATCH."""
        if spec.name == "multi":
            if session.queued is not None:
                self._reply(session, error("ERR MULTI calls can not be nested"))
                return
            session.queued = []
            self._reply(session, OK)
        elif spec.name == "watch":
            self._watch(session, spec, args)
        elif spec.name == "unwatch":
            self._release(session)
            self._reply(session, OK)
        elif session.queued is None:
            self._reply(session, error(f"ERR {spec.name.upper()} without MULTI"))
        elif spec.name == "discard":
            session.forget_transaction()
            self._release(session)
            self._reply(session, OK)
        else:
            self._exec(session)

    def _exec(self, session: Session) -> None:
        """Send the whole transaction as one request: contiguous on one connection, never split."""
        queued, has_failed, slots = session.queued or [], session.transaction_failed, session.queued_slots
        session.forget_transaction()
        if has_failed or self._draining:
            self._release(session)
            self._reply(
                session,
                error("EXECABORT Transaction discarded because of previous errors.")
                if has_failed
                else refusal(self.settings.limits.retry_after_max_ms * 1_000),
            )
            return
        slots = slots or list(session.watching)
        if not queued and not session.lease:
            self._reply(session, b"*0\r\n")
            return
        writes = any(is_write for _, is_write in queued)
        rule = self._classifier.class_of_transaction(writes, session.user, session.name)
        if session.lease and not writes:
            rule = PINNED
        quota_retry_us, key = 0, queued[0][0][1:2] if queued else []
        version = 0
        if self._gate.on and queued:
            version, version_retry_us = self._choose_version(session, rule, slots)
            if version_retry_us:
                self._release(session)
                self._reply(session, unserved(version, version_retry_us))
                return
            quota_retry_us = self._check_quota(session, rule, "exec", key, len(queued))
            if quota_retry_us > 0:
                self._release(session)
                self._reply(session, over_quota(quota_retry_us))
                return
        parts = [
            b"*1\r\n$5\r\nMULTI\r\n",
            *(encode_command(args) for args, _ in queued),
            b"*1\r\n$4\r\nEXEC\r\n",
        ]
        request = self._new_request(session, rule, slots, writes, b"".join(parts), len(queued) + 2)
        request.is_transaction = request.is_exec = True
        request.version = version
        request.lease = session.lease
        if not session.lease and rule.wait_replicas:
            request.alone = True
        if quota_retry_us:  # `GRANT_PENDING`
            self._wait_for_grant(request, "exec", key, len(queued))
        self._add_request(session, request)

    def _watch(self, session: Session, spec: Spec, args: list[bytes]) -> None:
        """Handle WATCH: it reserves a connection to the group's primary for the client until EXEC or UNWATCH."""
        if session.queued is not None:
            self._reply(session, error("ERR WATCH inside MULTI is not allowed"))
            return
        slots = slots_of(spec.keys(args))
        if self._classifier.group_of([*slots, *session.watching]) is None:
            self._reply(session, error("CROSSSLOT Keys in request don't hash to the same slot"))
            return
        if self._draining:
            self._reply(session, refusal(self.settings.limits.retry_after_max_ms * 1_000))
            return
        quota_retry_us, keys = 0, spec.keys(args)
        if self._gate.on:
            quota_retry_us = self._check_quota(session, PINNED, spec.name, keys, 1)
            if quota_retry_us > 0:
                self._reply(session, over_quota(quota_retry_us))
                return
        if not session.lease:
            self._last_lease += 1
            session.lease, session.lease_box, session.lease_lost = self._last_lease, "", False
        session.watching += [slot for slot in slots if slot not in session.watching]
        request = self._new_request(session, PINNED, slots, True, encode_command(args))
        request.lease, request.is_watch = session.lease, True
        if quota_retry_us:  # `GRANT_PENDING`
            self._wait_for_grant(request, spec.name, keys, 1)
        self._add_request(session, request)

    def _end_lease(self, request: PendingRequest) -> None:
        """Give up the lease of a request that was refused or has failed."""
        session = self._sessions.get(request.client)
        if session is not None and request.lease and session.lease == request.lease:
            session.lease_lost = True
            if request.is_exec:
                self._release(session)

    def _lose_lease(self, request: PendingRequest) -> None:
        """Record that a client's reserved connection has ended, and that its keys are no longer watched."""
        session = self._sessions.get(request.client)
        if session is not None and session.lease == request.lease:
            session.lease_lost = True

    def _end_unwatched(self, request: PendingRequest) -> None:
        """Answer a request whose lease is lost: EXEC as if a watched key had changed (it may have), WATCH as usual."""
        null = encode(Null(b"*" if request.protocol == 2 else b"_"), request.protocol)
        session = self._sessions.get(request.client)
        if session is not None and request.is_exec and session.lease == request.lease:
            self._release(session)
        self.counts["served"] += 1
        self._out.append(m.Counted(request.rule.name, "served", self._now - request.arrived_us))
        self._finish(request, null if request.is_exec else OK)

    def _release(self, session: Session) -> None:
        """Release a client's reserved connection, if it has one, and forget its watched keys."""
        if session.lease:
            self._out.append(m.Release(session.lease, session.lease_box))
        session.lease, session.lease_box, session.lease_lost, session.watching = 0, "", False, []
