"""Decides which requests are suspect, run alone, or quarantined."""

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
from cassiawalk.crashes.notes import NoteWriter
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

CONFIRM_S = 0.3
SETTLE_S = 0.2
QUARANTINE_DELAY_S = 1.0
SUSPICION_S = 600.0
TURN_CHECK_S = 0.25


class QuarantinePublisher(abc.ABC):
    """Puts quarantines into the configuration and reads them from there."""

    @abc.abstractmethod
    async def publish(self, fingerprint: Fingerprint, *, until_s: float, reason: str) -> None:
        """Record a quarantine; return once it is recorded or has expired."""

    @abc.abstractmethod
    def until_s(self, fingerprint: Fingerprint) -> float | None:
        """Return a quarantine's end in wall-clock seconds, or None if none was ever recorded.

        One that an operator removed has ended: its end is 0.
        """

    @abc.abstractmethod
    def is_empty(self) -> bool:
        """Return whether no quarantine is in the configuration."""


class CrashGuard(Component):
    """Follows what runs where, and whom an upstream's death puts under suspicion.

    A request is suspect after an unexplained death of an upstream that ran it. It is then tried
    alone: one host at a time, on an upstream to which that host sends nothing else. If that dies
    as well the request is quarantined; if the request completes it is cleared.
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
        self._log = DeathLog()
        self._running: dict[RequestId, tuple[UpstreamView, Fingerprint]] = {}
        self._notes = NoteWriter(note_store=note_store, feed=feed, clock=clock)
        self._solo = IsolatedRuns(
            table=table,
            notes=self._notes,
            isolation_leases=isolation_leases,
            clock=clock,
            is_convicted=lambda record: self.refusal(record) is not None,
        )
        self._fingerprints: weakref.WeakKeyDictionary[RequestRecord, Fingerprint] = (
            weakref.WeakKeyDictionary()
        )
        self._settling: dict[UpstreamView, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        table.add_leaving_listener(self._note_leaving)
        note_store.add_listener(self._note_changed)

    async def stop(self) -> None:
        """End all tasks."""
        await self._solo.stop()
        await super().stop()

    @contextlib.contextmanager
    def running(self, record: RequestRecord, view: UpstreamView) -> cabc.Iterator[None]:
        """Count the request as running on an upstream for the body's time."""
        self._running[record.request_id] = (view, self._fingerprint(record))
        try:
            yield
        finally:
            self._running.pop(record.request_id, None)

    def refusal(self, record: RequestRecord) -> Refusal | None:
        """Return the final answer of a quarantined request, or None."""
        if self._quarantines.is_empty() and self._note_store.is_empty():
            return None
        fingerprint = self._fingerprint(record)
        if not self._is_quarantined(fingerprint):
            return None
        crashed = record.attempt > 0
        return Refusal(
            code=ResultCode.CRASHED_UPSTREAM if crashed else ResultCode.QUARANTINED,
            detail=f"two upstreams died of this request; it is quarantined as {fingerprint}",
            execution=Execution.RAN if crashed else Execution.NOT_RUN,
        )

    async def screen(self, record: RequestRecord) -> IsolatedRun | Refusal | None:
        """Return None if the request may run, a ticket if only alone, or why it may not.

        A suspect request waits here for its turn until its deadline.
        """
        refusal = self.refusal(record)
        if refusal is not None or self._note_store.is_empty():
            return refusal
        fingerprint = self._fingerprint(record)
        while self.is_suspect(fingerprint):
            if self._clock.wall() >= record.deadline_s:
                return Refusal(
                    code=ResultCode.DEADLINE_PASSED_WAITING,
                    detail="the request is suspect and had no turn to run alone",
                )
            changed = self._changed
            ticket = await self._solo.take(record, fingerprint)
            if ticket is not None:
                return ticket
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TURN_CHECK_S):
                    await changed.wait()
            refusal = self.refusal(record)
            if refusal is not None:
                return refusal
        return None

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether an upstream's death is held against the fingerprint."""
        return bool(self._deaths_held(fingerprint))

    def note_completed(self, record: RequestRecord) -> None:
        """Clear a request that ran to its end."""
        fingerprint = self._fingerprint(record)
        if self.is_suspect(fingerprint):
            self.spawn(self._hold(fingerprint, ()), name=f"clear-{fingerprint}")

    def note_death(self, view: UpstreamView) -> None:
        """Note that an upstream died; what explains it is found out in a task."""
        if view.state is UpstreamState.LEAVING:
            return
        death = Death(
            upstream=view.upstream_id,
            failure_domain=view.failure_domain,
            at=self._clock.monotonic(),
            running=frozenset(f for v, f in self._running.values() if v is view),
        )
        self._log.note(death)
        task = self.spawn(self._settle(view, death), name=f"death-{view.upstream_id}")
        self._settling[view] = task
        task.add_done_callback(lambda _: self._settling.pop(view, None))
        self._wake()

    async def confirm_death(self, record: RequestRecord, view: UpstreamView) -> None:
        """Return once it is known whether a lost connection was an upstream's death.

        The caller keeps the request counted as running meanwhile.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_S):
                while view not in self._settling and view.state is not UpstreamState.LEAVING:
                    await self._changed.wait()
        task = self._settling.get(view)
        if task is not None:
            await asyncio.wait([task])

    def _fingerprint(self, record: RequestRecord) -> Fingerprint:
        """Return a record's fingerprint, which is computed once."""
        if record not in self._fingerprints:
            self._fingerprints[record] = fingerprint_of(record)
        return self._fingerprints[record]

    def _is_quarantined(self, fingerprint: Fingerprint) -> bool:
        until_s = self._quarantines.until_s(fingerprint)
        if until_s is not None:
            return until_s > self._clock.wall()
        return self._note_store.get(NoteTopic.QUARANTINE, fingerprint) is not None

    def _deaths_held(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        return self._notes.items(NoteTopic.SUSPECT_REQUEST, fingerprint)

    async def _settle(self, view: UpstreamView, death: Death) -> None:
        """Find out who is to blame for a death."""
        await self._clock.sleep(SETTLE_S)
        if view.state is UpstreamState.LEAVING:
            return
        if self._solo.announced(death.upstream):
            self._log.forget(death)
            for fingerprint in death.running:
                if self._solo.runs_here(fingerprint, death.upstream):
                    await self._convict(fingerprint, view, death)
            return
        together = self._domain_deaths(death)
        for other in together:
            self._withdraw(other.upstream)
        if together:
            return
        for fingerprint in death.running:
            await self._suspect(fingerprint, death)

    def _domain_deaths(self, death: Death) -> list[Death]:
        """Return the other deaths that make this one a failure of the domain."""
        return [
            other
            for other in self._log.near(death)
            if not self._solo.announced(other.upstream) and not self._shares_suspect(death, other)
        ]

    def _shares_suspect(self, death: Death, other: Death) -> bool:
        """Return whether some host reported one request for both deaths."""
        return any(
            topic is NoteTopic.SUSPECT_REQUEST and {death.upstream, other.upstream} <= {*note.items}
            for (topic, _), note in self._note_store.notes().items()
        )

    async def _suspect(self, fingerprint: Fingerprint, death: Death) -> None:
        held = self._deaths_held(fingerprint)
        if death.upstream not in held:
            await self._hold(fingerprint, (*held, death.upstream))

    async def _convict(self, fingerprint: Fingerprint, view: UpstreamView, death: Death) -> None:
        """Quarantine a request whose upstream died while it ran alone."""
        # The rest of a failing domain and late notices need a moment to become known.
        await self._clock.sleep(QUARANTINE_DELAY_S)
        if view.state is UpstreamState.LEAVING or not self.is_suspect(fingerprint):
            return
        if not self._solo.runs_here(fingerprint, death.upstream):
            return
        held = self._deaths_held(fingerprint)
        if any(other.upstream not in held for other in self._domain_deaths(death)):
            return
        reason = f"died of it: {', '.join((*held, death.upstream))}"
        until_s = self._clock.wall() + QUARANTINE_S
        await self._notes.share(NoteTopic.QUARANTINE, fingerprint, keep_s=QUARANTINE_S)
        await self._hold(fingerprint, ())
        eliot.log_message(message_type="crash:quarantined", fingerprint=fingerprint, reason=reason)
        publish = self._quarantines.publish(fingerprint, until_s=until_s, reason=reason)
        self.spawn(publish, name=f"quarantine-{fingerprint}")

    def _note_leaving(self, view: UpstreamView) -> None:
        self._withdraw(view.upstream_id)
        self._wake()

    def _withdraw(self, upstream: UpstreamId) -> None:
        """Drop an upstream's death from all suspicions, as something else explains it."""
        for (topic, name), note in self._note_store.notes().items():
            if topic is NoteTopic.SUSPECT_REQUEST and upstream in note.items:
                held = tuple(item for item in note.items if item != upstream)
                self.spawn(self._hold(Fingerprint(name), held), name=f"withdraw-{name}")

    async def _hold(self, fingerprint: Fingerprint, deaths: tuple[str, ...]) -> None:
        """Replace the deaths that are held against a fingerprint, on all hosts."""
        eliot.log_message(message_type="crash:suspect", fingerprint=fingerprint, deaths=deaths)
        await self._notes.share(
            NoteTopic.SUSPECT_REQUEST, fingerprint, keep_s=SUSPICION_S, items=deaths
        )

    def _note_changed(self, note: Note) -> None:
        if note.topic is NoteTopic.ISOLATED_RUN:
            self._solo.note_run(note)
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
