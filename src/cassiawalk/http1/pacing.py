"""Bounds the work that the bytes of answers may cause, as they may come without end.

The work is estimated from bytes and pieces. A clock would charge a connection for whatever else the
host does meanwhile.
"""

import asyncio
import weakref

PIECE_S = 20e-6  # work for one piece of a body, in seconds of a core
BYTE_S = 10e-9
EVENT_STREAM_BYTE_S = 150e-9  # an event may be as short as two bytes
WORK_RATIO = 0.1  # of a core, for one connection
BURST_S = 0.02  # work that is done at once
# The same for all connections together; it holds back those that cause more than ``SMALL_S``.
ALL_WORK_RATIO = 0.2
ALL_BURST_S = 0.1
SMALL_S = 0.003


class _Work:
    """Work that was noted and not yet forgotten, in seconds of a core; times in seconds."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._work_s = 0.0
        self._noted_at = 0.0

    def note(self, work_s: float, now: float) -> None:
        """Record work."""
        self._work_s = self.left_s(now) + work_s
        self._noted_at = now

    def left_s(self, now: float) -> float:
        """Return the work that is not forgotten."""
        return max(0.0, self._work_s - self._ratio * (now - self._noted_at))

    def delay_s(self, now: float, *, burst_s: float) -> float:
        """Return after how long no more than ``burst_s`` is left."""
        return max(0.0, (self.left_s(now) - burst_s) / self._ratio)


_of_loops: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, dict[str, _Work]]
_of_loops = weakref.WeakKeyDictionary()


class Pacer:
    """Tells how long to wait before more bytes of a connection are read.

    :param loop: the event loop, whose connections of one group are held back together.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop, group: str = "answers") -> None:
        self._own = _Work(WORK_RATIO)
        groups = _of_loops.setdefault(loop, {})
        self._all = groups.setdefault(group, _Work(ALL_WORK_RATIO))

    def note(self, work_s: float, now: float) -> None:
        """Record work.

        :param now: the time of the event loop, in seconds.
        """
        self._own.note(work_s, now)
        self._all.note(work_s, now)

    def delay_s(self, now: float) -> float:
        """Return for how long to read nothing, in seconds; 0 if more may be read now."""
        return max(self._own.delay_s(now, burst_s=BURST_S), self.shared_delay_s(now))

    def shared_delay_s(self, now: float) -> float:
        """Return for how long to read nothing because of what all connections cause together."""
        if self._own.left_s(now) <= SMALL_S:
            return 0.0
        return self._all.delay_s(now, burst_s=ALL_BURST_S)
