"""Splits a stream of server-sent events into whole events.

So a connection that breaks within an event doesn't leave the caller with half of it. An event ends
with an empty line; a line ends with LF, CRLF or CR, also mixed (HTML standard, section 9.2.5).
"""

import re

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(rb"(?:^|%b)%b+" % (_LINE_END, _LINE_END))
_BLANK_LINES = re.compile(rb"%b{3,}" % _LINE_END)  # those after an event's end change nothing
_LONGEST_LINE_END = 2
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventSplitter:
    """Returns whole events and holds back an incomplete one.

    ``last_id`` is the id of the last whole event that has one, and ``events`` the number of these
    events. ``with_content`` counts whole events that have an id or data, and not only comments.
    ``resumable`` tells whether ``last_id`` covers all data that was returned.
    """

    def __init__(self) -> None:
        self._incomplete = b""
        self._ended_with_cr = False
        self.last_id: bytes | None = None
        self.events = 0
        self.with_content = 0
        self.resumable = True

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those up to the end of the last whole event.

        An event whose last line ends with CR is returned at once; if LF follows, which is the rest
        of that line's end, it is returned by the next call.
        """
        if not data:
            return b""
        late_line_feed = b""
        if self._ended_with_cr and data.startswith(b"\n"):
            late_line_feed, data = data[:1], data[1:]
        self._ended_with_cr = False
        whole = self._split(data)
        if whole:
            self._note_ids(whole)
            self._ended_with_cr = not self._incomplete and whole.endswith(b"\r")
        return late_line_feed + whole

    @property
    def incomplete_bytes(self) -> int:
        """Return the number of bytes after the last whole event."""
        return len(self._incomplete)

    def take_incomplete(self) -> bytes:
        """Remove and return the bytes after the last whole event, as its connection has ended."""
        incomplete, self._incomplete = self._incomplete, b""
        self._ended_with_cr = False
        return incomplete

    def _split(self, data: bytes) -> bytes:
        """Return all bytes up to the end of the last whole event, and keep the others."""
        searched = max(0, len(self._incomplete) - _LONGEST_LINE_END)
        data = self._incomplete + data
        end = len(data)
        if not data.endswith(b"\n\n"):
            end = max((found.end() for found in _EVENT_END.finditer(data, searched)), default=0)
        self._incomplete = data[end:]
        return data[:end]

    def _note_ids(self, whole: bytes) -> None:
        has_data = has_id = False
        lines = _BLANK_LINES.sub(b"\n\n", whole.removeprefix(_BYTE_ORDER_MARK)).splitlines()
        for line in lines:
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                self.events += 1
                has_id = True
            elif line.startswith(b"data"):
                has_data = True
            if line:
                continue
            if has_data:
                self.resumable = has_id
            self.with_content += has_data or has_id
            has_data = has_id = False
