"""Log lines and metrics for the decisions of the ingress."""

import collections
import collections.abc as cabc
import dataclasses
import math
import typing as t

import eliot
from aioprometheus import collectors
from aioprometheus import renderer

from cassiawalk._histogram import LabelledHistogram
from cassiawalk.clock import Clock
from cassiawalk.crashes.verdicts import VerdictChange
from cassiawalk.http1 import Closure
from cassiawalk.http1 import Exchange
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.attemptlog import log_attempt
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.decisions import Decision
from cassiawalk.ingress.decisions import Verdict
from cassiawalk.ingress.endings import Wholeness
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.outcome import AnswerTrace
from cassiawalk.ingress.outcome import AttemptEnd
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.quotareport import QuotaReport
from cassiawalk.results import Refusal
from cassiawalk.rollouts.types import RolloutState
from cassiawalk.storeview.inquiry import Witness
from cassiawalk.storeview.upstream import Registration
from cassiawalk.storeview.upstream import Upstream

LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0, 60.0]

MAX_UNREADABLE_LINES = 100  # of one process

StartListener = cabc.Callable[[WorkspaceName], None]


class AttemptTimes(t.Protocol):
    """What an attempt knows of itself, see ``EndedAttempt``."""

    trace: AnswerTrace
    started_at: float
    events_before: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndedAttempt:
    """An attempt that ended, also one that was cancelled; then ``end`` is None.

    :param started_at: when it began, in monotonic seconds.
    :param events_before: how many events of the stream came before it.
    :param now: when it ended, in monotonic seconds.
    """

    job: Job
    placement: Placement
    end: AttemptEnd | None
    trace: AnswerTrace
    started_at: float
    events_before: int
    now: float


class IngressReport:
    """Counts the decisions about requests; logs attempts, refusals, cut answers and lost callers.

    :param on_started: called with the workspace when an upstream has begun to run a request.
    """

    def __init__(self, *, clock: Clock, on_started: StartListener) -> None:
        self._clock = clock
        self._on_started = on_started
        self.registry = collectors.Registry()
        self.quotas = QuotaReport(registry=self.registry, clock=clock)
        self._accepted = self._counter("cassiawalk_ingress_accepted", "Requests admitted.")
        self._answered = self._counter("cassiawalk_ingress_answered", "Answers sent in full.")
        self._refused = self._counter("cassiawalk_ingress_refused", "Refusals, by code.")
        self._cut = self._counter("cassiawalk_ingress_cut", "Answers cut off midway.")
        self._callers_left = self._counter(
            "cassiawalk_ingress_left", "Callers that disconnected early."
        )
        self._attempts = self._counter(
            "cassiawalk_ingress_attempts", "Attempts, by how they ended."
        )
        self._choices = self._counter(
            "cassiawalk_ingress_choices", "Attempts, by what their upstream was chosen by."
        )
        self._answers = self._counter(
            "cassiawalk_ingress_answers", "Upstreams' answers, by framing and how they ended."
        )
        self._said_leaving = self._counter(
            "cassiawalk_upstream_said_leaving", "Upstreams that said in an answer that they leave."
        )
        self._prefixes = self._counter(
            "cassiawalk_ingress_prefixes",
            "Attempts, by how the upstream was estimated to come to have the shared prefix.",
        )
        self._endings = self._counter(
            "cassiawalk_ingress_endings",
            "Answers that only their connection ended, by what they were taken for.",
        )
        self._late_entries = self._counter(
            "cassiawalk_upstream_late_entries",
            "Entries of upstreams that were ignored, as a later one was known.",
        )
        self._pauses = self._counter(
            "cassiawalk_upstream_pauses", "Times for which upstreams asked for no requests."
        )
        self._put_off = self._counter(
            "cassiawalk_limit_put_off", "Calls for a permit of a named limit that got none."
        )
        self._waits = self._counter(
            "cassiawalk_ingress_waits", "Requests that waited on this host, by reason."
        )
        self._rejected = self._counter(
            "cassiawalk_ingress_rejected", "Requests rejected for lack of room, by reason."
        )
        self._waiting = collectors.Gauge(
            "cassiawalk_ingress_waiting",
            "Requests that wait on this host.",
            registry=self.registry,
        )
        self._waiting_counts: collections.Counter[str] = collections.Counter()
        self.on_ended: cabc.Callable[[EndedAttempt], None] | None = None
        self._rollout_phases = collectors.Gauge(
            "cassiawalk_rollout_phase",
            "Last rollout: 0 probing, 1 canary, 2 promoted, 3 rolled back, 4 completed.",
            registry=self.registry,
        )
        self._versions = self._counter(
            "cassiawalk_rollout_responses",
            "Responses while a rollout runs, by version and outcome.",
        )
        self._limits_in_force = collectors.Gauge(
            "cassiawalk_limits_in_force",
            "Upstreams whose named limit this host knows.",
            registry=self.registry,
        )
        self._closures = self._counter(
            "cassiawalk_connections_closed",
            "Clients' connections that were refused, or ended by a limit, by listener and cause.",
        )
        self._unreadable_lines = 0
        self._verdicts = self._counter(
            "cassiawalk_crash_verdicts", "Verdicts on parts of prompts, by what happened to them."
        )
        self._first_seconds = self._histogram(
            "cassiawalk_ingress_first_seconds", "Time to the head or first event of an answer."
        )
        self._wait_seconds = self._histogram(
            "cassiawalk_ingress_wait_seconds", "Time for which requests waited on this host."
        )
        self._whole_seconds = self._histogram(
            "cassiawalk_ingress_whole_seconds", "Time to the end of an answer."
        )

    def note_accepted(self, job: Job) -> None:
        """Count a request that was admitted."""
        self._accepted.inc({"route": job.route.name})

    def note_started(self, job: Job) -> None:
        """Note that an upstream has begun to run the request."""
        self._first_seconds.with_labels({"route": job.route.name}).observe(self._age_s(job))
        if job.workspace is not None:
            self._on_started(job.workspace.name)

    def note_attempt(
        self, job: Job, placement: Placement, end: AttemptEnd, trace: AnswerTrace
    ) -> None:
        """Count and log the end of an attempt, with the values that led to its upstream."""
        self._attempts.inc({"service": job.service, "end": end.value})
        self._choices.inc({"service": job.service, "choice": placement.choice.value})
        prefix = placement.prefix
        if prefix is not None:
            self._prefixes.inc({"service": job.service, "way": prefix.way.value})
        framing = None if trace.framing is None else trace.framing.value
        ending = None if trace.ending is None else trace.ending.value
        if framing is not None:
            self._answers.inc({"service": job.service, "framing": framing, "ending": str(ending)})
        log_attempt(job, placement, end, trace, age_s=self._age_s(job))

    def note_ended(
        self, job: Job, placement: Placement, end: AttemptEnd | None, attempt: AttemptTimes
    ) -> None:
        """Pass on the end of an attempt, also of one that was cancelled."""
        if self.on_ended is None:
            return
        self.on_ended(
            EndedAttempt(
                job=job,
                placement=placement,
                end=end,
                trace=attempt.trace,
                started_at=attempt.started_at,
                events_before=attempt.events_before,
                now=self._clock.monotonic(),
            )
        )

    def note_rollout(self, state: RolloutState) -> None:
        """Record and log a state of a rollout that is in force here."""
        self._rollout_phases.set({"service": state.service, "to": state.to}, state.phase.rank)
        eliot.log_message(
            message_type="rollout:phase",
            service=state.service,
            to=state.to,
            base=state.base,
            order=state.order,
            phase=state.phase.value,
            reason=state.reason,
            duration_s=state.duration_s,
        )

    def note_version(self, service: str, version: str, outcome: str) -> None:
        """Count a response of a version while a rollout runs."""
        self._versions.inc({"service": service, "version": version, "outcome": outcome})

    def note_decision(self, job: Job, decision: Decision) -> None:
        """Count and log that a request has to wait, or is rejected, and the reason."""
        waits = decision.verdict is Verdict.WAIT
        labels = {"service": job.service, "reason": decision.reason.name.lower()}
        (self._waits if waits else self._rejected).inc(labels)
        if waits:
            self._note_waiting(job, 1)
        room = decision.room
        now = self._clock.monotonic()
        eliot.log_message(
            message_type="request:waits" if waits else "request:rejected",
            request_id=job.request_id,
            service=job.service,
            workspace=job.workspace_name,
            rank=job.rank,
            reason=decision.reason.name.lower(),
            expected_s=_rounded(decision.expected_s),
            wait_s=_rounded(decision.wait_s),
            target_left_s=round(decision.asked.target_at - now, 4),
            left_s=round(decision.asked.ends_at - now, 4),
            retry_after_s=_rounded(decision.retry_after_s),
            returning=decision.asked.returning,
            work=round(decision.asked.work),
            slots=room.slots,
            taken=decision.taken,
            own=decision.own,
            allowed=round(decision.allowed, 2),
            hosts=room.hosts,
            load_age_s=_rounded(room.age_s),
            waiting=decision.waiting,
        )

    def note_waited(self, job: Job, waited_s: float, decision: Decision | None) -> None:
        """Record that a request waits no more; None if it could not be sent at all."""
        self._note_waiting(job, -1)
        ending = "none" if decision is None else decision.verdict.value
        self._wait_seconds.with_labels({"service": job.service, "end": ending}).observe(waited_s)

    def _note_waiting(self, job: Job, change: int) -> None:
        self._waiting_counts[job.service] += change
        self._waiting.set({"service": job.service}, self._waiting_counts[job.service])

    def note_answered(self, job: Job, status: int) -> None:
        """Count an answer that was sent to the caller in full."""
        self._answered.inc({"route": job.route.name, "status": str(status)})
        self._whole_seconds.with_labels({"route": job.route.name}).observe(self._age_s(job))

    def note_refused(
        self, exchange: Exchange, demand: Demand | None, refusal: Refusal, status: int
    ) -> None:
        """Count and log a refusal, which is an answer of the ingress itself."""
        self._refused.inc({"code": refusal.code.name.lower()})
        eliot.log_message(
            message_type="request:refused",
            request_id=None if demand is None else demand.request_id,
            code=int(refusal.code),
            name=refusal.code.name.lower(),
            status=status,
            ran=refusal.ran.value,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
            age_s=round(self._clock.monotonic() - exchange.received_at, 4),
        )

    def note_said_leaving(self, job: Job, upstream: Upstream) -> None:
        """Count and log that an upstream says in an answer that it leaves."""
        self._said_leaving.inc({"service": job.service})
        eliot.log_message(
            message_type="upstream:said-leaving",
            request_id=job.request_id,
            upstream=upstream.upstream_id,
        )

    def note_ending(self, found: Wholeness, witness: Witness) -> None:
        """Count an answer that only its connection ended."""
        self._endings.inc({"taken_for": found.value, "found": witness.value})

    def note_late_entry(self, registration: Registration) -> None:
        """Count an entry of an upstream that is ignored; the directory logs it."""
        self._late_entries.inc({"service": registration.service})

    def note_pause(self, job: Job, upstream: Upstream, asked_s: float) -> None:
        """Count and log that an upstream wants no requests of this host for a time."""
        self._pauses.inc({"service": job.service})
        eliot.log_message(
            message_type="upstream:asked-for-time",
            request_id=job.request_id,
            upstream=upstream.upstream_id,
            asked_s=asked_s,
            left_s=round(upstream.pause.left_s, 3),
        )

    def note_put_off(self, service: str) -> None:
        """Count a request that got no permit of a limit."""
        self._put_off.inc({"service": service})

    def note_limits(self, in_force: int) -> None:
        """Record how many limits are in force."""
        self._limits_in_force.set({}, in_force)

    def note_unreadable(self, upstream: Upstream, headers: tuple[str, ...]) -> None:
        """Log headers of an answer that are ignored, up to ``MAX_UNREADABLE_LINES`` times."""
        self._unreadable_lines += 1
        if self._unreadable_lines <= MAX_UNREADABLE_LINES:
            eliot.log_message(
                message_type="upstream:unreadable",
                upstream=upstream.upstream_id,
                headers=list(headers),
                lines_left=MAX_UNREADABLE_LINES - self._unreadable_lines,
            )

    def note_closure(self, listener: str, closure: Closure) -> None:
        """Count a connection that was refused, or ended by a limit; its listener logs it."""
        self._closures.inc({"listener": listener, "cause": closure.value})

    def note_verdict(self, change: VerdictChange) -> None:
        """Count what happened to a verdict on parts of prompts."""
        self._verdicts.inc({"change": change.value})

    def note_cut(self, job: Job, refusal: Refusal) -> None:
        """Count and log an answer that was cut off after its head had been sent."""
        self._cut.inc({"route": job.route.name})
        eliot.log_message(
            message_type="request:cut",
            request_id=job.request_id,
            events=job.events.events,
            detail=refusal.detail,
            age_s=round(self._age_s(job), 4),
        )

    def note_caller_left(self, job: Job) -> None:
        """Count and log a caller that disconnected before the end of its answer."""
        self._callers_left.inc({"route": job.route.name})
        eliot.log_message(
            message_type="request:caller-left",
            request_id=job.request_id,
            sends=job.sends,
            age_s=round(self._age_s(job), 4),
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of the answer to a metrics scrape."""
        return renderer.render(self.registry, ["text/plain"])

    def _age_s(self, job: Job) -> float:
        return self._clock.monotonic() - job.exchange.received_at

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> LabelledHistogram:
        buckets = [*LATENCY_BUCKETS_S, float("inf")]
        return LabelledHistogram(name, doc, registry=self.registry, buckets=buckets)


def _rounded(value: float | None) -> float | None:
    """Return a value for a log line; None if it is unknown or infinite."""
    return None if value is None or not math.isfinite(value) else round(value, 4)
