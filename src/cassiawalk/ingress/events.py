"""Splits a stream of server-sent events, so that a cut inside one does not pass on its half."""

_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Passes whole events on and remembers the last one's id."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: bytes | None = None
        self.events = 0

    @property
    def has_incomplete(self) -> bool:
        """Return whether a part of an event waits for its end."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        self._rest += data
        end = max(_end_after(self._rest, mark) for mark in _ENDS)
        whole, self._rest = self._rest[:end], self._rest[end:]
        if whole:
            self._note(whole)
        return whole

    def drop_incomplete(self) -> None:
        """Forget a part of an event whose end will not come."""
        self._rest = b""

    def take_incomplete(self) -> bytes:
        """Return what came after the last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                self.events += 1


def _end_after(data: bytes, mark: bytes) -> int:
    """Return where the last ``mark`` in ``data`` ends, or 0 if there is none."""
    at = data.rfind(mark)
    return 0 if at < 0 else at + len(mark)
