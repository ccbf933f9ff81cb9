"""The commands that the gateway answers itself: connection commands and INFO. No I/O.

Their behaviour follows their pages on redis.io.
"""

from collections.abc import Callable, Mapping

from oatlink import __version__
from oatlink.core.commands import COMMANDS, Kind, Spec
from oatlink.core.sessions import Session
from oatlink.protocols.resp import OK, Array, Error, Map, Null, Simple, Value, bulk, encode
from oatlink.settings.model import Settings

SERVER_VERSION = "7.4.0"  # the server version of the command table; clients choose features by it
Answerer = Callable[[Session, list[bytes]], bytes]


def _wrong_arity(name: str) -> bytes:
    return encode(Error(b"ERR wrong number of arguments for '%b' command" % name.encode()))


def _unknown_subcommand(name: str, sub: bytes) -> bytes:
    return encode(Error(b"ERR unknown subcommand '%b'. Try %b HELP." % (sub[:64], name.upper().encode())))


class Local:
    """Answers local commands for one gateway. `info` returns the sections of INFO."""

    def __init__(self, settings: Settings, info: Callable[[], Mapping[str, Mapping[str, object]]]) -> None:
        self._passwords = {user.name: user.password for user in settings.users}
        self._info = info
        self._answer: dict[str, Answerer] = {
            "ping": self._ping,
            "echo": lambda _, args: bulk(args[1]),
            "hello": self._hello,
            "auth": self._auth,
            "client": self._client,
            "command": self._command,
            "select": self._select,
            "info": self._info_command,
            "readonly": lambda *_: OK,
            "readwrite": lambda *_: OK,
            "asking": lambda *_: OK,
            "quit": lambda *_: OK,
            "reset": self._reset,
            "lolwut": lambda *_: bulk(b"oatlink\n"),
        }

    def answer(self, spec: Spec, session: Session, args: list[bytes]) -> bytes:
        """Return the answer to a local command, and change the session if the command does so."""
        return self._answer[spec.name](session, args)

    def admits(self, session: Session, spec: Spec) -> bool:
        """Whether a client may use a command: if there are users in the settings, it must log in first."""
        return not self._passwords or bool(session.user) or spec.name in ("auth", "hello", "quit", "reset")

    def _ping(self, session: Session, args: list[bytes]) -> bytes:
        if len(args) > 2:
            return _wrong_arity("ping")
        return bulk(args[1]) if len(args) == 2 else b"+PONG\r\n"

    def _login(self, session: Session, user: bytes, password: bytes) -> bytes | None:
        if not self._passwords:
            if user == b"default":
                session.user = "default"
                return None
            return encode(Error(b"WRONGPASS invalid username-password pair or user is disabled."))
        name = user.decode("utf-8", "replace")
        if self._passwords.get(name) != password.decode("utf-8", "replace"):
            return encode(Error(b"WRONGPASS invalid username-password pair or user is disabled."))
        session.user = name
        return None

    def _auth(self, session: Session, args: list[bytes]) -> bytes:
        if len(args) > 3:
            return encode(Error(b"ERR syntax error"))
        if len(args) == 2 and not self._passwords:
            return encode(
                Error(
                    b"ERR AUTH <password> called without any password configured for the default user. "
                    b"Are you sure your configuration is correct?"
                )
            )
        user = args[1] if len(args) == 3 else b"default"
        return self._login(session, user, args[-1]) or OK

    def _hello(self, session: Session, args: list[bytes]) -> bytes:
        protocol, index, name = session.protocol, 2, None
        if len(args) > 1:
            if not args[1].isdigit() or len(args[1]) > 9:
                return encode(Error(b"ERR Protocol version is not an integer or out of range"))
            protocol = int(args[1])
            if protocol not in (2, 3):
                return encode(Error(b"NOPROTO unsupported protocol version"))
        while index < len(args):
            option = args[index].upper()
            if option == b"AUTH" and index + 2 < len(args):
                login_error = self._login(session, args[index + 1], args[index + 2])
                if login_error is not None:
                    return login_error
                index += 3
            elif option == b"SETNAME" and index + 1 < len(args):
                name = args[index + 1]
                if not _is_valid_name(name):
                    return _INVALID_NAME
                index += 2
            else:
                return encode(Error(b"ERR Syntax error in HELLO option '%b'" % args[index][:64]))
        if self._passwords and not session.user:
            return encode(
                Error(
                    b"NOAUTH HELLO must be called with the client already authenticated, otherwise the "
                    b"HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and "
                    b"select the RESP protocol version at the same time"
                )
            )
        session.protocol = protocol
        if name is not None:
            session.name = name.decode()
        pairs: tuple[tuple[Value, Value], ...] = (
            (b"server", b"redis"),
            (b"version", SERVER_VERSION.encode()),
            (b"proto", protocol),
            (b"id", session.client),
            (b"mode", b"standalone"),
            (b"role", b"master"),
            (b"modules", Array(())),
        )
        return encode(Map(pairs), protocol)

    def _client(self, session: Session, args: list[bytes]) -> bytes:
        sub = args[1].upper()
        if sub == b"SETNAME" and len(args) == 3:
            if not _is_valid_name(args[2]):
                return _INVALID_NAME
            session.name = args[2].decode()
            return OK
        if sub == b"GETNAME" and len(args) == 2:
            return bulk(session.name.encode()) if session.name else encode(Null(), session.protocol)
        if sub == b"ID" and len(args) == 2:
            return encode(session.client)
        if sub == b"SETINFO" and len(args) == 4:
            if args[2].upper() not in (b"LIB-NAME", b"LIB-VER"):
                return encode(Error(b"ERR Unrecognized option '%b'" % args[2][:64]))
            return OK
        if sub == b"INFO" and len(args) == 2:
            return bulk(self._client_line(session))
        if sub == b"LIST":
            return bulk(self._client_line(session))
        if sub in (b"NO-EVICT", b"NO-TOUCH") and len(args) == 3:
            return OK
        if sub == b"REPLY" and len(args) == 3 and args[2].upper() == b"ON":
            return OK
        if sub in (b"TRACKING", b"CACHING", b"REPLY", b"KILL", b"PAUSE", b"UNPAUSE", b"UNBLOCK"):
            return encode(Error(b"ERR CLIENT %b is not served by this gateway" % sub))
        return _unknown_subcommand("client", args[1])

    @staticmethod
    def _client_line(session: Session) -> bytes:
        return (
            f"id={session.client} addr={session.peer} name={session.name} db=0 "
            f"multi={-1 if session.queued is None else len(session.queued)} "
            f"user={session.user or 'default'} resp={session.protocol}\n"
        ).encode()

    def _command(self, session: Session, args: list[bytes]) -> bytes:
        sub = args[1].upper() if len(args) > 1 else b""
        names = sorted({spec.name for spec in COMMANDS.values()})
        if sub == b"COUNT":
            return encode(len(names))
        if sub == b"LIST":
            return encode(Array(tuple(name.encode() for name in names)))
        if sub in (b"", b"INFO"):
            wanted = [name.lower() for name in args[2:]] or [name.encode() for name in names]
            return encode(Array(tuple(_command_info(COMMANDS.get(name)) for name in wanted)), session.protocol)
        if sub == b"DOCS":
            wanted = [name.lower() for name in args[2:]] or [name.encode() for name in names]
            pairs: list[tuple[Value, Value]] = []
            for name in wanted:
                spec = COMMANDS.get(name)
                if spec is not None:
                    pairs.append((name, Map(((b"summary", spec.kind.value.encode()), (b"arity", spec.arity)))))
            return encode(Map(tuple(pairs)), session.protocol)
        if sub == b"GETKEYS" and len(args) > 2:
            spec = COMMANDS.get(args[2].lower())
            if spec is None or not spec.arity_fits(len(args) - 2):
                return encode(Error(b"ERR Invalid command specified"))
            try:
                keys = spec.keys(args[2:])
            except ValueError as error:
                return encode(Error(str(error).encode()))
            return encode(Array(tuple(keys)) if keys else Error(b"ERR The command has no key arguments"))
        return _unknown_subcommand("command", args[1])

    def _select(self, session: Session, args: list[bytes]) -> bytes:
        if not args[1].lstrip(b"-").isdigit():
            return encode(Error(b"ERR invalid DB index"))
        return OK if args[1] == b"0" else encode(Error(b"ERR DB index is out of range"))

    def _info_command(self, session: Session, args: list[bytes]) -> bytes:
        wanted = [section.decode("utf-8", "replace").lower() for section in args[1:]]
        everything = not wanted or bool({"all", "everything", "default"} & set(wanted))
        lines = []
        for section, values in self._info().items():
            if everything or section in wanted:
                lines.append(f"# {section.capitalize()}\r\n")
                lines += [f"{name}:{value}\r\n" for name, value in values.items()]
                lines.append("\r\n")
        return bulk("".join(lines).encode())

    def _reset(self, session: Session, args: list[bytes]) -> bytes:
        session.protocol, session.name, session.user = 2, "", ""
        return encode(Simple(b"RESET"))


def server_section(started_us: int, now_us: int) -> dict[str, object]:
    """The server section of a gateway's INFO."""
    return {
        "redis_version": SERVER_VERSION,
        "oatlink_version": __version__,
        "redis_mode": "standalone",
        "uptime_in_seconds": (now_us - started_us) // 1_000_000,
    }


_INVALID_NAME = encode(Error(b"ERR Client names cannot contain spaces, newlines or special characters."))


def _is_valid_name(name: bytes) -> bool:
    return len(name) <= 256 and all(0x21 <= byte <= 0x7E for byte in name)


def _command_info(spec: Spec | None) -> Value:
    """An element of the answer to COMMAND INFO."""
    if spec is None:
        return Null(b"*")
    flags: dict[Kind, tuple[bytes, ...]] = {
        Kind.READ: (b"readonly",),
        Kind.WRITE: (b"write",),
        Kind.SCRIPT: (b"noscript", b"movablekeys"),
        Kind.BLOCKING: (b"blocking",),
        Kind.LOCAL: (b"fast",),
        Kind.TRANSACTION: (b"fast",),
        Kind.KEYLESS: (b"write",),
        Kind.KEYLESS_READ: (b"readonly",),
    }
    return Array(
        (
            spec.name.encode(),
            spec.arity,
            Array(tuple(Simple(flag) for flag in flags[spec.kind])),
            spec.first,
            spec.last,
            spec.step if spec.first else 0,
        )
    )
