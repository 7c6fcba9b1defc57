"""True time of day on a host whose clock may step."""

import statistics

import eliot

from cassiawalk.clock import Clock
from cassiawalk.ids import HostId

STEP_S = 0.4  # differences beyond this are steps, not drift or delay
PEER_AGE_S = 5.0


class CorrectedTime:
    """The time of day at the process's start, carried on by the clock that never steps.

    Where most other hosts agree on another time, theirs is taken.

    :param clock: one that counts time for which the host was suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._offset_s = clock.wall() - clock.monotonic()
        self._differences: dict[HostId, tuple[float, float]] = {}

    def now(self) -> float:
        """Return seconds since the epoch."""
        return self._clock.monotonic() + self._offset_s

    def note_peer(self, host: HostId, its_now_s: float) -> None:
        """Compare with what another host takes for the time as its message arrives."""
        now = self._clock.monotonic()
        self._differences[host] = (now, its_now_s - self.now())
        fresh = [diff for at, diff in self._differences.values() if now - at < PEER_AGE_S]
        if len(fresh) < 2:
            return
        median = statistics.median([*fresh, 0.0])
        if abs(median) > STEP_S:
            self._offset_s += median
            self._differences.clear()
            eliot.log_message(message_type="time:corrected", by_s=round(median, 3))
