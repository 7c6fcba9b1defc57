"""Tells which usage windows have been reported, also where the log has lost their records."""

import abc

NO_WINDOW = -1


class ReportProgress(abc.ABC):
    """The last usage window that any host is known to have begun to report."""

    @property
    @abc.abstractmethod
    def last(self) -> int:
        """Return the number of that window, ``NO_WINDOW`` if none is known."""

    @abc.abstractmethod
    def announce(self, window: int) -> int:
        """Record that this host is about to report the windows up to a number.

        :return: the last window that enough other hosts know of. Reports up to it may be sent; for
            those after it the host asks again later, and others learn of them meanwhile.
        """


class LocalProgress(ReportProgress):
    """The windows that this host alone has reported, for a host without others."""

    def __init__(self) -> None:
        self._last = NO_WINDOW

    @property
    def last(self) -> int:
        """Return the last window that was announced, ``NO_WINDOW`` if none was."""
        return self._last

    def announce(self, window: int) -> int:
        """Record the window and return it; there is no host to wait for."""
        self._last = max(self._last, window)
        return window
