import asyncio
import collections.abc as cabc
import contextlib

import pytest

from cassiawalk.ids import Partition
from cassiawalk.once import Granted
from cassiawalk.once import Sequencer
from cassiawalk.once import SequencerPool
from cassiawalk.once import Taken
from cassiawalk.once import Unavailable
from cassiawalk.once import sequencer as sequencer_module
from cassiawalk.once.checkpoint import checkpoint_parts
from cassiawalk.once.pool import IDLE_LIMIT_S
from cassiawalk.once.records import records
from tests.once_fakes import KEEP_S
from tests.once_fakes import Effect
from tests.once_fakes import FakeClock
from tests.once_fakes import FakeLog
from tests.once_fakes import abandon_of
from tests.once_fakes import make_claim
from tests.once_fakes import make_sequencer
from tests.once_fakes import outcome_of

STREAM = "once-0"
HANG_LIMIT_S = 10.0


@contextlib.asynccontextmanager
async def running(log: FakeLog, clock: FakeClock) -> cabc.AsyncIterator[Sequencer]:
    sequencer = make_sequencer(log, clock)
    await sequencer.start()
    try:
        yield sequencer
    finally:
        await sequencer.stop()


@pytest.mark.parametrize(
    ("effects", "copies"),
    [
        pytest.param([Effect.ANSWERED], 1, id="answered"),
        pytest.param([Effect.LOST], 1, id="answer lost, found by reading on"),
        pytest.param([Effect.DROPPED], 1, id="never arrived, appended again"),
        pytest.param([Effect.LATE], 1, id="late, appended again"),
        pytest.param([Effect.DROPPED, Effect.LOST], 1, id="two faults in a row"),
    ],
)
async def test_claim_is_decided_despite_lost_answers(effects: list[Effect], copies: int) -> None:
    log, clock = FakeLog(), FakeClock()
    log.effects.extend(effects)
    claim = make_claim("k", 1)
    async with running(log, clock) as sequencer:
        assert await sequencer.claim(claim) == Granted()
        log.deliver_late()
        taken = await sequencer.claim(make_claim("k", 2))
    assert isinstance(taken, Taken)
    assert taken.claim == claim
    assert len(log.streams[STREAM].payloads) == copies + effects.count(Effect.LATE)


async def test_endless_lost_answers_end_as_possibly_appended() -> None:
    log, clock = FakeLog(), FakeClock()
    log.effects.extend([Effect.DROPPED] * 1000)
    async with running(log, clock) as sequencer:
        decision = await sequencer.claim(make_claim("k", 1))
    assert isinstance(decision, Unavailable)
    assert decision.appended is True
    assert clock.now <= sequencer_module.RESOLVE_TIMEOUT_S


async def test_two_sequencers_grant_one_claim() -> None:
    log, clock = FakeLog(), FakeClock()
    async with running(log, clock) as left, running(log, clock) as right:
        decisions = await asyncio.gather(
            left.claim(make_claim("k", 1)),
            right.claim(make_claim("k", 2)),
            left.claim(make_claim("k", 3)),
        )
    assert sum(isinstance(decision, Granted) for decision in decisions) == 1
    assert {d.claim.claim_id for d in decisions if isinstance(d, Taken)} <= {"claim-1", "claim-2"}


async def test_read_failure_after_the_append_grants_no_second_claim() -> None:
    log, clock = FakeLog(), FakeClock()
    async with running(log, clock) as left, running(log, clock) as right:
        await left.claim(make_claim("other", 9))
        assert await right.claim(make_claim("k", 1)) == Granted()
        log.failing_reads = 1000
        undecided = await left.claim(make_claim("k", 2))
        assert isinstance(undecided, Unavailable)
        assert undecided.appended is True
        log.failing_reads = 0
        clock.advance(sequencer_module.OUTAGE_REFUSAL_S)
        later = await left.claim(make_claim("k", 3))
    assert isinstance(later, Taken)
    assert later.claim.claim_id == "claim-1"


async def test_key_is_free_after_an_abandonment_at_another_sequencer() -> None:
    log, clock = FakeLog(), FakeClock()
    first, second = make_claim("k", 1), make_claim("k", 2)
    async with running(log, clock) as left, running(log, clock) as right:
        assert await left.claim(first) == Granted()
        assert await right.record(abandon_of(first)) is None
        assert await left.claim(second) == Granted()


async def test_outage_refuses_at_once_and_builds_no_backlog() -> None:
    log, clock = FakeLog(), FakeClock()
    claim = make_claim("known", 1)
    async with running(log, clock) as sequencer:
        assert await sequencer.claim(claim) == Granted()
        assert await sequencer.record(outcome_of(claim)) is None
        log.outage = True
        calls = [sequencer.claim(make_claim(f"k{n}", n)) for n in range(50)]
        refused = await asyncio.gather(*calls)
        appends = log.appends
        held = await sequencer.claim(make_claim("later", 99))
        assert log.appends == appends
        assert sequencer.is_idle
        again = await sequencer.claim(make_claim("known", 2))
    for decision in [*refused, held]:
        assert isinstance(decision, Unavailable)
        assert decision.retry_after_s > 0
    assert isinstance(held, Unavailable)
    assert held.appended is False
    assert isinstance(again, Taken)
    assert again.outcome == outcome_of(claim)


async def test_log_that_does_not_answer_refuses_later_claims_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sequencer_module, "PENDING_TIMEOUT_S", 3600.0)
    log, clock = FakeLog(), FakeClock()
    log.answering.clear()
    async with running(log, clock) as sequencer:
        first = asyncio.create_task(sequencer.claim(make_claim("k", 1)))
        while log.appends == 0:
            await asyncio.sleep(0)
        clock.advance(sequencer_module.STALL_TIMEOUT_S)
        async with asyncio.timeout(HANG_LIMIT_S):
            refused = await sequencer.claim(make_claim("l", 2))
        assert isinstance(refused, Unavailable)
        assert refused.appended is False
        log.answering.set()
        assert await first == Granted()
        assert await sequencer.claim(make_claim("l", 3)) == Granted()


async def test_fault_in_the_log_client_does_not_end_the_sequencer() -> None:
    log, clock = FakeLog(), FakeClock()
    log.broken = True
    async with running(log, clock) as sequencer:
        failed = await sequencer.claim(make_claim("k", 1))
        assert isinstance(failed, Unavailable)
        assert failed.appended is True
        log.broken = False
        assert await sequencer.claim(make_claim("l", 2)) == Granted()


async def test_claim_of_a_caller_that_left_is_not_appended() -> None:
    log, clock = FakeLog(), FakeClock()
    sequencer = make_sequencer(log, clock)
    call = asyncio.create_task(sequencer.claim(make_claim("k", 1)))
    await asyncio.sleep(0)
    assert not sequencer.is_idle
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    assert sequencer.is_idle


async def test_pending_records_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sequencer_module, "MAX_PENDING", 3)
    sequencer = make_sequencer(FakeLog(), FakeClock())
    waiting = [asyncio.create_task(sequencer.claim(make_claim(f"k{n}", n))) for n in range(3)]
    await asyncio.sleep(0)
    refused = await sequencer.claim(make_claim("k9", 9))
    assert isinstance(refused, Unavailable)
    assert refused.appended is False
    await sequencer.stop()
    assert all(isinstance(item, Unavailable) for item in await asyncio.gather(*waiting))


async def test_takeover_needs_a_complete_checkpoint_when_first_records_expired() -> None:
    log, clock = FakeLog(), FakeClock()
    claim = make_claim("k", 1)
    async with running(log, clock) as old:
        assert await old.claim(claim) == Granted()
        await old.record(outcome_of(claim))
    log.expire(STREAM, 0)
    async with running(log, clock) as new:
        refused = await new.claim(make_claim("k", 2))
        assert isinstance(refused, Unavailable)
        assert refused.appended is False
        assert refused.retry_after_s == KEEP_S
        clock.advance(KEEP_S / 2)
        assert isinstance(await new.claim(make_claim("k", 3)), Unavailable)
        clock.advance(KEEP_S / 2)
        assert await new.claim(make_claim("k", 4, at_s=KEEP_S)) == Granted()


async def test_takeover_starts_from_the_newest_complete_checkpoint() -> None:
    log, clock = FakeLog(), FakeClock()
    claim = make_claim("k", 1)
    async with running(log, clock) as old:
        assert await old.claim(claim) == Granted()
        await old.maintain()
        while not old.is_idle:
            await asyncio.sleep(0)
        await old.record(outcome_of(claim))
        log.expire(STREAM, 0)
        async with running(log, clock) as new:
            taken = await new.claim(make_claim("k", 2))
    assert isinstance(taken, Taken)
    assert taken.claim == claim
    assert taken.outcome == outcome_of(claim)


async def test_takeover_folds_records_between_a_checkpoint_and_its_parts() -> None:
    log, clock = FakeLog(), FakeClock()
    claim = make_claim("k", 1)
    async with running(log, clock) as old:
        await old.claim(make_claim("a", 9))
        parts = list(checkpoint_parts(old.ledger.state(), written_s=clock.wall()))
        assert await old.claim(claim) == Granted()
        for part in parts:
            await log.append(stream=STREAM, payload=records.encode([part]))
    log.expire(STREAM, 0)
    async with running(log, clock) as new:
        taken = await new.claim(make_claim("k", 2))
    assert isinstance(taken, Taken)
    assert taken.claim == claim


async def test_sequencer_paused_beyond_the_retention_loads_again() -> None:
    log, clock = FakeLog(), FakeClock()
    async with running(log, clock) as paused, running(log, clock) as other:
        await paused.claim(make_claim("a", 1))
        claim = make_claim("k", 2)
        assert await other.claim(claim) == Granted()
        await other.maintain()
        while not other.is_idle:
            await asyncio.sleep(0)
        log.expire(STREAM, 1)
        taken = await paused.claim(make_claim("k", 3))
    assert isinstance(taken, Taken)
    assert taken.claim == claim


class FakeOwner:
    """Owns the partitions in ``owned``."""

    partitions = 4

    def __init__(self) -> None:
        self.owned = [Partition(1)]

    def owns(self, partition: Partition) -> bool:
        return partition in self.owned


async def test_pool_follows_ownership_and_stops_idle_sequencers() -> None:
    log, clock, owner = FakeLog(), FakeClock(), FakeOwner()
    pool = SequencerPool(log=log, clock=clock, placement=owner, window_s=60.0)
    await pool.sequencer(Partition(0))
    await pool.maintain()
    assert len(pool) == 2
    clock.advance(IDLE_LIMIT_S)
    owner.owned = [Partition(2)]
    await pool.maintain()
    assert len(pool) == 1
    await pool.stop()
