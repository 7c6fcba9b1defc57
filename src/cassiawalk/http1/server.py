"""HTTP/1.1 server: accepts callers' connections and handles their requests."""

import asyncio
import collections.abc as cabc
import socket

import eliot

from cassiawalk.app import Component
from cassiawalk.http1.bodies import HeldBodies
from cassiawalk.http1.bufferedbytes import BufferedBytes
from cassiawalk.http1.caller import CallerConnection
from cassiawalk.http1.closurelog import ClosureLog
from cassiawalk.http1.connectionlimits import CALLERS_SHARE
from cassiawalk.http1.connectionlimits import Closure
from cassiawalk.http1.connectionlimits import ClosureListener
from cassiawalk.http1.connectionlimits import ConnectionLimits
from cassiawalk.http1.exchange import CallerLimits
from cassiawalk.http1.exchange import Exchange
from cassiawalk.http1.exchange import ExchangeHandler
from cassiawalk.http1.openconnections import OpenConnections
from cassiawalk.http1.owner import ConnectionOwner
from cassiawalk.sockets import accept_waiting

DRAIN_POLL_S = 0.02
READ_BUFFER_BYTES = 65536


class HttpListener(Component, ConnectionOwner):
    """Accepts callers' connections on one address.

    :param limits: returns the limits in force.
    :param drain_linger_s: how long a drain waits before it closes the listening socket and idle
        connections, in seconds, so that requests sent just before the close are still answered.
    :param first_request_s: how long a new connection may take during a drain until its first
        request has begun to arrive, in seconds.
    :param name: what log lines on connections call the listener.
    :param connection_limits: default: those for half of the process's descriptors.
    :param on_closed: called for each connection that was refused, or ended by a limit.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        handler: ExchangeHandler,
        name: str = "callers",
        limits: cabc.Callable[[], CallerLimits] = CallerLimits,
        drain_linger_s: float = 0.0,
        first_request_s: float = 0.0,
        connection_limits: ConnectionLimits | None = None,
        on_closed: ClosureListener = lambda _: None,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._limits = limits
        self._drain_linger_s = drain_linger_s
        self.first_request_s = first_request_s
        self._server: asyncio.Server | None = None
        self.draining = False
        self.closing = False
        self.connection_limits = connection_limits or ConnectionLimits.for_share(CALLERS_SHARE)
        self.held_bodies = HeldBodies()
        self.buffered = BufferedBytes(max_bytes=lambda: self.connection_limits.max_buffered_bytes)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._closures = ClosureLog(listener=name, on_closed=on_closed)
        self.open: OpenConnections[CallerConnection] = OpenConnections(
            max_connections=lambda: self.connection_limits.max_connections,
            on_closed=self.note_closure,
        )

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self._limits()

    @property
    def connections(self) -> cabc.Set[CallerConnection]:
        """Return the connections that are open."""
        return self.open.all

    def note_closure(self, closure: Closure) -> None:
        """Count and log a connection that was ended."""
        self._closures.note(closure)

    async def start(self) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(listener=self), sock=self._sock
        )

    def start_exchange(self, exchange: Exchange) -> asyncio.Task[None]:
        """Handle a request in a task of its own."""
        return self.spawn(self._run(exchange), name="exchange")

    async def begin_drain(self) -> None:
        """Send ``Connection: close`` with each answer from now on."""
        self.draining = True

    async def drain(self) -> None:
        """Close idle connections and return once all requests are answered.

        It first waits ``drain_linger_s``, so that callers receive the announcement of the close.
        From then on a connection ends with its answer, also if that could not announce it.
        """
        await asyncio.sleep(self._drain_linger_s)
        self.closing = True
        await self._stop_accepting()
        for conn in list(self.connections):
            conn.close_idle()
        while any(map(_is_needed, self.connections)):
            await asyncio.sleep(DRAIN_POLL_S)
            for conn in list(self.connections):
                conn.close_idle()

    def refuse_incomplete(self) -> None:
        """Answer requests that have not arrived completely as not run, and close."""
        for conn in list(self.connections):
            conn.refuse_incomplete("this host stops, and the request has not arrived completely")

    async def _stop_accepting(self) -> None:
        """Close the listening socket, but serve the connections that wait in its queue."""
        if self._server is None:
            return
        waiting = accept_waiting(self._sock)
        self._server.close()
        loop = asyncio.get_running_loop()
        for sock in waiting:
            await loop.connect_accepted_socket(lambda: CallerConnection(listener=self), sock)

    async def stop(self) -> None:
        """Stop accepting connections and cancel the exchanges that are left."""
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


def _is_needed(conn: CallerConnection) -> bool:
    """Return whether a connection has to be kept while the listener drains."""
    return conn.busy or conn.expects_request or conn.is_ending
