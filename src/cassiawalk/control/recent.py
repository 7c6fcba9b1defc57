"""The newest raw entries of the stream, kept for hosts that subscribe here."""

import collections

from cassiawalk.clients import LogEntry
from cassiawalk.ids import Offset

MAX_ENTRIES = 2048
MAX_BYTES = 2 * 1024 * 1024


class RecentEntries:
    """Consecutive entries up to the present state, bounded in count and bytes."""

    def __init__(self) -> None:
        self._entries: collections.deque[LogEntry] = collections.deque()
        self._bytes = 0
        self._after: Offset | None = None

    def add(self, entry: LogEntry, *, after: Offset) -> None:
        """Keep an entry.

        :param after: the offset through which the stream was folded before the entry.
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
        """Forget all entries, as after a jump to a snapshot."""
        self._entries.clear()
        self._bytes = 0
        self._after = None

    def after(self, offset: Offset) -> tuple[LogEntry, ...] | None:
        """Return all entries after an offset, or None if some of them are not kept."""
        if self._after is None or offset < self._after:
            return None
        return tuple(entry for entry in self._entries if entry.offset > offset)
