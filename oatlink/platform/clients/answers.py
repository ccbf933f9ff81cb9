"""Encoded messages that the gateway itself sends to clients, in place of a server's answer."""

from oatlink.protocols import pgwire as pg

READY = pg.make_ready().encode()
GREETING = b"".join(
    message.encode()
    for message in (
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
EMPTY_QUERY = pg.Message(b"I", b"").encode() + READY
SSL_DECLINED = b"N"


def error(sqlstate: str, text: str) -> bytes:
    """Return the answer to a client's mistake, after which the connection continues."""
    return pg.make_error(sqlstate, text).encode() + READY


def refusal(retry_after_us: int) -> bytes:
    """Return a refusal, after which a retry is harmless; its detail is the time until then in milliseconds."""
    detail = str(-(-retry_after_us // 1000)) if retry_after_us > 0 else ""
    return pg.make_error("53300", "refused, try again", detail=detail).encode() + READY


FAILED = error("58000", "failed")
TOO_MANY_CONNECTIONS = pg.make_error("53300", "too many connections, try again", "FATAL").encode()
QUERY_TIMEOUT = pg.make_error("57P05", "expected a whole query by now", "FATAL").encode()
TOO_MANY_QUERIES = pg.make_error("53300", "too many queries at once, try again", "FATAL").encode()
OUT_OF_MEMORY = pg.make_error("53300", "out of memory for large queries, try again", "FATAL").encode()
