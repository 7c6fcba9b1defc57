"""Helpers that the HTTP clients share."""

import collections.abc as cabc
import typing as t

import aiosonic
import aiosonic.exceptions
import aiosonic.pools
import aiosonic.timeout

from cassiawalk.errors import WireError

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 512
_NO_CONTENT = 204
_FINAL_STATUSES = range(200, 600)
_STATUS_DIGITS = 3

# aiosonic raises ValueError for a truncated chunked answer, and IncompleteReadError (an EOFError)
# for a truncated answer with a length.
LOST_ANSWER_ERRORS: tuple[type[BaseException], ...] = (
    OSError,
    EOFError,
    ValueError,
    TimeoutError,
    aiosonic.exceptions.BaseTimeout,
    aiosonic.exceptions.ConnectionDisconnected,
    aiosonic.exceptions.ConnectionPoolAcquireTimeout,
    aiosonic.exceptions.HttpParsingError,
)
# A malformed answer is treated like a lost one.
UNUSABLE_ANSWER_ERRORS: tuple[type[BaseException], ...] = (
    *LOST_ANSWER_ERRORS,
    WireError,
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
)
NOT_SENT_ERRORS: tuple[type[BaseException], ...] = (
    ConnectionRefusedError,
    aiosonic.exceptions.ConnectTimeout,
)


def new_client(*, answer_timeout_s: float | None = ANSWER_TIMEOUT_S) -> aiosonic.HTTPClient:
    """Return an HTTP client that opens a connection for each call.

    The library takes the next bytes on a kept connection for the answer to the next call, also if
    they are a second copy of the answer before.

    :param answer_timeout_s: limit for each read and for the whole exchange, in seconds; None for no
        limit, as for streams.
    """
    pool = aiosonic.pools.PoolConfig(size=MAX_CONNECTIONS, max_conn_requests=0)
    timeouts = aiosonic.timeout.Timeouts(
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=answer_timeout_s,
        request_timeout=answer_timeout_s,
    )
    connector = aiosonic.TCPConnector(pool_configs={":default": pool}, timeouts=timeouts)
    return aiosonic.HTTPClient(connector)


async def complete_body(res: aiosonic.HttpResponse) -> bytes:
    """Return the body of an answer, and refuse one whose status or end can't be known.

    :raises ValueError: if the status is none of HTTP's, or the head announces neither a length nor
        chunks; aiosonic reads a truncated head as such an answer with an empty body.
    """
    status = res.response_initial["code"]
    if len(status) != _STATUS_DIGITS or int(status) not in _FINAL_STATUSES:
        raise ValueError(f"status {status} is not one of 200 to 599")
    framed = "content-length" in res.headers or "transfer-encoding" in res.headers
    if not framed and res.status_code != _NO_CONTENT:
        raise ValueError("the answer's head announces no body length")
    return bytes(await res.content())


async def close_client(client: aiosonic.HTTPClient) -> None:
    """Close the client's pooled connections."""
    await client.connector.cleanup()


async def sse_data(chunks: cabc.AsyncIterator[bytes]) -> cabc.AsyncGenerator[list[bytes], None]:
    """Yield the ``data:`` payloads of a server-sent event stream, one list per network chunk."""
    rest = b""
    async for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        found = [line[5:].strip() for line in lines if line.startswith(b"data:")]
        if found:
            yield found


def header_float(headers: t.Mapping[str, str], name: str) -> float | None:
    """Return a header as a number, or None if it is absent or malformed."""
    try:
        return float(headers[name])
    except (KeyError, ValueError):
        return None
