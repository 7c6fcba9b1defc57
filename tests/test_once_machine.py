"""Checks histories of two sequencers, a faulty log, and gateways that pause, crash or abandon."""

import asyncio
import collections
import dataclasses
import typing as t

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import Bundle
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import consumes
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from cassiawalk.once import Claim
from cassiawalk.once import Granted
from cassiawalk.once import Outcome
from cassiawalk.once import Sequencer
from cassiawalk.once import Taken
from cassiawalk.once import Unavailable
from cassiawalk.once.sequencer import OUTAGE_REFUSAL_S
from tests.once_fakes import KEEP_S
from tests.once_fakes import Effect
from tests.once_fakes import FakeClock
from tests.once_fakes import FakeLog
from tests.once_fakes import abandon_of
from tests.once_fakes import make_claim
from tests.once_fakes import make_sequencer
from tests.once_fakes import outcome_of

STREAM = "once-0"
KEYS = st.sampled_from(["k", "l"])
INDEXES = st.sampled_from([0, 1])
HOSTS = st.sampled_from(["host-a", "host-b", "host-c"])


@dataclasses.dataclass(eq=False)
class Attempt:
    """A granted claim whose request has not been sent yet."""

    claim: Claim
    granted_at: float


class OnceMachine(RuleBasedStateMachine):
    """Gateways claim, pause, send, abandon or crash, while the log loses answers and records."""

    granted = Bundle("granted")

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.log = FakeLog()
        self.clock = FakeClock()
        self.sequencers: list[Sequencer] = []
        self.number = 0
        self.sent: collections.defaultdict[str, list[float]] = collections.defaultdict(list)
        self.runs: set[str] = set()
        self.refused: set[str] = set()
        self.unrecorded: list[t.Any] = []

    def teardown(self) -> None:
        for sequencer in self.sequencers:
            self.run(sequencer.stop())
        self.loop.close()

    def run(self, coro: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        return self.loop.run_until_complete(coro)

    @initialize()
    def begin(self) -> None:
        for _ in range(2):
            self.sequencers.append(self.new_sequencer())

    def new_sequencer(self) -> Sequencer:
        async def started() -> Sequencer:
            sequencer = make_sequencer(self.log, self.clock)
            await sequencer.start()
            return sequencer

        return t.cast(Sequencer, self.run(started()))

    @rule(target=granted, key=KEYS, index=INDEXES, host=HOSTS)
    def claim(self, key: str, index: int, host: str) -> t.Any:
        self.number += 1
        self.clock.advance(OUTAGE_REFUSAL_S)
        claim = make_claim(key, self.number, at_s=self.clock.now, gateway=host)
        asked_at = self.clock.now
        decision = self.run(self.sequencers[index].claim(claim))
        if isinstance(decision, Granted):
            return Attempt(claim=claim, granted_at=asked_at)
        self.refused.add(claim.claim_id)
        if isinstance(decision, Unavailable) and decision.appended:
            self.unrecorded.append(abandon_of(claim))
        if isinstance(decision, Taken) and decision.outcome is not None:
            assert decision.outcome.claim_id in self.runs
        return hypothesis.stateful.multiple()

    @rule(attempt=consumes(granted))
    def send(self, attempt: Attempt) -> None:
        """Send the request, or abandon its claim if that is too old, as after a pause."""
        if self.clock.now - attempt.granted_at >= KEEP_S / 2:
            self.refused.add(attempt.claim.claim_id)
            self.unrecorded.append(abandon_of(attempt.claim))
            return
        self.sent[attempt.claim.key].append(self.clock.now)
        self.runs.add(attempt.claim.claim_id)
        self.unrecorded.append(outcome_of(attempt.claim))

    @rule(attempt=consumes(granted))
    def send_and_crash(self, attempt: Attempt) -> None:
        """The gateway crashes after sending, so no outcome is recorded."""
        if self.clock.now - attempt.granted_at < KEEP_S / 2:
            self.sent[attempt.claim.key].append(self.clock.now)
            self.runs.add(attempt.claim.claim_id)

    @rule(attempt=consumes(granted))
    def abandon(self, attempt: Attempt) -> None:
        self.refused.add(attempt.claim.claim_id)
        self.unrecorded.append(abandon_of(attempt.claim))

    @rule(attempt=consumes(granted))
    def crash_before_sending(self, attempt: Attempt) -> None:
        """The gateway crashes before sending; its claim keeps the key."""

    @rule(index=INDEXES)
    def record(self, index: int) -> None:
        """Record one outcome or abandonment; if that fails, it moves to the end of the queue."""
        if not self.unrecorded:
            return
        record = self.unrecorded.pop(0)
        if self.run(self.sequencers[index].record(record)) is not None:
            self.unrecorded.append(record)

    @rule(effects=st.lists(st.sampled_from(Effect), min_size=1, max_size=3))
    def inject_append_faults(self, effects: list[Effect]) -> None:
        self.log.effects.extend(effects)

    @rule(count=st.sampled_from([1, 3, 50]))
    def inject_read_faults(self, count: int) -> None:
        self.log.failing_reads = count

    @rule()
    def deliver_late(self) -> None:
        self.log.deliver_late()

    @rule(calls=st.integers(1, 6))
    def begin_outage(self, calls: int) -> None:
        self.log.outage_calls = calls

    @rule(span=st.sampled_from([KEEP_S / 8, KEEP_S / 3]))
    def advance_clock(self, span: float) -> None:
        self.clock.advance(span)

    @rule(index=INDEXES)
    def advance_log_time_past_the_window(self, index: int) -> None:
        """Advance the log time past the window by claims of two hosts."""
        self.clock.advance(KEEP_S)
        for host in ("host-a", "host-b"):
            self.number += 1
            self.clock.advance(OUTAGE_REFUSAL_S)
            claim = make_claim(f"x-{self.number}", self.number, at_s=self.clock.now, gateway=host)
            self.run(self.sequencers[index].claim(claim))

    @rule(index=INDEXES)
    def replace_sequencer(self, index: int) -> None:
        self.run(self.sequencers[index].stop())
        self.sequencers[index] = self.new_sequencer()

    @rule(index=INDEXES)
    def checkpoint_and_expire(self, index: int) -> None:
        """Write a checkpoint if one is due, and expire the records that it covers."""
        self.log.outage_calls = 0
        self.log.failing_reads = 0

        async def write() -> None:
            await self.sequencers[index].maintain()
            while not self.sequencers[index].is_idle:
                await asyncio.sleep(0)

        self.run(write())
        self.log.expire(STREAM, self.sequencers[index]._reader.checkpoint_offset)

    @invariant()
    def runs_at_most_once(self) -> None:
        for key, times in self.sent.items():
            for earlier, later in zip(times, times[1:], strict=False):
                assert later - earlier >= KEEP_S / 2, f"{key} ran at {earlier} and {later}"

    @invariant()
    def refused_claims_were_not_run(self) -> None:
        assert not self.runs & self.refused

    @invariant()
    def outcomes_belong_to_runs(self) -> None:
        for record in self.unrecorded:
            if isinstance(record, Outcome):
                assert record.claim_id in self.runs


TestOnceMachine = OnceMachine.TestCase
TestOnceMachine.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=40, deadline=None
)
