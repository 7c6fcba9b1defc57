"""Kept connections to one upstream."""

import asyncio

from cassiawalk.http1.connection import UpstreamConnection

CONNECT_LIMIT_S = 0.6
IDLE_LIMIT_S = 20.0  # where the upstream does not say how long it keeps a connection
IDLE_MARGIN_S = 0.6


class ConnectError(Exception):
    """No connection could be opened, so nothing was sent."""


class ConnectionPool:
    """Opens, keeps and closes the connections to one address of one upstream.

    :param address: ``ip:port``.
    """

    def __init__(self, *, address: str) -> None:
        ip, _, port = address.rpartition(":")
        self._ip, self._port = ip, int(port)
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._shut = False

    @property
    def open_count(self) -> int:
        """Return how many connections are open, in use or kept."""
        return len(self._open)

    async def acquire(self, *, limit_s: float = CONNECT_LIMIT_S) -> UpstreamConnection:
        """Return a connection without a request on it, the last used one first.

        :raises ConnectError: if no connection could be opened in ``limit_s``.
        """
        kept = self._take_kept()
        if kept is not None:
            return kept
        return await self._connect(limit_s)

    def release(self, conn: UpstreamConnection) -> None:
        """Keep a connection for later requests, or close it if it can't take one."""
        if self._shut or not conn.reusable:
            conn.close()
            return
        self._idle.append(conn)

    def close(self) -> None:
        """Close what is kept; connections in use are closed when they are released."""
        self._shut = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take_kept(self) -> UpstreamConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            limit_s = IDLE_LIMIT_S if conn.keepalive_timeout_s is None else conn.keepalive_timeout_s
            if conn.reusable and now - conn.idle_since < limit_s - IDLE_MARGIN_S:
                return conn
            conn.close()
        return None

    async def _connect(self, limit_s: float) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(limit_s):
                _, conn = await loop.create_connection(
                    lambda: UpstreamConnection(on_closed=self._forget), self._ip, self._port
                )
        except (OSError, TimeoutError) as exc:
            raise ConnectError(f"{self._ip}:{self._port}: {exc!r}") from exc
        self._open.add(conn)
        return conn

    def _forget(self, conn: UpstreamConnection) -> None:
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
