"""Splits a stream of server-sent events into whole events.

So a connection that breaks within an event doesn't leave the caller with half of it.
"""

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Returns whole events and holds back an incomplete one.

    ``last_id`` is the id of the last whole event that has one, and ``events`` the number of these
    events.
    """

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_id: bytes | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those up to the end of the last whole event."""
        self._incomplete += data
        end = max(_end_of_last(self._incomplete, separator) for separator in _EVENT_ENDS)
        whole, self._incomplete = self._incomplete[:end], self._incomplete[end:]
        if whole:
            self._note_ids(whole)
        return whole

    def take_incomplete(self) -> bytes:
        """Remove and return the bytes after the last whole event."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                self.events += 1


def _end_of_last(data: bytes, separator: bytes) -> int:
    """Return the offset after the last ``separator`` in ``data``, or 0 if there is none."""
    at = data.rfind(separator)
    return 0 if at < 0 else at + len(separator)
