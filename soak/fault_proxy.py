"""A loopback TCP proxy that injects faults: delays, resets, dropped bytes."""

import asyncio
import contextlib

from cassiawalk.sockets import set_reset_on_close

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0


class _ProxiedConnection:
    """A client's connection to the proxy, and the proxy's connection to the target.

    Once ``dropped`` contains a direction, "up" or "down", all its bytes are discarded.
    """

    def __init__(self, *, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.dropped: set[str] = set()

    def reset(self) -> None:
        """Send a TCP reset on both sides."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                set_reset_on_close(sock)
            writer.transport.abort()


class FaultProxy:
    """Forwards connections to ``target`` and injects faults into them.

    ``delay_s`` delays every chunk by so many seconds until it is set back to 0.
    ``drop_direction`` discards the bytes of one direction, "up" (to the target) or "down", until
    it is called with None; connections that lost bytes are then reset. ``blackhole`` discards
    all further bytes on the connections that are open when it is called, for good.
    """

    def __init__(self, *, target: str) -> None:
        ip, _, port = target.rpartition(":")
        self._target = (ip, int(port))
        self._conns: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.delay_s = 0.0
        self._dropping: str | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._conns)

    async def start(self) -> None:
        """Listen on a free port of the target's IP and set ``address``."""
        self._server = await asyncio.start_server(self._serve, self._target[0], 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for conn in list(self._conns):
            conn.reset()

    def blackhole(self) -> None:
        """Discard all further bytes on the connections that are open now."""
        for conn in self._conns:
            conn.dropped |= {"up", "down"}

    def drop_direction(self, direction: str | None) -> None:
        """Start to discard the bytes of one direction; None ends this."""
        ended, self._dropping = self._dropping, direction
        if ended is not None:
            for conn in [conn for conn in self._conns if conn.dropped]:
                conn.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target_reader, target_writer = await asyncio.open_connection(*self._target)
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        conn = _ProxiedConnection(writers=(writer, target_writer))
        self._conns.add(conn)
        pumps = [
            asyncio.create_task(self._pump(conn, "up", reader, target_writer)),
            asyncio.create_task(self._pump(conn, "down", target_reader, writer)),
        ]
        await asyncio.gather(*pumps)
        self._conns.discard(conn)
        for side in conn.writers:
            side.close()

    async def _pump(
        self,
        conn: _ProxiedConnection,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._dropping == direction:
                    conn.dropped.add(direction)
                if direction in conn.dropped:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            if direction not in conn.dropped and writer.can_write_eof():
                writer.write_eof()
