"""Refusals of the ingress: what a caller is told of its request, and when it may return."""

import random

from cassiawalk.ingress.decisions import Decision
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.outcome import AttemptEnd
from cassiawalk.ingress.permitting import PermittedPlacer
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.queueing import CODES
from cassiawalk.ingress.stopping import StopPlan
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.storeview.directory import Directory

NO_UPSTREAM_RETRY_S = 0.4
FULL_RETRY_S = 0.3
STOPPING_RETRY_S = 0.05
MIN_RETURN_SPREAD_S = 0.5  # over which callers return when upstreams want requests again


class Refusals:
    """Tells for each reason whether the request ran, and when its caller should return.

    A refusal says "not run" only if no attempt can have run the request.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        placer: PermittedPlacer,
        stopping: StopPlan,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._placer = placer
        self._stopping = stopping
        self._rng = rng

    def no_upstream(self, job: Job) -> Refusal:
        """Refuse a request for which there is no upstream that wants it now."""
        pause_s = self._directory.pause_left_s(job.service)
        if pause_s is not None:
            detail = f"all upstreams of {job.service} ask for time, {pause_s:.1f} s at least"
            spread_s = self._rng.uniform(0.0, max(MIN_RETURN_SPREAD_S, pause_s / 2))
            return self.unanswered(job, ResultCode.QUEUE_FULL, detail, pause_s + spread_s)
        return_s = self._placer.return_after_s(job)
        if return_s is not None:
            detail = f"the limits that upstreams of {job.service} name are used up"
            return self.unanswered(job, ResultCode.QUEUE_FULL, detail, return_s)
        detail = f"no upstream of {job.service} accepts requests"
        return self.unanswered(job, ResultCode.NO_UPSTREAM, detail, NO_UPSTREAM_RETRY_S)

    def not_alone(self, job: Job) -> Refusal:
        """Refuse a suspect request as another one runs where it could run alone."""
        detail = f"another suspect request runs where {job.fingerprint} could run alone"
        return self.unanswered(job, ResultCode.SUSPECT, detail, FULL_RETRY_S)

    def upstreams_full(self, job: Job, placement: Placement) -> Refusal:
        """Refuse a request as the upstream chosen for it is full."""
        load = placement.upstream.load
        detail = f"upstreams of {job.service} are full; the one chosen has {load.total} requests"
        return self.unanswered(job, ResultCode.QUEUE_FULL, detail, FULL_RETRY_S)

    def rejected(self, job: Job, decision: Decision) -> Refusal:
        """Refuse a request that would not be answered in time."""
        retry_after_s = decision.retry_after_s
        assert retry_after_s is not None
        detail = (
            f"{decision.reason.value}: {decision.taken} requests at {decision.room.slots} slots of"
            f" {job.service}, {decision.waiting} wait here, expected in"
            f" {decision.wait_s + decision.expected_s:.3f} s"
        )
        return self.unanswered(job, CODES[decision.reason], detail, retry_after_s)

    def retries_exhausted(self, job: Job, end: AttemptEnd, reason: str) -> Refusal:
        """Refuse a request after its last attempt."""
        detail = f"attempt {job.sends} ended as {end.value}: {reason}"
        return self.unanswered(job, ResultCode.QUEUE_FULL, detail, FULL_RETRY_S)

    def host_stops(self, job: Job) -> Refusal:
        """Refuse a request that is at no upstream now."""
        if job.may_have_run:
            return self._cut_by_stop()
        detail = "this host stops before the request's time limit"
        return Refusal(code=ResultCode.DRAINING, detail=detail, retry_after_s=STOPPING_RETRY_S)

    def _cut_by_stop(self) -> Refusal:
        detail = "this host stops, and the request had been sent to an upstream"
        return Refusal(code=ResultCode.HOST_STOPPED, detail=detail)

    def timed_out(self, job: Job) -> Refusal:
        """Refuse a request whose time is over."""
        if self._stopping.cuts(job.ends_at):
            return self._cut_by_stop() if job.sends else self.host_stops(job)
        if job.sends:
            detail = "the time limit was reached after the request had been sent to an upstream"
            return Refusal(code=ResultCode.DEADLINE_PASSED_RUNNING, detail=detail)
        detail = "the time limit was reached before the request was sent to an upstream"
        return Refusal(code=ResultCode.DEADLINE_PASSED_WAITING, detail=detail)

    def unanswered(
        self, job: Job, not_run: ResultCode, detail: str, retry_after_s: float
    ) -> Refusal:
        """Return a refusal that says "not run" only if no attempt can have run the request."""
        if job.may_have_run:
            code = ResultCode.RETRIES_EXHAUSTED
            return Refusal(code=code, detail=detail, execution=Execution.UNKNOWN)
        return Refusal(code=not_run, detail=detail, retry_after_s=retry_after_s)
