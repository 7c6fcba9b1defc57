"""Test servers: one that sends given bytes, and one that runs an ASGI application in this loop."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import typing as t

from cassiawalk.httpserver import HttpServer
from cassiawalk.settings import Address
from cassiawalk.sockets import bound_address
from cassiawalk.sockets import listen


@dataclasses.dataclass(kw_only=True)
class RawServer:
    """Records requests and sends ``reply`` to each; with None it sends nothing.

    ``keep_open`` leaves the connection open after the reply.
    """

    reply: bytes | None
    keep_open: bool = False
    address: str = ""
    connections: int = 0
    requests: list[bytes] = dataclasses.field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                self.requests.append(await _read_request(reader))
                if self.reply is None:
                    await reader.read()
                    break
                writer.write(self.reply)
                await writer.drain()
                if not self.keep_open:
                    break
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return head + await reader.readexactly(int(line[15:]))
    return head


@contextlib.asynccontextmanager
async def raw_server(reply: bytes | None, *, keep_open: bool = False) -> t.AsyncIterator[RawServer]:
    """Serve raw replies on loopback."""
    raw = RawServer(reply=reply, keep_open=keep_open)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()[:2]
    raw.address = f"{ip}:{port}"
    try:
        yield raw
    finally:
        server.close()


@contextlib.asynccontextmanager
async def asgi_server(asgi: t.Any) -> cabc.AsyncIterator[str]:
    """Serve an ASGI application on loopback and yield its address."""
    sock = listen(Address(ip="127.0.0.1", port=0))
    server = HttpServer(asgi=asgi, sock=sock)
    await server.start()
    try:
        yield bound_address(sock)
    finally:
        await server.stop()


def unused_address() -> str:
    """Return an address where nothing listens."""
    sock = listen(Address(ip="127.0.0.1", port=0))
    address = bound_address(sock)
    sock.close()
    return address


def http_reply(body: bytes, *, status: str = "200 OK", length: int | None = None) -> bytes:
    """Return an HTTP reply; ``length``, if given, is announced instead of the body's length."""
    announced = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\nContent-Length: {announced}\r\n\r\n".encode() + body


def chunked_reply(*chunks: bytes, status: str = "200 OK", ended: bool = True) -> bytes:
    """Return a chunked HTTP reply, with or without its last chunk."""
    head = f"HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + body + (b"0\r\n\r\n" if ended else b"")
