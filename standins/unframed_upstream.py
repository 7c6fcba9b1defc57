"""Stand-in for an upstream whose answers end with their connection, and that crashes in them."""

import asyncio
import contextlib
import dataclasses
import random
import socket
import typing as t

import h11

from cassiawalk.http1 import Exchange
from cassiawalk.http1 import ExchangeHandler
from cassiawalk.http1 import Headers
from cassiawalk.http1.exchange import AnswerWriter
from cassiawalk.sockets import set_reset_on_close
from standins.platform_upstream import PlatformUpstream

READ_BYTES = 65536
EVENT_BYTES = len(b"id: 1\ndata: piece 1\n\n")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """Where an upstream breaks off an answer and dies.

    :param after_bytes: how many bytes of the body are sent.
    :param reset: whether its connections are reset; else they are closed in order.
    """

    after_bytes: int
    reset: bool


class UnframedUpstream(PlatformUpstream):
    """An upstream that ends each answer with its connection.

    ``cuts`` plans the next answers; an answer without an entry is whole unless the seed breaks it.
    The seed cuts streams only inside an event, and resets the connections of other answers, as a
    caller's answer can't show every other cut.

    :param cut_ratio: the share of answers that the seed breaks off.
    :param dies_after_event_on: a request whose body contains this makes it close its connections in
        order, and die, after the first event of its stream; None for no request.
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        cut_ratio: float = 0.0,
        dies_after_event_on: bytes | None = None,
        **settings: t.Any,
    ) -> None:
        self._dies_after_event_on = dies_after_event_on
        self._rng = random.Random(seed)
        self._cut_ratio = cut_ratio
        self.cuts: list[Cut] = []
        super().__init__(**settings)

    def next_cut(self, exchange: Exchange) -> Cut | None:
        """Return where the answer to a request breaks off; None if it is whole."""
        if self.cuts:
            return self.cuts.pop(0)
        if self._dies_after_event_on is not None and self._dies_after_event_on in exchange.body:
            return Cut(after_bytes=EVENT_BYTES, reset=False)
        if self._rng.random() >= self._cut_ratio or not exchange.body:
            return None
        if b"/stream/" not in exchange.target:
            return Cut(after_bytes=self._rng.randrange(len(exchange.body)), reset=True)
        whole = self._rng.randrange(self._events) * EVENT_BYTES
        after_bytes = whole + self._rng.randrange(1, EVENT_BYTES)
        return Cut(after_bytes=after_bytes, reset=self._rng.random() < 0.5)

    def _new_listener(self, sock: socket.socket) -> "UnframedListener":
        return UnframedListener(sock=sock, upstream=self)

    def _end_connection(self, conn: "_UnframedConnection", *, reset: bool) -> None:
        conn.abort(reset=reset)


class UnframedListener:
    """Accepts connections that carry one request each."""

    def __init__(self, *, sock: socket.socket, upstream: UnframedUpstream) -> None:
        self._sock = sock
        self.upstream = upstream
        self.connections: set[_UnframedConnection] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        """Start accepting connections."""
        self._server = await asyncio.start_server(self._serve, sock=self._sock)

    async def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = _UnframedConnection(writer=writer, upstream=self.upstream)
        self.connections.add(conn)
        with contextlib.suppress(OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            await conn.serve(reader, self.upstream)
        self.connections.discard(conn)
        writer.close()


class _UnframedConnection(AnswerWriter):
    """One connection; it writes an answer's bytes as they are, up to its cut."""

    def __init__(self, *, writer: asyncio.StreamWriter, upstream: UnframedUpstream) -> None:
        self._writer = writer
        self._upstream = upstream
        self._left: Cut | None = None
        self._ended = False
        self.can_write = asyncio.Event()
        self.can_write.set()

    async def serve(self, reader: asyncio.StreamReader, handler: ExchangeHandler) -> None:
        """Read one request and answer it."""
        http = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                break
            else:
                return
        now = asyncio.get_running_loop().time()
        await handler.handle(Exchange(request=request, body=body, conn=self, received_at=now))

    def has_peer_left(self) -> bool:
        """Return False: a caller that leaves is noticed by the reads."""
        return False

    def serves(self, exchange: Exchange) -> bool:
        """Return whether the answer is still being written."""
        return not self._ended

    def write_head(self, exchange: Exchange, status: int, headers: Headers, reason: bytes) -> None:
        """Write a head without the length of the body."""
        lines = [b"HTTP/1.1 %d %s" % (status, reason or b"Status")]
        lines += [b"%s: %s" % field for field in headers if field[0].lower() != b"content-length"]
        self._writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
        self._left = self._upstream.next_cut(exchange) if status == 200 else None

    def write(self, exchange: Exchange, event: h11.Event) -> None:
        """Write a part of the body, or end the connection; die at the cut."""
        if self._ended:
            return
        if isinstance(event, h11.EndOfMessage):
            self._ended = True
            self._writer.close()
            return
        assert isinstance(event, h11.Data)
        cut = self._left
        if cut is None or len(event.data) < cut.after_bytes:
            self._writer.write(event.data)
            if cut is not None:
                left = cut.after_bytes - len(event.data)
                self._left = dataclasses.replace(cut, after_bytes=left)
            return
        if not self._upstream.is_up:  # its last crash is not over, so that this one does not begin
            self.abort()
            return
        self._writer.write(event.data[: cut.after_bytes])
        self._upstream.crash(reset=cut.reset)

    def reset(self, exchange: Exchange, *, discard: bool) -> None:
        """Reset the connection."""
        self.abort()

    def abort(self, *, reset: bool = True) -> None:
        """End the connection at once, by a reset or in order."""
        self._ended = True
        if not reset:
            self._writer.close()
            return
        sock = self._writer.get_extra_info("socket")
        if sock.fileno() < 0:  # it has been closed, though its answer is not done with yet
            return
        set_reset_on_close(sock)
        self._writer.transport.abort()

    def close_idle(self) -> None:
        """Close the connection."""
        self._writer.close()
