"""Frames: a call number and one message, as CBOR."""

import cbor2

from cassiawalk.errors import WireError
from cassiawalk.peer.messages import messages
from cassiawalk.wire import load

MAX_FRAME_BYTES = 64 * 1024 * 1024
SECRET_HEADER = "x-cassiawalk-peer"


def encode_frame(number: int, message: object) -> bytes:
    """Return the bytes of a frame."""
    return cbor2.dumps([number, messages.to_plain(message)])


def decode_frame(data: bytes | str) -> tuple[int, object | None]:
    """Return a frame's call number and message; None stands for an unknown message.

    :raises WireError: if the bytes are not a frame.
    """
    if isinstance(data, str):
        raise WireError("expected a binary frame")
    plain = load(data)
    if not isinstance(plain, list) or len(plain) != 2 or not isinstance(plain[0], int):
        raise WireError("expected a call number and a message")
    return plain[0], messages.from_plain(plain[1])
