"""The log line of an attempt, with the values that led to its upstream."""

import eliot

from cassiawalk.ingress.job import Job
from cassiawalk.ingress.outcome import AnswerTrace
from cassiawalk.ingress.outcome import AttemptEnd
from cassiawalk.ingress.placementresult import Placement


def log_attempt(
    job: Job, placement: Placement, end: AttemptEnd, trace: AnswerTrace, *, age_s: float
) -> None:
    """Log the end of an attempt.

    :param age_s: the time since the request arrived, in seconds.
    """
    prefix = placement.prefix
    load = placement.upstream.load
    eliot.log_message(
        message_type="request:attempt",
        request_id=job.request_id,
        route=job.route.name,
        revision=job.revision,
        fingerprint=job.fingerprint if end.answer_lost else None,
        parts=[part.part_id for part in job.demand.shared_prefix] if end.answer_lost else None,
        progress=job.progress.value,
        upstream=placement.upstream.upstream_id,
        expected_first_s=round(placement.first_s, 4),
        first_s=None if trace.first_s is None else round(trace.first_s, 4),
        unread_tokens=placement.unread_tokens,
        candidates=placement.candidates,
        pending_tokens=placement.pending_tokens,
        choice=placement.choice.value,
        slowness=round(placement.slowness, 2),
        pace=round(placement.pace, 2),
        report_age_s=None if load.reported is None else round(load.report_age_s, 3),
        holder=None if placement.holder is None else placement.holder.upstream_id,
        wait_s=round(placement.wait_s, 4),
        prefix=None if prefix is None else prefix.way.value,
        prefix_saving_s=None if prefix is None else round(prefix.saving_s, 4),
        prefix_delay_s=None if prefix is None else round(prefix.delay_s, 4),
        own=load.own,
        others=load.others,
        end=end.value,
        reason=trace.reason,
        status=trace.status,
        framing=None if trace.framing is None else trace.framing.value,
        ending=None if trace.ending is None else trace.ending.value,
        incomplete_bytes=trace.incomplete_bytes,
        limit_per_s=trace.limit_per_s,
        age_s=round(age_s, 4),
    )
