"""How the end of an answer's body is told (RFC 9112, section 6.3), and how its bytes ended."""

import enum

from cassiawalk.http1.heads import Headers
from cassiawalk.http1.heads import header_value

_STATUSES_WITHOUT_BODY = (204, 304)


class Framing(enum.Enum):
    """How the end of an answer's body is told.

    - LENGTH: by its length, which is 0 for an answer that has no body.
    - CHUNKS: by its last chunk.
    - CONNECTION: only by the end of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Ending(enum.Enum):
    """How the bytes of an answer ended.

    - COMPLETE: the last byte that its framing announces arrived.
    - CLOSED: the connection was closed in order.
    - RESET: the connection was reset, or the network path to the upstream was lost.
    - INVALID: bytes arrived that are not valid HTTP.
    """

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    INVALID = "invalid"


def answer_framing(*, method: bytes, status: int, headers: Headers) -> Framing:
    """Return how the body of an answer to a request with this method is framed."""
    if method == b"HEAD" or status in _STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if header_value(headers, b"transfer-encoding") is not None:
        return Framing.CHUNKS
    if header_value(headers, b"content-length") is not None:
        return Framing.LENGTH
    return Framing.CONNECTION
