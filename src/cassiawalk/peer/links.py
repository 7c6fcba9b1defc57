"""Connections to peers, opened on first use."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import itertools
import typing as t

import eliot
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from websockets.exceptions import InvalidHandshake

from cassiawalk.app import Component
from cassiawalk.errors import WireError
from cassiawalk.ids import HostId
from cassiawalk.membership import Membership
from cassiawalk.metering import Meter
from cassiawalk.peer import _frames
from cassiawalk.peer.handshake import BoundedClientConnection
from cassiawalk.peer.messages import CancelCall
from cassiawalk.peer.messages import PeerFault
from cassiawalk.peer.messages import StreamPart
from cassiawalk.peer.sending import MAX_WAITING_BYTES
from cassiawalk.peer.sending import FrameSender

CONNECT_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0  # for the answer to a ping, which needs no handler of the peer
MAX_QUEUED_REPLIES = 64
OVERRUN_REASON = "stream reader too slow: reply queue full"
_R = t.TypeVar("_R")


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerFailure:
    """A call without a usable reply.

    ``sent`` is False if the peer can't have received the call, and True if it may have.
    """

    reason: str
    sent: bool


class _ReplyQueue:
    """A bounded queue of the replies to one call that have not been consumed yet.

    ``is_written`` tells whether the call was written to the connection.
    """

    def __init__(self) -> None:
        self.is_written = False
        self._queue: asyncio.Queue[object] = asyncio.Queue()
        self.closed = False

    def put(self, reply: object) -> None:
        """Queue a reply; if the queue is full, a fault ends the call instead."""
        if self.closed:
            return
        if self._queue.qsize() >= MAX_QUEUED_REPLIES:
            reply = PeerFault(reason=OVERRUN_REASON)
        self.closed = isinstance(reply, PeerFault)
        self._queue.put_nowait(reply)

    def note_written(self) -> None:
        """Record that the peer may receive the call from now on."""
        self.is_written = True

    async def take(self) -> object:
        """Wait for the next reply and return it."""
        return await self._queue.get()


class _Link:
    """One open connection and the reply queues of its pending calls.

    ``probed`` tells whether an answer to a ping is awaited, after a call without a reply.
    """

    def __init__(self, *, conn: ClientConnection, traffic: Meter) -> None:
        self.conn = conn
        self.sender = FrameSender(conn=conn, traffic=traffic)
        self._traffic = traffic
        self.replies: dict[int, _ReplyQueue] = {}
        self.closed = False
        self.probed = False

    async def receive(self) -> None:
        """Queue incoming replies for their calls until the connection ends."""
        try:
            async for data in self.conn:
                self._deliver(data)
        except (ConnectionClosed, WireError) as exc:
            eliot.log_message(message_type="peer:link-lost", error=repr(exc))
        finally:
            self.closed = True
            for replies in self.replies.values():
                replies.put(PeerFault(reason="connection lost"))
            await self.conn.close()

    def _deliver(self, data: bytes | str) -> None:
        self._traffic.note_received(len(data))
        number, message = _frames.decode_frame(data)
        replies = self.replies.get(number)
        if replies is None:
            return
        if isinstance(message, _frames.BadMessage):
            message = message.fault()
        replies.put(message or PeerFault(reason="reply with an unknown message tag"))


class PeerLinks(Component):
    """Calls peers by host id, over at most one connection to each peer.

    A call waits until what was written before it has left the process, see ``FrameSender``, and
    fails as not sent if its time is over before. Beyond ``MAX_CALLS`` calls under way on a
    connection, calls fail at once as not sent. A link without an answer to a ping is dropped.
    """

    def __init__(
        self, *, membership: Membership, secret: str, traffic: Meter | None = None
    ) -> None:
        self._traffic = traffic or Meter()
        self._membership = membership
        self._secret = secret
        self._links: dict[HostId, _Link] = {}
        self._locks: dict[HostId, asyncio.Lock] = {}
        self._numbers = itertools.count(1)

    async def call(
        self, host: HostId, message: object, reply: type[_R], *, timeout_s: float
    ) -> _R | PeerFailure:
        """Send one call and return its reply, or a failure after ``timeout_s`` seconds.

        :param reply: the type of the expected reply; any other reply is returned as a failure.
        """
        queue = _ReplyQueue()
        try:
            async with asyncio.timeout(timeout_s):
                async with contextlib.aclosing(self._exchange(host, message, queue)) as replies:
                    answer = await anext(replies)
        except TimeoutError:
            self._probe_link(host)
            reason = f"no reply from {host} within {timeout_s} s"
            return PeerFailure(reason=reason, sent=queue.is_written)
        if isinstance(answer, reply):
            return answer
        if isinstance(answer, PeerFailure):
            return answer
        reason = answer.reason if isinstance(answer, PeerFault) else "reply of an unexpected type"
        return PeerFailure(reason=reason, sent=True)

    async def stream(
        self, host: HostId, message: object
    ) -> cabc.AsyncGenerator[dict[str, t.Any] | PeerFailure, None]:
        """Yield the items of a streamed reply; a failure is yielded as the last item."""
        exchange = self._exchange(host, message, _ReplyQueue(), streamed=True)
        async with contextlib.aclosing(exchange) as replies:
            async for answer in replies:
                if not isinstance(answer, StreamPart):
                    reason = getattr(answer, "reason", "reply of an unexpected type")
                    yield PeerFailure(reason=reason, sent=True)
                    return
                if answer.last:
                    return
                if answer.item is not None:
                    yield answer.item

    def drop(self, host: HostId) -> None:
        """Open a new connection for the next call to a host, as another process has its address.

        The old connection may be silent for seconds: a host that lost power did not close it.
        """
        link = self._links.pop(host, None)
        if link is not None and not link.closed:
            eliot.log_message(message_type="peer:link-dropped", peer=host)
            link.conn.transport.abort()

    def _probe_link(self, host: HostId) -> None:
        """Find out whether the link or only a call is silent; a silent link is dropped."""
        link = self._links.get(host)
        if link is None or link.closed or link.probed:
            return
        link.probed = True
        self.spawn(self._drop_if_silent(host, link), name=f"peer-probe-{host}")

    async def _drop_if_silent(self, host: HostId, link: _Link) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await (await link.conn.ping())
        except TimeoutError:
            if self._links.get(host) is link:
                self.drop(host)
        except ConnectionClosed:
            return
        finally:
            link.probed = False

    async def stop(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(link.conn.close() for link in self._links.values()))
        await super().stop()

    async def _exchange(
        self, host: HostId, message: object, replies: _ReplyQueue, *, streamed: bool = False
    ) -> cabc.AsyncGenerator[object, None]:
        link = await self._link(host)
        if isinstance(link, PeerFailure):
            yield link
            return
        if len(link.replies) >= _frames.MAX_CALLS:
            yield PeerFailure(reason=f"too many calls of {host} under way", sent=False)
            return
        number = next(self._numbers)
        link.replies[number] = replies
        answer: object = None
        try:
            await link.sender.send(number, message, on_write=replies.note_written)
            while True:
                answer = await replies.take()
                yield answer
        except ConnectionClosed as exc:
            yield PeerFailure(reason=repr(exc), sent=replies.is_written)
        finally:
            del link.replies[number]
            ended = isinstance(answer, StreamPart) and answer.last
            if streamed and replies.is_written and not ended and not link.closed:
                self.spawn(self._cancel(link, number), name=f"peer-cancel-{number}")

    async def _cancel(self, link: _Link, number: int) -> None:
        """Tell the peer to stop a stream that is no longer read."""
        with contextlib.suppress(ConnectionClosed):
            await link.sender.send(number, CancelCall())

    async def _link(self, host: HostId) -> _Link | PeerFailure:
        async with self._locks.setdefault(host, asyncio.Lock()):
            link = self._links.get(host)
            if link is not None and not link.closed:
                return link
            return await self._open(host)

    async def _open(self, host: HostId) -> _Link | PeerFailure:
        entry = self._membership.entry(host)
        if entry is None or not entry.peer_address:
            return PeerFailure(reason=f"no peer address for host {host}", sent=False)
        try:
            conn = await connect(
                f"ws://{entry.peer_address}",
                additional_headers={_frames.SECRET_HEADER: self._secret},
                open_timeout=CONNECT_TIMEOUT_S,
                max_size=_frames.MAX_FRAME_BYTES,
                write_limit=MAX_WAITING_BYTES,
                compression=None,
                ping_interval=_frames.PING_INTERVAL_S,
                ping_timeout=_frames.PING_TIMEOUT_S,
                close_timeout=_frames.CLOSE_TIMEOUT_S,
                create_connection=BoundedClientConnection,
            )
        except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed) as exc:
            self._membership.mark_unreachable(host)
            return PeerFailure(reason=repr(exc), sent=False)
        link = _Link(conn=conn, traffic=self._traffic)
        self._links[host] = link
        self.spawn(link.receive(), name=f"peer-link-{host}")
        return link
