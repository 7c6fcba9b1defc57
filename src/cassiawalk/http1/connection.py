"""One connection to an upstream, used for one request at a time."""

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import socket
import typing as t

import eliot
import h11

from cassiawalk.http1 import heads

KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 3
UNACKED_LIMIT_MS = 3000
QUEUED_EVENTS = 256  # answers' parts that wait for a slow caller before reading pauses


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    reason: bytes
    headers: heads.Headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerData:
    """A part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerEnd:
    """The answer is whole."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerBroken:
    """The connection ended, or what came is no answer.

    ``closed_before_answer`` is set if the upstream closed before any byte of an answer came.
    """

    reason: str
    closed_before_answer: bool = False


AnswerEvent = AnswerHead | AnswerData | AnswerEnd | AnswerBroken

ForeignCheck = cabc.Callable[[AnswerHead], bool]


class UpstreamConnection(asyncio.Protocol):
    """Sends a request and yields its answer's events.

    Bytes that come while no request is under way belong to none: they close the connection. An
    answer to another request is read over, and the answer that follows it is taken instead.

    :param on_closed: called once when the connection is gone.
    """

    def __init__(self, *, on_closed: cabc.Callable[["UpstreamConnection"], None]) -> None:
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._is_foreign: ForeignCheck | None = None
        self._skipping = False
        self._events: collections.deque[AnswerEvent] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._answer_begun = False
        self._close_after = False
        self.closed = False
        self.idle_since = self._loop.time()
        self.keepalive_timeout_s: float | None = None
        self.requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up so that a silent path is noticed."""
        self._transport = t.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: heads.Headers,
        body: bytes,
        is_foreign: ForeignCheck,
    ) -> None:
        """Write a request; its answer's events come from ``next_event``."""
        self.requests += 1
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        self._is_foreign = is_foreign
        self._events.clear()
        self._answer_begun = self._skipping = False
        data = self._start_http(body)
        self._transport.write(data)

    async def next_event(self) -> AnswerEvent:
        """Return the next event of the answer, in order."""
        while not self._events:
            self._waiter = self._loop.create_future()
            await self._waiter
        event = self._events.popleft()
        if len(self._events) == QUEUED_EVENTS // 2 and not self.closed:
            self._transport.resume_reading()
        return event

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent: the last one and its answer are whole."""
        return (
            not self.closed
            and not self._close_after
            and self._request is None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def close(self) -> None:
        """Close at once; an upstream takes it as the end of interest in its answer."""
        if not self.closed:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if self._request is None:
            eliot.log_message(message_type="upstream:stray-bytes", count=len(data))
            self._close_after = True
            self.close()
            return
        self._answer_begun = True
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._break(f"not an answer: {exc}")

    def eof_received(self) -> bool:
        """Take the end of the stream, which ends an answer without a length."""
        if self._request is None:
            return False
        unused = not self._answer_begun
        try:
            self._http.receive_data(b"")
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._break(f"cut: {exc}", closed_before_answer=unused)
        if self._request is not None:
            self._break("closed before the end of the answer", closed_before_answer=unused)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the loss; an answer under way is broken by it."""
        self.closed = True
        if self._request is not None:
            reason = "reset" if exc is not None else "closed"
            self._break(reason, closed_before_answer=not self._answer_begun)
        self._on_closed(self)

    def _start_http(self, body: bytes) -> bytes:
        assert self._request is not None
        self._http = h11.Connection(h11.CLIENT)
        parts = [self._http.send(self._request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._body = body
        return b"".join(part for part in parts if part)

    def _read_events(self) -> None:
        while self._request is not None:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                if not self._skipping:
                    self._put(AnswerData(data=bytes(event.data)))
            elif isinstance(event, h11.EndOfMessage):
                self._take_end()
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                return

    def _take_head(self, event: h11.Response) -> None:
        head = AnswerHead(
            status=event.status_code,
            reason=bytes(event.reason),
            headers=list(event.headers.raw_items()),
        )
        assert self._is_foreign is not None
        self._skipping = self._is_foreign(head)
        self._note_keeping(head.headers)
        if not self._skipping:
            self._put(head)

    def _take_end(self) -> None:
        rest = self._http.trailing_data[0]
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            self._close_after = True
        if self._skipping:
            self._skip_to_next(rest)
            return
        if rest:
            eliot.log_message(message_type="upstream:stray-bytes", count=len(rest))
            self._close_after = True
        self._request = None
        self.idle_since = self._loop.time()
        self._put(AnswerEnd())

    def _skip_to_next(self, rest: bytes) -> None:
        """Go on after an answer to another request."""
        eliot.log_message(message_type="upstream:foreign-answer", more_bytes=len(rest))
        self._skipping = False
        if self._close_after:
            self._break("only an answer to another request came")
            self.close()
            return
        self._start_http(self._body)
        if rest:
            self._http.receive_data(rest)

    def _note_keeping(self, headers: heads.Headers) -> None:
        keeping = heads.header_value(headers, b"keep-alive")
        if keeping is None:
            return
        for part in keeping.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.keepalive_timeout_s = float(value)

    def _break(self, reason: str, *, closed_before_answer: bool = False) -> None:
        self._request = None
        self._close_after = True
        self._put(AnswerBroken(reason=reason, closed_before_answer=closed_before_answer))

    def _put(self, event: AnswerEvent) -> None:
        self._events.append(event)
        if len(self._events) == QUEUED_EVENTS:
            self._transport.pause_reading()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def enable_keepalive(sock: socket.socket) -> None:
    """Let the system end a connection whose other side is silent, busy or idle."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_LIMIT_MS)
