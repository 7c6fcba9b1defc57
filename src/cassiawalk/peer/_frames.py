"""Frames: a call number and one message, as CBOR."""

import dataclasses

import cbor2

from cassiawalk.errors import WireError
from cassiawalk.peer.messages import PeerFault
from cassiawalk.peer.messages import messages
from cassiawalk.wire import load

MAX_FRAME_BYTES = 64 * 1024 * 1024
SECRET_HEADER = "x-cassiawalk-peer"
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadMessage:
    """A message that can't be decoded, in a frame whose call number is known."""

    reason: str

    def fault(self) -> PeerFault:
        """Return the reply to the call."""
        return PeerFault(reason=f"the message can't be decoded: {self.reason}")


def encode_frame(number: int, message: object) -> bytes:
    """Return the bytes of a frame."""
    return cbor2.dumps([number, messages.to_plain(message)])


def decode_frame(data: bytes | str) -> tuple[int, object | None]:
    """Return a frame's call number and message; None stands for an unknown message.

    A known message with wrong fields is returned as ``BadMessage``, so that it fails its own call.

    :raises WireError: if the bytes are not a frame.
    """
    if isinstance(data, str):
        raise WireError("expected a binary frame")
    plain = load(data)
    if not isinstance(plain, list) or len(plain) != 2 or not isinstance(plain[0], int):
        raise WireError("expected a call number and a message")
    try:
        return plain[0], messages.from_plain(plain[1])
    except (WireError, AttributeError, TypeError, ValueError) as exc:
        return plain[0], BadMessage(reason=str(exc))
