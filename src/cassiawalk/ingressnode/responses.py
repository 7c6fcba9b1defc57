"""Tells how the end of an attempt counts for the version of its upstream."""

from cassiawalk.ingress.outcome import AttemptEnd
from cassiawalk.ingress.placement import OVERHEAD_TOKENS
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.report import EndedAttempt
from cassiawalk.rollouts.counting import Outcome
from cassiawalk.rollouts.counting import Response
from cassiawalk.rollouts.counting import Timing
from cassiawalk.rollouts.evidence import OLD_VERSION

FIRST = "first"
WHOLE = "whole"
PACE = "pace"
MIN_PACED_EVENTS = 4  # with fewer, the time between events is that of single steps


def response_of(
    ended: EndedAttempt, *, is_new: bool, now: float, in_stall: bool
) -> Response | None:
    """Return what an attempt counts as, or None if it says nothing of its upstream's version.

    Requests that were not run, and answers lost at an upstream that leaves, say nothing.
    """
    outcome = _outcome(ended.end)
    upstream = ended.placement.upstream
    if outcome is None or (outcome is Outcome.LOST and (upstream.leaving or upstream.superseded)):
        return None
    return Response(
        service=ended.job.service,
        route=ended.job.route.name,
        upstream=upstream.upstream_id if is_new else OLD_VERSION,
        outcome=outcome,
        timings=() if outcome in (Outcome.FAILED, Outcome.LOST) else _timings(ended, now),
        upstream_age_s=now - upstream.known_since,
        in_stall=in_stall,
    )


def _outcome(end: AttemptEnd | None) -> Outcome | None:
    if end is None:
        return Outcome.UNANSWERED
    if end.surely_not_run:
        return None
    if end.answer_lost:
        return Outcome.LOST
    return Outcome.FAILED if end is AttemptEnd.FAILED else Outcome.COMPLETE


def _timings(ended: EndedAttempt, now: float) -> tuple[Timing, ...]:
    trace, job = ended.trace, ended.job
    taken_s = now - ended.started_at
    work = _work(ended.placement, bool(job.demand.parts))
    if not job.route.rule.is_stream:
        return (Timing(name=WHOLE, seconds=taken_s, work=work),)
    if trace.began_at is None:
        return (Timing(name=FIRST, seconds=taken_s, work=work),)
    first = Timing(name=FIRST, seconds=trace.began_at - ended.started_at, work=work)
    events = job.events.events - ended.events_before
    if events < MIN_PACED_EVENTS:
        return (first,)
    return (first, Timing(name=PACE, seconds=now - trace.began_at, work=float(events)))


def _work(placement: Placement, has_prompt: bool) -> float:
    """Return the prompt tokens to be prefilled before the first token, or 1 without a prompt."""
    if not has_prompt:
        return 1.0
    return float(OVERHEAD_TOKENS + placement.unread_tokens + placement.pending_tokens)
