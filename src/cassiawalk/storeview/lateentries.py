"""Tells of entries that are ignored, as their upstream wrote them before one that is known."""

import collections.abc as cabc

import eliot

from cassiawalk.ids import Offset
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration

MAX_LINES = 100  # in the log of one process

LateListener = cabc.Callable[[Registration], None]


class LateEntries:
    """Logs late entries, a bounded number of them, and tells its listeners of each."""

    def __init__(self) -> None:
        self._lines = 0
        self._listeners: list[LateListener] = []

    def add_listener(self, listener: LateListener) -> None:
        """Call ``listener`` with each entry that is ignored, as a later one is known."""
        self._listeners.append(listener)

    def note(self, registration: Registration, offset: Offset, *, is_known: bool) -> None:
        """Record that an entry was late.

        :param offset: the entry's place in the store.
        :param is_known: whether the directory holds an upstream of that id.
        """
        for listener in self._listeners:
            listener(registration)
        self._lines += 1
        if self._lines > MAX_LINES:
            return
        eliot.log_message(
            message_type="directory:late-entry",
            upstream=registration.upstream_id,
            started_ms=registration.started_ms,
            sequence=registration.sequence,
            leaving=registration.presence is Presence.LEAVING,
            offset=offset,
            is_known=is_known,
            lines_left=MAX_LINES - self._lines,
        )
