"""Log lines for connections that a listener closed or refused."""

import collections
import time

import eliot

from cassiawalk.http1.connectionlimits import Closure
from cassiawalk.http1.connectionlimits import ClosureListener

LINE_INTERVAL_S = 1.0  # between two lines on the same cause


class ClosureLog:
    """Counts closures, and logs them at most once in ``LINE_INTERVAL_S`` for each cause.

    :param listener: the name of the listener in the log lines.
    :param on_closed: called for each closure, for the metrics.
    """

    def __init__(self, *, listener: str, on_closed: ClosureListener) -> None:
        self._listener = listener
        self._on_closed = on_closed
        self._unlogged: collections.Counter[Closure] = collections.Counter()
        self._logged_at: dict[Closure, float] = {}

    def note(self, closure: Closure) -> None:
        """Count a closure."""
        self._on_closed(closure)
        self._unlogged[closure] += 1
        now = time.monotonic()
        if now - self._logged_at.get(closure, -LINE_INTERVAL_S) >= LINE_INTERVAL_S:
            self._logged_at[closure] = now
            eliot.log_message(
                message_type="connection:closed",
                listener=self._listener,
                cause=closure.value,
                count=self._unlogged.pop(closure),
            )
