"""Reads the requests of one connection, one at a time."""

import asyncio
import collections.abc as cabc
import enum

import h11

from cassiawalk.http1 import heads
from cassiawalk.http1.bodies import RequestBody
from cassiawalk.http1.owner import ConnectionOwner
from cassiawalk.http1.readahead import ReadAhead
from cassiawalk.http1.turns import ParsingTurns


class Arrived(enum.Enum):
    """How much of a request has arrived."""

    NOTHING = "nothing"
    PART_OF_HEAD = "part of a head"
    HEAD = "head"  # and maybe a part of its body
    ALL = "all"


class RequestReader:
    """Parses requests and keeps what follows them for later.

    ``http`` frames the answer to the request.

    :param go_on: called when ``read`` is to be called again, after a wait.
    """

    def __init__(
        self,
        *,
        listener: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
        go_on: cabc.Callable[[], None],
    ) -> None:
        self._listener = listener
        self._loop = loop
        self._ahead = ReadAhead(total=listener.buffered)
        self._body = RequestBody(
            held=listener.held_bodies, max_bytes=lambda: listener.limits.max_body_bytes
        )
        self._turns = ParsingTurns(loop=loop, go_on=go_on)
        self._request: h11.Request | None = None
        self._in_body = False
        self.http = h11.Connection(h11.SERVER)

    @property
    def has_more(self) -> bool:
        """Return whether bytes of a further request have arrived."""
        return bool(self._ahead)

    @property
    def room_bytes(self) -> int:
        """Return how many bytes of further requests may be added."""
        return self._ahead.room_bytes

    @property
    def is_waiting(self) -> bool:
        """Return whether a body causes so much work that no more may be read for now."""
        return self._turns.is_waiting

    @property
    def body_time_left_s(self) -> float:
        """Return for how long the body may go on to arrive as slowly as it does."""
        return self._body.time_left_s(self._loop.time())

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        if self._in_body:
            self.http.receive_data(data)
        else:
            self._ahead.add(data)

    def read(self) -> Arrived:
        """Parse what has arrived.

        :raises HeadError: if the request can't be taken.
        :raises h11.RemoteProtocolError: if it is malformed.
        """
        if self._in_body:
            return self._parse()
        if self._ahead:
            self._ahead.skip_empty_lines()
        if not self._ahead:
            return Arrived.NOTHING
        head = self._ahead.take_head(self._listener.limits.max_head_bytes)
        if head is None:
            return Arrived.PART_OF_HEAD
        # h11 limits the bytes it has not parsed yet; the head's size was checked above.
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=len(head) + 1)
        self._in_body = True
        self._body.begin(self._loop.time())
        self.http.receive_data(head)
        arrived = self._parse()
        if arrived is Arrived.ALL or not self._ahead:
            return arrived
        self.http.receive_data(self._ahead.take_all())
        return self._parse()

    def take(self) -> tuple[h11.Request, bytes]:
        """Return a request that has arrived completely, and its body."""
        assert self._request is not None
        request, self._request = self._request, None
        return request, self._body.take()

    def continue_response(self) -> bytes:
        """Return the response that tells the client to send the body, if it waits for that."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def release_body(self) -> None:
        """Count the body of the request that was taken as held no more."""
        self._body.release()

    def clear(self) -> None:
        """Drop everything that has arrived."""
        self._ahead.clear()
        self._body.release()
        self._turns.stop()
        self._in_body = False

    def _parse(self) -> Arrived:
        arrived = Arrived.HEAD
        while arrived is not Arrived.ALL and not self._turns.is_waiting and not self._turns.is_over:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                heads.check_request(event)
                self._request = event
                self._check_length(event)
            elif isinstance(event, h11.Data):
                self._turns.note_piece()
                self._body.add(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._in_body = False
                self._ahead.add(self.http.trailing_data[0])
                arrived = Arrived.ALL
            else:
                break
        self._turns.end(may_wait=arrived is not Arrived.ALL)
        if arrived is Arrived.HEAD and self._body.has_small_parts and self._turns.is_crowded:
            raise heads.HeadError(503, "too many bodies come in small chunks now")
        return arrived

    def _check_length(self, request: h11.Request) -> None:
        length = heads.header_value(list(request.headers), b"content-length")
        if length is not None:
            self._body.check_announced(int(length))
