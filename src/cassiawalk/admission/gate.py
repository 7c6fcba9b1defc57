"""The decision to accept or refuse a new request."""

import collections.abc as cabc
import random

from cassiawalk.admission.limits import WorkspaceLimiter
from cassiawalk.admission.scheduler import Expectation
from cassiawalk.admission.scheduler import Scheduler
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

LOOSE_SLACK = 2.0
TIGHT_SLACK = 0.5
TIGHT_MISSES = 0.3
RETRY_FLOOR_S = 0.5
RETRY_SPREAD = 0.5
NO_UPSTREAM_RETRY_S = 2.0


Screen = cabc.Callable[[RequestRecord], Refusal | None]


def _no_quarantine(_: RequestRecord) -> Refusal | None:
    """Let every request pass."""
    return None


class AdmissionGate:
    """Refuses at once what can't be served in time or is quarantined.

    A request that need not arrive is refused if its first token is expected later than its latency
    target times a slack. The slack is loose while accepted requests make their targets, as a
    refusal on a wrong forecast is a certain miss, and tight when they miss them, as the queue then
    stands at the slack itself.

    :param loose_slack: the slack when no request misses its target; None leaves only deadlines.
    :param tight_slack: the slack when ``TIGHT_MISSES`` of the requests miss their targets.
    :param quarantine: returns the final answer of a quarantined request.
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
        quarantine: Screen = _no_quarantine,
    ) -> None:
        self._scheduler = scheduler
        self._quarantine = quarantine
        self._clock = clock
        self._rng = rng or random.Random()
        self._loose_slack = loose_slack
        self._tight_slack = tight_slack
        self._limits = limits

    def check(self, record: RequestRecord) -> Refusal | None:
        """Return why the request is refused, or None to accept it."""
        left_s = record.deadline_s - self._clock.wall()
        if left_s <= 0.0:
            return Refusal(code=ResultCode.BAD_DEADLINE, detail="the deadline has passed already")
        refusal = self._quarantine(record) or self._scheduler.refusal(record)
        if refusal is not None:
            return refusal
        refusal = self._too_late(record, left_s)
        if refusal is not None or self._limits is None:
            return refusal
        return self._limits.check(record)

    def _too_late(self, record: RequestRecord, left_s: float) -> Refusal | None:
        expected = self._scheduler.expect(record)
        if expected is None:
            return self._without_upstream(record)
        excess_s = self._excess_s(record, expected, left_s)
        if excess_s <= 0.0:
            return None
        return Refusal(
            code=ResultCode.DEADLINE_UNREACHABLE,
            detail=f"the first token is expected in {expected.first_s:.1f} s,"
            f" the end in {expected.end_s:.1f} s",
            retry_after_s=self._retry_after_s(excess_s),
        )

    def _excess_s(self, record: RequestRecord, expected: Expectation, left_s: float) -> float:
        """Return by how many seconds the request would come late."""
        excess_s = expected.end_s - left_s
        needs_target = record.kind.mode is not KindMode.MUST_ARRIVE
        if needs_target and self._loose_slack is not None and expected.queued:
            slack = self._slack(self._loose_slack, self._scheduler.misses(record.pool))
            limit_s = slack * record.kind.target_ms / 1000
            excess_s = max(excess_s, expected.first_s - limit_s)
        return excess_s

    def _slack(self, loose: float, misses: float) -> float:
        """Return the slack for a share of requests that miss their targets."""
        tightness = min(1.0, misses / TIGHT_MISSES)
        return loose + tightness * (self._tight_slack - loose)

    def _without_upstream(self, record: RequestRecord) -> Refusal | None:
        """Refuse quick work that nobody can take; work that must arrive waits for an upstream."""
        if record.kind.mode is KindMode.MUST_ARRIVE:
            return None
        return Refusal(
            code=ResultCode.NO_UPSTREAM,
            detail=f"no upstream of pool {record.pool} takes work",
            retry_after_s=self._retry_after_s(NO_UPSTREAM_RETRY_S),
        )

    def _retry_after_s(self, excess_s: float) -> float:
        """Return when the present queue will have gone down, spread so that not all come at once.

        The queue serves a second of work each second, so what is late by ``excess_s`` now would
        be in time after as long without further arrivals.
        """
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        return max(RETRY_FLOOR_S, excess_s) * spread
