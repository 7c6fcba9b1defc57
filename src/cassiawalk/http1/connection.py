"""A connection to an upstream, used for one request at a time."""

import asyncio
import collections
import collections.abc as cabc
import socket
import typing as t

import eliot
import h11

from cassiawalk.http1 import heads
from cassiawalk.http1.answerevents import AnswerBroken
from cassiawalk.http1.answerevents import AnswerData
from cassiawalk.http1.answerevents import AnswerEnd
from cassiawalk.http1.answerevents import AnswerEvent
from cassiawalk.http1.answerevents import AnswerHead
from cassiawalk.http1.answerevents import ForeignCheck
from cassiawalk.http1.framing import Ending
from cassiawalk.http1.framing import Framing
from cassiawalk.http1.framing import answer_framing
from cassiawalk.http1.keepalive import enable_keepalive
from cassiawalk.http1.pacing import BYTE_S
from cassiawalk.http1.pacing import PIECE_S
from cassiawalk.http1.pacing import Pacer
from cassiawalk.http1.pathwatch import PathWatch
from cassiawalk.http1.stalls import unacknowledged_bytes
from cassiawalk.sockets import is_connection_reset

# What is queued for a slow caller before reading is paused.
MAX_QUEUED_EVENTS = 256
MAX_QUEUED_BYTES = 262144
SLICE_BYTES = 4096  # parsed at once, before it is checked whether to go on
MAX_INFORMATIONAL = 16  # answers with a status of 1xx before a final one
MAX_STATUS = 599
TAKEN_CHECK_S = 0.01
LONG_REQUEST_BYTES = 65536  # more than upstreams buffer that read nothing
MAX_FOREIGN = 16  # answers to other requests before this one's


class UpstreamConnection(asyncio.Protocol):
    """Sends requests, one at a time, and returns the events of each answer.

    Bytes that arrive while no request is under way belong to no request, so the connection is
    closed. An answer to another request is discarded, and the next answer is taken instead. No
    more is read while much is queued, or has caused much work, see ``Pacer``.

    ``answer_bytes`` counts the bytes of the present answer. ``work_s`` is the work that all answers
    have caused, in seconds of a core.

    :param on_closed: called once when the connection is closed.
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
        self._queued_bytes = 0
        self._unparsed = bytearray()
        self._pacer = Pacer(loop=self._loop)
        self._resumption: asyncio.Handle | None = None
        self._reading_paused = False
        self._eof = False
        self._lost: Ending | None = None
        self._passed_over = 0
        self._waiter: asyncio.Future[None] | None = None
        self.answer_bytes = 0
        self.work_s = 0.0
        self._answer_started = False
        self._framing = Framing.LENGTH
        self._close_after = False
        self.closed = False
        self.idle_since = self._loop.time()
        self.keepalive_timeout_s: float | None = None
        self.requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options so that a broken network path is detected."""
        self._transport = t.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)
        self._path_watch = PathWatch(
            loop=self._loop,
            sock=sock,
            is_sending=lambda: self._request is not None and self._untaken_bytes > 0,
            on_broken=self.close,
        )

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: heads.Headers,
        body: bytes,
        is_foreign: ForeignCheck,
    ) -> None:
        """Write a request; ``next_event`` returns the events of its answer.

        :param is_foreign: tells from an answer's head whether it belongs to another request.
        """
        self.requests += 1
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        self._is_foreign = is_foreign
        self._events.clear()
        self._queued_bytes = self._passed_over = self.answer_bytes = 0
        self._answer_started = self._skipping = False
        self._framing = Framing.LENGTH
        data = self._start_exchange_state(body)
        self._transport.write(data)
        if len(data) > LONG_REQUEST_BYTES:
            self._path_watch.start()

    async def next_event(self) -> AnswerEvent:
        """Return the next event of the answer, in order."""
        while not self._events:
            self._waiter = self._loop.create_future()
            await self._waiter
        event = self._events.popleft()
        if isinstance(event, AnswerData):
            self._queued_bytes -= len(event.data)
        if self._unparsed and self._resumption is None:
            # Not at once, so that other requests have their turn.
            self._resumption = self._loop.call_soon(self._parse_some)
        return event

    def note_work(self, work_s: float) -> None:
        """Record work that the answer has caused, in seconds of a core."""
        self.work_s += work_s
        self._pacer.note(work_s, self._loop.time())

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent: the last exchange is complete."""
        return (
            not self.closed
            and not self._close_after
            and self._request is None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    @property
    def is_reset(self) -> bool:
        """Return whether the connection was reset, also if its stream had ended before."""
        if self.closed:
            return self._lost is Ending.RESET
        return is_connection_reset(self._transport.get_extra_info("socket"))

    async def has_taken_request(self) -> bool:
        """Return whether an upstream that has ended its stream takes the rest of the request.

        If it has closed the connection instead, it resets it when more of the request arrives.
        """
        while not self.is_reset:
            if self.closed or not self._untaken_bytes:
                return True
            await asyncio.sleep(TAKEN_CHECK_S)
        return False

    @property
    def _untaken_bytes(self) -> int:
        """Return how much of the request the upstream's system has not acknowledged."""
        fd = self._transport.get_extra_info("socket").fileno()
        return self._transport.get_write_buffer_size() + unacknowledged_bytes(fd)

    def close(self) -> None:
        """Close at once; an upstream treats this as cancellation of the request."""
        self._unparsed.clear()
        if not self.closed:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        if self._request is None:
            eliot.log_message(message_type="upstream:stray-bytes", count=len(data))
            self._close_after = True
            self.close()
            return
        self._answer_started = True
        self.answer_bytes += len(data)
        self._unparsed += data
        if self._resumption is None:
            self._parse_some()

    def _parse_some(self) -> None:
        """Parse what has arrived, as far as the queue has room and the pace allows."""
        self._resumption = None
        while self._unparsed and self._request is not None:
            if len(self._events) >= MAX_QUEUED_EVENTS or self._queued_bytes >= MAX_QUEUED_BYTES:
                break
            delay_s = self._pacer.delay_s(self._loop.time())
            if delay_s:
                self._resumption = self._loop.call_later(delay_s, self._parse_some)
                break
            self._parse_slice()
        if not self._unparsed or self._request is None:
            self._handle_ended()
        self._set_reading_paused(bool(self._unparsed) and self._request is not None)

    def _set_reading_paused(self, paused: bool) -> None:
        if paused is self._reading_paused or self.closed or self._transport.is_closing():
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _parse_slice(self) -> None:
        data = bytes(self._unparsed[:SLICE_BYTES])
        del self._unparsed[:SLICE_BYTES]
        self.note_work(BYTE_S * len(data))
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._fail_answer(f"not a valid HTTP answer: {exc}", Ending.INVALID)

    def eof_received(self) -> bool:
        """Note the end of the stream, which also ends an answer that announces no length.

        The connection is then kept open, as the upstream may reset it yet.
        """
        ends_answer = self._request is not None and self._framing is Framing.CONNECTION
        self._eof = self._close_after = True
        if self._resumption is None and not self._unparsed:
            self._handle_ended()
        return ends_answer

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection closed; an answer under way ends once what arrived is parsed."""
        self.closed = True
        self._path_watch.stop()
        self._lost = Ending.CLOSED if exc is None else Ending.RESET
        if self._resumption is None and not self._unparsed:
            self._handle_ended()
        self._on_closed(self)

    def _handle_ended(self) -> None:
        """End the answer under way if its connection has ended."""
        if self._eof and self._request is not None:
            self._handle_eof()
        if self._lost is not None and self._request is not None:
            reason = f"connection {self._lost.value}"
            before_answer = not self._answer_started
            self._fail_answer(reason, self._lost, closed_before_answer=before_answer)

    def _handle_eof(self) -> None:
        before_answer = not self._answer_started
        try:
            self._http.receive_data(b"")
            self._read_events()
        except h11.RemoteProtocolError as exc:
            reason = f"answer truncated: {exc}"
            self._fail_answer(reason, Ending.CLOSED, closed_before_answer=before_answer)
        if self._request is not None:
            reason = "connection closed before the end of the answer"
            self._fail_answer(reason, Ending.CLOSED, closed_before_answer=before_answer)

    def _start_exchange_state(self, body: bytes) -> bytes:
        """Start a new h11 state and return the bytes of the request."""
        assert self._request is not None
        self._http = h11.Connection(h11.CLIENT)
        parts = [self._http.send(self._request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._body = body
        return b"".join(part for part in parts if part)

    def _read_events(self) -> None:
        parts: list[bytes] = []
        try:
            self._read_parts(parts)
        finally:
            self._queue_data(parts)

    def _read_parts(self, parts: list[bytes]) -> None:
        """Queue what h11 has parsed; pieces of a body that come in a row are collected."""
        while self._request is not None:
            event = self._http.next_event()
            if isinstance(event, h11.Data):
                self.note_work(PIECE_S)
                parts.append(bytes(event.data))
                continue
            self._queue_data(parts)
            if isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.EndOfMessage):
                self._handle_end()
            elif isinstance(event, h11.InformationalResponse):
                self._pass_over("informational answers", MAX_INFORMATIONAL)
            else:
                return

    def _queue_data(self, parts: list[bytes]) -> None:
        """Queue the pieces of a body as one, unless they belong to another request."""
        if parts and not self._skipping:
            self._queue(AnswerData(data=b"".join(parts)))
        parts.clear()

    def _pass_over(self, what: str, limit: int) -> None:
        """Count an answer that is no answer to the request, and fail after too many."""
        self._passed_over += 1
        if self._passed_over > limit:
            self._fail_answer(f"more than {limit} {what}", Ending.INVALID)
            self.close()

    def _handle_head(self, event: h11.Response) -> None:
        assert self._request is not None and self._is_foreign is not None
        if event.status_code > MAX_STATUS:
            self._fail_answer(f"status {event.status_code} is beyond {MAX_STATUS}", Ending.INVALID)
            return
        headers = list(event.headers.raw_items())
        self._framing = answer_framing(
            method=self._request.method, status=event.status_code, headers=headers
        )
        head = AnswerHead(
            status=event.status_code,
            reason=bytes(event.reason),
            headers=headers,
            framing=self._framing,
        )
        self._skipping = self._is_foreign(head)
        self._read_keepalive(head.headers)
        if not self._skipping:
            self._queue(head)

    def _handle_end(self) -> None:
        rest = self._http.trailing_data[0] + bytes(self._unparsed)
        self._unparsed.clear()
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            self._close_after = True
        if self._skipping:
            self._await_own_answer(rest)
            return
        if rest:
            eliot.log_message(message_type="upstream:stray-bytes", count=len(rest))
            self._close_after = True
        self._request = None
        self.idle_since = self._loop.time()
        by_connection = self._framing is Framing.CONNECTION
        self._queue(AnswerEnd(ending=Ending.CLOSED if by_connection else Ending.COMPLETE))

    def _await_own_answer(self, rest: bytes) -> None:
        """Discard an answer to another request and wait for the next one."""
        eliot.log_message(message_type="upstream:foreign-answer", more_bytes=len(rest))
        self._skipping = False
        self._pass_over("answers to other requests", MAX_FOREIGN)
        if self._request is None:
            return
        if self._close_after:
            reason = "received only an answer to another request"
            self._fail_answer(reason, Ending.CLOSED)
            self.close()
            return
        self._start_exchange_state(self._body)
        self._unparsed += rest

    def _read_keepalive(self, headers: heads.Headers) -> None:
        keepalive = heads.header_value(headers, b"keep-alive")
        if keepalive is None:
            return
        for part in keepalive.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.keepalive_timeout_s = float(value)

    def _fail_answer(
        self, reason: str, ending: Ending, *, closed_before_answer: bool = False
    ) -> None:
        self._request = None
        self._close_after = True
        self._unparsed.clear()
        broken = AnswerBroken(
            reason=reason, ending=ending, closed_before_answer=closed_before_answer
        )
        self._queue(broken)

    def _queue(self, event: AnswerEvent) -> None:
        self._events.append(event)
        if isinstance(event, AnswerData):
            self._queued_bytes += len(event.data)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
