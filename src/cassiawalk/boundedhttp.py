"""uvicorn's HTTP protocol with limits on what a connection may hold, and for how long."""

import asyncio
import contextlib
import socket
import typing as t

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from cassiawalk.http1.bodies import MIN_BODY_BYTES_PER_S
from cassiawalk.http1.bodies import SLOW_BODY_S
from cassiawalk.http1.bodies import SMALL_BODY_BYTES
from cassiawalk.http1.bodies import HeldBodies
from cassiawalk.http1.bufferedbytes import BufferedBytes
from cassiawalk.http1.bufferedbytes import BufferedShare
from cassiawalk.http1.clientoutput import MAX_UNSENT_BYTES
from cassiawalk.http1.connectionlimits import Closure
from cassiawalk.http1.connectionlimits import ClosureListener
from cassiawalk.http1.connectionlimits import ConnectionLimits
from cassiawalk.http1.openconnections import OpenConnections
from cassiawalk.http1.openconnections import Replaceable
from cassiawalk.http1.openconnections import Waiting
from cassiawalk.http1.refusal import NOT_TAKEN_STATUS
from cassiawalk.http1.refusal import build_refusal
from cassiawalk.http1.stagetimer import StageTimer
from cassiawalk.http1.stalls import StallWatch
from cassiawalk.http1.stalls import unacknowledged_bytes

# The parser can't be stopped within what it is fed, and each request in it costs 3 KB; the
# shortest have 18 bytes.
FEED_BYTES = 512
FEED_TURN_BYTES = 16384  # then other connections are served
MAX_HELD_BYTES = 65536
MAX_HEAD_BYTES = 65536  # twice the headers that the application takes
MAX_HEADERS = 1000  # with the trailers
HEADER_COST_BYTES = 200  # of a header's objects, whatever its length
HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0  # between two parts
IDLE_TIMEOUT_S = 30.0
WRITE_BUFFER_BYTES = 4096  # each piece that waits costs up to 5 KB, whatever its length


class ServerConnections:
    """The connections of one server, and their limits.

    :param on_closed: called for each connection that was refused, or ended by a limit.
    """

    def __init__(self, *, limits: ConnectionLimits, on_closed: ClosureListener) -> None:
        self.limits = limits
        self.on_closed = on_closed
        self.bodies = HeldBodies()
        self.buffered = BufferedBytes(max_bytes=lambda: limits.max_buffered_bytes)
        self.open: OpenConnections[BoundedHttpProtocol] = OpenConnections(
            max_connections=lambda: limits.max_connections, on_closed=on_closed
        )


class _GuardedFlow(FlowControl):
    """Reads only if both the library and the connection want to."""

    def __init__(self, transport: asyncio.Transport, conn: "BoundedHttpProtocol") -> None:
        super().__init__(transport)
        self._conn = conn
        self.is_wanted = True
        self._is_full = False

    def pause_reading(self) -> None:
        self.is_wanted = False
        self._apply()

    def resume_reading(self) -> None:
        self.is_wanted = True
        self._apply()
        self._conn.feed_soon()

    def set_full(self, is_full: bool) -> None:
        """Set whether the connection holds as much unparsed input as it may."""
        self._is_full = is_full
        self._apply()

    def _apply(self) -> None:
        if self.is_wanted and not self._is_full:
            super().resume_reading()
        else:
            super().pause_reading()


class BoundedHttpProtocol(HttpToolsProtocol, Replaceable):
    """One connection: parses no request while one is handled, or its response is not taken.

    :param connections: those of the server.
    """

    flow: _GuardedFlow

    def __init__(self, *, connections: ServerConnections, **kwargs: t.Any) -> None:
        super().__init__(**kwargs)
        self._all = connections
        self._timer = StageTimer(loop=self.loop, on_due=self._on_timer)
        self._watch = StallWatch(
            loop=self.loop,
            taken=self._taken_bytes,
            timeout_s=lambda: connections.limits.stall_timeout_s,
            on_stalled=self._on_stalled,
        )
        self._held = bytearray()
        self._held_share = BufferedShare(total=connections.buffered)
        self._unread_share = BufferedShare(total=connections.buffered)
        self._feed_handle: asyncio.Handle | None = None
        self._parses = Waiting.FIRST_REQUEST
        self._bare_bytes = 0  # since the last part of a body or the last request
        self._headers = 0
        self._header_bytes = 0
        self._body_bytes = 0
        self._body_begun_at = 0.0
        self._is_deferred = False
        self._running: t.Any = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection and wait for a request."""
        super().connection_made(transport)
        self.flow = _GuardedFlow(transport, self)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES, low=0)
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
        if not self._all.open.admit(self):
            transport.abort()
            return
        self._expect(Waiting.FIRST_REQUEST, IDLE_TIMEOUT_S)
        self._note_waiting()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        self._timer.stop()
        self._watch.stop()
        if self._feed_handle is not None:
            self._feed_handle.cancel()
        self._forget_input()
        self._held_share.set(0)
        self._unread_share.set(0)
        self._release_body()
        self._all.open.remove(self)
        self.pipeline.clear()
        if self._running is not None and not self._running.response_complete:
            # The library tells only the last request of a pipeline.
            self._running.disconnected = True
            self._running.message_event.set()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what may be parsed now, and keep the rest."""
        if self.transport.is_closing():
            return
        self._held += data
        if self._parses is Waiting.BODY:
            self._expect(Waiting.BODY, min(BODY_TIMEOUT_S, self._body_time_left_s()))
        self._feed()

    def feed_soon(self) -> None:
        """Parse what is held in the next turn of the event loop."""
        if self._feed_handle is None:
            self._feed_handle = self.loop.call_soon(self._feed)

    def pause_writing(self) -> None:
        """Begin nothing more: the client reads more slowly than it is sent to."""
        super().pause_writing()
        self._unread_share.set(self.transport.get_write_buffer_size())
        self._all.open.set_stalled(self, True)
        self._watch.start()
        self.flow.set_full(True)
        if self._all.buffered.is_full:
            self._free_buffers()

    def resume_writing(self) -> None:
        """Go on: what was written has been taken."""
        super().resume_writing()
        self._unread_share.set(0)
        self._all.open.set_stalled(self, False)
        if not self.transport.is_closing():
            self._watch.stop()
        if self._is_deferred:
            self._is_deferred = False
            self.on_response_complete()
        self.feed_soon()

    def on_message_begin(self) -> None:
        """Expect the rest of a head."""
        super().on_message_begin()
        self._bare_bytes = self._headers = 0
        self._expect(Waiting.HEAD, HEAD_TIMEOUT_S)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header or a trailer, unless there are too many."""
        self._headers += 1
        if self._headers <= MAX_HEADERS:
            super().on_header(name, value)
            self._header_bytes += HEADER_COST_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Expect a body."""
        super().on_headers_complete()
        self._bare_bytes = 0
        self._body_begun_at = self.loop.time()
        self._expect(Waiting.BODY, BODY_TIMEOUT_S)

    def on_body(self, body: bytes) -> None:
        """Take a part of a body, unless there is no room for it."""
        self._bare_bytes = 0
        if self.cycle.response_complete:
            return  # the application did not wait for the body, and nobody takes it
        small = self._body_bytes + len(body) <= SMALL_BODY_BYTES
        if not self._all.bodies.may_hold(len(body), small=small):
            self._all.on_closed(Closure.BUFFERS_FULL)
            self.transport.abort()
            return
        self._body_bytes += len(body)
        self._all.bodies.note(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Wait for the next request."""
        super().on_message_complete()
        self._bare_bytes = 0
        self._parses = Waiting.REQUEST
        self._timer.stop()

    def on_response_complete(self) -> None:
        """Begin the next request, unless the client has to take this response first."""
        self._is_deferred = self.flow.write_paused and not self.transport.is_closing()
        if not self._is_deferred:
            begins_next = bool(self.pipeline)
            super().on_response_complete()
            if not begins_next:
                self._release_request()
        if self.transport.is_closing():
            self._watch.start()
        self._note_waiting()

    def shutdown(self) -> None:
        """Close the connection after the response under way, if any."""
        super().shutdown()
        if self.transport.is_closing():
            self._watch.start()

    def timeout_keep_alive_handler(self) -> None:
        """Close the idle connection, whether its client has taken the last response or not."""
        super().timeout_keep_alive_handler()
        self._watch.start()

    def make_room(self) -> None:
        """End the connection; a response that was written before still gets to its client."""
        if self._is_deferred:
            self.abort()
        else:
            self.transport.close()
            self._watch.start()

    def abort(self) -> None:
        """Reset the connection, whatever is under way on it."""
        self._unread_share.set(0)
        self._all.open.set_stalled(self, False)
        self.transport.abort()

    def _start_asgi_task(self, cycle: t.Any, app: t.Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    @property
    def _is_busy(self) -> bool:
        """Return whether a request that has arrived completely is handled or waits for that."""
        cycle = self.cycle
        handled = cycle is not None and not cycle.response_complete and not cycle.more_body
        return handled or bool(self.pipeline) or self._is_deferred

    def _feed(self) -> None:
        if self._feed_handle is not None:
            self._feed_handle.cancel()
            self._feed_handle = None
        turn_ends_at = len(self._held) - FEED_TURN_BYTES
        while self._held and self._may_parse():
            if len(self._held) <= turn_ends_at:
                self.feed_soon()
                break
            part = bytes(self._held[:FEED_BYTES])
            del self._held[:FEED_BYTES]
            self._bare_bytes += len(part)
            super().data_received(part)
            self._held_share.set(len(self._held) + self._header_bytes)
            self._check_head()
        if self.transport.is_closing():
            self._forget_input()
        self._held_share.set(len(self._held) + self._header_bytes)
        most = 1 if self._all.buffered.is_full else MAX_HELD_BYTES
        self.flow.set_full(len(self._held) >= most or self.flow.write_paused)
        is_idle = self._parses is Waiting.REQUEST and not self._is_busy
        if is_idle and self.timeout_keep_alive_task is None:
            # Empty lines between requests end the library's time-out.
            self._timer.set(self.loop.time() + IDLE_TIMEOUT_S)
        self._note_waiting()

    def _check_head(self) -> None:
        if self._bare_bytes > MAX_HEAD_BYTES:
            self._refuse(431, f"the head or the trailers exceed {MAX_HEAD_BYTES} bytes")
        elif self._headers > MAX_HEADERS:
            self._refuse(431, f"the head and the trailers have more than {MAX_HEADERS} lines")
        elif self._parses is Waiting.HEAD and self._all.buffered.is_full:
            self._refuse(NOT_TAKEN_STATUS, "this host has no room for the head now")

    def _forget_input(self) -> None:
        """Drop what has arrived; the collector may find this connection only much later."""
        self._held.clear()
        self._header_bytes = 0
        if self._parses is Waiting.HEAD:
            self.headers.clear()

    def _may_parse(self) -> bool:
        stopped = self._is_busy or self.flow.write_paused or not self.flow.is_wanted
        return not stopped and not self.transport.is_closing()

    def _note_waiting(self) -> None:
        waiting: Waiting | None = self._parses
        if self.transport.is_closing():
            waiting = Waiting.END
        elif self._is_deferred:
            waiting = Waiting.CLIENT
        elif self._is_busy:
            waiting = None
        self._all.open.set_waiting(self, waiting)

    def _expect(self, parses: Waiting, timeout_s: float) -> None:
        self._parses = parses
        self._timer.set(self.loop.time() + timeout_s)

    def _on_timer(self) -> None:
        if self.transport.is_closing():
            return
        if self._is_busy or not self.flow.is_wanted or self.flow.write_paused:
            self._timer.set(self.loop.time() + HEAD_TIMEOUT_S)
        elif self._parses in (Waiting.FIRST_REQUEST, Waiting.REQUEST):
            self.transport.close()
        else:
            self._refuse(408, "the request did not arrive in time")

    def _refuse(self, status: int, reason: str) -> None:
        """Answer a request that has not arrived completely, and close."""
        if self.transport.is_closing():
            return
        if self._parses is Waiting.BODY and self.cycle.response_started:
            self.transport.abort()
            return
        self.transport.write(build_refusal(status, reason))
        self.transport.close()
        self._watch.start()

    def _release_request(self) -> None:
        """Forget the request that was answered; an idle connection needs it no more."""
        self._release_body()
        if self._parses is not Waiting.HEAD:
            self._header_bytes = 0
            self.headers = []
            self.scope = {}  # type: ignore[typeddict-item]
            self.cycle.scope = {}  # type: ignore[typeddict-item]
        self._held_share.set(len(self._held) + self._header_bytes)

    def _body_time_left_s(self) -> float:
        """Return for how long the body may go on to arrive as slowly as it does."""
        earned_s = SLOW_BODY_S + self._body_bytes / MIN_BODY_BYTES_PER_S
        return self._body_begun_at + earned_s - self.loop.time()

    def _release_body(self) -> None:
        self._all.bodies.note(-self._body_bytes)
        self._body_bytes = 0

    def _free_buffers(self) -> None:
        conn = self._all.open.longest_stalled()
        if conn is not None:
            self._all.on_closed(Closure.BUFFERS_FULL)
            conn.abort()

    def _taken_bytes(self) -> int:
        """Return a number that grows by the bytes that the client takes while none are written."""
        fd = self.transport.get_extra_info("socket").fileno()
        in_kernel = unacknowledged_bytes(fd) if fd >= 0 else 0
        return -self.transport.get_write_buffer_size() - in_kernel

    def _on_stalled(self) -> None:
        self._all.on_closed(Closure.STALLED)
        self.abort()
