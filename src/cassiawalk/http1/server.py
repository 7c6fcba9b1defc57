"""Takes requests from connections and writes their answers, one at a time on each."""

import abc
import asyncio
import collections.abc as cabc
import dataclasses
import enum
import socket
import typing as t

import eliot
import h11

from cassiawalk.app import Component
from cassiawalk.http1 import heads

LINGER_S = 1.0  # how long a refused sender's remaining bytes are read, so that it sees the refusal
PIPELINE_BYTES = 65536
DRAIN_CHECK_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_s: float = 5.0
    idle_s: float = 30.0


class ExchangeHandler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, exchange: "Exchange") -> None:
        """Answer one request; the task is cancelled when the caller leaves, unless shielded."""


class Exchange:
    """One request of a caller and the way its answer goes back."""

    def __init__(
        self, *, request: h11.Request, body: bytes, conn: "_Connection", received_at: float
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
        """Return whether the whole answer has been written, or the connection is gone."""
        return self.caller_left or not self._conn.serves(self)

    def send_head(self, status: int, headers: heads.Headers, reason: bytes = b"") -> None:
        """Write the head of the answer; without a length the body goes out in chunks."""
        self.head_sent = True
        self._conn.write_head(self, status, headers, reason)

    def send_data(self, data: bytes) -> None:
        """Write a part of the body."""
        self._conn.write(self, h11.Data(data=data))

    def finish(self) -> None:
        """End the answer as complete."""
        self._conn.write(self, h11.EndOfMessage())

    def answer(self, status: int, headers: heads.Headers, body: bytes) -> None:
        """Write a whole answer."""
        self.send_head(status, [*headers, (b"Content-Length", str(len(body)).encode())])
        if body and self.method != b"HEAD":
            self.send_data(body)
        self.finish()

    def abort(self) -> None:
        """Cut the connection, so that an answer begun can't look complete."""
        self._conn.cut(self)

    async def writable(self) -> None:
        """Return once the caller has taken most of what was written."""
        await self._conn.can_write.wait()


class _Stage(enum.Enum):
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"
    LINGERING = "lingering"
    CLOSED = "closed"


class _Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, *, listener: "HttpListener") -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._stage = _Stage.IDLE
        self._raw = b""
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self.can_write = asyncio.Event()
        self.can_write.set()

    @property
    def busy(self) -> bool:
        """Return whether a request has begun to arrive and is not answered yet."""
        return self._stage in (_Stage.HEAD, _Stage.BODY, _Stage.ANSWERING)

    @property
    def idle(self) -> bool:
        """Return whether no byte of a request has come since the last answer."""
        return self._stage is _Stage.IDLE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        self._transport = t.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._listener.connections.add(self)
        self._expect(_Stage.IDLE, self._listener.limits.idle_s)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a head, a body, or a request that comes before its turn."""
        if self._stage is _Stage.LINGERING or self._stage is _Stage.CLOSED:
            return
        if self._stage is _Stage.BODY:
            self._read_guarded(lambda: self._feed(data))
            return
        self._raw += data
        if self._stage is _Stage.ANSWERING:
            if len(self._raw) > PIPELINE_BYTES:
                self._transport.pause_reading()
            return
        self._read_guarded(self._read_head)

    def eof_received(self) -> bool:
        """Take the end of the caller's bytes as its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what was under way for the caller."""
        self._stage = _Stage.CLOSED
        self._stop_timer()
        self._listener.connections.discard(self)
        self.can_write.set()
        if self._exchange is not None:
            self._exchange.caller_left = True
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self.can_write.set()

    def serves(self, exchange: Exchange) -> bool:
        """Return whether the answer to ``exchange`` is still being written."""
        return self._exchange is exchange

    def write_head(
        self, exchange: Exchange, status: int, headers: heads.Headers, reason: bytes
    ) -> None:
        """Write a head, with notice of the close that follows it during a drain."""
        if self._listener.draining:
            headers = [*headers, (b"Connection", b"close")]
        self.write(exchange, h11.Response(status_code=status, headers=list(headers), reason=reason))

    def write(self, exchange: Exchange, event: h11.Event) -> None:
        """Write a part of the answer; nothing if the caller has left."""
        if self._exchange is not exchange or self._stage is not _Stage.ANSWERING:
            return
        data = self._http.send(event)
        if data:
            self._transport.write(data)
        if isinstance(event, h11.EndOfMessage):
            self._end_answer()

    def cut(self, exchange: Exchange) -> None:
        """Reset the connection if it still serves ``exchange``."""
        if self._exchange is exchange and self._stage is not _Stage.CLOSED:
            self._stage = _Stage.CLOSED
            self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection if no request is under way on it."""
        if self._stage is _Stage.IDLE:
            self._stage = _Stage.CLOSED
            self._transport.close()

    def _read_guarded(self, read: cabc.Callable[[], None]) -> None:
        try:
            read()
        except heads.HeadError as exc:
            self._refuse(exc.status, exc.reason)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint, str(exc))

    def _read_head(self) -> None:
        limits = self._listener.limits
        self._raw = self._raw.lstrip(b"\r\n")  # RFC 9112, section 2.2
        if not self._raw:
            return
        if self._stage is _Stage.IDLE:
            self._expect(_Stage.HEAD, limits.head_s)
        end = self._raw.find(heads.HEAD_END)
        if end + len(heads.HEAD_END) > limits.head_bytes or (
            end < 0 and len(self._raw) > limits.head_bytes
        ):
            raise heads.HeadError(431, f"the head is longer than {limits.head_bytes} bytes")
        if end < 0:
            heads.check_raw_head(self._raw.rstrip(b"\r"))
            return
        head = self._raw[: end + len(heads.HEAD_END)]
        rest, self._raw = self._raw[len(head) :], b""
        heads.check_raw_head(head)
        # The library's own limit is on what it has not parsed; ours was checked above.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=len(head) + 1)
        self._expect(_Stage.BODY, limits.idle_s)
        self._feed(head)
        if rest and self._stage is _Stage.BODY:
            self._feed(rest)
        elif rest:
            self._raw = rest

    def _feed(self, data: bytes) -> None:
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._after_part()
                return
            if isinstance(event, h11.Request):
                heads.check_request(event)
                self._request = event
                self._check_length(event)
            elif isinstance(event, h11.Data):
                self._take_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._begin_answer()
                return
            else:
                return

    def _after_part(self) -> None:
        self._expect(_Stage.BODY, self._listener.limits.idle_s)
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(go_on) or b"")

    def _check_length(self, request: h11.Request) -> None:
        length = heads.header_value(list(request.headers), b"content-length")
        if length is not None and int(length) > self._listener.limits.body_bytes:
            raise heads.HeadError(413, self._too_long())

    def _take_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._listener.limits.body_bytes:
            raise heads.HeadError(413, self._too_long())
        self._body.append(data)

    def _too_long(self) -> str:
        return f"the body is longer than {self._listener.limits.body_bytes} bytes"

    def _begin_answer(self) -> None:
        assert self._request is not None
        self._raw = self._http.trailing_data[0]
        self._stop_timer()
        self._stage = _Stage.ANSWERING
        exchange = Exchange(
            request=self._request,
            body=b"".join(self._body),
            conn=self,
            received_at=self._loop.time(),
        )
        self._exchange, self._request = exchange, None
        self._body, self._body_bytes = [], 0
        self._task = self._listener.start_exchange(exchange)

    def _end_answer(self) -> None:
        must_close = self._http.our_state is not h11.DONE
        self._exchange, self._task = None, None
        if must_close:
            self._linger()
            return
        self._expect(_Stage.IDLE, self._listener.limits.idle_s)
        self._transport.resume_reading()
        if self._raw:
            self._read_guarded(self._read_head)

    def _refuse(self, status: int, reason: str) -> None:
        """Answer what can't be read as a request, and close."""
        eliot.log_message(message_type="caller:malformed", status=status, reason=reason)
        body = reason.encode()
        answer = h11.Response(
            status_code=status,
            headers=[
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ],
        )
        writer = h11.Connection(h11.SERVER)
        parts = [writer.send(answer), writer.send(h11.Data(data=body))]
        self._transport.write(b"".join(part for part in parts if part))
        self._linger()

    def _linger(self) -> None:
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._expect(_Stage.LINGERING, LINGER_S)

    def _expect(self, stage: _Stage, limit_s: float) -> None:
        """Go to a stage that ends by itself after ``limit_s``."""
        if stage is not self._stage or stage is not _Stage.HEAD:
            self._timer_due = self._loop.time() + limit_s
        self._stage = stage
        if self._timer is None:
            self._timer = self._loop.call_at(self._timer_due, self._on_timer)
        elif self._timer.when() > self._timer_due:
            self._timer.cancel()
            self._timer = self._loop.call_at(self._timer_due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._loop.time() < self._timer_due:
            self._timer = self._loop.call_at(self._timer_due, self._on_timer)
        elif self._stage in (_Stage.HEAD, _Stage.BODY):
            self._refuse(408, "the request did not arrive in time")
        elif self._stage in (_Stage.IDLE, _Stage.LINGERING):
            self._stage = _Stage.CLOSED
            self._transport.close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HttpListener(Component):
    """Serves one address.

    :param limits: returns what callers may send now.
    :param drain_linger_s: how long connections stay open after a drain began, so that requests
        that cross the close are still answered.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        handler: ExchangeHandler,
        limits: cabc.Callable[[], CallerLimits] = CallerLimits,
        drain_linger_s: float = 0.0,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._limits = limits
        self._drain_linger_s = drain_linger_s
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.draining = False

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self._limits()

    async def start(self) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(listener=self), sock=self._sock)

    def start_exchange(self, exchange: Exchange) -> asyncio.Task[None]:
        """Answer a request in a task of its own."""
        return self.spawn(self._run(exchange), name="exchange")

    async def begin_drain(self) -> None:
        """Announce the close with each answer from now on."""
        self.draining = True

    async def drain(self) -> None:
        """Return once all requests are answered and callers had time to see the close."""
        await asyncio.sleep(self._drain_linger_s)
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.close_idle()
        while any(conn.busy for conn in self.connections):
            await asyncio.sleep(DRAIN_CHECK_S)
            for conn in list(self.connections):
                conn.close_idle()

    async def stop(self) -> None:
        """Stop accepting and cut what is left."""
        if self._server is not None:
            self._server.close()
        await super().stop()

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._handler.handle(exchange)
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            eliot.log_message(message_type="exchange:fault", error=repr(exc))
            if exchange.head_sent or exchange.ended:
                exchange.abort()
            else:
                exchange.answer(500, [], b"a fault inside cassiawalk")
        finally:
            if not exchange.ended:
                exchange.abort()
