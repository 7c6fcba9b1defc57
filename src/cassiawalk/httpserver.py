"""Runs an ASGI application as a component."""

import asyncio
import contextlib
import socket
import typing as t

import uvicorn

from cassiawalk.app import Component
from cassiawalk.settings import Address

BACKLOG = 2048
HEADER_LIMIT_BYTES = 32 * 1024
STARTED_CHECK_S = 0.01


def listen(address: Address) -> socket.socket:
    """Return a listening socket.

    :raises OSError: if the address can't be used.
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    # asyncio turns Nagle's algorithm off only for sockets whose protocol is named.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.ip, address.port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def bound_address(sock: socket.socket) -> str:
    """Return a listening socket's address as ``ip:port``."""
    ip, port = sock.getsockname()[:2]
    return f"{ip}:{port}"


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield


class HttpServer(Component):
    """Serves one ASGI application on one socket."""

    def __init__(self, *, asgi: t.Any, sock: socket.socket) -> None:
        self._sock = sock
        cfg = uvicorn.Config(
            asgi,
            log_level="warning",
            access_log=False,
            lifespan="off",
            http="httptools",
            timeout_keep_alive=30,
            timeout_graceful_shutdown=5,
        )
        self._server = _Server(cfg)
        self._serving: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start serving and return once connections are accepted."""
        self._serving = self.spawn(self._server.serve(sockets=[self._sock]), name="http-server")
        while not self._server.started:
            await asyncio.sleep(STARTED_CHECK_S)

    async def stop(self) -> None:
        """Finish responses in progress and close."""
        self._server.should_exit = True
        if self._serving is not None:
            await asyncio.gather(self._serving, return_exceptions=True)
        await super().stop()
