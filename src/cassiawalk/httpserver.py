"""Runs an ASGI application under uvicorn as a component."""

import asyncio
import contextlib
import functools
import math
import socket
import typing as t

import uvicorn

from cassiawalk.app import Component
from cassiawalk.boundedhttp import IDLE_TIMEOUT_S
from cassiawalk.boundedhttp import BoundedHttpProtocol
from cassiawalk.boundedhttp import ServerConnections
from cassiawalk.http1.closurelog import ClosureLog
from cassiawalk.http1.connectionlimits import CALLERS_SHARE
from cassiawalk.http1.connectionlimits import ClosureListener
from cassiawalk.http1.connectionlimits import ConnectionLimits
from cassiawalk.sockets import accept_waiting

START_POLL_INTERVAL_S = 0.01
IDLE_POLL_INTERVAL_S = 0.02
LATE_REQUEST_GRACE_S = 0.5
CLOSE_LIMIT_S = 5.0


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers; the daemon handles signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield


class _ResponseTracker:
    """ASGI middleware that counts responses in progress; in a drain it closes their connections."""

    def __init__(self, *, asgi: t.Any) -> None:
        self._asgi = asgi
        self.active = 0
        self.draining = False

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        async def send_closing(message: t.Any) -> None:
            if self.draining and message["type"] == "http.response.start":
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        self.active += 1
        try:
            await self._asgi(scope, receive, send_closing)
        finally:
            self.active -= 1


class HttpServer(Component):
    """Serves one ASGI application on one socket.

    :param close_limit_s: longest time in seconds that ``stop`` waits for callers to read their
        responses; rounded up to whole seconds, at least one.
    :param name: what log lines on connections call the server.
    :param connection_limits: default: those for half of the process's descriptors.
    :param on_closed: called for each connection that was refused, or ended by a limit.
    """

    def __init__(
        self,
        *,
        asgi: t.Any,
        sock: socket.socket,
        close_limit_s: float = CLOSE_LIMIT_S,
        name: str = "callers",
        connection_limits: ConnectionLimits | None = None,
        on_closed: ClosureListener = lambda _: None,
    ) -> None:
        self._sock = sock
        self._tracker = _ResponseTracker(asgi=asgi)
        connections = ServerConnections(
            limits=connection_limits or ConnectionLimits.for_share(CALLERS_SHARE),
            on_closed=ClosureLog(listener=name, on_closed=on_closed).note,
        )
        cfg = uvicorn.Config(
            self._tracker,
            log_level="warning",
            access_log=False,
            lifespan="off",
            http=t.cast(t.Any, functools.partial(BoundedHttpProtocol, connections=connections)),
            ws="none",
            timeout_keep_alive=int(IDLE_TIMEOUT_S),
            timeout_graceful_shutdown=max(1, math.ceil(close_limit_s)),
        )
        self._server = _Server(cfg)
        self._serving: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start serving; return once connections are accepted."""
        self._serving = self.spawn(self._server.serve(sockets=[self._sock]), name="http-server")
        while not self._server.started:
            await asyncio.sleep(START_POLL_INTERVAL_S)

    async def begin_drain(self) -> None:
        """Send ``Connection: close`` with every response from now on."""
        self._tracker.draining = True

    async def drain(self) -> None:
        """Wait until all responses are complete, including those to requests still in transit."""
        await self._wait_idle()
        await asyncio.sleep(LATE_REQUEST_GRACE_S)
        await self._wait_idle()
        await self._stop_accepting()
        await asyncio.sleep(LATE_REQUEST_GRACE_S)
        await self._wait_idle()

    async def stop(self) -> None:
        """Finish the responses in progress within ``close_limit_s``, and close the socket."""
        self._server.should_exit = True
        if self._serving is not None:
            await asyncio.gather(self._serving, return_exceptions=True)
        await super().stop()

    async def _stop_accepting(self) -> None:
        """Close the listening socket, but serve the connections that wait in its queue."""
        waiting = accept_waiting(self._sock)
        for server in self._server.servers:
            server.close()
        loop = asyncio.get_running_loop()
        for sock in waiting:
            await loop.connect_accepted_socket(self._new_protocol, sock)

    def _new_protocol(self) -> asyncio.Protocol:
        cfg = self._server.config
        protocol = t.cast(t.Callable[..., asyncio.Protocol], cfg.http_protocol_class)
        return protocol(
            config=cfg,
            server_state=self._server.server_state,
            app_state=self._server.lifespan.state,
        )

    async def _wait_idle(self) -> None:
        while self._tracker.active:
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
