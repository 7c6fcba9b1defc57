"""Accepts connections from peers and serves their calls."""

import asyncio
import collections.abc as cabc
import functools
import hmac
import http
import socket
import typing as t

import eliot
from websockets.asyncio.server import Server
from websockets.asyncio.server import ServerConnection
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed
from websockets.http11 import Request
from websockets.http11 import Response

from cassiawalk.app import Component
from cassiawalk.errors import WireError
from cassiawalk.metering import Meter
from cassiawalk.peer import _frames
from cassiawalk.peer.handshake import BoundedServerConnection
from cassiawalk.peer.messages import CancelCall
from cassiawalk.peer.messages import PeerFault
from cassiawalk.peer.messages import StreamPart
from cassiawalk.peer.sending import MAX_WAITING_BYTES
from cassiawalk.peer.sending import FrameSender

_M = t.TypeVar("_M")
Handler = cabc.Callable[[t.Any], cabc.Awaitable[object]]
StreamHandler = cabc.Callable[[t.Any], cabc.AsyncIterator[object]]


class PeerServer(Component):
    """Dispatches calls to handlers by message type, with one task for each call.

    A connection has up to ``MAX_CALLS`` calls under way; those beyond it are answered with a fault,
    and nothing more is read until the peer takes it. Replies wait until what was written before
    them has left the process, see ``FrameSender``.

    :param secret: the secret that all hosts share; a peer without it is refused.
    :param traffic: counts the bytes of all frames.
    """

    def __init__(self, *, sock: socket.socket, secret: str, traffic: Meter | None = None) -> None:
        self._traffic = traffic or Meter()
        self._sock = sock
        self._secret = secret
        self._handlers: dict[type, Handler] = {}
        self._stream_handlers: dict[type, StreamHandler] = {}
        self._server: Server | None = None

    def handle(
        self, message: type[_M], handler: cabc.Callable[[_M], cabc.Awaitable[object]]
    ) -> None:
        """Register the handler that returns the reply to calls of one type."""
        self._handlers[message] = handler

    def handle_stream(
        self, message: type[_M], handler: cabc.Callable[[_M], cabc.AsyncIterator[object]]
    ) -> None:
        """Register the handler that yields ``StreamPart`` replies to calls of one type."""
        self._stream_handlers[message] = handler

    async def start(self) -> None:
        """Start accepting connections."""
        self._server = await serve(
            self._serve,
            sock=self._sock,
            process_request=self._authorize,
            max_size=_frames.MAX_FRAME_BYTES,
            write_limit=MAX_WAITING_BYTES,
            compression=None,
            ping_interval=_frames.PING_INTERVAL_S,
            ping_timeout=_frames.PING_TIMEOUT_S,
            close_timeout=_frames.CLOSE_TIMEOUT_S,
            create_connection=BoundedServerConnection,
        )

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        await super().stop()

    def _authorize(self, conn: ServerConnection, req: Request) -> Response | None:
        offered = req.headers.get(_frames.SECRET_HEADER, "")
        if hmac.compare_digest(offered.encode(), self._secret.encode()):
            return None
        return conn.respond(http.HTTPStatus.FORBIDDEN, "wrong peer secret\n")

    async def _serve(self, conn: ServerConnection) -> None:
        calls: dict[int, asyncio.Task[None]] = {}
        sender = FrameSender(conn=conn, traffic=self._traffic)
        try:
            async for data in conn:
                self._traffic.note_received(len(data))
                number, message = _frames.decode_frame(data)
                if isinstance(message, CancelCall):
                    _cancel(calls, number)
                    continue
                if len(calls) >= _frames.MAX_CALLS:
                    eliot.log_message(message_type="peer:too-many-calls", calls=len(calls))
                    await sender.send(number, PeerFault(reason="too many calls under way"))
                    continue
                task = asyncio.create_task(self._answer(sender, number, message))
                calls[number] = task
                task.add_done_callback(functools.partial(_remove_call, calls, number))
        except WireError as exc:
            eliot.log_message(message_type="peer:bad-frame", fault=str(exc))
        except ConnectionClosed:
            pass
        finally:
            for task in calls.values():
                task.cancel()

    async def _answer(self, sender: FrameSender, number: int, message: object | None) -> None:
        try:
            if type(message) in self._stream_handlers:
                await self._answer_stream(sender, number, message)
            else:
                await sender.send(number, await self._reply(message))
        except ConnectionClosed:
            return

    async def _answer_stream(self, sender: FrameSender, number: int, message: object) -> None:
        last: object = StreamPart(last=True)
        try:
            async for part in self._stream_handlers[type(message)](message):
                await sender.send(number, part)
        except ConnectionClosed:
            raise
        except Exception as exc:
            # Only this call fails; the connection also serves others.
            eliot.log_message(message_type="peer:handler-failed", error=repr(exc))
            last = PeerFault(reason=repr(exc))
        await sender.send(number, last)

    async def _reply(self, message: object | None) -> object:
        if isinstance(message, _frames.BadMessage):
            return message.fault()
        handler = self._handlers.get(type(message))
        if handler is None:
            return PeerFault(reason=f"no handler for {type(message).__name__}")
        try:
            return await handler(message)
        except Exception as exc:
            # Only this call fails; the connection also serves others.
            eliot.log_message(message_type="peer:handler-failed", error=repr(exc))
            return PeerFault(reason=repr(exc))


def _remove_call(calls: dict[int, asyncio.Task[None]], number: int, _: asyncio.Task[None]) -> None:
    calls.pop(number, None)


def _cancel(calls: dict[int, asyncio.Task[None]], number: int) -> None:
    task = calls.get(number)
    if task is not None:
        task.cancel()
