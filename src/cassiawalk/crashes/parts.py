"""Refuses requests with a part of a prompt that crashes the upstreams that answer on it."""

import asyncio
import collections
import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.crashes.blame import Accusation
from cassiawalk.crashes.blame import PartBlame
from cassiawalk.crashes.blame import Survival
from cassiawalk.crashes.losses import MAX_LOST_REQUESTS
from cassiawalk.crashes.losses import Losses
from cassiawalk.crashes.losses import LostRequest
from cassiawalk.crashes.losses import Parts
from cassiawalk.crashes.losses import Progress
from cassiawalk.crashes.losses import items_of
from cassiawalk.crashes.losses import joined
from cassiawalk.crashes.losses import losses_in
from cassiawalk.crashes.losses import losses_name
from cassiawalk.crashes.losses import split
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.crashes.subjects import GuardedUpstream
from cassiawalk.crashes.verdicts import Verdict
from cassiawalk.crashes.verdicts import VerdictChange
from cassiawalk.crashes.verdicts import Verdicts
from cassiawalk.crashes.verdicts import is_lifted
from cassiawalk.errors import WireError
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteTopic
from cassiawalk.storeview.promptparts import PartId

CHECK_INTERVAL_S = 0.1
LOSSES_KEEP_S = 600.0
SURVIVAL_KEEP_S = 30.0
LOST_RETENTION_S = 8.0  # longer than it takes until the entry of a dead upstream is removed
ACTIVE_S = 10.0  # from a death until survivals are counted no more
# From an accusation to the verdict, in which requests are held: hosts tell what they lost in the
# same death, and running requests survive.
SETTLE_S = 1.0
MAX_SETTLE_S = 2.0
COLLECT_S = 0.01  # in which requests lost at the same moment are told in one message
MAX_TOLD = 128  # two for each of 64 parts
CONTRADICTIONS = 3  # answers to requests sent before a verdict that lift it


class RunningAnswer:
    """A request with a prompt at an upstream, as far as its answer has come.

    :param sent_at_s: when the request was sent, in wall-clock seconds.
    :param progress: returns how far the answer has come.
    :param process: the process of the upstream.
    :param is_resumed: whether it is the rest of a stream that began elsewhere. That it is complete
        does not speak for its parts, as a whole answer may crash an upstream later than a rest.
    """

    def __init__(
        self,
        *,
        parts: Parts,
        sent_at_s: float,
        progress: cabc.Callable[[], Progress],
        process: str,
        is_resumed: bool = False,
    ) -> None:
        self.is_resumed = is_resumed
        self.parts = parts
        self.process = process
        self.sent_at_s = sent_at_s
        self.progress = progress
        self.counted_until_s: float | None = None  # the last known death, when it was counted


@dataclasses.dataclass(kw_only=True)
class _LostAt:
    """What this host lost at a process lately, each with the wall-clock time of its last loss."""

    at: float
    failure_domain: FailureDomain
    requests: dict[LostRequest, float] = dataclasses.field(default_factory=dict)
    is_dead: bool = False
    is_shared: bool = True


class PartGuard(Component):
    """Decides which parts of prompts are refused, from what all hosts lost and saw survive.

    :param on_explained: called with each process whose death a verdict explains.
    :param on_change: called with what happened to a verdict.
    :param may_try: returns whether this host is the one that tries a verdict.
    """

    def __init__(
        self,
        *,
        host: HostId,
        notes: CrashNotes,
        clock: Clock,
        on_explained: cabc.Callable[[str], None],
        on_change: cabc.Callable[[VerdictChange], None],
        may_try: cabc.Callable[[str], bool],
    ) -> None:
        self._host = host
        self._notes = notes
        self._clock = clock
        self._on_explained = on_explained
        self._on_change = on_change
        self._may_try = may_try
        self._blame = PartBlame()
        self._verdicts = Verdicts(notes=notes, host=host)
        self._held: dict[Parts, float] = {}
        self._contradictions: collections.Counter[Parts] = collections.Counter()
        self._lost: dict[str, _LostAt] = {}
        self._running: set[RunningAnswer] = set()
        self._checking: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no upstream has died under a request lately, and nothing is refused."""
        return self._blame.is_empty and self._verdicts.is_empty

    def verdict_against(self, parts: Parts) -> Verdict | None:
        """Return the verdict that a request with these parts is refused for, or None."""
        return None if self._verdicts.is_empty else self._verdicts.against(parts)

    def is_held(self, parts: Parts) -> bool:
        """Return whether a verdict against a request with these parts is about to be made."""
        return any(held <= parts for held in self._held)

    async def take_trial(self, verdict: Verdict) -> bool:
        """Return whether one request may be sent to find out whether a verdict still holds."""
        if self._clock.wall() < verdict.trial_due_s or not self._may_try(joined(verdict.parts)):
            return False
        note = self._verdicts.new_note(
            verdict.parts, processes=verdict.processes, trials=verdict.trials + 1
        )
        self._log(VerdictChange.TRIED, verdict.parts, trials=verdict.trials + 1)
        await self._notes.share([note])
        return True

    def note_began(self, answer: RunningAnswer) -> None:
        """Follow a request that was sent to an upstream."""
        self._running.add(answer)

    def note_ended(self, answer: RunningAnswer, *, whole: bool) -> None:
        """Follow a request no more, whose answer was complete or not."""
        self._running.discard(answer)
        if not whole:
            return
        self.note_outlived(answer.process, answer.sent_at_s)
        if answer.is_resumed:
            return
        self._note_survived(answer.parts, count=1, whole=True)
        if not self.is_idle:
            self._note_completed(answer)

    def note_outlived(self, process: str, until_s: float) -> None:
        """Forget the losses at a process until a time at which it is known to have lived.

        They were no death: connections are also reset by upstreams that live on, and callers give
        up. A process that is known to be dead keeps its losses.

        :param until_s: in wall-clock seconds; as when a request was sent that it has answered.
        """
        lost = self._lost.get(process)
        if lost is None or lost.is_dead:
            return
        lost.requests = {request: at_s for request, at_s in lost.requests.items() if at_s > until_s}
        if not lost.requests:
            del self._lost[process]

    def note_lost(self, parts: Parts, progress: Progress, upstream: GuardedUpstream) -> None:
        """Record a request that was lost at an upstream that may be dead."""
        now = self._clock.monotonic()
        self._lost = {
            process: lost
            for process, lost in self._lost.items()
            if now - lost.at < LOST_RETENTION_S
        }
        lost = self._lost.get(upstream.process)
        if lost is None:
            lost = _LostAt(at=now, failure_domain=upstream.failure_domain)
            self._lost[upstream.process] = lost
        lost.at = now
        if len(lost.requests) < MAX_LOST_REQUESTS:
            lost.requests[LostRequest(parts=parts, progress=progress)] = self._clock.wall()
        if lost.is_dead:
            self._share_soon(upstream.process, lost)

    def note_death(self, upstream: GuardedUpstream) -> None:
        """Tell all hosts what this one lost at an upstream that is dead."""
        lost = self._lost.get(upstream.process)
        if lost is not None and not lost.is_dead:
            lost.is_dead = True
            self._share_soon(upstream.process, lost)

    def note_leaving(self, upstream: GuardedUpstream) -> None:
        """Withdraw what this host told of an upstream that turns out to have left."""
        lost = self._lost.pop(upstream.process, None)
        if lost is None or not lost.is_dead:
            return
        name = losses_name(upstream.process, self._host)
        note = self._notes.new(NoteTopic.LOST_PARTS, name, keep_s=LOSSES_KEEP_S)
        self.spawn(self._notes.share([note]), name="losses-withdrawn")

    def note_changed(self, note: Note) -> None:
        """Take a new or changed note into account."""
        try:
            self._read(note)
        except (WireError, ValueError) as exc:
            eliot.log_message(message_type="crash:unreadable", note=note.name, reason=str(exc))

    def _read(self, note: Note) -> None:
        if note.topic is NoteTopic.REFUSED_PARTS:
            self._verdicts.note_changed(note)
            self._held.clear()
            if is_lifted(note):
                self._blame.acquit(split(note.name), note.at_s)
            return
        if note.topic is NoteTopic.SURVIVING_PARTS:
            self._read_survivals(note)
            return
        if note.topic is not NoteTopic.LOST_PARTS:
            return
        losses = losses_in(note)
        self._blame.note_losses(losses, self._clock.wall())
        self._explain(losses)
        self._keep_checking()

    def _read_survivals(self, note: Note) -> None:
        if note.name == self._host:
            return
        for item in note.items[:MAX_TOLD]:
            part, count, whole = item.rsplit(",", 2)
            survival = Survival(at_s=note.at_s, count=int(count), whole=whole == "whole")
            self._blame.note_told(PartId(part), HostId(note.name), survival)

    def _explain(self, losses: Losses) -> None:
        """Let a verdict explain a death."""
        for request in losses.requests:
            if request.progress is Progress.RUNNING:
                continue
            if self._verdicts.against(request.parts) is not None:
                self._on_explained(losses.process)
                return

    def _note_survived(self, parts: Parts, *, count: int, whole: bool) -> None:
        now_s = self._clock.wall()
        self._blame.note_survived(parts, Survival(at_s=now_s, count=count, whole=whole))

    def _note_completed(self, answer: RunningAnswer) -> None:
        """Lift or narrow verdicts that a complete answer contradicts.

        Some upstreams may bear a part that crashes others, so that a few requests that were on
        their way already do not lift a verdict.
        """
        for verdict in self._verdicts.touching(answer.parts):
            if not verdict.parts <= answer.parts:
                self._narrow(verdict, verdict.parts - answer.parts)
                continue
            self._contradictions[verdict.parts] += 1
            is_later = answer.sent_at_s >= verdict.at_s
            if is_later or self._contradictions[verdict.parts] >= CONTRADICTIONS:
                del self._contradictions[verdict.parts]
                self._lift(verdict)

    def _narrow(self, verdict: Verdict, parts: Parts) -> None:
        self._log(VerdictChange.NARROWED, parts, before=sorted(verdict.parts))
        made = self._verdicts.new_note(parts, processes=verdict.processes)
        ended = self._verdicts.ending_note(verdict.parts, VerdictChange.NARROWED)
        self.spawn(self._notes.share([made, ended]), name="verdict-narrowed")

    def _lift(self, verdict: Verdict) -> None:
        self._log(VerdictChange.LIFTED, verdict.parts, age_s=self._clock.wall() - verdict.at_s)
        note = self._verdicts.ending_note(verdict.parts, VerdictChange.LIFTED)
        self.spawn(self._notes.share([note]), name="verdict-lifted")

    def _share_soon(self, process: str, lost: _LostAt) -> None:
        """Share what was lost at a process, with what else is lost there in this moment."""
        if lost.is_shared:
            lost.is_shared = False
            self.spawn(self._share_losses(process, lost), name=f"losses-{process}")

    async def _share_losses(self, process: str, lost: _LostAt) -> None:
        await self._clock.sleep(COLLECT_S)
        lost.is_shared = True
        if self._lost.get(process) is not lost:  # it turned out to have left
            return
        losses = Losses(
            process=process,
            failure_domain=lost.failure_domain,
            reporter=self._host,
            at_s=self._clock.wall(),
            requests=frozenset(lost.requests),
        )
        note = self._notes.new(
            NoteTopic.LOST_PARTS,
            losses_name(process, self._host),
            keep_s=LOSSES_KEEP_S,
            items=items_of(losses),
        )
        await self._notes.share([note])

    def _keep_checking(self) -> None:
        if self._checking is None or self._checking.done():
            self._checking = self.spawn(self._check(), name="parts-check")

    async def _check(self) -> None:
        """Count survivals and judge until no upstream has died for ``ACTIVE_S`` s."""
        while self._clock.wall() - self._blame.last_death_s < ACTIVE_S:
            self._count_survivals()
            self._judge()
            await self._tell_survivals()
            await self._clock.sleep(CHECK_INTERVAL_S)

    def _count_survivals(self) -> None:
        """Count running requests that are past the beginning of their answers.

        Each counts once as a request. After a further death, the upstreams that still run a part
        count, each once, as a long answer speaks for its parts all the time.
        """
        last_death_s = self._blame.last_death_s
        found: collections.Counter[Parts] = collections.Counter()
        upstreams: dict[PartId, set[str]] = collections.defaultdict(set)
        for answer in self._running:
            counted_s = answer.counted_until_s
            if counted_s == last_death_s or answer.progress() is not Progress.RUNNING:
                continue
            answer.counted_until_s = last_death_s
            if counted_s is None:
                found[answer.parts] += 1
            elif answer.process not in self._lost:
                for part in answer.parts:
                    upstreams[part].add(answer.process)
        for parts, count in found.items():
            self._note_survived(parts, count=count, whole=False)
        for part, processes in upstreams.items():
            self._note_survived(frozenset((part,)), count=len(processes), whole=False)

    async def _tell_survivals(self) -> None:
        told = self._blame.open_questions()
        if not told:
            return
        items = tuple(
            f"{part},{survival.count},{'whole' if survival.whole else 'begun'}"
            for part, survival in told[:MAX_TOLD]
        )
        note = self._notes.new(
            NoteTopic.SURVIVING_PARTS, str(self._host), keep_s=SURVIVAL_KEEP_S, items=items
        )
        known = self._notes.items(NoteTopic.SURVIVING_PARTS, str(self._host))
        if known != items:
            await self._notes.share([note])

    def _judge(self) -> None:
        """Hold what is accused, and make a verdict of it if it still is after ``SETTLE_S``."""
        now = self._clock.monotonic()
        known = [verdict.parts for verdict in self._verdicts.all()]
        accused = self._blame.accuse(known, self._clock.wall())
        self._held = {found.parts: self._held.get(found.parts, now) for found in accused}
        for found in accused:
            held_s = now - self._held[found.parts]
            if held_s >= MAX_SETTLE_S or (held_s >= SETTLE_S and not self._may_survive(found)):
                self._convict(found)

    def _may_survive(self, accusation: Accusation) -> bool:
        """Return whether a running request may still speak for accused parts."""
        return any(accusation.parts <= answer.parts for answer in self._running)

    def _convict(self, found: Accusation) -> None:
        self._log(VerdictChange.MADE, found.parts, processes=list(found.processes))
        note = self._verdicts.new_note(found.parts, processes=found.processes)
        self.spawn(self._notes.share([note]), name="verdict-made")
        for process in found.processes:
            self._on_explained(process)

    def _log(self, change: VerdictChange, parts: Parts, **fields: object) -> None:
        self._on_change(change)
        eliot.log_message(message_type=f"crash:parts-{change.value}", parts=sorted(parts), **fields)
