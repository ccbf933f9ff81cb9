"""What clients are answered, in bytes, where a server's own answer is not what they get."""

from oatlink.protocols import pgwire as pg

READY = pg.make_ready().encode()
GREETING = b"".join(
    one.encode()
    for one in (
        pg.make_authentication(0),
        pg.make_status("server_version", "16.0 (oatlink)"),
        pg.make_status("server_encoding", "UTF8"),
        pg.make_status("client_encoding", "UTF8"),
        pg.make_status("DateStyle", "ISO, MDY"),
        pg.make_status("integer_datetimes", "on"),
        pg.make_status("standard_conforming_strings", "on"),
        pg.make_ready(),
    )
)
EMPTY = pg.Message(b"I", b"").encode() + READY
NO_SSL = b"N"


def error(sqlstate: str, text: str) -> bytes:
    """A mistake's answer, after which the connection goes on."""
    return pg.make_error(sqlstate, text).encode() + READY


def refusal(retry_after_us: int) -> bytes:
    """Refused: trying again is harmless, after so many milliseconds."""
    detail = str(-(-retry_after_us // 1000)) if retry_after_us > 0 else ""
    return pg.make_error("53300", "refused, try again", detail=detail).encode() + READY


FAILED = error("58000", "failed")
TURNED_AWAY = pg.make_error("53300", "too many connections, try again", "FATAL").encode()
TOO_SLOW = pg.make_error("57P05", "expected a whole query by now", "FATAL").encode()
