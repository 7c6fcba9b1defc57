"""Logs entries of other writers that bear the id of an upstream."""

import eliot

from cassiawalk.ids import Offset
from cassiawalk.storeview.upstream import Registration

MAX_LINES = 100  # in the log of one process


class ForeignEntries:
    """Logs foreign entries, a bounded number of them."""

    def __init__(self) -> None:
        self._lines = 0

    def note(self, registration: Registration, offset: Offset) -> None:
        """Record that an entry was ignored.

        :param offset: the entry's place in the store.
        """
        self._lines += 1
        if self._lines > MAX_LINES:
            return
        eliot.log_message(
            message_type="directory:foreign-entry",
            upstream=registration.upstream_id,
            service=registration.service,
            address=registration.address,
            started_ms=registration.started_ms,
            offset=offset,
            lines_left=MAX_LINES - self._lines,
        )
