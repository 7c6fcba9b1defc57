"""Admission control: whether a new request is accepted or refused."""

import collections.abc as cabc
import random

from cassiawalk.admission.limits import WorkspaceLimiter
from cassiawalk.admission.scheduler import Forecast
from cassiawalk.admission.scheduler import Scheduler
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

LOOSE_SLACK = 2.0
TIGHT_SLACK = 0.5
TIGHT_MISS_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.5
RETRY_SPREAD = 0.5
NO_UPSTREAM_RETRY_AFTER_S = 2.0


QuarantineCheck = cabc.Callable[[RequestRecord], Refusal | None]


def _no_quarantine(_: RequestRecord) -> Refusal | None:
    """Accept every request."""
    return None


class AdmissionGate:
    """Refuses requests that are quarantined, over a limit, or can't be served in time.

    A request of a kind other than must-arrive is refused if its first token is expected later than
    its latency target times a slack factor. The factor is large while accepted requests meet their
    targets, because a refusal after a wrong forecast is a certain miss. It is small while they miss
    their targets, because the wait in the queue then settles at the longest that is accepted.

    :param loose_slack: the factor when no request misses its target; None checks only deadlines.
    :param tight_slack: the factor when ``TIGHT_MISS_SHARE`` of the requests miss their targets.
    :param limits: the workspace limits; None applies no limits.
    :param quarantine: returns the refusal of a quarantined request, or None.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        clock: Clock,
        rng: random.Random | None = None,
        loose_slack: float | None = LOOSE_SLACK,
        tight_slack: float = TIGHT_SLACK,
        limits: WorkspaceLimiter | None = None,
        quarantine: QuarantineCheck = _no_quarantine,
    ) -> None:
        self._scheduler = scheduler
        self._quarantine = quarantine
        self._clock = clock
        self._rng = rng or random.Random()
        self._loose_slack = loose_slack
        self._tight_slack = tight_slack
        self._limits = limits

    def check(self, record: RequestRecord) -> Refusal | None:
        """Return a refusal, or None to accept the request."""
        left_s = record.deadline_s - self._clock.wall()
        if left_s <= 0.0:
            return Refusal(code=ResultCode.BAD_DEADLINE, detail="the deadline has passed already")
        refusal = self._quarantine(record) or self._scheduler.refusal(record)
        if refusal is not None:
            return refusal
        refusal = self._lateness_refusal(record, left_s)
        if refusal is not None or self._limits is None:
            return refusal
        return self._limits.check(record)

    def _lateness_refusal(self, record: RequestRecord, left_s: float) -> Refusal | None:
        forecast = self._scheduler.forecast(record)
        if forecast is None:
            return self._no_upstream_refusal(record)
        excess_s = self._excess_s(record, forecast, left_s)
        if excess_s <= 0.0:
            return None
        return Refusal(
            code=ResultCode.DEADLINE_UNREACHABLE,
            detail=f"the first token is expected in {forecast.first_s:.1f} s,"
            f" the end in {forecast.end_s:.1f} s",
            retry_after_s=self._retry_after_s(excess_s),
        )

    def _excess_s(self, record: RequestRecord, forecast: Forecast, left_s: float) -> float:
        """Return how many seconds too late the request would be served; negative if in time."""
        excess_s = forecast.end_s - left_s
        needs_target = record.kind.mode is not KindMode.MUST_ARRIVE
        if needs_target and self._loose_slack is not None and forecast.queued:
            slack = self._slack(self._loose_slack, self._scheduler.miss_share(record.pool))
            limit_s = slack * record.kind.target_ms / 1000
            excess_s = max(excess_s, forecast.first_s - limit_s)
        return excess_s

    def _slack(self, loose: float, miss_share: float) -> float:
        """Return the slack factor for a share of requests that miss their targets."""
        tightness = min(1.0, miss_share / TIGHT_MISS_SHARE)
        return loose + tightness * (self._tight_slack - loose)

    def _no_upstream_refusal(self, record: RequestRecord) -> Refusal | None:
        """Refuse the request, unless it is must-arrive and so waits for an upstream."""
        if record.kind.mode is KindMode.MUST_ARRIVE:
            return None
        return Refusal(
            code=ResultCode.NO_UPSTREAM,
            detail=f"no upstream of pool {record.pool} takes work",
            retry_after_s=self._retry_after_s(NO_UPSTREAM_RETRY_AFTER_S),
        )

    def _retry_after_s(self, excess_s: float) -> float:
        """Return the seconds after which a retry should be accepted.

        The queue serves one second of work each second. Without further arrivals, a request that
        would be ``excess_s`` late now would be in time after ``excess_s``. A random factor spreads
        the retries of several callers.
        """
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        return max(MIN_RETRY_AFTER_S, excess_s) * spread
