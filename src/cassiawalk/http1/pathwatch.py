"""Finds connections whose network path is broken while a long request is on its way.

The kernel's own limit on unacknowledged data also ends connections to an upstream that is alive and
takes no data for a while. Here only the lack of any acknowledgement counts: an upstream whose
buffers are full acknowledges the probes for room in them.
"""

import asyncio
import collections.abc as cabc

from cassiawalk.http1.keepalive import set_unacked_limit
from cassiawalk.sockets import HasOptions
from cassiawalk.sockets import unanswered_segments

CHECK_INTERVAL_S = 0.5
# Retransmissions or probes in a row; with the shortest time-outs, four take 3 s.
MAX_UNANSWERED = 4


class PathWatch:
    """Watches a connection in place of the kernel while data is on its way.

    :param is_sending: returns whether the upstream has not taken the whole request yet.
    :param on_broken: called once nothing has been acknowledged for too long.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        sock: HasOptions,
        is_sending: cabc.Callable[[], bool],
        on_broken: cabc.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._is_sending = is_sending
        self._on_broken = on_broken
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to watch, unless begun; the kernel goes on if it does not tell what it sees."""
        if self._handle is not None or unanswered_segments(self._sock) is None:
            return
        set_unacked_limit(self._sock, limited=False)
        self._handle = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """End the watch; the connection is closed."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _check(self) -> None:
        self._handle = None
        if not self._is_sending():
            set_unacked_limit(self._sock, limited=True)
            return
        if (unanswered_segments(self._sock) or 0) >= MAX_UNANSWERED:
            self._on_broken()
            return
        self._handle = self._loop.call_later(CHECK_INTERVAL_S, self._check)
