"""Finds out which upstreams died under requests, and screens requests that may be the cause."""

import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.crashes import CrashGuard
from cassiawalk.crashes import IsolatedRun
from cassiawalk.crashes import PartGuard
from cassiawalk.crashes.evidence import RecordedDeath
from cassiawalk.crashes.parts import RunningAnswer
from cassiawalk.crashes.verdicts import Verdict
from cassiawalk.http1.pool import CONNECT_TIMEOUT_S
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.endings import Endings
from cassiawalk.ingress.endings import Wholeness
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.outcome import AnswerTrace
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.inquiry import Witness
from cassiawalk.storeview.upstream import Upstream

# Deaths after which a request runs only in isolation; the next one then convicts it. It has to be
# refused after its third, and each earlier one may have another cause.
ISOLATE_AFTER_DEATHS = 2
# From a request's last death to its isolated run: dead upstreams come back meanwhile. It is longer
# if the run could take the last upstream of its service.
HOLD_S = 3.0
LAST_UPSTREAM_HOLD_S = 15.0
ISOLATION_WAIT_S = 0.3
PROBE_WAIT_S = 0.3
OUTLIVED_WAIT_S = CONNECT_TIMEOUT_S
HELD_RETRY_S = 1.0
RUN_CHECK_INTERVAL_S = 0.3  # a process that crashed is down for longer
DEATH_MARGIN_S = 0.5  # from the end of a run, or of its connection, to the upstream's death
SILENCE_JUDGEMENT_S = 6.0  # until the entry of an upstream that fell silent is gone
# A failure domain is being reclaimed if this many of its reclaimable upstreams, and at least half
# of them, have announced that they leave. One alone may be leaving for another reason.
MIN_RECLAIMED = 2


class Screening(Component):
    """Connects the forwarder to the crash guard."""

    def __init__(
        self,
        *,
        guard: CrashGuard,
        parts: PartGuard,
        directory: Directory,
        endings: Endings,
        clock: Clock,
    ) -> None:
        self._endings = endings
        self._guard = guard
        self._parts = parts
        self._directory = directory
        self._clock = clock
        directory.add_departure_listener(self._note_departure)
        directory.add_leaving_listener(guard.note_leaving)
        directory.add_leaving_listener(parts.note_leaving)

    async def admit(self, job: Job) -> IsolatedRun | Refusal | None:
        """Return None if the request may be sent, an isolated run if only in that, or a refusal."""
        admitted = await self._screen(job)
        if isinstance(admitted, Refusal) and job.may_have_run:
            return dataclasses.replace(admitted, execution=Execution.UNKNOWN)
        return admitted

    async def _screen(self, job: Job) -> IsolatedRun | Refusal | None:
        if not self._parts.is_idle and job.shared_parts:
            admitted = await self._screen_parts(job)
            if admitted is not None:
                return admitted
        refusal = self._guard.refusal(job) or self._hold(job)
        if refusal is not None:
            return refusal
        return await self._guard.screen(job, left_s=self._left_s(job), wait_s=ISOLATION_WAIT_S)

    async def _screen_parts(self, job: Job) -> IsolatedRun | Refusal | None:
        """Return a refusal if a part of the prompt crashes upstreams, or a run that tries it."""
        verdict = self._parts.verdict_against(job.shared_parts)
        if verdict is not None:
            if not job.may_have_run and await self._parts.take_trial(verdict):
                run = await self._guard.isolate(job, left_s=self._left_s(job))
                if run is not None:
                    return run
            return Refusal(code=ResultCode.QUARANTINED, detail=self._verdict_detail(verdict))
        if self._parts.is_held(job.shared_parts):
            detail = "upstreams died running requests with a part of this prompt"
            return Refusal(code=ResultCode.SUSPECT, detail=detail, retry_after_s=HELD_RETRY_S)
        return None

    def _verdict_detail(self, verdict: Verdict) -> str:
        age_s = self._clock.wall() - verdict.at_s
        return (
            f"{len(verdict.processes)} upstreams died running requests with "
            f"{', '.join(sorted(verdict.parts))} in their prompts "
            f"({', '.join(verdict.processes)}), told by {verdict.reporter} {age_s:.1f} s ago"
        )

    def follow(self, job: Job, trace: AnswerTrace, upstream: Upstream) -> RunningAnswer | None:
        """Follow an attempt with a prompt until ``note_ended``."""
        if not job.shared_parts:
            return None
        answer = RunningAnswer(
            parts=job.shared_parts,
            sent_at_s=self._clock.wall(),
            progress=lambda: trace.progress(self._clock.monotonic()),
            process=upstream.process,
            is_resumed=job.head_sent,
        )
        self._parts.note_began(answer)
        return answer

    def note_ended(self, answer: RunningAnswer | None, *, whole: bool) -> None:
        """Record that an attempt has ended, with a complete answer or without."""
        if answer is not None:
            self._parts.note_ended(answer, whole=whole)

    def deaths_in(self, job: Job) -> cabc.Set[FailureDomain]:
        """Return the failure domains in which upstreams died under the request."""
        return {death.failure_domain for death in self._guard.isolating_deaths(job.fingerprint)}

    def unsuitable(self, run: IsolatedRun) -> frozenset[UpstreamId]:
        """Return the upstreams that run other requests, or of whose death this host knows."""
        dead = self._guard.dead_processes()
        gone = {found.upstream_id for found in self._directory.upstreams() if found.process in dead}
        return run.occupied() | gone

    def note_completed(self, job: Job) -> None:
        """Record that an upstream has answered the request with success."""
        self._guard.note_completed(job)

    async def note_lost(self, job: Job, upstream: Upstream) -> bool | None:
        """Record that the answer to a request was lost; return whether the upstream is alive.

        An upstream that refuses new connections is dead. One that does not answer may only be cut
        off from this host, and None is returned: whether it is dead then shows when its entry
        disappears or changes.
        """
        if upstream.is_leaving:
            return True
        self._note_lost_at(job, upstream)
        return await self._is_there(upstream)

    async def _is_there(self, upstream: Upstream) -> bool | None:
        """Return whether an upstream that lost a request is alive; None if that is not known."""
        if upstream.leaving:  # its entry is gone already, without an announcement
            self._note_death(upstream)
            return False
        return await self._is_alive(upstream, wait_s=PROBE_WAIT_S)

    async def has_outlived(self, job: Job, upstream: Upstream) -> bool:
        """Return whether an upstream is known to be there after its connection ended an answer."""
        if upstream.process in self._guard.dead_processes():
            return False
        wait_s = min(OUTLIVED_WAIT_S, self._left_s(job) / 2)
        return await self._endings.judge(upstream, wait_s=wait_s) is Wholeness.WHOLE

    def note_unanswered(self, job: Job, upstream: Upstream) -> None:
        """Record that the wait for an answer was given up, as its caller left or its time is over.

        The upstream may be gone, or may go on to run the request until its deadline.
        """
        if upstream.is_leaving:
            return
        self._note_lost_at(job, upstream, runs_for_s=self._left_s(job))
        if upstream.leaving:
            self._note_death(upstream)

    def note_superseded(self, upstream: Upstream) -> None:
        """Record that another process answers at an upstream's address: it is gone."""
        if self._guard.has_lost(upstream):
            self._note_death(upstream)

    async def end_isolated_run(
        self, run: IsolatedRun, job: Job, lost_upstream: Upstream | None, *, gave_up: bool
    ) -> None:
        """Release an isolated run once it is known whether the upstream died in it.

        :param lost_upstream: the upstream if the answer was lost, else None.
        :param gave_up: whether the wait for the answer was given up. An upstream may go on to run a
            request whose connection was closed, until the request's deadline.
        """
        try:
            if lost_upstream is not None:
                runs_for_s = self._left_s(job) if gave_up else 0.0
                await self._judge_isolated_run(job, lost_upstream, runs_for_s=runs_for_s)
        finally:
            await run.close()

    async def _judge_isolated_run(self, job: Job, upstream: Upstream, *, runs_for_s: float) -> None:
        """Wait until the upstream has died of a run, or the run must have ended without that."""
        ends_at = self._clock.monotonic() + runs_for_s + DEATH_MARGIN_S
        is_alive = await self.note_lost(job, upstream)
        while is_alive and not upstream.is_leaving and self._clock.monotonic() < ends_at:
            await self._clock.sleep(RUN_CHECK_INTERVAL_S)
            is_alive = await self._is_there(upstream)
        if not is_alive:
            await self._guard.confirm_death(upstream, timeout_s=SILENCE_JUDGEMENT_S)
        eliot.log_message(
            message_type="crash:isolated-run",
            request_id=job.request_id,
            fingerprint=job.fingerprint,
            process=upstream.process,
            watched_s=round(runs_for_s + DEATH_MARGIN_S, 3),
            outlived=is_alive,
        )

    def _left_s(self, job: Job) -> float:
        return max(0.0, job.ends_at - self._clock.monotonic())

    async def _is_alive(self, upstream: Upstream, *, wait_s: float) -> bool | None:
        """Return whether an upstream is still at its address; None if it is not known in time."""
        asked_at_s = self._clock.wall()
        found = await self._endings.find(upstream, wait_s=wait_s)
        if found.witness is Witness.UNKNOWN:
            return None
        if found.witness is Witness.SAME:
            self._parts.note_outlived(upstream.process, asked_at_s)
        is_alive = found.witness in (Witness.SAME, Witness.SOMEONE)
        if not is_alive:
            self._note_death(upstream)
        return is_alive

    def _note_departure(self, upstream: Upstream) -> None:
        if self._guard.has_lost(upstream):
            self._note_death(upstream)

    def _note_lost_at(self, job: Job, upstream: Upstream, *, runs_for_s: float = 0.0) -> None:
        self._guard.note_lost(job, upstream, runs_for_s=runs_for_s)
        if job.shared_parts:
            self._parts.note_lost(job.shared_parts, job.progress, upstream)

    def _note_death(self, upstream: Upstream) -> None:
        self._guard.note_death(upstream)
        if self._is_reclaimed(upstream):
            self._parts.note_leaving(upstream)
        else:
            self._parts.note_death(upstream)

    def _is_reclaimed(self, upstream: Upstream) -> bool:
        """Return whether an upstream went while its failure domain is being reclaimed.

        It may go before its own announcement has reached this host.
        """
        if not upstream.registration.reclaimable:
            return False
        others = [
            other
            for other in self._directory.upstreams()
            if other.failure_domain == upstream.failure_domain
            and other.registration.reclaimable
            and other.process != upstream.process
        ]
        leaving = sum(other.is_leaving for other in others)
        return leaving >= MIN_RECLAIMED and 2 * leaving >= len(others)

    def _hold(self, job: Job) -> Refusal | None:
        """Return a refusal if it is too early for an isolated run of the request."""
        if self._guard.has_no_notes:
            return None
        deaths = self._guard.isolating_deaths(job.fingerprint)
        if not deaths:
            return None
        dead = self._guard.dead_processes()
        available = self._directory.available_for(job.service)
        alive = sum(found.process not in dead for found in available)
        hold_s = HOLD_S if alive > 1 else LAST_UPSTREAM_HOLD_S
        left_s = hold_s - max(0.0, self._clock.wall() - deaths[-1].at_s)
        return self._held(job, deaths, left_s) if left_s > 0 else None

    def _held(
        self, job: Job, deaths: cabc.Sequence[RecordedDeath], retry_after_s: float
    ) -> Refusal:
        now_s = self._clock.wall()
        told = ", ".join(
            f"{death.process} told by {death.reporter} {now_s - death.at_s:.1f} s ago"
            for death in deaths
        )
        detail = f"{len(deaths)} upstreams died running this request ({told}): {job.fingerprint}"
        return Refusal(code=ResultCode.SUSPECT, detail=detail, retry_after_s=retry_after_s)
