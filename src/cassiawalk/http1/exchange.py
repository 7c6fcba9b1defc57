"""One request of a caller and the means to answer it."""

import abc
import asyncio
import dataclasses

import h11

from cassiawalk.http1 import heads


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on callers: sizes in bytes, time-outs in seconds."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4194304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class ExchangeHandler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, exchange: "Exchange") -> None:
        """Answer one request; if the caller disconnects, the task is cancelled unless shielded."""


class Exchange:
    """One request of a caller, with methods that write its answer.

    ``received_at`` is the event loop's time in seconds when the request had arrived completely.
    """

    def __init__(
        self, *, request: h11.Request, body: bytes, conn: "AnswerWriter", received_at: float
    ) -> None:
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.headers: heads.Headers = list(request.headers.raw_items())
        self.body = body
        self.received_at = received_at
        self.head_sent = False
        self.caller_left = False
        self._conn = conn

    @property
    def ended(self) -> bool:
        """Return whether the complete answer has been written, or the connection is closed."""
        return self.caller_left or not self._conn.serves(self)

    def check_caller(self) -> bool:
        """Return whether the caller is still connected.

        A busy host may be seconds behind with what arrives, so the connection itself is asked.
        """
        if not self.caller_left and self._conn.has_peer_left():
            self.caller_left = True
        return not self.caller_left

    def send_head(self, status: int, headers: heads.Headers, reason: bytes = b"") -> None:
        """Write the head of the answer; without a Content-Length the body is sent in chunks."""
        self.head_sent = True
        self._conn.write_head(self, status, headers, reason)

    def send_data(self, data: bytes) -> None:
        """Write a piece of the body."""
        self._conn.write(self, h11.Data(data=data))

    def finish(self) -> None:
        """End the answer as complete."""
        self._conn.write(self, h11.EndOfMessage())

    def answer(self, status: int, headers: heads.Headers, body: bytes) -> None:
        """Write a complete answer."""
        self.send_head(status, [*headers, (b"Content-Length", str(len(body)).encode())])
        if body and self.method != b"HEAD":
            self.send_data(body)
        self.finish()

    def abort(self, *, discard: bool = False) -> None:
        """End the connection, so that a partial answer can't look complete.

        :param discard: whether to drop what is written and not sent yet, and reset the connection
            at once. Else the caller first gets what was written.
        """
        self._conn.reset(self, discard=discard)

    async def writable(self) -> None:
        """Wait while the connection's write buffer is too full for more data."""
        await self._conn.can_write.wait()


class AnswerWriter(abc.ABC):
    """The connection of a caller, as far as an exchange needs it.

    ``can_write`` is set unless the connection's write buffer is too full.
    """

    can_write: asyncio.Event

    @abc.abstractmethod
    def has_peer_left(self) -> bool:
        """Return whether the caller has closed, also if the event loop has not processed it yet."""

    @abc.abstractmethod
    def serves(self, exchange: Exchange) -> bool:
        """Return whether the answer to ``exchange`` is still being written."""

    @abc.abstractmethod
    def write_head(
        self, exchange: Exchange, status: int, headers: heads.Headers, reason: bytes
    ) -> None:
        """Write a head."""

    @abc.abstractmethod
    def write(self, exchange: Exchange, event: h11.Event) -> None:
        """Write a part of the answer, unless the caller has disconnected."""

    @abc.abstractmethod
    def reset(self, exchange: Exchange, *, discard: bool) -> None:
        """End the connection if it still serves ``exchange``, see ``Exchange.abort``."""
