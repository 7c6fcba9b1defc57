"""Bytes of a connection that have been received and not been parsed."""

from cassiawalk.http1 import heads
from cassiawalk.http1.bufferedbytes import BufferedBytes
from cassiawalk.http1.bufferedbytes import BufferedShare

MAX_PIPELINED_BYTES = 65536
# Connections read this much ahead also while the buffers of all are full.
MIN_PIPELINED_BYTES = 1024


class ReadAhead:
    """The bytes of the next head, or of requests that wait for the response to the one before."""

    def __init__(self, *, total: BufferedBytes) -> None:
        self._total = total
        self._share = BufferedShare(total=total)
        self._data = bytearray()
        self._checked = 0

    def __len__(self) -> int:
        return len(self._data)

    @property
    def room_bytes(self) -> int:
        """Return how many bytes may be added."""
        most = MIN_PIPELINED_BYTES if self._total.is_full else MAX_PIPELINED_BYTES
        return most - len(self._data)

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        if data:
            self._data += data
            self._share.set(len(self._data))

    def take_head(self, max_bytes: int) -> bytes | None:
        """Take out the next head, or return None if it has not arrived completely.

        Each byte is looked at once, as heads may come one byte at a time.

        :raises HeadError: if the head is too long, malformed, or there is no room for it.
        """
        end = self._data.find(heads.HEAD_END, max(0, self._checked - len(heads.HEAD_END)))
        if (end < 0 and len(self._data) > max_bytes) or end + len(heads.HEAD_END) > max_bytes:
            raise heads.HeadError(431, f"the head is longer than {max_bytes} bytes")
        if end >= 0:
            head = self._take(end + len(heads.HEAD_END))
            heads.check_raw_head(head)
            return head
        complete = len(self._data) - (1 if self._data[-1:] == b"\r" else 0)
        heads.check_raw_lines(self._data, self._checked, complete)
        self._checked = complete
        self._share.set(len(self._data))
        if self._total.is_full and len(self._data) > MIN_PIPELINED_BYTES:
            raise heads.HeadError(503, "this host has no room for the head now")
        return None

    def skip_empty_lines(self) -> None:
        """Drop line ends before a head (RFC 9112, section 2.2)."""
        if self._data.startswith((b"\r", b"\n")):
            del self._data[: len(self._data) - len(self._data.lstrip(b"\r\n"))]
            self._share.set(len(self._data))

    def take_all(self) -> bytes:
        """Take out all bytes."""
        return self._take(len(self._data))

    def clear(self) -> None:
        """Drop all bytes."""
        self._take(len(self._data))

    def _take(self, size: int) -> bytes:
        taken = bytes(self._data[:size])
        del self._data[:size]
        self._checked = 0
        self._share.set(len(self._data))
        return taken
