"""Finds clients that do not take their responses."""

import asyncio
import collections.abc as cabc
import fcntl
import struct
import termios

# A client that reads at less than this for a whole time-out is disconnected. At a byte per second
# a response of 64 KB would hold its connection for 18 hours; tokens come at 100 bytes per second.
MIN_TAKEN_BYTES_PER_S = 16


def unacknowledged_bytes(fd: int) -> int:
    """Return how many bytes the kernel holds that the other side has not acknowledged."""
    try:
        found = fcntl.ioctl(fd, termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return 0
    size: int = struct.unpack("i", found)[0]
    return size


class StallWatch:
    """Watches a connection while its write buffer holds more than it should.

    :param taken: returns how many bytes the client has taken so far.
    :param timeout_s: returns how long it may take too few.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        taken: cabc.Callable[[], int],
        timeout_s: cabc.Callable[[], float],
        on_stalled: cabc.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._taken = taken
        self._timeout_s = timeout_s
        self._on_stalled = on_stalled
        self._handle: asyncio.TimerHandle | None = None
        self._taken_before = 0

    def start(self) -> None:
        """Begin to watch, unless begun."""
        if self._handle is None:
            self._watch()

    def stop(self) -> None:
        """End the watch."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _watch(self) -> None:
        self._taken_before = self._taken()
        timeout_s = self._timeout_s()
        self._handle = self._loop.call_later(timeout_s, self._check, timeout_s)

    def _check(self, watched_s: float) -> None:
        self._handle = None
        if self._taken() - self._taken_before < MIN_TAKEN_BYTES_PER_S * watched_s:
            self._on_stalled()
        else:
            self._watch()
