"""What is written to a client, and what it has not taken yet."""

import asyncio
import collections.abc as cabc
import contextlib
import socket

from cassiawalk.http1.bufferedbytes import BufferedShare
from cassiawalk.http1.connectionlimits import Closure
from cassiawalk.http1.openconnections import Replaceable
from cassiawalk.http1.owner import ConnectionOwner
from cassiawalk.http1.stalls import StallWatch
from cassiawalk.http1.stalls import unacknowledged_bytes

MAX_UNTAKEN_BYTES = 65536  # beyond this, the client is behind
# The kernel keeps no more than this beyond what is on its way; else it takes up to 4 MB for each
# connection before it shows that a client does not read.
MAX_UNSENT_BYTES = 131072


class ClientOutput:
    """Writes to one connection, and ends it if its client takes nothing.

    What is written in one turn of the event loop, or while the kernel takes no more, is kept here
    as one piece. In the transport each piece that waits would cost 5 KB, whatever its length: JSON
    bodies come in buffers of 4 KB, and each write has a structure of 0.8 KB.

    :param conn: the connection, which is aborted.
    :param on_behind: called with whether the client is behind, when this changes.
    """

    def __init__(
        self,
        *,
        conn: Replaceable,
        listener: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
        on_behind: cabc.Callable[[bool], None],
    ) -> None:
        self._conn = conn
        self._listener = listener
        self._loop = loop
        self._on_behind = on_behind
        self._share = BufferedShare(total=listener.buffered)
        self._transport: asyncio.Transport
        self._kept = bytearray()
        self._flush_handle: asyncio.Handle | None = None
        self._written_bytes = 0
        self._is_blocked = False
        self._is_behind = False
        self._watch = StallWatch(
            loop=loop,
            taken=self._taken_bytes,
            timeout_s=lambda: listener.connection_limits.stall_timeout_s,
            on_stalled=self._on_stalled,
        )

    @property
    def waiting_bytes(self) -> int:
        """Return how many bytes the kernel has not been given yet."""
        return len(self._kept) + self._transport.get_write_buffer_size()

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport that is written to."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)

    def write(self, data: bytes) -> None:
        """Write data, whether the client is behind or not."""
        if not data:
            return
        self._written_bytes += len(data)
        self._kept += data
        if self._is_blocked:
            self._note_size()
        elif len(self._kept) > MAX_UNTAKEN_BYTES:
            self.flush()
        elif self._flush_handle is None:
            self._flush_handle = self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Pass on to the transport what has been written."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        if self._kept:
            data, self._kept = self._kept, bytearray()
            self._transport.write(data)

    def block(self) -> None:
        """Note that the kernel takes no more."""
        self._is_blocked = True
        self._watch.start()
        self._note_size()

    def unblock(self) -> None:
        """Note that the kernel has taken what the transport had."""
        self._is_blocked = False
        if not self._transport.is_closing():
            self._watch.stop()
        self.flush()
        self._note_size()

    def close(self) -> None:
        """Close the transport once the client has taken what was written."""
        self.flush()
        self._transport.close()
        if self._transport.get_write_buffer_size() > 0:
            self._watch.start()

    def discard(self) -> None:
        """Forget what the client has not taken."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        self._watch.stop()
        self._kept = bytearray()
        self._listener.open.set_stalled(self._conn, False)
        self._share.set(0)

    def _note_size(self) -> None:
        size = self.waiting_bytes if self._is_blocked else 0
        self._share.set(size)
        behind = size > MAX_UNTAKEN_BYTES
        if behind is not self._is_behind:
            self._is_behind = behind
            self._listener.open.set_stalled(self._conn, behind)
            self._on_behind(behind)
        if behind and self._listener.buffered.is_full:
            self._free_buffers()

    def _free_buffers(self) -> None:
        conn = self._listener.open.longest_stalled()
        if conn is not None:
            self._listener.note_closure(Closure.BUFFERS_FULL)
            conn.abort()

    def _taken_bytes(self) -> int:
        fd = self._transport.get_extra_info("socket").fileno()
        in_kernel = unacknowledged_bytes(fd) if fd >= 0 else 0
        return self._written_bytes - self.waiting_bytes - in_kernel

    def _on_stalled(self) -> None:
        self._listener.note_closure(Closure.STALLED)
        self._conn.abort()
