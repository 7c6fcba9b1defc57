"""Decides on rollouts for all hosts, as one of the duties.

Each state is written to the store before it is announced, so that the next holder continues from
it. Only a rollback is announced at once.
"""

import abc
import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.clock import Clock
from cassiawalk.duties.api import DutyOutcome
from cassiawalk.duties.api import FencingToken
from cassiawalk.duties.holder import Duty
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.rollouts.book import RolloutBook
from cassiawalk.rollouts.counting import CountIncrements
from cassiawalk.rollouts.counting import VersionCount
from cassiawalk.rollouts.evidence import Finding
from cassiawalk.rollouts.evidence import Tally
from cassiawalk.rollouts.evidence import VersionJudge
from cassiawalk.rollouts.phases import PROBED_UPSTREAMS
from cassiawalk.rollouts.phases import RolloutView
from cassiawalk.rollouts.phases import next_state
from cassiawalk.rollouts.types import Phase
from cassiawalk.rollouts.types import RolloutLimits
from cassiawalk.rollouts.types import RolloutOrder
from cassiawalk.rollouts.types import RolloutState

EVIDENCE_LOG_S = 1.0

CountSources = cabc.Mapping[str, cabc.Sequence[VersionCount]]


class StateRecords(abc.ABC):
    """The records of rollouts in the store. An outage is returned, never raised."""

    @abc.abstractmethod
    async def read(self) -> cabc.Sequence[RolloutState] | None:
        """Return the stored states, or None if the store does not answer."""

    @abc.abstractmethod
    async def put_state(self, state: RolloutState) -> bool:
        """Write a state; return whether it is known to be in the store."""

    @abc.abstractmethod
    async def put_status(self, state: RolloutState) -> bool:
        """Write the status that the platform acts on; return whether it is known to be stored."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionUse:
    """The upstreams of both versions that serve, and the requests at the old one."""

    new_upstreams: int
    old_upstreams: int
    old_running: int


class _Evidence:
    """What was counted since one order."""

    def __init__(self, order: Offset) -> None:
        self.order = order
        self.judge = VersionJudge()
        self.increments = CountIncrements()
        self.logged_at = 0.0


class RolloutDuty(Duty):
    """Begins ordered rollouts and takes them from phase to phase.

    :param counts: returns the counts of all hosts, by the source that they come from.
    :param use: returns the upstreams and the load of the versions of a rollout.
    :param now_s: returns the corrected time in seconds since the epoch.
    :param clock: a clock that also runs while the host is suspended.
    """

    def __init__(
        self,
        *,
        book: RolloutBook,
        records: StateRecords,
        limits: RolloutLimits,
        counts: cabc.Callable[[], CountSources],
        use: cabc.Callable[[RolloutState], VersionUse],
        now_s: cabc.Callable[[], float],
        clock: Clock,
    ) -> None:
        self._book = book
        self._records = records
        self._limits = limits
        self._counts = counts
        self._use = use
        self._now_s = now_s
        self._clock = clock
        self._fence: Offset | None = None
        self._is_loaded = False
        self._evidence: dict[ServiceName, _Evidence] = {}
        self._stored: dict[ServiceName, tuple[int, int]] = {}
        self._written_status: dict[ServiceName, tuple[Offset, str]] = {}
        # Completions of which it is not known whether the store has them; nothing else may follow.
        self._completing: dict[ServiceName, RolloutState] = {}

    def announces(self, fence: Offset) -> bool:
        """Return whether the holder with a fencing number knows the states in the store."""
        return self._is_loaded and self._fence == fence

    async def step(self, by: FencingToken) -> DutyOutcome:
        """Begin what is ordered, and decide on what runs."""
        if self._fence != by.fence:
            self._begin_term(by)
        if not self._is_loaded and not await self._load():
            return DutyOutcome.UNKNOWN
        for order in self._book.pending_orders():
            if order.service not in self._completing:
                await self._begin(order, by)
        for state in self._book.states():
            await self._advance(state, by)
        return DutyOutcome.DONE

    def _begin_term(self, by: FencingToken) -> None:
        self._fence = by.fence
        self._is_loaded = False
        self._evidence.clear()
        self._stored.clear()
        self._written_status.clear()
        self._completing.clear()

    async def _load(self) -> bool:
        states = await self._records.read()
        if states is None:
            return False
        for state in states:
            self._stored[state.service] = state.key
            self._book.offer_state(state)
        self._is_loaded = True
        return True

    async def _begin(self, order: RolloutOrder, by: FencingToken) -> None:
        base = self._book.base(order.service)
        if base is None:
            return
        state = RolloutState(
            service=order.service,
            to=order.to,
            base=base,
            order=order.offset,
            phase=Phase.COMPLETED if base == order.to else Phase.PROBING,
            duration_s=order.duration_s,
            started_s=order.seen_s,
            since_s=self._now_s(),
            width=PROBED_UPSTREAMS,
            reason="ordered",
        )
        if await self._store(state, by):
            self._announce(state)

    async def _advance(self, state: RolloutState, by: FencingToken) -> None:
        if not state.phase.is_final:
            completing = self._completing.get(state.service)
            is_same = completing is not None and completing.order == state.order
            found = completing if completing is not None and is_same else self._decide(state)
            if found.key != state.key:
                self._log_change(found)
            if found.phase is Phase.COMPLETED:
                self._completing[state.service] = found
            if found.phase is Phase.ROLLED_BACK:
                self._announce(found)
            stored = await self._store(found, by)
            if not stored and found.phase is not Phase.ROLLED_BACK:
                return
            state = found
        elif not await self._store(state, by):
            return
        self._completing.pop(state.service, None)
        self._announce(state)
        await self._write_status(state, by)

    def _decide(self, state: RolloutState) -> RolloutState:
        finding, evidence = self._find(state)
        use = self._use(state)
        view = RolloutView(
            finding=finding,
            responses=evidence.judge.responses.responses,
            new_upstreams=use.new_upstreams,
            old_upstreams=use.old_upstreams,
            old_running=use.old_running,
        )
        self._log_evidence(state, view, evidence)
        return next_state(state, view, share=self._limits.share, now_s=self._now_s())

    def _find(self, state: RolloutState) -> tuple[Finding, _Evidence]:
        evidence = self._evidence.get(state.service)
        if evidence is None or evidence.order != state.order:
            evidence = self._evidence[state.service] = _Evidence(state.order)
        now = self._clock.monotonic()
        added: dict[tuple[str, UpstreamId], Tally] = {}
        for source, counts in self._counts().items():
            totals = {
                (found.route, found.upstream): found.tally
                for found in counts
                if found.service == state.service and found.order == state.order
            }
            for key, tally in evidence.increments.update(source, totals).items():
                added[key] = added.get(key, Tally()).plus(tally)
        evidence.judge.note(added, now)
        return evidence.judge.find(upstreams=self._use(state).new_upstreams), evidence

    async def _store(self, state: RolloutState, by: FencingToken) -> bool:
        """Write a state unless it is stored; return whether it is known to be."""
        if self._stored.get(state.service) == state.key:
            return True
        if not by.may_send() or not await self._records.put_state(state):
            eliot.log_message(
                message_type="rollout:not-stored", service=state.service, phase=state.phase.value
            )
            return False
        self._stored[state.service] = state.key
        return True

    async def _write_status(self, state: RolloutState, by: FencingToken) -> None:
        """Write the status, once its state is stored."""
        status = (state.order, state.phase.value if state.phase.is_final else "")
        if self._written_status.get(state.service) == status or not by.may_send():
            return
        if self._stored.get(state.service) == state.key and await self._records.put_status(state):
            self._written_status[state.service] = status

    def _announce(self, state: RolloutState) -> None:
        self._book.offer_state(state, heard_at=self._clock.monotonic())

    def _log_change(self, state: RolloutState) -> None:
        eliot.log_message(
            message_type="rollout:decided",
            service=state.service,
            to=state.to,
            base=state.base,
            phase=state.phase.value,
            reason=state.reason,
            left_s=round(state.deadline_s - self._now_s(), 2),
        )

    def _log_evidence(self, state: RolloutState, view: RolloutView, evidence: _Evidence) -> None:
        now = self._clock.monotonic()
        if now - evidence.logged_at < EVIDENCE_LOG_S:
            return
        evidence.logged_at = now
        new, old = evidence.judge.responses, evidence.judge.old_responses
        eliot.log_message(
            message_type="rollout:evidence",
            service=state.service,
            to=state.to,
            phase=state.phase.value,
            responses=new.responses,
            failures=new.failures,
            slow=new.slow,
            old_responses=old.responses,
            old_failures=old.failures,
            old_slow=old.slow,
            suspicious=view.finding.suspicious,
            of_one_upstream=view.finding.is_of_one,
            upstreams=view.new_upstreams,
            width=state.width,
            old_running=view.old_running,
            left_s=round(state.deadline_s - self._now_s(), 2),
        )
