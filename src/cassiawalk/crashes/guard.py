"""Decides which requests are suspect, run in isolation, or are quarantined."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.crashes.deaths import Death
from cassiawalk.crashes.deaths import DeathLog
from cassiawalk.crashes.evidence import Evidence
from cassiawalk.crashes.evidence import RecordedDeath
from cassiawalk.crashes.isolation import IsolatedRun
from cassiawalk.crashes.isolation import IsolatedRuns
from cassiawalk.crashes.leases import IsolationLeases
from cassiawalk.crashes.notes import QUARANTINE_S
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.crashes.quarantine import QuarantinePublisher
from cassiawalk.crashes.report import Blame
from cassiawalk.crashes.report import log_changed_blame
from cassiawalk.crashes.report import log_death
from cassiawalk.crashes.report import quarantine_detail
from cassiawalk.crashes.running import RunningRequests
from cassiawalk.crashes.subjects import GuardedRequest
from cassiawalk.crashes.subjects import GuardedUpstream
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

DEATH_CONFIRM_TIMEOUT_S = 0.3
SETTLE_DELAY_S = 0.2
QUARANTINE_DELAY_S = 1.0
LEASE_RETRY_S = 0.25
# With this many other deaths in a domain within seconds, no request comes under suspicion by it.
CERTAIN_DOMAIN_DEATHS = 3
# From so many deaths on a request is isolated also if failures of domains explain them: several
# crashing requests at once look like such a failure.
ISOLATE_AFTER_ANY_DEATHS = 3


class CrashGuard(Component):
    """Tracks which requests run on which upstreams, and finds those that crash upstreams.

    A request becomes suspect when an upstream that ran it dies and nothing else explains the death.
    With ``isolate_after`` such deaths it runs only in isolation: on one host at a time, on an
    upstream to which that host sends no other request. If that upstream dies too, the request is
    quarantined. If the request completes, it is no longer suspect.

    Other deaths in the domain explain one death in isolation, but not a second one after it.

    :param note_store: the notes that hosts share with each other.
    :param sharing: sends new notes to the other hosts.
    :param isolation_leases: allow one isolated run of a request at a time over all hosts.
    :param quarantines: the quarantines in the configuration.
    :param upstreams: returns the upstreams that this host knows.
    :param on_released: called when an upstream is no longer reserved for an isolated run.
    :param isolate_after: the number of deaths against a request from which on it is isolated.
    :param settle_s: how long to wait for other explanations of a death, in seconds.
    """

    def __init__(
        self,
        *,
        host: HostId,
        note_store: NoteStore,
        sharing: NoteSharing,
        isolation_leases: IsolationLeases,
        quarantines: QuarantinePublisher,
        upstreams: cabc.Callable[[], cabc.Iterable[GuardedUpstream]],
        on_released: cabc.Callable[[], None],
        clock: Clock,
        isolate_after: int = 1,
        settle_s: float = SETTLE_DELAY_S,
    ) -> None:
        self._host = host
        self._quarantines = quarantines
        self._clock = clock
        self._isolate_after = isolate_after
        self._settle_s = settle_s
        self._notes = CrashNotes(note_store=note_store, sharing=sharing, clock=clock)
        self._evidence = Evidence(host=host, notes=self._notes)
        self._deaths = DeathLog()
        self._running = RunningRequests(clock=clock)
        self._isolated_runs = IsolatedRuns(
            upstreams=upstreams,
            on_released=on_released,
            notes=self._notes,
            isolation_leases=isolation_leases,
            clock=clock,
            is_quarantined=lambda request: self.refusal(request) is not None,
        )
        self._pending_deaths: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        note_store.add_listener(self._note_changed)

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._isolated_runs.stop()
        await super().stop()

    @contextlib.contextmanager
    def running(self, request: GuardedRequest, upstream: GuardedUpstream) -> cabc.Iterator[None]:
        """Count the request as running on an upstream while the context is open."""
        with self._running.running(request, upstream):
            yield

    def refusal(self, request: GuardedRequest) -> Refusal | None:
        """Return the refusal of a quarantined request, or None if it is not quarantined."""
        if self._quarantines.is_empty() and self._notes.is_empty():
            return None
        fingerprint = request.fingerprint
        if not self._is_quarantined(fingerprint):
            return None
        ran = request.may_have_run
        note = self._notes.get(NoteTopic.QUARANTINE, fingerprint)
        return Refusal(
            code=ResultCode.CRASHED_UPSTREAM if ran else ResultCode.QUARANTINED,
            detail=quarantine_detail(fingerprint, note, self._clock.wall()),
            execution=Execution.RAN if ran else Execution.NOT_RUN,
        )

    async def screen(
        self, request: GuardedRequest, *, left_s: float, wait_s: float | None = None
    ) -> IsolatedRun | Refusal | None:
        """Return None if the request may run, or a refusal.

        A request that may run only in isolation gets an isolated run instead of None.

        :param left_s: the time that is left until the request's deadline, in seconds.
        :param wait_s: how long to wait for an isolated run, in seconds; by default ``left_s``.
        """
        refusal = self.refusal(request)
        if refusal is not None or self._notes.is_empty():
            return refusal
        ends_at = self._clock.monotonic() + (left_s if wait_s is None else min(wait_s, left_s))
        while self.must_isolate(request.fingerprint):
            changed = self._changed
            run = await self._isolated_runs.try_acquire(request, limit_s=left_s)
            if run is not None:
                return run
            if self._clock.monotonic() >= ends_at:
                return Refusal(
                    code=ResultCode.SUSPECT,
                    detail=f"the request {request.fingerprint} could not run alone in time",
                    retry_after_s=LEASE_RETRY_S,
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEASE_RETRY_S):
                    await changed.wait()
            refusal = self.refusal(request)
            if refusal is not None:
                return refusal
        return None

    @property
    def has_no_notes(self) -> bool:
        """Return whether nothing is known against any request."""
        return self._notes.is_empty()

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether the death of an upstream is attributed to the fingerprint."""
        return bool(self.blamed_deaths(fingerprint))

    def must_isolate(self, fingerprint: Fingerprint) -> bool:
        """Return whether the fingerprint may run only in isolation."""
        return bool(self.isolating_deaths(fingerprint))

    def isolating_deaths(self, fingerprint: Fingerprint) -> list[RecordedDeath]:
        """Return the deaths for which a request may run only in isolation, the oldest first.

        It is empty if the request may run beside others.
        """
        blamed = self.blamed_deaths(fingerprint)
        if len(blamed) >= self._isolate_after:
            return blamed
        recorded = self._evidence.deaths(fingerprint)
        return recorded if len(recorded) >= ISOLATE_AFTER_ANY_DEATHS else []

    def blamed_deaths(self, fingerprint: Fingerprint) -> list[RecordedDeath]:
        """Return the deaths that stand against a request and that no domain failure explains."""
        recorded = self._evidence.deaths(fingerprint)
        if not recorded:
            return []
        own = {death.process for death in recorded}
        others = [death for death in self._evidence.all_deaths() if death.process not in own]
        return [death for death in recorded if not self._explains(fingerprint, death, own, others)]

    def note_completed(self, request: GuardedRequest) -> None:
        """Clear a request of suspicion after it ran to its end."""
        if self._notes.is_empty():
            return
        fingerprint = request.fingerprint
        if self._evidence.deaths(fingerprint):
            self.spawn(self._clear(fingerprint), name=f"clear-{fingerprint}")

    def note_lost(
        self, request: GuardedRequest, upstream: GuardedUpstream, *, runs_for_s: float = 0.0
    ) -> None:
        """Record that the connection was lost on which an upstream ran the request.

        :param runs_for_s: how much longer the upstream may run it all the same, in seconds.
        """
        self._running.note_lost(request, upstream, runs_for_s=runs_for_s)

    def has_lost(self, upstream: GuardedUpstream) -> bool:
        """Return whether requests lost their connection to the upstream recently."""
        return self._running.has_lost(upstream)

    def dead_processes(self) -> set[str]:
        """Return the processes of whose death this host or another one has noticed lately."""
        own = self._deaths.processes()
        return own | {death.process for death in self._evidence.all_deaths()}

    def note_death(self, upstream: GuardedUpstream) -> None:
        """Record that an upstream died, and start a task that finds out the cause."""
        process = upstream.process
        if upstream.is_leaving or process in self._pending_deaths:
            return
        death = Death(
            process=process,
            failure_domain=upstream.failure_domain,
            at=self._clock.wall(),
            running=self._running.on(process),
        )
        self._deaths.add(death)
        task = self.spawn(self._explain_death(upstream, death), name=f"death-{process}")
        self._pending_deaths[process] = task
        task.add_done_callback(lambda _: self._pending_deaths.pop(process, None))
        self._notify_changed()

    def note_leaving(self, upstream: GuardedUpstream) -> None:
        """Withdraw the death of an upstream that turns out to have left."""
        self._deaths.remove(upstream.process)
        self.note_explained(upstream.process)
        self._notify_changed()

    def note_explained(self, process: str) -> None:
        """Withdraw a death from all requests, as its cause is known."""
        blamed = self._evidence.blamed_for(process)
        if blamed:
            self.spawn(self._explain(process, blamed), name=f"explain-{process}")

    async def isolate(self, request: GuardedRequest, *, left_s: float) -> IsolatedRun | None:
        """Return an isolated run for a request against which no death stands, if there can be one.

        :param left_s: the time that is left until the request's deadline, in seconds.
        """
        return await self._isolated_runs.try_acquire(request, limit_s=left_s)

    async def confirm_death(
        self, upstream: GuardedUpstream, *, timeout_s: float = DEATH_CONFIRM_TIMEOUT_S
    ) -> None:
        """Wait until it is known whether a lost connection was the death of the upstream.

        The caller must keep the request counted as running (see ``running``) meanwhile.

        :param timeout_s: how long the death may take to be noticed, in seconds.
        """
        process = upstream.process
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while process not in self._pending_deaths and not upstream.is_leaving:
                    await self._changed.wait()
        task = self._pending_deaths.get(process)
        if task is not None:
            await asyncio.wait([task])

    def _is_quarantined(self, fingerprint: Fingerprint) -> bool:
        until_s = self._quarantines.until_s(fingerprint)
        if until_s is not None:
            return until_s > self._clock.wall()
        return self._notes.get(NoteTopic.QUARANTINE, fingerprint) is not None

    def _explains(
        self,
        fingerprint: Fingerprint,
        recorded: RecordedDeath,
        own: cabc.Set[str],
        others: cabc.Iterable[Death],
    ) -> bool:
        """Return whether a failure of the domain explains a death: others died that did not run it.

        :param own: the processes that died while they ran the request.
        :param others: the deaths that other hosts recorded, without these.
        """
        death = dataclasses.replace(recorded.as_death(), running=frozenset((fingerprint,)))
        related = self._deaths.related(death, others)
        return any(other.process not in own for other in related)

    async def _explain_death(self, upstream: GuardedUpstream, death: Death) -> None:
        """Find the cause of a death; mark or quarantine the requests that may have caused it."""
        await self._clock.sleep(self._settle_s)
        if upstream.is_leaving:
            self._deaths.remove(death.process)
            return
        running = death.running | self._running.on(death.process)
        self._running.forget_lost(death.process)  # the same death may be noticed in several ways
        death = dataclasses.replace(death, running=running)
        self._log_death(death)
        if self._isolated_runs.announced_fingerprints(death.process):
            self._deaths.remove(death.process)
            for fingerprint in death.running:
                if self._isolated_runs.runs_alone_here(fingerprint, death.process):
                    await self._quarantine(fingerprint, upstream, death)
            return
        self._deaths.replace(death)
        suspects = death.running
        if len(self._deaths.related(death)) >= CERTAIN_DOMAIN_DEATHS:
            suspects = frozenset(name for name in suspects if self._evidence.deaths(name))
        before = self._blamed(suspects)
        await self._evidence.add(suspects, death)
        self._log_changes(before)

    async def _quarantine(
        self, fingerprint: Fingerprint, upstream: GuardedUpstream, death: Death
    ) -> None:
        """Quarantine a request whose upstream died during its isolated run."""
        # Other deaths of a failing domain and late reclaim notices may still be reported.
        await self._clock.sleep(QUARANTINE_DELAY_S)
        standing = self.isolating_deaths(fingerprint)
        if upstream.is_leaving or not standing:
            return
        if not self._isolated_runs.runs_alone_here(fingerprint, death.process):
            return
        recorded_deaths = self._evidence.deaths(fingerprint)
        own = {recorded.process for recorded in recorded_deaths}
        others = [other for other in self._evidence.all_deaths() if other.process not in own]
        is_explained = any(
            other.process not in own for other in self._deaths.related(death, others)
        )
        if is_explained and not any(recorded.alone for recorded in recorded_deaths):
            await self._evidence.add([fingerprint], death, alone=True)
            return
        items = [f"{recorded.process} told by {recorded.reporter}" for recorded in standing]
        items.append(f"{death.process} alone, told by {self._host}")
        reason = f"died of it: {', '.join(items)}"
        until_s = self._clock.wall() + QUARANTINE_S
        note = self._notes.new(
            NoteTopic.QUARANTINE, fingerprint, keep_s=QUARANTINE_S, items=tuple(items)
        )
        await self._notes.share([note])
        await self._clear(fingerprint)
        eliot.log_message(message_type="crash:quarantined", fingerprint=fingerprint, reason=reason)
        publish = self._quarantines.publish(fingerprint, until_s=until_s, reason=reason)
        self.spawn(publish, name=f"quarantine-{fingerprint}")

    async def _clear(self, fingerprint: Fingerprint) -> None:
        before = self._blamed([fingerprint])
        await self._evidence.clear(fingerprint)
        self._log_changes(before)

    async def _explain(self, process: str, fingerprints: cabc.Iterable[Fingerprint]) -> None:
        before = self._blamed(fingerprints)
        await self._evidence.explain(process)
        self._log_changes(before)

    def _blamed(self, fingerprints: cabc.Iterable[Fingerprint]) -> Blame:
        return {fingerprint: self.blamed_deaths(fingerprint) for fingerprint in fingerprints}

    def _log_changes(self, before: Blame) -> None:
        log_changed_blame(before, self._blamed(before))

    def _log_death(self, death: Death) -> None:
        related = [other.process for other in self._deaths.related(death)]
        log_death(death, related=related, age_s=self._clock.wall() - death.at)

    def _note_changed(self, note: Note) -> None:
        self._evidence.note_changed(note)
        if note.topic is NoteTopic.ISOLATED_RUN:
            self._isolated_runs.note_run(note)
        self._notify_changed()

    def _notify_changed(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
