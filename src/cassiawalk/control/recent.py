"""Buffer of the newest raw entries of the stream, for hosts that subscribe to this one."""

import collections

from cassiawalk.clients import LogEntry
from cassiawalk.ids import Offset

MAX_ENTRIES = 2048
MAX_BYTES = 2 * 1024 * 1024


class RecentEntries:
    """Consecutive entries up to the current state, bounded in number and total bytes."""

    def __init__(self) -> None:
        self._entries: collections.deque[LogEntry] = collections.deque()
        self._bytes = 0
        self._after: Offset | None = None

    def add(self, entry: LogEntry, *, after: Offset) -> None:
        """Append an entry and drop the oldest ones beyond the bounds.

        :param after: the offset of the state before the entry.
        """
        if self._after is None:
            self._after = after
        self._entries.append(entry)
        self._bytes += len(entry.payload)
        while len(self._entries) > MAX_ENTRIES or self._bytes > MAX_BYTES:
            dropped = self._entries.popleft()
            self._bytes -= len(dropped.payload)
            self._after = dropped.offset

    def clear(self) -> None:
        """Remove all entries, as when the state was replaced by a snapshot."""
        self._entries.clear()
        self._bytes = 0
        self._after = None

    def after(self, offset: Offset) -> tuple[LogEntry, ...] | None:
        """Return all entries after an offset, or None if some of them were dropped."""
        if self._after is None or offset < self._after:
            return None
        return tuple(entry for entry in self._entries if entry.offset > offset)
