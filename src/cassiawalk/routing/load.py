"""Estimated load of one upstream between its delayed load reports."""

import collections

from cassiawalk.clients import LoadReport
from cassiawalk.clock import Clock

MAX_REPORT_AGE_S = 15.0


class UpstreamLoad:
    """Requests of other hosts from the last report, plus the current requests of this host.

    A report counts requests of this host that have ended since it was measured, and misses those
    sent since. The number that this host had at that time is therefore subtracted, and its current
    number is added. The start and end of a request of this host count immediately, even if reports
    are late.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._own = 0
        self._others = 0
        self._measured_at = -MAX_REPORT_AGE_S
        self._changes: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def own(self) -> int:
        """Return how many requests of this host run or wait at the upstream."""
        return self._own

    @property
    def others(self) -> int:
        """Return the number of requests of other hosts when the report was measured."""
        return self._others

    @property
    def report_age_s(self) -> float:
        """Return the time since the last report was measured, in seconds."""
        return self._clock.monotonic() - self._measured_at

    def set_own_count(self, count: int) -> None:
        """Record how many requests of this host run or wait at the upstream now."""
        now = self._clock.monotonic()
        self._own = count
        self._changes.append((now, count))
        self._drop_changes_before(now - MAX_REPORT_AGE_S)

    def note_report(self, report: LoadReport) -> None:
        """Apply a report.

        Its age is the difference between this host's and the reporter's clock, limited to
        ``MAX_REPORT_AGE_S`` so that a wrong clock does little harm.
        """
        age_s = min(max(0.0, self._clock.wall() - report.measured_s), MAX_REPORT_AGE_S)
        measured_at = self._clock.monotonic() - age_s
        self._drop_changes_before(measured_at)
        first = self._changes[0] if self._changes else None
        known = first is not None and first[0] <= measured_at
        own_then = first[1] if first is not None and known else 0
        self._others = max(0, report.running + report.waiting - own_then)
        self._measured_at = measured_at

    def _drop_changes_before(self, limit: float) -> None:
        """Drop changes before ``limit`` except the last, which holds the count at ``limit``."""
        while len(self._changes) > 1 and self._changes[1][0] <= limit:
            self._changes.popleft()
