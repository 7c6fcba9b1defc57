"""Writes the frames of one connection without letting them pile up in its write buffer."""

import asyncio
import collections.abc as cabc
import contextlib

from websockets.asyncio.connection import Connection

from cassiawalk.metering import Meter
from cassiawalk.peer import _frames

# Of one connection, beside one frame. A hub has 80 connections each way, so that this is 20 MB if
# none of its peers reads.
MAX_WAITING_BYTES = 128 * 1024


def _ignore() -> None:
    return None


class FrameSender:
    """Sends frames one after the other, each when no more than ``MAX_WAITING_BYTES`` wait.

    A frame is encoded when its turn comes. The connection has ``MAX_WAITING_BYTES`` as its limit
    for writes, so that it signals when there is room.
    """

    def __init__(self, *, conn: Connection, traffic: Meter) -> None:
        self._conn = conn
        self._traffic = traffic
        self._turn = asyncio.Lock()

    async def send(
        self, number: int, message: object, *, on_write: cabc.Callable[[], None] = _ignore
    ) -> None:
        """Send one frame; if it is cancelled before its turn, nothing is written.

        :param on_write: called right before the frame is written.
        :raises ConnectionClosed: if the connection has ended.
        """
        async with self._turn:
            # The library writes first and waits then, so that without this each call that gives up
            # its wait would let another frame into the buffer.
            with contextlib.suppress(OSError):  # of a lost connection, which the next call reports
                await self._conn.drain()
            frame = _frames.encode_frame(number, message)
            self._traffic.note_sent(len(frame))
            on_write()
            await self._conn.send(frame)
