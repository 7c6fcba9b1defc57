"""The time of day, corrected against peers because a host's wall clock may step."""

import statistics

import eliot

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId

STEP_THRESHOLD_S = 0.4  # a larger difference is a clock step, not drift or message delay
PEER_MAX_AGE_S = 5.0


class CorrectedTime:
    """The wall time at the process's start, advanced by the monotonic clock, which never steps.

    If the median difference to the other hosts' times is more than drift or message delay, it is
    added, so that the time follows that of most hosts.

    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._offset_s = clock.wall() - clock.monotonic()
        self._differences: dict[HostId, tuple[float, float]] = {}

    def now(self) -> float:
        """Return the corrected time in seconds since the epoch."""
        return self._clock.monotonic() + self._offset_s

    def note_peer(self, host: HostId, its_now_s: float) -> None:
        """Compare with the corrected time of another host, at the arrival of its message.

        :param its_now_s: the other host's time in seconds since the epoch.
        """
        now = self._clock.monotonic()
        self._differences[host] = (now, its_now_s - self.now())
        fresh = [diff for at, diff in self._differences.values() if now - at < PEER_MAX_AGE_S]
        if len(fresh) < 2:
            return
        median = statistics.median([*fresh, 0.0])
        if abs(median) > STEP_THRESHOLD_S:
            self._offset_s += median
            self._differences.clear()
            eliot.log_message(message_type="time:corrected", by_s=round(median, 3))


class CorrectedClock(Clock):
    """A clock whose wall time is the corrected time.

    :param clock: gives the monotonic time.
    """

    def __init__(self, *, clock: Clock, time: CorrectedTime) -> None:
        self._clock = clock
        self._time = time

    def monotonic(self) -> float:
        """Return the time in seconds on a clock that never goes backwards."""
        return self._clock.monotonic()

    def wall(self) -> float:
        """Return the corrected time in seconds since the epoch."""
        return self._time.now()

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task."""
        await self._clock.sleep(delay_s)
