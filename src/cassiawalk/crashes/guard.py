"""Decides which requests are suspect, run in isolation, or are quarantined."""

import abc
import asyncio
import collections.abc as cabc
import contextlib
import weakref

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.crashes.deaths import Death
from cassiawalk.crashes.deaths import DeathLog
from cassiawalk.crashes.fingerprint import fingerprint_of
from cassiawalk.crashes.isolation import IsolatedRun
from cassiawalk.crashes.isolation import IsolatedRuns
from cassiawalk.crashes.leases import IsolationLeases
from cassiawalk.crashes.notes import QUARANTINE_S
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.peer import MembershipFeed
from cassiawalk.peer import Note
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import UpstreamState
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

DEATH_CONFIRM_TIMEOUT_S = 0.3
SETTLE_DELAY_S = 0.2
QUARANTINE_DELAY_S = 1.0
SUSPICION_S = 600.0
LEASE_RETRY_S = 0.25


class QuarantinePublisher(abc.ABC):
    """Writes quarantines to the configuration and reads them from it."""

    @abc.abstractmethod
    async def publish(self, fingerprint: Fingerprint, *, until_s: float, reason: str) -> None:
        """Record a quarantine; return once it is recorded or has expired.

        :param until_s: the quarantine's end in wall-clock seconds.
        :param reason: text shown to operators.
        """

    @abc.abstractmethod
    def until_s(self, fingerprint: Fingerprint) -> float | None:
        """Return a quarantine's end in wall-clock seconds, or None if none was ever recorded.

        The end is 0 for a quarantine that an operator removed.
        """

    @abc.abstractmethod
    def is_empty(self) -> bool:
        """Return whether the configuration has no quarantine."""


class CrashGuard(Component):
    """Tracks which requests run on which upstreams, and finds those that crash upstreams.

    A request becomes suspect when an upstream that ran it dies and nothing else explains the death.
    A suspect request runs only in isolation: on one host at a time, on an upstream to which that
    host sends no other request. If that upstream dies too, the request is quarantined. If the
    request completes, it is no longer suspect.

    :param note_store: the notes that hosts share with each other.
    :param feed: sends new notes to the other hosts.
    :param isolation_leases: allow one isolated run of a request at a time over all hosts.
    :param quarantines: the quarantines in the configuration.
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        feed: MembershipFeed,
        note_store: NoteStore,
        isolation_leases: IsolationLeases,
        quarantines: QuarantinePublisher,
        clock: Clock,
    ) -> None:
        self._table = table
        self._note_store = note_store
        self._quarantines = quarantines
        self._clock = clock
        self._deaths = DeathLog()
        self._running: dict[RequestId, tuple[UpstreamView, Fingerprint]] = {}
        self._notes = CrashNotes(note_store=note_store, feed=feed, clock=clock)
        self._isolated_runs = IsolatedRuns(
            table=table,
            notes=self._notes,
            isolation_leases=isolation_leases,
            clock=clock,
            is_quarantined=lambda record: self.refusal(record) is not None,
        )
        self._fingerprints: weakref.WeakKeyDictionary[RequestRecord, Fingerprint] = (
            weakref.WeakKeyDictionary()
        )
        self._pending_deaths: dict[UpstreamView, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        table.add_leaving_listener(self._note_leaving)
        note_store.add_listener(self._note_changed)

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._isolated_runs.stop()
        await super().stop()

    @contextlib.contextmanager
    def running(self, record: RequestRecord, view: UpstreamView) -> cabc.Iterator[None]:
        """Count the request as running on an upstream while the context is open."""
        self._running[record.request_id] = (view, self._fingerprint(record))
        try:
            yield
        finally:
            self._running.pop(record.request_id, None)

    def refusal(self, record: RequestRecord) -> Refusal | None:
        """Return the refusal of a quarantined request, or None if it is not quarantined."""
        if self._quarantines.is_empty() and self._note_store.is_empty():
            return None
        fingerprint = self._fingerprint(record)
        if not self._is_quarantined(fingerprint):
            return None
        crashed = record.attempt > 0
        return Refusal(
            code=ResultCode.CRASHED_UPSTREAM if crashed else ResultCode.QUARANTINED,
            detail=f"two upstreams died running this request; it is quarantined as {fingerprint}",
            execution=Execution.RAN if crashed else Execution.NOT_RUN,
        )

    async def screen(self, record: RequestRecord) -> IsolatedRun | Refusal | None:
        """Return None if the request may run, or a refusal.

        A suspect request gets an isolated run instead of None, and may run only in it. It waits
        for the isolated run until its deadline.
        """
        refusal = self.refusal(record)
        if refusal is not None or self._note_store.is_empty():
            return refusal
        fingerprint = self._fingerprint(record)
        while self.is_suspect(fingerprint):
            if self._clock.wall() >= record.deadline_s:
                return Refusal(
                    code=ResultCode.DEADLINE_PASSED_WAITING,
                    detail="the request is suspect and could not run alone before its deadline",
                )
            changed = self._changed
            run = await self._isolated_runs.try_acquire(record, fingerprint)
            if run is not None:
                return run
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEASE_RETRY_S):
                    await changed.wait()
            refusal = self.refusal(record)
            if refusal is not None:
                return refusal
        return None

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether the death of an upstream is attributed to the fingerprint."""
        return bool(self._recorded_deaths(fingerprint))

    def note_completed(self, record: RequestRecord) -> None:
        """Clear a request of suspicion after it ran to its end."""
        fingerprint = self._fingerprint(record)
        if self.is_suspect(fingerprint):
            self.spawn(self._set_deaths(fingerprint, ()), name=f"clear-{fingerprint}")

    def note_death(self, view: UpstreamView) -> None:
        """Record that an upstream died, and start a task that finds out the cause."""
        if view.state is UpstreamState.LEAVING:
            return
        death = Death(
            upstream=view.upstream_id,
            failure_domain=view.failure_domain,
            at=self._clock.monotonic(),
            running=frozenset(f for v, f in self._running.values() if v is view),
        )
        self._deaths.add(death)
        task = self.spawn(self._explain_death(view, death), name=f"death-{view.upstream_id}")
        self._pending_deaths[view] = task
        task.add_done_callback(lambda _: self._pending_deaths.pop(view, None))
        self._notify_changed()

    async def confirm_death(self, record: RequestRecord, view: UpstreamView) -> None:
        """Wait until it is known whether a lost connection was the death of the upstream.

        The caller must keep the request counted as running (see ``running``) meanwhile.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEATH_CONFIRM_TIMEOUT_S):
                while view not in self._pending_deaths and view.state is not UpstreamState.LEAVING:
                    await self._changed.wait()
        task = self._pending_deaths.get(view)
        if task is not None:
            await asyncio.wait([task])

    def _fingerprint(self, record: RequestRecord) -> Fingerprint:
        """Return the fingerprint of a record; it is computed once for each record."""
        if record not in self._fingerprints:
            self._fingerprints[record] = fingerprint_of(record)
        return self._fingerprints[record]

    def _is_quarantined(self, fingerprint: Fingerprint) -> bool:
        until_s = self._quarantines.until_s(fingerprint)
        if until_s is not None:
            return until_s > self._clock.wall()
        return self._note_store.get(NoteTopic.QUARANTINE, fingerprint) is not None

    def _recorded_deaths(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        return self._notes.items(NoteTopic.SUSPECT_REQUEST, fingerprint)

    async def _explain_death(self, view: UpstreamView, death: Death) -> None:
        """Find the cause of a death; mark or quarantine the requests that may have caused it."""
        await self._clock.sleep(SETTLE_DELAY_S)
        if view.state is UpstreamState.LEAVING:
            return
        if self._isolated_runs.announced_fingerprints(death.upstream):
            self._deaths.remove(death)
            for fingerprint in death.running:
                if self._isolated_runs.runs_alone_here(fingerprint, death.upstream):
                    await self._quarantine(fingerprint, view, death)
            return
        domain_deaths = self._domain_deaths(death)
        for other in domain_deaths:
            self._remove_death(other.upstream)
        if domain_deaths:
            return
        for fingerprint in death.running:
            await self._add_death(fingerprint, death)

    def _domain_deaths(self, death: Death) -> list[Death]:
        """Return the other deaths that show this one to be a failure of the domain."""
        return [
            other
            for other in self._deaths.related(death)
            if not self._isolated_runs.announced_fingerprints(other.upstream)
            and not self._shares_suspect(death, other)
        ]

    def _shares_suspect(self, death: Death, other: Death) -> bool:
        """Return whether a host attributed both deaths to the same request."""
        return any(
            topic is NoteTopic.SUSPECT_REQUEST and {death.upstream, other.upstream} <= {*note.items}
            for (topic, _), note in self._note_store.notes().items()
        )

    async def _add_death(self, fingerprint: Fingerprint, death: Death) -> None:
        recorded = self._recorded_deaths(fingerprint)
        if death.upstream not in recorded:
            await self._set_deaths(fingerprint, (*recorded, death.upstream))

    async def _quarantine(self, fingerprint: Fingerprint, view: UpstreamView, death: Death) -> None:
        """Quarantine a request whose upstream died during its isolated run."""
        # Other deaths of a failing domain and late reclaim notices may still be reported.
        await self._clock.sleep(QUARANTINE_DELAY_S)
        if view.state is UpstreamState.LEAVING or not self.is_suspect(fingerprint):
            return
        if not self._isolated_runs.runs_alone_here(fingerprint, death.upstream):
            return
        recorded = self._recorded_deaths(fingerprint)
        if any(other.upstream not in recorded for other in self._domain_deaths(death)):
            return
        reason = f"died of it: {', '.join((*recorded, death.upstream))}"
        until_s = self._clock.wall() + QUARANTINE_S
        await self._notes.share(NoteTopic.QUARANTINE, fingerprint, keep_s=QUARANTINE_S)
        await self._set_deaths(fingerprint, ())
        eliot.log_message(message_type="crash:quarantined", fingerprint=fingerprint, reason=reason)
        publish = self._quarantines.publish(fingerprint, until_s=until_s, reason=reason)
        self.spawn(publish, name=f"quarantine-{fingerprint}")

    def _note_leaving(self, view: UpstreamView) -> None:
        self._remove_death(view.upstream_id)
        self._notify_changed()

    def _remove_death(self, upstream: UpstreamId) -> None:
        """Remove an upstream's death from all suspect requests, because it has another cause."""
        for (topic, name), note in self._note_store.notes().items():
            if topic is NoteTopic.SUSPECT_REQUEST and upstream in note.items:
                recorded = tuple(item for item in note.items if item != upstream)
                self.spawn(
                    self._set_deaths(Fingerprint(name), recorded), name=f"remove-death-{name}"
                )

    async def _set_deaths(self, fingerprint: Fingerprint, deaths: tuple[str, ...]) -> None:
        """Replace the deaths attributed to a fingerprint on all hosts; no deaths clear it."""
        eliot.log_message(message_type="crash:suspect", fingerprint=fingerprint, deaths=deaths)
        await self._notes.share(
            NoteTopic.SUSPECT_REQUEST, fingerprint, keep_s=SUSPICION_S, items=deaths
        )

    def _note_changed(self, note: Note) -> None:
        if note.topic is NoteTopic.ISOLATED_RUN:
            self._isolated_runs.note_run(note)
        self._notify_changed()

    def _notify_changed(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
