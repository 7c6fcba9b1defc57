"""A connection of a caller."""

import asyncio
import enum
import socket
import typing as t

import h11

from cassiawalk.http1 import heads
from cassiawalk.http1.clientoutput import ClientOutput
from cassiawalk.http1.exchange import AnswerWriter
from cassiawalk.http1.exchange import Exchange
from cassiawalk.http1.openconnections import Replaceable
from cassiawalk.http1.openconnections import Waiting
from cassiawalk.http1.owner import ConnectionOwner
from cassiawalk.http1.refusal import NOT_TAKEN_STATUS
from cassiawalk.http1.refusal import build_refusal
from cassiawalk.http1.requestreader import Arrived
from cassiawalk.http1.requestreader import RequestReader
from cassiawalk.http1.stagetimer import StageTimer
from cassiawalk.sockets import has_peer_left
from cassiawalk.sockets import set_reset_on_close
from cassiawalk.sockets import since_received_s

CLOSE_TIMEOUT_S = 0.5  # until the caller has received what was written before the close
LINGER_TIMEOUT_S = 1.0  # discard what still arrives: a reset could make the caller lose its answer


class _Stage(enum.Enum):
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"
    LINGERING = "lingering"
    CLOSING = "closing"
    CLOSED = "closed"


_WAITING = {
    _Stage.IDLE: Waiting.REQUEST,
    _Stage.HEAD: Waiting.HEAD,
    _Stage.BODY: Waiting.BODY,
    _Stage.LINGERING: Waiting.END,
    _Stage.CLOSING: Waiting.END,
}


class CallerConnection(asyncio.BufferedProtocol, AnswerWriter, Replaceable):
    """One connection of a caller: reads requests and writes answers, one at a time.

    While the caller is behind with taking answers, nothing is read and no request is begun.
    """

    def __init__(self, *, listener: ConnectionOwner) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._stage = _Stage.IDLE
        self._reads = True
        self._reader = RequestReader(listener=listener, loop=self._loop, go_on=self._on_turn)
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer = StageTimer(loop=self._loop, on_due=self._on_timer)
        self._output = ClientOutput(
            conn=self, listener=listener, loop=self._loop, on_behind=self._on_behind
        )
        self._first_request_due = self._loop.time() + listener.first_request_s
        self._is_new = True
        self._received_at: float | None = None
        self.can_write = asyncio.Event()
        self.can_write.set()

    @property
    def busy(self) -> bool:
        """Return whether a request has begun to arrive and is not completely answered yet."""
        return self._stage in (_Stage.HEAD, _Stage.BODY, _Stage.ANSWERING)

    @property
    def idle(self) -> bool:
        """Return whether no byte of a request has arrived since the last answer."""
        return self._stage is _Stage.IDLE

    @property
    def is_ending(self) -> bool:
        """Return whether the caller may not have received all that was written to it."""
        lingers = self._stage in (_Stage.LINGERING, _Stage.CLOSING)
        return lingers or self._output.waiting_bytes > 0

    @property
    def expects_request(self) -> bool:
        """Return whether the connection is new and its first request may be on the way."""
        return self.idle and self._loop.time() < self._first_request_due

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        self._transport = t.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._output.attach(self._transport)
        if not self._listener.open.admit(self):
            self.abort()
            return
        self._enter_stage(_Stage.IDLE, self._listener.limits.idle_timeout_s)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive into; connections take turns with one buffer."""
        buffer = self._listener.read_buffer
        if self._stage is _Stage.ANSWERING:
            return buffer[: max(1, self._reader.room_bytes)]
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process bytes of a head or a body; keep those of a pipelined request for later."""
        if self._stage in (_Stage.LINGERING, _Stage.CLOSING, _Stage.CLOSED):
            return
        self._reader.add(bytes(self._listener.read_buffer[:nbytes]))
        if self._stage is _Stage.ANSWERING:
            self._update_reading()
        else:
            self._note_received()
            self._read()

    def eof_received(self) -> bool:
        """Let the transport close: a caller that ends its stream counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the exchange under way."""
        self._stage = _Stage.CLOSED
        self._timer.stop()
        self._release()
        self._listener.open.remove(self)
        self.can_write.set()
        if self._exchange is not None:
            self._exchange.caller_left = True
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Keep what is written: the kernel takes no more."""
        self._output.block()

    def resume_writing(self) -> None:
        """Pass on what was kept."""
        self._output.unblock()

    def has_peer_left(self) -> bool:
        """Return whether the caller has closed, also if the event loop has not processed it yet."""
        return has_peer_left(self._transport.get_extra_info("socket"))

    def serves(self, exchange: Exchange) -> bool:
        """Return whether the answer to ``exchange`` is still being written."""
        return self._exchange is exchange

    def write_head(
        self, exchange: Exchange, status: int, headers: heads.Headers, reason: bytes
    ) -> None:
        """Write a head; during a drain it announces that the connection will be closed."""
        if self._listener.draining:
            headers = [*headers, (b"Connection", b"close")]
        self.write(exchange, h11.Response(status_code=status, headers=list(headers), reason=reason))

    def write(self, exchange: Exchange, event: h11.Event) -> None:
        """Write a part of the answer, unless the caller has disconnected."""
        if self._exchange is not exchange or self._stage is not _Stage.ANSWERING:
            return
        data = self._reader.http.send(event)
        if isinstance(event, h11.Response) and self._is_ended_by_close(event):
            set_reset_on_close(self._transport.get_extra_info("socket"))
        self._output.write(data or b"")
        if isinstance(event, h11.EndOfMessage) and self._stage is _Stage.ANSWERING:
            self._end_answer()

    def reset(self, exchange: Exchange, *, discard: bool) -> None:
        """End the connection if it still serves ``exchange``, see ``Exchange.abort``."""
        if self._exchange is not exchange or self._stage is _Stage.CLOSED:
            return
        if discard:
            set_reset_on_close(self._transport.get_extra_info("socket"))
        else:
            self._output.flush()
        self.abort()

    def abort(self) -> None:
        """Reset the connection, whatever is under way on it."""
        self._stage = _Stage.CLOSED
        self._release()
        self._transport.abort()

    def make_room(self) -> None:
        """End the connection at once; a request that has begun to arrive is refused as not run."""
        if not self.can_write.is_set():
            self.abort()
            return
        if self._stage in (_Stage.HEAD, _Stage.BODY):
            reason = "this host has too many connections"
            self._output.write(build_refusal(NOT_TAKEN_STATUS, reason))
        self._reader.clear()
        self._close()

    def close_idle(self) -> None:
        """Close the connection if no request is under way on it, nor expected as its first."""
        if self.idle and not self.expects_request:
            self._close()

    def refuse_incomplete(self, reason: str) -> None:
        """Answer a request that has not arrived completely as not run, and close."""
        if self._stage in (_Stage.HEAD, _Stage.BODY):
            self._refuse(NOT_TAKEN_STATUS, reason)

    def _read(self) -> None:
        """Read a request from what has arrived, unless the caller is behind."""
        if self.can_write.is_set():
            try:
                self._note_arrived(self._reader.read())
            except heads.HeadError as exc:
                self._refuse(exc.status, exc.reason)
            except h11.RemoteProtocolError as exc:
                self._refuse(exc.error_status_hint, str(exc))
        self._update_reading()

    def _note_received(self) -> None:
        """Record when the last bytes of a request arrived.

        The kernel tells: a host that is busy or was suspended may read them seconds later, and the
        deadline of the request counts from their arrival.
        """
        unread_s = since_received_s(self._transport.get_extra_info("socket"))
        self._received_at = self._loop.time() - unread_s

    def _note_arrived(self, arrived: Arrived) -> None:
        if arrived is Arrived.ALL:
            self._begin_answer()
        elif arrived is Arrived.PART_OF_HEAD:
            self._enter_stage(_Stage.HEAD, self._listener.limits.head_timeout_s)
        elif arrived is Arrived.HEAD:
            idle_timeout_s = self._listener.limits.idle_timeout_s
            self._enter_stage(_Stage.BODY, min(idle_timeout_s, self._reader.body_time_left_s))
            self._output.write(self._reader.continue_response())

    def _on_behind(self, behind: bool) -> None:
        if behind:
            self.can_write.clear()
            self._update_reading()
            return
        self.can_write.set()
        if self._stage is _Stage.IDLE:
            self._await_request()
        elif self._stage in (_Stage.HEAD, _Stage.BODY):
            self._read()
        self._update_reading()

    def _on_turn(self) -> None:
        """Go on with a body of many small chunks, unless the caller has given up meanwhile."""
        if has_peer_left(self._transport.get_extra_info("socket")):
            self.abort()
        elif self._stage is _Stage.BODY:
            self._read()

    def _begin_answer(self) -> None:
        self._first_request_due = 0.0
        self._is_new = False
        self._stage = _Stage.ANSWERING  # the timer runs on, which costs less than a new one
        self._listener.open.set_waiting(self, None)
        request, body = self._reader.take()
        # A pipelined request counts from when the answer before it has ended.
        received_at = self._loop.time() if self._received_at is None else self._received_at
        self._received_at = None
        exchange = Exchange(request=request, body=body, conn=self, received_at=received_at)
        self._exchange = exchange
        self._task = self._listener.start_exchange(exchange)

    def _end_answer(self) -> None:
        close_after = self._reader.http.our_state is not h11.DONE
        self._exchange, self._task = None, None
        self._reader.release_body()
        if close_after:
            set_reset_on_close(self._transport.get_extra_info("socket"), False)
            self._linger()
            return
        if self._listener.closing and not self._reader.has_more:
            self._close_unread()
            return
        self._await_request()

    def _await_request(self) -> None:
        self._enter_stage(_Stage.IDLE, self._listener.limits.idle_timeout_s)
        self._read()

    def _is_ended_by_close(self, head: h11.Response) -> bool:
        """Return whether only the end of the connection tells an HTTP/1.0 caller the answer's."""
        is_old = self._reader.http.their_http_version == b"1.0"
        return is_old and heads.header_value(list(head.headers), b"content-length") is None

    def _refuse(self, status: int, reason: str) -> None:
        """Answer a request that can't be taken with an error and close the connection."""
        self._output.write(build_refusal(status, reason))
        self._linger()

    def _close_unread(self) -> None:
        """Close after an answer that did not announce it, and leave what comes then unread.

        To its caller, a request that crosses the close has then not been read, and may be repeated.
        """
        if self._transport.is_closing():
            return
        self._output.flush()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._enter_stage(_Stage.CLOSING, CLOSE_TIMEOUT_S)
        self._update_reading()

    def _linger(self) -> None:
        self._reader.clear()
        if self._transport.is_closing():
            return
        self._output.flush()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._enter_stage(_Stage.LINGERING, LINGER_TIMEOUT_S)
        self._update_reading()

    def _close(self) -> None:
        self._stage = _Stage.CLOSED
        self._listener.open.set_waiting(self, Waiting.END)
        self._output.close()

    def _release(self) -> None:
        """Drop what the connection holds."""
        self._reader.clear()
        self._output.discard()

    def _update_reading(self) -> None:
        """Read on, or stop reading, as the connection's state requires."""
        if self._transport.is_closing():
            return
        wanted = (
            self.can_write.is_set()
            and self._stage is not _Stage.CLOSING
            and not (self._stage is _Stage.ANSWERING and self._reader.room_bytes <= 0)
            and not (self._stage is _Stage.BODY and self._reader.is_waiting)
        )
        if wanted is not self._reads:
            self._reads = wanted
            if wanted:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()

    def _enter_stage(self, stage: _Stage, timeout_s: float) -> None:
        """Enter a stage that times out after ``timeout_s``.

        The time-out of a head starts with its first byte and is not extended by later ones.
        """
        if stage is not self._stage or stage is not _Stage.HEAD:
            self._timer.set(self._loop.time() + timeout_s)
        self._stage = stage
        waiting = _WAITING[stage]
        if stage is _Stage.IDLE and not self.can_write.is_set():
            waiting = Waiting.CLIENT
        elif stage is _Stage.IDLE and self._is_new:
            waiting = Waiting.FIRST_REQUEST
        self._listener.open.set_waiting(self, waiting)

    def _on_timer(self) -> None:
        is_behind = self._stage is _Stage.IDLE and not self.can_write.is_set()
        is_slowed = self._stage is _Stage.BODY and self._reader.is_waiting
        if is_behind or is_slowed:
            self._timer.set(self._loop.time() + self._listener.limits.idle_timeout_s)
        elif self._stage in (_Stage.HEAD, _Stage.BODY):
            self._refuse(408, "the request did not arrive in time")
        elif self._stage in (_Stage.IDLE, _Stage.LINGERING, _Stage.CLOSING):
            self._close()
