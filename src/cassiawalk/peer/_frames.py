"""Encodes and decodes frames. A frame is a CBOR list of a call number and one message."""

import dataclasses

import cbor2

from cassiawalk.errors import WireError
from cassiawalk.peer.messages import PeerFault
from cassiawalk.peer.messages import SharedMessage
from cassiawalk.peer.messages import messages
from cassiawalk.wire import load

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_CALLS = 1024  # under way on one connection; each holds a task and its message at both hosts
SECRET_HEADER = "x-cassiawalk-peer"
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 4.0
_PAIR = b"\x82"  # begins a CBOR list of two
CLOSE_TIMEOUT_S = 0.3  # a peer on a silent link does not answer a close


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadMessage:
    """Stands for a message that can't be decoded, in a frame whose call number is known."""

    reason: str

    def fault(self) -> PeerFault:
        """Return the fault with which the call is answered."""
        return PeerFault(reason=f"the message can't be decoded: {self.reason}")


def encode_frame(number: int, message: object) -> bytes:
    """Return the frame of a message as bytes."""
    if isinstance(message, SharedMessage):
        return _PAIR + cbor2.dumps(number) + message.encoded
    return cbor2.dumps([number, messages.to_plain(message)])


def decode_frame(data: bytes | str) -> tuple[int, object | None]:
    """Return a frame's call number and message; the message is None if its tag is unknown.

    A known message with invalid fields is returned as ``BadMessage``, so that only its own call
    fails.

    :raises WireError: if the data is not a frame.
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
