"""Connection pool for one upstream."""

import asyncio
import math

from cassiawalk.http1.connection import UpstreamConnection

CONNECT_TIMEOUT_S = 0.6
IDLE_TIMEOUT_S = 20.0  # if the upstream does not announce a keep-alive timeout
READY_TURNS = 10  # of the event loop, from a socket that is ready to an open connection
PROBE_SETTLE_S = 0.02
IDLE_MARGIN_S = 0.6  # a connection this close to the upstream's timeout is not reused


class ConnectError(Exception):
    """No connection could be opened, so nothing was sent."""

    @property
    def refused(self) -> bool:
        """Return whether nothing listens at the address."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class ConnectionPool:
    """Opens, reuses and closes the connections to one address of one upstream.

    :param address: ``ip:port``.
    :param max_idle_s: a connection that has been idle for longer is not used again, whatever the
        upstream announces; with 0 none is used twice.
    """

    def __init__(self, *, address: str, max_idle_s: float = math.inf) -> None:
        self._max_idle_s = max_idle_s
        ip, _, port = address.rpartition(":")
        self._ip, self._port = ip, int(port)
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._closed = False

    @property
    def open_count(self) -> int:
        """Return how many connections are open, in use or idle."""
        return len(self._open)

    @property
    def has_idle(self) -> bool:
        """Return whether a connection is open and not in use."""
        return bool(self._idle)

    async def acquire(self, *, timeout_s: float = CONNECT_TIMEOUT_S) -> UpstreamConnection:
        """Return an idle connection, the most recently used one first, or open a new one.

        :param timeout_s: limit for opening a connection, in seconds.
        :raises ConnectError: if no connection could be opened in that time.
        """
        idle_conn = self._take_idle()
        if idle_conn is not None:
            return idle_conn
        conn = await self._connect(timeout_s)
        if not conn.reusable:
            raise ConnectError(f"{self._ip}:{self._port}: closed as it opened")
        return conn

    async def probe(self, *, timeout_s: float = CONNECT_TIMEOUT_S) -> bool | None:
        """Open a connection, which is kept for later use, and return whether it stays open.

        A process that dies may still accept connections while its sockets are being closed, so
        that one that ends within ``PROBE_SETTLE_S`` s is tried once more. Return None if it is
        unknown whether anything listens at the address.

        :param timeout_s: limit for opening a connection, in seconds.
        """
        for _ in range(2):
            try:
                conn = await self._connect(timeout_s)
            except ConnectError as exc:
                return False if exc.refused else None
            await asyncio.sleep(PROBE_SETTLE_S)
            if conn.reusable:
                self.release(conn)
                return True
            conn.close()
        return None

    def release(self, conn: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if self._closed or not conn.reusable or self._max_idle_s <= 0:
            conn.close()
            return
        self._idle.append(conn)

    def close(self) -> None:
        """Close idle connections; connections in use are closed when they are released."""
        self._closed = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take_idle(self) -> UpstreamConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            timeout_s = (
                IDLE_TIMEOUT_S if conn.keepalive_timeout_s is None else conn.keepalive_timeout_s
            )
            limit_s = min(timeout_s - IDLE_MARGIN_S, self._max_idle_s)
            if conn.reusable and now - conn.idle_since < limit_s:
                return conn
            conn.close()
        return None

    async def _connect(self, timeout_s: float) -> UpstreamConnection:
        opening = asyncio.create_task(self._open_one())
        try:
            await asyncio.wait({opening}, timeout=timeout_s)
            await _let_finish(opening)
        except asyncio.CancelledError:
            _abandon(opening)
            raise
        if not opening.done():
            _abandon(opening)
            raise ConnectError(f"{self._ip}:{self._port}: not open after {timeout_s} s")
        try:
            return opening.result()
        except OSError as exc:
            raise ConnectError(f"{self._ip}:{self._port}: {exc!r}") from exc

    async def _open_one(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: UpstreamConnection(on_closed=self._remove_closed), self._ip, self._port
        )
        self._open.add(conn)
        return conn

    def _remove_closed(self, conn: UpstreamConnection) -> None:
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)


async def _let_finish(opening: asyncio.Task[UpstreamConnection]) -> None:
    """Handle what became ready while this host stood still, which is no time of the upstream's."""
    for _ in range(READY_TURNS):
        if opening.done():
            return
        await asyncio.sleep(0)


def _abandon(opening: asyncio.Task[UpstreamConnection]) -> None:
    opening.cancel()
    opening.add_done_callback(_close_unwanted)


def _close_unwanted(opening: asyncio.Task[UpstreamConnection]) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result().close()
