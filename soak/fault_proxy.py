"""A loopback proxy for one address, which delays, resets, cuts one way or goes silent."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65536
CONNECT_LIMIT_S = 2.0


class _Pipe:
    """One connection; ``dropped`` names the ways whose bytes are lost from now on."""

    def __init__(self, *, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.dropped: set[str] = set()

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class FaultProxy:
    """Passes connections on to ``target``; faults hold until they are ended.

    ``delay_s`` holds back all bytes; ``cut`` loses those of one way, "up" or "down", and the
    connections that lost some are reset at its end; ``silence`` loses everything on the
    connections that are open now, for good.
    """

    def __init__(self, *, target: str) -> None:
        ip, _, port = target.rpartition(":")
        self._target = (ip, int(port))
        self._pipes: set[_Pipe] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.delay_s = 0.0
        self._cut: str | None = None

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._pipes)

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for pipe in list(self._pipes):
            pipe.reset()

    def silence(self) -> None:
        """Lose everything on the connections that are open now."""
        for pipe in self._pipes:
            pipe.dropped |= {"up", "down"}

    def cut(self, way: str | None) -> None:
        """Begin to lose the bytes of one way, or with None end that."""
        ended, self._cut = self._cut, way
        if ended is not None:
            for pipe in [pipe for pipe in self._pipes if pipe.dropped]:
                pipe.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                far_reader, far_writer = await asyncio.open_connection(*self._target)
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        pipe = _Pipe(writers=(writer, far_writer))
        self._pipes.add(pipe)
        ways = [
            asyncio.create_task(self._pump(pipe, "up", reader, far_writer)),
            asyncio.create_task(self._pump(pipe, "down", far_reader, writer)),
        ]
        await asyncio.gather(*ways)
        self._pipes.discard(pipe)
        for end in pipe.writers:
            end.close()

    async def _pump(
        self, pipe: _Pipe, way: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._cut == way:
                    pipe.dropped.add(way)
                if way in pipe.dropped:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            if way not in pipe.dropped and writer.can_write_eof():
                writer.write_eof()
