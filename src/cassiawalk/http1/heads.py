"""Checks of request heads that h11 leaves to its user, and helpers for headers."""

import re
import typing as t

import h11

Headers = t.Sequence[tuple[bytes, bytes]]

HEAD_END = b"\r\n\r\n"

_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_BARE_CARRIAGE_RETURN = re.compile(rb"\r(?!\n)")
_FOLDED_LINE = re.compile(rb"\r\n[ \t]")
# h11 merges equal Content-Length lines into one, so the raw lines have to be counted.
_FRAMING_LINE = re.compile(rb"\r\n(?:content-length|transfer-encoding)[ \t]*:", re.IGNORECASE)

# Hop-by-hop headers (RFC 9110, section 7.6.1) concern one connection and are never forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"proxy-authorization",
        b"proxy-authenticate",
    )
)


class HeadError(Exception):
    """A request that can't be forwarded; ``status`` is the HTTP status of the refusal."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


def check_raw_head(head: bytes) -> None:
    """Refuse a head that two parsers could read differently (request smuggling).

    :raises HeadError: for a bare line feed, a bare carriage return, a folded line, a NUL byte, or
        more than one Content-Length or Transfer-Encoding line.
    """
    check_raw_lines(head, 0, len(head))
    if len(_FRAMING_LINE.findall(head)) > 1:
        raise HeadError(400, "the request's length is given more than once")


def check_raw_lines(head: bytes | bytearray, start: int, end: int) -> None:
    """Refuse a part of a head, as ``check_raw_head`` does except for its framing lines.

    :param start: where the part begins; what is before it has been checked.
    :param end: where the part ends; it must not be between a carriage return and a line feed.
    """
    if _BARE_LINE_FEED.search(head, start, end):
        raise HeadError(400, "a line of the head ends without a carriage return")
    if _BARE_CARRIAGE_RETURN.search(head, start, end):
        raise HeadError(400, "the head holds a carriage return inside a line")
    if _FOLDED_LINE.search(head, max(0, start - 2), end):
        raise HeadError(400, "a header is folded over two lines")
    if head.find(b"\0", start, end) >= 0:
        raise HeadError(400, "the head holds a NUL byte")


def check_request(request: h11.Request) -> None:
    """Refuse a request whose target or host is ambiguous.

    :raises HeadError: if the target is not a path, or there is not exactly one Host header.
    """
    if not request.target.startswith(b"/"):
        raise HeadError(400, "the request's target is not a path")
    names = [name for name, _ in request.headers]
    if names.count(b"host") != 1:
        raise HeadError(400, "the request needs exactly one Host header")


def forwardable(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers in their order and case.

    A length beside chunks is dropped, as it does not count (RFC 9112, section 6.3).
    """
    dropped = CONNECTION_HEADERS | _named_by_connection(headers)
    if header_value(headers, b"transfer-encoding") is not None:
        dropped |= {b"content-length"}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    named = [value for name, value in headers if name.lower() == b"connection"]
    return frozenset(token.strip().lower() for value in named for token in value.split(b","))


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is in lower case."""
    for found, value in headers:
        if found.lower() == name:
            return value
    return None
