"""Forwards callers' requests to upstreams and retries them as their routes allow."""

import asyncio
import random

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.crashes import IsolatedRun
from cassiawalk.demand.meter import DemandMeter
from cassiawalk.demand.prefillspeed import PrefillSpeeds
from cassiawalk.http1 import Exchange
from cassiawalk.http1 import ExchangeHandler
from cassiawalk.http1 import HeadError
from cassiawalk.ingress.attempt import Attempt
from cassiawalk.ingress.budgets import RetryBudgets
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.codec import HeadCodec
from cassiawalk.ingress.decisions import Verdict
from cassiawalk.ingress.intake import Intake
from cassiawalk.ingress.intake import RefusedError
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.outcome import AnswerTrace
from cassiawalk.ingress.outcome import AttemptEnd
from cassiawalk.ingress.permitting import PermittedPlacer
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.queueing import RequestQueues
from cassiawalk.ingress.queueing import Turn
from cassiawalk.ingress.refusals import STOPPING_RETRY_S
from cassiawalk.ingress.refusals import Refusals
from cassiawalk.ingress.report import IngressReport
from cassiawalk.ingress.screening import Screening
from cassiawalk.ingress.stopping import StopPlan
from cassiawalk.ratelimits import LimitBook
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.upstream import Upstream


class Forwarder(Component, ExchangeHandler):
    """Serves each request from its head to the end of its answer."""

    def __init__(
        self,
        *,
        intake: Intake,
        placer: PermittedPlacer,
        queues: RequestQueues,
        limits: LimitBook,
        budgets: RetryBudgets,
        codec: HeadCodec,
        clock: Clock,
        report: IngressReport,
        meter: DemandMeter,
        speeds: PrefillSpeeds,
        screening: Screening,
        directory: Directory,
        stopping: StopPlan,
        rng: random.Random,
    ) -> None:
        self._refusals = Refusals(directory=directory, placer=placer, stopping=stopping, rng=rng)
        self._screening = screening
        self._stopping = stopping
        self._limits_in_use: set[asyncio.Timeout] = set()
        self._directory = directory
        self._rng = rng
        self._meter = meter
        self._speeds = speeds
        self._intake = intake
        self._placer = placer
        self._queues = queues
        self._limits = limits
        self._budgets = budgets
        self._codec = codec
        self._clock = clock
        self._report = report

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        try:
            job = self._intake.accept(exchange)
            if job.quota_answer is not None:
                await self._intake.confirm(job)
        except RefusedError as exc:
            self._refuse(exchange, exc.demand, exc.refusal)
            return
        except HeadError as exc:
            self._refuse(exchange, None, Refusal(code=ResultCode.BAD_REQUEST, detail=exc.reason))
            return
        if not self._stopping.can_finish(job.ends_at):
            self._finish(job, self._refusals.host_stops(job))
            return
        self._budgets.note_request(job.service)
        self._meter.note(job.service, job.unshared_tokens)
        self._report.note_accepted(job)
        if job.route.rule.repeatable or job.route.rule.is_stream:
            await self._serve(job)
            return
        # A request that may run only once is finished even if its caller disconnects. If it were
        # cancelled, nobody would learn whether it has run.
        await asyncio.shield(self.spawn(self._serve(job), name="once"))

    async def begin_drain(self) -> None:
        """End the answers that are under way when this host stops, if not before."""
        for limit in self._limits_in_use:
            when = limit.when()
            if when is not None and not limit.expired():
                limit.reschedule(self._stopping.limit(when))
        self._queues.release_all()

    async def stop(self) -> None:
        """Cancel the requests that run or wait."""
        self._queues.close()
        await super().stop()

    async def _serve(self, job: Job) -> None:
        limit = asyncio.timeout_at(self._stopping.limit(job.ends_at))
        self._limits_in_use.add(limit)
        try:
            async with limit:
                refusal = await self._run_attempts(job)
        except TimeoutError:
            refusal = self._refusals.timed_out(job)
        except asyncio.CancelledError:
            self._report.note_caller_left(job)
            raise
        finally:
            self._limits_in_use.discard(limit)
        self._finish(job, refusal)

    async def _run_attempts(self, job: Job) -> Refusal | None:
        """Send the request until it is answered or no further attempt is allowed.

        :return: None if an answer was delivered, else the refusal.
        """
        while self._may_send(job):
            admitted = await self._screening.admit(job)
            if isinstance(admitted, Refusal):
                return admitted
            if admitted is not None:
                return await self._run_alone(job, admitted)
            placement = await self._placer.place(job)
            if placement is None:
                return self._refusals.no_upstream(job)
            if placement.permit is not None and not self._placer.has_room(job, placement):
                return self._refusals.upstreams_full(job, placement)
            turn = self._queues.ask(job, placement)
            if turn.has_waited and await self._queues.wait(turn) is None:
                return self._not_sent(job)
            if turn.decision.verdict is Verdict.REJECT:
                return self._refusals.rejected(job, turn.decision)
            try:
                if turn.has_waited:
                    found = await self._look_again(job, turn)
                    if isinstance(found, Refusal):
                        return found
                    if isinstance(found, IsolatedRun):
                        return await self._run_alone(job, found)
                    placement = found
                end, trace = await self._attempt(job, placement)
                turn.note_attempt(answered=end is AttemptEnd.DELIVERED, first_s=trace.first_s)
            finally:
                self._queues.end(turn)
            if end is AttemptEnd.DELIVERED:
                return None
            if end.answer_lost:
                await self._note_lost(job, placement.upstream)
            job.tried.add(placement.upstream.upstream_id)
            if not await self._may_retry(job, end):
                return self._refusals.retries_exhausted(job, end, trace.reason)
        return self._not_sent(job)

    async def _look_again(self, job: Job, turn: Turn) -> Placement | Refusal | IsolatedRun:
        """Return where a request that has waited is sent; what is known may have changed."""
        admitted = await self._screening.admit(job)
        if admitted is not None:
            return admitted
        placement = turn.placement
        if placement is None or not placement.upstream.takes_work:
            placement = await self._placer.place(job)
        return self._refusals.no_upstream(job) if placement is None else placement

    async def _run_alone(self, job: Job, run: IsolatedRun) -> Refusal | None:
        """Let a suspect request run once, on an upstream that it does not share with others."""
        lost: Upstream | None = None
        gave_up = False
        run.start()
        try:
            while self._may_send(job):
                placement = self._placer.place_alone(
                    job,
                    occupied=self._screening.unsuitable(run),
                    avoided=self._screening.deaths_in(job),
                )
                if placement is None:
                    return self._refusals.no_upstream(job)
                if not await run.reserve(placement.upstream):
                    return self._refusals.not_alone(job)
                placement = await self._placer.permit(job, placement)
                if placement is None:
                    return self._refusals.no_upstream(job)
                lost, gave_up = placement.upstream, True  # if the attempt is cancelled
                end, trace = await self._attempt(job, placement)
                gave_up = False
                if not end.answer_lost:
                    lost = None
                if end is AttemptEnd.DELIVERED:
                    return None
                job.tried.add(placement.upstream.upstream_id)
                if not end.surely_not_run or not await self._may_retry(job, end):
                    return self._refusals.retries_exhausted(job, end, trace.reason)
            return self._not_sent(job)
        finally:
            ending = self._screening.end_isolated_run(run, job, lost, gave_up=gave_up)
            self._screening.spawn(ending, name="isolated-run-end")

    async def _attempt(self, job: Job, placement: Placement) -> tuple[AttemptEnd, AnswerTrace]:
        """Make one attempt; return how it ended and what it saw of the answer."""
        attempt = self._new_attempt(job, placement)
        answer = self._screening.follow(job, attempt.trace, placement.upstream)
        end: AttemptEnd | None = None
        try:
            end = await attempt.run()
        except asyncio.CancelledError:
            job.progress = attempt.trace.progress(self._clock.monotonic())
            self._screening.note_unanswered(job, placement.upstream)
            raise
        finally:
            whole = end is AttemptEnd.DELIVERED and job.succeeded
            self._screening.note_ended(answer, whole=whole)
            self._report.note_ended(job, placement, end, attempt)
        job.progress = attempt.trace.progress(self._clock.monotonic())
        self._report.note_attempt(job, placement, end, attempt.trace)
        self._note_speed(job, placement, attempt.trace)
        if end is AttemptEnd.DELIVERED and job.succeeded:
            self._screening.note_completed(job)
        if placement.upstream.superseded:
            self._screening.note_superseded(placement.upstream)
        return end, attempt.trace

    def _note_speed(self, job: Job, placement: Placement, trace: AnswerTrace) -> None:
        """Learn from the first token of a prompt that was prefilled at once after its prefix."""
        if trace.first_s is None or not job.route.rule.is_stream or job.sends > 1:
            return
        if placement.pending_tokens or placement.holder is not None:
            return
        if placement.unread_tokens == job.unshared_tokens:
            self._speeds.note(job.service, placement.unread_tokens, trace.first_s)

    async def _note_lost(self, job: Job, upstream: Upstream) -> None:
        """Find out whether the upstream died; wait for it only if the request may be retried."""
        finding = self._screening.note_lost(job, upstream)
        if job.route.rule.repeatable:
            await finding
        else:
            self._screening.spawn(finding, name="lost-answer")

    def _new_attempt(self, job: Job, placement: Placement) -> Attempt:
        return Attempt(
            job=job,
            placement=placement,
            codec=self._codec,
            clock=self._clock,
            report=self._report,
            screening=self._screening,
            directory=self._directory,
            placer=self._placer,
            limits=self._limits,
            stopping=self._stopping,
        )

    async def _may_retry(self, job: Job, end: AttemptEnd) -> bool:
        if end is AttemptEnd.UNSENT:
            return True
        if not end.surely_not_run and not job.route.rule.repeatable:
            return False
        if job.head_sent and not (job.sent_events and job.events.resumable):
            return False
        if job.sends >= job.route.max_attempts:
            return False
        if self._budgets.take(job.service):
            return True
        if await self._placer.borrow_repeat(job, self._budgets.lent):
            return True
        eliot.log_message(
            message_type="retry:over-budget",
            request_id=job.request_id,
            service=job.service,
            share=round(self._budgets.share, 4),
        )
        return False

    def _may_send(self, job: Job) -> bool:
        return not job.exchange.caller_left and self._stopping.can_finish(job.ends_at)

    def _not_sent(self, job: Job) -> Refusal:
        """Refuse a request for which ``_may_send`` was False."""
        if not job.exchange.caller_left:
            return self._refusals.host_stops(job)
        detail = "the caller left before the request was sent"
        return self._refusals.unanswered(job, ResultCode.ABANDONED, detail, STOPPING_RETRY_S)

    def _finish(self, job: Job, refusal: Refusal | None) -> None:
        """Finish the exchange; an upstream's answer takes precedence over a refusal."""
        exchange = job.exchange
        if job.buffered is not None and not job.head_sent:
            buffered = job.buffered
            exchange.send_head(
                buffered.status, self._codec.build_caller_head(buffered.headers), buffered.reason
            )
            if buffered.body and exchange.method != b"HEAD":
                exchange.send_data(buffered.body)
            exchange.finish()
            self._report.note_answered(job, buffered.status)
        elif refusal is None:
            assert job.sent_status is not None
            self._report.note_answered(job, job.sent_status)
        elif job.head_sent:
            self._report.note_cut(job, refusal)
            # Events are of use without those that follow; a part of another answer is not.
            in_time = refusal.code is not ResultCode.DEADLINE_PASSED_RUNNING
            exchange.abort(discard=not in_time and not job.route.rule.is_stream)
        else:
            if refusal.ran is Execution.NOT_RUN:
                self._intake.refund_quota(job)
            self._refuse(exchange, job.demand, refusal)

    def _refuse(self, exchange: Exchange, demand: Demand | None, refusal: Refusal) -> None:
        status, headers, body = self._codec.build_refusal(demand, refusal)
        self._report.note_refused(exchange, demand, refusal, status)
        exchange.answer(status, headers, body)
