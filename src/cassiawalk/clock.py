"""Clocks, passed to all code that reads the time so that it can run on virtual time."""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Monotonic and wall-clock time in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return the time in seconds on a clock that never goes backwards."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task.

        :param delay_s: time to sleep in seconds; negative values count as zero.
        """
        await asyncio.sleep(max(0.0, delay_s))


class SystemClock(Clock):
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the system's wall-clock time in seconds."""
        return time.time()


class LoopClock(Clock):
    """The running event loop's clock; on a loop with virtual time, all times are virtual.

    :param epoch_s: wall-clock time at loop time zero, in seconds since the Unix epoch.
    """

    def __init__(self, *, epoch_s: float = 1_800_000_000.0) -> None:
        self._epoch_s = epoch_s

    def monotonic(self) -> float:
        """Return the running loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the running loop's time plus the fixed epoch, in seconds."""
        return self._epoch_s + asyncio.get_running_loop().time()


class BootClock(SystemClock):
    """The system's clocks, with a monotonic clock that also runs while the host is suspended."""

    def monotonic(self) -> float:
        """Return the time in seconds since the host booted, including time it was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
