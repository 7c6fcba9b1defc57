"""Bounds the work that the bytes of one connection may cause, as they may come without end.

The work is estimated from bytes and pieces. A clock would charge a connection for whatever else the
host does meanwhile.
"""

PIECE_S = 10e-6  # work for one piece of a body, in seconds of a core
BYTE_S = 10e-9
EVENT_STREAM_BYTE_S = 150e-9  # an event may be as short as two bytes
WORK_RATIO = 0.1  # of a core
BURST_S = 0.02  # work that is done at once


class Pacer:
    """Tells how long to wait before more bytes of a connection are read.

    Work that was noted is forgotten at the rate of ``WORK_RATIO``.
    """

    def __init__(self) -> None:
        self._work_s = 0.0
        self._noted_at = 0.0

    def note(self, work_s: float, now: float) -> None:
        """Record work.

        :param now: the time of the event loop, in seconds.
        """
        forgotten_s = WORK_RATIO * (now - self._noted_at)
        self._work_s = max(0.0, self._work_s - forgotten_s) + work_s
        self._noted_at = now

    def delay_s(self, now: float) -> float:
        """Return for how long to read nothing, in seconds; 0 if more may be read now."""
        left_s = self._work_s - WORK_RATIO * (now - self._noted_at)
        return max(0.0, (left_s - BURST_S) / WORK_RATIO)
