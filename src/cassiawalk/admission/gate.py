"""The decision to accept or refuse a new request."""

import random

from cassiawalk.admission.limits import LimitKeeper
from cassiawalk.admission.scheduler import Expectation
from cassiawalk.admission.scheduler import Scheduler
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

TARGET_SLACK = 1.5
RETRY_FLOOR_S = 0.5
RETRY_SPREAD = 0.5
NO_UPSTREAM_RETRY_S = 2.0


class AdmissionGate:
    """Refuses at once what can't be served in time.

    :param target_slack: how many times its latency target a request that need not arrive may be
        expected to take to its first token; None leaves only the deadline.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        clock: Clock,
        rng: random.Random | None = None,
        target_slack: float | None = TARGET_SLACK,
        limits: LimitKeeper | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._rng = rng or random.Random()
        self._target_slack = target_slack
        self._limits = limits

    def check(self, record: RequestRecord) -> Refusal | None:
        """Return why the request is refused, or None to accept it."""
        left_s = record.deadline_s - self._clock.wall()
        if left_s <= 0.0:
            return Refusal(code=ResultCode.BAD_DEADLINE, detail="the deadline has passed already")
        refusal = self._scheduler.refusal(record)
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
        if needs_target and self._target_slack is not None and expected.queued:
            limit_s = self._target_slack * record.kind.target_ms / 1000
            excess_s = max(excess_s, expected.first_s - limit_s)
        return excess_s

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
