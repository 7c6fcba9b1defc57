"""Responses to requests that a connection can't take."""

import eliot
import h11

NOT_TAKEN_STATUS = 503  # the request is in order, and has not run
BUSY_RETRY_S = b"0.3"  # in seconds


def build_refusal(status: int, reason: str) -> bytes:
    """Return a response that closes the connection, and log the refusal."""
    event = "caller:not-taken" if status == NOT_TAKEN_STATUS else "caller:malformed"
    eliot.log_message(message_type=event, status=status, reason=reason)
    body = reason.encode()
    response = h11.Response(
        status_code=status,
        headers=[
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
            *([(b"Retry-After", BUSY_RETRY_S)] if status == NOT_TAKEN_STATUS else []),
        ],
    )
    writer = h11.Connection(h11.SERVER)
    parts = [writer.send(response), writer.send(h11.Data(data=body))]
    return b"".join(part for part in parts if part)
